import asyncio
import math
import random

import attrs
import pytest

from jaypier.core.codec import encoded_size, from_plain
from jaypier.jobs.election import LEADER_KEY, Election, LeaderRecord
from jaypier.jobs.fenced_writer import FencedWriter
from jaypier.jobs.model import Resources, Step
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step
from jaypier.jobs.tests.load_player import LATE_MULTIPLE, LoadPlayer
from jaypier.jobs.tests.uneven_loads import PROCESSOR_BOUND, scaled_to
from jaypier.jobs.valuation import ValueSettings
from jaypier.scheduling.overload import (
    MAX_SUMMARY_AGE_SECONDS,
    LoadSummary,
    OverloadDetector,
    OverloadSettings,
    PoolLoad,
    decide_admission,
    decode_summary,
    encode_summary,
)
from standins.cluster import MemoryStore
from standins.virtual_time import LoopClock, run_in_virtual_time

REFUSING = OverloadSettings(refuses=True, begins_at=10.0)

CAPACITY = (64000, 131072, 8)

MAX_ENCODED_BYTES = 200
"""Every daemon reads each version of the leader's row, and bytes of the store are limited."""


def nested(levels: int) -> list:
    value: list = []
    for _ in range(levels):
        value = [value]
    return value


def overload(*waits: tuple[float, float], capacity=CAPACITY) -> LoadSummary:
    return LoadSummary({"desk": PoolLoad(waits, (capacity,))})


def decide(job, summary, age: float = 0.5, guaranteed: int = 0, spread: float = 0.0):
    return decide_admission(job, summary, age, guaranteed, ValueSettings(), spread)


def make_short_job(**values):
    """Return a job of 2 s whose objective is 4 s: it is worthless after 12 s."""
    return make_job(make_step(accelerators=8), slack_factor=1.5, **values)


def make_detector(queued: int, settings: OverloadSettings = REFUSING):
    """Return a detector and the state of a cluster of two workers with queued jobs of 2 s."""
    cluster_state = make_cluster_state(2)
    planner = make_planner(
        cluster_state, *(make_job(make_step(accelerators=8)) for _ in range(queued))
    )
    return OverloadDetector(settings, planner.valuation), cluster_state


def summarize(detector, cluster_state, jobs: int | None = None):
    states = list(cluster_state.jobs.values())[:jobs]
    return detector.summarize(states, list(cluster_state.workers.values()), 0.0, 0.0)


class TestSummary:
    def test_wait_is_the_queued_work_by_the_room(self):
        summary = summarize(*make_detector(20))
        assert summary.pools["desk"].waits[-1][1] == pytest.approx(20.0)

    def test_nothing_is_told_while_calm_or_switched_off(self):
        assert summarize(*make_detector(9)) is None
        assert summarize(*make_detector(20, OverloadSettings())) is None

    def test_overload_ends_at_half_of_the_wait_at_which_it_began(self):
        detector, cluster_state = make_detector(10)
        assert summarize(detector, cluster_state, 9) is None
        assert summarize(detector, cluster_state, 10) is not None
        assert summarize(detector, cluster_state, 6) is not None
        assert summarize(detector, cluster_state, 4) is None
        assert summarize(detector, cluster_state, 9) is None

    def test_work_that_is_worth_nothing_is_not_ahead(self):
        detector, cluster_state = make_detector(20)
        states, workers = cluster_state.jobs.values(), cluster_state.workers.values()
        assert detector.summarize(states, workers, 0.0, 1000.0) is None

    def test_summary_of_a_long_queue_is_small(self):
        cluster_state = make_cluster_state(2)
        rng = random.Random(1)
        jobs = [
            make_job(
                make_step(accelerators=8, seconds=rng.uniform(1, 60)), priority=rng.randrange(3)
            )
            for _ in range(600)
        ]
        planner = make_planner(cluster_state, *jobs)
        summary = summarize(OverloadDetector(REFUSING, planner.valuation), cluster_state)
        assert encoded_size(encode_summary(summary)) <= MAX_ENCODED_BYTES
        assert decode_summary(encode_summary(summary)) == summary


class TestAdmission:
    def test_job_that_certainly_ends_too_late_is_refused(self):
        admission = decide(make_short_job(), overload((100.0, 60.0)))
        assert admission.is_refused
        assert admission.retry_after > 0

    def test_job_that_may_end_before_it_is_worthless_is_accepted(self):
        assert not decide(make_short_job(), overload((100.0, 15.0))).is_refused

    def test_work_that_may_come_later_is_not_ahead(self):
        # The job's value is 3 for 2 s of a whole worker; work of twice that score is ahead.
        assert not decide(make_short_job(), overload((2.9, 60.0))).is_refused
        assert decide(make_short_job(), overload((3.0, 60.0))).is_refused

    def test_more_valuable_job_is_accepted_where_others_are_refused(self):
        summary = overload((3.5, 60.0))
        assert decide(make_short_job(priority=1), summary).is_refused
        assert not decide(make_short_job(priority=0), summary).is_refused

    @pytest.mark.parametrize("age", [MAX_SUMMARY_AGE_SECONDS + 0.1, 60.0])
    def test_old_summary_refuses_nothing(self, age):
        """The leader has died, or this VM is cut off from the store."""
        assert not decide(make_short_job(), overload((100.0, 60.0)), age=age).is_refused

    def test_missing_summary_refuses_nothing(self):
        assert not decide(make_short_job(), None).is_refused
        other = make_short_job(service="other")
        assert not decide(other, overload((100.0, 60.0))).is_refused

    def test_urgent_job_of_a_team_with_a_guarantee_is_accepted(self):
        summary = overload((100.0, 60.0))
        assert not decide(make_short_job(priority=0), summary, guaranteed=8).is_refused
        assert decide(make_short_job(priority=0), summary, guaranteed=0).is_refused

    def test_long_running_and_timed_jobs_are_accepted(self):
        summary = overload((100.0, 60.0))
        lasting = make_job(make_step(lasts=True))
        timed = make_short_job(repeats=3, first_start_at=100.0, interval_seconds=5.0)
        assert not decide(lasting, summary).is_refused
        assert not decide(timed, summary).is_refused

    def test_job_that_no_worker_can_hold_is_refused_for_good(self):
        job = make_job(Step(1, Resources(1000, 200000, 1), 2.0))
        admission = decide(job, overload((100.0, 0.0)))
        assert admission.is_refused
        assert admission.retry_after is None

    def test_caller_is_accepted_when_it_returns_in_time(self):
        job = make_short_job()
        first = decide(job, overload((100.0, 60.0)))
        later = overload((100.0, 60.0 - first.retry_after))
        assert not decide(job, later).is_refused

    def test_callers_return_one_after_another(self):
        job, summary = make_short_job(), overload((100.0, 60.0))
        delays = {decide(job, summary, spread=spread).retry_after for spread in (0.0, 0.5, 1.0)}
        assert len(delays) == 3


class RefusalRecorder(LoadPlayer):
    """Records which jobs would be refused, without refusing them."""

    def __init__(self, load, seed: int) -> None:
        super().__init__(load, seed)
        self.detector = OverloadDetector(REFUSING, self.planner.valuation)
        self.refused = []

    def submit(self, played) -> None:
        jobs = [each for each in self.cluster_state.jobs.values() if not each.status.is_final]
        workers = list(self.cluster_state.workers.values())
        summary = self.detector.summarize(jobs, workers, self.now, self.now)
        guaranteed = self.planner.guarantees[played.job.team]
        if decide_admission(
            played.job, summary, 0.6, guaranteed, self.planner.valuation.settings, 0.0
        ).is_refused:
            self.refused.append(played)
        super().submit(played)


class TestRefusalsUnderLoad:
    """Demand of six times the room by callers with little patience, without guarantees."""

    def test_only_jobs_that_earn_nothing_are_refused(self):
        impatient = tuple(
            attrs.evolve(kind, slack_factor=1.2, target_seconds=0.3)
            for kind in PROCESSOR_BOUND.kinds
        )
        load = attrs.evolve(PROCESSOR_BOUND, kinds=impatient, workers=8, guaranteed=0)
        players = [RefusalRecorder(scaled_to(load, 6.0), seed) for seed in range(3)]
        for player in players:
            player.play()
        refused = [each for player in players for each in player.refused]
        assert refused
        assert all(
            each.completed_at - each.arrives_at > LATE_MULTIPLE * each.objective()
            for each in refused
        )

    def test_nothing_is_refused_while_there_is_room(self):
        player = RefusalRecorder(scaled_to(PROCESSOR_BOUND, 0.8), 1)
        player.play()
        assert player.refused == []


ODD_NUMBERS = [int(400 * "9"), math.inf, -math.inf, math.nan, -1.0, 1e300, "x", [], None]


class TestOddSummaries:
    @pytest.mark.parametrize("number", ODD_NUMBERS)
    @pytest.mark.parametrize("field", ["score", "wait", "Cpu", "MemMb", "Gpu"])
    def test_odd_number_refuses_nothing_and_fails_no_request(self, field, number):
        # Regression: each submission failed, or was refused, while the leader's row held it.
        numbers = {"score": 100.0, "wait": 60.0, "Cpu": 64000, "MemMb": 131072, "Gpu": 8}
        score, wait, *capacity = (numbers | {field: number}).values()
        value = {"pools": {"desk": {"waits": [[score, wait]], "capacities": [capacity]}}}
        summary = decode_summary(value)
        for job in (make_short_job(), make_job(make_step(accelerators=0))):
            assert not decide(job, summary).is_refused

    @pytest.mark.parametrize(
        "value",
        [7, [], "x", {}, nested(900), {"pools": nested(900)}, {"pools": {"desk": nested(900)}}],
    )
    def test_odd_summary_counts_as_none(self, value):
        assert decode_summary(value) is None


class TestLeaderRow:
    def test_summary_travels_with_renewals_and_ends_with_the_leadership(self):
        async def scenario():
            store = MemoryStore(random.Random(1))
            clock = LoopClock(asyncio.get_running_loop())
            election = Election(store, "vm-a/1", 0.1, clock, random.Random(1))
            _, version = await election.campaign()
            writer = FencedWriter(store, election.record, version, clock)
            await writer.open()
            await writer.write([], [], True)
            assert "load" not in store.rows[LEADER_KEY].value
            summary = overload((100.0, 60.0))
            writer.summarize_load = lambda: summary
            await writer.write([], [], True)
            row = store.rows[LEADER_KEY]
            assert decode_summary(from_plain(row.value, LeaderRecord).load) == summary
            # Another daemon takes over without a resignation.
            successor = Election(store, "vm-b/1", 0.1, clock, random.Random(2))
            await successor.campaign()
            assert "load" not in store.rows[LEADER_KEY].value

        run_in_virtual_time(scenario())

    def test_rows_of_other_builds_are_read(self):
        old = from_plain({"owner": "vm-a/1", "epoch": 3}, LeaderRecord)
        assert old.load is None
        newer = from_plain({"owner": "vm-a/1", "epoch": 3, "load": [1], "x": 2}, LeaderRecord)
        assert newer.epoch == 3
        assert decode_summary(newer.load) is None
