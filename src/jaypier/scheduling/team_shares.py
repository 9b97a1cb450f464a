"""Fair service between teams while there is too little room for all of them.

Answers overload in which the jobs of some teams wait much longer than those of others for the size
of their demand, or one team sends many times its usual: what it sends beyond its rate gives way to
what others send within theirs. Nothing changes while nothing waits, and idle capacity is used by
any team.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import Resources
from jaypier.jobs.state import JobState
from jaypier.scheduling.learned_section import LearnedSection
from jaypier.scheduling.rooms import dominant_share

WINDOW_SECONDS = 30.0
"""Time over which service and demand are averaged: the time within which a job that ends late still
has a value to its caller."""

MIN_FACTOR = 0.5
MAX_FACTOR = 2.0
"""Bounds of the factor on the scores of a team's jobs: only jobs of like value change places."""

PRIOR_SHARE = 0.25
"""Demand that each team is assumed to have, served as the average, as a share of the mean demand of
a team. One job of a small team then does not count as a team that is not served at all."""


NOTICEABLE_CHANGE = 0.1
"""Change of a team's part in what was served from which another record is worth it."""

MAX_RECORDED_TEAMS = 400
"""Largest number of teams in a record: about 12 KB."""

MAX_RECORDED_USE = 1e12
"""Largest number in a record."""

MIN_USE = 1e-4
"""Service, and number of arrivals, below which a team is forgotten: a long time without any."""


@attrs.define
class TeamUse:
    """What a team has got and asked for lately, averaged over ``WINDOW_SECONDS``.

    :param served: use of the resource of which it used most, as a share of all workers times
        seconds, while jobs waited.
    :param arrivals: number of jobs that arrived.
    :param waiting: work that waits, in the same unit as ``served``.
    """

    served: float = 0.0
    arrivals: float = 0.0
    waiting: float = 0.0

    @property
    def demand(self) -> float:
        """Work that it has got or is waiting for."""
        return self.served + self.waiting

    @property
    def is_negligible(self) -> bool:
        """Whether nothing that would count is left."""
        return self.waiting == 0 and max(self.served, self.arrivals) < MIN_USE


class TeamShares(LearnedSection):
    """Compares how well teams are served, by the size of what they ask for.

    :param shares_equally: whether teams without weights have equal shares. If not, and if no team
        has a weight, nothing changes.
    :ivar weights: jobs a second that a team may send, of each team that has a weight.
    :ivar uses: recent use by team.
    :ivar factors: factor on the scores of the jobs of each team for which it is not 1.
    :ivar is_contended: whether the last pass left work waiting.
    :ivar updated_at: time on the local clock, in seconds, of the last update.
    """

    def __init__(self, shares_equally: bool = True) -> None:
        self.shares_equally = shares_equally
        self.weights: Mapping[str, float] = {}
        self.uses: dict[str, TeamUse] = defaultdict(TeamUse)
        self.factors: dict[str, float] = {}
        self.is_contended = False
        self.updated_at = -math.inf

    @property
    def is_configured(self) -> bool:
        """Whether operators have asked for shares."""
        return self.shares_equally or bool(self.weights)

    def factor(self, team: str) -> float:
        """Return the factor on the scores of a team's jobs."""
        return self.factors.get(team, 1.0)

    def update(
        self, cluster_state: ClusterState, now: float, limited: Collection[str] = ()
    ) -> None:
        """Update use and factors at the end of a pass; what still waits has found no room.

        :param now: time on the local clock, in seconds.
        :param limited: teams whose work waits because of their limits, not for want of room.
        """
        if not self.is_configured:
            self.factors = {}
            return
        elapsed = now - self.updated_at if self.updated_at > -math.inf else 0.0
        total = sum((each.entry.capacity for each in cluster_state.workers.values()), Resources())
        jobs = list(cluster_state.jobs.values())
        self.age(elapsed)
        for state in jobs:
            if self.updated_at < state.added_at <= now and not state.is_recovered:
                self.uses[state.spec.team].arrivals += 1
        if self.is_contended:
            self.observe_service(cluster_state, total, elapsed)
        self.observe_waiting(
            [
                state
                for state in cluster_state.startable_jobs(now)
                if now - state.added_at <= WINDOW_SECONDS and state.spec.team not in limited
            ],
            total,
        )
        self.updated_at = now
        self.is_contended = any(use.waiting > 0 for use in self.uses.values())
        self.factors = self.compare() if self.is_contended else {}

    def age(self, elapsed: float) -> None:
        """Let what was observed before count less; forget teams of which nothing is left.

        :param elapsed: time since then, in seconds.
        """
        kept = math.exp(-elapsed / WINDOW_SECONDS)
        for use in self.uses.values():
            use.served *= kept
            use.arrivals *= kept
        for team in [team for team, use in self.uses.items() if use.is_negligible]:
            del self.uses[team]

    def observe_service(
        self, cluster_state: ClusterState, total: Resources, elapsed: float
    ) -> None:
        """Add what the teams' runs have used since the last update."""
        held: dict[str, Resources] = defaultdict(Resources)
        for worker in cluster_state.workers.values():
            for run in worker.runs.values():
                team = run.step.job.spec.team
                held[team] = held[team] + run.step.spec.demand
        for team, amount in held.items():
            self.uses[team].served += elapsed * dominant_share(amount, total)

    def observe_waiting(self, jobs: Iterable[JobState], total: Resources) -> None:
        """Add up the work of jobs that waits."""
        for use in self.uses.values():
            use.waiting = 0.0
        for state in jobs:
            self.uses[state.spec.team].waiting += sum(
                step.waiting_count * step.expected_seconds * dominant_share(step.spec.demand, total)
                for step in state.ready_steps
                if not step.spec.lasts
            )

    def owed_share(self, team: str, equal_demand: float) -> float:
        """Return the share of what a team asks for that lies within its share of the room.

        That is what it sends within its rate if it has a weight, and otherwise an equal part of
        what all teams ask for.

        :param equal_demand: that part.
        """
        use = self.uses[team]
        if team in self.weights:
            rate = use.arrivals / WINDOW_SECONDS
            return min(1.0, self.weights[team] / rate) if rate > 0 else 1.0
        return min(1.0, equal_demand / use.demand)

    def compare(self) -> dict[str, float]:
        """Return the factor of each team, by how well it is served compared with all of them.

        A team that sends beyond its share counts as well served by as much.
        """
        demands = {team: use.demand for team, use in self.uses.items() if use.demand > 0}
        if len(demands) < 2:
            return {}
        equal_demand = sum(demands.values()) / len(demands)
        owed = {
            team: self.owed_share(team, equal_demand) * demand for team, demand in demands.items()
        }
        average = sum(self.uses[team].served for team in owed) / sum(owed.values())
        prior = PRIOR_SHARE * sum(owed.values()) / len(owed)
        if average <= 0:
            return {}
        ratios = {
            team: average * (amount + prior) / (self.uses[team].served + prior * average)
            for team, amount in owed.items()
        }
        return {team: min(MAX_FACTOR, max(MIN_FACTOR, ratio)) for team, ratio in ratios.items()}

    def served_shares(self) -> dict[str, float]:
        """Return the share of each team in what was used lately while jobs waited."""
        total = sum(use.served for use in self.uses.values())
        return {team: use.served / total for team, use in self.uses.items() if use.served > 0}

    def to_record(self) -> dict[str, list[float]]:
        """Return what is known of the teams' use as plain JSON values."""
        known = heapq.nlargest(
            MAX_RECORDED_TEAMS, self.uses.items(), key=lambda item: item[1].served
        )
        return {team: [round(use.served, 4), round(use.arrivals, 2)] for team, use in known}

    def differs(self, record: Mapping[str, Sequence[float]]) -> bool:
        """Whether the parts of teams in what was served have changed noticeably since a record."""
        if not self.is_configured:
            return False
        recorded = {team: served for team, (served, _) in record.items() if served > 0}
        total = sum(recorded.values())
        before = {team: served / total for team, served in recorded.items()}
        current = self.served_shares()
        return any(
            abs(current.get(team, 0.0) - before.get(team, 0.0)) >= NOTICEABLE_CHANGE
            for team in current.keys() | before.keys()
        )

    def restore(self, record: Mapping[str, Sequence[float]]) -> None:
        """Take over what an earlier leader has recorded.

        :raises ValueError: if it is not a record.
        :raises TypeError: the same.
        """
        restored = {}
        for team, (served, arrivals) in record.items():
            use = TeamUse(max(0.0, float(served)), max(0.0, float(arrivals)))
            if not (use.served <= MAX_RECORDED_USE and use.arrivals <= MAX_RECORDED_USE):
                raise ValueError(f"use of a team out of range: {use}")
            restored[team] = use
        self.uses = defaultdict(TeamUse, restored)
