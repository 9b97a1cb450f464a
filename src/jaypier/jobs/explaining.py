"""Explanations for operators: where a job would go now, and why, without starting anything.

The workers are chosen by the code of the scheduling passes, on copies of what that code changes.
Holds, headroom and claims within team limits are those of the last pass.
"""

import copy
import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from operator import itemgetter

import attrs

from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import URGENT_PRIORITY, Resources
from jaypier.jobs.placement import has_required_label, is_in_pool, max_tasks_on, would_interfere
from jaypier.jobs.planning import Planner
from jaypier.jobs.state import JobState, StepState, Worker
from jaypier.scheduling.rooms import ContendedPools

MAX_NAMED_WORKERS = 10
"""Maximum number of workers that are named for a step."""

MAX_EXPLAINED_STEPS = 5
"""Maximum number of steps that are explained, so that an answer does not keep the leader from its
passes for longer than about one pass takes."""


@attrs.frozen
class TeamStanding:
    """What a team holds and may hold.

    :param held: resources that the runs of the team hold.
    :param limit: limit of the team, ``None`` without one; 0 stands for no limit of that resource.
    :param is_limit_known: whether the leader knows the limits; nothing starts before.
    :param share_factor: factor on the scores of the team's jobs.
    """

    held: Resources
    limit: Resources | None
    is_limit_known: bool
    share_factor: float


@attrs.frozen
class StepExplanation:
    """Where the waiting tasks of a step would go now.

    :param occurrence: number of the occurrence.
    :param number: index of the step within the job.
    :param waiting: number of tasks that have neither succeeded nor been assigned.
    :param running: number of tasks that have been assigned.
    :param affordable: number of waiting tasks that the limit of the team lets start.
    :param blocked: why no task would start wherever there is room, empty if nothing prevents it.
    :param permitted_workers: number of workers that the step may use, whether or not they are free.
    :param fits_now: number of waiting tasks that would start now.
    :param workers: number of these by worker, for at most ``MAX_NAMED_WORKERS`` workers.
    :param other_workers: number of further workers on which tasks would start.
    :param lacking: number of workers that lack something for one more task, by what they lack; a
        worker that lacks several resources counts for each.
    :param fits_in_seconds: time until all tasks are expected to fit, ``None`` if it is not known.
    :param ends_in_seconds: time until all tasks are expected to have ended, ``None`` likewise.
    :param may_preempt: whether a pass may stop runs of lower priority for it.
    :param waited_beside_room: time in seconds for which preferences have kept it from room that it
        may use.
    """

    occurrence: int
    number: int
    waiting: int
    running: int
    affordable: int
    blocked: str
    permitted_workers: int
    fits_now: int
    workers: dict[str, int]
    other_workers: int
    lacking: dict[str, int]
    fits_in_seconds: float | None
    ends_in_seconds: float | None
    may_preempt: bool
    waited_beside_room: float = 0.0


@attrs.frozen
class Explanation:
    """Where a job would go now, and why.

    :param cannot_start: why passes leave the job out, empty if they do not.
    :param rank: position among the jobs with tasks that could start, 1 for the first, ``None`` if
        it has none.
    :param ranked_jobs: number of these jobs.
    :param score: score by which it is ranked, with the factor of its team.
    :param is_covered: whether it is urgent and within the guarantee of its team.
    :param is_expired: whether it can be worth nothing any more.
    :param expected_seconds: expected duration of what is left of it, without waiting.
    :param objective_seconds: time within which it should complete.
    :param steps: its open steps with tasks that are not done.
    :param steps_left_out: number of further such steps.
    """

    job: str
    status: str
    queue: str
    priority: int
    cannot_start: str
    rank: int | None
    ranked_jobs: int
    score: float
    is_covered: bool
    is_expired: bool
    expected_seconds: float
    objective_seconds: float
    team: str
    team_standing: TeamStanding
    steps: list[StepExplanation]
    steps_left_out: int


def explain_job(planner: Planner, state: JobState, now: float, wall_time: float) -> Explanation:
    """Explain where a job would go now; nothing is started, stored or changed.

    :param state: job that the leader knows, or one that has not been added to its cluster.
    :param now: time on the local clock, in seconds.
    :param wall_time: Unix time in seconds.
    """
    view = copy_for_reading(planner, state, now)
    workers = view.usable_workers(now)
    ranked = [each for each in view.rank_jobs(now, wall_time) if each.ready_steps]
    spec = state.spec
    rank = next((place for place, each in enumerate(ranked, 1) if each is state), None)
    cannot_start = why_left_out(state, view.cluster_state, now)
    is_expired = spec.id not in view.covered and view.valuation.is_expired(state, wall_time)
    if not cannot_start and is_expired and rank is not None:
        contended = contended_pools(view, ranked[: rank - 1], workers)
        if contended.contains(spec.service, workers):
            cannot_start = "worth nothing any more, and others wait for the room"
    open_steps = sorted((step for step in state.steps if not step.is_done), key=explained_order)
    explained: dict[tuple[int, int], StepExplanation] = {}
    for step in open_steps[:MAX_EXPLAINED_STEPS]:
        siblings = state.occurrences[step.occurrence]
        earlier = [
            explained.get((step.occurrence, number))
            for number in step.spec.after
            if not siblings[number].is_done
        ]
        explained[step.occurrence, step.number] = explain_step(
            view, step, workers, earlier, cannot_start, now
        )
    factor = view.team_shares.factor(spec.team)
    return Explanation(
        job=spec.id,
        status=state.status.value,
        queue=spec.queue,
        priority=spec.priority,
        cannot_start=cannot_start,
        rank=rank,
        ranked_jobs=len(ranked),
        score=view.valuation.score(state, wall_time) * factor,
        is_covered=spec.id in view.covered,
        is_expired=is_expired,
        expected_seconds=state.remaining_critical_path_seconds(),
        objective_seconds=state.objective_seconds,
        team=spec.team,
        team_standing=TeamStanding(
            held=held_by(view.cluster_state, spec.team),
            limit=view.team_limits.limits.get(spec.team),
            is_limit_known=not view.team_limits.is_pending,
            share_factor=factor,
        ),
        steps=[each for _, each in sorted(explained.items(), key=itemgetter(0))],
        steps_left_out=len(open_steps) - len(explained),
    )


def explained_order(step: StepState) -> int:
    """Return the place of a step among those to explain: what could start first, then what runs."""
    if not step.waiting:
        return 1
    return 0 if step.is_startable else 2


def copy_for_reading(planner: Planner, state: JobState, now: float) -> Planner:
    """Return a copy of a planner whose questions about a job leave the planner as it is.

    The copy shares jobs, runs and workers with the planner; only its own attributes, the table of
    jobs and what the team limits count are new.
    """
    view = copy.copy(planner)
    view.cluster_state = copy.copy(planner.cluster_state)
    view.cluster_state.jobs = {**planner.cluster_state.jobs, state.spec.id: state}
    view.team_limits = copy.copy(planner.team_limits)
    view.team_limits.held = defaultdict(Resources, planner.team_limits.held)
    view.eligible = view.eligible_workers(now)
    view.idle_pools, view.fits_elsewhere, view.non_preemptible = {}, {}, None
    view.reservations = [
        each
        for each in planner.reservations
        if each.expires_at > now and each.step.is_startable and each.step.waiting
    ]
    return view


def why_left_out(state: JobState, cluster_state: ClusterState, now: float) -> str:
    """Return why scheduling passes leave a job out, empty if they do not."""
    if state.status.is_final:
        return "has ended"
    if state.not_before > now:
        return f"set aside for {state.not_before - now:.1f} s"
    if state not in cluster_state.startable_jobs(now):
        if state.awaits_confirmation:
            return "learned of when another leader may have been elected: waits for the store"
        return "may run already: not all workers have reported to this leader"
    if not state.occurrences:
        return "no occurrence is due"
    return ""


def contended_pools(
    view: Planner, ranked_before: Iterable[JobState], workers: list[Worker]
) -> ContendedPools:
    """Return the pools in which jobs that can be worth something wait for room."""
    contended = ContendedPools()
    for state in ranked_before:
        if state.spec.id not in view.expired and any(
            not why_blocked(view, step, workers) for step in state.ready_steps
        ):
            contended.add(state.spec.service)
    return contended


def why_blocked(view: Planner, step: StepState, workers: list[Worker]) -> str:
    """Return why no waiting task of a step starts wherever there is room, empty if one may."""
    if not step.waiting:
        return "no task waits"
    if not step.is_startable:
        is_ending = step.spec.is_gang and (step.is_tearing_down or step.runs)
        return "runs of the last attempt are ending" if is_ending else "earlier steps are not done"
    is_non_preemptible = not step.job.spec.is_preemptible
    if is_non_preemptible and not view.preserves_guarantees(step, workers):
        return "not preemptible, and guarantees need the room"
    if view.team_limits.is_pending:
        return "the limits of teams are not known yet"
    if view.team_limits.affordable_tasks(step) == 0:
        return "the limit of its team"
    return ""


def explain_step(
    view: Planner,
    step: StepState,
    workers: list[Worker],
    earlier: list[StepExplanation | None],
    cannot_start: str,
    now: float,
) -> StepExplanation:
    """Explain where the waiting tasks of a step would go now.

    :param workers: workers that accept tasks.
    :param earlier: explanations of the open steps that it depends on, ``None`` for one left out.
    :param cannot_start: why its job is left out, empty if it is not.
    :param now: time on the local clock, in seconds.
    """
    blocked = cannot_start or why_blocked(view, step, workers)
    chosen = [] if blocked else view.choose_workers(step, workers, now)
    counts = Counter(worker.id for _, worker in chosen)
    waiting = len(step.waiting)
    permitted = view.isolation.permitted(step, view.candidate_workers(step, workers, now))
    fits_in = expected_fit(view, step, workers, len(chosen), earlier, now)
    if cannot_start:
        fits_in = None
    running = [run.remaining_seconds(now) for run in step.runs]
    slowest = min((worker.speed for _, worker in chosen), default=1.0)
    ends = running if not waiting else [*running, as_end(step, fits_in, slowest)]
    is_urgent = step.job.spec.priority == URGENT_PRIORITY
    is_expired = step.job.spec.id in view.expired
    has_no_room = not chosen and not step.runs and not view.has_reservation(step)
    return StepExplanation(
        occurrence=step.occurrence,
        number=step.number,
        waiting=waiting,
        running=len(step.runs),
        affordable=view.team_limits.affordable_tasks(step),
        blocked=blocked,
        permitted_workers=len(permitted),
        fits_now=len(chosen),
        workers=dict(list(counts.items())[:MAX_NAMED_WORKERS]),
        other_workers=max(0, len(counts) - MAX_NAMED_WORKERS),
        lacking=count_lacking(view, step, workers, permitted, counts, now) if waiting else {},
        fits_in_seconds=fits_in,
        ends_in_seconds=finite(max(ends, default=0.0)),
        may_preempt=bool(
            not blocked
            and is_urgent
            and has_no_room
            and not is_expired
            and not step.job.crash_suspects
        ),
        waited_beside_room=view.preference_waits.seconds(step, now),
    )


def as_end(step: StepState, fits_in: float | None, speed: float) -> float:
    """Return the time until waiting tasks are expected to have ended, infinite if not known."""
    if fits_in is None or step.spec.lasts:
        return math.inf
    return fits_in + step.expected_seconds / speed


def finite(seconds: float) -> float | None:
    """Return a time, or ``None`` for an infinite one, which JSON does not know."""
    return seconds if math.isfinite(seconds) else None


def expected_fit(
    view: Planner,
    step: StepState,
    workers: list[Worker],
    chosen: int,
    earlier: list[StepExplanation | None],
    now: float,
) -> float | None:
    """Return the time until all tasks of a step are expected to fit, ``None`` if it is not known.

    :param chosen: number of its tasks that fit now.
    :param earlier: explanations of the open steps that it depends on, ``None`` for one left out.
    """
    if chosen == len(step.waiting):
        return 0.0
    hold = view.holds.holds.get(step)
    if hold is not None:
        return max(0.0, hold.fits_at - now)
    fit = view.find_earliest_fit(step, workers, now)
    if fit is None:
        return None
    times = [fit.seconds]
    for each in earlier:
        is_known = each is not None and each.ends_in_seconds is not None
        times.append(each.ends_in_seconds if is_known else math.inf)
    if view.team_limits.affordable_tasks(step) < len(step.waiting):
        claim = view.team_limits.claims.get(step.job.spec.team)
        is_own = claim is not None and claim.step is step
        times.append(max(0.0, claim.fits_at - now) if is_own else math.inf)
    return finite(max(times))


def count_lacking(
    view: Planner,
    step: StepState,
    workers: list[Worker],
    permitted: list[Worker],
    counts: Counter[str],
    now: float,
) -> dict[str, int]:
    """Return the number of workers that lack something for one more task, by what they lack.

    :param workers: workers that accept tasks.
    :param permitted: those of them that the step may use.
    :param counts: number of tasks of the step that would start now, by worker id.
    """
    accepting = {worker.id for worker in workers}
    open_to_step = {worker.id for worker in view.permitted_workers(step, workers)}
    not_held = {worker.id for worker in view.candidate_workers(step, workers, now)}
    usable = {worker.id for worker in permitted}
    free_of = view.free_resources_for(step)
    running = view.tasks_per_worker(step)
    lacking: Counter[str] = Counter()
    for worker in view.cluster_state.workers.values():
        if not is_in_pool(worker, step):
            lacking["pool"] += 1
        elif worker.id not in accepting:
            lacking[why_not_accepting(worker, view.cluster_state, now)] += 1
        elif worker.id not in open_to_step:
            lacking["headroom"] += 1
        elif worker.id not in not_held:
            lacking["held for a gang"] += 1
        elif worker.id not in usable:
            lacking["kept apart from jobs that may crash workers"] += 1
        else:
            added = counts[worker.id]
            free = free_of(worker)
            for _ in range(added):
                free = free - step.spec.reserved
            lacking.update(lacking_on(step, worker, free, running[worker.id], added))
    return dict(sorted(lacking.items()))


def why_not_accepting(worker: Worker, cluster_state: ClusterState, now: float) -> str:
    """Return why a worker accepts no tasks."""
    reasons = (
        (not worker.is_registered, "deregistered"),
        (worker.entry.data_centre in cluster_state.evacuated, "data centre out of service"),
        (not worker.entry.is_ready, "draining"),
        (worker.is_unreachable, "unreachable"),
        (not worker.is_reconciled, "not reported yet"),
        (worker.awaits_record, "its use is not recorded yet"),
        (worker.has_unknown_runs, "unknown runs"),
        (not cluster_state.is_capacity_known(worker, now), "capacity not known"),
    )
    return next((reason for applies, reason in reasons if applies), "avoided")


def lacking_on(
    step: StepState, worker: Worker, free: Resources, placed: int, added: int
) -> list[str]:
    """Return what a worker lacks for one more task of a step, empty if the task fits.

    :param free: resources that the step may use, without those of the tasks to start.
    :param placed: number of tasks of the step that run there.
    :param added: number of tasks of the step that would start there now.
    """
    if max_tasks_on(step.spec, worker, free, placed, added) > 0:
        return []
    if not has_required_label(step.spec, worker):
        return ["label"]
    if would_interfere(step.spec, worker, added):
        return ["serving and filling tasks kept apart"]
    needed = step.spec.reserved
    short = [
        label
        for name, label in (
            ("processor_millis", "processors"),
            ("memory_mb", "memory"),
            ("accelerators", "accelerators"),
        )
        if getattr(free, name) < max(0, getattr(needed, name))
    ]
    return short or ["limit of tasks per worker"]


def held_by(cluster_state: ClusterState, team: str) -> Resources:
    """Return the resources that the runs of a team hold."""
    return sum(
        (
            run.step.spec.demand
            for worker in cluster_state.workers.values()
            for run in worker.runs.values()
            if run.step.job.spec.team == team
        ),
        Resources(),
    )
