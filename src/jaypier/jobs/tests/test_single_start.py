"""Jobs that must not be started twice, and jobs that must not be stopped for others."""

import attrs

from jaypier.jobs.model import JobStatus
from jaypier.jobs.tests.builders import make_board, make_job, make_planner, make_step, run_scenario

SINGLE = {"is_repeatable": False, "is_preemptible": False, "max_attempts": 1}


def starts_of(bench, job) -> int:
    return sum(task.job == job.id for task, _, _ in bench.cluster.runs)


class TestSingleStart:
    def test_job_runs_once(self):
        async def scenario(bench):
            job = make_job(make_step(count=3, is_gang=True), **SINGLE)
            bench.cluster.submit(job)
            await bench.wait_status(job, JobStatus.COMPLETED, 8)
            assert starts_of(bench, job) == 3

        run_scenario(scenario)

    def test_loss_of_its_worker_makes_its_outcome_unknown(self):
        async def scenario(bench):
            job = make_job(make_step(seconds=5.0), **SINGLE)
            bench.cluster.submit(job)
            await bench.wait_until(lambda: starts_of(bench, job) == 1, 8)
            (held,) = [each for each in bench.cluster.workers.values() if each.active]
            held.crash()
            held.restart()
            await bench.wait_status(job, JobStatus.UNKNOWN, 20)
            await bench.wait_until(lambda: not bench.cluster.workers[held.entry.id].active, 20)
            assert starts_of(bench, job) == 1

        run_scenario(scenario)

    def test_run_goes_on_under_the_next_leader(self):
        async def scenario(bench):
            job = make_job(make_step(seconds=8.0), **SINGLE)
            bench.cluster.submit(job)
            await bench.wait_until(lambda: starts_of(bench, job) == 1, 8)
            await bench.kill(bench.leader_name)
            await bench.wait_status(job, JobStatus.COMPLETED, 20)
            assert starts_of(bench, job) == 1

        run_scenario(scenario)

    def test_loss_of_leader_and_worker_makes_its_outcome_unknown(self):
        async def scenario(bench):
            job = make_job(make_step(seconds=8.0), **SINGLE)
            bench.cluster.submit(job)
            await bench.wait_until(lambda: starts_of(bench, job) == 1, 8)
            await bench.kill(bench.leader_name)
            (held,) = [each for each in bench.cluster.workers.values() if each.active]
            held.crash()
            held.restart()
            await bench.wait_status(job, JobStatus.UNKNOWN, 20)
            assert starts_of(bench, job) == 1

        run_scenario(scenario)

    def test_start_waits_until_the_store_knows_of_it(self):
        async def scenario(bench):
            job, other = make_job(**SINGLE), make_job()
            await bench.wait_until(lambda: bench.leader_name is not None, 5)
            bench.cluster.submit(job)
            bench.cluster.submit(other)
            bench.store.is_down = True
            leader = bench.leaders[bench.leader_name]
            await bench.wait_until(lambda: job.id not in leader.board.jobs, 1)
            bench.store.is_down = False
            await bench.wait_until(lambda: job.id in leader.board.jobs, 1)
            bench.store.is_down = True
            await bench.wait_until(lambda: starts_of(bench, other) == 1, 1.5)
            assert starts_of(bench, job) == 0
            bench.store.is_down = False
            await bench.wait_status(job, JobStatus.COMPLETED, 20)
            assert starts_of(bench, job) == 1

        run_scenario(scenario)

    def test_failure_is_final(self):
        async def scenario(bench):
            for worker in bench.cluster.workers.values():
                worker.fails_all_runs = True
            job = make_job(**SINGLE)
            bench.cluster.submit(job)
            await bench.wait_status(job, JobStatus.FAILED, 8)
            assert starts_of(bench, job) == 1

        run_scenario(scenario)


class TestPreemption:
    def test_urgent_job_stops_only_what_may_be_stopped(self):
        fixed = make_job(make_step(accelerators=8), is_preemptible=False)
        loose = make_job(make_step(accelerators=8))
        board = make_board(2)
        planner = make_planner(board, fixed, loose)
        held = {run.task.job: run for run in planner.plan(0.0, 0.0).starts}
        urgent = make_job(make_step(accelerators=8), priority=0)
        planner.note_job(board.add_job(urgent), 0.0)
        stops = planner.plan(1.0, 1.0).stops
        assert stops == [held[loose.id]]

    def test_nothing_is_stopped_where_nothing_may_be(self):
        board = make_board(1)
        planner = make_planner(board, make_job(make_step(accelerators=8), is_preemptible=False))
        assert len(planner.plan(0.0, 0.0).starts) == 1
        urgent = attrs.evolve(make_job(make_step(accelerators=8)), priority=0)
        planner.note_job(board.add_job(urgent), 0.0)
        assert planner.plan(1.0, 1.0).stops == []


class TestGuaranteesBesideFixedJobs:
    """A team can reclaim its guarantee though jobs run that cannot be stopped."""

    def starts(self, *teams: str, **guarantees: int) -> list[str]:
        jobs = [
            make_job(make_step(accelerators=8), team=team, is_preemptible=False) for team in teams
        ]
        planner = make_planner(make_board(2), *jobs, **guarantees)
        runs = planner.plan(0.0, 0.0).starts + planner.plan(1.0, 1.0).starts
        return [run.step.job.job.team for run in runs]

    def test_fixed_job_of_another_team_leaves_them_free(self):
        assert self.starts("c", a=8, b=8) == []
        assert self.starts("c", "c", a=8) == ["c"]

    def test_fixed_job_runs_within_its_own_guarantee(self):
        assert self.starts("a", "b", a=8, b=8) == ["a", "b"]

    def test_each_step_counts_by_itself(self):
        """A job whose steps follow each other, wider together than all workers, still runs."""
        steps = [make_step(count=2, accelerators=8, after=tuple(range(n))) for n in range(2)]
        planner = make_planner(make_board(2), make_job(*steps, is_preemptible=False))
        assert len(planner.plan(0.0, 0.0).starts) == 2

    def test_open_occurrences_count_one_by_one(self):
        job = make_job(
            make_step(count=2, accelerators=8), is_preemptible=False, repeats=3, first_start_at=0.0
        )
        planner = make_planner(make_board(2), job)
        planner.board.open_due(1.0)
        assert len(planner.plan(0.0, 0.0).starts) == 2

    def test_fixed_jobs_beyond_it_wait(self):
        assert self.starts("a", "a", a=8, b=8) == ["a"]
