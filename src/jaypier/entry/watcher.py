"""Keeps the operators' configuration up to date and tracks how old it is."""

import asyncio
import random

import structlog

from jaypier.core.clock import Clock
from jaypier.entry.configuration import Configuration, OperatorChanges, OperatorSource
from jaypier.platform import HistoryCompacted, PlatformUnavailable

WATCH_TIMEOUT_SECONDS = 1.2
"""Timeout of one long poll for changes. With the timeout margin of the request, an unresponsive
connection is detected early enough for a change to take effect within 2 s."""

RETRY_DELAY_SECONDS = 0.2
"""Mean delay before a request to the store is retried."""

log = structlog.get_logger()


class ConfigurationWatcher:
    """Watches the operators' configuration.

    :param clock: clock that also advances while the VM is suspended, so that the age of the
        configuration includes that time.
    :ivar configuration: current configuration, ``None`` before the first one is read.
    :ivar out_of_service: names of the data centres that get no new work.
    :ivar version: store version up to which changes were applied, ``None`` before a snapshot.
    :ivar confirmed_at: time on ``clock``, in seconds, at which the last successful request was
        sent.
    :ivar is_store_reachable: whether the last request to the store succeeded.
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
        """Watch the configuration until cancelled."""
        while True:
            sent_at = self.clock.now()
            try:
                changes = await self.read()
            except HistoryCompacted:
                self.version = None
                continue
            except PlatformUnavailable as error:
                if self.is_store_reachable:
                    log.info("store unreachable", reason=str(error), age=self.age)
                self.is_store_reachable = False
                await asyncio.sleep(RETRY_DELAY_SECONDS * self.rng.uniform(0.6, 1.4))
                continue
            if not self.is_store_reachable:
                log.info("store reachable", version=changes.version)
            self.is_store_reachable = True
            self.apply(changes)
            self.confirmed_at = sent_at
            if self.configuration is None:
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def read(self) -> OperatorChanges:
        """Return the next changes, or a snapshot if there is no version to continue from.

        :raises HistoryCompacted: when the store no longer has the changes; a snapshot is needed.
        :raises PlatformUnavailable: when the store does not respond.
        """
        if self.version is None:
            return await self.source.snapshot()
        # After an outage the first request does not wait for a change, so that the configuration is
        # confirmed, and keys are accepted again, without delay.
        return await self.source.watch(
            self.version, WATCH_TIMEOUT_SECONDS if self.is_store_reachable else 0.0
        )

    def apply(self, changes: OperatorChanges) -> None:
        """Apply changes; an older configuration never replaces a newer one."""
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
        """Seconds since the request that last confirmed the configuration was sent."""
        return self.clock.now() - self.confirmed_at
