"""Calls the daemons' HTTP interface from the command line."""

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
"""Seconds to wait for one answer."""

POLL_INTERVAL_SECONDS = 0.05
"""Time between two looks at whether a note is in force."""


class NoDaemonReachable(JaypierError):
    """None of the given daemons answered."""


@attrs.frozen
class DaemonResponse:
    """A daemon's answer.

    :param body: decoded JSON.
    """

    status: int
    body: Any


class DaemonClient:
    """Calls any of several daemons.

    :param nodes: addresses of daemons; the next one is tried when one does not answer.
    :param token: the operator's token.
    """

    def __init__(self, nodes: list[str], token: str) -> None:
        self.nodes = nodes
        self.token = token

    async def call_node(
        self, node: str, method: str, path: str, body: bytes = b""
    ) -> DaemonResponse:
        """Call one daemon.

        :raises TransportError: when it does not answer.
        """
        headers = [(b"authorization", f"Bearer {self.token}".encode())]
        async with ConnectionPool(Address.parse(node)) as pool:
            request = HttpRequest(method, path, headers, body)
            response = await pool.exchange(request, CALL_TIMEOUT_SECONDS)
        try:
            return DaemonResponse(response.status, msgspec.json.decode(response.body))
        except msgspec.DecodeError as error:
            raise TransportError(f"{node} sent no JSON: {error}", sent=True) from error

    async def call(self, method: str, path: str, body: bytes = b"") -> DaemonResponse:
        """Call the first daemon that answers.

        Notes may be sent to several daemons in turn: their identity makes them idempotent.

        :raises NoDaemonAnswers: when none does.
        """
        errors = []
        for node in self.nodes:
            try:
                return await self.call_node(node, method, path, body)
            except TransportError as error:
                errors.append(str(error))
        raise NoDaemonReachable("; ".join(errors))

    async def submit(self, body: bytes, timeout_seconds: float) -> DaemonResponse:
        """Submit a note; resend it while its fate is unknown.

        :param timeout_seconds: time after which to give up.
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
        """Wait until every given daemon that answers has a version in force.

        :param on_progress: called with the number of daemons that have it, and of all that answer.
        :returns: whether they all have it in time.
        """
        deadline = time.monotonic() + timeout_seconds
        while time.monotonic() < deadline:
            states = await self.query_all("/v1/daemon")
            versions = [each["version"] for each in states.values() if "version" in each]
            in_force_count = sum(each >= version for each in versions)
            on_progress(in_force_count, len(versions))
            if versions and in_force_count == len(versions):
                return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    async def query_all(self, path: str) -> dict[str, Any]:
        """Return the answer of every given daemon, by address; what went wrong for one without."""

        async def query(node: str) -> Any:
            try:
                return (await self.call_node(node, "GET", path)).body
            except TransportError as error:
                return {"error": str(error)}

        return dict(zip(self.nodes, await asyncio.gather(*map(query, self.nodes)), strict=True))
