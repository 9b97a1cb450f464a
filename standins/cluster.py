"""In-memory simulation of the platform in virtual time: store, workers and a record of all runs.

It implements the abstract interfaces instead of the platform's network protocol, so that
scheduling can be tested without sockets. The behaviour follows the platform's specification:
conditional transactions, a change feed, fencing by epoch, leases on the worker's own clock, gangs
whose tasks start to work together, checkpoints, and ended runs that are reported until they are
acknowledged.
"""

import asyncio
import copy
import itertools
import random
from collections import Counter, defaultdict

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
from jaypier.jobs.rows import (
    cancel_key,
    decode_job_row,
    decode_worker_record,
    job_key,
    worker_key,
)
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
from standins.crashes import CrashingTasks

MAX_ROW_BYTES = 65536
"""Maximum size of a row's value."""

MAX_TRANSACTION_ENTRIES = 100
"""Maximum number of conditions, writes and deletions in one transaction."""

MAX_REQUEST_BYTES = 1 << 20
"""Maximum size of a request; base64 enlarges the values in it by a factor of 4/3."""

STORE_LATENCY_SECONDS = 0.004
"""Latency of a store call without disruption."""

LONG_RUNNING_STARTUP_SECONDS = 0.3
"""Startup time of a long-running task, after which its progress is 100 %."""

MAX_EARLY_START_SECONDS = 0.1
"""Tolerance for an occurrence of a job that starts before it is due."""

CANCEL_PROPAGATION_SECONDS = 3.0
"""Time after which no task of a cancelled job may be requested to start.

It counts from the cancellation or from the last store disruption, whichever is later: until then
the leader may not know of the cancellation. The platform's specification has the same limit.
"""

DRAIN_PROPAGATION_SECONDS = 3.0
"""Time after which no task may be requested to start on a draining worker or in a data centre that
operators have taken out of service. It counts from the last store disruption if that is later."""

HEARTBEAT_SECONDS = 1.5
"""Time between two updates of a worker's entry: a change of capacity is announced after this time
at the latest."""

CAPACITY_PROPAGATION_SECONDS = 3.0 + HEARTBEAT_SECONDS
"""Time after which a reduced capacity limits what may start on a worker. The platform's
specification has the same limit, also while the store is down."""

MAX_REQUEST_DELAY_SECONDS = 12.0
"""Longest time after which a request that has timed out is executed."""

WORKER_REQUEST_ROUND_TRIP_SECONDS = 0.002
"""Round-trip time of a request to a worker."""

REQUEST_TIMEOUT_SECONDS = 0.4
"""Time after which a request to a worker without a response times out."""


LIMIT_PROPAGATION_SECONDS = 3.0
"""Time after which a lowered limit of a team holds for all starts. The platform's specification has
the same limit."""


class MemoryStore(WatchableTable):
    """In-memory store with a change feed and configurable disruptions.

    :param rng: decides which responses are lost and how late their transactions are applied.
    :ivar history: changed rows since the last compaction, in the order of their versions.
    :ivar compacted_version: version up to which the history has been dropped.
    :ivar is_down: whether all calls fail.
    :ivar is_silent: whether watches return no changes, as just before the history is compacted.
    :ivar lost_response_probability: probability that the response to a commit is lost. Its
        transaction is still applied if its conditions hold.
    :ivar max_commit_delay_seconds: maximum delay of a transaction whose response is lost; 0 applies
        it at once.
    :ivar latency_factor: factor by which calls take longer than usual.
    :ivar snapshot_seconds: time that a table takes over the links of the VMs.
    :ivar unreachable_vms: names of VMs that cannot reach the store.
    :ivar last_disrupted_at: time of the last call during a disruption, in seconds.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(0)
        self.rows: dict[str, Row] = {}
        self.history: list[Row] = []
        self.compacted_version = 0
        self.version = 0
        self.changed = asyncio.Condition()
        self.is_down = False
        self.is_silent = False
        self.lost_response_probability = 0.0
        self.max_commit_delay_seconds = 0.0
        self.latency_factor = 1.0
        self.snapshot_seconds = 0.0
        self.call_count = 0
        self.unreachable_vms: set[str] = set()
        self.last_disrupted_at = float("-inf")

    def view(self, name: str) -> "StoreView":
        """Return the store as seen by one VM."""
        return StoreView(self, name)

    async def simulate_call(self) -> None:
        """Wait for the latency of a call.

        :raises PlatformUnavailable: if the store is down.
        """
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
        """Return a row, or ``None`` if it does not exist."""
        await self.simulate_call()
        return copy.deepcopy(self.rows.get(key))

    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows whose keys start with ``prefix``, in key order."""
        await self.simulate_call()
        return [
            copy.deepcopy(self.rows[key]) for key in sorted(self.rows) if key.startswith(prefix)
        ]

    async def snapshot(self, table: str) -> Changes:
        """Return all rows of a table, and the version from which to watch it."""
        changes = Changes(await self.scan(table + "/"), self.version)
        await asyncio.sleep(self.snapshot_seconds)
        return changes

    async def watch(self, table: str, after: int, wait: float) -> Changes:
        """Return the rows of a table that changed after a version, waiting for a change."""
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

        if wait > 0 and (self.is_silent or not changed_rows()):
            try:
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait_for(lambda: not self.is_silent and bool(changed_rows()))
            except TimeoutError:
                pass
        if self.is_down:
            raise PlatformUnavailable("store: down", effect_unknown=False)
        if after < self.compacted_version:
            raise HistoryCompacted()
        if self.is_silent:
            return Changes([], after)
        return Changes(copy.deepcopy(changed_rows()), self.version)

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction atomically and return the version of its rows."""
        await self.simulate_call()
        if self.rng.random() < self.lost_response_probability:
            if self.max_commit_delay_seconds:
                delay = self.rng.uniform(0.2, 1.0) * self.max_commit_delay_seconds
                asyncio.get_running_loop().call_later(delay, self.apply_unanswered, transaction)
            else:
                self.apply_unanswered(transaction)
            raise PlatformUnavailable("store: response lost", effect_unknown=True)
        return self.apply(transaction)

    def apply_unanswered(self, transaction: Transaction) -> None:
        """Apply a transaction whose response is lost, if its conditions hold by then."""
        try:
            self.apply(transaction)
        except ConditionFailed:
            return

    def check_limits(self, transaction: Transaction) -> None:
        """Check a transaction against the size limits of the platform's store.

        :raises PlatformRefused: if it exceeds one of them.
        """
        sizes = {put.key: len(msgspec.json.encode(put.value)) for put in transaction.puts}
        entries = len(transaction.conditions) + len(transaction.puts) + len(transaction.deletes)
        oversized_keys = [key for key, size in sizes.items() if size > MAX_ROW_BYTES]
        if (
            oversized_keys
            or entries > MAX_TRANSACTION_ENTRIES
            or sum(sizes.values()) > MAX_REQUEST_BYTES * 3 // 4
        ):
            raise PlatformRefused(
                f"store: transaction of {entries} entries (at most {MAX_TRANSACTION_ENTRIES}) and "
                f"{sum(sizes.values())} bytes (at most {MAX_REQUEST_BYTES * 3 // 4}), with rows "
                f"over {MAX_ROW_BYTES} bytes: {oversized_keys}"
            )

    def apply(self, transaction: Transaction) -> int:
        """Apply a transaction without latency or disruptions.

        :returns: version of the rows that were written.
        :raises ConditionFailed: if a condition does not hold; nothing is applied.
        :raises PlatformRefused: if the transaction is too large.
        """
        self.check_limits(transaction)
        return self.apply_from_operator(transaction)

    def apply_from_operator(self, transaction: Transaction) -> int:
        """Apply a transaction of the operators, whose rows may exceed ``MAX_ROW_BYTES``.

        :returns: version of the rows that were written.
        :raises ConditionFailed: if a condition does not hold; nothing is applied.
        """
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
        asyncio.get_running_loop().create_task(self.notify_watchers())
        return self.version

    async def notify_watchers(self) -> None:
        """Wake all pending ``watch`` calls."""
        async with self.changed:
            self.changed.notify_all()

    def store_time(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def compact(self) -> None:
        """Drop the change history; changes after older versions can no longer be watched."""
        self.history.clear()
        self.compacted_version = self.version


class StoreView(WatchableTable):
    """The store as seen by one VM, which may be unreachable for this VM alone.

    :param name: name of the VM.
    """

    def __init__(self, store: MemoryStore, name: str) -> None:
        self.store = store
        self.name = name

    def check_reachable(self) -> None:
        """Check the connection of this VM to the store.

        :raises PlatformUnavailable: if this VM cannot reach the store.
        """
        if self.name in self.store.unreachable_vms:
            raise PlatformUnavailable(f"store: unreachable from {self.name}", effect_unknown=False)

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        self.check_reachable()
        return await self.store.read(key)

    async def snapshot(self, table: str) -> Changes:
        """Return all rows of a table, and the version from which to watch it."""
        self.check_reachable()
        return await self.store.snapshot(table)

    async def watch(self, table: str, after: int, wait: float) -> Changes:
        """Return the rows of a table that changed after a version, waiting for a change."""
        self.check_reachable()
        changes = await self.store.watch(table, after, wait)
        self.check_reachable()
        return changes

    def store_time(self) -> float:
        """Return the virtual time in seconds."""
        return self.store.store_time()

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction atomically and return the version of its rows."""
        self.check_reachable()
        return await self.store.commit(transaction)


class DirectoryView(WorkerDirectory):
    """The workers' listing as read by one VM, which needs its own path to the store.

    :param name: name of the VM.
    """

    def __init__(self, cluster: "MemoryCluster", name: str) -> None:
        self.cluster = cluster
        self.table = cluster.store.view(name)

    async def snapshot(self) -> WorkerListing:
        """Return all registered workers."""
        return self.cluster.build_listing(await self.table.snapshot("servers"))

    async def watch(self, after: int, wait: float) -> WorkerListing:
        """Return the entries that changed after a version, waiting for a change."""
        return self.cluster.build_listing(await self.table.watch("servers", after, wait))


def is_within(amount: Resources, capacity: Resources) -> bool:
    """Whether no resource of an amount exceeds a capacity."""
    return all(
        used <= available
        for used, available in zip(attrs.astuple(amount), attrs.astuple(capacity), strict=True)
    )


def is_within_limit(amount: Resources, limit: Resources) -> bool:
    """Whether no resource of an amount exceeds a limit, in which 0 stands for none."""
    pairs = zip(attrs.astuple(amount), attrs.astuple(limit), strict=True)
    return all(used <= bound or bound == 0 for used, bound in pairs)


@attrs.define(eq=False)
class WorkerRun:
    """An active run on a simulated worker.

    :param started_at: time at which the worker accepted the run, in seconds.
    :param completed_fraction: fraction of the work that earlier attempts have checkpointed, 0 to 1.
    :param working_since: time at which the run began to work; ``None`` while a gang is incomplete.
    :param end_timer: timer that ends the run.
    """

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
    """A simulated worker that follows the platform's specification.

    :param clock_rate: seconds of the worker's clock per second of virtual time.
    :param speed: seconds of estimated work done per second.
    :param clock_started_at: virtual time at which the worker's clock was 0, in seconds.
    :param fencing_epoch: highest leader epoch accepted; requests with a lower epoch are refused.
    :param lease_deadline: worker clock in milliseconds at which the lease expires.
    :param is_partitioned: whether no VM can reach the worker.
    :param is_up: whether the worker is running.
    :param fails_all_runs: whether every run fails after 0.1 s.
    :param hangs: whether runs make no progress and never end by themselves.
    :param refuses_when_cut_off: whether connections to it are refused at once while it is cut off,
        instead of being left without an answer.
    :param late_request_probability: probability that a request times out and is executed later.
    :param guards_capacity: whether starts that do not fit are refused. A worker that does not guard
        its capacity starts whatever it is told to.
    :param report_count: number of reports that were requested.
    :param earlier_capacities: capacities before the current one, each with the virtual time in
        seconds at which it changed.
    :param active: active runs by task and attempt.
    :param finished: ended runs that the leader has not acknowledged yet.
    :param end_count: number of runs that have ended; the last number in ``finished``.
    :param highest_attempts: highest attempt of each task that has ended or been stopped.
    :param run_ended: set whenever a run ends.
    :param pending_starts: runs whose start request has timed out and is still to be executed.
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
    refuses_when_cut_off: bool = False
    late_request_probability: float = 0.0
    guards_capacity: bool = True
    report_count: int = 0
    earlier_capacities: list[tuple[float, Resources]] = attrs.field(factory=list)
    active: dict[tuple[TaskId, int], WorkerRun] = attrs.field(factory=dict)
    finished: list[EndedRun] = attrs.field(factory=list)
    end_count: int = 0
    highest_attempts: dict[TaskId, int] = attrs.field(factory=lambda: defaultdict(int))
    run_ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    pending_starts: Counter[tuple[TaskId, int]] = attrs.field(factory=Counter)

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def clock(self) -> int:
        """The worker's clock in milliseconds."""
        return int((self.now - self.clock_started_at) * self.clock_rate * 1000)

    @property
    def used(self) -> Resources:
        """Resources allocated to active runs."""
        return sum((run.step.reserved for run in self.active.values()), Resources())

    def change_capacity(self, capacity: Resources) -> None:
        """Change the capacity while the worker runs, and announce it with the next heartbeat."""
        self.earlier_capacities.append((self.now, self.entry.capacity))
        self.entry = attrs.evolve(self.entry, capacity=capacity)
        asyncio.get_running_loop().call_later(HEARTBEAT_SECONDS, self.announce)

    def announce(self) -> None:
        """Write the entry, with the next heartbeat if the store is down."""
        if self.cluster.store.is_down:
            asyncio.get_running_loop().call_later(HEARTBEAT_SECONDS, self.announce)
        elif self.is_up:
            self.cluster.register(self)

    def capacities_since(self, since: float) -> list[Resources]:
        """Return the capacities that were in force at or after a virtual time in seconds."""
        earlier = [capacity for until, capacity in self.earlier_capacities if until >= since]
        return [*earlier, self.entry.capacity]

    def extend_lease(self, deadline: int) -> None:
        """Extend the lease that all active runs share.

        :param deadline: worker clock in milliseconds; limited to the maximum lease from now.
        """
        max_lease_millis = int(self.cluster.lease_seconds * 1000)
        self.lease_deadline = max(self.lease_deadline, min(deadline, self.clock + max_lease_millis))
        delay = (self.lease_deadline - self.clock) / 1000 / self.clock_rate
        asyncio.get_running_loop().call_later(delay + 0.001, self.enforce_lease)

    def enforce_lease(self) -> None:
        """End all active runs if the lease has expired."""
        if self.clock >= self.lease_deadline:
            for run in list(self.active.values()):
                self.end_run(run, RunOutcome.EXPIRED)

    def accept_epoch(self, epoch: int) -> None:
        """Record the epoch of a request.

        :raises StaleEpoch: if the worker has accepted a newer epoch.
        """
        if epoch < self.fencing_epoch:
            raise StaleEpoch(f"epoch {epoch} is older than fencing epoch {self.fencing_epoch}")
        self.fencing_epoch = epoch

    def start(self, epoch: int, start_request: StartRequest) -> StartResponse:
        """Start a run, or return the reason for refusing it; idempotent for an active run."""
        if epoch < self.fencing_epoch:
            return StartResponse.DEPOSED
        self.fencing_epoch = epoch
        key = (start_request.task, start_request.attempt)
        if key in self.active:
            return StartResponse.STARTED
        if start_request.deadline <= self.clock:
            return StartResponse.EXPIRED
        self.extend_lease(start_request.deadline)
        if start_request.attempt <= self.highest_attempts[start_request.task]:
            return StartResponse.OUTDATED
        step = self.cluster.step_of(start_request.task)
        needed = self.used + step.reserved
        if self.guards_capacity and not is_within(needed, self.entry.capacity):
            return StartResponse.NO_ROOM
        run = WorkerRun(
            start_request.task, start_request.attempt, step, start_request.checkpoint, self.now
        )
        run.completed_fraction = float(start_request.checkpoint or 0)
        self.active[key] = run
        self.cluster.record_start(self, run, start_request)
        return StartResponse.STARTED

    def answer_beside_pending_start(
        self, epoch: int, start_request: StartRequest
    ) -> StartResponse | None:
        """Return the answer to a start request while an earlier one for the run is under way.

        ``None`` if there is no earlier one, or this one is to be executed. An answer that shows the
        run to be outdated, or the worker to have no room, extends the lease nevertheless.
        """
        answers = self.cluster.answers_beside_pending_start
        if not answers or not self.pending_starts[(start_request.task, start_request.attempt)]:
            return None
        answer = answers[0] if len(answers) == 1 else self.cluster.rng.choice(answers)
        if (
            answer in (StartResponse.OUTDATED, StartResponse.NO_ROOM)
            and epoch >= self.fencing_epoch
        ):
            self.fencing_epoch = epoch
            self.extend_lease(start_request.deadline)
        return answer

    def begin_work(self, run: WorkerRun) -> None:
        """Begin the work of a run and schedule its end, unless it is long-running or hangs."""
        run.working_since = self.now
        if self.hangs or (run.step.lasts and not self.fails_all_runs):
            return
        remaining_seconds = run.step.estimated_seconds * (1 - run.completed_fraction) / self.speed
        outcome = RunOutcome.FAILED if self.fails_all_runs else RunOutcome.DONE
        seconds = 0.1 if self.fails_all_runs else remaining_seconds
        run.end_timer = asyncio.get_running_loop().call_later(seconds, self.end_run, run, outcome)

    def progress(self, run: WorkerRun) -> float:
        """Return the fraction of its work that a run has completed, 0 to 1."""
        if run.working_since is None or self.hangs or run.step.estimated_seconds <= 0:
            return run.completed_fraction
        if run.step.lasts:
            return float(self.now - run.working_since >= LONG_RUNNING_STARTUP_SECONDS)
        share = (self.now - run.working_since) * self.speed / run.step.estimated_seconds
        return min(1.0, run.completed_fraction + share)

    def latest_checkpoint(self, run: WorkerRun) -> str:
        """Return the latest checkpoint of a run, empty if its step does not write checkpoints."""
        return f"{self.progress(run):.3f}" if run.step.saves else ""

    def end_run(self, run: WorkerRun, outcome: RunOutcome) -> None:
        """End an active run and add it to ``finished``."""
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
        """Stop a run, or prevent it from being started later."""
        self.accept_epoch(epoch)
        self.highest_attempts[task] = max(self.highest_attempts[task], attempt)
        run = self.active.get((task, attempt))
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.cluster.stop_delay_seconds, self.end_run, run, RunOutcome.STOPPED)

    def report(self) -> WorkerReport:
        """Return the active and the ended runs, at most 500 ended ones."""
        self.report_count += 1
        active = tuple(
            ActiveRun(run.task, run.attempt, self.latest_checkpoint(run), 100 * self.progress(run))
            for run in self.active.values()
        )
        return WorkerReport(self.entry.born, self.clock, active, tuple(self.finished[:500]))

    def crash(self) -> None:
        """Stop the worker abruptly; its active runs are lost without being reported."""
        lost = list(self.active.values())
        self.active.clear()
        self.cluster.crashing.observe_crash(self, lost)
        for run in lost:
            if run.end_timer is not None:
                run.end_timer.cancel()
            self.cluster.record_end(self, run, None)
        self.is_up = False

    def restart(self) -> None:
        """Restart the worker under the same id and without its previous state."""
        self.entry = attrs.evolve(self.entry, born=self.entry.born + int(1000 * self.now) + 1)
        self.clock_started_at = self.now
        self.fencing_epoch = self.lease_deadline = self.end_count = 0
        self.finished.clear()
        self.highest_attempts.clear()
        self.pending_starts.clear()
        self.is_up = True
        self.cluster.register(self)


class MemoryLink(WorkerLink):
    """Link from one VM to a worker.

    :param vm: name of the VM.
    """

    def __init__(self, worker: MemoryWorker, vm: str) -> None:
        self.worker = worker
        self.vm = vm

    @property
    def is_connected(self) -> bool:
        """Whether the worker's machine can be reached from this VM."""
        worker = self.worker
        is_cut_off = (self.vm, worker.entry.id) in worker.cluster.cut_links
        return not worker.is_partitioned and not is_cut_off

    @property
    def is_reachable(self) -> bool:
        """Whether the worker is up and can be reached from this VM."""
        return self.worker.is_up and self.is_connected

    async def call_worker(self, operation, *arguments):
        """Call an operation of the worker over the simulated network.

        :raises WorkerUnreachable: if the worker or its response is lost, or the request times out;
            a request that times out is executed after 2 to 12 s.
        """
        await asyncio.sleep(WORKER_REQUEST_ROUND_TRIP_SECONDS / 2)
        if not self.is_reachable:
            if self.worker.refuses_when_cut_off and not self.is_connected:
                raise WorkerUnreachable("connection refused", was_sent=False)
            await asyncio.sleep(REQUEST_TIMEOUT_SECONDS)
            raise WorkerUnreachable("no response in time")
        if self.worker.cluster.rng.random() < self.worker.late_request_probability:
            delay = self.worker.cluster.rng.uniform(2.0, MAX_REQUEST_DELAY_SECONDS)
            await self.delay_request(delay, operation, arguments)
        result = operation(*arguments)
        await asyncio.sleep(WORKER_REQUEST_ROUND_TRIP_SECONDS / 2)
        if not self.is_reachable:
            raise WorkerUnreachable("response lost")
        return result

    async def delay_request(self, seconds: float, operation, arguments) -> None:
        """Let a request time out, and have it executed after ``seconds``.

        :raises WorkerUnreachable: always.
        """
        if operation == self.worker.start:
            self.worker.pending_starts[(arguments[1].task, arguments[1].attempt)] += 1
        asyncio.get_running_loop().call_later(
            seconds, self.execute_late, self.worker.entry.born, operation, arguments
        )
        await asyncio.sleep(REQUEST_TIMEOUT_SECONDS)
        raise WorkerUnreachable("no response in time")

    def execute_late(self, born: int, operation, arguments) -> None:
        """Execute a request that has timed out, unless the worker is down or has restarted since.

        After a restart, the next process executes it if ``reaches_next_process`` is set.
        """
        is_same_process = self.worker.entry.born == born
        is_lost = not is_same_process and not self.worker.cluster.reaches_next_process
        if not self.worker.is_up or is_lost:
            return
        if operation == self.worker.start and is_same_process:
            self.worker.pending_starts[(arguments[1].task, arguments[1].attempt)] -= 1
        self.worker.cluster.is_executing_late_request = True
        try:
            operation(*arguments)
        except StaleEpoch:
            return
        finally:
            self.worker.cluster.is_executing_late_request = False

    async def renew(
        self, epoch: int, acknowledged: int, deadline: int | None, wait: float
    ) -> WorkerReport:
        """Renew the lease, acknowledge ended runs and return the active and the ended runs."""
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

    async def start(self, epoch: int, start_request: StartRequest) -> StartResponse:
        """Start a task; repeating a request has no effect."""
        cluster = self.worker.cluster
        if cluster.delayed_starts > 0:
            cluster.delayed_starts -= 1
            await self.delay_request(
                cluster.delay_seconds, self.worker.start, (epoch, start_request)
            )
        if cluster.lost_start_responses > 0:
            cluster.lost_start_responses -= 1
            await self.call_worker(self.worker.start, epoch, start_request)
            await asyncio.sleep(REQUEST_TIMEOUT_SECONDS)
            raise WorkerUnreachable("response lost")
        answer = self.worker.answer_beside_pending_start(epoch, start_request)
        if answer is not None and self.is_reachable:
            await asyncio.sleep(WORKER_REQUEST_ROUND_TRIP_SECONDS)
            return answer
        return await self.call_worker(self.worker.start, epoch, start_request)

    async def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or prevent it from being started later."""
        cluster = self.worker.cluster
        if cluster.delayed_stops > 0:
            cluster.delayed_stops -= 1
            await self.delay_request(
                cluster.delay_seconds, self.worker.stop, (epoch, task, attempt)
            )
        await self.call_worker(self.worker.stop, epoch, task, attempt)

    def close(self) -> None:
        """Do nothing, as there are no sockets to close."""


@attrs.frozen
class RecordedRun:
    """Record of a run for the invariant checks.

    :param worker: id of the worker.
    :param started_at: time of the start in seconds.
    :param ended_at: time of the end in seconds, ``None`` while the run is active.
    :param outcome: how the run ended, ``None`` while it is active or if its worker crashed.
    :param end_number: number of the end in the worker's list of ended runs.
    :param born: start time of the worker that reported the end, as registered.
    :param is_acknowledged: whether the leader has acknowledged the end.
    """

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
    """Simulated workers and gangs, with a record of all runs and checks of invariants.

    :param lease_seconds: maximum lease of a worker.
    :param stop_delay_seconds: time that a run takes to end after it is stopped.
    :param gang_timeout_seconds: time after which a task of an incomplete gang ends.
    :ivar announced_entries: entries as the workers last wrote them to the store, by worker id.
    :ivar cut_links: pairs of VM name and worker id that cannot reach each other.
    :ivar gangs: runs of each gang by job, occurrence, step and attempt.
    :ivar runs: all runs by task, attempt and worker id.
    :ivar acknowledged_ends: number of the last acknowledged end of each worker.
    :ivar violations: violated invariants, each as a line of text.
    :ivar has_leaders: whether leaders start the runs, so that the store has to tell of them.
    :ivar cancelled_at: time at which each job was cancelled, in seconds.
    :ivar team_limits: what each team may have running, without an entry or 0 for no limit.
    :ivar earlier_team_limits: limits before the current ones, each with the virtual time in seconds
        at which they changed.
    :ivar teams: team of each job that has started, by id of the job.
    :ivar max_early_start_seconds: tolerance for occurrences that start before they are due.
    :ivar evacuated_at: time at which each data centre was taken out of service, in seconds.
    :ivar draining_since: time at which each draining worker began to drain, in seconds.
    :ivar is_executing_late_request: whether the current request was sent earlier and timed out.
    :ivar crashing: tasks that crash their workers, and the crashes.
    :ivar delayed_starts: number of next start requests that time out and are executed after
        ``delay_seconds``.
    :ivar delayed_stops: the same for stop requests.
    :ivar reaches_next_process: whether a request that has timed out may still be under way when its
        worker restarts, so that the next process executes it.
    :ivar lost_start_responses: number of next start requests that are executed without a response.
    :ivar answers_beside_pending_start: answers to a start request while an earlier one for the run
        has timed out and is still to be executed; none to execute it as usual.
    """

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
        self.announced_entries: dict[str, WorkerEntry] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.gangs: dict[tuple[str, int, int, int], list[tuple[MemoryWorker, WorkerRun]]] = {}
        self.runs: dict[tuple[TaskId, int, str], RecordedRun] = {}
        self.acknowledged_ends: dict[str, int] = defaultdict(int)
        self.violations: list[str] = []
        self.has_leaders = False
        self.cancelled_at: dict[str, float] = {}
        self.max_early_start_seconds = MAX_EARLY_START_SECONDS
        self.evacuated_at: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}
        self.is_executing_late_request = False
        self.crashing = CrashingTasks(self)
        self.team_limits: dict[str, Resources] = {}
        self.earlier_team_limits: list[tuple[float, dict[str, Resources]]] = []
        self.teams: dict[str, str] = {}
        self.ports = itertools.count(1000)
        self.delayed_starts = 0
        self.delayed_stops = 0
        self.delay_seconds = 2.0
        self.reaches_next_process = False
        self.lost_start_responses = 0
        self.answers_beside_pending_start: tuple[StartResponse, ...] = ()

    def add_worker(
        self,
        worker_id: str,
        data_centre: str = "dc-a",
        rack: str = "rack-1",
        capacity: Resources | None = None,
        service: str = "desk",
    ) -> MemoryWorker:
        """Add a worker and register it; it has 8 accelerators unless ``capacity`` is given."""
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
            machine=f"machine-{worker_id}",
        )
        return self.add_process(entry)

    def add_process(self, entry: WorkerEntry) -> MemoryWorker:
        """Add a worker process with a given entry and register it."""
        worker = MemoryWorker(self, entry)
        self.workers[entry.id] = worker
        self.register(worker)
        return worker

    @property
    def unguarded_services(self) -> frozenset[str]:
        """Services with workers that do not guard their capacity."""
        return frozenset(
            worker.entry.service for worker in self.workers.values() if not worker.guards_capacity
        )

    def register(self, worker: MemoryWorker) -> None:
        """Write a worker's entry to the store."""
        self.announced_entries[worker.entry.id] = worker.entry
        key = f"servers/{worker.entry.id}"
        self.store.apply(Transaction(puts=[Put(key, {"born": worker.entry.born})]))

    def begin_draining(self, worker: MemoryWorker) -> None:
        """Register a worker as draining, so that it accepts no new tasks."""
        worker.entry = attrs.evolve(worker.entry, is_ready=False)
        self.draining_since[worker.entry.id] = worker.now
        self.register(worker)

    def end_draining(self, worker: MemoryWorker) -> None:
        """Register a worker as ready for new tasks again."""
        worker.entry = attrs.evolve(worker.entry, is_ready=True)
        self.draining_since.pop(worker.entry.id, None)
        if worker.is_up:
            self.register(worker)

    def unregister(self, worker: MemoryWorker) -> None:
        """Remove a worker's entry from the store."""
        self.store.apply(Transaction(deletes=[f"servers/{worker.entry.id}"]))

    def link(self, vm: str, entry: WorkerEntry) -> MemoryLink:
        """Return the link from one VM to a worker."""
        return MemoryLink(self.workers[entry.id], vm)

    def directory(self, vm: str) -> DirectoryView:
        """Return the workers' listing as read by one VM."""
        return DirectoryView(self, vm)

    async def snapshot(self) -> WorkerListing:
        """Return all registered workers."""
        return self.build_listing(await self.store.snapshot("servers"))

    async def watch(self, after: int, wait: float) -> WorkerListing:
        """Return the entries that changed after a version, waiting for a change."""
        return self.build_listing(await self.store.watch("servers", after, wait))

    def build_listing(self, changes: Changes) -> WorkerListing:
        """Return the worker entries of changed rows."""
        names = {row.name: row.value for row in changes.rows}
        return WorkerListing(
            {
                name: None if value is None else self.announced_entries[name]
                for name, value in names.items()
            },
            changes.version,
        )

    def step_of(self, task: TaskId) -> Step:
        """Return the step of a task, read from the row of its job."""
        return decode_job_row(self.store.rows[job_key(task.job_id)]).steps[task.step]

    # Record of runs and invariant checks

    def record_start(
        self, worker: MemoryWorker, run: WorkerRun, start_request: StartRequest
    ) -> None:
        """Record the start of a run and check the invariants that hold for every start.

        A request that is executed late is exempt from the time limits after a cancellation or the
        start of draining, as it was sent earlier.
        """
        now = worker.now
        for other in self.runs.values():
            if other.task != run.task:
                continue
            if other.ended_at is None:
                self.violations.append(
                    f"{now:.2f} {run.task} starts while it is still running on {other.worker}"
                )
            if other.outcome is RunOutcome.DONE and self.counts_as_done(other):
                self.violations.append(f"{now:.2f} {run.task} starts after it was completed")
        cancelled_at = max(
            self.cancelled_at.get(run.task.job_id, now), self.store.last_disrupted_at
        )
        if not self.is_executing_late_request and now - cancelled_at > CANCEL_PROPAGATION_SECONDS:
            self.violations.append(
                f"{now:.2f} {run.task} starts more than {CANCEL_PROPAGATION_SECONDS} s after its "
                "job was cancelled"
            )
        job = decode_job_row(self.store.rows[job_key(run.task.job_id)])
        if (
            job.repeats
            and now < job.earliest_start_at(run.task.occurrence) - self.max_early_start_seconds
        ):
            self.violations.append(f"{now:.2f} {run.task} starts before it is due")
        self.check_not_draining(worker, run, now)
        self.check_capacity(worker, run, now)
        self.check_team_limit(run, now)
        self.check_single_start(run, now)
        self.check_recorded(worker, run, now)
        for number in run.step.after:
            self.check_dependency(run, number, now)
        self.runs[(run.task, run.attempt, worker.entry.id)] = RecordedRun(
            run.task, run.attempt, worker.entry.id, now
        )
        self.crashing.observe_start(worker, run)
        if run.step.is_gang:
            self.join_gang(worker, run)
        else:
            worker.begin_work(run)

    def check_not_draining(self, worker: MemoryWorker, run: WorkerRun, now: float) -> None:
        """Check that no run starts on a draining worker or in a data centre out of service."""
        draining_at = min(
            self.evacuated_at.get(worker.entry.data_centre, now),
            self.draining_since.get(worker.entry.id, now),
        )
        known_at = max(draining_at, self.store.last_disrupted_at)
        if not self.is_executing_late_request and now - known_at > DRAIN_PROPAGATION_SECONDS:
            self.violations.append(
                f"{now:.2f} {run.task} starts on {worker.entry.id}, which is draining or out of "
                "service"
            )

    def check_capacity(self, worker: MemoryWorker, run: WorkerRun, now: float) -> None:
        """Check that a start does not bring a worker over its capacity.

        Runs that are being stopped count. A capacity that was reduced recently may still be used;
        for a request that is executed late, also one that was reduced since it was sent.
        """
        since = now - CAPACITY_PROPAGATION_SECONDS
        if self.is_executing_late_request:
            since -= MAX_REQUEST_DELAY_SECONDS
        capacities = worker.capacities_since(since)
        if not any(is_within(worker.used, capacity) for capacity in capacities):
            self.violations.append(
                f"{now:.2f} {run.task} brings {worker.entry.id} to {worker.used}, over its "
                f"capacity {capacities[-1]}"
            )

    def change_team_limits(self, limits: dict[str, Resources]) -> None:
        """Change what each team may have running."""
        now = asyncio.get_running_loop().time()
        self.earlier_team_limits.append((now, self.team_limits))
        self.team_limits = limits

    def check_team_limit(self, run: WorkerRun, now: float) -> None:
        """Check that a start does not bring what its team has running above the team's limit.

        A limit that was lowered recently may still be used; for a request that is executed late,
        also one that was lowered since it was sent.
        """
        since = now - LIMIT_PROPAGATION_SECONDS
        if self.is_executing_late_request:
            since -= MAX_REQUEST_DELAY_SECONDS
        earlier = [limits for until, limits in self.earlier_team_limits if until >= since]
        team = self.team_of(run.task)
        limits = [each.get(team, Resources()) for each in (*earlier, self.team_limits)]
        if Resources() in limits:
            return
        active = (each for worker in self.workers.values() for each in worker.active.values())
        used = sum(
            (each.step.demand for each in active if self.team_of(each.task) == team), Resources()
        )
        if not any(is_within_limit(used, limit) for limit in limits):
            self.violations.append(
                f"{now:.2f} {run.task} brings team {team} to {used}, over its limit {limits[-1]}"
            )

    def team_of(self, task: TaskId) -> str:
        """Return the team of a task, read from the row of its job."""
        if task.job_id not in self.teams:
            self.teams[task.job_id] = decode_job_row(self.store.rows[job_key(task.job_id)]).team
        return self.teams[task.job_id]

    def check_single_start(self, run: WorkerRun, now: float) -> None:
        """Check that a task of a non-repeatable job has not worked before.

        A run that ended because its gang was incomplete does not count, as it never worked.
        """
        if decode_job_row(self.store.rows[job_key(run.task.job_id)]).is_repeatable:
            return
        earlier = [
            each
            for each in self.runs.values()
            if each.task == run.task and each.outcome is not RunOutcome.PEERS_MISSING
        ]
        if earlier:
            self.violations.append(
                f"{now:.2f} {run.task} starts again, although its job is not repeatable"
            )

    def check_recorded(self, worker: MemoryWorker, run: WorkerRun, now: float) -> None:
        """Check that the store tells a later leader that a task may have a run on a worker."""
        if not self.has_leaders:
            return
        row = self.store.rows.get(worker_key(worker.entry.id))
        record = None if row is None else decode_worker_record(row.value)
        if record is None or record.tasks is not None and run.task not in record.tasks:
            self.violations.append(
                f"{now:.2f} {run.task} starts on {worker.entry.id}, which is not recorded: {record}"
            )

    def counts_as_done(self, run: RecordedRun) -> bool:
        """Whether the completion of a run has been acknowledged, or still must be.

        It cannot be acknowledged any more once the worker has crashed, and need not be once the
        worker's lease has expired.
        """
        worker = self.workers[run.worker]
        can_be_acknowledged = worker.is_up and worker.entry.born == run.born
        return run.is_acknowledged or (can_be_acknowledged and worker.clock < worker.lease_deadline)

    def cancel(self, job_id: str) -> None:
        """Cancel a job, as a caller would."""
        self.store.apply(Transaction(puts=[Put(cancel_key(job_id), {})]))
        self.cancelled_at[job_id] = asyncio.get_running_loop().time()

    def submit(self, job: Job) -> None:
        """Write the row of an accepted job."""
        self.store.apply(
            Transaction([Condition(job_key(job.id), 0)], [Put(job_key(job.id), to_plain(job))])
        )

    def check_dependency(self, run: WorkerRun, number: int, now: float) -> None:
        """Check that an earlier step of the same occurrence has completed.

        One completed task is enough for a gang, as its tasks end together.

        :param number: number of the earlier step.
        """
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
            self.violations.append(
                f"{now:.2f} {run.task} starts before step {number} has completed"
            )

    def record_end(self, worker: MemoryWorker, run: WorkerRun, outcome: RunOutcome | None) -> None:
        """Record the end of a run; the end of one member ends its whole gang.

        :param outcome: how it ended, ``None`` if its worker crashed.
        """
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
        """Record up to which number the leader has acknowledged the ends of a worker."""
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
        """Add a run to its gang, which begins to work once all of its tasks are present.

        The run ends if the gang is still incomplete after ``gang_timeout_seconds``.
        """
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
