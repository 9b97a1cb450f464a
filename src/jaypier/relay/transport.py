"""Transport to the store: direct, or through another VM while the direct path is down."""

import asyncio
import random

import structlog

from jaypier.core.address import Address
from jaypier.platform import PlatformError, WatchableTable
from jaypier.platform.abstract import StoreTransport
from jaypier.platform.store import PROBE_REQUEST
from jaypier.relay.peers import PeerList
from jaypier.wire.client import ConnectionPool, ProgressCallback
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest, HttpResponse

STORE_UNREACHABLE_HEADER = b"jaypier-no-store"
"""Marks the response of a peer that cannot reach the store either."""

MAX_PEERS_PER_CALL = 3
"""Maximum number of peers tried for one request: a third of the VMs may lose the store together."""

REFUSAL_STATUSES = (429, 503)
"""Statuses with which the store refuses a request without any effect."""

RELAY_BACKOFF_SECONDS = 1.0
"""Time for which no peer is tried after all that were tried for a request failed, so that an outage
of the whole store causes three relayed requests a second per VM, however many VMs there are."""

RELAY_TIMEOUT_SECONDS = 3.0
"""Timeout of a request that is relayed for a peer: the longest poll, 2 s, and a margin."""

PROBE_INTERVAL_SECONDS = 0.5
"""Time between two probes of a direct path that is down."""

PROBE_TIMEOUT_SECONDS = 0.5
"""Time to wait for the response to a probe."""

REFRESH_INTERVAL_SECONDS = 30.0
"""Time between two reads of the list of daemons; a deployment of several hundred VMs has 980
replacements of VMs a day."""

INITIAL_REFRESH_DELAY_SECONDS = 2.0
"""Time before the first read of the list of daemons, by which daemons that start together have
registered; also the time before a failed registration or read is retried."""

log = structlog.get_logger()


class FailoverTransport(StoreTransport):
    """Sends requests to the store directly, and through a peer while the direct path is down.

    A write that may have reached the store is never retried here, because it may have been
    executed; the caller has to find out its outcome.

    :param direct: connections to the store.
    :param peers: the daemons that can relay requests.
    :param rng: varies the intervals of probes and of reads of the list of daemons.
    :ivar is_direct_path_down: whether the direct path is considered down.
    :ivar direct_path_down: the same as an event, for :meth:`run_probes` to wait for.
    :ivar is_isolated: whether neither the store nor any peer that was tried responds, so that other
        daemons may serve what this one cannot.
    :ivar relay_backoff_until: time on the local clock, in seconds, before which no peer is tried.
    """

    def __init__(self, direct: ConnectionPool, peers: PeerList, rng: random.Random) -> None:
        self.direct = direct
        self.peers = peers
        self.rng = rng
        self.is_direct_path_down = False
        self.direct_path_down = asyncio.Event()
        self.is_isolated = False
        self.relay_backoff_until = float("-inf")

    async def exchange(
        self, request: HttpRequest, timeout: float, on_progress: ProgressCallback | None = None
    ) -> HttpResponse:
        """Send one request to the store, directly or through a peer, and return the response."""
        if self.is_direct_path_down:
            response = await self.call_via_peers(request, timeout, on_progress)
            if response is not None:
                return response
        try:
            response = await self.call_directly(request, timeout, on_progress)
        except TransportError as error:
            if error.sent and request.method != "GET":
                raise
            relayed = await self.call_via_peers(request, timeout, on_progress)
            if relayed is None:
                raise
            return relayed
        if response.status in REFUSAL_STATUSES:
            relayed = await self.call_via_peers(request, timeout, on_progress)
            if relayed is None:
                return response
            # Only this VM is refused.
            self.mark_direct_path_down(f"status {response.status}")
            return relayed
        self.mark_direct_path_up()
        return response

    async def call_directly(
        self, request: HttpRequest, timeout: float, on_progress: ProgressCallback | None = None
    ) -> HttpResponse:
        """Send a request over the direct path, and mark the path as down if that fails."""
        try:
            response = await self.direct.exchange(request, timeout, on_progress)
        except TransportError as error:
            self.mark_direct_path_down(str(error))
            raise
        if response.status == 503:
            self.mark_direct_path_down("status 503")
        return response

    async def call_via_peers(
        self, request: HttpRequest, timeout: float, on_progress: ProgressCallback | None = None
    ) -> HttpResponse | None:
        """Send a request through a peer; return ``None`` if no peer could relay it.

        If ``None`` is returned, a write has not been executed.

        :raises TransportError: if it is unknown whether a write has been executed.
        """
        if self.peers.clock.now() < self.relay_backoff_until:
            return None
        has_answer = False
        candidates = self.peers.available()[:MAX_PEERS_PER_CALL]
        for peer in candidates:
            try:
                response = await peer.pool.exchange(request, timeout, on_progress)
            except TransportError as error:
                self.peers.back_off(peer)
                if error.sent and request.method != "GET":
                    raise
                continue
            self.mark_isolated(False)
            if response.status not in REFUSAL_STATUSES:
                self.peers.prefer(peer)
                return response
            has_answer = True
            self.peers.back_off(peer)
            log.debug("store unreachable from peer", peer=peer.name)
        if candidates and not has_answer:
            self.mark_isolated(True)
        self.relay_backoff_until = self.peers.clock.now() + RELAY_BACKOFF_SECONDS
        return None

    def mark_isolated(self, is_isolated: bool) -> None:
        """Record whether neither the store nor a peer responds."""
        if is_isolated != self.is_isolated:
            log.info("isolation changed", isolated=is_isolated, peers=len(self.peers.peers))
        self.is_isolated = is_isolated

    def mark_direct_path_down(self, reason: str) -> None:
        """Record that the direct path to the store does not work."""
        if not self.is_direct_path_down:
            log.info("own path to the store lost", reason=reason, peers=len(self.peers.peers))
        self.is_direct_path_down = True
        self.direct_path_down.set()

    def mark_direct_path_up(self) -> None:
        """Record that the direct path to the store works."""
        if self.is_direct_path_down:
            log.info("own path to the store restored")
        self.is_direct_path_down = False
        self.direct_path_down.clear()
        self.mark_isolated(False)

    def close(self) -> None:
        """Close every idle connection."""
        self.direct.close()
        self.peers.close()

    # Relay for peers

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Relay a peer's request to the store, over the direct path only.

        Return status 503 with ``STORE_UNREACHABLE_HEADER`` if the store does not answer or refuses
        the request, and 504 if a write failed but may have been executed. The peer is told of the
        progress of a response that takes long to arrive.
        """
        store_unreachable = HttpResponse(503, [(STORE_UNREACHABLE_HEADER, b"1")])
        if self.is_direct_path_down:
            return store_unreachable
        forwarded = HttpRequest(request.method, request.target, body=request.body)
        try:
            response = await self.call_directly(
                forwarded, RELAY_TIMEOUT_SECONDS, request.announce_progress
            )
        except TransportError as error:
            return (
                HttpResponse(504) if error.sent and request.method != "GET" else store_unreachable
            )
        if response.status in REFUSAL_STATUSES:
            return store_unreachable
        return HttpResponse(response.status, body=response.body)

    # Background tasks

    async def run_probes(self) -> None:
        """Probe the direct path whenever it is down, until cancelled."""
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
        """Register this daemon, then refresh the list of the others regularly, until cancelled."""
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
                log.debug("daemon registration or refresh failed", reason=str(error))
                delay = INITIAL_REFRESH_DELAY_SECONDS
            await asyncio.sleep(delay * self.rng.uniform(0.8, 1.2))
