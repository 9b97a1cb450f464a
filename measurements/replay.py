"""Replays arrivals of jobs through the decision functions in virtual time, or a baseline.

The replay has no processes and no sockets: simulated workers obey each owner once a second.
"""

import random
from abc import ABC, abstractmethod

import attrs

from jaypier.core.clock import VirtualClock
from jaypier.core.metrics import Metrics
from jaypier.notes.model import (
    Adjacency,
    DataCentre,
    Entities,
    GuaranteedShape,
    Job,
    Team,
)
from jaypier.platform import Machine, MachineKind
from jaypier.scheduling.scheduler import DataCentreScheduler
from jaypier.workers.model import WorkerReport
from jaypier.workers.protocol import ControlRequest
from standins.ledger import FakeLedger
from standins.worker import SimulatedWorker

STEP_SECONDS = 0.5
LEASE_SECONDS = 8.0
DATA_CENTRES = ("a", "b", "c", "d")
RACK_WORKERS = 6
ACCELERATORS = 8


@attrs.frozen
class Arrival:
    """A job and when it comes.

    :param at: seconds since the start.
    :param seconds: true run time.
    """

    at: float
    job: Job
    seconds: float


@attrs.frozen
class SizeClass:
    """A kind of job of a deployment.

    :param share: share of the accelerators' time that it asks for.
    :param seconds: shortest and longest run time.
    """

    name: str
    team: str
    tasks: tuple[int, ...]
    sizes: tuple[int, ...]
    seconds: tuple[float, float]
    share: float
    adjacency: Adjacency = Adjacency.DATA_CENTRE


@attrs.frozen
class Workload:
    """What one of the brief's deployments asks for."""

    name: str
    teams: tuple[Team, ...]
    classes: tuple[SizeClass, ...]


def _team(name: str, *shapes: tuple[int, int]) -> Team:
    return Team(name, [GuaranteedShape(f"s{i}", *shape) for i, shape in enumerate(shapes)])


RACK = Adjacency.RACK
BARIDI = Workload(
    "baridi",
    (_team("drivers", (2, 4)), _team("dairy", (3, 8)), _team("packs"), _team("sorting", (6, 8))),
    (
        SizeClass("small", "packs", (1,), (1, 2), (20, 90), 0.30),
        SizeClass("small", "drivers", (1,), (1, 4), (10, 40), 0.05),
        SizeClass("medium", "dairy", (2, 3), (4, 8), (60, 240), 0.20),
        SizeClass("large", "sorting", (6,), (8,), (200, 500), 0.30, RACK),
    ),
)
KILIMANJARO = Workload(
    "kilimanjaro",
    (_team("bench", (2, 4)), _team("fits"), _team("studies", (4, 8)), _team("reports", (6, 8))),
    (
        SizeClass("small", "fits", (1,), (1, 2, 4), (10, 60), 0.35),
        SizeClass("small", "bench", (1, 2), (4,), (5, 30), 0.05),
        SizeClass("medium", "studies", (2, 4), (8,), (100, 300), 0.15),
        SizeClass("large", "reports", (4, 6), (8,), (300, 600), 0.30, RACK),
    ),
)


def machines() -> list[Machine]:
    """Return the 24 workers of a deployment, one rack of 6 in each data centre."""
    return [
        Machine(
            f"{place}-{index}",
            MachineKind.WORKER,
            place,
            "127.0.0.1:1",
            rack=f"rack-{place}",
            accelerators=ACCELERATORS,
        )
        for place in DATA_CENTRES
        for index in range(RACK_WORKERS)
    ]


def arrivals(workload: Workload, seconds: float, seed: int) -> list[Arrival]:
    """Draw arrivals; small jobs come in bursts of ten."""
    rng = random.Random(f"{workload.name}/{seed}")
    total = len(DATA_CENTRES) * RACK_WORKERS * ACCELERATORS
    result: list[Arrival] = []
    for number, each in enumerate(workload.classes):
        burst = 10 if each.name == "small" else 1
        mean_work = _mean(each.tasks) * _mean(each.sizes) * _mean(each.seconds)
        rate = each.share * total / mean_work / burst
        at = rng.expovariate(rate)
        while at < seconds:
            for _ in range(burst):
                name = f"{each.name}-{number}-{len(result)}"
                result.append(_draw(rng, each, name, at))
            at += rng.expovariate(rate)
    return sorted(result, key=lambda arrival: arrival.at)


def _mean(values: tuple) -> float:
    return sum(values) / len(values)


def _draw(rng: random.Random, each: SizeClass, name: str, at: float) -> Arrival:
    run_seconds = rng.uniform(*each.seconds)
    declared = min(86_400.0, run_seconds * rng.choice((0.1, 0.5, 1, 3, 20)))
    job = Job(
        name,
        each.team,
        rng.choice(each.tasks),
        rng.choice(each.sizes),
        f"run {run_seconds}",
        run_seconds=declared,
        adjacency=each.adjacency,
    )
    return Arrival(at, job, run_seconds)


@attrs.define
class Sample:
    """State at one moment.

    :param waiting_large: large gangs that wait although enough accelerators are free.
    """

    at: float
    free: int
    largest_block: int
    busy: int
    waiting_large: int


class Policy(ABC):
    """Something that places jobs on workers in virtual time."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.finished: dict[str, float] = {}
        self.samples: list[Sample] = []

    @abstractmethod
    def submit(self, arriving: list[Arrival]) -> None:
        """Take jobs that have just arrived."""

    @abstractmethod
    def step(self) -> None:
        """Decide, then let ``STEP_SECONDS`` pass."""

    @abstractmethod
    def set_in_service(self, data_centre: str, in_service: bool) -> None:
        """Take a data centre out of service or bring it back."""


@attrs.define
class RunningJob:
    """A job of the baseline that runs."""

    arrival: Arrival
    placement: dict[str, int]
    ends_at: float


class FirstFitPolicy(Policy):
    """Baseline: first in, first fit; nothing is ever preempted or kept free.

    Jobs are looked at in order of arrival, and each takes the first workers that it fits on.
    """

    def __init__(self) -> None:
        super().__init__()
        self.free = {machine.id: machine.accelerators for machine in machines()}
        self.place_of = {machine.id: machine.data_centre for machine in machines()}
        self.out: set[str] = set()
        self.queue: list[Arrival] = []
        self.running: list[RunningJob] = []

    def submit(self, arriving: list[Arrival]) -> None:
        """See :meth:`Policy.submit`."""
        self.queue += arriving

    def set_in_service(self, data_centre: str, in_service: bool) -> None:
        """See :meth:`Policy.set_in_service`; jobs that ran there start from the beginning."""
        if in_service:
            self.out.discard(data_centre)
            return
        self.out.add(data_centre)
        for job in list(self.running):
            if any(self.place_of[worker] == data_centre for worker in job.placement):
                self.end(job)
                self.queue.insert(0, job.arrival)

    def end(self, job: RunningJob) -> None:
        """Give back what a job holds."""
        self.running.remove(job)
        for worker, tasks in job.placement.items():
            self.free[worker] += tasks * job.arrival.job.accelerators_per_task

    def step(self) -> None:
        """See :meth:`Policy.step`."""
        now = self.clock.now()
        for job in [job for job in self.running if job.ends_at <= now]:
            self.end(job)
            self.finished[job.arrival.job.name] = job.ends_at
        hopeless: set[tuple] = set()
        waiting = []
        for arrival in self.queue:
            job = arrival.job
            shape = (job.tasks, job.accelerators_per_task)
            placement = None if shape in hopeless else self.first_fit(job)
            if placement is None:
                hopeless.add(shape)
                waiting.append(arrival)
                continue
            for worker, tasks in placement.items():
                self.free[worker] -= tasks * job.accelerators_per_task
            self.running.append(RunningJob(arrival, placement, now + arrival.seconds))
        self.queue = waiting
        self.sample()
        self.clock.advance(STEP_SECONDS)

    def first_fit(self, job: Job) -> dict[str, int] | None:
        """Return the first workers of one data centre, which is one rack, that a job fits on."""
        for place in DATA_CENTRES:
            if place in self.out:
                continue
            placement: dict[str, int] = {}
            left = job.tasks
            for worker, free in self.free.items():
                count = min(left, free // job.accelerators_per_task)
                if self.place_of[worker] == place and count:
                    placement[worker] = count
                    left -= count
            if left == 0:
                return placement
        return None

    def sample(self) -> None:
        """Record the present state."""
        blocks = {
            place: sum(f for w, f in self.free.items() if self.place_of[w] == place)
            for place in DATA_CENTRES
            if place not in self.out
        }
        free = sum(blocks.values())
        busy = sum(job.arrival.job.accelerators for job in self.running)
        waiting = sum(
            a.job.name.startswith("large") and a.job.accelerators <= free for a in self.queue
        )
        self.samples.append(Sample(self.clock.now(), free, max(blocks.values()), busy, waiting))


class JaypierPolicy(Policy):
    """jaypier's decisions: one scheduler for each data centre over a common ledger."""

    def __init__(self, workload: Workload) -> None:
        super().__init__()
        listed = machines()
        self.ledger = FakeLedger(listed)
        centres = [DataCentre(place) for place in DATA_CENTRES]
        refusal = self.ledger.submit(Entities(list(workload.teams), data_centres=centres))
        assert refusal is None, refusal
        checkpoints: dict[tuple, float] = {}
        self.workers = {
            machine.id: SimulatedWorker(
                machine.id, machine.accelerators, self.clock.now, self.clock.now, checkpoints
            )
            for machine in listed
        }
        self.schedulers: dict[str, DataCentreScheduler] = {}
        for place in DATA_CENTRES:
            scheduler = DataCentreScheduler(place, 1, 0.0, LEASE_SECONDS, Metrics())
            scheduler.on_machines([each for each in listed if each.data_centre == place])
            self.schedulers[place] = scheduler
        self.publish()

    def publish(self) -> None:
        """Tell every scheduler the present configuration."""
        for scheduler in self.schedulers.values():
            if scheduler.configuration is not self.ledger.configuration:
                scheduler.on_configuration(self.ledger.configuration, self.clock.now())

    def submit(self, arriving: list[Arrival]) -> None:
        """See :meth:`Policy.submit`."""
        self.ledger.submit(Entities(jobs=[arrival.job for arrival in arriving]))
        self.publish()

    def set_in_service(self, data_centre: str, in_service: bool) -> None:
        """See :meth:`Policy.set_in_service`."""
        self.ledger.submit(changed=Entities(data_centres=[DataCentre(data_centre, in_service)]))
        self.publish()

    def step(self) -> None:
        """See :meth:`Policy.step`."""
        for scheduler in self.schedulers.values():
            for _ in range(3):
                for name in scheduler.workers:
                    self.exchange(scheduler, name)
                decisions = scheduler.decide(self.clock.now(), True)
                if not decisions.is_empty:
                    for job in decisions.retired:
                        self.finished.setdefault(job, self.clock.now())
                    self.ledger.commit(decisions, scheduler.state.data_centre)
                    self.publish()
        self.sample()
        self.clock.advance(STEP_SECONDS)

    def exchange(self, scheduler: DataCentreScheduler, name: str) -> None:
        """Make one control exchange with a worker."""
        now = self.clock.now()
        commands = scheduler.commands_for(name, now, True)
        request = ControlRequest(1, "owner", scheduler.renew(name, now), commands)
        reply = self.workers[name].control(request)
        scheduler.on_report(WorkerReport(name, reply.tasks, reply.clock), now)

    def sample(self) -> None:
        """Record the present state."""
        in_service = [
            scheduler
            for place, scheduler in self.schedulers.items()
            if self.ledger.configuration.in_service(place)
        ]
        free = sum(scheduler.state.capacity.free_total for scheduler in in_service)
        block = max(scheduler.state.capacity.largest_adjacent_block for scheduler in in_service)
        gangs = [gang for each in self.schedulers.values() for gang in each.state.gangs.values()]
        pool = next(iter(self.schedulers.values())).state.pool
        jobs = [self.ledger.configuration.jobs[name] for name in pool]
        busy = sum(gang.job.accelerators for gang in gangs if gang.phase == "running")
        waiting = sum(
            gang.phase == "queued"
            and gang.job.name.startswith("large")
            and gang.job.accelerators <= free
            for gang in gangs
        )
        waiting += sum(job.name.startswith("large") and job.accelerators <= free for job in jobs)
        self.samples.append(Sample(self.clock.now(), free, block, busy, waiting))


def replay(
    policy: Policy,
    coming: list[Arrival],
    seconds: float,
    out: tuple[str, float, float] | None = None,
) -> None:
    """Feed arrivals to a policy, then let it finish all jobs.

    :param out: data centre, start and end of its time out of service.
    """
    index = 0
    limit = seconds * 4
    while policy.clock.now() < seconds or len(policy.finished) < len(coming):
        now = policy.clock.now()
        if now > limit:
            return
        if out is not None and out[1] <= now < out[1] + STEP_SECONDS:
            policy.set_in_service(out[0], False)
        if out is not None and out[2] <= now < out[2] + STEP_SECONDS:
            policy.set_in_service(out[0], True)
        due = []
        while index < len(coming) and coming[index].at <= now:
            due.append(coming[index])
            index += 1
        if due:
            policy.submit(due)
        policy.step()
