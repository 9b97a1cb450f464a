"""Stranding: room that is free on workers but fits nothing that waits."""

from collections.abc import Iterable

import attrs

from jaypier.jobs.model import Resources
from jaypier.scheduling.rooms import shares


@attrs.frozen
class Stranding:
    """Free room on workers on which no waiting task fits.

    The room of a worker is the largest share of a resource that is free.

    :param share: stranded room as a share of all workers.
    :param free_share: free room as a share of all workers.
    :param waiting: number of waiting tasks.
    """

    share: float = 0.0
    free_share: float = 0.0
    waiting: int = 0


def measure_stranding(
    waiting: Iterable[tuple[Resources, int]], workers: Iterable[tuple[Resources, Resources]]
) -> Stranding:
    """Return how much room is stranded; none is while nothing waits.

    :param waiting: demands of the waiting tasks and how many tasks have them.
    :param workers: free resources and capacity of each worker.
    """
    counts = list(waiting)
    demands = {demand for demand, _ in counts}
    known = list(workers)
    rooms = [(free, max(0.0, *shares(free, capacity))) for free, capacity in known]
    stranded = (
        room for free, room in rooms if not any(each.copies_within(free) for each in demands)
    )
    total = max(1, len(known))
    return Stranding(
        share=sum(stranded) / total if demands else 0.0,
        free_share=sum(room for _, room in rooms) / total,
        waiting=sum(tasks for _, tasks in counts),
    )
