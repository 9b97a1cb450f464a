"""What the HTTP interface sees of a daemon."""

import time

import attrs

from jaypier.core.clock import Clock
from jaypier.core.codec import to_plain
from jaypier.core.metrics import Metrics
from jaypier.membership.state import MembershipState
from jaypier.notes.keeper import ConfigurationKeeper
from jaypier.notes.ledger import Ledger
from jaypier.notes.service import NoteService
from jaypier.requests.endpoints import EndpointBoard
from jaypier.requests.service import RequestService
from jaypier.scheduling.ownership import LeaseTable
from jaypier.scheduling.service import SchedulingService


@attrs.frozen
class KnownDaemon:
    """Another daemon, or this one, as this one sees it."""

    id: str
    address: str
    data_centre: str
    version: int
    is_leaving: bool


@attrs.define
class Node:
    """The parts of one daemon.

    :param incarnation: start time of this process, in nanoseconds.
    :param is_stopping: whether a planned stop has begun.
    """

    id: str
    incarnation: int
    data_centre: str
    caller_address: str
    clock: Clock
    metrics: Metrics
    ledger: Ledger
    keeper: ConfigurationKeeper
    notes: NoteService
    membership: MembershipState
    leases: LeaseTable
    scheduling: SchedulingService
    board: EndpointBoard
    requests: RequestService
    is_stopping: bool = False

    def health(self) -> str:
        """Return ``"ok"``, or why the balancer should not send new connections."""
        if self.is_stopping:
            return "stopping"
        if not self.keeper.is_loaded:
            return "no configuration"
        return "ok"

    def known_daemons(self) -> list[KnownDaemon]:
        """Return this daemon and the others that are alive."""
        own = KnownDaemon(
            self.id,
            self.caller_address,
            self.data_centre,
            self.keeper.configuration.version,
            self.is_stopping,
        )
        others = [
            KnownDaemon(
                peer.id,
                peer.heartbeat.caller_address,
                peer.heartbeat.data_centre,
                peer.heartbeat.version,
                peer.heartbeat.is_leaving,
            )
            for peer in self.membership.alive(self.clock.now())
        ]
        return sorted([own, *others], key=lambda daemon: daemon.id)

    def owner_address(self, data_centre: str) -> str | None:
        """Return where the owner of a data centre serves callers, if it is another daemon."""
        lease = self.leases.observed.get(data_centre)
        if lease is None:
            return None
        addresses = {daemon.id: daemon.address for daemon in self.known_daemons()}
        return addresses.get(lease.record.owner) if lease.record.owner != self.id else None

    def dump(self) -> dict:
        """Return the whole state of this daemon, without secrets."""
        now = self.clock.now()
        configuration = self.keeper.configuration
        return {
            "id": self.id,
            "incarnation": self.incarnation,
            "taken_at": time.time(),
            "health": self.health(),
            "configuration": {
                "version": configuration.version,
                "is_current": self.keeper.is_current,
                "teams": len(configuration.teams),
                "jobs": len(configuration.jobs),
                "out_of_service": [
                    each.name for each in configuration.data_centres.values() if not each.in_service
                ],
            },
            "daemons": to_plain(self.known_daemons()),
            "leases": to_plain(
                {name: lease.record for name, lease in self.leases.observed.items()}
            ),
            "owned": [to_plain(owner.dump()) for owner in self.scheduling.owners.values()],
            "endpoints": self._dump_endpoints(now),
            "queues": {
                name: {"waiting": queue.length, "service_seconds": queue.service_seconds}
                for name, queue in self.requests.executor.dispatcher.queues.items()
            },
            "remembered_requests": len(self.requests.records.records),
            "counters": dict(sorted(self.metrics.counters.items())),
            "latencies_ms": to_plain(self.metrics.summaries()),
        }

    def _dump_endpoints(self, now: float) -> dict:
        return {
            name: {
                "service": endpoint.machine.service,
                "data_centre": endpoint.machine.data_centre,
                "in_flight": endpoint.in_flight,
                "elsewhere": endpoint.elsewhere,
                "limit": self.board.limit(endpoint),
                "is_leaving": endpoint.is_leaving(now),
                "is_ejected": now < endpoint.ejected_until,
            }
            for name, endpoint in sorted(self.board.endpoints.items())
        }
