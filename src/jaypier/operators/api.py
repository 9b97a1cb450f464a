"""Routes of a daemon's HTTP interface."""

import hmac
from collections.abc import Awaitable, Callable
from hashlib import sha256
from typing import Any
from urllib.parse import unquote

import attrs
import json5
import msgspec

from jaypier.core.address import Address
from jaypier.core.codec import DecodeError, structure_strictly, to_json, to_plain
from jaypier.notes.errors import LedgerError
from jaypier.notes.model import ReleaseNote
from jaypier.notes.service import NoteStatus
from jaypier.notes.validation import RefusalKind
from jaypier.operators.credentials import Credentials
from jaypier.operators.node import Node
from jaypier.requests.errors import InvalidRequest
from jaypier.requests.http import (
    FORWARDED_HEADER,
    REQUESTS_PREFIX,
    SERVICES_PREFIX,
    TEAM_HEADER,
    read_caller_request,
    write_result,
)
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse, json_response

LOCAL_QUERY = "?local"
"""Marks a question that another daemon passed on; it is not passed on again."""

ASK_TIMEOUT = 2.0
"""Seconds to wait for another daemon's answer to an operator's question."""

REFUSAL_STATUS = {
    RefusalKind.INVALID.value: 422,
    RefusalKind.CONFLICT.value: 409,
    RefusalKind.SHORTFALL.value: 422,
    RefusalKind.UNAVAILABLE.value: 503,
}

Route = Callable[[HttpRequest, str], Awaitable[HttpResponse]]


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


def forward_proof(secret: bytes) -> str:
    """Return the proof by which daemons recognize requests that others hand over."""
    return hmac.new(secret, b"forwarded", sha256).hexdigest()


class Api:
    """Answers every request that reaches a daemon's caller address.

    :param node: the parts of this daemon.
    :param proof: what other daemons send with requests that they hand over.
    """

    def __init__(self, node: Node, credentials: Credentials, proof: str) -> None:
        self.node = node
        self.credentials = credentials
        self.proof = proof
        self.pools: dict[str, ConnectionPool] = {}
        self.operator_routes: dict[str, Route] = {
            "GET /v1/notes/": self.get_note,
            "POST /v1/notes": self.post_note,
            "GET /v1/teams/": self.get_team,
            "GET /v1/jobs/": self.get_job,
            "GET /v1/configuration": self.get_configuration,
            "GET /v1/nodes": self.get_nodes,
            "GET /v1/dump": self.get_dump,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.target.startswith(SERVICES_PREFIX):
            return await self.serve(request)
        if request.path == "/health":
            return self.health()
        if request.path == "/v1/tickets" or request.path.startswith(REQUESTS_PREFIX):
            return await self.handle_identity(request)
        return await self.handle_operator(request)

    def health(self) -> HttpResponse:
        """Tell the balancer whether to send new connections."""
        status = self.node.health()
        return HttpResponse(200 if status == "ok" else 503, [], status.encode() + b"\n")

    # Callers

    def _team(self, request: HttpRequest) -> str | None:
        if self._is_forwarded(request):
            return request.header(TEAM_HEADER)
        return self.credentials.team(request)

    def _is_forwarded(self, request: HttpRequest) -> bool:
        header = request.header(FORWARDED_HEADER)
        if not header:
            return False
        proof, _, incarnation = header.partition(" ")
        is_for_us = incarnation == str(self.node.incarnation)
        return is_for_us and hmac.compare_digest(proof.encode(), self.proof.encode())

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Serve a caller's request for a service."""
        team = self._team(request)
        if team is None:
            return problem(401, "unknown token; send 'Authorization: Bearer TOKEN' of a team")
        try:
            caller_request = read_caller_request(request, team, self.node.clock.now())
        except InvalidRequest as error:
            return problem(error.status, str(error))
        result = await self.node.requests.serve(caller_request, self._is_forwarded(request))
        return write_result(result)

    async def handle_identity(self, request: HttpRequest) -> HttpResponse:
        """Mint a ticket, or tell what became of a request identity."""
        team = self._team(request)
        if team is None:
            return problem(401, "unknown token; send 'Authorization: Bearer TOKEN' of a team")
        if request.path == "/v1/tickets":
            if request.method != "POST":
                return problem(405, "use POST")
            return ok({"ticket": self.node.requests.mint(team)})
        key = unquote(request.path.removeprefix(REQUESTS_PREFIX))
        result = await self.node.requests.outcome(team, key, self._is_forwarded(request))
        return write_result(result)

    # Operators

    async def handle_operator(self, request: HttpRequest) -> HttpResponse:
        """Find and call an operator's route."""
        for route, handler in self.operator_routes.items():
            method, _, path = route.partition(" ")
            is_prefix = path.endswith("/")
            found = request.path.startswith(path) if is_prefix else request.path == path
            if not found or (is_prefix and request.path == path):
                continue
            if request.method != method:
                return problem(405, f"use {method}")
            if self.credentials.operator(request) is None:
                return problem(401, "unknown token; use an operator's token")
            return await handler(request, unquote(request.path.removeprefix(path)))
        return problem(404, f"no such path: {request.path!r}")

    async def post_note(self, request: HttpRequest, name: str) -> HttpResponse:
        """Submit a release note."""
        try:
            note = read_note(request.body)
        except DecodeError as error:
            return problem(422, "the note is not valid; nothing was applied", error.mistakes)
        if not self.node.keeper.is_loaded:
            return problem(503, "this daemon has no configuration yet; try another")
        answer = await self.node.scheduling.submit(note)
        status = {NoteStatus.ACCEPTED: 200, NoteStatus.UNKNOWN: 504}.get(answer.status)
        return json_response(status or REFUSAL_STATUS[answer.kind], to_json(answer))

    async def get_note(self, request: HttpRequest, name: str) -> HttpResponse:
        """Tell what became of a release note."""
        return ok(await self.node.notes.status(name))

    async def get_team(self, request: HttpRequest, name: str) -> HttpResponse:
        """Tell a team's guarantee and its jobs."""
        configuration = self.node.keeper.configuration
        team = configuration.teams.get(name)
        if team is None:
            return problem(404, f"no team {name!r} at version {configuration.version}")
        homes = [each for each in configuration.reservations if each.team == name]
        jobs = {
            job.name: configuration.assignments.get(job.name, "")
            for job in configuration.jobs.values()
            if job.team == name
        }
        return ok({"team": to_plain(team), "homes": to_plain(homes), "jobs": jobs})

    async def get_job(self, request: HttpRequest, name: str) -> HttpResponse:
        """Tell a job's state: from its outcome, or from the owner of its data centre."""
        configuration = self.node.keeper.configuration
        if name not in configuration.jobs:
            return await self._ended_job(name)
        data_centre = configuration.assignments.get(name, "")
        owner = self.node.scheduling.owners.get(data_centre)
        if owner is not None and name in owner.scheduler.state.gangs:
            summary = owner.summarize(name, self.node.clock.now())
            return ok({"job": name, "state": summary.phase, "gang": to_plain(summary)})
        if not request.target.endswith(LOCAL_QUERY):
            answer = await self._ask_owner(request, data_centre)
            if answer is not None:
                return answer
        state = "assigned" if data_centre else "unassigned"
        return ok({"job": name, "state": state, "data_centre": data_centre})

    async def _ended_job(self, name: str) -> HttpResponse:
        try:
            outcome = await self.node.ledger.find_outcome(name)
        except LedgerError as error:
            return problem(503, f"its outcome cannot be read now: {error}")
        if outcome is None:
            return problem(404, f"no job {name!r}")
        return ok({"job": name, "state": outcome.state.value, "reason": outcome.reason})

    async def _ask_owner(self, request: HttpRequest, data_centre: str) -> HttpResponse | None:
        address = self.node.owner_address(data_centre)
        if address is None:
            return None
        pool = self.pools.setdefault(address, ConnectionPool(Address.parse(address)))
        headers = [each for each in request.headers if each[0] == b"authorization"]
        question = HttpRequest("GET", request.path + LOCAL_QUERY, headers)
        try:
            answer = await pool.exchange(question, ASK_TIMEOUT)
        except TransportError:
            return None
        return json_response(answer.status, answer.body)

    async def get_configuration(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return the configuration in force in this daemon."""
        configuration = to_plain(self.node.keeper.configuration)
        return ok({"daemon": self.node.id, "configuration": configuration})

    async def get_nodes(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return where every known daemon serves callers, and its version."""
        return ok(self.node.known_daemons())

    async def get_dump(self, request: HttpRequest, name: str) -> HttpResponse:
        """Return this daemon's whole state, without secrets."""
        return ok(self.node.dump())

    def close(self) -> None:
        """Close connections to other daemons."""
        for pool in self.pools.values():
            pool.close()


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
