"""Preferences: what keeps waiting work from workers that it may use, and when that ends.

A requirement (capacity, label, data centre out of service, limit) holds as long as a step waits. A
preference only makes one worker better than another: one rack for a gang that is slower on several,
workers that no urgent job may need soon, workers without recent failures, workers that no gang is
waiting for. Whether the better worker becomes free depends on other work, so each wait for one has
a price and an end. The rule is in ``docs/design/preferences.md``.
"""

import math

import attrs

from jaypier.jobs.model import TaskId
from jaypier.jobs.state import StepState

MAX_PREFERENCE_SECONDS = 2.0
"""Time beside ample room after which no preference keeps a step waiting: no job may wait for 3 s
while twice its room is free and less than half of its pool is in use."""


@attrs.define
class Wait:
    """Wait of a step beside room that it may use.

    :param seconds: length up to ``observed_at``; times without such room do not count.
    :param observed_at: time on the local clock, in seconds, at which a pass last considered the
        step, ``inf`` if there was no such room then.
    """

    seconds: float = 0.0
    observed_at: float = math.inf


@attrs.frozen
class EndedWait:
    """A step that was started although a preference speaks against its workers.

    :param task: one of the tasks started.
    :param seconds: time for which it had waited beside room.
    :param racks: number of racks on which its tasks were started.
    """

    task: TaskId
    seconds: float
    racks: int


class PreferenceWaits:
    """How long steps have waited beside room that they may use.

    A wait goes on when its reason changes, and is only interrupted while there is no room: several
    reasons in succession keep a step no longer than one.

    :ivar waits: wait of each step that has been kept from such room.
    :ivar observed: steps with a wait that the current pass has considered.
    """

    def __init__(self) -> None:
        self.waits: dict[StepState, Wait] = {}
        self.observed: set[StepState] = set()

    def begin_pass(self) -> None:
        """Interrupt the waits of steps that the last pass did not consider; drop ended ones."""
        self.waits = {
            step: wait if step in self.observed else Wait(wait.seconds)
            for step, wait in self.waits.items()
            if step.waiting_count and not step.job.status.is_final
        }
        self.observed.clear()

    def observe(self, step: StepState, has_room: bool, now: float) -> None:
        """Record that a pass leaves a step waiting.

        :param has_room: whether there is room that it may use.
        :param now: time on the local clock, in seconds.
        """
        if has_room or step in self.waits:
            self.waits[step] = Wait(self.seconds(step, now), now if has_room else math.inf)
            self.observed.add(step)

    def seconds(self, step: StepState, now: float) -> float:
        """Return how long a step has waited beside room that it may use, in seconds.

        :param now: time on the local clock, in seconds.
        """
        wait = self.waits.get(step)
        return 0.0 if wait is None else wait.seconds + max(0.0, now - wait.observed_at)


@attrs.frozen
class RackWait:
    """What decides whether a rack-local gang that fits on several racks now waits for one.

    :param seconds: expected time until one rack can hold it, infinite if none is expected to.
    :param waited: time for which it has waited beside room on several racks, in seconds.
    :param extra_seconds: time that it takes longer on several racks.
    :param has_room_twice: whether it would fit on several racks twice.
    """

    seconds: float
    waited: float
    extra_seconds: float
    has_room_twice: bool

    @property
    def longest_seconds(self) -> float:
        """Longest time for which it waits in all.

        A gang that waits for as long as it would take longer elsewhere takes twice that extra time
        at most, however wrong the expectation is.
        """
        if self.has_room_twice:
            return min(self.extra_seconds, MAX_PREFERENCE_SECONDS)
        return self.extra_seconds

    @property
    def is_worth_it(self) -> bool:
        """Whether the gang should wait for one rack rather than start on several now.

        What it has waited already counts: an expectation may be missed again and again.
        """
        return self.waited + max(0.0, self.seconds) < self.longest_seconds
