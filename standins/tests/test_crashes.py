import asyncio

from jaypier.jobs.model import StartRequest, TaskId
from jaypier.jobs.tests.builders import make_job
from standins.cluster import MemoryCluster, MemoryStore
from standins.virtual_time import run_in_virtual_time


class TestCrashingTasks:
    def test_third_start_after_three_crashes_is_a_violation(self):
        async def start(cluster: MemoryCluster, task: TaskId, attempt: int) -> None:
            worker = next(each for each in cluster.workers.values() if each.is_up)
            worker.start(1, StartRequest(task, attempt, "work", "", worker.clock + 6000))
            await asyncio.sleep(5.0)
            assert not worker.is_up

        async def scenario() -> None:
            cluster = MemoryCluster(MemoryStore())
            cluster.add_worker("worker-00")
            job = make_job()
            cluster.submit(job)
            cluster.crashing.add_job(job)
            for attempt in range(1, 6):
                await start(cluster, TaskId(job.id, 0, 0, 0), attempt)
            assert cluster.violations == []
            assert list(cluster.store.rows) == [f"jobs/{job.id}", "servers/machine-worker-00-5"]
            await start(cluster, TaskId(job.id, 0, 0, 0), 6)
            (violation,) = cluster.violations
            assert "starts 3 times after 3 workers have crashed" in violation

        run_in_virtual_time(scenario())
