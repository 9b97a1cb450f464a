import math

from jaypier.jobs.cluster_state import ATTEMPTS_PER_EPOCH
from jaypier.jobs.model import JobStatus, RunOutcome, StartResponse, TaskId
from jaypier.jobs.progress import record_progress, restore_job
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_ended_run,
    make_entry,
    make_job,
    make_planner,
    make_step,
)


class TestAdoption:
    def test_adopted_run_has_lease_before_first_renewal(self):
        # Guards against a task running twice: the unknown lease of an adopted run was treated as
        # expired, so its task was started again. Seen in scenario baridi-returns, mix
        # --seed 522192998257.
        cluster_state = make_cluster_state(0, epoch=2)
        job = make_job()
        cluster_state.insert_job(restore_job(job, None))
        worker = cluster_state.register_worker(make_entry("worker-00"), 0.0)
        task = TaskId(job.id, 0, 0, 0)
        apply_report(cluster_state, worker, 1.0, [make_active_run(task)])
        assert cluster_state.expire_leases(1.1) == []
        assert cluster_state.jobs[job.id].steps[0].tasks[0].run is not None
        assert cluster_state.expire_leases(8.0) == [worker]

    def test_recovered_jobs_wait_until_every_worker_has_reported(self):
        cluster_state = make_cluster_state(1, epoch=2)
        job = make_job()
        cluster_state.insert_job(restore_job(job, None))
        silent = cluster_state.register_worker(make_entry("worker-01"), 0.0)
        planner = make_planner(cluster_state)
        assert planner.plan(0.0, 0.0).starts == []
        apply_report(cluster_state, silent, 1.0)
        assert len(planner.plan(1.0, 1.0).starts) == 1

    def test_new_leader_uses_higher_attempt_numbers(self):
        cluster_state = make_cluster_state(1, epoch=3)
        job = make_job()
        cluster_state.insert_job(restore_job(job, None))
        (run,) = make_planner(cluster_state).plan(0.0, 0.0).starts
        assert run.attempt == 2 * ATTEMPTS_PER_EPOCH + 1

    def test_unknown_run_is_returned_for_stopping(self):
        cluster_state = make_cluster_state(1)
        worker = cluster_state.workers["worker-00"]
        unknown_run = make_active_run(TaskId("f" * 16, 0, 0, 0))
        apply_report(cluster_state, worker, 1.0, [unknown_run])
        _, unknown = apply_report(cluster_state, worker, 3.0, [unknown_run])
        assert unknown == []
        cluster_state.confirm_orphans(3.0)
        _, unknown = apply_report(cluster_state, worker, 3.1, [unknown_run])
        assert [each.task.job_id for each in unknown] == ["f" * 16]

    def test_partial_gang_of_earlier_leader_is_torn_down(self):
        cluster_state = make_cluster_state(2, epoch=2)
        job = make_job(make_step(count=2, is_gang=True))
        cluster_state.insert_job(restore_job(job, None))
        worker = cluster_state.workers["worker-00"]
        apply_report(cluster_state, worker, 1.0, [make_active_run(TaskId(job.id, 0, 0, 0))])
        cluster_state.tear_down_partial_gangs()
        assert [run.task.index for run in cluster_state.mark_obsolete_runs()] == [0]


class TestUnknownJobs:
    # Guards against a task running twice: an earlier leader had started a job whose row the new
    # leader had not read yet, on a worker that had already reported to the new leader. Seen in
    # scenario kow-jaypier-grown, trouble-3.

    def test_run_is_adopted_once_its_job_row_is_read(self):
        cluster_state = make_cluster_state(1, epoch=2)
        worker = cluster_state.workers["worker-00"]
        job = make_job()
        run = make_active_run(TaskId(job.id, 0, 0, 0))
        _, unknown = apply_report(cluster_state, worker, 1.0, [run])
        assert unknown == []
        planner = make_planner(cluster_state, job)
        assert planner.plan(1.1, 1.1).starts == []
        apply_report(cluster_state, worker, 1.2, [run])
        assert planner.plan(1.3, 1.3).starts == []
        assert worker.runs

    def test_end_is_applied_once_its_job_row_is_read(self):
        cluster_state = make_cluster_state(1, epoch=2)
        worker = cluster_state.workers["worker-00"]
        job = make_job()
        ends = [make_ended_run(1, TaskId(job.id, 0, 0, 0), RunOutcome.DONE)]
        apply_report(cluster_state, worker, 1.0, ends=ends)
        assert worker.last_processed_end == 0
        planner = make_planner(cluster_state, job)
        assert planner.plan(1.1, 1.1).starts == []
        apply_report(cluster_state, worker, 1.2, ends=ends)
        assert worker.last_processed_end == 1
        assert cluster_state.jobs[job.id].status is JobStatus.COMPLETED

    def test_new_job_waits_until_every_worker_has_reported(self):
        cluster_state = make_cluster_state(1, epoch=2)
        silent = cluster_state.register_worker(make_entry("worker-01"), 0.0)
        state = cluster_state.add_job(make_job(), may_have_started=True)
        planner = make_planner(cluster_state)
        assert planner.plan(0.0, 0.0).starts == []
        apply_report(cluster_state, silent, 0.5)
        assert len(planner.plan(0.6, 0.6).starts) == 1
        assert state.highest_attempt > ATTEMPTS_PER_EPOCH


class TestReports:
    def start_one(self, **values):
        cluster_state = make_cluster_state(2)
        job = make_job(**values)
        planner = make_planner(cluster_state, job)
        (run,) = planner.plan(0.0, 0.0).starts
        return cluster_state, job, planner, run

    def test_confirmed_run_missing_from_report_is_lost(self):
        cluster_state, job, _, run = self.start_one()
        cluster_state.apply_start_response(run, StartResponse.STARTED, 0.1)
        apply_report(cluster_state, run.worker, 0.2, sent_at=0.05)
        assert run.worker.runs
        apply_report(cluster_state, run.worker, 0.3, sent_at=0.2)
        assert not run.worker.runs

    def test_unconfirmed_run_is_kept_until_its_start_deadline(self):
        cluster_state, job, _, run = self.start_one()
        run.start_deadline = 6000
        apply_report(cluster_state, run.worker, 5.0)
        assert run.worker.runs
        apply_report(cluster_state, run.worker, 6.1)
        assert not run.worker.runs

    def test_run_whose_end_is_listed_after_that_of_an_unknown_job_is_not_lost(self):
        cluster_state, job, planner, run = self.start_one()
        cluster_state.apply_start_response(run, StartResponse.STARTED, 0.1)
        ends = [
            make_ended_run(1, TaskId("00000000000000ff", 0, 0, 0), RunOutcome.DONE),
            make_ended_run(2, run.task, RunOutcome.DONE),
        ]
        apply_report(cluster_state, run.worker, 0.5, ends=ends)
        assert planner.plan(0.5, 0.5).starts == []
        cluster_state.confirm_orphans(2.4)
        apply_report(cluster_state, run.worker, 2.5, ends=ends)
        assert cluster_state.jobs[job.id].status is JobStatus.COMPLETED

    def test_run_that_a_report_of_many_ends_leaves_out_is_not_lost(self):
        cluster_state, job, planner, run = self.start_one()
        cluster_state.apply_start_response(run, StartResponse.STARTED, 0.1)
        ends = [
            make_ended_run(number, TaskId(job.id, 0, 1, number), RunOutcome.DONE)
            for number in range(1, 501)
        ]
        apply_report(cluster_state, run.worker, 0.5, ends=ends)
        assert planner.plan(0.5, 0.5).starts == []
        end = make_ended_run(501, run.task, RunOutcome.DONE)
        apply_report(cluster_state, run.worker, 1.0, ends=[end])
        assert cluster_state.jobs[job.id].status is JobStatus.COMPLETED

    def test_run_is_kept_until_its_start_request_is_sent(self):
        cluster_state, job, _, run = self.start_one()
        apply_report(cluster_state, run.worker, 100.0)
        assert run.worker.runs

    def test_restarted_worker_has_no_runs(self):
        cluster_state, job, planner, run = self.start_one()
        apply_report(cluster_state, run.worker, 0.5, [make_active_run(run.task)])
        apply_report(cluster_state, run.worker, 1.0, born=2)
        assert not run.worker.runs
        assert planner.plan(1.0, 1.0).starts == []
        cluster_state.confirm_losses(cluster_state.unconfirmed_losses)
        assert len(planner.plan(1.0, 1.0).starts) == 1

    def test_run_started_by_new_worker_process_is_kept(self):
        # Guards against a task running twice: a restarted worker had accepted a start request
        # before its new registration was read, so the run was considered lost. Found by the fuzz
        # test, seed 22.
        cluster_state, job, planner, run = self.start_one()
        cluster_state.apply_start_response(run, StartResponse.STARTED, 0.1)
        cluster_state.register_worker(make_entry(run.worker.id, born=2), 0.2)
        assert planner.plan(0.2, 0.2).starts == []
        apply_report(cluster_state, run.worker, 0.3, [make_active_run(run.task)], born=2)
        assert planner.plan(0.3, 0.3).starts == []

    def test_entry_and_report_of_earlier_process_are_ignored(self):
        cluster_state, job, planner, run = self.start_one()
        apply_report(cluster_state, run.worker, 0.5, [make_active_run(run.task)], born=2)
        cluster_state.register_worker(make_entry(run.worker.id, born=1), 0.6)
        apply_report(cluster_state, run.worker, 0.7, born=1)
        assert run.worker.runs

    def test_end_is_applied_once(self):
        cluster_state, job, _, run = self.start_one(max_attempts=2)
        end = make_ended_run(1, run.task, RunOutcome.FAILED)
        apply_report(cluster_state, run.worker, 1.0, ends=[end])
        apply_report(cluster_state, run.worker, 2.0, ends=[end])
        assert cluster_state.jobs[job.id].status is JobStatus.RUNNING

    def test_job_fails_after_max_attempts(self):
        cluster_state, job, planner, run = self.start_one(max_attempts=1)
        apply_report(
            cluster_state, run.worker, 1.0, ends=[make_ended_run(1, run.task, RunOutcome.FAILED)]
        )
        assert cluster_state.jobs[job.id].status is JobStatus.FAILED
        assert planner.plan(10.0, 10.0).starts == []

    def test_stopped_run_resumes_from_its_checkpoint(self):
        cluster_state, job, planner, run = self.start_one()
        end = make_ended_run(1, run.task, RunOutcome.STOPPED, checkpoint="half")
        apply_report(cluster_state, run.worker, 1.0, ends=[end])
        assert cluster_state.jobs[job.id].steps[0].tasks[0].checkpoint == "half"
        (restarted,) = planner.plan(1.0, 1.0).starts
        assert restarted.attempt == 2

    def test_gang_is_done_when_one_task_is_done(self):
        cluster_state = make_cluster_state(2)
        job = make_job(make_step(count=2, accelerators=8, is_gang=True))
        runs = make_planner(cluster_state, job).plan(0.0, 0.0).starts
        apply_report(
            cluster_state,
            runs[0].worker,
            1.0,
            ends=[make_ended_run(1, runs[0].task, RunOutcome.DONE)],
        )
        assert cluster_state.jobs[job.id].status is JobStatus.COMPLETED
        assert list(cluster_state.mark_obsolete_runs()) == []

    def test_second_attempt_of_a_gang_is_stopped_once_the_first_is_known_to_be_done(self):
        # Guards against work done twice: the end of the first came after its worker was silent.
        cluster_state = make_cluster_state(4)
        job = make_job(make_step(count=2, accelerators=8, is_gang=True))
        planner = make_planner(cluster_state, job)
        first, second = planner.plan(0.0, 0.0).starts
        for run in (first, second):
            cluster_state.apply_start_response(run, StartResponse.STARTED, 0.1)
            cluster_state.extend_lease(run.worker, 0.1)
            run.worker.is_unreachable = True
        cluster_state.expire_leases(10.0)
        runs = planner.plan(10.0, 10.0).starts
        assert {run.attempt for run in runs} == {2}
        end = make_ended_run(1, first.task, RunOutcome.DONE, first.attempt)
        apply_report(cluster_state, first.worker, 10.1, ends=[end])
        assert list(cluster_state.mark_obsolete_runs()) == runs

    def test_gang_restarts_after_all_its_runs_have_ended(self):
        cluster_state = make_cluster_state(2)
        job = make_job(make_step(count=2, accelerators=8, is_gang=True))
        planner = make_planner(cluster_state, job)
        first, second = planner.plan(0.0, 0.0).starts
        apply_report(
            cluster_state,
            first.worker,
            1.0,
            ends=[make_ended_run(1, first.task, RunOutcome.PEER_ENDED)],
        )
        assert list(cluster_state.mark_obsolete_runs()) == [second]
        assert planner.plan(1.0, 1.0).starts == []
        apply_report(
            cluster_state,
            second.worker,
            2.0,
            ends=[make_ended_run(1, second.task, RunOutcome.STOPPED)],
        )
        assert {run.attempt for run in planner.plan(2.0, 2.0).starts} == {2}

    def test_job_row_after_cancellation_does_not_start(self):
        cluster_state = make_cluster_state(1)
        job = make_job()
        cluster_state.cancel_job(job.id)
        assert make_planner(cluster_state, job).plan(0.0, 0.0).starts == []
        assert cluster_state.jobs[job.id].status is JobStatus.CANCELLED


class TestProgress:
    def test_failure_reported_to_two_leaders_counts_once(self):
        # Guards against a job being reported as failed too early: a failure that a worker reported
        # to two leaders was counted twice. Seen in scenario kow-jaypier-grown, trouble-3.
        cluster_state = make_cluster_state(1)
        job = make_job(max_attempts=2)
        (run,) = make_planner(cluster_state, job).plan(0.0, 0.0).starts
        end = make_ended_run(1, run.task, RunOutcome.FAILED)
        apply_report(cluster_state, run.worker, 1.0, ends=[end])
        recorded = record_progress(cluster_state.jobs[job.id], 100.0)
        next_cluster_state = make_cluster_state(1, epoch=2)
        next_cluster_state.insert_job(restore_job(job, recorded))
        apply_report(next_cluster_state, next_cluster_state.workers["worker-00"], 2.0, ends=[end])
        assert next_cluster_state.jobs[job.id].status is JobStatus.RUNNING

    def test_progress_survives_failover(self):
        cluster_state = make_cluster_state(1)
        job = make_job(make_step(count=3, saves=True), make_step(after=(0,)), max_attempts=4)
        runs = make_planner(cluster_state, job).plan(0.0, 0.0).starts
        ends = [
            make_ended_run(1, runs[0].task, RunOutcome.DONE, runs[0].attempt),
            make_ended_run(2, runs[1].task, RunOutcome.FAILED, runs[1].attempt),
            make_ended_run(3, runs[2].task, RunOutcome.STOPPED, runs[2].attempt, "saved"),
        ]
        apply_report(cluster_state, runs[0].worker, 1.0, ends=ends)
        recorded = record_progress(cluster_state.jobs[job.id], 100.0)
        restored = restore_job(job, recorded)
        tasks = restored.steps[0].tasks
        assert [task.is_done for task in tasks] == [True, False, False]
        assert [len(task.failed_attempts) for task in tasks] == [0, 1, 0]
        assert [task.checkpoint for task in tasks] == ["", "", "saved"]
        assert restored.highest_attempt == 3
        assert restored.status is JobStatus.RUNNING


class TestDurations:
    """Which runs tell how long their tasks take."""

    def end_run(
        self, confirmed_at: float = 0.01, checkpoint: str = "", silent_since: float = -math.inf
    ) -> bool:
        """End a run that took 3 times as long as estimated; return whether anything was learned."""
        cluster_state = make_cluster_state()
        worker = cluster_state.workers["worker-00"]
        step = cluster_state.add_job(make_job(make_step(seconds=2.0))).steps[0]
        step.tasks[0].checkpoint = checkpoint
        run = cluster_state.assign_task(step, step.tasks[0], worker, 1, 0.0)
        cluster_state.apply_start_response(run, StartResponse.STARTED, confirmed_at)
        worker.silent_since = silent_since
        end = make_ended_run(1, run.task, RunOutcome.DONE)
        apply_report(cluster_state, worker, 6.0, ends=[end])
        assert step.is_done
        return bool(cluster_state.durations.fits)

    def test_run_from_start_to_end_counts(self):
        assert self.end_run()

    def test_run_from_a_checkpoint_does_not(self):
        assert not self.end_run(checkpoint="saved")

    def test_run_whose_start_was_confirmed_late_does_not(self):
        assert not self.end_run(confirmed_at=2.0)

    def test_run_whose_worker_was_silent_does_not(self):
        assert not self.end_run(silent_since=4.0)

    def test_adopted_run_does_not(self):
        cluster_state = make_cluster_state()
        worker = cluster_state.workers["worker-00"]
        state = cluster_state.add_job(make_job(make_step(seconds=2.0)), may_have_started=True)
        task = state.steps[0].tasks[0].id
        apply_report(cluster_state, worker, 1.0, runs=[make_active_run(task, 7)])
        apply_report(
            cluster_state, worker, 6.0, ends=[make_ended_run(1, task, RunOutcome.DONE, attempt=7)]
        )
        assert state.steps[0].is_done
        assert not cluster_state.durations.fits

    def test_waiting_jobs_of_the_queue_are_assessed_again(self):
        cluster_state = make_cluster_state()
        worker = cluster_state.workers["worker-00"]
        waiting = cluster_state.add_job(make_job(make_step(seconds=2.0))).steps[0]
        other = cluster_state.add_job(make_job(make_step(seconds=2.0), queue="other/")).steps[0]
        for number in range(1, 9):
            step = cluster_state.add_job(make_job(make_step(seconds=2.0))).steps[0]
            now = 10.0 * number
            run = cluster_state.assign_task(step, step.tasks[0], worker, 1, now)
            cluster_state.apply_start_response(run, StartResponse.STARTED, now)
            end = make_ended_run(number, run.task, RunOutcome.DONE)
            apply_report(cluster_state, worker, now + 4.0, ends=[end])
        assert waiting.expected_seconds > 2.0 * 1.2
        assert waiting.job.objective_seconds > waiting.job.spec.objective_seconds
        assert other.expected_seconds == 2.0
