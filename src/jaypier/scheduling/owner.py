"""The task that owns one data centre: runs its scheduler against workers and the ledger."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.core.supervision import supervise
from jaypier.notes.configuration import Configuration, ConfigurationEntry
from jaypier.notes.errors import LedgerError
from jaypier.platform import Machine
from jaypier.scheduling.model import Decisions, Gang, GangPhase
from jaypier.scheduling.scheduler import DataCentreScheduler
from jaypier.workers.model import WorkerReport
from jaypier.workers.protocol import ControlRequest, HttpWorkerLink, WorkerLink
from jaypier.workers.session import EpochLost, SessionMessage, WorkerSession, WorkerSilent

log = structlog.get_logger()

TICK_SECONDS = 0.25
"""Longest time between two passes over timers."""

LEASE_SECONDS = 10.0
"""Shortest worker lease; longer than a takeover of a data centre."""

RENEWALS_PER_LEASE = 10
"""Renewals that a worker misses before its lease runs out."""

WORKERS_PER_SECOND = 50
"""Worker exchanges a second above which renewals, and with them leases, get longer."""

COMMIT_RETRY_SECONDS = 0.5
"""Time between attempts to record decisions while the store does not answer."""

HEARD_SECONDS = 1.5
"""Age up to which a worker's answer proves that it still obeys this owner."""

Committer = Callable[[str, Decisions], Awaitable[None]]
LinkFactory = Callable[[Machine], WorkerLink]


def open_worker_link(machine: Machine) -> WorkerLink:
    """Return the link to a listed worker."""
    return HttpWorkerLink(machine.id, machine.network_address)


def renewal_interval(worker_count: int) -> float:
    """Return the seconds between two renewals of one worker's lease."""
    return max(LEASE_SECONDS / RENEWALS_PER_LEASE, worker_count / WORKERS_PER_SECOND)


@attrs.frozen
class MachinesChanged:
    """A new reading of the platform's list of this data centre's workers."""

    machines: list[Machine]


@attrs.frozen
class ConfigurationChanged:
    """A newer configuration, and the entries that lead to it if they are known."""

    configuration: Configuration
    entries: list[ConfigurationEntry] = attrs.field(factory=list)


OwnerMessage = SessionMessage | MachinesChanged | ConfigurationChanged


@attrs.frozen
class GangSummary:
    """One gang in a dump or a status answer.

    :param usage: mean share of its accelerators in use, as workers reported it with a lag.
    """

    job: str
    team: str
    phase: str
    attempt: int
    claim: str | None
    tasks: int
    accelerators: int
    workers: list[str]
    waiting_seconds: float
    stop_reason: str
    usage: float


@attrs.frozen
class OwnerDump:
    """State of an owned data centre, for operators."""

    data_centre: str
    epoch: int
    is_rebuilt: bool
    may_start: bool
    workers: dict[str, str]
    free_accelerators: int
    largest_adjacent_block: int
    gangs: list[GangSummary]


class DataCentreOwner:
    """Owns the sessions with one data centre's workers and takes all decisions for it.

    :param epoch: fencing epoch under which the ownership was recorded.
    :param may_start: whether the configuration is known to be current.
    :param commit: coroutine function that records decisions in the ledger.
    :param on_succeeded: called when a worker obeys a higher epoch, or after a fault.
    """

    def __init__(
        self,
        data_centre: str,
        epoch: int,
        own_id: str,
        clock: Clock,
        may_start: Callable[["DataCentreOwner"], bool],
        commit: Committer,
        on_succeeded: Callable[["DataCentreOwner", int], None],
        metrics: Metrics,
        rng: random.Random,
        open_link: LinkFactory = open_worker_link,
    ) -> None:
        self.data_centre = data_centre
        self.epoch = epoch
        self.own_id = own_id
        self.clock = clock
        self.check_permit = may_start
        self.commit = commit
        self.on_succeeded = on_succeeded
        self.metrics = metrics
        self.rng = rng
        self.open_link = open_link
        self.scheduler = DataCentreScheduler(
            data_centre, epoch, clock.now(), LEASE_SECONDS, metrics
        )
        self.inbox: asyncio.Queue[OwnerMessage] = asyncio.Queue()
        self.sessions: dict[str, WorkerSession] = {}
        self.decisions = Decisions()
        self.decided = asyncio.Event()
        self.is_deposed = False
        self.stack = AsyncExitStack()
        self.tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "DataCentreOwner":
        self.tasks = [
            supervise(self.run(), f"owner of {self.data_centre}", self.on_failure),
            supervise(self.run_commits(), f"commits of {self.data_centre}", self.on_failure),
        ]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for session in self.sessions.values():
            session.task.cancel()
        await self.stack.aclose()

    @property
    def may_start(self) -> bool:
        """Whether tasks may be started now."""
        return not self.is_deposed and self.check_permit(self)

    def on_failure(self, name: str, error: BaseException) -> None:
        """Give the data centre up after a fault: another process may do better."""
        self.metrics.count("scheduling.faults")
        log.error("data centre's owner failed", task=name, exc_info=error)
        self.is_deposed = True
        self.on_succeeded(self, self.epoch)

    def deliver(self, message: OwnerMessage) -> None:
        """Queue a message for the owner's task."""
        self.inbox.put_nowait(message)

    def obeying_share(self) -> float:
        """Return the share of listed workers that obeyed this epoch just now."""
        now = self.clock.now()
        listed = [worker for worker in self.scheduler.workers.values() if worker.is_listed]
        if not listed:
            return 0.0
        return sum(now - worker.heard_at <= HEARD_SECONDS for worker in listed) / len(listed)

    async def run(self) -> None:
        """Handle messages and decide, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self.handle(await self.inbox.get())
            except TimeoutError:
                pass
            while not self.inbox.empty():
                await self.handle(self.inbox.get_nowait())
            self.decide()

    def decide(self) -> None:
        """Make one pass of decisions and contact the workers that it concerns."""
        started_at = self.clock.now()
        self.decisions = self.scheduler.decide(started_at, self.may_start)
        self.metrics.record("scheduling.decision", self.clock.now() - started_at)
        if not self.decisions.is_empty:
            self.decided.set()
        for name in self.scheduler.take_dirty():
            if name in self.sessions:
                self.sessions[name].wake.set()

    async def handle(self, message: OwnerMessage) -> None:
        """Take over one message."""
        now = self.clock.now()
        if isinstance(message, WorkerReport):
            self.scheduler.on_report(message, now)
            if self.scheduler.commands_for(message.worker, now, self.may_start):
                self.scheduler.state.dirty.add(message.worker)
        elif isinstance(message, WorkerSilent):
            self.metrics.count("workers.silent_exchanges")
        elif isinstance(message, EpochLost):
            self.is_deposed = True
            self.on_succeeded(self, message.epoch)
        elif isinstance(message, ConfigurationChanged):
            self.scheduler.on_configuration(message.configuration, now, message.entries)
        elif isinstance(message, MachinesChanged):
            self.scheduler.on_machines(message.machines)
            await self.update_sessions(message.machines)

    async def update_sessions(self, machines: list[Machine]) -> None:
        """Open a session for each new worker and close those of forgotten workers."""
        interval = renewal_interval(len(machines))
        self.scheduler.state.lease_seconds = interval * RENEWALS_PER_LEASE
        for machine in machines:
            if machine.id not in self.sessions:
                session = WorkerSession(
                    machine.id,
                    self.open_link(machine),
                    self.build_request,
                    self.deliver,
                    self.current_interval,
                    self.on_failure,
                    self.rng,
                )
                self.sessions[machine.id] = await self.stack.enter_async_context(session)
        for name in set(self.sessions) - set(self.scheduler.workers):
            await self.sessions.pop(name).__aexit__(None, None, None)

    def current_interval(self) -> float:
        """Return the seconds between renewals; shorter while starts depend on workers' answers."""
        interval = renewal_interval(len(self.sessions))
        return interval if self.may_start else min(interval, HEARD_SECONDS / 2)

    def build_request(self, worker: str) -> ControlRequest:
        """Return what a worker has to be told now."""
        now = self.clock.now()
        if self.is_deposed or worker not in self.scheduler.workers:
            return ControlRequest(self.epoch, self.own_id, 0.0)
        commands = self.scheduler.commands_for(worker, now, self.may_start)
        return ControlRequest(self.epoch, self.own_id, self.scheduler.renew(worker, now), commands)

    async def run_commits(self) -> None:
        """Record decisions in the ledger until cancelled."""
        while True:
            await self.decided.wait()
            self.decided.clear()
            if self.decisions.is_empty or self.is_deposed:
                continue
            try:
                await self.commit(self.data_centre, self.decisions)
            except LedgerError:
                self.metrics.count("scheduling.commits_failed")
                delay = COMMIT_RETRY_SECONDS * self.rng.uniform(0.5, 1.5)
                await asyncio.sleep(delay)

    def dump(self) -> OwnerDump:
        """Return the present state, for operators."""
        now = self.clock.now()
        scheduler = self.scheduler
        return OwnerDump(
            self.data_centre,
            self.epoch,
            scheduler.is_rebuilt,
            self.may_start,
            {name: self._describe_worker(name, now) for name in sorted(scheduler.workers)},
            scheduler.state.capacity.free_total,
            scheduler.state.capacity.largest_adjacent_block,
            [self.summarize(name, now) for name in sorted(scheduler.state.gangs)],
        )

    def _describe_worker(self, name: str, now: float) -> str:
        worker = self.scheduler.workers[name]
        if not worker.is_reachable:
            return "unreachable"
        if self.scheduler.state.health.is_quarantined(name, now):
            return "quarantined"
        return "listed" if worker.is_listed else "leaving"

    def summarize(self, job: str, now: float) -> GangSummary:
        """Return the summary of one gang."""
        gang = self.scheduler.state.gangs[job]
        waiting = now - gang.queued_at if gang.phase is GangPhase.QUEUED else 0.0
        return GangSummary(
            job,
            gang.job.team,
            gang.phase.value,
            gang.attempt,
            gang.claim,
            gang.job.tasks,
            gang.job.accelerators,
            sorted(gang.placement),
            round(waiting, 3),
            gang.stop_reason.value if gang.stop_reason else "",
            self._usage_of(gang),
        )

    def _usage_of(self, gang: Gang) -> float:
        """Return the mean share of its accelerators that a gang was reported to use."""
        reports = [
            self.scheduler.workers[worker].reported.get(task) for task, worker in gang.tasks.items()
        ]
        used = sum(report.usage for report in reports if report is not None)
        return round(used / len(reports), 3) if reports else 0.0
