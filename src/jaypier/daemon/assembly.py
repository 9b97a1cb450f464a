"""Wires the slices of one daemon together and runs them until a planned stop."""

import asyncio
import random
import time
from contextlib import AsyncExitStack

import structlog

from jaypier.core.address import Address
from jaypier.core.clock import Clock, MonotonicClock
from jaypier.core.metrics import Metrics
from jaypier.core.supervision import supervise
from jaypier.daemon.settings import Settings
from jaypier.membership.links import PeerLinks
from jaypier.membership.messages import Heartbeat
from jaypier.membership.service import MembershipService
from jaypier.membership.state import MembershipState
from jaypier.notes.errors import LedgerError
from jaypier.notes.keeper import ConfigurationKeeper
from jaypier.notes.ledger import Ledger
from jaypier.notes.service import NoteService
from jaypier.operators.api import Api, forward_proof
from jaypier.operators.credentials import Credentials
from jaypier.operators.node import Node
from jaypier.platform import MachineKind, Platform, open_platform
from jaypier.requests.admission import Dispatcher
from jaypier.requests.claims import ClaimTable, ClaimUnavailable
from jaypier.requests.endpoints import EndpointBoard
from jaypier.requests.executor import RequestExecutor
from jaypier.requests.handover import Handover, HandoverUnavailable
from jaypier.requests.http import HttpForwarder
from jaypier.requests.service import RequestService
from jaypier.scheduling.ownership import LeaseTable
from jaypier.scheduling.service import SchedulingService
from jaypier.wire.server import HttpServer

OWNER_POLL_SECONDS = 0.5
"""Time between two readings of the head in a daemon that owns a data centre."""

POLL_SECONDS = 1.0
"""Time between two readings of the head in any other daemon."""

PUMP_SECONDS = 0.25
"""Time between two checks of waiting requests against recovered endpoints."""

SWEEP_SECONDS = 10.0
"""Time between two deletions of old claims."""

STORE_SECONDS = 2.0
"""Age up to which an answer of the store counts as contact with it."""

log = structlog.get_logger()


class Daemon:
    """One ``jaypierd`` process.

    :param settings: checked settings.
    :param platform: connected platform; the one named in the settings by default.
    """

    def __init__(
        self, settings: Settings, platform: Platform | None = None, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.metrics = Metrics()
        self.rng = random.Random()
        self.incarnation = time.time_ns()
        self.platform = platform or open_platform(
            settings.platform.back_end,
            Address.parse(settings.platform.address),
            settings.platform.timeout_seconds,
        )
        self.stop_requested = asyncio.Event()
        self.has_failed = False
        self._build_control()
        self._build_requests()
        self._build_interface()

    def _build_control(self) -> None:
        """Create the configuration, membership and scheduling slices."""
        settings = self.settings
        self.state = MembershipState(settings.id)
        self.ledger = Ledger(self.platform)
        self.keeper = ConfigurationKeeper(self.ledger, self.clock, self.metrics)
        self.membership = MembershipService(
            self.state,
            self.keeper,
            self.platform.machine_list,
            self.build_heartbeat,
            self.on_machines,
            self.on_heartbeats,
            settings.peer_seeds,
            self.clock,
            self.metrics,
            self.rng,
            self.on_task_failure,
        )
        self.notes = NoteService(
            self.ledger, self.keeper, self.membership.announce, self.metrics, self.rng
        )
        self.leases = LeaseTable(self.platform.table, settings.id, self.incarnation, self.clock)
        self.scheduling = SchedulingService(
            self.leases,
            self.keeper,
            self.notes,
            lambda: self.state.staying(self.clock.now()),
            lambda: self.state.lacks_store(self.has_store, self.clock.now()),
            lambda: list(self.state.machines.values()),
            self.clock,
            self.metrics,
            self.rng,
            self.on_task_failure,
        )

    def _build_requests(self) -> None:
        """Create the requests slice."""
        settings = self.settings
        self.board = EndpointBoard(
            settings.data_centre,
            lambda data_centre: self.keeper.configuration.in_service(data_centre),
            self.rng,
        )
        self.dispatcher = Dispatcher(
            self.board, self.team_guarantees, self.clock, self.metrics, self.rng
        )
        self.executor = RequestExecutor(
            self.board,
            self.dispatcher,
            self.clock,
            self.metrics,
            f"{settings.id}-{self.incarnation}",
        )
        secret = settings.cluster_secret.encode()
        self.forwarder = HttpForwarder(self.state, self.clock, forward_proof(secret), self.metrics)
        self.claims = ClaimTable(self.platform.table, settings.id, self.incarnation)
        self.requests = RequestService(
            settings.id,
            self.incarnation,
            self.executor,
            self.claims,
            self.forwarder,
            Handover(self.platform.objects),
            secret,
            self.clock,
            self.metrics,
        )

    def _build_interface(self) -> None:
        """Create the HTTP interface."""
        settings = self.settings
        self.node = Node(
            settings.id,
            self.incarnation,
            settings.data_centre,
            settings.caller_address,
            self.clock,
            self.metrics,
            self.ledger,
            self.keeper,
            self.notes,
            self.state,
            self.leases,
            self.scheduling,
            self.board,
            self.requests,
        )
        credentials = Credentials(settings.team_tokens, settings.operator_tokens)
        proof = forward_proof(settings.cluster_secret.encode())
        self.api = Api(self.node, credentials, proof)
        self.server = HttpServer(
            Address.parse(settings.caller_address), self.api.handle, self.on_handler_error
        )

    # Connections between slices

    @property
    def has_store(self) -> bool:
        """Whether the table service has answered just now."""
        return self.clock.now() - self.keeper.confirmed_at <= STORE_SECONDS

    def build_heartbeat(self) -> Heartbeat:
        """Return what to tell the other daemons now."""
        return Heartbeat(
            self.settings.data_centre,
            self.settings.peer_address,
            self.settings.caller_address,
            self.keeper.configuration.version,
            self.node.is_stopping,
            self.has_store,
            self.board.in_flight(),
        )

    def team_guarantees(self) -> dict[str, int]:
        """Return the guaranteed accelerators of each team."""
        teams = self.keeper.configuration.teams.values()
        return {team.name: team.guaranteed_accelerators for team in teams}

    def on_machines(self) -> None:
        """Pass a new reading of the platform's list on to the slices."""
        self.executor.forget(self.board.update(self.state.of_kind(MachineKind.ENDPOINT)))
        self.scheduling.on_machines()

    def on_heartbeats(self) -> None:
        """Pass the other daemons' load on to the board of endpoints."""
        now = self.clock.now()
        daemons = len(self.state.alive(now)) + 1
        self.board.update_elsewhere(self.state.reported_in_flight(now), daemons)

    def on_handler_error(self, error: Exception) -> None:
        """Count and log a fault in a handler."""
        self.metrics.count("http.handler_errors")
        log.error("request handler failed", exc_info=error)

    def on_task_failure(self, name: str, error: BaseException) -> None:
        """Stop after a fault in a task that is to last: a new process starts afresh."""
        self.metrics.count("daemon.faults")
        log.error("task failed; the daemon stops", task=name, exc_info=error)
        self.has_failed = True
        self.stop_requested.set()

    # Running

    async def run_polls(self) -> None:
        """Read the head of the ledger until cancelled."""
        while True:
            try:
                await self.keeper.refresh()
            except LedgerError:
                self.metrics.count("configuration.polls_failed")
            period = OWNER_POLL_SECONDS if self.leases.held else POLL_SECONDS
            await asyncio.sleep(period * self.rng.uniform(0.8, 1.0))

    async def run_pump(self) -> None:
        """Serve waiting requests when endpoints recover, until cancelled."""
        while True:
            await asyncio.sleep(PUMP_SECONDS)
            self.on_heartbeats()
            self.dispatcher.pump_all()

    async def run_sweep(self) -> None:
        """Delete old claims until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS * self.rng.uniform(0.5, 1.5))
            try:
                swept = await self.claims.sweep(self.clock.now())
                self.metrics.count("requests.claims_swept", swept)
            except ClaimUnavailable:
                self.metrics.count("requests.sweeps_failed")

    async def run(self) -> None:
        """Run until a stop is requested, then stop gracefully."""
        settings = self.settings
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.platform)
            self.membership.links = await stack.enter_async_context(
                PeerLinks(
                    settings.id,
                    self.incarnation,
                    settings.peer_address,
                    settings.cluster_secret.encode(),
                    self.membership.receive,
                    self.metrics,
                )
            )
            stack.callback(self.executor.close)
            stack.callback(self.forwarder.close)
            stack.callback(self.api.close)
            await stack.enter_async_context(self.membership)
            await stack.enter_async_context(self.scheduling)
            loops = [
                supervise(loop, loop.__name__, self.on_task_failure)
                for loop in (self.run_polls(), self.run_pump(), self.run_sweep())
            ]
            stack.push_async_callback(_cancel, loops)
            await stack.enter_async_context(self.server)
            log.info("daemon started", address=settings.caller_address)
            await self.stop_requested.wait()
            await self.stop()

    async def stop(self) -> None:
        """Stop gracefully: no request in flight is cut."""
        stop = self.settings.stop
        self.node.is_stopping = True
        self.server.announce_stop()
        log.info("planned stop began", notice_seconds=stop.notice_seconds)
        await self.scheduling.leave()
        await asyncio.sleep(stop.notice_seconds)
        cut = await self.server.drain(stop.drain_seconds)
        unfinished = await self.requests.drain(stop.drain_seconds)
        if not cut and not unfinished:
            await self.leave_records()
        log.info("planned stop ended", cut_requests=cut, unfinished_requests=unfinished)

    async def leave_records(self) -> None:
        """Leave the outcomes of requests behind for the other daemons."""
        try:
            await self.requests.leave()
        except HandoverUnavailable:
            self.metrics.count("requests.handovers_failed")


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
