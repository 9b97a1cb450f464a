"""Leader election: the leader holds a row of the store and renews it, under a growing epoch."""

import asyncio
import math
import random
from typing import Any

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.codec import DecodeError, from_plain, to_compact
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
from jaypier.platform.decoding import LeftOutRows

LEADER_TABLE = "leader"
LEADER_KEY = "leader/leader"

SEQUENCE_KEY = "turns/turn"
"""Row that each write of a leader replaces; its value is the leader's epoch."""

MAX_EPOCH = 1 << 40
"""Highest epoch of a valid row; one takeover a second takes 34,000 years to get there."""

UNKNOWN_OWNER = "unknown"
"""Owner of a row that cannot be decoded; no incarnation has this name."""

UNKNOWN_EPOCH_MARGIN = 1000
"""Number of epochs left out after a row that cannot be decoded: it may have replaced the rows of
leaders whose epochs nothing else tells, and an epoch must not be used twice."""

RENEWAL_INTERVAL_SECONDS = 0.6
"""Time between two renewals of the row by the leader."""

LEADER_TIMEOUT_SECONDS = 2.0
"""Time without a renewal after which other daemons take over: two lost renewals and a slow
response."""

RETRY_DELAY_SECONDS = 0.25
"""Mean delay before the store is called again after it did not answer."""

log = structlog.get_logger()


@attrs.frozen
class LeaderRecord:
    """Content of the leader's row.

    :param owner: incarnation of the leading daemon; empty after it has resigned.
    :param epoch: number of the leadership; increases with each takeover.
    :param renewals: number of renewals since the row was claimed.
    :param renewed_at: the store's clock at the last renewal, in seconds. With it, a daemon that
        has just started recognizes at once that the leader has timed out.
    :param unfenced_since: the store's clock, in seconds, at the election of the first leader since
        which none has fenced those before it; 0 once the owner has.
    :param load: load of the overloaded pools as plain values, ``None`` while there are none. It is
        decoded where it is used, so that a load of another build does not make the row unreadable.
    """

    owner: str
    epoch: int
    renewals: int = 0
    renewed_at: float = 0.0
    unfenced_since: float = 0.0
    load: Any = None


def decode_leader_record(value: Any) -> LeaderRecord:
    """Decode the value of the leader's row.

    :raises DecodeError: if it is not a leader's row.
    """
    record = from_plain(value, LeaderRecord)
    is_exact = isinstance(value["owner"], str) and type(value["epoch"]) is int
    is_in_range = 0 < record.epoch <= MAX_EPOCH and abs(record.renewals) <= MAX_EPOCH
    times = (record.renewed_at, record.unfenced_since)
    if not (is_exact and is_in_range and all(map(math.isfinite, times))):
        raise DecodeError([f"not a leader's row, or an epoch that is not from 1 to {MAX_EPOCH}"])
    return record


def decode_epoch(value: Any) -> int:
    """Decode the value of the row ``turns/turn``.

    :raises DecodeError: if it is not an epoch.
    """
    if type(value) is not int or not 0 < value <= MAX_EPOCH:
        raise DecodeError([f"expected an epoch from 1 to {MAX_EPOCH}, got another value"])
    return value


class Election:
    """Watches the leader's row and claims it when the leader has resigned or timed out.

    :param owner: incarnation of this daemon.
    :param takeover_delay: seconds added to ``LEADER_TIMEOUT_SECONDS`` before this daemon takes
        over; after a resignation, it waits for a random part of this time only.
    :param left_out: observes versions of the row that cannot be decoded. Their owner is unknown,
        and others take over as if it had renewed the row when it became unreadable.
    :ivar record: content of the row as last seen.
    :ivar version: version of the row as last seen, or of its deletion.
    :ivar expected_version: version that the row must have for a claim, 0 if it is deleted.
    :ivar highest_epoch: highest epoch that the row has had.
    """

    def __init__(
        self,
        table: WatchableTable,
        owner: str,
        takeover_delay: float,
        clock: Clock,
        rng: random.Random,
        left_out: LeftOutRows | None = None,
    ) -> None:
        self.table = table
        self.left_out = left_out or LeftOutRows()
        self.owner = owner
        self.takeover_delay = takeover_delay
        self.clock = clock
        self.rng = rng
        self.record = LeaderRecord("", 0)
        self.highest_epoch = 0
        self.version = 0
        self.expected_version = 0
        self.last_renewal_at = clock.now()

    async def campaign(self) -> tuple[int, int]:
        """Wait until this daemon leads; return its epoch and the version of the leader's row."""
        await self.read()
        while True:
            try:
                if self.is_claimable:
                    won = await self.claim()
                    if won:
                        return self.record.epoch, self.version
                await self.watch()
            except PlatformUnavailable as error:
                log.debug("leader row watch failed", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_SECONDS * self.rng.uniform(0.6, 1.4))
            except HistoryCompacted:
                await self.read()

    async def read(self) -> None:
        """Read the row, retrying until the store responds."""
        while True:
            try:
                row = await self.table.read(LEADER_KEY)
                is_deleted = row is None and (self.version > 0 or await self.has_sequence())
            except PlatformUnavailable as error:
                log.debug("leader row read failed", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_SECONDS * self.rng.uniform(0.6, 1.4))
                continue
            if row is not None:
                self.take(row)
            elif is_deleted:
                self.forget_owner(0)
            return

    async def has_sequence(self) -> bool:
        """Return whether a leader has written anything, so that its row can only be deleted."""
        return await self.table.read(SEQUENCE_KEY) is not None

    @property
    def is_claimable(self) -> bool:
        """Whether this daemon may claim the row: its owner has resigned or timed out."""
        elapsed = self.seconds_since_renewal
        if self.record.owner == "":
            return elapsed >= self.takeover_delay * self.rng.random()
        return elapsed >= LEADER_TIMEOUT_SECONDS + self.takeover_delay

    @property
    def seconds_since_renewal(self) -> float:
        """Seconds since the leader last renewed the row, or since its resignation was seen."""
        return self.clock.now() - self.last_renewal_at

    def take(self, row: Row) -> None:
        """Apply a version of the row, unless it is not newer."""
        if row.version <= self.version:
            return
        self.version = row.version
        if row.value is None:
            self.forget_owner(0)
            return
        try:
            record = decode_leader_record(row.value)
        except DecodeError as error:
            self.left_out.observe(row, error)
            self.forget_owner(row.version)
            return
        self.expected_version = row.version
        if record.epoch != self.record.epoch:
            log.info("leader observed", owner=record.owner, epoch=record.epoch)
        self.record = record
        self.highest_epoch = max(self.highest_epoch, record.epoch)
        age = max(0.0, self.table.store_time() - record.renewed_at)
        self.last_renewal_at = self.clock.now() - (age if record.owner else 0.0)

    def forget_owner(self, expected_version: int) -> None:
        """Record that nobody knows who leads: the row is deleted or cannot be decoded.

        :param expected_version: version of the row, 0 if it is deleted.
        """
        self.expected_version = expected_version
        if self.record.owner == UNKNOWN_OWNER:
            return
        log.warning("leader unknown", owner=self.record.owner, epoch=self.record.epoch)
        self.record = LeaderRecord(UNKNOWN_OWNER, self.record.epoch)
        self.last_renewal_at = self.clock.now()

    async def watch(self) -> None:
        """Wait until the row changes or this daemon may have to claim it."""
        wait = LEADER_TIMEOUT_SECONDS + self.takeover_delay - self.seconds_since_renewal
        if self.record.owner == "":
            wait = 0.02
        wait = min(max(wait, 0.02), LEADER_TIMEOUT_SECONDS)
        changes = await self.table.watch(LEADER_TABLE, self.version, wait)
        for row in changes.rows:
            if row.key == LEADER_KEY:
                self.take(row)

    async def claim(self) -> bool:
        """Try to claim the row with the next epoch; return whether this daemon leads.

        When the row has changed, this daemon still leads if the row names it: an earlier claim
        took effect although its response was lost.
        """
        now = self.table.store_time()
        record = LeaderRecord(
            self.owner,
            await self.next_epoch(),
            renewed_at=now,
            unfenced_since=self.record.unfenced_since or now,
        )
        transaction = Transaction(
            [Condition(LEADER_KEY, self.expected_version)], [Put(LEADER_KEY, to_compact(record))]
        )
        try:
            version = await self.table.commit(transaction)
        except ConditionFailed as error:
            row = error.current_rows.get(LEADER_KEY)
            if row is None:
                self.forget_owner(0)
                return False
            self.take(row)
            return self.record.owner == self.owner
        self.record, self.version = record, version
        return True

    async def next_epoch(self) -> int:
        """Return an epoch that no leader has used."""
        if self.record.owner != UNKNOWN_OWNER:
            return self.highest_epoch + 1
        last_written = 0
        row = await self.table.read(SEQUENCE_KEY)
        if row is not None:
            try:
                last_written = decode_epoch(row.value)
            except DecodeError as error:
                self.left_out.observe(row, error)
        return max(self.highest_epoch, last_written) + UNKNOWN_EPOCH_MARGIN
