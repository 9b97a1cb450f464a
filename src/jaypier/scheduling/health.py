"""Tells workers that fail everything from jobs that can never run; no I/O."""

from collections import Counter

import attrs

DISTINCT_JOBS_FOR_QUARANTINE = 3
"""Different jobs that must fail on a worker, with no success between, to set it aside."""

DISTINCT_WORKERS_FOR_IMPOSSIBLE = 3
"""Different healthy workers that a job must fail on to be given up."""

FAILURES_FOR_IMPOSSIBLE = 6
"""Failures on healthy workers, be they the same, after which a job is given up."""

QUARANTINE_SECONDS = 30.0
"""First time for which a worker is set aside; it doubles with each failed probe."""

MAX_QUARANTINE_SECONDS = 1800.0
"""Longest time for which a worker is set aside at once."""

MAX_QUARANTINED_SHARE = 0.5
"""Share of the workers of a data centre that may be set aside at a time."""


@attrs.define
class WorkerHealth:
    """Failures of one worker since its last success.

    :param failed_jobs: different jobs that failed.
    :param quarantined_until: end of the time set aside, in seconds; 0 when it is not.
    :param quarantines: times it was set aside since its last success.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    quarantined_until: float = 0.0
    quarantines: int = 0


class HealthTracker:
    """Blames failures on workers or on jobs."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerHealth] = {}

    def record_success(self, worker: str) -> None:
        """Clear a worker that ran a task to its end."""
        self.workers.pop(worker, None)

    def record_failure(self, worker: str, job: str, now: float, worker_count: int) -> bool:
        """Record that a task of ``job`` failed on ``worker``.

        :param worker_count: workers of the data centre, to bound how many are set aside.
        :returns: whether the worker has just been set aside.
        """
        health = self.workers.setdefault(worker, WorkerHealth())
        health.failed_jobs.add(job)
        enough = 1 if health.quarantines else DISTINCT_JOBS_FOR_QUARANTINE
        if len(health.failed_jobs) < enough or self.is_quarantined(worker, now):
            return False
        if self.quarantined_count(now) + 1 > worker_count * MAX_QUARANTINED_SHARE:
            return False
        duration = min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2**health.quarantines)
        health.quarantined_until = now + duration
        health.quarantines += 1
        health.failed_jobs.clear()
        return True

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Whether a worker is set aside."""
        health = self.workers.get(worker)
        return health is not None and now < health.quarantined_until

    def is_suspect(self, worker: str) -> bool:
        """Whether a worker has been set aside and has not succeeded since."""
        health = self.workers.get(worker)
        return health is not None and health.quarantines > 0

    def suspects(self) -> set[str]:
        """Return the workers that have been set aside and have not succeeded since."""
        return {name for name, each in self.workers.items() if each.quarantines > 0}

    def quarantined_count(self, now: float) -> int:
        """Return the number of workers that are set aside."""
        return sum(now < health.quarantined_until for health in self.workers.values())


def is_impossible(failures: Counter[str], health: HealthTracker) -> bool:
    """Whether a job has failed on enough workers that are not to blame themselves.

    :param failures: how often the job failed on each worker.
    """
    blameless = [count for worker, count in failures.items() if not health.is_suspect(worker)]
    return (
        len(blameless) >= DISTINCT_WORKERS_FOR_IMPOSSIBLE
        or sum(blameless) >= FAILURES_FOR_IMPOSSIBLE
    )
