"""Passes in slices: what they may see when the state changes between two."""

import random

import pytest

from jaypier.jobs.contained_planning import MAX_FAILURES_PER_SLICE, run_contained_slice
from jaypier.jobs.model import Resources
from jaypier.jobs.scheduling_pass import URGENT_RETRY_SECONDS, SchedulingPass
from jaypier.jobs.state import Run
from jaypier.jobs.tests.builders import (
    make_cluster_state,
    make_entry,
    make_job,
    make_planner,
    make_step,
)


class SlicedPass:
    """A pass of which each slice considers one step."""

    def __init__(self, planner) -> None:
        self.planner = planner
        self.scheduling_pass = SchedulingPass(planner)
        self.now = 1.0
        self.failures = []

    def run_slice(self, seconds: float = 0.1) -> list[Run]:
        """Run the next slice; return the runs that it starts."""
        plan, failures = run_contained_slice(self.scheduling_pass, self.now, self.now, lambda: True)
        self.now += seconds
        self.failures += failures
        return plan.starts

    def finish(self, max_slices: int = 1000) -> list[Run]:
        """Run the slices that are left; return the runs that they start."""
        starts = []
        for _ in range(max_slices):
            if self.scheduling_pass.is_finished:
                break
            starts += self.run_slice()
        assert self.scheduling_pass.is_finished
        return starts

    def start_first(self) -> list[Run]:
        """Run slices until one starts something; return that."""
        while not (starts := self.run_slice()):
            assert not self.scheduling_pass.is_finished
        return starts


def job_ids(runs: list[Run]) -> list[str]:
    return [run.task.job_id for run in runs]


def make_sliced(jobs: int = 4, workers: int = 2, **values):
    """Return a pass over jobs of one task each, in the order of their submission."""
    cluster_state = make_cluster_state(workers)
    submitted = [make_job(submitted_at=-10.0 * (jobs - n), **values) for n in range(jobs)]
    planner = make_planner(cluster_state, *submitted)
    planner.sort_key = lambda state, wall_time: (state.spec.submitted_at, state.spec.id)
    return SlicedPass(planner), submitted


class TestSlices:
    def test_pass_goes_on_where_the_last_slice_ended(self):
        sliced, jobs = make_sliced()
        assert job_ids(sliced.finish()) == [job.id for job in jobs]

    def test_runs_are_started_at_the_time_of_their_slice(self):
        """Starts are tried for a limited time from then on."""
        sliced, _ = make_sliced()
        starts = sliced.finish()
        assert len({run.started_at for run in starts}) == len(starts)

    def test_step_of_many_tasks_is_placed_in_parts(self):
        cluster_state = make_cluster_state(24)
        planner = make_planner(cluster_state, make_job(make_step(count=1500, accelerators=0)))
        sliced = SlicedPass(planner)
        parts = []
        while not sliced.scheduling_pass.is_finished:
            parts.append(len(sliced.run_slice()))
        assert sum(parts) == 1500
        assert max(parts) <= 512

    @pytest.mark.parametrize("seed", range(20))
    def test_slices_decide_the_same_as_one_piece_if_nothing_changes(self, seed):
        decided = []
        for is_sliced in (False, True):
            rng = random.Random(seed)
            cluster_state = make_cluster_state(rng.randint(2, 8), per_rack=3)
            jobs = [
                make_job(
                    *(
                        make_step(
                            rng.randint(1, 9),
                            rng.choice((1, 2, 8)),
                            rng.choice((1.0, 5.0)),
                            is_gang=rng.random() < 0.3,
                        )
                        for _ in range(rng.randint(1, 3))
                    ),
                    id=f"{number:016x}",
                    priority=rng.choice((0, 1, 2)),
                    is_preemptible=rng.random() < 0.8,
                )
                for number in range(12)
            ]
            planner = make_planner(cluster_state, *jobs, **{"team-a": 8})
            if is_sliced:
                sliced = SlicedPass(planner)
                # Without time, a slice differs from the whole pass in nothing else.
                sliced.run_slice = lambda sliced=sliced: SlicedPass.run_slice(sliced, 0.0)
                starts = sliced.finish()
            else:
                starts = planner.plan(1.0, 1.0).starts
            decided.append([(str(run.task), run.worker.id) for run in starts])
        assert decided[0] == decided[1]


class TestChanges:
    def test_cancelled_job_is_not_started(self):
        sliced, jobs = make_sliced()
        sliced.start_first()
        sliced.planner.cluster_state.cancel_job(jobs[2].id)
        assert jobs[2].id not in job_ids(sliced.finish())

    def test_nothing_starts_on_a_worker_that_drains_meanwhile(self):
        sliced, _ = make_sliced()
        (run,) = sliced.start_first()
        entry = make_entry(run.worker.id, "rack-0", is_ready=False)
        sliced.planner.cluster_state.register_worker(entry, sliced.now)
        assert run.worker not in [each.worker for each in sliced.finish()]

    def test_nothing_starts_in_a_data_centre_that_is_taken_out_of_service_meanwhile(self):
        sliced, _ = make_sliced()
        sliced.start_first()
        sliced.planner.cluster_state.evacuated = frozenset({"dc-a"})
        assert sliced.finish() == []

    def test_job_that_waits_meanwhile_is_not_started(self):
        sliced, jobs = make_sliced()
        sliced.start_first()
        sliced.planner.cluster_state.jobs[jobs[1].id].not_before = 100.0
        assert jobs[1].id not in job_ids(sliced.finish())

    def test_capacity_that_is_lost_meanwhile_is_not_used(self):
        sliced, _ = make_sliced(workers=1)
        (run,) = sliced.start_first()
        run.worker.free = run.worker.free - run.step.spec.demand
        entry = make_entry(run.worker.id, "rack-0", capacity=run.step.spec.demand)
        sliced.planner.cluster_state.register_worker(entry, sliced.now)
        assert sliced.finish() == []

    def test_team_limit_counts_what_earlier_slices_have_started(self):
        sliced, jobs = make_sliced(jobs=6)
        limits = sliced.planner.team_limits
        limits.configure({"team-a": Resources(accelerators=2)}, -100.0)
        starts = sliced.finish()
        assert len(starts) == 2


class TestUrgentJobs:
    def test_urgent_job_that_comes_meanwhile_is_next(self):
        sliced, _ = make_sliced(jobs=10)
        sliced.start_first()
        urgent = make_job(priority=0)
        state = sliced.planner.cluster_state.add_job(urgent)
        sliced.planner.observe_job(state, sliced.now)
        assert job_ids(sliced.run_slice()) == [urgent.id]

    def test_covered_urgent_job_gets_room_that_is_freed_meanwhile(self):
        cluster_state = make_cluster_state(1)
        fixed = make_job(make_step(1, 8, 60.0), is_preemptible=False)
        urgent = make_job(make_step(1, 8, 2.0), priority=0, submitted_at=-100.0)
        others = [make_job(make_step(1, 16)) for _ in range(20)]
        planner = make_planner(cluster_state, fixed, **{"team-a": 8})
        planner.guarantees = {"team-a": 16}
        (run,) = planner.plan(0.0, 0.0).starts
        for job in (urgent, *others):
            planner.observe_job(cluster_state.add_job(job), 0.5)
        sliced = SlicedPass(planner)
        for _ in range(24):
            assert sliced.run_slice(0.01) == []
        cluster_state.end_run(run)
        sliced.now += URGENT_RETRY_SECONDS
        assert urgent.id in job_ids(sliced.run_slice())

    def test_other_jobs_are_considered_while_urgent_ones_keep_coming(self):
        sliced, jobs = make_sliced(jobs=20, workers=24)
        starts = []
        for _ in range(60):
            state = sliced.planner.cluster_state.add_job(make_job(priority=0))
            sliced.planner.observe_job(state, sliced.now)
            starts += sliced.run_slice() + sliced.run_slice()
        assert {job.id for job in jobs} <= set(job_ids(starts))


class TestErrors:
    def fail_for(self, planner, job, name: str) -> None:
        """Let a method of the planner fail for one job."""
        work = getattr(planner, name)

        def fail(subject, *arguments):
            state = getattr(subject, "job", subject)
            if state.spec.id == job.id:
                raise RuntimeError("unexpected")
            return work(subject, *arguments)

        setattr(planner, name, fail)

    @pytest.mark.parametrize("name", ["sort_key", "place_step"])
    def test_job_with_an_error_is_set_aside_and_the_others_go_on(self, name):
        sliced, jobs = make_sliced()
        self.fail_for(sliced.planner, jobs[1], name)
        started = job_ids(sliced.finish())
        assert sorted(started) == sorted(job.id for job in jobs if job is not jobs[1])
        assert [failure.job_id for failure in sliced.failures] == [jobs[1].id]
        assert sliced.planner.cluster_state.jobs[jobs[1].id].not_before > sliced.now

    def test_many_errors_end_the_pass(self):
        sliced, jobs = make_sliced(jobs=MAX_FAILURES_PER_SLICE + 4)

        def fail(*arguments):
            raise RuntimeError("unexpected")

        sliced.planner.place_step = fail
        assert sliced.finish() == []
        assert 0 < len(sliced.failures) <= len(jobs)
