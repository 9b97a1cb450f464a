"""HTTP servers that expose the in-memory cluster through the platform's protocol.

The store and each worker are served at separate addresses, as the platform's specification
describes, so that daemons can run against them as separate processes.
"""

import base64
from collections.abc import Mapping
from contextlib import AsyncExitStack
from typing import Any
from urllib.parse import parse_qs

import attrs
import msgspec

from jaypier.core.address import Address
from jaypier.jobs.model import StartRequest, StartResponse, TaskId
from jaypier.jobs.worker_interface import StaleEpoch, WorkerUnreachable
from jaypier.platform import (
    Condition,
    ConditionFailed,
    HistoryCompacted,
    PlatformUnavailable,
    Put,
    Row,
    Transaction,
)
from jaypier.platform.workers import RUN_OUTCOMES, START_REFUSALS
from jaypier.relay.peers import DAEMONS_TABLE
from jaypier.wire.messages import HttpRequest, HttpResponse, json_response
from jaypier.wire.server import HttpServer
from standins.cluster import MemoryCluster, MemoryStore, MemoryWorker

RUN_END_NAMES = {end: name for name, end in RUN_OUTCOMES.items()}
REFUSAL_NAMES = {refusal: name for name, refusal in START_REFUSALS.items()}


@attrs.frozen
class RawValue:
    """Value of a row as another writer may leave it.

    :param text: what the store returns as the value, ``None`` for nothing.
    """

    text: str | None

    @classmethod
    def from_bytes(cls, value: bytes) -> "RawValue":
        """Return the value of a row with these bytes, which need not be JSON."""
        return cls(base64.b64encode(value).decode())


def encode_response(status: int, value: Any = None) -> HttpResponse:
    """Return a JSON response; its body is an empty object if there is no value."""
    return json_response(status, msgspec.json.encode({} if value is None else value))


def encode_row(row: Row) -> dict[str, Any]:
    """Return a row in the store's JSON format; a deleted row has no value."""
    table, _, name = row.key.partition("/")
    encoded = {"Table": table, "part": "", "Key": name, "RowVersion": row.version}
    if row.value is None:
        return {**encoded, "Deleted": True}
    if isinstance(row.value, RawValue):
        return encoded if row.value.text is None else {**encoded, "Value": row.value.text}
    return {**encoded, "Value": base64.b64encode(msgspec.json.encode(row.value)).decode()}


def row_key(row: dict[str, Any]) -> str:
    """Return the key of a row given in a request."""
    return f"{row['Table']}/{row['Key']}"


class StoreServer:
    """HTTP server of the store.

    :param store: in-memory store to expose.
    :param relay_proxies: by a daemon's address for other daemons, the address of the proxy through
        which they reach it.
    """

    def __init__(self, store: MemoryStore, relay_proxies: Mapping[str, str] | None = None) -> None:
        self.store = store
        self.relay_proxies = relay_proxies or {}

    def decode_put(self, row: dict[str, Any]) -> Put:
        """Decode a row to write; a daemon is registered with the address of its proxy."""
        key, value = row_key(row), msgspec.json.decode(base64.b64decode(row["Value"]))
        if row["Table"] == DAEMONS_TABLE:
            value["relay"] = self.relay_proxies.get(value["relay"], value["relay"])
        return Put(key, value)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request."""
        try:
            if request.path == "/rows-tx":
                return await self.transact(msgspec.json.decode(request.body))
            query = parse_qs(request.target.partition("?")[2], keep_blank_values=True)
            values = {name: texts[0] for name, texts in query.items()}
            if request.path == "/rows-get":
                return await self.read(values)
            if request.path == "/rows-feed":
                return await self.watch(values)
        except PlatformUnavailable as error:
            if error.effect_unknown:
                raise
            return encode_response(503)
        except HistoryCompacted:
            return encode_response(410)
        return encode_response(404)

    def rows_response(self, rows: list[Row], version: int, **values: Any) -> HttpResponse:
        """Return a response with rows and the store's version and clock."""
        now = int(self.store.store_time() * 1000)
        rows = [encode_row(row) for row in rows]
        return encode_response(200, {"rows": rows, "RowVersion": version, "NowMs": now, **values})

    async def read(self, values: dict[str, str]) -> HttpResponse:
        """Return a page of at most 500 rows of a table."""
        rows = await self.store.scan(values["Table"] + "/")
        start = values.get("StartKey", "")
        rows = [row for row in rows if row.name >= start]
        limit = min(int(values.get("Limit", 500)), 500)
        return self.rows_response(rows[:limit], self.store.version, HasMore=len(rows) > limit)

    async def watch(self, values: dict[str, str]) -> HttpResponse:
        """Return the rows of a table that changed after a version."""
        wait = int(values.get("WaitMs", 0)) / 1000
        changes = await self.store.watch(values["Table"], int(values["After"]), wait)
        return self.rows_response(changes.rows, changes.version)

    async def transact(self, body: dict[str, Any]) -> HttpResponse:
        """Apply a transaction; status 412 with the current rows if a condition does not hold."""
        transaction = Transaction(
            [Condition(row_key(row), row["RowVersion"]) for row in body["Expect"]],
            [self.decode_put(row) for row in body["Write"]],
            [row_key(row) for row in body["Remove"]],
        )
        try:
            version = await self.store.commit(transaction)
        except ConditionFailed as error:
            rows = [encode_row(row) for row in error.current_rows.values()]
            return encode_response(412, {"rows": rows})
        now = int(self.store.store_time() * 1000)
        return encode_response(200, {"RowVersion": version, "NowMs": now})


class WorkerServer:
    """HTTP server of one worker.

    :param worker: in-memory worker to expose.
    """

    def __init__(self, worker: MemoryWorker) -> None:
        self.worker = worker

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request."""
        worker = self.worker
        if not worker.is_up or worker.is_partitioned:
            raise WorkerUnreachable(f"{worker.entry.id} is down or partitioned")
        if request.header(b"target-instance", worker.entry.id) != worker.entry.id:
            return encode_response(421)
        body = msgspec.json.decode(request.body)
        try:
            if request.path == "/run-start":
                return self.start(body)
            if request.path == "/run-stop":
                worker.stop(body["FencingToken"], TaskId.parse(body["Task"]), body["Attempt"])
                return encode_response(200, {"ClockMs": worker.clock})
            if request.path == "/hold":
                return await self.hold(body)
        except StaleEpoch:
            return encode_response(409, {"ClockMs": worker.clock, "Reason": "fence"})
        return encode_response(404)

    def start(self, body: dict[str, Any]) -> HttpResponse:
        """Start a run; status 409 with the reason if the worker refuses it."""
        start_request = StartRequest(
            TaskId.parse(body["Task"]),
            body["Attempt"],
            body["Spec"],
            body.get("Checkpoint", ""),
            body["DeadlineMs"],
        )
        outcome = self.worker.start(body.get("FencingToken", 0), start_request)
        clock = {"ClockMs": self.worker.clock}
        if outcome is StartResponse.STARTED:
            return encode_response(200, clock)
        return encode_response(409, {**clock, "Reason": REFUSAL_NAMES[outcome]})

    async def hold(self, body: dict[str, Any]) -> HttpResponse:
        """Renew the lease and return the active and the ended runs."""
        worker = self.worker
        link = worker.cluster.link("http", worker.entry)
        report = await link.renew(
            body["FencingToken"],
            body.get("LastSeen", 0),
            body.get("DeadlineMs"),
            body.get("WaitMs", 0) / 1000,
        )
        active = [
            [str(run.task), run.attempt, run.checkpoint, int(run.percent)] for run in report.active
        ]
        finished = [
            [
                end.sequence_number,
                str(end.task),
                end.attempt,
                RUN_END_NAMES[end.outcome],
                end.checkpoint,
            ]
            for end in report.ended
        ]
        return encode_response(
            200,
            {
                "ClockMs": report.clock,
                "born": report.born,
                "Active": active,
                "Finished": finished,
            },
        )


def encode_worker(worker: MemoryWorker) -> dict[str, Any]:
    """Return the entry that a worker registers in the store."""
    entry = worker.entry
    return {
        "Service": entry.service,
        "Address": str(entry.address),
        "Zone": entry.data_centre,
        "Version": "v1",
        "Slots": 8,
        "State": "ready" if entry.is_ready else "draining",
        "ColdLeftMs": 0,
        "Capacity": {
            "Cpu": entry.capacity.processor_millis,
            "MemMb": entry.capacity.memory_mb,
            "Gpu": entry.capacity.accelerators,
        },
        "Labels": ["a", entry.rack],
        "ClockMs": worker.clock,
        "Sequence": 1,
        "born": entry.born,
        "Machine": entry.machine,
    }


def encode_configuration(
    version: int, keys: dict[str, list[str]], guaranteed: int = 16
) -> dict[str, Any]:
    """Return a platform configuration with the queues ``urgent`` and ``common``.

    :param keys: API keys of each team.
    :param guaranteed: number of accelerators guaranteed to each team.
    """
    routes = [
        {
            "Name": f"r-{prefix}",
            "Host": "desk.example",
            "PathPrefix": f"/{prefix}/",
            "Kind": "non_idempotent",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 1000,
            "Priority": priority,
            "Service": "desk",
            "MaxAttempts": 3,
            "SlackFactor": 3.0,
            "Public": False,
        }
        for prefix, priority in (("urgent", 0), ("common", 1))
    ]
    teams = [
        {"Name": name, "ApiKeys": list(api_keys), "Guaranteed": {"Gpu": guaranteed}}
        for name, api_keys in keys.items()
    ]
    return {"Version": version, "Routes": routes, "Tenants": teams, "Limits": {}, "Services": []}


class PlatformServers:
    """HTTP servers of the store and all workers; an async context manager that owns them.

    :param cluster: in-memory store and workers.
    :param store_address: address of the store.
    :param worker_addresses: address of each worker.
    :param registered_addresses: address that each worker's entry names, the same by default.
    :param relay_proxies: see :class:`StoreServer`.
    :ivar handler_errors: unexpected exceptions of request handlers.
    """

    def __init__(
        self,
        cluster: MemoryCluster,
        store_address: Address,
        worker_addresses: list[Address],
        registered_addresses: list[Address] | None = None,
        relay_proxies: Mapping[str, str] | None = None,
    ) -> None:
        self.cluster = cluster
        self.store_address = store_address
        self.worker_addresses = worker_addresses
        self.registered_addresses = registered_addresses or worker_addresses
        self.relay_proxies = relay_proxies
        self.stack = AsyncExitStack()
        self.handler_errors: list[str] = []

    async def __aenter__(self) -> "PlatformServers":
        store_server = StoreServer(self.cluster.store, self.relay_proxies)
        await self.serve(self.store_address, store_server.handle)
        addresses = zip(self.worker_addresses, self.registered_addresses, strict=True)
        workers = self.cluster.workers.values()
        for worker, (address, registered) in zip(workers, addresses, strict=True):
            worker.entry = attrs.evolve(worker.entry, address=registered)
            await self.serve(address, WorkerServer(worker).handle)
            self.register(worker)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stack.aclose()

    async def serve(self, address: Address, handler) -> None:
        """Start a server on an address."""
        await self.stack.enter_async_context(
            HttpServer(address, handler, self.record_handler_error)
        )

    def record_handler_error(self, error: Exception) -> None:
        """Record an exception of a request handler.

        ``PlatformUnavailable`` and ``WorkerUnreachable`` are not recorded: they simulate requests
        without a response.
        """
        if not isinstance(error, PlatformUnavailable | WorkerUnreachable):
            self.handler_errors.append(repr(error))

    def register(self, worker: MemoryWorker) -> None:
        """Write the entry of a worker to the store."""
        put = Put(f"servers/{worker.entry.id}", encode_worker(worker))
        self.cluster.store.apply(Transaction(puts=[put]))

    def write_odd_entry(self, name: str, value: RawValue) -> None:
        """Write an entry among those of the workers, as another writer may."""
        put = Put(f"servers/{name}", value)
        self.cluster.store.apply_from_operator(Transaction(puts=[put]))

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        """Write a configuration to the store, as operators of the platform do."""
        self.cluster.store.apply_from_operator(Transaction(puts=[Put("op/config", configuration)]))

    def evacuate(self, data_centre: str) -> None:
        """Take a data centre out of service, as operators of the platform do."""
        self.cluster.store.apply(Transaction(puts=[Put(f"op/evacuate/{data_centre}", {})]))


__all__ = ["PlatformServers", "RawValue", "encode_configuration", "encode_worker"]
