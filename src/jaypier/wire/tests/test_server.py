"""Tests of client and server with each other over loopback sockets."""

import asyncio
import itertools
import socket
import tracemalloc

import pytest

from jaypier.core.address import Address
from jaypier.wire import connection as wire_connection
from jaypier.wire.capacity import MemoryBudget, RefusalReason, ServerCapacity
from jaypier.wire.client import ConnectionPool
from jaypier.wire.connection import EVENTS_PER_TURN, MAX_BYTES_AHEAD, READ_BYTES, REQUEST_BYTES
from jaypier.wire.errors import BrokenExchange, ConnectError, ExchangeTimeout
from jaypier.wire.messages import MAX_BODY_BYTES, HttpRequest, HttpResponse
from jaypier.wire.server import HttpLimits, HttpServer
from jaypier.wire.turns import CONNECTIONS_PER_TURN

REQUEST = HttpRequest("POST", "/x", [], b"body")


def free_address() -> Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


class Harness:
    """A server whose responses wait for the event ``release``, and a client of it."""

    def __init__(self) -> None:
        self.address = free_address()
        self.release = asyncio.Event()
        self.entered = asyncio.Event()
        self.release.set()
        self.errors: list[Exception] = []
        self.server = HttpServer(self.address, self.handle, self.errors.append)
        self.pool = ConnectionPool(self.address)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.entered.set()
        if request.path == "/fault":
            raise RuntimeError("fault")
        await self.release.wait()
        return HttpResponse(200, [], request.body)

    async def send_raw(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        writer.write(data)
        response = await reader.read()
        writer.close()
        return response


def run_scenario(scenario) -> None:
    async def run() -> None:
        harness = Harness()
        async with harness.server, harness.pool:
            await asyncio.wait_for(scenario(harness), 20.0)

    asyncio.run(run())


class TestProgress:
    def test_announced_progress_extends_the_time_to_wait(self):
        async def scenario(harness: Harness) -> None:
            async def handle(request: HttpRequest) -> HttpResponse:
                for _ in range(25):
                    await asyncio.sleep(0.1)
                    request.announce_progress()
                return HttpResponse(200, [], b"late")

            harness.server.handler = handle
            assert (await harness.pool.exchange(REQUEST, 1.5)).body == b"late"

        run_scenario(scenario)

    def test_announcement_after_the_response_has_no_effect(self):
        async def scenario(harness: Harness) -> None:
            requests: list[HttpRequest] = []

            async def handle(request: HttpRequest) -> HttpResponse:
                requests.append(request)
                return HttpResponse(200, [], b"body")

            harness.server.handler = handle
            for _ in range(3):
                assert (await harness.pool.exchange(REQUEST, 5.0)).body == b"body"
                requests[-1].announce_progress()
            assert len(harness.server.connections) == 1

        run_scenario(scenario)


class TestExchanges:
    def test_server_listens_on_an_ipv6_address(self):
        async def scenario(harness):
            address = Address("::1", harness.address.port)
            server = HttpServer(address, harness.handle, harness.errors.append)
            async with server, ConnectionPool(address) as pool:
                assert (await pool.exchange(REQUEST, 5.0)).body == b"body"

        run_scenario(scenario)

    def test_response_that_cannot_be_sent_ends_the_connection(self):
        async def scenario(harness):
            async def handle(request: HttpRequest) -> HttpResponse:
                return HttpResponse(200, [(b"x", b"a\nb")])

            harness.server.handler = handle
            with pytest.raises(BrokenExchange):
                await harness.pool.exchange(REQUEST, 5.0)
            assert len(harness.errors) == 1
            assert not harness.server.connections and not harness.server.waiting

        run_scenario(scenario)

    def test_connection_is_reused(self):
        async def scenario(harness):
            for _ in range(3):
                assert (await harness.pool.exchange(REQUEST, 5.0)).body == b"body"
            assert len(harness.server.connections) == 1

        run_scenario(scenario)

    def test_handler_exception_gives_500(self):
        async def scenario(harness):
            response = await harness.pool.exchange(HttpRequest("GET", "/fault"), 5.0)
            assert response.status == 500
            assert len(harness.errors) == 1

        run_scenario(scenario)

    def test_timed_out_exchange_closes_the_connection(self):
        async def scenario(harness):
            harness.release.clear()
            with pytest.raises(ExchangeTimeout) as caught:
                await harness.pool.exchange(REQUEST, 0.05)
            assert caught.value.sent
            harness.release.set()
            other = HttpRequest("POST", "/x", [], b"other")
            assert (await harness.pool.exchange(other, 5.0)).body == b"other"

        run_scenario(scenario)

    def test_refused_connection_reports_nothing_sent(self):
        async def scenario(harness):
            with pytest.raises(ConnectError) as caught:
                await ConnectionPool(free_address()).exchange(REQUEST, 1.0)
            assert not caught.value.sent

        run_scenario(scenario)

    def test_aborted_connection_reports_the_request_as_sent(self):
        async def scenario(harness):
            harness.release.clear()
            exchange = asyncio.create_task(harness.pool.exchange(REQUEST, 5.0))
            await harness.entered.wait()
            for connection in list(harness.server.connections):
                connection.transport.abort()
            with pytest.raises(BrokenExchange) as caught:
                await exchange
            assert caught.value.sent

        run_scenario(scenario)


class TestMalformedInput:
    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"no http at all\r\n\r\n", b"400"),
            (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 70_000, b"431"),
        ],
    )
    def test_malformed_request_is_rejected(self, data, status):
        async def scenario(harness):
            response = await harness.send_raw(data)
            assert response.split()[1] == status

        run_scenario(scenario)

    def test_oversized_body_is_rejected(self):
        async def scenario(harness):
            size = MAX_BODY_BYTES + 1
            head = f"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n".encode()
            response = await harness.send_raw(head + b"x" * size)
            assert response.split()[1] == b"413"

        run_scenario(scenario)


class TestLimits:
    """Limits that operators change apply to connections that are opened afterwards."""

    def test_body_and_header_sizes(self):
        async def scenario(harness):
            harness.server.get_limits = lambda: HttpLimits(max_header_bytes=500, max_body_bytes=10)
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n"
            response = await harness.send_raw(head + b"\r\n" + b"x" * 11)
            assert response.split()[1] == b"413"
            response = await harness.send_raw(head + b"y: " + b"z" * 600)
            assert response.split()[1] == b"431"

        run_scenario(scenario)

    def test_slow_request_gets_408(self):
        async def scenario(harness):
            harness.server.get_limits = lambda: HttpLimits(header_timeout_seconds=0.05)
            response = await harness.send_raw(b"POST / HTTP/1.1\r\nhost:")
            assert response.split()[1] == b"408"

        run_scenario(scenario)

    def test_idle_connection_is_closed(self):
        async def scenario(harness):
            harness.server.get_limits = lambda: HttpLimits(idle_timeout_seconds=0.05)
            assert await harness.send_raw(b"") == b""

        run_scenario(scenario)

    def test_timeouts_do_not_apply_while_the_handler_runs(self):
        async def scenario(harness):
            harness.server.get_limits = lambda: HttpLimits(
                idle_timeout_seconds=0.01, header_timeout_seconds=0.01
            )
            harness.release.clear()
            exchange = asyncio.create_task(harness.pool.exchange(REQUEST, 10.0))
            await harness.entered.wait()
            await asyncio.sleep(0.1)
            harness.release.set()
            assert (await exchange).body == b"body"

        run_scenario(scenario)


class TestUnreadResponses:
    """Clients that send requests ahead and read no response."""

    async def send_ahead(self, harness: Harness, seconds: float) -> bool:
        """Send requests for some seconds; return whether the connection has been closed by then."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            await loop.sock_connect(client, (harness.address.host, harness.address.port))
            while loop.time() < deadline:
                try:
                    client.send(100 * b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
                except BlockingIOError:
                    await asyncio.sleep(0.01)
                except ConnectionError:
                    return True
                await asyncio.sleep(0)
        return False

    def test_client_is_disconnected_though_it_goes_on_sending(self, monkeypatch):
        monkeypatch.setattr(wire_connection, "RESPONSE_WRITE_TIMEOUT_SECONDS", 0.3)

        async def scenario(harness):
            async def handle(request: HttpRequest) -> HttpResponse:
                return HttpResponse(200, [], bytes(10_000))

            harness.server.handler = handle
            assert await self.send_ahead(harness, 10.0)
            assert not harness.server.connections

        run_scenario(scenario)

    def test_requests_ahead_are_not_read_while_one_is_handled(self):
        async def scenario(harness):
            harness.release.clear()
            await self.send_ahead(harness, 0.5)
            (connection,) = harness.server.connections
            assert connection.bytes_ahead <= MAX_BYTES_AHEAD + READ_BYTES

        run_scenario(scenario)

    def test_all_requests_ahead_are_answered_to_a_client_that_reads(self):
        count = 5000

        async def scenario(harness):
            request = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"
            last = request.replace(b"host: a", b"host: a\r\nconnection: close")
            response = await harness.send_raw((count - 1) * request + last)
            assert response.count(b"HTTP/1.1 200") == count

        run_scenario(scenario)


class TestMaximumOfConnections:
    """Three connections at most."""

    def run_scenario(self, scenario) -> None:
        refusals = []

        async def limited(harness):
            harness.server.capacity = ServerCapacity(max_connections=3)
            harness.server.on_refusal = refusals.append
            await scenario(harness, refusals)

        run_scenario(limited)

    def test_longest_waiting_connection_is_closed_for_a_new_one(self):
        async def scenario(harness, refusals):
            pools = [ConnectionPool(harness.address) for _ in range(4)]
            for pool in (*pools[:3], pools[0], pools[3]):
                assert (await pool.exchange(REQUEST, 5.0)).body == b"body"
            await asyncio.sleep(0.05)
            assert [pool.idle[0].is_reusable for pool in pools] == [True, False, True, True]
            assert refusals == [RefusalReason.CONNECTIONS]

        self.run_scenario(scenario)

    def test_request_in_progress_is_not_cut_for_a_new_connection(self):
        async def scenario(harness, refusals):
            harness.release.clear()
            async with asyncio.TaskGroup() as group:
                pools = [ConnectionPool(harness.address) for _ in range(3)]
                exchanges = [group.create_task(pool.exchange(REQUEST, 9.0)) for pool in pools]
                while len(harness.server.waiting) or len(harness.server.connections) < 3:
                    await asyncio.sleep(0.01)
                with pytest.raises(BrokenExchange):
                    await ConnectionPool(harness.address).exchange(REQUEST, 5.0)
                harness.release.set()
            assert [each.result().body for each in exchanges] == 3 * [b"body"]
            assert refusals == [RefusalReason.CONNECTIONS]

        self.run_scenario(scenario)

    def test_client_that_dribbles_a_request_gains_no_time(self):
        async def scenario(harness, refusals):
            reader, writer = await asyncio.open_connection(
                harness.address.host, harness.address.port
            )
            pools = [ConnectionPool(harness.address) for _ in range(3)]
            for pool in pools:
                writer.write(b"G")
                await pool.exchange(REQUEST, 5.0)
            assert await reader.read() == b""
            writer.close()
            assert all(pool.idle[0].is_reusable for pool in pools)

        self.run_scenario(scenario)


class TestMemoryOfClients:
    def test_largest_request_is_refused_and_others_are_served(self):
        async def scenario(harness):
            refusals: list[RefusalReason] = []
            harness.server.budget = MemoryBudget(640_000)
            harness.server.on_refusal = refusals.append
            streams = []
            for size in (250_000, 300_000, 70_000):
                reader, writer = await asyncio.open_connection(
                    harness.address.host, harness.address.port
                )
                streams.append((reader, writer))
                writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 310000\r\n\r\n")
                writer.write(bytes(size))
                await writer.drain()
            reader, _ = streams[1]
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503") and b"retry-after: 1" in head
            await reader.read()
            for (reader, writer), rest in zip(streams[::2], (60_000, 240_000), strict=True):
                writer.write(bytes(rest))
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
                await reader.readexactly(310_000)
            for _, writer in streams:
                writer.close()
            assert refusals == [RefusalReason.MEMORY]
            while harness.server.connections:
                await asyncio.sleep(0.01)
            assert harness.server.budget.held_bytes == 0

        run_scenario(scenario)


class TestRequestsInProgress:
    BUSY = HttpRequest("POST", "/x", [], b"busy")

    async def occupy(self, harness, group, count: int) -> list[asyncio.Task]:
        """Send requests whose handlers wait, and return the exchanges."""
        harness.release.clear()
        pools = [ConnectionPool(harness.address) for _ in range(count)]
        exchanges = [group.create_task(pool.exchange(self.BUSY, 9.0)) for pool in pools]
        while harness.server.requests < count:
            await asyncio.sleep(0.01)
        return exchanges

    def test_request_beyond_the_maximum_is_refused_at_once_and_later_ones_are_served(self):
        async def scenario(harness):
            harness.server.capacity = ServerCapacity(max_requests=2)
            async with asyncio.TaskGroup() as group:
                exchanges = await self.occupy(harness, group, 2)
                response = await harness.pool.exchange(REQUEST, 5.0)
                assert (response.status, response.header(b"retry-after")) == (503, "1")
                harness.release.set()
            assert [each.result().body for each in exchanges] == 2 * [b"busy"]
            assert (await harness.pool.exchange(REQUEST, 5.0)).status == 200
            assert harness.server.requests == 0

        run_scenario(scenario)

    def test_requests_take_up_half_of_the_budget_at_most(self):
        async def scenario(harness):
            harness.server.budget = MemoryBudget(6 * REQUEST_BYTES)
            async with asyncio.TaskGroup() as group:
                await self.occupy(harness, group, 2)
                assert (await harness.pool.exchange(REQUEST, 5.0)).status == 503
                harness.release.set()
            assert (await harness.pool.exchange(REQUEST, 5.0)).status == 200

        run_scenario(scenario)

    def test_request_of_a_client_that_disconnects_no_longer_counts(self):
        async def scenario(harness):
            harness.release.clear()
            with pytest.raises(ExchangeTimeout):
                await harness.pool.exchange(self.BUSY, 0.2)
            while harness.server.connections:
                await asyncio.sleep(0.01)
            assert harness.server.requests == harness.server.budget.handled_bytes == 0

        run_scenario(scenario)


class TestTurns:
    """Other tasks and servers of the process, while many clients send to one server."""

    CLIENTS = 64

    async def connect(self, harness, data: bytes) -> list[asyncio.StreamWriter]:
        streams = [
            await asyncio.open_connection(harness.address.host, harness.address.port)
            for _ in range(self.CLIENTS)
        ]
        while len(harness.server.connections) < self.CLIENTS:
            await asyncio.sleep(0.01)
        for _, writer in streams:
            writer.write(data)
        return [writer for _, writer in streams]

    def test_waiting_connections_are_not_read_beyond_the_limit(self):
        async def scenario(harness):
            request = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + bytes(1000).hex().encode() + b"\r\n\r\n"
            writers = await self.connect(harness, 100 * request)
            largest = 0
            while not all(each.is_idle for each in harness.server.connections) or not largest:
                largest = max(largest, *(each.bytes_ahead for each in harness.server.connections))
                await asyncio.sleep(0)
            assert largest <= MAX_BYTES_AHEAD + READ_BYTES
            for writer in writers:
                writer.close()

        run_scenario(scenario)

    async def count_between_turns(self, get_count, total: int) -> int:
        """Return by how much a count grows at most in one turn of the event loop."""
        counts = [get_count()]
        while counts[-1] < total:
            await asyncio.sleep(0)
            counts.append(get_count())
        return max(after - before for before, after in itertools.pairwise(counts))

    def test_few_requests_are_begun_in_a_turn_of_the_event_loop(self):
        async def scenario(harness):
            handled = []

            async def handle(request: HttpRequest) -> HttpResponse:
                handled.append(request)
                return HttpResponse(200)

            harness.server.handler = handle
            writers = await self.connect(harness, 10 * b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            total = 10 * self.CLIENTS
            most = await self.count_between_turns(lambda: len(handled), total)
            assert most <= 2 * CONNECTIONS_PER_TURN
            assert len(handled) == total
            for writer in writers:
                writer.close()

        run_scenario(scenario)

    def test_few_chunks_are_parsed_in_a_turn_of_the_event_loop(self):
        async def scenario(harness):
            head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            writers = await self.connect(harness, head + 1000 * b"1\r\nx\r\n")

            def count_chunks() -> int:
                return sum(len(each.body) for each in harness.server.connections)

            most = await self.count_between_turns(count_chunks, 1000 * self.CLIENTS)
            assert most <= 2 * CONNECTIONS_PER_TURN * EVENTS_PER_TURN
            for writer in writers:
                writer.close()

        run_scenario(scenario)


class TestChunkedBodies:
    def test_body_takes_memory_by_its_size_not_by_its_chunks(self):
        count = 20_000

        async def scenario(harness):
            reader, writer = await asyncio.open_connection(
                harness.address.host, harness.address.port
            )
            writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
            await writer.drain()
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
            for _ in range(count // 1000):
                writer.write(1000 * b"2\r\nxx\r\n")
                await writer.drain()
            (connection,) = harness.server.connections
            while len(connection.body) < 2 * count:
                await asyncio.sleep(0.01)
            used = tracemalloc.get_traced_memory()[0] - before
            tracemalloc.stop()
            assert used < 8 * 2 * count
            writer.close()

        run_scenario(scenario)


class TestGracefulShutdown:
    def test_request_in_flight_gets_its_response(self):
        async def scenario(harness):
            harness.release.clear()
            exchange = asyncio.create_task(harness.pool.exchange(REQUEST, 10.0))
            await harness.entered.wait()
            draining = asyncio.create_task(harness.server.drain(10.0))
            await asyncio.sleep(0)
            harness.release.set()
            response = await exchange
            assert (response.status, response.header(b"connection")) == (200, "close")
            assert await draining == 0

        run_scenario(scenario)

    def test_requests_that_wait_for_their_turn_get_their_responses(self):
        count = 64

        async def scenario(harness):
            streams = [
                await asyncio.open_connection(harness.address.host, harness.address.port)
                for _ in range(count)
            ]
            for _, writer in streams:
                writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            while not harness.server.turns.queue:
                await asyncio.sleep(0)
            await harness.server.drain(10.0)
            for reader, writer in streams:
                assert (await reader.read()).startswith(b"HTTP/1.1 200")
                writer.close()

        run_scenario(scenario)

    def test_requests_sent_ahead_get_their_responses(self):
        async def scenario(harness):
            harness.release.clear()
            reader, writer = await asyncio.open_connection(
                harness.address.host, harness.address.port
            )
            writer.write(3 * b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody")
            await harness.entered.wait()
            draining = asyncio.create_task(harness.server.drain(10.0))
            await asyncio.sleep(0)
            harness.release.set()
            text = await reader.read()
            assert text.count(b"HTTP/1.1 200") == 3
            assert text.count(b"connection: close") == 1
            assert await draining == 0
            writer.close()

        run_scenario(scenario)

    def test_new_connections_are_refused_and_idle_ones_closed(self):
        async def scenario(harness):
            await harness.pool.exchange(REQUEST, 5.0)
            assert await harness.server.drain(10.0) == 0
            assert not harness.server.connections
            with pytest.raises(ConnectError):
                await ConnectionPool(harness.address).exchange(REQUEST, 1.0)

        run_scenario(scenario)

    def test_requests_in_flight_at_the_timeout_are_counted(self):
        async def scenario(harness):
            harness.release.clear()
            exchange = asyncio.create_task(harness.pool.exchange(REQUEST, 10.0))
            await harness.entered.wait()
            assert await harness.server.drain(0.1) == 1
            exchange.cancel()

        run_scenario(scenario)
