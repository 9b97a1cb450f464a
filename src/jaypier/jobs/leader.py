"""The leading daemon: schedules jobs on workers and has their progress recorded in the store."""

import asyncio
import contextlib
import itertools
import math
from collections import deque
from collections.abc import Callable, Coroutine, Iterable, Iterator
from typing import Any

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.core.slices import MAX_SLICE_SECONDS, Slicer, batched
from jaypier.jobs.authority import Authority
from jaypier.jobs.cluster_state import ClusterState, UnknownRun
from jaypier.jobs.contained_planning import PlanFailure, run_contained_slice
from jaypier.jobs.crash_log import log_crashes
from jaypier.jobs.draining import mark_draining_runs
from jaypier.jobs.evidence import (
    Conclusion,
    judge_silent_worker,
    may_hold_runs,
    unknown_runs_end_at,
)
from jaypier.jobs.fenced_writer import FencedWriter, LeadershipLost
from jaypier.jobs.learned import LEARNED_KEY, LearnedState
from jaypier.jobs.model import Job, StartRequest, StartResponse, TaskId, WorkerEntry
from jaypier.jobs.planning import Planner
from jaypier.jobs.progress_writer import ProgressWriter, SavedWorker
from jaypier.jobs.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_TABLE,
    RECORDED_WORKERS_TABLE,
    JobChanges,
    WorkerRecord,
    cancel_key,
    decode_job_rows,
    decode_worker_record,
    job_key,
    restore_jobs,
)
from jaypier.jobs.scheduling_pass import Plan, SchedulingPass
from jaypier.jobs.session import WorkerSession
from jaypier.jobs.starts import (
    START_REPORT_MAX_AGE_SECONDS,
    StartVerdict,
    seconds_until_next_try,
)
from jaypier.jobs.state import JobState, Run, Worker
from jaypier.jobs.stragglers import mark_straggler_runs
from jaypier.jobs.stranding_log import StrandingLog
from jaypier.jobs.team_log import TeamLog
from jaypier.jobs.valuation import ValueSettings
from jaypier.jobs.witnesses import (
    WITNESSES_KEY,
    WitnessSet,
    decode_witnesses,
)
from jaypier.jobs.worker_interface import (
    WorkerDirectory,
    WorkerLink,
    WorkerListing,
    WorkerUnreachable,
)
from jaypier.platform import Changes, HistoryCompacted, PlatformUnavailable, Row, WatchableTable
from jaypier.platform.decoding import LeftOutRows, decode_valid
from jaypier.scheduling.overload import LoadSummary, OverloadDetector, OverloadSettings

JOBS_LONG_POLL_SECONDS = 2.0
"""Longest wait of a long poll for new jobs; also bounds the time until a dead connection is
noticed."""

WORKER_POLL_INTERVAL_SECONDS = 0.4
"""Time between two reads of changed worker entries; no task may start on a draining worker more
than 2 s after its announcement."""

PASS_PAUSE_FACTOR = 2.0
"""Pause before a slice of a scheduling pass as a multiple of the duration of the previous one, so
that passes take at most a third of the processor and the events of a burst are handled in one
pass."""

LONG_SLICE_SECONDS = 0.3
"""Time without a pause that is logged: half of the time between two renewals."""

REQUESTS_PER_TURN = 64
"""Maximum number of requests to workers that are begun in one turn of the event loop."""

ROWS_PER_TURN = 16
"""Number of rows of jobs that are applied together, before other tasks may run."""

CHECK_INTERVAL_SECONDS = 0.2
"""Time between two checks of leases, due occurrences and restart delays."""

STORE_RETRY_DELAY_SECONDS = 0.25
"""Delay before the store is called again after it did not answer."""

RECONCILE_MARGIN_SECONDS = 0.17
"""Margin of the time after which no run of an earlier leader is active on a worker."""

UNREPLACED_SECONDS = 0.8
"""Age of the last confirmed renewal up to which no other daemon can have been elected. Others take
over after 2 s by their own view of the store's clock, which lags by the time that a response
took."""

START_TIMEOUT_SECONDS = 1.5
"""Time for which the start of a run is retried: half of the time for which the tasks of a gang wait
for each other."""

log = structlog.get_logger()


@attrs.frozen
class LeaderSettings:
    """Settings of the deployment that a leader uses.

    :param lease_seconds: longest lease of the runs on a worker.
    :param restore_seconds: time that a worker needs to restore a checkpoint.
    :param status_seconds: time for which callers can query the status of an ended job.
    :param values: what jobs are worth to their callers.
    :param overload: refusal of jobs at submission.
    :param shares_equally: whether teams without weights have equal shares of contended capacity.
    :param spread_slowdown: factor by which a rack-local gang takes longer on several racks.
    :param slice_seconds: time after which long work lets the other tasks of the event loop run.
    """

    lease_seconds: float
    restore_seconds: float
    status_seconds: float
    values: ValueSettings = attrs.field(factory=ValueSettings)
    overload: OverloadSettings = attrs.field(factory=OverloadSettings)
    shares_equally: bool = False
    spread_slowdown: float = 3.0
    slice_seconds: float = MAX_SLICE_SECONDS


class Leader:
    """One leadership of a daemon, from its election until another daemon leads.

    ``clock`` is the local clock.

    :param table: the platform's store.
    :param directory: source of registered workers.
    :param open_link: returns a link to the worker of an entry.
    :param writer: writes to the store, fenced by this leadership.
    :param wall_clock: returns Unix time in seconds.
    :ivar scheduling_requested: set when a scheduling pass is needed.
    :ivar stops: runs whose stop requests have yet to be sent, each with the reason.
    :ivar elected_at: time on the local clock, in seconds, at which the leadership began.
    :ivar has_reconciled: whether every worker has reported to this leader or can have no active
        run of an earlier one.
    :ivar witnesses: workers whose reports show whether another leader may act.
    :ivar authority: what allows it to start runs and extend leases.
    :ivar learned: what it has learned of the load and of the workers.
    :ivar left_out: rows that cannot be decoded.
    :ivar is_loaded: whether the state has been read from the store.
    :ivar jobs_version: version of the store up to which all rows of jobs have been applied.
    :ivar workers_version: the same for the entries of workers.
    :ivar refusals: rows of refused jobs to be deleted in time, as their version and the time on the
        local clock, in seconds, at which they were read, by id.
    :ivar unconfirmed_jobs: version of the rows of jobs that this leader learned of when another one
        may have been elected, by id. They start once the store has confirmed a later write.
    :ivar unreadable_jobs: ids of the jobs whose progress cannot be decoded. They are left alone:
        nobody knows which of their tasks have run.
    """

    def __init__(
        self,
        table: WatchableTable,
        directory: WorkerDirectory,
        open_link: Callable[[WorkerEntry], WorkerLink],
        writer: FencedWriter,
        settings: LeaderSettings,
        clock: Clock,
        wall_clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.directory = directory
        self.open_link = open_link
        self.writer = writer
        self.settings = settings
        self.clock = clock
        self.wall_clock = wall_clock
        self.metrics = metrics
        self.left_out = LeftOutRows(metrics)
        self.epoch = writer.record.epoch
        self.cluster_state = ClusterState(self.epoch, settings.lease_seconds)
        self.planner = Planner(
            self.cluster_state, settings.restore_seconds, settings.values, settings.spread_slowdown
        )
        self.planner.team_shares.shares_equally = settings.shares_equally
        self.learned = LearnedState(
            {
                "durations": self.cluster_state.durations,
                "speeds": self.cluster_state.speeds,
                "shares": self.planner.team_shares,
            }
        )
        self.overload = OverloadDetector(settings.overload, self.planner.valuation)
        self.refusals: dict[str, tuple[int, float]] = {}
        writer.summarize_load = self.summarize_load
        self.stranding = StrandingLog(metrics)
        self.sessions: dict[str, WorkerSession] = {}
        self.task_group: asyncio.TaskGroup | None = None
        self.scheduling_requested = asyncio.Event()
        self.stops: deque[tuple[Run, str]] = deque()
        self.stops_requested = asyncio.Event()
        self.team_log = TeamLog()
        self.progress_writer = ProgressWriter(self)
        self.elected_at = clock.now()
        self.has_reconciled = False
        self.authority = Authority(writer, self.cluster_state, clock, metrics, self.elected_at)
        self.witnesses = self.authority.witnesses
        self.unconfirmed_jobs: dict[str, int] = {}
        self.unreadable_jobs: set[str] = set()
        self.is_loaded = False
        self.jobs_version = 0
        self.workers_version = 0

    # Life cycle

    async def run(self) -> None:
        """Lead until another daemon leads or this task is cancelled."""
        log.info("leadership began", epoch=self.epoch)
        try:
            await self.retry_until_available(self.writer.open)
            async with asyncio.TaskGroup() as group:
                renewals = group.create_task(self.writer.run_renewals(), name="renewals")
                await self.retry_until_available(self.load_state)
                renewals.cancel()
            async with asyncio.TaskGroup() as group:
                self.task_group = group
                loops = (self.watch_jobs, self.watch_workers, self.run_scheduling, self.send_stops)
                for loop in loops:
                    group.create_task(loop(), name=loop.__name__)
                group.create_task(self.progress_writer.run(), name="progress_writer")
                group.create_task(self.run_periodic_checks(), name="run_periodic_checks")
                group.create_task(self.run_orphan_reads(), name="run_orphan_reads")
        except* LeadershipLost as error:
            log.info("leadership lost", epoch=self.epoch, reason=str(error.exceptions[0]))
        finally:
            for session in self.sessions.values():
                session.link.close()
            log.info("leadership ended", epoch=self.epoch)

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Start a task that is cancelled at the end of this leadership.

        Its work concerns one worker, so an unexpected error is logged and ends this task alone.
        """
        task = self.task_group.create_task(self.run_contained(work, name), name=name)
        # A task that is cancelled before its first step never awaits the work.
        task.add_done_callback(lambda _: work.close())

    async def run_contained(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Run work; log any exception other than the loss of the leadership."""
        try:
            await work
        except LeadershipLost:
            raise
        except Exception as error:
            self.metrics.count("leader.task_failures")
            log.error("leader task failed", task=name, exc_info=error)

    def slicer(self, work: str) -> Slicer:
        """Return what divides long work into slices.

        :param work: name of the work for the log.
        """

        def observe(seconds: float) -> None:
            self.metrics.record("leader.slice", seconds)
            if seconds > LONG_SLICE_SECONDS:
                self.metrics.count("leader.long_slices")
                log.warning("event loop held up", work=work, seconds=seconds, epoch=self.epoch)

        return Slicer(self.clock, observe, self.settings.slice_seconds)

    async def load_state(self) -> None:
        """Load jobs, their progress and the workers from the store."""
        # Read side by side, so that what was learned does not delay a takeover.
        jobs, learned, witnesses = await asyncio.gather(
            self.table.snapshot(JOBS_TABLE),
            self.table.read(LEARNED_KEY),
            self.table.read(WITNESSES_KEY),
        )
        progress = await self.table.snapshot(PROGRESS_TABLE)
        listing = await self.read_workers()
        value = None if learned is None else learned.value
        self.learned.restore(value, self.clock.now(), self.wall_clock())
        await self.restore_jobs(jobs, progress.rows)
        self.jobs_version = jobs.version
        self.workers_version = listing.version
        self.apply_listing(listing, is_complete=True)
        await self.restore_recorded_workers()
        self.restore_witnesses(witnesses)
        self.record_fence()
        self.is_loaded = True
        log.info(
            "state loaded",
            epoch=self.epoch,
            jobs=len(self.cluster_state.jobs) + len(self.unreadable_jobs),
            workers=len(self.cluster_state.workers),
            version=jobs.version,
        )

    async def restore_jobs(self, jobs: Changes, progress_rows: Iterable[Row]) -> None:
        """Restore the jobs and their progress from rows, with pauses between the jobs."""
        recorded = {row.name: row for row in progress_rows}
        cancellations, others = [], []
        for row in jobs.rows:
            (cancellations if row.name.endswith(CANCEL_SUFFIX) else others).append(row)
        with self.slicer("stored jobs") as slicer:
            # Cancellations go first, so that no cancelled job counts as one that may start.
            for rows in itertools.chain([cancellations], batched(others, ROWS_PER_TURN)):
                changes = decode_job_rows(rows, jobs.version, self.left_out)
                self.cluster_state.cancelled.update(changes.cancelled)
                self.observe_refusals(changes)
                found = [recorded[job.id] for job in changes.accepted if job.id in recorded]
                for state in restore_jobs(changes.accepted, found, self.left_out):
                    self.insert_restored_job(state, changes.versions[state.spec.id])
                    await slicer.pause()
                accepted = {job.id for job in changes.accepted}
                self.unreadable_jobs |= accepted - self.cluster_state.jobs.keys()
                await slicer.pause()

    def insert_restored_job(self, state: JobState, version: int) -> None:
        """Add a job with its recorded progress.

        :param version: version of the job's row.
        """
        if state.status.is_final:
            # The recorded Unix time is not used: VM clocks differ, and rows must not be deleted
            # early.
            state.ended_at = self.clock.now()
        state.is_recovered = version <= self.writer.elected_version
        with self.contain_job(state.spec.id):
            self.cluster_state.insert_job(state)
            self.observe_job(state)

    async def restore_recorded_workers(self) -> None:
        """Add the workers that earlier leaders used, and the tasks that may have runs on them.

        A deregistered worker may still have active runs, also if it was draining or refuses
        connections: it may be cut off, so that its entry has expired, and a drain may take long or
        be withdrawn.
        """
        changes = await self.table.snapshot(RECORDED_WORKERS_TABLE)
        now = self.clock.now()
        for row, record in decode_valid(changes.rows, decode_worker_record, self.left_out):
            with self.contain_row(row.key):
                self.restore_recorded_worker(record, now, changes.version)
        recorded_ids = {row.name for row in changes.rows}
        for worker in self.cluster_state.workers.values():
            if worker.id not in recorded_ids:
                # A row is written before the first start, so no leader has used this worker.
                worker.recorded_tasks = frozenset()

    def restore_recorded_worker(self, record: WorkerRecord, now: float, version: int) -> None:
        """Add a worker that earlier leaders used, and the tasks that may have runs on it.

        :param now: time on the local clock, in seconds.
        :param version: version of the store from which the record was read, for the log.
        """
        worker_id = record.entry.id
        if worker_id not in self.cluster_state.workers:
            self.apply_entry(record.entry, now, version)
            self.cluster_state.deregister_worker(worker_id, now)
            log.info(
                "deregistered worker restored",
                worker=worker_id,
                tasks=None if record.tasks is None else len(record.tasks),
            )
        worker = self.cluster_state.workers[worker_id]
        self.cluster_state.restore_recorded_tasks(worker, record.entry.born, record.tasks)
        self.progress_writer.saved_workers[worker_id] = SavedWorker.from_record(record)
        if worker.latest_born != record.entry.born:
            worker.awaits_record = True

    def restore_witnesses(self, row: Row | None) -> None:
        """Take over the witnesses that earlier leaders count.

        Without a readable row, the recorded workers stand in for them: builds before the row was
        introduced counted all workers.
        """
        rows = [] if row is None else [row]
        decoded = decode_valid(rows, decode_witnesses, self.left_out)
        recorded = next((each for _, each in decoded), None)
        saved = self.progress_writer.saved_workers
        stand_ins = WitnessSet({worker_id: each.born for worker_id, each in saved.items()})
        self.witnesses.restore(recorded, stand_ins, self.clock.now())

    @contextlib.contextmanager
    def contain_row(self, key: str) -> Iterator[None]:
        """Log and count an unexpected error about one row, which must not end the leadership.

        Whatever brings it about, the next leader would read the same row.
        """
        try:
            yield
        except Exception as error:
            self.metrics.count("leader.rows_left_out")
            log.error("row left out: cannot be applied", key=key, exc_info=error)

    @contextlib.contextmanager
    def contain_job(self, job_id: str) -> Iterator[None]:
        """Leave a job alone if its row cannot be applied; see :meth:`contain_row`."""
        with self.contain_row(job_key(job_id)):
            try:
                yield
            except Exception:
                self.unreadable_jobs.add(job_id)
                self.cluster_state.jobs.pop(job_id, None)
                raise

    def summarize_load(self) -> LoadSummary | None:
        """Return the load of the overloaded pools, ``None`` if there are none or it is unknown."""
        if not self.has_reconciled or not self.settings.overload.refuses:
            return None
        before = set(self.overload.overloaded)
        now = self.clock.now()
        try:
            jobs = [each for each in self.cluster_state.jobs.values() if not each.status.is_final]
            # Workers that are out of use for a while may hold a job later.
            workers = list(self.cluster_state.workers.values())
            summary = self.overload.summarize(jobs, workers, now, self.wall_clock())
        except Exception as error:
            self.metrics.count("leader.task_failures")
            log.error("load not summarized", exc_info=error)
            return None
        for service in self.overload.overloaded - before:
            self.metrics.count("leader.overloads")
            waits = summary.pools[service].waits
            log.info("overload began", service=service, waits=waits, epoch=self.epoch)
        for service in before - self.overload.overloaded:
            log.info("overload ended", service=service, epoch=self.epoch)
        return summary

    # Changes of jobs and workers

    async def watch_jobs(self) -> None:
        """Apply new jobs and cancellations as they are stored."""
        while True:
            try:
                changes = await self.table.watch(
                    JOBS_TABLE, self.jobs_version, JOBS_LONG_POLL_SECONDS
                )
            except HistoryCompacted:
                await self.retry_until_available(self.reload_jobs)
                continue
            except PlatformUnavailable as error:
                log.debug("job watch failed", error=str(error))
                await asyncio.sleep(STORE_RETRY_DELAY_SECONDS)
                continue
            await self.apply_job_changes(changes)

    async def reload_jobs(self) -> None:
        """Read all rows of jobs again."""
        sent_at = self.clock.now()
        await self.apply_job_changes(await self.table.snapshot(JOBS_TABLE))
        self.cluster_state.confirm_orphans(sent_at)

    async def run_orphan_reads(self) -> None:
        """Read all rows of jobs again when a worker has reported an unknown job, until cancelled.

        A watch may be silent for longer than that, before the history is compacted.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self.cluster_state.has_unread_orphans(self.clock.now()):
                await self.retry_until_available(self.reload_jobs)
                self.metrics.count("leader.orphan_reads")
                log.info("jobs read again", epoch=self.epoch, version=self.jobs_version)
                for session in self.sessions.values():
                    session.wake_event.set()

    async def apply_job_changes(self, changes: Changes) -> None:
        """Apply rows of the jobs table, with pauses.

        Only once all are applied does their version count as covered.
        """
        with self.slicer("changed jobs") as slicer:
            for rows in batched(changes.rows, ROWS_PER_TURN):
                self.apply_job_rows(rows, changes.version)
                await slicer.pause()
        self.jobs_version = max(self.jobs_version, changes.version)

    def apply_job_rows(self, rows: list[Row], version: int) -> None:
        """Add the jobs and apply the cancellations in rows of the jobs table.

        :param version: version of the store up to which rows were read, for the log.
        """
        changes = decode_job_rows(rows, version, self.left_out)
        self.observe_refusals(changes)
        for job in changes.accepted:
            if job.id in self.unreadable_jobs:
                continue
            with self.contain_job(job.id):
                self.add_job(job, changes.versions[job.id], version)
        for job_id in changes.cancelled:
            if job_id not in self.cluster_state.cancelled:
                with self.contain_row(cancel_key(job_id)):
                    runs = self.cluster_state.cancel_job(job_id)
                    log.info(
                        "job cancellation requested", job=job_id, runs=len(runs), version=version
                    )
                    self.stop_runs(runs, "cancelled")
        if rows:
            self.scheduling_requested.set()

    def add_job(self, job: Job, stored_at: int, version: int) -> None:
        """Add an accepted job, unless it is known.

        :param stored_at: version of the job's row.
        :param version: version of the store up to which rows were read, for the log.
        """
        may_have_started = stored_at <= self.writer.elected_version
        state = self.cluster_state.add_job(job, may_have_started)
        if state is None:
            return
        self.await_confirmation(state, stored_at)
        self.wake_unreconciled_workers()
        self.observe_job(state)
        log.info(
            "job added",
            job=job.id,
            priority=job.priority,
            tasks=sum(step.count for step in job.steps),
            accelerators=max(step.count * step.demand.accelerators for step in job.steps),
            chain_seconds=job.critical_path_seconds(),
            objective_seconds=job.objective_seconds,
            version=version,
        )

    def await_confirmation(self, state: JobState, version: int) -> None:
        """Let a new job wait for the store if another leader may have been elected before it.

        That leader would not wait for runs of a job that was stored after its election.

        :param version: version of the job's row.
        """
        is_unreplaced = self.clock.now() - self.writer.renewal_sent_at <= UNREPLACED_SECONDS
        if not is_unreplaced and version > self.writer.sequence_version:
            state.awaits_confirmation = True
            self.unconfirmed_jobs[state.spec.id] = version
            self.progress_writer.write_requested.set()

    def observe_job(self, state: JobState) -> None:
        """Tell the planner of a job; an unexpected error is logged, and the job stays."""
        try:
            self.planner.observe_job(state, self.clock.now())
        except Exception as error:
            self.metrics.count("leader.plan_failures")
            log.error("planning failed", job=state.spec.id, exc_info=error)

    def observe_refusals(self, changes: JobChanges) -> None:
        """Record the rows of refused jobs, which are deleted after a time."""
        for job in changes.accepted:
            self.refusals.pop(job.id, None)
        now = self.clock.now()
        self.refusals.update(
            (job_id, (version, now)) for job_id, version in changes.refusals.items()
        )

    def apply_notified_row(self, row: Row) -> None:
        """Apply a row of the jobs table of which a daemon has told this leader.

        A row that the watch has covered already is ignored: its job may have ended and been removed
        since.
        """
        is_new = self.is_loaded and row.version > self.jobs_version
        if is_new and row.key.startswith(f"{JOBS_TABLE}/"):
            self.apply_job_rows([row], self.jobs_version)

    def wake_unreconciled_workers(self) -> None:
        """Poll the workers at once that have yet to report to this leader."""
        for worker in self.cluster_state.unreconciled_workers:
            session = self.sessions.get(worker.id)
            if session is not None:
                session.wake_event.set()

    async def watch_workers(self) -> None:
        """Apply changes of the registered workers."""
        while True:
            await asyncio.sleep(WORKER_POLL_INTERVAL_SECONDS)
            sent_at = self.clock.now()
            try:
                listing = await self.directory.watch(self.workers_version, 0.0)
            except HistoryCompacted:
                await self.retry_until_available(self.reload_workers)
                continue
            except PlatformUnavailable as error:
                log.debug("worker watch failed", error=str(error))
                continue
            self.cluster_state.entry_freshness.observe_read(sent_at, self.clock.now())
            self.apply_listing(listing, is_complete=False)

    async def read_workers(self) -> WorkerListing:
        """Return the entries of all workers."""
        sent_at = self.clock.now()
        listing = await self.directory.snapshot()
        self.cluster_state.entry_freshness.observe_read(sent_at, self.clock.now())
        return listing

    async def reload_workers(self) -> None:
        """Read the entries of all workers again."""
        self.apply_listing(await self.read_workers(), is_complete=True)

    async def retry_until_available(self, read: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Repeat a read until the store has responded."""
        while True:
            try:
                await read()
            except PlatformUnavailable as error:
                log.debug("row read failed", error=str(error))
                await asyncio.sleep(STORE_RETRY_DELAY_SECONDS)
            else:
                return

    def apply_listing(self, listing: WorkerListing, is_complete: bool) -> None:
        """Update the workers from a listing.

        :param is_complete: whether the listing holds all workers, so that others are deregistered.
        """
        now = self.clock.now()
        removed = {worker_id for worker_id, entry in listing.entries.items() if entry is None}
        if is_complete:
            removed |= self.cluster_state.workers.keys() - listing.entries.keys()
        for worker_id in removed:
            worker = self.cluster_state.workers.get(worker_id)
            if worker is not None and worker.is_registered:
                log.info("worker deregistered", worker=worker_id, version=listing.version)
                self.cluster_state.deregister_worker(worker_id, now)
                self.progress_writer.write_requested.set()
        for worker_id, entry in listing.entries.items():
            if entry is not None:
                with self.contain_row(worker_id):
                    self.apply_entry(entry, now, listing.version)
        self.workers_version = max(self.workers_version, listing.version)
        self.scheduling_requested.set()

    def apply_entry(self, entry: WorkerEntry, now: float, version: int) -> None:
        """Add or update a worker from its entry, with a session for a new worker.

        :param now: time on the local clock, in seconds.
        :param version: version of the store from which the entry was read, for the log.
        """
        existing = self.cluster_state.workers.get(entry.id)
        latest_born = None if existing is None else existing.latest_born
        if (
            existing is None
            or existing.entry.is_ready != entry.is_ready
            or existing.born != entry.born
        ):
            log.info(
                "worker registered",
                worker=entry.id,
                ready=entry.is_ready,
                rack=entry.rack,
                born=entry.born,
                version=version,
            )
        worker = self.cluster_state.register_worker(entry, now)
        if worker.latest_born != latest_born:
            worker.awaits_record = True
        if worker.awaits_record or not worker.accepts_tasks:
            self.progress_writer.write_requested.set()
        session = self.sessions.get(entry.id)
        if session is not None and worker.latest_born != worker.born:
            session.request_report()
        if session is None or session.worker is not worker:
            session = WorkerSession(self, worker)
            self.sessions[entry.id] = session
            if self.task_group is not None:
                self.spawn(session.run(), f"session {entry.id}")

    # Scheduling

    @property
    def has_authority(self) -> bool:
        """Whether this leader may send requests that start or preempt runs or extend leases."""
        return bool(self.authority.find_basis(self.clock.now()))

    def observe_process(self, worker: Worker, has_restarted: bool) -> None:
        """Take note of the process of a worker that has reported.

        :param has_restarted: whether another process had reported before.
        """
        if has_restarted:
            # An earlier leader cannot start anything on a process that the store does not name.
            worker.awaits_record = True
            self.progress_writer.write_requested.set()
        self.authority.observe_process(worker.id, worker.born)
        self.record_fence()

    def record_fence(self) -> None:
        """Have the store record that no earlier leader acts any more, once that is so."""
        if self.authority.is_fence_due:
            self.writer.record_fence()
            self.progress_writer.write_requested.set()

    async def run_scheduling(self) -> None:
        """Start the sessions of loaded workers, then run a scheduling pass whenever requested."""
        for session in self.sessions.values():
            self.spawn(session.run(), f"session {session.worker.id}")
        slice_seconds = 0.0
        while True:
            await self.scheduling_requested.wait()
            await asyncio.sleep(PASS_PAUSE_FACTOR * slice_seconds)
            self.scheduling_requested.clear()
            started_at = self.clock.now()
            try:
                slice_seconds = await self.run_scheduling_pass()
            except Exception as error:
                self.metrics.count("leader.plan_failures")
                log.error("scheduling pass failed", exc_info=error)
                slice_seconds = self.clock.now() - started_at

    async def run_scheduling_pass(self) -> float:
        """Stop runs that are not needed, decide which to start and preempt, and send the requests.

        :returns: duration of the last slice of the decisions, in seconds.
        """
        with self.slicer("runs that are not needed"):
            self.reconcile_workers()
            log_crashes(self.cluster_state.crashes, self.metrics)
            self.log_lost_runs()
            self.stop_runs(self.cluster_state.mark_obsolete_runs(), "no longer needed")
            self.stop_runs(mark_straggler_runs(self.cluster_state), "straggler")
            draining = mark_draining_runs(self.cluster_state, self.clock.now())
            self.stop_runs(draining, "worker draining")
        slice_seconds = await self.plan_in_slices() if self.has_authority else 0.0
        if self.cluster_state.dirty_jobs:
            self.progress_writer.write_requested.set()
        return slice_seconds

    async def plan_in_slices(self) -> float:
        """Decide what to start and to preempt, and send the requests of each slice at its end.

        The pass ends early if the leader may not start anything any more.

        :returns: duration of the last slice in seconds.
        """
        scheduling_pass, total_seconds = SchedulingPass(self.planner), 0.0
        while True:
            with self.slicer("scheduling pass") as slicer:
                began_at = slicer.began_at
                plan, failures = run_contained_slice(
                    scheduling_pass, began_at, self.wall_clock(), slicer.is_over
                )
                slice_seconds = slicer.seconds
            total_seconds += slice_seconds
            self.log_plan_failures(failures)
            self.log_ended_waits()
            await self.send_plan(plan)
            if scheduling_pass.is_finished:
                break
            if self.cluster_state.dirty_jobs:
                self.progress_writer.write_requested.set()
            await asyncio.sleep(PASS_PAUSE_FACTOR * slice_seconds)
            if not self.has_authority:
                break
        self.metrics.record("leader.plan", total_seconds)
        with self.slicer("log of a pass"):
            self.team_log.observe(self.planner, self.metrics, began_at)
            self.stranding.update(self.cluster_state, self.planner.usable_workers, began_at)
        return slice_seconds

    async def send_plan(self, plan: Plan) -> None:
        """Send the requests of a slice, a limited number in each turn of the event loop."""
        self.stop_runs(plan.stops, "preempted")
        for number, run in enumerate(plan.starts, 1):
            self.spawn(self.start_run(run), f"start {run.task}")
            if number % REQUESTS_PER_TURN == 0:
                await asyncio.sleep(0)

    def log_plan_failures(self, failures: Iterable[PlanFailure]) -> None:
        """Log and count unexpected errors of a pass; one that concerns a job set that job aside."""
        for failure in failures:
            self.metrics.count("leader.plan_failures")
            log.error("planning failed", job=failure.job_id, exc_info=failure.error)

    def log_ended_waits(self) -> None:
        """Log and count the steps that have been started without their preferences."""
        for ended in self.planner.ended_waits:
            self.metrics.count("leader.preference_waits_ended")
            log.info(
                "started without preferences",
                task=str(ended.task),
                seconds=ended.seconds,
                racks=ended.racks,
            )
        self.planner.ended_waits.clear()

    def log_lost_runs(self) -> None:
        """Log and count the runs that were concluded to be over without a reported end."""
        for lost in self.cluster_state.lost_runs:
            self.metrics.count("leader.runs_lost")
            log.info(
                "run lost",
                task=str(lost.task),
                attempt=lost.attempt,
                worker=lost.worker_id,
                evidence=lost.evidence,
                conclusion=str(lost.conclusion),
            )
        self.cluster_state.lost_runs.clear()

    def reconcile_workers(self) -> None:
        """Stop waiting for reports of workers on which no run of an earlier leader can be active.

        Reconciliation is complete when no report is outstanding: gangs of which only a part is
        active are then stopped, and jobs that must not start again are ended if their runs are
        lost.
        """
        now, confirmed_at = self.clock.now(), self.writer.confirmed_at
        timeout_at = self.elected_at + self.reconcile_timeout_seconds
        for worker in self.cluster_state.unreconciled_workers:
            ends_at = unknown_runs_end_at(worker, timeout_at, self.longest_run_seconds)
            is_unused = self.has_reconciled or worker.recorded_tasks == frozenset()
            is_new = (
                worker.last_report_at == -math.inf
                and now - self.elected_at > WORKER_POLL_INTERVAL_SECONDS
                and is_unused
            )
            conclusion = judge_silent_worker(is_new, confirmed_at, ends_at)
            if conclusion is Conclusion.OPEN:
                if now > ends_at:
                    self.progress_writer.request_confirmation()
                continue
            self.cluster_state.reconcile(worker, conclusion)
            worker.is_unreachable = True
            if not is_new:
                log.info(
                    "worker not waited for any longer",
                    worker=worker.id,
                    registered=worker.is_registered,
                    seconds=now - self.elected_at,
                    fenced=len(self.witnesses.fenced),
                    witnesses=len(self.witnesses.inherited.processes),
                )
        if self.has_reconciled:
            return
        if self.cluster_state.has_located_runs:
            self.cluster_state.tear_down_partial_gangs()
        if not self.cluster_state.unreconciled_workers:
            self.has_reconciled = True
            self.cluster_state.end_lost_unrepeatable_jobs()
            self.cluster_state.crashes.give_up_restored_tasks()
            log.info("workers reconciled", epoch=self.epoch, seconds=now - self.elected_at)

    @property
    def longest_run_seconds(self) -> float:
        """Longest time for which a run goes on after the last extension of its lease."""
        return self.cluster_state.longest_lease_seconds + RECONCILE_MARGIN_SECONDS

    @property
    def reconcile_timeout_seconds(self) -> float:
        """Time after its election from which no unknown run of an earlier leader is active."""
        authority_seconds = self.witnesses.earlier_authority_ends_at - self.elected_at
        return authority_seconds + self.longest_run_seconds

    async def run_periodic_checks(self) -> None:
        """Open due occurrences, expire leases and remove deregistered workers, until cancelled.

        Each check requests a scheduling pass, as the delays of restarted tasks may have ended.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = self.clock.now()
            self.authority.log_change()
            self.record_fence()
            await self.open_due_occurrences()
            for worker in self.cluster_state.crashes.settle_ended_processes():
                self.authority.observe_process(worker.id, worker.latest_born)
            if self.cluster_state.unconfirmed_losses or self.cluster_state.unconfirmed_workers:
                self.progress_writer.write_requested.set()
            for worker in self.cluster_state.crashes.unheard_successors():
                self.sessions[worker.id].request_report()
            for worker in self.expire_leases(now):
                log.info(
                    "lease expired",
                    worker=worker.id,
                    seconds_since_report=now - worker.last_report_at,
                )
            for worker in list(self.cluster_state.workers.values()):
                is_gone = not worker.is_registered
                is_empty = not may_hold_runs(worker, now, self.writer.confirmed_at)
                if worker.has_ended or is_gone and is_empty:
                    self.drop_worker(worker)
            self.scheduling_requested.set()

    async def open_due_occurrences(self) -> None:
        """Open occurrences that have become due, with pauses between the jobs."""
        with self.slicer("due occurrences") as slicer:
            for state in list(self.cluster_state.jobs.values()):
                if state.spec.repeats:
                    self.cluster_state.open_due_occurrences_of(state, self.wall_clock())
                    await slicer.pause()

    def expire_leases(self, now: float) -> list[Worker]:
        """Mark the runs of workers whose lease has expired as lost; return these workers.

        It is judged as of the last confirmed write: a newer leader, which may have been elected
        since, may have adopted the runs and extended their lease, or recorded their ends.

        :param now: time on the local clock, in seconds.
        """
        expired = self.cluster_state.expire_leases(self.writer.confirmed_at)
        if self.cluster_state.expired_runs(now):
            self.progress_writer.request_confirmation()
        return expired

    def drop_worker(self, worker: Worker) -> None:
        """Remove a deregistered worker on which nothing can run."""
        if not worker.is_reconciled:
            return
        self.cluster_state.remove_worker(worker)
        session = self.sessions.pop(worker.id, None)
        if session is not None:
            session.close()

    # Requests to workers

    def stop_runs(self, runs: Iterable[Run], reason: str) -> None:
        """Have stop requests sent for runs.

        :param reason: reason for the log.
        """
        is_waiting = bool(self.stops)
        self.stops.extend((run, reason) for run in runs)
        if not is_waiting:
            self.send_some_stops()
        if self.stops:
            self.stops_requested.set()

    def send_some_stops(self) -> None:
        """Send the first stop requests, as many as may be begun in one turn of the event loop."""
        for _ in range(min(REQUESTS_PER_TURN, len(self.stops))):
            run, reason = self.stops.popleft()
            log.info("run stop requested", task=str(run.task), attempt=run.attempt, reason=reason)
            self.spawn(self.stop_run(run), f"stop {run.task}")

    async def send_stops(self) -> None:
        """Send the stop requests that are left over, until cancelled."""
        while True:
            await self.stops_requested.wait()
            self.stops_requested.clear()
            while self.stops:
                await asyncio.sleep(0)
                self.send_some_stops()

    async def start_run(self, run: Run) -> None:
        """Send the start request of a run, retrying until the worker has responded or reported it.

        After ``START_TIMEOUT_SECONDS`` without a response, a stop request is sent instead; so it is
        after a refusal that does not prove that the run will not start. No stop is needed if no
        connection could be established.

        The start is withdrawn if the worker's capacity shrinks below its runs in the meantime or
        is no longer known, if the worker has restarted, or if another daemon may lead.

        A task that must not start twice, or whose job may crash its workers, is started only after
        the store has recorded that.

        :raises LeadershipLost: when the worker has accepted a newer epoch.
        """
        worker = run.worker
        session = self.sessions.get(worker.id)
        if session is None:
            return
        deadline = self.authority.grant_lease(worker, self.clock.now())
        if deadline is None:
            self.release_unsent_run(run, "another daemon may lead")
            return
        run.start_deadline = deadline
        state, born = run.step.job, worker.latest_born
        if not state.spec.is_repeatable or state.crash_suspects:
            is_recorded = await self.progress_writer.wait_until_start_recorded(
                run, START_TIMEOUT_SECONDS
            )
            deadline = self.authority.grant_lease(worker, self.clock.now()) if is_recorded else None
            if deadline is None:
                log.info("start not recorded in time", task=str(run.task), attempt=run.attempt)
                self.cluster_state.apply_start_response(
                    run, StartResponse.EXPIRED, self.clock.now()
                )
                return
            run.start_deadline = deadline
        last_try_at = -math.inf
        for tries in itertools.count(1):
            seconds = max(0.0, run.started_at + START_TIMEOUT_SECONDS - self.clock.now())
            after = max(self.clock.now() - START_REPORT_MAX_AGE_SECONDS, last_try_at)
            has_reported = await session.wait_for_report(after, seconds)
            if worker.runs.get(run.key) is not run:
                return
            if run.is_stopping:
                if not run.is_sent:
                    self.release_unsent_run(run, "run stopped before its start was sent")
                return
            if run.is_listed:
                log.info("start confirmed by report", task=str(run.task), tries=tries - 1)
                return
            if not has_reported:
                self.cluster_state.avoid_worker(worker, self.clock.now())
            obstacle = self.find_start_obstacle(worker, born, has_reported)
            if obstacle:
                self.withdraw_start(run, obstacle)
                return
            task = run.step.tasks[run.task.index]
            request = StartRequest(
                run.task, run.attempt, state.spec.payload, task.checkpoint, run.start_deadline
            )
            session.wake_event.set()
            sent_at = last_try_at = self.clock.now()
            earlier = self.cluster_state.begin_start_request(run, sent_at)
            try:
                response = await session.link.start(self.epoch, request)
            except WorkerUnreachable as error:
                if not error.was_sent:
                    self.cluster_state.end_start_request(run, earlier)
                now = self.clock.now()
                if now - run.started_at > START_TIMEOUT_SECONDS:
                    log.info(
                        "start response not received in time",
                        task=str(run.task),
                        worker=worker.id,
                        tries=tries,
                        sent=run.is_sent,
                    )
                    self.withdraw_start(run, f"start response not received: {error}")
                    return
                await asyncio.sleep(max(0.0, sent_at + seconds_until_next_try(tries) - now))
                continue
            except Exception as error:
                log.error("start request failed", task=str(run.task), exc_info=error)
                self.cluster_state.avoid_worker(worker, self.clock.now())
                self.give_up_start(run, f"start request failed: {error!r}")
                return
            self.cluster_state.end_start_request(run, earlier)
            break
        log.info(
            "start response received",
            task=str(run.task),
            attempt=run.attempt,
            worker=worker.id,
            response=str(response),
            checkpoint=bool(request.checkpoint),
            tries=tries,
        )
        self.metrics.count(f"leader.starts_{response}")
        if response is StartResponse.DEPOSED:
            raise LeadershipLost(
                f"worker {worker.id} refused epoch {self.epoch}: it has accepted a newer one"
            )
        verdict = self.cluster_state.apply_start_response(
            run, response, self.clock.now(), has_unanswered_try=earlier > -math.inf
        )
        if verdict is StartVerdict.UNCLEAR:
            self.metrics.count("leader.starts_unclear")
            self.give_up_start(run, f"start {response} after a try without a response")
        if verdict is not StartVerdict.RUNNING:
            self.scheduling_requested.set()

    def find_start_obstacle(self, worker: Worker, born: int, has_reported: bool) -> str:
        """Return why no start request may be sent to a worker any more, empty if it may.

        A process that has restarted, or one that is called after a pause of this leader, may not
        know the epoch of a newer one.

        :param born: Unix time in milliseconds at which the process started that was chosen.
        :param has_reported: whether it has reported recently, and since the last start request
            without a response.
        """
        now = self.clock.now()
        if not has_reported:
            return "worker does not report"
        if worker.is_overcommitted or not self.cluster_state.is_capacity_known(worker, now):
            return "worker overcommitted or its capacity unknown"
        if worker.latest_born != born:
            return "worker restarted"
        return "" if self.authority.find_basis(now) else "another daemon may lead"

    def withdraw_start(self, run: Run, reason: str) -> None:
        """Release a run that is not to start any more; stop it if it may have started.

        :param reason: reason for the log.
        """
        if run.is_sent:
            self.give_up_start(run, reason)
            return
        self.release_unsent_run(run, reason)

    def release_unsent_run(self, run: Run, reason: str) -> None:
        """Release a run whose start request has not been sent.

        :param reason: reason for the log.
        """
        log.info("start withdrawn", task=str(run.task), worker=run.worker.id, reason=reason)
        self.cluster_state.apply_start_response(run, StartResponse.NO_ROOM, self.clock.now())
        self.scheduling_requested.set()

    def give_up_start(self, run: Run, reason: str) -> None:
        """Request the stop of a run of which it is not known whether it has started."""
        if self.cluster_state.mark_stopping(run):
            self.stop_runs([run], reason)

    async def stop_run(self, run: Run) -> None:
        """Send the stop request of a run, retrying until a response arrives or the run ends.

        Another one is sent if another process of the worker reports meanwhile.
        """
        worker, born = run.worker, run.worker.born
        session = self.sessions.get(worker.id)
        if session is None:
            return

        def is_needed() -> bool:
            return worker.runs.get(run.key) is run and worker.born == born

        if await session.stop(run.task, run.attempt, is_needed):
            run.observe_stop(born, self.clock.now())
            session.wake_event.set()

    def stop_unknown_run(self, unknown: UnknownRun) -> None:
        """Request the stop of a run that a worker reported and that this leader does not need."""
        session = self.sessions[unknown.worker_id]
        log.info("unknown run stop requested", task=str(unknown.task), worker=unknown.worker_id)
        self.spawn(self.send_stop(session, unknown.task, unknown.attempt), f"stop {unknown.task}")

    async def send_stop(self, session: "WorkerSession", task: TaskId, attempt: int) -> None:
        """Send the stop request of an unknown run, retrying until the worker has responded."""
        await session.stop(task, attempt, lambda: True)
