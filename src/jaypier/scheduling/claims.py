"""Places gangs into the reservations of their teams, preempting lent capacity; no I/O."""

from collections import Counter
from collections.abc import Iterable

import attrs

from jaypier.notes.configuration import Configuration, Reservation
from jaypier.notes.model import Adjacency
from jaypier.scheduling.model import Gang, GangPhase, Worker
from jaypier.scheduling.reservations import Demand, is_home, pack, team_order

GANG_KEY = ""
"""Key of the gang being placed among the demands of a rack."""


@attrs.frozen
class ClaimPlacement:
    """Workers that a gang claims in a reservation."""

    reservation: Reservation
    placement: dict[str, int]


class ClaimLedger:
    """Reservations of one data centre and how far gangs have claimed them.

    :param configuration: configuration in force.
    :param gangs: gangs of the data centre.
    :param workers: workers that can be used, by name.
    """

    def __init__(
        self,
        configuration: Configuration,
        data_centre: str,
        gangs: Iterable[Gang],
        workers: dict[str, Worker],
    ) -> None:
        self.reservations = {
            reservation.key: reservation
            for reservation in configuration.reservations
            if reservation.data_centre == data_centre
        }
        self.teams = configuration.teams
        self.workers = workers
        self.by_rack: dict[str, list[Worker]] = {}
        for worker in workers.values():
            self.by_rack.setdefault(worker.rack, []).append(worker)
        self.claimed: dict[str, Counter[str]] = {key: Counter() for key in self.reservations}
        self.fixed: Counter[str] = Counter()
        self.lent: Counter[str] = Counter()
        for gang in gangs:
            self.add(gang)

    def add(self, gang: Gang) -> None:
        """Count an active gang."""
        size = gang.job.accelerators_per_task
        is_fixed = gang.claim is not None and gang.phase is not GangPhase.STOPPING
        for worker, tasks in gang.placement.items():
            (self.fixed if is_fixed else self.lent)[worker] += tasks * size
            if is_fixed and gang.claim in self.claimed and worker in self.workers:
                self.claimed[gang.claim][self.workers[worker].rack] += tasks

    def candidates(self, gang: Gang) -> list[Reservation]:
        """Return the reservations that a gang may claim and that have room for it."""
        return [
            reservation
            for reservation in self.reservations.values()
            if is_home(reservation, gang.job) and self.unclaimed(reservation) >= gang.job.tasks
        ]

    def unclaimed(self, reservation: Reservation) -> int:
        """Return the tasks of a reservation that no gang has claimed."""
        return reservation.shape.tasks - self.claimed[reservation.key].total()

    def place(self, gang: Gang) -> ClaimPlacement | None:
        """Choose workers for a gang in one of its team's reservations.

        :returns: the placement, ``None`` when no reservation has room for it.
        """
        for reservation in self.candidates(gang):
            placement = self._place_in(gang, reservation)
            if placement is not None:
                return ClaimPlacement(reservation, placement)
        return None

    def _place_in(self, gang: Gang, reservation: Reservation) -> dict[str, int] | None:
        open_tasks = {
            rack: tasks - self.claimed[reservation.key][rack]
            for rack, tasks in reservation.racks.items()
        }
        if gang.job.adjacency is Adjacency.RACK or max(open_tasks.values()) >= gang.job.tasks:
            racks = [rack for rack, tasks in open_tasks.items() if tasks >= gang.job.tasks]
            placements = (
                self._place_in_rack(gang, rack, gang.job.tasks, reservation) for rack in racks
            )
            return next((placement for placement in placements if placement is not None), None)
        return self._place_over_racks(gang, reservation, open_tasks)

    def _place_over_racks(
        self, gang: Gang, reservation: Reservation, open_tasks: dict[str, int]
    ) -> dict[str, int] | None:
        placement: dict[str, int] = {}
        left = gang.job.tasks
        for rack, tasks in sorted(open_tasks.items(), key=lambda item: -item[1]):
            count = min(left, tasks)
            part = self._place_in_rack(gang, rack, count, reservation) if count else None
            if part is not None:
                placement |= part
                left -= count
        return placement if left == 0 else None

    def _place_in_rack(
        self, gang: Gang, rack: str, tasks: int, reservation: Reservation
    ) -> dict[str, int] | None:
        """Choose workers so that the rack's other reservations still fit.

        When the rack has lost workers, the reservations of the largest teams give way first.
        """
        free = {
            worker.name: worker.accelerators - self.fixed[worker.name]
            for worker in self.by_rack.get(rack, [])
        }
        others = self._open_demands(rack, reservation.key, tasks)
        wanted = Demand(GANG_KEY, gang.job.accelerators_per_task, tasks)
        smaller = [
            demand
            for demand in others
            if team_order(self.teams[self.reservations[demand.key].team])
            <= team_order(self.teams[gang.job.team])
        ]
        for kept in range(len(others), len(smaller) - 1, -1):
            packed = pack(free, [wanted, *others[:kept]])
            if packed is not None:
                return packed[GANG_KEY]
        return None

    def _open_demands(self, rack: str, claimed_key: str, claimed_tasks: int) -> list[Demand]:
        """Return what the rack must still be able to take, the smallest team first."""
        demands = []
        for reservation in self.reservations.values():
            tasks = reservation.racks.get(rack, 0) - self.claimed[reservation.key][rack]
            if reservation.key == claimed_key:
                tasks -= claimed_tasks
            if tasks > 0:
                size = reservation.shape.accelerators_per_task
                demands.append(Demand(reservation.key, size, tasks))
        return sorted(
            demands, key=lambda each: team_order(self.teams[self.reservations[each.key].team])
        )
