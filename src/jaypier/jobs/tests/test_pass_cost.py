"""The work of a scheduling pass grows with what has changed and what waits, counted in calls."""

import random
import sys

import pytest

from jaypier.jobs.model import Job, critical_path
from jaypier.jobs.planning import Planner
from jaypier.jobs.state import JobState, StepState, core_equivalent
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step


def count_calls(function, *arguments) -> int:
    """Return the number of calls of Python functions that a call makes."""
    calls = 0

    def observe(frame, event, argument) -> None:
        nonlocal calls
        calls += event == "call"

    before = sys.getprofile()
    sys.setprofile(observe)
    try:
        function(*arguments)
    finally:
        sys.setprofile(before)
    return calls


def make_pipeline(steps: int, **values) -> Job:
    """Return a job of short steps, and a last one after all of them."""
    short = make_step(1, 0, 0.2)
    return make_job(*[short] * steps, make_step(1, 0, 9.0, after=tuple(range(steps))), **values)


def calls_of_pass(*jobs: Job, workers: int = 4, passes: int = 1) -> int:
    """Return the number of calls of the last of some passes over jobs that have just come."""
    cluster_state = make_cluster_state(workers)
    planner = make_planner(cluster_state, *jobs)
    cluster_state.open_due_occurrences(1000.0)
    for now in range(1, passes):
        planner.plan(float(now), float(now))
    return count_calls(planner.plan, float(passes), float(passes))


class TestGrowth:
    """Twice the work takes little more than twice the calls."""

    MAX_FACTOR = 2.4

    def test_steps_of_one_job(self):
        # Regression (LOST): each step placed computed the critical path of the whole job, so that
        # one job of 160 steps kept each leader from renewing its leadership.
        small, large = (calls_of_pass(make_pipeline(steps)) for steps in (100, 200))
        assert large < self.MAX_FACTOR * small

    def test_open_occurrences_of_one_job(self):
        small, large = (
            calls_of_pass(make_pipeline(20, repeats=repeats, interval_seconds=0.1))
            for repeats in (8, 16)
        )
        assert large < self.MAX_FACTOR * small

    def test_jobs_of_many_steps(self):
        small, large = (
            calls_of_pass(*(make_pipeline(20) for _ in range(jobs))) for jobs in (8, 16)
        )
        assert large < self.MAX_FACTOR * small

    def test_jobs_that_cannot_be_preempted(self):
        small, large = (
            calls_of_pass(*(make_job(is_preemptible=False) for _ in range(jobs)))
            for jobs in (100, 200)
        )
        assert large < self.MAX_FACTOR * small

    def test_jobs_that_wait_for_room(self):
        small, large = (
            calls_of_pass(*(make_job() for _ in range(jobs)), workers=1, passes=2)
            for jobs in (200, 400)
        )
        assert large < self.MAX_FACTOR * small

    def test_pass_without_changes_does_not_look_at_steps_again(self):
        """The tasks that may start all run; only the jobs themselves are looked at."""
        few, many = (
            calls_of_pass(make_pipeline(steps), workers=8, passes=2) for steps in (20, 320)
        )
        assert many == few


class TestEnds:
    def test_end_of_a_task_does_not_look_at_the_other_steps_of_its_job(self):
        # Regression: each end of a task looked at all tasks of all open occurrences.
        counts = []
        for steps in (20, 320):
            cluster_state = make_cluster_state(1)
            *others, step, _ = cluster_state.add_job(make_pipeline(steps)).steps
            for each in others:
                cluster_state.finish_task(each, each.tasks[0])
            counts.append(count_calls(cluster_state.finish_task, step, step.tasks[0]))
        assert counts[1] == counts[0]

    def test_ends_of_a_gang_look_at_its_tasks_once(self):
        cluster_state = make_cluster_state(1)
        state = cluster_state.add_job(make_job(make_step(400, is_gang=True)))
        (step,) = state.steps
        cluster_state.finish_task(step, step.tasks[0])
        assert count_calls(cluster_state.finish_task, step, step.tasks[1]) < 20


class Oracle:
    """What is derived from the tasks of a job, computed anew from their own attributes."""

    def __init__(self, state: JobState) -> None:
        self.state = state
        self.steps = [step for steps in state.occurrences.values() for step in steps]

    def is_done(self, step: StepState) -> bool:
        return all(task.is_done for task in step.tasks)

    def waiting(self, step: StepState) -> list:
        return [
            task
            for task in step.tasks
            if not task.is_done and task.run is None and not task.is_unaccounted
        ]

    def is_startable(self, step: StepState) -> bool:
        has_runs = any(task.run is not None for task in step.tasks)
        is_unaccounted = any(task.is_unaccounted for task in step.tasks)
        if step.spec.is_gang and (step.is_tearing_down or has_runs or is_unaccounted):
            return False
        siblings = self.state.occurrences[step.occurrence]
        return all(self.is_done(siblings[number]) for number in step.spec.after)

    def remaining_path(self) -> float:
        return max(
            (
                critical_path(
                    self.state.spec.steps,
                    [0.0 if self.is_done(step) else step.expected_seconds for step in steps],
                )
                for steps in self.state.occurrences.values()
            ),
            default=0.0,
        )

    def remaining_core_seconds(self) -> float:
        return sum(
            core_equivalent(step.spec.demand)
            * step.expected_seconds
            * sum(not task.is_done for task in step.tasks)
            for step in self.steps
        )

    def check(self) -> None:
        """Compare all derived values of the job with those computed anew."""
        state = self.state
        for step in self.steps:
            assert step.is_done == self.is_done(step)
            assert step.waiting == self.waiting(step)
            assert step.waiting_count == len(step.waiting)
            assert step.runs == [task.run for task in step.tasks if task.run is not None]
            assert step.is_startable == self.is_startable(step)
        runs = [run for step in self.steps for run in step.runs]
        assert state.run_count == len(runs)
        assert state.held_accelerators == sum(run.step.spec.demand.accelerators for run in runs)
        assert state.ready_steps == [
            step for step in self.steps if self.is_startable(step) and self.waiting(step)
        ]
        has_opened_all = state.next_occurrence >= max(1, state.spec.repeats)
        assert state.is_done == (has_opened_all and all(map(self.is_done, self.steps)))
        assert state.remaining_critical_path_seconds() == self.remaining_path()
        assert state.remaining_core_seconds() == pytest.approx(self.remaining_core_seconds())


class TestDerivedState:
    """What is kept up to date equals what would be computed anew, after any change."""

    @pytest.mark.parametrize("seed", range(30))
    def test_random_changes(self, seed):
        rng = random.Random(seed)
        cluster_state = make_cluster_state(4)
        steps = [
            make_step(
                rng.randint(1, 4),
                rng.choice((0, 1)),
                rng.choice((1.0, 2.0, 5.0)),
                is_gang=rng.random() < 0.3,
                after=tuple(number for number in range(index) if rng.random() < 0.4),
            )
            for index in range(6)
        ]
        repeats = rng.choice((0, 3))
        state = cluster_state.add_job(make_job(*steps, repeats=repeats, interval_seconds=5.0))
        planner = Planner(cluster_state)
        for number in range(60):
            now = float(number)
            self.change(rng, cluster_state, state, planner, now)
            Oracle(state).check()

    def change(self, rng, cluster_state, state, planner, now) -> None:
        """Make one random change."""
        cluster_state.open_due_occurrences(now)
        tasks = [(step, task) for step in state.steps for task in step.tasks]
        if not tasks:
            return
        step, task = rng.choice(tasks)
        worker = rng.choice(list(cluster_state.workers.values()))
        runs = list(state.runs)
        kind = rng.randrange(7)
        if kind == 0:
            planner.plan(now, now)
        elif kind == 1 and runs:
            run = rng.choice(runs)
            cluster_state.end_run(run)
            cluster_state.finish_task(run.step, run.step.tasks[run.task.index])
        elif kind == 2 and runs:
            cluster_state.end_run(rng.choice(runs))
        elif kind == 3:
            step.expected_seconds = rng.choice((0.5, 1.0, 3.0))
        elif kind == 4:
            unknown = frozenset([task.id]) if rng.random() < 0.5 else frozenset()
            cluster_state.record_unknown_tasks(worker, unknown)
        elif kind == 5:
            task.awaits_confirmation = not task.awaits_confirmation
        else:
            cluster_state.finish_task(step, task)
