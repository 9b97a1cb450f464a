import random

import pytest

from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import Resources, Step
from jaypier.jobs.planning import Planner
from jaypier.jobs.state import Run, StepState
from jaypier.jobs.tests.builders import (
    LEASE_SECONDS,
    make_cluster_state,
    make_entry,
    make_job,
    make_planner,
    make_step,
)
from jaypier.jobs.unplaceable import StepNeed


def started_on(planner: Planner, now: float = 1.0) -> dict[str, int]:
    """Return the number of tasks that a pass starts, by id of the job."""
    starts = planner.plan(now, now).starts
    ids = [run.task.job_id for run in starts]
    return {job_id: ids.count(job_id) for job_id in ids}


class TestLimitedTasks:
    def test_job_starts_beside_one_of_the_same_shape_whose_task_has_no_worker_left(self):
        # Regression (LOST): the waiting task of a job with one task on each worker kept all later
        # jobs with the same needs from starting, beside idle workers.
        cluster_state = make_cluster_state(workers=3)
        replicas = make_job(make_step(count=4, seconds=0.0, max_per_worker=1, lasts=True))
        planner = make_planner(cluster_state, replicas)
        assert started_on(planner) == {replicas.id: 3}
        later = make_job(make_step(count=2, max_per_worker=1))
        planner.observe_job(cluster_state.add_job(later), 1.0)
        assert started_on(planner, 2.0) == {later.id: 2}


class TestGangs:
    def test_wide_gang_starts_on_several_racks_beside_one_that_waits_for_a_rack(self):
        """No rack can hold the wide one even when idle, so it is spread."""
        cluster_state = make_cluster_state(workers=4, per_rack=2)
        blockers = [make_job(make_step(accelerators=4, seconds=1.8)) for _ in range(2)]
        planner = make_planner(cluster_state, *blockers)
        first, _, third, _ = cluster_state.workers.values()
        for job, worker in zip(blockers, (first, third), strict=True):
            (step,) = cluster_state.jobs[job.id].steps
            cluster_state.assign_task(step, step.tasks[0], worker, 1, 0.0)
        shape = {"accelerators": 4, "is_gang": True, "is_rack_local": True, "seconds": 1.0}
        # The first one gets a hold, which is a reason of its own to be tried.
        narrow = [make_job(make_step(count=4, **shape)) for _ in range(2)]
        wide = make_job(make_step(count=6, **shape))
        for job in (*narrow, wide):
            planner.observe_job(cluster_state.add_job(job), 0.5)
        order = [job.id for job in (*narrow, wide)]
        planner.sort_key = lambda state, wall_time: (order.index(state.spec.id),)
        assert started_on(planner) == {wide.id: 6}


class PassPlayer:
    """A cluster with random jobs on which passes are played, with runs that end in between.

    :param seed: seed of all random decisions.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster_state = ClusterState(1, LEASE_SECONDS)
        for number in range(self.rng.randint(2, 8)):
            entry = make_entry(
                f"worker-{number:02}",
                f"rack-{number // 3}",
                service=self.rng.choice(("desk", "desk", "lab")),
                capacity=Resources(self.rng.choice((8000, 64000)), 65536, 8),
            )
            worker = self.cluster_state.register_worker(entry, 0.0)
            worker.is_reconciled = True
            worker.speed = self.rng.choice((0.8, 1.0, 1.25))
        self.planner = make_planner(self.cluster_state, **{"team-a": 16})
        self.wrongly_skipped: list[str] = []
        self.skipped = 0
        self.now = 0.0
        self.considered: StepState | None = None
        self.check_skips()

    def check_skips(self) -> None:
        """Try each step that the planner skips; record those that would have been placed."""
        planner = self.planner
        need_of, covers = planner.need_of, planner.unplaceable.covers

        def remember_step(step: StepState) -> StepNeed:
            self.considered = step
            return need_of(step)

        def try_if_covered(need: StepNeed) -> bool:
            is_skipped = covers(need)
            if is_skipped:
                self.skipped += 1
                step, workers = self.considered, planner.usable_workers(self.now)
                if planner.choose_workers(step, workers, self.now):
                    self.wrongly_skipped.append(f"{self.now} {step.spec}")
            return is_skipped

        planner.need_of, planner.unplaceable.covers = remember_step, try_if_covered

    def play(self, passes: int) -> None:
        """Play passes, one a second, with random arrivals, ends and losses before each."""
        for number in range(passes):
            self.now = float(number)
            for _ in range(self.rng.randint(0, 6)):
                job = make_job(
                    self.random_step(),
                    priority=self.rng.choice((0, 1, 1, 2)),
                    submitted_at=self.now,
                    service=self.rng.choice(("desk", "desk", "lab", "")),
                )
                self.planner.observe_job(self.cluster_state.add_job(job), self.now)
            for worker in self.cluster_state.workers.values():
                worker.is_registered = self.rng.random() < 0.9
                for run in list(worker.runs.values()):
                    if run.is_stopping or self.rng.random() < 0.15:
                        self.end(run)
            self.planner.plan(self.now, self.now)

    def end(self, run: Run) -> None:
        """End a run, usually with success."""
        self.cluster_state.end_run(run)
        task = run.step.tasks[run.task.index]
        chance = self.rng.random()
        if chance < 0.8 and not run.is_stopping:
            self.cluster_state.finish_task(run.step, task)
        elif chance > 0.9:
            task.failed_on.add(run.worker.id)

    def random_step(self) -> Step:
        """Return a step of one of few shapes, so that many jobs share one."""
        is_gang = self.rng.random() < 0.4
        lasts = not is_gang and self.rng.random() < 0.2
        return make_step(
            count=self.rng.randint(1, 12),
            accelerators=self.rng.choice((0, 2, 4, 8)),
            seconds=self.rng.choice((0.0, 0.6, 1.0, 1.4, 9.0)),
            is_gang=is_gang,
            is_rack_local=is_gang and self.rng.random() < 0.5,
            max_per_worker=self.rng.choice((0, 0, 1, 2)),
            lasts=lasts,
            is_serving=lasts and self.rng.random() < 0.5,
            is_filling=self.rng.random() < 0.2,
            data_rack=self.rng.choice(("", "", "rack-0")),
        )


class TestSkippedSteps:
    """A pass that skips steps starts the same tasks as one that tries them all."""

    @pytest.mark.parametrize("seed", range(40))
    def test_no_skipped_step_would_have_been_placed(self, seed):
        player = PassPlayer(seed)
        player.play(25)
        assert player.wrongly_skipped == []

    def test_steps_are_skipped(self):
        players = [PassPlayer(seed) for seed in range(8)]
        for player in players:
            player.play(25)
        assert sum(player.skipped for player in players) >= len(players)
