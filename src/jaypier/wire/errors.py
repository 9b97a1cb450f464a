"""Exceptions of the transport layer."""

from jaypier.core.errors import JaypierError


class TransportError(JaypierError):
    """An exchange with another process failed.

    :param sent: whether any byte of the request may have reached the other process. Only if this
        is false is it certain that the request was not handled.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ConnectError(TransportError):
    """No connection could be established; nothing was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=False)


class ExchangeTimeout(TransportError):
    """The complete response did not arrive in time."""


class BrokenExchange(TransportError):
    """The exchange was aborted before the complete response was read.

    The request could not be encoded, the connection ended, or the response was malformed or too
    large.
    """
