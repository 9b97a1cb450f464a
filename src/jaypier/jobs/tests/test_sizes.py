"""Jobs and clusters that exceed what one row or one call of the store can hold."""

from jaypier.jobs.model import JobStatus
from jaypier.jobs.progress import record_progress, restore_job
from jaypier.jobs.state import new_job_state
from jaypier.jobs.tests.builders import make_job, make_step, run_scenario


class TestManyWorkers:
    def test_workers_beyond_one_row_survive_failover(self):
        async def scenario(harness):
            job = make_job(make_step(count=2400, accelerators=1, seconds=6.0))
            await harness.start_job(job, 2400, 10)
            hidden = harness.cluster.workers["worker-07"]
            harness.cluster.unregister(hidden)
            await harness.kill(harness.leader_name)
            await harness.wait_status(job, JobStatus.COMPLETED, 25)
            assert len(harness.cluster.runs) == 2400

        run_scenario(scenario, workers=300)

    def test_rows_of_removed_workers_are_deleted(self):
        async def scenario(harness):
            names = sorted(harness.cluster.workers)
            rows = harness.store.rows
            await harness.wait_until(lambda: f"workers/{names[0]}" in rows, 8)
            harness.cluster.workers[names[0]].crash()
            harness.cluster.unregister(harness.cluster.workers[names[0]])
            await harness.kill(harness.leader_name)
            await harness.wait_until(lambda: f"workers/{names[0]}" not in rows, 20)
            assert f"workers/{names[1]}" in rows

        run_scenario(scenario)


class TestWideJobs:
    def test_progress_of_many_wide_jobs_is_recorded(self):
        """Their rows together exceed the maximum length of one call of the store."""

        async def scenario(harness):
            jobs = [make_job(make_step(count=4000, accelerators=8, seconds=9e9)) for _ in range(60)]
            for job in jobs:
                harness.cluster.submit(job)
            leader = next(iter(harness.leaders.values()), None)
            await harness.wait_until(lambda: bool(harness.leaders), 5)
            leader = next(iter(harness.leaders.values()))
            await harness.wait_until(lambda: len(leader.cluster_state.jobs) == 60, 5)
            for state in leader.cluster_state.jobs.values():
                for task in state.steps[0].tasks[::2]:
                    task.is_done = True
                for task in state.steps[0].tasks[1::2]:
                    task.checkpoint = f"0.{task.id.index:035}"
                leader.cluster_state.dirty_jobs.add(state.spec.id)
            leader.progress_writer.write_requested.set()
            for job in jobs:
                await harness.wait_until(lambda job=job: harness.progress(job) is not None, 5)
            assert harness.leader_name is not None

        run_scenario(scenario)

    def test_progress_of_widest_job_fits_one_row(self):
        job = make_job(make_step(count=20_000))
        state = new_job_state(job)
        for task in state.steps[0].tasks[::2]:
            task.is_done = True
        restored = restore_job(job, record_progress(state, 0.0))
        assert [task.is_done for task in restored.steps[0].tasks[:4]] == [True, False, True, False]
        assert sum(task.is_done for task in restored.steps[0].tasks) == 10_000

    def test_gang_checkpoint_is_restored_for_all_tasks(self):
        job = make_job(make_step(count=512, is_gang=True, saves=True))
        state = new_job_state(job)
        for task in state.steps[0].tasks:
            task.checkpoint = "0.5"
        restored = restore_job(job, record_progress(state, 0.0))
        assert {task.checkpoint for task in restored.steps[0].tasks} == {"0.5"}
