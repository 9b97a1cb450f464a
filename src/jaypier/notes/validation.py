"""Checks a release note as a whole against the configuration in force."""

from collections import Counter
from enum import StrEnum

import attrs
from expression import Error, Ok, Result

from jaypier.notes.cache import EntityCache
from jaypier.notes.model import ENTITY_KINDS, ReleaseNote, touched_keys, written_entities


class RefusalKind(StrEnum):
    """Why a note is not accepted."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    SHORTFALL = "shortfall"


@attrs.frozen
class NoteRefusal:
    """A note that was not accepted; nothing of it was applied.

    :param reasons: one line for each mistake, conflict or missing guarantee.
    """

    kind: RefusalKind
    reasons: list[str]


def check_note(
    note: ReleaseNote, cache: EntityCache, ended: frozenset[str]
) -> Result[None, NoteRefusal]:
    """Check a note against what it would change.

    :param ended: jobs of which nothing more can be changed.
    :returns: ``Ok`` when it can be applied, else every mistake or every conflict.
    """
    conflicts = _find_conflicts(note, cache)
    if conflicts:
        return Error(NoteRefusal(RefusalKind.CONFLICT, conflicts))
    errors = [
        *_find_repeated_entities(note),
        *_find_existence_errors(note, cache, ended),
        *_find_missing_teams(note, cache, ended),
        *_find_repeated_shapes(note),
        *_find_shared_keys(note, cache),
    ]
    if errors:
        return Error(NoteRefusal(RefusalKind.INVALID, errors))
    return Ok(None)


def _find_conflicts(note: ReleaseNote, cache: EntityCache) -> list[str]:
    """Name what has changed since the version that the note was written against."""
    if note.against is None:
        return []
    if note.against > cache.version:
        return [
            f"against is {note.against}, but the configuration is at {cache.version}; read it again"
        ]
    return [
        f"{key} changed in version {cache.revisions[key]}, after {note.against}; "
        "read it again and resubmit under a new id"
        for key in touched_keys(note)
        if cache.revisions.get(key, 0) > note.against
    ]


def _find_repeated_entities(note: ReleaseNote) -> list[str]:
    counts = Counter(touched_keys(note))
    return [f"{key} is named {count} times" for key, count in counts.items() if count > 1]


def _existing_names(cache: EntityCache, kind: str, ended: frozenset[str]) -> set[str]:
    """Return the names of one kind that exist; a job exists until it has ended."""
    if kind != "jobs":
        return set(getattr(cache, kind))
    return {name for name, job in cache.jobs.items() if not job.is_withdrawn} - ended


def _find_existence_errors(
    note: ReleaseNote, cache: EntityCache, ended: frozenset[str]
) -> list[str]:
    """Find additions of what exists and changes or withdrawals of what does not."""
    errors = []
    for kind in ENTITY_KINDS:
        existing = _existing_names(cache, kind, ended)
        errors += [
            f"{kind}/{entity.name} exists already; use 'changed'"
            for entity in getattr(note.added, kind)
            if entity.name in existing
        ]
        changed = [entity.name for entity in getattr(note.changed, kind)]
        errors += [
            f"{kind}/{name} does not exist; use 'added' or correct the name"
            for name in [*changed, *getattr(note.withdrawn, kind)]
            if name not in existing
        ]
    return errors


def _find_missing_teams(note: ReleaseNote, cache: EntityCache, ended: frozenset[str]) -> list[str]:
    """Find jobs whose team does not exist once the note is applied."""
    teams = {*cache.teams, *(team.name for team in note.added.teams)} - set(note.withdrawn.teams)
    kept = _existing_names(cache, "jobs", ended) - set(note.withdrawn.jobs)
    jobs = {name: cache.jobs[name].job for name in kept}
    jobs |= {job.name: job for job in written_entities(note, "jobs")}
    return [
        f"jobs/{job.name} belongs to team {job.team!r}, which would not exist; "
        "add the team or withdraw the job"
        for job in jobs.values()
        if job.team not in teams
    ]


def _find_repeated_shapes(note: ReleaseNote) -> list[str]:
    return [
        f"teams/{team.name} names shape {name!r} {count} times"
        for team in written_entities(note, "teams")
        for name, count in Counter(shape.name for shape in team.guarantee).items()
        if count > 1
    ]


def _find_shared_keys(note: ReleaseNote, cache: EntityCache) -> list[str]:
    """Find keys that two teams would have once the note is applied."""
    teams = cache.entities_after(note, "teams").values()
    key_owners = [(key, team.name) for team in teams for key in set(team.keys)]
    counts = Counter(key for key, _ in key_owners)
    return [
        f"teams/{name} has a key that another team has; give each its own"
        for key, name in key_owners
        if counts[key] > 1
    ]
