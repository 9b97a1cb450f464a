"""What accepted release notes have put in force, as rows of the store and in memory.

``notes/head`` counts the accepted notes and is replaced by each of them, so that notes have one
order. ``notes/KIND-NAME`` is an entity; ``accepted/ID`` remembers a note by its identity.
"""

from typing import Any

import attrs

from jaypier.core.codec import from_plain
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

NOTES_TABLE = "notes"
HEAD_KEY = "notes/head"

ENTITY_TYPES = {"teams": Team, "jobs": Job, "data_centres": DataCentre, "queues": Queue}


@attrs.frozen
class EntityRow:
    """One entity as it is stored.

    :param revision: number of the note that touched it last.
    :param entity: plain values of the entity.
    :param job_id: identity under which a job is scheduled, empty for other kinds.
    :param is_withdrawn: whether that note has withdrawn it.
    """

    revision: int
    entity: Any
    job_id: str = ""
    is_withdrawn: bool = False


@attrs.frozen
class ScheduledJob:
    """A job of a note.

    :param id: identity under which it is scheduled; a changed job gets a new one.
    :param is_withdrawn: whether a later note has cancelled it.
    """

    job: Job
    id: str
    is_withdrawn: bool = False


def entity_row_key(kind: str, name: str) -> str:
    """Return the key of an entity's row."""
    return f"{NOTES_TABLE}/{kind}-{name}"


def accepted_key(note_id: str) -> str:
    """Return the key of the row that remembers an accepted note."""
    return f"accepted/{note_id}"


class EntityCache:
    """All that is in force, kept up to date from changed rows.

    :ivar version: number of the newest note.
    :ivar head_row_version: version of the row that every note replaces.
    :ivar revisions: number of the note that touched each entity last.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Forget everything, before a whole reading."""
        self.version = 0
        self.head_row_version = 0
        self.teams: dict[str, Team] = {}
        self.jobs: dict[str, ScheduledJob] = {}
        self.data_centres: dict[str, DataCentre] = {}
        self.queues: dict[str, Queue] = {}
        self.revisions: dict[str, int] = {}

    def entities_after(self, note: ReleaseNote, kind: str) -> dict[str, Any]:
        """Return the entities of one kind, other than jobs, that exist once a note is applied."""
        written = {entity.name: entity for entity in written_entities(note, kind)}
        after = {**getattr(self, kind), **written}
        withdrawn = set(getattr(note.withdrawn, kind))
        return {name: entity for name, entity in after.items() if name not in withdrawn}

    def apply_rows(self, rows: list[Row]) -> None:
        """Take in rows of the notes table."""
        for row in rows:
            if row.key == HEAD_KEY:
                self.version, self.head_row_version = row.value["version"], row.version
            else:
                kind, _, name = row.name.partition("-")
                self.apply_entity(kind, name, row.value)

    def apply_entity(self, kind: str, name: str, value: Any) -> None:
        """Take in one entity, ``None`` for one whose row is gone."""
        if kind not in ENTITY_KINDS:
            return
        entities: dict[str, Any] = getattr(self, kind)
        if value is None:
            entities.pop(name, None)
            self.revisions.pop(entity_key(kind, name), None)
            return
        stored = from_plain(value, EntityRow)
        self.revisions[entity_key(kind, name)] = stored.revision
        entity = from_plain(stored.entity, ENTITY_TYPES[kind])
        if kind == "jobs":
            entities[name] = ScheduledJob(entity, stored.job_id, stored.is_withdrawn)
        elif stored.is_withdrawn:
            entities.pop(name, None)
        else:
            entities[name] = entity
