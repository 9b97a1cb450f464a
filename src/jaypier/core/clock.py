"""Sources of time; tests replace them by a virtual clock."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A monotonic clock, in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds since an arbitrary start."""


class MonotonicClock(Clock):
    """The clock of this machine; it goes on while the process is frozen."""

    def now(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()


class VirtualClock(Clock):
    """A clock that moves only when it is told to.

    :param start: first time, in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self.time = start

    def now(self) -> float:
        """Return the time set last, in seconds."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self.time += seconds


class BootClock(Clock):
    """A clock that also counts the time for which the VM was suspended."""

    def now(self) -> float:
        """Return ``CLOCK_BOOTTIME`` in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
