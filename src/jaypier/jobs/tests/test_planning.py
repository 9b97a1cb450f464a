import attrs

from jaypier.jobs.model import Resources, RunOutcome, Step
from jaypier.jobs.tests.builders import (
    apply_report,
    make_cluster_state,
    make_ended_run,
    make_job,
    make_planner,
    make_step,
)


def racks_of(runs):
    return {run.worker.entry.rack for run in runs}


class TestGangs:
    def test_gang_starts_all_or_nothing(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job(make_step(count=17, is_gang=True)))
        assert planner.plan(0.0, 0.0).starts == []
        planner = make_planner(cluster_state, make_job(make_step(count=16, is_gang=True)))
        runs = planner.plan(0.0, 0.0).starts
        assert len(runs) == 16
        assert {run.attempt for run in runs} == {1}

    def test_rack_local_gang_stays_on_one_rack(self):
        cluster_state = make_cluster_state(12)
        background = make_job(make_step(count=2, accelerators=8))
        gang = make_job(make_step(count=5, accelerators=8, is_gang=True, is_rack_local=True))
        planner = make_planner(cluster_state, background)
        planner.plan(0.0, 0.0)
        planner.observe_job(cluster_state.add_job(gang), 0.0)
        runs = planner.plan(1.0, 1.0).starts
        assert len(runs) == 5
        assert len(racks_of(runs)) == 1

    def test_rack_local_gang_wider_than_any_rack_uses_several(self):
        cluster_state = make_cluster_state(12)
        gang = make_job(make_step(count=8, accelerators=8, is_gang=True, is_rack_local=True))
        runs = make_planner(cluster_state, gang).plan(0.0, 0.0).starts
        assert len(runs) == 8


class TestOrder:
    def test_step_waits_for_earlier_steps(self):
        cluster_state = make_cluster_state(1)
        planner = make_planner(cluster_state, make_job(make_step(), make_step(after=(0,))))
        (first,) = planner.plan(0.0, 0.0).starts
        assert first.task.step == 0
        assert planner.plan(0.5, 0.5).starts == []
        apply_report(
            cluster_state, first.worker, 1.0, ends=[make_ended_run(1, first.task, RunOutcome.DONE)]
        )
        (second,) = planner.plan(1.0, 1.0).starts
        assert second.task.step == 1

    def test_max_per_worker_is_enforced(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job(make_step(count=6, max_per_worker=2)))
        runs = planner.plan(0.0, 0.0).starts
        assert len(runs) == 4

    def test_label_restricts_workers(self):
        cluster_state = make_cluster_state(12)
        planner = make_planner(cluster_state, make_job(make_step(count=3, label="rack-1")))
        assert racks_of(planner.plan(0.0, 0.0).starts) == {"rack-1"}

    def test_memory_and_processors_limit_placement(self):
        cluster_state = make_cluster_state(1)
        wide = Step(3, Resources(26000, 68000, 1), 1.0)
        assert len(make_planner(cluster_state, make_job(wide)).plan(0.0, 0.0).starts) == 1


class TestUnusableWorkers:
    def test_no_start_in_evacuated_data_centre(self):
        cluster_state = make_cluster_state(1)
        cluster_state.evacuated = frozenset({"dc-a"})
        assert make_planner(cluster_state, make_job()).plan(0.0, 0.0).starts == []

    def test_no_start_on_draining_worker(self):
        cluster_state = make_cluster_state(1)
        worker = cluster_state.workers["worker-00"]
        worker.entry = attrs.evolve(worker.entry, is_ready=False)
        assert make_planner(cluster_state, make_job()).plan(0.0, 0.0).starts == []

    def test_failed_task_goes_to_another_worker(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job())
        (first,) = planner.plan(0.0, 0.0).starts
        apply_report(
            cluster_state,
            first.worker,
            1.0,
            ends=[make_ended_run(1, first.task, RunOutcome.FAILED)],
        )
        (second,) = planner.plan(1.0, 1.0).starts
        assert second.worker is not first.worker


class TestUrgentJobs:
    def test_urgent_job_within_guarantee_preempts(self):
        cluster_state = make_cluster_state(1)
        planner = make_planner(cluster_state, make_job(make_step(count=8)), **{"team-a": 8})
        planner.plan(0.0, 0.0)
        urgent = make_job(make_step(count=1, accelerators=2, is_gang=True), priority=0)
        planner.observe_job(cluster_state.add_job(urgent), 0.0)
        plan = planner.plan(1.0, 1.0)
        assert plan.starts == []
        assert len(plan.stops) == 2

    def test_freed_capacity_is_reserved_for_urgent_job(self):
        cluster_state = make_cluster_state(1)
        background = make_job(make_step(count=8), priority=2)
        planner = make_planner(cluster_state, background, **{"team-a": 8})
        planner.plan(0.0, 0.0)
        urgent = make_job(make_step(count=1, accelerators=2, is_gang=True), priority=0)
        planner.observe_job(cluster_state.add_job(urgent), 0.0)
        first, second = planner.plan(1.0, 1.0).stops
        apply_report(
            cluster_state,
            first.worker,
            1.2,
            ends=[make_ended_run(1, first.task, RunOutcome.STOPPED, first.attempt)],
        )
        assert planner.plan(1.2, 1.2).starts == []
        apply_report(
            cluster_state,
            first.worker,
            1.3,
            ends=[make_ended_run(2, second.task, RunOutcome.STOPPED, second.attempt)],
        )
        (run,) = planner.plan(1.3, 1.3).starts
        assert run.task.job_id == urgent.id

    def test_team_with_smallest_guarantee_goes_first(self):
        cluster_state = make_cluster_state(1)
        jobs = [
            make_job(make_step(count=8), priority=0, team=team, submitted_at=at)
            for team, at in (("large", 0.0), ("small", 1.0))
        ]
        planner = make_planner(cluster_state, *jobs, large=32, small=8)
        assert {run.task.job_id for run in planner.plan(2.0, 2.0).starts} == {jobs[1].id}


class TestWideGangs:
    """A backlog of small tasks takes each accelerator as it becomes free."""

    def test_non_urgent_gang_does_not_preempt(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(
            cluster_state, make_job(make_step(count=16, seconds=8.0), priority=2)
        )
        planner.plan(0.0, 0.0)
        gang = make_job(make_step(count=2, accelerators=8, is_gang=True, seconds=7.0))
        planner.observe_job(cluster_state.add_job(gang), 6.0)
        assert planner.plan(6.0, 6.0).stops == []

    def test_workers_are_held_for_waiting_gang(self):
        cluster_state = make_cluster_state(4)
        planner = make_planner(
            cluster_state, make_job(make_step(count=28, seconds=8.0), priority=2)
        )
        runs = planner.plan(0.0, 0.0).starts
        gang = make_job(make_step(count=1, accelerators=8, is_gang=True, seconds=7.0))
        small = make_job(make_step(count=8, seconds=8.0), priority=2)
        for job in (gang, small):
            planner.observe_job(cluster_state.add_job(job), 6.0)
        planner.plan(6.0, 6.0)
        (held_worker,) = planner.holds.until
        ends = [
            make_ended_run(number, run.task, RunOutcome.DONE, run.attempt)
            for number, run in enumerate(runs, 1)
            if run.worker.id == held_worker
        ]
        apply_report(cluster_state, cluster_state.workers[held_worker], 8.0, ends=ends)
        started = planner.plan(8.0, 8.0).starts
        assert gang.id in {run.task.job_id for run in started}


class TestHeadroom:
    """A burst of urgent jobs arrives while other work could fill every worker."""

    def test_urgent_arrivals_keep_accelerators_free(self):
        cluster_state = make_cluster_state(24)
        planner = make_planner(cluster_state)
        for number in range(12):
            urgent = make_job(make_step(count=2, accelerators=8, is_gang=True), priority=0)
            planner.observe_job(cluster_state.add_job(urgent), float(number))
            for run in planner.plan(float(number), float(number)).starts:
                end = make_ended_run(number + 1, run.task, RunOutcome.DONE, run.attempt)
                apply_report(cluster_state, run.worker, number + 0.5, ends=[end])
        planner.observe_job(
            cluster_state.add_job(make_job(make_step(count=400, seconds=9.0), priority=2)), 12.0
        )
        planner.plan(12.0, 12.0)
        free = sum(worker.free.accelerators for worker in cluster_state.workers.values())
        assert 16 <= free <= 48
        last = make_job(make_step(count=2, accelerators=8, is_gang=True), priority=0)
        planner.observe_job(cluster_state.add_job(last), 12.5)
        plan = planner.plan(12.5, 12.5)
        assert len(plan.starts) == 2
        assert plan.stops == []


class TestFailedWork:
    """A few workers fail all that they start, and jobs have few attempts."""

    def succeed_on(self, cluster_state, number, now):
        worker = cluster_state.workers[f"worker-{number:02}"]
        worker.last_success_at = now
        return worker.id

    def test_failed_gang_goes_to_workers_that_have_just_succeeded(self):
        cluster_state = make_cluster_state(8)
        planner = make_planner(
            cluster_state, make_job(make_step(count=2, accelerators=8, is_gang=True))
        )
        runs = planner.plan(0.0, 0.0).starts
        for run, outcome in zip(runs, (RunOutcome.FAILED, RunOutcome.PEER_ENDED), strict=True):
            end = make_ended_run(1, run.task, outcome, run.attempt)
            apply_report(cluster_state, run.worker, 1.0, ends=[end])
        proven = {self.succeed_on(cluster_state, number, 1.0) for number in (5, 7)}
        retried = planner.plan(1.1, 1.1).starts
        assert {run.worker.id for run in retried} == proven

    def test_failed_task_goes_to_a_worker_that_has_just_succeeded(self):
        cluster_state = make_cluster_state(8)
        planner = make_planner(cluster_state, make_job())
        (run,) = planner.plan(0.0, 0.0).starts
        end = make_ended_run(1, run.task, RunOutcome.FAILED, run.attempt)
        apply_report(cluster_state, run.worker, 1.0, ends=[end])
        proven = self.succeed_on(cluster_state, 6, 1.0)
        (retried,) = planner.plan(1.1, 1.1).starts
        assert retried.worker.id == proven

    def test_without_proven_workers_others_are_used(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job())
        (run,) = planner.plan(0.0, 0.0).starts
        end = make_ended_run(1, run.task, RunOutcome.FAILED, run.attempt)
        apply_report(cluster_state, run.worker, 1.0, ends=[end])
        self.succeed_on(cluster_state, 1, -9.0)
        (retried,) = planner.plan(1.1, 1.1).starts
        assert retried.worker is not run.worker


class TestTeamsWithoutGuarantee:
    def test_urgent_task_without_accelerators_does_not_end_the_pass(self):
        planner = make_planner(
            make_cluster_state(1), make_job(make_step(accelerators=0), priority=0)
        )
        assert len(planner.plan(0.0, 0.0).starts) == 1


class TestExpiredJobs:
    """Answers overload that lasts longer than jobs keep a value."""

    def make_busy(self, *waiting):
        """Return the planner of two workers, most of which is in use, before waiting jobs start."""
        cluster_state = make_cluster_state(2)
        running = [
            make_job(Step(1, Resources(60000, 120000, 8), 50.0)),
            make_job(Step(1, Resources(40000, 80000, 5), 50.0)),
        ]
        planner = make_planner(cluster_state, *running)
        planner.plan(0.0, 0.0)
        for job in waiting:
            planner.observe_job(cluster_state.add_job(job), 0.0)
        return planner

    def test_waits_while_others_need_the_room(self):
        expired = make_job(make_step(accelerators=2), submitted_at=-100.0)
        wide = make_job(make_step(accelerators=8))
        planner = self.make_busy(expired, wide)
        started = {run.task.job_id for run in planner.plan(0.0, 0.0).starts}
        assert expired.id not in started

    def test_runs_when_nothing_else_waits(self):
        expired = make_job(make_step(accelerators=2), submitted_at=-100.0)
        planner = self.make_busy(expired)
        assert expired.id in {run.task.job_id for run in planner.plan(0.0, 0.0).starts}

    def test_runs_on_workers_that_are_mostly_idle_although_others_wait(self):
        cluster_state = make_cluster_state(2)
        expired = make_job(make_step(accelerators=2), submitted_at=-100.0)
        wide = make_job(make_step(count=3, accelerators=8, is_gang=True))
        planner = make_planner(cluster_state, expired, wide)
        assert expired.id in {run.task.job_id for run in planner.plan(0.0, 0.0).starts}

    def test_comes_after_jobs_that_are_worth_something(self):
        expired = make_job(make_step(accelerators=1, seconds=0.1), submitted_at=-100.0)
        large = make_job(make_step(count=8, accelerators=8, seconds=50.0), priority=2)
        cluster_state = make_cluster_state(1)
        planner = make_planner(cluster_state, expired, large)
        assert planner.rank_jobs(0.0, 0.0)[-1].spec.id == expired.id

    def test_does_not_preempt(self):
        cluster_state = make_cluster_state(1)
        planner = make_planner(cluster_state, make_job(make_step(accelerators=8), priority=2))
        planner.plan(0.0, 0.0)
        expired = make_job(make_step(accelerators=8), priority=0, submitted_at=-100.0)
        planner.observe_job(cluster_state.add_job(expired), 1.0)
        assert planner.plan(1.0, 1.0).stops == []

    def test_preempts_within_its_team_s_guarantee(self):
        cluster_state = make_cluster_state(1)
        background = make_job(make_step(accelerators=8, seconds=30.0), priority=2)
        planner = make_planner(cluster_state, background, **{"team-a": 8})
        (run,) = planner.plan(0.0, 0.0).starts
        expired = make_job(make_step(accelerators=8), priority=0, submitted_at=-100.0)
        planner.observe_job(cluster_state.add_job(expired), 1.0)
        assert planner.plan(1.0, 1.0).stops == [run]
