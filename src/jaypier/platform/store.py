"""The platform's metadata store, in which jaypier keeps its rows.

The key ``"jobs/4f"`` names the row ``4f`` of the store's table ``jobs``; values are JSON.
"""

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import urlencode

import msgspec

from jaypier.platform.abstract import StoreTransport, WatchableTable
from jaypier.platform.errors import (
    ConditionFailed,
    HistoryCompacted,
    PlatformRefused,
    PlatformUnavailable,
)
from jaypier.platform.model import Changes, Row, Transaction, Unreadable
from jaypier.wire.client import PART_TIMEOUT_SECONDS
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse

CALL_TIMEOUT_SECONDS = 1.0
"""Time to wait for each part of a response: 15 times the usual time under a load that slows the
store."""

WATCH_TIMEOUT_MARGIN_SECONDS = 0.5
"""Time to wait for the response to a long poll, beyond the poll's own wait time."""

RELAY_ALLOWANCE_SECONDS = 0.5
"""Time for a relay through another VM after the direct path has failed."""

MAX_RESPONSE_BYTES = 8 << 20
"""Maximum size of a response; a page of the store has at most 1 MB of values, before base64."""

MAX_NUMBER = 1 << 53
"""Largest valid number of an answer."""

PROBE_REQUEST = HttpRequest("GET", "/rows-get?Table=daemons&Limit=1")
"""An inexpensive request that tells whether the store responds."""

JSON_HEADERS = [(b"content-type", b"application/json")]


class StoreTable(WatchableTable):
    """The rows of the store, accessed over HTTP.

    :param transport: carries requests to the store.
    :param max_row_bytes: maximum size of a row's value encoded as JSON, in bytes.
    :param timeout: time to wait for the first part of a response and for each further one, in
        seconds.
    """

    def __init__(
        self, transport: StoreTransport, max_row_bytes: int, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        self.transport = transport
        self.max_row_bytes = max_row_bytes
        self.timeout = timeout
        self.clock_offset = 0.0

    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        table, name = split_key(key)
        body = await self.get("rows-get", self.timeout, Table=table, StartKey=name, Limit=1)
        return next((row for row in _decode_rows(body) if row.name == name), None)

    async def snapshot(self, table: str) -> Changes:
        """Return all rows of a table, read page by page, and the version from which to watch it.

        The version is that of the first page, so a row that changes while later pages are read
        is returned again by :meth:`watch`.
        """
        start_key = ""
        pages = []
        while True:
            body = await self.get("rows-get", self.timeout, Table=table, StartKey=start_key)
            pages.append(Changes(_decode_rows(body), _decode_version(body)))
            if not body.get("HasMore") or not pages[-1].rows:
                break
            start_key = pages[-1].rows[-1].name + "\0"
        return Changes([row for page in pages for row in page.rows], pages[0].version)

    async def watch(self, table: str, after: int, wait: float) -> Changes:
        """Return the rows of a table that changed after a version, waiting for a first change."""
        body = await self.get(
            "rows-feed",
            wait + WATCH_TIMEOUT_MARGIN_SECONDS,
            Table=table,
            After=after,
            WaitMs=int(wait * 1000),
        )
        return Changes(_decode_rows(body), _decode_version(body))

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction atomically and return its version."""
        expected = [
            {**_encode_key(condition.key), "RowVersion": condition.version}
            for condition in transaction.conditions
        ]
        writes = [
            {**_encode_key(put.key), "Value": _encode_value(put.value)} for put in transaction.puts
        ]
        body = {
            "Expect": expected,
            "Write": writes,
            "Remove": [_encode_key(key) for key in transaction.deletes],
        }
        request = HttpRequest("POST", "/rows-tx", JSON_HEADERS, msgspec.json.encode(body))
        response = await self.call(request, self.timeout)
        if response.status == 412:
            current = _decode_rows({"rows": [], **_decode_body(response)})
            raise ConditionFailed(transaction.conditions[0].key, current)
        return _decode_version(self.update_clock_offset(_decode_response(response)))

    def store_time(self) -> float:
        """Return the store's monotonic clock in seconds, estimated from its last response."""
        return time.monotonic() + self.clock_offset

    def update_clock_offset(self, body: dict[str, Any]) -> dict[str, Any]:
        """Update the offset to the store's clock from a decoded response; return the response."""
        if "NowMs" in body:
            self.clock_offset = _decode_number(body, "NowMs") / 1000 - time.monotonic()
        return body

    async def get(self, path: str, timeout: float, **parameters: Any) -> dict[str, Any]:
        """Send a read request and return the decoded response."""
        target = f"/{path}?{urlencode(parameters)}"
        return self.update_clock_offset(
            _decode_response(await self.call(HttpRequest("GET", target), timeout))
        )

    async def call(self, request: HttpRequest, timeout: float) -> HttpResponse:
        """Send one request and return the response.

        :param timeout: time to wait for the first part of the response and for each further one, in
            seconds.
        :raises PlatformUnavailable: if the transport fails or does not answer in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout + RELAY_ALLOWANCE_SECONDS) as limit:

                def extend_limit() -> None:
                    if not limit.expired():
                        part_due = loop.time() + max(timeout, PART_TIMEOUT_SECONDS)
                        limit.reschedule(max(limit.when(), part_due))

                return await self.transport.exchange(request, timeout, extend_limit)
        except TransportError as error:
            raise PlatformUnavailable(f"store: {error}", effect_unknown=error.sent) from error
        except TimeoutError as error:
            raise PlatformUnavailable("store: no answer in time", effect_unknown=True) from error


def split_key(key: str) -> tuple[str, str]:
    """Split a row's key into its table and its name within the table."""
    table, _, name = key.partition("/")
    return table, name


def _encode_key(key: str) -> dict[str, str]:
    table, name = split_key(key)
    return {"Table": table, "part": "", "Key": name}


def _encode_value(value: Any) -> str:
    return base64.b64encode(msgspec.json.encode(value)).decode("ascii")


def _decode_number(body: dict[str, Any], name: str) -> int:
    number = body.get(name)
    if type(number) not in (int, float) or not 0 <= number <= MAX_NUMBER:
        raise PlatformUnavailable(f"store: {name} in its answer is not a number", True)
    return number


def _decode_version(body: dict[str, Any]) -> int:
    return int(_decode_number(body, "RowVersion"))


def _decode_rows(body: dict[str, Any]) -> list[Row]:
    rows = body.get("rows")
    if not isinstance(rows, list) or not all(_is_row(row) for row in rows):
        raise PlatformUnavailable("store: rows in its answer are not rows", True)
    return [_decode_row(row) for row in rows]


def _is_row(row: Any) -> bool:
    """Return whether a part of an answer names a version of a row; its value may be odd."""
    is_named = isinstance(row, dict) and all(isinstance(row.get(x), str) for x in ("Table", "Key"))
    version = row.get("RowVersion") if is_named else None
    return type(version) is int and 0 < version <= MAX_NUMBER


def _decode_row(row: dict[str, Any]) -> Row:
    value = None if row.get("Deleted") else _decode_value(row.get("Value"))
    return Row(f"{row['Table']}/{row['Key']}", value, row["RowVersion"])


def _decode_value(encoded: Any) -> Any:
    try:
        value = json.loads(base64.b64decode(encoded))
    except (TypeError, ValueError, RecursionError) as error:
        return Unreadable(f"not JSON in base64: {error}")
    # A deletion alone has the value ``None``.
    return Unreadable("null") if value is None else value


def _decode_body(response: HttpResponse) -> dict[str, Any]:
    try:
        body = msgspec.json.decode(response.body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise PlatformUnavailable(f"store: unreadable answer: {error}", True) from error
    if not isinstance(body, dict):
        raise PlatformUnavailable("store: the answer is not an object", True)
    return body


def _decode_response(response: HttpResponse) -> dict[str, Any]:
    """Return the decoded body of a successful response; raise an exception for any other."""
    status = response.status
    if status == 200:
        return _decode_body(response)
    if status == 410:
        raise HistoryCompacted()
    if status in (429, 503):
        raise PlatformUnavailable(f"store: status {status}", effect_unknown=False)
    if 400 <= status < 500:
        raise PlatformRefused(f"store: status {status}: {response.body[:200]!r}")
    raise PlatformUnavailable(f"store: status {status}", effect_unknown=True)
