"""Tests of calls to the store over loopback sockets with limited bandwidth."""

import asyncio
import random
from contextlib import AsyncExitStack

import pytest
import structlog

from jaypier.core.address import Address
from jaypier.core.clock import MonotonicClock
from jaypier.core.metrics import Metrics
from jaypier.jobs.election import LEADER_TIMEOUT_SECONDS
from jaypier.jobs.progress_writer import MAX_WRITE_BYTES
from jaypier.platform import Condition, ConditionFailed, PlatformUnavailable, Put, Transaction
from jaypier.platform.abstract import StoreTransport
from jaypier.platform.decoding import LeftOutRows
from jaypier.platform.model import Changes, Row, Unreadable
from jaypier.platform.operators import decode_changes
from jaypier.platform.store import MAX_RESPONSE_BYTES, StoreTable
from jaypier.platform.workers import StoreWorkerDirectory
from jaypier.relay.peers import PeerList
from jaypier.relay.transport import FailoverTransport
from jaypier.wire.client import ConnectionPool
from jaypier.wire.messages import HttpResponse
from jaypier.wire.server import HttpLimits, HttpServer
from standins.cluster import MemoryStore
from standins.ports import HOST, ReservedPorts
from standins.protocol import RawValue, StoreServer
from standins.proxy import LoopbackProxy, ProxyMode

LINK_BYTES_PER_SECOND = 490_000
ROW_CHARACTERS = 32_768
ROWS_PER_WRITE = MAX_WRITE_BYTES // ROW_CHARACTERS


def run_over_slow_link(scenario) -> None:
    """Run a scenario with a table whose link to the store is slow."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            ports = stack.enter_context(ReservedPorts())
            near, far = (Address(HOST, ports.reserve()) for _ in range(2))
            store = MemoryStore(random.Random(1))
            limits = HttpLimits(max_body_bytes=MAX_RESPONSE_BYTES)
            handle = StoreServer(store).handle
            await stack.enter_async_context(
                HttpServer(far, handle, lambda error: None, lambda: limits)
            )
            proxy = await stack.enter_async_context(LoopbackProxy(near, far))
            proxy.bytes_per_second = LINK_BYTES_PER_SECOND
            rng = random.Random(1)
            peers = PeerList("vm", MonotonicClock(), rng)
            transport = FailoverTransport(ConnectionPool(near, MAX_RESPONSE_BYTES), peers, rng)
            stack.callback(transport.close)
            await scenario(store, StoreTable(transport, 65536), proxy)

    asyncio.run(run())


def large_transaction(part: int = 0) -> Transaction:
    """Return a write of the largest size that a leader makes."""
    rows = range(part * ROWS_PER_WRITE, (part + 1) * ROWS_PER_WRITE)
    return Transaction(puts=[Put(f"jobs/{number}", "x" * ROW_CHARACTERS) for number in rows])


class TestSlowLinks:
    def test_largest_write_of_a_leader_is_confirmed(self):
        async def scenario(store: MemoryStore, table: StoreTable, proxy: LoopbackProxy) -> None:
            assert await table.commit(large_transaction()) == store.version

        run_over_slow_link(scenario)

    def test_large_table_is_read(self):
        async def scenario(store: MemoryStore, table: StoreTable, proxy: LoopbackProxy) -> None:
            for part in range(6):
                store.apply(large_transaction(part))
            assert len((await table.snapshot("jobs")).rows) == 6 * ROWS_PER_WRITE

        run_over_slow_link(scenario)

    def test_lost_response_to_the_largest_write_is_noticed_before_a_takeover(self):
        async def scenario(store: MemoryStore, table: StoreTable, proxy: LoopbackProxy) -> None:
            proxy.mode = ProxyMode.DROP_RESPONSES
            async with asyncio.timeout(LEADER_TIMEOUT_SECONDS):
                with pytest.raises(PlatformUnavailable):
                    await table.commit(large_transaction())

        run_over_slow_link(scenario)


UNREADABLE_VALUES = [
    RawValue(None), RawValue(""), RawValue("!"), RawValue("e30"),
    RawValue.from_bytes(b"{"), RawValue.from_bytes(b"\xff\xfe"), RawValue.from_bytes(b"null"),
    RawValue.from_bytes(200_000 * b"["), RawValue.from_bytes(200_000 * b'{"a":'),
    RawValue.from_bytes(200_000 * b"[" + 200_000 * b"]"), RawValue.from_bytes(6000 * b"9"),
]  # fmt: skip


class FixedTransport(StoreTransport):
    """Returns one response to every request."""

    def __init__(self, status: int, body: bytes) -> None:
        self.response = HttpResponse(status, [], body)

    async def exchange(self, request, timeout, on_progress=None) -> HttpResponse:
        return self.response

    def close(self) -> None:
        pass


def make_table(*values: object, status: int = 200) -> StoreTable:
    """Return a table whose responses have rows ``a``, ``b`` and so on with these values."""
    rows = [
        Row(f"servers/{name}", value, 5 + number)
        for number, (name, value) in enumerate(zip("abc", values, strict=False))
    ]
    response = StoreServer(MemoryStore(random.Random(1))).rows_response(rows, 9, HasMore=False)
    return StoreTable(FixedTransport(status, response.body), 65536)


class TestUnreadableRows:
    @pytest.mark.parametrize("value", UNREADABLE_VALUES)
    def test_row_is_not_taken_for_a_deleted_one_and_others_hold(self, value):
        # Regression: a row whose bytes are not JSON had the value of a deleted row.
        async def scenario() -> None:
            table = make_table({"x": 1}, value, None)
            for changes in (await table.snapshot("servers"), await table.watch("servers", 1, 0.0)):
                first, odd, deleted = (row.value for row in changes.rows)
                assert first == {"x": 1} and deleted is None
                assert isinstance(odd, Unreadable)
            assert isinstance((await table.read("servers/b")).value, Unreadable)
            transaction = Transaction([Condition("servers/a", 5)])
            with pytest.raises(ConditionFailed) as caught:
                await make_table(value, status=412).commit(transaction)
            assert isinstance(caught.value.current_rows["servers/a"].value, Unreadable)

        asyncio.run(scenario())

    def test_worker_with_an_unreadable_entry_is_left_out_with_one_line(self):
        # Regression: it looked deregistered, and nothing told why.
        async def scenario() -> None:
            metrics = Metrics()
            table = make_table(RawValue.from_bytes(b"{"), None)
            directory = StoreWorkerDirectory(table, LeftOutRows(metrics))
            with structlog.testing.capture_logs() as lines:
                for _ in range(3):
                    assert (await directory.snapshot()).entries == {"a": None, "b": None}
            assert [(line["event"], line["key"]) for line in lines] == [
                ("row left out: cannot be decoded", "servers/a")
            ]
            assert metrics.counters["rows.left_out"] == 1

        asyncio.run(scenario())

    def test_unreadable_request_to_evacuate_a_data_centre_holds(self):
        # Regression: it counted as withdrawn.
        rows = [Row("op/evacuate/dc-a", Unreadable("not JSON"), 3)]
        assert decode_changes(Changes(rows, 3)).out_of_service == {"dc-a": True}

    def test_unreadable_configuration_is_not_taken_for_a_confirmation(self):
        # Regression: keys that it withdraws were accepted for ever.
        rows = [Row("op/config", Unreadable("not JSON"), 3)]
        with pytest.raises(PlatformUnavailable, match="op/config"):
            decode_changes(Changes(rows, 3))


class TestOddResponses:
    """A response that is not the store's, for example of a proxy, counts as none."""

    @pytest.mark.parametrize(
        "body",
        [
            b"", b"7", b"[]", b"null", b"{}", b"\xff", 200_000 * b"[", 6000 * b"9",
            b'{"rows": 7, "RowVersion": 9}',
            b'{"rows": [7], "RowVersion": 9}',
            b'{"rows": [{}], "RowVersion": 9}',
            b'{"rows": [], "RowVersion": "x"}',
            b'{"rows": [], "RowVersion": [1]}',
            b'{"rows": [], "RowVersion": true}',
            b'{"rows": [], "RowVersion": 9, "NowMs": "x"}',
            b'{"rows": [], "RowVersion": 9, "NowMs": [1]}',
            b'{"rows": [], "RowVersion": 9, "NowMs": ' + 400 * b"9" + b"}",
            b'{"rows": [], "RowVersion": ' + 400 * b"9" + b"}",
            b'{"rows": [{"Table": "servers", "Key": 7, "RowVersion": 3}], "RowVersion": 9}',
            b'{"rows": [{"Table": "servers", "Key": "a", "RowVersion": "3"}], "RowVersion": 9}',
            b'{"rows": [{"Table": "servers", "Key": "a"}], "RowVersion": 9}',
        ],
    )  # fmt: skip
    def test_response_is_not_taken_for_rows(self, body):
        # Regression: an unexpected error ended the task that had asked, such as a leadership.
        async def scenario() -> None:
            table = StoreTable(FixedTransport(200, body), 65536)
            for call in (table.snapshot("servers"), table.watch("servers", 1, 0.0)):
                with pytest.raises(PlatformUnavailable):
                    await call
            assert table.clock_offset == 0.0
            if b"Key" in body or body in (b"", b"7", b"[]", b"null"):
                with pytest.raises(PlatformUnavailable):
                    await StoreTable(FixedTransport(412, body), 65536).commit(
                        Transaction([Condition("servers/a", 5)])
                    )

        asyncio.run(scenario())

    @pytest.mark.parametrize("body", [b"", b"{}", b"[]", b'{"RowVersion": "x"}', 200_000 * b"["])
    def test_outcome_of_a_write_is_unknown_after_an_odd_response(self, body):
        async def scenario() -> None:
            with pytest.raises(PlatformUnavailable) as caught:
                await StoreTable(FixedTransport(200, body), 65536).commit(large_transaction())
            assert caught.value.effect_unknown

        asyncio.run(scenario())
