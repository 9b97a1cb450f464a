"""Focused tests of outcomes under failure, in virtual time."""

import asyncio
import statistics

import attrs
import testtools
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from jaypier.platform import MachineState
from jaypier.requests.claims import CLAIM_RETENTION_SECONDS, ClaimUnavailable
from jaypier.requests.endpoints import SLOTS
from jaypier.requests.handover import HandoverUnavailable
from jaypier.requests.model import Outcome
from jaypier.requests.records import MAX_KEPT_BYTES, RETENTION_SECONDS
from jaypier.requests.tests.builders import SERVICE, Scene
from standins.virtual_time import LoopClock, run_virtually

ANSWERED = Outcome.ANSWERED


def in_scene(**options):
    """Run a test's coroutine with a scene in virtual time."""

    def decorate(test):
        def run(self):
            async def work():
                scene = Scene(LoopClock(asyncio.get_running_loop()), **options)
                await test(self, scene)

            run_virtually(work())

        run.__name__ = test.__name__
        return run

    return decorate


class TestOutcomes(testtools.TestCase):
    @in_scene()
    async def test_answer_is_whole_and_own(self, scene):
        result = await scene.services["entry-0"].serve(scene.request("a"))
        self.assertThat((result.outcome, result.response.body), Equals((Outcome.ANSWERED, b"a")))

    @in_scene()
    async def test_broken_exchange_is_unknown_and_not_repeated(self, scene):
        for endpoint in scene.endpoints.values():
            endpoint.mode = "break"
        result = await scene.services["entry-0"].serve(scene.request("a"))
        self.assertThat((result.outcome, scene.runs["a"]), Equals((Outcome.UNKNOWN, 1)))

    @in_scene()
    async def test_repeatable_request_is_retried_elsewhere(self, scene):
        scene.endpoints["endpoint-0"].mode = "break"
        scene.endpoints["endpoint-1"].mode = "break"
        for index in range(10):
            request = scene.request(f"r{index}", repeatable=True)
            result = await scene.services["entry-0"].serve(request)
            self.assertThat(result.outcome, Equals(Outcome.ANSWERED))

    @in_scene()
    async def test_nothing_reachable_is_not_run_at_once(self, scene):
        for endpoint in scene.endpoints.values():
            endpoint.mode = "unreachable"
        result = await scene.services["entry-0"].serve(scene.request("a"))
        self.assertThat(result.outcome, Equals(Outcome.NOT_RUN))
        self.assertThat(result.retry_after, GreaterThan(0))
        self.assertThat(scene.clock.now(), LessThan(1.0))
        self.assertThat(sum(scene.runs.values()), Equals(0))

    @in_scene()
    async def test_retries_stay_within_their_budget(self, scene):
        for endpoint in scene.endpoints.values():
            endpoint.mode = "break"
        for index in range(1000):
            await scene.services["entry-0"].serve(scene.request(f"r{index}", repeatable=True))
        self.assertThat(sum(scene.runs.values()), LessThan(1200))

    @in_scene()
    async def test_caller_that_leaves_does_not_stop_an_unrepeatable_request(self, scene):
        service = scene.services["entry-0"]
        task = asyncio.create_task(service.serve(scene.request("a")))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(1)
        self.assertThat(scene.runs["a"], Equals(1))
        self.assertThat((await service.outcome("small", "a")).outcome, Equals(Outcome.ANSWERED))

    @in_scene()
    async def test_caller_that_leaves_frees_its_slot(self, scene):
        service = scene.services["entry-0"]
        for endpoint in scene.endpoints.values():
            endpoint.mode = "hang"
        tasks = [
            asyncio.create_task(service.serve(scene.request(f"r{i}", repeatable=True)))
            for i in range(8)
        ]
        await asyncio.sleep(0.1)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.1)
        self.assertThat(service.executor.board.in_flight(), Equals({}))


class TestAtMostOnce(testtools.TestCase):
    @in_scene(daemons=2)
    async def test_same_key_at_two_daemons_runs_once(self, scene):
        results = await asyncio.gather(
            *(each.serve(scene.request("a")) for each in scene.services.values())
        )
        self.assertThat(scene.runs["a"], Equals(1))
        self.assertThat({result.outcome for result in results}, Equals({Outcome.ANSWERED}))

    @in_scene(daemons=2)
    async def test_second_copy_gets_the_first_answer(self, scene):
        await scene.services["entry-0"].serve(scene.request("a"))
        result = await scene.services["entry-1"].serve(scene.request("a"))
        self.assertThat((scene.runs["a"], result.response.body), Equals((1, b"a")))

    @in_scene(daemons=2)
    async def test_key_of_a_killed_daemon_is_unknown_never_run_again(self, scene):
        first = asyncio.create_task(scene.services["entry-0"].serve(scene.request("a")))
        await asyncio.sleep(0.01)
        scene.kill("entry-0")
        await asyncio.gather(first, return_exceptions=True)
        result = await scene.services["entry-1"].serve(scene.request("a"))
        self.assertThat((result.outcome, scene.runs["a"]), Equals((Outcome.UNKNOWN, 1)))

    @in_scene(daemons=2)
    async def test_ticket_works_at_any_daemon_in_a_store_outage(self, scene):
        scene.platform.access.is_down = True
        ticket = scene.services["entry-0"].mint("small")
        for name in ("entry-1", "entry-0", "entry-1"):
            result = await scene.services[name].serve(scene.request(ticket))
            self.assertThat(result.outcome, Equals(Outcome.ANSWERED))
        self.assertThat(scene.runs[ticket], Equals(1))

    @in_scene(daemons=2)
    async def test_ticket_of_a_killed_daemon_is_unknown(self, scene):
        ticket = scene.services["entry-0"].mint("small")
        scene.kill("entry-0")
        result = await scene.services["entry-1"].serve(scene.request(ticket))
        self.assertThat((result.outcome, scene.runs[ticket]), Equals((Outcome.UNKNOWN, 0)))

    @in_scene(daemons=2)
    async def test_tickets_of_a_stopped_daemon_keep_their_outcomes(self, scene):
        first, second = scene.services.values()
        used, unused = first.mint("small"), first.mint("small")
        await first.serve(scene.request(used))
        await scene.stop("entry-0")
        again = await second.serve(scene.request(used))
        refused = await second.serve(scene.request(unused))
        self.assertThat((again.outcome, again.response.body), Equals((ANSWERED, used.encode())))
        self.assertThat(refused.outcome, Equals(Outcome.NOT_RUN))
        self.assertThat((await second.outcome("small", used)).outcome, Equals(ANSWERED))
        self.assertThat((scene.runs[used], scene.runs[unused]), Equals((1, 0)))

    @in_scene(daemons=2)
    async def test_ticket_that_a_stopped_daemon_had_forgotten_is_unknown(self, scene):
        first, second = scene.services.values()
        ticket = first.mint("small")
        await first.serve(scene.request(ticket))
        await asyncio.sleep(RETENTION_SECONDS + 1)
        await first.serve(scene.request(first.mint("small")))
        await scene.stop("entry-0")
        result = await second.serve(scene.request(ticket))
        self.assertThat((result.outcome, scene.runs[ticket]), Equals((Outcome.UNKNOWN, 1)))

    @in_scene(daemons=2)
    async def test_stop_without_the_object_store_leaves_unknown(self, scene):
        ticket = scene.services["entry-0"].mint("small")
        scene.platform.access.is_down = True
        with testtools.ExpectedException(HandoverUnavailable):
            await scene.stop("entry-0")
        scene.kill("entry-0")
        scene.platform.access.is_down = False
        result = await scene.services["entry-1"].serve(scene.request(ticket))
        self.assertThat(result.outcome, Equals(Outcome.UNKNOWN))

    @in_scene()
    async def test_ticket_of_another_team_is_only_a_key(self, scene):
        ticket = scene.services["entry-0"].mint("large")
        await scene.services["entry-0"].serve(scene.request(ticket))
        self.assertIn(f"requests/small/{ticket}", scene.platform.shared.rows)

    @in_scene(daemons=2)
    async def test_own_key_in_a_store_outage_may_have_run_before(self, scene):
        await scene.services["entry-0"].serve(scene.request("a"))
        scene.platform.access.is_down = True
        result = await scene.services["entry-1"].serve(scene.request("a"))
        self.assertThat((result.outcome, scene.runs["a"]), Equals((Outcome.UNKNOWN, 1)))
        scene.platform.access.is_down = False
        result = await scene.services["entry-1"].serve(scene.request("a"))
        self.assertThat((result.outcome, scene.runs["a"]), Equals((Outcome.ANSWERED, 1)))

    @in_scene(daemons=2)
    async def test_claim_whose_answer_was_lost_is_used(self, scene):
        scene.platform.access.lose_answers = 1
        result = await scene.services["entry-0"].serve(scene.request("a"))
        self.assertThat((result.outcome, scene.runs["a"]), Equals((Outcome.ANSWERED, 1)))

    @in_scene(daemons=2)
    async def test_refused_key_may_be_sent_again_anywhere(self, scene):
        for endpoint in scene.endpoints.values():
            endpoint.mode = "unreachable"
        refused = await scene.services["entry-0"].serve(scene.request("a"))
        for endpoint in scene.endpoints.values():
            endpoint.mode = "ok"
        await asyncio.sleep(5)
        result = await scene.services["entry-1"].serve(scene.request("a"))
        self.assertThat(refused.outcome, Equals(Outcome.NOT_RUN))
        self.assertThat((result.outcome, scene.runs["a"]), Equals((Outcome.ANSWERED, 1)))


class TestRetention(testtools.TestCase):
    @in_scene()
    async def test_old_claims_are_deleted_once_the_store_answers(self, scene):
        service = scene.services["entry-0"]
        for index in range(3):
            await service.serve(scene.request(f"a{index}"))
        self.assertThat(await service.claims.sweep(scene.clock.now()), Equals(0))
        await asyncio.sleep(CLAIM_RETENTION_SECONDS)
        scene.platform.access.is_down = True
        with testtools.ExpectedException(ClaimUnavailable):
            await service.claims.sweep(scene.clock.now())
        scene.platform.access.is_down = False
        self.assertThat(await service.claims.sweep(scene.clock.now()), Equals(3))
        self.assertThat(scene.platform.shared.rows, Equals({}))

    @in_scene()
    async def test_kept_answers_are_bounded(self, scene):
        service = scene.services["entry-0"]
        for _ in range(MAX_KEPT_BYTES // 16_000 + 100):
            key = service.mint("small")
            request = scene.request(key)
            request.http.body = b"x" * 16_000
            await service.serve(request)
        self.assertThat(service.records.kept_bytes, LessThan(MAX_KEPT_BYTES + 1))
        await asyncio.sleep(RETENTION_SECONDS)
        service.records.find("nothing", scene.clock.now())
        self.assertThat(service.records.kept_bytes, Equals(0))


class TestEndpoints(testtools.TestCase):
    @in_scene()
    async def test_leaving_endpoints_get_no_new_work(self, scene):
        service = scene.services["entry-0"]
        machines = [
            attrs.evolve(each, state=MachineState.LEAVING) if each.id == "endpoint-0" else each
            for each in scene.machines
        ]
        service.executor.board.update(machines)
        scene.out_of_service.add("dc-1")
        for index in range(20):
            await service.serve(scene.request(f"a{index}"))
        used = [name for name, each in scene.endpoints.items() if each.most_in_flight]
        self.assertThat(used, Equals(["endpoint-2"]))

    @in_scene()
    async def test_endpoint_that_says_it_leaves_is_not_used_again(self, scene):
        endpoint = scene.endpoints["endpoint-0"]
        endpoint.is_leaving = True
        for index in range(20):
            await scene.services["entry-0"].serve(scene.request(f"a{index}"))
        before = sum(scene.runs.values())
        endpoint.most_in_flight = 0
        await scene.services["entry-0"].serve(scene.request("b"))
        self.assertThat((before, endpoint.most_in_flight), Equals((20, 0)))

    @in_scene()
    async def test_failing_endpoint_is_ejected_and_probed_back_in(self, scene):
        service = scene.services["entry-0"]
        scene.endpoints["endpoint-0"].mode = "unreachable"
        for index in range(40):
            await service.serve(scene.request(f"a{index}"))
        self.assertThat(service.metrics.counters["endpoints.ejections"], GreaterThan(0))
        self.assertThat(scene.endpoints["endpoint-0"].attempts, LessThan(8))
        scene.endpoints["endpoint-0"].mode = "ok"
        await asyncio.sleep(5)
        for index in range(40):
            await service.serve(scene.request(f"b{index}"))
        self.assertThat(service.executor.board.endpoints["endpoint-0"].ejections, Equals(0))

    @in_scene(daemons=8)
    async def test_slots_are_over_committed_by_a_bound(self, scene):
        for endpoint in scene.endpoints.values():
            endpoint.seconds = 1.0
        work = [
            service.serve(scene.request(f"{name}-{index}", repeatable=True, timeout=30))
            for name, service in scene.services.items()
            for index in range(40)
        ]
        await asyncio.gather(*work)
        highest = max(each.most_in_flight for each in scene.endpoints.values())
        self.assertThat(highest, LessThan(8 * (1 + SLOTS // 2) + 1))


class TestOverload(testtools.TestCase):
    @in_scene()
    async def test_small_team_is_served_before_a_large_one_floods(self, scene):
        for endpoint in scene.endpoints.values():
            endpoint.seconds = 0.5
        service = scene.services["entry-0"]
        flood = [
            asyncio.create_task(service.serve(scene.request(f"l{i}", True, "large")))
            for i in range(400)
        ]
        await asyncio.sleep(0.1)
        results = await asyncio.gather(
            *(service.serve(scene.request(f"s{i}", True)) for i in range(2))
        )
        self.assertThat({each.outcome for each in results}, Equals({Outcome.ANSWERED}))
        self.assertThat(scene.clock.now(), LessThan(1.1))
        shed = [each for each in await asyncio.gather(*flood) if each.outcome is Outcome.NOT_RUN]
        self.assertThat(len(shed), GreaterThan(200))

    @in_scene()
    async def test_shed_requests_are_answered_at_once(self, scene):
        for endpoint in scene.endpoints.values():
            endpoint.seconds = 2.0
        service = scene.services["entry-0"]
        flood = [
            asyncio.create_task(service.serve(scene.request(f"l{i}", True, "large")))
            for i in range(200)
        ]
        await asyncio.sleep(5)
        started_at = scene.clock.now()
        shed_after = []

        async def send(index: int):
            result = await service.serve(scene.request(f"m{index}", True, "large"))
            if result.outcome is Outcome.NOT_RUN:
                shed_after.append(scene.clock.now() - started_at)
            return result

        results = await asyncio.gather(*(send(index) for index in range(100)))
        await asyncio.gather(*flood)
        self.assertThat(statistics.median(shed_after), LessThan(0.1))
        shed = [each for each in results if each.outcome is Outcome.NOT_RUN]
        self.assertThat(shed, testtools.matchers.Not(HasLength(0)))
        self.assertThat(min(each.retry_after for each in shed), GreaterThan(0))

    @in_scene(endpoints=1)
    async def test_slot_granted_to_a_caller_that_leaves_is_given_back(self, scene):
        dispatcher = scene.services["entry-0"].executor.dispatcher
        leases = [await dispatcher.acquire("large", SERVICE, 9.0, set()) for _ in range(SLOTS)]
        waiting = asyncio.create_task(dispatcher.acquire("large", SERVICE, 9.0, set()))
        await asyncio.sleep(0.1)
        dispatcher.release(leases[0])
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertThat(dispatcher.board.in_flight(), Equals({"endpoint-0": SLOTS - 1}))

    @in_scene()
    async def test_goodput_recovers_after_a_burst(self, scene):
        """A burst of five times the capacity for 10 s leaves no backlog behind it."""
        service = scene.services["entry-0"]
        for endpoint in scene.endpoints.values():
            endpoint.seconds = 0.1
        capacity = len(scene.endpoints) * SLOTS / 0.1
        answered = []

        async def send(index: int):
            result = await service.serve(scene.request(f"r{index}", True, timeout=2.0))
            if result.outcome is Outcome.ANSWERED:
                answered.append(scene.clock.now())

        async def offer(rate: float, seconds: float):
            tasks = []
            for index in range(int(rate * seconds)):
                tasks.append(asyncio.create_task(send(index)))
                await asyncio.sleep(1 / rate)
            await asyncio.gather(*tasks)

        await offer(capacity * 5, 10.0)
        await asyncio.sleep(5)
        started_at, before = scene.clock.now(), len(answered)
        await offer(capacity * 0.9, 5.0)
        goodput = (len(answered) - before) / (scene.clock.now() - started_at)
        self.assertThat(goodput, GreaterThan(0.9 * capacity * 0.95))
