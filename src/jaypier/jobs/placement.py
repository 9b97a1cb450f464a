"""Placement: chooses workers for tasks by their free resources, without changing any state."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from operator import itemgetter

import attrs

from jaypier.jobs.model import Resources, Step
from jaypier.jobs.state import StepState, Worker
from jaypier.scheduling.packing import (
    Option,
    Packing,
    excess_speed,
    speed_bands,
    speed_level,
)

FreeResourcesOf = Callable[[Worker], Resources]
"""Returns the resources of a worker that a step may use."""


@attrs.frozen
class WorkerSlots:
    """A worker and the number of tasks of a step that fit on it.

    :param worker: worker.
    :param tasks: number of tasks, at least 1.
    """

    worker: Worker
    tasks: int


def is_in_pool(worker: Worker, step: StepState) -> bool:
    """Whether a worker belongs to the pool that runs the jobs of a step's queue."""
    return step.job.spec.service in ("", worker.entry.service)


def has_required_label(step: Step, worker: Worker) -> bool:
    """Whether a worker has the label that a step requires, if it requires one."""
    return not step.label or step.label in worker.entry.labels


def would_interfere(step: Step, worker: Worker, added: int = 0) -> bool:
    """Whether a filling and a serving task would share a worker, which is not allowed.

    :param added: number of tasks of the step that are to start there beside its runs.
    """
    if added and step.is_filling and step.is_serving:
        return True
    if step.is_filling:
        return any(run.step.spec.is_serving for run in worker.runs.values())
    if step.is_serving:
        return any(run.step.spec.is_filling for run in worker.runs.values())
    return False


def max_additional_fillers(step: Step, worker: Worker, free: Resources, added: int = 0) -> int:
    """Return how many more filling tasks a worker can take.

    Its free processors limit their total number, which is at least one.

    :param free: resources of the worker that may be used.
    :param added: number of filling tasks that are to start there beside its runs.
    """
    running = added + sum(run.step.spec.is_filling for run in worker.runs.values())
    wanted = free.processor_millis // max(1, step.demand.processor_millis)
    return max(0, max(1, wanted) - running)


def max_tasks_on(
    step: Step, worker: Worker, free: Resources, placed: int = 0, added: int = 0
) -> int:
    """Return how many more tasks of a step fit on a worker.

    :param free: resources of the worker that may be used.
    :param placed: number of tasks of the step that run on the worker already.
    :param added: number of tasks of the step that are to start there; ``free`` is without theirs.
    """
    if not has_required_label(step, worker) or would_interfere(step, worker, added):
        return 0
    copies = step.reserved.copies_within(free)
    if step.is_filling:
        copies = min(copies, max_additional_fillers(step, worker, free, added))
    if step.max_per_worker:
        copies = min(copies, step.max_per_worker - placed - added)
    return max(0, copies)


def slots_by_fit(
    step: Step,
    workers: Iterable[Worker],
    free_of: FreeResourcesOf,
    placed: Counter[str] | None = None,
    is_pressing: bool = False,
    added: Counter[str] | None = None,
) -> list[WorkerSlots]:
    """Return the workers on which tasks of a step fit, the best fit first.

    Workers in the rack of the step's data come first, then those with the fewest free accelerators,
    so that whole workers stay free for wide gangs. Ties are broken by speed, then by free
    processors.

    :param free_of: returns the resources of a worker that may be used.
    :param placed: number of tasks of the step that run already, by worker id.
    :param is_pressing: whether the step needs fast workers; other work leaves them free.
    :param added: number of tasks of the step that are to start, by worker id; ``free_of`` is
        without theirs.
    """
    placed = placed or Counter()
    added = added or Counter()
    demand, data_rack = step.demand, step.data_rack
    found = []
    for worker in workers:
        free = free_of(worker)
        if free.accelerators < demand.accelerators:
            continue
        tasks = max_tasks_on(step, worker, free, placed[worker.id], added[worker.id])
        if tasks > 0:
            is_remote = bool(data_rack) and worker.entry.rack != data_rack
            level = speed_level(worker.speed) * (-1 if is_pressing else 1)
            order = (is_remote, free.accelerators, level, free.processor_millis, worker.id)
            found.append((order, WorkerSlots(worker, tasks)))
    found.sort(key=itemgetter(0))
    return [slots for _, slots in found]


def assign_in_order(ranked: Sequence[WorkerSlots], count: int) -> list[Worker]:
    """Return a worker for each of ``count`` tasks, or for as many as fit, in the given order."""
    chosen: list[Worker] = []
    for slots in ranked:
        chosen += [slots.worker] * min(slots.tasks, count - len(chosen))
        if len(chosen) == count:
            break
    return chosen


def assign_to_fewest_workers(ranked: Sequence[WorkerSlots], count: int) -> list[Worker]:
    """Return a worker for each of ``count`` tasks, using as few workers as possible.

    The list is empty if they do not all fit.
    """
    if sum(slots.tasks for slots in ranked) < count:
        return []
    sufficient = [slots for slots in ranked if slots.tasks >= count]
    if sufficient:
        return [sufficient[0].worker] * count
    return assign_in_order(sorted(ranked, key=lambda slots: -slots.tasks), count)


def assign_tasks(
    step: Step,
    ranked: Sequence[WorkerSlots],
    free_of: FreeResourcesOf,
    count: int,
    packing: Packing | None = None,
) -> list[Worker]:
    """Return a worker for each of ``count`` independent tasks, or for as many as fit.

    :param ranked: workers on which tasks fit, the best fit first.
    :param free_of: returns the resources of a worker that may be used.
    :param packing: what usually comes, ``None`` to use the workers in the given order.
    """
    if packing is None or not packing.is_active:
        return assign_in_order(ranked, count)
    return packing.assign(step.reserved, packing_options(step, ranked, free_of), count)


def packing_options(
    step: Step, ranked: Iterable[WorkerSlots], free_of: FreeResourcesOf
) -> list[Option]:
    """Return the workers on which tasks fit as options for packing.

    :param ranked: these workers, the best fit first.
    """
    return [
        Option(
            worker=slots.worker,
            free=free_of(slots.worker),
            tasks=slots.tasks,
            preference=bool(step.data_rack) and slots.worker.entry.rack != step.data_rack,
            tie_break=(number,),
        )
        for number, slots in enumerate(ranked)
    ]


def assign_gang(
    step: Step,
    ranked: Sequence[WorkerSlots],
    free_of: FreeResourcesOf,
    packing: Packing | None = None,
) -> list[Worker]:
    """Return a worker for each task of a gang, or an empty list if they do not all fit.

    :param ranked: workers on which tasks fit, the best fit first.
    :param packing: what usually comes, ``None`` to use as few workers as possible.
    """
    if packing is None or not packing.is_active:
        return assign_to_fewest_workers(ranked, step.count)
    if count_tasks(ranked) < step.count:
        return []
    return assign_tasks(step, ranked, free_of, step.count, packing)


def group_by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Return workers by rack."""
    racks: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        racks[worker.entry.rack].append(worker)
    return racks


def place_gang(
    step: Step,
    workers: Sequence[Worker],
    free_of: FreeResourcesOf,
    all_workers: Sequence[Worker],
    packing: Packing | None = None,
    is_pressing: bool = False,
    may_spread: bool = False,
) -> list[Worker]:
    """Return a worker for each task of a gang, or an empty list if it does not fit now.

    Workers of like speed are preferred, because the slowest sets the pace of a gang. A rack-local
    gang is placed on the rack that loses the least room for what usually comes, of equal ones on
    that with the fewest slots that suffice (best fit). It is spread over several racks only if it
    fits on none now, and if either no rack could hold it even when idle or ``may_spread`` is set.

    :param workers: workers that may be used now.
    :param free_of: returns the resources of a worker that may be used.
    :param all_workers: all workers that the gang could ever use, for the check whether one rack
        could hold it.
    :param packing: what usually comes, ``None`` to go by the number of slots only.
    :param is_pressing: whether the gang needs fast workers; other work leaves them free.
    :param may_spread: whether a rack-local gang does not wait until one rack can hold it.
    """
    found = slots_by_fit(step, workers, free_of, is_pressing=is_pressing)
    bands = speed_bands(slots.worker.speed for slots in found)
    groups = slots_by_rack(found) if step.is_rack_local else [found]
    placements = [
        (chosen, band.start)
        for group in groups
        for band in bands
        if (chosen := assign_gang(step, slots_in_band(group, band), free_of, packing))
    ]
    if placements:

        def order(placement: tuple[list[Worker], int]) -> tuple[float, float]:
            chosen, pace = placement
            cost = cost_of(step, chosen, free_of, packing)
            return (-pace, cost) if is_pressing else (cost, pace)

        return min(placements, key=order)[0]
    if not step.is_rack_local or not (may_spread or not can_fit_one_rack(step, all_workers)):
        return []
    # Tasks in several racks are slow already, so the gang takes the fastest workers that suffice.
    fastest_first = sorted(bands, key=lambda band: (-band.start, len(band)))
    spread = (spread_over_racks(step, slots_in_band(found, band)) for band in fastest_first)
    return next((chosen for chosen in spread if chosen), [])


def slots_by_rack(slots: Iterable[WorkerSlots]) -> list[list[WorkerSlots]]:
    """Return slots grouped by rack, the rack with the fewest tasks first."""
    racks: dict[str, list[WorkerSlots]] = defaultdict(list)
    for each in slots:
        racks[each.worker.entry.rack].append(each)
    return [
        racks[rack] for rack in sorted(racks, key=lambda rack: (count_tasks(racks[rack]), rack))
    ]


def count_tasks(slots: Iterable[WorkerSlots]) -> int:
    """Return the number of tasks that fit on workers."""
    return sum(each.tasks for each in slots)


def slots_in_band(slots: Iterable[WorkerSlots], band: range) -> list[WorkerSlots]:
    """Return the slots on workers of a band of speeds."""
    return [each for each in slots if speed_level(each.worker.speed) in band]


def spread_over_racks(step: Step, found: Sequence[WorkerSlots]) -> list[Worker]:
    """Return a worker for each task of a gang in as few racks as possible, empty if it cannot."""
    if count_tasks(found) < step.count:
        return []
    widest_first = sorted(slots_by_rack(found), key=count_tasks, reverse=True)
    return assign_in_order([slots for rack in widest_first for slots in rack], step.count)


def cost_of(
    step: Step, chosen: Sequence[Worker], free_of: FreeResourcesOf, packing: Packing | None
) -> float:
    """Return what the placement of a gang takes from others.

    :param chosen: worker of each task.
    """
    speeds = [worker.speed for worker in chosen]
    if packing is None or not packing.is_active:
        return excess_speed(speeds)
    used = ((free_of(worker), tasks) for worker, tasks in Counter(chosen).items())
    return packing.gang_cost(step.reserved, used, speeds)


def can_fit_one_rack(step: Step, workers: Iterable[Worker]) -> bool:
    """Whether any rack could hold the whole step if it were idle."""
    return any(
        sum(max_tasks_on(step, worker, worker.entry.capacity) for worker in rack) >= step.count
        for rack in group_by_rack(workers).values()
    )
