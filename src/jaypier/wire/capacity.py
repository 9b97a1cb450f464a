"""What connections may take up of a process: their number, requests in progress and memory."""

from abc import ABC, abstractmethod
from enum import Enum

import attrs

HANDLED_SHARE = 0.5
"""Share of the budget that requests may take up while they are handled; nothing evicts these."""

ROOM_SHARE = 0.125
"""Share of the budget that is freed when it is used up, so that this is rare."""


class RefusalReason(Enum):
    """Why a server refused a request or closed a connection before its client was done.

    ``CONNECTIONS``: the server has its maximum of connections. ``MEMORY``: the clients of all
    servers hold as much memory as they may, and this one holds most. ``REQUESTS``: the maximum of
    requests is being handled.
    """

    CONNECTIONS = "connections"
    MEMORY = "memory"
    REQUESTS = "requests"


@attrs.frozen
class ServerCapacity:
    """What the clients of one server may take up.

    :param max_connections: maximum number of open connections.
    :param max_requests: maximum number of requests that are handled at a time.
    """

    max_connections: int = 4096
    max_requests: int = 4096


class ChargedConnection(ABC):
    """A connection whose memory counts towards a budget."""

    @property
    @abstractmethod
    def is_evictable(self) -> bool:
        """Whether the connection may be closed now."""

    @abstractmethod
    def evict(self) -> None:
        """Give up the message that is being read, if any, and release the memory held for it."""


class MemoryBudget:
    """Memory that the connections of a process may take up together.

    When it is used up, connections are closed or refused, those that hold most first. Connections
    with messages of the usual size hold little and are spared.

    :param max_bytes: maximum number of bytes; what objects take beside their bytes is estimated.
    :ivar held: number of bytes that each connection holds.
    :ivar held_bytes: their sum.
    :ivar handled: number of bytes of each request that is being handled, by its connection.
    :ivar handled_bytes: their sum.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held: dict[ChargedConnection, int] = {}
        self.held_bytes = 0
        self.handled: dict[ChargedConnection, int] = {}
        self.handled_bytes = 0
        self.is_making_room = False

    def charge(self, connection: ChargedConnection, count: int) -> None:
        """Record how many bytes a connection holds now; make room if that is too much."""
        self.held_bytes += count - self.held.get(connection, 0)
        self.held[connection] = count
        if self.held_bytes > self.max_bytes and not self.is_making_room:
            self.make_room()

    def begin_request(self, connection: ChargedConnection, count: int) -> bool:
        """Return whether a request of some bytes may be handled, and count it if so."""
        if self.handled_bytes + count > self.max_bytes * HANDLED_SHARE:
            return False
        self.handled[connection] = count
        self.handled_bytes += count
        return True

    def end_request(self, connection: ChargedConnection) -> None:
        """Stop counting the request of a connection."""
        self.handled_bytes -= self.handled.pop(connection, 0)

    def release(self, connection: ChargedConnection) -> None:
        """Stop counting a connection."""
        self.held_bytes -= self.held.pop(connection, 0)

    def make_room(self) -> None:
        """Evict connections, those that hold most first, until ``ROOM_SHARE`` is free."""
        self.is_making_room = True
        target = self.max_bytes * (1.0 - ROOM_SHARE)
        try:
            for connection in sorted(self.held, key=self.held.__getitem__, reverse=True):
                if self.held_bytes <= target:
                    break
                if connection.is_evictable:
                    connection.evict()
        finally:
            self.is_making_room = False
