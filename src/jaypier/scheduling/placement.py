"""Chooses workers for a gang so that large adjacent blocks stay free."""

from jaypier.notes.model import Adjacency
from jaypier.scheduling.capacity import Capacity, RackCapacity


def place_gang(
    capacity: Capacity,
    tasks: int,
    accelerators_per_task: int,
    adjacency: Adjacency,
) -> dict[str, int] | None:
    """Choose workers for a whole gang.

    One rack is used when one suffices, the one with the least room left over; a larger gang
    takes the emptiest racks first and its rest from the rack that it fits best.

    :returns: number of tasks on each worker, ``None`` when the gang does not fit.
    """
    rack = _best_rack(capacity, tasks, accelerators_per_task)
    if rack is not None:
        return rack.take(accelerators_per_task, tasks)
    if adjacency is Adjacency.RACK:
        return None
    return _place_over_racks(capacity, tasks, accelerators_per_task)


def _best_rack(capacity: Capacity, tasks: int, accelerators_per_task: int) -> RackCapacity | None:
    """Return the rack with the least free accelerators that takes all tasks."""
    fitting = (
        rack
        for rack in capacity.racks.values()
        if rack.free_total >= tasks * accelerators_per_task
        and rack.tasks_that_fit(accelerators_per_task) >= tasks
    )
    return min(fitting, key=lambda rack: (rack.free_total, rack.name), default=None)


def _place_over_racks(
    capacity: Capacity, tasks: int, accelerators_per_task: int
) -> dict[str, int] | None:
    """Spread a gang over as few racks as possible."""
    counts = {
        rack.name: rack.tasks_that_fit(accelerators_per_task) for rack in capacity.racks.values()
    }
    if sum(counts.values()) < tasks:
        return None
    placement: dict[str, int] = {}
    for name in sorted(counts, key=lambda name: (-counts[name], name)):
        if counts[name] >= tasks:
            break
        placement |= capacity.racks[name].take(accelerators_per_task, counts[name])
        tasks -= counts.pop(name)
    last = min((name for name in counts if counts[name] >= tasks), key=lambda name: counts[name])
    return placement | capacity.racks[last].take(accelerators_per_task, tasks)
