import attrs

from jaypier.jobs.draining import mark_draining_runs
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_job,
    make_planner,
    make_step,
)


def start(percent=0.0, **values):
    cluster_state = make_cluster_state(4)
    runs = make_planner(cluster_state, make_job(make_step(**values))).plan(0.0, 0.0).starts
    for run in runs:
        apply_report(
            cluster_state, run.worker, 1.0, [make_active_run(run.task, run.attempt, "", percent)]
        )
    return cluster_state, runs


def start_draining(cluster_state, run, now=1.0):
    worker = run.worker
    cluster_state.register_worker(
        attrs.evolve(worker.entry, is_ready=False, remaining_seconds=2.0), now
    )


class TestDrainingWorkers:
    def test_gang_is_stopped_whole_at_drain_notice(self):
        cluster_state, runs = start(count=4, accelerators=8, is_gang=True, seconds=8.0)
        start_draining(cluster_state, runs[0])
        assert {run.task.index for run in mark_draining_runs(cluster_state, 1.0)} == {0, 1, 2, 3}
        assert mark_draining_runs(cluster_state, 1.1) == []

    def test_task_with_checkpoints_is_restarted_elsewhere(self):
        cluster_state, runs = start(saves=True, seconds=8.0)
        start_draining(cluster_state, runs[0])
        assert mark_draining_runs(cluster_state, 1.0) == runs

    def test_run_that_ends_in_time_is_kept(self):
        cluster_state, runs = start(percent=90.0, saves=True, seconds=8.0)
        start_draining(cluster_state, runs[0])
        assert mark_draining_runs(cluster_state, 1.0) == []

    def test_task_without_checkpoints_is_kept(self):
        cluster_state, runs = start(seconds=8.0)
        start_draining(cluster_state, runs[0])
        assert mark_draining_runs(cluster_state, 1.0) == []

    def test_runs_on_other_workers_are_kept(self):
        cluster_state, runs = start(saves=True, seconds=8.0)
        assert mark_draining_runs(cluster_state, 1.0) == []
