"""Limits on what each team may have running.

Answers a team whose demand grows far beyond its usual: what it may hold is limited, however much
capacity is idle, and others find the rest free.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from operator import itemgetter

import attrs

from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import Resources, Step
from jaypier.jobs.preemption import can_preempt
from jaypier.jobs.state import Run, StepState, Worker

CHANGE_SECONDS = 2.0
"""Time after a change of the limits during which earlier ones may still be in force on some VM."""

MAX_CLAIM_WAIT_SECONDS = 2.0
"""Age from which a job without a run is not kept waiting by a claim of another step while its team
holds less than half of its limit. No such job may wait for 3 s while there is room for it."""

RESOURCE_NAMES = (
    ("accelerators", "accelerators"),
    ("processor_millis", "thousandths of a core"),
    ("memory_mb", "MB of memory"),
)
"""Resources of a limit, each with its name in messages."""


@attrs.define(eq=False)
class Claim:
    """Claim of a step to what its team's limit leaves, so that later steps do not use it up.

    :param step: gang or urgent step that the limit keeps from starting.
    :param fits_at: time on the local clock, in seconds, at which it fits as runs of its team end.
    :param expected: resources that the team is expected to hold then, with the step.
    """

    step: StepState
    fits_at: float
    expected: Resources


class TeamLimits:
    """Decides how many tasks of a step may start within the limit of its team.

    A team holds what the tasks of all its runs demand, until their ends are known. Runs that are
    not known, on workers that have not reported or that report runs which this leader does not
    need, hold at most what is free on their workers. As they may belong to any team, they count
    against each limit.

    :ivar limits: limit of each team that has one; 0 stands for no limit of that resource.
    :ivar is_pending: whether the limits are not known yet, so that nothing may start.
    :ivar earlier: limits that may still be in force, each with the time on the local clock, in
        seconds, until which they count.
    :ivar held: resources that each team holds.
    :ivar runs: runs of each team.
    :ivar claims: claim of the first step of each team that its limit keeps waiting, in this pass.
    :ivar unknown: the most that unknown runs may hold.
    :ivar blocked: number of waiting tasks that a limit kept from starting, by team, in this pass.
    """

    def __init__(self) -> None:
        self.limits: dict[str, Resources] = {}
        self.is_pending = False
        self.earlier: list[tuple[float, dict[str, Resources]]] = []
        self.held: dict[str, Resources] = defaultdict(Resources)
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.claims: dict[str, Claim] = {}
        self.now = 0.0
        self.unknown = Resources()
        self.blocked: dict[str, int] = defaultdict(int)

    def configure(self, limits: Mapping[str, Resources], now: float) -> None:
        """Set the limits; those before remain in force beside them for ``CHANGE_SECONDS``.

        :param now: time on the local clock, in seconds.
        """
        effective = {team: limit for team, limit in limits.items() if limit != Resources()}
        if effective != self.limits:
            self.earlier.append((now + CHANGE_SECONDS, self.limits))
        self.limits = effective
        self.is_pending = False

    @property
    def is_active(self) -> bool:
        """Whether any team has a limit."""
        return bool(self.limits or self.earlier)

    def refresh(self, cluster_state: ClusterState, now: float) -> None:
        """Count what each team holds at the beginning of a pass.

        :param now: time on the local clock, in seconds.
        """
        self.claims.clear()
        self.blocked.clear()
        self.recount(cluster_state, now)

    def recount(self, cluster_state: ClusterState, now: float) -> None:
        """Count what each team holds within a pass, in which claims go on.

        :param now: time on the local clock, in seconds.
        """
        self.now = now
        self.earlier = [each for each in self.earlier if each[0] > now]
        self.held.clear()
        self.runs.clear()
        self.unknown = Resources()
        if not self.is_active:
            return
        for worker in cluster_state.workers.values():
            self.count_runs(worker.runs.values())
            if may_have_unknown_runs(worker, cluster_state, now):
                self.unknown = self.unknown + free_at_least_zero(worker)

    def count_runs(self, runs: Iterable[Run]) -> None:
        """Add what runs demand to what their teams hold."""
        for run in runs:
            team = run.step.job.spec.team
            self.held[team] = self.held[team] + run.step.spec.demand
            self.runs[team].append(run)

    def observe_starts(self, runs: Sequence[Run]) -> None:
        """Record the starts of runs that are about to be requested."""
        if not self.is_active:
            return
        self.count_runs(runs)
        for run in runs:
            claim = self.claims.get(run.step.job.spec.team)
            if claim is not None and self.outlasts(run.step, claim):
                claim.expected = claim.expected + run.step.spec.demand

    def affordable_tasks(self, step: StepState) -> int:
        """Return how many waiting tasks of a step may start; of a gang all or none."""
        waiting = step.waiting_count
        if self.is_pending:
            return 0
        if not self.is_active:
            return waiting
        team = step.job.spec.team
        held = self.held[team] + self.unknown
        in_force = (self.limits, *(limits for _, limits in self.earlier))
        affordable = min(
            tasks_within(step.spec.demand, limits[team], held) if team in limits else waiting
            for limits in in_force
        )
        claim = self.claims.get(team)
        if claim is not None and self.outlasts(step, claim) and not self.has_waited_long(step):
            rest = tasks_within(step.spec.demand, self.limits[team], claim.expected)
            affordable = min(affordable, rest)
        if affordable >= waiting:
            return waiting
        return 0 if step.spec.is_gang else affordable

    def has_waited_long(self, step: StepState) -> bool:
        """Whether a step may start in spite of a claim, as its team holds little of its limit."""
        state = step.job
        if state.run_count or self.now - state.added_at < MAX_CLAIM_WAIT_SECONDS:
            return False
        twice_held = multiply(self.held[state.spec.team], 2)
        return is_within_limit(twice_held, self.limits[state.spec.team])

    def outlasts(self, step: StepState, claim: Claim) -> bool:
        """Whether a step would still hold resources when the step of a claim could start."""
        ends_at = math.inf if step.spec.lasts else self.now + step.expected_seconds
        return step is not claim.step and ends_at > claim.fits_at

    def claim(self, step: StepState) -> Claim | None:
        """Claim what the limit leaves for a step; return the claim of the first step of its team.

        Returns ``None`` if the step does not fit when all runs of its team have ended.
        """
        team = step.job.spec.team
        if team in self.claims or team not in self.limits:
            return self.claims.get(team)
        limit = self.limits[team]
        tasks = min(len(step.waiting), tasks_within(step.spec.demand, limit, Resources()))
        expected = self.held[team] + self.unknown + multiply(step.spec.demand, tasks)
        ends: dict[float, Resources] = defaultdict(Resources)
        for run in self.runs[team]:
            seconds = 0.0 if run.is_stopping else run.remaining_seconds(self.now)
            ends[seconds] = ends[seconds] + run.step.spec.demand
        for seconds, freed in sorted(ends.items(), key=itemgetter(0)):
            expected = expected - freed
            if is_within_limit(expected, limit):
                self.claims[team] = Claim(step, self.now + seconds, expected)
                return self.claims[team]
        return None

    def runs_to_stop(self, step: StepState, cost_of: Callable[[Run], float]) -> list[Run]:
        """Return runs of an urgent step's own team to stop, so that its limit lets the step start.

        Returns none if the step has no claim. Runs that are being stopped already count as freed,
        and a gang is stopped as a whole.

        :param cost_of: returns the cost of stopping a run.
        """
        team = step.job.spec.team
        claim = self.claims.get(team)
        if claim is None or claim.step is not step:
            return []
        limit = self.limits[team]
        tasks = min(len(step.waiting), tasks_within(step.spec.demand, limit, Resources()))
        expected = self.held[team] + self.unknown + multiply(step.spec.demand, tasks)
        chosen: dict[Run, None] = {}
        chosen_by_step: Counter[StepState] = Counter()
        for run in sorted(
            (run for run in self.runs[team] if can_preempt(run, step)),
            key=lambda run: (cost_of(run), str(run.task)),
        ):
            if is_within_limit(expected, limit):
                break
            if run in chosen or not run.step.allows_disruption(run, chosen_by_step[run.step]):
                continue
            together = run.step.runs if run.step.spec.is_gang else [run]
            chosen_by_step[run.step] += len(together)
            chosen |= dict.fromkeys(together)
            for each in together:
                expected = expected - each.step.spec.demand
        if not is_within_limit(expected, limit):
            return []
        claim.fits_at, claim.expected = self.now, expected
        return list(chosen)

    def observe_blocked(self, step: StepState) -> None:
        """Record that the limit of its team keeps tasks of a step from starting."""
        blocked = step.waiting_count - self.affordable_tasks(step)
        if blocked > 0:
            self.blocked[step.job.spec.team] += blocked


def may_have_unknown_runs(worker: Worker, cluster_state: ClusterState, now: float) -> bool:
    """Whether runs that are not known may be active on a worker.

    Runs that a worker reported end with its lease at the latest if it does not report again.

    :param now: time on the local clock, in seconds.
    """
    if not worker.is_reconciled:
        return True
    return worker.has_unknown_runs and now <= cluster_state.unknown_runs_end_at(worker)


def free_at_least_zero(worker: Worker) -> Resources:
    """Return the free resources of a worker, 0 for each that is overcommitted."""
    return Resources(*(max(0, amount) for amount in attrs.astuple(worker.free)))


def multiply(amount: Resources, count: int) -> Resources:
    """Return an amount as often as ``count``."""
    return Resources(*(count * each for each in attrs.astuple(amount)))


def is_within_limit(amount: Resources, limit: Resources) -> bool:
    """Whether an amount is within a limit, in each resource that is limited."""
    pairs = zip(attrs.astuple(amount), attrs.astuple(limit), strict=True)
    return all(bound == 0 or each <= bound for each, bound in pairs)


def tasks_within(demand: Resources, limit: Resources, held: Resources) -> int:
    """Return how many tasks a team may start within its limit.

    None if it holds more than the limit of any resource, as after the limit was lowered.

    :param demand: resources that one task needs.
    :param held: resources that the team holds.
    """
    rooms = [
        (needed, bound - used)
        for needed, bound, used in zip(*map(attrs.astuple, (demand, limit, held)), strict=True)
        if bound > 0
    ]
    if any(room < 0 for _, room in rooms):
        return 0
    return min((room // needed for needed, room in rooms if needed > 0), default=1_000_000)


def explain_excess(team: str, steps: Sequence[Step], limit: Resources) -> str:
    """Return why a job can never run within the limit of its team, empty if it can.

    One task has to fit the limit, or a whole gang.
    """
    for number, step in enumerate(steps):
        tasks = step.count if step.is_gang else 1
        if tasks_within(step.demand, limit, Resources()) >= tasks:
            continue
        excesses = [
            f"{tasks * getattr(step.demand, name)} {label} at once, and the limit is "
            f"{getattr(limit, name)}"
            for name, label in RESOURCE_NAMES
            if 0 < getattr(limit, name) < tasks * getattr(step.demand, name)
        ]
        needs = "; ".join(excesses)
        return f"the limit of team {team!r} is exceeded: step {number} needs {needs}"
    return ""
