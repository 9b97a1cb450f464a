"""Counts and logs the clients that a server of this daemon refuses."""

from collections import Counter

import structlog

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.entry.capacity import ServerName
from jaypier.wire.capacity import RefusalReason

LOG_INTERVAL_SECONDS = 10.0
"""Minimum time between two log lines about the same server and reason."""

log = structlog.get_logger()


class RefusalLog:
    """Counts refusals by server and reason, and logs a summary of them now and then.

    :ivar unreported: refusals since the last line, by server and reason.
    :ivar logged_at: time on ``clock``, in seconds, of the last line.
    """

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self.metrics = metrics
        self.clock = clock
        self.unreported: Counter[tuple[ServerName, RefusalReason]] = Counter()
        self.logged_at: dict[tuple[ServerName, RefusalReason], float] = {}

    def observe(self, server: ServerName, reason: RefusalReason) -> None:
        """Count one refusal; log it unless a line about such refusals has just been written."""
        self.metrics.count(f"server.{server.value}.refused_{reason.value}")
        kind, now = (server, reason), self.clock.now()
        self.unreported[kind] += 1
        if now - self.logged_at.get(kind, float("-inf")) < LOG_INTERVAL_SECONDS:
            return
        self.logged_at[kind] = now
        log.warning(
            "clients refused",
            server=server.value,
            reason=reason.value,
            count=self.unreported.pop(kind),
        )
