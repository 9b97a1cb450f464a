"""Checks a release note as a whole against the configuration in force."""

from collections import Counter
from enum import StrEnum

import attrs
from expression import Error, Ok, Result

from jaypier.notes.configuration import Configuration
from jaypier.notes.model import Job, ReleaseNote, Team, touched_keys


class RefusalKind(StrEnum):
    """Why a note is not accepted."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    SHORTFALL = "shortfall"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class NoteRefusal:
    """A note that was not accepted; nothing of it was applied.

    :param reasons: one line for each mistake, conflict or missing guarantee.
    """

    kind: RefusalKind
    reasons: list[str]


def check_note(note: ReleaseNote, configuration: Configuration) -> Result[None, NoteRefusal]:
    """Check a note against the configuration that it would change.

    :returns: ``Ok`` when it can be applied, else every mistake or every conflict.
    """
    conflicts = _conflicts(note, configuration)
    if conflicts:
        return Error(NoteRefusal(RefusalKind.CONFLICT, conflicts))
    mistakes = [
        *_repeated_entities(note),
        *_wrong_existence(note, configuration),
        *_dangling_teams(note, configuration),
        *_repeated_shapes(note),
    ]
    if mistakes:
        return Error(NoteRefusal(RefusalKind.INVALID, mistakes))
    return Ok(None)


def _conflicts(note: ReleaseNote, configuration: Configuration) -> list[str]:
    """Name what has changed since the version that the note was written against."""
    if note.against is None:
        return []
    if note.against > configuration.version:
        return [
            f"against is {note.against}, but the configuration is at {configuration.version}; "
            "read it again"
        ]
    return [
        f"{key} changed in version {configuration.revisions[key]}, after {note.against}; "
        "read it again and resubmit under a new id"
        for key in touched_keys(note)
        if configuration.revisions.get(key, 0) > note.against
    ]


def _repeated_entities(note: ReleaseNote) -> list[str]:
    counts = Counter(touched_keys(note))
    return [f"{key} is named {count} times" for key, count in counts.items() if count > 1]


def _wrong_existence(note: ReleaseNote, configuration: Configuration) -> list[str]:
    """Find additions of what exists and changes or withdrawals of what does not."""
    mistakes = []
    for kind in ("teams", "jobs", "data_centres"):
        present = getattr(configuration, kind)
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


def _dangling_teams(note: ReleaseNote, configuration: Configuration) -> list[str]:
    """Find jobs whose team does not exist once the note is applied."""
    teams = {*configuration.teams, *(team.name for team in note.added.teams)}
    teams -= set(note.withdrawn.teams)
    jobs: dict[str, Job] = {
        **configuration.jobs,
        **{job.name: job for job in [*note.added.jobs, *note.changed.jobs]},
    }
    kept = [job for name, job in jobs.items() if name not in set(note.withdrawn.jobs)]
    return [
        f"jobs/{job.name} belongs to team {job.team!r}, which would not exist; "
        "add the team or withdraw the job"
        for job in kept
        if job.team not in teams
    ]


def _repeated_shapes(note: ReleaseNote) -> list[str]:
    teams: list[Team] = [*note.added.teams, *note.changed.teams]
    return [
        f"teams/{team.name} names shape {name!r} {count} times"
        for team in teams
        for name, count in Counter(shape.name for shape in team.guarantee).items()
        if count > 1
    ]
