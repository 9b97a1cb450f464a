"""Preferences keep waiting work from workers that it may use for a bounded time only."""

import random

import pytest

from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import Job, RunOutcome, Step
from jaypier.jobs.placement import has_required_label
from jaypier.jobs.preferences import MAX_PREFERENCE_SECONDS, RackWait
from jaypier.jobs.state import JobState, Run
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_ended_run,
    make_entry,
    make_job,
    make_planner,
    make_step,
)

PASS_SECONDS = 0.2
REPORT_SECONDS = 1.0

MAX_WAIT_SECONDS = 3.0
"""Promised to callers: no job has nothing running for longer beside twice its room, while less than
half of its pool is in use."""


FAILED_SEEDS = (43, 54, 55, 111, 120, 152, 164, 210, 217, 240, 304, 347)
"""Seeds of random loads in which a job waited for longer before preferences had an end."""


class Player:
    """Plays jobs on workers through the planner in virtual time.

    :param per_rack: number of workers in a rack.
    :ivar durations: true duration of the tasks of each job in seconds; others do not end.
    :ivar waits: time for which each job has had nothing running beside ample room.
    """

    def __init__(self, workers: int, per_rack: int) -> None:
        self.cluster_state: ClusterState = make_cluster_state(workers, per_rack)
        self.planner = make_planner(self.cluster_state)
        self.now = 0.0
        self.durations: dict[str, float] = {}
        self.ends = dict.fromkeys(self.cluster_state.workers, 0)
        self.waits: dict[str, float] = {}
        self.longest_waits: dict[str, float] = {}

    @property
    def workers(self):
        return list(self.cluster_state.workers.values())

    def submit(self, *steps: Step, seconds: float | None = None, **values) -> JobState:
        """Submit a job whose tasks take ``seconds``; without, they go on."""
        job: Job = make_job(*steps, submitted_at=self.now, **values)
        if seconds is not None:
            self.durations[job.id] = seconds
        state = self.cluster_state.add_job(job)
        self.planner.observe_job(state, self.now)
        return state

    def occupy(self, state: JobState, workers) -> None:
        """Assign the tasks of the first step of a job to workers, one each."""
        (step,) = state.steps
        for task, worker in zip(step.tasks, workers, strict=True):
            self.cluster_state.assign_task(step, task, worker, 1, self.now)

    def play(self, seconds: float) -> None:
        """Play passes, with what ends and is reported in between."""
        end = self.now + seconds - PASS_SECONDS / 2
        while self.now < end:
            self.end_runs()
            self.report()
            self.planner.plan(self.now, self.now)
            self.check_waits()
            self.now += PASS_SECONDS

    def true_end(self, run: Run) -> float:
        """Return the time at which a run ends, infinite for one that goes on."""
        seconds = self.durations.get(run.task.job_id, float("inf"))
        if run.step.spec.is_rack_local and len(racks_of(run.step.runs)) > 1:
            seconds *= 3.0
        return run.started_at + seconds

    def end_runs(self) -> None:
        """Report the runs that have ended; tasks that last never end by themselves."""
        for worker in self.workers:
            for run in list(worker.runs.values()):
                if run.is_stopping:
                    self.end(run, RunOutcome.STOPPED)
                elif self.true_end(run) <= self.now:
                    self.end(run, RunOutcome.DONE)

    def end(self, run: Run, outcome: RunOutcome) -> None:
        self.ends[run.worker.id] += 1
        end = make_ended_run(self.ends[run.worker.id], run.task, outcome, run.attempt)
        runs = [each for each in run.worker.runs.values() if each is not run]
        apply_report(self.cluster_state, run.worker, self.now, map(self.as_active, runs), [end])

    def report(self) -> None:
        """Have each worker report once in ``REPORT_SECONDS``."""
        for worker in self.workers:
            if worker.runs and self.now - worker.last_report_at >= REPORT_SECONDS:
                runs = map(self.as_active, worker.runs.values())
                apply_report(self.cluster_state, worker, self.now, runs)

    def as_active(self, run: Run):
        """Return what a worker reports of a run."""
        total = self.true_end(run) - run.started_at
        share = (self.now - run.started_at) / total if total else 1.0
        percent = 100 if run.step.spec.lasts else min(99, int(100 * share))
        return make_active_run(run.task, run.attempt, "", percent)

    def check_waits(self) -> None:
        """Add up how long each job has nothing running beside twice its room."""
        for state in self.cluster_state.jobs.values():
            is_waiting = not state.status.is_final and not any(state.runs) and self.has_room(state)
            before = self.waits.get(state.spec.id, 0.0)
            wait = before + PASS_SECONDS if is_waiting else 0.0
            self.waits[state.spec.id] = wait
            longest = self.longest_waits.get(state.spec.id, 0.0)
            self.longest_waits[state.spec.id] = max(longest, wait)

    def has_room(self, state: JobState) -> bool:
        """Whether twice the room of a job's first step is free, with half of the pool unused."""
        (step,) = state.steps
        usable = self.planner.eligible_workers(self.now)
        slots = sum(
            step.spec.reserved.copies_within(worker.free)
            for worker in usable
            if has_required_label(step.spec, worker)
        )
        needed = step.spec.count if step.spec.is_gang else 1
        return slots >= 2 * needed and self.used_share() < 0.5

    def used_share(self) -> float:
        """Return the share of the accelerators of all workers that is in use."""
        total = sum(worker.entry.capacity.accelerators for worker in self.workers)
        return 1 - sum(worker.free.accelerators for worker in self.workers) / total

    def longest_wait(self, state: JobState) -> float:
        """Return the longest time for which a job had nothing running beside twice its room."""
        return self.longest_waits.get(state.spec.id, 0.0)


def racks_of(runs) -> set[str]:
    return {run.worker.entry.rack for run in runs}


def make_gang(count: int, seconds: float = 2.0) -> Step:
    """Return a gang of whole workers that is slower on several racks."""
    return make_step(count, 8, seconds, is_gang=True, is_rack_local=True)


class TestRackLocalGangs:
    """Four racks of six workers, with tasks on two workers of each; a gang needs five."""

    def play(self, is_lasting: bool, estimate: float, seconds: float | None):
        player = Player(workers=24, per_rack=6)
        step = make_step(8, 1, estimate, max_per_worker=1, lasts=is_lasting)
        others = player.submit(step, seconds=seconds)
        workers = [worker for number, worker in enumerate(player.workers) if number % 6 < 2]
        player.occupy(others, workers)
        player.play(1.0)
        gang = player.submit(make_gang(5), seconds=2.0)
        player.play(6.0)
        return player, gang

    @pytest.mark.parametrize("is_lasting", [False, True])
    def test_gang_starts_beside_long_tasks_on_each_rack(self, is_lasting):
        # Regression (LOST): it waited for a wholly free rack, which nobody expected before 90 s or
        # at all, beside 16 free workers.
        player, gang = self.play(is_lasting, 90.0, None)
        assert gang.has_started
        assert player.longest_wait(gang) <= PASS_SECONDS

    def test_gang_waits_for_a_rack_that_is_free_soon(self):
        player, gang = self.play(False, 2.0, seconds=2.0)
        assert gang.is_done
        (step,) = gang.steps
        assert player.planner.ended_waits == []

    def test_wait_has_an_end_beside_tasks_that_overrun_their_estimates(self):
        # Regression (LOST): each pass expected a free rack a moment later.
        player, gang = self.play(False, 2.0, seconds=60.0)
        assert gang.has_started
        assert PASS_SECONDS < player.longest_wait(gang) < MAX_WAIT_SECONDS
        (ended,) = player.planner.ended_waits
        assert ended.seconds > 0.0

    def test_estimate_of_a_run_on_several_racks_counts_that_it_is_slower(self):
        player, gang = self.play(True, 90.0, None)
        runs = [run for worker in player.workers for run in worker.runs.values()]
        assert {run.slowdown for run in runs if run.task.job_id == gang.spec.id} <= {3.0}

    def test_workers_of_several_racks_are_held_beside_tasks_that_last(self):
        # Regression (LOST): small tasks took each worker as it became free.
        player = Player(workers=32, per_rack=2)
        step = make_step(16, 1, lasts=True, max_per_worker=1)
        player.occupy(player.submit(step, queue="example/lasting/"), player.workers[::2])
        first = [2.0 + 0.2 * (number % 8) for number in range(16)]
        for seconds, worker in zip(first, player.workers[1::2], strict=True):
            player.occupy(player.submit(make_step(1, 8, seconds), seconds=seconds), [worker])
        player.play(0.4)
        gang = player.submit(make_gang(2), seconds=1.0, priority=2)
        for _ in range(10):
            for _ in range(8):
                player.submit(make_step(1, 8, 2.0), seconds=2.0)
            player.play(1.0)
        assert gang.has_started

    def test_urgent_gang_preempts_in_one_rack_rather_than_start_on_several(self):
        player = Player(workers=6, per_rack=3)
        player.planner.guarantees = {"team-a": 32}
        batch = player.submit(make_step(2, 1, 30.0, max_per_worker=1), seconds=30.0, priority=2)
        player.occupy(batch, [player.workers[0], player.workers[3]])
        player.play(0.2)
        gang = player.submit(make_gang(3, seconds=4.0), seconds=4.0, priority=0)
        player.play(1.0)
        assert len(racks_of(run for step in gang.steps for run in step.runs)) == 1

    def test_urgent_gang_within_its_guarantee_preempts_on_several_racks_if_on_no_single_one(self):
        # Regression (RECLAIM): no rack could be freed beside tasks that cannot be preempted.
        player = Player(workers=6, per_rack=3)
        player.planner.guarantees = {"team-a": 32}
        fixed = player.submit(make_step(2, 1, 60.0), seconds=60.0, is_preemptible=False)
        player.occupy(fixed, player.workers[::3])
        batch = player.submit(make_step(4, 8, 60.0), seconds=60.0, priority=2)
        player.occupy(batch, [worker for worker in player.workers if worker.free.accelerators == 8])
        player.play(0.4)
        gang = player.submit(make_gang(3), seconds=2.0, priority=0)
        player.play(2.8)
        assert gang.has_started


class TestOtherPreferences:
    def test_labelled_job_uses_a_worker_that_is_kept_free_for_urgent_ones(self):
        # Regression (LOST): it waited for as long as urgent jobs came.
        player = Player(workers=0, per_rack=1)
        for number in range(8):
            labels = frozenset({"a", "labelled"} if number < 2 else {"a"})
            entry = make_entry(f"worker-{number}", f"rack-{number // 4}", labels=labels)
            player.cluster_state.register_worker(entry, 0.0).is_reconciled = True
            player.ends[entry.id] = 0
        long = player.submit(make_step(1, 8, 90.0, label="labelled"), seconds=90.0)
        player.occupy(long, player.workers[1:2])
        for _ in range(4):
            player.submit(make_step(2, 1, 0.8), seconds=0.8, priority=0)
            player.play(1.0)
        assert player.workers[0].id in player.planner.headroom.until
        state = player.submit(make_step(1, 1, 2.0, label="labelled"), seconds=2.0)
        for _ in range(6):
            player.submit(make_step(2, 1, 0.8), seconds=0.8, priority=0)
            player.play(1.0)
        assert state.has_started
        assert player.longest_wait(state) < MAX_WAIT_SECONDS

    def test_job_uses_the_only_worker_with_its_label_although_runs_have_failed_there(self):
        # Regression (LOST): others were preferred, none of which could take the job.
        player = Player(workers=6, per_rack=3)
        labelled = player.workers[0]
        labelled.entry = make_entry(labelled.id, labels=frozenset({"labelled"}))
        labelled.avoid_until = 18.0
        state = player.submit(make_step(1, 1, 2.0, label="labelled"), seconds=2.0)
        player.play(4.0)
        assert state.has_started
        assert player.longest_wait(state) < MAX_WAIT_SECONDS

    def test_reasons_in_succession_keep_a_step_no_longer_than_one(self):
        # Regression (LOST): a wait that starts anew with each reason has no end.
        player = Player(workers=6, per_rack=3)
        labelled, busy = player.workers[:2]
        for worker in (labelled, busy):
            worker.entry = make_entry(worker.id, labels=frozenset({"labelled"}))
        long = player.submit(make_step(1, 8, 90.0, label="labelled"), seconds=90.0)
        player.occupy(long, [busy])
        state = player.submit(make_step(1, 1, 2.0, label="labelled"), seconds=2.0)
        for is_kept_free in [True, False] * 4:
            until = player.now + 10.0
            labelled.avoid_until = 0.0 if is_kept_free else until
            player.planner.headroom.until = {labelled.id: until} if is_kept_free else {}
            player.play(0.6)
        assert state.has_started
        assert player.longest_wait(state) < MAX_WAIT_SECONDS


class TestRackWait:
    """Decisions by price: the longer run on several racks against the wait for one."""

    def is_worth_it(self, seconds, waited=0.0, extra_seconds=10.0, has_room_twice=False):
        return RackWait(seconds, waited, extra_seconds, has_room_twice).is_worth_it

    def test_wait_is_worth_it_if_it_is_shorter_than_the_longer_run(self):
        assert self.is_worth_it(9.0)
        assert not self.is_worth_it(11.0)

    def test_no_wait_for_a_rack_that_is_not_expected_to_be_free(self):
        assert not self.is_worth_it(float("inf"))

    def test_time_waited_already_counts(self):
        assert self.is_worth_it(2.0, waited=7.0)
        assert not self.is_worth_it(2.0, waited=9.0)

    def test_wait_beside_twice_the_room_is_bounded(self):
        assert self.is_worth_it(1.0, waited=0.5, has_room_twice=True)
        assert not self.is_worth_it(1.0, waited=1.5, has_room_twice=True)
        assert not self.is_worth_it(0.0, waited=MAX_PREFERENCE_SECONDS, has_room_twice=True)


class RandomLoad(Player):
    """Random jobs on random racks: tasks that last, long ones and a stream of small ones.

    Estimates are wrong by up to ten times; workers drain, fail runs or are out of service.

    :param seed: seed of all random decisions.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        super().__init__(workers=0, per_rack=1)
        self.per_rack = self.rng.choice((3, 4, 6))
        racks = self.rng.choice((2, 3, 4))
        for number in range(racks * self.per_rack):
            rack = f"rack-{number // self.per_rack}"
            labels = frozenset({"a", rack} | ({"fast"} if self.rng.random() < 0.2 else set()))
            entry = make_entry(f"worker-{number:02}", rack, labels=labels, data_centre=rack)
            self.cluster_state.register_worker(entry, 0.0).is_reconciled = True
            self.ends[entry.id] = 0
        self.small_per_second = self.rng.choice((0.0, 1.0, 4.0))
        self.urgent_per_second = self.rng.choice((0.0, 0.0, 1.0))
        self.gangs: list[JobState] = []

    def run(self, seconds: float) -> None:
        """Play the load for some time."""
        for _ in range(self.rng.randint(0, 4)):
            self.submit_blockers()
        self.play(1.0)
        while self.now < seconds:
            if self.rng.random() < 0.15:
                self.gangs.append(self.submit_gang())
            if self.rng.random() < 0.05:
                self.submit_labelled()
            for _ in range(self.draw_count(self.small_per_second)):
                self.submit_small(priority=2)
            for _ in range(self.draw_count(self.urgent_per_second)):
                self.submit_small(priority=0)
            self.disturb()
            self.play(1.0)

    def draw_count(self, rate: float) -> int:
        return self.rng.randint(0, round(2 * rate))

    def estimate(self, seconds: float) -> float:
        """Return an estimate that is off by up to ten times."""
        return seconds * 10 ** self.rng.uniform(-1, 1)

    def submit_blockers(self) -> None:
        """Occupy a part of some workers for long, or for good."""
        lasts, seconds = self.rng.random() < 0.5, self.rng.choice((8.0, 30.0, 90.0))
        step = make_step(
            self.rng.randint(1, max(1, len(self.workers) // 3)),
            self.rng.choice((1, 2, 4)),
            self.estimate(seconds),
            lasts=lasts,
            max_per_worker=1,
        )
        self.submit(step, seconds=None if lasts else seconds, priority=2)

    def submit_gang(self) -> JobState:
        seconds = self.rng.choice((0.5, 2.0, 6.0))
        count = self.rng.randint(2, self.per_rack + 1)
        step = make_step(
            count,
            self.rng.choice((2, 4, 8)),
            self.estimate(seconds),
            is_gang=True,
            is_rack_local=True,
        )
        return self.submit(step, seconds=seconds)

    def submit_labelled(self) -> None:
        self.submit(make_step(1, 1, self.estimate(1.0), label="fast"), seconds=1.0)

    def submit_small(self, priority: int) -> None:
        seconds = self.rng.choice((0.4, 1.0, 3.0))
        step = make_step(1, self.rng.choice((1, 2)), self.estimate(seconds))
        self.submit(step, seconds=seconds, priority=priority)

    def disturb(self) -> None:
        """Let workers drain or be avoided, and take a rack out of service, for some time."""
        for worker in self.workers:
            if self.rng.random() < 0.03:
                worker.avoid_until = self.now + 6.0
            worker.is_registered = worker.is_registered != (self.rng.random() < 0.03)
        racks = sorted({worker.entry.data_centre for worker in self.workers})
        if self.rng.random() < 0.1:
            chosen = self.rng.random() < 0.5 and self.rng.choice(racks)
            self.cluster_state.evacuated = frozenset([chosen] if chosen else [])


class TestRandomLoads:
    @pytest.mark.parametrize("seed", [*range(28), *FAILED_SEEDS])
    def test_no_job_waits_long_beside_twice_its_room(self, seed):
        # Regression (LOST): preferences for one rack, for workers that no urgent job needs and for
        # workers without failures kept work waiting without an end.
        load = RandomLoad(seed)
        load.run(40.0)
        assert max(load.longest_waits.values()) < MAX_WAIT_SECONDS

    def test_loads_have_gangs_that_wait_and_gangs_on_several_racks(self):
        loads = [RandomLoad(seed) for seed in range(10)]
        for load in loads:
            load.run(40.0)
        waited = sum(load.longest_wait(gang) > 0.5 for load in loads for gang in load.gangs)
        assert waited > 0
        assert any(ended.racks > 1 for load in loads for ended in load.planner.ended_waits)

    @pytest.mark.parametrize("seed", range(40))
    def test_no_gang_is_spread_that_one_rack_holds_soon(self, seed):
        """Estimates are exact here, and nothing else comes."""
        rng = random.Random(seed)
        player = Player(workers=12, per_rack=4)
        ends = {}
        for worker in player.workers:
            if rng.random() < 0.5:
                seconds = rng.choice((0.6, 1.0, 1.4, 3.0, 20.0))
                player.occupy(player.submit(make_step(1, 4, seconds), seconds=seconds), [worker])
                ends[worker.id] = seconds
        player.play(PASS_SECONDS)
        began = player.now
        gang = player.submit(make_gang(3, seconds=4.0), seconds=4.0)
        player.play(4.0)
        soonest = min(
            sorted(ends.get(worker.id, 0.0) for worker in player.workers[first : first + 4])[2]
            for first in (0, 4, 8)
        )
        runs = list(gang.runs)
        if soonest - began <= MAX_PREFERENCE_SECONDS - 2 * PASS_SECONDS:
            assert len(racks_of(runs)) == 1
        elif len(ends) <= 6:
            assert runs
