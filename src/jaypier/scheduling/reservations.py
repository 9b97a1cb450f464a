"""Homes for guaranteed shapes, so that reclaiming one is a matter of its own workers.

Homes are disjoint: the tasks of all homes on a worker fit on it together. Work that cannot be
preempted only runs in a home of its own, so whatever else is on a home can be preempted for it.
"""

import attrs

from jaypier.notes.configuration import Configuration, Pin, Reservation
from jaypier.notes.model import Adjacency, GuaranteedShape, Job, Team
from jaypier.platform import Machine, MachineKind, MachineState
from jaypier.scheduling.capacity import Capacity
from jaypier.scheduling.placement import place_gang


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
class Plan:
    """Homes of all guaranteed shapes and of jobs that cannot be preempted.

    :param shortfalls: guaranteed shapes for which there is no home.
    """

    reservations: list[Reservation]
    shortfalls: list[Shortfall]


def capacities_in_service(
    machines: list[Machine], configuration: Configuration
) -> dict[str, Capacity]:
    """Return the whole capacity of the listed workers of each data centre in service."""
    capacities: dict[str, Capacity] = {}
    for machine in machines:
        is_live_worker = machine.kind is MachineKind.WORKER and machine.state is MachineState.LIVE
        if is_live_worker and configuration.in_service(machine.data_centre):
            capacity = capacities.setdefault(machine.data_centre, Capacity())
            capacity.set_free(machine.id, machine.rack, machine.accelerators)
    return capacities


def team_order(team: Team) -> tuple[int, str]:
    """Sort key that puts the team with the smallest guarantee first."""
    return (team.guaranteed_accelerators, team.name)


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


def wanted_homes(configuration: Configuration) -> list[Reservation]:
    """Return what needs a home, in order of precedence, as reservations without workers.

    Guaranteed shapes go first, the smallest team's before others'; then jobs that cannot be
    preempted and that no guarantee of their team covers.
    """
    teams = sorted(configuration.teams.values(), key=team_order)
    shapes = [Reservation(team.name, shape, "") for team in teams for shape in team.guarantee]
    jobs = [
        Reservation(job.team, _shape_of(job), "", job=job.name)
        for job in configuration.jobs.values()
        if not job.preemptible and not _is_covered(configuration.teams[job.team], job)
    ]
    return shapes + jobs


def _shape_of(job: Job) -> GuaranteedShape:
    return GuaranteedShape("job", job.tasks, job.accelerators_per_task, job.adjacency)


def _is_covered(team: Team, job: Job) -> bool:
    return any(covers(shape, job) for shape in team.guarantee)


class ReservationPlanner:
    """Finds homes beside those that are taken already.

    :param capacities: whole capacity of each data centre in service.
    :param pins: work that cannot be preempted and where it runs.
    :param present: homes as they are now, by key.
    """

    def __init__(
        self,
        capacities: dict[str, Capacity],
        pins: dict[str, Pin],
        present: dict[str, Reservation],
    ) -> None:
        self.capacities = capacities
        self.data_centre_of = {
            worker: name for name, capacity in capacities.items() for worker in capacity.rack_of
        }
        self.pins: dict[str, list[Pin]] = {}
        for pin in pins.values():
            self.pins.setdefault(pin.claim, []).append(pin)
            if pin.claim not in present:
                self._occupy_pin(pin, {})
        self.homes: dict[str, Reservation] = {}

    def _occupy_pin(self, pin: Pin, home: dict[str, int]) -> None:
        """Take the capacity of pinned tasks that lie outside a home."""
        outside = {
            worker: max(0, tasks - home.get(worker, 0)) for worker, tasks in pin.placement.items()
        }
        self._change(outside, pin.accelerators_per_task, -1)

    def _change(self, placement: dict[str, int], size: int, sign: int) -> None:
        for worker, tasks in placement.items():
            data_centre = self.data_centre_of.get(worker)
            if data_centre is not None and tasks:
                self.capacities[data_centre].change({worker: tasks}, size, sign)

    def keep(self, home: Reservation) -> bool:
        """Keep a present home whose workers are all in service; mend one that lost some.

        :returns: whether it was kept or mended.
        """
        size = home.shape.accelerators_per_task
        left = {w: tasks for w, tasks in home.workers.items() if w in self.data_centre_of}
        if any(self._free(worker) < tasks * size for worker, tasks in left.items()):
            return False
        missing = home.shape.tasks - sum(left.values())
        if missing and not left:
            return False
        self._change(left, size, -1)
        mended = self._mend(home, left, missing) if missing else {}
        if mended is None:
            self._change(left, size, +1)
            return False
        self._change(mended, size, -1)
        workers = {w: left.get(w, 0) + mended.get(w, 0) for w in {**left, **mended}}
        self._settle(attrs.evolve(home, workers=workers))
        return True

    def _mend(self, home: Reservation, left: dict[str, int], missing: int) -> dict[str, int] | None:
        """Choose workers near the rest of a home for the tasks that lost theirs."""
        capacity = self.capacities[home.data_centre]
        if home.shape.adjacency is Adjacency.RACK:
            racks = {capacity.rack_of[worker] for worker in left}
            capacity = capacity.only_racks(racks)
        size = home.shape.accelerators_per_task
        return place_gang(capacity, missing, size, home.shape.adjacency)

    def plan(self, wanted: Reservation) -> bool:
        """Find a home where it leaves the least room over.

        :returns: whether there is one.
        """
        shape = wanted.shape
        size = shape.accelerators_per_task
        found = {
            name: place_gang(capacity, shape.tasks, size, shape.adjacency)
            for name, capacity in self.capacities.items()
        }
        possible = {name: workers for name, workers in found.items() if workers}
        if not possible:
            return False
        best = min(possible, key=lambda name: self._room_around(name, possible[name]))
        self._change(possible[best], size, -1)
        self._settle(attrs.evolve(wanted, data_centre=best, workers=possible[best]))
        return True

    def _room_around(self, data_centre: str, workers: dict[str, int]) -> tuple[int, int, str]:
        capacity = self.capacities[data_centre]
        racks = {capacity.rack_of[worker] for worker in workers}
        return (len(racks), sum(capacity.racks[rack].free_total for rack in racks), data_centre)

    def _settle(self, home: Reservation) -> None:
        self.homes[home.key] = home
        for pin in self.pins.get(home.key, []):
            self._occupy_pin(pin, home.workers)

    def displace(self, key: str) -> None:
        """Give up a home that was kept."""
        home = self.homes.pop(key)
        self._change(home.workers, home.shape.accelerators_per_task, +1)
        for pin in self.pins.get(key, []):
            inside = {w: min(t, home.workers.get(w, 0)) for w, t in pin.placement.items()}
            self._change(inside, pin.accelerators_per_task, -1)

    def _free(self, worker: str) -> int:
        return self.capacities[self.data_centre_of[worker]].free_of(worker)


def plan_reservations(configuration: Configuration, machines: list[Machine]) -> Plan:
    """Plan homes for everything that must be reclaimable.

    Present homes are kept where they can be. When a home is missing and there is no room, the
    homes of larger teams give way, the largest first.

    :param machines: the platform's list.
    """
    wanted = wanted_homes(configuration)
    present = {home.key: home for home in configuration.reservations}
    planner = ReservationPlanner(
        capacities_in_service(machines, configuration), configuration.released, present
    )
    missing = []
    for each in wanted:
        home = present.get(each.key)
        if home is None or home.shape != each.shape or not planner.keep(home):
            missing.append(each)
    precedence = {each.key: index for index, each in enumerate(wanted)}
    unplaced = []
    while missing:
        each = missing.pop(0)
        if not _plan_displacing(planner, each, wanted, precedence, missing):
            unplaced.append(each)
    shortfalls = [
        Shortfall(each.team, each.shape.name, each.shape.tasks, each.shape.accelerators_per_task)
        for each in unplaced
        if not each.job
    ]
    homes = sorted(planner.homes.values(), key=lambda home: precedence[home.key])
    return Plan(homes, shortfalls)


def _plan_displacing(
    planner: ReservationPlanner,
    wanted: Reservation,
    all_wanted: list[Reservation],
    precedence: dict[str, int],
    missing: list[Reservation],
) -> bool:
    """Plan a home; if there is no room, displace homes of lower precedence one by one."""
    while not planner.plan(wanted):
        lower = [key for key in planner.homes if precedence[key] > precedence[wanted.key]]
        if not lower:
            return False
        displaced = max(lower, key=lambda key: precedence[key])
        planner.displace(displaced)
        missing.append(all_wanted[precedence[displaced]])
    return True
