import asyncio
import json
import math

import pytest

from jaypier.core.address import Address
from jaypier.jobs.model import StartRequest, StartResponse, TaskId
from jaypier.jobs.worker_interface import WorkerUnreachable
from jaypier.platform.decoding import LeftOutRows
from jaypier.platform.model import Changes, Row
from jaypier.platform.workers import HttpWorkerLink, decode_listing, decode_worker
from jaypier.wire.errors import ConnectError, ExchangeTimeout
from jaypier.wire.messages import HttpResponse

ENTRY = {
    "Service": "desk",
    "Address": "10.128.0.9:8080",
    "Zone": "dc-a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdLeftMs": 0,
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 8},
    "Labels": ["a", "r1-3"],
    "ClockMs": 482113,
    "Sequence": 4,
    "born": 1783120004753,
    "Machine": "m-7",
}


def nested(levels: int) -> list:
    value: list = []
    for _ in range(levels):
        value = [value]
    return value


class TestWorkerEntries:
    def test_entry_is_decoded(self):
        entry = decode_worker(Row("servers/i-1", ENTRY, 3), LeftOutRows())
        assert entry.id == "i-1"
        assert entry.rack == "r1-3"
        assert entry.labels == {"a", "r1-3"}
        assert entry.capacity.accelerators == 8
        assert entry.is_ready
        assert entry.born == 1783120004753
        assert entry.machine == "m-7"

    def test_entry_may_leave_out_its_machine(self):
        without_machine = {key: value for key, value in ENTRY.items() if key != "Machine"}
        assert decode_worker(Row("servers/i-1", without_machine, 3), LeftOutRows()).machine == ""

    def test_draining_worker_is_not_ready(self):
        assert not decode_worker(
            Row("servers/i-1", {**ENTRY, "State": "draining"}, 3), LeftOutRows()
        ).is_ready

    @pytest.mark.parametrize(
        "change",
        [
            {"State": "resting"},
            {"State": None},
            {"Address": "nowhere"},
            {"Address": 7},
            {"Capacity": None},
            {"Capacity": {"Cpu": "many", "MemMb": 1, "Gpu": 1}},
            {"Labels": 3},
            {"Service": None},
            {"Machine": 7},
            {"Address": "[fe80::1%\0]:80"},
            {"Address": "[fe80::1%a\nb]:80"},
            {"Capacity": nested(900)},
            {"Service": nested(900)},
            {"Service": {}},
            {"State": nested(900)},
            {"Labels": nested(900)},
            {"Labels": "ab"},
            {"born": int(400 * "9")},
        ],
    )
    def test_malformed_entry_is_ignored(self, change):
        assert decode_worker(Row("servers/i-1", {**ENTRY, **change}, 3), LeftOutRows()) is None

    @pytest.mark.parametrize("amount", ["Infinity", "-Infinity", "NaN", "1e999", "1e300", "-1"])
    @pytest.mark.parametrize("field", ["Cpu", "MemMb", "Gpu"])
    def test_entry_with_a_capacity_that_is_no_amount_is_ignored_beside_others(self, field, amount):
        # Regression (LOST): an infinite capacity in one row ended every leadership.
        capacity = json.loads(f'{{"Cpu": 1, "MemMb": 1, "Gpu": 1, "{field}": {amount}}}')
        rows = [
            Row("servers/i-1", ENTRY, 3),
            Row("servers/inventory-7", {**ENTRY, "Capacity": capacity}, 4),
        ]
        listing = decode_listing(Changes(rows, 4), LeftOutRows())
        assert listing.entries["inventory-7"] is None
        assert listing.entries["i-1"] == decode_worker(rows[0], LeftOutRows())

    @pytest.mark.parametrize("field", ["born", "ClockMs", "RemainingMs"])
    @pytest.mark.parametrize("value", [float("inf"), float("nan"), 1e300, True, "soon", None, []])
    def test_entry_with_a_time_that_is_no_number_is_ignored(self, field, value):
        assert decode_worker(Row("servers/i-1", {**ENTRY, field: value}, 3), LeftOutRows()) is None

    @pytest.mark.parametrize("field", ["Service", "Zone", "Machine"])
    def test_entry_with_a_text_that_cannot_be_stored_is_ignored(self, field):
        assert (
            decode_worker(Row("servers/i-1", {**ENTRY, field: "desk\ud800"}, 3), LeftOutRows())
            is None
        )
        assert (
            decode_worker(
                Row("servers/i-1", {**ENTRY, "Labels": ["a", "\ud800"]}, 3), LeftOutRows()
            )
            is None
        )

    @pytest.mark.parametrize("text", ["a\nb", "x" * 60_000, "\0", "a\r\nx: y"])
    @pytest.mark.parametrize("field", ["Service", "Zone", "Machine", "Labels", "id"])
    def test_entry_with_a_name_that_cannot_be_one_is_ignored(self, field, text):
        # Regression: such a worker was never reached or recorded, but waited for by new leaders.
        name = text if field == "id" else "i-1"
        entry = ENTRY | ({} if field == "id" else {field: [text] if field == "Labels" else text})
        assert decode_worker(Row(f"servers/{name}", entry, 3), LeftOutRows()) is None

    def test_entry_with_too_many_labels_is_ignored(self):
        # Regression: it was too long to be recorded, which each write of the leader logged.
        entry = {**ENTRY, "Labels": [str(number) for number in range(20_000)]}
        assert decode_worker(Row("servers/i-1", entry, 3), LeftOutRows()) is None

    @pytest.mark.parametrize("port", ["0", "-1", "65536", str(10**30), "8_0", "+80", " 80", "٨٠"])
    def test_entry_with_a_port_out_of_range_is_ignored(self, port):
        entry = {**ENTRY, "Address": f"10.0.0.1:{port}"}
        assert decode_worker(Row("servers/i-1", entry, 3), LeftOutRows()) is None

    def test_unknown_field_of_any_value_is_ignored(self):
        entry = {**ENTRY, "x": int(400 * "9"), "y": math.inf, "z": nested(900)}
        odd = decode_worker(Row("servers/i-1", entry, 3), LeftOutRows())
        assert odd == decode_worker(Row("servers/i-1", ENTRY, 3), LeftOutRows())

    @pytest.mark.parametrize("value", [None, [], "text", 7, {}])
    def test_entry_that_is_not_a_worker_object_is_ignored(self, value):
        assert decode_worker(Row("servers/i-1", value, 3), LeftOutRows()) is None


class TestReports:
    @pytest.mark.parametrize(
        "change",
        [
            {"ClockMs": None},
            {"ClockMs": float("inf")},
            {"Active": None},
            {"Active": [None]},
            {"Active": [["job.0.0.0", 1, "", []]]},
            {"Active": [[7, 1, "", 0]]},
            {"Active": [["job.0.0", 1, "", 0]]},
            {"Active": [["job.0.0.0", 1, "\ud800", 0]]},
            {"Active": [["job.0.0.0", 1, ["saved"], 0]]},
            {"Finished": [[1, "job.0.0.0", 1, "done", "\ud800"]]},
            {"Finished": {"a": 1}},
            {"Finished": [[1, "job.0.0.0", 1, "vanished", ""]]},
            {"Finished": [[1, "job.0.0.0", 1, ["done"], ""]]},
            {"Finished": [[1, "job.0.0.0", float("inf"), "done", ""]]},
            {"born": "yesterday"},
            {"born": int(400 * "9")},
            {"ClockMs": int(400 * "9")},
            {"ClockMs": nested(900)},
            {"ClockMs": True},
            {"Active": [["job.0.0.0", int(400 * "9"), "", 0]]},
            {"Active": [["job.0.0.0", -1, "", 0]]},
            {"Active": [["job.0.0.0", 1, "", math.inf]]},
            {"Active": [["job.0.0.0", 1, "", math.nan]]},
            {"Active": [["job.0.0.0", 1, "", int(400 * "9")]]},
            {"Active": [["job.0.0.0", 1, nested(900), 0]]},
            {"Active": [[nested(900), 1, "", 0]]},
            {"Active": [["job.0.0." + 400 * "9", 1, "", 0]]},
            {"Active": [["job.0.0.-1", 1, "", 0]]},
            {"Active": nested(900)},
            {"Finished": [[int(400 * "9"), "job.0.0.0", 1, "done", ""]]},
            {"Finished": [[1, "job.0.0.0", 1, nested(900), ""]]},
        ],
    )
    def test_malformed_report_counts_as_none(self, change):
        report = {"ClockMs": 1, "born": 1, "Active": [], "Finished": [], **change}

        async def renew() -> None:
            link = HttpWorkerLink("worker-00", Address("127.0.0.1", 1))

            async def exchange(request, timeout):
                return HttpResponse(200, [], json.dumps(report).encode())

            link.pool.exchange = exchange
            await link.renew(1, 0, None, 0.0)

        with pytest.raises(WorkerUnreachable):
            asyncio.run(renew())


class TestStartResponses:
    def start(self, status: int, body: bytes) -> StartResponse:
        async def start() -> StartResponse:
            link = HttpWorkerLink("worker-00", Address("127.0.0.1", 1))

            async def exchange(request, timeout):
                return HttpResponse(status, [], body)

            link.pool.exchange = exchange
            task = TaskId("0123456789abcdef", 0, 0, 0)
            return await link.start(1, StartRequest(task, 1, "work", "", 6000))

        return asyncio.run(start())

    @pytest.mark.parametrize(
        ("status", "reason", "response"),
        [
            (200, None, StartResponse.STARTED),
            (409, "fence", StartResponse.DEPOSED),
            (409, "old", StartResponse.OUTDATED),
            (409, "late", StartResponse.EXPIRED),
            (409, "room", StartResponse.NO_ROOM),
            (409, "another", StartResponse.REFUSED),
            (409, ["room"], StartResponse.REFUSED),
            (409, {}, StartResponse.REFUSED),
            (409, math.inf, StartResponse.REFUSED),
            (429, None, StartResponse.UNHEALTHY),
            (503, None, StartResponse.UNHEALTHY),
            (400, None, StartResponse.REFUSED),
            (421, None, StartResponse.REFUSED),
        ],
    )
    def test_response_is_decoded(self, status, reason, response):
        body = {"ClockMs": 1} if reason is None else {"ClockMs": 1, "Reason": reason}
        assert self.start(status, json.dumps(body).encode()) is response

    @pytest.mark.parametrize(
        ("status", "body"),
        [(500, b""), (502, b""), (504, b""), (409, b"{"), (409, 200_000 * b"["), (302, b"")],
    )
    def test_response_that_tells_nothing_counts_as_none(self, status, body):
        with pytest.raises(WorkerUnreachable):
            self.start(status, body)

    @pytest.mark.parametrize(
        ("error", "was_sent"),
        [(ConnectError("refused"), False), (ExchangeTimeout("no answer", sent=True), True)],
    )
    def test_error_tells_whether_the_request_may_have_arrived(self, error, was_sent):
        async def start() -> None:
            link = HttpWorkerLink("worker-00", Address("127.0.0.1", 1))

            async def exchange(request, timeout):
                raise error

            link.pool.exchange = exchange
            task = TaskId("0123456789abcdef", 0, 0, 0)
            await link.start(1, StartRequest(task, 1, "work", "", 6000))

        with pytest.raises(WorkerUnreachable) as raised:
            asyncio.run(start())
        assert raised.value.was_sent is was_sent
