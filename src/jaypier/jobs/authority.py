"""What allows a leader to act, and what shows that earlier leaders do not any more.

The rules, and why they are safe, are in ``docs/design/takeovers.md``.
"""

import structlog

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.fenced_writer import FencedWriter
from jaypier.jobs.state import Worker
from jaypier.jobs.witnesses import MAX_SECONDS_WITHOUT_STORE, Witnesses

STORE_CONFIRMATION_MAX_AGE_SECONDS = 2.0
"""Age of the last confirmed write up to which the leader starts runs and extends leases in any
case: the time after which other daemons take over."""

log = structlog.get_logger()


class Authority:
    """The authority of one leader to start runs and extend leases.

    :param writer: writes of the leader, by which the store confirms it.
    :param cluster_state: workers and the leases of their runs.
    :param elected_at: time on the local clock, in seconds, at which the leadership began.
    :ivar witnesses: workers whose reports show whether another leader may act.
    :ivar basis: what it rested on when that was last logged: ``"store"``, ``"witnesses"`` or
        ``""``.
    """

    def __init__(
        self,
        writer: FencedWriter,
        cluster_state: ClusterState,
        clock: Clock,
        metrics: Metrics,
        elected_at: float,
    ) -> None:
        self.writer = writer
        self.cluster_state = cluster_state
        self.clock = clock
        self.metrics = metrics
        self.elected_at = elected_at
        unfenced_seconds = writer.record.renewed_at - writer.record.unfenced_since
        self.witnesses = Witnesses(elected_at, elected_at - max(0.0, unfenced_seconds))
        self.basis = "store"

    @property
    def is_confirmed_by_store(self) -> bool:
        """Whether the last write that the store confirmed is recent."""
        return self.clock.now() - self.writer.confirmed_at <= STORE_CONFIRMATION_MAX_AGE_SECONDS

    def find_basis(self, now: float) -> str:
        """Return what allows the leader to act at a time, empty if nothing does.

        It may act while the store, or more than half of the witnesses, have recently confirmed that
        they know no newer leader.

        :param now: time on the local clock, in seconds.
        :returns: ``"store"``, ``"witnesses"`` or ``""``.
        """
        seconds = now - self.writer.confirmed_at
        if seconds <= STORE_CONFIRMATION_MAX_AGE_SECONDS:
            return "store"
        if seconds > MAX_SECONDS_WITHOUT_STORE or not self.writer.is_fence_recorded:
            return ""
        is_confirmed = self.witnesses.have_confirmed(self.cluster_state.workers, now)
        return "witnesses" if is_confirmed else ""

    def grant_lease(self, worker: Worker, now: float) -> int | None:
        """Extend the lease of the runs on a worker if the leader may act.

        :param now: time on the local clock, in seconds. A request that is sent later carries the
            lease of this time, so that a pause in between extends nothing.
        :returns: the end of the lease on the worker's clock, in milliseconds; ``None`` if the
            leader may not extend it.
        """
        return self.cluster_state.extend_lease(worker, now) if self.find_basis(now) else None

    def observe_process(self, worker_id: str, born: int) -> None:
        """Take note that no earlier leader can use a process: it has reported here, or ended.

        :param born: Unix time in milliseconds at which the process started.
        """
        now = self.clock.now()
        if self.witnesses.observe_process(worker_id, born, now):
            log.info(
                "earlier leaders fenced",
                epoch=self.writer.record.epoch,
                seconds=now - self.elected_at,
                fenced=len(self.witnesses.fenced),
                witnesses=len(self.witnesses.inherited.processes),
            )

    @property
    def is_fence_due(self) -> bool:
        """Whether the store has yet to record that no earlier leader acts any more."""
        has_recorded = self.writer.record.unfenced_since == 0.0
        return not has_recorded and not self.witnesses.may_earlier_act(self.clock.now())

    def log_change(self) -> None:
        """Log and count each change of the basis."""
        now = self.clock.now()
        basis = self.find_basis(now)
        if basis == self.basis:
            return
        self.basis = basis
        self.metrics.count("leader.authority_changes")
        log.info(
            "authority changed",
            epoch=self.writer.record.epoch,
            basis=basis or "none",
            reporting=self.witnesses.count_recent(self.cluster_state.workers, now),
            witnesses=len(self.witnesses.recorded.processes),
            confirmed_age=now - self.writer.confirmed_at,
        )
