"""Packing: chooses the workers on which tasks leave the most room for what usually comes.

Answers loads whose tasks bind different resources: where memory or processors run out before
accelerators, a worker with few free accelerators may be the last one with room for a large task.
The measure is the fragmentation gradient: the room of recently submitted tasks that fit on a worker
before a placement and no longer do after it.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Hashable, Iterable

import attrs

from jaypier.jobs.model import Resources, Step
from jaypier.scheduling.rooms import dominant_share, shares

RECENT_SECONDS = 60.0
"""Time after which a submitted task counts by a factor of e less."""

REFRESH_SECONDS = 1.0
"""Shortest time between two updates of the weights, in which measures of workers are reused."""

MAX_SHAPES = 12
"""Maximum number of demands that the measure takes into account."""

MIN_BINDING_SHARE = 0.05
"""Smallest share of the recently submitted room that has to bind another resource than the rest for
the measure to be used."""


SPEED_STEP = 0.1
"""Difference of two speeds below which workers count as equally fast."""


def binding_resource(demand: Resources, capacity: Resources) -> int:
    """Return which resource runs out first, accelerators if several do.

    The number is that of the attribute of :class:`Resources`.
    """
    by_resource = shares(demand, capacity)
    return max(range(len(by_resource)), key=lambda number: (by_resource[number], number))


def speed_level(speed: float) -> int:
    """Return the speed of a worker as a number of ``SPEED_STEP``."""
    return round(speed / SPEED_STEP)


def speed_bands(speeds: Iterable[float]) -> list[range]:
    """Return all ranges of adjacent speed levels of workers."""
    levels = sorted({speed_level(speed) for speed in speeds})
    return [
        range(levels[first], levels[last] + 1)
        for first in range(len(levels))
        for last in range(first, len(levels))
    ]


def excess_speed(speeds: Iterable[float]) -> float:
    """Return the work that a gang keeps from being done while it is as slow as its slowest worker.

    The unit is the work that one of its tasks does in that time.

    :param speeds: speed of the worker of each task.
    """
    levels = [speed_level(speed) for speed in speeds]
    slowest = max(1, min(levels))
    return sum(level / slowest for level in levels) - len(levels)


@attrs.frozen
class Option:
    """A worker on which tasks fit.

    :param worker: worker, or its id.
    :param free: resources of the worker that may be used.
    :param tasks: number of tasks that fit.
    :param preference: order that goes before the measure, smaller first.
    :param tie_break: order among equal options, smaller first.
    """

    worker: Hashable
    free: Resources
    tasks: int
    preference: float
    tie_break: tuple


class Packing:
    """Measures how much room for recently submitted tasks a placement takes.

    :ivar recent: number of recently submitted tasks by demand, as of ``updated_at``.
    :ivar updated_at: time on the local clock, in seconds, of the newest update of the weights.
    :ivar weights: room that a task takes times the number of such tasks, by demand, as shares of
        the sum; empty while the measure is not used.
    :ivar mean_capacity: mean capacity of the workers.
    :ivar values: value of free resources, as far as known for these weights.
    """

    def __init__(self) -> None:
        self.recent: dict[Resources, float] = defaultdict(float)
        self.updated_at = -math.inf
        self.weights: dict[Resources, float] = {}
        self.mean_capacity = Resources()
        self.values: dict[Resources, float] = {}

    @property
    def is_active(self) -> bool:
        """Whether recently submitted tasks differ in the resource that they bind."""
        return bool(self.weights)

    def observe(self, steps: Iterable[Step]) -> None:
        """Record the steps of a submitted job."""
        for step in steps:
            self.recent[step.reserved] += step.count

    def refresh(self, capacities: Iterable[Resources], now: float) -> None:
        """Update the weights, unless that was done a short time ago.

        :param capacities: capacities of the workers.
        :param now: time on the local clock, in seconds.
        """
        elapsed = now - self.updated_at
        if elapsed < REFRESH_SECONDS:
            return
        self.updated_at = now
        decay = math.exp(-elapsed / RECENT_SECONDS) if math.isfinite(elapsed) else 1.0
        self.recent = defaultdict(
            float,
            {demand: n * decay for demand, n in self.recent.items() if n * decay > 0.01},
        )
        known = list(capacities)
        total = sum(known, Resources())
        mean = Resources(*(amount // max(1, len(known)) for amount in attrs.astuple(total)))
        self.mean_capacity = mean
        rooms = {demand: n * dominant_share(demand, mean) for demand, n in self.recent.items()}
        all_room = sum(rooms.values())
        by_resource: dict[int, float] = defaultdict(float)
        for demand, room in rooms.items():
            by_resource[binding_resource(demand, mean)] += room
        differing = [room for room in by_resource.values() if room >= MIN_BINDING_SHARE * all_room]
        largest = heapq.nlargest(MAX_SHAPES, rooms, key=rooms.__getitem__)
        has_difference = len(differing) > 1
        self.weights = {each: rooms[each] / all_room for each in largest} if has_difference else {}
        self.values.clear()

    def value(self, free: Resources) -> float:
        """Return the weighted number of recently submitted tasks for which there is room."""
        found = self.values.get(free)
        if found is None:
            found = sum(
                weight * demand.copies_within(free) for demand, weight in self.weights.items()
            )
            self.values[free] = found
        return found

    def loss(self, demand: Resources, free: Resources) -> float:
        """Return the value that one more task takes from a worker."""
        return self.value(free) - self.value(free - demand)

    def assign(self, demand: Resources, options: Iterable[Option], count: int) -> list[Hashable]:
        """Return the worker for each of ``count`` tasks, or for as many as fit.

        Each task takes the worker that loses the least by it, given the tasks before.
        """
        heap = [
            (option.preference, self.loss(demand, option.free), option.tie_break, number, option)
            for number, option in enumerate(options)
        ]
        heapq.heapify(heap)
        chosen: list[Hashable] = []
        while heap and len(chosen) < count:
            preference, _, tie_break, number, option = heap[0]
            chosen.append(option.worker)
            if option.tasks == 1:
                heapq.heappop(heap)
                continue
            free = option.free - demand
            left = attrs.evolve(option, free=free, tasks=option.tasks - 1)
            entry = (preference, self.loss(demand, free), tie_break, number, left)
            heapq.heapreplace(heap, entry)
        return chosen

    def gang_cost(
        self, demand: Resources, used: Iterable[tuple[Resources, int]], speeds: Iterable[float]
    ) -> float:
        """Return the value that a gang takes from others, with what its fast workers lose.

        :param used: free resources before, and number of tasks, of each worker.
        :param speeds: speed of the worker of each task.
        """
        room = dominant_share(demand, self.mean_capacity) * self.value(self.mean_capacity)
        taken = sum(
            self.value(free) - self.value(free - scaled(demand, tasks)) for free, tasks in used
        )
        return taken + excess_speed(speeds) * room


def scaled(amount: Resources, factor: int) -> Resources:
    """Return a multiple of an amount of resources."""
    return Resources(*(factor * each for each in attrs.astuple(amount)))
