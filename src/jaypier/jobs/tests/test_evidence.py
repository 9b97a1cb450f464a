"""Conclusions on runs whose ends no worker has reported."""

from jaypier.jobs.tests.builders import (
    apply_report,
    make_cluster_state,
    make_job,
    make_planner,
)


class TestNextProcess:
    """A worker restarts under its id while the start of a run has no response."""

    def test_run_lost_by_a_later_report_of_the_next_process_waits_for_the_store(self):
        # Guards against TWICE: the second report took the run for one of a process that still runs.
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job())
        (run,) = planner.plan(0.0, 0.0).starts
        run.start_deadline = 6000
        apply_report(cluster_state, run.worker, 0.1)
        apply_report(cluster_state, run.worker, 0.5, born=2)
        assert run.worker.runs
        run.reports_conclusive_after = 0.6
        apply_report(cluster_state, run.worker, 0.7, born=2)
        assert not run.worker.runs
        assert planner.plan(0.7, 0.7).starts == []
        cluster_state.confirm_losses(cluster_state.unconfirmed_losses)
        assert len(planner.plan(0.8, 0.8).starts) == 1
