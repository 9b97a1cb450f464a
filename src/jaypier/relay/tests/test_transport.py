import asyncio
import random

import pytest
import structlog

from jaypier.core.address import Address
from jaypier.platform import Put, Transaction
from jaypier.relay.peers import Peer, PeerList
from jaypier.relay.transport import (
    MAX_PEERS_PER_CALL,
    STORE_UNREACHABLE_HEADER,
    FailoverTransport,
)
from jaypier.wire.errors import BrokenExchange, ConnectError
from jaypier.wire.messages import HttpRequest, HttpResponse
from standins.cluster import MemoryStore
from standins.virtual_time import LoopClock, run_in_virtual_time

READ = HttpRequest("GET", "/read")
WRITE = HttpRequest("POST", "/write", [], b"row")
OK = HttpResponse(200, [], b"row")
STORE_UNREACHABLE = HttpResponse(503, [(STORE_UNREACHABLE_HEADER, b"1")])


class FakePool:
    """A connection pool that returns the given response, or raises the given exception."""

    def __init__(self, outcome: HttpResponse | Exception) -> None:
        self.outcome = outcome
        self.requests: list[HttpRequest] = []

    async def exchange(
        self, request: HttpRequest, timeout: float, on_progress=None
    ) -> HttpResponse:
        self.requests.append(request)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def close(self) -> None:
        """Do nothing: no connections are open."""


class Harness:
    """A transport with a direct path and any number of peers."""

    def __init__(self, direct, *peers) -> None:
        rng = random.Random(1)
        self.clock = LoopClock(asyncio.get_running_loop())
        self.direct = FakePool(direct)
        self.peer_pools = [FakePool(peer) for peer in peers]
        peer_list = PeerList("vm-0", self.clock, rng)
        peer_list.peers = {
            f"vm-{number}": Peer(f"vm-{number}", Address("127.0.0.1", number), pool)
            for number, pool in enumerate(self.peer_pools, 1)
        }
        self.transport = FailoverTransport(self.direct, peer_list, rng)

    @property
    def peer_call_count(self) -> int:
        return sum(len(pool.requests) for pool in self.peer_pools)

    async def call(self, request: HttpRequest = WRITE) -> HttpResponse:
        return await self.transport.exchange(request, 1.0)


def run_scenario(scenario, direct, *peers) -> None:
    async def run() -> None:
        await scenario(Harness(direct, *peers))

    run_in_virtual_time(run())


class TestDirectPath:
    def test_peers_are_not_called_while_it_works(self):
        async def scenario(harness):
            assert await harness.call() is OK
            assert harness.peer_call_count == 0

        run_scenario(scenario, OK, OK)

    def test_error_status_from_the_store_is_returned(self):
        async def scenario(harness):
            assert (await harness.call()).status == 412
            assert harness.peer_call_count == 0 and not harness.transport.is_direct_path_down

        run_scenario(scenario, HttpResponse(412), OK)


class TestDirectPathDown:
    @pytest.mark.parametrize("direct", [ConnectError("refused"), HttpResponse(503)])
    def test_unsent_call_goes_through_a_peer_at_once(self, direct):
        async def scenario(harness):
            assert await harness.call() is OK
            assert await harness.call() is OK
            assert (len(harness.direct.requests), harness.peer_call_count) == (1, 2)

        run_scenario(scenario, direct, OK)

    def test_write_that_may_have_been_applied_is_not_retried(self):
        async def scenario(harness):
            with pytest.raises(BrokenExchange) as caught:
                await harness.call()
            assert caught.value.sent and harness.peer_call_count == 0
            assert await harness.call() is OK

        run_scenario(scenario, BrokenExchange("cut", sent=True), OK)

    def test_read_is_retried(self):
        async def scenario(harness):
            assert await harness.call(READ) is OK

        run_scenario(scenario, BrokenExchange("cut", sent=True), OK)

    def test_write_through_a_peer_is_not_retried_after_a_broken_exchange(self):
        async def scenario(harness):
            with pytest.raises(BrokenExchange):
                await harness.call()
            assert harness.peer_call_count == 1

        run_scenario(scenario, ConnectError("refused"), *2 * [BrokenExchange("cut", sent=True)])

    def test_store_outage_limits_calls_to_peers(self):
        async def scenario(harness):
            for _ in range(5):
                assert (await harness.call()).status == 503
            assert harness.peer_call_count == MAX_PEERS_PER_CALL
            await asyncio.sleep(3.0)
            await harness.call()
            assert harness.peer_call_count == 2 * MAX_PEERS_PER_CALL

        run_scenario(scenario, HttpResponse(503), *4 * [STORE_UNREACHABLE])

    def test_peer_that_has_relayed_is_used_again(self):
        """A third of the VMs may have lost the store together, so a random peer often fails."""

        async def scenario(harness):
            assert await harness.call() is OK
            tried = harness.peer_call_count
            for _ in range(10):
                await asyncio.sleep(2.1)
                assert await harness.call() is OK
            assert harness.peer_call_count == tried + 10

        run_scenario(scenario, ConnectError("refused"), STORE_UNREACHABLE, STORE_UNREACHABLE, OK)

    def test_request_that_only_this_vm_is_refused_goes_through_a_peer(self):
        async def scenario(harness):
            assert await harness.call() is OK
            assert harness.transport.is_direct_path_down

        run_scenario(scenario, HttpResponse(429), OK)

    def test_overloaded_store_is_not_taken_for_a_lost_path(self):
        async def scenario(harness):
            assert (await harness.call()).status == 429
            assert not harness.transport.is_direct_path_down

        run_scenario(scenario, HttpResponse(429), *2 * [STORE_UNREACHABLE])

    def test_recovered_direct_path_is_detected(self):
        async def scenario(harness):
            probing = asyncio.create_task(harness.transport.run_probes())
            await harness.call()
            harness.direct.outcome = OK
            await asyncio.sleep(1.0)
            assert not harness.transport.is_direct_path_down
            peer_call_count = harness.peer_call_count
            await harness.call()
            assert harness.peer_call_count == peer_call_count
            probing.cancel()

        run_scenario(scenario, ConnectError("refused"), OK)


class TestIsolation:
    def test_daemon_that_reaches_nobody_is_isolated(self):
        async def scenario(harness):
            with pytest.raises(ConnectError):
                await harness.call()
            assert harness.transport.is_isolated

        run_scenario(scenario, ConnectError("silent"), *3 * [ConnectError("silent")])

    @pytest.mark.parametrize("peer", [OK, STORE_UNREACHABLE])
    def test_daemon_that_reaches_a_peer_is_not_isolated(self, peer):
        async def scenario(harness):
            harness.peer_pools[0].outcome = peer
            try:
                await harness.call()
            except ConnectError:
                pass
            assert not harness.transport.is_isolated

        run_scenario(scenario, ConnectError("silent"), ConnectError("silent"))

    def test_daemon_without_peers_is_not_isolated(self):
        async def scenario(harness):
            with pytest.raises(ConnectError):
                await harness.call()
            assert not harness.transport.is_isolated

        run_scenario(scenario, ConnectError("silent"))

    def test_isolation_ends_with_the_first_response_of_the_store(self):
        async def scenario(harness):
            probing = asyncio.create_task(harness.transport.run_probes())
            with pytest.raises(ConnectError):
                await harness.call()
            harness.direct.outcome = OK
            await asyncio.sleep(1.0)
            assert not harness.transport.is_isolated
            probing.cancel()

        run_scenario(scenario, ConnectError("silent"), ConnectError("silent"))


class TestRelayForPeers:
    def test_call_is_relayed(self):
        async def scenario(harness):
            response = await harness.transport.handle(WRITE)
            assert (response.status, response.body) == (200, b"row")
            assert harness.direct.requests[0].body == b"row"

        run_scenario(scenario, OK)

    def test_response_tells_whether_the_store_may_have_been_reached(self):
        async def scenario(harness):
            assert (await harness.transport.handle(WRITE)).status == 504
            refused = await harness.transport.handle(WRITE)
            assert refused.header(STORE_UNREACHABLE_HEADER)
            assert len(harness.direct.requests) == 1

        run_scenario(scenario, BrokenExchange("cut", sent=True))

    def test_relayed_call_is_not_relayed_again(self):
        async def scenario(harness):
            response = await harness.transport.handle(READ)
            assert response.header(STORE_UNREACHABLE_HEADER) and harness.peer_call_count == 0

        run_scenario(scenario, ConnectError("refused"), OK)


class TestPeerList:
    def test_unreadable_rows_are_left_out(self):
        async def scenario() -> None:
            store = MemoryStore(random.Random(1))
            values = {"vm-1": {"relay": "127.0.0.1:7000"}, "vm-2": {"relay": "x"}, "vm-3": [1]}
            puts = [Put(f"daemons/{name}", value) for name, value in values.items()]
            store.apply(Transaction(puts=puts))
            peers = PeerList("vm-0", LoopClock(asyncio.get_running_loop()), random.Random(1))
            await peers.refresh(store)
            assert list(peers.peers) == ["vm-1"]

        run_in_virtual_time(scenario())

    def test_odd_row_is_logged_once_for_each_of_its_versions(self):
        # Regression: every refresh logged it again, on every daemon.
        async def scenario() -> None:
            store = MemoryStore(random.Random(1))
            peers = PeerList("vm-0", LoopClock(asyncio.get_running_loop()), random.Random(1))
            with structlog.testing.capture_logs() as lines:
                for relay in ("127.0.0.1:0", "127.0.0.1:65536"):
                    store.apply(Transaction(puts=[Put("daemons/vm-1", {"relay": relay})]))
                    for _ in range(3):
                        await peers.refresh(store)
            assert [line["event"] for line in lines] == 2 * ["row left out: cannot be decoded"]
            assert all(line["key"].endswith("vm-1") for line in lines)

        run_in_virtual_time(scenario())

    def test_long_odd_row_has_a_short_log_line(self):
        # Regression: the line quoted the whole row.
        async def scenario() -> None:
            store = MemoryStore(random.Random(1))
            peers = PeerList("vm-0", LoopClock(asyncio.get_running_loop()), random.Random(1))
            store.apply(Transaction(puts=[Put("daemons/vm-1", {"relay": "x" * 60_000})]))
            with structlog.testing.capture_logs() as lines:
                await peers.refresh(store)
            assert len(str(lines)) < 1000

        run_in_virtual_time(scenario())
