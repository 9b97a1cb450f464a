"""HTTP interface of callers: submit a job, get its state, cancel it, count pending jobs."""

import asyncio
import math
import random
import re
import time
from collections.abc import Callable

import attrs
import structlog

from jaypier.core.clock import Clock
from jaypier.core.codec import DecodeError
from jaypier.core.metrics import Metrics
from jaypier.entry.configuration import Configuration, Route
from jaypier.entry.requests import build_job
from jaypier.entry.watcher import ConfigurationWatcher
from jaypier.jobs.model import Job, JobStatus
from jaypier.jobs.rows import JobRefused, JobTable, JobTooLarge
from jaypier.platform import PlatformRefused, PlatformUnavailable
from jaypier.platform.callers import (
    BadRequest,
    accepted_response,
    decode_job,
    error_response,
    get_api_key,
    get_timeout_seconds,
    pending_response,
    state_response,
)
from jaypier.platform.decoding import describe_error
from jaypier.scheduling.overload import ACCEPTED, Admission
from jaypier.scheduling.team_limits import explain_excess
from jaypier.wire.messages import RETRY_AFTER_SECONDS, HttpRequest, HttpResponse

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")

METHODS = frozenset({"GET", "POST", "DELETE"})
"""Methods that callers use."""

OTHER_METHOD = "other"
"""Name of all other methods in metrics."""

RESPONSE_MARGIN_SECONDS = 0.2
"""Time reserved for the response to reach the caller before its deadline."""

STORE_RETRY_TIMEOUT_SECONDS = 0.8
"""Time for which a request that has had no effect is retried before it is refused."""

STORE_RETRY_DELAY_SECONDS = 0.1
"""Mean delay before a request to the store is retried."""

ISOLATED_RETRY_AFTER_SECONDS = 0
"""The same while only this VM cannot serve it: another one can at once."""

REVOCATION_MARGIN_SECONDS = 0.6
"""Time before the end of the revocation period from which keys are refused unless the
configuration has been confirmed."""

PENDING_CACHE_SECONDS = 0.7
"""Time for which the numbers of pending jobs are cached."""

log = structlog.get_logger()


@attrs.frozen
class Call:
    """A caller's request whose route, API key and job id have been checked.

    :param job_id: id of the job in the path, empty for a request on the queue itself.
    :param team: team of the key, empty on a public route.
    :param deadline: time on the local clock, in seconds, by which work on the request has to end.
    """

    route: Route
    job_id: str
    team: str
    deadline: float
    request: HttpRequest


class CallerApi:
    """Serves callers' requests.

    :param watcher: provides the configuration and its age.
    :param revocation_seconds: time after which a removed key must no longer be accepted.
    :param wall_clock: returns Unix time in seconds.
    :param is_isolated: returns whether this VM reaches neither the store nor other VMs.
    :param decide_admission: returns whether a job is refused because of an overload, by the job and
        the guaranteed accelerators of its team.
    """

    def __init__(
        self,
        watcher: ConfigurationWatcher,
        jobs: JobTable,
        revocation_seconds: float,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
        is_isolated: Callable[[], bool] = lambda: False,
        decide_admission: Callable[[Job, int], Admission] = lambda job, guaranteed: ACCEPTED,
    ) -> None:
        self.watcher = watcher
        self.jobs = jobs
        self.max_configuration_age_seconds = revocation_seconds - REVOCATION_MARGIN_SECONDS
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.wall_clock = wall_clock
        self.is_isolated = is_isolated
        self.decide_admission = decide_admission
        self.pending: dict[str, int] = {}
        self.pending_read_at = float("-inf")

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request, and count and time its response."""
        began = self.clock.now()
        call = self.admit(request, began)
        response = call if isinstance(call, HttpResponse) else await self.dispatch(call)
        # Callers can send any method, and each name takes memory until the process ends.
        method = request.method if request.method in METHODS else OTHER_METHOD
        self.metrics.count(f"front.{method}_{response.status}")
        self.metrics.record(f"front.{method}", self.clock.now() - began)
        return response

    def admit(self, request: HttpRequest, now: float) -> Call | HttpResponse:
        """Check route, API key and job id of a request; return the call or an error response.

        :param now: time on the local clock, in seconds, at which the request arrived.
        """
        configuration = self.watcher.configuration
        if configuration is None:
            return error_response(503, "no configuration yet", RETRY_AFTER_SECONDS)
        host = request.header(b"host").partition(":")[0]
        route = configuration.find_route(host, request.path)
        if route is None:
            return error_response(404, f"no queue at {host}{request.path}")
        team = self.check_key(configuration, route, request)
        if isinstance(team, HttpResponse):
            return team
        job_id = request.path[len(route.prefix) :]
        is_queue = job_id == "" and request.method == "GET"
        if not is_queue and not JOB_ID.fullmatch(job_id):
            return error_response(
                404, f"{job_id[:32]!r} is not an identity of 16 hexadecimal digits"
            )
        timeout = get_timeout_seconds(request, route.timeout_seconds)
        return Call(route, job_id, team, now + timeout - RESPONSE_MARGIN_SECONDS, request)

    def check_key(
        self, configuration: Configuration, route: Route, request: HttpRequest
    ) -> str | HttpResponse:
        """Return the team name for a request's API key, or an error response.

        The name is empty on a public route. While the configuration is too old, the key may have
        been revoked in the meantime, so that the response is status 503.
        """
        if route.is_public:
            return ""
        if self.watcher.age > self.max_configuration_age_seconds:
            log.info(
                "request refused, configuration stale",
                path=request.short_path,
                age=self.watcher.age,
                limited=True,
            )
            return error_response(503, "keys cannot be confirmed now", self.retry_after)
        team = configuration.find_team_by_key(get_api_key(request))
        if team is None:
            return error_response(401, "unknown key")
        return team.name

    async def dispatch(self, call: Call) -> HttpResponse:
        """Run the handler for a call's method and path."""
        if call.job_id == "":
            return await self.run_with_retries(call, self.count_pending)
        method = call.request.method
        if method == "POST":
            return await self.submit(call)
        if method == "GET":
            return await self.run_with_retries(call, self.report_state)
        if method == "DELETE":
            return await self.run_with_retries(call, self.cancel)
        return error_response(405, f"{method} is not supported; use GET, POST or DELETE")

    async def submit(self, call: Call) -> HttpResponse:
        """Store a job, or refuse it in an overload.

        A resubmission of a request that has been accepted succeeds as well. A refusal is stored, so
        that no other request with the id that is still being served stores the job after it.
        """
        received_at = self.jobs.table.store_time()
        route = call.route
        try:
            request = decode_job(call.request.body)
        except BadRequest as error:
            return error_response(400, str(error))
        if route.needs_placement_advice:
            return error_response(400, "queues that need advice are not supported")
        job = build_job(call.job_id, route, call.team, request, self.wall_clock())

        async def accept(call: Call) -> HttpResponse:
            try:
                if await self.jobs.accept(job, received_at):
                    return accepted_response()
            except JobTooLarge as error:
                return error_response(413, str(error))
            except JobRefused as error:
                retry_after = max(self.retry_after, math.ceil(error.seconds))
                return error_response(429, str(error), retry_after)
            return error_response(409, f"another job has the identity {job.id}")

        excess = explain_excess(job.team, job.steps, self.watcher.configuration.limit_of(job.team))
        admission = (
            Admission(True, excess)
            if excess
            else self.decide_admission(job, self.guaranteed_accelerators(call.team))
        )

        async def refuse(call: Call) -> HttpResponse:
            accepted = await self.jobs.refuse(job.id)
            if accepted is not None:
                return self.respond_to_resubmission(job, accepted)
            self.metrics.count("front.over_team_limit" if excess else "front.overload_refusals")
            log.info(
                "job refused, over team limit" if excess else "job refused, overload",
                job=job.id,
                queue=job.queue,
                reason=admission.reason,
                need=admission.room_seconds,
                wait=admission.wait,
                age=admission.age,
                retry_after=admission.retry_after,
            )
            return error_response(429, f"not run: {admission.reason}", admission.retry_after)

        response = await self.run_with_retries(call, refuse if admission.is_refused else accept)
        log.info(
            "job submitted",
            job=job.id,
            status=response.status,
            queue=job.queue,
            configuration=self.watcher.configuration.version,
        )
        return response

    def respond_to_resubmission(self, job: Job, accepted: Job) -> HttpResponse:
        """Return the response to a job whose id belongs to an accepted one."""
        if accepted.is_same_request(job):
            return accepted_response()
        return error_response(409, f"another job has the identity {job.id}")

    def guaranteed_accelerators(self, team_name: str) -> int:
        """Return the number of accelerators that a team is guaranteed."""
        teams = self.watcher.configuration.teams
        return next((each.guaranteed_accelerators for each in teams if each.name == team_name), 0)

    @property
    def retry_after(self) -> int:
        """Seconds after which a request that cannot be served now may be sent again."""
        return ISOLATED_RETRY_AFTER_SECONDS if self.is_isolated() else RETRY_AFTER_SECONDS

    async def run_with_retries(self, call: Call, action: Callable) -> HttpResponse:
        """Run an action that uses the store, with retries.

        On an isolated VM it is not tried, and not retried, as another VM can serve the request.

        An action that certainly had no effect is retried for ``STORE_RETRY_TIMEOUT_SECONDS``; then
        the caller gets status 503, not run. One that may have had an effect is retried until the
        deadline of the call, which is safe because actions are idempotent; then the caller gets
        status 504, outcome unknown.

        :param action: coroutine function that takes the call and returns the response.
        """
        began = self.clock.now()
        may_have_run = False
        if self.is_isolated():
            log.info("request refused, isolated", job=call.job_id, path=call.request.path)
            return error_response(503, "not run: this VM is isolated", self.retry_after)
        while True:
            try:
                async with asyncio.timeout(max(0.05, call.deadline - self.clock.now())):
                    return await action(call)
            except PlatformUnavailable as error:
                may_have_run |= error.effect_unknown and call.request.method != "GET"
                reason = str(error)
            except TimeoutError:
                may_have_run |= call.request.method != "GET"
                reason = "the store did not answer in time"
            except PlatformRefused as error:
                log.error("request rejected by store", job=call.job_id, reason=str(error))
                return error_response(500, "internal error")
            except DecodeError as error:
                self.metrics.count("front.unreadable_rows")
                log.error("stored row unreadable", job=call.job_id, reason=describe_error(error))
                return error_response(500, "internal error")
            now = self.clock.now()
            retry_until = call.deadline if may_have_run else began + STORE_RETRY_TIMEOUT_SECONDS
            is_over = now + STORE_RETRY_DELAY_SECONDS >= min(call.deadline, retry_until)
            if is_over or self.is_isolated():
                log.info(
                    "request retries exhausted",
                    job=call.job_id,
                    may_have_run=may_have_run,
                    reason=reason,
                )
                if may_have_run:
                    return error_response(504, "the outcome is not known; ask again")
                return error_response(503, "not run: the store does not answer", self.retry_after)
            await asyncio.sleep(STORE_RETRY_DELAY_SECONDS * self.rng.uniform(0.6, 1.4))

    async def report_state(self, call: Call) -> HttpResponse:
        """Return the state of a job, status 410 if it is unknown to this queue."""
        progress = await self.jobs.progress(call.job_id)
        if progress is not None and progress.queue == call.route.queue:
            return state_response(progress.status)
        job = await self.jobs.find(call.job_id)
        if job is None or job.queue != call.route.queue:
            return error_response(410, f"no job {call.job_id}")
        return state_response(JobStatus.QUEUED)

    async def cancel(self, call: Call) -> HttpResponse:
        """Store a cancellation request for a job of the caller's team.

        A job that is not stored yet cannot be stored any more by a request that is under way.
        """
        job = await self.jobs.find_or_refuse(call.job_id)
        if job is None:
            self.metrics.count("front.unknown_cancellations")
            log.info("unknown job cancelled", job=call.job_id, queue=call.route.queue)
        if job is None or job.queue != call.route.queue:
            return error_response(410, f"no job {call.job_id}")
        if job.team != call.team:
            return error_response(403, "the job belongs to another team")
        await self.jobs.cancel(call.job_id)
        return accepted_response()

    async def count_pending(self, call: Call) -> HttpResponse:
        """Return the number of jobs of a queue that have not started.

        The number may be ``PENDING_CACHE_SECONDS`` old.
        """
        now = self.clock.now()
        if now - self.pending_read_at > PENDING_CACHE_SECONDS:
            self.pending = await self.jobs.pending()
            self.pending_read_at = now
        return pending_response(self.pending.get(call.route.queue, 0))
