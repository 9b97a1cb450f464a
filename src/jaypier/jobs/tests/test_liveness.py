"""No load holds up the renewal of the leadership, the sessions with workers or the other jobs.

Time passes with the calls that jaypier makes, at the rate of an entry VM (``standins.call_time``).
"""

import asyncio
import itertools
import random

import pytest

from jaypier.jobs.election import LEADER_KEY, LEADER_TIMEOUT_SECONDS, RENEWAL_INTERVAL_SECONDS
from jaypier.jobs.model import JobStatus
from jaypier.jobs.tests.builders import LeaderHarness, make_job, make_step
from standins.call_time import run_in_call_time
from standins.cluster import MemoryCluster, MemoryStore

MAX_STRETCH_SECONDS = RENEWAL_INTERVAL_SECONDS / 2
"""Longest time without a turn of the event loop: a renewal that is due is late by this at most."""

MAX_START_SECONDS = 3.0
"""Time within which an urgent job of a team starts that has capacity, whatever else there is."""

WORKERS = 24


class Scenario:
    """A cluster with two daemons, on which a load arrives.

    :ivar renewed_at: times of the renewals of the leadership, by the store.
    """

    def __init__(self, workers: int = WORKERS) -> None:
        self.cluster = MemoryCluster(MemoryStore(random.Random(1)), random.Random(2))
        for number in range(workers):
            self.cluster.add_worker(f"worker-{number:03}", rack=f"rack-{number // 6}")
        self.harness = LeaderHarness(self.cluster)
        self.loop = asyncio.get_running_loop()
        self.renewed_at: list[float] = []
        self.version = 0

    async def watch_renewals(self) -> None:
        """Record each new version of the leader's row."""
        while True:
            row = self.cluster.store.rows.get(LEADER_KEY)
            if row is not None and row.version != self.version:
                self.version = row.version
                self.renewed_at.append(self.loop.time())
            await asyncio.sleep(0.02)

    async def __aenter__(self) -> "Scenario":
        self.watch = asyncio.create_task(self.watch_renewals())
        self.harness.start_daemon("vm-a")
        self.harness.start_daemon("vm-b")
        await self.harness.wait_until(lambda: bool(self.leader and self.leader.has_reconciled), 6)
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.watch.cancel()
        await self.harness.close()

    @property
    def leader(self):
        return next(iter(self.harness.leaders.values()), None)

    async def start_small_job(self, priority: int = 0) -> float:
        """Submit a small job; return the seconds until it has started."""
        job = make_job(make_step(1, 0, 0.2), priority=priority, submitted_at=self.loop.time())
        began = self.loop.time()
        self.cluster.submit(job)
        await self.harness.wait_until(lambda: self.has_started(job), 60)
        return self.loop.time() - began

    def has_started(self, job) -> bool:
        return any(task.job_id == job.id for task, *_ in self.cluster.runs)

    def check(self) -> None:
        """Check that the first leader has gone on to lead and has renewed its row in time."""
        assert self.leader is not None
        assert self.leader.epoch == 1
        gaps = [later - earlier for earlier, later in itertools.pairwise(self.renewed_at)]
        assert max(gaps) < LEADER_TIMEOUT_SECONDS
        assert self.loop.longest_stretch < MAX_STRETCH_SECONDS, self.loop.long_stretches
        assert self.cluster.violations == []


def make_pipeline(steps: int, **values):
    """Return a job of short steps, and a long last one after all of them."""
    short = make_step(1, 0, 0.2)
    return make_job(*[short] * steps, make_step(1, 0, 90.0, after=tuple(range(steps))), **values)


LOADS = {
    "one job, 80 steps, 10 times": lambda: [make_pipeline(80, repeats=10, interval_seconds=0.1)],
    "one job, 160 steps": lambda: [make_pipeline(160)],
    "100 jobs of 10 steps": lambda: [make_pipeline(10) for _ in range(100)],
    "1,000 jobs of one task": lambda: [make_job(make_step(1, 1, 5.0)) for _ in range(1000)],
    "one step of 1,000 tasks": lambda: [make_job(make_step(1000, 0, 30.0))],
    "gangs that wait for racks": lambda: [
        make_job(make_step(4, 8, 30.0, is_gang=True, is_rack_local=True)) for _ in range(60)
    ],
    "60 urgent jobs that preempt": lambda: [
        make_job(make_step(192, 1, 60.0), priority=2),
        *(make_job(make_step(4, 1, 2.0), priority=0) for _ in range(60)),
    ],
}


class TestLoads:
    @pytest.mark.parametrize("load", LOADS)
    def test_leader_goes_on_and_small_jobs_start(self, load):
        # Regression (LOST): a pass ran in one piece on the loop that renews the leadership, so that
        # some loads ended every leadership and no other job began.
        async def scenario():
            async with Scenario() as played:
                for job in LOADS[load]():
                    played.cluster.submit(job)
                waits = []
                for _ in range(3):
                    await asyncio.sleep(0.5)
                    waits.append(await played.start_small_job())
                await asyncio.sleep(2.0)
                played.check()
                assert max(waits) < MAX_START_SECONDS

        run_in_call_time(scenario())


class TestRelatedWork:
    """What surrounds a pass has the same shape: much work that one event brings about."""

    def test_cancellation_of_a_job_with_many_runs(self):
        async def scenario():
            async with Scenario() as played:
                job = make_job(make_step(800, 0, 90.0))
                played.cluster.submit(job)
                await played.harness.wait_until(lambda: len(played.cluster.runs) == 800, 30)
                played.cluster.cancel(job.id)
                await played.harness.wait_status(job, JobStatus.CANCELLED, 20)
                played.check()

        run_in_call_time(scenario())

    def test_takeover_with_many_jobs(self):
        async def scenario():
            async with Scenario() as played:
                # Nothing can run, so that all of it is still to be done.
                for _ in range(200):
                    played.cluster.submit(make_job(*[make_step(1, 16)] * 20))
                played.cluster.submit(make_job(make_step(8000, 16)))
                await asyncio.sleep(4.0)
                await played.harness.kill(played.harness.leader_name)
                await played.harness.wait_until(lambda: played.leader is not None, 6)
                second = played.leader
                await played.harness.wait_until(lambda: second.is_loaded, 20)
                await asyncio.sleep(4.0)
                assert played.leader is second
                assert second.epoch == 2
                longest = played.loop.longest_stretch
                assert longest < MAX_STRETCH_SECONDS, played.loop.long_stretches
                assert await played.start_small_job() < MAX_START_SECONDS

        run_in_call_time(scenario())

    def test_many_jobs_read_at_once(self):
        """As after a compaction of the store's history."""

        async def scenario():
            async with Scenario() as played:
                jobs = [make_job(*[make_step(1, 16)] * 20) for _ in range(200)]
                played.cluster.store.is_silent = True
                for job in jobs:
                    played.cluster.submit(job)
                await asyncio.sleep(1.0)
                played.cluster.store.is_silent = False
                played.cluster.store.compact()
                known = played.leader.cluster_state.jobs
                await played.harness.wait_until(lambda: len(known) >= len(jobs), 20)
                await asyncio.sleep(2.0)
                played.check()

        run_in_call_time(scenario())
