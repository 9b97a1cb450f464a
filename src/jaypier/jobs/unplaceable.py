"""Steps that fit nowhere in a scheduling pass, so that steps which need no less are not tried.

A pass only takes room away, so what does not fit does not fit later in it either. A hold that ends
is the exception, after which everything is tried again.
"""

from collections import defaultdict
from collections.abc import Hashable

import attrs

from jaypier.jobs.headroom import Headroom
from jaypier.jobs.holding import GangHolds
from jaypier.jobs.model import URGENT_PRIORITY
from jaypier.jobs.state import StepState


@attrs.frozen
class StepNeed:
    """What decides whether any task of a step can be placed.

    :param shape: properties that two steps must share to be compared.
    :param count: number of tasks that have to fit together: all of a gang, 1 of another step.
    :param seconds: expected duration, 0 where it does not matter.
    """

    shape: Hashable
    count: int
    seconds: float

    @classmethod
    def of(
        cls, step: StepState, holds: GangHolds, headroom: Headroom, has_reservation: bool
    ) -> "StepNeed":
        """Return the need of a step.

        A step has a shape of its own if its candidate workers or their free resources differ from
        those of other steps: with a reservation, a hold, failed tasks, runs that count against its
        limit of tasks per worker, or if its job may crash workers.

        :param has_reservation: whether capacity is being freed for the step.
        """
        spec, job = step.spec, step.job
        is_urgent = job.spec.priority == URGENT_PRIORITY
        has_limited_runs = bool(spec.max_per_worker and step.runs)
        is_retry = any(task.failed_on for task in step.tasks)
        is_unlike_others = (
            has_reservation
            or has_limited_runs
            or is_retry
            or bool(job.crash_suspects)
            or step in holds.holds
        )
        seconds = step.expected_seconds if holds.until and not is_urgent else 0.0
        # A wider or longer gang may use more workers than another one: several racks if no rack can
        # hold it, and those kept free for urgent jobs if it fits on no others.
        has_wider_choice = spec.is_gang and (
            spec.is_rack_local or (bool(headroom.until) and not is_urgent)
        )
        shape = (
            spec.demand,
            spec.label,
            spec.data_rack,
            spec.max_per_worker,
            spec.is_gang,
            spec.is_rack_local,
            spec.is_serving,
            spec.is_filling,
            job.spec.service,
            is_urgent,
            (spec.count, seconds) if has_wider_choice else None,
            id(step) if is_unlike_others else None,
        )
        return cls(shape, spec.count if spec.is_gang else 1, seconds)


class UnplaceableSteps:
    """The needs for which no room was found in the current pass.

    :ivar needs: number of tasks and expected duration of these needs, by shape.
    """

    def __init__(self) -> None:
        self.needs: dict[Hashable, list[tuple[int, float]]] = defaultdict(list)

    def add(self, need: StepNeed) -> None:
        """Record that a step with a need does not fit."""
        self.needs[need.shape].append((need.count, need.seconds))

    def covers(self, need: StepNeed) -> bool:
        """Whether a step of the same shape that needs no more than this does not fit."""
        return any(
            count <= need.count and seconds <= need.seconds
            for count, seconds in self.needs.get(need.shape, ())
        )

    def clear(self) -> None:
        """Forget all needs, as there may be more room than before."""
        self.needs.clear()
