"""The leading daemon: follows jobs and workers, decides, gives orders, keeps what happened."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.codec import from_plain, to_plain
from jaypier.core.metrics import Metrics
from jaypier.jobs.abstract import (
    WorkerDeposedUs,
    WorkerDirectory,
    WorkerLink,
    WorkerListing,
    WorkerReplaced,
    WorkerUnreachable,
)
from jaypier.jobs.board import JobBoard, UnknownRun
from jaypier.jobs.election import RENEW_SECONDS
from jaypier.jobs.leaving import runs_to_take_away
from jaypier.jobs.ledger import MAX_ROWS, Deposed, LeaderLedger
from jaypier.jobs.model import StartAnswer, StartOrder, TaskId, WorkerEntry
from jaypier.jobs.pace import runs_to_move
from jaypier.jobs.planning import Planner
from jaypier.jobs.progress import record_progress, restore_job
from jaypier.jobs.rows import (
    JOBS_TABLE,
    PENDING_KEY,
    PROGRESS_TABLE,
    WORKERS_KEY,
    cancel_key,
    decode_job_rows,
    decode_progress,
    job_key,
    progress_key,
)
from jaypier.jobs.state import Run, Worker
from jaypier.platform import FollowedTable, HistoryLost, PlatformUnavailable, Put

FOLLOW_SECONDS = 2.0
"""Longest wait for new jobs; bounds the time for which a silent connection goes unnoticed."""

LIST_SECONDS = 0.4
"""Time between two readings of changed workers; a leaving one must get no task after 2 s."""

POLL_SECONDS = 1.0
"""Longest wait for an end on a worker, so that tasks that stand still are seen in time."""

IDLE_CHECK_SECONDS = 1.0
"""Time between two checks whether an idle worker has to be asked who leads it."""

PASS_PAUSE_FACTOR = 2.0
"""Pause before a pass of decisions against the length of the last one, so that decisions take a
third of the processor at most and events of a burst are decided together."""

TICK_SECONDS = 0.2
"""Time between two checks of leases and delays."""

STORE_RETRY_SECONDS = 0.25
"""Time before the store is asked again after it did not answer."""

WORKER_RETRY_SECONDS = 0.1
"""Time before a worker is asked again, doubling up to ``WORKER_RETRY_MAX_SECONDS``."""

WORKER_RETRY_MAX_SECONDS = 1.0
"""Longest time between two calls to a worker that does not answer."""

AUTHORITY_SECONDS = 2.0
"""Time without the store for which a leader goes on in any case: until others take over."""

CONTACT_SECONDS = 3.0
"""Age up to which a worker's report shows that it obeys this leader."""

ADOPTION_SECONDS = 9.5
"""Time after which nothing of an earlier leader runs on a worker out of reach: its contact, the
longest lease on a clock that is 2% slow, and a margin."""

ADOPTION_ALONE_SECONDS = 30.0
"""The same while less than half of the workers have reported to the new leader."""

UNLISTED_SECONDS = 3.0
"""The same for a worker without an entry: one that lives is listed again within about 2 s."""

START_PATIENCE_SECONDS = 1.5
"""Time for which the start of a run is repeated: half of the time that a gang waits."""

PENDING_SECONDS = 0.5
"""Time between two writes of the numbers of waiting jobs; callers accept 2 s."""

KEEP_MARGIN_SECONDS = 60.0
"""Time for which an ended job is kept beyond the time in which callers may ask for it."""

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
        table: FollowedTable,
        directory: WorkerDirectory,
        open_link: Callable[[WorkerEntry], WorkerLink],
        ledger: LeaderLedger,
        settings: LeaderSettings,
        clock: Clock,
        wall: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.directory = directory
        self.open_link = open_link
        self.ledger = ledger
        self.settings = settings
        self.clock = clock
        self.wall = wall
        self.metrics = metrics
        self.epoch = ledger.leadership.epoch
        self.board = JobBoard(self.epoch, settings.lease_seconds)
        self.planner = Planner(self.board, settings.restore_seconds)
        self.sessions: dict[str, WorkerSession] = {}
        self.group: asyncio.TaskGroup | None = None
        self.decide = asyncio.Event()
        self.save = asyncio.Event()
        self.saved_pending: dict[str, int] = {}
        self.saved_workers: dict[str, bool] = {}
        self.pending_at = -PENDING_SECONDS
        self.expired_jobs: list[str] = []
        self.took_over_at = clock.now()
        self.has_adopted = False

    # Life

    async def run(self) -> None:
        """Lead until deposed or cancelled.

        :raises Deposed: when another daemon leads.
        """
        log.info("leadership began", epoch=self.epoch)
        try:
            await self.retry(self.load)
            async with asyncio.TaskGroup() as group:
                self.group = group
                for loop in (self.follow_jobs, self.follow_workers, self.run_decisions):
                    group.create_task(loop(), name=loop.__name__)
                group.create_task(self.run_saves(), name="run_saves")
                group.create_task(self.run_ticks(), name="run_ticks")
        except* Deposed as error:
            log.info("leadership lost", epoch=self.epoch, reason=str(error.exceptions[0]))
        finally:
            for session in self.sessions.values():
                session.link.close()
            log.info("leadership ended", epoch=self.epoch)

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Run a task for as long as this leader lasts."""
        self.group.create_task(work, name=name)

    async def load(self) -> None:
        """Read jobs, their progress and workers from the store."""
        await self.ledger.open()
        jobs = await self.table.snapshot(JOBS_TABLE)
        progress = await self.table.snapshot(PROGRESS_TABLE)
        listing = await self.directory.snapshot()
        kept = {row.key.partition("/")[2]: row.value for row in progress.rows}
        changes = decode_job_rows(jobs.rows, jobs.version)
        self.board.cancelled.update(changes.cancelled)
        for job in changes.accepted:
            state = restore_job(job, decode_progress(kept.get(job.id)))
            self.board.insert(state)
            self.planner.note_job(state, self.clock.now())
        self.jobs_version = jobs.version
        self.workers_version = listing.version
        self.take_listing(listing, is_whole=True)
        await self.recall_workers()
        log.info(
            "state loaded",
            epoch=self.epoch,
            jobs=len(changes.accepted),
            workers=len(self.board.workers),
            version=jobs.version,
        )

    async def recall_workers(self) -> None:
        """Take in workers that earlier leaders used and that are not listed now.

        An entry may be missing while its worker is at work: it expires when the worker does not
        reach the store.
        """
        row = await self.table.read(WORKERS_KEY)
        if row is None or row.value is None:
            return
        now = self.clock.now()
        for worker_id, plain in row.value.items():
            entry = from_plain(plain, WorkerEntry)
            # A worker that was leaving and whose entry is gone has left, with all that it ran.
            if entry.is_ready and worker_id not in self.board.workers:
                self.take_entry(entry, now, row.version)
                self.board.unlist_worker(worker_id)

    # Following

    async def follow_jobs(self) -> None:
        """Take in jobs and cancellations as they are accepted."""
        while True:
            try:
                changes = await self.table.follow(JOBS_TABLE, self.jobs_version, FOLLOW_SECONDS)
            except HistoryLost:
                await self.retry(self.reload_jobs)
                continue
            except PlatformUnavailable as error:
                log.debug("jobs not read", error=str(error))
                await asyncio.sleep(STORE_RETRY_SECONDS)
                continue
            self.take_jobs(changes.rows, changes.version)

    async def reload_jobs(self) -> None:
        """Read all jobs again."""
        changes = await self.table.snapshot(JOBS_TABLE)
        self.take_jobs(changes.rows, changes.version)

    def take_jobs(self, rows: list, version: int) -> None:
        """Take in rows of the jobs table."""
        changes = decode_job_rows(rows, version)
        for job in changes.accepted:
            state = self.board.add_job(job, may_have_started=not self.has_adopted)
            if state is not None:
                self.wake_missing()
                self.planner.note_job(state, self.clock.now())
                log.info(
                    "job taken in",
                    job=job.id,
                    priority=job.priority,
                    tasks=sum(step.count for step in job.steps),
                    accelerators=max(step.count * step.demand.accelerators for step in job.steps),
                    chain_seconds=job.chain_seconds(),
                    objective_seconds=job.objective_seconds,
                    version=version,
                )
        for job_id in changes.cancelled:
            if job_id not in self.board.cancelled:
                runs = self.board.cancel_job(job_id)
                log.info("job cancelled", job=job_id, runs=len(runs), version=version)
                self.stop_runs(runs, "cancelled")
        self.jobs_version = max(self.jobs_version, changes.version)
        if rows:
            self.decide.set()

    def wake_missing(self) -> None:
        """Have workers asked at once that have to report again."""
        for worker in self.board.missing_workers:
            session = self.sessions.get(worker.id)
            if session is not None:
                session.kick.set()

    async def follow_workers(self) -> None:
        """Take in workers as they come, leave and go."""
        while True:
            await asyncio.sleep(LIST_SECONDS)
            try:
                listing = await self.directory.follow(self.workers_version, 0.0)
            except HistoryLost:
                await self.retry(self.reload_workers)
                continue
            except PlatformUnavailable as error:
                log.debug("workers not read", error=str(error))
                continue
            self.take_listing(listing, is_whole=False)

    async def reload_workers(self) -> None:
        """Read all workers again."""
        self.take_listing(await self.directory.snapshot(), is_whole=True)

    async def retry(self, read: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Repeat a reading until the store has answered."""
        while True:
            try:
                await read()
            except PlatformUnavailable as error:
                log.debug("rows not read", error=str(error))
                await asyncio.sleep(STORE_RETRY_SECONDS)
            else:
                return

    def take_listing(self, listing: WorkerListing, is_whole: bool) -> None:
        """Take in a listing of workers."""
        now = self.clock.now()
        gone = {worker_id for worker_id, entry in listing.entries.items() if entry is None}
        if is_whole:
            gone |= self.board.workers.keys() - listing.entries.keys()
        for worker_id in gone:
            worker = self.board.workers.get(worker_id)
            if worker is not None and worker.is_listed:
                log.info("worker gone from the list", worker=worker_id, version=listing.version)
                self.board.unlist_worker(worker_id)
        for entry in listing.entries.values():
            if entry is not None:
                self.take_entry(entry, now, listing.version)
        self.workers_version = max(self.workers_version, listing.version)
        self.decide.set()

    def take_entry(self, entry: WorkerEntry, now: float, version: int) -> None:
        """Take in one worker's entry."""
        known = self.board.workers.get(entry.id)
        if known is None or known.entry.is_ready != entry.is_ready or known.born != entry.born:
            log.info(
                "worker listed",
                worker=entry.id,
                ready=entry.is_ready,
                rack=entry.rack,
                born=entry.born,
                version=version,
            )
        worker = self.board.list_worker(entry, now)
        session = self.sessions.get(entry.id)
        if session is None or session.worker is not worker:
            session = WorkerSession(self, worker)
            self.sessions[entry.id] = session
            if self.group is not None:
                self.spawn(session.run(), f"session {entry.id}")

    # Deciding

    @property
    def has_store(self) -> bool:
        """Whether the store has confirmed this leader just now."""
        return self.clock.now() - self.ledger.confirmed_at <= AUTHORITY_SECONDS

    @property
    def has_authority(self) -> bool:
        """Whether orders may be given: the store, or most workers, know no newer leader."""
        if self.has_store:
            return True
        now = self.clock.now()
        workers = self.board.workers.values()
        obeying = sum(now - worker.heard_at <= CONTACT_SECONDS for worker in workers)
        return 2 * obeying > len(workers)

    async def run_decisions(self) -> None:
        """Decide whenever something has changed."""
        for session in self.sessions.values():
            self.spawn(session.run(), f"session {session.worker.id}")
        pass_seconds = 0.0
        while True:
            await self.decide.wait()
            await asyncio.sleep(PASS_PAUSE_FACTOR * pass_seconds)
            self.decide.clear()
            self.settle()
            self.stop_runs(list(self.board.runs_to_stop()), "no more use")
            self.stop_runs(runs_to_move(self.board, self.clock.now()), "too slow here")
            self.stop_runs(runs_to_take_away(self.board, self.clock.now()), "worker leaves")
            if self.has_authority:
                began = self.clock.now()
                plan = self.planner.plan(began, self.wall())
                pass_seconds = self.clock.now() - began
                self.metrics.record("leader.plan", pass_seconds)
                self.stop_runs(plan.stops, "preempted")
                for run in plan.starts:
                    self.spawn(self.start_run(run), f"start {run.task}")
            if self.board.changed:
                self.save.set()

    def settle(self) -> None:
        """Give up waiting for what an earlier leader may have left on workers out of reach."""
        missing = self.board.missing_workers
        now = self.clock.now()
        if missing:
            is_minority = 2 * len(missing) >= len(self.board.workers)
            patience = ADOPTION_ALONE_SECONDS if is_minority else ADOPTION_SECONDS
            for worker in missing:
                allowed = patience if worker.is_listed else UNLISTED_SECONDS
                is_new = now - self.took_over_at > LIST_SECONDS and self.has_adopted
                if is_new or now - self.took_over_at > allowed:
                    worker.is_known = True
                    worker.is_unreachable = True
        if not self.has_adopted and not self.board.missing_workers:
            self.has_adopted = True
            self.board.tear_down_partial_gangs()
            log.info("workers adopted", epoch=self.epoch, seconds=now - self.took_over_at)

    async def run_ticks(self) -> None:
        """Check leases and delays, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self.clock.now()
            for worker in self.board.expire(now):
                log.info("lease expired", worker=worker.id, heard=now - worker.heard_at)
            for worker in list(self.board.workers.values()):
                if not worker.is_listed and not worker.runs and now > worker.lease_until:
                    self.drop_worker(worker)
            self.decide.set()

    def drop_worker(self, worker: Worker) -> None:
        """Forget a worker that is gone and on which nothing can run."""
        if not worker.is_known and not self.has_adopted:
            return
        self.board.drop_worker(worker)
        session = self.sessions.pop(worker.id, None)
        if session is not None:
            session.end()

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
        now = self.clock.now()
        deadline = worker.clock_now(now) + int(self.settings.lease_seconds * 1000)
        run.order_deadline = deadline
        self.board.extend_lease(worker, deadline, now)
        session.kick.set()
        state = run.step.job
        task = run.step.tasks[run.task.index]
        order = StartOrder(run.task, run.attempt, state.job.payload, task.checkpoint, deadline)
        for tries in itertools.count(1):
            if run.is_stopping or worker.runs.get(run.key) is not run:
                return
            try:
                answer = await session.link.start(self.epoch, order)
            except WorkerUnreachable as error:
                now = self.clock.now()
                if now - run.started_at > START_PATIENCE_SECONDS:
                    log.info(
                        "start not answered", task=str(run.task), worker=worker.id, tries=tries
                    )
                    if self.board.mark_stopping(run):
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
        if answer is StartAnswer.DEPOSED:
            raise Deposed(f"worker {worker.id} obeys a newer leader")
        self.board.take_start_answer(run, answer, self.clock.now())
        if answer is not StartAnswer.STARTED:
            self.decide.set()

    async def stop_run(self, run: Run) -> None:
        """Order a run to stop, until the worker has answered or the run is gone."""
        worker = run.worker
        session = self.sessions.get(worker.id)
        if session is None:
            return
        if await session.stop(run.task, run.attempt, lambda: worker.runs.get(run.key) is run):
            run.settled_at = min(run.settled_at, self.clock.now())
            session.kick.set()

    def stop_unknown(self, unknown: UnknownRun) -> None:
        """Stop a run that nobody asked for."""
        session = self.sessions[unknown.worker]
        log.info("unknown run stopped", task=str(unknown.task), worker=unknown.worker)
        self.spawn(self.stop_one(session, unknown.task, unknown.attempt), f"stop {unknown.task}")

    async def stop_one(self, session: "WorkerSession", task: TaskId, attempt: int) -> None:
        """Order a run to stop."""
        await session.stop(task, attempt, lambda: True)

    # Saving

    async def run_saves(self) -> None:
        """Write what has changed, and renew the leadership."""
        while True:
            try:
                async with asyncio.timeout(self.renewal_wait()):
                    await self.save.wait()
            except TimeoutError:
                pass
            self.save.clear()
            await self.save_changes()

    def renewal_wait(self) -> float:
        """Return the seconds until the leadership has to be renewed."""
        return max(0.0, self.ledger.renewed_at + RENEW_SECONDS - self.clock.now())

    async def save_changes(self) -> None:
        """Write the progress of changed jobs, then let workers forget the ends it covers."""
        changed = list(itertools.islice(self.board.changed, MAX_ROWS))
        self.board.changed.difference_update(changed)
        processed = {
            worker.id: worker.processed
            for worker in self.board.workers.values()
            if worker.processed > worker.durable
        }
        covers_all = not self.board.changed
        wall = self.wall()
        states = [self.board.jobs[job_id] for job_id in changed if job_id in self.board.jobs]
        puts = [
            Put(progress_key(state.job.id), to_plain(record_progress(state, wall)))
            for state in states
        ]
        puts += self.pending_put()
        puts += self.workers_put()
        ended = [state.job.id for state in states if state.status.is_final]
        for state in states:
            log.info("job recorded", job=state.job.id, status=str(state.status))
        renew = self.renewal_wait() <= 0.0
        if puts or renew:
            await self.ledger.write(puts, [], renew)
        for job_id in ended:
            self.board.jobs[job_id].ended_at = self.clock.now()
        if covers_all:
            self.let_workers_forget(processed)
        if self.board.changed:
            self.save.set()
        await self.delete_expired()

    def let_workers_forget(self, processed: dict[str, int]) -> None:
        """Note that ends are durable, so that workers need not keep them."""
        for worker_id, number in processed.items():
            worker = self.board.workers.get(worker_id)
            if worker is not None and worker.processed >= number:
                worker.durable = max(worker.durable, number)
                self.sessions[worker_id].kick.set()

    def pending_put(self) -> list[Put]:
        """Return the row of waiting jobs if it is time to write it."""
        now = self.clock.now()
        if now - self.pending_at < PENDING_SECONDS:
            return []
        pending = dict(self.planner.pending())
        if pending == self.saved_pending:
            return []
        self.saved_pending, self.pending_at = pending, now
        return [Put(PENDING_KEY, pending)]

    def workers_put(self) -> list[Put]:
        """Return the row of the workers that may be at work, if they have changed."""
        workers = self.board.workers
        current = {worker_id: worker.entry.is_ready for worker_id, worker in workers.items()}
        if not self.has_adopted or current == self.saved_workers:
            return []
        self.saved_workers = current
        entries = {worker_id: to_plain(worker.entry) for worker_id, worker in workers.items()}
        return [Put(WORKERS_KEY, entries)]

    async def delete_expired(self) -> None:
        """Delete the rows of jobs that nobody may ask for any more."""
        horizon = self.clock.now() - self.settings.status_seconds - KEEP_MARGIN_SECONDS
        old = [state.job.id for state in self.board.jobs.values() if state.ended_at < horizon][
            : MAX_ROWS // 3
        ]
        if not old:
            return
        keys = [key(job_id) for job_id in old for key in (job_key, progress_key, cancel_key)]
        await self.ledger.write([], keys, False)
        for job_id in old:
            self.board.forget_job(job_id)


class WorkerSession:
    """Keeps one worker's lease and reads its reports."""

    def __init__(self, leader: Leader, worker: Worker) -> None:
        self.leader = leader
        self.worker = worker
        self.link = leader.open_link(worker.entry)
        self.address = worker.entry.address
        self.kick = asyncio.Event()
        self.has_ended = False

    def end(self) -> None:
        """Stop asking the worker."""
        self.has_ended = True
        self.kick.set()
        self.link.close()

    async def run(self) -> None:
        """Renew the lease and take in reports until the worker is gone."""
        delay = WORKER_RETRY_SECONDS
        while not self.has_ended:
            try:
                await self.exchange()
                delay = WORKER_RETRY_SECONDS
            except WorkerUnreachable as error:
                self.note_unreachable(error)
                await asyncio.sleep(delay)
                delay = min(2 * delay, WORKER_RETRY_MAX_SECONDS)
                continue
            except WorkerReplaced:
                self.note_unreachable(WorkerReplaced("another worker answers"))
                await asyncio.sleep(WORKER_RETRY_MAX_SECONDS)
                continue
            except WorkerDeposedUs as error:
                raise Deposed(f"worker {self.worker.id}: {error}") from error
            await self.pause()

    def note_unreachable(self, error: Exception) -> None:
        """Note that the worker did not answer."""
        worker, leader = self.worker, self.leader
        if not worker.is_unreachable:
            log.info("worker out of reach", worker=worker.id, reason=str(error))
        worker.is_unreachable = True
        leader.metrics.count("leader.workers_unreachable")
        if worker.entry.address != self.address:
            self.link.close()
            self.link, self.address = leader.open_link(worker.entry), worker.entry.address

    async def exchange(self) -> None:
        """Renew the lease once and take in the report."""
        worker, leader = self.worker, self.leader
        self.kick.clear()
        sent_at = leader.clock.now()
        deadline = None
        # A worker out of reach gets no longer lease: what it holds has to end at a known time.
        if worker.is_known and worker.runs and not worker.is_unreachable and leader.has_authority:
            deadline = worker.clock_now(sent_at) + int(leader.settings.lease_seconds * 1000)
            leader.board.extend_lease(worker, deadline, sent_at)
        wait = POLL_SECONDS if deadline is not None else 0.0
        if worker.processed > worker.durable:
            wait = 0.0
        was_unreachable = worker.is_unreachable
        report = await self.link.renew(leader.epoch, worker.durable, deadline, wait)
        if self.has_ended:
            return
        now = leader.clock.now()
        was_known, releases = worker.is_known, leader.board.releases
        ends, unknown = leader.board.report(worker, report, sent_at, now)
        if was_unreachable:
            log.info("worker in reach", worker=worker.id)
        for end in ends:
            log.info(
                "run ended",
                task=str(end.task),
                attempt=end.attempt,
                worker=worker.id,
                end=str(end.end),
            )
        for each in unknown:
            leader.stop_unknown(each)
        if ends:
            leader.save.set()
        if releases != leader.board.releases or was_unreachable or not was_known:
            leader.decide.set()

    async def pause(self) -> None:
        """Wait until the worker has to be asked again."""
        worker, leader = self.worker, self.leader
        if worker.processed > worker.durable:
            await self.wait_for_kick(POLL_SECONDS)
            return
        while worker.is_known and not worker.runs and not self.has_ended:
            await self.wait_for_kick(IDLE_CHECK_SECONDS)
            if not leader.has_store:
                return

    async def wait_for_kick(self, seconds: float) -> None:
        """Wait until somebody needs the worker's report."""
        try:
            async with asyncio.timeout(seconds):
                await self.kick.wait()
                self.kick.clear()
        except TimeoutError:
            pass

    async def stop(self, task: TaskId, attempt: int, is_needed: Callable[[], bool]) -> bool:
        """Order a run to stop until the worker has answered; return whether it has."""
        delay = WORKER_RETRY_SECONDS
        while not self.has_ended and is_needed():
            try:
                await self.link.stop(self.leader.epoch, task, attempt)
            except WorkerUnreachable:
                await asyncio.sleep(delay)
                delay = min(2 * delay, WORKER_RETRY_MAX_SECONDS)
            except WorkerReplaced:
                return False
            except WorkerDeposedUs as error:
                raise Deposed(f"worker {self.worker.id}: {error}") from error
            else:
                return True
        return False
