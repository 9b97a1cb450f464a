"""HTTP client of the daemons' operator API."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from jaypier.core.address import Address
from jaypier.core.errors import JaypierError
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest

CALL_TIMEOUT_SECONDS = 10.0
"""Time limit of one request."""

POLL_INTERVAL_SECONDS = 0.05
"""Delay before a note is resent and between checks of the version in force."""


class NoDaemonReachable(JaypierError):
    """None of the configured daemons returned a valid response."""


@attrs.frozen
class DaemonResponse:
    """Response of a daemon.

    :param status: HTTP status code.
    :param body: decoded JSON body.
    """

    status: int
    body: Any


class DaemonClient:
    """Client with failover across several daemons.

    :param nodes: addresses of daemons as ``IP:PORT``, in the order in which they are tried.
    :param token: operator token, sent as a bearer token.
    """

    def __init__(self, nodes: list[str], token: str) -> None:
        self.nodes = nodes
        self.token = token

    async def call_node(
        self, node: str, method: str, path: str, body: bytes = b""
    ) -> DaemonResponse:
        """Send a request to one daemon.

        :raises TransportError: if there is no response within 10 s or its body is no JSON object.
        """
        headers = [(b"authorization", f"Bearer {self.token}".encode())]
        async with ConnectionPool(Address.parse(node)) as pool:
            request = HttpRequest(method, path, headers, body)
            response = await pool.exchange(request, CALL_TIMEOUT_SECONDS)
        try:
            body = msgspec.json.decode(response.body)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise TransportError(f"{node} sent no JSON: {error}", sent=True) from error
        if not isinstance(body, dict):
            found = type(body).__name__
            raise TransportError(f"{node} sent {found}, expected a JSON object", sent=True)
        return DaemonResponse(response.status, body)

    async def call(self, method: str, path: str, body: bytes = b"") -> DaemonResponse:
        """Send a request to the daemons in order until one responds.

        A release note may reach several daemons this way; its id makes submission idempotent.

        :raises NoDaemonReachable: if no daemon responds; the message has the error of each.
        """
        errors = []
        for node in self.nodes:
            try:
                return await self.call_node(node, method, path, body)
            except TransportError as error:
                errors.append(str(error))
        raise NoDaemonReachable("; ".join(errors))

    async def ask_leader(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[DaemonResponse | None, dict[str, str]]:
        """Send a request to the daemons in order until the one that leads responds.

        :returns: its response, ``None`` if none of them leads; by address, why the others did not
            answer.
        :raises NoDaemonReachable: if no daemon responds; the message has the error of each.
        """
        reasons: dict[str, str] = {}
        has_response = False
        for node in self.nodes:
            try:
                response = await self.call_node(node, method, path, body)
            except TransportError as error:
                reasons[node] = str(error)
                continue
            if response.status not in (409, 503):
                return response, reasons
            has_response = True
            reasons[node] = describe_refusal(response.body)
        if not has_response:
            raise NoDaemonReachable("; ".join(reasons.values()))
        return None, reasons

    async def submit(self, body: bytes, timeout_seconds: float) -> DaemonResponse:
        """Submit a note, and resend it as long as its outcome is unknown (status 504).

        Each retry goes to the next daemon first.

        :param body: release note as JSON.
        :param timeout_seconds: time after which the note is not resent.
        :returns: the last response; its status is 504 if the outcome is still unknown.
        :raises NoDaemonReachable: if no daemon responds.
        """
        deadline = time.monotonic() + timeout_seconds
        while True:
            response = await self.call("POST", "/v1/notes", body)
            if response.status != 504 or time.monotonic() > deadline:
                return response
            self.nodes = [*self.nodes[1:], self.nodes[0]]
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_in_force(
        self, version: int, timeout_seconds: float, on_progress: Callable[[int, int], None]
    ) -> bool:
        """Wait until all responding daemons have a configuration version in force.

        :param version: minimum version to wait for.
        :param on_progress: called after each poll with the number of daemons that have the version
            in force and the number of daemons that responded.
        :returns: ``False`` if the time limit is reached first.
        """
        deadline = time.monotonic() + timeout_seconds
        while time.monotonic() < deadline:
            states = await self.query_all("/v1/daemon")
            found = [each.get("version") for each in states.values()]
            versions = [each for each in found if type(each) is int]
            in_force_count = sum(each >= version for each in versions)
            on_progress(in_force_count, len(versions))
            if versions and in_force_count == len(versions):
                return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    async def query_all(self, path: str) -> dict[str, Any]:
        """Send a GET request to all daemons concurrently.

        :returns: response body by address; ``{"error": ...}`` for a daemon that does not respond.
        """

        async def query(node: str) -> Any:
            try:
                return (await self.call_node(node, "GET", path)).body
            except TransportError as error:
                return {"error": str(error)}

        return dict(zip(self.nodes, await asyncio.gather(*map(query, self.nodes)), strict=True))


def describe_refusal(body: dict) -> str:
    """Return why a daemon refused, with the age of what it knows of the leader."""
    age = body.get("age_seconds")
    is_known = isinstance(age, int | float)
    return f"{body.get('error')}{f' (known {age:.1f} s ago)' if is_known else ''}"
