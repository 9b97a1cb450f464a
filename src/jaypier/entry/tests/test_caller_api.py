import asyncio
import json
import math
import random

import attrs
import pytest

from jaypier.core.metrics import Metrics
from jaypier.entry.caller_api import CallerApi
from jaypier.entry.watcher import ConfigurationWatcher
from jaypier.jobs.rows import (
    CANCELLATION_GUARD_SECONDS,
    JobRefused,
    JobTable,
    decode_job_row,
    decode_job_rows,
    decode_refusal,
)
from jaypier.platform import Condition, ConditionFailed, PlatformUnavailable, Put, Transaction
from jaypier.platform.model import Unreadable
from jaypier.platform.operators import StoreOperatorSource
from jaypier.scheduling.overload import ACCEPTED, Admission
from jaypier.wire.messages import HttpRequest
from standins.cluster import MemoryStore
from standins.protocol import encode_configuration
from standins.virtual_time import LoopClock, run_in_virtual_time

JOB = "0123456789abcdef"
BODY = json.dumps({"Spec": "text", "Phases": [{"Count": 2, "EstimatedMs": 500}]}).encode()


class CallerApiHarness:
    """Caller API on an in-memory store, in virtual time."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        self.store = store or MemoryStore(random.Random(1))
        self.clock = LoopClock(asyncio.get_running_loop())
        rng = random.Random(2)
        self.watcher = ConfigurationWatcher(StoreOperatorSource(self.store), self.clock, rng)
        self.is_isolated = False
        self.admission = ACCEPTED
        self.caller_api = CallerApi(
            self.watcher,
            JobTable(self.store),
            5.0,
            self.clock,
            Metrics(),
            rng,
            self.clock.now,
            lambda: self.is_isolated,
            lambda job, guaranteed: self.admission,
        )
        self.watch_task: asyncio.Task | None = None

    def configure(
        self, version: int = 1, keys: tuple[str, ...] = ("k1",), limit: dict | None = None
    ) -> None:
        value = encode_configuration(version, {"clinic": list(keys), "dairy": ["k9"]})
        value["Tenants"][0]["MaxValue"] = limit
        self.store.apply(Transaction(puts=[Put("op/config", value)]))

    async def start(self) -> None:
        self.configure()
        self.watch_task = asyncio.create_task(self.watcher.run())
        await asyncio.sleep(0.1)

    async def call(self, method: str, path: str, body: bytes = b"", key: str = "k1"):
        headers = [(b"host", b"desk.example"), (b"api-key", key.encode())]
        return await self.caller_api.handle(HttpRequest(method, path, headers, body))

    async def submit(self, job: str = JOB, body: bytes = BODY, key: str = "k1"):
        return await self.call("POST", f"/common/{job}", body, key)

    async def state(self, job: str = JOB):
        response = await self.call("GET", f"/common/{job}")
        return json.loads(response.body).get("State", response.status)


def run_scenario(scenario) -> None:
    async def run() -> None:
        harness = CallerApiHarness()
        await harness.start()
        try:
            await scenario(harness)
        finally:
            harness.watch_task.cancel()

    run_in_virtual_time(run())


class TestJobs:
    def test_job_is_stored_before_it_is_accepted(self):
        async def scenario(harness):
            assert (await harness.submit()).status == 200
            assert f"jobs/{JOB}" in harness.store.rows
            assert await harness.state() == "queued"

        run_scenario(scenario)

    def test_resubmitted_request_is_accepted_as_the_same_job(self):
        async def scenario(harness):
            assert [(await harness.submit()).status for _ in range(2)] == [200, 200]

        run_scenario(scenario)

    def test_different_request_with_the_same_id_is_refused(self):
        async def scenario(harness):
            await harness.submit()
            other = BODY.replace(b"text", b"other")
            assert (await harness.submit(body=other)).status == 409

        run_scenario(scenario)

    def test_unknown_job(self):
        async def scenario(harness):
            assert await harness.state() == 410
            assert (await harness.call("DELETE", f"/common/{JOB}")).status == 410

        run_scenario(scenario)

    def test_job_of_another_queue_is_not_shown(self):
        async def scenario(harness):
            await harness.submit()
            assert (await harness.call("GET", f"/urgent/{JOB}")).status == 410

        run_scenario(scenario)

    def test_only_the_job_s_team_cancels(self):
        async def scenario(harness):
            await harness.submit()
            path = f"/common/{JOB}"
            assert (await harness.call("DELETE", path, key="k9")).status == 403
            assert f"jobs/{JOB}-cancel" not in harness.store.rows
            assert (await harness.call("DELETE", path)).status == 200
            assert f"jobs/{JOB}-cancel" in harness.store.rows

        run_scenario(scenario)

    def test_bad_input_is_refused_and_stores_nothing(self):
        async def scenario(harness):
            assert (await harness.submit(body=b"{")).status == 400
            assert (await harness.submit(job="short")).status == 404
            assert (await harness.call("PUT", f"/common/{JOB}")).status == 405
            assert (await harness.call("GET", "/none/")).status == 404
            assert not [key for key in harness.store.rows if key.startswith("jobs/")]

        run_scenario(scenario)


class TestTeamLimits:
    GANG = json.dumps(
        {"Spec": "text", "Phases": [{"Count": 5, "Gpu": 1, "GangScheduled": True}]}
    ).encode()

    def test_job_that_can_never_fit_its_team_s_limit_is_refused_and_not_stored(self):
        async def scenario(harness):
            harness.configure(2, limit={"Gpu": 4})
            await asyncio.sleep(0.1)
            response = await harness.submit(body=self.GANG)
            assert response.status == 429
            reason = json.loads(response.body)["Error"]
            assert reason == (
                "not run: the limit of team 'clinic' is exceeded: "
                "step 0 needs 5 accelerators at once, and the limit is 4"
            )
            row = harness.store.rows[f"jobs/{JOB}"]
            assert decode_refusal(row.value) is not None
            assert decode_job_rows([row], row.version).accepted == []
            assert await harness.state() == 410

        run_scenario(scenario)

    def test_tasks_that_fit_one_after_another_are_accepted(self):
        async def scenario(harness):
            harness.configure(2, limit={"Gpu": 4})
            await asyncio.sleep(0.1)
            body = self.GANG.replace(b"true", b"false")
            assert (await harness.submit(body=body)).status == 200

        run_scenario(scenario)

    def test_other_team_is_not_limited(self):
        async def scenario(harness):
            harness.configure(2, limit={"Gpu": 4})
            await asyncio.sleep(0.1)
            assert (await harness.submit(body=self.GANG, key="k9")).status == 200

        run_scenario(scenario)

    def test_job_that_was_accepted_before_the_limit_was_lowered_stays_accepted(self):
        async def scenario(harness):
            assert (await harness.submit(body=self.GANG)).status == 200
            harness.configure(2, limit={"Gpu": 4})
            await asyncio.sleep(0.1)
            assert (await harness.submit(body=self.GANG)).status == 200
            assert (await harness.submit(body=self.GANG.replace(b"text", b"x"))).status == 409
            assert await harness.state() == "queued"

        run_scenario(scenario)

    def test_job_is_not_refused_for_its_size_while_the_store_cannot_tell_if_it_was_accepted(self):
        async def scenario(harness):
            harness.configure(2, limit={"Gpu": 4})
            await asyncio.sleep(0.1)
            harness.store.is_down = True
            assert (await harness.submit(body=self.GANG)).status == 503

        run_scenario(scenario)


class TestKeys:
    def test_unknown_key(self):
        async def scenario(harness):
            assert (await harness.submit(key="k2")).status == 401
            assert (await harness.submit(key="")).status == 401

        run_scenario(scenario)

    def test_removed_key_is_refused_within_a_tenth_of_a_second(self):
        async def scenario(harness):
            harness.configure(2, ("k2",))
            await asyncio.sleep(0.1)
            assert (await harness.submit(key="k1")).status == 401
            assert (await harness.submit(key="k2")).status == 200

        run_scenario(scenario)

    def test_removed_key_is_refused_after_a_restart(self):
        async def scenario(harness):
            harness.configure(2, ("k2",))
            await asyncio.sleep(0.1)
            restarted = CallerApiHarness(harness.store)
            restarted.watch_task = asyncio.create_task(restarted.watcher.run())
            assert (await restarted.submit(key="k1")).status == 503
            await asyncio.sleep(0.1)
            assert (await restarted.submit(key="k1")).status == 401
            assert (await restarted.submit(key="k2")).status == 200
            restarted.watch_task.cancel()

        run_scenario(scenario)

    def test_older_configuration_is_ignored(self):
        async def scenario(harness):
            harness.configure(5, ("k2",))
            await asyncio.sleep(0.1)
            harness.configure(4, ("k1",))
            await asyncio.sleep(0.1)
            assert (await harness.submit(key="k1")).status == 401

        run_scenario(scenario)

    def test_keys_are_refused_while_the_store_is_unreachable(self):
        async def scenario(harness):
            harness.store.is_down = True
            await asyncio.sleep(4.3)
            response = await harness.submit()
            assert response.status == 503
            assert response.header(b"retry-after") == "1"
            await asyncio.sleep(0.5)
            harness.store.is_down = False
            await asyncio.sleep(0.5)
            assert (await harness.submit()).status == 200

        run_scenario(scenario)


class TestStoreFaults:
    def test_refusal_in_an_outage_is_early_and_has_no_effect(self):
        async def scenario(harness):
            harness.store.is_down = True
            began = harness.clock.now()
            response = await harness.submit()
            assert response.status == 503
            assert harness.clock.now() - began < 1.0
            harness.store.is_down = False
            await asyncio.sleep(10.0)
            assert f"jobs/{JOB}" not in harness.store.rows

        run_scenario(scenario)

    def test_lost_store_response_is_retried(self):
        async def scenario(harness):
            harness.store.lost_response_probability = 0.6
            statuses = [(await harness.submit(job=f"{n:016x}")).status for n in range(20)]
            assert set(statuses) <= {200, 504}
            for number, status in enumerate(statuses):
                if status == 200:
                    assert f"jobs/{number:016x}" in harness.store.rows

        run_scenario(scenario)

    def test_late_write_is_not_reported_as_not_run(self):
        async def scenario(harness):
            harness.store.lost_response_probability, harness.store.max_commit_delay_seconds = (
                1.0,
                6.0,
            )
            assert (await harness.submit()).status == 504
            await asyncio.sleep(7.0)
            assert f"jobs/{JOB}" in harness.store.rows

        run_scenario(scenario)

    def test_pending_count_is_read_from_the_leader_s_row(self):
        async def scenario(harness):
            puts = [Put("queues/pending", {"desk.example/common/": 3})]
            harness.store.apply(Transaction(puts=puts))
            response = await harness.call("GET", "/common/")
            assert json.loads(response.body) == {"Pending": 3}

        run_scenario(scenario)


class TestIsolation:
    """A VM that reaches neither the store nor other VMs, while those serve callers."""

    def test_request_is_refused_at_once_and_may_go_to_another_vm_at_once(self):
        async def scenario(harness):
            harness.store.is_down = harness.is_isolated = True
            began = harness.clock.now()
            response = await harness.submit()
            assert (response.status, response.header(b"retry-after")) == (503, "0")
            assert harness.clock.now() == began
            harness.store.is_down = False
            await asyncio.sleep(10.0)
            assert f"jobs/{JOB}" not in harness.store.rows

        run_scenario(scenario)

    def test_request_in_progress_is_not_retried(self):
        async def scenario(harness):
            harness.store.is_down = True
            request = asyncio.create_task(harness.submit())
            await asyncio.sleep(0.2)
            began, harness.is_isolated = harness.clock.now(), True
            assert (await request).status == 503
            assert harness.clock.now() - began < 0.2

        run_scenario(scenario)

    def test_write_whose_response_was_lost_is_not_called_not_run(self):
        async def scenario(harness):
            harness.store.lost_response_probability = 1.0
            request = asyncio.create_task(harness.submit())
            await asyncio.sleep(0.001)
            harness.is_isolated = True
            response = await request
            assert response.status == 504
            assert f"jobs/{JOB}" in harness.store.rows

        run_scenario(scenario)

    def test_whole_outage_asks_callers_to_wait(self):
        async def scenario(harness):
            harness.store.is_down = True
            assert (await harness.submit()).header(b"retry-after") == "1"

        run_scenario(scenario)


class TestSizes:
    def test_job_larger_than_a_row_is_refused(self):
        async def scenario(harness):
            steps = [
                {"Count": 3, "Gpu": 1, "Cpu": 1000 + number, "EstimatedMs": 500, "MemMb": 77}
                for number in range(1000)
            ]
            response = await harness.submit(body=json.dumps({"Phases": steps}).encode())
            assert response.status == 413
            assert "split it" in json.loads(response.body)["Error"]
            assert await harness.state() == 410

        run_scenario(scenario)

    def test_job_of_several_hundred_steps_is_accepted(self):
        async def scenario(harness):
            steps = [{"Count": 3, "Gpu": 1, "EstimatedMs": 500} for _ in range(400)]
            response = await harness.submit(body=json.dumps({"Phases": steps}).encode())
            assert response.status == 200

        run_scenario(scenario)


class TestCancellationOfUnknownJobs:
    """The answer "no such job" to a cancellation holds for requests that are still under way."""

    async def cancel(self, harness, job: str = JOB):
        return await harness.call("DELETE", f"/common/{job}")

    async def delayed_write(self, harness) -> Transaction:
        """Return the write of a request for a job that the store carries out late."""
        await harness.submit("f" * 16)
        value = {**harness.store.rows["jobs/" + "f" * 16].value, "id": JOB}
        return Transaction([Condition(f"jobs/{JOB}", 0)], [Put(f"jobs/{JOB}", value)])

    def test_delayed_write_of_the_job_has_no_effect(self):
        # Regression (UNASKED): a job ran after its cancellation had been answered with 410, as the
        # store carried out the write of its submission late.
        async def scenario(harness):
            delayed = await self.delayed_write(harness)
            assert (await self.cancel(harness)).status == 410
            with pytest.raises(ConditionFailed):
                await harness.store.commit(delayed)
            assert await harness.state() == 410

        run_scenario(scenario)

    def test_delayed_write_over_an_earlier_refusal_has_no_effect(self):
        async def scenario(harness):
            delayed = await self.delayed_write(harness)
            harness.admission = Admission(True, "expected wait too long", 30.0, 2.0, 0.5, 7)
            await harness.submit()
            version = harness.store.rows[f"jobs/{JOB}"].version
            await asyncio.sleep(1.0)
            delayed = Transaction([Condition(f"jobs/{JOB}", version)], delayed.puts)
            assert (await self.cancel(harness)).status == 410
            with pytest.raises(ConditionFailed):
                await harness.store.commit(delayed)

        run_scenario(scenario)

    def test_request_that_arrives_soon_after_is_refused_and_a_later_one_is_accepted(self):
        async def scenario(harness):
            assert (await self.cancel(harness)).status == 410
            await asyncio.sleep(CANCELLATION_GUARD_SECONDS / 2)
            response = await harness.submit()
            assert response.status == 429
            seconds = int(dict(response.headers)[b"retry-after"])
            assert 1 < seconds <= CANCELLATION_GUARD_SECONDS
            await asyncio.sleep(seconds)
            assert (await harness.submit()).status == 200
            assert await harness.state() == "queued"

        run_scenario(scenario)

    def test_refusal_of_a_late_request_does_not_end_the_guard(self):
        async def scenario(harness):
            await self.cancel(harness)
            harness.admission = Admission(True, "expected wait too long", 30.0, 2.0, 0.5, 7)
            await asyncio.sleep(1.0)
            assert (await harness.submit()).status == 429
            harness.admission = ACCEPTED
            await asyncio.sleep(1.0)
            assert (await harness.submit()).status == 429

        run_scenario(scenario)

    def test_job_that_is_stored_meanwhile_is_cancelled(self):
        async def scenario(harness):
            delayed = await self.delayed_write(harness)
            commit = harness.store.commit

            async def commit_after_delayed_write(transaction):
                harness.store.commit = commit
                await commit(delayed)
                return await commit(transaction)

            harness.store.commit = commit_after_delayed_write
            assert (await self.cancel(harness)).status == 200
            assert f"jobs/{JOB}-cancel" in harness.store.rows

        run_scenario(scenario)

    def test_repeated_cancellation_writes_nothing(self):
        async def scenario(harness):
            await self.cancel(harness)
            version = harness.store.version
            for _ in range(5):
                assert (await self.cancel(harness)).status == 410
            assert harness.store.version == version

        run_scenario(scenario)

    def test_no_answer_is_final_while_the_store_does_not_answer(self):
        async def scenario(harness):
            harness.store.is_down = True
            assert (await self.cancel(harness)).status == 503
            harness.store.is_down = False

            async def commit_without_effect(transaction):
                raise PlatformUnavailable("store: no answer", effect_unknown=True)

            harness.store.commit = commit_without_effect
            assert (await self.cancel(harness)).status == 504

        run_scenario(scenario)


class TestOverload:
    """A refusal says that a job never runs, so no request for it may store it afterwards."""

    REFUSED = Admission(True, "expected wait too long", 30.0, 2.0, 0.5, 7)

    def test_refused_job_is_unknown_and_never_runs(self):
        async def scenario(harness):
            harness.admission = self.REFUSED
            response = await harness.submit()
            assert response.status == 429
            assert (b"retry-after", b"7") in response.headers
            assert await harness.state() == 410
            assert decode_job_rows(list(harness.store.rows.values()), 1).accepted == []

        run_scenario(scenario)

    def test_job_that_can_never_be_served_has_no_retry_after(self):
        async def scenario(harness):
            harness.admission = Admission(True, "no worker is large enough")
            response = await harness.submit()
            assert response.status == 429
            assert not any(name == b"retry-after" for name, _ in response.headers)

        run_scenario(scenario)

    def test_accepted_job_is_not_refused_when_it_arrives_again(self):
        async def scenario(harness):
            assert (await harness.submit()).status == 200
            harness.admission = self.REFUSED
            assert (await harness.submit()).status == 200
            assert await harness.state() == "queued"

        run_scenario(scenario)

    def test_earlier_request_does_not_store_the_job_after_a_refusal(self):
        """The first request waits at another VM, which reaches the store late."""

        async def scenario(harness):
            await harness.submit("f" * 16)
            job = decode_job_row(harness.store.rows["jobs/" + "f" * 16])
            received_at = harness.store.store_time()
            await asyncio.sleep(0.1)
            harness.admission = self.REFUSED
            await harness.submit()
            with pytest.raises(JobRefused):
                await JobTable(harness.store).accept(attrs.evolve(job, id=JOB), received_at)
            assert await harness.state() == 410

        run_scenario(scenario)

    def test_delayed_write_of_an_earlier_request_has_no_effect(self):
        async def scenario(harness):
            await harness.submit("f" * 16)
            value = {**harness.store.rows["jobs/" + "f" * 16].value, "id": JOB}
            delayed = Transaction([Condition(f"jobs/{JOB}", 0)], [Put(f"jobs/{JOB}", value)])
            harness.admission = self.REFUSED
            await harness.submit()
            with pytest.raises(ConditionFailed):
                await harness.store.commit(delayed)

        run_scenario(scenario)

    def test_caller_that_returns_is_accepted(self):
        async def scenario(harness):
            harness.admission = self.REFUSED
            assert (await harness.submit()).status == 429
            harness.admission = ACCEPTED
            await asyncio.sleep(1.0)
            assert (await harness.submit()).status == 200
            assert await harness.state() == "queued"

        run_scenario(scenario)

    def test_refusal_whose_response_is_lost_is_repeated(self):
        async def scenario(harness):
            harness.admission = self.REFUSED
            harness.store.lost_response_probability = 1.0
            task = asyncio.create_task(harness.submit())
            await asyncio.sleep(0.3)
            harness.store.lost_response_probability = 0.0
            assert (await task).status == 429
            assert await harness.state() == 410

        run_scenario(scenario)

    def test_nothing_is_refused_for_good_while_the_store_is_down(self):
        async def scenario(harness):
            harness.admission = self.REFUSED
            harness.store.is_down = True
            response = await harness.submit()
            harness.store.is_down = False
            assert response.status in (503, 504)
            assert f"jobs/{JOB}" not in harness.store.rows

        run_scenario(scenario)

    def test_refusal_is_forgotten_unless_the_job_was_accepted_since(self):
        async def scenario(harness):
            table, key = JobTable(harness.store), f"jobs/{JOB}"
            harness.admission = self.REFUSED
            await harness.submit()
            version = harness.store.rows[key].version
            await table.forget_refusals({JOB: version})
            assert await table.find(JOB) is None
            await harness.submit()
            version = harness.store.rows[key].version
            harness.admission = ACCEPTED
            await asyncio.sleep(1.0)
            await harness.submit()
            await table.forget_refusals({JOB: version})
            assert await harness.state() == "queued"

        run_scenario(scenario)


ODD_VALUES = [Unreadable("not JSON"), 7, [], {"queue": "x", "status": "odd"}, {"id": {}}]


class TestOddRows:
    @pytest.mark.parametrize("value", ODD_VALUES)
    @pytest.mark.parametrize("key", [f"progress/{JOB}", f"jobs/{JOB}"])
    def test_state_of_a_job_is_not_guessed_from_an_odd_row(self, key, value):
        # Regression: it was "queued" by unreadable progress, and unknown by an unreadable row.
        async def scenario(harness):
            assert (await harness.submit()).status == 200
            harness.store.apply_from_operator(Transaction(puts=[Put(key, value)]))
            response = await harness.call("GET", f"/common/{JOB}")
            assert response.status == 500
            assert harness.caller_api.metrics.counters["front.unreadable_rows"] == 1

        run_scenario(scenario)

    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_odd_row_of_a_job_is_neither_accepted_nor_refused(self, value):
        async def scenario(harness):
            odd = Transaction(puts=[Put(f"jobs/{JOB}", value)])
            harness.store.apply_from_operator(odd)
            assert (await harness.submit()).status == 500
            assert (await harness.call("DELETE", f"/common/{JOB}")).status == 500

        run_scenario(scenario)

    @pytest.mark.parametrize("value", [*ODD_VALUES, {"a": math.inf}, {"a": []}])
    def test_odd_numbers_of_pending_jobs_are_no_answer(self, value):
        async def scenario(harness):
            odd = Transaction(puts=[Put("queues/pending", value)])
            harness.store.apply_from_operator(odd)
            assert (await harness.call("GET", "/common/")).status == 500

        run_scenario(scenario)
