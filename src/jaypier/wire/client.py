"""HTTP/1.1 client connections on ``asyncio`` and ``h11``."""

import asyncio
from collections import deque
from collections.abc import Callable

import h11

from jaypier.core.address import Address
from jaypier.wire.capacity import ChargedConnection, MemoryBudget
from jaypier.wire.errors import BrokenExchange, ConnectError, ExchangeTimeout
from jaypier.wire.messages import MAX_BODY_BYTES, HttpRequest, HttpResponse

CONNECT_TIMEOUT_SECONDS = 1.0
"""Time to wait for a TCP connection to be established."""

PART_TIMEOUT_SECONDS = 1.0
"""Shortest time to wait for the next part of a response that has begun to arrive: two successive
retransmissions of a packet."""

MIN_BYTES_PER_SECOND = 64_000
"""Slowest transfer of a response that is waited for: a tenth of the slowest links, 5 Mbit/s, which
several transfers may share."""

MAX_IDLE_SECONDS = 5.0
"""Idle time after which a pooled connection is closed instead of reused."""

DEFAULT_RECEIVED_BYTES = 32 << 20
"""Budget of a pool that shares it with no other."""

ProgressCallback = Callable[[], None]
"""Called whenever a part of a response has arrived."""


class ClientConnection(asyncio.Protocol, ChargedConnection):
    """One connection to a server; it carries one exchange at a time.

    A connection whose exchange did not end with a complete, well-formed response is closed, so a
    late response can never be matched to another request.

    :param address: the server's address, for the ``host`` header and error messages.
    :param max_body_bytes: maximum size of a response body, in bytes.
    :param budget: memory that responses take up while they are received.
    """

    def __init__(
        self,
        address: Address,
        max_body_bytes: int = MAX_BODY_BYTES,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.budget = budget or MemoryBudget(DEFAULT_RECEIVED_BYTES)
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future | None = None
        self.response: HttpResponse | None = None
        self.body = bytearray()
        self.received_bytes = 0
        self.timeout = 0.0
        self.began_at = 0.0
        self.latest_end = 0.0
        self.last_received_at = 0.0
        self.on_progress: ProgressCallback | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.fail_exchange(f"{self.address} closed the connection before the whole response")

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        self.data_received(b"")
        return False

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser and resolve the exchange when it is complete."""
        if self.waiter is None or self.waiter.done():
            self.transport.abort()
            return
        self.received_bytes += len(data)
        self.last_received_at = asyncio.get_running_loop().time()
        self.timeout = max(self.timeout, PART_TIMEOUT_SECONDS)
        if self.on_progress is not None:
            self.on_progress()
        try:
            self.http.receive_data(data)
            self.process_events()
        except h11.RemoteProtocolError as error:
            self.fail_exchange(f"{self.address} broke the protocol: {error}")
            self.transport.abort()

    def process_events(self) -> None:
        """Read parser events until the response is complete or more bytes are needed."""
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.InformationalResponse):
                # The server is still preparing the response: the time to wait starts anew.
                self.began_at, self.received_bytes = self.last_received_at, 0
            elif isinstance(event, h11.Response):
                self.response = HttpResponse(event.status_code, list(event.headers))
            elif isinstance(event, h11.Data):
                if len(self.body) + len(event.data) > self.max_body_bytes:
                    self.fail_exchange(
                        f"{self.address} sent a body over {self.max_body_bytes} bytes"
                    )
                    self.transport.abort()
                    return
                self.body += event.data
                self.budget.charge(self, len(self.body))
                if self.waiter.done():
                    return
            elif isinstance(event, h11.EndOfMessage):
                self.response.body = bytes(self.body)
                self.body = bytearray()
                self.waiter.set_result(self.response)
                return
            else:
                return

    def fail_exchange(self, message: str) -> None:
        """Fail the exchange in progress, if any."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(BrokenExchange(message, sent=True))

    @property
    def is_evictable(self) -> bool:
        """Whether the exchange may be given up: it has not ended."""
        return self.waiter is not None and not self.waiter.done()

    def evict(self) -> None:
        """Give up the exchange, whose response takes too much memory."""
        self.fail_exchange(f"no memory for the response of {self.address}")
        self.body = bytearray()
        self.budget.release(self)
        self.transport.abort()

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may start on this connection."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.http.our_state is h11.IDLE and self.http.their_state is h11.IDLE

    async def exchange(
        self, request: HttpRequest, timeout: float, on_progress: ProgressCallback | None = None
    ) -> HttpResponse:
        """Send a request and wait for its complete response.

        :param timeout: time to wait for the first part of the response, in seconds. Each further
            part may take as long again, ``PART_TIMEOUT_SECONDS`` at least, and the whole longer by
            the time that its size takes at ``MIN_BYTES_PER_SECOND``.
        :param on_progress: called whenever a part of the response has arrived.
        :raises ExchangeTimeout: if the response does not arrive in time; the connection is closed.
        :raises BrokenExchange: if the request cannot be encoded, the connection ends early, or
            the response is malformed or too large.
        """
        loop = asyncio.get_running_loop()
        self.waiter = loop.create_future()
        self.response, self.body = None, bytearray()
        self.received_bytes = 0
        self.on_progress = on_progress
        headers = [
            (b"host", request.header(b"host", str(self.address)).encode()),
            *(header for header in request.headers if header[0] != b"host"),
            (b"content-length", str(len(request.body)).encode()),
        ]
        self.timeout = timeout
        self.began_at = self.last_received_at = loop.time()
        # The time that the largest response takes; interim responses extend it no further.
        largest_seconds = self.max_body_bytes / MIN_BYTES_PER_SECOND
        self.latest_end = self.began_at + timeout + PART_TIMEOUT_SECONDS + largest_seconds
        self.timer = loop.call_later(timeout, self.check_progress)
        try:
            self.send(request, headers)
            response = await self.waiter
        except BaseException:
            self.transport.abort()
            raise
        finally:
            self.timer.cancel()
            self.budget.release(self)
            self.waiter = self.on_progress = None
        self.finish_exchange()
        return response

    def send(self, request: HttpRequest, headers: list[tuple[bytes, bytes]]) -> None:
        """Encode the request and write it in one call."""
        try:
            head = h11.Request(
                method=request.method.encode(), target=request.target.encode(), headers=headers
            )
            events = (head, h11.Data(data=request.body), h11.EndOfMessage())
            data = b"".join(self.http.send(event) or b"" for event in events)
        except h11.LocalProtocolError as error:
            raise BrokenExchange(f"request cannot be encoded: {error}", sent=False) from error
        self.transport.write(data)

    def check_progress(self) -> None:
        """Fail the exchange if too little has arrived; otherwise check again later."""
        loop = asyncio.get_running_loop()
        due = self.timeout + min(
            self.last_received_at, self.began_at + self.received_bytes / MIN_BYTES_PER_SECOND
        )
        due = min(due, self.latest_end)
        if loop.time() < due:
            self.timer = loop.call_at(due, self.check_progress)
        elif self.waiter is not None and not self.waiter.done():
            message = f"{self.address} did not answer in time"
            if self.received_bytes:
                message = (
                    f"{self.address} sent {self.received_bytes} bytes of its response in time, "
                    "not all of it"
                )
            self.waiter.set_exception(ExchangeTimeout(message, sent=True))

    def finish_exchange(self) -> None:
        """Make the connection ready for the next exchange, or close it."""
        is_done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # What follows the response belongs to no request, and must not count as the next response.
        if is_done and not self.http.trailing_data[0]:
            self.http.start_next_cycle()
            self.idle_since = asyncio.get_running_loop().time()
        else:
            self.transport.close()

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()


async def open_connection(
    address: Address,
    timeout: float = CONNECT_TIMEOUT_SECONDS,
    max_body_bytes: int = MAX_BODY_BYTES,
    budget: MemoryBudget | None = None,
) -> ClientConnection:
    """Connect to a server.

    :param timeout: time to wait for the connection, in seconds.
    :param max_body_bytes: maximum size of a response body, in bytes.
    :param budget: memory that responses take up while they are received.
    :raises ConnectError: if the connection is refused or is not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(address, max_body_bytes, budget),
                address.host,
                address.port,
            )
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"cannot connect to {address}: {error or 'timed out'}") from error
    return connection


class ConnectionPool:
    """A pool of connections to one server; the most recently used one is reused first.

    :param address: the server's address.
    :param max_body_bytes: maximum size of a response body, in bytes.
    :param max_idle_seconds: idle time after which a connection is not reused.
    :param connect_timeout_seconds: time to wait for a connection.
    :param budget: memory that its responses, and those of other pools, take up while they are
        received.
    :ivar idle: connections without an exchange, the most recently used last.
    """

    def __init__(
        self,
        address: Address,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_idle_seconds: float = MAX_IDLE_SECONDS,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.max_idle_seconds = max_idle_seconds
        self.connect_timeout_seconds = connect_timeout_seconds
        self.budget = budget or MemoryBudget(DEFAULT_RECEIVED_BYTES)
        self.idle: deque[ClientConnection] = deque()

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close()

    def pop_idle(self) -> ClientConnection | None:
        """Return a reusable idle connection, or ``None``; close those that are stale."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable and now - connection.idle_since < self.max_idle_seconds:
                return connection
            connection.close()
        return None

    async def exchange(
        self, request: HttpRequest, timeout: float, on_progress: ProgressCallback | None = None
    ) -> HttpResponse:
        """Send a request on an idle connection, or on a new one.

        :param timeout: time to wait for the first part of the response and for each further one, in
            seconds. Opening a new connection may take as long again, but at most
            ``connect_timeout_seconds``; see :meth:`ClientConnection.exchange` for large responses.
        :param on_progress: called whenever a part of the response has arrived.
        :raises ConnectError: if no connection could be established; nothing was sent.
        :raises ExchangeTimeout: if the response does not arrive in time.
        :raises BrokenExchange: if the request cannot be encoded, the connection ends early, or
            the response is malformed or too large.
        """
        connection = self.pop_idle()
        if connection is None:
            connect_timeout = min(timeout, self.connect_timeout_seconds)
            connection = await open_connection(
                self.address, connect_timeout, self.max_body_bytes, self.budget
            )
        response = await connection.exchange(request, timeout, on_progress)
        if connection.is_reusable:
            self.idle.append(connection)
            self.close_stale()
        return response

    def close_stale(self) -> None:
        """Close the connections that have not been used for too long."""
        earliest = asyncio.get_running_loop().time() - self.max_idle_seconds
        while self.idle and self.idle[0].idle_since <= earliest:
            self.idle.popleft().close()

    def close(self) -> None:
        """Close every idle connection."""
        while self.idle:
            self.idle.pop().close()
