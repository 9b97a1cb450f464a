"""Tests of leases, permits and fencing over a shared store."""

import asyncio
import random

import testtools
from testtools.matchers import Equals, GreaterThan

from jaypier.core.metrics import Metrics
from jaypier.notes.keeper import ConfigurationKeeper
from jaypier.notes.ledger import Ledger
from jaypier.notes.service import NoteService
from jaypier.platform import PlatformUnavailable
from jaypier.scheduling.ownership import OWNER_LEASE_SECONDS, LeaseTable
from jaypier.scheduling.service import CONFIRMED_SECONDS, FENCE_SECONDS, SchedulingService
from jaypier.scheduling.tests.builders import worker_machines
from jaypier.workers.errors import EpochRefused, WorkerUnreachable
from jaypier.workers.protocol import ControlReply, ControlRequest, WorkerLink
from standins.memory import MemoryPlatform
from standins.platform import PlatformStandIn
from standins.virtual_time import LoopClock, run_virtually
from standins.worker import SimulatedWorker

MACHINES = worker_machines(1, 3, data_centre="here")


class DirectLink(WorkerLink):
    """Calls a simulated worker unless it is cut off."""

    def __init__(self, worker: SimulatedWorker, cut: set[str]) -> None:
        self.worker = worker
        self.cut = cut

    async def control(self, request: ControlRequest) -> ControlReply:
        await asyncio.sleep(0.001)
        if self.worker.name in self.cut:
            raise WorkerUnreachable("cut off")
        return self.worker.control(request)

    def close(self) -> None:
        pass


class Site:
    """Daemons' scheduling services over one store and the same workers."""

    def __init__(self) -> None:
        self.clock = LoopClock(asyncio.get_running_loop())
        self.shared = PlatformStandIn()
        self.workers = {
            machine.id: SimulatedWorker(machine.id, 8, self.clock.now, self.clock.now)
            for machine in MACHINES
        }
        self.cut: dict[str, set[str]] = {}
        self.is_down_for_all = False

    def daemon(self, name: str) -> SchedulingService:
        """Return a service whose background tasks are not started."""
        platform, metrics, rng = MemoryPlatform(self.shared), Metrics(), random.Random(name)
        ledger = Ledger(platform)
        keeper = ConfigurationKeeper(ledger, self.clock, metrics)
        cut = self.cut.setdefault(name, set())
        service = SchedulingService(
            LeaseTable(platform.table, name, 1, self.clock),
            keeper,
            NoteService(ledger, keeper, lambda entries: None, metrics, rng),
            list,
            lambda: self.is_down_for_all,
            lambda: MACHINES,
            self.clock,
            metrics,
            rng,
            self.fail,
            lambda machine: DirectLink(self.workers[machine.id], cut),
        )
        service.platform = platform
        return service

    def fail(self, name: str, error: BaseException) -> None:
        """Let a fault of a service fail the test."""
        raise error


def on_site(test):
    """Run a test's coroutine with a site in virtual time."""

    def run(self):
        async def work():
            await test(self, Site())

        run_virtually(work())

    run.__name__ = test.__name__
    return run


async def confirmed(site: Site, name: str) -> tuple:
    """Return a service that has just taken over, with its owner."""
    service = site.daemon(name)
    await service.keeper.refresh()
    owner = await service.take("here")
    await asyncio.sleep(0.2)
    return service, owner


class TestLeases(testtools.TestCase):
    @on_site
    async def test_takeover_raises_the_epoch_and_ends_the_old_lease(self, site):
        first, second = site.daemon("a").leases, site.daemon("b").leases
        old = await first.take("here")
        new = await second.take("here")
        self.assertThat(new.epoch, GreaterThan(old.epoch))
        self.assertFalse(await first.renew(old))
        self.assertThat(first.held, Equals({}))
        self.assertTrue(await second.renew(new))

    @on_site
    async def test_lease_is_taken_only_after_it_was_quiet(self, site):
        first, second = site.daemon("a").leases, site.daemon("b").leases
        lease = await first.take("here")
        await second.observe()
        for _ in range(4):
            await asyncio.sleep(OWNER_LEASE_SECONDS - 1)
            await first.renew(lease)
            await second.observe()
            self.assertFalse(second.may_take("here", []))
        await asyncio.sleep(OWNER_LEASE_SECONDS)
        await second.observe()
        self.assertTrue(second.may_take("here", []))

    @on_site
    async def test_renewal_whose_answer_was_lost_keeps_the_lease(self, site):
        service = site.daemon("a")
        lease = await service.leases.take("here")
        service.platform.access.lose_answers = 1
        with testtools.ExpectedException(PlatformUnavailable):
            await service.leases.renew(lease)
        self.assertTrue(await service.leases.renew(lease))

    @on_site
    async def test_lease_that_was_given_up_is_taken_at_once(self, site):
        first, second = site.daemon("a").leases, site.daemon("b").leases
        await first.give_up(await first.take("here"))
        await second.observe()
        self.assertTrue(second.may_take("here", []))


class TestPermits(testtools.TestCase):
    @on_site
    async def test_permit_needs_a_fresh_confirmation(self, site):
        service, owner = await confirmed(site, "a")
        self.assertTrue(owner.may_start)
        await asyncio.sleep(CONFIRMED_SECONDS + 0.1)
        self.assertFalse(owner.may_start)
        await service.keeper.refresh()
        self.assertFalse(owner.may_start)
        await service.leases.renew(service.leases.held["here"])
        self.assertTrue(owner.may_start)
        await service.drop("here")

    @on_site
    async def test_without_the_store_the_workers_must_still_obey(self, site):
        service, owner = await confirmed(site, "a")
        await asyncio.sleep(5)
        self.assertFalse(owner.may_start)
        site.is_down_for_all = True
        self.assertTrue(owner.may_start)
        site.cut["a"] |= {"here-0-0", "here-0-1"}
        await asyncio.sleep(5)
        self.assertFalse(owner.may_start)
        await service.drop("here")

    @on_site
    async def test_succeeded_owner_has_no_permit_even_in_an_outage(self, site):
        old_service, old_owner = await confirmed(site, "a")
        new_service, new_owner = await confirmed(site, "b")
        site.is_down_for_all = True
        await asyncio.sleep(5)
        self.assertFalse(old_owner.may_start)
        await old_service.drop("here")
        await new_service.drop("here")


class TestFence(testtools.TestCase):
    @on_site
    async def test_workers_refuse_the_former_owner_once_the_fence_stands(self, site):
        old_service, old_owner = await confirmed(site, "a")
        fencing = site.daemon("b")
        await fencing.keeper.refresh()
        await fencing.fence("here")
        obeying = [worker for worker in site.workers.values() if worker.epoch > old_owner.epoch]
        self.assertThat(len(obeying), GreaterThan(1))
        request = ControlRequest(old_owner.epoch, "a", 0.0)
        self.assertRaises(EpochRefused, obeying[0].control, request)
        await old_service.drop("here")
        await fencing.drop("here")

    @on_site
    async def test_unreachable_workers_are_waited_for_until_permits_have_run_out(self, site):
        old_service, old_owner = await confirmed(site, "a")
        fencing = site.daemon("b")
        await fencing.keeper.refresh()
        site.cut["b"] |= set(site.workers)
        started_at = site.clock.now()
        await fencing.fence("here")
        self.assertThat(site.clock.now() - started_at, GreaterThan(FENCE_SECONDS - 0.01))
        self.assertFalse(old_owner.may_start)
        await old_service.drop("here")
        await fencing.drop("here")

    @on_site
    async def test_owner_fences_itself_without_a_new_epoch(self, site):
        service, owner = await confirmed(site, "a")
        await service.fence("here")
        self.assertIs(owner, service.owners["here"])
        await service.drop("here")
