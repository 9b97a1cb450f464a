"""Runs one request on endpoints: slots, attempts, retries; knows what may have run."""

import itertools
from collections.abc import Callable

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.platform import Machine
from jaypier.requests.admission import Dispatcher
from jaypier.requests.budget import RetryBudget
from jaypier.requests.endpoints import Endpoint, EndpointBoard
from jaypier.requests.errors import Shed
from jaypier.requests.model import CallerRequest, RequestResult, answered, not_run, unknown
from jaypier.requests.upstream import AttemptFailed, EndpointLink, HttpEndpointLink

MAX_UNSENT_ATTEMPTS = 6
"""Endpoints tried when none of them has received anything."""

FIRST_ATTEMPT_SHARE = 0.5
"""Share of the time left that one attempt at a repeatable request may take."""

UNREACHABLE_RETRY_AFTER = 1.0
"""Advice in seconds after no endpoint could be reached."""


def open_endpoint_link(machine: Machine) -> EndpointLink:
    """Return the link to a listed endpoint."""
    return HttpEndpointLink(machine.network_address)


class RequestExecutor:
    """Sends requests to endpoints.

    :param open_link: creates the link to an endpoint on first use.
    :param id_prefix: makes attempt identities unique among all processes.
    """

    def __init__(
        self,
        board: EndpointBoard,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        id_prefix: str,
        open_link: Callable[[Machine], EndpointLink] = open_endpoint_link,
    ) -> None:
        self.board = board
        self.dispatcher = dispatcher
        self.clock = clock
        self.metrics = metrics
        self.id_prefix = id_prefix
        self.open_link = open_link
        self.links: dict[str, EndpointLink] = {}
        self.budget = RetryBudget()
        self.ids = itertools.count()

    def forget(self, endpoints: list[str]) -> None:
        """Close the links to endpoints that are gone."""
        for name in endpoints:
            link = self.links.pop(name, None)
            if link is not None:
                link.close()

    async def execute(self, request: CallerRequest) -> RequestResult:
        """Run a request until it is answered, refused or of unknown outcome."""
        self.budget.deposit()
        tried: set[str] = set()
        may_have_run = False
        unsent_attempts = 0
        while True:
            try:
                return await self._attempt(request, tried)
            except Shed as error:
                return self._give_up(str(error), may_have_run, error.retry_after)
            except AttemptFailed as error:
                may_have_run = may_have_run or error.may_have_run
                unsent_attempts += not error.may_have_run
                if not self._may_retry(request, error, unsent_attempts):
                    return self._give_up(str(error), may_have_run, UNREACHABLE_RETRY_AFTER)
                self.metrics.count("requests.retries")

    def _may_retry(
        self, request: CallerRequest, error: AttemptFailed, unsent_attempts: int
    ) -> bool:
        if error.may_have_run and not request.is_repeatable:
            return False
        if self.clock.now() >= request.deadline or unsent_attempts >= MAX_UNSENT_ATTEMPTS:
            return False
        if self.budget.withdraw():
            return True
        self.metrics.count("requests.retries_denied")
        return False

    def _give_up(self, reason: str, may_have_run: bool, retry_after: float) -> RequestResult:
        return unknown(reason) if may_have_run else not_run(reason, retry_after)

    async def _attempt(self, request: CallerRequest, tried: set[str]) -> RequestResult:
        """Make one exchange.

        :param tried: endpoints that failed so far; a failing one is added.
        :raises Shed: when there is no slot.
        :raises AttemptFailed: when the exchange gave no usable answer.
        """
        lease = await self.dispatcher.acquire(
            request.team, request.service, request.deadline, tried
        )
        with lease as endpoint:
            timeout = request.deadline - self.clock.now()
            if request.is_repeatable:
                timeout = max(timeout * FIRST_ATTEMPT_SHARE, min(timeout, 1.0))
            id = f"{self.id_prefix}-{next(self.ids)}"
            try:
                answer = await self._link(endpoint).exchange(request.http, id, timeout)
            except AttemptFailed as error:
                tried.add(endpoint.id)
                self._record_failure(endpoint, error)
                raise
            self.board.record_success(endpoint)
            if answer.is_leaving:
                self.board.record_leaving(endpoint, self.clock.now())
        return answered(answer.response)

    def _record_failure(self, endpoint: Endpoint, error: AttemptFailed) -> None:
        now = self.clock.now()
        if error.is_leaving:
            self.board.record_leaving(endpoint, now)
            return
        self.metrics.count("endpoints.failures")
        if self.board.record_failure(endpoint, now):
            self.metrics.count("endpoints.ejections")

    def _link(self, endpoint: Endpoint) -> EndpointLink:
        link = self.links.get(endpoint.id)
        if link is None:
            link = self.open_link(endpoint.machine)
            self.links[endpoint.id] = link
        return link

    def close(self) -> None:
        """Close every link."""
        self.forget(list(self.links))
