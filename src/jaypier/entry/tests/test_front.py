import asyncio
import json
import random

from jaypier.core.metrics import Metrics
from jaypier.entry.front import Front
from jaypier.entry.keeper import ConfigurationKeeper
from jaypier.jobs.rows import JobTable
from jaypier.platform import Put, Transaction
from jaypier.platform.operators import StoreOperatorSource
from jaypier.wire.messages import HttpRequest
from standins.cluster import MemoryStore
from standins.protocol import encode_configuration
from standins.virtual_time import LoopClock, run_in_virtual_time

JOB = "0123456789abcdef"
BODY = json.dumps({"Spec": "text", "Phases": [{"Count": 2, "EstimatedMs": 500}]}).encode()


class FrontBench:
    """A front on a store in memory, in virtual time."""

    def __init__(self) -> None:
        self.store = MemoryStore(random.Random(1))
        self.clock = LoopClock(asyncio.get_running_loop())
        rng = random.Random(2)
        self.keeper = ConfigurationKeeper(StoreOperatorSource(self.store), self.clock, rng)
        self.front = Front(
            self.keeper, JobTable(self.store), 5.0, self.clock, Metrics(), rng, self.clock.now
        )
        self.keeping: asyncio.Task | None = None

    def configure(self, version: int = 1, keys: tuple[str, ...] = ("k1",)) -> None:
        value = encode_configuration(version, {"clinic": list(keys), "dairy": ["k9"]})
        self.store.apply(Transaction(puts=[Put("op/config", value)]))

    async def start(self) -> None:
        self.configure()
        self.keeping = asyncio.create_task(self.keeper.run())
        await asyncio.sleep(0.1)

    async def call(self, method: str, path: str, body: bytes = b"", key: str = "k1"):
        headers = [(b"host", b"desk.example"), (b"api-key", key.encode())]
        return await self.front.handle(HttpRequest(method, path, headers, body))

    async def submit(self, job: str = JOB, body: bytes = BODY, key: str = "k1"):
        return await self.call("POST", f"/common/{job}", body, key)

    async def state(self, job: str = JOB):
        response = await self.call("GET", f"/common/{job}")
        return json.loads(response.body).get("State", response.status)


def play(scenario) -> None:
    async def run() -> None:
        bench = FrontBench()
        await bench.start()
        try:
            await scenario(bench)
        finally:
            bench.keeping.cancel()

    run_in_virtual_time(run())


class TestJobs:
    def test_job_is_stored_before_it_is_accepted(self):
        async def scenario(bench):
            assert (await bench.submit()).status == 200
            assert f"jobs/{JOB}" in bench.store.rows
            assert await bench.state() == "queued"

        play(scenario)

    def test_same_request_again_is_the_same_job(self):
        async def scenario(bench):
            assert [(await bench.submit()).status for _ in range(2)] == [200, 200]

        play(scenario)

    def test_other_request_under_the_same_identity_is_refused(self):
        async def scenario(bench):
            await bench.submit()
            other = BODY.replace(b"text", b"other")
            assert (await bench.submit(body=other)).status == 409

        play(scenario)

    def test_unknown_job(self):
        async def scenario(bench):
            assert await bench.state() == 410
            assert (await bench.call("DELETE", f"/common/{JOB}")).status == 410

        play(scenario)

    def test_job_of_another_queue_is_not_shown(self):
        async def scenario(bench):
            await bench.submit()
            assert (await bench.call("GET", f"/urgent/{JOB}")).status == 410

        play(scenario)

    def test_only_the_job_s_team_cancels(self):
        async def scenario(bench):
            await bench.submit()
            path = f"/common/{JOB}"
            assert (await bench.call("DELETE", path, key="k9")).status == 403
            assert f"jobs/{JOB}-cancel" not in bench.store.rows
            assert (await bench.call("DELETE", path)).status == 200
            assert f"jobs/{JOB}-cancel" in bench.store.rows

        play(scenario)

    def test_bad_input_is_refused_and_stores_nothing(self):
        async def scenario(bench):
            assert (await bench.submit(body=b"{")).status == 400
            assert (await bench.submit(job="short")).status == 404
            assert (await bench.call("PUT", f"/common/{JOB}")).status == 405
            assert (await bench.call("GET", "/none/")).status == 404
            assert not [key for key in bench.store.rows if key.startswith("jobs/")]

        play(scenario)


class TestKeys:
    def test_unknown_key(self):
        async def scenario(bench):
            assert (await bench.submit(key="k2")).status == 401
            assert (await bench.submit(key="")).status == 401

        play(scenario)

    def test_removed_key_is_refused_within_two_seconds(self):
        async def scenario(bench):
            bench.configure(2, ("k2",))
            await asyncio.sleep(0.1)
            assert (await bench.submit(key="k1")).status == 401
            assert (await bench.submit(key="k2")).status == 200

        play(scenario)

    def test_older_configuration_never_comes_back(self):
        async def scenario(bench):
            bench.configure(5, ("k2",))
            await asyncio.sleep(0.1)
            bench.configure(4, ("k1",))
            await asyncio.sleep(0.1)
            assert (await bench.submit(key="k1")).status == 401

        play(scenario)

    def test_keys_are_not_trusted_without_the_store(self):
        async def scenario(bench):
            bench.store.is_down = True
            await asyncio.sleep(4.3)
            response = await bench.submit()
            assert response.status == 503
            assert response.header(b"retry-after") == "1"
            await asyncio.sleep(0.5)
            bench.store.is_down = False
            await asyncio.sleep(0.5)
            assert (await bench.submit()).status == 200

        play(scenario)


class TestStoreTroubles:
    def test_refusal_in_an_outage_is_early_and_true(self):
        async def scenario(bench):
            bench.store.is_down = True
            began = bench.clock.now()
            response = await bench.submit()
            assert response.status == 503
            assert bench.clock.now() - began < 1.0
            bench.store.is_down = False
            await asyncio.sleep(10.0)
            assert f"jobs/{JOB}" not in bench.store.rows

        play(scenario)

    def test_lost_answer_is_asked_for_again(self):
        async def scenario(bench):
            bench.store.lost_response_probability = 0.6
            statuses = [(await bench.submit(job=f"{n:016x}")).status for n in range(20)]
            assert set(statuses) <= {200, 504}
            for number, status in enumerate(statuses):
                if status == 200:
                    assert f"jobs/{number:016x}" in bench.store.rows

        play(scenario)

    def test_late_write_is_never_called_not_run(self):
        async def scenario(bench):
            bench.store.lost_response_probability, bench.store.max_commit_delay_seconds = 1.0, 6.0
            assert (await bench.submit()).status == 504
            await asyncio.sleep(7.0)
            assert f"jobs/{JOB}" in bench.store.rows

        play(scenario)

    def test_pending_is_that_of_the_leader(self):
        async def scenario(bench):
            puts = [Put("queues/pending", {"desk.example/common/": 3})]
            bench.store.apply(Transaction(puts=puts))
            response = await bench.call("GET", "/common/")
            assert json.loads(response.body) == {"Pending": 3}

        play(scenario)


class TestSizes:
    def test_job_that_does_not_fit_a_row_is_refused_clearly(self):
        async def scenario(bench):
            steps = [
                {"Count": 3, "Gpu": 1, "Cpu": 1000 + number, "EstimatedMs": 500, "MemMb": 77}
                for number in range(1000)
            ]
            response = await bench.submit(body=json.dumps({"Phases": steps}).encode())
            assert response.status == 413
            assert "split it" in json.loads(response.body)["Error"]
            assert await bench.state() == 410

        play(scenario)

    def test_job_of_several_hundred_steps_is_accepted(self):
        async def scenario(bench):
            steps = [{"Count": 3, "Gpu": 1, "EstimatedMs": 500} for _ in range(400)]
            response = await bench.submit(body=json.dumps({"Phases": steps}).encode())
            assert response.status == 200

        play(scenario)
