import asyncio
import math

import pytest

from jaypier.core.codec import encoded_size
from jaypier.jobs.learned import (
    LEARNED_KEY,
    MAX_AGE_SECONDS,
    MIN_INTERVAL_SECONDS,
    LearnedState,
)
from jaypier.jobs.model import JobStatus
from jaypier.jobs.tests.builders import make_job, make_step, run_scenario
from jaypier.platform import Put, Row, Transaction
from jaypier.scheduling.learned_section import LearnedSection

MAX_BYTES = 65536


class Numbers(LearnedSection):
    """A section that holds numbers by name."""

    def __init__(self, **values: float) -> None:
        self.values = values

    def to_record(self):
        return dict(self.values)

    def restore(self, record):
        self.values = {str(name): float(value) for name, value in record.items()}


def nested(levels: int) -> list:
    value: list = []
    for _ in range(levels):
        value = [value]
    return value


ODD_NUMBERS = [
    int(400 * "9"), 1e300, -1e300, math.inf, math.nan, 1e6, "1", "x", None, [], nested(300)
]  # fmt: skip
"""Values that another writer may leave where a number is expected."""


def make_row(**values: float) -> dict:
    """Return the value of a row that was written at Unix time 1000."""
    learned = LearnedState({"numbers": Numbers(**values)})
    return learned.due_puts(0.0, 1000.0, MAX_BYTES)[0].value


def restore(value, wall_time: float = 1000.0) -> dict:
    """Return what a new leader knows after it has read a row."""
    section = Numbers()
    LearnedState({"numbers": section}).restore(value, 0.0, wall_time)
    return section.values


class TestWrites:
    def test_unchanged_state_is_not_written_again(self):
        learned = LearnedState({"numbers": Numbers(a=1.0)})
        assert len(learned.due_puts(0.0, 1000.0, MAX_BYTES)) == 1
        assert learned.due_puts(60.0, 1060.0, MAX_BYTES) == []

    def test_changes_are_written_at_most_once_in_the_interval(self):
        section = Numbers()
        learned = LearnedState({"numbers": section})
        written = 0
        for step in range(1000):
            section.values["a"] = step
            written += len(learned.due_puts(0.1 * step, 1000.0, MAX_BYTES))
        assert written == math.ceil(100.0 / MIN_INTERVAL_SECONDS)

    def test_nothing_is_written_before_anything_is_known(self):
        assert LearnedState({"numbers": Numbers()}).due_puts(0.0, 1000.0, MAX_BYTES) == []

    def test_row_is_written_again_before_it_is_too_old(self):
        learned = LearnedState({"numbers": Numbers(a=1.0)})
        learned.due_puts(0.0, 1000.0, MAX_BYTES)
        assert learned.due_puts(0.6 * MAX_AGE_SECONDS, 1000.0, MAX_BYTES)

    def test_section_that_does_not_fit_is_left_out(self):
        large = Numbers(**{f"name-{number}": number for number in range(10_000)})
        learned = LearnedState({"large": large, "small": Numbers(a=1.0)})
        value = learned.due_puts(0.0, 1000.0, MAX_BYTES)[0].value
        assert value["sections"] == {"small": {"a": 1.0}}
        assert encoded_size(value) <= MAX_BYTES


class TestRestoring:
    def test_next_leader_knows_the_same(self):
        assert restore(make_row(a=1.0)) == {"a": 1.0}

    def test_restored_state_is_not_written_again(self):
        learned = LearnedState({"numbers": Numbers()})
        learned.restore(make_row(a=1.0), 0.0, 1010.0)
        assert learned.due_puts(0.0, 1010.0, MAX_BYTES) == []

    def test_old_row_is_dropped(self):
        assert restore(make_row(a=1.0), 1000.0 + MAX_AGE_SECONDS + 1) == {}

    @pytest.mark.parametrize("error", [-5.0, 5.0])
    def test_clocks_of_vms_may_differ(self, error):
        assert restore(make_row(a=1.0), 1000.0 + error) == {"a": 1.0}

    def test_row_of_another_version_is_dropped(self):
        assert restore(make_row(a=1.0) | {"version": 2}) == {}

    @pytest.mark.parametrize(
        "value",
        [
            None, 7, "text", [], {}, {"version": 1}, {"version": 1, "written_at": "x"},
            {"version": 1, "written_at": 1000.0, "sections": 7},
            {"version": 1, "written_at": 1000.0, "sections": {"numbers": 7}},
            {"version": 1, "written_at": 1000.0, "sections": {"numbers": {"a": "x"}}},
            {"version": 1, "written_at": math.nan, "sections": {"numbers": {"a": 1.0}}},
            {"version": 1, "written_at": int(400 * "9"), "sections": {"numbers": {"a": 1.0}}},
            {"version": nested(900), "written_at": 1000.0, "sections": {"numbers": {"a": 1.0}}},
            {"version": nested(200_000), "written_at": 1000.0, "sections": {"numbers": {}}},
            {"version": 1, "written_at": 1000.0, "sections": {"numbers": {"a": nested(200_000)}}},
            {"version": 1, "written_at": 1000.0, "sections": {"numbers": {"a": int(400 * "9")}}},
        ],
    )  # fmt: skip
    def test_damaged_row_is_dropped(self, value):
        assert restore(value) == {}

    def test_damaged_section_leaves_the_others(self):
        row = make_row(a=1.0)
        row["sections"]["other"] = 7
        first, other = Numbers(), Numbers(b=2.0)
        LearnedState({"numbers": first, "other": other}).restore(row, 0.0, 1000.0)
        assert first.values == {"a": 1.0}
        assert other.values == {"b": 2.0}

    def test_section_of_another_build_is_ignored(self):
        row = make_row(a=1.0)
        row["sections"]["unknown"] = {"x": 1}
        assert restore(row) == {"a": 1.0}


class TestTakeover:
    """Workers of half the speed: estimates are off by a factor of 2 for all jobs."""

    def slow_down(self, harness) -> None:
        for worker in harness.cluster.workers.values():
            worker.speed = 0.5

    async def learn(self, harness, jobs: int = 12) -> None:
        """Run jobs until the row has been written."""
        self.slow_down(harness)
        for _ in range(jobs):
            harness.cluster.submit(make_job(make_step(count=4, seconds=1.5)))
        await harness.wait_until(lambda: LEARNED_KEY in harness.store.rows, 40)

    async def replace_leader(self, harness):
        """Kill the leader; return the next one once it has loaded its state."""
        await harness.kill(harness.leader_name)
        await harness.wait_until(lambda: harness.leader_name is not None, 10)
        leader = harness.leaders[harness.leader_name]
        await harness.wait_until(lambda: leader.is_loaded, 10)
        return leader

    def expected_seconds(self, leader) -> float:
        """Return the expected duration of a task of the queue that is estimated at 1.5 s."""
        state = leader.cluster_state.add_job(make_job(make_step(seconds=1.5)))
        return state.steps[0].expected_seconds

    def test_next_leader_expects_what_the_last_one_had_learned(self):
        async def scenario(harness):
            await self.learn(harness)
            for _ in range(6):
                harness.cluster.submit(make_job(make_step(count=4, seconds=1.5)))
            await asyncio.sleep(1.0)
            leader = await self.replace_leader(harness)
            assert self.expected_seconds(leader) > 1.5 * 1.4

        run_scenario(scenario)

    @pytest.mark.parametrize(
        "value", [7, {"version": 0}, {"version": 1, "written_at": 0, "sections": {"durations": 3}}]
    )
    def test_next_leader_starts_from_estimates_after_a_damaged_row(self, value):
        async def scenario(harness):
            await self.learn(harness)
            row = harness.store.rows[LEARNED_KEY]
            harness.store.rows[LEARNED_KEY] = Row(LEARNED_KEY, value, row.version)
            leader = await self.replace_leader(harness)
            assert self.expected_seconds(leader) == 1.5
            job = make_job(make_step(seconds=0.5))
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 60)

        run_scenario(scenario)

    @pytest.mark.parametrize("number", ODD_NUMBERS)
    def test_odd_number_in_a_section_neither_ends_a_leader_nor_leaves_out_a_job(self, number):
        # Regression (LOST): jobs were left out, or each write of the leader ended its leadership.
        queue = make_job(make_step()).queue
        fits = [[number if i == k else 9.0 for i in range(6)] for k in range(6)]
        records = [
            *({"durations": {queue: fit}} for fit in fits),
            {"speeds": {"worker-00": number}},
            {"shares": {"clinic": [number, 1.0]}},
            {"shares": {"clinic": [1.0, number], "dairy": [number, number]}},
        ]

        async def scenario(harness):
            for sections in records:
                job = make_job(make_step(seconds=0.5))
                harness.cluster.submit(job)
                await harness.wait_status(job, JobStatus.COMPLETED, 60)
                value = {"version": 1, "written_at": harness.clock.now(), "sections": sections}
                harness.store.apply_from_operator(Transaction(puts=[Put(LEARNED_KEY, value)]))
                leader = await self.replace_leader(harness)
                harness.start_daemon("vm-a" if harness.leader_name == "vm-b" else "vm-b")
                job = make_job(make_step(seconds=0.5))
                harness.cluster.submit(job)
                await harness.wait_status(job, JobStatus.COMPLETED, 20)
                await asyncio.sleep(2 * MIN_INTERVAL_SECONDS)
                assert harness.leaders[harness.leader_name] is leader
                assert "leader.plan_failures" not in leader.metrics.counters

        run_scenario(scenario)

    def test_lost_responses_delay_the_row(self):
        async def scenario(harness):
            harness.store.lost_response_probability = 0.5
            await self.learn(harness)
            harness.store.lost_response_probability = 0.0
            leader = await self.replace_leader(harness)
            assert self.expected_seconds(leader) > 1.5 * 1.2

        run_scenario(scenario)

    def test_row_is_written_rarely(self):
        async def scenario(harness):
            await self.learn(harness, jobs=30)
            versions = set()
            end = harness.clock.now() + 20.0
            while harness.clock.now() < end:
                versions.add(harness.store.rows[LEARNED_KEY].version)
                await asyncio.sleep(0.1)
            assert len(versions) <= 1 + 20.0 / MIN_INTERVAL_SECONDS

        run_scenario(scenario)
