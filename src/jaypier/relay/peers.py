"""The other daemons that can relay requests to the store, and which are available."""

import random
from typing import Any

import attrs

from jaypier.core.address import Address
from jaypier.core.clock import Clock
from jaypier.core.codec import from_plain, to_plain
from jaypier.platform import Put, Transaction, WatchableTable
from jaypier.platform.decoding import LeftOutRows, decode_valid
from jaypier.platform.store import MAX_RESPONSE_BYTES
from jaypier.wire.capacity import MemoryBudget
from jaypier.wire.client import ConnectionPool

DAEMONS_TABLE = "daemons"

PEER_BACKOFF_SECONDS = 2.0
"""Time for which a peer that could not relay a request is not used again: a third of the usual
length of a disruption, so that a recovered peer is soon used again."""


CONNECT_TIMEOUT_SECONDS = 0.3
"""Time to wait for a connection to a peer: 50 round trips within a region."""


@attrs.frozen
class DaemonRow:
    """The row by which a daemon registers in the store.

    :param relay: address at which it relays requests to the store, as ``"IP:PORT"``.
    """

    relay: str


def decode_daemon_row(value: Any) -> Address:
    """Return the address at which a registered daemon relays requests.

    :raises DecodeError: if the value is not a daemon's row.
    :raises ValueError: if it holds no address.
    """
    return Address.parse(from_plain(value, DaemonRow).relay)


@attrs.define(eq=False)
class Peer:
    """Another daemon.

    :param name: name of its VM.
    :param address: address at which it relays requests to the store.
    :param pool: connections to that address.
    :param backoff_until: time on the local clock, in seconds, before which it is not used.
    """

    name: str
    address: Address
    pool: ConnectionPool
    backoff_until: float = float("-inf")


class PeerList:
    """The other daemons, as last read from the store.

    :param own_name: name of this VM.
    :param clock: clock that the back-off times refer to.
    :param rng: determines the order in which peers are tried.
    :param left_out: observes the rows of daemons that cannot be decoded.
    :param budget: memory that responses of all peers take up while they are received.
    """

    def __init__(
        self,
        own_name: str,
        clock: Clock,
        rng: random.Random,
        left_out: LeftOutRows | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.budget = budget
        self.left_out = left_out or LeftOutRows()
        self.own_name = own_name
        self.clock = clock
        self.rng = rng
        self.peers: dict[str, Peer] = {}
        self.preferred_name = ""

    async def register(self, table: WatchableTable, address: Address) -> None:
        """Register this daemon in the store, so that the others can use it as a relay."""
        row = to_plain(DaemonRow(str(address)))
        key = f"{DAEMONS_TABLE}/{self.own_name}"
        await table.commit(Transaction(puts=[Put(key, row)]))

    async def refresh(self, table: WatchableTable) -> None:
        """Read the registered daemons from the store and update the list of peers."""
        changes = await table.snapshot(DAEMONS_TABLE)
        decoded = decode_valid(changes.rows, decode_daemon_row, self.left_out)
        addresses = {row.name: address for row, address in decoded}
        addresses.pop(self.own_name, None)
        for name in self.peers.keys() - addresses.keys():
            self.peers.pop(name).pool.close()
        for name, address in addresses.items():
            existing = self.peers.get(name)
            if existing is None or existing.address != address:
                pool = ConnectionPool(
                    address,
                    MAX_RESPONSE_BYTES,
                    connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS,
                    budget=self.budget,
                )
                self.peers[name] = Peer(name, address, pool)

    def available(self) -> list[Peer]:
        """Return the peers that may be tried: the last one that relayed, then others at random."""
        now = self.clock.now()
        candidates = [peer for peer in self.peers.values() if peer.backoff_until <= now]
        self.rng.shuffle(candidates)
        return sorted(candidates, key=lambda peer: peer.name != self.preferred_name)

    def prefer(self, peer: Peer) -> None:
        """Try a peer that has just relayed a request first from now on."""
        self.preferred_name = peer.name

    def back_off(self, peer: Peer) -> None:
        """Exclude a peer that could not relay a request for ``PEER_BACKOFF_SECONDS``."""
        peer.backoff_until = self.clock.now() + PEER_BACKOFF_SECONDS

    def close(self) -> None:
        """Close the idle connections to all peers."""
        for peer in self.peers.values():
            peer.pool.close()
