"""The view that one daemon has of the others; no I/O."""

import math

import attrs

from jaypier.membership.messages import Heartbeat, Received
from jaypier.platform import Machine, MachineKind, MachineState

HEARTBEAT_SECONDS = 0.5
"""Time between two rounds of heartbeats."""

FANOUT = 8
"""Daemons that each round goes to; among more, they are taken in turn."""

MISSED_HEARTBEATS = 6
"""Heartbeats that a daemon misses before it no longer counts as alive."""

FORGET_SECONDS = 60.0
"""Silence after which a daemon that is no longer listed is forgotten."""


def suspicion(daemons: int) -> float:
    """Return the silence in seconds after which a daemon counts as dead.

    :param daemons: number of other daemons; heartbeats to more than ``FANOUT`` take turns.
    """
    rounds = max(1, math.ceil(daemons / FANOUT))
    return HEARTBEAT_SECONDS * MISSED_HEARTBEATS * rounds


@attrs.define
class Peer:
    """What is known of another daemon.

    :param incarnation: newest incarnation seen.
    :param sequence: newest sequence number seen of that incarnation.
    :param heard_at: time of its newest message, in seconds of the local clock.
    """

    id: str
    incarnation: int
    sequence: int
    heard_at: float
    heartbeat: Heartbeat


@attrs.define
class MembershipState:
    """Daemons known from heartbeats, and machines known from the platform's list.

    A daemon is alive when it was heard within ``suspect_seconds``. The list only tells where
    to send heartbeats: it lags, so neither presence nor absence in it decides.

    :param own_id: identity of this daemon.
    :param suspect_seconds: silence after which a daemon no longer counts as alive.
    """

    own_id: str
    suspect_seconds: float = HEARTBEAT_SECONDS * MISSED_HEARTBEATS
    peers: dict[str, Peer] = attrs.field(factory=dict)
    machines: dict[str, Machine] = attrs.field(factory=dict)

    def update_machines(self, machines: list[Machine]) -> None:
        """Take over a new reading of the platform's list."""
        self.machines = {machine.id: machine for machine in machines}

    def accept(self, received: Received, now: float) -> bool:
        """Record a message unless it is a repetition or from an old incarnation.

        :returns: whether the message may be acted on.
        """
        peer = self.peers.get(received.sender)
        order = (received.incarnation, received.sequence)
        if received.sender == self.own_id:
            return False
        if peer is not None and order <= (peer.incarnation, peer.sequence):
            return False
        if isinstance(received.message, Heartbeat):
            heartbeat = received.message
        elif peer is not None and peer.incarnation == received.incarnation:
            heartbeat = peer.heartbeat
        else:
            return False
        self.peers[received.sender] = Peer(
            received.sender, received.incarnation, received.sequence, now, heartbeat
        )
        return True

    def forget_silent(self, now: float) -> None:
        """Drop daemons that are neither listed nor heard for ``FORGET_SECONDS``."""
        self.peers = {
            id: peer
            for id, peer in self.peers.items()
            if id in self.machines or now - peer.heard_at < FORGET_SECONDS
        }

    def alive(self, now: float) -> list[Peer]:
        """Return the other daemons heard within ``suspect_seconds``."""
        return [peer for peer in self.peers.values() if now - peer.heard_at < self.suspect_seconds]

    def staying(self, now: float) -> list[str]:
        """Return the identities of daemons that are alive and not leaving, without ours."""
        return [peer.id for peer in self.alive(now) if not peer.heartbeat.is_leaving]

    def lacks_store(self, own_has_store: bool, now: float) -> bool:
        """Whether a majority of the listed daemons has just said that it lacks the store.

        Silent daemons do not count as lacking it: they may be the ones that reach it.
        """
        lacking = sum(not peer.heartbeat.has_store for peer in self.alive(now))
        known = {machine.id for machine in self.of_kind(MachineKind.ENTRY)}
        known |= {peer.id for peer in self.alive(now)} | {self.own_id}
        return not own_has_store and lacking + 1 > len(known) / 2

    def peer_addresses(self, seeds: list[str]) -> list[str]:
        """Return where to send messages: listed entry VMs, heard daemons and seeds."""
        listed = [
            machine.peer_address
            for machine in self.machines.values()
            if machine.kind is MachineKind.ENTRY and machine.id != self.own_id
        ]
        heard = [peer.heartbeat.peer_address for peer in self.peers.values()]
        return sorted({*listed, *heard, *seeds} - {""})

    def of_kind(self, kind: MachineKind) -> list[Machine]:
        """Return the listed machines of one kind."""
        return [machine for machine in self.machines.values() if machine.kind is kind]

    def endpoints(self) -> list[Machine]:
        """Return the listed endpoints that are not leaving."""
        return [
            machine
            for machine in self.of_kind(MachineKind.ENDPOINT)
            if machine.state is MachineState.LIVE
        ]

    def reported_in_flight(self, now: float) -> dict[str, int]:
        """Return the requests that other live daemons have in flight to each endpoint."""
        totals: dict[str, int] = {}
        for peer in self.alive(now):
            for endpoint, count in peer.heartbeat.in_flight.items():
                totals[endpoint] = totals.get(endpoint, 0) + count
        return totals
