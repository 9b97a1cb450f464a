"""Room: the share of the workers that tasks keep from others.

Answers loads in which memory or processors bind before accelerators: a task with one accelerator
may then take as much of a worker as one with eight.
"""

import functools
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from jaypier.jobs.model import Resources
from jaypier.jobs.state import JobState, TaskKind, Worker

MIN_CONTENDED_SHARE = 0.6
"""Share of each resource of a pool that is in use when its room counts as contended: callers are
promised that no job waits while twice its room is free and less than half of the pool is used."""


def typical_capacities(workers: Iterable[Worker]) -> dict[str, Resources]:
    """Return the most frequent capacity of the workers of each service; the key "" is for all."""
    counts: dict[str, Counter[Resources]] = {"": Counter()}
    for worker in workers:
        entry = worker.entry
        counts.setdefault(entry.service, Counter())[entry.capacity] += 1
        counts[""][entry.capacity] += 1
    return {
        service: max(found, key=lambda each: (found[each], each.processor_millis, each.memory_mb))
        for service, found in counts.items()
        if found
    }


def shares(demand: Resources, capacity: Resources) -> list[float]:
    """Return the share of each resource of a worker that one task takes."""
    amounts = zip(attrs.astuple(demand), attrs.astuple(capacity), strict=True)
    return [wanted / owned if owned > 0 else float(wanted > 0) for wanted, owned in amounts]


def dominant_share(demand: Resources, capacity: Resources) -> float:
    """Return the largest share of a resource of a worker that one task takes."""
    return max(shares(demand, capacity))


@functools.lru_cache(maxsize=4096)
def room_share(demand: Resources, capacity: Resources) -> float:
    """Return the share of a worker that a task keeps from others.

    This is its share of the resource of which it takes most (its dominant share). A task that does
    not fit on a typical worker counts as a whole one.

    :param capacity: capacity of a typical worker.
    """
    return min(1.0, dominant_share(demand, capacity))


class ContendedPools:
    """Pools in which a job that can still be worth something waits for room, within one pass."""

    def __init__(self) -> None:
        self.services: set[str] = set()
        self.are_busy: dict[str, bool] = {}

    def add(self, service: str) -> None:
        """Record that a job of a service waits; the name is empty for any pool."""
        self.services.add(service)

    def contains(self, service: str, workers: Iterable[Worker]) -> bool:
        """Whether others wait for the room of a service, and most of it is in use."""
        if not self.services & {service, ""} and not (self.services and service == ""):
            return False
        if service not in self.are_busy:
            pool = [each for each in workers if service in ("", each.entry.service)]
            self.are_busy[service] = least_used_share(pool) >= MIN_CONTENDED_SHARE
        return self.are_busy[service]


def used_shares(workers: Iterable[Worker]) -> list[float]:
    """Return the share in use of each resource that the workers have."""
    capacity, free = Resources(), Resources()
    for worker in workers:
        capacity, free = capacity + worker.entry.capacity, free + worker.free
    used = zip(shares(free, capacity), attrs.astuple(capacity), strict=True)
    return [1 - left for left, owned in used if owned > 0]


def least_used_share(workers: Iterable[Worker]) -> float:
    """Return the share in use of the resource of which the workers use least."""
    return min(used_shares(workers), default=0.0)


def most_used_share(workers: Iterable[Worker]) -> float:
    """Return the share in use of the resource of which the workers use most."""
    return max(used_shares(workers), default=0.0)


def remaining_room_seconds(state: JobState, capacity: Resources) -> float:
    """Return the room that the open occurrences of a job still need, in worker-seconds.

    :param capacity: capacity of a typical worker.
    """
    return room_seconds(state.remaining_task_seconds(), capacity)


def total_room_seconds(state: JobState, capacity: Resources) -> float:
    """Return the room that the open occurrences of a job need in all, in worker-seconds.

    :param capacity: capacity of a typical worker.
    """
    return room_seconds(state.total_task_seconds(), capacity)


def room_seconds(task_seconds: Mapping[TaskKind, float], capacity: Resources) -> float:
    """Return the room that tasks need, in worker-seconds.

    :param task_seconds: how long tasks take together, by what one of them needs and reserves.
    :param capacity: capacity of a typical worker.
    """
    return sum(
        seconds * room_share(reserved, capacity) for (_, reserved), seconds in task_seconds.items()
    )
