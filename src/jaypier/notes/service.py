"""Applies release notes; each one is a single transaction, and any daemon can submit it."""

import asyncio
import random
import time
from collections.abc import Callable
from enum import StrEnum

import attrs
import structlog

from jaypier.core.codec import DecodeError, to_compact, to_plain
from jaypier.core.metrics import Metrics
from jaypier.jobs.model import WorkerEntry
from jaypier.jobs.rows import JobTable, cancel_key, job_key
from jaypier.jobs.worker_interface import WorkerDirectory
from jaypier.notes.cache import (
    HEAD_KEY,
    EntityCache,
    EntityRow,
    accepted_key,
    decode_version,
    entity_row_key,
)
from jaypier.notes.guarantees import find_shortfall
from jaypier.notes.model import ENTITY_KINDS, ReleaseNote, written_entities
from jaypier.notes.translation import build_job
from jaypier.notes.validation import NoteRefusal, RefusalKind, check_note
from jaypier.platform import (
    Condition,
    ConditionFailed,
    PlatformUnavailable,
    Put,
    Row,
    Transaction,
    WatchableTable,
)
from jaypier.platform.decoding import decode_valid

MAX_TRANSACTION_ROWS = 100
"""Maximum number of rows in one transaction of the store, its conditions included."""

SUBMIT_TIMEOUT_SECONDS = 5.0
"""Time to determine the outcome of a note; after it the outcome is reported as unknown."""

RETRY_DELAY_SECONDS = 0.1
"""Mean delay before a request to the store is retried."""

CATCH_UP_POLL_SECONDS = 0.02
"""Interval at which the cache is checked for a note that was committed first."""

CLEANUP_MARGIN = 2
"""Number of old jobs that a note checks for deletion in addition to twice the number of jobs that
it names, so that entities of ended jobs do not accumulate."""

log = structlog.get_logger()


class NoteStatus(StrEnum):
    """Outcome of a release note."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class NoteResult:
    """Outcome of a release note as reported to its operator.

    :param id: id of the note.
    :param version: configuration version that the note created, 0 unless accepted.
    :param kind: a ``RefusalKind`` value, empty unless refused.
    :param reasons: reasons of a refusal, or what to do when the outcome is unknown.
    """

    id: str
    status: NoteStatus
    version: int = 0
    kind: str = ""
    reasons: list[str] = attrs.field(factory=list)


class NoteService:
    """Validates and applies release notes.

    Each note replaces the row ``notes/head``, conditional on the row's version. This puts all
    notes in one order, and a transaction whose response was lost can only take effect as long as
    no other note has done so. A refusal replaces the row as well, so that an earlier copy of the
    same note, sent through another daemon, can no longer take effect after the refusal.

    :param directory: lists the workers, for the check of guarantees.
    :param cache: current entities, kept up to date by the ``ConfigurationWatcher``.
    :param wall_clock: returns Unix time in seconds.
    """

    def __init__(
        self,
        table: WatchableTable,
        directory: WorkerDirectory,
        cache: EntityCache,
        metrics: Metrics,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.table = table
        self.directory = directory
        self.jobs = JobTable(table)
        self.cache = cache
        self.metrics = metrics
        self.rng = rng
        self.wall_clock = wall_clock

    async def submit(self, note: ReleaseNote) -> NoteResult:
        """Apply a note atomically, or refuse it and change nothing.

        :returns: the outcome, ``UNKNOWN`` if it is not certain within ``SUBMIT_TIMEOUT_SECONDS``.
        """
        reason = "the store does not answer in time"
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_SECONDS):
                while True:
                    try:
                        result = await self.try_submit(note)
                        break
                    except PlatformUnavailable as error:
                        reason = str(error)
                        await asyncio.sleep(RETRY_DELAY_SECONDS * self.rng.uniform(0.6, 1.4))
                    except ConditionFailed as error:
                        await self.catch_up(error)
        except TimeoutError:
            text = f"{reason}; ask again for note {note.id!r}, or resend it unchanged"
            result = NoteResult(note.id, NoteStatus.UNKNOWN, reasons=[text])
        self.metrics.count(f"notes.{result.status}")
        log.info(
            "note submitted",
            note=note.id,
            status=str(result.status),
            version=result.version,
            kind=result.kind,
            before=self.cache.version,
            reasons=result.reasons[:3],
        )
        return result

    async def try_submit(self, note: ReleaseNote) -> NoteResult:
        """Validate a note against the cache, and apply or refuse it.

        :raises PlatformUnavailable: when the store does not respond.
        :raises ConditionFailed: when another note was committed first.
        """
        accepted = await self.table.read(accepted_key(note.id))
        if accepted is not None:
            return self.accepted_result(note.id, accepted)
        # Built before any other read, so that a note committed in between fails the condition.
        condition, version = (
            Condition(HEAD_KEY, self.cache.head_row_version),
            self.cache.version + 1,
        )
        ended = await self.ended_jobs(note)
        refusal = check_note(note, self.cache, ended).swap().default_value(None)
        transaction = Transaction([condition])
        if refusal is None:
            transaction = Transaction([condition], self.build_puts(note, version))
            refusal = await self.check_feasibility(note, transaction)
        if refusal is not None:
            head = Put(HEAD_KEY, {"version": version - 1})
            await self.table.commit(Transaction([condition], [head]))
            reasons = list(refusal.reasons)
            return NoteResult(note.id, NoteStatus.REFUSED, 0, refusal.kind.value, reasons)
        expired = await self.expired_job_rows(note, MAX_TRANSACTION_ROWS - count_rows(transaction))
        await self.table.commit(attrs.evolve(transaction, deletes=expired))
        return NoteResult(note.id, NoteStatus.ACCEPTED, version)

    def build_puts(self, note: ReleaseNote, version: int) -> list[Put]:
        """Return the writes that apply a note.

        :param version: configuration version that the note creates.
        """
        puts = [
            Put(HEAD_KEY, {"version": version}),
            Put(accepted_key(note.id), {"version": version}),
        ]
        for kind in ENTITY_KINDS:
            for entity in written_entities(note, kind):
                job_id = f"{entity.name}-{version}" if kind == "jobs" else ""
                row = EntityRow(version, to_plain(entity), job_id)
                puts.append(Put(entity_row_key(kind, entity.name), to_plain(row)))
            for name in getattr(note.withdrawn, kind):
                present = getattr(self.cache, kind)[name]
                entity, job_id = (present.job, present.id) if kind == "jobs" else (present, "")
                row = EntityRow(version, to_plain(entity), job_id, is_withdrawn=True)
                puts.append(Put(entity_row_key(kind, name), to_plain(row)))
        replaced = [*(job.name for job in note.changed.jobs), *note.withdrawn.jobs]
        puts += [Put(cancel_key(self.cache.jobs[name].id), {}) for name in replaced]
        for job in written_entities(note, "jobs"):
            scheduled = build_job(job, f"{job.name}-{version}", self.wall_clock())
            puts.append(Put(job_key(scheduled.id), to_compact(scheduled)))
        return puts

    async def check_feasibility(
        self, note: ReleaseNote, transaction: Transaction
    ) -> NoteRefusal | None:
        """Return why a valid note cannot be applied, or ``None``.

        Checks the size of its transaction and, if guarantees change, whether they all fit.
        """
        rows = count_rows(transaction)
        if rows > MAX_TRANSACTION_ROWS:
            reason = (
                f"the note needs {rows} rows and one write takes {MAX_TRANSACTION_ROWS}; split it"
            )
            return NoteRefusal(RefusalKind.INVALID, [reason])
        teams = list(self.cache.entities_after(note, "teams").values())
        previous = {team.name: team.guarantee for team in self.cache.teams.values()}
        if all(team.guarantee == previous.get(team.name, []) for team in teams):
            return None
        shortfall = find_shortfall(teams, await self.workers_in_service(note))
        return NoteRefusal(RefusalKind.SHORTFALL, shortfall) if shortfall else None

    async def workers_in_service(self, note: ReleaseNote) -> list[WorkerEntry]:
        """Return the workers in data centres that are in service once a note is applied."""
        centres = self.cache.entities_after(note, "data_centres").values()
        out_of_service = {centre.name for centre in centres if not centre.in_service}
        listing = await self.directory.snapshot()
        return [
            entry
            for entry in listing.entries.values()
            if entry is not None and entry.data_centre not in out_of_service
        ]

    async def ended_jobs(self, note: ReleaseNote) -> frozenset[str]:
        """Return the names of ended jobs that a note names or whose team it withdraws."""
        named = named_jobs(note)
        of_teams = {
            name
            for name, scheduled_job in self.cache.jobs.items()
            if scheduled_job.job.team in note.withdrawn.teams and not scheduled_job.is_withdrawn
        }
        names = [name for name in sorted(named | of_teams) if name in self.cache.jobs]
        ids = [self.cache.jobs[name].id for name in names]
        has_ended = await asyncio.gather(*(self.has_ended(job_id) for job_id in ids))
        return frozenset(name for name, ended in zip(names, has_ended, strict=True) if ended)

    async def has_ended(self, job_id: str) -> bool:
        """Return whether a job has a final status, or had one and its rows have been deleted.

        A job whose progress cannot be decoded counts as one that has not ended.
        """
        try:
            progress = await self.jobs.progress(job_id)
        except DecodeError:
            return False
        return (
            progress.status.is_final if progress is not None else not await self.is_stored(job_id)
        )

    async def is_stored(self, job_id: str) -> bool:
        """Return whether a job is stored, also if its row cannot be decoded."""
        try:
            return await self.jobs.find(job_id) is not None
        except DecodeError:
            return True

    async def expired_job_rows(self, note: ReleaseNote, max_rows: int) -> list[str]:
        """Return keys of entity rows whose jobs are no longer stored.

        Only a random sample is checked, which bounds the number of reads for one note.

        :param max_rows: maximum number of keys.
        """
        named = named_jobs(note)
        names = sorted(set(self.cache.jobs) - named)
        sample_size = min(max_rows, len(names), 2 * len(named) + CLEANUP_MARGIN)
        sample = self.rng.sample(names, max(0, sample_size))
        ids = [self.cache.jobs[name].id for name in sample]
        are_stored = await asyncio.gather(*(self.is_stored(job_id) for job_id in ids))
        return [
            entity_row_key("jobs", name)
            for name, is_stored in zip(sample, are_stored, strict=True)
            if not is_stored
        ]

    async def catch_up(self, error: ConditionFailed) -> None:
        """Wait until the cache contains the note that was committed first."""
        row = error.current_rows.get(HEAD_KEY)
        while row is not None and self.cache.head_row_version < row.version:
            await asyncio.sleep(CATCH_UP_POLL_SECONDS)

    async def status(self, note_id: str) -> NoteResult:
        """Return the outcome of a note.

        :returns: ``ACCEPTED``, or ``UNKNOWN`` if there is no record of the note or the store does
            not respond.
        """
        try:
            row = await self.table.read(accepted_key(note_id))
        except PlatformUnavailable as error:
            return NoteResult(note_id, NoteStatus.UNKNOWN, reasons=[f"{error}; ask again"])
        if row is None:
            reason = "not accepted so far; resend it unchanged to be certain"
            return NoteResult(note_id, NoteStatus.UNKNOWN, reasons=[reason])
        return self.accepted_result(note_id, row)

    def accepted_result(self, note_id: str, row: Row) -> NoteResult:
        """Return the outcome of a note by its row ``accepted/ID``; version 0 if that is odd."""
        decoded = decode_valid([row], decode_version, self.cache.left_out)
        version = next((version for _, version in decoded), 0)
        return NoteResult(note_id, NoteStatus.ACCEPTED, version)


def named_jobs(note: ReleaseNote) -> set[str]:
    """Return the names of jobs that a note adds, changes or withdraws."""
    return {job.name for job in written_entities(note, "jobs")} | set(note.withdrawn.jobs)


def count_rows(transaction: Transaction) -> int:
    """Return the number of rows in a transaction, its conditions included."""
    return len(transaction.conditions) + len(transaction.puts) + len(transaction.deletes)
