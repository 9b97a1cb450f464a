"""Writes what the leader knows to the store, and lets workers forget what is written."""

import asyncio
import itertools
from typing import TYPE_CHECKING

import structlog

from jaypier.core.codec import to_plain
from jaypier.jobs.election import RENEW_SECONDS
from jaypier.jobs.ledger import MAX_ROWS
from jaypier.jobs.progress import record_progress
from jaypier.jobs.rows import PENDING_KEY, WORKERS_KEY, cancel_key, job_key, progress_key
from jaypier.jobs.state import JobState
from jaypier.platform import Put

if TYPE_CHECKING:
    from jaypier.jobs.leader import Leader

PENDING_SECONDS = 0.5
"""Time between two writes of the numbers of waiting jobs; callers accept 2 s."""

KEEP_MARGIN_SECONDS = 60.0
"""Time for which an ended job is kept beyond the time in which callers may ask for it."""

log = structlog.get_logger()


class ProgressSaver:
    """Saves a leader's progress; one write at a time.

    :param leader: whose board is saved.
    """

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.wanted = asyncio.Event()
        self.written = asyncio.Condition()
        self.saved_pending: dict[str, int] = {}
        self.saved_workers: dict[str, bool] = {}
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
        changed = list(itertools.islice(self.leader.board.changed, MAX_ROWS))
        self.leader.board.changed.difference_update(changed)
        processed = {
            worker.id: (worker.born, worker.processed)
            for worker in self.leader.board.workers.values()
            if worker.processed > worker.durable
        }
        covers_all = not self.leader.board.changed
        wall = self.leader.wall()
        jobs = self.leader.board.jobs
        states = [jobs[job_id] for job_id in changed if job_id in jobs]
        puts = [
            Put(progress_key(state.job.id), to_plain(record_progress(state, wall)))
            for state in states
        ]
        puts += self.pending_put()
        puts += self.workers_put()
        ended = [state.job.id for state in states if state.status.is_final]
        recorded = [(state.job.id, str(state.status)) for state in states]
        started = [state for state in states if state.has_started]
        renew = self.renewal_wait() <= 0.0
        if puts or renew:
            await self.leader.ledger.write(puts, [], renew)
        for job_id, status in recorded:
            log.info("job recorded", job=job_id, status=status)
        await self.note_started(started)
        for job_id in ended:
            self.leader.board.jobs[job_id].ended_at = self.leader.clock.now()
        if covers_all:
            self.let_workers_forget(processed)
        if self.leader.board.changed:
            self.wanted.set()
        await self.delete_expired()

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
            worker = self.leader.board.workers.get(worker_id)
            if worker is not None and worker.born == born:
                worker.durable = max(worker.durable, number)
                self.leader.sessions[worker_id].kick.set()

    def pending_put(self) -> list[Put]:
        """Return the row of waiting jobs if it is time to write it."""
        now = self.leader.clock.now()
        if now - self.pending_at < PENDING_SECONDS:
            return []
        pending = dict(self.leader.planner.pending())
        if pending == self.saved_pending:
            return []
        self.saved_pending, self.pending_at = pending, now
        return [Put(PENDING_KEY, pending)]

    def workers_put(self) -> list[Put]:
        """Return the row of the workers that may be at work, if they have changed."""
        workers = self.leader.board.workers
        current = {worker_id: worker.entry.is_ready for worker_id, worker in workers.items()}
        if not self.leader.has_adopted or current == self.saved_workers:
            return []
        self.saved_workers = current
        entries = {worker_id: to_plain(worker.entry) for worker_id, worker in workers.items()}
        return [Put(WORKERS_KEY, entries)]

    async def delete_expired(self) -> None:
        """Delete the rows of jobs that nobody may ask for any more."""
        leader = self.leader
        kept = leader.settings.status_seconds + KEEP_MARGIN_SECONDS
        horizon = leader.clock.now() - kept
        ended = [state for state in leader.board.jobs.values() if state.ended_at < horizon]
        old = [state.job.id for state in ended[: MAX_ROWS // 3]]
        if not old:
            return
        keys = [key(job_id) for job_id in old for key in (job_key, progress_key, cancel_key)]
        await self.leader.ledger.write([], keys, False)
        for job_id in old:
            self.leader.board.forget_job(job_id)
