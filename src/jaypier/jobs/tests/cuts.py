"""Cuts that leave two leaders with a path to some workers each, for tests of takeovers."""

import asyncio
from collections.abc import Iterable

from jaypier.jobs.model import Job, JobStatus
from jaypier.jobs.tests.builders import LeaderHarness, make_job, make_step
from standins.cluster import MemoryWorker

CUT_SECONDS = 120.0
"""Time for which a leader is cut off beside its successor."""


COMPLETION_SECONDS = 200.0
"""Time in which all jobs of a test complete once no path is cut: their work, begun once more after
the longest wait of a takeover."""


def pick_workers(harness: LeaderHarness, is_busy: bool) -> list[MemoryWorker]:
    """Return the workers with runs, or those without."""
    return [each for each in harness.cluster.workers.values() if bool(each.active) is is_busy]


def cut_links(harness: LeaderHarness, name: str, workers: Iterable[MemoryWorker]) -> None:
    """Cut a VM off from workers."""
    harness.cluster.cut_links |= {(name, worker.entry.id) for worker in workers}


async def take_over(harness: LeaderHarness, old: str) -> str:
    """Wait until another daemon leads, and return its name."""
    await harness.wait_until(lambda: bool(harness.leaders.keys() - {old}), 6)
    return next(iter(harness.leaders.keys() - {old}))


async def isolate_leader(harness: LeaderHarness, reached: list[MemoryWorker]) -> tuple[str, str]:
    """Leave the leader a path to some workers alone, and the other VMs a path to the others.

    :returns: names of the earlier leader and of its successor.
    """
    old = harness.leader_name
    others = [each for each in harness.cluster.workers.values() if each not in reached]
    cut_links(harness, old, others)
    for name in harness.tasks.keys() - {old}:
        cut_links(harness, name, reached)
    harness.store.unreachable_vms.add(old)
    return old, await take_over(harness, old)


def heal(harness: LeaderHarness) -> None:
    """Restore all paths."""
    harness.cluster.cut_links.clear()
    harness.store.unreachable_vms.clear()
    harness.store.is_down = False


async def check_work_is_done_once(harness: LeaderHarness, *jobs: Job) -> None:
    """Check that no task runs twice while the paths are cut, and that all jobs complete then."""
    await asyncio.sleep(CUT_SECONDS)
    assert harness.cluster.violations == []
    heal(harness)
    for job in jobs:
        await harness.wait_status(job, JobStatus.COMPLETED, COMPLETION_SECONDS)


async def start_long_job(harness: LeaderHarness, runs: int, seconds: float = 150.0) -> Job:
    """Start a job that keeps ``runs`` workers busy for a time, and wait until all have reported."""
    job = make_job(make_step(count=runs, accelerators=8, seconds=seconds))
    await harness.start_job(job, runs, 8)
    await asyncio.sleep(2.0)
    return job


def runs_of(harness: LeaderHarness, job: Job) -> list:
    """Return the recorded runs of a job."""
    return [run for run in harness.cluster.runs.values() if run.task.job_id == job.id]
