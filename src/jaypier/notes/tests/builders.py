"""Builders shared by the tests for release notes."""

import asyncio
import random
from typing import Any

from jaypier.core.codec import from_plain, structure_strictly
from jaypier.core.metrics import Metrics
from jaypier.entry.watcher import ConfigurationWatcher
from jaypier.jobs.model import JobStatus
from jaypier.jobs.progress import JobProgress
from jaypier.jobs.rows import JOBS_TABLE, decode_job_rows, progress_key
from jaypier.notes.cache import EntityCache
from jaypier.notes.model import ReleaseNote
from jaypier.notes.service import NoteResult, NoteService
from jaypier.notes.source import NoteOperatorSource
from jaypier.platform import Put, Transaction
from standins.cluster import MemoryCluster, MemoryStore
from standins.virtual_time import LoopClock, run_in_virtual_time


def make_note(note_id: str, **sections: Any) -> ReleaseNote:
    """Return a note built from plain JSON values."""
    return structure_strictly({"id": note_id, **sections}, ReleaseNote)


def team_value(name: str, *shapes: dict, keys: tuple[str, ...] = (), **values: Any) -> dict:
    """Return the plain JSON value of a team."""
    return {"name": name, "guarantee": list(shapes), "keys": list(keys), **values}


def shape_value(name: str, tasks: int, accelerators: int, adjacency: str = "rack") -> dict:
    """Return the plain JSON value of a guaranteed shape."""
    return {
        "name": name,
        "tasks": tasks,
        "accelerators_per_task": accelerators,
        "adjacency": adjacency,
    }


def job_value(name: str, team: str = "clinic", **values: Any) -> dict:
    """Return the plain JSON value of a job."""
    return {
        "name": name,
        "team": team,
        "tasks": 1,
        "accelerators_per_task": 1,
        "command": "work",
        **values,
    }


class NoteDaemon:
    """The note service and configuration watcher of one daemon, with its own path to the store.

    :param name: name of its VM.
    """

    def __init__(self, cluster: MemoryCluster, name: str) -> None:
        clock = LoopClock(asyncio.get_running_loop())
        table = cluster.store.view(name)
        rng = random.Random(name)
        self.name = name
        self.cache = EntityCache()
        self.watcher = ConfigurationWatcher(NoteOperatorSource(table, self.cache), clock, rng)
        self.service = NoteService(table, cluster, self.cache, Metrics(), rng, clock.now)
        self.task = asyncio.create_task(self.watcher.run(), name=f"watcher {name}")

    async def submit(self, note: ReleaseNote) -> NoteResult:
        """Submit a note through this daemon."""
        return await self.service.submit(note)

    async def stop(self) -> None:
        """Stop the daemon without a graceful shutdown."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class NoteHarness:
    """Daemons that share one in-memory store, in virtual time."""

    def __init__(self, cluster: MemoryCluster, daemons: int) -> None:
        self.cluster = cluster
        self.store = cluster.store
        self.daemons = [NoteDaemon(cluster, f"vm-{number}") for number in range(daemons)]

    async def submit(self, note: ReleaseNote, daemon: int = 0) -> NoteResult:
        """Submit a note through one of the daemons.

        :param daemon: index of the daemon.
        """
        return await self.daemons[daemon].submit(note)

    def end_job(self, job_id: str, status: JobStatus = JobStatus.COMPLETED) -> None:
        """Store a final status of a job, as the leader does."""
        progress = {"queue": "notes", "team": "clinic", "status": status.value}
        from_plain(progress, JobProgress)
        self.store.apply(Transaction(puts=[Put(progress_key(job_id), progress)]))

    def scheduled(self) -> tuple[list[str], list[str]]:
        """Return the ids of accepted and of cancelled jobs in the store."""
        rows = [row for key, row in self.store.rows.items() if key.startswith(JOBS_TABLE + "/")]
        changes = decode_job_rows(rows, 0)
        return sorted(job.id for job in changes.accepted), sorted(changes.cancelled)

    async def settle(self) -> None:
        """Let 2 s of virtual time pass, within which all daemons apply the latest changes."""
        await asyncio.sleep(2.0)


def run_scenario(scenario, daemons: int = 2, workers: int = 12) -> None:
    """Run a scenario in virtual time, on workers with 8 accelerators, six to a rack.

    :param scenario: coroutine function that takes a ``NoteHarness``.
    """

    async def run() -> None:
        cluster = MemoryCluster(MemoryStore(random.Random(1)), random.Random(2))
        for number in range(workers):
            rack = number // 6
            cluster.add_worker(f"worker-{number:02}", f"dc-{rack}", f"rack-{rack}")
        harness = NoteHarness(cluster, daemons)
        await harness.settle()
        try:
            await scenario(harness)
        finally:
            for daemon in harness.daemons:
                await daemon.stop()

    run_in_virtual_time(run())
