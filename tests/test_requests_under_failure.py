"""Callers' requests while daemons are killed, frozen, stopped and endpoints misbehave."""

import asyncio
import contextlib
from collections import Counter

from testtools.matchers import Equals, GreaterThan

from jaypier.core.address import Address
from jaypier.platform.model import MachineKind
from jaypier.requests.model import Outcome
from jaypier.wire.server import REQUEST_READ_TIMEOUT
from standins.callers import Identity
from standins.deployment import Deployment
from standins.endpoint import EndpointFaults
from standins.platform import Faults
from tests.scenario import ProcessTestCase, Scenario, first_note

LOAD_SECONDS = 6.0
CONCURRENCY = 12


class TestRequestsUnderFailure(ProcessTestCase):
    async def run_with_load(self, scenario: Scenario, disturb) -> Counter:
        """Disturb the deployment while callers send; return what they were told."""
        await scenario.submit(first_note())
        health = asyncio.create_task(scenario.callers.watch_health())
        load = asyncio.create_task(scenario.callers.run_load(LOAD_SECONDS, CONCURRENCY))
        await asyncio.sleep(1.0)
        await disturb(scenario.deployment)
        await load
        health.cancel()
        self.assertThat(await scenario.faults({}), Equals([]))
        return Counter(record.outcome for record in scenario.callers.records)

    def test_killed_daemon(self):
        async def disturb(deployment: Deployment):
            deployment.kill("entry-2")

        async def work(scenario: Scenario):
            outcomes = await self.run_with_load(scenario, disturb)
            lost = [r for r in scenario.callers.records if r.outcome in (None, Outcome.UNKNOWN)]
            self.assertThat({record.daemon for record in lost} - {"entry-2"}, Equals(set()))
            self.assertThat(outcomes[Outcome.ANSWERED], GreaterThan(100))

        self.play(work)

    def test_frozen_daemon(self):
        async def disturb(deployment: Deployment):
            deployment.freeze("entry-2")
            await asyncio.sleep(3.0)
            deployment.thaw("entry-2")

        async def work(scenario: Scenario):
            await self.run_with_load(scenario, disturb)

        self.play(work)

    def test_half_open_connections_to_endpoints(self):
        """Frozen endpoints keep their connections open and say nothing."""

        async def disturb(deployment: Deployment):
            deployment.freeze("endpoints-dc-b")
            await asyncio.sleep(4.0)
            deployment.thaw("endpoints-dc-b")

        async def work(scenario: Scenario):
            outcomes = await self.run_with_load(scenario, disturb)
            self.assertThat(outcomes[None], Equals(0))
            self.assertThat(outcomes[Outcome.ANSWERED], GreaterThan(100))

        self.play(work)

    def test_half_open_connection_of_a_caller_is_dropped(self):
        async def work(scenario: Scenario):
            address = Address.parse(scenario.deployment.address("entry-1"))
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b"POST /v1/services/returns/book HTTP/1.1\r\nhost: a\r\n")
            async with asyncio.timeout(REQUEST_READ_TIMEOUT + 5):
                with contextlib.suppress(ConnectionError):
                    self.assertThat(await reader.read(), Equals(b""))
            writer.close()

        self.play(work)

    def test_planned_stop_of_every_daemon_cuts_nothing(self):
        async def disturb(deployment: Deployment):
            for name in deployment.daemon_names():
                deployment.terminate(name)
                while deployment.processes[name].poll() is None:
                    await asyncio.sleep(0.02)
                deployment.start_daemon(name)
                await deployment.wait_healthy([name])

        async def work(scenario: Scenario):
            outcomes = await self.run_with_load(scenario, disturb)
            self.assertThat(outcomes[None], Equals(0))

        self.play(work)

    def test_store_outage(self):
        async def disturb(deployment: Deployment):
            await deployment.platform_faults(Faults(is_down=True))
            await asyncio.sleep(2.0)
            await deployment.platform_faults(Faults(lose_answers=20, latency=0.05))

        async def work(scenario: Scenario):
            await self.run_with_load(scenario, disturb)
            by_kind = Counter((r.identity, r.outcome) for r in scenario.callers.records)
            for kind in (Identity.TICKET, Identity.REPEATABLE):
                self.assertThat(by_kind[kind, Outcome.UNKNOWN], Equals(0))
                self.assertThat(by_kind[kind, Outcome.ANSWERED], GreaterThan(50))

        self.play(work)

    def test_short_and_crossed_answers_are_never_passed_on(self):
        async def disturb(deployment: Deployment):
            for machine in deployment.of_kind(MachineKind.ENDPOINT):
                faults = EndpointFaults(truncate=10, cross=10)
                await deployment.machine_faults(machine.id, faults)

        async def work(scenario: Scenario):
            outcomes = await self.run_with_load(scenario, disturb)
            self.assertThat(outcomes[Outcome.UNKNOWN], GreaterThan(0))

        self.play(work)
