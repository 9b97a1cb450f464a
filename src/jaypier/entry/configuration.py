"""Configuration set by operators: routes, teams and HTTP limits."""

import attrs

from jaypier.jobs.model import Resources
from jaypier.platform import ChangeSource
from jaypier.wire.server import HttpLimits


@attrs.frozen
class Route:
    """A queue, the requests that it matches and the settings that its jobs get.

    A job should end within ``slack_factor`` times the estimated duration of its longest chain of
    dependent steps plus ``target_seconds``, counted from its submission.

    :param host: host name in the ``Host`` header, without a port; empty for any.
    :param prefix: path prefix of the queue; the job id follows it.
    :param service: pool of workers that runs its jobs, empty for any.
    :param priority: scheduling priority; 0 is urgent.
    :param max_attempts: failed runs of one task after which its job fails.
    :param slack_factor: factor on the duration of the longest chain of steps.
    :param target_seconds: constant part of the target, in seconds.
    :param timeout_seconds: longest time until a request gets its response, in seconds.
    :param is_public: whether requests need no API key.
    :param needs_placement_advice: whether an external service chooses the workers that its jobs
        may use. Submissions to such a queue are refused.
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
        """Name of the queue: host and path prefix."""
        return f"{self.host}{self.prefix}"


@attrs.frozen
class Team:
    """A team of callers.

    :param keys: API keys of its callers.
    :param guaranteed_accelerators: number of accelerators that its urgent jobs can always get.
    :param limit: what it may have running on all workers together; 0 stands for no limit.
    :param weight: jobs a second that make up its share when all capacity is in use, 0 for an equal
        share.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int
    limit: Resources = attrs.field(factory=Resources)
    weight: float = 0.0


@attrs.frozen
class Configuration:
    """One version of the configuration.

    :param version: number that grows with each change.
    :param limits: HTTP limits for callers' connections.
    :param unguarded_services: pools whose workers start whatever they are told to, also what
        exceeds their capacity.
    """

    version: int
    routes: tuple[Route, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: HttpLimits = attrs.field(factory=HttpLimits)
    unguarded_services: frozenset[str] = frozenset()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``.

        :param host: host name of the request, without a port.
        """
        matching = [
            route
            for route in self.routes
            if route.host in ("", host) and path.startswith(route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def find_team_by_key(self, key: str) -> Team | None:
        """Return the team that an API key belongs to, or ``None``."""
        return next((team for team in self.teams if key in team.keys), None)

    def limit_of(self, team_name: str) -> Resources:
        """Return what a team may have running, 0 for no limit."""
        limits = (team.limit for team in self.teams if team.name == team_name)
        return next(limits, Resources())


@attrs.frozen
class OperatorChanges:
    """Changes that operators made, from a snapshot or a watch of the store.

    :param configuration: newest version, ``None`` if it has not changed.
    :param out_of_service: for each changed data centre, whether it gets no new work.
    :param version: store version up to which the changes are complete.
    """

    configuration: Configuration | None
    out_of_service: dict[str, bool]
    version: int


OperatorSource = ChangeSource[OperatorChanges]
"""Source of the operators' configuration and its changes."""
