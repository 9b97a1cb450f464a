"""Owners of data centres are killed, frozen and cut off from the store."""

import asyncio
import time

from testtools.matchers import Equals

from standins.checks import Drain
from standins.platform import Faults
from tests.scenario import ProcessTestCase, Scenario, first_note, job

DRAINED_SECONDS = 5.0


class TestOwnerFailures(ProcessTestCase):
    def test_gang_outlives_its_killed_owner(self):
        async def work(scenario: Scenario):
            await scenario.submit(first_note(job("wide", 3, seconds=9)))
            await scenario.wait_for_event("released", "wide", 3, 10)
            owner = await scenario.owner_of(await scenario.where("wide"))
            scenario.deployment.kill(owner)
            await scenario.wait_for_event("done", "wide", 3, 20)
            self.assertThat(await scenario.count_events("released", "wide"), Equals(3))
            self.assertThat(await scenario.faults({"wide": 3}), Equals([]))

        self.play(work)

    def test_frozen_owner_starts_nothing_in_a_data_centre_taken_out_meanwhile(self):
        async def work(scenario: Scenario):
            jobs = [job(f"small-{index}", size=8, seconds=1) for index in range(80)]
            await scenario.submit(first_note(*jobs))
            await self.wait_for_release_in(scenario, "dc-a", 0.0)
            owner = await scenario.owner_of("dc-a")
            other = next(n for n in scenario.deployment.running_daemons() if n != owner)
            scenario.deployment.freeze(owner)
            status = await scenario.set_in_service("dc-a", False, other)
            accepted_at = time.time()
            scenario.deployment.thaw(owner)
            await asyncio.sleep(DRAINED_SECONDS)
            drain = Drain("dc-a", accepted_at, time.time())
            self.assertThat(status, Equals(200))
            # There was work left that could have been started in the data centre.
            await self.wait_for_release_in(scenario, "dc-b", drain.returned_at)
            self.assertThat(
                await scenario.faults({each["name"]: 1 for each in jobs}, [drain]), Equals([])
            )

        self.play(work)

    def test_owner_frozen_past_its_lease_is_succeeded_without_a_second_start(self):
        async def work(scenario: Scenario):
            await scenario.submit(first_note(job("wide", 3, seconds=14)))
            await scenario.wait_for_event("released", "wide", 3, 10)
            data_centre = await scenario.where("wide")
            owner = await scenario.owner_of(data_centre)
            scenario.deployment.freeze(owner)
            await asyncio.sleep(6)
            scenario.deployment.thaw(owner)
            await scenario.wait_for_event("done", "wide", 3, 20)
            self.assertThat(await scenario.count_events("held", "wide"), Equals(3))
            self.assertThat(await scenario.faults({"wide": 3}), Equals([]))

        self.play(work)

    def test_work_goes_on_and_guarantees_are_claimed_in_a_store_outage(self):
        async def work(scenario: Scenario):
            jobs = [job("first", 3, seconds=6), job("second", 3, seconds=4)]
            await scenario.submit(first_note(*jobs))
            await scenario.wait_for_event("released", "first", 3, 10)
            await scenario.deployment.platform_faults(Faults(is_down=True))
            await scenario.wait_for_event("done", "first", 3, 20)
            await scenario.wait_for_event("done", "second", 3, 20)
            await scenario.deployment.platform_faults(Faults())
            sizes = {"first": 3, "second": 3}
            self.assertThat(await scenario.faults(sizes), Equals([]))
            self.assertThat(await scenario.count_events("stopped", "first"), Equals(0))

        self.play(work)

    def test_unrepeatable_job_is_never_started_again(self):
        async def work(scenario: Scenario):
            once = job("once", 3, seconds=6, preemptible=False, repeatable=False)
            await scenario.submit(first_note(once))
            await scenario.wait_for_event("released", "once", 3, 10)
            data_centre = await scenario.where("once")
            scenario.deployment.kill(await scenario.owner_of(data_centre))
            scenario.deployment.kill(f"workers-{data_centre}")
            async with asyncio.timeout(40):
                while (await self.state_of(scenario, "once")) != "unknown":
                    await asyncio.sleep(0.2)

        self.play(work)

    async def wait_for_release_in(self, scenario: Scenario, data_centre: str, after: float):
        """Wait until a task was released in a data centre after a wall clock time."""
        machines = scenario.deployment.machines
        async with asyncio.timeout(15):
            while not any(
                entry.event == "released"
                and entry.at > after
                and machines[entry.worker].data_centre == data_centre
                for entry in await scenario.deployment.worker_log()
            ):
                await asyncio.sleep(0.1)

    async def state_of(self, scenario: Scenario, name: str) -> str:
        daemon = scenario.deployment.running_daemons()[0]
        return (await scenario.deployment.operator_get(daemon, f"/v1/jobs/{name}"))["state"]
