"""Checks a release note as a whole against the configuration in force."""

from collections import Counter
from enum import StrEnum

import attrs
from expression import Error, Ok, Result

from jaypier.notes.book import NoteBook
from jaypier.notes.model import KINDS, ReleaseNote, touched_keys, written_entities


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
    note: ReleaseNote, book: NoteBook, ended: frozenset[str]
) -> Result[None, NoteRefusal]:
    """Check a note against what it would change.

    :param ended: jobs of which nothing more can be changed.
    :returns: ``Ok`` when it can be applied, else every mistake or every conflict.
    """
    conflicts = _conflicts(note, book)
    if conflicts:
        return Error(NoteRefusal(RefusalKind.CONFLICT, conflicts))
    mistakes = [
        *_repeated_entities(note),
        *_wrong_existence(note, book, ended),
        *_dangling_teams(note, book, ended),
        *_repeated_shapes(note),
        *_shared_keys(note, book),
    ]
    if mistakes:
        return Error(NoteRefusal(RefusalKind.INVALID, mistakes))
    return Ok(None)


def _conflicts(note: ReleaseNote, book: NoteBook) -> list[str]:
    """Name what has changed since the version that the note was written against."""
    if note.against is None:
        return []
    if note.against > book.version:
        return [
            f"against is {note.against}, but the configuration is at {book.version}; read it again"
        ]
    return [
        f"{key} changed in version {book.revisions[key]}, after {note.against}; "
        "read it again and resubmit under a new id"
        for key in touched_keys(note)
        if book.revisions.get(key, 0) > note.against
    ]


def _repeated_entities(note: ReleaseNote) -> list[str]:
    counts = Counter(touched_keys(note))
    return [f"{key} is named {count} times" for key, count in counts.items() if count > 1]


def _present(book: NoteBook, kind: str, ended: frozenset[str]) -> set[str]:
    """Return the names of one kind that exist; a job exists until it has ended."""
    if kind != "jobs":
        return set(getattr(book, kind))
    return {name for name, job in book.jobs.items() if not job.is_withdrawn} - ended


def _wrong_existence(note: ReleaseNote, book: NoteBook, ended: frozenset[str]) -> list[str]:
    """Find additions of what exists and changes or withdrawals of what does not."""
    mistakes = []
    for kind in KINDS:
        present = _present(book, kind, ended)
        mistakes += [
            f"{kind}/{entity.name} exists already; use 'changed'"
            for entity in getattr(note.added, kind)
            if entity.name in present
        ]
        changed = [entity.name for entity in getattr(note.changed, kind)]
        mistakes += [
            f"{kind}/{name} does not exist; use 'added' or correct the name"
            for name in [*changed, *getattr(note.withdrawn, kind)]
            if name not in present
        ]
    return mistakes


def _dangling_teams(note: ReleaseNote, book: NoteBook, ended: frozenset[str]) -> list[str]:
    """Find jobs whose team does not exist once the note is applied."""
    teams = {*book.teams, *(team.name for team in note.added.teams)} - set(note.withdrawn.teams)
    kept = _present(book, "jobs", ended) - set(note.withdrawn.jobs)
    jobs = {name: book.jobs[name].job for name in kept}
    jobs |= {job.name: job for job in written_entities(note, "jobs")}
    return [
        f"jobs/{job.name} belongs to team {job.team!r}, which would not exist; "
        "add the team or withdraw the job"
        for job in jobs.values()
        if job.team not in teams
    ]


def _repeated_shapes(note: ReleaseNote) -> list[str]:
    return [
        f"teams/{team.name} names shape {name!r} {count} times"
        for team in written_entities(note, "teams")
        for name, count in Counter(shape.name for shape in team.guarantee).items()
        if count > 1
    ]


def _shared_keys(note: ReleaseNote, book: NoteBook) -> list[str]:
    """Find keys that two teams would have once the note is applied."""
    teams = book.entities_after(note, "teams").values()
    holders = [(key, team.name) for team in teams for key in set(team.keys)]
    counts = Counter(key for key, _ in holders)
    return [
        f"teams/{name} has a key that another team has; give each its own"
        for key, name in holders
        if counts[key] > 1
    ]
