"""What shows that a run has ended, or that its start can have no effect any more.

No other module concludes that a run without a reported end is over. The evidence, and the sentences
of the platform's specification that it rests on, are in ``docs/design/takeovers.md``. All functions
are pure: they perform no I/O and read no clock.
"""

from enum import StrEnum

import attrs

from jaypier.jobs.model import TaskId, WorkerReport
from jaypier.jobs.state import Run


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

    The report of another process than the run's does not tell how the run ended there.

    :param requested_at: time on the local clock, in seconds, at which the report was requested.
    """
    is_settled = requested_at > run.reports_conclusive_after
    if not is_settled and report.clock <= run.start_deadline:
        return Conclusion.OPEN
    return Conclusion.ENDED_WITH_PROCESS if report.born > run.born else Conclusion.ENDED


def open_until(run: Run) -> float:
    """Return until when a run on a silent worker may be active, or may begin.

    :returns: time on the local clock, in seconds.
    """
    return run.worker.lease_expires_at
