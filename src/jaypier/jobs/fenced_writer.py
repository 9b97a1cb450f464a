"""The leader's writes: in order, in batches, and rejected once another daemon leads."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.codec import DecodeError, to_compact
from jaypier.core.errors import JaypierError
from jaypier.jobs.election import (
    LEADER_KEY,
    RENEWAL_INTERVAL_SECONDS,
    SEQUENCE_KEY,
    LeaderRecord,
    decode_leader_record,
)
from jaypier.platform import (
    Condition,
    ConditionFailed,
    PlatformRefused,
    PlatformUnavailable,
    Put,
    Transaction,
    WatchableTable,
)
from jaypier.scheduling.overload import LoadSummary, encode_summary

RETRY_DELAY_SECONDS = 0.2
"""Delay before a write is retried after the store did not answer."""

MAX_ROWS_PER_WRITE = 80
"""Rows of one write; the store accepts 100 entries in a transaction, including its conditions."""

log = structlog.get_logger()


class LeadershipLost(JaypierError):
    """Another daemon has become the leader."""


class FencedWriter:
    """Serializes the writes of one leader and fences them by its leadership.

    Each transaction replaces the row ``turns/turn`` and is conditional on the versions of this row
    and of the leader's row. Therefore a write whose response is lost and that the store applies
    late can neither overwrite a later write nor take effect after a takeover.

    :param record: content of the leader's row.
    :param version: version of the leader's row.
    :ivar summarize_load: returns the load that the leader's row tells other daemons of.
    :ivar confirmed_at: time on the local clock, in seconds, at which the last confirmed write was
        sent.
    :ivar renewed_at: time on the local clock, in seconds, of the last confirmed renewal.
    :ivar renewal_sent_at: time on the local clock, in seconds, at which it was sent.
    :ivar is_fence_recorded: whether the leader's row tells that this leader has fenced the earlier
        ones.
    :ivar elected_version: version of the leader's row at the election.
    """

    def __init__(
        self, table: WatchableTable, record: LeaderRecord, version: int, clock: Clock
    ) -> None:
        self.table = table
        self.record = record
        self.version = version
        self.sequence_version = 0
        self.clock = clock
        self.summarize_load: Callable[[], LoadSummary | None] = lambda: None
        self.renewed_at = clock.now()
        age = max(0.0, table.store_time() - record.renewed_at)
        self.renewal_sent_at = clock.now() - age
        self.confirmed_at = self.renewal_sent_at
        self.elected_version = version
        self.is_fence_recorded = False

    async def open(self) -> None:
        """Read the version of the row ``turns/turn``."""
        row = await self.table.read(SEQUENCE_KEY)
        self.sequence_version = 0 if row is None else row.version

    async def run_renewals(self) -> None:
        """Renew the leadership in time until cancelled, for use while nothing else is written.

        :raises LeadershipLost: when another daemon leads.
        """
        while True:
            await asyncio.sleep(self.seconds_to_renewal())
            await self.write([], [], True)

    def seconds_to_renewal(self) -> float:
        """Return the seconds until the leadership has to be renewed, 0 when it is due."""
        if self.record.unfenced_since == 0.0 and not self.is_fence_recorded:
            return 0.0
        return max(0.0, self.renewed_at + RENEWAL_INTERVAL_SECONDS - self.clock.now())

    def record_fence(self) -> None:
        """Have the next renewal tell that this leader has fenced the earlier ones."""
        self.record = attrs.evolve(self.record, unfenced_since=0.0)

    async def write(self, puts: list[Put], deletes: list[str], renew: bool) -> frozenset[str]:
        """Write rows, retrying until the store has responded.

        A row that the store refuses by itself is logged and left out.

        :param deletes: keys of the rows to delete.
        :param renew: whether to renew the leader's row in the same transaction.
        :returns: keys of the rows that were left out.
        :raises LeadershipLost: when another daemon leads.
        :raises PlatformRefused: when the store refuses a write of the leader's own rows alone.
        """
        left_out: frozenset[str] = frozenset()
        while True:
            sent_at = self.clock.now()
            try:
                await self.try_write(puts, deletes, renew)
            except PlatformUnavailable as error:
                log.debug("write not confirmed", error=str(error))
                await asyncio.sleep(RETRY_DELAY_SECONDS)
            except ConditionFailed as error:
                self.refresh_versions(error.current_rows)
            except PlatformRefused as error:
                left_out = await self.write_split(puts, deletes, error)
                puts, deletes = [], []
            else:
                self.confirmed_at = sent_at
                return left_out

    async def write_split(
        self, puts: list[Put], deletes: list[str], error: PlatformRefused
    ) -> frozenset[str]:
        """Write the halves of a refused write separately; leave out a single row that is refused.

        Raising an error for such a row would end this leadership, and the next leader would fail
        on the same row.

        :returns: keys of the rows that were left out.
        """
        if len(puts) + len(deletes) == 0:
            raise error
        if len(puts) + len(deletes) == 1:
            keys = [put.key for put in puts] + deletes
            log.error("row left out: refused by the store", key=keys[0], reason=str(error))
            return frozenset(keys)
        middle = (len(puts) + len(deletes)) // 2
        first = await self.write(puts[:middle], deletes[: max(0, middle - len(puts))], False)
        second = await self.write(puts[middle:], deletes[max(0, middle - len(puts)) :], False)
        return first | second

    async def try_write(self, puts: list[Put], deletes: list[str], renew: bool) -> None:
        """Send one transaction with the rows; update the known versions when it is confirmed."""
        conditions = [
            Condition(LEADER_KEY, self.version),
            Condition(SEQUENCE_KEY, self.sequence_version),
        ]
        leader_puts: list[Put] = [Put(SEQUENCE_KEY, self.record.epoch)]
        sent_at = self.clock.now()
        if renew:
            self.record = attrs.evolve(
                self.record,
                renewals=self.record.renewals + 1,
                renewed_at=self.table.store_time(),
                load=encode_summary(self.summarize_load()),
            )
            record = self.record
            leader_puts.append(Put(LEADER_KEY, to_compact(record)))
        version = await self.table.commit(Transaction(conditions, leader_puts + puts, deletes))
        self.sequence_version = version
        if renew:
            self.version = version
            self.is_fence_recorded = record.unfenced_since == 0.0
            self.renewal_sent_at = sent_at
            self.renewed_at = self.clock.now()

    def refresh_versions(self, current: dict[str, Any]) -> None:
        """Take the current versions of both rows after a condition has failed.

        If this daemon still leads, an earlier write took effect although its response was lost.

        :raises LeadershipLost: when another daemon leads.
        """
        row = current.get(LEADER_KEY)
        own = (self.record.owner, self.record.epoch)
        try:
            held = None if row is None else decode_leader_record(row.value)
        except DecodeError as error:
            raise LeadershipLost(f"{LEADER_KEY} cannot be decoded: {error}") from error
        if held is None or (held.owner, held.epoch) != own:
            found = None if held is None else (held.owner, held.epoch)
            raise LeadershipLost(f"{LEADER_KEY} holds {found}, expected {own}")
        self.version = row.version
        sequence_row = current.get(SEQUENCE_KEY)
        self.sequence_version = 0 if sequence_row is None else sequence_row.version

    async def resign(self) -> None:
        """Clear the owner of the leader's row, so that another daemon takes over at once.

        :raises PlatformError: when the store has not confirmed the write.
        """
        vacant = attrs.evolve(self.record, owner="", load=None)
        transaction = Transaction(
            [Condition(LEADER_KEY, self.version)], [Put(LEADER_KEY, to_compact(vacant))]
        )
        await self.table.commit(transaction)
