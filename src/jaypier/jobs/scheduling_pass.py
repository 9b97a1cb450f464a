"""Scheduling passes in slices, so that a long pass does not hold up what else the leader does.

The order of the jobs is found at the beginning of a pass. Between two slices the state may change
in any way: each slice looks anew at workers, leases, limits and the step that it goes on with. Room
that is freed meanwhile is offered to steps that have been tried in this pass only by the next one.
Urgent jobs are the exception, as they must not wait for the end of a long pass.
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import attrs

from jaypier.jobs.model import URGENT_PRIORITY
from jaypier.jobs.state import JobState, Run, StepState, Worker
from jaypier.scheduling.rooms import ContendedPools

if TYPE_CHECKING:
    from jaypier.jobs.planning import Planner

MAX_PREEMPTING_STEPS = 6
"""Maximum number of urgent steps that preempt other runs in one slice, so that it stays short in a
burst."""

URGENT_RETRY_SECONDS = 0.5
"""Time after which a pass that still goes on considers the waiting urgent jobs within their teams'
guarantees again."""


@attrs.frozen
class Plan:
    """Decisions of one slice of a scheduling pass, or of a whole one.

    :param starts: runs to start; their resources are already allocated.
    :param stops: runs to preempt.
    """

    starts: list[Run] = attrs.field(factory=list)
    stops: list[Run] = attrs.field(factory=list)


@attrs.define(eq=False)
class QueuedJob:
    """A job that a pass has yet to consider.

    :param steps: its steps that are left, ``None`` if it has not been considered yet.
    """

    state: JobState
    steps: deque[StepState] | None = None


class SchedulingPass:
    """One pass over the jobs that may start tasks.

    :param planner: planner whose decisions are made.
    :ivar plan: decisions of the current slice.
    :ivar is_finished: whether all jobs have been considered.
    :ivar queue: jobs to consider, in scheduling order.
    """

    def __init__(self, planner: "Planner") -> None:
        self.planner = planner
        self.plan = Plan()
        self.is_begun = False
        self.is_finished = False
        self.workers: list[Worker] = []
        self.ranking: Iterator[list[JobState]] | None = None
        self.queue: deque[QueuedJob] = deque()
        self.contended = ContendedPools()
        self.preempting_steps = 0
        self.urgent_considered_at = 0.0
        self.may_start: Callable[[JobState], bool] = lambda state: True

    def run_slice(
        self, now: float, wall_time: float, is_over: Callable[[], bool] = lambda: False
    ) -> Plan:
        """Go on until the pass is finished or the slice is over; return what it has decided.

        An unexpected error leaves the pass as it is; :meth:`leave_out` lets it go on without the
        job that the error concerns.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        :param is_over: returns whether the slice has taken long enough.
        """
        planner = self.planner
        planner.considered, self.plan, self.preempting_steps = None, Plan(), 0
        self.workers = planner.refresh(now, wall_time, is_resumed=self.is_begun)
        if not self.workers:
            self.is_finished = True
            return self.plan
        self.may_start = planner.cluster_state.start_condition(now)
        if not self.is_begun:
            self.is_begun, self.urgent_considered_at = True, now
            planner.urgent_arrivals.clear()
            self.ranking = planner.ranking(now, wall_time)
        if not self.rank(is_over):
            return self.plan
        self.requeue_urgent(now)
        while self.queue:
            if self.consider_next(now, wall_time) and is_over():
                return self.plan
        planner.considered = None
        limited = planner.team_limits.blocked.keys()
        planner.team_shares.update(planner.cluster_state, now, limited)
        self.is_finished = True
        return self.plan

    def rank(self, is_over: Callable[[], bool]) -> bool:
        """Go on with the ranking of the jobs; return whether it is complete."""
        if self.ranking is None:
            return True
        for ranked in self.ranking:
            self.queue.extend(map(QueuedJob, ranked))
            if is_over():
                return False
        self.ranking = self.planner.considered = None
        return True

    def leave_out(self, state: JobState) -> None:
        """Go on without a job."""
        self.queue = deque(each for each in self.queue if each.state is not state)
        if self.ranking is not None:
            # The ranking has ended with the error; it starts again without the job.
            self.ranking, self.is_begun = None, False

    def requeue_urgent(self, now: float) -> None:
        """Put urgent jobs first that have come since the last slice, and from time to time others.

        :param now: time on the local clock, in seconds.
        """
        planner = self.planner
        arrived = [state for state in planner.urgent_arrivals if self.may_start(state)]
        planner.urgent_arrivals.clear()
        is_retry_due = now - self.urgent_considered_at >= URGENT_RETRY_SECONDS
        if not arrived and not is_retry_due:
            return
        urgent = planner.cover_urgent_jobs(filter(self.may_start, planner.waiting_jobs()))
        if is_retry_due:
            self.urgent_considered_at = now
            planner.unplaceable.clear()
        chosen = [
            state
            for state in urgent
            if state in arrived or (is_retry_due and state.spec.id in planner.covered)
        ]
        self.queue.extendleft(map(QueuedJob, reversed(chosen)))

    def consider_next(self, now: float, wall_time: float) -> bool:
        """Consider the next step of the first job; return whether that may have taken long.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        queued = self.queue[0]
        state = queued.state
        if not self.may_start(state) or self.is_worthless(state):
            self.queue.popleft()
            return False
        self.planner.considered = state
        if queued.steps is None:
            queued.steps = deque(state.ready_steps)
        while queued.steps:
            step = queued.steps[0]
            if step in state.ready and step.is_startable and step.waiting_count:
                if not self.consider_step(step, now, wall_time):
                    queued.steps.popleft()
                return True
            queued.steps.popleft()
        self.queue.popleft()
        return False

    def is_worthless(self, state: JobState) -> bool:
        """Whether a job can be worth nothing any more, and others wait for the room."""
        is_expired = state.spec.id in self.planner.expired
        return is_expired and self.contended.contains(state.spec.service, self.workers)

    def consider_step(self, step: StepState, now: float, wall_time: float) -> bool:
        """Start what fits of a step, or make room for it; return whether more of it may fit.

        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        planner, state = self.planner, step.job
        is_non_preemptible = not state.spec.is_preemptible
        if is_non_preemptible and not planner.preserves_guarantees(step, self.workers):
            return False
        is_urgent = state.spec.priority == URGENT_PRIORITY
        is_expired = state.spec.id in planner.expired
        is_suspected = bool(state.crash_suspects)
        affordable = planner.team_limits.affordable_tasks(step)
        if affordable < step.waiting_count:
            self.plan.stops.extend(planner.wait_for_team_limit(step, now, wall_time))
        if affordable == 0:
            planner.release_hold(step)
            return False
        need = planner.need_of(step)
        if planner.ignores_preferences(step, now) or not planner.unplaceable.covers(need):
            started = planner.place_step(step, self.workers, now)
            self.plan.starts.extend(started)
            planner.observe_starts(step, started)
            if not step.waiting_count:
                planner.release_hold(step)
                return False
            if planner.is_partial(started):
                return True
            if not started:
                planner.unplaceable.add(need)
                is_waiting_gang = step.spec.is_gang and not is_urgent and not is_expired
                if is_suspected or is_waiting_gang:
                    planner.hold_workers(step, self.workers, now)
        planner.preference_waits.observe(step, planner.is_kept_from_room(step, need), now)
        if not is_expired:
            self.contended.add(state.spec.service)
        has_no_room = not step.active and not planner.has_reservation(step)
        may_preempt = is_urgent and has_no_room and not is_suspected and not is_expired
        if may_preempt and self.preempting_steps < MAX_PREEMPTING_STEPS:
            self.preempting_steps += 1
            self.plan.stops.extend(planner.make_room(step, self.workers, now, wall_time))
        return False
