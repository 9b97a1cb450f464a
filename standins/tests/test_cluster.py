import asyncio

import pytest

from jaypier.jobs.model import Resources, StartRequest, StartResponse, TaskId
from jaypier.jobs.tests.builders import make_job, make_step
from standins.cluster import CAPACITY_PROPAGATION_SECONDS, MemoryCluster, MemoryStore
from standins.virtual_time import run_in_virtual_time

HALF = Resources(32000, 65536, 4)


class TestCapacity:
    """The check that a start does not bring a worker over its capacity."""

    def violations_after(self, shrink_age, stop=False, guards_capacity=False):
        """Return what is recorded if a worker shrinks, and a second run starts some time later."""

        async def scenario():
            cluster = MemoryCluster(MemoryStore())
            worker = cluster.add_worker("worker-00")
            worker.guards_capacity = guards_capacity
            job = make_job(make_step(count=2, accelerators=4, seconds=60.0))
            cluster.submit(job)
            tasks = [TaskId(job.id, 0, 0, index) for index in range(2)]
            worker.start(1, StartRequest(tasks[0], 1, "", "", 100_000))
            worker.change_capacity(HALF)
            await asyncio.sleep(shrink_age)
            if stop:
                worker.stop(1, tasks[0], 1)
                await asyncio.sleep(cluster.stop_delay_seconds / 2)
            response = worker.start(1, StartRequest(tasks[1], 1, "", "", 100_000))
            assert (response is StartResponse.NO_ROOM) == guards_capacity
            return cluster.violations

        return run_in_virtual_time(scenario())

    @pytest.mark.parametrize("stop", [False, True])
    def test_start_over_a_reduced_capacity_is_recorded(self, stop):
        assert len(self.violations_after(CAPACITY_PROPAGATION_SECONDS + 0.1, stop)) == 1

    def test_capacity_that_was_reduced_recently_may_be_used(self):
        assert self.violations_after(CAPACITY_PROPAGATION_SECONDS - 0.1) == []

    def test_worker_that_guards_its_capacity_refuses_the_start(self):
        assert self.violations_after(5.0, guards_capacity=True) == []
