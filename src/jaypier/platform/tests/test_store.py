"""Tests of calls to the store over loopback sockets with limited bandwidth."""

import asyncio
import random
from contextlib import AsyncExitStack

from jaypier.core.address import Address
from jaypier.core.clock import MonotonicClock
from jaypier.platform import Put, Transaction
from jaypier.platform.store import MAX_RESPONSE_BYTES, StoreTable
from jaypier.relay.peers import PeerList
from jaypier.relay.transport import FailoverTransport
from jaypier.wire.client import ConnectionPool
from jaypier.wire.server import HttpLimits, HttpServer
from standins.cluster import MemoryStore
from standins.ports import HOST, ReservedPorts
from standins.protocol import StoreServer
from standins.proxy import LoopbackProxy

LINK_BYTES_PER_SECOND = 400_000
ROWS = 12
ROW_CHARACTERS = 50_000


def run_over_slow_link(scenario) -> None:
    """Run a scenario with a table whose link to the store is slow."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            ports = stack.enter_context(ReservedPorts())
            near, far = (Address(HOST, ports.reserve()) for _ in range(2))
            store = MemoryStore(random.Random(1))
            limits = HttpLimits(max_body_bytes=MAX_RESPONSE_BYTES)
            handle = StoreServer(store).handle
            await stack.enter_async_context(
                HttpServer(far, handle, lambda error: None, lambda: limits)
            )
            proxy = await stack.enter_async_context(LoopbackProxy(near, far))
            proxy.bytes_per_second = LINK_BYTES_PER_SECOND
            rng = random.Random(1)
            peers = PeerList("vm", MonotonicClock(), rng)
            transport = FailoverTransport(ConnectionPool(near, MAX_RESPONSE_BYTES), peers, rng)
            stack.callback(transport.close)
            await scenario(store, StoreTable(transport, 65536))

    asyncio.run(run())


def large_transaction() -> Transaction:
    return Transaction(puts=[Put(f"jobs/{number}", "x" * ROW_CHARACTERS) for number in range(ROWS)])


class TestSlowLinks:
    def test_large_write_is_confirmed(self):
        async def scenario(store: MemoryStore, table: StoreTable) -> None:
            assert await table.commit(large_transaction()) == store.version

        run_over_slow_link(scenario)

    def test_large_table_is_read(self):
        async def scenario(store: MemoryStore, table: StoreTable) -> None:
            store.apply(large_transaction())
            assert len((await table.snapshot("jobs")).rows) == ROWS

        run_over_slow_link(scenario)
