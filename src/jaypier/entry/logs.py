"""Structured logging to standard output, rate-limited and non-blocking."""

import logging
import os
import select
import sys

import structlog

from jaypier.core.clock import Clock, MonotonicClock
from jaypier.entry.settings import LogSettings

LINES_PER_SECOND = 400
"""Sustained rate limit, in lines per second; a busy leader writes about 200 a second."""

BURST_LINES = 2000
"""Size of the token bucket, in lines: the burst of a leader takeover with many workers."""

MAX_BUFFER_BYTES = 256 * 1024
"""Buffer size in bytes beyond which lines are dropped while the reader is slow."""

PIPE_BUF_BYTES = 4096
"""``PIPE_BUF``: bytes that a pipe reported as writable takes without blocking."""


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    Lines beyond the rate limit or the size of the buffer are dropped; the next line that is
    written is preceded by an event with their number.

    :param descriptor: file descriptor of a pipe, file or terminal.
    :param clock: clock of the rate limit, the monotonic clock by default.
    :ivar buffer: bytes that the reader has not taken yet.
    :ivar tokens: lines that may be written at once, the level of the token bucket.
    :ivar dropped: lines dropped since the last written one.
    """

    def __init__(self, descriptor: int, clock: Clock | None = None) -> None:
        self.descriptor = descriptor
        self.clock = clock or MonotonicClock()
        self.buffer = bytearray()
        self.tokens = float(BURST_LINES)
        self.refilled_at = self.clock.now()
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Write a line, or drop it at the limits."""
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
        """Take a token for one line; return whether the line may be written."""
        now = self.clock.now()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(float(BURST_LINES), self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1 or len(self.buffer) > MAX_BUFFER_BYTES:
            return False
        self.tokens -= 1
        return True

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        while self.buffer and select.select([], [self.descriptor], [], 0)[1]:
            try:
                written = os.write(self.descriptor, self.buffer[:PIPE_BUF_BYTES])
            except OSError:
                # The reader has closed the pipe, and there is no other place to report it.
                self.buffer.clear()
                return
            del self.buffer[:written]


def configure_logging(settings: LogSettings, daemon_id: str) -> None:
    """Configure ``structlog`` to write to standard output, as JSON or for a console.

    :param daemon_id: name of this daemon, added to each event as ``daemon``.
    """
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
