"""Event loop whose time passes with the calls that jaypier makes, to measure what holds it up.

A stretch is what runs between two looks of the event loop at its timers. Its length is the number
of calls of jaypier's Python functions at ``CALLS_PER_SECOND``, so that results are the same on each
machine. Calls of tests and stand-ins take no time: in a deployment they run elsewhere.
"""

import sys
from collections.abc import Coroutine
from enum import Enum
from pathlib import Path
from types import FrameType
from typing import Any, TypeVar

import jaypier
from standins.virtual_time import VirtualTimeLoop

T = TypeVar("T")

CALLS_PER_SECOND = 1_000_000
"""Calls of Python functions that an entry VM with half of a core makes in a second."""

LONG_STRETCH_CALLS = CALLS_PER_SECOND // 5
"""Number of calls in a stretch at which its stack is recorded."""

MAX_NAMES = 8

SOURCE = f"{Path(jaypier.__file__).parent}/"
TESTS = f"{Path(__file__).parent}/"


class Side(Enum):
    """Where a function belongs: to jaypier, to what it deals with, or to a library."""

    INSIDE = "inside"
    OUTSIDE = "outside"
    NEITHER = "neither"


class CallTimeLoop(VirtualTimeLoop):
    """Event loop in virtual time that advances by the calls of jaypier's functions.

    :ivar calls: number of calls in the current stretch.
    :ivar longest_calls: number of calls in the longest stretch.
    :ivar long_stretches: stacks of stretches after ``LONG_STRETCH_CALLS`` calls.
    :ivar depth_outside: number of functions of tests and stand-ins on the stack, whose calls of
        jaypier's functions do not count.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.longest_calls = 0
        self.sides: dict[str, Side] = {}
        self.depth_outside = 0
        self.long_stretches: list[str] = []
        super().__init__()
        select = self.time_selector.select

        def end_stretch(timeout: float | None = None) -> list:
            self.longest_calls = max(self.longest_calls, self.calls)
            self.time_selector.elapsed_seconds += self.calls / CALLS_PER_SECOND
            self.calls = self.depth_outside = 0
            return select(timeout)

        self.time_selector.select = end_stretch

    def time(self) -> float:
        """Return the virtual time in seconds, with that of the current stretch."""
        return super().time() + self.calls / CALLS_PER_SECOND

    @property
    def longest_stretch(self) -> float:
        """Length of the longest stretch in seconds."""
        return self.longest_calls / CALLS_PER_SECOND

    def observe(self, frame: FrameType, event: str, argument: object) -> None:
        """Count a call; to be set as profile function."""
        if event not in ("call", "return"):
            return
        path = frame.f_code.co_filename
        side = self.sides.get(path)
        if side is None:
            side = self.sides[path] = side_of(path)
        if side is Side.OUTSIDE:
            # A coroutine that an exception is thrown into returns without having been called.
            change = 1 if event == "call" else -1
            self.depth_outside = max(0, self.depth_outside + change)
        elif side is Side.INSIDE and event == "call" and not self.depth_outside:
            self.calls += 1
            if self.calls == LONG_STRETCH_CALLS:
                self.long_stretches.append(describe_stack(frame))


def describe_stack(frame: FrameType | None) -> str:
    """Return the names of the functions on the stack, the innermost first."""
    names = []
    while frame is not None and len(names) < MAX_NAMES:
        names.append(frame.f_code.co_qualname)
        frame = frame.f_back
    return " < ".join(names)


def side_of(path: str) -> Side:
    """Return which side the functions of a file belong to."""
    if path.startswith(TESTS) or "/tests/" in path:
        return Side.OUTSIDE
    is_source = path.startswith((SOURCE, "<attrs generated"))
    return Side.INSIDE if is_source else Side.NEITHER


def run_in_call_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion in an event loop of this kind and return its result."""
    loop = CallTimeLoop()
    before = sys.getprofile()
    sys.setprofile(loop.observe)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        sys.setprofile(before)
        loop.close()
