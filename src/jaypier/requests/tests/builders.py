"""Fakes at the edges of the requests slice."""

import asyncio
import random
from collections import Counter

import attrs

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.platform import Machine, MachineKind
from jaypier.requests.admission import Dispatcher
from jaypier.requests.claims import ClaimTable
from jaypier.requests.endpoints import EndpointBoard
from jaypier.requests.executor import RequestExecutor
from jaypier.requests.handover import Handover
from jaypier.requests.model import CallerRequest, RequestResult, unknown
from jaypier.requests.service import Forwarder, RequestService
from jaypier.requests.upstream import AttemptFailed, EndpointAnswer, EndpointLink
from jaypier.wire.messages import HttpRequest, HttpResponse
from standins.memory import MemoryPlatform

SERVICE = "returns"
SECRET = b"0123456789abcdef"


@attrs.define
class FakeEndpoint(EndpointLink):
    """An endpoint that counts the runs of each key.

    :param mode: ``ok``, ``refuse`` (unrun), ``unreachable``, ``break`` (runs, then the
        connection ends) or ``hang`` (runs, no answer until the timeout).
    :param seconds: time that a request takes.
    """

    name: str
    runs: Counter
    mode: str = "ok"
    seconds: float = 0.05
    is_leaving: bool = False
    in_flight: int = 0
    most_in_flight: int = 0
    attempts: int = 0

    async def exchange(self, request: HttpRequest, id: str, timeout: float) -> EndpointAnswer:
        self.attempts += 1
        if self.mode in ("refuse", "unreachable"):
            raise AttemptFailed("refused", may_have_run=False, is_leaving=self.is_leaving)
        self.in_flight += 1
        self.most_in_flight = max(self.in_flight, self.most_in_flight)
        try:
            return await self.run(request, timeout)
        finally:
            self.in_flight -= 1

    async def run(self, request: HttpRequest, timeout: float) -> EndpointAnswer:
        self.runs[request.header(b"idempotency-key")] += 1
        if self.mode == "break":
            raise AttemptFailed("the connection ended", may_have_run=True)
        await asyncio.sleep(timeout if self.mode == "hang" else min(timeout, self.seconds))
        if self.mode == "hang" or self.seconds >= timeout:
            raise AttemptFailed("no answer in time", may_have_run=True)
        return EndpointAnswer(HttpResponse(200, [], request.body), self.is_leaving)

    def close(self) -> None:
        pass


class FakeForwarder(Forwarder):
    """Hands requests over within the process.

    :param processes: live services by daemon and incarnation.
    """

    def __init__(self, processes: dict[tuple[str, int], RequestService]) -> None:
        self.processes = processes

    async def forward(self, daemon, incarnation, request) -> RequestResult | None:
        return await self._call(daemon, incarnation, "serve", request, True)

    async def ask(self, daemon, incarnation, team, key) -> RequestResult | None:
        return await self._call(daemon, incarnation, "outcome", team, key, True)

    async def _call(self, daemon, incarnation, method, *arguments) -> RequestResult | None:
        service = self.processes.get((daemon, incarnation))
        if service is None:
            return None
        result = await getattr(service, method)(*arguments)
        if (daemon, incarnation) not in self.processes:
            return unknown("the connection ended")
        return result


class Scene:
    """Some daemons' request slices over shared endpoints and a shared store."""

    def __init__(self, clock: Clock, daemons: int = 1, endpoints: int = 4) -> None:
        self.clock = clock
        self.runs: Counter = Counter()
        self.platform = MemoryPlatform()
        self.endpoints = {
            f"endpoint-{index}": FakeEndpoint(f"endpoint-{index}", self.runs)
            for index in range(endpoints)
        }
        self.machines = [
            Machine(name, MachineKind.ENDPOINT, f"dc-{i % 2}", "127.0.0.1:1", service=SERVICE)
            for i, name in enumerate(self.endpoints)
        ]
        self.out_of_service: set[str] = set()
        self.guarantees = {"small": 4, "large": 40}
        self.processes: dict[tuple[str, int], RequestService] = {}
        self.incarnation = 0
        self.services = {f"entry-{index}": None for index in range(daemons)}
        for name in self.services:
            self.start(name)

    def start(self, name: str) -> RequestService:
        """Start a new process of a daemon."""
        self.incarnation += 1
        metrics, rng = Metrics(), random.Random(self.incarnation)
        board = EndpointBoard(
            "dc-0",
            lambda data_centre: data_centre not in self.out_of_service,
            rng,
        )
        board.daemons = len(self.services)
        board.update(self.machines)
        dispatcher = Dispatcher(board, lambda: self.guarantees, self.clock, metrics, rng)
        executor = RequestExecutor(
            board,
            dispatcher,
            self.clock,
            metrics,
            f"{name}-{self.incarnation}",
            lambda machine: self.endpoints[machine.id],
        )
        service = RequestService(
            name,
            self.incarnation,
            executor,
            ClaimTable(self.platform.table, name, self.incarnation),
            FakeForwarder(self.processes),
            Handover(self.platform.objects),
            SECRET,
            self.clock,
            metrics,
        )
        self.processes[name, self.incarnation] = service
        self.services[name] = service
        return service

    def kill(self, name: str) -> None:
        """End a daemon's process at once."""
        service = self.services[name]
        del self.processes[name, service.incarnation]
        for task in list(service.background):
            task.cancel()

    async def stop(self, name: str) -> None:
        """Stop a daemon as planned."""
        service = self.services[name]
        await service.drain(60.0)
        await service.leave()
        self.kill(name)

    def request(
        self, key: str = "", repeatable: bool = False, team: str = "small", timeout: float = 10.0
    ) -> CallerRequest:
        """Return a caller's request whose body is its key."""
        headers = [(b"idempotency-key", key.encode())]
        http = HttpRequest("POST", "/book", headers, key.encode())
        deadline = self.clock.now() + timeout
        return CallerRequest(team, SERVICE, key, repeatable, deadline, http)
