"""Rows of jobs in the platform's store.

``jobs/ID`` is a job as it was accepted, ``jobs/ID-cancel`` its caller's wish to cancel it; both are
written once, by the VM that the caller spoke to. ``progress/ID``, ``queues/pending`` and
``workers/ID``, a worker that leaders have used, belong to the leader.
"""

from typing import Any

import attrs

from jaypier.core.codec import encoded_size, from_plain, to_compact
from jaypier.core.errors import JaypierError
from jaypier.jobs.model import Job
from jaypier.jobs.progress import JobProgress
from jaypier.platform import Condition, ConditionFailed, Put, Row, Transaction, WatchableTable

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
PENDING_KEY = "queues/pending"
RECORDED_WORKERS_TABLE = "workers"
CANCEL_SUFFIX = "-cancel"


def job_key(job_id: str) -> str:
    """Return the key of a job as it was accepted."""
    return f"{JOBS_TABLE}/{job_id}"


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"{PROGRESS_TABLE}/{job_id}"


def cancel_key(job_id: str) -> str:
    """Return the key of the wish to cancel a job."""
    return f"{JOBS_TABLE}/{job_id}{CANCEL_SUFFIX}"


def worker_key(worker_id: str) -> str:
    """Return the key of a worker that leaders have used."""
    return f"{RECORDED_WORKERS_TABLE}/{worker_id}"


class JobTooLarge(JaypierError):
    """A job does not fit a row of the store; it was not accepted."""


@attrs.frozen
class JobChanges:
    """Jobs that were accepted and cancelled.

    :param version: version of the store up to which this is complete.
    """

    accepted: list[Job]
    cancelled: list[str]
    version: int


def decode_job_rows(rows: list[Row], version: int) -> JobChanges:
    """Sort rows of the jobs table into jobs and cancellations."""
    accepted, cancelled = [], []
    for row in rows:
        name = row.name
        if row.value is None:
            continue
        if name.endswith(CANCEL_SUFFIX):
            cancelled.append(name.removesuffix(CANCEL_SUFFIX))
        else:
            accepted.append(decode_job_row(row))
    return JobChanges(accepted, cancelled, version)


def decode_job_row(row: Row) -> Job:
    """Decode a job as it was accepted."""
    return from_plain(row.value, Job)


def decode_progress(value: Any) -> JobProgress | None:
    """Decode a job's progress; ``None`` when there is none."""
    return None if value is None else from_plain(value, JobProgress)


class JobTable:
    """Jobs as the VMs that callers speak to write and read them.

    :param table: the platform's store.
    """

    def __init__(self, table: WatchableTable) -> None:
        self.table = table

    async def accept(self, job: Job) -> bool:
        """Store a job; return whether it, or the same job before, is stored now.

        :returns: ``False`` when another job has its identity.
        :raises JobTooLarge: when it does not fit a row.
        :raises PlatformUnavailable: when there is no answer.
        """
        key, value = job_key(job.id), to_compact(job)
        size, limit = encoded_size(value), self.table.max_row_bytes
        if size > limit:
            raise JobTooLarge(
                f"the job takes {size} bytes as it is kept, {limit} at most; split it"
            )
        transaction = Transaction([Condition(key, 0)], [Put(key, value)])
        try:
            await self.table.commit(transaction)
        except ConditionFailed as error:
            row = error.current_rows.get(key) or await self.table.read(key)
            return row is not None and decode_job_row(row).is_same_request(job)
        return True

    async def find(self, job_id: str) -> Job | None:
        """Return an accepted job, or ``None``.

        :raises PlatformUnavailable: when there is no answer.
        """
        row = await self.table.read(job_key(job_id))
        return None if row is None or row.value is None else decode_job_row(row)

    async def progress(self, job_id: str) -> JobProgress | None:
        """Return the recorded progress of a job, or ``None``.

        :raises PlatformUnavailable: when there is no answer.
        """
        row = await self.table.read(progress_key(job_id))
        return None if row is None else decode_progress(row.value)

    async def cancel(self, job_id: str) -> None:
        """Store the wish to cancel a job.

        :raises PlatformUnavailable: when there is no answer.
        """
        await self.table.commit(Transaction(puts=[Put(cancel_key(job_id), {})]))

    async def pending(self) -> dict[str, int]:
        """Return the number of jobs of each queue that have not begun.

        :raises PlatformUnavailable: when there is no answer.
        """
        row = await self.table.read(PENDING_KEY)
        return dict(row.value) if row is not None and row.value else {}
