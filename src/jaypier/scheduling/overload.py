"""Overload: which jobs are refused at submission because they cannot end before they are worthless.

Answers demand that exceeds the room for longer than jobs keep a value. The leader summarizes what
is ahead of new jobs, and every daemon decides by this summary. All figures are lower bounds: only
work that certainly comes first counts as ahead, as if it filled the workers without gaps.
"""

import itertools
import math
from collections.abc import Iterable
from typing import Any

import attrs
import structlog

from jaypier.core.codec import DecodeError, from_plain, to_compact
from jaypier.jobs.model import URGENT_PRIORITY, Job, Resources
from jaypier.jobs.state import JobState, Worker
from jaypier.jobs.valuation import MIN_ROOM_SECONDS, Valuation, ValueSettings
from jaypier.platform.decoding import describe_error
from jaypier.scheduling.rooms import remaining_room_seconds, room_share

MAX_SUMMARY_AGE_SECONDS = 2.0
"""Age up to which a summary counts: the time after which another daemon takes over."""

END_FACTOR = 0.5
"""Overload ends at this share of the wait at which it began: hysteresis."""

MAX_STEPS = 4
"""Number of steps of a wait curve, so that the leader's row stays small."""

MAX_SUMMARY_NUMBER = 1 << 53
"""Largest number in a valid summary; no score, wait or capacity comes near it."""

MAX_CAPACITIES = 3
"""Largest number of different capacities of a pool's workers in a summary."""

CLEARLY_AHEAD_FACTOR = 2.0
"""Factor by which the score of work that counts as ahead exceeds that of a new job of mean size:
the job may be larger, and so worth more."""

ESTIMATE_MARGIN = 1.5
"""Factor by which expected waits may be too long, as estimates of durations are rough."""

RETRY_SPREAD = 0.5
"""Largest share by which a retry delay is extended, so that callers return one after another."""

MAX_RETRY_SECONDS = 60
"""Longest delay after which a refused caller is asked to return."""

log = structlog.get_logger()


def _is_positive(instance: object, attribute: attrs.Attribute, value: float) -> None:
    if not 0.0 < value <= 86_400.0:
        raise ValueError(f"{value!r} is out of range; use more than 0, at most 86400 seconds")


@attrs.frozen
class OverloadSettings:
    """Refusal of jobs at submission.

    :param refuses: whether jobs are refused in an overload.
    :param begins_at: expected wait in seconds of the work that is queued, from which a pool counts
        as overloaded.
    """

    refuses: bool = False
    begins_at: float = attrs.field(default=10.0, validator=_is_positive)


@attrs.frozen
class PoolLoad:
    """What is ahead of new jobs of one service.

    :param waits: steps of the wait curve: work of this score or more takes the workers this many
        seconds; scores decrease.
    :param capacities: different capacities of the workers, the most frequent first, as processors
        in thousandths, memory in MB and accelerators. Empty if there are too many.
    """

    waits: tuple[tuple[float, float], ...]
    capacities: tuple[tuple[int, int, int], ...] = ()

    @property
    def typical_capacity(self) -> Resources | None:
        """Capacity of a typical worker, ``None`` if unknown."""
        return Resources(*self.capacities[0]) if self.capacities else None


@attrs.frozen
class LoadSummary:
    """Load of the overloaded pools, by service."""

    pools: dict[str, PoolLoad]


def encode_summary(summary: LoadSummary | None) -> Any:
    """Return plain values of a summary."""
    return None if summary is None else to_compact(summary)


def decode_summary(value: Any) -> LoadSummary | None:
    """Return a summary from plain values, ``None`` if another build has written it differently."""
    if value is None:
        return None
    try:
        summary = from_plain(value, LoadSummary)
    except DecodeError as error:
        log.debug("load summary left out: cannot be decoded", reason=describe_error(error))
        return None
    loads = summary.pools.values()
    numbers = itertools.chain.from_iterable(
        group for load in loads for group in (*load.waits, *load.capacities)
    )
    if not all(0 <= number <= MAX_SUMMARY_NUMBER for number in numbers):
        log.debug("load summary left out: cannot be decoded", reason="a number is out of range")
        return None
    return summary


@attrs.frozen
class Admission:
    """Decision about a job.

    :param is_refused: whether it is refused.
    :param reason: reason of a refusal.
    :param wait: expected wait in seconds of which it is certain.
    :param room_seconds: room that the job needs, in worker-seconds.
    :param age: age of the summary, in seconds.
    :param retry_after: seconds after which it may be accepted, ``None`` if that is not expected.
    """

    is_refused: bool
    reason: str = ""
    wait: float = 0.0
    room_seconds: float = 0.0
    age: float = 0.0
    retry_after: int | None = None


ACCEPTED = Admission(False)


def mean_score(priority: int, room_seconds: float, settings: ValueSettings) -> float:
    """Return the score of a job that needs some room, is of mean size and cannot wait."""
    weights = settings.priority_weights
    return weights[min(priority, len(weights) - 1)] / max(MIN_ROOM_SECONDS, room_seconds)


class OverloadDetector:
    """Summarizes the load of overloaded pools, on the leader.

    :ivar overloaded: services whose pools are overloaded.
    """

    def __init__(self, settings: OverloadSettings, valuation: Valuation) -> None:
        self.settings = settings
        self.valuation = valuation
        self.overloaded: set[str] = set()

    def summarize(
        self, jobs: Iterable[JobState], workers: Iterable[Worker], now: float, wall_time: float
    ) -> LoadSummary | None:
        """Return the load of the overloaded pools, ``None`` if there are none.

        :param jobs: jobs that have not ended.
        :param workers: all workers.
        :param now: time on the local clock, in seconds.
        :param wall_time: Unix time in seconds.
        """
        if not self.settings.refuses:
            return None
        pools: dict[str, list[Worker]] = {}
        for worker in workers:
            pools.setdefault(worker.entry.service, []).append(worker)
        queued: dict[str, list[JobState]] = {service: [] for service in pools}
        for state in jobs:
            waits = not state.run_count and not self.valuation.is_expired(state, wall_time)
            if waits and state.spec.service in queued:
                queued[state.spec.service].append(state)
        loads = {}
        for service, pool in pools.items():
            load = summarize_pool(queued[service], pool, now, wall_time, self.valuation)
            wait = load.waits[-1][1] if load.waits else 0.0
            begins_at = self.settings.begins_at
            threshold = END_FACTOR * begins_at if service in self.overloaded else begins_at
            if wait >= threshold:
                loads[service] = load
        self.overloaded = set(loads)
        return LoadSummary(loads) if loads else None


def summarize_pool(
    queued: list[JobState],
    workers: list[Worker],
    now: float,
    wall_time: float,
    valuation: Valuation,
) -> PoolLoad:
    """Return the wait curve of a pool.

    :param queued: jobs without a run that can still be worth something.
    :param now: time on the local clock, in seconds.
    :param wall_time: Unix time in seconds.
    """
    counts: dict[Resources, int] = {}
    for worker in workers:
        counts[worker.entry.capacity] = counts.get(worker.entry.capacity, 0) + 1
    by_count = sorted(counts, key=lambda each: -counts[each])
    typical = by_count[0]
    running = sum(
        run.remaining_seconds(now) * room_share(run.step.spec.reserved, typical)
        for worker in workers
        for run in worker.runs.values()
        if not run.step.spec.lasts
    )
    lasting = sum(
        room_share(run.step.spec.reserved, typical)
        for worker in workers
        for run in worker.runs.values()
        if run.step.spec.lasts
    )
    available = max(0.1, len(workers) - lasting)
    needs = [remaining_room_seconds(state, typical) for state in queued]
    scores = [valuation.score(state, wall_time) for state in queued]
    ahead = sorted(zip(scores, needs, strict=True), reverse=True)
    curve, total = [], running
    for each, need in ahead:
        total += need
        curve.append((float(f"{each:.3g}"), round(total / available, 1)))
    # Steps at equal parts of the curve: each score is that of the last work it includes.
    size = math.ceil(len(curve) / MAX_STEPS) if curve else 1
    steps = curve[size - 1 :: size]
    if curve and steps[-1] != curve[-1]:
        steps = [*steps[: MAX_STEPS - 1], curve[-1]]
    capacities = tuple(
        (each.processor_millis, each.memory_mb, each.accelerators) for each in by_count
    )
    return PoolLoad(tuple(steps), capacities if len(capacities) <= MAX_CAPACITIES else ())


def decide_admission(
    job: Job,
    summary: LoadSummary | None,
    age: float,
    guaranteed: int,
    settings: ValueSettings,
    spread: float,
) -> Admission:
    """Decide whether a job is refused.

    It is refused only if it certainly ends after it has become worthless, or if no worker of its
    pool is large enough. An urgent job of a team with a guarantee, a long-running job and one that
    runs at set times are always accepted.

    :param age: age of the summary, in seconds.
    :param guaranteed: guaranteed accelerators of the job's team.
    :param spread: number from 0 to 1 by which retries are spread.
    """
    if summary is None or age > MAX_SUMMARY_AGE_SECONDS:
        return ACCEPTED
    load = summary.pools.get(job.service)
    is_covered = job.priority == URGENT_PRIORITY and guaranteed > 0
    is_exempt = job.repeats > 0 or any(step.lasts for step in job.steps)
    if load is None or load.typical_capacity is None or is_covered or is_exempt:
        return ACCEPTED
    capacities = [Resources(*each) for each in load.capacities]
    if any(
        all(step.reserved.copies_within(each) == 0 for each in capacities) for step in job.steps
    ):
        return Admission(True, "no worker is large enough", age=age)
    room = sum(
        step.count * step.estimated_seconds * room_share(step.reserved, load.typical_capacity)
        for step in job.steps
    )
    ahead = CLEARLY_AHEAD_FACTOR * mean_score(job.priority, room, settings)
    wait = max((seconds for each, seconds in load.waits if each >= ahead), default=0.0)
    certain_wait = wait / ESTIMATE_MARGIN
    chain = job.critical_path_seconds() / ESTIMATE_MARGIN
    excess = certain_wait + chain - settings.max_late_multiple * job.objective_seconds
    if excess <= 0.0:
        return ACCEPTED
    delay = ESTIMATE_MARGIN * excess * (1.0 + RETRY_SPREAD * spread)
    retry_after = min(MAX_RETRY_SECONDS, math.ceil(delay))
    return Admission(True, "expected wait too long", certain_wait, room, age, retry_after)
