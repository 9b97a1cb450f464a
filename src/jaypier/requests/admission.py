"""Gives out endpoint slots: each team's share first, the smallest team's before others'."""

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable

import attrs

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.requests.endpoints import Endpoint, EndpointBoard
from jaypier.requests.errors import Shed

MAX_WAIT_SECONDS = 1.0
"""Longest expected time in the queue; further requests are shed at once."""

SERVICE_TIME_WEIGHT = 0.05
"""Weight of the newest request in the moving average of service times."""

FIRST_SERVICE_SECONDS = 0.05
"""Assumed service time before any was measured."""

MIN_RETRY_AFTER = 0.5
"""Shortest advice to a caller that was shed, in seconds."""

MAX_RETRY_AFTER = 30.0
"""Longest advice to a caller that was shed, in seconds."""


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a slot.

    :param give_up_at: time after which it is shed, in seconds.
    :param tried: endpoints that it has failed on.
    """

    team: str
    give_up_at: float
    tried: set[str]
    future: asyncio.Future


@attrs.define
class ServiceQueue:
    """Waiting requests and usage of one service, by team."""

    waiting: dict[str, deque[Waiter]] = attrs.field(factory=dict)
    usage: Counter[str] = attrs.field(factory=Counter)
    length: int = 0
    service_seconds: float = FIRST_SERVICE_SECONDS


class SlotLease:
    """A slot of one endpoint; a context manager that gives it back."""

    def __init__(self, dispatcher: "Dispatcher", team: str, endpoint: Endpoint) -> None:
        self.dispatcher = dispatcher
        self.team = team
        self.endpoint = endpoint
        self.taken_at = dispatcher.clock.now()

    def __enter__(self) -> Endpoint:
        return self.endpoint

    def __exit__(self, *exc_info: object) -> None:
        self.dispatcher.release(self)


class Dispatcher:
    """Queues requests for slots in this daemon.

    :param team_guarantees: returns the guaranteed accelerators of each team.
    """

    def __init__(
        self,
        board: EndpointBoard,
        team_guarantees: Callable[[], dict[str, int]],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.board = board
        self.team_guarantees = team_guarantees
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.queues: dict[str, ServiceQueue] = {}

    async def acquire(self, team: str, service: str, deadline: float, tried: set[str]) -> SlotLease:
        """Wait for a slot.

        :param tried: endpoints that the request has failed on.
        :raises Shed: at once, when the wait would be too long or no endpoint may be used.
        """
        now = self.clock.now()
        queue = self.queues.setdefault(service, ServiceQueue())
        if queue.length == 0:
            endpoint = self.board.choose(service, now, tried)
            if endpoint is not None:
                return self._lease(queue, team, endpoint)
        self._refuse_long_wait(queue, team, service, deadline, tried)
        waiter = Waiter(
            team,
            min(deadline, now + MAX_WAIT_SECONDS),
            tried,
            asyncio.get_running_loop().create_future(),
        )
        queue.waiting.setdefault(team, deque()).append(waiter)
        queue.length += 1
        self.metrics.count("requests.queued")
        try:
            async with asyncio.timeout(waiter.give_up_at - now):
                return await waiter.future
        except TimeoutError:
            self._forget(queue, waiter)
            raise Shed("no slot became free in time", self.retry_after(queue, service)) from None
        except BaseException:
            self._forget(queue, waiter)
            raise

    def _forget(self, queue: ServiceQueue, waiter: Waiter) -> None:
        """Remove a waiter that has stopped waiting; give back a slot it did not take."""
        if waiter in queue.waiting.get(waiter.team, ()):
            queue.waiting[waiter.team].remove(waiter)
            queue.length -= 1
        if waiter.future.done() and not waiter.future.cancelled():
            self.release(waiter.future.result())

    def _refuse_long_wait(
        self, queue: ServiceQueue, team: str, service: str, deadline: float, tried: set[str]
    ) -> None:
        """Shed a request whose expected wait is too long, unless its team is under its share."""
        now = self.clock.now()
        usable = [each for each in self.board.usable(service, now) if each.id not in tried]
        if not usable:
            raise Shed(f"no endpoint of {service!r} may be used", self.retry_after(queue, service))
        if now >= deadline:
            raise Shed("the deadline has passed", self.retry_after(queue, service))
        limit = min(MAX_WAIT_SECONDS, deadline - now)
        slots = self.board.slots(service, now)
        expected = self.expected_wait(queue, slots)
        share = self.shares(slots).get(team, 1.0)
        waiting = len(queue.waiting.get(team, ()))
        if expected > limit and queue.usage[team] + waiting >= share:
            raise Shed("too many requests are waiting", self.retry_after(queue, service))

    def expected_wait(self, queue: ServiceQueue, slots: int) -> float:
        """Return the time in seconds that a new waiter would spend in the queue."""
        return (queue.length + 1) * queue.service_seconds / max(1, slots)

    def retry_after(self, queue: ServiceQueue, service: str) -> float:
        """Return advice that grows with the backlog and is spread by chance, in seconds."""
        wait = self.expected_wait(queue, self.board.slots(service, self.clock.now()))
        spread = self.rng.uniform(0.5, 1.5)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, 2 * wait) * spread)

    def shares(self, slots: int) -> dict[str, float]:
        """Return the slots that each team is entitled to; at least one each."""
        guarantees = self.team_guarantees()
        total = sum(guarantees.values())
        return {
            team: max(1.0, slots * guaranteed / total if total else slots / len(guarantees))
            for team, guaranteed in guarantees.items()
        }

    def _lease(self, queue: ServiceQueue, team: str, endpoint: Endpoint) -> SlotLease:
        endpoint.in_flight += 1
        queue.usage[team] += 1
        return SlotLease(self, team, endpoint)

    def release(self, lease: SlotLease) -> None:
        """Take back a slot and pass it on."""
        service = lease.endpoint.machine.service
        queue = self.queues[service]
        lease.endpoint.in_flight -= 1
        queue.usage[lease.team] -= 1
        elapsed = self.clock.now() - lease.taken_at
        queue.service_seconds += SERVICE_TIME_WEIGHT * (elapsed - queue.service_seconds)
        self.pump(service)

    def pump(self, service: str) -> None:
        """Give free slots to waiting requests."""
        queue = self.queues.get(service)
        while queue is not None and queue.length:
            now = self.clock.now()
            for waiter in self._order(queue, service, now):
                endpoint = self.board.choose(service, now, waiter.tried)
                if endpoint is not None:
                    self._grant(queue, waiter, endpoint)
                    break
            else:
                return

    def pump_all(self) -> None:
        """Give free slots to waiting requests of every service."""
        for service in list(self.queues):
            self.pump(service)

    def _grant(self, queue: ServiceQueue, waiter: Waiter, endpoint: Endpoint) -> None:
        queue.waiting[waiter.team].remove(waiter)
        queue.length -= 1
        if not waiter.future.done():
            waiter.future.set_result(self._lease(queue, waiter.team, endpoint))

    def _order(self, queue: ServiceQueue, service: str, now: float) -> list[Waiter]:
        """Return the first waiter of each team in the order in which they are served."""
        guarantees = self.team_guarantees()
        shares = self.shares(self.board.slots(service, now))
        heads = [waiters[0] for waiters in queue.waiting.values() if waiters]

        def order(waiter: Waiter) -> tuple[bool, float, float]:
            is_over = queue.usage[waiter.team] >= shares.get(waiter.team, 1.0)
            size = 0 if is_over else guarantees.get(waiter.team, 0)
            return (is_over, size, waiter.give_up_at)

        return sorted(heads, key=order)
