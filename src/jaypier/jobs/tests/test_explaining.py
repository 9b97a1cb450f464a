import copy

import attrs
import msgspec
import pytest

from jaypier.core.codec import to_plain
from jaypier.jobs.explaining import MAX_EXPLAINED_STEPS, MAX_NAMED_WORKERS, explain_job
from jaypier.jobs.model import Resources, Step
from jaypier.jobs.state import new_job_state
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step


def explain(planner, job, now=1.0):
    """Explain a job that the planner knows, or one that it does not know."""
    state = planner.cluster_state.jobs.get(job.id) or new_job_state(job)
    return explain_job(planner, state, now, now)


def describe_all(planner):
    """Return all state of a planner and its cluster that decisions depend on or change."""
    cluster = planner.cluster_state
    limits = planner.team_limits
    return copy.deepcopy(
        {
            "jobs": {
                job_id: (
                    state.status,
                    state.highest_attempt,
                    state.has_started,
                    state.not_before,
                    [
                        (task.id, task.is_done, sorted(task.failed_on), task.run and task.run.key)
                        for step in state.steps
                        for task in step.tasks
                    ],
                    [step.expected_seconds for step in state.steps],
                )
                for job_id, state in cluster.jobs.items()
            },
            "workers": {
                worker.id: (
                    worker.free,
                    [(key, run.is_stopping, run.percent) for key, run in worker.runs.items()],
                )
                for worker in cluster.workers.values()
            },
            "dirty": sorted(cluster.dirty_jobs),
            "holds": [
                (id(step), hold.workers, hold.fits_at, hold.give_up_at)
                for step, hold in planner.holds.holds.items()
            ],
            "held_until": planner.holds.until,
            "headroom": planner.headroom.until,
            "reservations": [
                (id(each.step), each.amounts, each.expires_at) for each in planner.reservations
            ],
            "owners": sorted(planner.isolation.owners),
            "waiting_since": planner.isolation.waiting_since,
            "covered": sorted(planner.covered),
            "expired": sorted(planner.expired),
            "considered": planner.considered and planner.considered.spec.id,
            "held": dict(limits.held),
            "blocked": dict(limits.blocked),
            "claims": {
                team: attrs.astuple(c, recurse=False)[1:] for team, c in limits.claims.items()
            },
            "teams": sorted(planner.team_shares.uses),
            "factors": planner.team_shares.factors,
            "means": planner.valuation.mean_core_seconds,
        }
    )


def busy_planner():
    """Return a planner with runs, a hold, a reservation and a job that a limit keeps waiting."""
    cluster_state = make_cluster_state(8)
    planner = make_planner(
        cluster_state,
        *(make_job(make_step(count=4, accelerators=8, seconds=9.0 + n)) for n in range(2)),
    )
    planner.team_limits.configure({"small": Resources(0, 0, 4)}, -10.0)
    planner.plan(0.0, 0.0)
    for job in (
        make_job(make_step(count=2, accelerators=8, is_gang=True)),
        make_job(make_step(count=1, accelerators=8), priority=0),
        make_job(make_step(count=5, accelerators=1), team="small"),
        make_job(make_step(), make_step(after=(0,))),
    ):
        planner.observe_job(cluster_state.add_job(job), 1.0)
    planner.plan(1.0, 1.0)
    return planner


class TestNothingChanges:
    def test_state_before_and_after(self):
        planner = busy_planner()
        before = describe_all(planner)
        assert before["holds"]
        assert before["reservations"]
        for state in list(planner.cluster_state.jobs.values()):
            explain_job(planner, state, 1.1, 1.1)
        explain(planner, make_job(make_step(count=9), team="never-seen"), 1.1)
        explain(planner, make_job(make_step(count=9), priority=0), 1.1)
        assert describe_all(planner) == before

    def test_next_pass_decides_the_same(self):
        def decide(explains):
            planner = busy_planner()
            ids = {job_id: n for n, job_id in enumerate(planner.cluster_state.jobs)}
            if explains:
                for state in list(planner.cluster_state.jobs.values()):
                    explain_job(planner, state, 1.1, 1.1)
            plan = planner.plan(9.5, 9.5)
            return [(ids[run.task.job_id], run.task.index, run.worker.id) for run in plan.starts]

        assert decide(explains=True) == decide(explains=False)


class TestSameDecision:
    @pytest.mark.parametrize(
        "step",
        [
            make_step(count=12, accelerators=2),
            make_step(count=40, accelerators=1),
            make_step(count=4, accelerators=4, is_gang=True),
            make_step(count=9, max_per_worker=2),
            make_step(count=3, accelerators=8, is_gang=True, is_rack_local=True),
            make_step(count=6, accelerators=0, is_filling=True),
        ],
    )
    @pytest.mark.parametrize("has_failed", [False, True])
    def test_explained_workers_are_those_of_the_next_pass(self, step, has_failed):
        planner = make_planner(make_cluster_state(4))
        planner.plan(0.0, 0.0)
        job = make_job(step)
        state = planner.cluster_state.add_job(job)
        planner.observe_job(state, 1.0)
        if has_failed:
            for task in state.steps[0].tasks[::2]:
                task.failed_on.add("worker-00")
        (explained,) = explain(planner, job).steps
        starts = planner.plan(1.0, 1.0).starts
        counts = {}
        for run in starts:
            counts[run.worker.id] = counts.get(run.worker.id, 0) + 1
        assert explained.fits_now == len(starts) > 0
        assert explained.workers == counts


class TestReasons:
    def lacking(self, planner, job):
        (step,) = explain(planner, job).steps
        assert step.fits_now == 0
        return step.lacking

    def test_resources_are_counted_each(self):
        planner = make_planner(make_cluster_state(3))
        planner.plan(0.0, 0.0)
        wide = make_job(Step(1, Resources(65000, 200000, 9), 1.0))
        assert self.lacking(planner, wide) == {"accelerators": 3, "memory": 3, "processors": 3}

    def test_label_and_pool(self):
        planner = make_planner(make_cluster_state(3))
        planner.plan(0.0, 0.0)
        assert self.lacking(planner, make_job(make_step(label="none"))) == {"label": 3}
        assert self.lacking(planner, make_job(service="other")) == {"pool": 3}

    def test_workers_that_accept_nothing(self):
        cluster_state = make_cluster_state(4)
        first, second, third, fourth = cluster_state.workers.values()
        first.is_unreachable = True
        second.entry = attrs.evolve(second.entry, is_ready=False)
        third.is_reconciled = False
        fourth.entry = attrs.evolve(fourth.entry, data_centre="dc-b")
        cluster_state.evacuated = frozenset({"dc-b"})
        planner = make_planner(cluster_state)
        assert self.lacking(planner, make_job()) == {
            "data centre out of service": 1,
            "draining": 1,
            "not reported yet": 1,
            "unreachable": 1,
        }

    def test_avoided_worker(self):
        cluster_state = make_cluster_state(2)
        cluster_state.workers["worker-00"].avoid_until = 10.0
        planner = make_planner(cluster_state)
        (step,) = explain(planner, make_job()).steps
        assert step.workers == {"worker-01": 1}
        assert step.lacking == {"avoided": 1}

    def test_headroom_and_hold(self):
        planner = make_planner(make_cluster_state(2))
        planner.headroom.until = {"worker-00": 10.0}
        planner.holds.until = {"worker-01": 2.0}
        lacking = self.lacking(planner, make_job(make_step(seconds=5.0)))
        assert lacking == {"headroom": 1, "held for a gang": 1}

    def test_earlier_step_and_expected_times(self):
        planner = make_planner(make_cluster_state(1))
        job = make_job(make_step(seconds=2.0), make_step(seconds=3.0, after=(0,)))
        first, second = explain(planner, job).steps
        assert (first.fits_now, first.fits_in_seconds, first.ends_in_seconds) == (1, 0.0, 2.0)
        assert second.blocked == "earlier steps are not done"
        assert (second.fits_in_seconds, second.ends_in_seconds) == (2.0, 5.0)

    def test_full_cluster_has_an_expected_time(self):
        planner = make_planner(
            make_cluster_state(1), make_job(make_step(accelerators=8, seconds=4.0))
        )
        planner.plan(0.0, 0.0)
        (step,) = explain(planner, make_job(make_step(seconds=2.0)), now=0.0).steps
        assert step.lacking == {"accelerators": 1}
        assert step.fits_in_seconds == pytest.approx(4.0)
        assert step.ends_in_seconds == pytest.approx(6.0)

    def test_what_can_never_fit_has_no_time(self):
        planner = make_planner(make_cluster_state(1))
        (step,) = explain(planner, make_job(make_step(accelerators=9))).steps
        assert (step.fits_in_seconds, step.ends_in_seconds) == (None, None)


class TestStanding:
    def test_team_limit(self):
        planner = make_planner(make_cluster_state(2), make_job(make_step(count=3)))
        planner.team_limits.configure({"team-a": Resources(0, 0, 3)}, -10.0)
        planner.plan(0.0, 0.0)
        explained = explain(planner, make_job())
        assert explained.team_standing.held == Resources(3000, 3000, 3)
        assert explained.team_standing.limit == Resources(0, 0, 3)
        (step,) = explained.steps
        assert (step.affordable, step.fits_now, step.blocked) == (0, 0, "the limit of its team")

    def test_rank_among_waiting_jobs(self):
        cluster_state = make_cluster_state(1)
        planner = make_planner(cluster_state, make_job(make_step(accelerators=8, seconds=50.0)))
        planner.plan(0.0, 0.0)
        urgent = make_job(make_step(accelerators=8), priority=0)
        for job in (make_job(make_step(accelerators=8)), urgent):
            planner.observe_job(cluster_state.add_job(job), 0.0)
        planner.guarantees = {"team-a": 8}
        explained = explain(planner, urgent)
        assert (explained.rank, explained.ranked_jobs, explained.is_covered) == (1, 2, True)
        assert explain(planner, make_job(make_step(accelerators=8), priority=2)).rank == 3

    def test_expired_job(self):
        planner = make_planner(make_cluster_state(1))
        assert explain(planner, make_job(), now=1000.0).is_expired
        assert not explain(planner, make_job(), now=0.0).is_expired

    def test_ended_job_starts_nothing(self):
        job = make_job()
        planner = make_planner(make_cluster_state(1), job)
        planner.cluster_state.cancel_job(job.id)
        explained = explain(planner, job)
        assert (explained.cannot_start, explained.rank) == ("has ended", None)
        assert explained.steps[0].fits_now == 0


class TestPlainValues:
    def test_workers_named_are_bounded_and_values_are_json(self):
        planner = make_planner(make_cluster_state(14))
        job = make_job(make_step(count=14, accelerators=8), make_step(seconds=0.0, after=(0,)))
        explained = explain(planner, job)
        assert len(explained.steps[0].workers) == MAX_NAMED_WORKERS
        assert explained.steps[0].other_workers == 4
        plain = msgspec.json.decode(msgspec.json.encode(to_plain(explained)))
        assert plain["job"] == job.id
        assert plain["steps"][0]["fits_now"] == 14

    def test_steps_that_could_start_are_explained_first(self):
        planner = make_planner(make_cluster_state(1))
        later = [make_step(after=(0,)) for _ in range(MAX_EXPLAINED_STEPS)]
        last = make_step(after=(MAX_EXPLAINED_STEPS,))
        explained = explain(planner, make_job(make_step(), *later, last, make_step()))
        numbers = [step.number for step in explained.steps]
        assert numbers == [*range(MAX_EXPLAINED_STEPS - 1), MAX_EXPLAINED_STEPS + 2]
        assert explained.steps_left_out == 3

    def test_step_after_one_without_an_end_has_no_time(self):
        planner = make_planner(make_cluster_state(1))
        first = [make_step() for _ in range(MAX_EXPLAINED_STEPS - 1)]
        never = make_step(accelerators=9)
        job = make_job(*first, never, make_step(after=(MAX_EXPLAINED_STEPS - 1,)))
        state = new_job_state(job)
        for task in state.steps[0].tasks:
            task.is_done = True
        explained = explain_job(planner, state, 1.0, 1.0)
        assert [step.fits_in_seconds for step in explained.steps[-2:]] == [None, None]
