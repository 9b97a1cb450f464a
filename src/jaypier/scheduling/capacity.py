"""Free accelerators of one data centre, by worker and rack, with cached sums."""

from collections.abc import Iterable, Set

import attrs


@attrs.define
class RackCapacity:
    """Free accelerators of the workers of one rack.

    :param free: free accelerators of each worker.
    :param fitting: cache from accelerators per task to the number of tasks that fit.
    """

    name: str
    free: dict[str, int] = attrs.field(factory=dict)
    fitting: dict[int, int] = attrs.field(factory=dict)
    free_total: int = 0

    def set_free(self, worker: str, accelerators: int) -> None:
        """Record the free accelerators of a worker."""
        self.free_total += accelerators - self.free.get(worker, 0)
        self.free[worker] = accelerators
        self.fitting.clear()

    def tasks_that_fit(self, accelerators_per_task: int) -> int:
        """Return how many tasks of this size fit at once."""
        count = self.fitting.get(accelerators_per_task)
        if count is None:
            count = sum(free // accelerators_per_task for free in self.free.values())
            self.fitting[accelerators_per_task] = count
        return count

    def take(self, accelerators_per_task: int, tasks: int) -> dict[str, int]:
        """Choose workers for ``tasks`` tasks, the fullest that fit first; changes nothing.

        :returns: number of tasks on each chosen worker; fewer than asked when they do not fit.
        """
        chosen: dict[str, int] = {}
        fitting = [
            (free, worker) for worker, free in self.free.items() if free >= accelerators_per_task
        ]
        for free, worker in sorted(fitting):
            if tasks == 0:
                break
            count = min(tasks, free // accelerators_per_task)
            chosen[worker] = count
            tasks -= count
        return chosen


class Capacity:
    """Free accelerators of a set of workers.

    :param workers: triples of worker, rack and free accelerators.
    """

    def __init__(self, workers: Iterable[tuple[str, str, int]] = ()) -> None:
        self.racks: dict[str, RackCapacity] = {}
        self.rack_of: dict[str, str] = {}
        for worker, rack, free in workers:
            self.set_free(worker, rack, free)

    def set_free(self, worker: str, rack: str, accelerators: int) -> None:
        """Record the free accelerators of a worker."""
        if rack not in self.racks:
            self.racks[rack] = RackCapacity(rack)
        self.rack_of[worker] = rack
        self.racks[rack].set_free(worker, accelerators)

    def remove(self, worker: str) -> None:
        """Forget a worker."""
        rack = self.racks[self.rack_of.pop(worker)]
        rack.set_free(worker, 0)
        del rack.free[worker]
        if not rack.free:
            del self.racks[rack.name]

    def free_of(self, worker: str) -> int:
        """Return the free accelerators of a worker, 0 for an unknown one."""
        rack = self.rack_of.get(worker)
        return 0 if rack is None else self.racks[rack].free[worker]

    def change(self, placement: dict[str, int], accelerators_per_task: int, sign: int) -> None:
        """Take (``sign`` -1) or give back (+1) the accelerators of a placement."""
        for worker, tasks in placement.items():
            rack = self.rack_of.get(worker)
            if rack is not None:
                free = self.racks[rack].free[worker] + sign * tasks * accelerators_per_task
                self.racks[rack].set_free(worker, free)

    def copy(self) -> "Capacity":
        """Return a copy."""
        return self.without(set())

    def without(self, excluded: Set[str]) -> "Capacity":
        """Return a copy without some workers."""
        return Capacity(
            (worker, rack.name, free)
            for rack in self.racks.values()
            for worker, free in rack.free.items()
            if worker not in excluded
        )

    def only_racks(self, names: set[str]) -> "Capacity":
        """Return a copy with some racks only."""
        return Capacity(
            (worker, name, free) for name in names for worker, free in self.racks[name].free.items()
        )

    @property
    def free_total(self) -> int:
        """Free accelerators of all workers."""
        return sum(rack.free_total for rack in self.racks.values())

    @property
    def largest_adjacent_block(self) -> int:
        """Free accelerators of the rack that has most."""
        return max((rack.free_total for rack in self.racks.values()), default=0)
