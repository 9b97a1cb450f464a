"""Rows of jobs in the platform's store.

``jobs/ID`` is an accepted job, or the refusal of one, and ``jobs/ID-cancel`` a caller's request to
cancel it; they are written by the VM that received the caller's request. An accepted job is
written once. A refusal may be replaced, by a job or another refusal. Only the leader writes
``progress/ID``, ``queues/pending`` and ``workers/ID``, which tells whether tasks may start on a
worker and which may have runs there.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import attrs

from jaypier.core.codec import DecodeError, encoded_size, from_plain, to_compact
from jaypier.core.errors import JaypierError
from jaypier.jobs.model import Job, Step, TaskId, WorkerEntry
from jaypier.jobs.progress import JobProgress, restore_job
from jaypier.jobs.state import JobState
from jaypier.platform import (
    Condition,
    ConditionFailed,
    Put,
    Row,
    Transaction,
    WatchableTable,
)
from jaypier.platform.decoding import LeftOutRows, decode_valid

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
PENDING_KEY = "queues/pending"
RECORDED_WORKERS_TABLE = "workers"
CANCEL_SUFFIX = "-cancel"

MAX_STORED_TASKS = 100_000
"""Largest number of tasks of a valid row, several times what a caller can submit: a row of another
writer must not exhaust the memory of each leader."""

MAX_STORED_NUMBER = 1 << 53
"""Largest number in a valid row of a job."""

REFUSAL_MARGIN_SECONDS = 0.5
"""Time after a refusal from which a new request with the same id counts as a later one: more than
the VMs' views of the store's clock differ."""


def job_key(job_id: str) -> str:
    """Return the key of an accepted job."""
    return f"{JOBS_TABLE}/{job_id}"


def progress_key(job_id: str) -> str:
    """Return the key of a job's recorded progress."""
    return f"{PROGRESS_TABLE}/{job_id}"


def cancel_key(job_id: str) -> str:
    """Return the key of the request to cancel a job."""
    return f"{JOBS_TABLE}/{job_id}{CANCEL_SUFFIX}"


def worker_key(worker_id: str) -> str:
    """Return the key of the recorded entry of a worker that leaders have used."""
    return f"{RECORDED_WORKERS_TABLE}/{worker_id}"


CANCELLATION_GUARD_SECONDS = 10.0
"""Time after the cancellation of a job that is not stored in which requests with its id count as
sent before it: longer than callers wait for a response, and than the store delays a write."""


class JobTooLarge(JaypierError):
    """A job was not accepted because its encoding exceeds the longest row of the store."""


class JobRefused(JaypierError):
    """A job was refused, or its id cancelled, while this request for it was under way.

    :param seconds: time after which a new request with the id is accepted.
    """

    def __init__(self, message: str, seconds: float) -> None:
        super().__init__(message)
        self.seconds = seconds


@attrs.frozen
class Refusal:
    """Value of the row ``jobs/ID`` of a job that was refused, or cancelled without being stored.

    It keeps requests for the job that are under way, and their writes, from taking effect.

    :param refused_at: time by the store's clock, in seconds, up to which requests with the id are
        refused: that of the refusal, or later after a cancellation.
    """

    refused_at: float


def decode_refusal(value: Any) -> Refusal | None:
    """Return the refusal that a row of the jobs table contains, ``None`` if it has a job."""
    is_refusal = isinstance(value, dict) and value.keys() == {"refused_at"}
    return from_plain(value, Refusal) if is_refusal else None


@attrs.frozen
class JobChanges:
    """Accepted and cancelled jobs in rows of the jobs table.

    :param cancelled: ids of the jobs to cancel.
    :param refusals: refused jobs, as version of the row by id.
    :param version: version of the store up to which the changes are complete.
    :param versions: version of the row of each accepted job, by id.
    """

    accepted: list[Job]
    cancelled: list[str]
    version: int
    refusals: dict[str, int] = attrs.field(factory=dict)
    versions: dict[str, int] = attrs.field(factory=dict)


def decode_job_rows(
    rows: list[Row], version: int, left_out: LeftOutRows | None = None
) -> JobChanges:
    """Decode rows of the jobs table into jobs and cancellations; skip rows without a valid value.

    :param version: version of the store up to which the rows are complete.
    :param left_out: observes the rows that cannot be decoded.
    """
    left_out = left_out or LeftOutRows()
    cancellations = [row for row in rows if row.name.endswith(CANCEL_SUFFIX)]
    valid = decode_valid(cancellations, lambda value: value, left_out)
    cancelled = [row.name.removesuffix(CANCEL_SUFFIX) for row, _ in valid]
    others = [row for row in rows if not row.name.endswith(CANCEL_SUFFIX)]
    decoded = list(decode_valid(others, decode_job_or_refusal, left_out))
    versions = {row.name: row.version for row, _ in decoded}
    accepted = [job for row, job in decoded if isinstance(job, Job) and row.key == job_key(job.id)]
    refusals = {row.name: row.version for row, each in decoded if isinstance(each, Refusal)}
    return JobChanges(accepted, cancelled, version, refusals, versions)


def decode_job(value: Any) -> Job:
    """Decode the value of an accepted job's row.

    :raises DecodeError: when it is not a job.
    """
    job = from_plain(value, Job)
    if not 0 < len(job.steps) <= MAX_STORED_TASKS or not all(map(is_possible_step, job.steps)):
        raise DecodeError(["expected a job with steps whose numbers are in range"])
    if any(not 0 <= each < index for index, step in enumerate(job.steps) for each in step.after):
        raise DecodeError(["expected steps that come after earlier ones"])
    times = (abs(job.submitted_at), abs(job.first_start_at), job.interval_seconds)
    factors = (job.slack_factor, job.target_seconds)
    numbers = (job.priority, job.max_attempts, job.repeats, *times, *factors)
    tasks = sum(step.count for step in job.steps)
    if not all(0 <= each <= MAX_STORED_NUMBER for each in numbers) or tasks > MAX_STORED_TASKS:
        raise DecodeError([f"expected numbers from 0 to {MAX_STORED_NUMBER} and fewer tasks"])
    return job


def is_possible_step(step: Step) -> bool:
    """Whether the numbers of a stored step can be those of one; a comparison with NaN fails."""
    amounts = (*attrs.astuple(step.demand), step.estimated_seconds, step.max_per_worker)
    in_range = all(0 <= each <= MAX_STORED_NUMBER for each in amounts)
    return in_range and 0 < step.count <= MAX_STORED_TASKS


def decode_job_or_refusal(value: Any) -> Job | Refusal:
    """Decode the value of a row ``jobs/ID``.

    :raises DecodeError: when it is neither.
    """
    return decode_refusal(value) or decode_job(value)


def decode_job_row(row: Row) -> Job:
    """Decode the row of an accepted job."""
    return decode_job(row.value)


def decode_progress(value: Any) -> JobProgress | None:
    """Decode the value of a progress row; return ``None`` when there is no value."""
    return None if value is None else from_plain(value, JobProgress)


@attrs.frozen
class WorkerRecord:
    """Value of the row ``workers/ID``.

    It is written before the first task starts on the worker. Once no task may start there any more,
    it names the tasks with runs on it, so that the next leader does not have to wait for others
    when the worker cannot be reached.

    :param tasks: the only tasks that may have runs on the worker; ``None`` while tasks may start.
    """

    entry: WorkerEntry
    tasks: frozenset[TaskId] | None = None

    def to_value(self) -> dict[str, Any]:
        """Return the value of the row: the entry, and the names of the tasks if there are any."""
        value = to_compact(self.entry)
        return value if self.tasks is None else {**value, "tasks": sorted(map(str, self.tasks))}


def decode_worker_record(value: Any) -> WorkerRecord:
    """Decode the value of a recorded worker's row.

    :raises DecodeError: when it is not a worker's entry.
    :raises ValueError: when a task's name cannot be decoded.
    """
    entry = from_plain(value, WorkerEntry)
    tasks = from_plain(value.get("tasks"), list[str] | None)
    return WorkerRecord(entry, None if tasks is None else frozenset(map(TaskId.parse, tasks)))


def restore_jobs(
    jobs: Iterable[Job], progress_rows: Iterable[Row], left_out: LeftOutRows
) -> Iterator[JobState]:
    """Return the state of each job by its recorded progress.

    A job whose progress cannot be decoded is left out.

    :param left_out: observes the rows that cannot be decoded.
    """
    rows = {row.name: row for row in progress_rows}
    for job in jobs:
        row = rows.get(job.id)
        if row is None:
            yield restore_job(job, None)
            continue
        restored = decode_valid(
            [row], lambda value, job=job: restore_job(job, decode_progress(value)), left_out
        )
        yield from (state for _, state in restored)


class JobTable:
    """Reads and writes of jobs by the VMs that serve callers.

    :param table: the platform's store.
    :param on_stored: called with each row that this object has just stored.
    """

    def __init__(
        self, table: WatchableTable, on_stored: Callable[[Row], None] = lambda row: None
    ) -> None:
        self.table = table
        self.on_stored = on_stored

    async def accept(self, job: Job, received_at: float = math.inf) -> bool:
        """Store a job, unless a job with its id is stored already.

        An earlier refusal of the same id is replaced.

        :param received_at: time by the store's clock, in seconds, at which the request arrived.
        :returns: whether the stored job is this one or an earlier identical request; ``False``
            when a different job has the id.
        :raises JobTooLarge: when the encoded job exceeds the longest row.
        :raises JobRefused: when the id was refused after this request had arrived.
        :raises PlatformUnavailable: when the store does not answer.
        """
        key, value = job_key(job.id), to_compact(job)
        size, limit = encoded_size(value), self.table.max_row_bytes
        if size > limit:
            raise JobTooLarge(
                f"the job takes {size} bytes as it is kept, {limit} at most; split it"
            )
        row: Row | None = None
        while True:
            try:
                version = await self.replace(key, row, value)
                break
            except ConditionFailed as error:
                row = error.current_rows.get(key) or await self.table.read(key)
            refusal = None if row is None else decode_refusal(row.value)
            if refusal is None:
                return row is not None and decode_job_row(row).is_same_request(job)
            accepted_from = refusal.refused_at + REFUSAL_MARGIN_SECONDS
            if received_at < accepted_from:
                raise JobRefused(
                    f"not run: job {job.id} was refused or cancelled meanwhile",
                    accepted_from - self.table.store_time(),
                )
        self.on_stored(Row(key, value, version))
        return True

    async def refuse(self, job_id: str, row: Row | None = None, seconds: float = 0.0) -> Job | None:
        """Store that a job is refused, unless it has been accepted.

        Requests with its id that are still being served, here or at another VM, then cannot store
        the job any more.

        :param row: row of the job as far as it is known.
        :param seconds: time from now for which new requests with the id are refused as well.
        :returns: the accepted job with its id; ``None`` if it is refused.
        :raises PlatformUnavailable: when the store does not answer.
        """
        key = job_key(job_id)
        while True:
            until = self.table.store_time() + seconds
            earlier = None if row is None else decode_refusal(row.value)
            if earlier is not None:
                until = max(until, earlier.refused_at)
            try:
                await self.replace(key, row, to_compact(Refusal(until)))
                return None
            except ConditionFailed as error:
                row = error.current_rows.get(key) or await self.table.read(key)
            if row is not None and decode_refusal(row.value) is None:
                return decode_job_row(row)

    async def find_or_refuse(self, job_id: str) -> Job | None:
        """Return an accepted job; if it is not stored, refuse requests for it that are under way.

        Nothing is written if such requests are refused already.

        :raises PlatformUnavailable: when the store does not answer.
        """
        row = await self.table.read(job_key(job_id))
        refusal = None if row is None else decode_refusal(row.value)
        if row is not None and refusal is None:
            return None if row.value is None else decode_job_row(row)
        if refusal is not None and refusal.refused_at >= self.table.store_time():
            return None
        return await self.refuse(job_id, row, CANCELLATION_GUARD_SECONDS)

    async def replace(self, key: str, row: Row | None, value: Any) -> int:
        """Write a row if the store still contains ``row``, or none; return the new version.

        :raises ConditionFailed: when the row has changed.
        """
        condition = Condition(key, 0 if row is None else row.version)
        return await self.table.commit(Transaction([condition], [Put(key, value)]))

    async def forget_refusals(self, versions: Mapping[str, int]) -> None:
        """Delete the rows of refusals, but for those that have changed since.

        :param versions: version of the row of each refusal, by id of the job.
        :raises PlatformUnavailable: when the store does not answer.
        """
        conditions = [Condition(job_key(job_id), version) for job_id, version in versions.items()]
        while conditions:
            keys = [condition.key for condition in conditions]
            try:
                await self.table.commit(Transaction(conditions, [], keys))
                return
            except ConditionFailed as error:
                current = {row.key: row.version for row in error.current_rows.values()}
            unchanged = [each for each in conditions if current.get(each.key) == each.version]
            conditions = unchanged if len(unchanged) < len(conditions) else []

    async def find(self, job_id: str) -> Job | None:
        """Return an accepted job, or ``None`` when it is not stored.

        :raises DecodeError: when the row cannot be decoded.
        :raises PlatformUnavailable: when the store does not answer.
        """
        row = await self.table.read(job_key(job_id))
        if row is None or row.value is None or decode_refusal(row.value) is not None:
            return None
        return decode_job_row(row)

    async def progress(self, job_id: str) -> JobProgress | None:
        """Return the recorded progress of a job, or ``None`` when none is recorded.

        :raises DecodeError: when the row cannot be decoded.
        :raises PlatformUnavailable: when the store does not answer.
        """
        row = await self.table.read(progress_key(job_id))
        return None if row is None else decode_progress(row.value)

    async def cancel(self, job_id: str) -> None:
        """Store the request to cancel a job.

        :raises PlatformUnavailable: when the store does not answer.
        """
        key = cancel_key(job_id)
        version = await self.table.commit(Transaction(puts=[Put(key, {})]))
        self.on_stored(Row(key, {}, version))

    async def pending(self) -> dict[str, int]:
        """Return the number of jobs that have not started, by queue, as last written by the leader.

        :raises DecodeError: when the row cannot be decoded.
        :raises PlatformUnavailable: when the store does not answer.
        """
        row = await self.table.read(PENDING_KEY)
        return {} if row is None else from_plain(row.value, dict[str, int])
