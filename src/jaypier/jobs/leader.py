"""The leading daemon: follows jobs and workers, decides, gives orders, keeps what happened."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.codec import from_plain
from jaypier.core.metrics import Metrics
from jaypier.jobs.cluster import ClusterState, UnknownRun
from jaypier.jobs.draining import mark_draining_runs
from jaypier.jobs.fenced_writer import FencedWriter, LeadershipLost
from jaypier.jobs.model import StartRequest, StartResponse, TaskId, WorkerEntry
from jaypier.jobs.planning import Planner
from jaypier.jobs.progress import restore_job
from jaypier.jobs.progress_writer import ProgressWriter, SavedWorker
from jaypier.jobs.rows import (
    JOBS_TABLE,
    PROGRESS_TABLE,
    RECORDED_WORKERS_TABLE,
    decode_job_rows,
    decode_progress,
)
from jaypier.jobs.session import WorkerSession
from jaypier.jobs.state import Run, Worker
from jaypier.jobs.stragglers import mark_straggler_runs
from jaypier.jobs.worker_interface import (
    WorkerDirectory,
    WorkerLink,
    WorkerListing,
    WorkerUnreachable,
)
from jaypier.platform import HistoryCompacted, PlatformUnavailable, WatchableTable

JOBS_LONG_POLL_SECONDS = 2.0
"""Longest wait for new jobs; bounds the time for which a silent connection goes unnoticed."""

WORKER_POLL_INTERVAL_SECONDS = 0.4
"""Time between two readings of changed workers; a leaving one must get no task after 2 s."""

PASS_PAUSE_FACTOR = 2.0
"""Pause before a pass of decisions against the length of the last one, so that decisions take a
third of the processor at most and events of a burst are decided together."""

CHECK_INTERVAL_SECONDS = 0.2
"""Time between two checks of leases and delays."""

STORE_RETRY_SECONDS = 0.25
"""Time before the store is asked again after it did not answer."""

STORE_CONFIRMATION_MAX_AGE_SECONDS = 2.0
"""Time without the store for which a leader goes on in any case: until others take over."""

REPORT_MAX_AGE_SECONDS = 3.0
"""Age up to which a worker's report shows that it obeys this leader."""

RECONCILE_TIMEOUT_SECONDS = 9.5
"""Time after which nothing of an earlier leader runs on a worker out of reach: its contact, the
longest lease on a clock that is 2% slow, and a margin."""

RECONCILE_MINORITY_TIMEOUT_SECONDS = 30.0
"""The same while less than half of the workers have reported to the new leader."""

RECONCILE_UNLISTED_TIMEOUT_SECONDS = 3.0
"""The same for a worker without an entry: one that lives is listed again within about 2 s."""

START_TIMEOUT_SECONDS = 1.5
"""Time for which the start of a run is repeated: half of the time that a gang waits."""

log = structlog.get_logger()


@attrs.frozen
class LeaderSettings:
    """What a leader has to know of the deployment.

    :param lease_seconds: lease of what runs on a worker.
    :param restore_seconds: time that a worker needs to restore a checkpoint.
    :param status_seconds: time for which callers may ask for an ended job.
    """

    lease_seconds: float
    restore_seconds: float
    status_seconds: float


class Leader:
    """One daemon's time as the leader.

    :param open_link: returns the link to a worker.
    :param wall: returns Unix time in seconds.
    """

    def __init__(
        self,
        table: WatchableTable,
        directory: WorkerDirectory,
        open_link: Callable[[WorkerEntry], WorkerLink],
        writer: FencedWriter,
        settings: LeaderSettings,
        clock: Clock,
        wall: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.directory = directory
        self.open_link = open_link
        self.writer = writer
        self.settings = settings
        self.clock = clock
        self.wall = wall
        self.metrics = metrics
        self.epoch = writer.record.epoch
        self.cluster = ClusterState(self.epoch, settings.lease_seconds)
        self.planner = Planner(self.cluster, settings.restore_seconds)
        self.sessions: dict[str, WorkerSession] = {}
        self.task_group: asyncio.TaskGroup | None = None
        self.scheduling_requested = asyncio.Event()
        self.progress_writer = ProgressWriter(self)
        self.elected_at = clock.now()
        self.has_reconciled = False

    # Life

    async def run(self) -> None:
        """Lead until deposed or cancelled.

        :raises LeadershipLost: when another daemon leads.
        """
        log.info("leadership began", epoch=self.epoch)
        try:
            await self.retry_until_available(self.load_state)
            async with asyncio.TaskGroup() as group:
                self.task_group = group
                for loop in (self.follow_jobs, self.follow_workers, self.run_scheduling):
                    group.create_task(loop(), name=loop.__name__)
                group.create_task(self.progress_writer.run(), name="progress_writer")
                group.create_task(self.run_periodic_checks(), name="run_periodic_checks")
        except* LeadershipLost as error:
            log.info("leadership lost", epoch=self.epoch, reason=str(error.exceptions[0]))
        finally:
            for session in self.sessions.values():
                session.link.close()
            log.info("leadership ended", epoch=self.epoch)

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Run a task for as long as this leader lasts."""
        self.task_group.create_task(work, name=name)

    async def load_state(self) -> None:
        """Read jobs, their progress and workers from the store."""
        await self.writer.open()
        jobs = await self.table.snapshot(JOBS_TABLE)
        progress = await self.table.snapshot(PROGRESS_TABLE)
        listing = await self.directory.snapshot()
        progress_values = {row.name: row.value for row in progress.rows}
        changes = decode_job_rows(jobs.rows, jobs.version)
        self.cluster.cancelled.update(changes.cancelled)
        for job in changes.accepted:
            state = restore_job(job, decode_progress(progress_values.get(job.id)))
            if state.status.is_final:
                # Not from the recorded Unix time: clocks of VMs differ, and rows must not go early.
                state.ended_at = self.clock.now()
            self.cluster.insert_job(state)
            self.planner.observe_job(state, self.clock.now())
        self.jobs_version = jobs.version
        self.workers_version = listing.version
        self.apply_listing(listing, is_complete=True)
        await self.restore_unlisted_workers()
        log.info(
            "state loaded",
            epoch=self.epoch,
            jobs=len(changes.accepted),
            workers=len(self.cluster.workers),
            version=jobs.version,
        )

    async def restore_unlisted_workers(self) -> None:
        """Take in workers that earlier leaders used and that are not listed now.

        An entry may be missing while its worker is at work: it expires when the worker does not
        reach the store.
        """
        rows = (await self.table.snapshot(RECORDED_WORKERS_TABLE)).rows
        now = self.clock.now()
        for row in rows:
            entry = from_plain(row.value, WorkerEntry)
            self.progress_writer.saved_workers[entry.id] = SavedWorker.from_entry(entry)
            # A worker that was leaving and whose entry is gone has left, with all that it ran.
            if entry.is_ready and entry.id not in self.cluster.workers:
                self.apply_entry(entry, now, row.version)
                self.cluster.deregister_worker(entry.id, now)

    # Following

    async def follow_jobs(self) -> None:
        """Take in jobs and cancellations as they are accepted."""
        while True:
            try:
                changes = await self.table.watch(
                    JOBS_TABLE, self.jobs_version, JOBS_LONG_POLL_SECONDS
                )
            except HistoryCompacted:
                await self.retry_until_available(self.reload_jobs)
                continue
            except PlatformUnavailable as error:
                log.debug("jobs not read", error=str(error))
                await asyncio.sleep(STORE_RETRY_SECONDS)
                continue
            self.apply_job_rows(changes.rows, changes.version)

    async def reload_jobs(self) -> None:
        """Read all jobs again."""
        changes = await self.table.snapshot(JOBS_TABLE)
        self.apply_job_rows(changes.rows, changes.version)

    def apply_job_rows(self, rows: list, version: int) -> None:
        """Take in rows of the jobs table."""
        changes = decode_job_rows(rows, version)
        for job in changes.accepted:
            state = self.cluster.add_job(job, may_have_started=not self.has_reconciled)
            if state is not None:
                self.wake_missing_workers()
                self.planner.observe_job(state, self.clock.now())
                log.info(
                    "job taken in",
                    job=job.id,
                    priority=job.priority,
                    tasks=sum(step.count for step in job.steps),
                    accelerators=max(step.count * step.demand.accelerators for step in job.steps),
                    chain_seconds=job.critical_path_seconds(),
                    objective_seconds=job.objective_seconds,
                    version=version,
                )
        for job_id in changes.cancelled:
            if job_id not in self.cluster.cancelled:
                runs = self.cluster.cancel_job(job_id)
                log.info("job cancelled", job=job_id, runs=len(runs), version=version)
                self.stop_runs(runs, "cancelled")
        self.jobs_version = max(self.jobs_version, changes.version)
        if rows:
            self.scheduling_requested.set()

    def wake_missing_workers(self) -> None:
        """Have workers asked at once that have to report again."""
        for worker in self.cluster.unreconciled_workers:
            session = self.sessions.get(worker.id)
            if session is not None:
                session.wake_event.set()

    async def follow_workers(self) -> None:
        """Take in workers as they come, leave and go."""
        while True:
            await asyncio.sleep(WORKER_POLL_INTERVAL_SECONDS)
            try:
                listing = await self.directory.watch(self.workers_version, 0.0)
            except HistoryCompacted:
                await self.retry_until_available(self.reload_workers)
                continue
            except PlatformUnavailable as error:
                log.debug("workers not read", error=str(error))
                continue
            self.apply_listing(listing, is_complete=False)

    async def reload_workers(self) -> None:
        """Read all workers again."""
        self.apply_listing(await self.directory.snapshot(), is_complete=True)

    async def retry_until_available(self, read: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Repeat a reading until the store has answered."""
        while True:
            try:
                await read()
            except PlatformUnavailable as error:
                log.debug("rows not read", error=str(error))
                await asyncio.sleep(STORE_RETRY_SECONDS)
            else:
                return

    def apply_listing(self, listing: WorkerListing, is_complete: bool) -> None:
        """Take in a listing of workers."""
        now = self.clock.now()
        gone = {worker_id for worker_id, entry in listing.entries.items() if entry is None}
        if is_complete:
            gone |= self.cluster.workers.keys() - listing.entries.keys()
        for worker_id in gone:
            worker = self.cluster.workers.get(worker_id)
            if worker is not None and worker.is_registered:
                log.info("worker gone from the list", worker=worker_id, version=listing.version)
                self.cluster.deregister_worker(worker_id, now)
        for entry in listing.entries.values():
            if entry is not None:
                self.apply_entry(entry, now, listing.version)
        self.workers_version = max(self.workers_version, listing.version)
        self.scheduling_requested.set()

    def apply_entry(self, entry: WorkerEntry, now: float, version: int) -> None:
        """Take in one worker's entry."""
        known = self.cluster.workers.get(entry.id)
        if known is None or known.entry.is_ready != entry.is_ready or known.born != entry.born:
            log.info(
                "worker listed",
                worker=entry.id,
                ready=entry.is_ready,
                rack=entry.rack,
                born=entry.born,
                version=version,
            )
        worker = self.cluster.register_worker(entry, now)
        session = self.sessions.get(entry.id)
        if session is None or session.worker is not worker:
            session = WorkerSession(self, worker)
            self.sessions[entry.id] = session
            if self.task_group is not None:
                self.spawn(session.run(), f"session {entry.id}")

    # Deciding

    @property
    def is_confirmed_by_store(self) -> bool:
        """Whether the store has confirmed this leader just now."""
        return self.clock.now() - self.writer.confirmed_at <= STORE_CONFIRMATION_MAX_AGE_SECONDS

    @property
    def has_authority(self) -> bool:
        """Whether orders may be given: the store, or most workers, know no newer leader."""
        if self.is_confirmed_by_store:
            return True
        now = self.clock.now()
        workers = self.cluster.workers.values()
        reporting = sum(now - worker.last_report_at <= REPORT_MAX_AGE_SECONDS for worker in workers)
        return 2 * reporting > len(workers)

    async def run_scheduling(self) -> None:
        """Decide whenever something has changed."""
        for session in self.sessions.values():
            self.spawn(session.run(), f"session {session.worker.id}")
        pass_seconds = 0.0
        while True:
            await self.scheduling_requested.wait()
            await asyncio.sleep(PASS_PAUSE_FACTOR * pass_seconds)
            self.scheduling_requested.clear()
            self.reconcile_workers()
            self.stop_runs(list(self.cluster.mark_obsolete_runs()), "no more use")
            self.stop_runs(mark_straggler_runs(self.cluster, self.clock.now()), "too slow here")
            self.stop_runs(mark_draining_runs(self.cluster, self.clock.now()), "worker leaves")
            if self.has_authority:
                started_at = self.clock.now()
                plan = self.planner.plan(started_at, self.wall())
                pass_seconds = self.clock.now() - started_at
                self.metrics.record("leader.plan", pass_seconds)
                self.stop_runs(plan.stops, "preempted")
                for run in plan.starts:
                    self.spawn(self.start_run(run), f"start {run.task}")
            if self.cluster.dirty_jobs:
                self.progress_writer.write_requested.set()

    def reconcile_workers(self) -> None:
        """Give up waiting for what an earlier leader may have left on workers out of reach."""
        missing = self.cluster.unreconciled_workers
        now = self.clock.now()
        if missing:
            is_minority = 2 * len(missing) >= len(self.cluster.workers)
            timeout = (
                RECONCILE_MINORITY_TIMEOUT_SECONDS if is_minority else RECONCILE_TIMEOUT_SECONDS
            )
            for worker in missing:
                since, allowed = self.elected_at, timeout
                if not worker.is_registered:
                    # Its entry may have gone just now, while the last leader's runs are at work.
                    since, allowed = (
                        max(since, worker.deregistered_at),
                        RECONCILE_UNLISTED_TIMEOUT_SECONDS,
                    )
                is_new = (
                    now - self.elected_at > WORKER_POLL_INTERVAL_SECONDS and self.has_reconciled
                )
                if is_new or now - since > allowed:
                    worker.is_reconciled = True
                    worker.is_unreachable = True
        if not self.has_reconciled and not self.cluster.unreconciled_workers:
            self.has_reconciled = True
            self.cluster.tear_down_partial_gangs()
            self.cluster.end_lost_unrepeatable_jobs()
            log.info("workers adopted", epoch=self.epoch, seconds=now - self.elected_at)

    async def run_periodic_checks(self) -> None:
        """Check leases and delays, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = self.clock.now()
            self.cluster.open_due_occurrences(self.wall())
            for worker in self.cluster.expire_leases(now):
                log.info("lease expired", worker=worker.id, heard=now - worker.last_report_at)
            for worker in list(self.cluster.workers.values()):
                if not worker.is_registered and not worker.runs and now > worker.lease_expires_at:
                    self.drop_worker(worker)
            self.scheduling_requested.set()

    def drop_worker(self, worker: Worker) -> None:
        """Forget a worker that is gone and on which nothing can run."""
        if not worker.is_reconciled and not self.has_reconciled:
            return
        self.cluster.remove_worker(worker)
        session = self.sessions.pop(worker.id, None)
        if session is not None:
            session.close()

    # Orders

    def stop_runs(self, runs: list[Run], reason: str) -> None:
        """Order runs to stop."""
        for run in runs:
            log.info("run stopped", task=str(run.task), attempt=run.attempt, reason=reason)
            self.spawn(self.stop_run(run), f"stop {run.task}")

    async def start_run(self, run: Run) -> None:
        """Order a run to start, until the worker has answered."""
        worker = run.worker
        session = self.sessions[worker.id]
        run.start_deadline = self.cluster.extend_lease(worker, self.clock.now())
        session.wake_event.set()
        state = run.step.job
        if not state.spec.is_repeatable:
            if not await self.progress_writer.wait_until_start_recorded(
                state, START_TIMEOUT_SECONDS
            ):
                log.info("start not recorded", task=str(run.task), attempt=run.attempt)
                self.cluster.apply_start_response(run, StartResponse.EXPIRED, self.clock.now())
                return
            run.start_deadline = self.cluster.extend_lease(worker, self.clock.now())
        task = run.step.tasks[run.task.index]
        deadline = run.start_deadline
        order = StartRequest(run.task, run.attempt, state.spec.payload, task.checkpoint, deadline)
        for tries in itertools.count(1):
            if run.is_stopping or worker.runs.get(run.key) is not run:
                return
            try:
                answer = await session.link.start(self.epoch, order)
            except WorkerUnreachable as error:
                now = self.clock.now()
                if now - run.started_at > START_TIMEOUT_SECONDS:
                    log.info(
                        "start not answered", task=str(run.task), worker=worker.id, tries=tries
                    )
                    if self.cluster.mark_stopping(run):
                        self.stop_runs([run], f"start not answered: {error}")
                    return
                continue
            break
        log.info(
            "run ordered",
            task=str(run.task),
            attempt=run.attempt,
            worker=worker.id,
            answer=str(answer),
            checkpoint=bool(order.checkpoint),
            tries=tries,
        )
        self.metrics.count(f"leader.starts_{answer}")
        if answer is StartResponse.DEPOSED:
            raise LeadershipLost(f"worker {worker.id} obeys a newer leader")
        self.cluster.apply_start_response(run, answer, self.clock.now())
        if answer is not StartResponse.STARTED:
            self.scheduling_requested.set()

    async def stop_run(self, run: Run) -> None:
        """Order a run to stop, until the worker has answered or the run is gone."""
        worker = run.worker
        session = self.sessions.get(worker.id)
        if session is None:
            return
        if await session.stop(run.task, run.attempt, lambda: worker.runs.get(run.key) is run):
            run.reports_conclusive_after = min(run.reports_conclusive_after, self.clock.now())
            session.wake_event.set()

    def stop_unknown_run(self, unknown: UnknownRun) -> None:
        """Stop a run that nobody asked for."""
        session = self.sessions[unknown.worker_id]
        log.info("unknown run stopped", task=str(unknown.task), worker=unknown.worker_id)
        self.spawn(self.send_stop(session, unknown.task, unknown.attempt), f"stop {unknown.task}")

    async def send_stop(self, session: "WorkerSession", task: TaskId, attempt: int) -> None:
        """Order a run to stop."""
        await session.stop(task, attempt, lambda: True)
