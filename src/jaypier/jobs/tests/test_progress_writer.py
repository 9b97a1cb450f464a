import asyncio

from jaypier.jobs.model import JobStatus, TaskId
from jaypier.jobs.rows import decode_worker_record, job_key, progress_key, worker_key
from jaypier.jobs.tests.builders import make_job, make_step, run_scenario

RETENTION_SECONDS = 120.0 + 60.0


def delay_write(store, key: str, seconds: float) -> None:
    """Delay each write of a row by ``seconds``."""
    commit = store.commit

    async def commit_late(transaction):
        if any(put.key == key for put in transaction.puts):
            await asyncio.sleep(seconds)
        return await commit(transaction)

    store.commit = commit_late


class TestAcknowledgedEnds:
    def test_restarted_worker_keeps_new_ends_until_they_are_durable(self):
        """A write that began before the restart does not cover ended runs of the new process."""

        async def scenario(harness):
            worker = harness.cluster.workers["worker-00"]
            first = make_job(make_step(accelerators=8, seconds=2.0))
            second = make_job(make_step(accelerators=8, seconds=0.3))
            harness.cluster.submit(first)
            await harness.wait_until(lambda: worker.active, 8)
            harness.cluster.submit(second)
            await harness.wait_status(first, JobStatus.RUNNING, 1)
            for job in (first, second):
                delay_write(harness.store, progress_key(job.id), 1.5)
            await harness.wait_until(lambda: worker.end_count == 1, 3)
            await harness.wait_until(lambda: worker.active, 1)
            worker.crash()
            worker.restart()
            await harness.wait_until(lambda: worker.finished, 9)
            await harness.wait_until(lambda: not worker.finished, 20)
            assert harness.status(second) is JobStatus.COMPLETED

        run_scenario(scenario, workers=1)


class TestRowRetention:
    def test_rows_of_jobs_that_ended_under_an_earlier_leader_are_deleted(self):
        async def scenario(harness):
            job = make_job()
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            await harness.kill(harness.leader_name)
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            assert progress_key(job.id) in harness.store.rows
            rows = harness.store.rows
            await harness.wait_until(
                lambda: progress_key(job.id) not in rows, RETENTION_SECONDS + 10
            )
            assert job_key(job.id) not in rows

        run_scenario(scenario)

    def test_rows_stay_for_the_status_period(self):
        async def scenario(harness):
            job = make_job()
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            ended_at = harness.clock.now()
            await harness.kill(harness.leader_name)
            rows = harness.store.rows
            await harness.wait_until(
                lambda: progress_key(job.id) not in rows, RETENTION_SECONDS + 10
            )
            assert harness.clock.now() - ended_at > 120.0

        run_scenario(scenario)


class TestWorkerRows:
    """What the store tells the next leader of the tasks on a worker."""

    def record(self, harness, worker):
        return decode_worker_record(harness.store.rows[worker_key(worker.entry.id)].value)

    def test_row_names_the_tasks_on_a_worker_that_accepts_no_more(self):
        async def scenario(harness):
            worker = harness.cluster.workers["worker-00"]
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(0.5)
            assert self.record(harness, worker).tasks is None
            jobs = [make_job(make_step(seconds=seconds)) for seconds in (1.5, 60.0)]
            for job in jobs:
                harness.cluster.submit(job)
            first, second = (TaskId(job.id, 0, 0, 0) for job in jobs)
            await harness.wait_until(lambda: len(worker.active) == 2, 1)
            harness.cluster.begin_draining(worker)
            named = {first, second}
            await harness.wait_until(lambda: self.record(harness, worker).tasks == named, 1)
            await harness.wait_until(lambda: self.record(harness, worker).tasks == {second}, 2)

        run_scenario(scenario, workers=1)

    def test_no_task_starts_on_a_worker_that_is_back_before_its_row_says_so(self):
        async def scenario(harness):
            worker = harness.cluster.workers["worker-00"]
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(0.5)
            harness.cluster.begin_draining(worker)
            await harness.wait_until(lambda: self.record(harness, worker).tasks == set(), 1)
            job = make_job()
            harness.cluster.submit(job)
            delay_write(harness.store, worker_key(worker.entry.id), 1.0)
            harness.cluster.end_draining(worker)
            await asyncio.sleep(0.95)
            assert not worker.active and self.record(harness, worker).tasks == set()
            await harness.wait_until(lambda: len(worker.active) == 1, 0.5)
            assert self.record(harness, worker).tasks is None

        run_scenario(scenario, workers=1)

    def test_row_that_is_too_long_is_left_as_it_is(self):
        async def scenario(harness):
            worker = harness.cluster.workers["worker-00"]
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(0.5)
            await harness.start_job(make_job(make_step(count=8, seconds=60.0)), 8, 1)
            harness.leaders[harness.leader_name].table.max_row_bytes = 400
            harness.cluster.begin_draining(worker)
            await asyncio.sleep(2.0)
            assert self.record(harness, worker).tasks is None

        run_scenario(scenario, workers=1)
