import asyncio
import random

import msgspec
import pytest

from jaypier.core.address import Address
from jaypier.core.codec import to_plain
from jaypier.platform import Row
from jaypier.relay.notifier import (
    MAX_NOTIFICATION_BYTES,
    MAX_PENDING_NOTIFICATIONS,
    NOTIFICATION_PATH,
    LeaderNotifier,
)
from jaypier.relay.peers import Peer, PeerList
from jaypier.wire.errors import ConnectError
from jaypier.wire.messages import HttpRequest, HttpResponse
from standins.virtual_time import LoopClock, run_in_virtual_time

ROW = Row("jobs/0123456789abcdef", {"payload": "work"}, 7)


class FakePool:
    """A connection pool that responds after a delay, or raises an exception."""

    def __init__(self, error: Exception | None = None, delay: float = 0.0) -> None:
        self.error = error
        self.delay = delay
        self.requests: list[HttpRequest] = []

    async def exchange(self, request: HttpRequest, timeout: float) -> HttpResponse:
        self.requests.append(request)
        await asyncio.sleep(self.delay)
        if self.error is not None:
            raise self.error
        return HttpResponse(200)


class Harness:
    """A notifier on the VM ``vm-0`` with one peer, ``vm-1``."""

    def __init__(self, pool: FakePool, leader: str) -> None:
        self.pool = pool
        self.delivered: list[Row] = []
        peers = PeerList("vm-0", LoopClock(asyncio.get_running_loop()), random.Random(1))
        peers.peers = {"vm-1": Peer("vm-1", Address("127.0.0.1", 1), pool)}
        self.notifier = LeaderNotifier(peers, lambda: leader, self.delivered.append)


class TestSending:
    def play(self, pool: FakePool, leader: str, rows: int = 1) -> Harness:
        async def scenario() -> Harness:
            harness = Harness(pool, leader)
            for _ in range(rows):
                harness.notifier.notify(ROW)
            await asyncio.sleep(0.1)
            harness.notifier.close()
            return harness

        return run_in_virtual_time(scenario())

    def test_row_is_sent_to_the_leader(self):
        harness = self.play(FakePool(), "vm-1")
        (request,) = harness.pool.requests
        assert request.path == NOTIFICATION_PATH
        assert msgspec.json.decode(request.body) == to_plain(ROW)
        assert harness.delivered == []

    def test_own_row_is_delivered_while_this_daemon_leads(self):
        harness = self.play(FakePool(), "vm-0")
        assert harness.delivered == [ROW]
        assert harness.pool.requests == []

    @pytest.mark.parametrize("leader", ["", "vm-9"])
    def test_without_a_known_leader_nothing_is_sent(self, leader):
        harness = self.play(FakePool(), leader)
        assert harness.pool.requests == harness.delivered == []

    def test_unreachable_leader_is_no_error(self):
        harness = self.play(FakePool(ConnectError("refused")), "vm-1")
        assert len(harness.pool.requests) == 1

    def test_waiting_notifications_are_bounded(self):
        harness = self.play(FakePool(delay=60.0), "vm-1", rows=MAX_PENDING_NOTIFICATIONS + 10)
        assert len(harness.pool.requests) == MAX_PENDING_NOTIFICATIONS


class TestReceiving:
    def receive(self, body: bytes) -> tuple[int, list[Row]]:
        async def scenario() -> tuple[int, list[Row]]:
            harness = Harness(FakePool(), "vm-0")
            request = HttpRequest("POST", NOTIFICATION_PATH, body=body)
            response = await harness.notifier.handle(request)
            return response.status, harness.delivered

        return run_in_virtual_time(scenario())

    def test_row_is_delivered(self):
        assert self.receive(msgspec.json.encode(to_plain(ROW))) == (200, [ROW])

    # Regression: a job of a notification with a version of 400 digits waited for that version.
    @pytest.mark.parametrize("version", ["0", "-1", 400 * "9", 6000 * "9", "1e999", "true", '"x"'])
    def test_notification_with_an_odd_version_is_rejected(self, version):
        body = f'{{"key": "jobs/1", "value": {{}}, "version": {version}}}'
        assert self.receive(body.encode()) == (400, [])

    @pytest.mark.parametrize(
        "body", [b"", b"[", b"[]", b'{"key": "jobs/1"}', b"\xff", 200_000 * b"["]
    )
    def test_malformed_notification_is_rejected(self, body):
        assert self.receive(body) == (400, [])

    def test_oversized_notification_is_not_decoded(self):
        values = {"key": "jobs/1", "value": MAX_NOTIFICATION_BYTES * "x", "version": 1}
        assert self.receive(msgspec.json.encode(values)) == (413, [])
