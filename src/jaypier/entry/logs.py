"""Structured logging to standard output, rate-limited and non-blocking."""

import logging
import os
import select
import sys
from collections import Counter

import structlog

from jaypier.core.clock import Clock, MonotonicClock
from jaypier.core.token_bucket import TokenBucket
from jaypier.entry.settings import LogSettings

LINES_PER_SECOND = 400
"""Sustained rate limit, in lines per second; a busy leader writes about 200 a second."""

BURST_LINES = 2000
"""Size of the token bucket, in lines: the burst of a leader takeover with many workers."""

LIMITED_EVENTS_PER_SECOND = 2.0
"""Sustained rate limit of each event that anybody can bring about."""

LIMITED_EVENTS_BURST = 20
"""Number of such events that may be logged at once."""

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
    :ivar bucket: limits the rate of lines.
    :ivar dropped: lines dropped since the last written one.
    """

    def __init__(self, descriptor: int, clock: Clock | None = None) -> None:
        self.descriptor = descriptor
        self.buffer = bytearray()
        self.bucket = TokenBucket(clock or MonotonicClock(), LINES_PER_SECOND, BURST_LINES)
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Write a line, or drop it at the limits."""
        if len(self.buffer) > MAX_BUFFER_BYTES or not self.bucket.take():
            self.dropped += 1
            return
        if self.dropped:
            notice = f'{{"event": "log lines dropped", "count": {self.dropped}}}\n'
            self.buffer += notice.encode()
            self.dropped = 0
        self.buffer += message.encode("utf-8", "replace") + b"\n"
        self.flush()

    log = debug = info = warning = error = critical = exception = msg

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


class EventLimiter:
    """A processor that limits events which anybody can bring about, so that others stay visible.

    Those events carry ``limited=True``; the next line that is written says how many were left out.

    :ivar buckets: rate limit of each event, by its name, which is constant.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or MonotonicClock()
        self.buckets: dict[str, TokenBucket] = {}
        self.left_out: Counter[str] = Counter()

    def __call__(self, logger: object, method: str, values: dict) -> dict:
        """Return the event unchanged, or drop it at its limit.

        :raises structlog.DropEvent: if the event is dropped.
        """
        if not values.pop("limited", False):
            return values
        event = values["event"]
        if event not in self.buckets:
            self.buckets[event] = TokenBucket(
                self.clock, LIMITED_EVENTS_PER_SECOND, LIMITED_EVENTS_BURST
            )
        if not self.buckets[event].take():
            self.left_out[event] += 1
            raise structlog.DropEvent
        if left_out := self.left_out.pop(event, 0):
            values["left_out"] = left_out
        return values


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
            EventLimiter(),
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
