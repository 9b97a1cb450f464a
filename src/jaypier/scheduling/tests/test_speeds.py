import itertools
import math
import random

import attrs
import pytest

from jaypier.jobs.model import Resources
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_step
from jaypier.scheduling.speeds import MAX_SPEED, MIN_SPEED, WorkerSpeeds

TASK_NOISE = 0.15
"""Largest deviation of a task's duration from the others of its step, as a share."""


class Fleet:
    """Workers with true speeds that run steps of alike tasks.

    :param speeds: true speeds that the workers have in turn.
    """

    def __init__(self, speeds: tuple[float, ...], workers: int = 24, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.speeds = WorkerSpeeds()
        self.cluster_state = make_cluster_state(workers=workers)
        self.workers = list(self.cluster_state.workers.values())
        self.true = {
            worker.id: speed for worker, speed in zip(self.workers, itertools.cycle(speeds))
        }

    def run_steps(self, steps: int, tasks: int = 24, **values) -> None:
        """Run steps one after the other, each on all workers in a random order.

        Estimates are off by up to 0.9 of the duration.
        """
        for _ in range(steps):
            seconds = 5.0 * self.rng.uniform(0.5, 2.0)
            estimate = seconds * (1 + self.rng.uniform(-0.9, 0.9))
            spec = make_step(tasks, seconds=estimate, **values)
            step = self.cluster_state.add_job(make_job(spec)).steps[0]
            order = self.rng.sample(self.workers, len(self.workers))
            durations = {}
            for task, worker in zip(step.tasks, itertools.cycle(order)):
                run = self.cluster_state.assign_task(step, task, worker, 1, 0.0)
                noise = 1 + self.rng.uniform(-TASK_NOISE, TASK_NOISE)
                durations[run] = seconds * noise / self.true[worker.id]
                run.percent, run.relative_speed = 50.0, estimate / durations[run]
            ended = []
            for run in sorted(durations, key=durations.get):
                self.cluster_state.end_run(run)
                self.speeds.observe_end(run, durations[run], ended)
                ended.append(math.log(durations[run] * run.worker.speed))


class TestLearnedSpeeds:
    @pytest.mark.parametrize("seed", range(5))
    def test_uneven_workers_are_told_apart(self, seed):
        """Expected durations by them are off by less than tasks of one step differ."""
        fleet = Fleet((0.8, 1.0, 1.25), seed=seed)
        fleet.run_steps(20)
        for worker in fleet.workers:
            assert abs(math.log(worker.speed / fleet.true[worker.id])) < 0.15, worker.id

    @pytest.mark.parametrize("seed", range(10))
    def test_equal_workers_stay_at_1(self, seed):
        fleet = Fleet((1.0,), seed=seed)
        for _ in range(20):
            fleet.run_steps(2)
            assert {worker.speed for worker in fleet.workers} == {1.0}

    def test_few_runs_change_nothing(self):
        fleet = Fleet((0.5, 1.0))
        fleet.run_steps(3)
        assert {worker.speed for worker in fleet.workers} == {1.0}

    def test_gangs_tell_nothing(self):
        fleet = Fleet((0.5, 1.0))
        fleet.run_steps(20, is_gang=True)
        assert not fleet.speeds.records

    def test_steps_of_few_tasks_tell_nothing(self):
        fleet = Fleet((0.5, 1.0))
        fleet.run_steps(20, tasks=2)
        assert not fleet.speeds.records

    def test_mean_speed_stays_at_1(self):
        """A delay that all runs have in common is no reason to call all workers slow."""
        fleet = Fleet((0.8, 1.0, 1.25))
        fleet.run_steps(200)
        logs = [math.log(worker.speed) for worker in fleet.workers]
        assert abs(sum(logs) / len(logs)) < 0.05

    def test_speeds_are_bounded(self):
        fleet = Fleet((0.01, *[1.0] * 10, 100.0))
        fleet.run_steps(30)
        assert all(MIN_SPEED <= worker.speed <= MAX_SPEED for worker in fleet.workers)


class TestTrouble:
    def test_short_slowness_changes_nothing(self):
        fleet = Fleet((1.0,))
        fleet.run_steps(16)
        worker = fleet.workers[0]
        fleet.true[worker.id] = 0.2
        fleet.run_steps(3)
        assert worker.speed == 1.0

    def test_slow_worker_is_left_out(self):
        """Its slowness is temporary as far as anybody knows, and it is avoided meanwhile."""
        fleet = Fleet((1.0,))
        worker = fleet.workers[0]
        worker.slow_since = 1.0
        fleet.true[worker.id] = 0.2
        fleet.run_steps(20)
        assert worker.speed == 1.0


class TestProcesses:
    def restart(self, fleet: Fleet, **values) -> None:
        worker = fleet.workers[0]
        worker.update_entry(attrs.evolve(worker.entry, born=worker.entry.born + 1, **values), 0.0)
        fleet.speeds.observe_registration(worker)

    def make_fleet(self) -> Fleet:
        fleet = Fleet((0.8, 1.0, 1.25))
        fleet.run_steps(20)
        assert fleet.workers[0].speed < 0.9
        return fleet

    def test_next_process_on_the_same_machine_starts_from_the_last_speed(self):
        fleet = self.make_fleet()
        self.restart(fleet)
        assert fleet.workers[0].speed == pytest.approx(0.8, rel=0.15)

    @pytest.mark.parametrize(
        "values", [{"machine": "other"}, {"capacity": Resources(1000, 1000, 2)}]
    )
    def test_process_on_another_machine_starts_without(self, values):
        fleet = self.make_fleet()
        self.restart(fleet, **values)
        assert fleet.workers[0].speed == 1.0

    def test_other_speed_of_the_next_process_is_learned(self):
        fleet = self.make_fleet()
        self.restart(fleet)
        fleet.true[fleet.workers[0].id] = 1.25
        fleet.run_steps(30)
        assert fleet.workers[0].speed == pytest.approx(1.25, rel=0.15)

    def test_repeated_registration_changes_nothing(self):
        fleet = self.make_fleet()
        before = [worker.speed for worker in fleet.workers]
        for worker in fleet.workers:
            fleet.speeds.observe_registration(worker)
        assert [worker.speed for worker in fleet.workers] == pytest.approx(before, rel=0.02)


class TestRecord:
    def test_speeds_apply_to_workers_that_register_later(self):
        fleet = Fleet((0.8, 1.0, 1.25))
        fleet.run_steps(20)
        restored = WorkerSpeeds()
        restored.restore(fleet.speeds.to_record())
        other = make_cluster_state(workers=24)
        for worker in other.workers.values():
            restored.observe_registration(worker)
            assert abs(math.log(worker.speed / fleet.true[worker.id])) < 0.15, worker.id
        assert not restored.differs(fleet.speeds.to_record())

    def test_only_workers_that_differ_are_recorded(self):
        fleet = Fleet((0.8, *[1.0] * 11))
        fleet.run_steps(20)
        assert fleet.speeds.to_record().keys() == {"worker-00", "worker-12"}

    def test_worker_that_has_not_registered_yet_stays_in_the_record(self):
        speeds = WorkerSpeeds()
        speeds.restore({"worker-00": -0.22})
        assert speeds.to_record() == {"worker-00": -0.22}

    @pytest.mark.parametrize("record", [{"w": "x"}, {"w": None}, {"w": 99.0}, {"w": math.nan}, []])
    def test_damaged_record_is_refused(self, record):
        speeds = WorkerSpeeds()
        with pytest.raises((ValueError, TypeError, AttributeError)):
            speeds.restore(record)
        assert not speeds.restored
