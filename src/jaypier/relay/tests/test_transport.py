import asyncio
import random

import pytest

from jaypier.core.address import Address
from jaypier.relay.peers import Peer, PeerList
from jaypier.relay.transport import NO_STORE_HEADER, RelayedTransport
from jaypier.wire.errors import BrokenExchange, ConnectError
from jaypier.wire.messages import HttpRequest, HttpResponse
from standins.virtual_time import LoopClock, run_in_virtual_time

READ = HttpRequest("GET", "/read")
WRITE = HttpRequest("POST", "/write", [], b"row")
OK = HttpResponse(200, [], b"row")
LACKS_STORE = HttpResponse(503, [(NO_STORE_HEADER, b"1")])


class Path:
    """Connections to somewhere that answer, or fail, as told."""

    def __init__(self, outcome: HttpResponse | Exception) -> None:
        self.outcome = outcome
        self.requests: list[HttpRequest] = []

    async def exchange(self, request: HttpRequest, timeout: float) -> HttpResponse:
        self.requests.append(request)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def close(self) -> None:
        """Close nothing."""


class Bench:
    """A transport with a direct path and two peers."""

    def __init__(self, direct, *peers) -> None:
        rng = random.Random(1)
        self.clock = LoopClock(asyncio.get_running_loop())
        self.direct = Path(direct)
        self.paths = [Path(peer) for peer in peers]
        peer_list = PeerList("vm-0", self.clock, rng)
        peer_list.peers = {
            f"vm-{number}": Peer(f"vm-{number}", Address("127.0.0.1", number), path)
            for number, path in enumerate(self.paths, 1)
        }
        self.transport = RelayedTransport(self.direct, peer_list, rng)

    @property
    def asked(self) -> int:
        return sum(len(path.requests) for path in self.paths)

    async def call(self, request: HttpRequest = WRITE) -> HttpResponse:
        return await self.transport.exchange(request, 1.0)


def play(scenario, direct, *peers) -> None:
    async def run() -> None:
        await scenario(Bench(direct, *peers))

    run_in_virtual_time(run())


class TestOwnPath:
    def test_peers_are_not_asked_while_it_works(self):
        async def scenario(bench):
            assert await bench.call() is OK
            assert bench.asked == 0

        play(scenario, OK, OK)

    def test_refusals_that_are_answers_are_passed_on(self):
        async def scenario(bench):
            assert (await bench.call()).status == 412
            assert bench.asked == 0 and not bench.transport.is_lost

        play(scenario, HttpResponse(412), OK)


class TestLostPath:
    @pytest.mark.parametrize("direct", [ConnectError("refused"), HttpResponse(503)])
    def test_call_that_did_not_reach_the_store_goes_through_a_peer_at_once(self, direct):
        async def scenario(bench):
            assert await bench.call() is OK
            assert await bench.call() is OK
            assert (len(bench.direct.requests), bench.asked) == (1, 2)

        play(scenario, direct, OK)

    def test_write_that_may_have_reached_it_is_not_repeated(self):
        async def scenario(bench):
            with pytest.raises(BrokenExchange) as caught:
                await bench.call()
            assert caught.value.sent and bench.asked == 0
            assert await bench.call() is OK

        play(scenario, BrokenExchange("cut", sent=True), OK)

    def test_reading_is_repeated(self):
        async def scenario(bench):
            assert await bench.call(READ) is OK

        play(scenario, BrokenExchange("cut", sent=True), OK)

    def test_write_through_a_peer_that_broke_off_is_not_repeated(self):
        async def scenario(bench):
            with pytest.raises(BrokenExchange):
                await bench.call()
            assert bench.asked == 1

        play(scenario, ConnectError("refused"), *2 * [BrokenExchange("cut", sent=True)])

    def test_outage_of_the_whole_store_asks_peers_rarely(self):
        async def scenario(bench):
            for _ in range(5):
                assert (await bench.call()).status == 503
            assert bench.asked == 2
            await asyncio.sleep(3.0)
            await bench.call()
            assert bench.asked == 4

        play(scenario, HttpResponse(503), *3 * [LACKS_STORE])

    def test_path_that_is_back_is_found(self):
        async def scenario(bench):
            probing = asyncio.create_task(bench.transport.run_probes())
            await bench.call()
            bench.direct.outcome = OK
            await asyncio.sleep(1.0)
            assert not bench.transport.is_lost
            asked = bench.asked
            await bench.call()
            assert bench.asked == asked
            probing.cancel()

        play(scenario, ConnectError("refused"), OK)


class TestForPeers:
    def test_call_is_passed_on(self):
        async def scenario(bench):
            response = await bench.transport.handle(WRITE)
            assert (response.status, response.body) == (200, b"row")
            assert bench.direct.requests[0].body == b"row"

        play(scenario, OK)

    def test_peer_is_told_whether_the_store_may_have_been_reached(self):
        async def scenario(bench):
            assert (await bench.transport.handle(WRITE)).status == 504
            refused = await bench.transport.handle(WRITE)
            assert refused.header(NO_STORE_HEADER)
            assert len(bench.direct.requests) == 1

        play(scenario, BrokenExchange("cut", sent=True))

    def test_call_of_a_peer_is_never_passed_to_another_peer(self):
        async def scenario(bench):
            response = await bench.transport.handle(READ)
            assert response.header(NO_STORE_HEADER) and bench.asked == 0

        play(scenario, ConnectError("refused"), OK)
