"""Keeps the operators' configuration of this VM up to date, and knows how fresh it is."""

import asyncio
import random

import structlog

from jaypier.core.clock import Clock
from jaypier.entry.configuration import Configuration, OperatorChanges, OperatorSource
from jaypier.platform import HistoryCompacted, PlatformUnavailable

WATCH_TIMEOUT_SECONDS = 1.2
"""Longest wait for a change; with the margin of a call, a silent connection is noticed in time
for a change to be in force within 2 s."""

RETRY_DELAY_SECONDS = 0.2
"""Time before the store is asked again after it did not answer."""

log = structlog.get_logger()


class ConfigurationWatcher:
    """Follows the operators' configuration.

    :param clock: a clock that counts the time for which this VM was suspended.
    """

    def __init__(self, source: OperatorSource, clock: Clock, rng: random.Random) -> None:
        self.source = source
        self.clock = clock
        self.rng = rng
        self.configuration: Configuration | None = None
        self.out_of_service: frozenset[str] = frozenset()
        self.version: int | None = None
        self.confirmed_at = float("-inf")
        self.is_store_reachable = False

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            sent_at = self.clock.now()
            try:
                changes = await self.read()
            except HistoryCompacted:
                self.version = None
                continue
            except PlatformUnavailable as error:
                if self.is_store_reachable:
                    log.info("store lost", reason=str(error), age=self.age)
                self.is_store_reachable = False
                await asyncio.sleep(RETRY_DELAY_SECONDS * self.rng.uniform(0.6, 1.4))
                continue
            if not self.is_store_reachable:
                log.info("store regained", version=changes.version)
            self.is_store_reachable = True
            self.apply(changes)
            self.confirmed_at = sent_at
            if self.configuration is None:
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def read(self) -> OperatorChanges:
        """Read what has changed, or all of it where that is not known."""
        if self.version is None:
            return await self.source.snapshot()
        # After an outage the first answer comes at once, so that keys are trusted again early.
        return await self.source.watch(
            self.version, WATCH_TIMEOUT_SECONDS if self.is_store_reachable else 0.0
        )

    def apply(self, changes: OperatorChanges) -> None:
        """Take in changes; an older configuration never replaces a newer one."""
        if self.version is None:
            self.out_of_service = frozenset()
        self.version = changes.version
        new, old = changes.configuration, self.configuration
        if new is not None and (old is None or new.version > old.version):
            self.configuration = new
            log.info(
                "configuration in force",
                version=new.version,
                before=old.version if old else None,
                routes=len(new.routes),
                teams=len(new.teams),
            )
        previous = self.out_of_service
        drained = {name for name, is_out in changes.out_of_service.items() if is_out}
        returned = changes.out_of_service.keys() - drained
        self.out_of_service = (previous - returned) | drained
        if self.out_of_service != previous:
            log.info("data centres out of service", names=sorted(self.out_of_service))

    @property
    def age(self) -> float:
        """Seconds since the store was asked for the configuration that is in force."""
        return self.clock.now() - self.confirmed_at
