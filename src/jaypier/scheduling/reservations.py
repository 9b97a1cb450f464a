"""Homes for guaranteed shapes, so that reclaiming one is a matter of its own racks."""

from collections.abc import Iterable

import attrs

from jaypier.notes.configuration import Configuration, Reservation
from jaypier.notes.model import Adjacency, GuaranteedShape, Job, Team


@attrs.frozen
class Shortfall:
    """A guaranteed shape that cannot be placed together with all others."""

    team: str
    shape: str
    tasks: int
    accelerators_per_task: int

    def __str__(self) -> str:
        return (
            f"team {self.team!r}: shape {self.shape!r} of {self.tasks} tasks with "
            f"{self.accelerators_per_task} accelerators does not fit beside the other guarantees; "
            "make it smaller or take the data centres it needs into service"
        )


@attrs.frozen
class RackSite:
    """A rack and the accelerators of each of its workers.

    :param workers: accelerators of each worker, largest first.
    """

    data_centre: str
    name: str
    workers: tuple[int, ...]


@attrs.frozen
class Demand:
    """Tasks of one reservation that a rack must be able to take."""

    key: str
    accelerators_per_task: int
    tasks: int


def pack(free: dict[str, int], demands: Iterable[Demand]) -> dict[str, dict[str, int]] | None:
    """Pack all demands on the workers of a rack, the largest tasks first, best fit.

    The result is exact when task sizes divide each other, and may refuse otherwise.

    :param free: free accelerators of each worker.
    :returns: for each demand's key the number of tasks on each worker, ``None`` when the
        demands do not all fit.
    """
    left = dict(free)
    packed: dict[str, dict[str, int]] = {}
    for demand in sorted(demands, key=lambda demand: -demand.accelerators_per_task):
        size, tasks = demand.accelerators_per_task, demand.tasks
        chosen = packed.setdefault(demand.key, {})
        fitting = sorted((room, worker) for worker, room in left.items() if room >= size)
        for room, worker in fitting:
            if tasks == 0:
                break
            count = min(tasks, room // size)
            chosen[worker] = chosen.get(worker, 0) + count
            left[worker] = room - count * size
            tasks -= count
        if tasks:
            return None
    return packed


class ReservationPlanner:
    """Finds homes for shapes in racks, beside the homes that are taken already.

    :param sites: every rack of the data centres in service.
    """

    def __init__(self, sites: list[RackSite]) -> None:
        self.sites = {site.name: site for site in sites}
        self.demands: dict[str, list[Demand]] = {site.name: [] for site in sites}

    def fits(self, rack: str, extra: Demand) -> bool:
        """Whether a rack can take one more demand."""
        workers = {str(index): size for index, size in enumerate(self.sites[rack].workers)}
        return pack(workers, [*self.demands[rack], extra]) is not None

    def keep(self, reservation: Reservation) -> bool:
        """Keep a present home if it is still in service and fits.

        :returns: whether it was kept.
        """
        size = reservation.shape.accelerators_per_task
        demands = {
            rack: Demand(reservation.key, size, tasks) for rack, tasks in reservation.racks.items()
        }
        known = all(rack in self.sites for rack in demands)
        if not known or not all(self.fits(rack, demand) for rack, demand in demands.items()):
            return False
        self._add(demands)
        return True

    def plan(self, team: str, shape: GuaranteedShape, job: str = "") -> Reservation | None:
        """Find a home for a shape.

        :returns: the home, ``None`` when the shape does not fit.
        """
        key = Reservation(team, shape, "", {}, job).key
        size = shape.accelerators_per_task
        whole = Demand(key, size, shape.tasks)
        one_rack = [rack for rack in self.sites if self._has_room(rack, whole)]
        if one_rack:
            best = min(one_rack, key=lambda rack: (self._free(rack), rack))
            return self._reserve(team, shape, {best: whole}, job)
        if shape.adjacency is Adjacency.RACK:
            return None
        for data_centre in sorted({site.data_centre for site in self.sites.values()}):
            demands = self._spread(data_centre, key, size, shape.tasks)
            if demands:
                return self._reserve(team, shape, demands, job)
        return None

    def _has_room(self, rack: str, demand: Demand) -> bool:
        needed = demand.tasks * demand.accelerators_per_task
        return self._free(rack) >= needed and self.fits(rack, demand)

    def _free(self, rack: str) -> int:
        taken = sum(demand.tasks * demand.accelerators_per_task for demand in self.demands[rack])
        return sum(self.sites[rack].workers) - taken

    def _spread(self, data_centre: str, key: str, size: int, tasks: int) -> dict[str, Demand]:
        """Spread a shape over the emptiest racks of a data centre; empty when it does not fit."""
        racks = [name for name, site in self.sites.items() if site.data_centre == data_centre]
        demands: dict[str, Demand] = {}
        for rack in sorted(racks, key=lambda rack: (-self._free(rack), rack)):
            for count in range(min(tasks, self._free(rack) // size), 0, -1):
                if self.fits(rack, Demand(key, size, count)):
                    demands[rack] = Demand(key, size, count)
                    tasks -= count
                    break
            if tasks == 0:
                return demands
        return {}

    def _reserve(
        self, team: str, shape: GuaranteedShape, demands: dict[str, Demand], job: str
    ) -> Reservation:
        self._add(demands)
        data_centre = self.sites[next(iter(demands))].data_centre
        racks = {rack: demand.tasks for rack, demand in demands.items()}
        return Reservation(team, shape, data_centre, racks, job)

    def _add(self, demands: dict[str, Demand]) -> None:
        for rack, demand in demands.items():
            self.demands[rack].append(demand)


@attrs.frozen
class Plan:
    """Homes of all guaranteed shapes and of jobs that cannot be preempted.

    :param shortfalls: guaranteed shapes for which there is no home.
    """

    reservations: list[Reservation]
    shortfalls: list[Shortfall]


def plan_reservations(configuration: Configuration, sites: list[RackSite]) -> Plan:
    """Plan homes for everything that must be reclaimable, the smallest team first.

    Present homes are kept where they still fit. A job that cannot be preempted and is not
    covered by a guarantee of its team gets a temporary home if there is room beside all
    guarantees; until then it waits.

    :param sites: every rack of the data centres in service.
    """
    planner = ReservationPlanner(sites)
    present = {reservation.key: reservation for reservation in configuration.reservations}
    reservations, shortfalls = [], []
    for team in sorted(configuration.teams.values(), key=team_order):
        for shape in team.guarantee:
            home = _keep_or_plan(planner, present, Reservation(team.name, shape, "", {}))
            if home is None:
                size = shape.accelerators_per_task
                shortfalls.append(Shortfall(team.name, shape.name, shape.tasks, size))
            else:
                reservations.append(home)
    for job in configuration.jobs.values():
        if not job.preemptible and not covering_shapes(configuration.teams[job.team], job):
            shape = GuaranteedShape("job", job.tasks, job.accelerators_per_task, job.adjacency)
            home = _keep_or_plan(planner, present, Reservation(job.team, shape, "", {}, job.name))
            reservations += [home] if home is not None else []
    return Plan(reservations, shortfalls)


def _keep_or_plan(
    planner: ReservationPlanner, present: dict[str, Reservation], wanted: Reservation
) -> Reservation | None:
    home = present.get(wanted.key)
    if home is not None and home.shape == wanted.shape and planner.keep(home):
        return home
    return planner.plan(wanted.team, wanted.shape, wanted.job)


def team_order(team: Team) -> tuple[int, str]:
    """Sort key that puts the team with the smallest guarantee first."""
    return (team.guaranteed_accelerators, team.name)


def covering_shapes(team: Team, job: Job) -> list[GuaranteedShape]:
    """Return the guaranteed shapes of a team that a job fits into."""
    return [shape for shape in team.guarantee if covers(shape, job)]


def covers(shape: GuaranteedShape, job: Job) -> bool:
    """Whether a gang fits into a shape as a whole."""
    if job.adjacency is Adjacency.RACK and shape.adjacency is not Adjacency.RACK:
        return False
    return job.tasks <= shape.tasks and job.accelerators_per_task <= shape.accelerators_per_task


def is_home(reservation: Reservation, job: Job) -> bool:
    """Whether a job may claim a reservation."""
    if reservation.team != job.team:
        return False
    if reservation.job:
        return reservation.job == job.name
    return covers(reservation.shape, job)
