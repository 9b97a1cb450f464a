"""Tests of the configuration watch over loopback sockets with limited bandwidth."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import attrs
import pytest

from jaypier.core.address import Address
from jaypier.core.clock import MonotonicClock
from jaypier.entry.watcher import ConfigurationWatcher
from jaypier.platform import Put, Transaction
from jaypier.platform.operators import StoreOperatorSource
from jaypier.platform.store import MAX_RESPONSE_BYTES, StoreTable
from jaypier.relay.peers import Peer, PeerList
from jaypier.relay.transport import FailoverTransport
from jaypier.wire.client import ConnectionPool
from jaypier.wire.server import HttpServer
from standins.cluster import MemoryStore
from standins.ports import HOST, ReservedPorts
from standins.protocol import StoreServer, encode_configuration
from standins.proxy import LoopbackProxy, ProxyMode

ROUTES = 3000
LINK_BYTES_PER_SECOND = 400_000
CONFIGURATION_BYTES = 851_000
"""Size of the large configuration on the wire."""

TRANSFER_SECONDS = 2.5
"""Time that it takes on the link, and a margin."""


def large_configuration(version: int) -> dict:
    configuration = encode_configuration(version, {"dairy": ["key"]})
    route = configuration["Routes"][0]
    configuration["Routes"] += [
        {**route, "Name": f"r-{number}", "PathPrefix": f"/added/{number:06}/"}
        for number in range(ROUTES)
    ]
    return configuration


@attrs.define
class Vm:
    """A VM whose link to the store is limited.

    :param proxy: its link to the store.
    :param transport: its requests to the store.
    """

    proxy: LoopbackProxy
    transport: FailoverTransport


class Harness:
    """A store over HTTP and VMs that watch it, each over a link of its own."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self.stack = stack
        self.store = MemoryStore(random.Random(1))
        self.ports = stack.enter_context(ReservedPorts())
        self.store_address = self.reserve_address()
        self.write(encode_configuration(1, {"dairy": ["key"]}))

    def reserve_address(self) -> Address:
        return Address(HOST, self.ports.reserve())

    def write(self, configuration: dict) -> None:
        self.store.apply_from_operator(Transaction(puts=[Put("op/config", configuration)]))

    async def serve(self, address: Address, handler) -> None:
        await self.stack.enter_async_context(HttpServer(address, handler, lambda error: None))

    async def add_vm(self, *peers: "Vm") -> Vm:
        """Start a VM that can reach the store through the given other VMs."""
        proxy = LoopbackProxy(self.reserve_address(), self.store_address)
        proxy.bytes_per_second = LINK_BYTES_PER_SECOND
        await self.stack.enter_async_context(proxy)
        peer_list = PeerList("vm", MonotonicClock(), random.Random(1))
        for number, peer in enumerate(peers):
            address = self.reserve_address()
            await self.serve(address, peer.transport.handle)
            pool = ConnectionPool(address, MAX_RESPONSE_BYTES)
            peer_list.peers[f"peer-{number}"] = Peer(f"peer-{number}", address, pool)
        direct = ConnectionPool(proxy.listen, MAX_RESPONSE_BYTES)
        transport = FailoverTransport(direct, peer_list, random.Random(1))
        self.stack.callback(transport.close)
        return Vm(proxy, transport)

    @asynccontextmanager
    async def watch(self, vm: Vm) -> AsyncIterator[ConfigurationWatcher]:
        """Run a watcher on a VM until it has the first configuration, and beyond."""
        source = StoreOperatorSource(StoreTable(vm.transport, 65536))
        watcher = ConfigurationWatcher(source, MonotonicClock(), random.Random(1))
        tasks = [asyncio.create_task(work()) for work in (watcher.run, vm.transport.run_probes)]
        try:
            await wait_for_version(watcher, 1, 5.0)
            yield watcher
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def wait_for_version(watcher: ConfigurationWatcher, version: int, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while watcher.configuration is None or watcher.configuration.version != version:
            await asyncio.sleep(0.02)


def run_scenario(scenario) -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            harness = Harness(stack)
            await harness.serve(harness.store_address, StoreServer(harness.store).handle)
            await scenario(harness)

    asyncio.run(run())


class TestSlowLinks:
    def test_large_configuration_arrives_over_a_slow_link(self):
        async def scenario(harness: Harness) -> None:
            vm = await harness.add_vm()
            async with harness.watch(vm) as watcher:
                harness.write(large_configuration(2))
                await wait_for_version(watcher, 2, 3 * TRANSFER_SECONDS)
                assert vm.proxy.response_bytes < 1.3 * CONFIGURATION_BYTES

        run_scenario(scenario)

    def test_large_configuration_arrives_after_an_outage(self):
        async def scenario(harness: Harness) -> None:
            vm = await harness.add_vm()
            async with harness.watch(vm) as watcher:
                vm.proxy.mode = ProxyMode.DROP
                harness.write(large_configuration(2))
                while watcher.is_store_reachable:
                    await asyncio.sleep(0.02)
                vm.proxy.mode = ProxyMode.FORWARD
                await wait_for_version(watcher, 2, 3 * TRANSFER_SECONDS)

        run_scenario(scenario)

    def test_large_configuration_arrives_at_several_vms_through_one_peer(self):
        async def scenario(harness: Harness) -> None:
            peer = await harness.add_vm()
            vms = [await harness.add_vm(peer) for _ in range(3)]
            async with AsyncExitStack() as stack:
                watchers = [await stack.enter_async_context(harness.watch(vm)) for vm in vms]
                for vm in vms:
                    vm.proxy.mode = ProxyMode.REFUSE
                    vm.proxy.abort_connections()
                harness.write(large_configuration(2))
                await asyncio.gather(
                    *(wait_for_version(each, 2, 10 * TRANSFER_SECONDS) for each in watchers)
                )

        run_scenario(scenario)

    @pytest.mark.parametrize("is_cut_off", [True, False])
    def test_large_configuration_arrives_through_a_peer_on_a_slow_link(self, is_cut_off):
        async def scenario(harness: Harness) -> None:
            vm = await harness.add_vm(await harness.add_vm())
            async with harness.watch(vm) as watcher:
                vm.proxy.mode = ProxyMode.DROP if is_cut_off else ProxyMode.REFUSE
                vm.proxy.abort_connections()
                harness.write(large_configuration(2))
                await wait_for_version(watcher, 2, 4 * TRANSFER_SECONDS)

        run_scenario(scenario)
