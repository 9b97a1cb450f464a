"""Tests of the client's time-outs over loopback sockets."""

import asyncio
import contextlib
import tracemalloc
from collections.abc import Iterable

import h11
import pytest

from jaypier.core.address import Address
from jaypier.wire import client
from jaypier.wire.capacity import MemoryBudget
from jaypier.wire.client import PART_TIMEOUT_SECONDS, ConnectionPool
from jaypier.wire.errors import BrokenExchange, ExchangeTimeout
from jaypier.wire.messages import HttpRequest, HttpResponse

REQUEST = HttpRequest("GET", "/rows")


class SlowServer:
    """A server that sends the head of a response at once and its body in pieces.

    :param pieces: parts of the body to send; the response announces ``size`` bytes.
    :param pause_seconds: pause before each piece.
    """

    def __init__(self, size: int, pieces: Iterable[bytes], pause_seconds: float) -> None:
        self.size = size
        self.pieces = pieces
        self.pause_seconds = pause_seconds
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> ConnectionPool:
        self.server = await asyncio.start_server(self.respond, "127.0.0.1", 0)
        return ConnectionPool(Address(*self.server.sockets[0].getsockname()[:2]))

    async def __aexit__(self, *exc_info: object) -> None:
        self.server.close()

    async def respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % self.size)
        try:
            for piece in self.pieces:
                await asyncio.sleep(self.pause_seconds)
                writer.write(piece)
                await writer.drain()
            await reader.read()
        except ConnectionError:
            pass
        writer.close()


class TestTimeout:
    def test_response_that_keeps_arriving_is_not_late(self):
        async def scenario() -> None:
            async with SlowServer(200_000, [b"x" * 10_000] * 20, 0.1) as pool, pool:
                response = await pool.exchange(REQUEST, 1.0)
                assert len(response.body) == 200_000

        asyncio.run(scenario())

    def test_response_that_stops_midway_is_late(self):
        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            async with SlowServer(400_000, [b"x" * 100_000], 0.0) as pool, pool:
                began = loop.time()
                with pytest.raises(ExchangeTimeout):
                    await pool.exchange(REQUEST, 0.3)
                assert loop.time() - began < 2 * PART_TIMEOUT_SECONDS

        asyncio.run(scenario())

    def test_trickling_response_is_late(self):
        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            async with SlowServer(10_000, [b"x"] * 1000, 0.05) as pool, pool:
                began = loop.time()
                with pytest.raises(ExchangeTimeout):
                    await pool.exchange(REQUEST, 0.3)
                assert loop.time() - began < 2 * PART_TIMEOUT_SECONDS

        asyncio.run(scenario())

    def test_error_tells_how_much_of_the_response_arrived(self):
        async def scenario() -> None:
            async with SlowServer(100, [b"x" * 60], 0.0) as pool, pool:
                with pytest.raises(ExchangeTimeout, match=r"sent \d+ bytes of its response"):
                    await pool.exchange(REQUEST, 0.2)

        asyncio.run(scenario())


class TestOddServers:
    """Servers that do not keep to the protocol, such as a worker of somebody else."""

    async def ask(self, responses: bytes, count: int) -> list[HttpResponse]:
        """Return the responses to requests of a server that sends the same for each connection."""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(responses)
            await reader.read()
            writer.close()

        listener = await asyncio.start_server(respond, "127.0.0.1", 0)
        async with listener:
            address = Address(*listener.sockets[0].getsockname()[:2])
            async with ConnectionPool(address) as pool:
                return [await pool.exchange(REQUEST, 5.0) for _ in range(count)]

    def test_second_response_does_not_answer_the_next_request(self):
        first = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst"
        responses = asyncio.run(self.ask(first + first.replace(b"first", b"other"), 2))
        assert [each.body for each in responses] == 2 * [b"first"]

    def test_interim_responses_do_not_keep_an_exchange_open_for_ever(self, monkeypatch):
        monkeypatch.setattr(client, "MIN_BYTES_PER_SECOND", 1 << 21)
        monkeypatch.setattr(client, "PART_TIMEOUT_SECONDS", 0.3)

        async def scenario() -> None:
            async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                with contextlib.suppress(ConnectionError):
                    while True:
                        writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
                        await writer.drain()
                        await asyncio.sleep(0.05)

            listener = await asyncio.start_server(respond, "127.0.0.1", 0)
            async with listener:
                address = Address(*listener.sockets[0].getsockname()[:2])
                async with ConnectionPool(address) as pool:
                    with pytest.raises(ExchangeTimeout):
                        await asyncio.wait_for(pool.exchange(REQUEST, 0.3), 10.0)

        asyncio.run(scenario())

    def test_chunked_body_takes_memory_by_its_size_not_by_its_chunks(self):
        count = 20_000
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

        async def scenario() -> int:
            body = count * b"2\r\nxx\r\n"
            async with SlowServer(0, [], 0.0) as pool:
                connection = client.ClientConnection(pool.address)
                connection.http.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
                connection.http.send(h11.EndOfMessage())
                connection.waiter = asyncio.get_running_loop().create_future()
                connection.data_received(head)
                tracemalloc.start()
                for start in range(0, len(body), 7000):
                    connection.data_received(body[start : start + 7000])
                used = tracemalloc.get_traced_memory()[0]
                tracemalloc.stop()
                return used

        assert asyncio.run(scenario()) < 8 * 2 * count


class TestMemoryOfResponses:
    def test_largest_response_is_given_up_when_all_take_too_much(self):
        async def scenario() -> None:
            budget = MemoryBudget(400_000)
            large = SlowServer(600_000, [bytes(200_000), bytes(200_000)], 0.3)
            small = SlowServer(100_000, [bytes(50_000), bytes(50_000)], 0.4)
            async with large as large_pool, small as small_pool, small_pool, large_pool:
                large_pool.budget = small_pool.budget = budget
                small_exchange = asyncio.create_task(small_pool.exchange(REQUEST, 5.0))
                with pytest.raises(BrokenExchange, match="no memory"):
                    await large_pool.exchange(REQUEST, 5.0)
                assert len((await small_exchange).body) == 100_000
                assert budget.held_bytes == 0

        asyncio.run(scenario())


class TestIdleConnections:
    def test_connections_of_a_burst_are_closed_once_they_are_stale(self):
        async def scenario() -> None:
            async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                    while await reader.readuntil(b"\r\n\r\n"):
                        await asyncio.sleep(0.02)
                        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                writer.close()

            listener = await asyncio.start_server(respond, "127.0.0.1", 0)
            async with listener:
                address = Address(*listener.sockets[0].getsockname()[:2])
                async with ConnectionPool(address, max_idle_seconds=0.2) as pool:
                    await asyncio.gather(*(pool.exchange(REQUEST, 5.0) for _ in range(20)))
                    assert len(pool.idle) == 20
                    for _ in range(10):
                        await asyncio.sleep(0.05)
                        await pool.exchange(REQUEST, 5.0)
                    assert len(pool.idle) == 1

        asyncio.run(scenario())
