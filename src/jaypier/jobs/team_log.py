"""Log lines and metrics of the limits of teams and of their shares in contended capacity."""

import structlog

from jaypier.core.metrics import Metrics
from jaypier.jobs.planning import Planner

SHARE_MARGIN = 1.25
"""Factor by which the scores of a team's jobs have to change before it is logged."""

LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two lines on the same matter of one team."""

log = structlog.get_logger()


class TeamLog:
    """Logs which teams wait for their limits, and whose jobs come earlier or later for fairness.

    :ivar logged_at: time on the local clock, in seconds, of the last line, by event and team.
    """

    def __init__(self) -> None:
        self.logged_at: dict[tuple[str, str], float] = {}

    def observe(self, planner: Planner, metrics: Metrics, now: float) -> None:
        """Log and count what a scheduling pass has decided.

        :param now: time on the local clock, in seconds.
        """
        limits, shares = planner.team_limits, planner.team_shares
        for team, tasks in limits.blocked.items():
            metrics.count("leader.team_limit_waits")
            if self.is_due("team limit reached", team, now):
                log.info(
                    "team limit reached",
                    team=team,
                    waiting_tasks=tasks,
                    held=str(limits.held[team]),
                    unknown=str(limits.unknown),
                    limit=str(limits.limits.get(team)),
                )
        for team, factor in shares.factors.items():
            is_large = not 1 / SHARE_MARGIN < factor < SHARE_MARGIN
            if is_large and self.is_due("team share changes order", team, now):
                log.info(
                    "team share changes order",
                    team=team,
                    factor=round(factor, 2),
                    served_share=round(shares.served_shares().get(team, 0.0), 3),
                    weight=shares.weights.get(team),
                )

    def is_due(self, event: str, team: str, now: float) -> bool:
        """Whether an event of a team may be logged now; it then counts as logged.

        :param now: time on the local clock, in seconds.
        """
        last = self.logged_at.get((event, team))
        if last is not None and now - last < LOG_INTERVAL_SECONDS:
            return False
        self.logged_at[event, team] = now
        return True


def describe_teams(planner: Planner) -> dict[str, dict]:
    """Return what each team holds, may hold and has got, as plain JSON values for the dump."""
    limits, shares = planner.team_limits, planner.team_shares
    served = shares.served_shares()
    return {
        team: {
            "held_accelerators": limits.held[team].accelerators if team in limits.held else None,
            "limit_accelerators": limits.limits[team].accelerators if team in limits.limits else 0,
            "waiting_for_limit": limits.blocked.get(team, 0),
            "served_share": round(served.get(team, 0.0), 4),
            "factor": round(shares.factor(team), 3),
        }
        for team in sorted({*limits.limits, *served, *shares.factors})
    }
