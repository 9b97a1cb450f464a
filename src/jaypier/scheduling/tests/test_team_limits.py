import pytest

from jaypier.jobs.cluster_state import ORPHAN_GRACE_SECONDS
from jaypier.jobs.model import Resources, RunOutcome, StartResponse, Step, TaskId
from jaypier.jobs.planning import Planner
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_ended_run,
    make_job,
    make_planner,
    make_step,
    run_scenario,
)
from jaypier.scheduling.team_limits import CHANGE_SECONDS, TeamLimits, explain_excess


def accelerators(count: int) -> Resources:
    """Return a limit on accelerators alone."""
    return Resources(0, 0, count)


def make_limited_planner(cluster_state, *jobs, limit=8, **guarantees) -> Planner:
    """Return a planner with a limit on the accelerators of ``team-a`` that is not recent."""
    planner = make_planner(cluster_state, *jobs, **guarantees)
    planner.team_limits.limits = {"team-a": accelerators(limit)}
    return planner


def add_job(planner, *steps, now=0.0, **values):
    state = planner.cluster_state.add_job(make_job(*steps, **values))
    planner.observe_job(state, now)
    return state


def end_run(cluster_state, run, now, number=1, outcome=RunOutcome.DONE):
    runs = [
        make_active_run(each.task, each.attempt)
        for each in run.worker.runs.values()
        if each is not run
    ]
    end = make_ended_run(number, run.task, outcome, run.attempt)
    apply_report(cluster_state, run.worker, now, runs, [end])


def confirm(cluster_state, runs, now=0.0):
    for run in runs:
        cluster_state.apply_start_response(run, StartResponse.STARTED, now)


class TestStarts:
    def test_team_starts_tasks_up_to_its_limit(self):
        planner = make_limited_planner(make_cluster_state(4), make_job(make_step(count=20)))
        assert len(planner.plan(0.0, 0.0).starts) == 8
        assert planner.plan(0.1, 0.1).starts == []
        assert planner.team_limits.blocked == {"team-a": 12}

    @pytest.mark.parametrize(
        "limit, expected",
        [
            (Resources(3500, 0, 0), 3),
            (Resources(0, 4000, 0), 4),
            (Resources(0, 0, 5), 5),
            (Resources(9000, 2000, 7), 2),
            (Resources(), 20),
        ],
    )
    def test_each_resource_is_limited_by_itself(self, limit, expected):
        planner = make_planner(make_cluster_state(4), make_job(make_step(count=20)))
        planner.team_limits.configure({"team-a": limit}, -10.0)
        assert len(planner.plan(0.0, 0.0).starts) == expected

    def test_other_teams_are_not_affected(self):
        planner = make_limited_planner(
            make_cluster_state(4),
            make_job(make_step(count=20)),
            make_job(make_step(count=10), team="team-b"),
        )
        starts = planner.plan(0.0, 0.0).starts
        teams = [run.step.job.spec.team for run in starts]
        assert (teams.count("team-a"), teams.count("team-b")) == (8, 10)

    def test_limit_holds_over_jobs_and_passes(self):
        planner = make_limited_planner(
            make_cluster_state(4), *[make_job(make_step(count=3)) for _ in range(5)]
        )
        starts = [run for number in range(3) for run in planner.plan(number, number).starts]
        assert len(starts) == 8

    def test_gang_starts_as_a_whole_or_not_at_all(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, make_job(make_step(count=5)))
        planner.plan(0.0, 0.0)
        add_job(planner, make_step(count=4, is_gang=True))
        assert planner.plan(0.1, 0.1).starts == []
        add_job(planner, make_step(count=3, is_gang=True, seconds=0.5))
        assert len(planner.plan(0.2, 0.2).starts) == 3

    def test_no_workers_are_held_for_a_gang_that_its_limit_forbids(self):
        cluster_state = make_cluster_state(1)
        planner = make_limited_planner(
            cluster_state, make_job(make_step(count=6), team="team-b"), limit=4
        )
        planner.plan(0.0, 0.0)
        state = add_job(planner, make_step(count=4, is_gang=True))
        planner.plan(0.1, 0.1)
        assert list(planner.holds.holds) == state.steps
        planner.team_limits.limits = {"team-a": accelerators(3)}
        planner.plan(0.2, 0.2)
        assert not planner.holds.holds

    def test_each_occurrence_counts(self):
        cluster_state = make_cluster_state(4)
        job = make_job(make_step(count=5), repeats=2, first_start_at=0.0, interval_seconds=0.0)
        planner = make_limited_planner(cluster_state, job)
        cluster_state.open_due_occurrences(1.0)
        assert len(planner.plan(0.0, 1.0).starts) == 8

    def test_filling_tasks_count_with_the_processors_that_they_use(self):
        planner = make_planner(
            make_cluster_state(4), make_job(make_step(count=9, accelerators=0, is_filling=True))
        )
        planner.team_limits.limits = {"team-a": Resources(5000, 0, 0)}
        assert len(planner.plan(0.0, 0.0).starts) == 5

    def test_failed_tasks_restart_within_the_limit(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, make_job(make_step(count=4)), limit=2)
        first, second = planner.plan(0.0, 0.0).starts
        confirm(cluster_state, [first, second])
        end_run(cluster_state, first, 1.0, outcome=RunOutcome.FAILED)
        assert len(planner.plan(5.0, 5.0).starts) == 1


class TestHolding:
    def test_preempted_run_counts_until_its_end_is_known(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, make_job(make_step(count=10)))
        run, *_ = planner.plan(0.0, 0.0).starts
        confirm(cluster_state, [run])
        cluster_state.mark_stopping(run)
        assert planner.plan(0.1, 0.1).starts == []
        end_run(cluster_state, run, 0.5, outcome=RunOutcome.STOPPED)
        assert len(planner.plan(0.6, 0.6).starts) == 1

    def test_start_without_a_response_counts_after_it_was_given_up(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, make_job(make_step(count=10)))
        run, *_ = planner.plan(0.0, 0.0).starts
        run.start_deadline = 6000
        cluster_state.mark_stopping(run)
        others = [make_active_run(*key) for key in run.worker.runs if key != run.key]
        apply_report(cluster_state, run.worker, 3.0, others)
        assert planner.plan(3.0, 3.0).starts == []
        apply_report(cluster_state, run.worker, 6.1, others)
        assert len(planner.plan(6.1, 6.1).starts) == 1

    def test_run_of_a_cancelled_job_counts_until_its_end_is_known(self):
        cluster_state = make_cluster_state(4)
        job = make_job(make_step(count=8))
        planner = make_limited_planner(cluster_state, job)
        runs = planner.plan(0.0, 0.0).starts
        confirm(cluster_state, runs)
        cluster_state.cancel_job(job.id)
        cluster_state.remove_job(job.id)
        add_job(planner, make_step(count=1))
        assert planner.plan(0.1, 0.1).starts == []
        # The end of a run of an unknown job is not applied before the job's row may have been read.
        end_run(cluster_state, runs[0], 0.5, outcome=RunOutcome.STOPPED)
        assert planner.plan(0.6, 0.6).starts == []
        known_at = 0.6 + ORPHAN_GRACE_SECONDS
        cluster_state.confirm_orphans(known_at)
        end_run(cluster_state, runs[0], known_at, outcome=RunOutcome.STOPPED)
        assert len(planner.plan(known_at, known_at).starts) == 1

    def test_runs_on_a_silent_worker_count_until_its_lease_has_expired(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, make_job(make_step(count=10)))
        runs = planner.plan(0.0, 0.0).starts
        confirm(cluster_state, runs)
        worker = runs[0].worker
        cluster_state.extend_lease(worker, 0.0)
        worker.is_unreachable = True
        assert planner.plan(6.0, 6.0).starts == []
        cluster_state.expire_leases(7.0)
        assert len(planner.plan(7.0, 7.0).starts) == len([r for r in runs if r.worker is worker])

    def test_unknown_runs_hold_at_most_what_is_free_on_their_worker(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, limit=20)
        worker = cluster_state.workers["worker-00"]
        unknown = make_active_run(TaskId("f" * 16, 0, 0, 0))
        apply_report(cluster_state, worker, 1.0, [unknown])
        add_job(planner, make_step(count=20), now=1.0)
        assert len(planner.plan(1.0, 1.0).starts) == 12
        apply_report(cluster_state, worker, 2.0)
        assert len(planner.plan(2.0, 2.0).starts) == 8

    def test_unknown_runs_end_with_the_lease_of_a_worker_that_does_not_report(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, limit=20)
        worker = cluster_state.workers["worker-00"]
        apply_report(cluster_state, worker, 1.0, [make_active_run(TaskId("f" * 16, 0, 0, 0))])
        worker.is_unreachable = True
        add_job(planner, make_step(count=20), now=1.0)
        latest_end = 1.0 + cluster_state.longest_lease_seconds
        assert len(planner.plan(latest_end, latest_end).starts) == 12
        assert len(planner.plan(latest_end + 0.1, latest_end + 0.1).starts) == 8

    def test_worker_that_has_not_reported_may_hold_runs_of_any_team(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, make_job(make_step(count=20)), limit=20)
        for worker_id in ("worker-00", "worker-01"):
            cluster_state.workers[worker_id].is_reconciled = False
        assert len(planner.plan(0.0, 0.0).starts) == 4

    def test_adopted_runs_count(self):
        cluster_state = make_cluster_state(4, epoch=2)
        job = make_job(make_step(count=20))
        planner = make_limited_planner(cluster_state, job)
        worker = cluster_state.workers["worker-00"]
        active = [make_active_run(TaskId(job.id, 0, 0, index)) for index in range(5)]
        apply_report(cluster_state, worker, 1.0, active)
        assert len(planner.plan(1.0, 1.0).starts) == 3


class TestChanges:
    def test_lowered_limit_stops_nothing_and_starts_nothing(self):
        planner = make_limited_planner(make_cluster_state(4), make_job(make_step(count=20)))
        planner.plan(0.0, 0.0)
        planner.team_limits.configure({"team-a": accelerators(2)}, 1.0)
        plan = planner.plan(10.0, 10.0)
        assert (plan.starts, plan.stops) == ([], [])

    def test_team_over_one_limit_starts_nothing_else(self):
        planner = make_limited_planner(make_cluster_state(4), make_job(make_step(count=8)))
        planner.plan(0.0, 0.0)
        planner.team_limits.limits = {"team-a": accelerators(4)}
        add_job(planner, make_step(accelerators=0))
        assert planner.plan(1.0, 1.0).starts == []

    def test_strictest_limit_counts_while_a_change_is_recent(self):
        planner = make_limited_planner(make_cluster_state(4), make_job(make_step(count=20)))
        planner.team_limits.configure({"team-a": accelerators(12)}, 1.0)
        assert len(planner.plan(1.0, 1.0).starts) == 8
        planner.team_limits.configure({"team-a": accelerators(11)}, 2.0)
        now = 1.0 + CHANGE_SECONDS
        assert len(planner.plan(now, now).starts) == 3
        assert planner.plan(9.0, 9.0).starts == []

    def test_same_limits_again_are_no_change(self):
        limits = TeamLimits()
        limits.configure({"team-a": accelerators(4), "team-b": Resources()}, 0.0)
        limits.configure({"team-a": accelerators(4)}, 5.0)
        assert [until for until, _ in limits.earlier] == [CHANGE_SECONDS]

    def test_nothing_starts_before_the_limits_are_known(self):
        planner = make_planner(make_cluster_state(4), make_job())
        planner.team_limits.is_pending = True
        assert planner.plan(0.0, 0.0).starts == []
        planner.team_limits.configure({}, 1.0)
        assert len(planner.plan(1.0, 1.0).starts) == 1


class TestOrderWithinLimit:
    def test_gang_is_not_passed_over_by_tasks_that_would_outlast_its_wait(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(
            cluster_state, make_job(make_step(count=6, seconds=2.0)), limit=8
        )
        runs = planner.plan(0.0, 0.0).starts
        confirm(cluster_state, runs)
        gang = add_job(planner, make_step(count=7, seconds=1.0, is_gang=True), priority=1)
        long = add_job(planner, make_step(count=2, seconds=50.0), priority=2)
        short = add_job(planner, make_step(count=1, seconds=0.5), priority=2)
        ranked = [each.spec.id for each in planner.rank_jobs(0.1, 0.1)]
        assert ranked.index(gang.spec.id) < ranked.index(long.spec.id)
        started = planner.plan(0.1, 0.1).starts
        # One long task fits beside the gang; the other place goes to a task that ends before.
        assert {run.step.job.spec.id for run in started} == {long.spec.id, short.spec.id}
        for number, run in enumerate([*runs, *started], 1):
            if run.step.job is not long:
                end_run(cluster_state, run, 2.0, number)
        assert [run.step.job for run in planner.plan(2.1, 2.1).starts] == [gang] * 7

    def test_claim_does_not_keep_a_job_waiting_while_its_team_holds_little(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(
            cluster_state, make_job(make_step(count=3, seconds=60.0)), limit=8
        )
        confirm(cluster_state, planner.plan(0.0, 0.0).starts)
        add_job(planner, make_step(count=8, seconds=1.0, is_gang=True), priority=1, now=0.1)
        late = add_job(planner, make_step(count=1, seconds=70.0), priority=2, now=0.1)
        assert planner.plan(0.1, 0.1).starts == []
        assert planner.plan(2.0, 2.0).starts == []
        assert [run.step.job for run in planner.plan(2.2, 2.2).starts] == [late]

    def test_urgent_job_within_its_guarantee_stops_runs_of_its_own_team(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(
            cluster_state,
            make_job(make_step(count=8, seconds=60.0, saves=True)),
            **{"team-a": 4},
        )
        runs = planner.plan(0.0, 0.0).starts
        confirm(cluster_state, runs)
        urgent = add_job(planner, make_step(count=4, is_gang=True), priority=0, now=1.0)
        stops = planner.plan(1.0, 1.0).stops
        assert len(stops) == 4
        for number, run in enumerate(stops, 1):
            assert planner.plan(1.1, 1.1).starts == []
            end_run(cluster_state, run, 1.2, number, RunOutcome.STOPPED)
        started = planner.plan(1.3, 1.3).starts
        assert [run.step.job for run in started] == [urgent] * 4

    def test_urgent_job_beyond_its_guarantee_stops_no_run_of_its_team(self):
        cluster_state = make_cluster_state(4)
        planner = make_limited_planner(cluster_state, make_job(make_step(count=8, seconds=60.0)))
        confirm(cluster_state, planner.plan(0.0, 0.0).starts)
        add_job(planner, make_step(count=4, is_gang=True), priority=0, now=1.0)
        assert planner.plan(1.0, 1.0).stops == []

    def test_urgent_job_beyond_its_limit_stops_no_run(self):
        cluster_state = make_cluster_state(1)
        planner = make_limited_planner(
            cluster_state, make_job(make_step(count=8, seconds=60.0), team="team-b"), limit=4
        )
        confirm(cluster_state, planner.plan(0.0, 0.0).starts)
        add_job(planner, make_step(count=6, is_gang=True), priority=0, now=1.0)
        assert planner.plan(1.0, 1.0).stops == []

    def test_urgent_step_preempts_only_for_the_tasks_that_its_limit_lets_start(self):
        cluster_state = make_cluster_state(1)
        planner = make_limited_planner(
            cluster_state, make_job(make_step(count=8, seconds=60.0), team="team-b"), limit=3
        )
        confirm(cluster_state, planner.plan(0.0, 0.0).starts)
        add_job(planner, make_step(count=6), priority=0, now=1.0)
        assert len(planner.plan(1.0, 1.0).stops) == 3


class TestExplainExcess:
    LIMIT = Resources(8000, 0, 4)

    def test_job_within_the_limit(self):
        steps = [make_step(count=100), make_step(count=4, is_gang=True)]
        assert explain_excess("clinic", steps, self.LIMIT) == ""
        assert explain_excess("clinic", [make_step(count=5, is_gang=True)], Resources()) == ""

    def test_gang_that_needs_more_than_the_limit(self):
        reason = explain_excess("clinic", [make_step(), make_step(5, is_gang=True)], self.LIMIT)
        assert reason == (
            "the limit of team 'clinic' is exceeded: "
            "step 1 needs 5 accelerators at once, and the limit is 4"
        )

    def test_task_that_needs_more_than_the_limit(self):
        step = Step(1, Resources(9000, 1, 5), 1.0)
        assert explain_excess("clinic", [step], self.LIMIT) == (
            "the limit of team 'clinic' is exceeded: "
            "step 0 needs 5 accelerators at once, and the limit is 4; "
            "9000 thousandths of a core at once, and the limit is 8000"
        )


class TestTakeover:
    def test_new_leader_starts_nothing_beyond_the_limit_while_a_worker_is_silent(self):
        """The runs of the earlier leader on a cut-off worker are not known to the new one."""

        async def scenario(harness):
            harness.limit_teams({"team-a": accelerators(8)})
            await harness.start_job(make_job(make_step(count=8, seconds=60.0)), 8, 5.0)
            leader = harness.leader_name
            for worker in harness.cluster.workers.values():
                harness.cluster.cut_links |= {(name, worker.entry.id) for name in ("vm-a", "vm-b")}
            await harness.kill(leader)
            harness.cluster.submit(make_job(make_step(count=8, seconds=1.0)))
            harness.start_daemon(leader)
            await harness.wait_until(lambda: harness.leader_name is not None, 20.0)
            harness.cluster.cut_links = {
                pair for pair in harness.cluster.cut_links if pair[1] == "worker-00"
            }
            await harness.wait_until(lambda: len(harness.cluster.runs) > 8, 60.0)

        run_scenario(scenario)
