"""Random clients, ordinary ones and others, against one server with low limits.

The oracle: an ordinary client gets the responses to its requests in order, each its own and whole;
its connection may end early only if the server has counted a refusal. Afterwards nothing is left.
"""

import asyncio
import contextlib
import random

import pytest

from jaypier.wire.capacity import MemoryBudget, RefusalReason, ServerCapacity
from jaypier.wire.connection import HttpLimits
from jaypier.wire.messages import HttpRequest, HttpResponse
from jaypier.wire.server import HttpServer
from jaypier.wire.tests.test_server import free_address

SEEDS_IN_CI = range(12)
MAX_PAUSE_SECONDS = 0.02
LIMITS = HttpLimits(4000, 60_000, header_timeout_seconds=1.0, idle_timeout_seconds=1.0)


class Fuzz:
    """One server and its random clients.

    :ivar refusals: reasons that the server has counted.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.refusals: list[RefusalReason] = []
        self.errors: list[Exception] = []
        self.answered = 0
        self.cut = 0
        is_tight = self.rng.random() < 0.7
        capacity = ServerCapacity(
            max_connections=self.rng.choice([4, 8]) if is_tight else 100,
            max_requests=self.rng.choice([2, 5]) if is_tight else 100,
        )
        budget = MemoryBudget(self.rng.choice([200_000, 400_000]) if is_tight else 1 << 30)
        self.server = HttpServer(
            free_address(),
            self.handle,
            self.errors.append,
            lambda: LIMITS,
            capacity,
            self.refusals.append,
            budget,
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        if self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_SECONDS))
        if self.rng.random() < 0.05:
            request.announce_progress()
        digest = b"%d %d " % (len(request.body), sum(request.body))
        return HttpResponse(200, [(b"x-path", request.target.encode())], digest + request.body)

    async def pause(self) -> None:
        if self.rng.random() < 0.3:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_SECONDS))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(self.server.address.host, self.server.address.port)

    def encode(self, path: str, body: bytes) -> bytes:
        """Return a request, its body with a length or in chunks."""
        head = f"POST {path} HTTP/1.1\r\nhost: a\r\n".encode()
        if self.rng.random() < 0.5:
            return head + b"content-length: %d\r\n\r\n" % len(body) + body
        size = self.rng.choice([1, 7, 1000])
        pieces = [body[at : at + size] for at in range(0, len(body), size)]
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
        return head + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send data in pieces of random sizes."""
        while data:
            size = self.rng.choice([1, 50, 3000, 100_000])
            writer.write(data[:size])
            data = data[size:]
            await writer.drain()
            await self.pause()

    # Ordinary clients

    async def run_ordinary(self, number: int) -> None:
        """Send some requests ahead, read all responses and check each."""
        bodies = [
            self.rng.randbytes(self.rng.choice([0, 1, 300, 300, 20_000]))
            for _ in range(self.rng.randint(1, 12))
        ]
        requests = b"".join(
            self.encode(f"/{number}/{index}", body) for index, body in enumerate(bodies)
        )
        reader, writer = await self.connect()
        sending = asyncio.create_task(self.send(writer, requests))
        try:
            for index, body in enumerate(bodies):
                await self.check_response(reader, f"/{number}/{index}", body)
                self.answered += 1
        except (ConnectionError, asyncio.IncompleteReadError):
            assert self.refusals, "a connection ended early, and nothing was refused"
            self.cut += 1
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            writer.close()

    async def check_response(self, reader: asyncio.StreamReader, path: str, body: bytes) -> None:
        """Read a response and compare it with what its request must get."""
        status = 102
        while status == 102:
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
        lines = head.decode().lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        content = await reader.readexactly(int(headers["content-length"]))
        if status == 503:
            assert self.refusals and headers["retry-after"] == "1"
            return
        assert status == 200, (status, content[:100])
        assert headers["x-path"] == path
        assert content == b"%d %d " % (len(body), sum(body)) + body

    # Other clients

    async def run_other(self, number: int) -> None:
        """Behave in one of several ways that the protocol does not allow or expect."""
        behaviour = self.rng.choice(
            [self.send_ahead, self.send_half, self.send_noise, self.leave, self.stay, self.dribble]
        )
        reader, writer = await self.connect()
        try:
            await asyncio.wait_for(behaviour(reader, writer), 1.5)
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.transport.abort()

    async def send_ahead(self, reader, writer) -> None:
        request = self.encode("/ahead", self.rng.randbytes(self.rng.choice([0, 5000])))
        for _ in range(200):
            await self.send(writer, request)

    async def send_half(self, reader, writer) -> None:
        request = self.encode("/half", self.rng.randbytes(30_000))
        await self.send(writer, request[: self.rng.randrange(len(request))])
        await reader.read()

    async def send_noise(self, reader, writer) -> None:
        await self.send(writer, self.rng.randbytes(self.rng.choice([10, 6000])) + b"\r\n\r\n")
        await reader.read()

    async def leave(self, reader, writer) -> None:
        await self.send(writer, self.encode("/leave", self.rng.randbytes(300)))

    async def stay(self, reader, writer) -> None:
        await reader.read()

    async def dribble(self, reader, writer) -> None:
        for byte in self.encode("/dribble", b"xyz"):
            writer.write(bytes([byte]))
            await asyncio.sleep(0.01)
        await reader.read()

    async def play(self) -> None:
        """Let clients come one after the other, and check that nothing is left of them."""
        async with self.server as server:
            async with asyncio.TaskGroup() as group:
                for number in range(30):
                    run = self.rng.choice([self.run_ordinary, self.run_other])
                    group.create_task(run(number))
                    await self.pause()
            deadline = asyncio.get_running_loop().time() + 5.0
            while server.connections and asyncio.get_running_loop().time() < deadline:
                await asyncio.sleep(0.01)
            assert not server.connections and not server.waiting
            assert server.requests == 0 and not server.turns.queue
            budget = server.budget
            assert (budget.held_bytes, budget.handled_bytes) == (0, 0)
            assert not budget.held and not budget.handled
        assert self.errors == []
        assert self.answered


def play(seed: int) -> Fuzz:
    """Play one seed."""
    fuzz = Fuzz(seed)

    async def run() -> None:
        loop_errors: list[dict] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, each: loop_errors.append(each))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait_for(fuzz.play(), 60.0)
        assert loop_errors == []

    asyncio.run(run())
    return fuzz


@pytest.mark.parametrize("seed", SEEDS_IN_CI)
def test_ordinary_clients_get_their_responses_and_nothing_is_left(seed):
    play(seed)
