"""A platform in memory and in virtual time: its store, its workers, and a record of all that ran.

It speaks the abstract interfaces, not the platform's protocol, so that decisions and orders are
tested without sockets. What it does is what the platform's pages say: transactions with
conditions, a feed, fences, leases on the worker's own clock, gangs that wait for each other,
checkpoints, ends that are listed until they are forgotten.
"""

import asyncio
import copy
import itertools
import random
from collections import defaultdict

import attrs
import msgspec

from jaypier.core.address import Address
from jaypier.core.codec import to_plain
from jaypier.jobs.abstract import (
    WorkerDeposedUs,
    WorkerDirectory,
    WorkerLink,
    WorkerListing,
    WorkerUnreachable,
)
from jaypier.jobs.model import (
    ActiveRun,
    EndedRun,
    Job,
    Resources,
    RunOutcome,
    StartRequest,
    StartResponse,
    Step,
    TaskId,
    WorkerEntry,
    WorkerReport,
)
from jaypier.jobs.rows import cancel_key, decode_job_row, job_key
from jaypier.platform import (
    Changes,
    Condition,
    ConditionFailed,
    FollowedTable,
    HistoryLost,
    PlatformRefused,
    PlatformUnavailable,
    Put,
    Row,
    Transaction,
)

MAX_ROW_BYTES = 65536
"""Longest value of a row."""

MAX_ENTRIES = 100
"""Entries of one transaction: conditions, writes, removals."""

MAX_CALL_BYTES = 1 << 20
"""Longest call, in which values take four thirds of their length."""

CALL_SECONDS = 0.004
"""Time that the store takes for an answer."""

STARTUP_SECONDS = 0.3
"""Time after which a task that lasts is at work."""

EARLY_SECONDS = 0.1
"""Time by which an occurrence may start before it is due."""

CANCEL_SECONDS = 3.0
"""Time after its cancelling, or after trouble of the store, from which no task of a job may be
ordered to start. Before, the leader may not know of it; the platform's rule says the same."""

LEAVING_SECONDS = 3.0
"""Time after which no task may be ordered to start in a data centre that operators have taken out,
or on a worker that has said that it leaves, unless the store was in trouble."""

ORDER_SECONDS = 0.002
"""Time that an order to a worker takes there and back."""


class MemoryStore(FollowedTable):
    """Rows in memory, with a feed and with disruptions.

    :param rng: decides which answers are lost.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(0)
        self.rows: dict[str, Row] = {}
        self.history: list[Row] = []
        self.first_version = 0
        self.version = 0
        self.changed = asyncio.Condition()
        self.is_down = False
        self.lost_share = 0.0
        self.late_seconds = 0.0
        self.slow_factor = 1.0
        self.calls = 0
        self.unreachable: set[str] = set()
        self.troubled_at = float("-inf")

    def view(self, name: str) -> "StoreView":
        """Return the store as one VM reaches it."""
        return StoreView(self, name)

    async def pause(self) -> None:
        """Take the time of a call; fail while the store is down."""
        self.calls += 1
        if self.is_down or self.lost_share or self.slow_factor > 1 or self.unreachable:
            self.troubled_at = asyncio.get_running_loop().time()
        await asyncio.sleep(CALL_SECONDS * self.slow_factor)
        if self.is_down:
            raise PlatformUnavailable("store: down", effect_unknown=False)

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` when it does not exist."""
        await self.pause()
        return copy.deepcopy(self.rows.get(key))

    async def scan(self, prefix: str) -> list[Row]:
        """Return every row whose key starts with ``prefix``, in key order."""
        await self.pause()
        return [
            copy.deepcopy(self.rows[key]) for key in sorted(self.rows) if key.startswith(prefix)
        ]

    async def snapshot(self, table: str) -> Changes:
        """Return every row of a table, and the version from which to follow it."""
        return Changes(await self.scan(table + "/"), self.version)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        """Wait for rows of a table that changed after a version."""
        await self.pause()
        if after < self.first_version:
            raise HistoryLost()

        def newer() -> list[Row]:
            found = [
                row
                for row in self.history
                if row.version > after and row.key.startswith(table + "/")
            ]
            return list({row.key: row for row in found}.values())

        if wait > 0 and not newer():
            try:
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait_for(lambda: bool(newer()))
            except TimeoutError:
                pass
        if self.is_down:
            raise PlatformUnavailable("store: down", effect_unknown=False)
        if after < self.first_version:
            raise HistoryLost()
        return Changes(copy.deepcopy(newer()), self.version)

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction whole and return the version of its rows."""
        await self.pause()
        if self.rng.random() < self.lost_share:
            if self.late_seconds:
                delay = self.rng.uniform(0.2, 1.0) * self.late_seconds
                asyncio.get_running_loop().call_later(delay, self.apply_late, transaction)
            else:
                self.apply_late(transaction)
            raise PlatformUnavailable("store: answer lost", effect_unknown=True)
        return self.apply(transaction)

    def apply_late(self, transaction: Transaction) -> None:
        """Apply a transaction whose answer is lost, if its conditions still hold."""
        try:
            self.apply(transaction)
        except ConditionFailed:
            return

    def check_size(self, transaction: Transaction) -> None:
        """Refuse what the platform's store does not take."""
        sizes = {put.key: len(msgspec.json.encode(put.value)) for put in transaction.puts}
        entries = len(transaction.conditions) + len(transaction.puts) + len(transaction.deletes)
        large = [key for key, size in sizes.items() if size > MAX_ROW_BYTES]
        if large or entries > MAX_ENTRIES or sum(sizes.values()) > MAX_CALL_BYTES * 3 // 4:
            raise PlatformRefused(f"store: {entries} entries, too long: {large}")

    def apply(self, transaction: Transaction) -> int:
        """Apply a transaction at once."""
        self.check_size(transaction)
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                named = [each.key for each in transaction.conditions]
                current = [copy.deepcopy(self.rows[key]) for key in named if key in self.rows]
                raise ConditionFailed(condition.key, current)
        self.version += 1
        for put in transaction.puts:
            row = Row(put.key, copy.deepcopy(put.value), self.version)
            self.rows[put.key] = row
            self.history.append(row)
        for key in transaction.deletes:
            if self.rows.pop(key, None) is not None:
                self.history.append(Row(key, None, self.version))
        asyncio.get_running_loop().create_task(self.notify())
        return self.version

    async def notify(self) -> None:
        """Wake those who follow a table."""
        async with self.changed:
            self.changed.notify_all()

    def store_time(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def compact(self) -> None:
        """Drop the history of changes."""
        self.history.clear()
        self.first_version = self.version


class StoreView(FollowedTable):
    """The store as one VM reaches it; a VM may be cut off while others are served.

    :param name: name of the VM.
    """

    def __init__(self, store: MemoryStore, name: str) -> None:
        self.store = store
        self.name = name

    def check(self) -> None:
        """Fail if this VM does not reach the store."""
        if self.name in self.store.unreachable:
            raise PlatformUnavailable("store: out of reach", effect_unknown=False)

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` when it does not exist."""
        self.check()
        return await self.store.read(key)

    async def snapshot(self, table: str) -> Changes:
        """Return every row of a table, and the version from which to follow it."""
        self.check()
        return await self.store.snapshot(table)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        """Wait for rows of a table that changed after a version."""
        self.check()
        changes = await self.store.follow(table, after, wait)
        self.check()
        return changes

    def store_time(self) -> float:
        """Return the virtual time."""
        return self.store.store_time()

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction whole and return the version of its rows."""
        self.check()
        return await self.store.commit(transaction)


@attrs.define(eq=False)
class HeldRun:
    """A run on a worker of the stand-in."""

    task: TaskId
    attempt: int
    step: Step
    checkpoint: str
    started_at: float
    done_share: float = 0.0
    working_since: float | None = None
    timer: asyncio.TimerHandle | None = None


@attrs.define(eq=False)
class MemoryWorker:
    """A worker that keeps the platform's rules.

    :param rate: seconds of its clock for each real second.
    :param speed: work done for each second.
    """

    cluster: "MemoryCluster"
    entry: WorkerEntry
    rate: float = 1.0
    speed: float = 1.0
    born_at: float = 0.0
    fence: int = 0
    lease: int = 0
    is_cut: bool = False
    is_up: bool = True
    fails_all: bool = False
    hangs: bool = False
    late_share: float = 0.0
    active: dict[tuple[TaskId, int], HeldRun] = attrs.field(factory=dict)
    finished: list[EndedRun] = attrs.field(factory=list)
    ends: int = 0
    highest: dict[TaskId, int] = attrs.field(factory=lambda: defaultdict(int))
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def now(self) -> float:
        """Real time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def clock(self) -> int:
        """Its own clock in milliseconds."""
        return int((self.now - self.born_at) * self.rate * 1000)

    @property
    def used(self) -> Resources:
        """What runs hold."""
        return sum((run.step.demand for run in self.active.values()), Resources())

    def extend(self, deadline: int) -> None:
        """Extend the lease of all that runs."""
        longest = int(self.cluster.lease_seconds * 1000)
        self.lease = max(self.lease, min(deadline, self.clock + longest))
        delay = (self.lease - self.clock) / 1000 / self.rate
        asyncio.get_running_loop().call_later(delay + 0.001, self.check_lease)

    def check_lease(self) -> None:
        """Kill everything once the lease has run out."""
        if self.clock >= self.lease:
            for run in list(self.active.values()):
                self.end(run, RunOutcome.EXPIRED)

    def obey(self, epoch: int) -> None:
        """Refuse an older leader."""
        if epoch < self.fence:
            raise WorkerDeposedUs(f"fence is {self.fence}")
        self.fence = epoch

    def start(self, epoch: int, order: StartRequest) -> StartResponse:
        """Start a run."""
        if epoch < self.fence:
            return StartResponse.DEPOSED
        self.fence = epoch
        key = (order.task, order.attempt)
        if key in self.active:
            return StartResponse.STARTED
        if order.deadline <= self.clock:
            return StartResponse.EXPIRED
        self.extend(order.deadline)
        if order.attempt <= self.highest[order.task]:
            return StartResponse.OUTDATED
        step = self.cluster.step_of(order.task)
        if step.demand.copies_within(self.entry.capacity - self.used) < 1:
            return StartResponse.NO_ROOM
        run = HeldRun(order.task, order.attempt, step, order.checkpoint, self.now)
        run.done_share = float(order.checkpoint or 0)
        self.active[key] = run
        self.cluster.note_start(self, run, order)
        return StartResponse.STARTED

    def work(self, run: HeldRun) -> None:
        """Let a run begin to work."""
        run.working_since = self.now
        if self.hangs or (run.step.lasts and not self.fails_all):
            return
        left = run.step.estimated_seconds * (1 - run.done_share) / self.speed
        how = RunOutcome.FAILED if self.fails_all else RunOutcome.DONE
        seconds = 0.1 if self.fails_all else left
        run.timer = asyncio.get_running_loop().call_later(seconds, self.end, run, how)

    def progress(self, run: HeldRun) -> float:
        """Return the share of its work that a run has done."""
        if run.working_since is None or self.hangs or run.step.estimated_seconds <= 0:
            return run.done_share
        if run.step.lasts:
            return float(self.now - run.working_since >= STARTUP_SECONDS)
        share = (self.now - run.working_since) * self.speed / run.step.estimated_seconds
        return min(1.0, run.done_share + share)

    def checkpoint_of(self, run: HeldRun) -> str:
        """Return the newest checkpoint of a run."""
        return f"{self.progress(run):.3f}" if run.step.saves else ""

    def end(self, run: HeldRun, how: RunOutcome) -> None:
        """End a run and list its end."""
        key = (run.task, run.attempt)
        if self.active.get(key) is not run:
            return
        saved = self.checkpoint_of(run)
        del self.active[key]
        if run.timer is not None:
            run.timer.cancel()
        self.highest[run.task] = max(self.highest[run.task], run.attempt)
        self.ends += 1
        self.finished.append(EndedRun(self.ends, run.task, run.attempt, how, saved))
        self.changed.set()
        self.cluster.note_end(self, run, how)

    def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or make sure that it never starts."""
        self.obey(epoch)
        self.highest[task] = max(self.highest[task], attempt)
        run = self.active.get((task, attempt))
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.cluster.stop_seconds, self.end, run, RunOutcome.STOPPED)

    def report(self) -> WorkerReport:
        """Return both lists."""
        active = tuple(
            ActiveRun(run.task, run.attempt, self.checkpoint_of(run), 100 * self.progress(run))
            for run in self.active.values()
        )
        return WorkerReport(self.entry.born, self.clock, active, tuple(self.finished[:500]))

    def crash(self) -> None:
        """Lose everything at once."""
        lost = list(self.active.values())
        self.active.clear()
        for run in lost:
            if run.timer is not None:
                run.timer.cancel()
            self.cluster.note_end(self, run, None)
        self.is_up = False

    def restart(self) -> None:
        """Start again under the same identity, knowing nothing."""
        self.entry = attrs.evolve(self.entry, born=self.entry.born + int(1000 * self.now) + 1)
        self.born_at = self.now
        self.fence = self.lease = self.ends = 0
        self.finished.clear()
        self.highest.clear()
        self.is_up = True
        self.cluster.register(self)


class MemoryLink(WorkerLink):
    """One VM's orders to a worker."""

    def __init__(self, worker: MemoryWorker, source: str) -> None:
        self.worker = worker
        self.source = source

    @property
    def is_reachable(self) -> bool:
        """Whether the worker hears this VM."""
        worker = self.worker
        cut = (self.source, worker.entry.id) in worker.cluster.cuts
        return worker.is_up and not worker.is_cut and not cut

    async def deliver(self, order, *arguments):
        """Carry an order there and its answer back."""
        await asyncio.sleep(ORDER_SECONDS / 2)
        if not self.is_reachable:
            await asyncio.sleep(0.4)
            raise WorkerUnreachable("no answer")
        if self.worker.cluster.rng.random() < self.worker.late_share:
            delay = self.worker.cluster.rng.uniform(2.0, 12.0)
            asyncio.get_running_loop().call_later(
                delay, self.carry_out_late, self.worker.entry.born, order, arguments
            )
            await asyncio.sleep(0.4)
            raise WorkerUnreachable("no answer")
        answer = order(*arguments)
        await asyncio.sleep(ORDER_SECONDS / 2)
        if not self.is_reachable:
            raise WorkerUnreachable("answer lost")
        return answer

    def carry_out_late(self, born: int, order, arguments) -> None:
        """Carry out an order that was not answered, unless its worker has started again."""
        if not self.worker.is_up or self.worker.entry.born != born:
            return
        self.worker.cluster.is_carrying_out_late = True
        try:
            order(*arguments)
        except WorkerDeposedUs:
            return
        finally:
            self.worker.cluster.is_carrying_out_late = False

    async def renew(self, epoch: int, seen: int, deadline: int | None, wait: float) -> WorkerReport:
        """Renew the lease of all that runs, and learn what runs and what has ended."""
        worker = self.worker

        def take() -> None:
            worker.obey(epoch)
            worker.finished = [end for end in worker.finished if end.sequence_number > seen]
            worker.cluster.note_seen(worker, seen)
            if deadline is not None:
                worker.extend(deadline)

        await self.deliver(take)
        if wait > 0 and not worker.finished:
            worker.changed.clear()
            try:
                async with asyncio.timeout(wait):
                    await worker.changed.wait()
            except TimeoutError:
                pass
        return await self.deliver(worker.report)

    async def start(self, epoch: int, order: StartRequest) -> StartResponse:
        """Start a task; repeating an order is harmless."""
        return await self.deliver(self.worker.start, epoch, order)

    async def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or make sure that it never starts."""
        await self.deliver(self.worker.stop, epoch, task, attempt)

    def close(self) -> None:
        """Close nothing: there are no sockets."""


@attrs.frozen
class RecordedRun:
    """What really ran, for checks."""

    task: TaskId
    attempt: int
    worker: str
    start: float
    end: float | None = None
    how: RunOutcome | None = None
    number: int = 0
    born: int = 0
    was_noted: bool = False


class MemoryCluster(WorkerDirectory):
    """Workers of the stand-in, the gangs on them, and a record of all runs."""

    def __init__(
        self,
        store: MemoryStore,
        rng: random.Random | None = None,
        lease_seconds: float = 6.0,
        stop_seconds: float = 0.4,
        gang_seconds: float = 3.0,
    ) -> None:
        self.store = store
        self.rng = rng or random.Random(0)
        self.lease_seconds = lease_seconds
        self.stop_seconds = stop_seconds
        self.gang_seconds = gang_seconds
        self.workers: dict[str, MemoryWorker] = {}
        self.steps: dict[tuple[str, int], Step] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.gangs: dict[tuple[str, int, int, int], list[tuple[MemoryWorker, HeldRun]]] = {}
        self.runs: dict[tuple[TaskId, int, str], RecordedRun] = {}
        self.seen: dict[str, int] = defaultdict(int)
        self.problems: list[str] = []
        self.cancelled_at: dict[str, float] = {}
        self.early_seconds = EARLY_SECONDS
        self.evacuated_at: dict[str, float] = {}
        self.leaving_at: dict[str, float] = {}
        self.is_carrying_out_late = False
        self.ports = itertools.count(1000)

    def add_worker(
        self,
        worker_id: str,
        data_centre: str = "dc-a",
        rack: str = "rack-1",
        capacity: Resources | None = None,
        service: str = "desk",
    ) -> MemoryWorker:
        """Add a worker and register it."""
        entry = WorkerEntry(
            id=worker_id,
            service=service,
            address=Address("127.0.0.1", next(self.ports)),
            data_centre=data_centre,
            rack=rack,
            labels=frozenset({"a", rack}),
            capacity=capacity or Resources(64000, 131072, 8),
            is_ready=True,
            born=1,
            clock=0,
        )
        worker = MemoryWorker(self, entry)
        self.workers[worker_id] = worker
        self.register(worker)
        return worker

    def register(self, worker: MemoryWorker) -> None:
        """Write a worker's entry to the store."""
        key = f"servers/{worker.entry.id}"
        self.store.apply(Transaction(puts=[Put(key, {"born": worker.entry.born})]))

    def leave(self, worker: MemoryWorker) -> None:
        """Let a worker say that it leaves."""
        worker.entry = attrs.evolve(worker.entry, is_ready=False)
        self.leaving_at[worker.entry.id] = worker.now
        self.register(worker)

    def stay(self, worker: MemoryWorker) -> None:
        """Let a worker take new work again."""
        worker.entry = attrs.evolve(worker.entry, is_ready=True)
        self.leaving_at.pop(worker.entry.id, None)
        if worker.is_up:
            self.register(worker)

    def unregister(self, worker: MemoryWorker) -> None:
        """Remove a worker's entry from the store."""
        self.store.apply(Transaction(deletes=[f"servers/{worker.entry.id}"]))

    def link(self, source: str, entry: WorkerEntry) -> MemoryLink:
        """Return one VM's link to a worker."""
        return MemoryLink(self.workers[entry.id], source)

    async def snapshot(self) -> WorkerListing:
        """Return every registered worker."""
        return self.listing(await self.store.snapshot("servers"))

    async def follow(self, after: int, wait: float) -> WorkerListing:
        """Wait for entries that changed after a version."""
        return self.listing(await self.store.follow("servers", after, wait))

    def listing(self, changes: Changes) -> WorkerListing:
        """Return the entries of changed rows."""
        names = {row.name: row.value for row in changes.rows}
        return WorkerListing(
            {
                name: None if value is None else self.workers[name].entry
                for name, value in names.items()
            },
            changes.version,
        )

    def step_of(self, task: TaskId) -> Step:
        """Return the step of a task, from the accepted jobs."""
        return decode_job_row(self.store.rows[job_key(task.job_id)]).steps[task.step]

    # Record

    def note_start(self, worker: MemoryWorker, run: HeldRun, order: StartRequest) -> None:
        """Record a start and check what must hold at any start."""
        now = worker.now
        for other in self.runs.values():
            if other.task != run.task:
                continue
            if other.end is None:
                self.problems.append(f"{now:.2f} {run.task} runs twice: {other.worker}")
            if other.how is RunOutcome.DONE and self.counts_as_done(other):
                self.problems.append(f"{now:.2f} {run.task} starts after it was done")
        cancelled_at = max(self.cancelled_at.get(run.task.job_id, now), self.store.troubled_at)
        if not self.is_carrying_out_late and now - cancelled_at > CANCEL_SECONDS:
            self.problems.append(f"{now:.2f} {run.task} starts long after its cancelling")
        job = decode_job_row(self.store.rows[job_key(run.task.job_id)])
        if job.repeats and now < job.earliest_start_at(run.task.occurrence) - self.early_seconds:
            self.problems.append(f"{now:.2f} {run.task} starts before it is due")
        self.check_leaving(worker, run, now)
        self.check_single_start(run, now)
        for number in run.step.after:
            self.check_step_done(run, number, now)
        self.runs[(run.task, run.attempt, worker.entry.id)] = RecordedRun(
            run.task, run.attempt, worker.entry.id, now
        )
        if run.step.is_gang:
            self.join_gang(worker, run)
        else:
            worker.work(run)

    def check_leaving(self, worker: MemoryWorker, run: HeldRun, now: float) -> None:
        """Check that nothing starts where no new work may go."""
        since = min(
            self.evacuated_at.get(worker.entry.data_centre, now),
            self.leaving_at.get(worker.entry.id, now),
        )
        told_at = max(since, self.store.troubled_at)
        if not self.is_carrying_out_late and now - told_at > LEAVING_SECONDS:
            self.problems.append(f"{now:.2f} {run.task} starts on {worker.entry.id}, which leaves")

    def check_single_start(self, run: HeldRun, now: float) -> None:
        """Check that a task that may be started once has not been at work before."""
        if decode_job_row(self.store.rows[job_key(run.task.job_id)]).is_repeatable:
            return
        earlier = [
            each
            for each in self.runs.values()
            if each.task == run.task and each.how is not RunOutcome.PEERS_MISSING
        ]
        if earlier:
            self.problems.append(f"{now:.2f} {run.task} starts again, though it must not")

    def counts_as_done(self, run: RecordedRun) -> bool:
        """Whether a good end was taken note of, or still can be.

        It cannot once the worker has crashed, and need not once its lease has run out.
        """
        worker = self.workers[run.worker]
        can_be_noted = worker.is_up and worker.entry.born == run.born
        return run.was_noted or (can_be_noted and worker.clock < worker.lease)

    def cancel(self, job_id: str) -> None:
        """Cancel a job as a caller does."""
        self.store.apply(Transaction(puts=[Put(cancel_key(job_id), {})]))
        self.cancelled_at[job_id] = asyncio.get_running_loop().time()

    def submit(self, job: Job) -> None:
        """Store a job as accepted."""
        self.store.apply(
            Transaction([Condition(job_key(job.id), 0)], [Put(job_key(job.id), to_plain(job))])
        )

    def check_step_done(self, run: HeldRun, number: int, now: float) -> None:
        """Check that an earlier step has ended."""
        step = decode_job_row(self.store.rows[job_key(run.task.job_id)]).steps[number]
        done = {
            each.task.index
            for each in self.runs.values()
            if each.task.job_id == run.task.job_id
            and each.task.occurrence == run.task.occurrence
            and each.task.step == number
            and each.how is RunOutcome.DONE
        }
        if not step.is_gang and len(done) < step.count or not done:
            self.problems.append(f"{now:.2f} {run.task} starts before step {number} has ended")

    def note_end(self, worker: MemoryWorker, run: HeldRun, how: RunOutcome | None) -> None:
        """Record an end; the end of a member ends its gang."""
        key = (run.task, run.attempt, worker.entry.id)
        self.runs[key] = attrs.evolve(
            self.runs[key], end=worker.now, how=how, number=worker.ends, born=worker.entry.born
        )
        if run.step.is_gang:
            gang_key = (run.task.job_id, run.task.occurrence, run.task.step, run.attempt)
            members = self.gangs.get(gang_key, [])
            rest = RunOutcome.DONE if how is RunOutcome.DONE else RunOutcome.PEER_ENDED
            for other, held in list(members):
                other.end(held, rest)

    def note_seen(self, worker: MemoryWorker, seen: int) -> None:
        """Record which ends a worker was told to forget."""
        self.seen[worker.entry.id] = max(self.seen[worker.entry.id], seen)
        for key, run in self.runs.items():
            is_here = (run.worker, run.born) == (worker.entry.id, worker.entry.born)
            if is_here and not run.was_noted and 0 < run.number <= seen:
                self.runs[key] = attrs.evolve(run, was_noted=True)

    def join_gang(self, worker: MemoryWorker, run: HeldRun) -> None:
        """Let a gang work once all of its tasks are present."""
        key = (run.task.job_id, run.task.occurrence, run.task.step, run.attempt)
        members = self.gangs.setdefault(key, [])
        members.append((worker, run))
        if len(members) == run.step.count:
            for other, held in members:
                other.work(held)
            return

        def give_up() -> None:
            if run.working_since is None:
                worker.end(run, RunOutcome.PEERS_MISSING)

        asyncio.get_running_loop().call_later(self.gang_seconds, give_up)
