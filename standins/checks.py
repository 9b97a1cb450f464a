"""Checks of what must hold, against what endpoints and workers did."""

from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs

from jaypier.requests.model import Outcome
from standins.callers import CallRecord, Identity
from standins.endpoint import EndpointReport
from standins.worker import LogEntry

DEPARTURE_SECONDS = 2.0
"""Time after the acceptance of a note within which a data centre may still start tasks."""

CONNECTIONS = 64


@attrs.frozen
class Drain:
    """Time for which a data centre was out of service, in wall clock seconds."""

    data_centre: str
    accepted_at: float
    returned_at: float


def request_faults(records: list[CallRecord], reports: list[EndpointReport]) -> list[str]:
    """Return every broken promise to callers."""
    runs = Counter(each.key for report in reports for each in report.executions)
    faults = []
    for record in records:
        if record.outcome is Outcome.NOT_RUN and runs[record.key]:
            faults.append(f"{record.key} was told 'not run' but ran")
        if record.outcome is Outcome.ANSWERED and not record.is_own_answer:
            faults.append(f"{record.key} got another answer than its own")
        if record.identity is not Identity.REPEATABLE and runs[record.key] > 1:
            faults.append(f"{record.key} may not be repeated but ran {runs[record.key]} times")
    if any(report.most_connections > CONNECTIONS for report in reports):
        faults.append("an endpoint had more connections than it accepts")
    return faults


def drain_faults(log: Iterable[LogEntry], drains: list[Drain], where: dict[str, str]) -> list[str]:
    """Return every start in a data centre that was out of service.

    :param where: data centre of each worker.
    """
    return [
        f"{entry.task.job} was {entry.event} on {entry.worker} "
        f"{entry.at - drain.accepted_at:.2f} s after {drain.data_centre} was taken out"
        for entry in log
        for drain in drains
        if where[entry.worker] == drain.data_centre
        and entry.event in ("held", "released")
        and drain.accepted_at + DEPARTURE_SECONDS < entry.at < drain.returned_at
    ]


def gang_faults(log: Iterable[LogEntry], sizes: dict[str, int]) -> list[str]:
    """Return every gang of which a part was released before all tasks were held.

    :param sizes: number of tasks of each job.
    """
    held: dict[tuple, int] = defaultdict(int)
    faults = []
    for entry in log:
        task = entry.task
        attempt = (task.job, task.revision, task.epoch, task.attempt)
        if entry.event == "held":
            held[attempt] += 1
        if entry.event == "released" and held[attempt] < sizes[task.job]:
            faults.append(f"{task.job} was released with {held[attempt]} tasks held")
    return faults


def finished_jobs(log: Iterable[LogEntry], sizes: dict[str, int]) -> set[str]:
    """Return the jobs of which one attempt has run all tasks to the end."""
    done: dict[tuple, int] = defaultdict(int)
    for entry in log:
        task = entry.task
        done[task.job, task.revision, task.epoch, task.attempt] += entry.event == "done"
    return {attempt[0] for attempt, count in done.items() if count == sizes.get(attempt[0])}
