"""Endpoints leave: by the platform's list, by their own signal, by a drain."""

import asyncio
import time

from testtools.matchers import Equals, GreaterThan

from jaypier.platform.model import MachineKind, MachineState
from jaypier.requests.model import Outcome
from standins.endpoint import EndpointFaults
from tests.scenario import ProcessTestCase, Scenario, first_note

LEAVING_SECONDS = 2.0
"""Time after the first sign within which a leaving endpoint may still get work."""

LOAD_SECONDS = 5.0


class TestLeavingEndpoints(ProcessTestCase):
    async def check_departure(self, scenario: Scenario, depart, expected: set[str]):
        """Let endpoints leave under load; check that they get no work after the bound."""
        await scenario.submit(first_note())
        for machine in scenario.deployment.of_kind(MachineKind.ENDPOINT):
            await scenario.deployment.machine_faults(machine.id, EndpointFaults(seconds=0.3))
        load = asyncio.create_task(scenario.callers.run_load(LOAD_SECONDS, 6))
        await asyncio.sleep(1.0)
        await depart()
        signed_at = time.time()
        await load
        reports = await scenario.deployment.endpoint_reports()
        executions = [each for report in reports for each in report.executions]
        late = {
            each.endpoint
            for each in executions
            if each.endpoint in expected and each.at > signed_at + LEAVING_SECONDS
        }
        before = [each for each in executions if each.endpoint in expected]
        outcomes = {record.outcome for record in scenario.callers.records}
        self.assertThat(late, Equals(set()))
        self.assertThat(len(before), GreaterThan(0))
        self.assertThat(outcomes, Equals({Outcome.ANSWERED}))
        self.assertThat(await scenario.faults({}), Equals([]))

    def test_by_the_list(self):
        async def work(scenario: Scenario):
            async def depart():
                await scenario.deployment.set_state("endpoint-1", MachineState.LEAVING)

            await self.check_departure(scenario, depart, {"endpoint-1"})

        self.play(work)

    def test_by_its_own_signal(self):
        async def work(scenario: Scenario):
            async def depart():
                faults = EndpointFaults(seconds=0.3, is_leaving=True)
                await scenario.deployment.machine_faults("endpoint-1", faults)

            await self.check_departure(scenario, depart, {"endpoint-1"})

        self.play(work)

    def test_by_a_drain(self):
        async def work(scenario: Scenario):
            machines = scenario.deployment.of_kind(MachineKind.ENDPOINT)
            expected = {each.id for each in machines if each.data_centre == "dc-b"}

            async def depart():
                await scenario.set_in_service("dc-b", False, "entry-1")

            await self.check_departure(scenario, depart, expected)

        self.play(work)
