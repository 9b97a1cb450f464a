"""Writes what the leader knows to the store, and lets workers forget what is written."""

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs
import structlog

from jaypier.core.codec import encoded_size, to_compact
from jaypier.jobs.election import RENEW_SECONDS
from jaypier.jobs.ledger import MAX_ROWS
from jaypier.jobs.model import WorkerEntry
from jaypier.jobs.progress import record_progress, without_checkpoints
from jaypier.jobs.rows import PENDING_KEY, cancel_key, job_key, progress_key, worker_key
from jaypier.jobs.state import JobState
from jaypier.platform import Put

if TYPE_CHECKING:
    from jaypier.jobs.leader import Leader

PENDING_SECONDS = 0.5
"""Time between two writes of the numbers of waiting jobs; callers accept 2 s."""

KEEP_MARGIN_SECONDS = 60.0
"""Time for which an ended job is kept beyond the time in which callers may ask for it."""

MAX_JOB_ROWS = 60
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
    def of(cls, entry: WorkerEntry) -> "SavedWorker":
        """Return that of a worker's entry."""
        return cls(entry.is_ready, entry.born)


class ProgressSaver:
    """Saves a leader's progress; one write at a time.

    :param leader: whose board is saved.
    """

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.wanted = asyncio.Event()
        self.written = asyncio.Condition()
        self.saved_pending: dict[str, int] = {}
        self.saved_workers: dict[str, SavedWorker] = {}
        self.pending_at = -PENDING_SECONDS

    async def run(self) -> None:
        """Write what has changed, and renew the leadership."""
        while True:
            try:
                async with asyncio.timeout(self.renewal_wait()):
                    await self.wanted.wait()
            except TimeoutError:
                pass
            self.wanted.clear()
            await self.save_changes()

    def renewal_wait(self) -> float:
        """Return the seconds until the leadership has to be renewed."""
        return max(0.0, self.leader.ledger.renewed_at + RENEW_SECONDS - self.leader.clock.now())

    async def save_changes(self) -> None:
        """Write the progress of changed jobs, then let workers forget the ends it covers."""
        leader = self.leader
        processed = {
            worker.id: (worker.born, worker.last_processed_end)
            for worker in leader.cluster.workers.values()
            if worker.last_processed_end > worker.last_durable_end
        }
        states, puts = self.take_changed()
        covers_all = not leader.cluster.dirty_jobs
        ended = [state.spec.id for state in states if state.status.is_final]
        recorded = [(state.spec.id, str(state.status)) for state in states]
        started = [state for state in states if state.has_started]
        puts += self.pending_put()
        current, worker_puts, deletes = self.worker_changes(MAX_ROWS - len(puts))
        puts += worker_puts
        renew = self.renewal_wait() <= 0.0
        if puts or deletes or renew:
            await leader.ledger.write(puts, deletes, renew)
        self.saved_workers = current
        for job_id, status in recorded:
            log.info("job recorded", job=job_id, status=status)
        await self.note_started(started)
        for job_id in ended:
            leader.cluster.jobs[job_id].ended_at = leader.clock.now()
        if covers_all:
            self.let_workers_forget(processed)
        if self.leader.cluster.dirty_jobs:
            self.wanted.set()
        await self.delete_expired()

    def take_changed(self) -> tuple[list[JobState], list[Put]]:
        """Take as many changed jobs as one write holds; return them and their rows."""
        cluster, wall = self.leader.cluster, self.leader.wall()
        limit = self.leader.table.max_row_bytes
        states, puts, size = [], [], 0
        for job_id in list(itertools.islice(cluster.dirty_jobs, MAX_JOB_ROWS)):
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

    async def note_started(self, states: list[JobState]) -> None:
        """Note that the store knows of the first start of jobs."""
        for state in states:
            state.has_recorded_start = True
        async with self.written:
            self.written.notify_all()

    async def wait_start_recorded(self, state: JobState, seconds: float) -> bool:
        """Wait until the store knows that a job may have been started; return whether it does."""
        try:
            async with asyncio.timeout(seconds), self.written:
                await self.written.wait_for(lambda: state.has_recorded_start)
        except TimeoutError:
            return False
        return True

    def let_workers_forget(self, processed: dict[str, tuple[int, int]]) -> None:
        """Note that ends are durable, so that workers need not keep them.

        :param processed: for each worker, the start of its process and the number of its last end
            that was known when the write began.
        """
        for worker_id, (born, number) in processed.items():
            worker = self.leader.cluster.workers.get(worker_id)
            if worker is not None and worker.born == born:
                worker.last_durable_end = max(worker.last_durable_end, number)
                self.leader.sessions[worker_id].kick.set()

    def pending_put(self) -> list[Put]:
        """Return the row of waiting jobs if it is time to write it."""
        now = self.leader.clock.now()
        if now - self.pending_at < PENDING_SECONDS:
            return []
        pending = dict(self.leader.planner.count_queued_jobs())
        if pending == self.saved_pending:
            return []
        self.saved_pending, self.pending_at = pending, now
        return [Put(PENDING_KEY, pending)]

    def worker_changes(self, limit: int) -> tuple[dict[str, SavedWorker], list[Put], list[str]]:
        """Return what is saved of workers after the next write, and the rows that it takes.

        :param limit: rows at most; the rest comes with later writes.
        """
        workers = self.leader.cluster.workers
        saved = dict(self.saved_workers)
        if not self.leader.has_adopted:
            return saved, [], []
        puts, deletes = [], []
        for worker_id, worker in workers.items():
            current = SavedWorker.of(worker.entry)
            if saved.get(worker_id) != current and len(puts) < limit:
                puts.append(Put(worker_key(worker_id), to_compact(worker.entry)))
                saved[worker_id] = current
        gone = itertools.islice(saved.keys() - workers.keys(), limit - len(puts))
        for worker_id in list(gone):
            deletes.append(worker_key(worker_id))
            del saved[worker_id]
        return saved, puts, deletes

    async def delete_expired(self) -> None:
        """Delete the rows of jobs that nobody may ask for any more."""
        leader = self.leader
        kept = leader.settings.status_seconds + KEEP_MARGIN_SECONDS
        horizon = leader.clock.now() - kept
        ended = [state for state in leader.cluster.jobs.values() if state.ended_at < horizon]
        old = [state.spec.id for state in ended[: MAX_ROWS // 3]]
        if not old:
            return
        keys = [key(job_id) for job_id in old for key in (job_key, progress_key, cancel_key)]
        await self.leader.ledger.write([], keys, False)
        for job_id in old:
            self.leader.cluster.remove_job(job_id)
