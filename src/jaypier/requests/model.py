"""Requests, their outcomes and how both are written in HTTP."""

from enum import StrEnum

import attrs

from jaypier.wire.messages import HttpRequest, HttpResponse

OUTCOME_HEADER = b"jaypier-outcome"
REPEATABLE_HEADER = b"jaypier-repeatable"
TIMEOUT_HEADER = b"jaypier-timeout"
KEY_HEADER = b"idempotency-key"

DEFAULT_TIMEOUT = 10.0
"""Seconds in which a request must be answered unless the caller says otherwise."""

MAX_TIMEOUT = 60.0
"""Longest time in seconds that a caller may ask for."""

MAX_KEY_LENGTH = 200

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Outcome(StrEnum):
    """What became of a request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class CallerRequest:
    """A request of a team to a service.

    :param key: identity of the request, empty when the caller gave none.
    :param is_repeatable: whether it may run more than once.
    :param deadline: time by which it must be answered, in seconds of the local clock.
    :param http: what to send to an endpoint.
    """

    team: str
    service: str
    key: str
    is_repeatable: bool
    deadline: float
    http: HttpRequest


@attrs.frozen
class RequestResult:
    """Final outcome of a request.

    :param response: the endpoint's whole answer, only when ``ANSWERED``.
    :param reason: why there is none.
    :param retry_after: seconds after which the caller may come back; 0 for no advice.
    """

    outcome: Outcome
    response: HttpResponse | None = None
    reason: str = ""
    retry_after: float = 0.0


def answered(response: HttpResponse) -> RequestResult:
    """Return the result of a whole answer."""
    return RequestResult(Outcome.ANSWERED, response)


def not_run(reason: str, retry_after: float) -> RequestResult:
    """Return the result of a request that certainly did not run."""
    return RequestResult(Outcome.NOT_RUN, reason=reason, retry_after=retry_after)


def unknown(reason: str, retry_after: float = 0.0) -> RequestResult:
    """Return the result of a request that may or may not have run."""
    return RequestResult(Outcome.UNKNOWN, reason=reason, retry_after=retry_after)
