"""Errors of the transport layer."""

from jaypier.core.errors import JaypierError


class TransportError(JaypierError):
    """An exchange with another process failed.

    :param sent: whether any byte of the request may have reached the other side. Only when
        this is false is it certain that the request was not handled.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ConnectError(TransportError):
    """No connection could be made; nothing was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=False)


class ExchangeTimeout(TransportError):
    """No whole response arrived in time."""


class BrokenExchange(TransportError):
    """The connection ended, or broke the protocol, before the whole response was read."""
