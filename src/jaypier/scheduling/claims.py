"""Places gangs into the homes of their teams' guarantees; no I/O."""

from collections import Counter
from collections.abc import Iterable

import attrs

from jaypier.notes.configuration import Configuration, Reservation
from jaypier.notes.model import Adjacency
from jaypier.scheduling.capacity import Capacity
from jaypier.scheduling.model import Gang, GangPhase, Worker
from jaypier.scheduling.placement import place_gang
from jaypier.scheduling.reservations import is_home


@attrs.frozen
class ClaimPlacement:
    """Workers that a gang claims in a reservation.

    :param is_off_home: whether some of them are not of its home, so that it may be preempted
        when their own homes are claimed.
    """

    reservation: Reservation
    placement: dict[str, int]
    is_off_home: bool


class ClaimLedger:
    """Homes of one data centre and how far gangs have claimed them.

    :param configuration: configuration in force.
    :param gangs: gangs that claim homes.
    :param workers: workers of the data centre, by name.
    :param capacity: free accelerators of the workers that can be used.
    """

    def __init__(
        self,
        configuration: Configuration,
        data_centre: str,
        gangs: Iterable[Gang],
        workers: dict[str, Worker],
        capacity: Capacity,
    ) -> None:
        self.homes: dict[str, list[Reservation]] = {}
        self.reserved: Counter[str] = Counter()
        for home in configuration.reservations:
            if home.data_centre == data_centre:
                self.homes.setdefault(home.team, []).append(home)
                for worker, tasks in home.workers.items():
                    self.reserved[worker] += tasks * home.shape.accelerators_per_task
        self.workers = workers
        self.capacity = capacity
        self.claimed: Counter[tuple[str, str]] = Counter()
        self.claimed_tasks: Counter[str] = Counter()
        for gang in gangs:
            self.add(gang)

    def add(self, gang: Gang) -> None:
        """Count a gang that claims a home."""
        if gang.claim is None or gang.phase is GangPhase.STOPPING:
            return
        self.claimed_tasks[gang.claim] += gang.job.tasks
        for worker, tasks in gang.placement.items():
            self.claimed[gang.claim, worker] += tasks
            if gang.is_off_home:
                self.reserved[worker] += tasks * gang.job.accelerators_per_task

    def candidates(self, gang: Gang) -> list[Reservation]:
        """Return the homes that a gang may claim and that have tasks left for it."""
        return [
            home
            for home in self.homes.get(gang.job.team, [])
            if is_home(home, gang.job)
            and home.shape.tasks - self.claimed_tasks[home.key] >= gang.job.tasks
        ]

    def place(self, gang: Gang) -> ClaimPlacement | None:
        """Choose workers for a gang in one of its team's homes.

        Workers on which the gang has failed are avoided if possible. A gang that can be
        preempted may use unreserved workers in place of those of the home that are lost.

        :returns: the placement, ``None`` when no home has room for it.
        """
        candidates = self.candidates(gang)
        if not candidates:
            return None
        failed_on = gang.failed_on
        at_home = self._place_in_any(gang, candidates, failed_on)
        if at_home is not None:
            return at_home
        off_home = self._place_off_home(gang, failed_on) if gang.job.preemptible else None
        if off_home is not None:
            return ClaimPlacement(candidates[0], off_home, is_off_home=True)
        return self._place_in_any(gang, candidates, set()) if failed_on else None

    def _place_in_any(
        self, gang: Gang, homes: list[Reservation], avoided: set[str]
    ) -> ClaimPlacement | None:
        for home in homes:
            placement = self._place_at_home(gang, home, avoided)
            if placement is not None:
                return ClaimPlacement(home, placement, is_off_home=False)
        return None

    def _place_at_home(
        self, gang: Gang, home: Reservation, avoided: set[str]
    ) -> dict[str, int] | None:
        """Choose among the workers of a home those with most room free already."""
        open_tasks = {
            worker: tasks - self.claimed[home.key, worker]
            for worker, tasks in home.workers.items()
            if worker in self.capacity.rack_of and worker not in avoided
        }
        placement: dict[str, int] = {}
        left = gang.job.tasks
        for worker in sorted(open_tasks, key=lambda name: (-self.capacity.free_of(name), name)):
            count = min(left, open_tasks[worker])
            if count > 0:
                placement[worker] = count
                left -= count
        if left or (gang.job.adjacency is Adjacency.RACK and self._racks(placement) > 1):
            return None
        return placement

    def _racks(self, placement: dict[str, int]) -> int:
        return len({self.workers[worker].rack for worker in placement})

    def _place_off_home(self, gang: Gang, avoided: set[str]) -> dict[str, int] | None:
        """Choose workers from capacity that is in nobody's home."""
        unreserved = Capacity(
            (name, rack, max(0, self.workers[name].accelerators - self.reserved[name]))
            for name, rack in self.capacity.rack_of.items()
            if name not in avoided
        )
        job = gang.job
        return place_gang(unreserved, job.tasks, job.accelerators_per_task, job.adjacency)
