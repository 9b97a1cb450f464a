"""Writes the leader's state to the store and acknowledges ended runs to workers once durable."""

import asyncio
import itertools
from collections.abc import Collection
from typing import TYPE_CHECKING, Any

import attrs
import structlog

from jaypier.core.codec import encoded_size, to_compact
from jaypier.jobs.fenced_writer import MAX_ROWS_PER_WRITE
from jaypier.jobs.model import JobStatus, TaskId
from jaypier.jobs.progress import record_progress, without_checkpoints
from jaypier.jobs.rows import (
    PENDING_KEY,
    JobTable,
    WorkerRecord,
    cancel_key,
    job_key,
    progress_key,
    worker_key,
)
from jaypier.jobs.state import JobState, Run, Worker
from jaypier.jobs.witnesses import WITNESSES_KEY
from jaypier.platform import PlatformUnavailable, Put

if TYPE_CHECKING:
    from jaypier.jobs.leader import Leader

PENDING_INTERVAL_SECONDS = 0.5
"""Time between two writes of the numbers of queued jobs; callers accept an age of 2 s."""

RETENTION_MARGIN_SECONDS = 60.0
"""Time for which the rows of an ended job are kept after its status can no longer be queried."""

MAX_JOBS_PER_WRITE = 60
"""Progress rows of one write; leaves room for rows of workers and the numbers of queued jobs."""

MAX_REFUSALS_PER_WRITE = 40
"""Rows of refusals deleted by one write, which has a condition and a deletion for each."""

OTHER_ROWS = 2
"""Rows of one write that are left for the witnesses and for what the leader has learned."""

MAX_WRITE_BYTES = 1 << 17
"""Total length of the values of one write: in base64 it takes 0.3 s to send at 5 Mbit/s, so that a
lost response is noticed before other daemons take over."""

MAX_WORKER_BYTES = 1 << 16
"""Length of the values of workers' rows in one write from which later writes contain the others."""

log = structlog.get_logger()


@attrs.frozen
class SavedWorker:
    """The part of a worker's row that requires it to be written again when it changes.

    :param born: Unix time in milliseconds at which its process started.
    :param tasks: the only tasks that may have runs on it, ``None`` while tasks may start there.
    """

    born: int
    tasks: frozenset[TaskId] | None

    @classmethod
    def from_record(cls, record: WorkerRecord) -> "SavedWorker":
        """Return this part of a record."""
        return cls(record.entry.born, record.tasks)


@attrs.frozen
class RecordedJob:
    """What a write records of a job; its state may change before the write is confirmed.

    :param put: its progress row.
    :param status: status in that row.
    :param attempt: highest attempt number in that row.
    :param has_started: whether that row tells that one of its tasks may have been started.
    """

    state: JobState
    put: Put
    status: JobStatus
    attempt: int
    has_started: bool


class ProgressWriter:
    """Writes the changed state of a leader, one write at a time.

    :param leader: leader whose state is written.
    :ivar write_requested: set when there are changes to write.
    :ivar is_confirmation_requested: whether a write is needed even if there are no changes.
    :ivar start_recorded: notified after each write, as it may have recorded first starts of jobs.
    """

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.write_requested = asyncio.Event()
        self.is_confirmation_requested = False
        self.start_recorded = asyncio.Condition()
        self.saved_pending: dict[str, int] = {}
        self.saved_workers: dict[str, SavedWorker] = {}
        self.pending_saved_at = -PENDING_INTERVAL_SECONDS

    async def run(self) -> None:
        """Write changes when requested, and renew the leadership in time."""
        while True:
            try:
                async with asyncio.timeout(self.leader.writer.seconds_to_renewal()):
                    await self.write_requested.wait()
            except TimeoutError:
                pass
            self.write_requested.clear()
            await self.save_changes()

    def request_confirmation(self) -> None:
        """Have the store confirm soon that no other daemon leads."""
        if not self.is_confirmation_requested:
            self.is_confirmation_requested = True
            self.write_requested.set()

    async def save_changes(self) -> None:
        """Write the progress of changed jobs, then acknowledge the ended runs that it covers."""
        leader = self.leader
        processed = {
            worker.id: (worker.born, worker.last_processed_end)
            for worker in leader.cluster_state.workers.values()
            if worker.last_processed_end > worker.last_durable_end
        }
        due = set(leader.cluster_state.dirty_jobs)
        collected = await self.collect_changed_jobs(due)
        covers_all = not due
        puts = [each.put for each in collected] + self.pending_puts()
        row_limit = MAX_ROWS_PER_WRITE - len(puts) - OTHER_ROWS
        current, worker_puts, deletes = self.worker_changes(row_limit)
        puts += worker_puts + self.witness_puts(current)
        losses = list(leader.cluster_state.unconfirmed_losses)
        reconciled = leader.cluster_state.unconfirmed_workers
        is_confirmation_due = bool(
            self.is_confirmation_requested or leader.unconfirmed_jobs or losses or reconciled
        )
        self.is_confirmation_requested = False
        renew = self.leader.writer.seconds_to_renewal() <= 0.0
        if puts or deletes or renew or is_confirmation_due:
            puts += self.learned_puts()
            left_out = await leader.writer.write(puts, deletes, renew)
            leader.witnesses.end_change(WITNESSES_KEY not in left_out)
            leader.cluster_state.confirm_losses(losses)
            leader.cluster_state.confirm_workers(reconciled)
            current = self.without_left_out(current, left_out)
        self.apply_saved_workers(current)
        self.confirm_jobs()
        for each in collected:
            log.info("job recorded", job=each.state.spec.id, status=str(each.status))
            each.state.recorded_attempt = max(each.state.recorded_attempt, each.attempt)
            if each.status.is_final:
                each.state.ended_at = leader.clock.now()
        await self.mark_starts_recorded([each.state for each in collected if each.has_started])
        if covers_all:
            self.acknowledge_ends(processed)
        if losses or reconciled:
            leader.scheduling_requested.set()
        if leader.cluster_state.dirty_jobs or leader.cluster_state.unconfirmed_losses:
            self.write_requested.set()
        await self.delete_expired_jobs()
        await self.delete_refusals()

    async def collect_changed_jobs(self, due: set[str]) -> list[RecordedJob]:
        """Take as many changed jobs as fit one write, with pauses; return what to record of them.

        Fewer are taken if the leadership has to be renewed meanwhile.

        :param due: ids of the changed jobs; those that need no other write are removed.
        """
        cluster_state, limit = self.leader.cluster_state, self.leader.table.max_row_bytes
        collected: list[RecordedJob] = []
        size = 0
        with self.leader.slicer("progress of jobs") as slicer:
            for job_id in list(itertools.islice(due, MAX_JOBS_PER_WRITE)):
                if collected and self.leader.writer.seconds_to_renewal() <= 0.0:
                    break
                state = cluster_state.jobs.get(job_id)
                if state is not None:
                    value, length = self.encode_progress(state, limit)
                    size += length
                    if collected and size > MAX_WRITE_BYTES:
                        break
                    put = Put(progress_key(job_id), value)
                    collected.append(
                        RecordedJob(
                            state, put, state.status, state.highest_attempt, state.has_started
                        )
                    )
                due.discard(job_id)
                cluster_state.dirty_jobs.discard(job_id)
                await slicer.pause()
        return collected

    def encode_progress(self, state: JobState, limit: int) -> tuple[Any, int]:
        """Return the value of a job's progress row and its length.

        :param limit: length beyond which checkpoints are left out.
        """
        progress = record_progress(state, self.leader.wall_clock())
        value = to_compact(progress)
        length = encoded_size(value)
        if length > limit:
            log.warning("checkpoints left out: progress row too long", job=state.spec.id)
            value = to_compact(without_checkpoints(progress))
            length = encoded_size(value)
        return value, length

    async def mark_starts_recorded(self, states: list[JobState]) -> None:
        """Mark the first starts of jobs as recorded in the store."""
        for state in states:
            state.has_recorded_start = True
        async with self.start_recorded:
            self.start_recorded.notify_all()

    async def wait_until_start_recorded(self, run: Run, seconds: float) -> bool:
        """Wait until the store has recorded what has to be known before the start of a run.

        That is the start of a job that must not start twice, and the crashes under a job that may
        crash its workers.

        :param seconds: longest wait.
        :returns: whether it is recorded.
        """
        state = run.step.job

        def is_recorded() -> bool:
            is_known = state.spec.is_repeatable or state.has_recorded_start
            is_covered = not state.crash_suspects or state.recorded_attempt >= run.attempt
            return is_known and is_covered

        if is_recorded():
            return True
        try:
            async with asyncio.timeout(seconds), self.start_recorded:
                await self.start_recorded.wait_for(is_recorded)
        except TimeoutError:
            return False
        return True

    def acknowledge_ends(self, processed: dict[str, tuple[int, int]]) -> None:
        """Mark ended runs as durable and have them acknowledged; workers then drop their records.

        :param processed: by worker id, the Unix time in milliseconds at which its process started
            and the number of its last ended run that was known when the write began.
        """
        for worker_id, (born, number) in processed.items():
            worker = self.leader.cluster_state.workers.get(worker_id)
            if worker is not None and worker.born == born:
                worker.last_durable_end = max(worker.last_durable_end, number)
                self.leader.sessions[worker_id].wake_event.set()

    def witness_puts(self, workers: Collection[str]) -> list[Put]:
        """Return the row of the witnesses if they are to change.

        :param workers: ids of the workers that the store records with the same write.
        """
        witnesses, cluster_state = self.leader.witnesses, self.leader.cluster_state
        now = self.leader.clock.now()
        chosen = witnesses.choose(cluster_state.workers.values(), workers, now)
        if chosen is None:
            return []
        witnesses.begin_change(chosen)
        return [Put(WITNESSES_KEY, to_compact(chosen))]

    def pending_puts(self) -> list[Put]:
        """Return the row with the numbers of queued jobs if they have changed and it is due."""
        now = self.leader.clock.now()
        if now - self.pending_saved_at < PENDING_INTERVAL_SECONDS:
            return []
        pending = dict(self.leader.planner.count_queued_jobs())
        if pending == self.saved_pending:
            return []
        self.saved_pending, self.pending_saved_at = pending, now
        return [Put(PENDING_KEY, pending)]

    def learned_puts(self) -> list[Put]:
        """Return the row with what the leader has learned if it has changed and it is due."""
        leader = self.leader
        puts = leader.learned.due_puts(
            leader.clock.now(), leader.wall_clock(), leader.table.max_row_bytes
        )
        leader.metrics.count("leader.learned_records", len(puts))
        return puts

    def worker_changes(self, limit: int) -> tuple[dict[str, SavedWorker], list[Put], list[str]]:
        """Return the changes that the next write makes to the rows of workers.

        :param limit: largest number of rows; later writes contain the others.
        :returns: the saved workers after that write, the rows to write and the keys to delete.
        """
        workers = self.leader.cluster_state.workers
        saved = dict(self.saved_workers)
        puts, deletes, size = [], [], 0
        for worker_id, worker in workers.items():
            current = self.worker_to_save(worker)
            if current is None or saved.get(worker_id) == current:
                continue
            if len(puts) == limit or size > MAX_WORKER_BYTES:
                self.write_requested.set()
                break
            entry = attrs.evolve(worker.entry, born=current.born)
            value = WorkerRecord(entry, current.tasks).to_value()
            length = encoded_size(value)
            if length > self.leader.table.max_row_bytes:
                log.warning("row of a worker left out: too long", worker=worker_id)
                continue
            size += length
            # Before the row tells that no task starts there any more, none may be on its way.
            worker.awaits_record = worker.awaits_record or current.tasks is not None
            puts.append(Put(worker_key(worker_id), value))
            saved[worker_id] = current
        removed = itertools.islice(saved.keys() - workers.keys(), limit - len(puts))
        for worker_id in list(removed):
            deletes.append(worker_key(worker_id))
            del saved[worker_id]
        return saved, puts, deletes

    def worker_to_save(self, worker: Worker) -> SavedWorker | None:
        """Return what the row of a worker should tell, ``None`` to leave it as it is.

        The tasks on a worker that accepts no more can only be told once all of its runs are known.
        """
        if worker.accepts_tasks:
            return SavedWorker(worker.latest_born, None)
        if not worker.is_reconciled or worker.has_unknown_runs:
            return None
        tasks = frozenset(run.task for run in worker.runs.values())
        is_unused = not tasks and worker.id not in self.saved_workers
        return None if is_unused else SavedWorker(worker.latest_born, tasks)

    def without_left_out(
        self, saved: dict[str, SavedWorker], left_out: frozenset[str]
    ) -> dict[str, SavedWorker]:
        """Return the saved workers after a write of which the store has refused some rows.

        :param saved: workers as they would be saved by the whole write.
        :param left_out: keys of the refused rows, which the store holds as before.
        """
        unchanged = {each for each in saved if worker_key(each) in left_out}
        kept = {each: self.saved_workers[each] for each in unchanged & self.saved_workers.keys()}
        rest = {each: record for each, record in saved.items() if each not in unchanged}
        return rest | kept

    def apply_saved_workers(self, saved: dict[str, SavedWorker]) -> None:
        """Take over which workers the store records now; tasks may start on these."""
        self.saved_workers = saved
        for worker in self.leader.cluster_state.workers.values():
            is_recorded = saved.get(worker.id) == SavedWorker(worker.latest_born, None)
            # Leases are based on the clock of the process that has reported.
            awaits_record = not is_recorded or worker.born != worker.latest_born
            if worker.awaits_record and not awaits_record:
                self.leader.scheduling_requested.set()
            worker.awaits_record = awaits_record

    def confirm_jobs(self) -> None:
        """Let the jobs start whose rows are older than the newest confirmed write.

        It shows that no other daemon had been elected when they were stored.
        """
        version = self.leader.writer.sequence_version
        awaiting = self.leader.unconfirmed_jobs
        for job_id in [job_id for job_id, stored in awaiting.items() if stored <= version]:
            del awaiting[job_id]
            state = self.leader.cluster_state.jobs.get(job_id)
            if state is not None:
                state.awaits_confirmation = False
                self.leader.scheduling_requested.set()

    async def delete_refusals(self) -> None:
        """Delete the rows of refusals whose retention time is over, some at a time.

        A request that arrived before the refusal cannot be in progress any more by then.
        """
        leader = self.leader
        cutoff = leader.clock.now() - leader.settings.status_seconds - RETENTION_MARGIN_SECONDS
        expired = (
            (job_id, version)
            for job_id, (version, read_at) in leader.refusals.items()
            if read_at < cutoff
        )
        versions = dict(itertools.islice(expired, MAX_REFUSALS_PER_WRITE))
        if not versions:
            return
        try:
            await JobTable(leader.table).forget_refusals(versions)
        except PlatformUnavailable as error:
            log.debug("refusals not deleted", jobs=len(versions), reason=str(error))
            return
        for job_id, version in versions.items():
            if job_id in leader.refusals and leader.refusals[job_id][0] == version:
                del leader.refusals[job_id]

    async def delete_expired_jobs(self) -> None:
        """Delete the rows of jobs whose retention time is over; each job has up to three rows."""
        leader = self.leader
        retention_seconds = leader.settings.status_seconds + RETENTION_MARGIN_SECONDS
        cutoff = leader.clock.now() - retention_seconds
        ended = [state for state in leader.cluster_state.jobs.values() if state.ended_at < cutoff]
        expired_ids = [state.spec.id for state in ended[: MAX_ROWS_PER_WRITE // 3]]
        if not expired_ids:
            return
        keys = [
            key(job_id) for job_id in expired_ids for key in (job_key, progress_key, cancel_key)
        ]
        await self.leader.writer.write([], keys, False)
        for job_id in expired_ids:
            self.leader.cluster_state.remove_job(job_id)
