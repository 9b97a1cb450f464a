"""HTTP requests and responses as complete messages of bounded size."""

from collections.abc import Callable
from http import HTTPStatus

import attrs

Headers = list[tuple[bytes, bytes]]

MAX_BODY_BYTES = 1 << 20

MAX_LOGGED_CHARACTERS = 200
"""Longest path in a log line."""

RETRY_AFTER_SECONDS = 1
"""Value of the ``retry-after`` header of a process that is busy: the shortest time above zero that
it can express."""


@attrs.define
class HttpRequest:
    """A request with its complete body.

    :param method: for example ``"POST"``.
    :param target: path and query as sent.
    :param headers: pairs of lower-case names and values.
    :param body: at most ``MAX_BODY_BYTES`` bytes, unless its receiver sets another limit.
    :param announce_progress: tells the client of a received request that its response is being
        prepared, so that its time-out starts anew.
    """

    method: str
    target: str
    headers: Headers = attrs.field(factory=list)
    body: bytes = b""
    announce_progress: Callable[[], None] = attrs.field(
        default=lambda: None, eq=False, repr=False, kw_only=True
    )

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    @property
    def short_path(self) -> str:
        """The beginning of the path, for log lines."""
        return self.path[:MAX_LOGGED_CHARACTERS]

    def header(self, name: bytes, default: str = "") -> str:
        """Return the value of the first header called ``name`` (lower case), or ``default``."""
        return find_header(self.headers, name, default)


@attrs.define
class HttpResponse:
    """A response with its complete body.

    :param status: three-digit status code.
    :param headers: pairs of lower-case names and values.
    :param body: at most ``MAX_BODY_BYTES`` bytes, unless its receiver sets another limit.
    """

    status: int
    headers: Headers = attrs.field(factory=list)
    body: bytes = b""

    def header(self, name: bytes, default: str = "") -> str:
        """Return the value of the first header called ``name`` (lower case), or ``default``."""
        return find_header(self.headers, name, default)


def find_header(headers: Headers, name: bytes, default: str = "") -> str:
    """Return the value of the first header called ``name`` (lower case), or ``default``."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return default


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of ``status``, or an empty one if it is unknown."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


def json_response(status: int, body: bytes, headers: Headers | None = None) -> HttpResponse:
    """Build a response whose body is JSON."""
    return HttpResponse(status, [(b"content-type", b"application/json"), *(headers or [])], body)


def busy_response(message: str) -> HttpResponse:
    """Build the response to a request that was not run and may be sent again.

    :param message: why it was not run.
    """
    headers = [(b"retry-after", b"%d" % RETRY_AFTER_SECONDS)]
    return HttpResponse(503, headers, f"not run: {message}\n".encode())
