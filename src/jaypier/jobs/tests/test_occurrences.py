"""Jobs that run repeatedly on a schedule."""

from jaypier.jobs.cluster_state import MAX_OPEN_OCCURRENCES, MAX_OPEN_TASKS
from jaypier.jobs.model import JobStatus
from jaypier.jobs.progress import record_progress, restore_job
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_job,
    make_step,
    run_scenario,
)


def start_times_by_occurrence(harness, job) -> dict[int, list[float]]:
    """Return the start times of a job's tasks by occurrence, in seconds."""
    found: dict[int, list[float]] = {}
    for run in harness.cluster.runs.values():
        if run.task.job_id == job.id:
            found.setdefault(run.task.occurrence, []).append(run.started_at)
    return found


class TestSchedule:
    def test_each_occurrence_runs_once_when_it_is_due(self):
        async def scenario(harness):
            job = make_job(
                make_step(count=2, seconds=0.5),
                make_step(seconds=0.5, after=(0,)),
                repeats=3,
                first_start_at=5.0,
                interval_seconds=4.0,
            )
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 25)
            starts = start_times_by_occurrence(harness, job)
            assert {number: len(times) for number, times in starts.items()} == {0: 3, 1: 3, 2: 3}
            assert all(
                0 <= min(starts[number]) - job.earliest_start_at(number) < 0.5 for number in starts
            )

        run_scenario(scenario)

    def test_occurrences_may_overlap(self):
        async def scenario(harness):
            job = make_job(
                make_step(seconds=4.0), repeats=4, first_start_at=3.0, interval_seconds=1.0
            )
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 14)
            assert len(start_times_by_occurrence(harness, job)) == 4

        run_scenario(scenario)

    def test_cancelled_job_starts_no_further_occurrences(self):
        async def scenario(harness):
            job = make_job(
                make_step(seconds=0.5), repeats=100, first_start_at=1.0, interval_seconds=1.0
            )
            harness.cluster.submit(job)
            await harness.wait_until(lambda: len(start_times_by_occurrence(harness, job)) == 3, 10)
            harness.cluster.cancel(job.id)
            await harness.wait_status(job, JobStatus.CANCELLED, 2)

        run_scenario(scenario)

    def test_open_tasks_of_late_job_are_bounded(self):
        cluster_state = make_cluster_state(1)
        step = make_step(count=MAX_OPEN_TASKS // 4)
        state = cluster_state.add_job(make_job(step, repeats=1000, first_start_at=0.0))
        cluster_state.open_due_occurrences(1e9)
        assert sum(len(step.tasks) for step in state.steps) == MAX_OPEN_TASKS

    def test_occurrence_of_any_size_is_opened(self):
        cluster_state = make_cluster_state(1)
        step = make_step(count=2 * MAX_OPEN_TASKS)
        state = cluster_state.add_job(make_job(step, repeats=1000, first_start_at=0.0))
        cluster_state.open_due_occurrences(1e9)
        assert len(state.occurrences) == 1

    def test_open_occurrences_of_late_job_are_bounded(self):
        cluster_state = make_cluster_state(1)
        state = cluster_state.add_job(
            make_job(repeats=1000, first_start_at=0.0, interval_seconds=0.1)
        )
        assert cluster_state.open_due_occurrences(200.0)
        assert len(state.occurrences) == MAX_OPEN_OCCURRENCES
        assert not cluster_state.open_due_occurrences(200.0)


class TestFailover:
    def test_new_leader_runs_remaining_occurrences(self):
        async def scenario(harness):
            job = make_job(
                make_step(count=2, seconds=2.0), repeats=4, first_start_at=4.0, interval_seconds=3.0
            )
            harness.cluster.submit(job)
            await harness.wait_until(lambda: len(start_times_by_occurrence(harness, job)) == 2, 12)
            await harness.kill(harness.leader_name)
            await harness.wait_status(job, JobStatus.COMPLETED, 30)
            assert {len(times) for times in start_times_by_occurrence(harness, job).values()} == {2}

        run_scenario(scenario)

    def test_progress_holds_open_occurrences_only(self):
        cluster_state = make_cluster_state(1)
        job = make_job(make_step(count=2), repeats=5, first_start_at=0.0, interval_seconds=1.0)
        state = cluster_state.add_job(job)
        cluster_state.open_due_occurrences(2.0)
        for task in state.occurrences[0][0].tasks:
            cluster_state.finish_task(state.occurrences[0][0], task)
        state.occurrences[1][0].tasks[1].is_done = True
        cluster_state.open_due_occurrences(2.0)
        restored = restore_job(job, record_progress(state, 0.0))
        assert sorted(restored.occurrences) == [1, 2]
        assert restored.next_occurrence == 3
        assert [task.is_done for task in restored.occurrences[1][0].tasks] == [False, True]

    def test_run_of_occurrence_not_yet_due_locally_is_adopted(self):
        """The clocks of VMs differ: by that of the earlier leader the occurrence was due."""
        cluster_state = make_cluster_state(1, epoch=2)
        job = make_job(repeats=5, first_start_at=100.0, interval_seconds=10.0)
        state = cluster_state.add_job(job, may_have_started=True)
        (worker,) = cluster_state.workers.values()
        state.open_occurrence(0)
        task = state.occurrences[0][0].tasks[0].id
        state.occurrences.clear()
        state.next_occurrence = 0
        _, unknown = apply_report(cluster_state, worker, 1.0, runs=[make_active_run(task)])
        assert unknown == []
        assert [run.task for run in state.runs] == [task]
        assert state.next_occurrence == 1


class TestEstimates:
    def test_critical_path_is_longest_of_open_occurrences(self):
        steps = [make_step(seconds=2.0), make_step(seconds=3.0, after=(0,))]
        cluster_state = make_cluster_state(1)
        state = cluster_state.add_job(make_job(*steps, repeats=2, first_start_at=0.0))
        cluster_state.open_due_occurrences(1.0)
        for step in state.occurrences[0]:
            cluster_state.finish_task(step, step.tasks[0])
        assert state.remaining_critical_path_seconds() == 5.0
