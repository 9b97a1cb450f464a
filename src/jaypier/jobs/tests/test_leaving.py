import attrs

from jaypier.jobs.leaving import runs_to_take_away
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_board,
    make_job,
    make_planner,
    make_step,
)


def start(percent=0.0, **values):
    board = make_board(4)
    runs = make_planner(board, make_job(make_step(**values))).plan(0.0, 0.0).starts
    for run in runs:
        apply_report(board, run.worker, 1.0, [make_active_run(run.task, run.attempt, "", percent)])
    return board, runs


def leave(board, run, now=1.0):
    worker = run.worker
    board.list_worker(attrs.evolve(worker.entry, is_ready=False, remaining_seconds=2.0), now)


class TestLeavingWorkers:
    def test_gang_that_would_be_broken_is_stopped_whole_at_the_notice(self):
        board, runs = start(count=4, accelerators=8, is_gang=True, seconds=8.0)
        leave(board, runs[0])
        assert {run.task.index for run in runs_to_take_away(board, 1.0)} == {0, 1, 2, 3}
        assert runs_to_take_away(board, 1.1) == []

    def test_task_with_checkpoints_is_moved(self):
        board, runs = start(saves=True, seconds=8.0)
        leave(board, runs[0])
        assert runs_to_take_away(board, 1.0) == runs

    def test_what_ends_in_time_stays(self):
        board, runs = start(percent=90.0, saves=True, seconds=8.0)
        leave(board, runs[0])
        assert runs_to_take_away(board, 1.0) == []

    def test_task_without_checkpoints_stays(self):
        board, runs = start(seconds=8.0)
        leave(board, runs[0])
        assert runs_to_take_away(board, 1.0) == []

    def test_workers_that_stay_keep_their_runs(self):
        board, runs = start(saves=True, seconds=8.0)
        assert runs_to_take_away(board, 1.0) == []
