import asyncio

from jaypier.jobs.model import JobStatus
from jaypier.jobs.rows import job_key, progress_key
from jaypier.jobs.tests.builders import make_job, make_step, run_scenario

RETENTION_SECONDS = 120.0 + 60.0


def delay_write(store, key: str, seconds: float) -> None:
    """Let each write of a row take long."""
    commit = store.commit

    async def commit_late(transaction):
        if any(put.key == key for put in transaction.puts):
            await asyncio.sleep(seconds)
        return await commit(transaction)

    store.commit = commit_late


class TestAcknowledgedEnds:
    def test_restarted_worker_keeps_new_ends_until_they_are_durable(self):
        """A write that began before the new process says nothing about its ends."""

        async def scenario(bench):
            worker = bench.cluster.workers["worker-00"]
            first = make_job(make_step(accelerators=8, seconds=2.0))
            second = make_job(make_step(accelerators=8, seconds=0.3))
            bench.cluster.submit(first)
            await bench.wait_until(lambda: worker.active, 8)
            bench.cluster.submit(second)
            await bench.wait_status(first, JobStatus.RUNNING, 1)
            for job in (first, second):
                delay_write(bench.store, progress_key(job.id), 1.5)
            await bench.wait_until(lambda: worker.end_count == 1, 3)
            await bench.wait_until(lambda: worker.active, 1)
            worker.crash()
            worker.restart()
            await bench.wait_until(lambda: worker.finished, 9)
            await bench.wait_until(lambda: not worker.finished, 20)
            assert bench.status(second) is JobStatus.COMPLETED

        run_scenario(scenario, workers=1)


class TestRowRetention:
    def test_rows_of_jobs_that_ended_under_an_earlier_leader_are_deleted(self):
        async def scenario(bench):
            job = make_job()
            bench.cluster.submit(job)
            await bench.wait_status(job, JobStatus.COMPLETED, 8)
            await bench.kill(bench.leader_name)
            await bench.wait_until(lambda: bench.leader_name is not None, 5)
            assert progress_key(job.id) in bench.store.rows
            rows = bench.store.rows
            await bench.wait_until(lambda: progress_key(job.id) not in rows, RETENTION_SECONDS + 10)
            assert job_key(job.id) not in rows

        run_scenario(scenario)

    def test_rows_stay_for_the_status_period(self):
        async def scenario(bench):
            job = make_job()
            bench.cluster.submit(job)
            await bench.wait_status(job, JobStatus.COMPLETED, 8)
            ended_at = bench.clock.now()
            await bench.kill(bench.leader_name)
            rows = bench.store.rows
            await bench.wait_until(lambda: progress_key(job.id) not in rows, RETENTION_SECONDS + 10)
            assert bench.clock.now() - ended_at > 120.0

        run_scenario(scenario)
