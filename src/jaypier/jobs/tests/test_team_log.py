from structlog.testing import capture_logs

from jaypier.core.metrics import Metrics
from jaypier.jobs.model import Resources
from jaypier.jobs.team_log import LOG_INTERVAL_SECONDS, TeamLog, describe_teams
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step


def make_limited_planner():
    planner = make_planner(make_cluster_state(2), make_job(make_step(count=8)))
    planner.team_limits.limits = {"team-a": Resources(0, 0, 5)}
    planner.plan(0.0, 0.0)
    return planner


class TestTeamLog:
    def test_team_at_its_limit_is_logged_once_in_a_while_and_counted_each_time(self):
        planner, metrics, team_log = make_limited_planner(), Metrics(), TeamLog()
        with capture_logs() as lines:
            for now in (0.0, 1.0, LOG_INTERVAL_SECONDS):
                team_log.observe(planner, metrics, now)
        assert [(line["event"], line["team"], line["waiting_tasks"]) for line in lines] == [
            ("team limit reached", "team-a", 3)
        ] * 2
        assert metrics.counters["leader.team_limit_waits"] == 3

    def test_large_factors_are_logged(self):
        planner, team_log = make_limited_planner(), TeamLog()
        planner.team_limits.blocked.clear()
        planner.team_shares.factors = {"team-a": 1.1, "team-b": 1.6, "team-c": 0.6}
        with capture_logs() as lines:
            team_log.observe(planner, Metrics(), 0.0)
        assert [(line["event"], line["team"]) for line in lines] == [
            ("team share changes order", "team-b"),
            ("team share changes order", "team-c"),
        ]

    def test_dump(self):
        assert describe_teams(make_limited_planner()) == {
            "team-a": {
                "held_accelerators": 5,
                "limit_accelerators": 5,
                "waiting_for_limit": 3,
                "served_share": 0.0,
                "factor": 1.0,
            }
        }
