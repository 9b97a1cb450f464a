"""Operators' HTTP interface: release notes, and what is in force."""

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

Route = Callable[[HttpRequest, str], Awaitable[HttpResponse]]

log = structlog.get_logger()


@attrs.frozen
class Problem:
    """Body of an error answer."""

    error: str
    reasons: list[str] = attrs.field(factory=list)


def problem(status: int, error: str, reasons: list[str] | None = None) -> HttpResponse:
    """Return an error answer."""
    return json_response(status, to_json(Problem(error, reasons or [])))


def ok(value: Any) -> HttpResponse:
    """Return a successful answer with a JSON body."""
    return json_response(200, to_json(value))


@attrs.frozen
class DaemonState:
    """What a daemon tells of itself.

    :param version: version of the configuration that is in force in it.
    """

    id: str
    data_centre: str
    version: int
    is_stopping: bool


class OperatorApi:
    """Answers operators on one daemon.

    :param notes: accepts release notes.
    :param describe: returns what this daemon tells of itself.
    :param dump: returns the whole state of this daemon as plain values.
    """

    def __init__(
        self,
        notes: NoteService,
        credentials: Credentials,
        describe: Callable[[], DaemonState],
        dump: Callable[[], dict],
    ) -> None:
        self.notes = notes
        self.credentials = credentials
        self.describe = describe
        self.dump = dump
        self.routes: dict[str, Route] = {
            "GET /v1/notes/": self.get_note,
            "POST /v1/notes": self.post_note,
            "GET /v1/teams/": self.get_team,
            "GET /v1/jobs/": self.get_job,
            "GET /v1/configuration": self.get_configuration,
            "GET /v1/daemon": self.get_daemon,
            "GET /v1/dump": self.get_dump,
        }

    @property
    def book(self) -> EntityCache:
        """What is in force in this daemon."""
        return self.notes.cache

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Find and call the route of a request."""
        for route, handler in self.routes.items():
            method, _, path = route.partition(" ")
            is_prefix = path.endswith("/")
            found = request.path.startswith(path) if is_prefix else request.path == path
            if not found or (is_prefix and request.path == path):
                continue
            if request.method != method:
                return problem(405, f"use {method}")
            operator = self.credentials.operator(request)
            if operator is None:
                log.info("operator refused", path=request.path, reason="unknown token")
                return problem(401, "unknown token; use an operator's token")
            return await handler(request, unquote(request.path.removeprefix(path)))
        return problem(404, f"no such path: {request.path!r}")

    async def post_note(self, request: HttpRequest, name: str) -> HttpResponse:
        """Submit a release note."""
        try:
            note = read_note(request.body)
        except DecodeError as error:
            return problem(422, "the note is not valid; nothing was applied", error.errors)
        answer = await self.notes.submit(note)
        status = {NoteStatus.ACCEPTED: 200, NoteStatus.UNKNOWN: 504}.get(answer.status)
        return json_response(status or REFUSAL_STATUS[answer.kind], to_json(answer))

    async def get_note(self, request: HttpRequest, name: str) -> HttpResponse:
        """Tell what became of a release note."""
        return ok(await self.notes.status(name))

    async def get_team(self, request: HttpRequest, name: str) -> HttpResponse:
        """Tell a team's guarantee and its jobs."""
        team = self.book.teams.get(name)
        if team is None:
            return problem(404, f"no team {name!r} at version {self.book.version}")
        jobs = [
            known.job.name
            for known in self.book.jobs.values()
            if known.job.team == name and not known.is_withdrawn
        ]
        return ok({"team": without_keys(team), "jobs": sorted(jobs)})

    async def get_job(self, request: HttpRequest, name: str) -> HttpResponse:
        """Tell the state of a job that a note has named."""
        known = self.book.jobs.get(name)
        if known is None:
            return problem(404, f"no job {name!r}")
        try:
            progress = await self.notes.jobs.progress(known.id)
            is_kept = progress is not None or await self.notes.jobs.find(known.id) is not None
        except PlatformUnavailable as error:
            return problem(503, f"its state cannot be read now: {error}")
        if not is_kept:
            return problem(410, f"job {name!r} has ended; its outcome is no longer kept")
        status = JobStatus.QUEUED if progress is None else progress.status
        return ok({"job": name, "id": known.id, "state": status.value})

    async def get_configuration(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return what is in force in this daemon, without keys."""
        book = self.book
        return ok(
            {
                "version": book.version,
                "teams": {name: without_keys(team) for name, team in book.teams.items()},
                "jobs": {
                    name: to_plain(known.job)
                    for name, known in book.jobs.items()
                    if not known.is_withdrawn
                },
                "data_centres": to_plain(book.data_centres),
                "queues": to_plain(book.queues),
            }
        )

    async def get_daemon(self, request: HttpRequest, name: str) -> HttpResponse:
        """Tell this daemon's identity and version."""
        return ok(self.describe())

    async def get_dump(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return this daemon's whole state, without secrets."""
        return ok(self.dump())


def without_keys(team: Team) -> dict:
    """Return a team as plain values, with the number of its keys instead of them."""
    plain = to_plain(team)
    return {**plain, "keys": len(team.keys)}


def read_note(body: bytes) -> ReleaseNote:
    """Read a release note in JSON, with or without comments.

    :raises DecodeError: with every mistake.
    """
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        value = _read_commented(body)
    return structure_strictly(value, ReleaseNote)


def _read_commented(body: bytes) -> Any:
    try:
        return json5.loads(body.decode("utf-8"), allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise DecodeError([f"not JSON with comments: {error}"]) from error
