"""The way of a call to the store: directly, or through another VM while the own path is lost."""

import asyncio
import random

import structlog

from jaypier.core.address import Address
from jaypier.platform import PlatformError, WatchableTable
from jaypier.platform.abstract import StoreTransport
from jaypier.platform.store import PROBE_REQUEST
from jaypier.relay.peers import PeerList
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse

STORE_UNREACHABLE_HEADER = b"jaypier-no-store"
"""Marks the answer of a peer that cannot reach the store either."""

MAX_PEERS_PER_CALL = 2
"""Peers that are asked for one call: a third of the VMs may have lost the store together."""

RELAY_BACKOFF_SECONDS = 1.0
"""Time for which no peer is asked after none of those could help, so that an outage of the whole
store brings two calls a second for each VM, however many VMs there are."""

RELAY_TIMEOUT_SECONDS = 3.0
"""Longest time that a peer gives a call: the longest poll, 2 s, and a margin."""

PROBE_INTERVAL_SECONDS = 0.5
"""Time between two looks whether the own path is back."""

PROBE_TIMEOUT_SECONDS = 0.5
"""Time to wait for the answer to such a look."""

REFRESH_INTERVAL_SECONDS = 30.0
"""Time between two readings of the list of daemons; 980 VMs of hundreds are replaced in a day."""

INITIAL_REFRESH_DELAY_SECONDS = 2.0
"""Time after the start by which the daemons that start together have registered."""

log = structlog.get_logger()


class FailoverTransport(StoreTransport):
    """Calls the store directly, and through a peer while that fails.

    A call that may have reached the store is never repeated here: its fate is for the caller to
    find out.

    :param direct: connections to the store.
    """

    def __init__(self, direct: ConnectionPool, peers: PeerList, rng: random.Random) -> None:
        self.direct = direct
        self.peers = peers
        self.rng = rng
        self.is_direct_path_down = False
        self.direct_path_down = asyncio.Event()
        self.relay_backoff_until = float("-inf")

    async def exchange(self, request: HttpRequest, timeout: float) -> HttpResponse:
        """Make one call to the store."""
        if self.is_direct_path_down:
            response = await self.call_via_peers(request, timeout)
            if response is not None:
                return response
        try:
            response = await self.call_directly(request, timeout)
        except TransportError as error:
            if error.sent and request.method != "GET":
                raise
            relayed = await self.call_via_peers(request, timeout)
            if relayed is None:
                raise
            return relayed
        if response.status == 503:
            return await self.call_via_peers(request, timeout) or response
        self.mark_direct_path_up()
        return response

    async def call_directly(self, request: HttpRequest, timeout: float) -> HttpResponse:
        """Make a call over the own path; note when that does not work."""
        try:
            response = await self.direct.exchange(request, timeout)
        except TransportError as error:
            self.mark_direct_path_down(str(error))
            raise
        if response.status == 503:
            self.mark_direct_path_down("status 503")
        return response

    async def call_via_peers(self, request: HttpRequest, timeout: float) -> HttpResponse | None:
        """Let a peer make a call; return ``None`` when none can, and the call was not made.

        :raises TransportError: when it cannot be told whether the call was made.
        """
        if self.peers.clock.now() < self.relay_backoff_until:
            return None
        for peer in self.peers.available()[:MAX_PEERS_PER_CALL]:
            try:
                response = await peer.pool.exchange(request, timeout)
            except TransportError as error:
                self.peers.back_off(peer)
                if error.sent and request.method != "GET":
                    raise
                continue
            if not response.header(STORE_UNREACHABLE_HEADER):
                return response
            self.peers.back_off(peer)
            log.debug("peer lacks the store", peer=peer.name)
        self.relay_backoff_until = self.peers.clock.now() + RELAY_BACKOFF_SECONDS
        return None

    def mark_direct_path_down(self, reason: str) -> None:
        """Note that the own path to the store does not work."""
        if not self.is_direct_path_down:
            log.info("own path to the store lost", reason=reason, peers=len(self.peers.peers))
        self.is_direct_path_down = True
        self.direct_path_down.set()

    def mark_direct_path_up(self) -> None:
        """Note that the own path to the store works."""
        if self.is_direct_path_down:
            log.info("own path to the store regained")
        self.is_direct_path_down = False
        self.direct_path_down.clear()

    def close(self) -> None:
        """Close every idle connection."""
        self.direct.close()
        self.peers.close()

    # For peers

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Pass a peer's call on to the store, over the own path only."""
        store_unreachable = HttpResponse(503, [(STORE_UNREACHABLE_HEADER, b"1")])
        if self.is_direct_path_down:
            return store_unreachable
        forwarded = HttpRequest(request.method, request.target, body=request.body)
        try:
            response = await self.call_directly(forwarded, RELAY_TIMEOUT_SECONDS)
        except TransportError as error:
            return (
                HttpResponse(504) if error.sent and request.method != "GET" else store_unreachable
            )
        if response.status == 503:
            return store_unreachable
        return HttpResponse(response.status, body=response.body)

    # Life

    async def run_probes(self) -> None:
        """Look whether a lost path is back, until cancelled."""
        while True:
            await self.direct_path_down.wait()
            await asyncio.sleep(PROBE_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2))
            try:
                response = await self.direct.exchange(PROBE_REQUEST, PROBE_TIMEOUT_SECONDS)
            except TransportError as error:
                log.debug("own path to the store still lost", reason=str(error))
                continue
            if response.status == 200:
                self.mark_direct_path_up()

    async def run_registration(self, table: WatchableTable, address: Address) -> None:
        """Register this daemon, and keep the list of the others, until cancelled."""
        delay = INITIAL_REFRESH_DELAY_SECONDS
        is_registered = False
        while True:
            try:
                if not is_registered:
                    await self.peers.register(table, address)
                    is_registered = True
                else:
                    await self.peers.refresh(table)
                    delay = REFRESH_INTERVAL_SECONDS
            except PlatformError as error:
                log.debug("daemons not read", reason=str(error))
                delay = INITIAL_REFRESH_DELAY_SECONDS
            await asyncio.sleep(delay * self.rng.uniform(0.8, 1.2))
