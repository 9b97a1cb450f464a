import attrs
import pytest

from jaypier.jobs.isolation import MAX_WAIT_SECONDS, earliest_idle
from jaypier.jobs.model import RunOutcome, StartResponse
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_ended_run,
    make_job,
    make_planner,
    make_step,
)


def suspect(state, index=0):
    """Record a crash under a task of a job."""
    task = state.steps[0].tasks[index]
    task.crashed_attempts.add(1)
    state.crash_suspects.add(task.id)


def confirm(cluster_state, runs, now):
    for run in runs:
        cluster_state.apply_start_response(run, StartResponse.STARTED, now)


def add_job(planner, job, now=0.0):
    state = planner.cluster_state.add_job(job)
    planner.observe_job(state, now)
    return state


class TestPlacement:
    def test_suspected_job_starts_on_an_idle_worker(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job(make_step(seconds=60.0)))
        (other,) = planner.plan(0.0, 0.0).starts
        suspect(add_job(planner, make_job()))
        (run,) = planner.plan(5.0, 5.0).starts
        assert run.worker is not other.worker

    @pytest.mark.parametrize("priority", [0, 1])
    def test_other_jobs_stay_away_until_a_suspected_run_has_worked(self, priority):
        cluster_state = make_cluster_state(1)
        planner = make_planner(cluster_state)
        suspected = add_job(planner, make_job(make_step(seconds=60.0)))
        suspect(suspected)
        (run,) = planner.plan(0.0, 0.0).starts
        confirm(cluster_state, [run], 0.0)
        add_job(planner, make_job(make_step(seconds=60.0), priority=priority))
        assert planner.plan(0.5, 0.5).starts == []
        apply_report(cluster_state, run.worker, 1.5, [make_active_run(run.task, run.attempt)])
        assert planner.plan(1.5, 1.5).starts == []
        apply_report(cluster_state, run.worker, 2.5, [make_active_run(run.task, run.attempt)])
        assert len(planner.plan(2.5, 2.5).starts) == 1
        assert not suspected.crash_suspects

    def test_suspected_step_with_a_limit_per_worker_uses_further_workers(self):
        cluster_state = make_cluster_state(3)
        planner = make_planner(cluster_state)
        state = add_job(planner, make_job(make_step(count=3, seconds=60.0, max_per_worker=1)))
        suspect(state)
        for now in (0.0, 3.0, 6.0):
            (run,) = planner.plan(now, now).starts
            confirm(cluster_state, [run], now)
            report = [make_active_run(run.task, run.attempt)]
            apply_report(cluster_state, run.worker, now + 2.5, report)
            suspect(state)
        assert len({run.worker.id for run in state.runs}) == 3

    def test_suspected_urgent_job_preempts_nothing(self):
        cluster_state = make_cluster_state(1)
        planner = make_planner(
            cluster_state, make_job(make_step(count=8, seconds=60.0), priority=2), **{"team-a": 8}
        )
        planner.plan(0.0, 0.0)
        suspect(add_job(planner, make_job(priority=0)))
        assert planner.plan(1.0, 1.0).stops == []

    def test_suspected_job_starts_on_one_worker_at_a_time(self):
        cluster_state = make_cluster_state(4)
        planner = make_planner(cluster_state)
        state = add_job(planner, make_job(make_step(count=16, accelerators=4, seconds=60.0)))
        suspect(state, index=9)
        first = planner.plan(0.0, 0.0).starts
        assert len({run.worker for run in first}) == 1
        assert len(first) == 2
        assert 9 in {run.task.index for run in first}
        confirm(cluster_state, first, 0.1)
        assert planner.plan(0.2, 0.2).starts == []

    def test_suspected_gang_uses_idle_workers_only(self):
        cluster_state = make_cluster_state(3)
        planner = make_planner(cluster_state, make_job(make_step(seconds=60.0)))
        (other,) = planner.plan(0.0, 0.0).starts
        suspect(add_job(planner, make_job(make_step(count=4, accelerators=4, is_gang=True))))
        runs = planner.plan(1.0, 1.0).starts
        assert len(runs) == 4
        assert other.worker not in {run.worker for run in runs}


class TestFullCluster:
    def fill(self, workers=1, count=1, seconds=4.0, **values):
        cluster_state = make_cluster_state(workers)
        planner = make_planner(
            cluster_state, make_job(make_step(count=count, seconds=seconds, **values))
        )
        runs = planner.plan(0.0, 0.0).starts
        confirm(cluster_state, runs, 0.0)
        return cluster_state, planner, runs

    def test_worker_is_held_until_it_is_idle(self):
        cluster_state, planner, (run,) = self.fill()
        suspected = make_job()
        suspect(add_job(planner, suspected))
        assert planner.plan(1.0, 1.0).starts == []
        add_job(planner, make_job(make_step(count=8, seconds=8.0), priority=2))
        assert planner.plan(1.1, 1.1).starts == []
        end = make_ended_run(1, run.task, RunOutcome.DONE, run.attempt)
        apply_report(cluster_state, run.worker, 4.0, ends=[end])
        assert [each.task.job_id for each in planner.plan(4.0, 4.0).starts] == [suspected.id]

    def test_job_starts_within_three_seconds_beside_half_empty_workers(self):
        cluster_state, planner, runs = self.fill(4, 4, 60.0, max_per_worker=1, data_rack="rack-0")
        assert len({run.worker for run in runs}) == 4
        for run in runs:
            report = [make_active_run(run.task, run.attempt, percent=5)]
            apply_report(cluster_state, run.worker, 4.0, report)
        suspect(add_job(planner, make_job()))
        times = [4.0 + 0.2 * number for number in range(15)]
        assert any(planner.plan(now, now).starts for now in times)

    def test_job_that_has_waited_for_long_shares_a_worker(self):
        cluster_state, planner, (run,) = self.fill(lasts=True)
        suspect(add_job(planner, make_job()))
        active = [attrs.evolve(make_active_run(run.task, run.attempt), percent=100)]
        apply_report(cluster_state, run.worker, 4.0, active)
        assert planner.plan(4.0, 4.0).starts == []
        assert planner.plan(4.0 + 0.9 * MAX_WAIT_SECONDS, 0.0).starts == []
        assert len(planner.plan(4.0 + MAX_WAIT_SECONDS, 0.0).starts) == 1

    def test_earliest_idle_worker_is_the_one_whose_last_run_ends_first(self):
        cluster_state, planner, _ = self.fill(workers=2, count=9, seconds=4.0)
        step = cluster_state.add_job(make_job(make_step(count=5))).steps[0]
        fit = earliest_idle(step, cluster_state.workers.values(), (), 0.0)
        assert fit.seconds == pytest.approx(4.0)
        assert len(fit.workers) == 1
