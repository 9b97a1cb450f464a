"""Wires one entry VM's daemon together and runs it until a planned stop."""

import asyncio
import random
import time
from contextlib import AsyncExitStack

import msgspec
import structlog

from jaypier.core.clock import BootClock, MonotonicClock
from jaypier.core.metrics import Metrics
from jaypier.core.supervision import supervise
from jaypier.entry.configuration import OperatorSource
from jaypier.entry.front import Front
from jaypier.entry.keeper import ConfigurationKeeper
from jaypier.entry.settings import VmSettings
from jaypier.jobs.election import Election
from jaypier.jobs.leader import Leader, LeaderSettings
from jaypier.jobs.ledger import LeaderLedger
from jaypier.jobs.rows import JobTable
from jaypier.notes.book import NoteBook
from jaypier.notes.service import NoteService
from jaypier.notes.source import NoteOperatorSource
from jaypier.operators.api import DaemonState, OperatorApi
from jaypier.operators.credentials import Credentials
from jaypier.platform import PlatformUnavailable
from jaypier.platform.operators import StoreOperatorSource
from jaypier.platform.store import MAX_ANSWER_BYTES, StoreTable
from jaypier.platform.workers import HttpWorkerLink, StoreWorkerDirectory
from jaypier.relay.peers import PeerList
from jaypier.relay.transport import RelayedTransport
from jaypier.wire.client import ConnectionPool
from jaypier.wire.messages import HttpRequest, HttpResponse, json_response
from jaypier.wire.server import HttpServer, Limits

READY_AGE_SECONDS = 2.5
"""Age of the configuration up to which this VM takes new connections."""

SLOW_HANDICAP_SECONDS = 0.3
"""Longest time by which a slow VM leaves the leadership to faster ones."""

DRAIN_MARGIN_SECONDS = 1.0
"""Time kept back of the grace period of a planned stop."""

log = structlog.get_logger()


class EntryDaemon:
    """The daemon of one entry VM.

    :param settings: what it is told about this VM and its surroundings.
    """

    def __init__(self, settings: VmSettings) -> None:
        self.settings = settings
        self.clock = MonotonicClock()
        self.metrics = Metrics()
        self.rng = random.Random()
        self.incarnation = f"{settings.name}/{time.time_ns()}"
        self.stop_requested = asyncio.Event()
        self.has_failed = False
        self.is_stopping = False
        self.leader: Leader | None = None
        store = ConnectionPool(settings.store, max_body=MAX_ANSWER_BYTES)
        peers = PeerList(settings.name, self.clock, self.rng)
        self.transport = RelayedTransport(store, peers, self.rng)
        self.table = StoreTable(self.transport, settings.max_row_bytes)
        self.directory = StoreWorkerDirectory(self.table)
        self.operator_api: OperatorApi | None = None
        source: OperatorSource = StoreOperatorSource(self.table)
        if settings.operators is not None:
            book = NoteBook()
            source = NoteOperatorSource(self.table, book)
            notes = NoteService(self.table, self.directory, book, self.metrics, self.rng)
            credentials = Credentials(settings.operators.tokens)
            self.operator_api = OperatorApi(notes, credentials, self.describe, self.dump)
        self.keeper = ConfigurationKeeper(source, BootClock(), self.rng)
        self.front = Front(
            self.keeper,
            JobTable(self.table),
            settings.bounds.revocation,
            self.clock,
            self.metrics,
            self.rng,
        )

    # Interfaces

    async def handle_ready(self, request: HttpRequest) -> HttpResponse:
        """Answer the platform's readiness probe."""
        is_fresh = self.keeper.configuration is not None and self.keeper.age < READY_AGE_SECONDS
        return HttpResponse(200 if is_fresh and not self.is_stopping else 503)

    async def handle_metrics(self, request: HttpRequest) -> HttpResponse:
        """Serve counters and histograms as text, and the state of the process as JSON."""
        if request.path == "/dump":
            return json_response(200, msgspec.json.encode(self.dump()))
        lines = [f"{name} {value}" for name, value in sorted(self.metrics.counters.items())]
        for name, summary in self.metrics.summaries().items():
            lines.append(f"{name}_count {summary.count}")
            lines += [
                f'{name}_ms{{quantile="{label}"}} {value}'
                for label, value in (("0.5", summary.p50), ("0.99", summary.p99))
            ]
        body = ("\n".join(lines) + "\n").encode()
        return HttpResponse(200, [(b"content-type", b"text/plain")], body)

    def dump(self) -> dict:
        """Return the state of this process as plain values."""
        configuration, leader = self.keeper.configuration, self.leader
        state = {
            "vm": self.settings.name,
            "incarnation": self.incarnation,
            "configuration": configuration.version if configuration else None,
            "configuration_age_seconds": self.keeper.age,
            "out_of_service": sorted(self.keeper.out_of_service),
            "epoch": leader.epoch if leader else None,
            "reaches_store": not self.transport.is_lost,
            "peers": sorted(self.transport.peers.peers),
        }
        if leader is not None:
            state["jobs"] = {
                job_id: {"status": str(job.status), "runs": len(list(job.runs))}
                for job_id, job in leader.cluster.jobs.items()
            }
            state["workers"] = {
                worker.id: {
                    "free_accelerators": worker.free.accelerators,
                    "runs": len(worker.runs),
                    "reachable": not worker.is_unreachable,
                }
                for worker in leader.cluster.workers.values()
            }
        return state

    def describe(self) -> DaemonState:
        """Return what this daemon tells operators of itself."""
        configuration = self.keeper.configuration
        version = configuration.version if configuration else 0
        settings = self.settings
        return DaemonState(settings.name, settings.data_centre, version, self.is_stopping)

    def on_handler_error(self, error: Exception) -> None:
        """Count and log a fault in a handler."""
        self.metrics.count("http.handler_errors")
        log.error("request handler failed", exc_info=error)

    def on_task_failure(self, name: str, error: BaseException) -> None:
        """Stop after a fault in a task that is to last: a new process starts afresh."""
        log.error("task failed; the daemon stops", task=name, exc_info=error)
        self.has_failed = True
        self.stop_requested.set()

    # Leading

    async def run_leadership(self) -> None:
        """Lead whenever this daemon is elected, until cancelled."""
        handicap = SLOW_HANDICAP_SECONDS / (1.0 + self.settings.processor_share)
        while True:
            election = Election(self.table, self.incarnation, handicap, self.clock, self.rng)
            _, version = await election.win()
            ledger = LeaderLedger(self.table, election.leadership, version, self.clock)
            self.leader = Leader(
                self.table,
                self.directory,
                lambda entry: HttpWorkerLink(entry.id, entry.address),
                ledger,
                LeaderSettings(
                    self.settings.bounds.lease,
                    self.settings.bounds.restore,
                    self.settings.bounds.status,
                ),
                self.clock,
                time.time,
                self.metrics,
            )
            feed = asyncio.create_task(self.feed_leader(self.leader))
            try:
                await self.leader.run()
            except PlatformUnavailable as error:
                log.info("leadership failed to begin", reason=str(error))
            except asyncio.CancelledError:
                await self.leave(ledger)
                raise
            finally:
                feed.cancel()
                self.leader = None

    async def leave(self, ledger: LeaderLedger) -> None:
        """Give the leadership up at a planned stop."""
        try:
            await ledger.leave()
        except Exception as error:
            log.info("leadership not given up", reason=str(error))

    async def feed_leader(self, leader: Leader) -> None:
        """Tell the leader of each new configuration."""
        known: tuple | None = None
        while True:
            configuration = self.keeper.configuration
            version = configuration.version if configuration else None
            current = (version, self.keeper.out_of_service)
            if current != known:
                known = current
                leader.cluster.evacuated = self.keeper.out_of_service
                if configuration is not None:
                    leader.planner.guarantees = {
                        team.name: team.guaranteed_accelerators for team in configuration.teams
                    }
                leader.decide.set()
            await asyncio.sleep(0.1)

    def caller_limits(self) -> Limits:
        """Return the limits on callers that are in force."""
        configuration = self.keeper.configuration
        return configuration.limits if configuration else Limits()

    # Life

    def build_servers(self) -> list[HttpServer]:
        """Return the servers of all addresses, that of callers first."""
        settings = self.settings
        handlers = [
            (settings.callers, self.front.handle, self.caller_limits),
            (settings.readiness, self.handle_ready, Limits),
            (settings.metrics, self.handle_metrics, Limits),
            (settings.peers, self.transport.handle, lambda: Limits(body_bytes=MAX_ANSWER_BYTES)),
        ]
        if settings.operators is not None and self.operator_api is not None:
            handlers.append((settings.operators.address, self.operator_api.handle, Limits))
        return [
            HttpServer(address, handler, self.on_handler_error, limits)
            for address, handler, limits in handlers
        ]

    async def run(self) -> None:
        """Run until a stop is requested, then stop gracefully."""
        settings = self.settings
        servers = self.build_servers()
        async with AsyncExitStack() as stack:
            stack.callback(self.transport.close)
            for server in servers:
                await stack.enter_async_context(server)
            keeping = [
                supervise(work, name, self.on_task_failure)
                for name, work in (
                    ("keeper", self.keeper.run()),
                    ("probes", self.transport.run_probes()),
                    ("peers", self.transport.run_registration(self.table, settings.peers)),
                )
            ]
            leading = supervise(self.run_leadership(), "leadership", self.on_task_failure)
            log.info("daemon started", vm=settings.name, incarnation=self.incarnation)
            await self.stop_requested.wait()
            self.is_stopping = True
            log.info("planned stop began", vm=settings.name)
            leading.cancel()
            await asyncio.gather(leading, return_exceptions=True)
            cut = await servers[0].drain(settings.bounds.grace - DRAIN_MARGIN_SECONDS)
            for task in keeping:
                task.cancel()
            await asyncio.gather(*keeping, return_exceptions=True)
            log.info("planned stop ended", vm=settings.name, cut_requests=cut)
