"""What all stand-in programs share: serving until terminated."""

import asyncio
import signal
import sys
from contextlib import AsyncExitStack

from jaypier.wire.server import HttpServer


def print_fault(error: Exception) -> None:
    """Print a fault of a handler."""
    print(f"handler failed: {error!r}", file=sys.stderr, flush=True)


async def serve_until_terminated(servers: list[HttpServer], *loops) -> None:
    """Serve on all addresses until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    tasks = [asyncio.create_task(each) for each in loops]
    async with AsyncExitStack() as stack:
        for server in servers:
            await stack.enter_async_context(server)
        await stopped.wait()
    for task in tasks:
        task.cancel()
