"""TCP proxy on the loopback interface that simulates network faults."""

import asyncio
import math
from enum import Enum

from jaypier.core.address import Address

READ_CHUNK_BYTES = 65536

LIMITED_CHUNK_BYTES = 8192
"""Size of a chunk while the bandwidth is limited, so that parallel transfers share it evenly."""


class ProxyMode(Enum):
    """What the proxy does with connections and data.

    ``FORWARD`` passes all data on. ``DROP`` keeps connections open and discards the data of both
    directions, ``DROP_RESPONSES`` only that from the target to the client. ``REFUSE`` aborts new
    connections at once, and open ones when they next receive data.
    """

    FORWARD = "forward"
    DROP = "drop"
    DROP_RESPONSES = "drop responses"
    REFUSE = "refuse"


class LoopbackProxy:
    """Proxy for connections to one address; an async context manager that owns them.

    :param listen: address to listen on.
    :param target: address to connect to.
    :ivar mode: fault to simulate, which also applies to open connections.
    :ivar client_modes: the same for single clients, by the host that they connect from.
    :ivar delay_seconds: delay of each chunk of data.
    :ivar bytes_per_second: bandwidth that all connections share in each direction.
    :ivar response_bytes: number of bytes received from the target.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.listen = listen
        self.target = target
        self.mode = ProxyMode.FORWARD
        self.client_modes: dict[str, ProxyMode] = {}
        self.delay_seconds = 0.0
        self.bytes_per_second = math.inf
        self.free_at = {True: 0.0, False: 0.0}
        self.response_bytes = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> "LoopbackProxy":
        self.server = await asyncio.start_server(
            self.handle_connection, self.listen.host, self.listen.port
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.server.close()
        # The task of a connection that was just accepted is registered in the next iteration of
        # the event loop.
        await asyncio.sleep(0)
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.abort_connections()
        await asyncio.sleep(0)

    def abort_connections(self) -> None:
        """Abort all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until either side closes it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        client = writer.get_extra_info("peername")[0]
        try:
            if self.mode_for(client) is ProxyMode.REFUSE:
                return
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
            self.writers.add(target_writer)
            try:
                await asyncio.gather(
                    self.forward(reader, target_writer, client, is_response=False),
                    self.forward(target_reader, writer, client, is_response=True),
                )
            finally:
                self.writers.discard(target_writer)
                target_writer.transport.abort()
        except OSError:
            # The target refused or lost its connection; the client's is closed as well.
            return
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    def mode_for(self, client: str) -> ProxyMode:
        """Return the fault that applies to the connections from a host."""
        return self.client_modes.get(client, self.mode)

    def stop_listening(self) -> None:
        """Let new connections be refused; open ones continue."""
        self.server.close()

    @property
    def chunk_bytes(self) -> int:
        """Maximum number of bytes to forward at once."""
        return READ_CHUNK_BYTES if math.isinf(self.bytes_per_second) else LIMITED_CHUNK_BYTES

    async def wait_for_bandwidth(self, size: int, is_response: bool) -> None:
        """Wait for the time that ``size`` bytes take on the link, after those before them."""
        now = asyncio.get_running_loop().time()
        free_at = max(now, self.free_at[is_response]) + size / self.bytes_per_second
        self.free_at[is_response] = free_at
        if free_at > now:
            await asyncio.sleep(free_at - now)

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: str,
        is_response: bool,
    ) -> None:
        """Forward data in one direction, subject to the mode that applies to the client.

        :raises ConnectionResetError: at the end of the stream, so that the other direction ends.
        """
        while data := await reader.read(self.chunk_bytes):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            await self.wait_for_bandwidth(len(data), is_response)
            self.response_bytes += len(data) if is_response else 0
            mode = self.mode_for(client)
            if mode is ProxyMode.REFUSE:
                break
            if mode is ProxyMode.DROP:
                continue
            if mode is ProxyMode.DROP_RESPONSES and is_response:
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("connection closed")
