"""Operators' configuration: routes, services, teams and limits in force."""

import attrs

from jaypier.platform import ChangeSource
from jaypier.wire.server import HttpLimits


@attrs.frozen
class Route:
    """A queue: where callers hand jobs in and how these are treated.

    :param host: value of the Host header, empty for any.
    :param prefix: beginning of the path.
    :param service: pool of workers that runs its jobs, empty for any.
    :param priority: 0 is urgent.
    :param max_attempts: failed runs of one task after which a job has failed.
    :param slack_factor: multiple of its chain of work in which a job is due.
    :param target_seconds: time that is added to that.
    :param timeout_seconds: time in which a call has to be answered.
    :param is_public: whether calls need no key.
    :param needs_placement_advice: whether an outside service names the workers it may use.
    """

    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    target_seconds: float
    timeout_seconds: float
    is_public: bool = False
    needs_placement_advice: bool = False

    @property
    def queue(self) -> str:
        """Identity of the queue."""
        return f"{self.host}{self.prefix}"


@attrs.frozen
class Team:
    """A team.

    :param keys: keys that its callers use.
    :param guaranteed_accelerators: accelerators for its urgent jobs at all times.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int


@attrs.frozen
class Configuration:
    """One version of the configuration, with the data centres that are out of service."""

    version: int
    routes: tuple[Route, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: HttpLimits = attrs.field(factory=HttpLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that a path begins with."""
        matching = [
            route
            for route in self.routes
            if route.host in ("", host) and path.startswith(route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def find_team_by_key(self, key: str) -> Team | None:
        """Return the team that a key belongs to."""
        return next((team for team in self.teams if key in team.keys), None)


@attrs.frozen
class OperatorChanges:
    """What operators have changed.

    :param configuration: the newest version, ``None`` when it is not among the changes.
    :param out_of_service: for each data centre that is named, whether it takes no new work.
    :param version: version of the store up to which this is complete.
    """

    configuration: Configuration | None
    out_of_service: dict[str, bool]
    version: int


OperatorSource = ChangeSource[OperatorChanges]
"""Where operators leave their configuration."""
