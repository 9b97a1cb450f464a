"""The way of a call to the store: directly, or through another VM while the own path is lost."""

import asyncio
import random

import structlog

from jaypier.core.address import Address
from jaypier.platform import FollowedTable, PlatformError
from jaypier.platform.abstract import StoreTransport
from jaypier.platform.store import PROBE
from jaypier.relay.peers import PeerList
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse

NO_STORE_HEADER = b"jaypier-no-store"
"""Marks the answer of a peer that cannot reach the store either."""

MAX_PEERS_ASKED = 2
"""Peers that are asked for one call: a third of the VMs may have lost the store together."""

REST_SECONDS = 1.0
"""Time for which no peer is asked after none of those could help, so that an outage of the whole
store brings two calls a second for each VM, however many VMs there are."""

RELAY_SECONDS = 3.0
"""Longest time that a peer gives a call: the longest poll, 2 s, and a margin."""

PROBE_SECONDS = 0.5
"""Time between two looks whether the own path is back."""

PROBE_TIMEOUT_SECONDS = 0.5
"""Time to wait for the answer to such a look."""

REFRESH_SECONDS = 30.0
"""Time between two readings of the list of daemons; 980 VMs of hundreds are replaced in a day."""

FIRST_REFRESH_SECONDS = 2.0
"""Time after the start by which the daemons that start together have registered."""

log = structlog.get_logger()


class RelayedTransport(StoreTransport):
    """Calls the store directly, and through a peer while that fails.

    A call that may have reached the store is never repeated here: its fate is for the caller to
    find out.

    :param direct: connections to the store.
    """

    def __init__(self, direct: ConnectionPool, peers: PeerList, rng: random.Random) -> None:
        self.direct = direct
        self.peers = peers
        self.rng = rng
        self.is_lost = False
        self.lost = asyncio.Event()
        self.rests_until = float("-inf")

    async def exchange(self, request: HttpRequest, timeout: float) -> HttpResponse:
        """Make one call to the store."""
        if self.is_lost:
            response = await self.ask_peers(request, timeout)
            if response is not None:
                return response
        try:
            response = await self.call_directly(request, timeout)
        except TransportError as error:
            if error.sent and request.method != "GET":
                raise
            relayed = await self.ask_peers(request, timeout)
            if relayed is None:
                raise
            return relayed
        if response.status == 503:
            return await self.ask_peers(request, timeout) or response
        self.note_reached()
        return response

    async def call_directly(self, request: HttpRequest, timeout: float) -> HttpResponse:
        """Make a call over the own path; note when that does not work."""
        try:
            response = await self.direct.exchange(request, timeout)
        except TransportError as error:
            self.note_lost(str(error))
            raise
        if response.status == 503:
            self.note_lost("status 503")
        return response

    async def ask_peers(self, request: HttpRequest, timeout: float) -> HttpResponse | None:
        """Let a peer make a call; return ``None`` when none can, and the call was not made.

        :raises TransportError: when it cannot be told whether the call was made.
        """
        if self.peers.clock.now() < self.rests_until:
            return None
        for peer in self.peers.usable()[:MAX_PEERS_ASKED]:
            try:
                response = await peer.pool.exchange(request, timeout)
            except TransportError as error:
                self.peers.note_unusable(peer)
                if error.sent and request.method != "GET":
                    raise
                continue
            if not response.header(NO_STORE_HEADER):
                return response
            self.peers.note_unusable(peer)
            log.debug("peer lacks the store", peer=peer.name)
        self.rests_until = self.peers.clock.now() + REST_SECONDS
        return None

    def note_lost(self, reason: str) -> None:
        """Note that the own path to the store does not work."""
        if not self.is_lost:
            log.info("own path to the store lost", reason=reason, peers=len(self.peers.peers))
        self.is_lost = True
        self.lost.set()

    def note_reached(self) -> None:
        """Note that the own path to the store works."""
        if self.is_lost:
            log.info("own path to the store regained")
        self.is_lost = False
        self.lost.clear()

    def close(self) -> None:
        """Close every idle connection."""
        self.direct.close()
        self.peers.close()

    # For peers

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Pass a peer's call on to the store, over the own path only."""
        no_store = HttpResponse(503, [(NO_STORE_HEADER, b"1")])
        if self.is_lost:
            return no_store
        forwarded = HttpRequest(request.method, request.target, body=request.body)
        try:
            response = await self.call_directly(forwarded, RELAY_SECONDS)
        except TransportError as error:
            return HttpResponse(504) if error.sent and request.method != "GET" else no_store
        if response.status == 503:
            return no_store
        return HttpResponse(response.status, body=response.body)

    # Life

    async def run_probes(self) -> None:
        """Look whether a lost path is back, until cancelled."""
        while True:
            await self.lost.wait()
            await asyncio.sleep(PROBE_SECONDS * self.rng.uniform(0.8, 1.2))
            try:
                response = await self.direct.exchange(PROBE, PROBE_TIMEOUT_SECONDS)
            except TransportError as error:
                log.debug("own path to the store still lost", reason=str(error))
                continue
            if response.status == 200:
                self.note_reached()

    async def run_registration(self, table: FollowedTable, address: Address) -> None:
        """Register this daemon, and keep the list of the others, until cancelled."""
        wait = FIRST_REFRESH_SECONDS
        is_registered = False
        while True:
            try:
                if not is_registered:
                    await self.peers.register(table, address)
                    is_registered = True
                else:
                    await self.peers.refresh(table)
                    wait = REFRESH_SECONDS
            except PlatformError as error:
                log.debug("daemons not read", reason=str(error))
                wait = FIRST_REFRESH_SECONDS
            await asyncio.sleep(wait * self.rng.uniform(0.8, 1.2))
