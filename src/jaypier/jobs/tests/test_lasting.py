"""Tasks that last until their job is cancelled, serve users, or live on what others leave."""

from jaypier.jobs.model import JobStatus
from jaypier.jobs.tests.builders import make_board, make_job, make_planner, make_step, run_scenario


def at_work(bench, job) -> int:
    return sum(
        run.task.job == job.id and worker.progress(run) >= 1
        for worker in bench.cluster.workers.values()
        for run in worker.active.values()
    )


class TestLastingTasks:
    def test_they_run_until_the_job_is_cancelled(self):
        async def scenario(bench):
            job = make_job(make_step(count=3, lasts=True))
            bench.cluster.submit(job)
            await bench.wait_until(lambda: at_work(bench, job) == 3, 8)
            await bench.wait_until(lambda: bench.clock.now() > 60, 61)
            assert len(bench.cluster.runs) == 3
            assert bench.status(job) is JobStatus.RUNNING
            bench.cluster.cancel(job.id)
            await bench.wait_until(lambda: at_work(bench, job) == 0, 3)
            assert bench.status(job) is JobStatus.CANCELLED

        run_scenario(scenario)

    def test_they_are_started_again_however_often_they_fail(self):
        async def scenario(bench):
            for worker in bench.cluster.workers.values():
                worker.fails_all_runs = True
            job = make_job(make_step(count=2, lasts=True), max_attempts=1)
            bench.cluster.submit(job)
            await bench.wait_until(lambda: len(bench.cluster.runs) >= 8, 30)
            assert len(bench.cluster.runs) < 40
            for worker in bench.cluster.workers.values():
                worker.fails_all_runs = False
            await bench.wait_until(lambda: at_work(bench, job) == 2, 20)
            assert bench.status(job) is JobStatus.RUNNING

        run_scenario(scenario)

    def test_they_are_started_again_after_the_loss_of_their_worker(self):
        async def scenario(bench):
            job = make_job(make_step(count=4, accelerators=4, lasts=True))
            bench.cluster.submit(job)
            await bench.wait_until(lambda: at_work(bench, job) == 4, 8)
            next(worker for worker in bench.cluster.workers.values() if worker.active).crash()
            await bench.wait_until(lambda: at_work(bench, job) == 4, 20)

        run_scenario(scenario)


class TestDisruptionBudget:
    def play(self, budget: int, percent: float = 100.0) -> int:
        """Return how many of four lasting tasks two urgent gangs of two workers stop."""
        lasting = make_job(
            make_step(count=4, accelerators=8, lasts=True, disruption_budget=budget), priority=2
        )
        planner = make_planner(make_board(4), lasting)
        runs = planner.plan(0.0, 0.0).starts
        assert len(runs) == 4
        for run in runs:
            run.percent = percent
        for _ in range(2):
            gang = make_job(make_step(count=2, accelerators=8, is_gang=True), priority=0)
            planner.note_job(planner.board.add_job(gang), 0.0)
        return len(planner.plan(1.0, 1.0).stops)

    def test_no_more_than_it_allows_are_stopped(self):
        assert self.play(budget=1) == 0
        assert self.play(budget=2) == 2
        assert self.play(budget=3) == 2

    def test_without_one_all_may_be_stopped(self):
        assert self.play(budget=0) == 4

    def test_tasks_that_are_not_at_work_may_be_stopped(self):
        assert self.play(budget=1, percent=0.0) == 4


class TestSharing:
    def test_tasks_that_fill_stay_away_from_tasks_that_serve(self):
        serving = make_job(make_step(accelerators=1, lasts=True, is_serving=True))
        filling = make_job(make_step(count=3, accelerators=0, is_filling=True))
        board = make_board(2)
        planner = make_planner(board, serving, filling)
        runs = planner.plan(0.0, 0.0).starts
        workers = {
            job.id: {run.worker.id for run in runs if run.task.job == job.id}
            for job in (serving, filling)
        }
        assert len(workers[serving.id]) == 1
        assert not workers[serving.id] & workers[filling.id]

    def test_tasks_that_fill_take_no_processors_from_others(self):
        board = make_board(1)
        filling = make_job(make_step(accelerators=0, is_filling=True, seconds=50.0))
        planner = make_planner(board, filling)
        assert len(planner.plan(0.0, 0.0).starts) == 1
        others = make_job(make_step(count=8))
        planner.note_job(board.add_job(others), 1.0)
        assert len(planner.plan(1.0, 1.0).starts) == 8

    def test_one_that_fills_finds_a_place_though_all_processors_are_taken(self):
        board = make_board(1)
        (worker,) = board.workers.values()
        step = make_step(count=64, accelerators=0, seconds=50.0)
        planner = make_planner(board, make_job(step))
        assert len(planner.plan(0.0, 0.0).starts) == 64
        assert worker.free.processor_millis == 0
        filling = make_job(make_step(count=3, accelerators=0, is_filling=True))
        planner.note_job(board.add_job(filling), 1.0)
        assert len(planner.plan(1.0, 1.0).starts) == 1
