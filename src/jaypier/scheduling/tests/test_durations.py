import math
import random
from statistics import fmean

import pytest

from jaypier.jobs.model import Step
from jaypier.jobs.state import StepState, Worker, new_job_state
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_step
from jaypier.scheduling.durations import DurationModel

TASK_NOISE = 0.15
"""Largest deviation of a task's duration from the others of its step, as a share."""


def make_run(cluster_state, step: StepState, index: int, worker: Worker, percent: float = 0.0):
    """Return a run of a task that has progressed by ``percent``."""
    run = cluster_state.assign_task(step, step.tasks[index], worker, 1, 0.0)
    run.percent = percent
    return run


class QueueOfSteps:
    """Plays steps of one queue, one after the other, on workers of speed 1.

    :param error: largest error of an estimate, as a share of the true duration.
    :param spread: spread of true durations, as the standard deviation of their logarithm.
    """

    def __init__(self, error: float, spread: float = 0.3, seed: int = 1, **values) -> None:
        self.error, self.spread, self.values = error, spread, values
        self.rng = random.Random(seed)
        self.model = DurationModel()
        self.cluster_state = make_cluster_state(workers=6)
        self.workers = list(self.cluster_state.workers.values())

    def add_step(self, spec: Step) -> StepState:
        """Add a job with one step."""
        return self.cluster_state.add_job(make_job(spec)).steps[0]

    def draw_step(self, count: int = 4) -> tuple[StepState, float]:
        """Return a step and the true duration of its tasks."""
        true = 5.0 * math.exp(self.rng.gauss(0.0, self.spread))
        estimate = true * (1 + self.rng.uniform(-self.error, self.error))
        spec = make_step(count, seconds=estimate, **self.values)
        return self.add_step(spec), true

    def finish(self, step: StepState, true: float, tasks: int) -> None:
        """End some tasks of a step."""
        for index in range(tasks):
            worker = self.workers[index % len(self.workers)]
            run = make_run(self.cluster_state, step, index, worker)
            self.cluster_state.end_run(run)
            seconds = true * (1 + self.rng.uniform(-TASK_NOISE, TASK_NOISE))
            self.model.observe_end(run, seconds, 100.0 * index)

    def learn(self, steps: int) -> None:
        """Play some steps to their end."""
        for _ in range(steps):
            step, true = self.draw_step()
            self.finish(step, true, 4)

    def errors(self, steps: int = 200, tasks: int = 0) -> tuple[float, float]:
        """Return the mean absolute logarithms of the errors of estimates and of expectations.

        :param tasks: number of tasks of each step that have ended.
        """
        estimated, expected = [], []
        for _ in range(steps):
            step, true = self.draw_step()
            self.finish(step, true, tasks)
            self.model.expect([step])
            estimated.append(abs(math.log(step.spec.estimated_seconds / true)))
            expected.append(abs(math.log(step.expected_seconds / true)))
        return fmean(estimated), fmean(expected)


class TestQueue:
    def test_without_runs_the_estimate_is_expected(self):
        step, _ = QueueOfSteps(0.9).draw_step()
        DurationModel().expect([step])
        assert step.expected_seconds == step.spec.estimated_seconds

    @pytest.mark.parametrize("seed", range(5))
    def test_usual_duration_replaces_estimates_that_tell_little(self, seed):
        queue = QueueOfSteps(0.9, seed=seed)
        queue.learn(20)
        estimated, expected = queue.errors()
        assert expected < estimated

    @pytest.mark.parametrize("seed", range(5))
    def test_reliable_estimates_are_kept(self, seed):
        """Queues whose estimates are within a fifth are served as by their estimates."""
        queue = QueueOfSteps(0.2, seed=seed)
        queue.learn(40)
        steps = [queue.draw_step()[0] for _ in range(200)]
        queue.model.expect(steps)
        changes = [
            abs(math.log(each.expected_seconds / each.spec.estimated_seconds)) for each in steps
        ]
        assert fmean(changes) < 0.05

    def test_constant_bias_is_corrected(self):
        queue = QueueOfSteps(0.0, spread=0.5)
        for _ in range(20):
            step, true = queue.draw_step()
            queue.finish(step, 2.0 * true, 4)
        step, true = queue.draw_step()
        queue.model.expect([step])
        assert step.expected_seconds == pytest.approx(2.0 * true, rel=0.2)

    def test_few_steps_change_little(self):
        """One job that took 7 times as long is no reason to expect it of the next one."""
        queue = QueueOfSteps(0.0)
        step, true = queue.draw_step()
        queue.finish(step, 7.0 * true, 4)
        other, true = queue.draw_step()
        queue.model.expect([other])
        assert other.expected_seconds < 1.5 * true

    def test_seldom_long_tasks_leave_the_others_as_they_are(self):
        queue = QueueOfSteps(0.2)
        for number in range(60):
            step, true = queue.draw_step()
            queue.finish(step, true * (7.0 if number % 33 == 5 else 1.0), 4)
        estimated, expected = queue.errors()
        assert expected < estimated + 0.05

    @pytest.mark.parametrize("seed", range(5))
    def test_estimate_far_above_the_usual_one_is_believed(self, seed):
        """A task that takes 7 times as long is not taken for one of usual length."""
        queue = QueueOfSteps(0.9, seed=seed)
        queue.learn(30)
        step = queue.add_step(make_step(1, seconds=35.0))
        queue.model.expect([step])
        assert step.expected_seconds > 2 * 5.0

    def test_other_queues_are_not_affected(self):
        queue = QueueOfSteps(0.9)
        queue.learn(20)
        other = new_job_state(make_job(make_step(seconds=5.0), queue="example/other/")).steps[0]
        queue.model.expect([other])
        assert other.expected_seconds == 5.0

    def test_noticeable_change_is_told(self):
        queue = QueueOfSteps(0.0)
        changes = []
        for _ in range(10):
            step, true = queue.draw_step(1)
            run = make_run(queue.cluster_state, step, 0, queue.workers[0])
            queue.cluster_state.end_run(run)
            changes.append(queue.model.observe_end(run, 3.0 * true, 0.0))
        assert changes[0]
        assert not all(changes)


class TestStep:
    @pytest.mark.parametrize("seed", range(5))
    def test_ended_tasks_tell_more_than_estimates(self, seed):
        """Tasks of one step are alike within 15%, so two of them tell the third within that."""
        queue = QueueOfSteps(0.9, seed=seed)
        _, expected = queue.errors(tasks=2)
        _, before = queue.errors(tasks=0)
        assert expected < 0.5 * before

    def test_progress_corrects_the_expected_duration(self):
        queue = QueueOfSteps(0.0)
        step = queue.add_step(make_step(4, seconds=2.0))
        for index in range(4):
            run = make_run(queue.cluster_state, step, index, queue.workers[index], percent=20.0)
            run.relative_speed = 0.25
        queue.model.observe_progress(step, 1.0)
        assert step.expected_seconds == pytest.approx(8.0, rel=0.25)

    def test_a_slow_worker_tells_nothing_of_the_work(self):
        queue = QueueOfSteps(0.0)
        step = queue.add_step(make_step(4, seconds=2.0))
        run = make_run(queue.cluster_state, step, 0, queue.workers[0], percent=20.0)
        run.relative_speed = 0.1
        run.worker.slow_since = 0.5
        queue.model.observe_progress(step, 1.0)
        assert step.expected_seconds == 2.0

    def test_duration_counts_at_the_speed_of_the_worker(self):
        queue = QueueOfSteps(0.0)
        queue.workers[0].speed = 0.5
        step = queue.add_step(make_step(1, seconds=4.0))
        run = make_run(queue.cluster_state, step, 0, queue.workers[0])
        queue.model.observe_end(run, 8.0, 8.0)
        assert step.expected_seconds == 4.0

    def test_gang_counts_at_the_speed_of_its_slowest_worker(self):
        queue = QueueOfSteps(0.0)
        queue.workers[1].speed = 0.5
        step = queue.add_step(make_step(2, seconds=4.0, is_gang=True))
        runs = [make_run(queue.cluster_state, step, i, queue.workers[i]) for i in range(2)]
        queue.cluster_state.end_run(runs[0])
        queue.model.observe_end(runs[0], 8.0, 8.0)
        assert step.expected_seconds == 4.0

    def test_gang_that_left_its_rack_tells_nothing(self):
        model = DurationModel()
        cluster_state = make_cluster_state(workers=2, per_rack=1)
        first, second = cluster_state.workers.values()
        spec = make_step(2, seconds=4.0, is_gang=True, is_rack_local=True)
        step = cluster_state.add_job(make_job(spec)).steps[0]
        run = make_run(cluster_state, step, 0, first)
        make_run(cluster_state, step, 1, second)
        cluster_state.end_run(run)
        model.observe_end(run, 12.0, 12.0)
        assert step.expected_seconds == 4.0 and not model.fits

    def test_job_without_estimate_is_left_alone(self):
        queue = QueueOfSteps(0.0)
        step = queue.add_step(make_step(1, seconds=0.0))
        run = make_run(queue.cluster_state, step, 0, queue.workers[0])
        assert not queue.model.observe_end(run, 5.0, 5.0)
        assert step.expected_seconds == 0.0


class TestRecord:
    def test_restored_model_expects_the_same(self):
        queue = QueueOfSteps(0.9)
        queue.learn(16)
        step, _ = queue.draw_step()
        queue.model.expect([step])
        restored = DurationModel()
        restored.restore(queue.model.to_record())
        other = new_job_state(step.job.spec).steps[0]
        restored.expect([other])
        assert other.expected_seconds == pytest.approx(step.expected_seconds, rel=0.05)
        assert not restored.differs(queue.model.to_record())

    def test_queues_with_few_steps_are_not_recorded(self):
        queue = QueueOfSteps(0.9)
        queue.learn(3)
        assert queue.model.to_record() == {}

    @pytest.mark.parametrize(
        "record", [{"q": [1.0]}, {"q": None}, {"q": ["x"] * 6}, {"q": [0.0] * 6}, {"q": 7}, []]
    )
    def test_damaged_record_is_refused(self, record):
        model = DurationModel()
        with pytest.raises((ValueError, TypeError, AttributeError)):
            model.restore(record)
        assert not model.fits
