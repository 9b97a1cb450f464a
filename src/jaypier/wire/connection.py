"""One connection of a client to an HTTP/1.1 server: reading, handling and writing, in phases."""

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import attrs
import h11

from jaypier.wire.capacity import ChargedConnection, RefusalReason
from jaypier.wire.messages import (
    MAX_BODY_BYTES,
    HttpRequest,
    HttpResponse,
    busy_response,
    reason_phrase,
)
from jaypier.wire.turns import TurnTaker

if TYPE_CHECKING:
    from jaypier.wire.server import HttpServer

BODY_READ_TIMEOUT_SECONDS = 10.0
"""Time that a client may take to send the body of a request: 1 MB over the slowest links."""

RESPONSE_WRITE_TIMEOUT_SECONDS = 10.0
"""Time that a client may take to read a response."""

PROGRESS_INTERVAL_SECONDS = 0.2
"""Minimum time between two interim responses that announce progress."""

SOCKET_BUFFER_BYTES = 65536
"""Size of the kernel's send buffer and of its receive buffer for a connection."""

READ_BYTES = 16384
"""Largest number of bytes that one read of a connection takes."""

EVENTS_PER_TURN = 32
"""Number of parser events, such as chunks of a body, that a connection handles in a turn."""

MAX_BYTES_AHEAD = 16384
"""Number of bytes of later requests from which a connection is not read while one is handled."""

MAX_DISCARDED_BYTES = MAX_BODY_BYTES
"""Number of bytes that are read after an error response, for the client to get the response."""

CONNECTION_BYTES = 8192
"""Memory of a connection without a request: its objects, in this process and in the kernel."""

REQUEST_BYTES = 8192
"""Memory of a request while it is handled, beside its headers and its body."""

HEADER_BYTES = 256
"""Memory of a header line beside its bytes."""


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


class Phase(Enum):
    """What a connection waits for.

    ``IDLE``: the first byte of a request. ``HEAD``: the rest of its line and headers. ``BODY``: the
    rest of its body. ``HANDLING``: the handler. ``UNREAD``: the client, which has not read the
    responses so far. ``CLOSING``: the client as well; no further request is handled.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLING = "handling"
    UNREAD = "unread"
    CLOSING = "closing"


class ServerConnection(asyncio.BufferedProtocol, ChargedConnection, TurnTaker):
    """One client connection; it handles one request at a time.

    Requests sent ahead stay unread beyond ``MAX_BYTES_AHEAD`` while one is handled or responses are
    not taken.

    :param server: the server that accepted the connection.
    :ivar head_bytes: memory that the line and the headers of the request take.
    :ivar is_write_paused: whether the client has too much to read before the next request.
    :ivar is_read_paused: whether the connection is not read for the time being.
    :ivar is_queued: whether it waits for its turn to parse what was read.
    """

    def __init__(self, server: "HttpServer") -> None:
        self.server = server
        self.limits = server.get_limits()
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )
        self.transport: asyncio.Transport | None = None
        self.phase = Phase.IDLE
        self.request: HttpRequest | None = None
        self.head_bytes = 0
        self.body = bytearray()
        self.is_write_paused = False
        self.is_read_paused = False
        self.is_queued = False
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.progress_announced_at = float("-inf")
        self.discarded_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if there is no room for it."""
        self.transport = transport
        if not self.server.make_room():
            transport.abort()
            return
        self.server.connections.add(self)
        self.enter(Phase.IDLE)
        self.update_charge()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of a client that has disconnected."""
        self.phase = Phase.CLOSING
        self.server.forget(self)
        self.clear_timer()
        if self.task is not None:
            self.server.end_request(self)
            self.task.cancel()
            self.task = None

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read, which all connections of the server share."""
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Feed received bytes to the parser, and handle the request that they complete."""
        if self.phase is Phase.CLOSING:
            self.discard(nbytes)
            return
        self.http.receive_data(bytes(memoryview(self.server.read_buffer)[:nbytes]))
        self.request_turn()

    def eof_received(self) -> bool:
        """Close a half-closed connection, whose client counts as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Wait for the client before the next request is read."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Go on with the next request once the client has read the responses."""
        self.is_write_paused = False
        if self.phase is Phase.UNREAD:
            self.begin_next_request()
            self.request_turn()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled, and none has been sent ahead."""
        if self.phase in (Phase.IDLE, Phase.UNREAD):
            return not self.bytes_ahead
        return self.phase is Phase.CLOSING

    @property
    def is_parsing(self) -> bool:
        """Whether what was read belongs to the request that is handled next."""
        return self.phase in (Phase.IDLE, Phase.HEAD, Phase.BODY)

    @property
    def bytes_ahead(self) -> int:
        """Number of bytes that were read and not parsed."""
        return len(self.http.trailing_data[0])

    def enter(self, phase: Phase) -> None:
        """Enter a phase and start its timer, which no byte that the client sends starts anew."""
        self.server.order_by_wait(self, self.phase, phase)
        self.phase = phase
        self.clear_timer()
        seconds = {
            Phase.IDLE: self.limits.idle_timeout_seconds,
            Phase.HEAD: self.limits.header_timeout_seconds,
            Phase.BODY: BODY_READ_TIMEOUT_SECONDS,
            Phase.UNREAD: RESPONSE_WRITE_TIMEOUT_SECONDS,
            Phase.CLOSING: RESPONSE_WRITE_TIMEOUT_SECONDS,
        }.get(phase)
        if seconds is not None:
            self.timer = asyncio.get_running_loop().call_later(seconds, self.on_timeout)

    def clear_timer(self) -> None:
        """Cancel the running timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_timeout(self) -> None:
        """Close a connection whose client was idle or slow for too long."""
        self.timer = None
        if self.phase in (Phase.HEAD, Phase.BODY):
            self.reject(HttpResponse(408, body=b"the request did not arrive whole in time\n"))
        elif self.phase is Phase.CLOSING or self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.close()

    def close(self) -> None:
        """Close the connection once the client has read what was sent, but do not wait long."""
        if self.phase is not Phase.CLOSING:
            self.enter(Phase.CLOSING)
            self.transport.close()

    def half_close(self) -> None:
        """End the connection in the direction of the client, and wait until it does the same.

        Closing a connection with unread bytes resets it, and the client may lose the response.
        """
        self.enter(Phase.CLOSING)
        self.update_reading()
        self.transport.write_eof()

    def discard(self, count: int) -> None:
        """Count bytes that a client sends after its last response; abort if they do not end."""
        self.discarded_bytes += count
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.abort()

    def abort(self) -> None:
        """Close the connection at once; it no longer counts as open."""
        self.enter(Phase.CLOSING)
        self.transport.abort()
        self.server.forget(self)

    def request_turn(self) -> None:
        """Parse what was read now, or in a later turn of the event loop."""
        if self.is_parsing and not self.is_queued:
            if self.server.turns.request(self):
                self.process_events()
            else:
                self.is_queued = True
        self.update()

    def take_turn(self) -> None:
        """Parse what was read."""
        self.is_queued = False
        self.process_events()
        self.update()

    def process_events(self) -> None:
        """Read parser events until a request is complete, the turn ends or bytes are missing."""
        try:
            for _ in range(EVENTS_PER_TURN):
                if not self.is_parsing:
                    return
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    if self.phase is Phase.IDLE and self.bytes_ahead:
                        self.enter(Phase.HEAD)
                    return
                if isinstance(event, h11.ConnectionClosed):
                    self.close()
                    return
                self.handle_event(event)
        except h11.RemoteProtocolError as error:
            self.reject(HttpResponse(error.error_status_hint, body=f"{error}\n".encode()))
            return
        self.is_queued = True
        self.server.turns.append(self)

    def update(self) -> None:
        """Pause or resume reading, and tell the budget what the connection holds."""
        self.update_reading()
        self.update_charge()

    def update_charge(self) -> None:
        """Tell the budget how much memory the connection holds."""
        if self not in self.server.connections:
            return
        held = CONNECTION_BYTES + self.head_bytes + len(self.body) + self.bytes_ahead
        held += self.transport.get_write_buffer_size()
        if self.phase is Phase.HANDLING:
            held += REQUEST_BYTES + len(self.request.body)
        if self.is_read_paused:
            # What is not read stays in the kernel, and counts as memory of the VM.
            held += SOCKET_BUFFER_BYTES
        self.server.budget.charge(self, held)

    @property
    def is_evictable(self) -> bool:
        """Whether the connection may be closed: no request is being handled."""
        return self.phase is not Phase.HANDLING

    def evict(self) -> None:
        """Refuse the request that is being read, or close the connection at once."""
        self.server.on_refusal(RefusalReason.MEMORY)
        if self.phase in (Phase.HEAD, Phase.BODY) and not self.is_write_paused:
            self.reject(busy_response("this VM has no memory for the request"))
            self.http = h11.Connection(h11.SERVER)
            self.update_charge()
        else:
            self.abort()

    def update_reading(self) -> None:
        """Pause reading while enough was sent ahead, and resume it afterwards."""
        is_waiting = self.is_queued or self.phase in (Phase.HANDLING, Phase.UNREAD)
        is_read_paused = is_waiting and self.bytes_ahead >= MAX_BYTES_AHEAD
        if is_read_paused == self.is_read_paused:
            return
        self.is_read_paused = is_read_paused
        if is_read_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def handle_event(self, event: h11.Event) -> None:
        """Add one parser event to the request being read."""
        if isinstance(event, h11.Request):
            method, target = event.method.decode("ascii"), event.target.decode("latin-1")
            self.request = HttpRequest(
                method, target, list(event.headers), announce_progress=self.announce_progress
            )
            self.head_bytes = count_head_bytes(event)
            self.enter(Phase.BODY)
            if self.http.they_are_waiting_for_100_continue:
                self.write(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(event, h11.Data):
            if len(self.body) + len(event.data) > self.limits.max_body_bytes:
                message = f"body exceeds {self.limits.max_body_bytes} bytes\n"
                self.reject(HttpResponse(413, body=message.encode()))
                return
            self.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            self.request.body = bytes(self.body)
            self.body = bytearray()
            self.begin_handling(self.request)

    def begin_handling(self, request: HttpRequest) -> None:
        """Hand a whole request to the handler, or refuse it while too many are being handled."""
        held = REQUEST_BYTES + self.head_bytes + len(request.body)
        if not self.server.begin_request(self, held):
            self.server.on_refusal(RefusalReason.REQUESTS)
            self.send_response(request, busy_response("too many requests are being handled"))
            return
        self.enter(Phase.HANDLING)
        self.task = asyncio.get_running_loop().create_task(self.handle(request))

    async def handle(self, request: HttpRequest) -> None:
        """Run the handler and send its response, or status 500 if it raises an exception."""
        try:
            response = await self.server.handler(request)
        except Exception as error:
            self.server.on_handler_error(error)
            response = HttpResponse(500, body=b"internal error\n")
        if self.task is None:
            # The client has disconnected, and the handler did not end at its cancellation.
            return
        self.task = None
        self.server.end_request(self)
        try:
            self.send_response(request, response)
        except h11.LocalProtocolError as error:
            # The handler built a response that cannot be sent.
            self.server.on_handler_error(error)
            self.abort()
        if self.bytes_ahead:
            self.request_turn()
        else:
            self.update()

    def announce_progress(self) -> None:
        """Send the interim response 102 to a client that waits for the handler."""
        if self.task is None or self.is_write_paused or self.transport.is_closing():
            return
        now = asyncio.get_running_loop().time()
        is_due = now >= self.progress_announced_at + PROGRESS_INTERVAL_SECONDS
        if is_due and self.http.their_http_version == b"1.1":
            self.progress_announced_at = now
            self.write(h11.InformationalResponse(status_code=102, headers=[]))

    def send_response(self, request: HttpRequest, response: HttpResponse) -> None:
        """Send a response and prepare for the next request."""
        if self.transport.is_closing():
            return
        more_headers = []
        if self.server.is_stopping and not self.bytes_ahead:
            more_headers.append((b"connection", b"close"))
        self.write_response(response, *more_headers, is_head=request.method == "HEAD")
        self.finish_request()

    def write_response(
        self, response: HttpResponse, *more_headers: tuple[bytes, bytes], is_head: bool = False
    ) -> None:
        """Write a whole response.

        :param is_head: whether the body is left out, as the method of the request is ``HEAD``.
        """
        length = (b"content-length", str(len(response.body)).encode())
        head = h11.Response(
            status_code=response.status,
            headers=[*response.headers, length, *more_headers],
            reason=reason_phrase(response.status),
        )
        body = b"" if is_head else response.body
        self.write(head, h11.Data(data=body), h11.EndOfMessage())

    def reject(self, response: HttpResponse) -> None:
        """Send the response to a request that is not read any further, and end the connection."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.write_response(response, (b"connection", b"close"))
        self.request, self.head_bytes, self.body = None, 0, bytearray()
        self.half_close()

    def write(self, *events: h11.Event) -> None:
        """Serialize events and write them in one call."""
        self.transport.write(b"".join(self.http.send(event) or b"" for event in events))

    def finish_request(self) -> None:
        """End the request cycle: close the connection, or wait for the next request."""
        self.request, self.head_bytes = None, 0
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            self.close()
            return
        self.http.start_next_cycle()
        if self.is_write_paused:
            self.enter(Phase.UNREAD)
        else:
            self.begin_next_request()

    def begin_next_request(self) -> None:
        """Wait for a request, or for the rest of one that was sent ahead."""
        self.enter(Phase.HEAD if self.bytes_ahead else Phase.IDLE)


def count_head_bytes(head: h11.Request) -> int:
    """Return the memory that the line and the headers of a request take, in bytes."""
    lines = sum(len(name) + len(value) + HEADER_BYTES for name, value in head.headers)
    return len(head.target) + lines
