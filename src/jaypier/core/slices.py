"""Long work in slices, so that it does not hold up the other tasks of the event loop."""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from jaypier.core.clock import Clock

MAX_SLICE_SECONDS = 0.03
"""Time after which long work lets the other tasks of the event loop run."""


MONITOR_INTERVAL_SECONDS = 0.25
"""Time between two measurements of the event loop's delay."""

Value = TypeVar("Value")


class Slicer:
    """Tells long work when to pause, and observes how long each slice of it took.

    :param clock: local clock.
    :param observe: called with the duration of each slice, in seconds.
    :param max_seconds: time after which a slice is over.
    :ivar began_at: time on the local clock, in seconds, at which the current slice began.
    """

    def __init__(
        self,
        clock: Clock,
        observe: Callable[[float], None],
        max_seconds: float = MAX_SLICE_SECONDS,
    ) -> None:
        self.clock = clock
        self.observe = observe
        self.max_seconds = max_seconds
        self.began_at = clock.now()

    def __enter__(self) -> "Slicer":
        self.began_at = self.clock.now()
        return self

    def __exit__(self, *exception: object) -> None:
        self.observe(self.seconds)

    @property
    def seconds(self) -> float:
        """Duration of the current slice up to now."""
        return self.clock.now() - self.began_at

    def is_over(self) -> bool:
        """Whether the current slice has taken long enough."""
        return self.seconds >= self.max_seconds

    async def pause(self) -> None:
        """Let the other tasks run if the current slice is over."""
        if self.is_over():
            self.observe(self.seconds)
            await asyncio.sleep(0)
            self.began_at = self.clock.now()


class LoopMonitor:
    """Measures how late the event loop looks at its timers, whatever holds it up.

    :param clock: local clock.
    :param observe: called with the delay of each look, in seconds.
    """

    def __init__(self, clock: Clock, observe: Callable[[float], None]) -> None:
        self.clock = clock
        self.observe = observe

    async def run(self) -> None:
        """Measure at regular times until cancelled."""
        while True:
            due_at = self.clock.now() + MONITOR_INTERVAL_SECONDS
            await asyncio.sleep(MONITOR_INTERVAL_SECONDS)
            self.observe(max(0.0, self.clock.now() - due_at))


def batched(values: Iterable[Value], size: int) -> Iterator[list[Value]]:
    """Return values in lists of ``size``, the last of which may be shorter."""
    remaining = iter(values)
    return iter(lambda: list(itertools.islice(remaining, size)), [])
