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
from jaypier.jobs.worker_interface import (
    StaleEpoch,
    WorkerDirectory,
    WorkerLink,
    WorkerListing,
    WorkerUnreachable,
)
from jaypier.platform import (
    Changes,
    Condition,
    ConditionFailed,
    HistoryCompacted,
    PlatformRefused,
    PlatformUnavailable,
    Put,
    Row,
    Transaction,
    WatchableTable,
)

MAX_ROW_BYTES = 65536
"""Longest value of a row."""

MAX_TRANSACTION_ENTRIES = 100
"""Entries of one transaction: conditions, writes, removals."""

MAX_REQUEST_BYTES = 1 << 20
"""Longest call, in which values take four thirds of their length."""

STORE_LATENCY_SECONDS = 0.004
"""Time that the store takes for an answer."""

LONG_RUNNING_STARTUP_SECONDS = 0.3
"""Time after which a task that lasts is at work."""

MAX_EARLY_START_SECONDS = 0.1
"""Time by which an occurrence may start before it is due."""

CANCEL_PROPAGATION_SECONDS = 3.0
"""Time after its cancelling, or after trouble of the store, from which no task of a job may be
ordered to start. Before, the leader may not know of it; the platform's rule says the same."""

DRAIN_PROPAGATION_SECONDS = 3.0
"""Time after which no task may be ordered to start in a data centre that operators have taken out,
or on a worker that has said that it leaves, unless the store was in trouble."""

ORDER_ROUND_TRIP_SECONDS = 0.002
"""Time that an order to a worker takes there and back."""


class MemoryStore(WatchableTable):
    """Rows in memory, with a feed and with disruptions.

    :param rng: decides which answers are lost.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(0)
        self.rows: dict[str, Row] = {}
        self.history: list[Row] = []
        self.compacted_version = 0
        self.version = 0
        self.changed = asyncio.Condition()
        self.is_down = False
        self.lost_response_probability = 0.0
        self.max_commit_delay_seconds = 0.0
        self.latency_factor = 1.0
        self.call_count = 0
        self.unreachable_vms: set[str] = set()
        self.last_disrupted_at = float("-inf")

    def view(self, name: str) -> "StoreView":
        """Return the store as one VM reaches it."""
        return StoreView(self, name)

    async def simulate_call(self) -> None:
        """Take the time of a call; fail while the store is down."""
        self.call_count += 1
        if (
            self.is_down
            or self.lost_response_probability
            or self.latency_factor > 1
            or self.unreachable_vms
        ):
            self.last_disrupted_at = asyncio.get_running_loop().time()
        await asyncio.sleep(STORE_LATENCY_SECONDS * self.latency_factor)
        if self.is_down:
            raise PlatformUnavailable("store: down", effect_unknown=False)

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` when it does not exist."""
        await self.simulate_call()
        return copy.deepcopy(self.rows.get(key))

    async def scan(self, prefix: str) -> list[Row]:
        """Return every row whose key starts with ``prefix``, in key order."""
        await self.simulate_call()
        return [
            copy.deepcopy(self.rows[key]) for key in sorted(self.rows) if key.startswith(prefix)
        ]

    async def snapshot(self, table: str) -> Changes:
        """Return every row of a table, and the version from which to follow it."""
        return Changes(await self.scan(table + "/"), self.version)

    async def watch(self, table: str, after: int, wait: float) -> Changes:
        """Wait for rows of a table that changed after a version."""
        await self.simulate_call()
        if after < self.compacted_version:
            raise HistoryCompacted()

        def changed_rows() -> list[Row]:
            matching = [
                row
                for row in self.history
                if row.version > after and row.key.startswith(table + "/")
            ]
            return list({row.key: row for row in matching}.values())

        if wait > 0 and not changed_rows():
            try:
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait_for(lambda: bool(changed_rows()))
            except TimeoutError:
                pass
        if self.is_down:
            raise PlatformUnavailable("store: down", effect_unknown=False)
        if after < self.compacted_version:
            raise HistoryCompacted()
        return Changes(copy.deepcopy(changed_rows()), self.version)

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction whole and return the version of its rows."""
        await self.simulate_call()
        if self.rng.random() < self.lost_response_probability:
            if self.max_commit_delay_seconds:
                delay = self.rng.uniform(0.2, 1.0) * self.max_commit_delay_seconds
                asyncio.get_running_loop().call_later(delay, self.apply_unanswered, transaction)
            else:
                self.apply_unanswered(transaction)
            raise PlatformUnavailable("store: answer lost", effect_unknown=True)
        return self.apply(transaction)

    def apply_unanswered(self, transaction: Transaction) -> None:
        """Apply a transaction whose answer is lost, if its conditions still hold."""
        try:
            self.apply(transaction)
        except ConditionFailed:
            return

    def check_limits(self, transaction: Transaction) -> None:
        """Refuse what the platform's store does not take."""
        sizes = {put.key: len(msgspec.json.encode(put.value)) for put in transaction.puts}
        entries = len(transaction.conditions) + len(transaction.puts) + len(transaction.deletes)
        oversized_keys = [key for key, size in sizes.items() if size > MAX_ROW_BYTES]
        if (
            oversized_keys
            or entries > MAX_TRANSACTION_ENTRIES
            or sum(sizes.values()) > MAX_REQUEST_BYTES * 3 // 4
        ):
            raise PlatformRefused(f"store: {entries} entries, too long: {oversized_keys}")

    def apply(self, transaction: Transaction) -> int:
        """Apply a transaction at once."""
        self.check_limits(transaction)
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                condition_keys = [each.key for each in transaction.conditions]
                current = [
                    copy.deepcopy(self.rows[key]) for key in condition_keys if key in self.rows
                ]
                raise ConditionFailed(condition.key, current)
        self.version += 1
        for put in transaction.puts:
            row = Row(put.key, copy.deepcopy(put.value), self.version)
            self.rows[put.key] = row
            self.history.append(row)
        for key in transaction.deletes:
            if self.rows.pop(key, None) is not None:
                self.history.append(Row(key, None, self.version))
        asyncio.get_running_loop().create_task(self.notify_followers())
        return self.version

    async def notify_followers(self) -> None:
        """Wake those who follow a table."""
        async with self.changed:
            self.changed.notify_all()

    def store_time(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def compact(self) -> None:
        """Drop the history of changes."""
        self.history.clear()
        self.compacted_version = self.version


class StoreView(WatchableTable):
    """The store as one VM reaches it; a VM may be cut off while others are served.

    :param name: name of the VM.
    """

    def __init__(self, store: MemoryStore, name: str) -> None:
        self.store = store
        self.name = name

    def check_reachable(self) -> None:
        """Fail if this VM does not reach the store."""
        if self.name in self.store.unreachable_vms:
            raise PlatformUnavailable("store: out of reach", effect_unknown=False)

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` when it does not exist."""
        self.check_reachable()
        return await self.store.read(key)

    async def snapshot(self, table: str) -> Changes:
        """Return every row of a table, and the version from which to follow it."""
        self.check_reachable()
        return await self.store.snapshot(table)

    async def watch(self, table: str, after: int, wait: float) -> Changes:
        """Wait for rows of a table that changed after a version."""
        self.check_reachable()
        changes = await self.store.watch(table, after, wait)
        self.check_reachable()
        return changes

    def store_time(self) -> float:
        """Return the virtual time."""
        return self.store.store_time()

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction whole and return the version of its rows."""
        self.check_reachable()
        return await self.store.commit(transaction)


@attrs.define(eq=False)
class WorkerRun:
    """A run on a worker of the stand-in."""

    task: TaskId
    attempt: int
    step: Step
    checkpoint: str
    started_at: float
    completed_fraction: float = 0.0
    working_since: float | None = None
    end_timer: asyncio.TimerHandle | None = None


@attrs.define(eq=False)
class MemoryWorker:
    """A worker that keeps the platform's rules.

    :param clock_rate: seconds of its clock for each real second.
    :param speed: work done for each second.
    """

    cluster: "MemoryCluster"
    entry: WorkerEntry
    clock_rate: float = 1.0
    speed: float = 1.0
    clock_started_at: float = 0.0
    fencing_epoch: int = 0
    lease_deadline: int = 0
    is_partitioned: bool = False
    is_up: bool = True
    fails_all_runs: bool = False
    hangs: bool = False
    late_order_probability: float = 0.0
    active: dict[tuple[TaskId, int], WorkerRun] = attrs.field(factory=dict)
    finished: list[EndedRun] = attrs.field(factory=list)
    end_count: int = 0
    highest_attempts: dict[TaskId, int] = attrs.field(factory=lambda: defaultdict(int))
    run_ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def now(self) -> float:
        """Real time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def clock(self) -> int:
        """Its own clock in milliseconds."""
        return int((self.now - self.clock_started_at) * self.clock_rate * 1000)

    @property
    def used(self) -> Resources:
        """What runs hold."""
        return sum((run.step.demand for run in self.active.values()), Resources())

    def extend_lease(self, deadline: int) -> None:
        """Extend the lease of all that runs."""
        max_lease_millis = int(self.cluster.lease_seconds * 1000)
        self.lease_deadline = max(self.lease_deadline, min(deadline, self.clock + max_lease_millis))
        delay = (self.lease_deadline - self.clock) / 1000 / self.clock_rate
        asyncio.get_running_loop().call_later(delay + 0.001, self.enforce_lease)

    def enforce_lease(self) -> None:
        """Kill everything once the lease has run out."""
        if self.clock >= self.lease_deadline:
            for run in list(self.active.values()):
                self.end_run(run, RunOutcome.EXPIRED)

    def accept_epoch(self, epoch: int) -> None:
        """Refuse an older leader."""
        if epoch < self.fencing_epoch:
            raise StaleEpoch(f"fence is {self.fencing_epoch}")
        self.fencing_epoch = epoch

    def start(self, epoch: int, order: StartRequest) -> StartResponse:
        """Start a run."""
        if epoch < self.fencing_epoch:
            return StartResponse.DEPOSED
        self.fencing_epoch = epoch
        key = (order.task, order.attempt)
        if key in self.active:
            return StartResponse.STARTED
        if order.deadline <= self.clock:
            return StartResponse.EXPIRED
        self.extend_lease(order.deadline)
        if order.attempt <= self.highest_attempts[order.task]:
            return StartResponse.OUTDATED
        step = self.cluster.step_of(order.task)
        if step.demand.copies_within(self.entry.capacity - self.used) < 1:
            return StartResponse.NO_ROOM
        run = WorkerRun(order.task, order.attempt, step, order.checkpoint, self.now)
        run.completed_fraction = float(order.checkpoint or 0)
        self.active[key] = run
        self.cluster.record_start(self, run, order)
        return StartResponse.STARTED

    def begin_work(self, run: WorkerRun) -> None:
        """Let a run begin to work."""
        run.working_since = self.now
        if self.hangs or (run.step.lasts and not self.fails_all_runs):
            return
        remaining_seconds = run.step.estimated_seconds * (1 - run.completed_fraction) / self.speed
        outcome = RunOutcome.FAILED if self.fails_all_runs else RunOutcome.DONE
        seconds = 0.1 if self.fails_all_runs else remaining_seconds
        run.end_timer = asyncio.get_running_loop().call_later(seconds, self.end_run, run, outcome)

    def progress(self, run: WorkerRun) -> float:
        """Return the share of its work that a run has done."""
        if run.working_since is None or self.hangs or run.step.estimated_seconds <= 0:
            return run.completed_fraction
        if run.step.lasts:
            return float(self.now - run.working_since >= LONG_RUNNING_STARTUP_SECONDS)
        share = (self.now - run.working_since) * self.speed / run.step.estimated_seconds
        return min(1.0, run.completed_fraction + share)

    def latest_checkpoint(self, run: WorkerRun) -> str:
        """Return the newest checkpoint of a run."""
        return f"{self.progress(run):.3f}" if run.step.saves else ""

    def end_run(self, run: WorkerRun, outcome: RunOutcome) -> None:
        """End a run and list its end."""
        key = (run.task, run.attempt)
        if self.active.get(key) is not run:
            return
        checkpoint = self.latest_checkpoint(run)
        del self.active[key]
        if run.end_timer is not None:
            run.end_timer.cancel()
        self.highest_attempts[run.task] = max(self.highest_attempts[run.task], run.attempt)
        self.end_count += 1
        self.finished.append(EndedRun(self.end_count, run.task, run.attempt, outcome, checkpoint))
        self.run_ended.set()
        self.cluster.record_end(self, run, outcome)

    def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or make sure that it never starts."""
        self.accept_epoch(epoch)
        self.highest_attempts[task] = max(self.highest_attempts[task], attempt)
        run = self.active.get((task, attempt))
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.cluster.stop_delay_seconds, self.end_run, run, RunOutcome.STOPPED)

    def report(self) -> WorkerReport:
        """Return both lists."""
        active = tuple(
            ActiveRun(run.task, run.attempt, self.latest_checkpoint(run), 100 * self.progress(run))
            for run in self.active.values()
        )
        return WorkerReport(self.entry.born, self.clock, active, tuple(self.finished[:500]))

    def crash(self) -> None:
        """Lose everything at once."""
        lost = list(self.active.values())
        self.active.clear()
        for run in lost:
            if run.end_timer is not None:
                run.end_timer.cancel()
            self.cluster.record_end(self, run, None)
        self.is_up = False

    def restart(self) -> None:
        """Start again under the same identity, knowing nothing."""
        self.entry = attrs.evolve(self.entry, born=self.entry.born + int(1000 * self.now) + 1)
        self.clock_started_at = self.now
        self.fencing_epoch = self.lease_deadline = self.end_count = 0
        self.finished.clear()
        self.highest_attempts.clear()
        self.is_up = True
        self.cluster.register(self)


class MemoryLink(WorkerLink):
    """One VM's orders to a worker."""

    def __init__(self, worker: MemoryWorker, vm: str) -> None:
        self.worker = worker
        self.vm = vm

    @property
    def is_reachable(self) -> bool:
        """Whether the worker hears this VM."""
        worker = self.worker
        is_cut_off = (self.vm, worker.entry.id) in worker.cluster.cut_links
        return worker.is_up and not worker.is_partitioned and not is_cut_off

    async def call_worker(self, operation, *arguments):
        """Carry an order there and its answer back."""
        await asyncio.sleep(ORDER_ROUND_TRIP_SECONDS / 2)
        if not self.is_reachable:
            await asyncio.sleep(0.4)
            raise WorkerUnreachable("no answer")
        if self.worker.cluster.rng.random() < self.worker.late_order_probability:
            delay = self.worker.cluster.rng.uniform(2.0, 12.0)
            asyncio.get_running_loop().call_later(
                delay, self.execute_late, self.worker.entry.born, operation, arguments
            )
            await asyncio.sleep(0.4)
            raise WorkerUnreachable("no answer")
        result = operation(*arguments)
        await asyncio.sleep(ORDER_ROUND_TRIP_SECONDS / 2)
        if not self.is_reachable:
            raise WorkerUnreachable("answer lost")
        return result

    def execute_late(self, born: int, operation, arguments) -> None:
        """Carry out an order that was not answered, unless its worker has started again."""
        if not self.worker.is_up or self.worker.entry.born != born:
            return
        self.worker.cluster.is_executing_late_order = True
        try:
            operation(*arguments)
        except StaleEpoch:
            return
        finally:
            self.worker.cluster.is_executing_late_order = False

    async def renew(
        self, epoch: int, acknowledged: int, deadline: int | None, wait: float
    ) -> WorkerReport:
        """Renew the lease of all that runs, and learn what runs and what has ended."""
        worker = self.worker

        def apply_renewal() -> None:
            worker.accept_epoch(epoch)
            worker.finished = [end for end in worker.finished if end.sequence_number > acknowledged]
            worker.cluster.record_acknowledgement(worker, acknowledged)
            if deadline is not None:
                worker.extend_lease(deadline)

        await self.call_worker(apply_renewal)
        if wait > 0 and not worker.finished:
            worker.run_ended.clear()
            try:
                async with asyncio.timeout(wait):
                    await worker.run_ended.wait()
            except TimeoutError:
                pass
        return await self.call_worker(worker.report)

    async def start(self, epoch: int, order: StartRequest) -> StartResponse:
        """Start a task; repeating an order is harmless."""
        return await self.call_worker(self.worker.start, epoch, order)

    async def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or make sure that it never starts."""
        await self.call_worker(self.worker.stop, epoch, task, attempt)

    def close(self) -> None:
        """Close nothing: there are no sockets."""


@attrs.frozen
class RecordedRun:
    """What really ran, for checks."""

    task: TaskId
    attempt: int
    worker: str
    started_at: float
    ended_at: float | None = None
    outcome: RunOutcome | None = None
    end_number: int = 0
    born: int = 0
    is_acknowledged: bool = False


class MemoryCluster(WorkerDirectory):
    """Workers of the stand-in, the gangs on them, and a record of all runs."""

    def __init__(
        self,
        store: MemoryStore,
        rng: random.Random | None = None,
        lease_seconds: float = 6.0,
        stop_delay_seconds: float = 0.4,
        gang_timeout_seconds: float = 3.0,
    ) -> None:
        self.store = store
        self.rng = rng or random.Random(0)
        self.lease_seconds = lease_seconds
        self.stop_delay_seconds = stop_delay_seconds
        self.gang_timeout_seconds = gang_timeout_seconds
        self.workers: dict[str, MemoryWorker] = {}
        self.steps: dict[tuple[str, int], Step] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.gangs: dict[tuple[str, int, int, int], list[tuple[MemoryWorker, WorkerRun]]] = {}
        self.runs: dict[tuple[TaskId, int, str], RecordedRun] = {}
        self.acknowledged_ends: dict[str, int] = defaultdict(int)
        self.violations: list[str] = []
        self.cancelled_at: dict[str, float] = {}
        self.max_early_start_seconds = MAX_EARLY_START_SECONDS
        self.evacuated_at: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}
        self.is_executing_late_order = False
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

    def begin_draining(self, worker: MemoryWorker) -> None:
        """Let a worker say that it leaves."""
        worker.entry = attrs.evolve(worker.entry, is_ready=False)
        self.draining_since[worker.entry.id] = worker.now
        self.register(worker)

    def end_draining(self, worker: MemoryWorker) -> None:
        """Let a worker take new work again."""
        worker.entry = attrs.evolve(worker.entry, is_ready=True)
        self.draining_since.pop(worker.entry.id, None)
        if worker.is_up:
            self.register(worker)

    def unregister(self, worker: MemoryWorker) -> None:
        """Remove a worker's entry from the store."""
        self.store.apply(Transaction(deletes=[f"servers/{worker.entry.id}"]))

    def link(self, vm: str, entry: WorkerEntry) -> MemoryLink:
        """Return one VM's link to a worker."""
        return MemoryLink(self.workers[entry.id], vm)

    async def snapshot(self) -> WorkerListing:
        """Return every registered worker."""
        return self.build_listing(await self.store.snapshot("servers"))

    async def watch(self, after: int, wait: float) -> WorkerListing:
        """Wait for entries that changed after a version."""
        return self.build_listing(await self.store.watch("servers", after, wait))

    def build_listing(self, changes: Changes) -> WorkerListing:
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

    def record_start(self, worker: MemoryWorker, run: WorkerRun, order: StartRequest) -> None:
        """Record a start and check what must hold at any start."""
        now = worker.now
        for other in self.runs.values():
            if other.task != run.task:
                continue
            if other.ended_at is None:
                self.violations.append(f"{now:.2f} {run.task} runs twice: {other.worker}")
            if other.outcome is RunOutcome.DONE and self.counts_as_done(other):
                self.violations.append(f"{now:.2f} {run.task} starts after it was done")
        cancelled_at = max(
            self.cancelled_at.get(run.task.job_id, now), self.store.last_disrupted_at
        )
        if not self.is_executing_late_order and now - cancelled_at > CANCEL_PROPAGATION_SECONDS:
            self.violations.append(f"{now:.2f} {run.task} starts long after its cancelling")
        job = decode_job_row(self.store.rows[job_key(run.task.job_id)])
        if (
            job.repeats
            and now < job.earliest_start_at(run.task.occurrence) - self.max_early_start_seconds
        ):
            self.violations.append(f"{now:.2f} {run.task} starts before it is due")
        self.check_not_draining(worker, run, now)
        self.check_single_start(run, now)
        for number in run.step.after:
            self.check_dependency(run, number, now)
        self.runs[(run.task, run.attempt, worker.entry.id)] = RecordedRun(
            run.task, run.attempt, worker.entry.id, now
        )
        if run.step.is_gang:
            self.join_gang(worker, run)
        else:
            worker.begin_work(run)

    def check_not_draining(self, worker: MemoryWorker, run: WorkerRun, now: float) -> None:
        """Check that nothing starts where no new work may go."""
        draining_at = min(
            self.evacuated_at.get(worker.entry.data_centre, now),
            self.draining_since.get(worker.entry.id, now),
        )
        known_at = max(draining_at, self.store.last_disrupted_at)
        if not self.is_executing_late_order and now - known_at > DRAIN_PROPAGATION_SECONDS:
            self.violations.append(
                f"{now:.2f} {run.task} starts on {worker.entry.id}, which leaves"
            )

    def check_single_start(self, run: WorkerRun, now: float) -> None:
        """Check that a task that may be started once has not been at work before."""
        if decode_job_row(self.store.rows[job_key(run.task.job_id)]).is_repeatable:
            return
        earlier = [
            each
            for each in self.runs.values()
            if each.task == run.task and each.outcome is not RunOutcome.PEERS_MISSING
        ]
        if earlier:
            self.violations.append(f"{now:.2f} {run.task} starts again, though it must not")

    def counts_as_done(self, run: RecordedRun) -> bool:
        """Whether a good end was taken note of, or still can be.

        It cannot once the worker has crashed, and need not once its lease has run out.
        """
        worker = self.workers[run.worker]
        can_be_acknowledged = worker.is_up and worker.entry.born == run.born
        return run.is_acknowledged or (can_be_acknowledged and worker.clock < worker.lease_deadline)

    def cancel(self, job_id: str) -> None:
        """Cancel a job as a caller does."""
        self.store.apply(Transaction(puts=[Put(cancel_key(job_id), {})]))
        self.cancelled_at[job_id] = asyncio.get_running_loop().time()

    def submit(self, job: Job) -> None:
        """Store a job as accepted."""
        self.store.apply(
            Transaction([Condition(job_key(job.id), 0)], [Put(job_key(job.id), to_plain(job))])
        )

    def check_dependency(self, run: WorkerRun, number: int, now: float) -> None:
        """Check that an earlier step has ended."""
        step = decode_job_row(self.store.rows[job_key(run.task.job_id)]).steps[number]
        completed_indices = {
            each.task.index
            for each in self.runs.values()
            if each.task.job_id == run.task.job_id
            and each.task.occurrence == run.task.occurrence
            and each.task.step == number
            and each.outcome is RunOutcome.DONE
        }
        if not step.is_gang and len(completed_indices) < step.count or not completed_indices:
            self.violations.append(f"{now:.2f} {run.task} starts before step {number} has ended")

    def record_end(self, worker: MemoryWorker, run: WorkerRun, outcome: RunOutcome | None) -> None:
        """Record an end; the end of a member ends its gang."""
        key = (run.task, run.attempt, worker.entry.id)
        self.runs[key] = attrs.evolve(
            self.runs[key],
            ended_at=worker.now,
            outcome=outcome,
            end_number=worker.end_count,
            born=worker.entry.born,
        )
        if run.step.is_gang:
            gang_key = (run.task.job_id, run.task.occurrence, run.task.step, run.attempt)
            members = self.gangs.get(gang_key, [])
            peer_outcome = RunOutcome.DONE if outcome is RunOutcome.DONE else RunOutcome.PEER_ENDED
            for member_worker, member_run in list(members):
                member_worker.end_run(member_run, peer_outcome)

    def record_acknowledgement(self, worker: MemoryWorker, last_acknowledged: int) -> None:
        """Record which ends a worker was told to forget."""
        self.acknowledged_ends[worker.entry.id] = max(
            self.acknowledged_ends[worker.entry.id], last_acknowledged
        )
        for key, run in self.runs.items():
            is_same_incarnation = (run.worker, run.born) == (worker.entry.id, worker.entry.born)
            if (
                is_same_incarnation
                and not run.is_acknowledged
                and 0 < run.end_number <= last_acknowledged
            ):
                self.runs[key] = attrs.evolve(run, is_acknowledged=True)

    def join_gang(self, worker: MemoryWorker, run: WorkerRun) -> None:
        """Let a gang work once all of its tasks are present."""
        gang_key = (run.task.job_id, run.task.occurrence, run.task.step, run.attempt)
        members = self.gangs.setdefault(gang_key, [])
        members.append((worker, run))
        if len(members) == run.step.count:
            for member_worker, member_run in members:
                member_worker.begin_work(member_run)
            return

        def abandon_gang() -> None:
            if run.working_since is None:
                worker.end_run(run, RunOutcome.PEERS_MISSING)

        asyncio.get_running_loop().call_later(self.gang_timeout_seconds, abandon_gang)
