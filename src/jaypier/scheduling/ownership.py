"""Which daemon owns which data centre: leases with fencing epochs in the table service.

A lease is the row ``owners/DATA_CENTRE``. Its holder rewrites it regularly; anybody else may
take it over once its version has not changed for ``OWNER_LEASE_SECONDS`` of the observer's own
clock. Every takeover raises the epoch, and workers refuse owners with a lower epoch than the
highest they have seen.
"""

import hashlib

import attrs

from jaypier.core.clock import Clock
from jaypier.core.codec import DecodeError, from_plain, to_plain
from jaypier.platform import (
    Condition,
    ConditionFailed,
    PlatformUnavailable,
    Put,
    Row,
    TableService,
    Transaction,
)

OWNERS_PREFIX = "owners/"

OWNER_LEASE_SECONDS = 3.0
"""Time without renewal after which a lease may be taken over."""

QUIET_SECONDS = 1.5
"""Time without renewal after which a lease is watched more closely."""

TAKEOVER_STAGGER_SECONDS = 0.5
"""Extra time that each further candidate waits, so that one takes over at a time."""


@attrs.frozen
class OwnerRecord:
    """Value of a lease row.

    :param owner: identity of the holder, empty when it has given the lease up.
    :param incarnation: start time of the holder's process, in nanoseconds.
    :param epoch: grows with every takeover.
    """

    owner: str
    incarnation: int
    epoch: int


@attrs.define
class ObservedLease:
    """A lease as this daemon last saw it.

    :param version: row version.
    :param seen_at: time when this version was first seen, in seconds.
    """

    record: OwnerRecord
    version: int
    seen_at: float


@attrs.define
class HeldLease:
    """A lease that this daemon holds.

    :param confirmed_at: start time of the newest renewal that the store confirmed, in seconds.
    """

    data_centre: str
    epoch: int
    version: int
    confirmed_at: float


class LeaseTable:
    """Observes, takes, renews and gives up the leases of data centres.

    :param own_id: identity of this daemon.
    :param incarnation: start time of this process, in nanoseconds.
    """

    def __init__(self, table: TableService, own_id: str, incarnation: int, clock: Clock) -> None:
        self.table = table
        self.own_id = own_id
        self.incarnation = incarnation
        self.clock = clock
        self.observed: dict[str, ObservedLease] = {}
        self.held: dict[str, HeldLease] = {}

    async def observe(self) -> None:
        """Read every lease.

        :raises PlatformUnavailable: when the store does not answer.
        """
        for row in await self.table.scan(OWNERS_PREFIX):
            self._observe_row(row)

    def _observe_row(self, row: Row) -> None:
        data_centre = row.key.removeprefix(OWNERS_PREFIX)
        known = self.observed.get(data_centre)
        if known is not None and row.version <= known.version:
            return
        try:
            record = from_plain(row.value, OwnerRecord)
        except DecodeError:
            return
        self.observed[data_centre] = ObservedLease(record, row.version, self.clock.now())

    def is_any_quiet(self) -> bool:
        """Whether another daemon's lease may be about to run out."""
        now = self.clock.now()
        return any(
            now - lease.seen_at > QUIET_SECONDS
            for name, lease in self.observed.items()
            if name not in self.held
        )

    def may_take(self, data_centre: str, candidates: list[str]) -> bool:
        """Whether this daemon should take a lease over now.

        :param candidates: daemons that could take it, this one among them.
        """
        lease = self.observed.get(data_centre)
        stagger = rank(data_centre, self.own_id, candidates) * TAKEOVER_STAGGER_SECONDS
        if lease is None:
            return stagger == 0
        silent = self.clock.now() - lease.seen_at
        if not lease.record.owner:
            return silent >= stagger
        return silent >= OWNER_LEASE_SECONDS + stagger

    async def take(self, data_centre: str) -> HeldLease | None:
        """Take a lease over under a higher epoch.

        :returns: the lease, ``None`` when another daemon was faster.
        :raises PlatformUnavailable: when the store does not answer. The row may name this
            daemon all the same; it is then read back by the next attempt.
        """
        key = OWNERS_PREFIX + data_centre
        started_at = self.clock.now()
        row = await self.table.read(key)
        if row is not None:
            self._observe_row(row)
        epoch = 1 if row is None else from_plain(row.value, OwnerRecord).epoch + 1
        version = 0 if row is None else row.version
        record = OwnerRecord(self.own_id, self.incarnation, epoch)
        try:
            await self._write(key, version, record)
        except ConditionFailed:
            return None
        lease = HeldLease(data_centre, epoch, version + 1, started_at)
        self.held[data_centre] = lease
        self.observed[data_centre] = ObservedLease(record, version + 1, started_at)
        return lease

    async def renew(self, lease: HeldLease) -> bool:
        """Rewrite a held lease.

        :returns: whether this daemon still holds it.
        :raises PlatformUnavailable: when the store does not answer.
        """
        key = OWNERS_PREFIX + lease.data_centre
        started_at = self.clock.now()
        record = OwnerRecord(self.own_id, self.incarnation, lease.epoch)
        try:
            await self._write(key, lease.version, record)
            lease.version += 1
        except ConditionFailed:
            row = await self.table.read(key)
            if row is None or from_plain(row.value, OwnerRecord) != record:
                self.held.pop(lease.data_centre, None)
                return False
            # An earlier renewal took effect although its answer was lost.
            lease.version = row.version
        lease.confirmed_at = started_at
        return True

    async def give_up(self, lease: HeldLease) -> None:
        """Hand a lease over on a planned stop.

        :raises PlatformUnavailable: when the store does not answer; the lease then runs out.
        """
        self.held.pop(lease.data_centre, None)
        record = OwnerRecord("", self.incarnation, lease.epoch)
        try:
            await self._write(OWNERS_PREFIX + lease.data_centre, lease.version, record)
        except ConditionFailed:
            return

    async def _write(self, key: str, version: int, record: OwnerRecord) -> None:
        transaction = Transaction([Condition(key, version)], [Put(key, to_plain(record))])
        await self.table.transact(transaction)


def rank(data_centre: str, own_id: str, candidates: list[str]) -> int:
    """Return this daemon's place in the order of candidates for a data centre, from 0.

    The order is by rendezvous hashing, so data centres spread evenly over daemons.
    """

    def weight(candidate: str) -> bytes:
        return hashlib.blake2b(f"{data_centre}/{candidate}".encode(), digest_size=8).digest()

    ordered = sorted({*candidates, own_id}, key=weight)
    return ordered.index(own_id)


__all__ = [
    "HeldLease",
    "LeaseTable",
    "ObservedLease",
    "OwnerRecord",
    "PlatformUnavailable",
    "rank",
]
