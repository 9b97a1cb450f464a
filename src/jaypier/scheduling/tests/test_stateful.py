"""Stateful fuzzing of owners, workers and the ledger against a simple oracle.

Several owners of one data centre may be active at a time: the present one and former ones that
are cut off from the store, or frozen and woken later. Workers are cut, restarted and made to
fail. After each step the oracle checks what must always hold.
"""

from collections import Counter, defaultdict

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jaypier.core.clock import VirtualClock
from jaypier.core.metrics import Metrics
from jaypier.notes.configuration import JobState
from jaypier.notes.keeper import CURRENT_SECONDS
from jaypier.notes.model import Adjacency, DataCentre, Entities, GuaranteedShape, Job, Team
from jaypier.scheduling.scheduler import DataCentreScheduler
from jaypier.scheduling.service import FENCE_SECONDS
from jaypier.scheduling.tests.builders import (
    DATA_CENTRE,
    LEASE,
    assert_reclaimable,
    worker_machines,
)
from jaypier.workers.errors import EpochRefused
from jaypier.workers.model import TaskState, WorkerReport
from jaypier.workers.protocol import ControlRequest
from standins.checks import DEPARTURE_SECONDS, gang_faults
from standins.ledger import FakeLedger
from standins.worker import SimulatedWorker, WorkerFaults

MACHINES = worker_machines(2, 3) + worker_machines(1, 3, data_centre="there")
HERE = [machine for machine in MACHINES if machine.data_centre == DATA_CENTRE]
NAMES = [machine.id for machine in HERE]
TEAMS = [
    Team("small", [GuaranteedShape("bench", 2, 4)]),
    Team("middle", [GuaranteedShape("packs", 3, 2), GuaranteedShape("one", 1, 8)]),
    Team("large", [GuaranteedShape("nightly", 2, 8)]),
]

worker_names = st.sampled_from(NAMES)
jobs = st.builds(
    lambda team, tasks, size, rack, kind, seconds: Job(
        "unnamed",
        team,
        tasks,
        size,
        f"run {seconds}",
        adjacency=Adjacency.RACK if rack else Adjacency.DATA_CENTRE,
        preemptible=kind == 0,
        repeatable=kind < 2,
    ),
    st.sampled_from(["small", "middle", "large"]),
    st.integers(1, 6),
    st.sampled_from([1, 2, 4, 8]),
    st.booleans(),
    st.integers(0, 2),
    st.sampled_from([1, 5, 60]),
)


@attrs.define(eq=False)
class Owner:
    """An owner of the data centre; only the newest is known to the store.

    :param confirmed_at: time of its last contact with the store.
    """

    scheduler: DataCentreScheduler
    confirmed_at: float
    has_store: bool = True
    is_frozen: bool = False
    is_deposed: bool = False


class SchedulingMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = VirtualClock(1000.0)
        self.ledger = FakeLedger(MACHINES)
        self.ledger.submit(Entities(teams=TEAMS))
        self.ledger.submit(Entities(data_centres=[DataCentre(DATA_CENTRE, True)]))
        offsets = {name: 17.0 * index for index, name in enumerate(NAMES)}
        self.workers = {
            name: SimulatedWorker(
                name, 8, lambda name=name: self.clock.now() + offsets[name], self.clock.now
            )
            for name in NAMES
        }
        self.cut: set[tuple[Owner | None, str]] = set()
        self.owners: list[Owner] = []
        self.job_count = 0
        self.sizes: dict[str, int] = {}
        self.unrepeatable: set[str] = set()
        self.cancelled: set[str] = set()
        self.out_since: float | None = None
        self.epoch = 0
        self.log_seen = dict.fromkeys(NAMES, 0)
        self.drained_starts: list = []
        self.partial_since: dict[tuple, float] = {}
        self.take_over()

    # Owners

    @property
    def owner(self) -> Owner:
        return self.owners[-1]

    def take_over(self):
        self.epoch += 1
        scheduler = DataCentreScheduler(DATA_CENTRE, self.epoch, self.clock.now(), LEASE, Metrics())
        scheduler.on_machines(HERE)
        self.owners = [*self.owners[-2:], Owner(scheduler, self.clock.now())]
        self.synchronize(self.owner)

    def synchronize(self, owner: Owner):
        """Let an owner read the store: its configuration, or that it was succeeded."""
        if owner is not self.owner:
            owner.is_deposed = True
            return
        owner.confirmed_at = self.clock.now()
        if owner.scheduler.configuration is not self.ledger.configuration:
            owner.scheduler.on_configuration(self.ledger.configuration, self.clock.now())

    def may_start(self, owner: Owner) -> bool:
        return not owner.is_deposed and self.clock.now() - owner.confirmed_at <= CURRENT_SECONDS

    def exchange(self, owner: Owner, name: str, is_reply_lost: bool = False):
        if owner.is_frozen or owner.is_deposed or not self.reaches(owner, name):
            return
        now = self.clock.now()
        commands = owner.scheduler.commands_for(name, now, self.may_start(owner))
        request = ControlRequest(
            owner.scheduler.state.epoch, "owner", owner.scheduler.renew(name, now), commands
        )
        self.deliver(owner, name, request, is_reply_lost)

    def reaches(self, owner: Owner, name: str) -> bool:
        return (owner, name) not in self.cut and (None, name) not in self.cut

    def deliver(self, owner: Owner, name: str, request: ControlRequest, is_reply_lost: bool):
        try:
            reply = self.workers[name].control(request)
        except EpochRefused:
            owner.is_deposed = True
            return
        if not is_reply_lost:
            report = WorkerReport(name, reply.tasks, reply.clock)
            owner.scheduler.on_report(report, self.clock.now())

    def decide(self, owner: Owner):
        if owner.is_frozen or owner.is_deposed:
            return
        decisions = owner.scheduler.decide(self.clock.now(), self.may_start(owner))
        if owner is self.owner and owner.has_store and not decisions.is_empty:
            self.ledger.commit(decisions)
            self.synchronize(owner)

    # Rules

    @rule(batch=st.lists(jobs, min_size=1, max_size=6))
    def submit(self, batch):
        for job in batch:
            self.submit_one(job)

    def submit_one(self, job):
        self.job_count += 1
        job = attrs.evolve(job, name=f"job-{self.job_count}")
        if self.ledger.submit(Entities(jobs=[job])) is None:
            self.sizes[job.name] = job.tasks
            if not job.repeatable:
                self.unrepeatable.add(job.name)

    @precondition(lambda self: self.ledger.configuration.jobs)
    @rule(data=st.data())
    def cancel(self, data):
        present = sorted(self.ledger.configuration.jobs)
        chosen = data.draw(st.lists(st.sampled_from(present), min_size=1, unique=True))
        self.ledger.withdraw(*chosen)
        self.cancelled |= set(chosen)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0]), count=st.integers(1, 8))
    def run(self, seconds, count):
        for _ in range(count):
            self.step(seconds)

    def step(self, seconds):
        """Let every owner that can act do so, then let time pass."""
        for owner in self.owners:
            if owner.has_store and not owner.is_frozen:
                self.synchronize(owner)
            for name in NAMES:
                self.exchange(owner, name)
            self.decide(owner)
        self.pass_time(seconds)

    def pass_time(self, seconds: float):
        for _ in range(int(seconds / 0.1)):
            self.clock.advance(0.1)
            for worker in self.workers.values():
                worker.tick()
            self.watch_partial_gangs()

    @rule(name=worker_names)
    def lose_reply(self, name):
        self.exchange(self.owner, name, is_reply_lost=True)

    @rule(name=worker_names, whose=st.booleans())
    def cut_worker(self, name, whose):
        self.cut.add((self.owner if whose else None, name))

    @rule()
    def heal_cuts(self):
        self.cut.clear()

    @rule(name=worker_names)
    def restart_worker(self, name):
        """A replaced VM remembers nothing, not even the highest epoch."""
        self.workers[name].tasks.clear()
        self.workers[name].epoch = 0

    @rule(name=worker_names, fails=st.booleans())
    def break_worker(self, name, fails):
        self.workers[name].faults = WorkerFaults(fails_everything=fails)

    @rule()
    def cut_owner_from_store(self):
        self.owner.has_store = False

    @rule()
    def freeze_owner(self):
        self.owner.is_frozen = True

    @rule()
    def replace_owner(self):
        self.take_over()

    @rule()
    def wake_all(self):
        for owner in self.owners:
            owner.is_frozen = False
            owner.has_store = True

    @rule()
    def drain(self):
        """Fence the data centre as the service does, then commit the note."""
        if self.out_since is not None:
            return
        if not self.owner.has_store or self.owner.is_frozen:
            self.take_over()
        for name in NAMES:
            self.exchange(self.owner, name)
        heard = self.owner.scheduler.workers.values()
        now = self.clock.now()
        if sum(worker.heard_at == now for worker in heard) <= len(NAMES) / 2:
            self.pass_time(FENCE_SECONDS)
        self.ledger.submit(changed=Entities(data_centres=[DataCentre(DATA_CENTRE, False)]))
        self.out_since = self.clock.now()
        self.synchronize(self.owner)

    @rule()
    def return_(self):
        if self.out_since is not None:
            self.collect_drained_starts()
            self.ledger.submit(changed=Entities(data_centres=[DataCentre(DATA_CENTRE, True)]))
            self.out_since = None

    # Oracle

    def collect_drained_starts(self):
        for name, worker in self.workers.items():
            latest = float("inf") if self.out_since is None else self.out_since + DEPARTURE_SECONDS
            self.drained_starts += [
                entry
                for entry in worker.log[self.log_seen[name] :]
                if entry.event in ("held", "released") and entry.at > latest
            ]
            self.log_seen[name] = len(worker.log)

    def watch_partial_gangs(self):
        """Time how long a part of a gang has been running alone."""
        running: Counter = Counter()
        alive: Counter = Counter()
        for worker in self.workers.values():
            for task in worker.tasks.values():
                identity = task.identity
                attempt = (identity.job, identity.revision, identity.epoch, identity.attempt)
                running[attempt] += task.state is TaskState.RUNNING
                alive[attempt] += task.state in (
                    TaskState.RUNNING,
                    TaskState.DONE,
                    TaskState.HELD,
                )
        now = self.clock.now()
        partial = {
            attempt
            for attempt, count in running.items()
            if count and alive[attempt] < self.sizes[attempt[0]]
        }
        self.partial_since = {a: self.partial_since.get(a, now) for a in partial}

    @invariant()
    def no_gang_is_released_in_part(self):
        log = sorted(
            (entry for worker in self.workers.values() for entry in worker.log),
            key=lambda entry: entry.at,
        )
        assert gang_faults(log, self.sizes) == []

    @invariant()
    def no_part_runs_alone_for_longer_than_a_lease(self):
        now = self.clock.now()
        if not any(owner.is_frozen for owner in self.owners):
            lasting = [a for a, since in self.partial_since.items() if now - since > 2 * LEASE]
            assert lasting == []

    @invariant()
    def nothing_starts_in_a_drained_data_centre(self):
        self.collect_drained_starts()
        assert self.drained_starts == []

    @invariant()
    def guarantees_are_reclaimable(self):
        if not self.owner.is_deposed:
            assert_reclaimable(self.owner.scheduler)

    @invariant()
    def unrepeatable_jobs_are_released_once(self):
        attempts = defaultdict(set)
        for worker in self.workers.values():
            for entry in worker.log:
                if entry.event == "released" and entry.task.job in self.unrepeatable:
                    attempts[entry.task.job].add((entry.task.epoch, entry.task.attempt))
        assert all(len(each) == 1 for each in attempts.values()), attempts

    @invariant()
    def nothing_is_both_done_and_refused(self):
        outcomes = self.ledger.outcomes
        assert not set(outcomes) & set(self.ledger.configuration.jobs)
        done = defaultdict(Counter)
        for worker in self.workers.values():
            for entry in worker.log:
                if entry.event == "done":
                    done[entry.task.job][(entry.task.epoch, entry.task.attempt)] += 1
        for job, outcome in outcomes.items():
            is_whole = any(count == self.sizes[job] for count in done[job].values())
            assert (outcome.state is not JobState.DONE) or is_whole, job

    def teardown(self):
        """Once everything is healed, the queue drains."""
        self.wake_all()
        self.return_()
        self.cut.clear()
        for worker in self.workers.values():
            worker.faults = WorkerFaults()
        self.take_over()
        for _ in range(1200):
            self.step(0.5)
            if not self.ledger.configuration.jobs_in(DATA_CENTRE):
                break
        stuck = {
            job.name: self.owner.scheduler.state.gangs.get(job.name)
            for job in self.ledger.configuration.jobs_in(DATA_CENTRE)
        }
        assert not stuck, stuck


SchedulingMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
TestSchedulingMachine = SchedulingMachine.TestCase
