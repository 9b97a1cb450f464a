"""Structured log lines on standard output: bounded in volume, never blocking."""

import logging
import os
import select
import sys

import structlog

from jaypier.core.clock import Clock, MonotonicClock
from jaypier.entry.settings import LogSettings

LINES_PER_SECOND = 400
"""Lines that are written in the long run; a busy leader writes about 200 a second."""

BURST_LINES = 2000
"""Lines that may come at once, for take-overs with many workers."""

MAX_BUFFER_BYTES = 256 * 1024
"""Bytes that wait for a reader that is slow; further lines are dropped."""

PIPE_BUF_BYTES = 4096
"""Bytes that a pipe takes without blocking when it is said to be writable."""


class LineWriter:
    """Writes lines to a file descriptor without ever waiting for its reader.

    Lines beyond the rate, or that do not fit the buffer, are dropped; the next line that is
    written tells how many.
    """

    def __init__(self, descriptor: int, clock: Clock | None = None) -> None:
        self.descriptor = descriptor
        self.clock = clock or MonotonicClock()
        self.buffer = bytearray()
        self.tokens = float(BURST_LINES)
        self.refilled_at = self.clock.now()
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Write a line, or drop it."""
        if not self.take_token():
            self.dropped += 1
            return
        if self.dropped:
            notice = f'{{"event": "log lines dropped", "count": {self.dropped}}}\n'
            self.buffer += notice.encode()
            self.dropped = 0
        self.buffer += message.encode("utf-8", "replace") + b"\n"
        self.flush()

    log = debug = info = warning = error = critical = exception = msg

    def take_token(self) -> bool:
        """Return whether one more line may be written now."""
        now = self.clock.now()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(float(BURST_LINES), self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1 or len(self.buffer) > MAX_BUFFER_BYTES:
            return False
        self.tokens -= 1
        return True

    def flush(self) -> None:
        """Write what the reader takes at once."""
        while self.buffer and select.select([], [self.descriptor], [], 0)[1]:
            try:
                written = os.write(self.descriptor, self.buffer[:PIPE_BUF_BYTES])
            except OSError:
                # Nobody reads the log any more, and there is nowhere else to say so.
                self.buffer.clear()
                return
            del self.buffer[:written]


def configure_logging(settings: LogSettings, daemon_id: str) -> None:
    """Send log lines to standard output as JSON or for a console."""
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    writer = LineWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, settings.level.upper())
        ),
        logger_factory=lambda *args: writer,
    )
    structlog.contextvars.bind_contextvars(daemon=daemon_id)
