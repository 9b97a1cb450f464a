"""Metric and log line of room that is free but fits nothing that waits."""

import math
from collections.abc import Callable

import structlog

from jaypier.core.metrics import Metrics
from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.state import Worker
from jaypier.scheduling.stranding import Stranding, measure_stranding

MEASURE_SECONDS = 1.0
"""Shortest time between two measurements."""

HIGH_SHARE = 0.2
"""Stranded share of all workers from which it is logged."""

LOG_SECONDS = 10.0
"""Shortest time between two log lines."""

log = structlog.get_logger()


class StrandingLog:
    """Measures stranded room from time to time.

    :ivar newest: newest measurement.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.newest = Stranding()
        self.measured_at = -math.inf
        self.logged_at = -math.inf

    def update(
        self,
        cluster_state: ClusterState,
        workers_at: Callable[[float], list[Worker]],
        now: float,
    ) -> None:
        """Measure stranded room after a scheduling pass, unless that was done a short time ago.

        :param workers_at: returns the workers that accept tasks at a time.
        :param now: time on the local clock, in seconds.
        """
        if now - self.measured_at < MEASURE_SECONDS:
            return
        self.measured_at = now
        self.newest = measure_stranding(
            (
                (step.spec.reserved, len(step.waiting))
                for job in cluster_state.jobs.values()
                if not job.status.is_final
                for step in job.steps
                if step.is_startable and step.waiting
            ),
            ((worker.free, worker.entry.capacity) for worker in workers_at(now)),
        )
        self.metrics.record("leader.stranded_share", self.newest.share)
        if self.newest.share >= HIGH_SHARE and now - self.logged_at >= LOG_SECONDS:
            self.logged_at = now
            log.info(
                "free room stranded",
                share=round(self.newest.share, 3),
                free_share=round(self.newest.free_share, 3),
                waiting_tasks=self.newest.waiting,
            )
