"""The accepted configuration and the pure function that applies one entry to it."""

from enum import StrEnum

import attrs

from jaypier.notes.model import (
    DataCentre,
    Entities,
    GuaranteedShape,
    Job,
    ReleaseNote,
    Team,
    entity_key,
    touched_keys,
)


class JobState(StrEnum):
    """Final states of a job."""

    DONE = "done"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@attrs.frozen
class JobOutcome:
    """Final, reasoned answer to a job."""

    state: JobState
    reason: str = ""


@attrs.frozen
class Reservation:
    """Home of one guaranteed shape, or of one job that cannot be preempted.

    Only preemptible work may use capacity of a reservation that its team did not claim, so
    every reservation can be reclaimed by preempting.

    :param workers: tasks of the shape that each worker must be able to take.
    :param job: the job that this is a temporary home of, empty for a guaranteed shape.
    """

    team: str
    shape: GuaranteedShape
    data_centre: str
    workers: dict[str, int] = attrs.field(factory=dict)
    job: str = ""

    @property
    def key(self) -> str:
        """Identity among all reservations."""
        return f"{self.team}/{self.shape.name}/{self.job}"


@attrs.frozen
class Pin:
    """A job that cannot be preempted and where it runs.

    :param claim: key of the reservation that it runs in.
    :param placement: number of tasks on each worker.
    """

    claim: str
    accelerators_per_task: int
    placement: dict[str, int]


@attrs.frozen
class ConfigurationEntry:
    """One accepted change; entries form a log without gaps.

    :param version: version of the configuration that results.
    :param note: the operators' note; empty sections for a scheduler's own change.
    :param reservations: new homes of all guaranteed shapes, ``None`` to keep the present ones.
    :param assignments: data centre for each job that gets one; empty to take it away again.
    :param released: jobs that cannot be preempted and whose tasks are about to be released.
    :param retired: outcome of each job that has ended.
    """

    version: int
    note: ReleaseNote
    reservations: list[Reservation] | None = None
    assignments: dict[str, str] = attrs.field(factory=dict)
    released: dict[str, Pin] = attrs.field(factory=dict)
    retired: dict[str, JobOutcome] = attrs.field(factory=dict)


@attrs.frozen
class Configuration:
    """Everything that is in force at one version; never changed in place.

    :param assignments: data centre of each unfinished job that has one. Any data centre that
        has room may claim the others.
    :param released: jobs that cannot be preempted and may have run; those of them that are not
        repeatable are never started again.
    :param revisions: version at which each entity was last touched.
    """

    version: int = 0
    teams: dict[str, Team] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    data_centres: dict[str, DataCentre] = attrs.field(factory=dict)
    assignments: dict[str, str] = attrs.field(factory=dict)
    reservations: list[Reservation] = attrs.field(factory=list)
    released: dict[str, Pin] = attrs.field(factory=dict)
    revisions: dict[str, int] = attrs.field(factory=dict)

    def in_service(self, data_centre: str) -> bool:
        """Whether new work may start in a data centre; unlisted ones are in service."""
        entity = self.data_centres.get(data_centre)
        return entity is None or entity.in_service

    def jobs_in(self, data_centre: str) -> list[Job]:
        """Return the unfinished jobs that are assigned to a data centre."""
        return [
            self.jobs[name]
            for name, assigned in self.assignments.items()
            if assigned == data_centre and name in self.jobs
        ]


def touched_jobs(entry: ConfigurationEntry) -> set[str]:
    """Return the jobs that an entry adds, changes, withdraws, moves, marks or retires."""
    note = entry.note
    named = [job.name for job in [*note.added.jobs, *note.changed.jobs]]
    moved_or_ended = [*entry.assignments, *entry.released, *entry.retired]
    return {*named, *note.withdrawn.jobs, *moved_or_ended}


def apply_entry(configuration: Configuration, entry: ConfigurationEntry) -> Configuration:
    """Return the configuration after one entry.

    :param entry: the entry whose version follows that of ``configuration``.
    :raises ValueError: when versions do not follow each other.
    """
    if entry.version != configuration.version + 1:
        raise ValueError(f"entry {entry.version} does not follow version {configuration.version}")
    jobs = _merge(configuration.jobs, entry, "jobs")
    jobs = {name: job for name, job in jobs.items() if name not in entry.retired}
    assignments = {**configuration.assignments, **entry.assignments}
    return Configuration(
        version=entry.version,
        teams=_merge(configuration.teams, entry, "teams"),
        jobs=jobs,
        data_centres=_merge(configuration.data_centres, entry, "data_centres"),
        assignments={name: place for name, place in assignments.items() if place and name in jobs},
        reservations=(
            configuration.reservations if entry.reservations is None else entry.reservations
        ),
        released=_release(configuration.released, entry, jobs),
        revisions=_revise(configuration.revisions, entry),
    )


def _merge(entities: dict, entry: ConfigurationEntry, kind: str) -> dict:
    """Apply the additions, changes and withdrawals of one kind of entity."""
    sections: tuple[Entities, Entities] = (entry.note.added, entry.note.changed)
    written = {entity.name: entity for section in sections for entity in getattr(section, kind)}
    withdrawn = set(getattr(entry.note.withdrawn, kind))
    if not written and not withdrawn:
        return entities
    merged = {**entities, **written}
    return {name: entity for name, entity in merged.items() if name not in withdrawn}


def _release(
    released: dict[str, Pin], entry: ConfigurationEntry, jobs: dict[str, Job]
) -> dict[str, Pin]:
    """Add the entry's marks; forget those of jobs that are gone or were added anew."""
    if not released and not entry.released:
        return released
    replaced = {job.name for job in [*entry.note.added.jobs, *entry.note.changed.jobs]}
    kept = {name: pin for name, pin in released.items() if name not in replaced}
    return {name: pin for name, pin in {**kept, **entry.released}.items() if name in jobs}


def _revise(revisions: dict[str, int], entry: ConfigurationEntry) -> dict[str, int]:
    """Record the entry's version for every entity that it touches."""
    touched = touched_keys(entry.note)
    touched += [entity_key("jobs", name) for name in entry.retired]
    if not touched:
        return revisions
    return {**revisions, **dict.fromkeys(touched, entry.version)}
