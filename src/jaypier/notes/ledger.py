"""The accepted configuration as rows and objects of the platform.

Rows: ``config/head`` names the newest version and the newest snapshot, ``config/log/N`` holds
entry N, ``config/notes/ID`` the version that a note made, ``outcomes/JOB`` the final answer to
a job. Every commit is one transaction that is conditional on the head.
"""

import attrs

from jaypier.core.codec import DecodeError, from_json, from_plain, to_json, to_plain
from jaypier.notes.configuration import (
    Configuration,
    ConfigurationEntry,
    JobOutcome,
)
from jaypier.notes.errors import (
    AlreadyAccepted,
    CommitUnknown,
    HeadMoved,
    LedgerError,
    LedgerUnavailable,
)
from jaypier.platform import (
    Condition,
    ConditionFailed,
    Platform,
    PlatformUnavailable,
    Put,
    Row,
    Transaction,
)

HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
NOTES_PREFIX = "config/notes/"
OUTCOMES_PREFIX = "outcomes/"

SNAPSHOT_INTERVAL = 200
"""Versions between two snapshots."""

COMMIT_ATTEMPTS = 3
"""Attempts at one commit whose answer was lost."""


@attrs.frozen
class Head:
    """Value of the head row.

    :param version: newest accepted version.
    :param snapshot: newest version that is stored as a snapshot object; 0 when there is none.
    """

    version: int = 0
    snapshot: int = 0


@attrs.frozen
class HeadReading:
    """A head as it was read, with the row version that a commit is conditional on."""

    head: Head
    row_version: int


@attrs.frozen
class NoteRecord:
    """Value of a note's row."""

    version: int


def log_key(version: int) -> str:
    """Return the key of the log row of a version; keys sort by version."""
    return f"{LOG_PREFIX}{version:012d}"


def snapshot_name(version: int) -> str:
    """Return the name of the snapshot object of a version."""
    return f"config-snapshot-{version:012d}"


class Ledger:
    """Reads and commits configuration entries.

    :param platform: the platform whose table and object store keep the ledger.
    :param snapshot_interval: versions between two snapshots; older log rows are deleted.
    """

    def __init__(self, platform: Platform, snapshot_interval: int = SNAPSHOT_INTERVAL) -> None:
        self.platform = platform
        self.snapshot_interval = snapshot_interval

    async def read_head(self) -> HeadReading:
        """Return the newest head.

        :raises LedgerUnavailable: when the table service does not answer.
        """
        row = await self._read(HEAD_KEY)
        if row is None:
            return HeadReading(Head(), 0)
        return HeadReading(_decode(row.value, Head), row.version)

    async def load(self, known: Configuration, head: Head) -> list[ConfigurationEntry]:
        """Return the log entries after ``known`` up to ``head``.

        :raises LedgerUnavailable: when the table service does not answer.
        :raises LedgerError: when an entry is missing; load the snapshot instead.
        """
        missing = range(known.version + 1, head.version + 1)
        if len(missing) > 8:
            rows = await self._scan(LOG_PREFIX)
            entries = [_decode(row.value, ConfigurationEntry) for row in rows]
            entries = [entry for entry in entries if entry.version in missing]
        else:
            rows = [await self._read(log_key(version)) for version in missing]
            entries = [_decode(row.value, ConfigurationEntry) for row in rows if row is not None]
        if [entry.version for entry in entries] != list(missing):
            raise LedgerError(f"log lacks entries between {known.version} and {head.version}")
        return entries

    async def load_snapshot(self, head: Head) -> Configuration:
        """Return the newest snapshot that ``head`` names.

        :raises LedgerUnavailable: when the object store does not answer or lacks it.
        """
        if head.snapshot == 0:
            return Configuration()
        try:
            data = await self.platform.objects.get(snapshot_name(head.snapshot))
        except PlatformUnavailable as error:
            raise LedgerUnavailable(str(error)) from error
        if data is None:
            raise LedgerUnavailable(f"snapshot {head.snapshot} is missing from the object store")
        return _decode_json(data)

    async def find_note(self, note_id: str) -> int | None:
        """Return the version that a note made, or ``None`` when it is not recorded.

        :raises LedgerUnavailable: when the table service does not answer.
        """
        row = await self._read(NOTES_PREFIX + note_id)
        return None if row is None else _decode(row.value, NoteRecord).version

    async def is_unrecorded(self, note_id: str) -> bool:
        """Return whether a note is certainly not recorded now.

        A read may be stale; the conditions of a transaction are held against the present rows.

        :raises LedgerUnavailable: when the table service does not answer.
        """
        try:
            await self.platform.table.transact(Transaction([Condition(NOTES_PREFIX + note_id, 0)]))
        except ConditionFailed:
            return False
        except PlatformUnavailable as error:
            raise LedgerUnavailable(str(error)) from error
        return True

    async def find_outcome(self, job: str) -> JobOutcome | None:
        """Return the final outcome of a job, or ``None`` when it has none yet.

        :raises LedgerUnavailable: when the table service does not answer.
        """
        row = await self._read(OUTCOMES_PREFIX + job)
        return None if row is None else _decode(row.value, JobOutcome)

    async def commit(self, entry: ConfigurationEntry, base: HeadReading) -> None:
        """Commit an entry that was checked against ``base``.

        A lost answer is resolved by repeating the same transaction: it can only apply once.

        :raises HeadMoved: when another entry was committed first.
        :raises AlreadyAccepted: when a note of this identity was committed before.
        :raises LedgerUnavailable: when the store refused before any effect.
        :raises CommitUnknown: when it cannot be told whether the entry was committed.
        """
        transaction = self._commit_transaction(entry, base)
        may_have_applied = False
        for _ in range(COMMIT_ATTEMPTS):
            try:
                await self.platform.table.transact(transaction)
                return
            except ConditionFailed as error:
                await self._raise_conflict(entry, may_have_applied, error)
                return
            except PlatformUnavailable as error:
                may_have_applied = may_have_applied or error.effect_unknown
                last_error = error
        if may_have_applied:
            raise CommitUnknown(str(last_error)) from last_error
        raise LedgerUnavailable(str(last_error)) from last_error

    def _commit_transaction(self, entry: ConfigurationEntry, base: HeadReading) -> Transaction:
        head = attrs.evolve(base.head, version=entry.version)
        record = NoteRecord(entry.version)
        outcomes = [
            Put(OUTCOMES_PREFIX + job, to_plain(outcome)) for job, outcome in entry.retired.items()
        ]
        return Transaction(
            conditions=[
                Condition(HEAD_KEY, base.row_version),
                Condition(NOTES_PREFIX + entry.note.id, 0),
            ],
            puts=[
                Put(HEAD_KEY, to_plain(head)),
                Put(log_key(entry.version), to_plain(entry)),
                Put(NOTES_PREFIX + entry.note.id, to_plain(record)),
                *outcomes,
            ],
        )

    async def _raise_conflict(
        self, entry: ConfigurationEntry, may_have_applied: bool, error: ConditionFailed
    ) -> None:
        """Tell our own commit, whose answer was lost, from somebody else's.

        Returns normally when this entry was committed by an earlier attempt.
        """
        try:
            if await self.is_unrecorded(entry.note.id):
                raise HeadMoved(str(error)) from error
            version = await self.find_note(entry.note.id)
        except LedgerUnavailable as unavailable:
            if may_have_applied:
                raise CommitUnknown(str(unavailable)) from unavailable
            raise
        if version is None:
            raise CommitUnknown("the note is recorded, but its version cannot be read now")
        if not (may_have_applied and version == entry.version):
            raise AlreadyAccepted(entry.note.id, version) from error

    async def compact(self, configuration: Configuration) -> None:
        """Store a snapshot and delete the log rows that it makes superfluous.

        The log keeps one interval before the snapshot, for daemons that lag a little.

        :raises LedgerError: when the platform fails; the next snapshot catches up.
        """
        reading = await self.read_head()
        if reading.head.snapshot >= configuration.version:
            return
        try:
            data = to_json(configuration)
            await self.platform.objects.put(snapshot_name(configuration.version), data)
            head = attrs.evolve(reading.head, snapshot=configuration.version)
            oldest = reading.head.snapshot - self.snapshot_interval
            superfluous = range(max(1, oldest), reading.head.snapshot)
            await self.platform.table.transact(
                Transaction(
                    [Condition(HEAD_KEY, reading.row_version)],
                    [Put(HEAD_KEY, to_plain(head))],
                    [log_key(version) for version in superfluous],
                )
            )
        except ConditionFailed as error:
            raise HeadMoved(str(error)) from error
        except PlatformUnavailable as error:
            raise LedgerUnavailable(str(error)) from error

    async def _read(self, key: str) -> Row | None:
        try:
            return await self.platform.table.read(key)
        except PlatformUnavailable as error:
            raise LedgerUnavailable(str(error)) from error

    async def _scan(self, prefix: str) -> list[Row]:
        try:
            return await self.platform.table.scan(prefix)
        except PlatformUnavailable as error:
            raise LedgerUnavailable(str(error)) from error


def _decode(value: object, expected: type) -> object:
    try:
        return from_plain(value, expected)
    except DecodeError as error:
        raise LedgerError(f"ledger holds an unreadable {expected.__name__}: {error}") from error


def _decode_json(data: bytes) -> Configuration:
    try:
        return from_json(data, Configuration)
    except DecodeError as error:
        raise LedgerError(f"ledger holds an unreadable snapshot: {error}") from error
