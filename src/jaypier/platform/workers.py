"""The platform's workers: their registration in the store and their HTTP interface."""

import json
from typing import Any

from jaypier.core.address import Address
from jaypier.jobs.model import (
    DEFAULT_DRAIN_SECONDS,
    ActiveRun,
    EndedRun,
    Resources,
    RunOutcome,
    StartRequest,
    StartResponse,
    TaskId,
    WorkerEntry,
    WorkerReport,
)
from jaypier.jobs.worker_interface import (
    StaleEpoch,
    WorkerLink,
    WorkerListing,
    WorkerReplaced,
    WorkerUnreachable,
)
from jaypier.platform.abstract import TableSource, WatchableTable
from jaypier.platform.decoding import LeftOutRows, decode_valid, describe_error
from jaypier.platform.model import Changes, Row
from jaypier.wire.capacity import MemoryBudget
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse

WORKERS_TABLE = "servers"

REQUEST_TIMEOUT_SECONDS = 0.4
"""Time to wait for the response to a start or stop request: 100 times the usual round trip."""

POLL_TIMEOUT_MARGIN_SECONDS = 0.6
"""Time to wait for a report, beyond the wait time that the request asks for."""

MAX_IDLE_SECONDS = 30.0
"""Idle time after which a connection is not reused; opening one to a worker is expensive."""

MAX_INTEGER = 1 << 53
"""Largest magnitude of a number in an entry: up to it, JSON numbers are exact in all languages."""

MAX_NAME_CHARACTERS = 200
"""Longest name in an entry: as long as a key of the store, such as the id of a worker."""

MAX_LABELS = 100
"""Largest number of labels of a worker, which has two: its kind and its rack."""

RUN_OUTCOMES = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.EXPIRED,
    "broken": RunOutcome.PEER_ENDED,
    "alone": RunOutcome.PEERS_MISSING,
}

START_REFUSALS = {
    "fence": StartResponse.DEPOSED,
    "old": StartResponse.OUTDATED,
    "late": StartResponse.EXPIRED,
    "room": StartResponse.NO_ROOM,
}


class StoreWorkerDirectory(TableSource[WorkerListing]):
    """The workers that are registered in the store.

    :param table: the platform's store.
    :param left_out: observes the entries that cannot be decoded.
    """

    def __init__(self, table: WatchableTable, left_out: LeftOutRows) -> None:
        super().__init__(table, WORKERS_TABLE, lambda changes: decode_listing(changes, left_out))


def decode_listing(changes: Changes, left_out: LeftOutRows) -> WorkerListing:
    """Decode rows of workers; one that does not describe a usable worker hides no other."""
    entries = {row.name: decode_worker(row, left_out) for row in changes.rows}
    return WorkerListing(entries, changes.version)


def decode_worker(row: Row, left_out: LeftOutRows) -> WorkerEntry | None:
    """Decode a worker's entry; return ``None`` if it does not describe a usable worker."""
    decoded = decode_valid([row], lambda entry: _decode_entry(row.name, entry), left_out)
    return next((entry for _, entry in decoded), None)


def _decode_entry(worker_id: str, entry: dict[str, Any]) -> WorkerEntry:
    capacity, labels = entry["Capacity"], entry["Labels"]
    state = entry["State"]
    if state not in ("ready", "draining"):
        raise ValueError(f"expected the state ready or draining, got {state!r}")
    if not isinstance(labels, list) or len(labels) > MAX_LABELS:
        raise ValueError(f"expected a list of at most {MAX_LABELS} labels")
    remaining_millis = entry.get("RemainingMs", DEFAULT_DRAIN_SECONDS * 1000)
    return WorkerEntry(
        id=_decode_name(worker_id),
        service=_decode_name(entry["Service"]),
        address=Address.parse(_decode_string(entry["Address"])),
        data_centre=_decode_name(entry["Zone"]),
        rack=_decode_name(labels[1]) if len(labels) > 1 else "",
        labels=frozenset(_decode_name(label) for label in labels),
        capacity=Resources(
            _decode_integer(capacity["Cpu"], minimum=0),
            _decode_integer(capacity["MemMb"], minimum=0),
            _decode_integer(capacity["Gpu"], minimum=0),
        ),
        is_ready=state == "ready",
        born=_decode_integer(entry.get("born", 0)),
        clock=_decode_integer(entry.get("ClockMs", 0)),
        remaining_seconds=_decode_integer(remaining_millis) / 1000,
        machine=_decode_name(entry.get("Machine", "")),
    )


def _decode_string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r}")
    # Raises UnicodeEncodeError, a ValueError, for a text that could not be stored again.
    value.encode()
    return value


def _decode_name(value: Any) -> str:
    """Decode a name; one with line breaks, or too long to be stored again, is no name."""
    name = _decode_string(value)
    if len(name) > MAX_NAME_CHARACTERS or not name.isprintable():
        raise ValueError(
            f"expected a printable name of at most {MAX_NAME_CHARACTERS} characters, got {name!r}"
        )
    return name


def _decode_number(value: Any, minimum: int = -MAX_INTEGER) -> int | float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, got {value!r}")
    # NaN fails every comparison.
    if not minimum <= value <= MAX_INTEGER:
        raise ValueError(f"expected a number from {minimum} to {MAX_INTEGER}, got {value!r}")
    return value


def _decode_integer(value: Any, minimum: int = -MAX_INTEGER) -> int:
    return int(_decode_number(value, minimum))


class HttpWorkerLink(WorkerLink):
    """Sends requests to one worker over HTTP.

    :param worker_id: id of the worker; a worker with another id rejects the requests.
    :param address: the worker's address.
    :param budget: memory that responses of all workers take up while they are received.
    """

    def __init__(
        self, worker_id: str, address: Address, budget: MemoryBudget | None = None
    ) -> None:
        self.pool = ConnectionPool(address, max_idle_seconds=MAX_IDLE_SECONDS, budget=budget)
        self.headers = [
            (b"content-type", b"application/json"),
            (b"target-instance", worker_id.encode()),
        ]

    def close(self) -> None:
        """Close the idle connections to the worker."""
        self.pool.close()

    async def renew(
        self, epoch: int, acknowledged: int, deadline: int | None, wait: float
    ) -> WorkerReport:
        """Renew the lease of all running tasks; return what is running and what has ended.

        :raises WorkerUnreachable: if the worker does not answer, or its report is malformed.
        :raises WorkerReplaced: if another worker responds.
        :raises StaleEpoch: if the worker has accepted a newer epoch.
        """
        body = {"FencingToken": epoch, "LastSeen": acknowledged}
        if deadline is not None:
            body["DeadlineMs"] = deadline
        if wait > 0:
            body["WaitMs"] = int(wait * 1000)
        response = await self.call("/hold", body, wait + POLL_TIMEOUT_MARGIN_SECONDS)
        response_body = _decode_body(response)
        _raise_for_status(response, response_body)
        try:
            return _decode_report(response_body)
        except Exception as error:
            # A report may fail in ways that the decoder does not foresee.
            reason = describe_error(error)
            raise WorkerUnreachable(f"worker sent a malformed report: {reason}") from error

    async def start(self, epoch: int, start_request: StartRequest) -> StartResponse:
        """Start a task; the request is idempotent.

        :raises WorkerUnreachable: if the worker does not answer, or fails with a status that
            does not tell whether the task was started.
        """
        body = {
            "Task": str(start_request.task),
            "Attempt": start_request.attempt,
            "Spec": start_request.payload,
            "DeadlineMs": start_request.deadline,
            "FencingToken": epoch,
        }
        if start_request.checkpoint:
            body["Checkpoint"] = start_request.checkpoint
        response = await self.call("/run-start", body, REQUEST_TIMEOUT_SECONDS)
        if response.status == 200:
            return StartResponse.STARTED
        if response.status in (429, 503):
            return StartResponse.UNHEALTHY
        if response.status == 409:
            reason = _decode_body(response).get("Reason")
            is_known = isinstance(reason, str) and reason in START_REFUSALS
            return START_REFUSALS[reason] if is_known else StartResponse.REFUSED
        if 400 <= response.status < 500:
            return StartResponse.REFUSED
        raise WorkerUnreachable(f"status {response.status}")

    async def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or prevent it from starting.

        :raises WorkerUnreachable: if the worker does not answer.
        :raises WorkerReplaced: if another worker responds.
        :raises StaleEpoch: if the worker has accepted a newer epoch.
        """
        body = {"Task": str(task), "Attempt": attempt, "FencingToken": epoch}
        response = await self.call("/run-stop", body, REQUEST_TIMEOUT_SECONDS)
        _raise_for_status(response, _decode_body(response) if response.status == 409 else {})

    async def call(self, path: str, body: dict[str, Any], timeout: float) -> HttpResponse:
        """Send one request and return the response.

        :raises WorkerUnreachable: if the transport fails.
        """
        request = HttpRequest("POST", path, self.headers, json.dumps(body).encode())
        try:
            return await self.pool.exchange(request, timeout)
        except TransportError as error:
            raise WorkerUnreachable(str(error), was_sent=error.sent) from error


def _decode_body(response: HttpResponse) -> dict[str, Any]:
    try:
        body = json.loads(response.body) if response.body else {}
    except (ValueError, RecursionError) as error:
        reason = describe_error(error)
        raise WorkerUnreachable(f"worker sent a response that is not JSON: {reason}") from error
    return body if isinstance(body, dict) else {}


def _raise_for_status(response: HttpResponse, body: dict[str, Any]) -> None:
    if response.status == 200:
        return
    if response.status == 421:
        raise WorkerReplaced("another worker responds at this address")
    if response.status == 409 and body.get("Reason") == "fence":
        raise StaleEpoch("the worker has accepted a newer epoch")
    raise WorkerUnreachable(f"status {response.status}: {response.body[:100]!r}")


def _decode_report(body: dict[str, Any]) -> WorkerReport:
    active = tuple(
        ActiveRun(
            TaskId.parse(row[0]),
            _decode_integer(row[1], minimum=0),
            _decode_string(row[2] or ""),
            float(_decode_number(row[3])),
        )
        for row in body["Active"]
    )
    ended = tuple(
        EndedRun(
            _decode_integer(row[0], minimum=0),
            TaskId.parse(row[1]),
            _decode_integer(row[2], minimum=0),
            RUN_OUTCOMES[row[3]],
            _decode_string(row[4] or ""),
        )
        for row in body["Finished"]
    )
    born, clock = _decode_integer(body.get("born", 0)), _decode_integer(body["ClockMs"])
    return WorkerReport(born, clock, active, ended)
