"""Where the other daemons pass calls on to the store, and which of them can at present."""

import random

import attrs

from jaypier.core.address import Address
from jaypier.core.clock import Clock
from jaypier.core.codec import from_plain, to_plain
from jaypier.platform import Put, Transaction, WatchableTable
from jaypier.platform.store import MAX_RESPONSE_BYTES
from jaypier.wire.client import ConnectionPool

DAEMONS_TABLE = "daemons"

PEER_BACKOFF_SECONDS = 2.0
"""Time for which a peer that could not pass a call on is not asked again: a third of the usual
length of a disruption, so that a peer that has recovered is found soon."""


@attrs.frozen
class DaemonRow:
    """What a daemon leaves in the store for the others.

    :param relay: address at which it passes calls on to the store, as ``"IP:PORT"``.
    """

    relay: str


@attrs.define(eq=False)
class Peer:
    """Another daemon.

    :param unusable_until: local time until which it is not asked.
    """

    name: str
    address: Address
    pool: ConnectionPool
    backoff_until: float = float("-inf")


class PeerList:
    """The other daemons, as they last registered.

    :param own_name: name of this VM.
    """

    def __init__(self, own_name: str, clock: Clock, rng: random.Random) -> None:
        self.own_name = own_name
        self.clock = clock
        self.rng = rng
        self.peers: dict[str, Peer] = {}

    async def register(self, table: WatchableTable, address: Address) -> None:
        """Let the other daemons know of this one."""
        row = to_plain(DaemonRow(str(address)))
        key = f"{DAEMONS_TABLE}/{self.own_name}"
        await table.commit(Transaction(puts=[Put(key, row)]))

    async def refresh(self, table: WatchableTable) -> None:
        """Read which daemons there are."""
        changes = await table.snapshot(DAEMONS_TABLE)
        addresses = {
            row.name: Address.parse(from_plain(row.value, DaemonRow).relay)
            for row in changes.rows
            if row.value is not None
        }
        addresses.pop(self.own_name, None)
        for name in self.peers.keys() - addresses.keys():
            self.peers.pop(name).pool.close()
        for name, address in addresses.items():
            existing = self.peers.get(name)
            if existing is None or existing.address != address:
                self.peers[name] = Peer(name, address, ConnectionPool(address, MAX_RESPONSE_BYTES))

    def available(self) -> list[Peer]:
        """Return the peers that may be asked now, in random order."""
        now = self.clock.now()
        candidates = [peer for peer in self.peers.values() if peer.backoff_until <= now]
        self.rng.shuffle(candidates)
        return candidates

    def back_off(self, peer: Peer) -> None:
        """Note that a peer could not pass a call on."""
        peer.backoff_until = self.clock.now() + PEER_BACKOFF_SECONDS

    def close(self) -> None:
        """Close the connections to all peers."""
        for peer in self.peers.values():
            peer.pool.close()
