"""Keeps a fair share of the data centres owned by this daemon, and fences departing ones."""

import asyncio
import random
from collections.abc import Callable

import structlog

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.core.supervision import OnFailure, supervise
from jaypier.notes.configuration import Configuration, ConfigurationEntry
from jaypier.notes.errors import LedgerError
from jaypier.notes.keeper import ConfigurationKeeper
from jaypier.notes.model import ReleaseNote
from jaypier.notes.service import FenceError, NoteAnswer, NoteService
from jaypier.notes.validation import NoteRefusal
from jaypier.platform import Machine, MachineKind, PlatformUnavailable
from jaypier.scheduling.assignment import SchedulerChange, plan_change, plan_note
from jaypier.scheduling.impossible import ImpossibleJobs
from jaypier.scheduling.model import Decisions
from jaypier.scheduling.owner import (
    ConfigurationChanged,
    DataCentreOwner,
    LinkFactory,
    MachinesChanged,
    open_worker_link,
)
from jaypier.scheduling.ownership import HeldLease, LeaseTable

OBSERVE_SECONDS = 1.0
"""Time between two readings of all leases."""

CLOSE_OBSERVE_SECONDS = 0.25
"""The same while a lease may be about to run out."""

RENEW_SECONDS = 0.5
"""Time between two renewals of a held lease."""

CONFIRMED_SECONDS = 1.5
"""Age up to which the store's confirmation proves that a lease is held."""

FENCE_SECONDS = 2.0
"""Time after which permits of an owner that was succeeded have certainly run out."""

UPKEEP_SECONDS = 1.0
"""Longest time between a change of the workers and a new plan of homes."""

MAJORITY = 0.5

log = structlog.get_logger()


class SchedulingService:
    """Owns the leases and the owners of data centres in this daemon.

    :param candidates: returns the identities of other daemons that could own data centres.
    :param store_is_down_for_all: whether a majority of daemons lacks the store just now.
    :param machines: returns the platform's list as last read.
    :param on_failure: called when one of the service's own tasks ends by a fault.
    """

    def __init__(
        self,
        leases: LeaseTable,
        keeper: ConfigurationKeeper,
        notes: NoteService,
        candidates: Callable[[], list[str]],
        store_is_down_for_all: Callable[[], bool],
        machines: Callable[[], list[Machine]],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        on_failure: OnFailure,
        open_link: LinkFactory = open_worker_link,
    ) -> None:
        self.leases = leases
        self.keeper = keeper
        self.notes = notes
        self.candidates = candidates
        self.store_is_down_for_all = store_is_down_for_all
        self.machines = machines
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.on_failure = on_failure
        self.open_link = open_link
        self.owners: dict[str, DataCentreOwner] = {}
        self.succeeded: asyncio.Queue[DataCentreOwner] = asyncio.Queue()
        self.taking = asyncio.Lock()
        self.is_leaving = False
        self.planned_for: frozenset = frozenset()
        self.workers_changed = False
        self.impossible = ImpossibleJobs()
        self.commit_count = 0
        self.tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "SchedulingService":
        self.keeper.subscribe(self.on_configuration)
        self.tasks = [
            supervise(self.run_takeovers(), "takeovers", self.on_failure),
            supervise(self.run_renewals(), "renewals", self.on_failure),
            supervise(self.run_successions(), "successions", self.on_failure),
            supervise(self.run_upkeep(), "upkeep", self.on_failure),
        ]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for data_centre in list(self.owners):
            await self.drop(data_centre)

    # Inputs

    def on_configuration(
        self, configuration: Configuration, entries: list[ConfigurationEntry]
    ) -> None:
        """Pass a new configuration on to every owner."""
        for owner in self.owners.values():
            owner.deliver(ConfigurationChanged(configuration, entries))

    def on_machines(self) -> None:
        """Pass a new reading of the platform's list on to every owner."""
        for owner in self.owners.values():
            owner.deliver(MachinesChanged(self.workers_of(owner.data_centre)))
        workers = frozenset(
            (machine.id, machine.state)
            for machine in self.machines()
            if machine.kind is MachineKind.WORKER
        )
        if workers != self.planned_for:
            self.planned_for = workers
            self.workers_changed = True

    async def run_upkeep(self) -> None:
        """Plan homes anew when workers come or go, and give up jobs that fit nowhere.

        One daemon does it: the owner of the first data centre.
        """
        while True:
            await asyncio.sleep(UPKEEP_SECONDS * self.rng.uniform(0.5, 1.0))
            if next(iter(self.data_centres()), None) not in self.owners:
                continue
            now = self.clock.now()
            impossible = self.impossible.check(self.keeper.configuration, self.machines(), now)
            if impossible or self.workers_changed:
                self.workers_changed = False
                try:
                    await self.commit("", Decisions(retired=impossible))
                except LedgerError:
                    self.metrics.count("scheduling.replans_failed")
                    self.workers_changed = True

    def workers_of(self, data_centre: str) -> list[Machine]:
        """Return the listed workers of a data centre."""
        return [
            machine
            for machine in self.machines()
            if machine.kind is MachineKind.WORKER and machine.data_centre == data_centre
        ]

    def data_centres(self) -> list[str]:
        """Return every data centre that has workers."""
        return sorted(
            {
                machine.data_centre
                for machine in self.machines()
                if machine.kind is MachineKind.WORKER
            }
        )

    # Leases

    async def run_takeovers(self) -> None:
        """Take over leases that have run out, until cancelled."""
        while True:
            try:
                await self.leases.observe()
                if self.keeper.is_loaded and not self.is_leaving:
                    await self.take_over_lapsed()
            except PlatformUnavailable:
                self.metrics.count("ownership.polls_failed")
            period = CLOSE_OBSERVE_SECONDS if self.leases.is_any_quiet() else OBSERVE_SECONDS
            await asyncio.sleep(period * self.rng.uniform(0.7, 1.0))

    async def take_over_lapsed(self) -> None:
        """Take over every lease whose holder is silent, if it is this daemon's turn."""
        for data_centre in self.data_centres():
            if data_centre not in self.owners and self.leases.may_take(
                data_centre, self.candidates()
            ):
                await self.take(data_centre)

    async def take(self, data_centre: str) -> DataCentreOwner | None:
        """Become the owner of a data centre.

        :returns: the owner, ``None`` when another daemon was faster.
        :raises PlatformUnavailable: when the store does not answer.
        """
        async with self.taking:
            lease = await self.leases.take(data_centre)
            if lease is None:
                return None
            await self.drop(data_centre)
            owner = DataCentreOwner(
                data_centre,
                lease.epoch,
                self.leases.own_id,
                self.clock,
                self.may_start,
                self.commit,
                self.on_succeeded,
                self.metrics,
                self.rng,
                self.open_link,
            )
            owner.deliver(ConfigurationChanged(self.keeper.configuration))
            owner.deliver(MachinesChanged(self.workers_of(data_centre)))
            self.owners[data_centre] = await owner.__aenter__()
            log.info("took over data centre", data_centre=data_centre, epoch=lease.epoch)
            return owner

    async def drop(self, data_centre: str) -> None:
        """Stop owning a data centre in this process."""
        owner = self.owners.pop(data_centre, None)
        if owner is not None:
            await owner.__aexit__(None, None, None)

    async def run_renewals(self) -> None:
        """Renew held leases until cancelled."""
        while True:
            held = list(self.leases.held.values())
            await asyncio.gather(*(self.renew(lease) for lease in held))
            await asyncio.sleep(RENEW_SECONDS * self.rng.uniform(0.9, 1.0))

    async def renew(self, lease: HeldLease) -> None:
        """Renew one lease; stop owning its data centre if another daemon has it."""
        try:
            is_held = await self.leases.renew(lease)
        except PlatformUnavailable:
            self.metrics.count("ownership.renewals_failed")
            return
        owner = self.owners.get(lease.data_centre)
        if not is_held and owner is not None and owner.epoch == lease.epoch:
            log.info("lost data centre", data_centre=lease.data_centre, epoch=lease.epoch)
            await self.drop(lease.data_centre)

    def on_succeeded(self, owner: DataCentreOwner, epoch: int) -> None:
        """Note that an owner has been succeeded, or has failed."""
        self.succeeded.put_nowait(owner)

    async def run_successions(self) -> None:
        """Drop owners that were succeeded, until cancelled."""
        while True:
            owner = await self.succeeded.get()
            if self.owners.get(owner.data_centre) is owner:
                log.info("data centre is no longer owned here", data_centre=owner.data_centre)
                self.leases.held.pop(owner.data_centre, None)
                await self.drop(owner.data_centre)

    async def leave(self) -> None:
        """Hand every lease over on a planned stop."""
        self.is_leaving = True
        for lease in list(self.leases.held.values()):
            await self.drop(lease.data_centre)
            try:
                await self.leases.give_up(lease)
            except PlatformUnavailable:
                self.metrics.count("ownership.handovers_failed")

    # Permits

    def may_start(self, owner: DataCentreOwner) -> bool:
        """Whether an owner knows its configuration to be current.

        With the store: it confirmed both the configuration and the lease just now. Without it:
        a majority of daemons lacks the store too, so no note can be accepted, and a majority
        of the workers has just obeyed this epoch, so nobody has succeeded this owner.
        """
        if not self.keeper.is_loaded:
            return False
        lease = self.leases.held.get(owner.data_centre)
        if lease is None or lease.epoch != owner.epoch:
            return False
        is_confirmed = self.clock.now() - lease.confirmed_at <= CONFIRMED_SECONDS
        if is_confirmed and self.keeper.is_current:
            return True
        return self.store_is_down_for_all() and owner.obeying_share() > MAJORITY

    async def fence(self, data_centre: str) -> None:
        """Make sure that no other owner starts anything in a data centre from now on.

        Takes the data centre over and waits until most of its workers obey the new epoch, or
        until the permits of its former owner have run out.

        :raises FenceError: when the lease cannot be taken over.
        """
        if not self.workers_of(data_centre):
            return
        owner = self.owners.get(data_centre)
        lease = self.leases.held.get(data_centre)
        try:
            if owner is None or lease is None or not await self.leases.renew(lease):
                owner = await self.take(data_centre)
        except PlatformUnavailable as error:
            raise FenceError(f"cannot take over {data_centre}: {error}") from error
        if owner is None:
            raise FenceError(f"another daemon is taking over {data_centre}; try again")
        deadline = self.clock.now() + FENCE_SECONDS
        while owner.obeying_share() <= MAJORITY and self.clock.now() < deadline:
            await asyncio.sleep(0.01)
        if self.owners.get(data_centre) is not owner:
            raise FenceError(f"another daemon has taken over {data_centre}; try again")

    # Ledger

    async def submit(self, note: ReleaseNote) -> NoteAnswer:
        """Accept a release note or say why not."""

        def planner(configuration: Configuration) -> ConfigurationEntry | NoteRefusal:
            planned = plan_note(note, configuration, self.machines())
            return planned.ok if planned.is_ok() else planned.error

        return await self.notes.submit(note, planner, self.fence)

    async def commit(self, data_centre: str, decisions: Decisions) -> None:
        """Record the decisions of a data centre's owner.

        :raises LedgerError: when the store does not answer.
        """
        pulled = dict.fromkeys(decisions.pulled, data_centre)
        change = SchedulerChange(decisions.retired, decisions.moved, pulled, decisions.to_mark)
        self.commit_count += 1
        change_id = f"scheduler-{self.leases.own_id}-{self.leases.incarnation}-{self.commit_count}"

        def planner(configuration: Configuration) -> ConfigurationEntry | None:
            return plan_change(change_id, change, configuration, self.machines())

        await self.notes.commit(planner)
