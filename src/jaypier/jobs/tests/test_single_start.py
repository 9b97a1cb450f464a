"""Tasks that start once whatever happens to their requests, and jobs that are not preemptible."""

import asyncio

import attrs
import pytest

from jaypier.jobs.model import JobStatus, StartResponse
from jaypier.jobs.rows import job_key, worker_key
from jaypier.jobs.tests.builders import (
    make_cluster_state,
    make_job,
    make_planner,
    make_step,
    run_scenario,
)
from jaypier.jobs.worker_interface import WorkerUnreachable

SINGLE_START = {"is_repeatable": False, "is_preemptible": False, "max_attempts": 1}


def count_starts(harness, job) -> int:
    return sum(task.job_id == job.id for task, _, _ in harness.cluster.runs)


class TestSingleStart:
    def test_job_starts_once(self):
        async def scenario(harness):
            job = make_job(make_step(count=3, is_gang=True), **SINGLE_START)
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            assert count_starts(harness, job) == 3

        run_scenario(scenario)

    def test_outcome_is_unknown_after_worker_loss(self):
        async def scenario(harness):
            job = make_job(make_step(seconds=5.0), **SINGLE_START)
            harness.cluster.submit(job)
            await harness.wait_until(lambda: count_starts(harness, job) == 1, 8)
            (worker,) = [each for each in harness.cluster.workers.values() if each.active]
            worker.crash()
            worker.restart()
            await harness.wait_status(job, JobStatus.UNKNOWN, 20)
            await harness.wait_until(
                lambda: not harness.cluster.workers[worker.entry.id].active, 20
            )
            assert count_starts(harness, job) == 1

        run_scenario(scenario)

    def test_run_continues_under_new_leader(self):
        async def scenario(harness):
            job = make_job(make_step(seconds=8.0), **SINGLE_START)
            harness.cluster.submit(job)
            await harness.wait_until(lambda: count_starts(harness, job) == 1, 8)
            await harness.kill(harness.leader_name)
            await harness.wait_status(job, JobStatus.COMPLETED, 20)
            assert count_starts(harness, job) == 1

        run_scenario(scenario)

    def test_outcome_is_unknown_after_leader_and_worker_loss(self):
        async def scenario(harness):
            job = make_job(make_step(seconds=8.0), **SINGLE_START)
            harness.cluster.submit(job)
            await harness.wait_until(lambda: count_starts(harness, job) == 1, 8)
            await harness.kill(harness.leader_name)
            (worker,) = [each for each in harness.cluster.workers.values() if each.active]
            worker.crash()
            worker.restart()
            await harness.wait_status(job, JobStatus.UNKNOWN, 20)
            assert count_starts(harness, job) == 1

        run_scenario(scenario)

    def test_lost_task_of_a_job_that_still_runs_is_not_started_again(self):
        """Regression (fuzz seed 1004): one of two tasks is lost with its worker at a takeover."""

        async def scenario(harness):
            job = make_job(make_step(count=2, accelerators=8, seconds=8.0), **SINGLE_START)
            harness.cluster.submit(job)
            await harness.wait_until(lambda: count_starts(harness, job) == 2, 8)
            await harness.kill(harness.leader_name)
            worker = [each for each in harness.cluster.workers.values() if each.active][0]
            worker.crash()
            worker.restart()
            await harness.wait_status(job, JobStatus.UNKNOWN, 20)
            await asyncio.sleep(10.0)
            assert count_starts(harness, job) == 2

        run_scenario(scenario)

    def test_start_waits_until_recorded_in_store(self):
        async def scenario(harness):
            job, other = make_job(**SINGLE_START), make_job()
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            # No task starts on a worker before the store records it.
            keys = {worker_key(worker_id) for worker_id in harness.cluster.workers}
            await harness.wait_until(lambda: keys <= harness.store.rows.keys(), 1)
            harness.cluster.submit(job)
            harness.cluster.submit(other)
            harness.store.is_down = True
            leader = harness.leaders[harness.leader_name]
            for each in (job, other):
                leader.apply_notified_row(harness.store.rows[job_key(each.id)])
            await harness.wait_until(lambda: count_starts(harness, other) == 1, 1.5)
            assert count_starts(harness, job) == 0
            harness.store.is_down = False
            await harness.wait_status(job, JobStatus.COMPLETED, 20)
            assert count_starts(harness, job) == 1

        run_scenario(scenario)

    def test_failed_job_is_not_retried(self):
        async def scenario(harness):
            for worker in harness.cluster.workers.values():
                worker.fails_all_runs = True
            job = make_job(**SINGLE_START)
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.FAILED, 8)
            assert count_starts(harness, job) == 1

        run_scenario(scenario)


REFUSALS = [response for response in StartResponse if response is not StartResponse.STARTED]


class TestAnswersAfterUnansweredTries:
    """An answer to a later try does not tell what an earlier one without an answer will do."""

    @pytest.mark.parametrize("response", REFUSALS)
    @pytest.mark.parametrize("is_gang", [False, True])
    def test_refused_run_is_not_started_elsewhere(self, response, is_gang):
        async def scenario(harness):
            cluster = harness.cluster
            cluster.delayed_starts, cluster.answers_beside_pending_start = 1, (response,)
            job = make_job(make_step(count=3, accelerators=2, seconds=6.0, is_gang=is_gang))
            cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 40)
            assert is_gang or count_starts(harness, job) == 3

        run_scenario(scenario)

    @pytest.mark.parametrize("response", REFUSALS)
    def test_job_that_is_not_repeatable_starts_at_most_once(self, response):
        async def scenario(harness):
            cluster = harness.cluster
            cluster.delayed_starts, cluster.answers_beside_pending_start = 1, (response,)
            job = make_job(make_step(seconds=3.0), **SINGLE_START)
            cluster.submit(job)
            await harness.wait_until(
                lambda: harness.status(job) is not None and harness.status(job).is_final, 40
            )
            assert count_starts(harness, job) <= 1

        run_scenario(scenario)

    @pytest.mark.parametrize("response", REFUSALS)
    def test_refused_run_is_not_started_elsewhere_while_its_stop_is_late(self, response):
        async def scenario(harness):
            cluster = harness.cluster
            cluster.delayed_starts, cluster.answers_beside_pending_start = 1, (response,)
            cluster.delayed_stops = 4
            job = make_job(make_step(seconds=6.0))
            cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 40)

        run_scenario(scenario)

    @pytest.mark.parametrize("response", REFUSALS)
    def test_refused_run_is_not_started_elsewhere_by_the_next_leader(self, response):
        async def scenario(harness):
            cluster = harness.cluster
            cluster.delayed_starts, cluster.answers_beside_pending_start = 1, (response,)
            cluster.delay_seconds = 4.0
            job = make_job(make_step(seconds=6.0))
            cluster.submit(job)
            await harness.wait_until(lambda: cluster.delayed_starts == 0, 8)
            await asyncio.sleep(0.5)
            if harness.leader_name is not None:
                await harness.kill(harness.leader_name)
            await harness.wait_status(job, JobStatus.COMPLETED, 40)

        run_scenario(scenario)

    def test_run_that_ended_before_the_next_try_is_not_started_again(self):
        async def scenario(harness):
            find_link = harness.cluster.link

            def link(name, entry):
                link = find_link(name, entry)
                renew = link.renew

                async def lose_report(*arguments):
                    report = await renew(*arguments)
                    if harness.cluster.runs and harness.clock.now() < reports_lost_until:
                        raise WorkerUnreachable("report lost")
                    return report

                link.renew = lose_report
                return link

            harness.cluster.link = link
            reports_lost_until = harness.clock.now() + 4.0
            harness.cluster.lost_start_responses = 1
            job = make_job(make_step(seconds=0.2))
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 10)
            assert count_starts(harness, job) == 1

        run_scenario(scenario)


class TestPreemption:
    def test_urgent_job_preempts_only_preemptible_jobs(self):
        non_preemptible = make_job(make_step(accelerators=8), is_preemptible=False)
        preemptible = make_job(make_step(accelerators=8))
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, non_preemptible, preemptible)
        runs = {run.task.job_id: run for run in planner.plan(0.0, 0.0).starts}
        urgent = make_job(make_step(accelerators=8), priority=0)
        planner.observe_job(cluster_state.add_job(urgent), 0.0)
        stops = planner.plan(1.0, 1.0).stops
        assert stops == [runs[preemptible.id]]

    def test_non_preemptible_job_is_not_preempted(self):
        cluster_state = make_cluster_state(1)
        planner = make_planner(
            cluster_state, make_job(make_step(accelerators=8), is_preemptible=False)
        )
        assert len(planner.plan(0.0, 0.0).starts) == 1
        urgent = attrs.evolve(make_job(make_step(accelerators=8)), priority=0)
        planner.observe_job(cluster_state.add_job(urgent), 0.0)
        assert planner.plan(1.0, 1.0).stops == []


class TestGuaranteesWithNonPreemptibleJobs:
    """Non-preemptible jobs leave enough capacity for every team to claim its guarantee."""

    def starts(self, *teams: str, **guarantees: int) -> list[str]:
        jobs = [
            make_job(make_step(accelerators=8), team=team, is_preemptible=False) for team in teams
        ]
        planner = make_planner(make_cluster_state(2), *jobs, **guarantees)
        runs = planner.plan(0.0, 0.0).starts + planner.plan(1.0, 1.0).starts
        return [run.step.job.spec.team for run in runs]

    def test_job_of_another_team_leaves_guarantees_free(self):
        assert self.starts("c", a=8, b=8) == []
        assert self.starts("c", "c", a=8) == ["c"]

    def test_job_runs_within_guarantee_of_its_team(self):
        assert self.starts("a", "b", a=8, b=8) == ["a", "b"]

    def test_steps_are_checked_separately(self):
        """A job runs whose consecutive steps together need more than all workers have."""
        steps = [make_step(count=2, accelerators=8, after=tuple(range(n))) for n in range(2)]
        planner = make_planner(make_cluster_state(2), make_job(*steps, is_preemptible=False))
        assert len(planner.plan(0.0, 0.0).starts) == 2

    def test_open_occurrences_are_checked_separately(self):
        job = make_job(
            make_step(count=2, accelerators=8), is_preemptible=False, repeats=3, first_start_at=0.0
        )
        planner = make_planner(make_cluster_state(2), job)
        planner.cluster_state.open_due_occurrences(1.0)
        assert len(planner.plan(0.0, 0.0).starts) == 2

    def test_jobs_beyond_guarantee_wait(self):
        assert self.starts("a", "a", a=8, b=8) == ["a"]
