import asyncio
import itertools

import pytest

from jaypier.jobs.model import JobStatus, RunOutcome, StartResponse, TaskId
from jaypier.jobs.progress import record_progress, restore_job
from jaypier.jobs.rows import decode_progress, decode_worker_record
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_ended_run,
    make_entry,
    make_job,
    make_planner,
    make_step,
    run_scenario,
)


def submit_crashing(harness, job):
    """Submit a job whose tasks crash each worker that starts them."""
    harness.cluster.crashing.add_job(job)
    harness.cluster.submit(job)


def crashed_workers(harness):
    """Return the number of workers that have crashed."""
    return sum(not worker.is_up for worker in harness.cluster.workers.values())


class TestCrashingTasks:
    # Regression: lost runs counted for nothing, so such a task was started without end.

    @pytest.mark.parametrize("priority", [0, 1])
    def test_task_that_crashes_its_workers_is_given_up(self, priority):
        async def scenario(harness):
            job = make_job(make_step(seconds=7.0), priority=priority)
            submit_crashing(harness, job)
            await harness.wait_status(job, JobStatus.FAILED, 30)
            assert crashed_workers(harness) <= 3

        run_scenario(scenario)

    def test_gang_that_crashes_its_workers_is_given_up(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=4, is_gang=True, seconds=7.0))
            submit_crashing(harness, job)
            await harness.wait_status(job, JobStatus.FAILED, 30)

        run_scenario(scenario, workers=8)

    def test_gang_with_one_crashing_task_is_given_up(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, is_gang=True, seconds=7.0))
            harness.cluster.crashing.tasks.add(TaskId(job.id, 0, 0, 2))
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.FAILED, 30)
            assert crashed_workers(harness) <= 3

        run_scenario(scenario, workers=8)

    def test_long_running_task_that_crashes_its_workers_is_given_up(self):
        async def scenario(harness):
            job = make_job(make_step(lasts=True))
            submit_crashing(harness, job)
            await harness.wait_status(job, JobStatus.FAILED, 30)

        run_scenario(scenario)

    @pytest.mark.parametrize(("count", "accelerators"), [(16, 1), (16, 8), (40, 8)])
    def test_job_of_many_crashing_tasks_crashes_few_workers_after_the_first_ones(
        self, count, accelerators
    ):
        async def scenario(harness):
            job = make_job(make_step(count=count, accelerators=accelerators, seconds=7.0))
            submit_crashing(harness, job)
            await harness.wait_until(lambda: crashed_workers(harness), 8)
            await asyncio.sleep(0.5)
            first_wave = crashed_workers(harness)
            await harness.wait_status(job, JobStatus.FAILED, 30)
            assert crashed_workers(harness) <= first_wave + 3

        run_scenario(scenario, workers=20)

    @pytest.mark.parametrize("return_seconds", [1.0, 8.0])
    def test_task_is_given_up_however_long_its_workers_are_away(self, return_seconds):
        async def scenario(harness):
            harness.cluster.crashing.return_seconds = return_seconds
            job = make_job(make_step(seconds=7.0))
            submit_crashing(harness, job)
            await harness.wait_status(job, JobStatus.FAILED, 40)
            assert crashed_workers(harness) <= 4

        run_scenario(scenario)

    def test_task_is_given_up_although_the_leader_changes_between_crashes(self):
        async def scenario(harness):
            job = make_job(make_step(seconds=7.0))
            submit_crashing(harness, job)
            await harness.wait_until(lambda: crashed_workers(harness), 8)
            await asyncio.sleep(5.0)
            await harness.kill(harness.leader_name)
            await harness.wait_status(job, JobStatus.FAILED, 40)
            assert crashed_workers(harness) <= 4

        run_scenario(scenario)


class TestInnocentJobs:
    def test_jobs_beside_crashing_tasks_complete(self):
        async def scenario(harness):
            crashing = [make_job(make_step(seconds=7.0)) for _ in range(3)]
            innocent = [make_job(make_step(seconds=4.0)) for _ in range(8)]
            innocent += [
                make_job(make_step(count=6, seconds=4.0, is_gang=True, saves=True))
                for _ in range(2)
            ]
            for job in innocent[:4]:
                harness.cluster.submit(job)
            for job in crashing:
                submit_crashing(harness, job)
            for job in innocent[4:]:
                harness.cluster.submit(job)
            for job in crashing:
                await harness.wait_status(job, JobStatus.FAILED, 60)
            for job in innocent:
                await harness.wait_status(job, JobStatus.COMPLETED, 60)

        run_scenario(scenario, workers=6)

    def test_jobs_complete_on_a_full_cluster_with_crashing_tasks(self):
        async def scenario(harness):
            jobs = [make_job(make_step(count=8, seconds=2.0)) for _ in range(20)]
            crashing = make_job(make_step(seconds=2.0))
            for number, job in enumerate(jobs):
                harness.cluster.submit(job)
                if number == 1:
                    submit_crashing(harness, crashing)
            await harness.wait_status(crashing, JobStatus.FAILED, 60)
            for job in jobs:
                await harness.wait_status(job, JobStatus.COMPLETED, 60)

        run_scenario(scenario)

    def test_job_whose_worker_crashed_once_completes_on_a_busy_cluster(self):
        async def scenario(harness):
            cluster = harness.cluster
            job = make_job(make_step(count=2, seconds=4.0))
            await harness.start_job(job, 2, 8)
            worker = next(each for each in cluster.workers.values() if each.active)
            worker.crash()
            cluster.crashing.replace_worker(worker)
            others = [make_job(make_step(count=8, seconds=3.0), priority=2) for _ in range(30)]
            for other in others:
                cluster.submit(other)
            await harness.wait_status(job, JobStatus.COMPLETED, 25)
            for other in others:
                await harness.wait_status(other, JobStatus.COMPLETED, 90)

        run_scenario(scenario)

    @pytest.mark.parametrize("is_gang", [False, True])
    def test_no_job_fails_through_partitions_and_crashes_of_workers(self, is_gang):
        async def scenario(harness):
            cluster = harness.cluster
            jobs = [
                make_job(make_step(count=4, seconds=3.0, accelerators=4, is_gang=is_gang))
                for _ in range(12)
            ]
            for job in jobs:
                cluster.submit(job)
            names = itertools.cycle(["worker-00", "worker-01", "worker-02"])
            for number, name in enumerate(itertools.islice(names, 6)):
                worker = cluster.workers[name]
                if number % 3 == 2:
                    worker.crash()
                    await asyncio.sleep(2.0)
                    worker.restart()
                    continue
                worker.is_partitioned = True
                await asyncio.sleep(2.0)
                cluster.unregister(worker)
                await asyncio.sleep(4.0)
                worker.is_partitioned = False
                cluster.register(worker)
            for job in jobs:
                await harness.wait_status(job, JobStatus.COMPLETED, 60)

        run_scenario(scenario, workers=5)

    def test_draining_workers_that_leave_fail_no_job(self):
        async def scenario(harness):
            cluster = harness.cluster
            jobs = [make_job(make_step(count=4, seconds=5.0, accelerators=4)) for _ in range(4)]
            for job in jobs:
                cluster.submit(job)
            for name in ("worker-00", "worker-01", "worker-02"):
                worker = cluster.workers[name]
                cluster.begin_draining(worker)
                await asyncio.sleep(2.2)
                worker.crash()
                cluster.crashing.replace_worker(worker)
            for job in jobs:
                await harness.wait_status(job, JobStatus.COMPLETED, 60)

        run_scenario(scenario, workers=5)


class CrashCase:
    """A started task on a worker whose machine is known."""

    def __init__(self, workers=1, **values):
        self.cluster_state = make_cluster_state(workers)
        self.now = 0.0
        for number, worker in enumerate(list(self.cluster_state.workers.values())):
            entry = make_entry(worker.id, worker.entry.rack, machine=f"m-{number}")
            self.cluster_state.register_worker(entry, 0.0)
        self.crashes = self.cluster_state.crashes
        self.job = make_job(**values)
        self.planner = make_planner(self.cluster_state, self.job)
        self.state = self.cluster_state.jobs[self.job.id]
        self.task = self.state.steps[0].tasks[0]

    def start(self):
        """Start the task; the worker confirms it."""
        (run,) = self.planner.plan(self.now, self.now).starts
        self.cluster_state.apply_start_response(run, StartResponse.STARTED, self.now)
        return run

    def silence(self, worker):
        self.now += 0.1
        worker.is_unreachable = True
        self.crashes.observe_silence(worker, self.now)

    def return_machine(self, worker, worker_id):
        """Register the next process of a worker's machine, under another id."""
        self.now += 3.0
        entry = make_entry(
            worker_id, worker.entry.rack, machine=worker.entry.machine, born=worker.born + 1
        )
        successor = self.cluster_state.register_worker(entry, self.now)
        apply_report(self.cluster_state, successor, self.now, born=entry.born)
        return successor

    def settle(self):
        """Drop the workers whose processes have ended; the store then confirms a write."""
        ended = self.crashes.settle_ended_processes()
        for worker in ended:
            self.cluster_state.remove_worker(worker)
        self.cluster_state.confirm_losses(self.cluster_state.unconfirmed_losses)
        return ended

    def expire_lease(self, worker):
        self.now += 10.0
        assert self.cluster_state.expire_leases(self.now) == [worker]


class TestProof:
    def test_next_process_of_the_machine_proves_the_crash(self):
        case = CrashCase()
        run = case.start()
        case.silence(run.worker)
        assert case.settle() == []
        case.return_machine(run.worker, "worker-99")
        assert case.settle() == [run.worker]
        assert case.task.run is None
        assert case.task.crashed_attempts == {1}
        assert [crash.tasks for crash in case.crashes.crashes] == [[run.task]]

    @pytest.mark.parametrize("values", [{}, {"service": "other"}])
    def test_entry_without_a_report_proves_nothing(self, values):
        case = CrashCase()
        run = case.start()
        case.silence(run.worker)
        machine = run.worker.entry.machine
        entry = make_entry("worker-99", run.worker.entry.rack, machine=machine, born=9, **values)
        case.cluster_state.register_worker(entry, 1.0)
        assert case.settle() == []
        assert case.task.run is run

    @pytest.mark.parametrize("values", [{"rack": "rack-9"}, {"data_centre": "dc-z"}])
    def test_worker_at_another_place_proves_nothing(self, values):
        case = CrashCase()
        run = case.start()
        case.silence(run.worker)
        machine = run.worker.entry.machine
        values = {"rack": run.worker.entry.rack, **values}
        entry = make_entry("worker-99", machine=machine, born=9, **values)
        successor = case.cluster_state.register_worker(entry, 1.0)
        apply_report(case.cluster_state, successor, 1.0, born=9)
        assert case.settle() == []
        assert case.task.run is run

    def test_silent_process_does_not_prove_that_an_earlier_one_has_ended(self):
        case = CrashCase()
        run = case.start()
        successor = case.return_machine(run.worker, "worker-99")
        case.silence(run.worker)
        case.silence(successor)
        assert case.settle() == []
        assert case.task.run is run

    def test_worker_that_responds_has_not_ended(self):
        case = CrashCase()
        run = case.start()
        case.return_machine(run.worker, "worker-99")
        assert case.settle() == []
        assert case.task.run is run

    def test_older_process_of_the_machine_proves_nothing(self):
        case = CrashCase()
        run = case.start()
        case.silence(run.worker)
        entry = make_entry("worker-99", machine=run.worker.entry.machine, born=0)
        case.cluster_state.register_worker(entry, 1.0)
        assert case.settle() == []

    @pytest.mark.parametrize("machine", ["", "m-1"])
    def test_other_or_unknown_machine_proves_nothing(self, machine):
        case = CrashCase()
        run = case.start()
        case.silence(run.worker)
        case.cluster_state.register_worker(make_entry("worker-99", machine=machine, born=9), 1.0)
        assert case.settle() == []

    def test_restart_under_the_same_id_proves_the_crash(self):
        case = CrashCase()
        run = case.start()
        case.silence(run.worker)
        apply_report(case.cluster_state, run.worker, 3.0, born=2)
        assert case.task.crashed_attempts == {1}

    def test_run_started_by_the_new_process_is_not_blamed(self):
        case = CrashCase()
        run = case.start()
        apply_report(case.cluster_state, run.worker, 0.5, [make_active_run(run.task)], born=2)
        assert case.task.run is run
        assert not case.task.crashed_attempts

    @pytest.mark.parametrize("is_dropped", [False, True])
    def test_proof_after_the_lease_has_expired_counts(self, is_dropped):
        case = CrashCase(workers=2)
        run = case.start()
        case.silence(run.worker)
        case.expire_lease(run.worker)
        if is_dropped:
            case.cluster_state.remove_worker(run.worker)
        second = case.start()
        assert second.worker is not run.worker
        case.return_machine(run.worker, "worker-99")
        case.settle()
        assert case.task.crashed_attempts == {1}
        assert case.task.run is second

    def test_proof_after_the_task_has_worked_elsewhere_does_not_count(self):
        case = CrashCase(workers=2)
        first = case.start()
        case.silence(first.worker)
        case.expire_lease(first.worker)
        second = case.start()
        report = [make_active_run(second.task, second.attempt)]
        apply_report(case.cluster_state, second.worker, case.now + 2.5, report)
        case.return_machine(first.worker, "worker-99")
        case.settle()
        assert not case.state.crash_suspects

    def test_silence_alone_is_withdrawn_when_the_worker_is_back(self):
        case = CrashCase(workers=2)
        run = case.start()
        case.silence(run.worker)
        case.expire_lease(run.worker)
        assert case.state.crash_suspects == {run.task}
        apply_report(case.cluster_state, run.worker, case.now)
        assert not case.state.crash_suspects
        assert not case.task.suspected_crashes

    def test_draining_worker_that_leaves_has_not_crashed(self):
        case = CrashCase()
        run = case.start()
        entry = make_entry(run.worker.id, is_ready=False, machine=run.worker.entry.machine)
        case.cluster_state.register_worker(entry, 0.2)
        case.silence(run.worker)
        case.return_machine(run.worker, "worker-99")
        assert case.settle() == [run.worker]
        assert not case.state.crash_suspects
        assert case.crashes.crashes == []

    def test_run_that_has_worked_is_not_blamed(self):
        case = CrashCase()
        run = case.start()
        apply_report(case.cluster_state, run.worker, 2.5, [make_active_run(run.task)])
        case.silence(run.worker)
        case.return_machine(run.worker, "worker-99")
        case.settle()
        assert not case.state.crash_suspects

    def test_adopted_run_is_not_blamed(self):
        case = CrashCase()
        worker = case.cluster_state.workers["worker-00"]
        task = TaskId(case.job.id, 0, 0, 0)
        apply_report(case.cluster_state, worker, 0.1, [make_active_run(task)])
        case.silence(worker)
        case.return_machine(worker, "worker-99")
        assert case.settle() == [worker]
        assert not case.state.crash_suspects


class TestGivingUp:
    def crash_once(self, case, number, others=()):
        run = case.start()
        case.silence(run.worker)
        for other in others:
            case.crashes.observe_silence(other, case.now)
        case.return_machine(run.worker, f"worker-9{number}")
        case.settle()

    def test_second_crash_gives_the_task_up(self):
        case = CrashCase()
        self.crash_once(case, 1)
        assert case.state.status is JobStatus.RUNNING
        self.crash_once(case, 2)
        assert case.state.status is JobStatus.FAILED
        assert [each.task for each in case.crashes.given_up] == [case.task.id]
        assert case.job.id in case.cluster_state.dirty_jobs

    def test_crashes_together_with_other_workers_count_less(self):
        case = CrashCase(workers=3)
        idle = case.cluster_state.workers["worker-02"]
        self.crash_once(case, 1, [idle])
        self.crash_once(case, 2, [idle])
        assert case.state.status is JobStatus.RUNNING
        self.crash_once(case, 3, [idle])
        assert case.state.status is JobStatus.FAILED

    def test_machines_that_do_not_come_back_count_less(self):
        case = CrashCase(workers=4)
        for status in (JobStatus.RUNNING, JobStatus.RUNNING, JobStatus.FAILED):
            run = case.start()
            case.silence(run.worker)
            case.expire_lease(run.worker)
            case.cluster_state.remove_worker(run.worker)
            assert case.state.status is status

    @pytest.mark.parametrize(
        ("crashes", "status"),
        [([{1}, {2}, {3}], JobStatus.RUNNING), ([{1, 2}, {3}, set()], JobStatus.FAILED)],
    )
    def test_crashes_of_a_gang_count_together(self, crashes, status):
        case = CrashCase()
        gang = make_job(make_step(count=3, is_gang=True))
        state = case.cluster_state.add_job(gang)
        state.status = JobStatus.RUNNING
        (step,) = state.steps
        for task, attempts in zip(step.tasks, crashes, strict=True):
            task.suspected_crashes = attempts
        case.crashes.give_up_crashing_task(step, step.tasks[2])
        assert state.status is status

    def test_work_without_a_crash_clears_the_task(self):
        case = CrashCase()
        self.crash_once(case, 1)
        run = case.start()
        report = [make_active_run(run.task, run.attempt)]
        apply_report(case.cluster_state, run.worker, case.now + 2.5, report, born=2)
        assert not case.task.crashed_attempts
        assert not case.state.crash_suspects

    def test_repeated_end_of_an_earlier_attempt_does_not_clear_the_task(self):
        case = CrashCase(workers=2)
        self.crash_once(case, 1)
        worker = next(iter(case.cluster_state.workers.values()))
        end = make_ended_run(1, case.task.id, RunOutcome.FAILED, 0)
        apply_report(case.cluster_state, worker, case.now, ends=[end], born=worker.born)
        assert case.task.crashed_attempts == {1}
        assert case.state.crash_suspects == {case.task.id}

    def test_task_that_is_done_is_not_suspected(self):
        case = CrashCase()
        run = case.start()
        case.cluster_state.finish_task(run.step, case.task)
        case.silence(run.worker)
        assert not case.state.crash_suspects

    def test_earlier_silence_of_a_worker_that_responds_again_does_not_count(self):
        case = CrashCase()
        worker = case.cluster_state.workers["worker-00"]
        case.silence(worker)
        apply_report(case.cluster_state, worker, 1.0)
        case.now = 5.0
        run = case.start()
        apply_report(case.cluster_state, worker, 5.5, born=2)
        assert case.task.crashed_attempts == set()
        assert case.state.crash_suspects == {run.task}

    def test_failure_by_itself_clears_the_task(self):
        case = CrashCase()
        self.crash_once(case, 1)
        run = case.start()
        end = make_ended_run(1, run.task, RunOutcome.FAILED, run.attempt)
        apply_report(case.cluster_state, run.worker, case.now + 0.5, ends=[end], born=2)
        assert not case.task.crashed_attempts
        assert len(case.task.failed_attempts) == 1

    def test_crashes_survive_a_takeover(self):
        case = CrashCase()
        self.crash_once(case, 1)
        restored = restore_job(case.job, record_progress(case.state, 0.0))
        assert restored.steps[0].tasks[0].crashed_attempts == {1}
        assert restored.crash_suspects == {case.task.id}

    def test_suspicion_is_recorded_before_the_machine_is_back(self):
        case = CrashCase()
        run = case.start()
        case.cluster_state.dirty_jobs.clear()
        case.silence(run.worker)
        assert case.cluster_state.dirty_jobs == {case.job.id}
        restored = restore_job(case.job, record_progress(case.state, 0.0))
        assert restored.steps[0].tasks[0].possible_crashes == {1}
        assert restored.crash_suspects == {run.task}

    def test_trial_counts_although_its_leader_ends_before_the_crash_is_noticed(self):
        case = CrashCase()
        self.crash_once(case, 1)
        case.cluster_state.dirty_jobs.clear()
        (run,) = case.planner.plan(case.now, case.now).starts
        assert case.cluster_state.dirty_jobs == {case.job.id}
        restored = restore_job(case.job, record_progress(case.state, 0.0))
        assert restored.steps[0].tasks[0].possible_crashes == {1, run.attempt}

    @pytest.mark.parametrize("is_adopted", [False, True])
    def test_trial_that_has_not_crashed_its_worker_does_not_count(self, is_adopted):
        case = CrashCase()
        self.crash_once(case, 1)
        run = case.start()
        cluster_state, state, worker = case.cluster_state, case.state, run.worker
        if is_adopted:
            state = restore_job(case.job, record_progress(case.state, 0.0))
            cluster_state = make_cluster_state(0, epoch=2)
            cluster_state.insert_job(state)
            worker = cluster_state.register_worker(worker.entry, case.now)
        end = make_ended_run(1, run.task, RunOutcome.STOPPED, run.attempt)
        apply_report(cluster_state, worker, case.now + 0.5, ends=[end], born=2)
        assert cluster_state.dirty_jobs == {case.job.id}
        restored = restore_job(case.job, record_progress(state, 0.0))
        assert restored.steps[0].tasks[0].possible_crashes == {1}

    def test_lost_trial_is_recorded_without_suspicion_once_its_worker_reports(self):
        case = CrashCase()
        self.crash_once(case, 1)
        run = case.start()
        case.cluster_state.dirty_jobs.clear()
        apply_report(case.cluster_state, run.worker, case.now + 0.5, born=2)
        assert case.cluster_state.dirty_jobs == {case.job.id}
        restored = restore_job(case.job, record_progress(case.state, 0.0))
        assert restored.steps[0].tasks[0].possible_crashes == {1}

    @pytest.mark.parametrize(
        ("crashed", "suspected", "status"),
        [
            ({1, 2}, set(), JobStatus.FAILED),
            (set(), {1, 2, 3, 4}, JobStatus.FAILED),
            # Partitions that a takeover followed each time, whose workers have come back.
            (set(), {1, 65, 129}, JobStatus.RUNNING),
            ({1}, {65, 129}, JobStatus.RUNNING),
        ],
    )
    def test_restored_task_is_given_up_after_certain_or_many_crashes(
        self, crashed, suspected, status
    ):
        case = CrashCase()
        case.state.status = JobStatus.RUNNING
        case.task.crashed_attempts, case.task.suspected_crashes = crashed, suspected
        cluster_state = make_cluster_state(1, epoch=2)
        restored = restore_job(case.job, record_progress(case.state, 0.0))
        cluster_state.insert_job(restored)
        cluster_state.crashes.give_up_restored_tasks()
        assert restored.status is status

    def test_restored_suspicions_survive_a_second_takeover(self):
        case = CrashCase()
        case.task.suspected_crashes = {1, 2}
        once = restore_job(case.job, record_progress(case.state, 0.0))
        twice = restore_job(case.job, record_progress(once, 0.0))
        assert twice.steps[0].tasks[0].possible_crashes == {1, 2}


class TestRowsOfEarlierVersions:
    def test_progress_without_crashes_is_decoded(self):
        row = {"queue": "q", "team": "t", "status": "running", "attempt": 3, "steps": [{}]}
        restored = restore_job(make_job(), decode_progress(row))
        assert not restored.crash_suspects

    def test_worker_without_machine_is_decoded(self):
        row = {
            "id": "worker-00",
            "service": "desk",
            "address": {"host": "127.0.0.1", "port": 1},
            "data_centre": "dc-a",
            "rack": "rack-1",
            "labels": [],
            "capacity": {"processor_millis": 1, "memory_mb": 1, "accelerators": 1},
            "is_ready": True,
            "born": 1,
            "clock": 0,
        }
        assert decode_worker_record(row).entry.machine == ""
