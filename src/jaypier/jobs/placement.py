"""Placement: chooses workers for tasks by their free resources, without changing any state."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from operator import itemgetter

import attrs

from jaypier.jobs.model import Resources, Step
from jaypier.jobs.state import StepState, Worker

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


def would_interfere(step: Step, worker: Worker) -> bool:
    """Whether a filling and a serving task would share a worker, which is not allowed."""
    if step.is_filling:
        return any(run.step.spec.is_serving for run in worker.runs.values())
    if step.is_serving:
        return any(run.step.spec.is_filling for run in worker.runs.values())
    return False


def max_additional_fillers(step: Step, worker: Worker, free: Resources) -> int:
    """Return how many more filling tasks a worker can take.

    Its free processors limit their total number, which is at least one.

    :param free: resources of the worker that may be used.
    """
    running = sum(run.step.spec.is_filling for run in worker.runs.values())
    wanted = free.processor_millis // max(1, step.demand.processor_millis)
    return max(0, max(1, wanted) - running)


def max_tasks_on(step: Step, worker: Worker, free: Resources, placed: int = 0) -> int:
    """Return how many more tasks of a step fit on a worker.

    :param free: resources of the worker that may be used.
    :param placed: number of tasks of the step that run on the worker already.
    """
    if not has_required_label(step, worker) or would_interfere(step, worker):
        return 0
    copies = step.reserved.copies_within(free)
    if step.is_filling:
        copies = min(copies, max_additional_fillers(step, worker, free))
    if step.max_per_worker:
        copies = min(copies, step.max_per_worker - placed)
    return max(0, copies)


def slots_by_fit(
    step: Step,
    workers: Iterable[Worker],
    free_of: FreeResourcesOf,
    placed: Counter[str] | None = None,
) -> list[WorkerSlots]:
    """Return the workers on which tasks of a step fit, the best fit first.

    Workers in the rack of the step's data come first, then those with the fewest free accelerators,
    so that whole workers stay free for wide gangs. Ties are broken by free processors.

    :param free_of: returns the resources of a worker that may be used.
    :param placed: number of tasks of the step that run already, by worker id.
    """
    placed = placed or Counter()
    demand, data_rack = step.demand, step.data_rack
    found = []
    for worker in workers:
        free = free_of(worker)
        if free.accelerators < demand.accelerators:
            continue
        tasks = max_tasks_on(step, worker, free, placed[worker.id])
        if tasks > 0:
            is_remote = bool(data_rack) and worker.entry.rack != data_rack
            order = (is_remote, free.accelerators, free.processor_millis, worker.id)
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


def group_by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Return workers by rack."""
    racks: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        racks[worker.entry.rack].append(worker)
    return racks


def place_gang(
    step: Step, workers: Sequence[Worker], free_of: FreeResourcesOf, all_workers: Sequence[Worker]
) -> list[Worker]:
    """Return a worker for each task of a gang, or an empty list if it does not fit now.

    A rack-local gang is placed on the rack with the fewest slots that suffice (best fit). It is
    spread over several racks only if no rack could hold it even when idle.

    :param workers: workers that may be used now.
    :param free_of: returns the resources of a worker that may be used.
    :param all_workers: all workers that the gang could ever use, for the check whether one rack
        could hold it.
    """
    found = slots_by_fit(step, workers, free_of)
    if not step.is_rack_local:
        return assign_to_fewest_workers(found, step.count)
    racks: dict[str, list[WorkerSlots]] = defaultdict(list)
    for slots in found:
        racks[slots.worker.entry.rack].append(slots)
    totals = {rack: sum(slots.tasks for slots in each) for rack, each in racks.items()}
    fitting = [(total, rack) for rack, total in totals.items() if total >= step.count]
    if fitting:
        return assign_to_fewest_workers(racks[min(fitting)[1]], step.count)
    if can_fit_one_rack(step, all_workers) or sum(totals.values()) < step.count:
        return []
    widest_first = sorted(racks, key=lambda rack: -totals[rack])
    return assign_in_order([slots for rack in widest_first for slots in racks[rack]], step.count)


def can_fit_one_rack(step: Step, workers: Iterable[Worker]) -> bool:
    """Whether any rack could hold the whole step if it were idle."""
    return any(
        sum(max_tasks_on(step, worker, worker.entry.capacity) for worker in rack) >= step.count
        for rack in group_by_rack(workers).values()
    )
