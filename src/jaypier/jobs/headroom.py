"""Headroom: workers kept free for urgent jobs.

Answers bursts of urgent jobs whose slack is about as long as a preemption takes.
"""

import attrs

from jaypier.jobs.model import URGENT_PRIORITY, Resources, Step
from jaypier.jobs.state import Worker
from jaypier.scheduling.forecast import INTERVAL_SECONDS, ArrivalForecast
from jaypier.scheduling.rooms import dominant_share, shares

HEADROOM_SECONDS = 1.0
"""Room is kept free for the urgent jobs that are expected to arrive in this time: preemption takes
about 1 s, which is most of the slack of an urgent job."""

MAX_HEADROOM_SHARE = 0.25
"""Maximum share of the room of all workers that is kept free for urgent jobs."""

HEADROOM_HOLD_SECONDS = 4.0
"""Time for which a worker stays restricted to urgent jobs: longer than the pauses within a burst,
so that other work is not started there only to be preempted."""


class Headroom:
    """Workers that only urgent jobs may use.

    :ivar until: these workers, with the time on the local clock, in seconds, at which the
        restriction ends.
    :ivar forecast: arrivals of urgent tasks, as numbers of workers that they fill.
    :ivar unmeasured: first steps of urgent jobs that have arrived since the last update, and the
        times of their arrival on the local clock, in seconds.
    """

    def __init__(self) -> None:
        self.until: dict[str, float] = {}
        self.forecast = ArrivalForecast()
        self.unmeasured: list[tuple[Step, float]] = []

    def observe_arrival(self, step: Step, now: float) -> None:
        """Record an urgent job.

        :param step: its first step.
        :param now: time on the local clock, in seconds.
        """
        self.unmeasured.append((step, now))

    def update(self, workers: list[Worker], now: float) -> None:
        """Update the set of workers.

        Their room that no urgent job uses covers the urgent arrivals expected within
        ``HEADROOM_SECONDS``. Workers in the set are taken first, others in a fixed order by rack,
        so that they are adjacent and the set stays stable. After a burst, the others are given
        back at once.

        :param now: time on the local clock, in seconds.
        """
        largest = largest_capacity(workers)
        for step, arrived_at in self.unmeasured:
            self.forecast.observe(step.count * dominant_share(step.reserved, largest), arrived_at)
        self.unmeasured.clear()
        self.forecast.advance(now)
        wanted = min(
            self.forecast.expected * HEADROOM_SECONDS / INTERVAL_SECONDS,
            MAX_HEADROOM_SHARE * sum(worker_size(worker, largest) for worker in workers),
        )
        in_order = (
            sorted(workers, key=lambda each: (each.id not in self.until, each.entry.rack, each.id))
            if wanted > 0
            else []
        )
        chosen = set()
        for worker in in_order:
            if wanted <= 0:
                break
            room = worker_size(worker, largest) * share_for_urgent(worker)
            if room > 0:
                chosen.add(worker.id)
                wanted -= room
        kept = {
            worker_id: end
            for worker_id, end in self.until.items()
            if end > now and not self.forecast.is_falling
        }
        self.until = kept | dict.fromkeys(chosen, now + HEADROOM_HOLD_SECONDS)


def largest_capacity(workers: list[Worker]) -> Resources:
    """Return the capacity of the largest worker, by which rooms are measured."""
    return max(
        (worker.entry.capacity for worker in workers),
        key=lambda each: (each.accelerators, each.processor_millis, each.memory_mb),
        default=Resources(),
    )


def worker_size(worker: Worker, largest: Resources) -> float:
    """Return the capacity of a worker as a share of the largest, in the resource that binds."""
    by_resource = zip(shares(worker.entry.capacity, largest), attrs.astuple(largest), strict=True)
    return min((share for share, owned in by_resource if owned > 0), default=1.0)


def share_for_urgent(worker: Worker) -> float:
    """Return the share of a worker that urgent runs do not use, in the resource that binds them."""
    used = sum(
        (
            run.step.spec.reserved
            for run in worker.runs.values()
            if run.step.job.spec.priority == URGENT_PRIORITY
        ),
        Resources(),
    )
    return max(0.0, 1.0 - dominant_share(used, worker.entry.capacity))
