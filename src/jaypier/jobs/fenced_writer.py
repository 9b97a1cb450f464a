"""The leader's writes: conditional on its leadership, in order, in batches."""

import asyncio
from typing import Any

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.codec import from_plain, to_plain
from jaypier.core.errors import JaypierError
from jaypier.jobs.election import LEADER_KEY, LeaderRecord
from jaypier.platform import (
    Condition,
    ConditionFailed,
    PlatformRefused,
    PlatformUnavailable,
    Put,
    Transaction,
    WatchableTable,
)

SEQUENCE_KEY = "turns/turn"

RETRY_SECONDS = 0.2
"""Time before a write is tried again after the store did not answer."""

MAX_ROWS_PER_WRITE = 80
"""Rows of one write; the store takes 100 with the conditions."""

log = structlog.get_logger()


class LeadershipLost(JaypierError):
    """Another daemon leads."""


class FencedWriter:
    """Writes of one leader, one at a time.

    Each write replaces the row ``turns/turn`` and names the versions of it and of the leader's
    row. So a write whose answer was lost, and that the store carries out late, can neither
    overwrite a later one nor outlive the leadership.

    :param record: content of the leader's row.
    :param version: version of the leader's row.
    """

    def __init__(
        self, table: WatchableTable, record: LeaderRecord, version: int, clock: Clock
    ) -> None:
        self.table = table
        self.record = record
        self.version = version
        self.sequence_version = 0
        self.clock = clock
        self.confirmed_at = clock.now()
        self.renewed_at = clock.now()

    async def open(self) -> None:
        """Read the present turn."""
        row = await self.table.read(SEQUENCE_KEY)
        self.sequence_version = 0 if row is None else row.version

    async def write(self, puts: list[Put], deletes: list[str], renew: bool) -> None:
        """Write rows, as often as it takes until the store has answered.

        :param renew: whether to renew the leadership as well.
        :raises LeadershipLost: when another daemon leads.
        """
        while True:
            sent_at = self.clock.now()
            try:
                await self.try_write(puts, deletes, renew)
            except PlatformUnavailable as error:
                log.debug("write not confirmed", error=str(error))
                await asyncio.sleep(RETRY_SECONDS)
            except ConditionFailed as error:
                self.refresh_versions(error.current_rows)
            except PlatformRefused as error:
                await self.write_split(puts, deletes, error)
                puts, deletes = [], []
            else:
                self.confirmed_at = sent_at
                return

    async def write_split(
        self, puts: list[Put], deletes: list[str], error: PlatformRefused
    ) -> None:
        """Write rows apart that the store has refused together; leave out a row that it refuses.

        A leader that stopped here would leave its successor with the same row.
        """
        if len(puts) + len(deletes) == 0:
            raise error
        if len(puts) + len(deletes) == 1:
            keys = [put.key for put in puts] + deletes
            log.error("row refused by the store", key=keys[0], reason=str(error))
            return
        middle = (len(puts) + len(deletes)) // 2
        await self.write(puts[:middle], deletes[: max(0, middle - len(puts))], False)
        await self.write(puts[middle:], deletes[max(0, middle - len(puts)) :], False)

    async def try_write(self, puts: list[Put], deletes: list[str], renew: bool) -> None:
        """Make one attempt to write rows."""
        conditions = [
            Condition(LEADER_KEY, self.version),
            Condition(SEQUENCE_KEY, self.sequence_version),
        ]
        leader_puts: list[Put] = [Put(SEQUENCE_KEY, self.record.epoch)]
        if renew:
            self.record = attrs.evolve(
                self.record,
                renewals=self.record.renewals + 1,
                renewed_at=self.table.store_time(),
            )
            leader_puts.append(Put(LEADER_KEY, to_plain(self.record)))
        version = await self.table.commit(Transaction(conditions, leader_puts + puts, deletes))
        self.sequence_version = version
        if renew:
            self.version = version
            self.renewed_at = self.clock.now()

    def refresh_versions(self, current: dict[str, Any]) -> None:
        """Take over the versions of an own write whose answer was lost.

        :raises LeadershipLost: when another daemon leads.
        """
        row = current.get(LEADER_KEY)
        held = None if row is None else from_plain(row.value, LeaderRecord)
        if held is None or (held.owner, held.epoch) != (
            self.record.owner,
            self.record.epoch,
        ):
            raise LeadershipLost(f"another daemon leads: {held}")
        self.version = row.version
        sequence_row = current.get(SEQUENCE_KEY)
        self.sequence_version = 0 if sequence_row is None else sequence_row.version

    async def resign(self) -> None:
        """Give the leadership up, so that another daemon takes over at once."""
        vacant = attrs.evolve(self.record, owner="")
        transaction = Transaction(
            [Condition(LEADER_KEY, self.version)], [Put(LEADER_KEY, to_plain(vacant))]
        )
        await self.table.commit(transaction)
