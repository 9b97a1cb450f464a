import structlog

from jaypier.core.clock import VirtualClock
from jaypier.core.metrics import Metrics
from jaypier.entry.capacity import ServerName
from jaypier.entry.refusals import LOG_INTERVAL_SECONDS, RefusalLog
from jaypier.wire.capacity import RefusalReason


class TestRefusalLog:
    def test_each_refusal_is_counted_and_few_are_logged(self):
        metrics, clock = Metrics(), VirtualClock()
        refusals = RefusalLog(metrics, clock)
        with structlog.testing.capture_logs() as lines:
            for _ in range(1000):
                refusals.observe(ServerName.CALLERS, RefusalReason.CONNECTIONS)
            refusals.observe(ServerName.READY, RefusalReason.CONNECTIONS)
            clock.advance(LOG_INTERVAL_SECONDS)
            refusals.observe(ServerName.CALLERS, RefusalReason.CONNECTIONS)
        assert metrics.counters == {
            "server.callers.refused_connections": 1001,
            "server.ready.refused_connections": 1,
        }
        assert [(line["server"], line["count"]) for line in lines] == [
            ("callers", 1),
            ("ready", 1),
            ("callers", 1000),
        ]
