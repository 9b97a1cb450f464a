"""The value of jobs: what completing them is worth, and in which order they should run.

Answers loads that exceed the capacity for a while: jobs are ordered by value for the room that they
still need. While there is room for most jobs, a job that has little time left comes before one that
can wait, and a job whose work was interrupted before one that has not begun.
"""

from collections.abc import Iterable

import attrs

from jaypier.jobs.model import Resources
from jaypier.jobs.state import JobState, Worker
from jaypier.scheduling.rooms import remaining_room_seconds, typical_capacities

MAX_SIZE_FACTOR = 4.0
"""Largest factor by which a job is worth more than a job of the mean size of its queue."""

EXPIRED_VALUE_SHARE = 0.01
"""Share of its value that a job keeps after it has expired, so that it still runs on idle
capacity."""

PATIENCE_MULTIPLE = 2.0
"""Slack, as a multiple of a job's critical path, at which it can wait longest."""

MIN_URGENCY = 0.25
"""Urgency of a job that can wait longest, relative to one without slack."""

MIN_CRITICAL_PATH_SECONDS = 0.5
"""Critical path of very short jobs when their slack is assessed: a round of reports and passes."""

MIN_ROOM_SECONDS = 0.01
"""Least room, in worker-seconds, that a job counts as needing."""

DEFAULT_CAPACITY = Resources(64000, 131072, 8)
"""Capacity of a typical worker as long as no worker is known."""

INTERRUPTED_FACTOR = 2.0
"""Factor on the score of a job that was started and has no run: its caller has waited once, and a
wide gang would otherwise lose its workers to many small jobs."""


def _between(low: float, high: float):
    def check(instance: object, attribute: attrs.Attribute, value: float) -> None:
        if not low <= value <= high:
            raise ValueError(f"{value!r} is out of range; use {low} to {high}")

    return check


def _has_values(instance: object, attribute: attrs.Attribute, value: tuple) -> None:
    if not value:
        raise ValueError("the list is empty; use one number for each priority, from 0")


@attrs.frozen
class ValueSettings:
    """What jobs are worth to their callers.

    :param priority_weights: value of a job of mean size by its priority; larger priority numbers
        count as the last.
    :param late_share: share of its value that a job keeps after its time objective.
    :param max_late_multiple: multiple of its time objective after which a job has no value.
    """

    priority_weights: tuple[float, ...] = attrs.field(
        default=(4.0, 3.0, 1.0),
        validator=[_has_values, attrs.validators.deep_iterable(_between(0.0, 1e6))],
    )
    late_share: float = attrs.field(default=0.25, validator=_between(0.0, 1.0))
    max_late_multiple: float = attrs.field(default=3.0, validator=_between(1.0, 1000.0))


class Valuation:
    """Scores jobs by their value for the room that they still need.

    :ivar mean_core_seconds: number of jobs and their mean work in core-seconds, by queue.
    :ivar capacities: capacity of a typical worker, by service.
    """

    def __init__(self, settings: ValueSettings) -> None:
        self.settings = settings
        self.mean_core_seconds: dict[str, tuple[int, float]] = {}
        self.capacities: dict[str, Resources] = {}

    def observe_workers(self, workers: Iterable[Worker]) -> None:
        """Update the capacity of a typical worker of each service."""
        self.capacities = typical_capacities(workers)

    def observe(self, state: JobState) -> None:
        """Update the mean work of the job's queue."""
        count, mean = self.mean_core_seconds.get(state.spec.queue, (0, 0.0))
        core_seconds = state.remaining_core_seconds()
        self.mean_core_seconds[state.spec.queue] = (
            count + 1,
            mean + (core_seconds - mean) / (count + 1),
        )

    def score(self, state: JobState, wall_time: float) -> float:
        """Return the value of a job for each worker-second of room, weighted by its urgency.

        The value depends on the priority, on the job's size relative to the mean of its queue, and
        on whether the job can still meet its time objective.

        :param wall_time: Unix time in seconds.
        """
        chain = state.remaining_critical_path_seconds()
        value = self.value_in_time(state) * self.share_at(state, wall_time + chain)
        if state.has_started and not state.run_count:
            value *= INTERRUPTED_FACTOR
        age = wall_time - state.earliest_start_at
        urgency = urgency_of(state.spec.objective_seconds - age - chain, chain)
        room = remaining_room_seconds(state, self.typical_capacity(state))
        return value * urgency / max(MIN_ROOM_SECONDS, room)

    def typical_capacity(self, state: JobState) -> Resources:
        """Return the capacity of a typical worker that may run a job."""
        return self.capacities.get(state.spec.service, DEFAULT_CAPACITY)

    def value_in_time(self, state: JobState) -> float:
        """Return the value of a job that meets its time objective."""
        weights = self.settings.priority_weights
        weight = weights[min(state.spec.priority, len(weights) - 1)]
        _, mean = self.mean_core_seconds.get(state.spec.queue, (0, 0.0))
        if mean <= 0:
            return weight
        return weight * min(MAX_SIZE_FACTOR, 0.3 + 0.7 * state.total_core_seconds() / mean)

    def value_now(self, state: JobState, wall_time: float) -> float:
        """Return the value of a job that runs without interruption from now.

        :param wall_time: Unix time in seconds.
        """
        return self.value_in_time(state) * self.value_share(state, wall_time)

    def value_share(self, state: JobState, wall_time: float) -> float:
        """Return the share of its value that a job has if it runs without interruption from now.

        :param wall_time: Unix time in seconds.
        """
        return self.share_at(state, wall_time + state.remaining_critical_path_seconds())

    def share_at(self, state: JobState, completed_at: float) -> float:
        """Return the share of its value that a job has if it ends at a given time.

        Long-running jobs are never late: they are worth something whenever they run.

        :param completed_at: Unix time in seconds.
        """
        if state.spec.lasts:
            return 1.0
        objective = state.objective_seconds
        elapsed = completed_at - state.earliest_start_at
        if elapsed <= objective:
            return 1.0
        is_late = elapsed <= self.settings.max_late_multiple * objective
        return self.settings.late_share if is_late else EXPIRED_VALUE_SHARE

    def is_expired(self, state: JobState, wall_time: float) -> bool:
        """Whether no open occurrence of a job can be worth anything, even if it runs from now.

        :param wall_time: Unix time in seconds.
        """
        if state.spec.lasts:
            return False
        newest = state.spec.earliest_start_at(max(state.occurrences, default=0))
        elapsed = wall_time - newest + state.remaining_critical_path_seconds()
        return elapsed > self.settings.max_late_multiple * state.objective_seconds

    def urgency(self, state: JobState, wall_time: float) -> float:
        """Return how little a job can wait, from ``MIN_URGENCY`` to 1.

        A job that is late already has no further objective to meet.

        :param wall_time: Unix time in seconds.
        """
        chain = state.remaining_critical_path_seconds()
        return urgency_of(slack_seconds(state, wall_time), chain)


def urgency_of(slack: float, critical_path: float) -> float:
    """Return the urgency of a job by its slack and its remaining critical path, in seconds."""
    patience = PATIENCE_MULTIPLE * max(MIN_CRITICAL_PATH_SECONDS, critical_path)
    return 1.0 if slack < 0 else max(MIN_URGENCY, 1.0 - slack / patience)


def slack_seconds(state: JobState, wall_time: float) -> float:
    """Return how long a job can wait and still meet its time objective, negative if it cannot.

    :param wall_time: Unix time in seconds.
    """
    age = wall_time - state.earliest_start_at
    return state.objective_seconds - age - state.remaining_critical_path_seconds()
