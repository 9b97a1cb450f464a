"""Validates a release note against the current entities."""

from collections import Counter
from enum import StrEnum

import attrs
from expression import Error, Ok, Result

from jaypier.notes.cache import EntityCache
from jaypier.notes.model import ENTITY_KINDS, ReleaseNote, touched_keys, written_entities
from jaypier.notes.translation import build_job, build_limit
from jaypier.scheduling.team_limits import explain_excess

MAX_LIMIT = 1_000_000_000
"""Largest limit and weight of a team, far beyond any deployment."""


class RefusalKind(StrEnum):
    """Category of a refusal."""

    INVALID = "invalid"
    CONFLICT = "conflict"
    SHORTFALL = "shortfall"


@attrs.frozen
class NoteRefusal:
    """Refusal of a note, of which nothing was applied.

    :param reasons: one line for each error, conflict or guarantee that does not fit.
    """

    kind: RefusalKind
    reasons: list[str]


def check_note(
    note: ReleaseNote, cache: EntityCache, ended: frozenset[str]
) -> Result[None, NoteRefusal]:
    """Validate a note against the entities that it would change.

    :param ended: names of ended jobs, which count as absent.
    :returns: ``Ok`` for a valid note, else a refusal with all conflicts or, if there are none,
        all errors.
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
        *_find_invalid_limits(note),
    ]
    errors = errors or _find_excessive_jobs(note, cache)
    if errors:
        return Error(NoteRefusal(RefusalKind.INVALID, errors))
    return Ok(None)


def _find_conflicts(note: ReleaseNote, cache: EntityCache) -> list[str]:
    """Find entities of the note that changed since the version that the note is based on."""
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
    """Return the names of existing entities of a kind; withdrawn and ended jobs do not count."""
    if kind != "jobs":
        return set(getattr(cache, kind))
    return {name for name, job in cache.jobs.items() if not job.is_withdrawn} - ended


def _find_existence_errors(
    note: ReleaseNote, cache: EntityCache, ended: frozenset[str]
) -> list[str]:
    """Find additions of existing entities, and changes or withdrawals of absent ones."""
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
    """Find jobs whose team would not exist once the note is applied."""
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


def _find_invalid_limits(note: ReleaseNote) -> list[str]:
    """Find limits and weights of teams that are out of range or below the team's guarantee."""
    teams = written_entities(note, "teams")
    errors = [
        f"teams/{team.name} has {name} {value!r}; use 0 for none, or at most {MAX_LIMIT}"
        for team in teams
        for name, value in [
            *((f"limit.{name}", value) for name, value in attrs.asdict(team.limit).items()),
            ("weight", team.weight),
        ]
        if not 0 <= value <= MAX_LIMIT
    ]
    return errors + [
        f"teams/{team.name} is guaranteed {team.guaranteed_accelerators} accelerators, more than "
        f"its limit of {team.limit.accelerators}; raise the limit or guarantee less"
        for team in teams
        if 0 < team.limit.accelerators < team.guaranteed_accelerators
    ]


def _find_excessive_jobs(note: ReleaseNote, cache: EntityCache) -> list[str]:
    """Find jobs that can never run within the limits of their teams."""
    teams = cache.entities_after(note, "teams")
    excesses = [
        (job, explain_excess(job.team, build_job(job, job.name, 0.0).steps, limit))
        for job in written_entities(note, "jobs")
        for limit in [build_limit(teams[job.team].limit)]
    ]
    return [
        f"jobs/{job.name} can never run: {excess}; make it smaller or raise the limit"
        for job, excess in excesses
        if excess
    ]


def _find_shared_keys(note: ReleaseNote, cache: EntityCache) -> list[str]:
    """Find API keys that several teams would have once the note is applied."""
    teams = cache.entities_after(note, "teams").values()
    key_owners = [(key, team.name) for team in teams for key in set(team.keys)]
    counts = Counter(key for key, _ in key_owners)
    return [
        f"teams/{name} has a key that another team has; give each its own"
        for key, name in key_owners
        if counts[key] > 1
    ]
