"""Whether all guaranteed shapes of all teams fit on the workers together."""

from collections.abc import Iterable
from operator import attrgetter

from jaypier.jobs.model import Resources, Step, WorkerEntry
from jaypier.jobs.placement import group_by_rack, place_gang
from jaypier.jobs.state import Worker
from jaypier.notes.model import Adjacency, GuaranteedShape, Team


def find_shortfall(teams: Iterable[Team], entries: Iterable[WorkerEntry]) -> list[str]:
    """Place every shape on empty workers, the hardest first; return a line for each that fails.

    A shape that asks for one rack is hardest, then the one with the most accelerators.

    :param entries: workers in service.
    """
    workers = [Worker(entry) for entry in entries]
    shapes = [(team, shape) for team in teams for shape in team.guarantee]
    shapes.sort(key=lambda each: (each[1].adjacency is not Adjacency.RACK, -each[1].accelerators))
    return [
        f"team {team.name!r}: shape {shape.name!r} of {shape.tasks} tasks with "
        f"{shape.accelerators_per_task} accelerators does not fit beside the other guarantees; "
        "make it smaller or take the data centres it needs into service"
        for team, shape in shapes
        if not reserve_shape(shape, workers)
    ]


def reserve_shape(shape: GuaranteedShape, workers: list[Worker]) -> bool:
    """Take room for a shape; return whether there was enough."""
    step = Step(shape.tasks, Resources(accelerators=shape.accelerators_per_task), 0.0, is_gang=True)
    groups = group_workers(shape.adjacency, workers)
    placements = [place_gang(step, group, attrgetter("free"), group) for group in groups]
    chosen = next((placement for placement in placements if placement), [])
    for worker in chosen:
        worker.free = worker.free - step.demand
    return bool(chosen)


def group_workers(adjacency: Adjacency, workers: list[Worker]) -> list[list[Worker]]:
    """Return the groups of workers in which a shape may be, those with the least room first."""
    if adjacency is Adjacency.RACK:
        groups = list(group_by_rack(workers).values())
    else:
        data_centres = sorted({worker.entry.data_centre for worker in workers})
        groups = [
            [worker for worker in workers if worker.entry.data_centre == name]
            for name in data_centres
        ]
    return sorted(groups, key=lambda group: sum(worker.free.accelerators for worker in group))
