"""Errors of the requests slice."""

from jaypier.core.errors import JaypierError


class RequestError(JaypierError):
    """A request could not be served."""


class Shed(RequestError):
    """A request was turned away before anything was sent.

    :param retry_after: seconds after which the caller may come back.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class InvalidRequest(RequestError):
    """A request that can never be served as it is.

    :param status: HTTP status that says why.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
