"""Conclusions on runs whose ends no worker has reported."""

from jaypier.jobs.evidence import (
    DELIVERY_SECONDS,
    LONGEST_REQUEST_DELAY_SECONDS,
    Conclusion,
    judge_by_report,
    unknown_runs_end_at,
)
from jaypier.jobs.freshness import ENTRY_SECONDS
from jaypier.jobs.model import RunOutcome, StartResponse, TaskId, WorkerReport
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_ended_run,
    make_entry,
    make_job,
    make_planner,
)


def send_start(at: float = 0.0):
    """Return a cluster and a run whose start was sent at a time and had no response."""
    cluster_state = make_cluster_state(2)
    planner = make_planner(cluster_state, make_job())
    (run,) = planner.plan(at, at).starts
    run.start_deadline = cluster_state.extend_lease(run.worker, at)
    cluster_state.begin_start_request(run, at)
    return cluster_state, planner, run


def read_entries(cluster_state, since: float, until: float) -> None:
    """Let the entries of all workers be read regularly."""
    for number in range(int((until - since) / 0.4) + 1):
        now = since + 0.4 * number
        cluster_state.entry_freshness.observe_read(now, now)


class TestSilentWorkers:
    """Runs on workers that do not report any more."""

    def lost_at(self, cluster_state, run) -> float:
        """Return the time at which a run is lost, in steps of 0.1 s."""
        for tenth in range(1000):
            cluster_state.expire_leases(tenth / 10)
            if not run.worker.runs:
                return tenth / 10
        raise AssertionError("the run is never lost")

    def test_answered_start_is_over_with_its_lease(self):
        cluster_state, _, run = send_start()
        cluster_state.end_start_request(run, float("-inf"))
        assert self.lost_at(cluster_state, run) < cluster_state.longest_lease_seconds + 0.2

    # Guards against TWICE: a process that had restarted was told to start the run, and renews late.
    def test_answered_start_is_open_for_longer_if_the_next_process_may_have_answered(self):
        cluster_state, _, run = send_start()
        cluster_state.end_start_request(run, float("-inf"))
        cluster_state.apply_start_response(run, StartResponse.STARTED, 0.1)
        cluster_state.register_worker(make_entry(run.worker.id, born=2), 0.5)
        assert self.lost_at(cluster_state, run) > LONGEST_REQUEST_DELAY_SECONDS

    def test_listed_run_is_over_with_its_lease_although_its_worker_has_restarted(self):
        cluster_state, _, run = send_start()
        cluster_state.end_start_request(run, float("-inf"))
        apply_report(cluster_state, run.worker, 0.1, [make_active_run(run.task)])
        cluster_state.register_worker(make_entry(run.worker.id, born=2), 0.5)
        assert self.lost_at(cluster_state, run) < cluster_state.longest_lease_seconds + 0.2

    def test_lease_counts_from_the_response_to_the_start(self):
        cluster_state, _, run = send_start()
        cluster_state.end_start_request(run, float("-inf"))
        cluster_state.apply_start_response(run, StartResponse.STARTED, 1.4)
        assert self.lost_at(cluster_state, run) > 1.4 + cluster_state.longest_lease_seconds

    # Guards against TWICE (review/6): the next process carries the start out after the lease.
    def test_unanswered_start_is_open_for_longer_than_its_lease(self):
        cluster_state, _, run = send_start()
        longest = cluster_state.longest_lease_seconds + LONGEST_REQUEST_DELAY_SECONDS
        assert longest <= self.lost_at(cluster_state, run) < longest + 0.2

    def test_unanswered_start_is_over_with_its_lease_if_its_process_outlived_it(self):
        cluster_state, _, run = send_start()
        apply_report(cluster_state, run.worker, DELIVERY_SECONDS + 0.1)
        assert self.lost_at(cluster_state, run) < cluster_state.longest_lease_seconds + 0.2

    def test_unanswered_start_is_over_with_its_lease_while_its_process_is_listed(self):
        cluster_state, _, run = send_start()
        read_entries(cluster_state, -20.0, DELIVERY_SECONDS + ENTRY_SECONDS + 0.5)
        assert self.lost_at(cluster_state, run) < cluster_state.longest_lease_seconds + 0.2

    def test_listed_entries_tell_nothing_soon_after_an_outage(self):
        cluster_state, _, run = send_start()
        read_entries(cluster_state, 3.0, 7.0)
        assert self.lost_at(cluster_state, run) > LONGEST_REQUEST_DELAY_SECONDS

    def test_entry_of_another_process_tells_that_the_start_may_reach_it(self):
        cluster_state, _, run = send_start()
        read_entries(cluster_state, -20.0, 20.0)
        cluster_state.register_worker(make_entry(run.worker.id, born=2), 0.5)
        assert self.lost_at(cluster_state, run) > LONGEST_REQUEST_DELAY_SECONDS

    def test_missing_entry_tells_nothing(self):
        cluster_state, _, run = send_start()
        read_entries(cluster_state, -20.0, 20.0)
        cluster_state.deregister_worker(run.worker.id, 5.0)
        assert self.lost_at(cluster_state, run) > LONGEST_REQUEST_DELAY_SECONDS


class TestNextProcess:
    """A worker restarts under its id while the start of a run has no response."""

    def test_run_lost_by_a_later_report_of_the_next_process_waits_for_the_store(self):
        # Guards against TWICE: the second report took the run for one of a process that still runs.
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job())
        (run,) = planner.plan(0.0, 0.0).starts
        run.start_deadline = 6000
        cluster_state.begin_start_request(run, 0.0)
        apply_report(cluster_state, run.worker, 0.1)
        apply_report(cluster_state, run.worker, 0.5, born=2)
        assert run.worker.runs
        run.observe_stop(2, 0.6)
        apply_report(cluster_state, run.worker, 0.7, born=2)
        assert not run.worker.runs
        assert planner.plan(0.7, 0.7).starts == []
        cluster_state.confirm_losses(cluster_state.unconfirmed_losses)
        assert len(planner.plan(0.8, 0.8).starts) == 1

    def test_deadline_is_by_the_clock_of_the_process_that_reports(self):
        _, _, run = send_start()
        early = WorkerReport(2, run.start_deadline, (), ())
        assert judge_by_report(run, early, 1.0) is Conclusion.OPEN
        late = WorkerReport(2, run.start_deadline + 1, (), ())
        assert judge_by_report(run, late, 1.0) is Conclusion.ENDED_WITH_PROCESS

    # Guards against TWICE: the next process has not answered the stop that the one before has.
    def test_stop_binds_the_process_that_has_answered_it(self):
        cluster_state, _, run = send_start()
        cluster_state.mark_stopping(run)
        run.observe_stop(1, 0.2)
        apply_report(cluster_state, run.worker, 0.5, born=2)
        assert run.worker.runs
        assert list(cluster_state.mark_obsolete_runs()) == [run]
        assert list(cluster_state.mark_obsolete_runs()) == []
        run.observe_stop(2, 0.6)
        apply_report(cluster_state, run.worker, 0.5, sent_at=0.55, born=2)
        assert run.worker.runs
        apply_report(cluster_state, run.worker, 0.7, born=2)
        assert not run.worker.runs

    def test_run_that_is_not_sent_yet_is_left_to_its_start(self):
        cluster_state, _, run = send_start()
        cluster_state.end_start_request(run, float("-inf"))
        apply_report(cluster_state, run.worker, 0.5, born=2)
        assert run.worker.runs

    def test_late_starts_of_ended_runs_are_stopped_on_the_next_process(self):
        cluster_state, _, run = send_start()
        end = make_ended_run(1, run.task, RunOutcome.FAILED, run.attempt)
        apply_report(cluster_state, run.worker, 0.5, ends=[end])
        _, unknown = apply_report(cluster_state, run.worker, 1.0, born=2)
        assert [(each.task, each.attempt) for each in unknown] == [run.key]
        later = 1.0 + LONGEST_REQUEST_DELAY_SECONDS
        _, unknown = apply_report(cluster_state, run.worker, later, born=3)
        assert unknown == []


class TestUnknownRuns:
    """Runs that other leaders have left on a worker."""

    def make_silent(self, born: int, recorded: int | None):
        """Return a new leader's state with a worker that has not reported."""
        cluster_state = make_cluster_state(0, epoch=2)
        worker = cluster_state.register_worker(make_entry("worker-00", born=born), 0.0)
        if recorded is None:
            worker.recorded_tasks = frozenset()
        else:
            cluster_state.restore_recorded_tasks(worker, recorded, None)
        return cluster_state, worker

    def test_report_of_the_recorded_process_lists_them(self):
        cluster_state, worker = self.make_silent(1, 1)
        apply_report(cluster_state, worker, 1.0)
        assert worker.is_reconciled

    def test_first_report_of_a_worker_that_no_leader_has_used_is_enough(self):
        cluster_state, worker = self.make_silent(2, None)
        apply_report(cluster_state, worker, 1.0, born=2)
        assert worker.is_reconciled

    # Guards against TWICE: a newer leader may have recorded how they ended.
    def test_report_of_the_next_process_shows_nothing_before_the_store_has_confirmed_a_write(self):
        cluster_state, worker = self.make_silent(1, 1)
        apply_report(cluster_state, worker, 1.0, born=2)
        apply_report(cluster_state, worker, 2.0, born=2)
        assert not worker.is_reconciled
        cluster_state.confirm_workers(cluster_state.unconfirmed_workers)
        assert worker.is_reconciled

    def test_successor_shows_nothing_before_the_store_has_confirmed_a_write(self):
        cluster_state, worker = self.make_silent(1, 1)
        machine = {"machine": "machine-0"}
        cluster_state.register_worker(make_entry("worker-00", **machine), 0.0)
        worker.is_unreachable, worker.silent_since = True, 0.5
        successor = cluster_state.register_worker(make_entry("worker-01", born=5, **machine), 1.0)
        apply_report(cluster_state, successor, 1.0, born=5)
        assert cluster_state.crashes.settle_ended_processes() == [worker]
        assert cluster_state.crashes.settle_ended_processes() == []
        assert not worker.is_reconciled
        cluster_state.confirm_workers(cluster_state.unconfirmed_workers)
        assert worker.is_reconciled

    def test_worker_that_reported_a_run_of_an_unknown_job_has_to_report_it_again(self):
        cluster_state, worker = self.make_silent(1, 1)
        job = make_job()
        run = make_active_run(TaskId(job.id, 0, 0, 0))
        apply_report(cluster_state, worker, 1.0, [run])
        cluster_state.add_job(job)
        apply_report(cluster_state, worker, 1.5, born=2)
        assert not worker.is_reconciled
        cluster_state.confirm_workers(cluster_state.unconfirmed_workers)
        assert worker.is_reconciled

    # Guards against TWICE: the next process ran an earlier attempt, and the later one was lost.
    def test_task_does_not_start_again_before_a_run_that_is_being_stopped_has_ended(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job())
        (run,) = planner.plan(0.0, 0.0).starts
        cluster_state.apply_start_response(run, StartResponse.STARTED, 0.1)
        earlier = make_active_run(run.task, 0)
        _, unknown = apply_report(cluster_state, run.worker, 1.0, [earlier], born=2)
        cluster_state.confirm_losses(cluster_state.unconfirmed_losses)
        assert [each.attempt for each in unknown] == [0]
        assert planner.plan(1.1, 1.1).starts == []
        end = make_ended_run(1, run.task, RunOutcome.STOPPED, 0)
        apply_report(cluster_state, run.worker, 1.5, ends=[end], born=2)
        assert len(planner.plan(1.6, 1.6).starts) == 1

    def test_task_starts_again_after_the_lease_of_a_run_that_was_being_stopped(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job())
        (run,) = planner.plan(0.0, 0.0).starts
        cluster_state.apply_start_response(run, StartResponse.STARTED, 0.1)
        apply_report(cluster_state, run.worker, 1.0, [make_active_run(run.task, 0)], born=2)
        cluster_state.confirm_losses(cluster_state.unconfirmed_losses)
        run.worker.is_unreachable = True
        cluster_state.expire_leases(7.0)
        assert planner.plan(7.0, 7.0).starts == []
        cluster_state.expire_leases(8.0)
        assert len(planner.plan(8.0, 8.0).starts) == 1

    def test_silent_worker_that_has_restarted_is_waited_for_longer(self):
        _, worker = self.make_silent(1, 1)
        _, restarted = self.make_silent(2, 1)
        assert unknown_runs_end_at(worker, 10.0, 6.5) == 10.0
        assert unknown_runs_end_at(restarted, 10.0, 6.5) == 10.0 + LONGEST_REQUEST_DELAY_SECONDS
