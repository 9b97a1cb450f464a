"""Monotonic clocks; tests replace them by a virtual clock."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A monotonic clock that counts seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds since an arbitrary origin."""


class MonotonicClock(Clock):
    """The monotonic clock of this machine; it keeps running while the process is stopped."""

    def now(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()


class VirtualClock(Clock):
    """A clock that moves only when :meth:`advance` is called.

    :param start: initial time, in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self.time = start

    def now(self) -> float:
        """Return the current virtual time in seconds."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self.time += seconds


class BootClock(Clock):
    """A monotonic clock that also counts the time during which the VM is suspended."""

    def now(self) -> float:
        """Return ``CLOCK_BOOTTIME`` in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
