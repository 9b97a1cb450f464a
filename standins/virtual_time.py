"""An event loop whose time jumps to the next timer instead of waiting for it."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from jaypier.core.clock import Clock

T = TypeVar("T")


class VirtualTimeSelector(selectors.DefaultSelector):
    """Adds the time it was asked to wait to ``elapsed_seconds`` and returns at once."""

    elapsed_seconds = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready now."""
        if timeout is not None and timeout > 0:
            self.elapsed_seconds += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for code without sockets."""

    def __init__(self) -> None:
        self.time_selector = VirtualTimeSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.time_selector.elapsed_seconds


class LoopClock(Clock):
    """The time of a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self.loop.time()


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
