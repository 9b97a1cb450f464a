"""What shows that a run has ended, or that its start can have no effect any more.

No other module concludes that a run without a reported end is over. The evidence, and the sentences
of the platform's specification that it rests on, are in ``docs/design/takeovers.md``. All functions
are pure: they perform no I/O and read no clock.
"""

import math
from enum import StrEnum

import attrs

from jaypier.jobs.model import TaskId, WorkerReport
from jaypier.jobs.state import Run, Worker

LONGEST_REQUEST_DELAY_SECONDS = 24.0
"""Longest time for which a request without a response is assumed to be still under way. The
specification says "seconds" and states no limit."""

DELIVERY_SECONDS = 1.0
"""Time after which a request has reached the process that runs then, if any: a connection is
established, and a response arrives or not."""


class Conclusion(StrEnum):
    """What is known of a run that no report lists, neither as active nor as ended.

    ``OPEN``: it may be active, or may still begin. ``ENDED``: neither, and no other leader can know
    more of it. ``ENDED_WITH_PROCESS``: neither, but a newer leader may know how it ended, so its
    task waits until the store has confirmed a later write.
    """

    OPEN = "open"
    ENDED = "ended"
    ENDED_WITH_PROCESS = "ended_with_process"


@attrs.frozen
class LostRun:
    """A run that was concluded to be over without a reported end.

    :param evidence: what showed it: ``"report"``, ``"next process"``, ``"successor"`` or
        ``"lease"``.
    """

    task: TaskId
    attempt: int
    worker_id: str
    evidence: str
    conclusion: Conclusion


def judge_by_report(run: Run, report: WorkerReport, requested_at: float) -> Conclusion:
    """Return what a report with all runs shows of one that it does not list.

    The report of another process than the run's does not tell how the run ended there. Nor does it
    tell that an earlier start request will not be carried out: the deadline and an answered stop
    hold for the process that has the clock, or has answered.

    :param requested_at: time on the local clock, in seconds, at which the report was requested.
    """
    is_void = report.clock > run.start_deadline
    if report.born <= run.born:
        is_settled = requested_at > run.reports_conclusive_after
        return Conclusion.ENDED if is_settled or is_void else Conclusion.OPEN
    if not run.is_sent:
        # Its start is withdrawn before it is sent.
        return Conclusion.OPEN
    is_refused = run.stop_answered_by == report.born and requested_at > run.stop_answered_at
    is_awaited = requested_at <= run.unanswered_at + LONGEST_REQUEST_DELAY_SECONDS
    may_begin = is_awaited and not is_refused and not is_void
    return Conclusion.OPEN if may_begin else Conclusion.ENDED_WITH_PROCESS


def judge_by_time(run: Run, now: float, lease_seconds: float, listed_alive_at: float) -> Conclusion:
    """Return what the time shows of a run on a worker that does not report.

    The lease, and the deadline of the start, are by the clock of the run's process. They tell
    nothing of a next process that may carry out a start without a response, and afterwards a
    renewal.

    :param now: time on the local clock, in seconds.
    :param lease_seconds: longest time on the local clock for which a lease may last.
    :param listed_alive_at: time on the local clock, in seconds, at which all processes were alive
        whose entries are listed.
    """
    over_at = run.worker.lease_expires_at
    if may_reach_next_process(run, listed_alive_at):
        over_at = max(over_at, run.unanswered_at + lease_seconds) + LONGEST_REQUEST_DELAY_SECONDS
    return Conclusion.ENDED if now > over_at else Conclusion.OPEN


def may_reach_next_process(run: Run, listed_alive_at: float) -> bool:
    """Whether another process than the run's may have received a start request.

    If it had no response, none has if the run's process was still alive when the request had been
    delivered: the next one holds nothing of what the one before has received.

    :param listed_alive_at: time on the local clock, in seconds, at which all processes were alive
        whose entries are listed.
    """
    worker = run.worker
    if run.unanswered_at == -math.inf:
        return run.is_confirmed and not run.is_listed and worker.latest_born > run.born
    has_entry = worker.is_registered and worker.entry.born == worker.latest_born == run.born
    alive_at = max(
        listed_alive_at if has_entry else -math.inf,
        worker.report_requested_at if worker.born == run.born else -math.inf,
    )
    return alive_at <= run.unanswered_at + DELIVERY_SECONDS


def judge_unknown_runs(worker: Worker, born: int) -> Conclusion:
    """Return what the report of a process shows of the runs that other leaders left on its worker.

    :param born: Unix time in milliseconds at which the process started.
    :returns: ``ENDED`` if it lists all that are left.
    """
    is_next = worker.used_born is not None and born > worker.used_born
    return Conclusion.ENDED_WITH_PROCESS if is_next else Conclusion.ENDED


def unknown_runs_end_at(worker: Worker, timeout_at: float, run_seconds: float) -> float:
    """Return until when a silent worker may have runs of other leaders.

    :param timeout_at: time on the local clock, in seconds, after which no run of an earlier leader
        is active, unless another process than the one that it used carries out its start.
    :param run_seconds: longest time for which a run goes on after the last extension of its lease.
    :returns: time on the local clock, in seconds.
    """
    # A worker that has reported has runs of an unknown job and has to report again.
    reported_runs_end_at = max(worker.last_report_at + run_seconds, worker.lease_expires_at)
    ends_at = max(timeout_at, reported_runs_end_at)
    has_restarted = worker.used_born is not None and worker.latest_born > worker.used_born
    return ends_at + LONGEST_REQUEST_DELAY_SECONDS if has_restarted else ends_at


def judge_silent_worker(is_unused: bool, confirmed_at: float, ends_at: float) -> Conclusion:
    """Return whether a worker that does not report may have runs of other leaders.

    :param is_unused: whether no other leader can have started a task on it.
    :param confirmed_at: time on the local clock, in seconds, at which the last confirmed write was
        sent.
    :param ends_at: see :func:`unknown_runs_end_at`.
    """
    return Conclusion.ENDED if is_unused or confirmed_at > ends_at else Conclusion.OPEN


def may_hold_runs(worker: Worker, now: float, confirmed_at: float) -> bool:
    """Whether anything may run on a deregistered worker, or begin there.

    :param now: time on the local clock, in seconds.
    :param confirmed_at: time on the local clock, in seconds, at which the last confirmed write was
        sent.
    """
    return bool(worker.runs or late_starts(worker, now)) or confirmed_at <= worker.lease_expires_at


def late_starts(worker: Worker, now: float) -> list[tuple[TaskId, int]]:
    """Return the runs on a worker of which a start request may still be under way.

    :param now: time on the local clock, in seconds.
    :returns: task and attempt number of each.
    """
    return [
        key
        for key, sent_at in worker.unanswered_starts.items()
        if now <= sent_at + LONGEST_REQUEST_DELAY_SECONDS
    ]
