"""Entities set by accepted release notes: their rows in the store and a cache in memory.

``notes/head`` holds the number of accepted notes. Each accepted note replaces it, which puts all
notes in one order. ``notes/KIND-NAME`` is an entity; ``accepted/ID`` records that the note with
this id was accepted.
"""

from typing import Any

import attrs

from jaypier.core.codec import DecodeError, from_plain
from jaypier.notes.model import (
    ENTITY_KINDS,
    DataCentre,
    Job,
    Queue,
    ReleaseNote,
    Team,
    entity_key,
    written_entities,
)
from jaypier.platform import Row
from jaypier.platform.decoding import LeftOutRows

NOTES_TABLE = "notes"
HEAD_KEY = "notes/head"

MAX_VERSION = 1 << 53
"""Largest valid number of a note."""

ENTITY_TYPES = {"teams": Team, "jobs": Job, "data_centres": DataCentre, "queues": Queue}


@attrs.frozen
class EntityRow:
    """Row of one entity in the store.

    :param revision: number of the note that last added, changed or withdrew the entity.
    :param entity: plain JSON values of the entity.
    :param job_id: id under which a job is scheduled, empty for other kinds.
    :param is_withdrawn: whether that note withdrew the entity.
    """

    revision: int
    entity: Any
    job_id: str = ""
    is_withdrawn: bool = False


@attrs.frozen
class ScheduledJob:
    """A job from a release note, with the id under which it is scheduled.

    :param id: id in the scheduler; a changed job gets a new one.
    :param is_withdrawn: whether a later note withdrew the job, which cancels it.
    """

    job: Job
    id: str
    is_withdrawn: bool = False


def entity_row_key(kind: str, name: str) -> str:
    """Return the key of an entity's row, for example ``"notes/teams-clinic"``."""
    return f"{NOTES_TABLE}/{kind}-{name}"


def accepted_key(note_id: str) -> str:
    """Return the key of the row that records an accepted note."""
    return f"accepted/{note_id}"


def decode_version(value: Any) -> int:
    """Decode the value of a row that holds the number of a note.

    :raises DecodeError: if it holds none.
    """
    version = value.get("version") if isinstance(value, dict) else None
    if type(version) is not int or not 0 <= version <= MAX_VERSION:
        raise DecodeError([f"expected an object with a version from 0 to {MAX_VERSION}"])
    return version


class EntityCache:
    """Current entities of all kinds in memory, kept up to date from changed rows.

    A row that cannot be decoded changes nothing.

    Entities are stored by name. Withdrawn entities are left out, except jobs, which are kept with
    ``is_withdrawn`` set until their rows are deleted.

    :param left_out: observes the rows that cannot be decoded.
    :ivar version: number of the newest applied note, which is the configuration version.
    :ivar head_row_version: store version of the row ``notes/head``.
    :ivar has_valid_head: whether that row can be decoded, if there is one; otherwise the version
        is that of the newest entity.
    :ivar revisions: number of the last note that touched each entity, by entity key.
    """

    def __init__(self, left_out: LeftOutRows | None = None) -> None:
        self.left_out = left_out or LeftOutRows()
        self.clear()

    def clear(self) -> None:
        """Remove everything, before a snapshot is applied."""
        self.version = 0
        self.head_row_version = 0
        self.has_valid_head = True
        self.teams: dict[str, Team] = {}
        self.jobs: dict[str, ScheduledJob] = {}
        self.data_centres: dict[str, DataCentre] = {}
        self.queues: dict[str, Queue] = {}
        self.revisions: dict[str, int] = {}

    def entities_after(self, note: ReleaseNote, kind: str) -> dict[str, Any]:
        """Return the entities of a kind, by name, as they would be once a note is applied.

        :param kind: any kind but ``"jobs"``, which has no plain entities here.
        """
        written = {entity.name: entity for entity in written_entities(note, kind)}
        after = {**getattr(self, kind), **written}
        withdrawn = set(getattr(note.withdrawn, kind))
        return {name: entity for name, entity in after.items() if name not in withdrawn}

    def apply_rows(self, rows: list[Row]) -> None:
        """Apply changed rows of the notes table."""
        for row in rows:
            try:
                if row.key == HEAD_KEY:
                    self.apply_head(row)
                else:
                    kind, _, name = row.name.partition("-")
                    self.apply_entity(kind, name, row.value)
            except Exception as error:
                self.left_out.observe(row, error)
        if not self.has_valid_head:
            self.version = max([self.version, *self.revisions.values()])

    def apply_head(self, row: Row) -> None:
        """Apply the row ``notes/head``; if it is not valid, the next note replaces it."""
        self.head_row_version = 0 if row.value is None else row.version
        self.has_valid_head = False
        if row.value is not None:
            self.version = decode_version(row.value)
            self.has_valid_head = True

    def apply_entity(self, kind: str, name: str, value: Any) -> None:
        """Apply the row of one entity; rows of unknown kinds are ignored.

        :param value: plain value of an ``EntityRow``, ``None`` for a deleted row.
        """
        if kind not in ENTITY_KINDS:
            return
        entities: dict[str, Any] = getattr(self, kind)
        if value is None:
            entities.pop(name, None)
            self.revisions.pop(entity_key(kind, name), None)
            return
        stored = from_plain(value, EntityRow)
        entity = from_plain(stored.entity, ENTITY_TYPES[kind])
        if not 0 <= stored.revision <= MAX_VERSION:
            raise DecodeError([f"expected a revision from 0 to {MAX_VERSION}"])
        self.revisions[entity_key(kind, name)] = stored.revision
        if kind == "jobs":
            entities[name] = ScheduledJob(entity, stored.job_id, stored.is_withdrawn)
        elif stored.is_withdrawn:
            entities.pop(name, None)
        else:
            entities[name] = entity
