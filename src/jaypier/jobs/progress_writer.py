"""Writes what the leader knows to the store, and lets workers forget what is written."""

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs
import structlog

from jaypier.core.codec import encoded_size, to_compact
from jaypier.jobs.election import RENEWAL_INTERVAL_SECONDS
from jaypier.jobs.fenced_writer import MAX_ROWS_PER_WRITE
from jaypier.jobs.model import WorkerEntry
from jaypier.jobs.progress import record_progress, without_checkpoints
from jaypier.jobs.rows import PENDING_KEY, cancel_key, job_key, progress_key, worker_key
from jaypier.jobs.state import JobState
from jaypier.platform import Put

if TYPE_CHECKING:
    from jaypier.jobs.leader import Leader

PENDING_INTERVAL_SECONDS = 0.5
"""Time between two writes of the numbers of waiting jobs; callers accept 2 s."""

RETENTION_MARGIN_SECONDS = 60.0
"""Time for which an ended job is kept beyond the time in which callers may ask for it."""

MAX_JOBS_PER_WRITE = 60
"""Jobs of one write, which leaves room for workers and for the number of waiting jobs."""

MAX_WRITE_BYTES = 1 << 19
"""Length of the values of one write; the store takes calls of 1 MB, in base64 and with names."""

log = structlog.get_logger()


@attrs.frozen
class SavedWorker:
    """What decides whether the row of a worker has to be written again.

    :param born: start of its process, in Unix milliseconds.
    """

    is_ready: bool
    born: int

    @classmethod
    def from_entry(cls, entry: WorkerEntry) -> "SavedWorker":
        """Return that of a worker's entry."""
        return cls(entry.is_ready, entry.born)


class ProgressWriter:
    """Saves a leader's progress; one write at a time.

    :param leader: whose board is saved.
    """

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.write_requested = asyncio.Event()
        self.start_recorded = asyncio.Condition()
        self.saved_pending: dict[str, int] = {}
        self.saved_workers: dict[str, SavedWorker] = {}
        self.pending_saved_at = -PENDING_INTERVAL_SECONDS

    async def run(self) -> None:
        """Write what has changed, and renew the leadership."""
        while True:
            try:
                async with asyncio.timeout(self.seconds_to_renewal()):
                    await self.write_requested.wait()
            except TimeoutError:
                pass
            self.write_requested.clear()
            await self.save_changes()

    def seconds_to_renewal(self) -> float:
        """Return the seconds until the leadership has to be renewed."""
        return max(
            0.0, self.leader.writer.renewed_at + RENEWAL_INTERVAL_SECONDS - self.leader.clock.now()
        )

    async def save_changes(self) -> None:
        """Write the progress of changed jobs, then let workers forget the ends it covers."""
        leader = self.leader
        processed = {
            worker.id: (worker.born, worker.last_processed_end)
            for worker in leader.cluster.workers.values()
            if worker.last_processed_end > worker.last_durable_end
        }
        states, puts = self.collect_changed_jobs()
        covers_all = not leader.cluster.dirty_jobs
        ended = [state.spec.id for state in states if state.status.is_final]
        recorded = [(state.spec.id, str(state.status)) for state in states]
        started = [state for state in states if state.has_started]
        puts += self.pending_puts()
        current, worker_puts, deletes = self.worker_changes(MAX_ROWS_PER_WRITE - len(puts))
        puts += worker_puts
        renew = self.seconds_to_renewal() <= 0.0
        if puts or deletes or renew:
            await leader.writer.write(puts, deletes, renew)
        self.saved_workers = current
        for job_id, status in recorded:
            log.info("job recorded", job=job_id, status=status)
        await self.mark_starts_recorded(started)
        for job_id in ended:
            leader.cluster.jobs[job_id].ended_at = leader.clock.now()
        if covers_all:
            self.acknowledge_ends(processed)
        if self.leader.cluster.dirty_jobs:
            self.write_requested.set()
        await self.delete_expired_jobs()

    def collect_changed_jobs(self) -> tuple[list[JobState], list[Put]]:
        """Take as many changed jobs as one write holds; return them and their rows."""
        cluster, wall = self.leader.cluster, self.leader.wall()
        limit = self.leader.table.max_row_bytes
        states, puts, size = [], [], 0
        for job_id in list(itertools.islice(cluster.dirty_jobs, MAX_JOBS_PER_WRITE)):
            state = cluster.jobs.get(job_id)
            if state is None:
                cluster.dirty_jobs.discard(job_id)
                continue
            progress = record_progress(state, wall)
            value = to_compact(progress)
            length = encoded_size(value)
            if length > limit:
                log.warning("checkpoints left out of a long row", job=job_id)
                value = to_compact(without_checkpoints(progress))
                length = encoded_size(value)
            size += length
            if puts and size > MAX_WRITE_BYTES:
                break
            cluster.dirty_jobs.discard(job_id)
            states.append(state)
            puts.append(Put(progress_key(job_id), value))
        return states, puts

    async def mark_starts_recorded(self, states: list[JobState]) -> None:
        """Note that the store knows of the first start of jobs."""
        for state in states:
            state.has_recorded_start = True
        async with self.start_recorded:
            self.start_recorded.notify_all()

    async def wait_until_start_recorded(self, state: JobState, seconds: float) -> bool:
        """Wait until the store knows that a job may have been started; return whether it does."""
        try:
            async with asyncio.timeout(seconds), self.start_recorded:
                await self.start_recorded.wait_for(lambda: state.has_recorded_start)
        except TimeoutError:
            return False
        return True

    def acknowledge_ends(self, processed: dict[str, tuple[int, int]]) -> None:
        """Note that ends are durable, so that workers need not keep them.

        :param processed: for each worker, the start of its process and the number of its last end
            that was known when the write began.
        """
        for worker_id, (born, number) in processed.items():
            worker = self.leader.cluster.workers.get(worker_id)
            if worker is not None and worker.born == born:
                worker.last_durable_end = max(worker.last_durable_end, number)
                self.leader.sessions[worker_id].wake_event.set()

    def pending_puts(self) -> list[Put]:
        """Return the row of waiting jobs if it is time to write it."""
        now = self.leader.clock.now()
        if now - self.pending_saved_at < PENDING_INTERVAL_SECONDS:
            return []
        pending = dict(self.leader.planner.count_queued_jobs())
        if pending == self.saved_pending:
            return []
        self.saved_pending, self.pending_saved_at = pending, now
        return [Put(PENDING_KEY, pending)]

    def worker_changes(self, limit: int) -> tuple[dict[str, SavedWorker], list[Put], list[str]]:
        """Return what is saved of workers after the next write, and the rows that it takes.

        :param limit: rows at most; the rest comes with later writes.
        """
        workers = self.leader.cluster.workers
        saved = dict(self.saved_workers)
        if not self.leader.has_reconciled:
            return saved, [], []
        puts, deletes = [], []
        for worker_id, worker in workers.items():
            current = SavedWorker.from_entry(worker.entry)
            if saved.get(worker_id) != current and len(puts) < limit:
                puts.append(Put(worker_key(worker_id), to_compact(worker.entry)))
                saved[worker_id] = current
        gone = itertools.islice(saved.keys() - workers.keys(), limit - len(puts))
        for worker_id in list(gone):
            deletes.append(worker_key(worker_id))
            del saved[worker_id]
        return saved, puts, deletes

    async def delete_expired_jobs(self) -> None:
        """Delete the rows of jobs that nobody may ask for any more."""
        leader = self.leader
        retention_seconds = leader.settings.status_seconds + RETENTION_MARGIN_SECONDS
        cutoff = leader.clock.now() - retention_seconds
        ended = [state for state in leader.cluster.jobs.values() if state.ended_at < cutoff]
        expired_ids = [state.spec.id for state in ended[: MAX_ROWS_PER_WRITE // 3]]
        if not expired_ids:
            return
        keys = [
            key(job_id) for job_id in expired_ids for key in (job_key, progress_key, cancel_key)
        ]
        await self.leader.writer.write([], keys, False)
        for job_id in expired_ids:
            self.leader.cluster.remove_job(job_id)
