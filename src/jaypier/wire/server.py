"""HTTP/1.1 server on ``asyncio`` and ``h11`` with graceful shutdown."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from jaypier.core.address import Address
from jaypier.wire.capacity import MemoryBudget, RefusalReason, ServerCapacity
from jaypier.wire.connection import (
    READ_BYTES,
    SOCKET_BUFFER_BYTES,
    HttpLimits,
    Phase,
    ServerConnection,
)
from jaypier.wire.messages import HttpRequest, HttpResponse
from jaypier.wire.turns import TurnQueue

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

DEFAULT_BUDGET_BYTES = 75 << 20
"""Budget of a server that shares it with no other."""

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted."""

ACCEPTS_PER_TURN = 16
"""Connections that are accepted in one turn of the event loop, before any of them can be closed."""


class HttpServer:
    """An HTTP server on one address; an async context manager that owns its connections.

    :param address: address to listen on.
    :param handler: coroutine function that takes a request and returns its response.
    :param on_handler_error: called with each exception that the handler raises.
    :param get_limits: returns the limits for a new connection.
    :param capacity: what all its clients may take up.
    :param on_refusal: called with the reason of each refusal for want of capacity.
    :param budget: memory that its clients share with those of other servers of the process.
    :ivar requests: number of requests that are being handled.
    :ivar turns: lets a few connections at a time parse what was read.
    :ivar waiting: the connections that wait for their clients, the longest wait first.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        on_handler_error: Callable[[Exception], None],
        get_limits: Callable[[], HttpLimits] = HttpLimits,
        capacity: ServerCapacity | None = None,
        on_refusal: Callable[[RefusalReason], None] = lambda reason: None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.handler = handler
        self.on_handler_error = on_handler_error
        self.get_limits = get_limits
        self.capacity = capacity or ServerCapacity()
        self.on_refusal = on_refusal
        self.budget = budget or MemoryBudget(DEFAULT_BUDGET_BYTES)
        self.connections: set[ServerConnection] = set()
        self.waiting: dict[ServerConnection, None] = {}
        self.requests = 0
        self.turns = TurnQueue()
        self.read_buffer = bytearray(READ_BYTES)
        self.is_stopping = False
        self.listener: asyncio.Server | None = None

    async def __aenter__(self) -> "HttpServer":
        family = socket.AF_INET6 if ":" in self.address.host else socket.AF_INET
        listening = socket.socket(family)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Accepted connections inherit the sizes of the buffers.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
            listening.bind((self.address.host, self.address.port))
            self.listener = await asyncio.get_running_loop().create_server(
                lambda: ServerConnection(self), sock=listening, backlog=ACCEPTS_PER_TURN
            )
            # The event loop accepts as many connections in a turn as its backlog says; the kernel
            # may hold more.
            listening.listen(LISTEN_BACKLOG)
        except BaseException:
            listening.close()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def make_room(self) -> bool:
        """Return whether one more connection may be open, and close another one for it if needed.

        The connection that has waited longest for its client is closed, none whose request is
        being handled.
        """
        if len(self.connections) < self.capacity.max_connections:
            return True
        self.on_refusal(RefusalReason.CONNECTIONS)
        longest_waiting = next(iter(self.waiting), None)
        if longest_waiting is None:
            return False
        longest_waiting.abort()
        return True

    def begin_request(self, connection: ServerConnection, count: int) -> bool:
        """Return whether one more request of some bytes may be handled, and count it if so."""
        if self.requests >= self.capacity.max_requests:
            return False
        is_within_budget = self.budget.begin_request(connection, count)
        self.requests += is_within_budget
        return is_within_budget

    def end_request(self, connection: ServerConnection) -> None:
        """Stop counting a request."""
        self.requests -= 1
        self.budget.end_request(connection)

    def order_by_wait(self, connection: ServerConnection, before: Phase, after: Phase) -> None:
        """Keep ``waiting`` in order when a connection enters a phase.

        The wait begins with the connection or with the end of its last request; what a client
        sends of the next one does not begin it anew.
        """
        if after is Phase.HANDLING:
            self.waiting.pop(connection, None)
        elif before is Phase.HANDLING or connection not in self.waiting:
            self.waiting[connection] = None

    def forget(self, connection: ServerConnection) -> None:
        """Stop counting a connection as open."""
        self.connections.discard(connection)
        self.waiting.pop(connection, None)
        self.budget.release(connection)

    def announce_stop(self) -> None:
        """Ask clients to disconnect: all responses from now on carry ``connection: close``."""
        self.is_stopping = True

    async def drain(self, timeout: float) -> int:
        """Stop accepting connections, close idle ones and wait for requests in flight.

        :param timeout: maximum time to wait, in seconds.
        :returns: the number of requests that were still in flight at the timeout.
        """
        self.announce_stop()
        self.listener.close()
        deadline = asyncio.get_running_loop().time() + timeout
        while self.connections and asyncio.get_running_loop().time() < deadline:
            for connection in [each for each in self.connections if each.is_idle]:
                connection.close()
            await asyncio.sleep(0.02)
        return sum(not connection.is_idle for connection in self.connections)
