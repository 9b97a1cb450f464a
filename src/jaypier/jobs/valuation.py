"""The value of jobs: what completing them is worth, and in which order they should run.

Answers loads that exceed the capacity for a while: jobs are ordered by value for each core-second
that they still need. While there is room for most jobs, a job that has little time left comes
before one that can wait, and a job whose work was interrupted before one that has not begun.
"""

import attrs

from jaypier.jobs.state import JobState, core_equivalent

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
    """Scores jobs by their value for each remaining core-second.

    :ivar mean_core_seconds: number of jobs and their mean work in core-seconds, by queue.
    """

    def __init__(self, settings: ValueSettings) -> None:
        self.settings = settings
        self.mean_core_seconds: dict[str, tuple[int, float]] = {}

    def observe(self, state: JobState) -> None:
        """Update the mean work of the job's queue."""
        count, mean = self.mean_core_seconds.get(state.spec.queue, (0, 0.0))
        core_seconds = state.remaining_core_seconds()
        self.mean_core_seconds[state.spec.queue] = (
            count + 1,
            mean + (core_seconds - mean) / (count + 1),
        )

    def score(self, state: JobState, wall_time: float) -> float:
        """Return the value of a job per remaining core-second, weighted by its urgency.

        The value depends on the priority, on the job's size relative to the mean of its queue, and
        on whether the job can still meet its time objective.

        :param wall_time: Unix time in seconds.
        """
        value = self.value_in_time(state) * self.value_share(state, wall_time)
        if state.has_started and not any(state.runs):
            value *= INTERRUPTED_FACTOR
        urgency = self.urgency(state, wall_time)
        return value * urgency / max(1.0, state.remaining_core_seconds())

    def value_in_time(self, state: JobState) -> float:
        """Return the value of a job that meets its time objective."""
        weights = self.settings.priority_weights
        weight = weights[min(state.spec.priority, len(weights) - 1)]
        _, mean = self.mean_core_seconds.get(state.spec.queue, (0, 0.0))
        if mean <= 0:
            return weight
        total_core_seconds = sum(
            step.spec.count * step.expected_seconds * core_equivalent(step.spec.demand)
            for step in state.steps
        )
        return weight * min(MAX_SIZE_FACTOR, 0.3 + 0.7 * total_core_seconds / mean)

    def value_share(self, state: JobState, wall_time: float) -> float:
        """Return the share of its value that a job has if it runs without interruption from now.

        :param wall_time: Unix time in seconds.
        """
        slack = slack_seconds(state, wall_time)
        if slack >= 0:
            return 1.0
        tolerated_delay = (self.settings.max_late_multiple - 1) * state.objective_seconds
        return self.settings.late_share if -slack <= tolerated_delay else EXPIRED_VALUE_SHARE

    def urgency(self, state: JobState, wall_time: float) -> float:
        """Return how little a job can wait, from ``MIN_URGENCY`` to 1.

        A job that is late already has no further objective to meet.

        :param wall_time: Unix time in seconds.
        """
        critical_path = max(MIN_CRITICAL_PATH_SECONDS, state.remaining_critical_path_seconds())
        relative_slack = slack_seconds(state, wall_time) / (PATIENCE_MULTIPLE * critical_path)
        return 1.0 if relative_slack < 0 else max(MIN_URGENCY, 1.0 - relative_slack)


def slack_seconds(state: JobState, wall_time: float) -> float:
    """Return how long a job can wait and still meet its time objective, negative if it cannot.

    :param wall_time: Unix time in seconds.
    """
    age = wall_time - state.earliest_start_at
    return state.objective_seconds - age - state.remaining_critical_path_seconds()
