"""Headroom: workers kept free for urgent jobs.

Answers bursts of urgent jobs whose slack is about as long as a preemption takes.
"""

from collections import deque

from jaypier.jobs.model import URGENT_PRIORITY
from jaypier.jobs.state import Worker

HEADROOM_SECONDS = 1.0
"""Accelerators are kept free for the urgent jobs that arrive on average in this time: preemption
takes about 1 s, which is most of the slack of an urgent job."""

MAX_HEADROOM_SHARE = 0.25
"""Maximum share of all accelerators that is kept free for urgent jobs."""

HEADROOM_HOLD_SECONDS = 4.0
"""Time for which a worker stays restricted to urgent jobs: longer than the pauses within a burst,
so that other work is not started there only to be preempted."""

ARRIVAL_WINDOW_SECONDS = 12.0
"""Time over which the rate of urgent arrivals is averaged: twice the usual length of a burst."""


class Headroom:
    """Workers that only urgent jobs may use.

    :ivar until: these workers, with the time on the local clock, in seconds, at which the
        restriction ends.
    :ivar arrivals: time on the local clock, in seconds, and accelerators of the first step of
        recent urgent jobs.
    """

    def __init__(self) -> None:
        self.until: dict[str, float] = {}
        self.arrivals: deque[tuple[float, int]] = deque()

    def observe_arrival(self, accelerators: int, now: float) -> None:
        """Record an urgent job.

        :param accelerators: accelerators of its first step.
        :param now: time on the local clock, in seconds.
        """
        self.arrivals.append((now, accelerators))

    def update(self, workers: list[Worker], now: float) -> None:
        """Update the set of workers.

        Their accelerators that no urgent job uses cover the urgent arrivals expected within
        ``HEADROOM_SECONDS``. The workers are taken in a fixed order by rack, so that they are
        adjacent and the set stays stable.

        :param now: time on the local clock, in seconds.
        """
        while self.arrivals and self.arrivals[0][0] < now - ARRIVAL_WINDOW_SECONDS:
            self.arrivals.popleft()
        arrived = sum(accelerators for _, accelerators in self.arrivals)
        total = sum(worker.entry.capacity.accelerators for worker in workers)
        wanted = min(
            arrived / ARRIVAL_WINDOW_SECONDS * HEADROOM_SECONDS, MAX_HEADROOM_SHARE * total
        )
        in_order = sorted(workers, key=lambda each: (each.entry.rack, each.id)) if wanted else []
        for worker in in_order:
            if wanted <= 0:
                break
            urgent = sum(
                run.step.spec.demand.accelerators
                for run in worker.runs.values()
                if run.step.job.spec.priority == URGENT_PRIORITY
            )
            self.until[worker.id] = now + HEADROOM_HOLD_SECONDS
            wanted -= max(0, worker.entry.capacity.accelerators - urgent)
        self.until = {worker_id: end for worker_id, end in self.until.items() if end > now}
