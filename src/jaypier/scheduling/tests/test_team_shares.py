import functools

import attrs
import msgspec
import pytest

from jaypier.jobs.model import Resources, StartResponse
from jaypier.jobs.planning import Planner
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step
from jaypier.jobs.tests.load_player import LoadPlayer, Outcome, mean_of
from jaypier.jobs.tests.test_heavy_load import NOISE, OVERLOAD
from jaypier.scheduling.team_shares import MAX_FACTOR, MIN_FACTOR, WINDOW_SECONDS, TeamShares

SIZES = (6, 5, 4, *7 * (1,))

UNEVEN_TEAMS = attrs.evolve(
    OVERLOAD,
    kinds=tuple(
        attrs.evolve(
            kind,
            per_second=2.5 * kind.per_second,
            width=kind.width / 3,
            max_width=kind.max_width // 3,
        )
        for kind in OVERLOAD.kinds
    ),
    seconds=45.0,
    teams=len(SIZES),
    team_sizes=SIZES,
    guaranteed=0,
)
"""Three large teams and seven small ones, with a demand of about 1.3 times the accelerators."""

HOT_TEAM = "team-3"
TEAM_AT_FIVE_TIMES_ITS_RATE = attrs.evolve(UNEVEN_TEAMS, team_sizes=(6, 5, 4, 5, *6 * (1,)))

QUIET = attrs.evolve(
    UNEVEN_TEAMS,
    kinds=tuple(
        attrs.evolve(kind, per_second=0.1 * kind.per_second, gang_share=0.0)
        for kind in UNEVEN_TEAMS.kinds
    ),
    team_sizes=(),
)
"""Ten equal teams and room for all of them."""

SEEDS = range(12)
"""Small teams have few jobs in one play, so that one seed shows little."""

FEW_SEEDS = range(4)


class WithoutShares(Planner):
    """Orders jobs without regard to their teams."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.team_shares.update = lambda *args: None


class WithWeights(Planner):
    """Gives each team a weight of what it sends usually."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        total = sum(kind.per_second for kind in UNEVEN_TEAMS.kinds)
        sent = sum(TEAM_AT_FIVE_TIMES_ITS_RATE.team_sizes)
        self.team_shares.weights = {
            f"team-{number}": total * size / sent for number, size in enumerate(SIZES)
        }


@functools.cache
def play(load, make_planner=Planner, seeds=SEEDS) -> list[Outcome]:
    return [LoadPlayer(load, seed, make_planner).play() for seed in seeds]


def mean_worth(outcomes: list[Outcome]) -> float:
    return mean_of([outcome.worth for outcome in outcomes])


def confirm(cluster_state, runs, now=0.0):
    for run in runs:
        cluster_state.apply_start_response(run, StartResponse.STARTED, now)


def make_busy_planner(**counts: int) -> Planner:
    """Return a planner of one full worker; ``counts`` are the running tasks by team."""
    cluster_state = make_cluster_state(1)
    jobs = [
        make_job(make_step(count=count, seconds=60.0), team=team) for team, count in counts.items()
    ]
    planner = make_planner(cluster_state, *jobs)
    confirm(cluster_state, planner.plan(0.0, 0.0).starts)
    return planner


def add_jobs(planner, team, count, now, **values):
    states = []
    for _ in range(count):
        job = make_job(make_step(), team=team, submitted_at=now, **values)
        states.append(planner.cluster_state.add_job(job))
        planner.observe_job(states[-1], now)
    return states


class TestFactor:
    def test_nothing_changes_while_nothing_waits(self):
        planner = make_busy_planner(clinic=6, dairy=1)
        planner.plan(5.0, 5.0)
        assert planner.team_shares.factors == {}
        assert planner.team_shares.factor("clinic") == 1.0

    def test_team_that_gets_less_for_what_it_asks_for_gains(self):
        planner = make_busy_planner(clinic=7, dairy=1)
        for team in ("clinic", "dairy"):
            add_jobs(planner, team, 4, 0.5)
        for now in (1.0, 2.0, 5.0, 10.0):
            planner.plan(now, now)
        factor = planner.team_shares.factor
        assert MIN_FACTOR <= factor("clinic") < 1.0 < factor("dairy") <= MAX_FACTOR
        ranked = planner.rank_jobs(10.0, 10.0)
        waiting = [state.spec.team for state in ranked if state.steps[0].waiting]
        assert waiting == 4 * ["dairy"] + 4 * ["clinic"]

    def test_factor_grows_with_the_wait(self):
        planner = make_busy_planner(clinic=8)
        add_jobs(planner, "clinic", 4, 0.5)
        add_jobs(planner, "dairy", 4, 0.5)
        factors = []
        for now in (1.0, 2.0, 4.0, 8.0):
            planner.plan(now, now)
            factors.append(planner.team_shares.factor("dairy"))
        assert factors == sorted(factors)
        assert factors[-1] > factors[0]

    def test_team_beyond_its_rate_gives_way(self):
        def play_with(weight):
            planner = make_busy_planner(clinic=4, dairy=4)
            planner.team_shares.weights = {"clinic": weight, "dairy": weight}
            add_jobs(planner, "clinic", 120, 0.5)
            add_jobs(planner, "dairy", 10, 0.5)
            for now in (1.0, 3.0):
                planner.plan(now, now)
            return planner.team_shares

        shares, within_rate = play_with(1.0), play_with(100.0)
        assert shares.owed_share("dairy", 0.0) == 1.0
        assert shares.owed_share("clinic", 0.0) == pytest.approx(WINDOW_SECONDS / 120, rel=0.2)
        assert shares.factor("clinic") < within_rate.factor("clinic")
        assert shares.factor("dairy") > within_rate.factor("dairy")

    def test_work_that_waits_for_its_team_s_limit_is_no_contention(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(
            cluster_state,
            make_job(make_step(count=9, seconds=60.0), team="clinic"),
            make_job(make_step(count=2, seconds=60.0), team="dairy"),
        )
        planner.team_limits.limits = {"clinic": Resources(0, 0, 4)}
        for now in (0.0, 1.0, 5.0):
            planner.plan(now, now)
        assert not planner.team_shares.is_contended

    def test_guaranteed_urgent_job_stays_first(self):
        planner = make_busy_planner(clinic=8)
        planner.guarantees = {"clinic": 16}
        urgent, *_ = add_jobs(planner, "clinic", 1, 0.5, priority=0)
        add_jobs(planner, "dairy", 8, 0.5)
        planner.team_shares.factors = {"clinic": MIN_FACTOR, "dairy": MAX_FACTOR}
        assert planner.rank_jobs(1.0, 1.0)[0] is urgent

    def test_use_is_forgotten(self):
        planner = make_busy_planner(clinic=8)
        add_jobs(planner, "dairy", 1, 0.5)
        planner.plan(1.0, 1.0)
        planner.plan(6.0, 6.0)
        served = planner.team_shares.uses["clinic"].served
        planner.team_shares.age(WINDOW_SECONDS)
        assert planner.team_shares.uses["clinic"].served == pytest.approx(served / 2.718, rel=0.01)


class TestRecord:
    def test_new_leader_takes_over_what_is_known(self):
        planner = make_busy_planner(clinic=7, dairy=1)
        add_jobs(planner, "dairy", 4, 0.5)
        planner.plan(1.0, 1.0)
        planner.plan(9.0, 9.0)
        record = msgspec.json.decode(msgspec.json.encode(planner.team_shares.to_record()))
        restored = TeamShares()
        restored.restore(record)
        assert restored.to_record() == planner.team_shares.to_record()
        assert restored.served_shares() == pytest.approx(
            planner.team_shares.served_shares(), rel=0.01
        )

    @pytest.mark.parametrize("record", [{"a": [1]}, {"a": ["x", 1]}, {"a": 7}, {"a": [None, 1]}])
    def test_record_that_is_none_is_refused_and_changes_nothing(self, record):
        shares = TeamShares()
        with pytest.raises((TypeError, ValueError)):
            shares.restore(record)
        assert not shares.uses


class TestLoads:
    def test_worst_served_team_gains_and_the_whole_does_not_lose(self):
        planned, baseline = play(UNEVEN_TEAMS), play(UNEVEN_TEAMS, WithoutShares)
        worst = mean_of([min(each.by_team.values()) for each in planned])
        assert worst > mean_of([min(each.by_team.values()) for each in baseline])
        assert mean_worth(planned) >= mean_worth(baseline) - NOISE

    def test_teams_within_their_rates_gain_beside_one_far_beyond_it(self):
        def worth_of_others(outcomes):
            return mean_of(
                [
                    worth
                    for each in outcomes
                    for team, worth in each.by_team.items()
                    if team != HOT_TEAM
                ]
            )

        load = TEAM_AT_FIVE_TIMES_ITS_RATE
        planned = play(load, WithWeights, FEW_SEEDS)
        baseline = play(load, WithoutShares, FEW_SEEDS)
        assert worth_of_others(planned) > worth_of_others(baseline)
        assert mean_worth(planned) >= mean_worth(baseline) - NOISE

    def test_ten_equal_teams_without_contention_get_the_same_as_without_shares(self):
        planned = play(QUIET, Planner, FEW_SEEDS)
        assert planned == play(QUIET, WithoutShares, FEW_SEEDS)
