"""Plays loads whose tasks bind memory or processors first, on workers of uneven speed."""

import functools
from unittest import mock

import attrs
import pytest

from jaypier.jobs.model import Resources
from jaypier.jobs.planning import Planner
from jaypier.jobs.tests.load_player import JobKind, Load, LoadPlayer, PlayedJob, mean_of
from jaypier.jobs.tests.test_heavy_load import BURST, NOISE, OVERLOAD, SEEDS
from jaypier.scheduling.packing import Packing
from jaypier.scheduling.rooms import dominant_share

WIDE_TASKS = 8
"""Number of tasks from which a gang is wide: as many as a rack has workers."""

ACCELERATORS = (1, 2, 4, 8, 8)

LARGE_MEMORY = Load(
    kinds=(
        JobKind(
            "urgent", 0, 3.93, 4.0, 0.8, 2.1, 0.5, 22.0, 5.4, 32, 15000, 79000, ACCELERATORS,
            0.3, 1.5, 0.5, 1.0, 0.8, 0.0,
        ),
        JobKind(
            "gangs", 1, 0.923, 3.0, 0.3, 5.8, 0.3, 61.0, 8.0, 20, 52000, 270000, ACCELERATORS,
            1.0, 3.0, 0.9, 1.0, 0.6, 0.45,
        ),
        JobKind(
            "batch", 2, 0.907, 1.0, 0.1, 5.2, 0.3, 55.0, 51.0, 230, 11000, 46000, (1,),
            3.0, 3.0, 0.9, 0.0, 0.0, 0.45,
        ),
    ),
    workers=24,
    workers_per_rack=8,
    capacity=Resources(128000, 524288, 8),
    seconds=14.0,
    speeds=(0.8, 1.0, 1.25),
)  # fmt: skip
"""Gangs of which one task leaves no room for a second one, beside small tasks."""

MANY_CORES = attrs.evolve(
    LARGE_MEMORY,
    kinds=(
        JobKind(
            "urgent", 0, 2.87, 4.0, 0.8, 2.5, 0.5, 8.0, 5.4, 32, 7500, 11000, ACCELERATORS,
            0.3, 1.5, 0.2, 1.0, 0.8, 0.0,
        ),
        JobKind(
            "gangs", 1, 0.672, 3.0, 0.3, 11.0, 0.3, 11.0, 8.0, 20, 26000, 53000, ACCELERATORS,
            1.0, 3.0, 0.5, 1.0, 0.6, 0.45,
        ),
        JobKind(
            "batch", 2, 1.03, 1.0, 0.1, 6.1, 0.3, 11.0, 51.0, 230, 5600, 15000, (1,),
            3.0, 3.0, 0.2, 0.0, 0.0, 0.45,
        ),
    ),
    workers_per_rack=12,
    capacity=Resources(64000, 131072, 8),
)  # fmt: skip
"""Gangs that need many processors, beside small tasks that bind accelerators."""


class ByAccelerators(Planner):
    """Orders workers by free accelerators, whatever binds."""

    def plan(self, now, wall_time):
        self.packing = Packing()
        with (
            mock.patch("jaypier.jobs.placement.speed_level", lambda speed: 10),
            mock.patch("jaypier.scheduling.packing.speed_level", lambda speed: 10),
        ):
            return super().plan(now, wall_time)


def scale_to(load: Load, demand: float) -> Load:
    """Return a load that needs a multiple of the room of all workers."""
    room = sum(
        kind.per_second
        * kind.width
        * kind.work_seconds
        * mean_of(
            [
                dominant_share(
                    Resources(kind.processor_millis, kind.memory_mb, each), load.capacity
                )
                for each in kind.accelerators
            ]
        )
        for kind in load.kinds
    )
    factor = demand * load.workers / room
    kinds = (attrs.evolve(kind, per_second=factor * kind.per_second) for kind in load.kinds)
    return attrs.evolve(load, kinds=tuple(kinds))


@functools.cache
def play(load: Load, make_planner=Planner) -> tuple[float, float]:
    """Return the worth of all jobs, and the share of the work in wide gangs that was in time."""
    worths, in_time, work = [], 0.0, 0.0
    for seed in SEEDS:
        player = LoadPlayer(load, seed, make_planner)
        worths.append(player.play().worth)
        wide = [each for each in player.jobs.values() if is_wide_gang(each)]
        work += sum(each.core_seconds() for each in wide)
        in_time += sum(
            each.core_seconds()
            for each in wide
            if each.completed_at - each.arrives_at <= each.objective()
        )
    return mean_of(worths), in_time / work if work else 0.0


def is_wide_gang(played: PlayedJob) -> bool:
    (step,) = played.job.steps
    return step.is_gang and played.kind.name == "gangs" and step.count >= WIDE_TASKS


UNEVEN_LOADS = [
    scale_to(load, demand) for load in (LARGE_MEMORY, MANY_CORES) for demand in (1.0, 1.3)
]


class TestOrderByRoom:
    @pytest.mark.parametrize("load", [*UNEVEN_LOADS, BURST, OVERLOAD])
    def test_callers_get_no_less_than_in_the_order_by_accelerators(self, load):
        assert play(load)[0] >= play(load, ByAccelerators)[0] - NOISE

    def test_wide_gangs_gain(self):
        planned = mean_of([play(load)[1] for load in UNEVEN_LOADS])
        assert planned > mean_of([play(load, ByAccelerators)[1] for load in UNEVEN_LOADS])
