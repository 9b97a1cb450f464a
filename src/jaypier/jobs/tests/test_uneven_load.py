"""Plays a load with uneven workers and rough estimates, with learning and without."""

import functools

from jaypier.jobs.model import Resources
from jaypier.jobs.tests.load_player import JobKind, Load, LoadPlayer, Outcome, mean_of
from jaypier.scheduling.durations import DurationModel
from jaypier.scheduling.speeds import WorkerSpeeds

SEEDS = range(4)

NOISE = 0.03
"""Change of worth that the users count as noise."""

TAIL = {"tail_share": 0.03, "tail_factor": 7.0}

UNEVEN = Load(
    kinds=(
        JobKind(
            "urgent", 0, 0.73, 4.0, 0.8, 2.1, 0.5, 22.0, 4.0, 20, 15000, 79000, (1, 2, 4, 8, 8),
            0.3, 1.5, 0.0, 1.0, 0.8, 0.0, estimate_factor=0.5, **TAIL,
        ),
        JobKind(
            "gangs", 1, 0.27, 3.0, 0.3, 5.8, 0.3, 61.0, 6.0, 20, 52000, 270000, (1, 2, 4, 8, 8),
            1.0, 3.0, 0.0, 1.0, 0.6, 0.45, estimate_factor=0.9, **TAIL,
        ),
        JobKind(
            "batch", 2, 0.31, 1.0, 0.1, 5.2, 0.3, 55.0, 20.0, 60, 11000, 46000, (1,),
            3.0, 3.0, 0.0, 0.0, 0.0, 0.45, estimate_factor=0.9, **TAIL,
        ),
    ),
    workers=24,
    workers_per_rack=8,
    capacity=Resources(128000, 524288, 8),
    seconds=40.0,
    speeds=(0.8, 1.0, 1.25),
)  # fmt: skip
"""Estimates off by up to 0.9 of the duration, workers of three speeds, and 3% of the jobs that take
7 times as long: about 0.7 of what the workers can do."""


class EstimatesOnly(DurationModel):
    """Keeps the callers' estimates."""

    def expect(self, steps):
        pass


class EqualSpeeds(WorkerSpeeds):
    """Takes all workers for equal."""

    def update(self, worker, record):
        pass


@functools.cache
def play(load: Load, learns: bool) -> list[Outcome]:
    outcomes = []
    for seed in SEEDS:
        player = LoadPlayer(load, seed)
        if not learns:
            player.cluster_state.durations = EstimatesOnly()
            player.cluster_state.speeds = EqualSpeeds()
        outcomes.append(player.play())
    return outcomes


def means(outcomes: list[Outcome], name: str) -> float:
    return mean_of([getattr(outcome, name) for outcome in outcomes])


class TestLearning:
    def test_expected_durations_are_closer_than_estimates(self):
        learned, estimated = play(UNEVEN, True), play(UNEVEN, False)
        assert means(learned, "duration_error") < means(estimated, "duration_error")

    def test_callers_get_no_less_than_by_estimates(self):
        learned, estimated = play(UNEVEN, True), play(UNEVEN, False)
        assert means(learned, "worth") >= means(estimated, "worth") - NOISE
