import math

import pytest

from jaypier.jobs.preemption import Fit, can_wait, earliest_fit
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_job,
    make_planner,
    make_step,
)


def start_background(seconds: float, percent: float, now: float = 1.0):
    """Return a full worker's cluster and planner; its run has ``percent`` of its work done."""
    cluster_state = make_cluster_state(1)
    background = make_job(make_step(accelerators=8, seconds=seconds), priority=2)
    planner = make_planner(cluster_state, background)
    (run,) = planner.plan(0.0, 0.0).starts
    apply_report(
        cluster_state, run.worker, now, [make_active_run(run.task, run.attempt, "", percent)]
    )
    return cluster_state, planner, run


def submit_urgent(cluster_state, planner, now: float, **values):
    job = make_job(
        make_step(accelerators=8, seconds=2.0),
        **{
            "priority": 0,
            "submitted_at": now,
            "slack_factor": 1.5,
            "target_seconds": 0.25,
            **values,
        },
    )
    planner.observe_job(cluster_state.add_job(job), now)
    return job


class TestWaiting:
    def test_urgent_job_waits_for_a_run_that_ends_soon(self):
        cluster_state, planner, _ = start_background(10.0, 95.0)
        submit_urgent(cluster_state, planner, 1.0)
        assert planner.plan(1.0, 1.0).stops == []

    def test_waiting_job_s_workers_are_held(self):
        cluster_state, planner, run = start_background(10.0, 95.0)
        submit_urgent(cluster_state, planner, 1.0)
        planner.plan(1.0, 1.0)
        assert run.worker.id in planner.holds.until

    def test_run_that_takes_longer_is_preempted(self):
        cluster_state, planner, run = start_background(10.0, 50.0)
        submit_urgent(cluster_state, planner, 1.0)
        assert planner.plan(1.0, 1.0).stops == [run]

    def test_job_without_slack_does_not_wait(self):
        cluster_state, planner, run = start_background(10.0, 95.0)
        submit_urgent(cluster_state, planner, 1.0, slack_factor=1.0)
        assert planner.plan(1.0, 1.0).stops == [run]

    def test_waits_add_up_to_the_bound(self):
        """A run that is always about to end does not delay an urgent job for longer."""
        cluster_state, planner, run = start_background(10.0, 94.0)
        submit_urgent(cluster_state, planner, 1.0, slack_factor=10.0)
        stopped_at = math.inf
        for tick in range(20):
            now = 1.0 + 0.1 * tick
            apply_report(
                cluster_state, run.worker, now, [make_active_run(run.task, run.attempt, "", 94.0)]
            )
            if planner.plan(now, now).stops:
                stopped_at = now
                break
        assert stopped_at <= 2.1

    @pytest.mark.parametrize("fit", [None, Fit(math.inf, frozenset({"worker-00"}))])
    def test_what_never_fits_is_not_waited_for(self, fit):
        cluster_state, planner, _ = start_background(10.0, 95.0)
        job = submit_urgent(cluster_state, planner, 1.0)
        (step,) = cluster_state.jobs[job.id].steps
        assert not can_wait(step, fit, 1.0, 1.0)


class TestEarliestFit:
    def test_gang_fits_when_the_last_needed_run_ends(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(
            cluster_state,
            make_job(make_step(accelerators=8, seconds=4.0)),
            make_job(make_step(accelerators=8, seconds=9.0)),
        )
        planner.plan(0.0, 0.0)
        gang = make_job(make_step(count=2, accelerators=8, is_gang=True))
        (step,) = cluster_state.add_job(gang).steps
        workers = list(cluster_state.workers.values())
        assert earliest_fit(step, workers, (), 0.0).seconds == pytest.approx(9.0)
        assert earliest_fit(step, workers, ("worker-00",), 0.0) is None


class TestDependentSlots:
    def test_victims_of_a_cheap_slot_alone_do_not_make_room(self):
        # Regression: the last run alone was stopped, which leaves 2 accelerators for 4.
        cluster_state = make_cluster_state(1)
        steps = [make_step(accelerators=count, seconds=50.0) for count in (3, 3, 2)]
        planner = make_planner(cluster_state, *(make_job(step, priority=2) for step in steps))
        assert len(planner.plan(0.0, 0.0).starts) == 3
        planner.observe_job(
            cluster_state.add_job(make_job(make_step(accelerators=4), priority=0)), 1.0
        )
        stops = planner.plan(1.0, 1.0).stops
        assert sum(run.step.spec.demand.accelerators for run in stops) >= 4
