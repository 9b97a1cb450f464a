import contextlib
import fcntl
import os

import structlog

from jaypier.core.clock import VirtualClock
from jaypier.entry.logs import (
    BURST_LINES,
    LIMITED_EVENTS_BURST,
    MAX_BUFFER_BYTES,
    EventLimiter,
    LineWriter,
)


class TestLineWriter:
    def test_lines_are_written_whole_and_in_order(self):
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor)
        for number in range(3):
            writer.msg(f"line {number}")
        assert os.read(reader, 100) == b"line 0\nline 1\nline 2\n"

    def test_stalled_reader_does_not_block(self):
        reader, descriptor = os.pipe()
        fcntl.fcntl(reader, fcntl.F_SETPIPE_SZ, 4096)
        writer = LineWriter(descriptor)
        for number in range(BURST_LINES):
            writer.msg("x" * 1000 + str(number))
        assert len(writer.buffer) <= MAX_BUFFER_BYTES + 2000
        assert writer.dropped > 0

    def test_lines_beyond_the_rate_are_dropped_and_counted(self):
        reader, descriptor = os.pipe()
        clock = VirtualClock()
        writer = LineWriter(descriptor, clock)
        for _ in range(BURST_LINES):
            writer.msg("")
        os.read(reader, 2 * BURST_LINES)
        writer.msg("second")
        clock.advance(1.0)
        writer.msg("third")
        text = os.read(reader, 1000).decode()
        assert "second" not in text
        assert '"count": 1' in text
        assert text.endswith("third\n")

    def test_closed_reader_raises_nothing(self):
        reader, descriptor = os.pipe()
        os.close(reader)
        LineWriter(descriptor).msg("nobody reads this")


class TestEventLimiter:
    def collect(self, clock: VirtualClock, count: int, **values) -> list[dict]:
        """Pass an event through the processor several times; return those that are not dropped."""
        limiter, passed = EventLimiter(clock), []
        for number in range(count):
            clock.advance(1.0 if number == count - 1 else 0.0)
            with contextlib.suppress(structlog.DropEvent):
                passed.append(limiter(None, "info", {"event": "request refused", **values}))
        return passed

    def test_events_of_clients_are_limited_and_their_number_is_told(self):
        passed = self.collect(VirtualClock(), 1000, limited=True)
        assert len(passed) == LIMITED_EVENTS_BURST + 1
        assert passed[-1] == {"event": "request refused", "left_out": 979}

    def test_other_events_are_not_limited(self):
        assert len(self.collect(VirtualClock(), 1000)) == 1000
