"""HTTP/1.1 server on ``asyncio`` and ``h11`` with graceful shutdown."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import h11

from jaypier.core.address import Address
from jaypier.wire.messages import MAX_BODY_BYTES, HttpRequest, HttpResponse, reason_phrase

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

BODY_READ_TIMEOUT_SECONDS = 10.0
"""Time that a client may take to send the body of a request: 1 MB over the slowest links."""

RESPONSE_WRITE_TIMEOUT_SECONDS = 10.0
"""Time that a client may take to read a response."""

PROGRESS_INTERVAL_SECONDS = 0.2
"""Minimum time between two interim responses that announce progress."""

MAX_CONNECTIONS = 4096
"""Maximum number of open connections of one server."""


@attrs.frozen
class HttpLimits:
    """Limits that a server imposes on its clients.

    :param max_header_bytes: maximum size of a request line with all headers, in bytes.
    :param max_body_bytes: maximum size of a request body, in bytes.
    :param header_timeout_seconds: time that a client may take to send a request line with all
        headers.
    :param idle_timeout_seconds: time after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


class ServerConnection(asyncio.Protocol):
    """One client connection; it handles one request at a time.

    :param server: the server that accepted the connection.
    """

    def __init__(self, server: "HttpServer") -> None:
        self.server = server
        self.limits = server.get_limits()
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )
        self.transport: asyncio.Transport | None = None
        self.request: HttpRequest | None = None
        self.body: list[bytes] = []
        self.body_size = 0
        self.is_reading = False
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.progress_announced_at = float("-inf")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if the server has its maximum of connections."""
        self.transport = transport
        if len(self.server.connections) >= self.server.max_connections:
            transport.abort()
            return
        self.server.connections.add(self)
        self.set_timer(self.limits.idle_timeout_seconds)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of a client that has disconnected."""
        self.server.connections.discard(self)
        self.clear_timer()
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        self.http.receive_data(data)
        if self.task is not None:
            return
        if not self.is_reading:
            self.is_reading = True
            self.set_timer(self.limits.header_timeout_seconds)
        self.process_events()

    def eof_received(self) -> bool:
        """Close a half-closed connection, whose client counts as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Limit the time that a slow client may take to read the response."""
        self.set_timer(RESPONSE_WRITE_TIMEOUT_SECONDS)

    def resume_writing(self) -> None:
        """Return to the idle timeout once the client has read the response."""
        self.set_timer(self.limits.idle_timeout_seconds)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return self.task is None and not self.is_reading

    def set_timer(self, seconds: float) -> None:
        """Start the timer that closes the connection after ``seconds``, replacing a running one."""
        self.clear_timer()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.on_timeout)

    def clear_timer(self) -> None:
        """Cancel the running timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_timeout(self) -> None:
        """Close a connection that was idle or slow for too long, unless a handler runs."""
        self.timer = None
        if self.task is not None or self.transport is None:
            return
        if self.is_reading:
            self.reject(408, "the request did not arrive whole in time")
        elif self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()

    def process_events(self) -> None:
        """Read parser events until a request is complete or more bytes are needed."""
        try:
            while self.task is None:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    self.transport.close()
                    return
                self.handle_event(event)
        except h11.RemoteProtocolError as error:
            self.reject(error.error_status_hint, str(error))

    def handle_event(self, event: h11.Event) -> None:
        """Add one parser event to the request being read."""
        if isinstance(event, h11.Request):
            method, target = event.method.decode("ascii"), event.target.decode("latin-1")
            self.request = HttpRequest(
                method, target, list(event.headers), announce_progress=self.announce_progress
            )
            self.set_timer(BODY_READ_TIMEOUT_SECONDS)
            if self.http.they_are_waiting_for_100_continue:
                self.write(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(event, h11.Data):
            self.body_size += len(event.data)
            if self.body_size > self.limits.max_body_bytes:
                self.reject(413, f"body exceeds {self.limits.max_body_bytes} bytes")
                return
            self.body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.is_reading = False
            self.request.body = b"".join(self.body)
            self.clear_timer()
            self.task = asyncio.get_running_loop().create_task(self.handle(self.request))

    async def handle(self, request: HttpRequest) -> None:
        """Run the handler and send its response, or status 500 if it raises an exception."""
        try:
            response = await self.server.handler(request)
        except Exception as error:
            self.server.on_handler_error(error)
            response = HttpResponse(500, body=b"internal error\n")
        self.send_response(request, response)

    def announce_progress(self) -> None:
        """Send the interim response 102 to a client that waits for the handler."""
        if self.task is None or self.transport.is_closing():
            return
        now = asyncio.get_running_loop().time()
        is_due = now >= self.progress_announced_at + PROGRESS_INTERVAL_SECONDS
        if is_due and self.http.their_http_version == b"1.1":
            self.progress_announced_at = now
            self.write(h11.InformationalResponse(status_code=102, headers=[]))

    def send_response(self, request: HttpRequest, response: HttpResponse) -> None:
        """Send a response and prepare for the next request."""
        self.task = None
        if self.transport is None or self.transport.is_closing():
            return
        headers = [*response.headers, (b"content-length", str(len(response.body)).encode())]
        if self.server.is_stopping:
            headers.append((b"connection", b"close"))
        head = h11.Response(
            status_code=response.status, headers=headers, reason=reason_phrase(response.status)
        )
        body = b"" if request.method == "HEAD" else response.body
        self.write(head, h11.Data(data=body), h11.EndOfMessage())
        self.finish_request()

    def reject(self, status: int, message: str) -> None:
        """Send an error response to a request that could not be read, and close the connection."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = message.encode() + b"\n"
            headers = [(b"content-length", str(len(body)).encode()), (b"connection", b"close")]
            head = h11.Response(status_code=status, headers=headers, reason=reason_phrase(status))
            self.write(head, h11.Data(data=body), h11.EndOfMessage())
        self.request = None
        self.transport.close()

    def write(self, *events: h11.Event) -> None:
        """Serialize events and write them in one call."""
        self.transport.write(b"".join(self.http.send(event) or b"" for event in events))

    def finish_request(self) -> None:
        """End the request cycle: close the connection, or read the next request."""
        self.request = None
        self.body = []
        self.body_size = 0
        if self.http.our_state is h11.MUST_CLOSE:
            self.transport.close()
            return
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            self.transport.close()
            return
        self.http.start_next_cycle()
        self.set_timer(self.limits.idle_timeout_seconds)
        self.is_reading = bool(self.http.trailing_data[0])
        self.process_events()


class HttpServer:
    """An HTTP server on one address; an async context manager that owns its connections.

    :param address: address to listen on.
    :param handler: coroutine function that takes a request and returns its response.
    :param on_handler_error: called with each exception that the handler raises.
    :param get_limits: returns the limits for a new connection.
    """

    connection_class = ServerConnection
    max_connections = MAX_CONNECTIONS

    def __init__(
        self,
        address: Address,
        handler: Handler,
        on_handler_error: Callable[[Exception], None],
        get_limits: Callable[[], HttpLimits] = HttpLimits,
    ) -> None:
        self.address = address
        self.handler = handler
        self.on_handler_error = on_handler_error
        self.get_limits = get_limits
        self.connections: set[ServerConnection] = set()
        self.is_stopping = False
        self.listener: asyncio.Server | None = None

    async def __aenter__(self) -> "HttpServer":
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: self.connection_class(self), self.address.host, self.address.port, backlog=512
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

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
                connection.transport.close()
            await asyncio.sleep(0.02)
        return sum(not connection.is_idle for connection in self.connections)
