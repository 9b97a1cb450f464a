import pytest

from jaypier.jobs.model import Resources, Step
from jaypier.jobs.state import JobState
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step
from jaypier.jobs.valuation import (
    EXPIRED_VALUE_SHARE,
    INTERRUPTED_FACTOR,
    MIN_URGENCY,
    Valuation,
    ValueSettings,
    slack_seconds,
)


def add_jobs(*jobs) -> tuple[Valuation, list[JobState]]:
    """Return a valuation that has seen the jobs, and their states."""
    cluster_state = make_cluster_state()
    make_planner(cluster_state)
    valuation = Valuation(ValueSettings())
    states = [cluster_state.add_job(job) for job in jobs]
    for state in states:
        valuation.observe(state)
    return valuation, states


class TestSlack:
    def test_slack_shrinks_with_age(self):
        _, (state,) = add_jobs(make_job(make_step(seconds=2.0)))
        # Objective: 3 times 2 s and 1 s.
        assert slack_seconds(state, 0.0) == pytest.approx(5.0)
        assert slack_seconds(state, 6.0) == pytest.approx(-1.0)


class TestValue:
    def test_late_and_expired_jobs_lose_value(self):
        valuation, (state,) = add_jobs(make_job(make_step(seconds=2.0)))
        settings = valuation.settings
        assert valuation.value_share(state, 4.9) == 1.0
        assert valuation.value_share(state, 5.1) == settings.late_share
        assert valuation.value_share(state, 18.9) == settings.late_share
        assert valuation.value_share(state, 19.1) == EXPIRED_VALUE_SHARE

    def test_value_grows_with_size_up_to_a_bound(self):
        jobs = [make_job(make_step(count=count), queue="a") for count in (*9 * [1], 40)]
        valuation, states = add_jobs(*jobs)
        small, large = valuation.value_in_time(states[0]), valuation.value_in_time(states[9])
        assert 0 < small < 3.0
        assert large == pytest.approx(4.0 * 3.0)

    def test_unknown_priority_counts_as_the_last(self):
        valuation, (state,) = add_jobs(make_job(priority=7))
        assert valuation.value_in_time(state) == pytest.approx(1.0)


class TestOrder:
    def test_job_with_little_slack_comes_before_one_that_can_wait(self):
        valuation, (patient, pressed) = add_jobs(
            make_job(make_step(seconds=4.0), slack_factor=6.0),
            make_job(make_step(seconds=4.0), slack_factor=1.2),
        )
        assert valuation.score(pressed, 0.0) > valuation.score(patient, 0.0)
        assert valuation.urgency(patient, 0.0) == MIN_URGENCY

    def test_urgency_rises_until_the_job_is_late(self):
        valuation, (state,) = add_jobs(make_job(make_step(seconds=4.0), slack_factor=3.0))
        urgencies = [valuation.urgency(state, age) for age in (0.0, 2.0, 4.0, 6.0, 8.0, 9.0)]
        assert urgencies == sorted(urgencies)
        assert urgencies[-1] == 1.0

    def test_interrupted_job_comes_before_one_that_has_not_begun(self):
        valuation, (interrupted, other) = add_jobs(make_job(), make_job())
        interrupted.has_started = True
        expected = INTERRUPTED_FACTOR * valuation.score(other, 0.0)
        assert valuation.score(interrupted, 0.0) == pytest.approx(expected)

    def test_room_counts_by_the_resource_that_binds(self):
        """A task of half a worker's processors takes as much with one accelerator as with four."""
        demands = [Resources(32000, 1000, count) for count in (1, 4)]
        valuation, states = add_jobs(
            *(
                make_job(Step(2, demand, 4.0), queue=f"q{number}")
                for number, demand in enumerate(demands)
            )
        )
        scores = [valuation.score(state, 0.0) for state in states]
        assert scores[0] == pytest.approx(scores[1])


class TestExpiry:
    def test_job_expires_when_it_cannot_end_within_the_multiple_of_its_objective(self):
        valuation, (state,) = add_jobs(make_job(make_step(seconds=2.0)))
        assert not valuation.is_expired(state, 18.9)
        assert valuation.is_expired(state, 19.1)

    def test_long_running_job_never_expires(self):
        valuation, (state,) = add_jobs(make_job(make_step(seconds=2.0, lasts=True)))
        assert not valuation.is_expired(state, 1e6)
        assert valuation.value_share(state, 1e6) == 1.0

    def test_newest_occurrence_counts(self):
        job = make_job(make_step(), repeats=2, first_start_at=0.0, interval_seconds=1000.0)
        valuation, (state,) = add_jobs(job)
        state.open_occurrence(0)
        assert valuation.is_expired(state, 1001.0)
        state.open_occurrence(1)
        assert not valuation.is_expired(state, 1001.0)
