"""Plays a load of jobs through the planner in virtual time and tells what callers get.

Workers, run times and reports are simulated; the state of the cluster and all decisions are those
of the leader. Estimates are off, gangs that span racks are slower, and stopped runs free their
capacity late, as on the users' platform.
"""

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import (
    ActiveRun,
    EndedRun,
    Job,
    JobStatus,
    Resources,
    RunOutcome,
    StartResponse,
    Step,
    TaskId,
    WorkerReport,
)
from jaypier.jobs.planning import Planner
from jaypier.jobs.state import Run, Worker, core_equivalent
from jaypier.jobs.stragglers import mark_straggler_runs
from jaypier.jobs.tests.builders import LEASE_SECONDS, make_entry

PASS_INTERVAL_SECONDS = 0.05
"""Shortest time between two scheduling passes."""

REPORT_INTERVAL_SECONDS = 1.0
STOP_SECONDS = 0.5
RESTORE_SECONDS = 0.25
REMOTE_FACTOR = 3.0
LATE_MULTIPLE = 3.0
"""Multiple of the objective up to which a late job has a value."""

START_SECONDS = 0.02


@attrs.frozen
class JobKind:
    """A kind of jobs and how they arrive.

    :param per_second: jobs that arrive in a second.
    :param value: value of a mean job that ends in time.
    :param late_share: share of the value that is left when it ends late.
    :param work_seconds: mean duration of a task.
    :param work_spread: spread of durations, as the standard deviation of their logarithm.
    :param width: mean number of tasks.
    :param max_width: largest number of tasks.
    :param accelerators: numbers of accelerators of a task, one of which is drawn for each job.
    :param estimate_error: largest error of the estimate, as a natural logarithm.
    :param gang_share: share of the jobs whose tasks are a gang.
    :param local_share: share of the gangs that have to stay in one rack.
    :param checkpoint_share: share of the jobs that write checkpoints.
    :param estimate_factor: largest error of the estimate as a share of the true duration, in
        place of ``estimate_error``.
    :param tail_share: share of the jobs that take ``tail_factor`` times as long.
    :param burst: factor on arrivals between ``burst_start`` and ``burst_end``, in seconds.
    """

    name: str
    priority: int
    per_second: float
    value: float
    late_share: float
    work_seconds: float
    work_spread: float
    max_work_seconds: float
    width: float
    max_width: int
    processor_millis: int
    memory_mb: int
    accelerators: tuple[int, ...]
    target_seconds: float
    slack_factor: float
    estimate_error: float
    gang_share: float
    local_share: float
    checkpoint_share: float
    burst: float = 1.0
    burst_start: float = 0.0
    burst_end: float = 0.0
    estimate_factor: float = 0.0
    tail_share: float = 0.0
    tail_factor: float = 1.0


@attrs.frozen
class Load:
    """A load and the workers that it meets.

    :param seconds: time during which jobs arrive.
    :param speeds: speeds that the workers have in turn.
    :param team_sizes: share of the jobs of each team; without, all teams send as much.
    """

    kinds: tuple[JobKind, ...]
    workers: int
    workers_per_rack: int
    capacity: Resources
    seconds: float
    teams: int = 4
    guaranteed: int = 16
    speeds: tuple[float, ...] = (1.0,)
    team_sizes: tuple[float, ...] = ()


@attrs.define(eq=False)
class PlayedJob:
    """A job of the load with what only the simulation knows.

    :param durations: true duration of each task, by step and index.
    """

    job: Job
    kind: JobKind
    durations: list[list[float]]
    arrives_at: float
    completed_at: float = math.inf

    def core_seconds(self) -> float:
        """Return the true work of the job."""
        return sum(
            core_equivalent(step.demand) * sum(durations)
            for step, durations in zip(self.job.steps, self.durations, strict=True)
        )

    def objective(self) -> float:
        """Return the time in which the job counts as on time."""
        chain = sum(max(durations) for durations in self.durations)
        return self.job.slack_factor * chain + self.job.target_seconds


@attrs.frozen
class Outcome:
    """What callers got from a load.

    :param worth: value that was earned, as a share of the value of all jobs in time.
    :param by_kind: the same for each kind of jobs.
    :param on_time: share of the jobs of each kind that ended in time.
    :param wasted: core-seconds of stopped runs that no checkpoint kept, as a share of all work.
    :param stops: number of runs that were stopped.
    :param windows: mean worth of the two worst windows of a sixth of the time each.
    :param duration_error: mean absolute logarithm of expected over true duration at speed 1, when
        runs were started.
    :param by_team: value that was earned for each team, as a share of the value of all its jobs.
    """

    worth: float
    by_kind: dict[str, float]
    on_time: dict[str, float]
    wasted: float
    stops: int
    windows: float
    duration_error: float
    by_team: dict[str, float]


def draw_jobs(load: Load, seed: int) -> list[PlayedJob]:
    """Return the jobs of a load in the order of their arrival."""
    rng = random.Random(seed)
    numbers = itertools.count(1)
    jobs = [
        job
        for kind in load.kinds
        for job in draw_jobs_of_kind(load, kind, random.Random(rng.random()), numbers)
    ]
    return sorted(jobs, key=lambda each: each.arrives_at)


def draw_jobs_of_kind(load: Load, kind: JobKind, rng: random.Random, numbers) -> list[PlayedJob]:
    """Return the jobs of one kind."""
    jobs, now = [], 0.0
    while True:
        is_burst = kind.burst_start <= now < kind.burst_end
        now += rng.expovariate(kind.per_second * (kind.burst if is_burst else 1.0))
        if now >= load.seconds:
            return jobs
        jobs.append(draw_job(load, kind, rng, now, next(numbers)))


def draw_lognormal(rng: random.Random, mean: float, spread: float) -> float:
    """Return a positive number with the given mean."""
    return rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)


def draw_estimate_ratio(kind: JobKind, rng: random.Random) -> float:
    """Return the estimate of a job of a kind relative to its duration."""
    error = rng.uniform(-1, 1)
    if kind.estimate_factor:
        return 1 + error * kind.estimate_factor
    return math.exp(error * kind.estimate_error)


def draw_team(load: Load, rng: random.Random) -> int:
    """Return the number of the team of a job."""
    if load.team_sizes:
        return rng.choices(range(load.teams), load.team_sizes)[0]
    return rng.randrange(load.teams)


def draw_job(load: Load, kind: JobKind, rng: random.Random, now: float, number: int) -> PlayedJob:
    """Return one job of a kind."""
    count = max(1, min(kind.max_width, round(draw_lognormal(rng, kind.width, 0.8))))
    seconds = min(kind.max_work_seconds, draw_lognormal(rng, kind.work_seconds, kind.work_spread))
    if kind.tail_share and rng.random() < kind.tail_share:
        seconds *= kind.tail_factor
    is_gang = rng.random() < kind.gang_share
    step = Step(
        count=count,
        demand=Resources(kind.processor_millis, kind.memory_mb, rng.choice(kind.accelerators)),
        estimated_seconds=seconds * draw_estimate_ratio(kind, rng),
        saves=rng.random() < kind.checkpoint_share,
        is_gang=is_gang,
        is_rack_local=is_gang and rng.random() < kind.local_share,
    )
    durations = [seconds * rng.uniform(0.85, 1.15) for _ in range(count)]
    job = Job(
        id=f"{number:016x}",
        queue=kind.name,
        service="desk",
        team=f"team-{draw_team(load, rng)}",
        priority=kind.priority,
        max_attempts=3,
        slack_factor=kind.slack_factor,
        target_seconds=kind.target_seconds,
        submitted_at=now,
        payload="",
        steps=(step,),
    )
    return PlayedJob(job, kind, [[max(durations)] * count if is_gang else durations], now)


class LoadPlayer:
    """Plays one load.

    :param make_planner: returns the planner to test for a cluster state.
    """

    def __init__(
        self, load: Load, seed: int, make_planner: Callable[[ClusterState], Planner] = Planner
    ) -> None:
        self.load = load
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.cluster_state = ClusterState(1, LEASE_SECONDS)
        self.speeds: dict[str, float] = {}
        self.duration_errors: list[float] = []
        for number in range(load.workers):
            rack = f"rack-{number // load.workers_per_rack}"
            entry = make_entry(f"worker-{number:03}", rack, capacity=load.capacity)
            self.speeds[entry.id] = load.speeds[number % len(load.speeds)]
            self.cluster_state.register_worker(entry, 0.0).is_reconciled = True
        self.planner = make_planner(self.cluster_state)
        self.planner.guarantees = {
            f"team-{number}": load.guaranteed for number in range(load.teams)
        }
        self.jobs = {each.job.id: each for each in draw_jobs(load, seed)}
        self.began_work: dict[Run, float] = {}
        self.duration: dict[Run, float] = {}
        self.done_share: dict[TaskId, float] = defaultdict(float)
        self.end_numbers: dict[str, int] = defaultdict(int)
        self.pending_ends: dict[str, list[EndedRun]] = defaultdict(list)
        self.ended: set[Run] = set()
        self.wasted = 0.0
        self.stops = 0
        self.is_pass_due = False
        self.last_pass_at = -math.inf

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (time, next(self.numbers), action))

    def play(self) -> Outcome:
        """Play the load until all jobs have ended or have no value left."""
        for each in self.jobs.values():
            self.at(each.arrives_at, lambda each=each: self.submit(each))
        for number, worker in enumerate(self.cluster_state.workers.values()):
            start = REPORT_INTERVAL_SECONDS * number / self.load.workers
            self.at(start, lambda worker=worker: self.report_regularly(worker))
        end = 4 * self.load.seconds
        while self.events and self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.evaluate()

    def submit(self, played: PlayedJob) -> None:
        """Add a job to the cluster."""
        state = self.cluster_state.add_job(played.job)
        self.planner.observe_job(state, self.now)
        self.request_pass()

    def request_pass(self) -> None:
        """Schedule a pass at the earliest time at which the leader would run one."""
        if not self.is_pass_due:
            self.is_pass_due = True
            self.at(max(self.now, self.last_pass_at + PASS_INTERVAL_SECONDS), self.run_pass)

    def run_pass(self) -> None:
        """Run one scheduling pass and carry out its decisions."""
        self.is_pass_due, self.last_pass_at = False, self.now
        for run in self.cluster_state.mark_obsolete_runs():
            self.stop(run)
        for run in mark_straggler_runs(self.cluster_state):
            self.stop(run)
        plan = self.planner.plan(self.now, self.now)
        for run in plan.stops:
            self.stop(run)
        for run in plan.starts:
            self.at(self.now + START_SECONDS, lambda run=run: self.start(run))

    def start(self, run: Run) -> None:
        """Start a run on its worker; a gang begins to work with its last task."""
        if run.worker.runs.get(run.key) is not run or run.is_stopping:
            return
        self.cluster_state.apply_start_response(run, StartResponse.STARTED, self.now)
        step = run.step
        if step.spec.is_gang and not all(each.is_confirmed for each in step.runs):
            return
        racks = {each.worker.entry.rack for each in step.runs}
        is_remote = step.spec.is_rack_local and len(racks) > 1
        runs = step.runs if step.spec.is_gang else [run]
        pace = min(self.speeds[each.worker.id] for each in runs)
        for each in runs:
            seconds = self.jobs[each.task.job_id].durations[step.number][each.task.index]
            self.duration_errors.append(abs(math.log(step.expected_seconds / seconds)))
            seconds /= pace
            seconds *= REMOTE_FACTOR if is_remote else 1.0
            seconds *= 1 - self.done_share[each.task]
            restore = RESTORE_SECONDS if self.done_share[each.task] else 0.0
            self.began_work[each] = self.now + restore
            self.duration[each] = seconds
            self.at(self.now + restore + seconds, lambda each=each: self.finish(each))

    def finish(self, run: Run) -> None:
        """End a run successfully."""
        if run not in self.ended:
            self.end(run, RunOutcome.DONE)

    def stop(self, run: Run) -> None:
        """Stop a run; its capacity is free after ``STOP_SECONDS``."""
        self.stops += 1
        self.at(self.now + STOP_SECONDS, lambda: self.end_stopped(run))

    def end_stopped(self, run: Run) -> None:
        """End a stopped run, with a checkpoint if it writes any."""
        if run in self.ended:
            return
        share = self.progress(run)
        if run.step.spec.saves:
            self.done_share[run.task] += share * (1 - self.done_share[run.task])
        elif run in self.began_work:
            cores = core_equivalent(run.step.spec.demand)
            self.wasted += cores * (self.now - self.began_work[run])
        self.end(run, RunOutcome.STOPPED)

    def progress(self, run: Run) -> float:
        """Return the share of a run's own work that it has done."""
        if run not in self.began_work:
            return 0.0
        elapsed = max(0.0, self.now - self.began_work[run])
        return min(1.0, elapsed / max(0.001, self.duration[run]))

    def end(self, run: Run, outcome: RunOutcome) -> None:
        """Record the end of a run and report it."""
        self.ended.add(run)
        worker = run.worker
        self.end_numbers[worker.id] += 1
        checkpoint = "saved" if run.step.spec.saves and outcome is RunOutcome.STOPPED else ""
        self.pending_ends[worker.id].append(
            EndedRun(self.end_numbers[worker.id], run.task, run.attempt, outcome, checkpoint)
        )
        self.report(worker)
        played = self.jobs[run.task.job_id]
        state = self.cluster_state.jobs[run.task.job_id]
        if state.status is JobStatus.COMPLETED and played.completed_at == math.inf:
            played.completed_at = self.now
        self.request_pass()

    def report(self, worker: Worker) -> None:
        """Pass a report of a worker to the cluster state."""
        active = tuple(
            ActiveRun(run.task, run.attempt, "", 100 * self.overall_progress(run))
            for run in worker.runs.values()
            if run.is_confirmed and run not in self.ended
        )
        ends = tuple(self.pending_ends.pop(worker.id, ()))
        clock = int(self.now * 1000)
        self.cluster_state.apply_report(
            worker, WorkerReport(1, clock, active, ends), self.now, self.now
        )

    def overall_progress(self, run: Run) -> float:
        """Return the share of the task's work that is done, with earlier attempts."""
        done = self.done_share[run.task]
        return done + (1 - done) * self.progress(run)

    def report_regularly(self, worker: Worker) -> None:
        """Report a busy worker's state once a second."""
        if worker.runs:
            self.report(worker)
            self.request_pass()
        self.at(self.now + REPORT_INTERVAL_SECONDS, lambda: self.report_regularly(worker))

    # What callers got

    def evaluate(self) -> Outcome:
        """Return what callers got."""
        means = {
            kind.name: mean_of(
                [each.core_seconds() for each in self.jobs.values() if each.kind is kind]
            )
            for kind in self.load.kinds
        }
        owed: dict[str, float] = defaultdict(float)
        earned: dict[str, float] = defaultdict(float)
        windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
        teams: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        on_time: dict[str, list[bool]] = defaultdict(list)
        for each in self.jobs.values():
            kind = each.kind
            relative_size = each.core_seconds() / means[kind.name]
            value = kind.value * min(4.0, 0.3 + 0.7 * relative_size)
            elapsed = each.completed_at - each.arrives_at
            share = 0.0
            if elapsed <= each.objective():
                share = 1.0
            elif elapsed <= LATE_MULTIPLE * each.objective():
                share = kind.late_share
            owed[kind.name] += value
            earned[kind.name] += share * value
            on_time[kind.name].append(share == 1.0)
            window = windows[int(6 * each.arrives_at / self.load.seconds)]
            window[0] += share * value
            window[1] += value
            team = teams[each.job.team]
            team[0] += share * value
            team[1] += value
        total = sum(each.core_seconds() for each in self.jobs.values())
        worst = sorted(got / wanted for got, wanted in windows.values())[:2]
        return Outcome(
            worth=sum(earned.values()) / sum(owed.values()),
            by_kind={name: earned[name] / owed[name] for name in owed},
            on_time={name: mean_of(values) for name, values in on_time.items()},
            wasted=self.wasted / total,
            stops=self.stops,
            windows=mean_of(worst),
            duration_error=mean_of(self.duration_errors),
            by_team={name: got / wanted for name, (got, wanted) in teams.items()},
        )


def mean_of(values: list) -> float:
    """Return the mean of numbers."""
    return sum(values) / len(values) if values else 0.0
