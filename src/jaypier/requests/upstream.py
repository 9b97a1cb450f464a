"""Exchanges with endpoints and with other daemons."""

from abc import ABC, abstractmethod

import attrs

from jaypier.core.address import Address
from jaypier.requests.errors import RequestError
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import ConnectError, TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse, end_to_end

REQUEST_ID_HEADER = b"x-request-id"
"""Sent to endpoints, which must repeat it in their answers."""

NOT_RUN_HEADER = b"x-not-run"
"""Set by an endpoint on a 503 that it sends without running the request."""

LEAVING_HEADER = b"x-leaving"
"""Set by an endpoint on every answer once it has begun to leave."""


class AttemptFailed(RequestError):
    """One exchange with an endpoint gave no usable answer.

    :param may_have_run: whether the endpoint may have run the request.
    :param is_leaving: whether the endpoint said that it leaves.
    """

    def __init__(self, message: str, may_have_run: bool, is_leaving: bool = False) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run
        self.is_leaving = is_leaving


@attrs.frozen
class EndpointAnswer:
    """A whole answer of an endpoint to this very request."""

    response: HttpResponse
    is_leaving: bool


class EndpointLink(ABC):
    """Connections to one endpoint."""

    @abstractmethod
    async def exchange(self, request: HttpRequest, id: str, timeout: float) -> EndpointAnswer:
        """Send a request and wait for its whole answer.

        :param id: identity of this attempt; an answer with another one is refused.
        :param timeout: seconds to wait.
        :raises AttemptFailed: when there is no usable answer.
        """

    @abstractmethod
    def close(self) -> None:
        """Close idle connections."""


class HttpEndpointLink(EndpointLink):
    """Exchanges over pooled HTTP connections."""

    def __init__(self, address: Address) -> None:
        self.pool = ConnectionPool(address)

    async def exchange(self, request: HttpRequest, id: str, timeout: float) -> EndpointAnswer:
        """See :meth:`EndpointLink.exchange`."""
        headers = [*request.headers, (REQUEST_ID_HEADER, id.encode())]
        attempt = HttpRequest(request.method, request.target, headers, request.body)
        try:
            response = await self.pool.exchange(attempt, timeout)
        except ConnectError as error:
            raise AttemptFailed(str(error), may_have_run=False) from error
        except TransportError as error:
            raise AttemptFailed(str(error), may_have_run=error.sent) from error
        return self._check(response, id)

    def _check(self, response: HttpResponse, id: str) -> EndpointAnswer:
        if response.header(REQUEST_ID_HEADER) != id:
            # Everything else on these connections may be crossed too.
            self.pool.close()
            raise AttemptFailed("the endpoint answered another request", may_have_run=True)
        is_leaving = bool(response.header(LEAVING_HEADER))
        if response.status == 503 and response.header(NOT_RUN_HEADER):
            raise AttemptFailed("the endpoint refused the request unrun", False, is_leaving)
        headers = [
            (name, value)
            for name, value in end_to_end(response.headers)
            if name not in (REQUEST_ID_HEADER, LEAVING_HEADER, NOT_RUN_HEADER)
        ]
        return EndpointAnswer(HttpResponse(response.status, headers, response.body), is_leaving)

    def close(self) -> None:
        """Close idle connections."""
        self.pool.close()
