"""Which daemon leads: a row of the store that is renewed, with an epoch that grows."""

import asyncio
import random

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.codec import from_plain, to_plain
from jaypier.platform import (
    Condition,
    ConditionFailed,
    HistoryCompacted,
    PlatformUnavailable,
    Put,
    Row,
    Transaction,
    WatchableTable,
)

LEADER_TABLE = "leader"
LEADER_KEY = "leader/leader"

RENEWAL_INTERVAL_SECONDS = 0.6
"""Time between two renewals by the leader."""

LEADER_TIMEOUT_SECONDS = 2.0
"""Silence of the leader after which others take over: two renewals lost, and a slow answer."""

RETRY_SECONDS = 0.25
"""Time before the store is asked again after it did not answer."""

log = structlog.get_logger()


@attrs.frozen
class LeaderRecord:
    """Content of the leader's row.

    :param owner: incarnation of the daemon that leads, empty after it has left.
    :param epoch: grows with each change of the leader.
    :param renewals: grows with each renewal.
    :param renewed_at: the store's clock at the last renewal, in seconds. By it, a daemon that has
        just started knows at once of a leader that has been silent for too long.
    """

    owner: str
    epoch: int
    renewals: int = 0
    renewed_at: float = 0.0


class Election:
    """Follows the leader's row until this daemon leads.

    :param owner: incarnation of this daemon.
    :param takeover_delay: seconds by which this daemon waits longer than others before it takes
        over.
    """

    def __init__(
        self,
        table: WatchableTable,
        owner: str,
        takeover_delay: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.owner = owner
        self.takeover_delay = takeover_delay
        self.clock = clock
        self.rng = rng
        self.record = LeaderRecord("", 0)
        self.version = 0
        self.last_renewal_at = clock.now()

    async def campaign(self) -> tuple[int, int]:
        """Wait until this daemon leads; return its epoch and the version of the row."""
        await self.read()
        while True:
            try:
                if self.is_claimable:
                    won = await self.claim()
                    if won:
                        return self.record.epoch, self.version
                await self.follow()
            except PlatformUnavailable as error:
                log.debug("leader's row not followed", reason=str(error))
                await asyncio.sleep(RETRY_SECONDS * self.rng.uniform(0.6, 1.4))
            except HistoryCompacted:
                await self.read()

    async def read(self) -> None:
        """Read the row, however long it takes."""
        while True:
            try:
                row = await self.table.read(LEADER_KEY)
            except PlatformUnavailable as error:
                log.debug("leader's row not read", reason=str(error))
                await asyncio.sleep(RETRY_SECONDS * self.rng.uniform(0.6, 1.4))
                continue
            if row is not None:
                self.take(row)
            return

    @property
    def is_claimable(self) -> bool:
        """Whether nobody has renewed the row for too long, or its owner has left."""
        elapsed = self.seconds_since_renewal
        if self.record.owner == "":
            return elapsed >= self.takeover_delay * self.rng.random()
        return elapsed >= LEADER_TIMEOUT_SECONDS + self.takeover_delay

    @property
    def seconds_since_renewal(self) -> float:
        """Seconds since the leader has renewed the row."""
        return self.clock.now() - self.last_renewal_at

    def take(self, row: Row) -> None:
        """Take in a new version of the row."""
        if row.version <= self.version or row.value is None:
            return
        record = from_plain(row.value, LeaderRecord)
        if record.epoch != self.record.epoch:
            log.info("leader seen", owner=record.owner, epoch=record.epoch)
        self.record, self.version = record, row.version
        age = max(0.0, self.table.store_time() - record.renewed_at)
        self.last_renewal_at = self.clock.now() - (age if record.owner else 0.0)

    async def follow(self) -> None:
        """Wait for a change of the row, or for the time to take over."""
        wait = LEADER_TIMEOUT_SECONDS + self.takeover_delay - self.seconds_since_renewal
        if self.record.owner == "":
            wait = 0.02
        wait = min(max(wait, 0.02), LEADER_TIMEOUT_SECONDS)
        changes = await self.table.watch(LEADER_TABLE, self.version, wait)
        for row in changes.rows:
            if row.key == LEADER_KEY:
                self.take(row)

    async def claim(self) -> bool:
        """Try to become the leader."""
        record = LeaderRecord(self.owner, self.record.epoch + 1, renewed_at=self.table.store_time())
        transaction = Transaction(
            [Condition(LEADER_KEY, self.version)], [Put(LEADER_KEY, to_plain(record))]
        )
        try:
            version = await self.table.commit(transaction)
        except ConditionFailed as error:
            row = error.current_rows.get(LEADER_KEY)
            if row is None:
                return False
            self.take(row)
            return self.record.owner == self.owner
        self.record, self.version = record, version
        return True
