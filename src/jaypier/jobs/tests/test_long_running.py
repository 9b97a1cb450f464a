"""Long-running tasks, tasks that serve requests, and tasks that use idle processors."""

from jaypier.jobs.model import JobStatus
from jaypier.jobs.tests.builders import (
    make_cluster_state,
    make_job,
    make_planner,
    make_step,
    run_scenario,
)


def count_running(harness, job) -> int:
    return sum(
        run.task.job_id == job.id and worker.progress(run) >= 1
        for worker in harness.cluster.workers.values()
        for run in worker.active.values()
    )


class TestLongRunningTasks:
    def test_tasks_run_until_job_is_cancelled(self):
        async def scenario(harness):
            job = make_job(make_step(count=3, lasts=True))
            harness.cluster.submit(job)
            await harness.wait_until(lambda: count_running(harness, job) == 3, 8)
            await harness.wait_until(lambda: harness.clock.now() > 60, 61)
            assert len(harness.cluster.runs) == 3
            assert harness.status(job) is JobStatus.RUNNING
            harness.cluster.cancel(job.id)
            await harness.wait_until(lambda: count_running(harness, job) == 0, 3)
            assert harness.status(job) is JobStatus.CANCELLED

        run_scenario(scenario)

    def test_failed_tasks_are_always_restarted(self):
        async def scenario(harness):
            for worker in harness.cluster.workers.values():
                worker.fails_all_runs = True
            job = make_job(make_step(count=2, lasts=True), max_attempts=1)
            harness.cluster.submit(job)
            await harness.wait_until(lambda: len(harness.cluster.runs) >= 8, 30)
            assert len(harness.cluster.runs) < 40
            for worker in harness.cluster.workers.values():
                worker.fails_all_runs = False
            await harness.wait_until(lambda: count_running(harness, job) == 2, 20)
            assert harness.status(job) is JobStatus.RUNNING

        run_scenario(scenario)

    def test_tasks_restart_after_worker_loss(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=4, lasts=True))
            harness.cluster.submit(job)
            await harness.wait_until(lambda: count_running(harness, job) == 4, 8)
            next(worker for worker in harness.cluster.workers.values() if worker.active).crash()
            await harness.wait_until(lambda: count_running(harness, job) == 4, 20)

        run_scenario(scenario)


class TestDisruptionBudget:
    def count_preempted(self, budget: int, percent: float = 100.0) -> int:
        """Return how many of four long-running tasks two urgent gangs of two tasks each preempt."""
        long_running = make_job(
            make_step(count=4, accelerators=8, lasts=True, disruption_budget=budget), priority=2
        )
        planner = make_planner(make_cluster_state(4), long_running)
        runs = planner.plan(0.0, 0.0).starts
        assert len(runs) == 4
        for run in runs:
            run.percent = percent
        for _ in range(2):
            gang = make_job(make_step(count=2, accelerators=8, is_gang=True), priority=0)
            planner.observe_job(planner.cluster_state.add_job(gang), 0.0)
        return len(planner.plan(1.0, 1.0).stops)

    def test_preemption_stays_within_budget(self):
        assert self.count_preempted(budget=1) == 0
        assert self.count_preempted(budget=2) == 2
        assert self.count_preempted(budget=3) == 2

    def test_all_tasks_may_be_preempted_without_budget(self):
        assert self.count_preempted(budget=0) == 4

    def test_unavailable_tasks_may_be_preempted(self):
        assert self.count_preempted(budget=1, percent=0.0) == 4


class TestFillingTasks:
    def test_filling_tasks_avoid_workers_with_serving_tasks(self):
        serving = make_job(make_step(accelerators=1, lasts=True, is_serving=True))
        filling = make_job(make_step(count=3, accelerators=0, is_filling=True))
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, serving, filling)
        runs = planner.plan(0.0, 0.0).starts
        workers = {
            job.id: {run.worker.id for run in runs if run.task.job_id == job.id}
            for job in (serving, filling)
        }
        assert len(workers[serving.id]) == 1
        assert not workers[serving.id] & workers[filling.id]

    def test_filling_tasks_reserve_no_processors(self):
        cluster_state = make_cluster_state(1)
        filling = make_job(make_step(accelerators=0, is_filling=True, seconds=50.0))
        planner = make_planner(cluster_state, filling)
        assert len(planner.plan(0.0, 0.0).starts) == 1
        others = make_job(make_step(count=8))
        planner.observe_job(cluster_state.add_job(others), 1.0)
        assert len(planner.plan(1.0, 1.0).starts) == 8

    def test_one_filling_task_starts_on_worker_without_free_processors(self):
        cluster_state = make_cluster_state(1)
        (worker,) = cluster_state.workers.values()
        step = make_step(count=64, accelerators=0, seconds=50.0)
        planner = make_planner(cluster_state, make_job(step))
        assert len(planner.plan(0.0, 0.0).starts) == 64
        assert worker.free.processor_millis == 0
        filling = make_job(make_step(count=3, accelerators=0, is_filling=True))
        planner.observe_job(cluster_state.add_job(filling), 1.0)
        assert len(planner.plan(1.0, 1.0).starts) == 1
