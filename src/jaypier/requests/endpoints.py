"""What one daemon knows of the endpoints, and which of them a request goes to; no I/O."""

import random
from collections.abc import Callable, Iterable

import attrs

from jaypier.platform import Machine, MachineState

SLOTS = 8
"""Requests that an endpoint works on at a time."""

CONNECTIONS = 64
"""Connections that an endpoint accepts from all daemons together."""

FAILURES_FOR_EJECTION = 3
"""Failures in a row after which an endpoint gets no new work for a while."""

EJECTION_SECONDS = 1.0
"""First time for which an endpoint is ejected; it doubles with each failed probe."""

MAX_EJECTION_SECONDS = 30.0
"""Longest time for which an endpoint is ejected at once."""

MAX_EJECTED_SHARE = 0.5
"""Share of a service's endpoints that may be ejected at a time."""

LEAVING_MEMORY_SECONDS = 120.0
"""Time for which an endpoint's own signal outweighs a list that still calls it live."""


@attrs.define
class Endpoint:
    """One endpoint as this daemon sees it.

    :param in_flight: requests of this daemon that it works on.
    :param elsewhere: requests of the other daemons, as they last reported.
    :param failures: failed exchanges since the last whole answer.
    :param ejected_until: end of its ejection, in seconds.
    :param leaving_until: time up to which its own signal that it leaves counts, in seconds.
    """

    machine: Machine
    in_flight: int = 0
    elsewhere: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    leaving_until: float = 0.0

    @property
    def id(self) -> str:
        """Identity of the machine."""
        return self.machine.id

    def is_leaving(self, now: float) -> bool:
        """Whether it must get no new work because it leaves."""
        return self.machine.state is MachineState.LEAVING or now < self.leaving_until


class EndpointBoard:
    """All endpoints, by service.

    :param own_data_centre: data centre of this daemon; preferred at equal load.
    :param in_service: whether a data centre is in service.
    """

    def __init__(
        self,
        own_data_centre: str,
        in_service: Callable[[str], bool],
        rng: random.Random,
    ) -> None:
        self.own_data_centre = own_data_centre
        self.in_service = in_service
        self.daemons = 1
        self.rng = rng
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, list[Endpoint]] = {}

    def update(self, machines: Iterable[Machine]) -> list[str]:
        """Take over a new reading of the platform's list.

        :returns: endpoints that are gone from it and have nothing in flight.
        """
        listed = {machine.id: machine for machine in machines}
        for name, machine in listed.items():
            known = self.endpoints.get(name)
            if known is None or known.machine.address != machine.address:
                self.endpoints[name] = Endpoint(machine)
            else:
                known.machine = machine
        gone = [
            name
            for name, endpoint in self.endpoints.items()
            if name not in listed and endpoint.in_flight == 0
        ]
        for name in gone:
            del self.endpoints[name]
        for name in set(self.endpoints) - set(listed):
            machine = self.endpoints[name].machine
            self.endpoints[name].machine = attrs.evolve(machine, state=MachineState.LEAVING)
        self.by_service = {}
        for endpoint in self.endpoints.values():
            self.by_service.setdefault(endpoint.machine.service, []).append(endpoint)
        return gone

    def update_elsewhere(self, reported: dict[str, int], daemons: int) -> None:
        """Take over what the other daemons report to have in flight.

        :param daemons: number of live daemons, this one included.
        """
        self.daemons = daemons
        for name, endpoint in self.endpoints.items():
            endpoint.elsewhere = reported.get(name, 0)

    def limit(self, endpoint: Endpoint) -> int:
        """Return how many requests this daemon may have in flight to an endpoint.

        Each daemon may always use its even share of the slots. Beyond it, it may use half of
        the slots that the others' reports leave free, so that daemons which see the same free
        slots at the same time over-commit them by a bounded amount. Together they never open
        more connections than the endpoint accepts.
        """
        daemons = self.daemons
        share = max(1, SLOTS // daemons)
        spare = max(0, SLOTS - endpoint.elsewhere - share)
        lent = spare if daemons == 1 else (spare + 1) // 2
        return min(share + lent, max(1, CONNECTIONS // (daemons + 1)))

    def usable(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work."""
        return [
            endpoint
            for endpoint in self.by_service.get(service, [])
            if not endpoint.is_leaving(now)
            and now >= endpoint.ejected_until
            and self.in_service(endpoint.machine.data_centre)
        ]

    def slots(self, service: str, now: float) -> int:
        """Return the requests of a service that this daemon may have in flight."""
        return sum(self.limit(endpoint) for endpoint in self.usable(service, now))

    def choose(self, service: str, now: float, tried: set[str]) -> Endpoint | None:
        """Choose the endpoint with the lowest load, the own data centre at equal load.

        :param tried: endpoints that the request has failed on.
        :returns: ``None`` when no endpoint has a free slot for this daemon.
        """
        best: list[Endpoint] = []
        best_load = (SLOTS * 1000, False)
        for endpoint in self.usable(service, now):
            in_flight = endpoint.in_flight
            load = in_flight + endpoint.elsewhere
            if load > best_load[0] or endpoint.id in tried or (endpoint.ejections and in_flight):
                continue
            rank = (load, endpoint.machine.data_centre != self.own_data_centre)
            if rank > best_load or in_flight >= self.limit(endpoint):
                continue
            if rank < best_load:
                best, best_load = [endpoint], rank
            else:
                best.append(endpoint)
        return self.rng.choice(best) if best else None

    def record_success(self, endpoint: Endpoint) -> None:
        """Count a whole answer."""
        endpoint.failures = 0
        endpoint.ejections = 0

    def record_failure(self, endpoint: Endpoint, now: float) -> bool:
        """Count a failed exchange.

        :returns: whether the endpoint has just been ejected.
        """
        endpoint.failures += 1
        enough = 1 if endpoint.ejections else FAILURES_FOR_EJECTION
        if endpoint.failures < enough or now < endpoint.ejected_until:
            return False
        peers = self.by_service.get(endpoint.machine.service, [])
        ejected = sum(now < peer.ejected_until for peer in peers)
        if ejected + 1 > len(peers) * MAX_EJECTED_SHARE:
            return False
        duration = min(MAX_EJECTION_SECONDS, EJECTION_SECONDS * 2**endpoint.ejections)
        endpoint.ejected_until = now + duration * self.rng.uniform(0.8, 1.2)
        endpoint.ejections += 1
        return True

    def record_leaving(self, endpoint: Endpoint, now: float) -> None:
        """Note an endpoint's own signal that it leaves."""
        endpoint.leaving_until = now + LEAVING_MEMORY_SECONDS

    def in_flight(self) -> dict[str, int]:
        """Return this daemon's requests in flight, for heartbeats."""
        return {
            name: endpoint.in_flight
            for name, endpoint in self.endpoints.items()
            if endpoint.in_flight
        }
