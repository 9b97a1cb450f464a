"""The platform stand-in in memory, as one daemon of a test sees it."""

import asyncio

import attrs

from jaypier.core.codec import from_json
from jaypier.platform import (
    ConditionFailed,
    Machine,
    MachineList,
    ObjectStore,
    Platform,
    PlatformUnavailable,
    Row,
    TableService,
    Transaction,
)
from standins.platform import PlatformStandIn


@attrs.define
class Access:
    """How one daemon reaches the shared stand-in.

    :param is_down: whether every call fails before any effect.
    :param lose_answers: further writes that take effect although the call fails.
    :param stale: rows as they were before, answered instead of the present ones.
    :param delay: seconds that each call takes.
    """

    is_down: bool = False
    lose_answers: int = 0
    stale: dict[str, Row] | None = None
    delay: float = 0.0

    async def enter(self) -> None:
        """Let a call take its time, then fail it in an outage."""
        await asyncio.sleep(self.delay)
        if self.is_down:
            raise PlatformUnavailable("the store is down", effect_unknown=False)


class MemoryTable(TableService):
    """Table service."""

    def __init__(self, shared: PlatformStandIn, access: Access) -> None:
        self.shared = shared
        self.access = access

    @property
    def rows(self) -> dict[str, Row]:
        """The rows that reads see."""
        return self.shared.rows if self.access.stale is None else self.access.stale

    async def read(self, key: str) -> Row | None:
        """See :meth:`TableService.read`."""
        await self.access.enter()
        return self.rows.get(key)

    async def scan(self, prefix: str) -> list[Row]:
        """See :meth:`TableService.scan`."""
        await self.access.enter()
        return [self.rows[key] for key in sorted(self.rows) if key.startswith(prefix)]

    async def transact(self, transaction: Transaction) -> None:
        """See :meth:`TableService.transact`."""
        await self.access.enter()
        response = self.shared.transact(transaction)
        if response.status == 409:
            raise ConditionFailed(from_json(response.body, dict)["key"])
        if self.access.lose_answers:
            self.access.lose_answers -= 1
            raise PlatformUnavailable("the answer was lost", effect_unknown=True)


class MemoryObjects(ObjectStore):
    """Object store."""

    def __init__(self, shared: PlatformStandIn, access: Access) -> None:
        self.shared = shared
        self.access = access

    async def get(self, name: str) -> bytes | None:
        """See :meth:`ObjectStore.get`."""
        await self.access.enter()
        return self.shared.objects.get(name)

    async def put(self, name: str, data: bytes) -> None:
        """See :meth:`ObjectStore.put`."""
        await self.access.enter()
        self.shared.objects[name] = data


class MemoryMachines(MachineList):
    """Machine list."""

    def __init__(self, shared: PlatformStandIn) -> None:
        self.shared = shared

    async def machines(self) -> list[Machine]:
        """See :meth:`MachineList.machines`."""
        return self.shared.lists[-1][1]


class MemoryPlatform(Platform):
    """One daemon's view of a shared stand-in."""

    def __init__(self, shared: PlatformStandIn | None = None) -> None:
        self.shared = shared or PlatformStandIn()
        self.access = Access()
        self.table = MemoryTable(self.shared, self.access)
        self.objects = MemoryObjects(self.shared, self.access)
        self.machine_list = MemoryMachines(self.shared)

    async def close(self) -> None:
        """Do nothing: there are no connections."""
