"""Preemption: chooses runs of lower priority to stop, so that an urgent step fits.

Answers bursts of urgent jobs on full workers. Stopped work is lost unless it writes checkpoints, so
an urgent step that fits in time when current runs end waits for them instead. Otherwise those runs
are stopped whose callers lose least, by the value of their jobs, their time objectives and the work
that has to be done again.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable

import attrs

from jaypier.jobs.model import Resources
from jaypier.jobs.placement import FreeResourcesOf, max_tasks_on
from jaypier.jobs.state import JobState, Run, StepState, Worker
from jaypier.jobs.valuation import MIN_ROOM_SECONDS, Valuation, slack_seconds
from jaypier.scheduling.rooms import room_share, total_room_seconds

MAX_WAIT_SECONDS = 1.0
"""Longest time for which an urgent job waits for current runs to end before others are preempted:
with the time that a stop takes, it starts well within the time that is promised to teams."""

WAIT_MARGIN_SECONDS = 0.3
"""Slack that must be left after the wait: the time of a report, a pass and a start."""

STOP_DELAY_SECONDS = 1.0
"""Time until a stopped run starts again, at least: a stop, a report and a pass. That much work also
counts as lost by a stop."""


@attrs.frozen
class Fit:
    """Workers on which a step fits when some of their current runs have ended.

    :param seconds: time until then.
    :param workers: ids of the workers.
    """

    seconds: float
    workers: frozenset[str]


@attrs.frozen
class Preemption:
    """Runs to stop for a step.

    :param cost: value that callers lose, in the unit of ``ValueSettings.priority_weights``.
    :param victims: runs to stop; a gang is stopped as a whole.
    :param reserved: resources to reserve for the step, by worker id.
    """

    cost: float
    victims: list[Run]
    reserved: dict[str, Resources]


def earliest_fit(
    step: StepState,
    workers: Iterable[Worker],
    held: Collection[str],
    now: float,
    count: int | None = None,
) -> Fit | None:
    """Return when and where the tasks of a step fit as current runs end.

    Returns ``None`` if they do not fit even when all current runs have ended.

    :param held: ids of workers to leave out.
    :param now: time on the local clock, in seconds.
    :param count: number of tasks that have to fit, ``None`` for all of the step.
    """
    count = step.spec.count if count is None else count
    slots: list[tuple[float, str]] = []
    for worker in workers:
        if worker.id in held:
            continue
        free = worker.free
        copies = max_tasks_on(step.spec, worker, free)
        slots += [(0.0, worker.id)] * copies
        ends = [(run.remaining_seconds(now), run) for run in worker.runs.values()]
        for seconds, run in sorted(ends, key=lambda each: each[0]):
            free = free + run.step.spec.reserved
            more = max_tasks_on(step.spec, worker, free)
            slots += [(seconds, worker.id)] * (more - copies)
            copies = max(copies, more)
    if len(slots) < count:
        return None
    chosen = sorted(slots)[:count]
    return Fit(chosen[-1][0], frozenset(worker_id for _, worker_id in chosen))


def can_wait(step: StepState, fit: Fit | None, now: float, wall_time: float) -> bool:
    """Whether an urgent step should wait for current runs to end.

    :param fit: when it fits then.
    :param now: time on the local clock, in seconds.
    :param wall_time: Unix time in seconds.
    """
    if fit is None or math.isinf(fit.seconds):
        return False
    waited = now - step.job.added_at
    is_short = waited + fit.seconds <= MAX_WAIT_SECONDS
    return is_short and fit.seconds + WAIT_MARGIN_SECONDS <= slack_seconds(step.job, wall_time)


def cheapest_preemption(
    step: StepState,
    workers: Iterable[Worker],
    free_of: FreeResourcesOf,
    cost_of: Callable[[Run], float],
    count: int | None = None,
) -> Preemption | None:
    """Return the cheapest set of runs to stop so that a step fits, ``None`` if there is none.

    Runs are chosen greedily by their cost for each task slot that they free.

    :param free_of: returns the resources of a worker that the step may use.
    :param cost_of: returns the cost of stopping a run.
    :param count: number of tasks that have to fit, ``None`` for all that wait.
    """
    slots: list[tuple[float, float, Worker, list[Run]]] = []
    chosen_by_step: Counter[StepState] = Counter()
    for worker in workers:
        free = free_of(worker)
        copies = max_tasks_on(step.spec, worker, free)
        slots += [(0.0, 0.0, worker, []) for _ in range(copies)]
        victims = sorted(
            (run for run in worker.runs.values() if can_preempt(run, step)),
            key=lambda run: (cost_of(run), str(run.task)),
        )
        taken: list[Run] = []
        order = 0.0
        for run in victims:
            if not run.step.allows_disruption(run, chosen_by_step[run.step]):
                continue
            chosen_by_step[run.step] += 1
            free = free + run.step.spec.reserved
            taken.append(run)
            more = max_tasks_on(step.spec, worker, free)
            if more > copies:
                cost = sum(cost_of(each) for each in taken)
                cost /= more - copies
                # A later slot needs the victims of the earlier ones as well.
                order = max(order, cost)
                slots += [
                    (order, cost, worker, taken if number == 0 else [])
                    for number in range(more - copies)
                ]
                copies, taken = more, []
    needed = len(step.waiting) if count is None else count
    if len(slots) < needed:
        return None
    slots.sort(key=lambda slot: slot[0])
    reserved: dict[str, Resources] = defaultdict(Resources)
    for _, _, worker, _ in slots[:needed]:
        reserved[worker.id] = reserved[worker.id] + step.spec.reserved
    return Preemption(
        sum(cost for _, cost, _, _ in slots[:needed]),
        [run for _, _, _, runs in slots[:needed] for run in runs],
        dict(reserved),
    )


def can_preempt(run: Run, step: StepState) -> bool:
    """Whether a run may be preempted for a step or is being stopped already."""
    running_job, waiting_job = run.step.job.spec, step.job.spec
    is_lower = running_job.is_preemptible and running_job.priority > waiting_job.priority
    return run.is_stopping or is_lower


class StopCosts:
    """What the callers of running jobs lose if runs are stopped, within one scheduling pass.

    Costs are cached, as each urgent step of a pass compares the same runs.

    :param restore_seconds: time that a worker needs to restore a checkpoint.
    :param now: time on the local clock, in seconds.
    :param wall_time: Unix time in seconds.
    """

    def __init__(
        self, valuation: Valuation, restore_seconds: float, now: float, wall_time: float
    ) -> None:
        self.valuation = valuation
        self.restore_seconds = restore_seconds
        self.now = now
        self.wall_time = wall_time
        self.costs: dict[Run | StepState, float] = {}
        self.jobs: dict[JobState, tuple[float, float, Resources]] = {}

    def of(self, run: Run) -> float:
        """Return the cost of stopping a run, with its whole gang.

        A run that is being stopped already costs nothing.
        """
        if run.is_stopping:
            return 0.0
        key = run.step if run.step.spec.is_gang else run
        if key not in self.costs:
            self.costs[key] = self.find_cost(run)
        return self.costs[key]

    def find_cost(self, run: Run) -> float:
        """Return the value of the work that is lost and of a time objective that is missed."""
        step, job = run.step, run.step.job
        runs = step.runs if step.spec.is_gang else [run]
        if job not in self.jobs:
            capacity = self.valuation.typical_capacity(job)
            total = max(MIN_ROOM_SECONDS, total_room_seconds(job, capacity))
            self.jobs[job] = (self.valuation.value_in_time(job), total, capacity)
        value, total, capacity = self.jobs[job]
        lost_seconds = sum(self.lost_seconds(each) for each in runs)
        room = lost_seconds * room_share(step.spec.reserved, capacity)
        share, later_share = self.shares(run)
        return value * (share * room / total + share - later_share)

    def lost_seconds(self, run: Run) -> float:
        """Return the seconds of work that a stopped run has to do again."""
        lost = max(0.0, self.now - run.started_at)
        if run.step.spec.saves:
            lost = min(lost, self.restore_seconds)
        return lost + STOP_DELAY_SECONDS

    def shares(self, run: Run) -> tuple[float, float]:
        """Return the shares of its value that a job keeps if a run goes on and if it is stopped."""
        job = run.step.job
        if run.step.spec.lasts:
            return 1.0, 1.0
        ends_at = self.wall_time + run.remaining_seconds(self.now)
        delayed_to = ends_at + self.lost_seconds(run)
        return self.valuation.share_at(job, ends_at), self.valuation.share_at(job, delayed_to)
