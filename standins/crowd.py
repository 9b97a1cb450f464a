"""Clients that send requests and read no responses, and what they cost a daemon's process."""

import asyncio
import contextlib
import os
import socket
from pathlib import Path

import attrs

from standins.ports import HOST

RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of each client: the daemon's responses soon have nowhere to go."""

STALLED_SECONDS = 2.0
"""Time without any progress after which a client stops sending; its connection stays open."""

SAMPLING_SECONDS = 0.02
"""Time between two samples of a process."""

SETTLING_SECONDS = 0.5
"""Time for which a process must be nearly idle to count as settled."""

MAX_SETTLING_SECONDS = 20.0
"""Time after which a process that is still busy is looked at as it is."""


@attrs.frozen
class CrowdPlan:
    """What each client of a crowd sends; it reads nothing.

    :param clients: number of clients, each with one connection.
    :param opening: bytes that a client sends first.
    :param repeated: bytes that it sends again and again after that.
    :param repetitions: how often it sends them, unless the daemon takes no more.
    """

    clients: int
    opening: bytes = b""
    repeated: bytes = b""
    repetitions: int = 0


class Crowd:
    """A crowd of clients; a context manager that closes their connections.

    :param port: port of the server on the loopback interface.
    """

    def __init__(self, port: int, plan: CrowdPlan) -> None:
        self.port = port
        self.plan = plan
        self.sockets: list[socket.socket] = []

    async def __aenter__(self) -> "Crowd":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for each in self.sockets:
            each.close()

    async def send(self) -> None:
        """Let each client send what the plan says, as far as the daemon takes it."""
        await asyncio.gather(*(self.run_client() for _ in range(self.plan.clients)))

    async def run_client(self) -> None:
        """Connect one client and send what the plan says."""
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self.sockets.append(client)
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # A refused or closed connection, or one that stalls, is what the daemon may answer with.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(STALLED_SECONDS):
                await loop.sock_connect(client, (HOST, self.port))
            for data in (self.plan.opening, *self.plan.repetitions * [self.plan.repeated]):
                await self.send_data(client, data)

    async def send_data(self, client: socket.socket, data: bytes) -> None:
        """Send data.

        :raises OSError: if the connection has ended.
        :raises TimeoutError: if nothing was sent for ``STALLED_SECONDS``.
        """
        rest = memoryview(data)
        loop = asyncio.get_running_loop()
        while rest:
            try:
                rest = rest[client.send(rest) :]
                await asyncio.sleep(0)
            except BlockingIOError:
                writable = loop.create_future()
                loop.add_writer(client, set_unless_done, writable)
                try:
                    async with asyncio.timeout(STALLED_SECONDS):
                        await writable
                finally:
                    loop.remove_writer(client)


def set_unless_done(future: asyncio.Future) -> None:
    """Resolve a future that may have been cancelled."""
    if not future.done():
        future.set_result(None)


class ProcessMonitor:
    """Samples a process; an async context manager.

    :param pid: id of the process.
    :ivar max_descriptors: largest number of open descriptors seen.
    """

    def __init__(self, pid: int) -> None:
        self.folder = Path(f"/proc/{pid}")
        self.max_descriptors = 0
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> "ProcessMonitor":
        self.task = asyncio.create_task(self.run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def run(self) -> None:
        """Count descriptors until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLING_SECONDS)

    def sample(self) -> None:
        """Count the descriptors that are open now."""
        count = sum(1 for _ in (self.folder / "fd").iterdir())
        self.max_descriptors = max(self.max_descriptors, count)

    async def wait_settled(self) -> None:
        """Wait until the process uses little processor time: it has read what it will read."""
        for _ in range(int(MAX_SETTLING_SECONDS / SETTLING_SECONDS)):
            before = self.processor_ticks
            await asyncio.sleep(SETTLING_SECONDS)
            used = (self.processor_ticks - before) / os.sysconf("SC_CLK_TCK")
            if used < SETTLING_SECONDS / 4:
                return

    @property
    def processor_ticks(self) -> int:
        """Processor time that the process has used, in clock ticks."""
        fields = (self.folder / "stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])

    @property
    def peak_bytes(self) -> int:
        """Largest resident memory of the process since its start."""
        lines = (self.folder / "status").read_text().splitlines()
        peak = next(line for line in lines if line.startswith("VmHWM:"))
        return int(peak.split()[1]) * 1024
