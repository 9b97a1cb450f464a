"""What a daemon may take up on its VM, and how much of it is for the clients of each server."""

import resource
from enum import Enum

import attrs

from jaypier.wire.capacity import ServerCapacity

RESERVED_DESCRIPTORS = 200
"""Descriptors that are left for files and for what the interpreter opens."""

MIN_CONNECTIONS = 4
"""Smallest number of connections of a server."""


class ServerName(Enum):
    """The servers of a daemon, one for each listen address."""

    CALLERS = "callers"
    READY = "ready"
    METRICS = "metrics"
    PEERS = "peers"
    OPERATORS = "operators"


CONNECTION_SHARES = {
    ServerName.CALLERS: 20 / 32,
    ServerName.PEERS: 8 / 32,
    ServerName.READY: 2 / 32,
    ServerName.METRICS: 1 / 32,
    ServerName.OPERATORS: 1 / 32,
}
"""Share of each server in the connections of clients. Each has its own, so that clients of one
server cannot keep those of another out."""

REQUEST_SHARES = {ServerName.CALLERS: 8 / 32, ServerName.PEERS: 4 / 32}
"""Number of requests that are handled at a time, as a share of the connections of all clients:
each may need a connection to the store. Those of the other servers need none, or are few."""


def _share(instance: object, attribute: attrs.Attribute, value: float) -> None:
    if not 0.0 < value <= 0.9:
        raise ValueError(f"{value!r} is not a share; use more than 0, at most 0.9")


def _at_least(minimum: int):
    def check(instance: object, attribute: attrs.Attribute, value: int) -> None:
        if value < minimum:
            raise ValueError(f"{value!r} is too little; use {minimum} or more")

    return check


@attrs.frozen
class CapacitySettings:
    """What the daemon may take up on its VM.

    :param memory_mb: memory of the VM, in MB; the process is killed beyond it.
    :param client_memory_share: share of it that clients may take up.
    :param received_memory_share: share of it that responses of the store, the workers and other
        daemons may take up while they are received.
    :param descriptors: number of file descriptors that the process may open.
    :param client_descriptor_share: share of the sockets that is for connections of clients; the
        others are for the store, the workers and other daemons.
    """

    memory_mb: int = attrs.field(default=300, validator=_at_least(50))
    client_memory_share: float = attrs.field(default=0.25, validator=_share)
    received_memory_share: float = attrs.field(default=0.125, validator=_share)
    descriptors: int = attrs.field(default=4100, validator=_at_least(RESERVED_DESCRIPTORS + 100))
    client_descriptor_share: float = attrs.field(default=0.5, validator=_share)

    @property
    def max_client_connections(self) -> int:
        """Maximum number of connections of all clients."""
        # The process may have been started with fewer descriptors than the settings state.
        descriptors = min(self.descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        return int((descriptors - RESERVED_DESCRIPTORS) * self.client_descriptor_share)

    @property
    def max_client_bytes(self) -> int:
        """Maximum memory that all clients may take up, in bytes."""
        return int(self.memory_mb * self.client_memory_share * (1 << 20))

    @property
    def max_received_bytes(self) -> int:
        """Maximum memory that responses may take up while they are received, in bytes."""
        return int(self.memory_mb * self.received_memory_share * (1 << 20))

    def for_server(self, name: ServerName) -> ServerCapacity:
        """Return what the clients of one server may take up."""
        connections = max(
            MIN_CONNECTIONS, int(self.max_client_connections * CONNECTION_SHARES[name])
        )
        requests = int(self.max_client_connections * REQUEST_SHARES.get(name, 1.0))
        return ServerCapacity(connections, max(MIN_CONNECTIONS, min(connections, requests)))
