"""Loads in which memory or processors bind before accelerators, from two deployments' sheets.

Rates and widths are those of the sheets, scaled from 176 to 16 workers by the same factor each.
"""

import itertools
import math
from collections.abc import Iterable

import attrs

from jaypier.jobs.model import Resources
from jaypier.jobs.tests.load_player import JobKind, Load, PlayedJob, draw_jobs

WORKERS = 16

SCALE = math.sqrt(WORKERS / 176)
"""Factor on the rates of the sheets and on their widths."""

ACCELERATORS = (1, 2, 4, 8, 8)

PROCESSOR_BOUND = Load(
    kinds=(
        JobKind(
            "rates", 1, 0.672 * SCALE, 3.0, 0.1, 11.0, 0.3, 11.0, 13 * SCALE, 18, 26000, 53000,
            ACCELERATORS, 1.0, 3.0, 0.5, 1.0, 0.6, 0.45,
        ),
        JobKind(
            "screening", 0, 2.87 * SCALE, 4.0, 0.2, 2.5, 0.5, 8.0, 5.4 * SCALE, 9, 7500, 11000,
            ACCELERATORS, 0.3, 1.5, 0.2, 1.0, 0.8, 0.0, burst=2.0, burst_start=8.0, burst_end=14.0,
        ),
        JobKind(
            "audit", 2, 1.3 * 1.03 * SCALE, 1.0, 0.1, 6.1, 0.3, 11.0, 39 * SCALE, 57, 5600, 15000,
            (1,), 3.0, 3.0, 0.2, 0.0, 0.0, 0.45,
        ),
    ),
    workers=WORKERS,
    workers_per_rack=12,
    capacity=Resources(64000, 131072, 8),
    seconds=20.0,
)  # fmt: skip
"""Wide tasks take two fifths of a worker's processors and memory, whatever their accelerators."""

MEMORY_BOUND = Load(
    kinds=(
        JobKind(
            "archive", 1, 0.923 * SCALE, 3.0, 0.1, 5.8, 0.3, 61.0, 13 * SCALE, 18, 52000, 270000,
            ACCELERATORS, 1.0, 3.0, 0.9, 1.0, 0.6, 0.45,
        ),
        JobKind(
            "summary", 0, 3.93 * SCALE, 4.0, 0.2, 2.1, 0.5, 22.0, 5.4 * SCALE, 9, 15000, 79000,
            ACCELERATORS, 0.3, 1.5, 0.5, 1.0, 0.8, 0.0, burst=2.0, burst_start=8.0, burst_end=14.0,
        ),
        JobKind(
            "index", 2, 1.3 * 0.907 * SCALE, 1.0, 0.1, 5.2, 0.3, 55.0, 39 * SCALE, 57, 11000,
            46000, (1,), 3.0, 3.0, 0.9, 0.0, 0.0, 0.45,
        ),
    ),
    workers=WORKERS,
    workers_per_rack=8,
    capacity=Resources(128000, 524288, 8),
    seconds=20.0,
)  # fmt: skip
"""Wide tasks take more than half of a worker's memory, so that no two of them fit on one."""


def demanded_room(load: Load, seeds: Iterable[int] = range(20)) -> float:
    """Return the demand of a load as a share of its workers, if each task ran beside its like."""
    jobs = [each for seed in seeds for each in draw_jobs(load, seed)]
    needed = sum(
        sum(durations) / step.demand.copies_within(load.capacity)
        for each in jobs
        for step, durations in zip(each.job.steps, each.durations, strict=True)
    )
    return needed / (len(list(seeds)) * load.workers * load.seconds)


def scaled_to(load: Load, demand: float) -> Load:
    """Return a load with its rates changed, so that it demands a share of the room.

    :param demand: demand as a multiple of the room of the workers.
    """
    factor = demand / demanded_room(load)
    kinds = tuple(attrs.evolve(kind, per_second=factor * kind.per_second) for kind in load.kinds)
    return attrs.evolve(load, kinds=kinds)


def value_of(played: PlayedJob, means: dict[str, float]) -> float:
    """Return what a job is worth in time.

    :param means: mean core-seconds of the jobs of each kind.
    """
    relative_size = played.core_seconds() / means[played.kind.name]
    return played.kind.value * min(4.0, 0.3 + 0.7 * relative_size)


def worth_bound(load: Load, seed: int) -> float:
    """Return an upper bound of the worth that any order of the jobs can earn.

    Jobs are taken by value for each share of the capacity, as if they could be divided, until the
    capacity up to the last useful moment is used. Each weighting of the three resources gives a
    bound; the lowest counts.
    """
    jobs = draw_jobs(load, seed)
    by_kind = {
        kind.name: [each.core_seconds() for each in jobs if each.kind is kind]
        for kind in load.kinds
    }
    means = {name: sum(each) / len(each) for name, each in by_kind.items() if each}
    values = [value_of(each, means) for each in jobs]
    end = max(each.arrives_at + each.objective() for each in jobs)
    room = load.workers * end
    capacity = load.capacity
    bounds = []
    for first, second in itertools.product(range(5), repeat=2):
        if first + second > 4:
            continue
        weights = (first / 4, second / 4, 1 - (first + second) / 4)
        needs = [
            sum(
                sum(durations)
                * (
                    weights[0] * step.demand.processor_millis / capacity.processor_millis
                    + weights[1] * step.demand.memory_mb / capacity.memory_mb
                    + weights[2] * step.demand.accelerators / capacity.accelerators
                )
                for step, durations in zip(each.job.steps, each.durations, strict=True)
            )
            for each in jobs
        ]
        left, earned = room, 0.0
        for need, value in sorted(
            zip(needs, values, strict=True), key=lambda each: each[0] / each[1]
        ):
            earned += value * min(1.0, left / need if need else 1.0)
            left = max(0.0, left - need)
        bounds.append(earned)
    return min(bounds) / sum(values)
