"""Operator HTTP API: submits release notes and reports the configuration in force."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote

import attrs
import json5
import msgspec
import structlog

from jaypier.core.codec import DecodeError, structure_strictly, to_json, to_plain
from jaypier.jobs.model import JobStatus
from jaypier.notes.cache import EntityCache
from jaypier.notes.model import ReleaseNote, Team
from jaypier.notes.service import NoteService, NoteStatus
from jaypier.notes.validation import RefusalKind
from jaypier.operators.credentials import Credentials
from jaypier.platform import PlatformUnavailable
from jaypier.wire.messages import HttpRequest, HttpResponse, json_response

REFUSAL_STATUS = {
    RefusalKind.INVALID.value: 422,
    RefusalKind.CONFLICT.value: 409,
    RefusalKind.SHORTFALL.value: 422,
}

RouteHandler = Callable[[HttpRequest, str], Awaitable[HttpResponse]]

log = structlog.get_logger()


@attrs.frozen
class ErrorBody:
    """JSON body of an error response."""

    error: str
    reasons: list[str] = attrs.field(factory=list)


def error_response(status: int, error: str, reasons: list[str] | None = None) -> HttpResponse:
    """Return an error response."""
    return json_response(status, to_json(ErrorBody(error, reasons or [])))


def ok_response(value: Any) -> HttpResponse:
    """Return a response with status 200 and a JSON body."""
    return json_response(200, to_json(value))


@attrs.frozen
class DaemonState:
    """Id and state of a daemon.

    :param id: name of the daemon.
    :param version: version of the configuration in force on this daemon, 0 before the first one.
    :param is_stopping: whether a graceful shutdown has begun.
    """

    id: str
    data_centre: str
    version: int
    is_stopping: bool


class OperatorApi:
    """Operator API of one daemon.

    :param notes: service that accepts release notes.
    :param credentials: operator tokens.
    :param describe: returns the id and state of this daemon.
    :param dump: returns the full state of this daemon as plain values.
    :param explain: responds with where the job with an id would go now.
    :param explain_request: responds with where the job in a body would go now.
    """

    def __init__(
        self,
        notes: NoteService,
        credentials: Credentials,
        describe: Callable[[], DaemonState],
        dump: Callable[[], dict],
        explain: Callable[[str], HttpResponse],
        explain_request: Callable[[bytes], HttpResponse],
    ) -> None:
        self.notes = notes
        self.credentials = credentials
        self.describe = describe
        self.dump = dump
        self.explain = explain
        self.explain_request = explain_request
        self.routes: dict[str, RouteHandler] = {
            "GET /v1/notes/": self.get_note,
            "POST /v1/notes": self.post_note,
            "GET /v1/teams/": self.get_team,
            "GET /v1/jobs/": self.get_job,
            "GET /v1/configuration": self.get_configuration,
            "GET /v1/daemon": self.get_daemon,
            "GET /v1/dump": self.get_dump,
            "GET /v1/explain/": self.get_explanation,
            "POST /v1/explain": self.post_explanation,
        }

    @property
    def cache(self) -> EntityCache:
        """Configuration in force on this daemon."""
        return self.notes.cache

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Authenticate a request and dispatch it to the handler of its route.

        Paths that end in ``/`` are prefixes; the rest of the request path is passed to the handler
        and must not be empty.
        """
        for route, handler in self.routes.items():
            method, _, path = route.partition(" ")
            is_prefix = path.endswith("/")
            is_match = request.path.startswith(path) if is_prefix else request.path == path
            if not is_match or (is_prefix and request.path == path):
                continue
            if request.method != method:
                return error_response(405, f"use {method}")
            operator = self.credentials.authenticate(request)
            if operator is None:
                log.info(
                    "operator request refused",
                    path=request.short_path,
                    reason="unknown token",
                    limited=True,
                )
                return error_response(401, "unknown token; use an operator's token")
            return await handler(request, unquote(request.path.removeprefix(path)))
        return error_response(404, f"no such path: {request.path!r}")

    async def post_note(self, request: HttpRequest, name: str) -> HttpResponse:
        """Submit a release note.

        Status 200 if it is accepted, 422 if it is invalid or its guarantees do not fit, 409 on a
        conflict with a newer version, 504 if the outcome is unknown.
        """
        try:
            note = decode_note(request.body)
        except DecodeError as error:
            return error_response(422, "the note is not valid; nothing was applied", error.errors)
        result = await self.notes.submit(note)
        status = {NoteStatus.ACCEPTED: 200, NoteStatus.UNKNOWN: 504}.get(result.status)
        return json_response(status or REFUSAL_STATUS[result.kind], to_json(result))

    async def get_note(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return the status of a release note."""
        return ok_response(await self.notes.status(name))

    async def get_team(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return the guarantee and the jobs of a team, without its API keys."""
        team = self.cache.teams.get(name)
        if team is None:
            return error_response(404, f"no team {name!r} at version {self.cache.version}")
        jobs = [
            scheduled_job.job.name
            for scheduled_job in self.cache.jobs.values()
            if scheduled_job.job.team == name and not scheduled_job.is_withdrawn
        ]
        return ok_response({"team": redact_keys(team), "jobs": sorted(jobs)})

    async def get_job(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return the state of a job that a release note has added.

        Status 404 if no note has added it, 410 if it has ended and its outcome is no longer stored,
        503 if its state cannot be read from the store.
        """
        scheduled_job = self.cache.jobs.get(name)
        if scheduled_job is None:
            return error_response(404, f"no job {name!r}")
        try:
            progress = await self.notes.jobs.progress(scheduled_job.id)
            is_retained = (
                progress is not None or await self.notes.jobs.find(scheduled_job.id) is not None
            )
        except PlatformUnavailable as error:
            return error_response(503, f"its state cannot be read now: {error}")
        if not is_retained:
            return error_response(410, f"job {name!r} has ended; its outcome is no longer kept")
        status = JobStatus.QUEUED if progress is None else progress.status
        return ok_response({"job": name, "id": scheduled_job.id, "state": status.value})

    async def get_configuration(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return the configuration in force on this daemon, without API keys."""
        cache = self.cache
        return ok_response(
            {
                "version": cache.version,
                "teams": {name: redact_keys(team) for name, team in cache.teams.items()},
                "jobs": {
                    name: to_plain(scheduled_job.job)
                    for name, scheduled_job in cache.jobs.items()
                    if not scheduled_job.is_withdrawn
                },
                "data_centres": to_plain(cache.data_centres),
                "queues": to_plain(cache.queues),
            }
        )

    async def get_daemon(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return the id and state of this daemon."""
        return ok_response(self.describe())

    async def get_dump(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return the full state of this daemon, without secrets."""
        return ok_response(self.dump())

    async def get_explanation(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return where a job would go now, by its id or the name that a note has given it."""
        scheduled_job = self.cache.jobs.get(name)
        return self.explain(name if scheduled_job is None else scheduled_job.id)

    async def post_explanation(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return where a job that has not been sent would go now; nothing is stored."""
        return self.explain_request(request.body)


def redact_keys(team: Team) -> dict:
    """Return a team as plain values, with its API keys replaced by their number."""
    plain = to_plain(team)
    return {**plain, "keys": len(team.keys)}


def decode_note(body: bytes) -> ReleaseNote:
    """Decode a release note from JSON, with or without comments.

    :raises DecodeError: if the body is not valid; lists all errors that were found.
    """
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        value = _decode_commented_json(body)
    return structure_strictly(value, ReleaseNote)


def _decode_commented_json(body: bytes) -> Any:
    try:
        return json5.loads(body.decode("utf-8"), allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise DecodeError([f"not JSON with comments: {error}"]) from error
