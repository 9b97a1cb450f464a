"""Keeps the view of the other daemons up to date and spreads accepted entries among them."""

import asyncio
import random
from collections.abc import Callable

import structlog

from jaypier.core.clock import Clock
from jaypier.core.codec import DecodeError, from_json, to_json
from jaypier.core.metrics import Metrics
from jaypier.core.supervision import OnFailure, supervise
from jaypier.membership.links import PeerLinks
from jaypier.membership.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    Heartbeat,
    Received,
)
from jaypier.membership.state import FANOUT, HEARTBEAT_SECONDS, MembershipState, suspicion
from jaypier.notes.configuration import Configuration, ConfigurationEntry
from jaypier.notes.keeper import ConfigurationKeeper
from jaypier.platform import Machine, MachineList, PlatformUnavailable

MACHINES_SECONDS = 1.0
"""Time between two readings of the platform's list."""

log = structlog.get_logger()


class MembershipService:
    """Sends heartbeats, reads the machine list, and repairs lagging configurations.

    :param build_heartbeat: returns this daemon's present heartbeat.
    :param on_machines: called after each reading of the platform's list.
    :param on_heartbeats: called when the others' reported load may have changed.
    :param on_failure: called when one of the service's own tasks ends by a fault.
    :param seeds: peer addresses from the settings, for a start without the platform.
    """

    def __init__(
        self,
        state: MembershipState,
        keeper: ConfigurationKeeper,
        machine_list: MachineList,
        build_heartbeat: Callable[[], Heartbeat],
        on_machines: Callable[[], None],
        on_heartbeats: Callable[[], None],
        seeds: list[str],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        on_failure: OnFailure,
    ) -> None:
        self.state = state
        self.keeper = keeper
        self.machine_list = machine_list
        self.build_heartbeat = build_heartbeat
        self.on_machines = on_machines
        self.on_heartbeats = on_heartbeats
        self.seeds = seeds
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.on_failure = on_failure
        self.links: PeerLinks | None = None
        self.known_alive: set[str] = set()
        self.turn = rng.randrange(1 << 16)
        self.tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "MembershipService":
        self.tasks = [
            supervise(self.run_heartbeats(), "heartbeats", self.on_failure),
            supervise(self.run_machine_list(), "machine list", self.on_failure),
        ]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.links.connect(self.state.peer_addresses(self.seeds))
            self.state.suspect_seconds = suspicion(len(self.links.senders))
            self.links.broadcast(self.build_heartbeat(), self.next_targets())
            self.report_changes()
            await asyncio.sleep(HEARTBEAT_SECONDS * self.rng.uniform(0.9, 1.1))

    def next_targets(self) -> list[str]:
        """Return the addresses of this round, all in turn when there are many."""
        addresses = sorted(self.links.senders)
        if len(addresses) <= FANOUT:
            return addresses
        start = self.turn % len(addresses)
        self.turn += FANOUT
        return (addresses + addresses)[start : start + FANOUT]

    def report_changes(self) -> None:
        """Log daemons that have come or gone since the last call."""
        now = self.clock.now()
        self.state.forget_silent(now)
        alive = {peer.id for peer in self.state.alive(now)}
        for name in sorted(alive - self.known_alive):
            log.info("daemon is alive", daemon=name)
        for name in sorted(self.known_alive - alive):
            log.info("daemon is silent", daemon=name)
        self.known_alive = alive

    async def run_machine_list(self) -> None:
        """Read the platform's list until cancelled."""
        known: list[Machine] | None = None
        while True:
            try:
                machines = await self.machine_list.machines()
                if machines is not known:
                    known = machines
                    self.state.update_machines(machines)
                    self.on_machines()
            except PlatformUnavailable:
                self.metrics.count("machines.polls_failed")
            await asyncio.sleep(MACHINES_SECONDS * self.rng.uniform(0.8, 1.2))

    def receive(self, received: Received) -> None:
        """Handle one authenticated message of another daemon."""
        if not self.state.accept(received, self.clock.now()):
            self.metrics.count("peers.messages_stale")
            return
        message = received.message
        if isinstance(message, Heartbeat):
            self.on_heartbeats()
            if message.version > self.keeper.configuration.version:
                request = ConfigurationRequest(self.keeper.configuration.version)
                self.links.send(message.peer_address, request)
        elif isinstance(message, ConfigurationRequest):
            self.answer(received.sender, message)
        elif isinstance(message, ConfigurationOffer):
            self.take_offer(message)

    def answer(self, sender: str, request: ConfigurationRequest) -> None:
        """Send the entries that another daemon lacks, or the whole configuration."""
        address = self.state.peers[sender].heartbeat.peer_address
        entries = self.keeper.entries_after(request.after_version)
        if entries is None:
            snapshot = to_json(self.keeper.configuration)
            self.links.send(address, ConfigurationOffer(snapshot=snapshot))
        elif entries:
            self.links.send(address, ConfigurationOffer([to_json(each) for each in entries]))

    def take_offer(self, offer: ConfigurationOffer) -> None:
        """Apply entries that are new, and pass them on when there are many daemons."""
        try:
            if offer.snapshot:
                self.keeper.adopt(from_json(offer.snapshot, Configuration))
            entries = [from_json(data, ConfigurationEntry) for data in offer.entries]
        except DecodeError:
            self.metrics.count("peers.messages_refused")
            return
        applied = self.keeper.offer(entries)
        if applied:
            self.keeper.is_loaded = True
            if len(self.links.senders) > FANOUT:
                self.announce(applied)

    def announce(self, entries: list[ConfigurationEntry]) -> None:
        """Send newly committed entries to the other daemons."""
        offer = ConfigurationOffer([to_json(entry) for entry in entries])
        addresses = sorted(self.links.senders)
        self.links.broadcast(offer, self.rng.sample(addresses, min(FANOUT, len(addresses))))
