"""A loopback proxy that delays, resets, silences or cuts one way what passes through it."""

import asyncio
from enum import Enum

from jaypier.core.address import Address

READ_CHUNK_BYTES = 65536


class ProxyMode(Enum):
    """What happens to bytes on their way."""

    FORWARD = "open"
    DROP = "silent"
    DROP_RESPONSES = "no answers"
    REFUSE = "refused"


class LoopbackProxy:
    """Passes connections on; an async context manager that owns them.

    :param listen: where it listens.
    :param target: where it connects to.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.listen = listen
        self.target = target
        self.mode = ProxyMode.FORWARD
        self.delay_seconds = 0.0
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
        # A connection that was accepted just now registers its task in the next turn of the loop.
        await asyncio.sleep(0)
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.abort_connections()
        await asyncio.sleep(0)

    def abort_connections(self) -> None:
        """Break every connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on, in both directions, until either side ends it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            if self.mode is ProxyMode.REFUSE:
                return
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
            self.writers.add(target_writer)
            try:
                await asyncio.gather(
                    self.forward(reader, target_writer, is_response=False),
                    self.forward(target_reader, writer, is_response=True),
                )
            finally:
                self.writers.discard(target_writer)
                target_writer.transport.abort()
        except OSError:
            # The other side is gone; so is this connection then.
            return
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        """Pass bytes on in one direction."""
        while data := await reader.read(READ_CHUNK_BYTES):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            if self.mode is ProxyMode.REFUSE:
                break
            if self.mode is ProxyMode.DROP:
                continue
            if self.mode is ProxyMode.DROP_RESPONSES and is_response:
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("closed")
