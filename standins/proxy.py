"""A loopback proxy that delays, resets, silences or cuts one way what passes through it."""

import asyncio
from enum import Enum

from jaypier.core.address import Address

READ_BYTES = 65536


class Passage(Enum):
    """What happens to bytes on their way."""

    OPEN = "open"
    SILENT = "silent"
    NO_ANSWERS = "no answers"
    REFUSED = "refused"


class LoopbackProxy:
    """Passes connections on; an async context manager that owns them.

    :param listen: where it listens.
    :param target: where it connects to.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.listen = listen
        self.target = target
        self.passage = Passage.OPEN
        self.delay_seconds = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> "LoopbackProxy":
        self.server = await asyncio.start_server(self.accept, self.listen.host, self.listen.port)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.server.close()
        # A connection that was accepted just now registers its task in the next turn of the loop.
        await asyncio.sleep(0)
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.reset()
        await asyncio.sleep(0)

    def reset(self) -> None:
        """Break every connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on, in both directions, until either side ends it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            if self.passage is Passage.REFUSED:
                return
            far_reader, far_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
            self.writers.add(far_writer)
            try:
                await asyncio.gather(
                    self.pump(reader, far_writer, is_answer=False),
                    self.pump(far_reader, writer, is_answer=True),
                )
            finally:
                self.writers.discard(far_writer)
                far_writer.transport.abort()
        except OSError:
            # The other side is gone; so is this connection then.
            return
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        """Pass bytes on in one direction."""
        while data := await reader.read(READ_BYTES):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            if self.passage is Passage.REFUSED:
                break
            if self.passage is Passage.SILENT:
                continue
            if self.passage is Passage.NO_ANSWERS and is_answer:
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("closed")
