"""Stand-in for the platform: table service, object store and lagging machine list.

Faults are switched over HTTP by ``POST /faults``; see :class:`Faults`. The interface is the one
that docs/platform.md assumes.
"""

import argparse
import asyncio
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import attrs

from jaypier.core.address import Address
from jaypier.core.codec import from_json, to_json
from jaypier.platform.model import Machine, Row, Transaction
from jaypier.wire.messages import HttpRequest, HttpResponse, json_response
from jaypier.wire.server import HttpServer
from standins.serving import print_fault, serve_until_terminated


@attrs.define
class Faults:
    """Faults that are in force.

    :param latency: seconds added to every answer of table and objects.
    :param is_down: whether table and objects refuse every call.
    :param lose_answers: number of further writes that take effect but are answered by 500.
    :param list_lag: seconds by which the machine list lags.
    """

    latency: float = 0.0
    is_down: bool = False
    lose_answers: int = 0
    list_lag: float = 0.0


@attrs.define
class Counts:
    """Calls served since the start."""

    reads: int = 0
    writes: int = 0
    refused: int = 0


class PlatformServer(HttpServer):
    """Serves the stand-in; objects may be large."""

    max_body = 16 << 20


class PlatformStandIn:
    """State and routes of the stand-in."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.counts = Counts()
        self.lists: list[tuple[float, list[Machine]]] = [(0.0, [])]

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        url = urlsplit(request.target)
        if url.path == "/faults":
            self.faults = from_json(request.body, Faults)
            return json_response(200, b"{}")
        if url.path == "/counts":
            return json_response(200, to_json(self.counts))
        if url.path == "/machines":
            return self.machines(request)
        if self.faults.latency:
            await asyncio.sleep(self.faults.latency)
        if self.faults.is_down:
            self.counts.refused += 1
            return HttpResponse(503, [], b"down")
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        return self.store(request, url.path, query)

    def store(self, request: HttpRequest, path: str, query: dict[str, str]) -> HttpResponse:
        """Answer a call of the table service or the object store."""
        if path == "/table/row":
            self.counts.reads += 1
            row = self.rows.get(query["key"])
            return json_response(404 if row is None else 200, to_json(row))
        if path == "/table/scan":
            self.counts.reads += 1
            keys = sorted(key for key in self.rows if key.startswith(query["prefix"]))
            return json_response(200, to_json([self.rows[key] for key in keys]))
        if path == "/table/transact":
            return self.write(self.transact(from_json(request.body, Transaction)))
        name = unquote(path.removeprefix("/objects/"))
        if request.method == "PUT":
            self.objects[name] = request.body
            return self.write(json_response(200, b"{}"))
        self.counts.reads += 1
        data = self.objects.get(name)
        return HttpResponse(404) if data is None else HttpResponse(200, [], data)

    def write(self, response: HttpResponse) -> HttpResponse:
        """Count a write, and lose its answer if that fault is in force."""
        self.counts.writes += 1
        if self.faults.lose_answers and response.status == 200:
            self.faults.lose_answers -= 1
            return HttpResponse(500, [], b"answer lost")
        return response

    def transact(self, transaction: Transaction) -> HttpResponse:
        """Apply a transaction whole or not at all."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                return json_response(409, to_json({"key": condition.key}))
        for put in transaction.puts:
            self.put(put.key, put.value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return json_response(200, b"{}")

    def put(self, key: str, value: Any) -> None:
        """Write one row."""
        row = self.rows.get(key)
        self.rows[key] = Row(key, value, row.version + 1 if row else 1)

    def machines(self, request: HttpRequest) -> HttpResponse:
        """Return the list as it was ``list_lag`` seconds ago, or replace the present one."""
        now = time.monotonic()
        if request.method == "PUT":
            self.lists.append((now, from_json(request.body, list[Machine])))
            return json_response(200, b"{}")
        seen = [each for at, each in self.lists if at <= now - self.faults.list_lag]
        return json_response(200, to_json(seen[-1] if seen else []))


def main() -> None:
    """Run the stand-in until terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    address = Address.parse(parser.parse_args().address)
    standin = PlatformStandIn()
    server = PlatformServer(address, standin.handle, print_fault)
    asyncio.run(serve_until_terminated([server]))


if __name__ == "__main__":
    main()
