"""Tells the leader directly of rows that callers' requests have just stored.

The leader watches the store, which remains the only source of truth. While the store's watches are
silent or its responses are slow, this message reaches the leader a second or more earlier.
"""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from jaypier.core.codec import DecodeError, from_plain, to_plain
from jaypier.platform import Row
from jaypier.platform.decoding import describe_error
from jaypier.relay.peers import PeerList
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse

NOTIFICATION_PATH = "/stored-rows"

NOTIFICATION_TIMEOUT_SECONDS = 0.5
"""Time to wait for the leader's response; after that, its own watch is likely to be faster."""

MAX_PENDING_NOTIFICATIONS = 64
"""Notifications that may wait for a response at a time; further ones are dropped."""

MAX_NOTIFICATION_BYTES = 1 << 18
"""Longest notification, several times the longest row: decoded, it takes many times its length."""

MAX_VERSION = 1 << 53
"""Highest valid version of a row."""

log = structlog.get_logger()


def decode_notification(body: bytes) -> Row:
    """Decode a notification.

    :raises Exception: if it is not a row with a version of the store.
    """
    value = msgspec.json.decode(body)
    row = from_plain(value, Row)
    if type(value["version"]) is not int or not 0 < row.version <= MAX_VERSION:
        raise DecodeError([f"expected a version from 1 to {MAX_VERSION}"])
    return row


class LeaderNotifier:
    """Sends stored rows to the daemon that leads; a failure has no consequence.

    :param peers: the other daemons.
    :param find_leader: returns the name of the VM that leads, empty if none is known.
    :param deliver: called with the row if this daemon itself leads.
    """

    def __init__(
        self, peers: PeerList, find_leader: Callable[[], str], deliver: Callable[[Row], None]
    ) -> None:
        self.peers = peers
        self.find_leader = find_leader
        self.deliver = deliver
        self.tasks: set[asyncio.Task] = set()

    def notify(self, row: Row) -> None:
        """Send a row to the leader without waiting for it."""
        name = self.find_leader()
        if name == self.peers.own_name:
            self.deliver(row)
            return
        if name not in self.peers.peers or len(self.tasks) >= MAX_PENDING_NOTIFICATIONS:
            return
        task = asyncio.create_task(self.send(name, row), name=f"notification {row.key}")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, name: str, row: Row) -> None:
        """Send a row to a daemon."""
        body = msgspec.json.encode(to_plain(row))
        request = HttpRequest("POST", NOTIFICATION_PATH, body=body)
        try:
            await self.peers.peers[name].pool.exchange(request, NOTIFICATION_TIMEOUT_SECONDS)
        except TransportError as error:
            log.debug("leader not notified", leader=name, key=row.key, reason=str(error))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Deliver a row that a peer has sent; status 413 if it is longer than rows are."""
        if len(request.body) > MAX_NOTIFICATION_BYTES:
            return HttpResponse(413)
        try:
            row = decode_notification(request.body)
        except Exception as error:
            # A message of another sender may fail in ways that are not foreseen here.
            log.info("notification rejected", reason=describe_error(error), limited=True)
            return HttpResponse(400)
        self.deliver(row)
        return HttpResponse(200)

    def close(self) -> None:
        """Cancel the notifications that wait for a response."""
        for task in self.tasks:
            task.cancel()
