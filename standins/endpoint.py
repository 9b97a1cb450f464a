"""Stand-in for endpoints: several in one process, one address each.

Each works on 8 requests at a time and accepts 64 connections. Its answer repeats the request's
body, so callers can tell whose answer they got. Faults are switched by ``POST /faults``;
``GET /log`` returns each request that ran.
"""

import argparse
import asyncio
import time

import attrs

from jaypier.core.address import Address
from jaypier.core.codec import from_json, to_json
from jaypier.wire.messages import HttpRequest, HttpResponse, json_response
from jaypier.wire.server import HttpServer, ServerConnection
from standins.serving import print_fault, serve_until_terminated

SLOTS = 8
CONNECTIONS = 64


@attrs.define
class EndpointFaults:
    """Faults and habits of one endpoint.

    :param seconds: time that a request takes.
    :param is_leaving: whether it says so on each answer and refuses new requests.
    :param truncate: number of further answers that end in the middle.
    :param cross: number of further answers that carry another request's identity.
    :param refuse: whether requests are answered by 503 without running.
    :param hang: whether requests run but are never answered.
    """

    seconds: float = 0.005
    is_leaving: bool = False
    truncate: int = 0
    cross: int = 0
    refuse: bool = False
    hang: bool = False


@attrs.frozen
class Execution:
    """A request that ran.

    :param at: wall clock time of its start, in seconds.
    :param key: the request's ``Idempotency-Key``.
    """

    at: float
    endpoint: str
    key: str
    target: str


@attrs.define
class EndpointReport:
    """Executions and the highest loads seen."""

    executions: list[Execution] = attrs.field(factory=list)
    most_connections: int = 0
    most_waiting: int = 0


class EndpointConnection(ServerConnection):
    """A connection whose answers can be cut in the middle."""

    def respond(self, request: HttpRequest, response: HttpResponse) -> None:
        """Send a response, or half of it."""
        if response.status != 299:
            super().respond(request, response)
            return
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(response.body)}\r\n\r\n".encode()
        self.transport.write(head + response.body[: len(response.body) // 2])
        self.transport.close()


class EndpointServer(HttpServer):
    """Serves one endpoint; refuses connections above its limit."""

    connection_class = EndpointConnection
    max_connections = CONNECTIONS


class SimulatedEndpoint:
    """State and routes of one endpoint."""

    def __init__(self, name: str, address: Address) -> None:
        self.name = name
        self.faults = EndpointFaults()
        self.report = EndpointReport()
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.server = EndpointServer(address, self.handle, print_fault)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.path == "/faults":
            self.faults = from_json(request.body, EndpointFaults)
            return json_response(200, b"{}")
        if request.path == "/log":
            return json_response(200, to_json(self.report))
        self.report.most_connections = max(
            self.report.most_connections, len(self.server.connections)
        )
        id = request.header(b"x-request-id").encode()
        if self.faults.refuse or self.faults.is_leaving:
            headers = [(b"x-request-id", id), (b"x-not-run", b"1")]
            return HttpResponse(503, [*headers, *self.leaving_headers()])
        return await self.run(request, id)

    async def run(self, request: HttpRequest, id: bytes) -> HttpResponse:
        """Run a request in a slot."""
        self.waiting += 1
        self.report.most_waiting = max(self.report.most_waiting, self.waiting)
        try:
            async with self.slots:
                key = request.header(b"idempotency-key")
                self.report.executions.append(
                    Execution(time.time(), self.name, key, request.target)
                )
                await asyncio.sleep(self.faults.seconds)
                while self.faults.hang:
                    await asyncio.sleep(0.05)
        finally:
            self.waiting -= 1
        return self.answer(request, id)

    def answer(self, request: HttpRequest, id: bytes) -> HttpResponse:
        """Return the answer, spoiled if a fault says so."""
        status = 200
        if self.faults.truncate:
            self.faults.truncate -= 1
            status = 299
        if self.faults.cross:
            self.faults.cross -= 1
            id = b"another"
        headers = [(b"x-request-id", id), (b"content-type", b"text/plain")]
        return HttpResponse(status, [*headers, *self.leaving_headers()], request.body)

    def leaving_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header by which the endpoint says that it leaves."""
        return [(b"x-leaving", b"1")] if self.faults.is_leaving else []


async def run(texts: list[str]) -> None:
    """Serve every endpoint until terminated."""
    endpoints = []
    for text in texts:
        name, address = text.split("=")
        endpoints.append(SimulatedEndpoint(name, Address.parse(address)))
    await serve_until_terminated([endpoint.server for endpoint in endpoints])


def main() -> None:
    """Run the stand-in until terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("endpoints", nargs="+", help="NAME=IP:PORT")
    asyncio.run(run(parser.parse_args().endpoints))


if __name__ == "__main__":
    main()
