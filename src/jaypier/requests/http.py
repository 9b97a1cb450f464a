"""Callers' requests and their results in HTTP, and the hand-over between daemons."""

import math
from urllib.parse import quote, unquote

from jaypier.core.address import Address
from jaypier.core.clock import Clock
from jaypier.core.codec import to_json
from jaypier.core.metrics import Metrics
from jaypier.membership.state import MembershipState
from jaypier.requests.errors import InvalidRequest
from jaypier.requests.model import (
    DEFAULT_TIMEOUT,
    KEY_HEADER,
    MAX_KEY_LENGTH,
    MAX_TIMEOUT,
    OUTCOME_HEADER,
    REPEATABLE_HEADER,
    SAFE_METHODS,
    TIMEOUT_HEADER,
    CallerRequest,
    Outcome,
    RequestResult,
    answered,
    not_run,
    unknown,
)
from jaypier.requests.service import Forwarder
from jaypier.requests.upstream import REQUEST_ID_HEADER
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import (
    HttpRequest,
    HttpResponse,
    end_to_end,
    json_response,
)

SERVICES_PREFIX = "/v1/services/"
REQUESTS_PREFIX = "/v1/requests/"

FORWARDED_HEADER = b"jaypier-forwarded"
TEAM_HEADER = b"jaypier-team"
REASON_HEADER = b"jaypier-reason"

RETRY_STATUS = 503
UNKNOWN_STATUS = 504

PRIVATE_HEADERS = frozenset(
    {
        b"authorization",
        b"host",
        REPEATABLE_HEADER,
        TIMEOUT_HEADER,
        FORWARDED_HEADER,
        TEAM_HEADER,
        REQUEST_ID_HEADER,
    }
)
"""Headers that concern jaypier and are not sent to endpoints."""


def read_caller_request(request: HttpRequest, team: str, now: float) -> CallerRequest:
    """Read a caller's request for a service.

    :param team: the authenticated team.
    :param now: present time, in seconds.
    :raises InvalidRequest: naming the header or path and the remedy.
    """
    service, _, rest = request.target.removeprefix(SERVICES_PREFIX).partition("/")
    if not service:
        raise InvalidRequest(404, "path names no service; use /v1/services/SERVICE/PATH")
    headers = [
        (name, value) for name, value in end_to_end(request.headers) if name not in PRIVATE_HEADERS
    ]
    return CallerRequest(
        team,
        unquote(service),
        _read_key(request),
        _read_repeatable(request),
        now + _read_timeout(request),
        HttpRequest(request.method, f"/{rest}", headers, request.body),
    )


def _read_key(request: HttpRequest) -> str:
    key = request.header(KEY_HEADER)
    if len(key) > MAX_KEY_LENGTH or not key.isprintable() or "/" in key:
        raise InvalidRequest(
            400, f"Idempotency-Key must be printable, without '/', of {MAX_KEY_LENGTH} characters"
        )
    return key


def _read_repeatable(request: HttpRequest) -> bool:
    value = request.header(REPEATABLE_HEADER).lower()
    if value not in ("", "true", "false"):
        raise InvalidRequest(400, f"Jaypier-Repeatable is {value!r}; use true or false")
    return value == "true" if value else request.method in SAFE_METHODS


def _read_timeout(request: HttpRequest) -> float:
    text = request.header(TIMEOUT_HEADER)
    if not text:
        return DEFAULT_TIMEOUT
    try:
        timeout = float(text)
    except ValueError:
        timeout = math.nan
    if not 0 < timeout <= MAX_TIMEOUT:
        raise InvalidRequest(
            400, f"Jaypier-Timeout is {text!r}; use seconds above 0 and up to {MAX_TIMEOUT:g}"
        )
    return timeout


def write_result(result: RequestResult) -> HttpResponse:
    """Write a result as the caller's response."""
    outcome = (OUTCOME_HEADER, result.outcome.value.encode())
    if result.response is not None:
        response = result.response
        return HttpResponse(response.status, [*response.headers, outcome], response.body)
    headers = [outcome, (REASON_HEADER, _header_text(result.reason))]
    if result.retry_after:
        headers.append((b"retry-after", str(math.ceil(result.retry_after)).encode()))
    status = UNKNOWN_STATUS
    if result.outcome is Outcome.NOT_RUN:
        status = RETRY_STATUS
    elif result.outcome is Outcome.ANSWERED:
        status = 410
    body = to_json({"outcome": result.outcome.value, "reason": result.reason})
    return json_response(status, body, headers)


def _header_text(text: str) -> bytes:
    return "".join(char if char.isprintable() else " " for char in text).encode("ascii", "replace")


def read_result(response: HttpResponse) -> RequestResult:
    """Read a result that another daemon wrote with :func:`write_result`."""
    outcome = Outcome(response.header(OUTCOME_HEADER))
    reason = response.header(REASON_HEADER)
    if outcome is Outcome.ANSWERED and not reason:
        headers = [each for each in end_to_end(response.headers) if each[0] != OUTCOME_HEADER]
        return answered(HttpResponse(response.status, headers, response.body))
    if outcome is Outcome.NOT_RUN:
        return not_run(reason, float(response.header(b"retry-after", "0")))
    return RequestResult(outcome, reason=reason)


class HttpForwarder(Forwarder):
    """Hands requests over to other daemons on their callers' addresses.

    :param secret: shared secret of the daemons, sent as proof of origin.
    """

    def __init__(self, state: MembershipState, clock: Clock, proof: str, metrics: Metrics) -> None:
        self.state = state
        self.clock = clock
        self.proof = proof
        self.metrics = metrics
        self.pools: dict[str, ConnectionPool] = {}

    def _address(self, daemon: str, incarnation: int) -> str | None:
        """Return where a process serves callers, ``None`` when it is not alive."""
        for peer in self.state.alive(self.clock.now()):
            if peer.id == daemon and peer.incarnation == incarnation:
                return peer.heartbeat.caller_address
        return None

    async def forward(
        self, daemon: str, incarnation: int, request: CallerRequest
    ) -> RequestResult | None:
        """See :meth:`Forwarder.forward`."""
        timeout = max(0.05, request.deadline - self.clock.now())
        target = f"{SERVICES_PREFIX}{quote(request.service)}{request.http.target}"
        headers = [
            *request.http.headers,
            (REPEATABLE_HEADER, b"true" if request.is_repeatable else b"false"),
            (TIMEOUT_HEADER, f"{min(timeout, MAX_TIMEOUT):.3f}".encode()),
        ]
        http = HttpRequest(request.http.method, target, headers, request.http.body)
        return await self._exchange(daemon, incarnation, request.team, http, timeout)

    async def ask(self, daemon: str, incarnation: int, team: str, key: str) -> RequestResult | None:
        """See :meth:`Forwarder.ask`."""
        http = HttpRequest("GET", REQUESTS_PREFIX + quote(key))
        return await self._exchange(daemon, incarnation, team, http, 2.0)

    async def _exchange(
        self, daemon: str, incarnation: int, team: str, http: HttpRequest, timeout: float
    ) -> RequestResult | None:
        address = self._address(daemon, incarnation)
        if address is None:
            return None
        pool = self.pools.setdefault(address, ConnectionPool(Address.parse(address)))
        proof = f"{self.proof} {incarnation}".encode()
        http.headers += [(FORWARDED_HEADER, proof), (TEAM_HEADER, team.encode())]
        try:
            return read_result(await pool.exchange(http, timeout))
        except (TransportError, ValueError) as error:
            self.metrics.count("requests.forwards_failed")
            return unknown(f"daemon {daemon!r} did not answer: {error}")

    def close(self) -> None:
        """Close every connection."""
        for pool in self.pools.values():
            pool.close()
