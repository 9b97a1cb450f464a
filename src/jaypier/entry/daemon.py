"""Composes the daemon of an entry VM and runs it until a graceful shutdown."""

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from urllib.parse import unquote

import msgspec
import structlog

from jaypier.core.address import Address
from jaypier.core.clock import BootClock
from jaypier.core.codec import to_plain
from jaypier.core.metrics import Metrics
from jaypier.core.slices import LoopMonitor
from jaypier.core.supervision import supervise
from jaypier.core.token_bucket import TokenBucket
from jaypier.entry.caller_api import CallerApi
from jaypier.entry.capacity import ServerName
from jaypier.entry.configuration import OperatorSource
from jaypier.entry.refusals import RefusalLog
from jaypier.entry.reports import ReportCache, format_metrics
from jaypier.entry.requests import assume_submitted, decode_request
from jaypier.entry.settings import VmSettings
from jaypier.entry.watcher import ConfigurationWatcher
from jaypier.jobs.election import Election
from jaypier.jobs.explaining import explain_job
from jaypier.jobs.fenced_writer import FencedWriter
from jaypier.jobs.leader import Leader, LeaderSettings
from jaypier.jobs.model import Job
from jaypier.jobs.rows import JobTable
from jaypier.jobs.state import JobState
from jaypier.jobs.team_log import describe_teams
from jaypier.notes.cache import EntityCache
from jaypier.notes.service import NoteService
from jaypier.notes.source import NoteOperatorSource
from jaypier.operators.api import DaemonState, OperatorApi
from jaypier.operators.credentials import Credentials
from jaypier.platform import PlatformUnavailable, Row
from jaypier.platform.callers import BadRequest
from jaypier.platform.decoding import LeftOutRows, describe_error
from jaypier.platform.operators import StoreOperatorSource
from jaypier.platform.store import MAX_RESPONSE_BYTES, StoreTable
from jaypier.platform.workers import HttpWorkerLink, StoreWorkerDirectory
from jaypier.relay.notifier import NOTIFICATION_PATH, LeaderNotifier
from jaypier.relay.peers import PeerList
from jaypier.relay.transport import FailoverTransport
from jaypier.scheduling.overload import ACCEPTED, Admission, decide_admission, decode_summary
from jaypier.scheduling.team_limits import explain_excess
from jaypier.wire.capacity import MemoryBudget
from jaypier.wire.client import ConnectionPool
from jaypier.wire.messages import HttpRequest, HttpResponse, busy_response, json_response
from jaypier.wire.server import Handler, HttpLimits, HttpServer

MAX_READY_CONFIGURATION_AGE_SECONDS = 2.5
"""Age of the configuration, in seconds, up to which the readiness probe succeeds."""

MAX_TAKEOVER_DELAY_SECONDS = 0.3
"""Delay before a takeover on the slowest VM; it shrinks with the processor share, so that faster
VMs become leader first."""

DRAIN_MARGIN_SECONDS = 1.0
"""Part of the grace period that is reserved for the time after draining requests."""

EXPLAIN_PATH = "/explain/"
"""Path prefix, at the metrics address, of the explanation of a job."""

EXPLANATIONS_PER_SECOND = 10.0
"""Rate at which the metrics address, where nobody is authenticated, explains jobs."""

log = structlog.get_logger()


class EntryDaemon:
    """The daemon of one entry VM.

    It serves callers and operators, follows the configuration and takes part in the leader
    election.

    :param settings: settings of this VM.
    :ivar incarnation: unique id of this process: VM name and start time.
    :ivar stop_requested: set to start a graceful shutdown.
    :ivar left_out: rows of other daemons, workers and the leader that cannot be decoded.
    :ivar election: the current election, which knows who leads; ``None`` before the first one.
    :ivar leader: the running leader, ``None`` unless this daemon leads.
    """

    def __init__(self, settings: VmSettings) -> None:
        self.settings = settings
        # Other clocks stand still while the VM is suspended, and its authority would outlive that.
        self.clock = BootClock()
        self.metrics = Metrics()
        self.reports = ReportCache(self.clock)
        self.explanations = TokenBucket(
            self.clock, EXPLANATIONS_PER_SECOND, 2 * EXPLANATIONS_PER_SECOND
        )
        self.client_budget = MemoryBudget(settings.capacity.max_client_bytes)
        self.refusals = RefusalLog(self.metrics, self.clock)
        self.loop_monitor = LoopMonitor(
            self.clock, lambda seconds: self.metrics.record("loop.delay", seconds)
        )
        self.rng = random.Random()
        self.incarnation = f"{settings.name}/{time.time_ns()}"
        self.stop_requested = asyncio.Event()
        self.is_stopping = False
        self.leader: Leader | None = None
        self.received_budget = MemoryBudget(settings.capacity.max_received_bytes)
        store = ConnectionPool(
            settings.store_address, MAX_RESPONSE_BYTES, budget=self.received_budget
        )
        self.left_out = LeftOutRows(self.metrics)
        peers = PeerList(settings.name, self.clock, self.rng, self.left_out, self.received_budget)
        self.transport = FailoverTransport(store, peers, self.rng)
        self.table = StoreTable(self.transport, settings.max_row_bytes)
        self.election: Election | None = None
        self.notifier = LeaderNotifier(peers, self.find_leader, self.deliver_row)
        self.directory = StoreWorkerDirectory(self.table, self.left_out)
        self.operator_api: OperatorApi | None = None
        source: OperatorSource = StoreOperatorSource(self.table)
        if settings.operators is not None:
            cache = EntityCache(self.left_out)
            source = NoteOperatorSource(self.table, cache)
            notes = NoteService(self.table, self.directory, cache, self.metrics, self.rng)
            credentials = Credentials(settings.operators.tokens)
            self.operator_api = OperatorApi(
                notes,
                credentials,
                self.describe,
                self.dump,
                self.explain,
                self.explain_request,
            )
        self.watcher = ConfigurationWatcher(source, BootClock(), self.rng)
        self.caller_api = CallerApi(
            self.watcher,
            JobTable(self.table, self.notifier.notify),
            settings.bounds.revocation,
            self.clock,
            self.metrics,
            self.rng,
            is_isolated=lambda: self.transport.is_isolated,
            decide_admission=self.decide_admission,
        )

    # HTTP endpoints

    async def handle_ready(self, request: HttpRequest) -> HttpResponse:
        """Respond to the platform's readiness probe with 200 or 503.

        The daemon is ready while its configuration is recent, it is not isolated and no shutdown
        has started.
        """
        is_fresh = (
            self.watcher.configuration is not None
            and self.watcher.age < MAX_READY_CONFIGURATION_AGE_SECONDS
        )
        is_ready = is_fresh and not self.transport.is_isolated and not self.is_stopping
        return HttpResponse(200 if is_ready else 503)

    async def handle_metrics(self, request: HttpRequest) -> HttpResponse:
        """Serve counters and histograms as text, ``/dump`` and ``/explain/ID`` as JSON."""
        if request.path == "/dump":
            body = self.reports.get("dump", lambda: msgspec.json.encode(self.dump()))
            return json_response(200, body)
        if request.path.startswith(EXPLAIN_PATH):
            if not self.explanations.take():
                return busy_response("too many explanations are asked for")
            return self.explain(unquote(request.path.removeprefix(EXPLAIN_PATH)))
        body = self.reports.get("metrics", lambda: format_metrics(self.metrics))
        return HttpResponse(200, [(b"content-type", b"text/plain")], body)

    def dump(self) -> dict:
        """Return the state of this process as plain JSON values, without secrets.

        Jobs and workers are included only while this daemon leads.
        """
        configuration, leader = self.watcher.configuration, self.leader
        state = {
            "vm": self.settings.name,
            "incarnation": self.incarnation,
            "configuration": configuration.version if configuration else None,
            "configuration_age_seconds": self.watcher.age,
            "out_of_service": sorted(self.watcher.out_of_service),
            "epoch": leader.epoch if leader else None,
            "reaches_store": not self.transport.is_direct_path_down,
            "peers": sorted(self.transport.peers.peers),
        }
        if leader is not None:
            state["stranded_share"] = leader.stranding.newest.share
            state["jobs"] = {
                job_id: {"status": str(job.status), "runs": job.run_count}
                for job_id, job in leader.cluster_state.jobs.items()
            }
            state["workers"] = {
                worker.id: {
                    "free_accelerators": worker.free.accelerators,
                    "runs": len(worker.runs),
                    "reachable": not worker.is_unreachable,
                }
                for worker in leader.cluster_state.workers.values()
            }
            state["estimates"] = leader.cluster_state.durations.describe()
            state["known_speeds"] = leader.cluster_state.speeds.to_record()
            state["teams"] = describe_teams(leader.planner)
        return state

    def explain(self, job_id: str) -> HttpResponse:
        """Respond with where a job would go now, and why.

        Status 404 if the leader does not know the job, and as for ``why_not_answering``.
        """
        refusal = self.why_not_answering()
        if refusal is not None:
            return refusal
        state = self.leader.cluster_state.jobs.get(job_id)
        if state is None:
            return self.respond(404, {"error": f"the leader knows no job {job_id[:64]!r}"})
        return self.respond(200, self.explain_state(state))

    def explain_request(self, body: bytes) -> HttpResponse:
        """Respond with where a job that has not been sent would go now, and why.

        Status 422 if the body is not valid, and as for ``why_not_answering``.
        """
        refusal = self.why_not_answering()
        if refusal is not None:
            return refusal
        configuration = self.watcher.configuration
        if configuration is None:
            return self.respond(503, {"error": "no configuration has been read yet"})
        try:
            job, team = decode_request(body, configuration, time.time())
        except BadRequest as error:
            return self.respond(422, {"error": str(error)})
        excess = explain_excess(team.name, job.steps, team.limit)
        admission = self.decide_admission(job, team.guaranteed_accelerators)
        state = assume_submitted(job, self.leader.cluster_state, self.clock.now())
        refused = excess or (admission.reason if admission.is_refused else "")
        return self.respond(200, {**self.explain_state(state), "refused": refused})

    def explain_state(self, state: JobState) -> dict:
        """Return the explanation of a job as plain JSON values; only while this daemon leads."""
        explanation = explain_job(self.leader.planner, state, self.clock.now(), time.time())
        return {
            "epoch": self.leader.epoch,
            "has_authority": self.leader.has_authority,
            **to_plain(explanation),
        }

    def why_not_answering(self) -> HttpResponse | None:
        """Return the response of a daemon that cannot explain where jobs go, ``None`` if it can.

        Status 409 if it does not lead, with the leader as far as it knows and the age of that
        knowledge; 503 if it leads but has not loaded its state.
        """
        if self.leader is None:
            election = self.election
            age = None if election is None else self.clock.now() - election.last_renewal_at
            name = self.find_leader()
            error = f"this daemon does not lead; {name} does" if name else "no leader is known"
            return self.respond(409, {"error": error, "leader": name, "age_seconds": age})
        if not self.leader.is_loaded:
            return self.respond(503, {"error": "the leader is still loading its state"})
        return None

    def respond(self, status: int, values: dict) -> HttpResponse:
        """Return a response with JSON values and the name of this VM."""
        return json_response(status, msgspec.json.encode({"vm": self.settings.name, **values}))

    def describe(self) -> DaemonState:
        """Return the name, data centre, configuration version and shutdown state of this daemon."""
        configuration = self.watcher.configuration
        version = configuration.version if configuration else 0
        settings = self.settings
        return DaemonState(settings.name, settings.data_centre, version, self.is_stopping)

    def on_handler_error(self, error: Exception) -> None:
        """Count and log an exception that a request handler raised."""
        self.metrics.count("http.handler_errors")
        log.error("request handler failed", exc_info=error, limited=True)

    def on_task_failure(self, name: str, error: Exception) -> None:
        """Count and log the failure of a background task, which is then restarted."""
        self.metrics.count("daemon.task_failures")
        log.error("background task failed", task=name, exc_info=error)

    def on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Count and log an error that the event loop reports, such as a failed ``accept``."""
        self.metrics.count("daemon.loop_errors")
        error = context.get("exception")
        log.error(
            "event loop reported an error",
            reason=context["message"],
            error=None if error is None else describe_error(error),
            limited=True,
        )

    # Leadership

    async def run_leadership(self) -> None:
        """Take part in elections and lead after each won one, until cancelled.

        Cancellation or an unexpected error resigns the leadership.
        """
        takeover_delay = MAX_TAKEOVER_DELAY_SECONDS / (1.0 + self.settings.processor_share)
        while True:
            election = Election(
                self.table,
                self.incarnation,
                takeover_delay,
                self.clock,
                self.rng,
                self.left_out,
            )
            self.election = election
            _, version = await election.campaign()
            writer = FencedWriter(self.table, election.record, version, self.clock)
            self.leader = Leader(
                self.table,
                self.directory,
                lambda entry: HttpWorkerLink(entry.id, entry.address, self.received_budget),
                writer,
                LeaderSettings(
                    self.settings.bounds.lease,
                    self.settings.bounds.restore,
                    self.settings.bounds.status,
                    self.settings.values,
                    self.settings.overload,
                    self.settings.teams.share_equally,
                    self.settings.bounds.spread_slowdown,
                ),
                self.clock,
                time.time,
                self.metrics,
            )
            update_task = asyncio.create_task(self.update_leader(self.leader))
            try:
                await self.leader.run()
            except PlatformUnavailable as error:
                log.info("leadership start failed", reason=str(error))
            except BaseException:
                # After an unexpected error, too, another daemon may take over at once.
                await self.resign_leadership(writer)
                raise
            finally:
                update_task.cancel()
                self.leader = None

    def decide_admission(self, job: Job, guaranteed: int) -> Admission:
        """Decide by the newest summary of the leader whether a job is refused in an overload.

        :param guaranteed: guaranteed accelerators of the job's team.
        """
        if not self.settings.overload.refuses or self.election is None:
            return ACCEPTED
        # While this daemon leads, its election does not see the renewals.
        writer = None if self.leader is None else self.leader.writer
        record = writer.record if writer is not None else self.election.record
        renewed_at = writer.renewed_at if writer is not None else self.election.last_renewal_at
        age = self.clock.now() - renewed_at
        spread = self.rng.random()
        summary = decode_summary(record.load)
        return decide_admission(job, summary, age, guaranteed, self.settings.values, spread)

    def find_leader(self) -> str:
        """Return the name of the VM that leads, as far as this daemon knows; empty if none does."""
        owner = self.election.record.owner if self.election is not None else ""
        return owner.rpartition("/")[0]

    def deliver_row(self, row: Row) -> None:
        """Pass a row that was just stored to the leader, if this daemon leads."""
        if self.leader is not None:
            self.leader.apply_notified_row(row)

    async def handle_peer(self, request: HttpRequest) -> HttpResponse:
        """Serve another daemon: relay its request to the store, or take a notification."""
        if request.path == NOTIFICATION_PATH:
            return await self.notifier.handle(request)
        return await self.transport.handle(request)

    async def resign_leadership(self, writer: FencedWriter) -> None:
        """Resign the leadership, so that another daemon takes over at once.

        A failure is only logged: the other daemons take over after the takeover timeout.
        """
        try:
            await writer.resign()
        except Exception as error:
            log.info("leadership resignation failed", reason=str(error))

    async def update_leader(self, leader: Leader) -> None:
        """Pass changes that operators made to the leader, until cancelled."""
        applied: tuple | None = None
        team_limits = leader.planner.team_limits
        team_limits.is_pending = True
        while True:
            configuration = self.watcher.configuration
            version = configuration.version if configuration else None
            current = (version, self.watcher.out_of_service)
            if current != applied:
                applied = current
                leader.cluster_state.evacuated = self.watcher.out_of_service
                if configuration is not None:
                    leader.cluster_state.unguarded_services = configuration.unguarded_services
                    leader.planner.guarantees = {
                        team.name: team.guaranteed_accelerators for team in configuration.teams
                    }
                    limits = {team.name: team.limit for team in configuration.teams}
                    team_limits.configure(limits, self.clock.now())
                    leader.planner.team_shares.weights = {
                        team.name: team.weight for team in configuration.teams if team.weight > 0
                    }
                leader.scheduling_requested.set()
            await asyncio.sleep(0.1)

    def caller_limits(self) -> HttpLimits:
        """Return the current HTTP limits for callers."""
        configuration = self.watcher.configuration
        return configuration.limits if configuration else HttpLimits()

    async def register_as_peer(self) -> None:
        """Register this daemon and keep the list of the others up to date, until cancelled."""
        await self.transport.run_registration(self.table, self.settings.peer_address)

    # Life cycle

    def build_servers(self) -> list[HttpServer]:
        """Return one server for each listen address; the first one is for callers."""
        settings = self.settings
        servers = [
            self.build_server(
                ServerName.CALLERS,
                settings.caller_address,
                self.caller_api.handle,
                self.caller_limits,
            ),
            self.build_server(ServerName.READY, settings.ready_address, self.handle_ready),
            self.build_server(ServerName.METRICS, settings.metrics_address, self.handle_metrics),
            self.build_server(
                ServerName.PEERS,
                settings.peer_address,
                self.handle_peer,
                lambda: HttpLimits(max_body_bytes=MAX_RESPONSE_BYTES),
            ),
        ]
        if settings.operators is not None and self.operator_api is not None:
            address = settings.operators.address
            servers.append(
                self.build_server(ServerName.OPERATORS, address, self.operator_api.handle)
            )
        return servers

    def build_server(
        self,
        name: ServerName,
        address: Address,
        handler: Handler,
        get_limits: Callable[[], HttpLimits] = HttpLimits,
    ) -> HttpServer:
        """Return one server, with its share of what clients may take up."""
        return HttpServer(
            address,
            handler,
            self.on_handler_error,
            get_limits,
            self.settings.capacity.for_server(name),
            lambda reason: self.refusals.observe(name, reason),
            self.client_budget,
        )

    async def run(self) -> None:
        """Run until ``stop_requested`` is set, then shut down gracefully.

        :raises OSError: when an address cannot be bound.
        """
        asyncio.get_running_loop().set_exception_handler(self.on_loop_error)
        settings = self.settings
        servers = self.build_servers()
        async with AsyncExitStack() as stack:
            stack.callback(self.transport.close)
            stack.callback(self.notifier.close)
            for server in servers:
                await stack.enter_async_context(server)
            background_tasks = [
                supervise(work, name, self.on_task_failure)
                for name, work in (
                    ("configuration watcher", self.watcher.run),
                    ("probes", self.transport.run_probes),
                    ("peers", self.register_as_peer),
                    ("event loop monitor", self.loop_monitor.run),
                )
            ]
            leadership_task = supervise(self.run_leadership, "leadership", self.on_task_failure)
            log.info("daemon started", vm=settings.name, incarnation=self.incarnation)
            await self.stop_requested.wait()
            self.is_stopping = True
            log.info("graceful shutdown started", vm=settings.name)
            leadership_task.cancel()
            await asyncio.gather(leadership_task, return_exceptions=True)
            aborted = await servers[0].drain(settings.bounds.grace - DRAIN_MARGIN_SECONDS)
            for task in background_tasks:
                task.cancel()
            await asyncio.gather(*background_tasks, return_exceptions=True)
            log.info("graceful shutdown finished", vm=settings.name, aborted_requests=aborted)
