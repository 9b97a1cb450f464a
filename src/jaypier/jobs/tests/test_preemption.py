import math

import pytest

from jaypier.jobs.preemption import Fit, StopCosts, can_wait, earliest_fit
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


class TestStopCosts:
    """What callers lose decides whose runs are stopped."""

    def start_two(self, first: dict, second: dict):
        """Return cluster, planner and the runs of two jobs that fill a worker, after 4 of 6 s."""
        cluster_state = make_cluster_state(1)
        jobs = [
            make_job(make_step(accelerators=4, seconds=6.0), **{"priority": 2, **values})
            for values in (first, second)
        ]
        planner = make_planner(cluster_state, *jobs)
        planner.plan(0.0, 0.0)
        (worker,) = cluster_state.workers.values()
        active = [
            make_active_run(each.task, each.attempt, "", 66.0) for each in worker.runs.values()
        ]
        apply_report(cluster_state, worker, 4.0, active)
        runs = {run.task.job_id: run for run in worker.runs.values()}
        return cluster_state, planner, [runs[job.id] for job in jobs]

    def cost_of(self, planner, run, now: float) -> float:
        return StopCosts(planner.valuation, 0.5, now, now).of(run)

    def test_job_that_is_late_anyway_costs_less_than_one_that_ends_in_time(self):
        # Objectives: 13 s, which the second job has missed before it started.
        _, planner, (in_time, late) = self.start_two({}, {"submitted_at": -20.0})
        assert self.cost_of(planner, late, 4.0) < self.cost_of(planner, in_time, 4.0)

    def test_job_that_a_stop_makes_late_costs_more_than_one_with_slack(self):
        _, planner, (patient, pressed) = self.start_two(
            {"slack_factor": 5.0}, {"slack_factor": 1.1}
        )
        assert self.cost_of(planner, pressed, 4.0) > self.cost_of(planner, patient, 4.0)

    def test_higher_priority_costs_more(self):
        _, planner, (low, high) = self.start_two({}, {"priority": 1})
        assert self.cost_of(planner, high, 4.0) > self.cost_of(planner, low, 4.0)

    def test_late_job_is_stopped_for_an_urgent_one(self):
        cluster_state, planner, (in_time, late) = self.start_two({}, {"submitted_at": -20.0})
        urgent = make_job(
            make_step(accelerators=4),
            priority=0,
            submitted_at=4.0,
            slack_factor=1.5,
            target_seconds=0.25,
        )
        planner.observe_job(cluster_state.add_job(urgent), 4.0)
        assert planner.plan(4.0, 4.0).stops == [late]

    def test_stopping_run_costs_nothing(self):
        _, planner, (run, _) = self.start_two({}, {})
        run.is_stopping = True
        assert self.cost_of(planner, run, 4.0) == 0.0


class TestLateUrgentJob:
    def test_does_not_preempt_work_that_is_worth_more(self):
        cluster_state, planner, run = start_background(10.0, 30.0, now=4.0)
        submit_urgent(cluster_state, planner, 4.0, submitted_at=0.0)
        assert planner.plan(4.0, 4.0).stops == []

    def test_preempts_within_its_team_s_guarantee(self):
        cluster_state, planner, run = start_background(10.0, 30.0, now=4.0)
        planner.guarantees = {"team-a": 8}
        submit_urgent(cluster_state, planner, 4.0, submitted_at=0.0)
        assert planner.plan(4.0, 4.0).stops == [run]

    def test_preempts_work_that_is_worth_nothing(self):
        cluster_state, planner, run = start_background(10.0, 30.0, now=4.0)
        submit_urgent(cluster_state, planner, 100.0, submitted_at=96.0)
        assert planner.plan(100.0, 100.0).stops == [run]


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
