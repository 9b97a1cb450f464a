"""Client and server against each other over loopback sockets."""

import asyncio
import socket

import pytest

from jaypier.core.address import Address
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import BrokenExchange, ConnectError, ExchangeTimeout
from jaypier.wire.messages import MAX_BODY_BYTES, HttpRequest, HttpResponse
from jaypier.wire.server import HttpServer, Limits

REQUEST = HttpRequest("POST", "/x", [], b"body")


def free_address() -> Address:
    with socket.socket() as each:
        each.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", each.getsockname()[1])


class Scene:
    """A server whose answers wait for ``gate``, and a client of it."""

    def __init__(self) -> None:
        self.address = free_address()
        self.gate = asyncio.Event()
        self.entered = asyncio.Event()
        self.gate.set()
        self.errors: list[Exception] = []
        self.server = HttpServer(self.address, self.handle, self.errors.append)
        self.pool = ConnectionPool(self.address)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.entered.set()
        if request.path == "/fault":
            raise RuntimeError("fault")
        await self.gate.wait()
        return HttpResponse(200, [], request.body)

    async def send_raw(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer


def play(scenario) -> None:
    async def run() -> None:
        scene = Scene()
        async with scene.server, scene.pool:
            await asyncio.wait_for(scenario(scene), 20.0)

    asyncio.run(run())


class TestExchanges:
    def test_connection_is_used_again(self):
        async def scenario(scene):
            for _ in range(3):
                assert (await scene.pool.exchange(REQUEST, 5.0)).body == b"body"
            assert len(scene.server.connections) == 1

        play(scenario)

    def test_fault_of_a_handler_is_told_as_500(self):
        async def scenario(scene):
            response = await scene.pool.exchange(HttpRequest("GET", "/fault"), 5.0)
            assert response.status == 500
            assert len(scene.errors) == 1

        play(scenario)

    def test_late_answer_ends_the_connection(self):
        async def scenario(scene):
            scene.gate.clear()
            with pytest.raises(ExchangeTimeout) as caught:
                await scene.pool.exchange(REQUEST, 0.05)
            assert caught.value.sent
            scene.gate.set()
            other = HttpRequest("POST", "/x", [], b"other")
            assert (await scene.pool.exchange(other, 5.0)).body == b"other"

        play(scenario)

    def test_refused_connection_has_sent_nothing(self):
        async def scenario(scene):
            with pytest.raises(ConnectError) as caught:
                await ConnectionPool(free_address()).exchange(REQUEST, 1.0)
            assert not caught.value.sent

        play(scenario)

    def test_connection_that_is_cut_may_have_been_served(self):
        async def scenario(scene):
            scene.gate.clear()
            exchange = asyncio.create_task(scene.pool.exchange(REQUEST, 5.0))
            await scene.entered.wait()
            for connection in list(scene.server.connections):
                connection.transport.abort()
            with pytest.raises(BrokenExchange) as caught:
                await exchange
            assert caught.value.sent

        play(scenario)


class TestHostileInput:
    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"no http at all\r\n\r\n", b"400"),
            (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 70_000, b"431"),
        ],
    )
    def test_unreadable_request_is_refused(self, data, status):
        async def scenario(scene):
            answer = await scene.send_raw(data)
            assert answer.split()[1] == status

        play(scenario)

    def test_body_without_end_is_refused(self):
        async def scenario(scene):
            size = MAX_BODY_BYTES + 1
            head = f"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n".encode()
            answer = await scene.send_raw(head + b"x" * size)
            assert answer.split()[1] == b"413"

        play(scenario)


class TestLimits:
    """Limits that operators set hold for connections from then on."""

    def test_body_and_head(self):
        async def scenario(scene):
            scene.server.limits = lambda: Limits(header_bytes=500, body_bytes=10)
            head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n"
            answer = await scene.send_raw(head + b"\r\n" + b"x" * 11)
            assert answer.split()[1] == b"413"
            answer = await scene.send_raw(head + b"y: " + b"z" * 600)
            assert answer.split()[1] == b"431"

        play(scenario)

    def test_request_that_comes_too_slowly_is_told_so(self):
        async def scenario(scene):
            scene.server.limits = lambda: Limits(header_seconds=0.05)
            answer = await scene.send_raw(b"POST / HTTP/1.1\r\nhost:")
            assert answer.split()[1] == b"408"

        play(scenario)

    def test_idle_connection_is_closed(self):
        async def scenario(scene):
            scene.server.limits = lambda: Limits(idle_seconds=0.05)
            assert await scene.send_raw(b"") == b""

        play(scenario)

    def test_long_work_is_neither_idle_nor_slow(self):
        async def scenario(scene):
            scene.server.limits = lambda: Limits(idle_seconds=0.01, header_seconds=0.01)
            scene.gate.clear()
            exchange = asyncio.create_task(scene.pool.exchange(REQUEST, 10.0))
            await scene.entered.wait()
            await asyncio.sleep(0.1)
            scene.gate.set()
            assert (await exchange).body == b"body"

        play(scenario)


class TestPlannedStop:
    def test_request_in_flight_gets_its_answer(self):
        async def scenario(scene):
            scene.gate.clear()
            exchange = asyncio.create_task(scene.pool.exchange(REQUEST, 10.0))
            await scene.entered.wait()
            draining = asyncio.create_task(scene.server.drain(10.0))
            await asyncio.sleep(0)
            scene.gate.set()
            response = await exchange
            assert (response.status, response.header(b"connection")) == (200, "close")
            assert await draining == 0

        play(scenario)

    def test_new_connections_are_refused_and_idle_ones_closed(self):
        async def scenario(scene):
            await scene.pool.exchange(REQUEST, 5.0)
            assert await scene.server.drain(10.0) == 0
            assert not scene.server.connections
            with pytest.raises(ConnectError):
                await ConnectionPool(scene.address).exchange(REQUEST, 1.0)

        play(scenario)

    def test_requests_that_last_longer_are_counted(self):
        async def scenario(scene):
            scene.gate.clear()
            exchange = asyncio.create_task(scene.pool.exchange(REQUEST, 10.0))
            await scene.entered.wait()
            assert await scene.server.drain(0.1) == 1
            exchange.cancel()

        play(scenario)
