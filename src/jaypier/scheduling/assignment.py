"""Assigns jobs to data centres and plans the configuration entry of a change; no I/O."""

from collections import Counter

import attrs
from expression import Error, Ok, Result

from jaypier.notes.configuration import (
    Configuration,
    ConfigurationEntry,
    JobOutcome,
    Pin,
    Reservation,
    apply_entry,
)
from jaypier.notes.model import Job, ReleaseNote
from jaypier.notes.validation import NoteRefusal, RefusalKind, check_note
from jaypier.platform import Machine
from jaypier.scheduling.reservations import is_home, plan_reservations


@attrs.frozen
class SchedulerChange:
    """A change that a data centre's owner needs, not an operator.

    :param retired: outcome of each job that has ended.
    :param moved: jobs that their data centre gives back.
    :param pulled: data centre for jobs that have none; one that has got one since keeps it.
    :param released: jobs that cannot be preempted and are about to be released.
    """

    retired: dict[str, JobOutcome] = attrs.field(factory=dict)
    moved: list[str] = attrs.field(factory=list)
    pulled: dict[str, str] = attrs.field(factory=dict)
    released: dict[str, Pin] = attrs.field(factory=dict)


def plan_note(
    note: ReleaseNote, configuration: Configuration, machines: list[Machine]
) -> Result[ConfigurationEntry, NoteRefusal]:
    """Check a note and plan everything that follows from it.

    :param machines: the platform's list.
    :returns: the entry to commit, or why the note is refused. A note that takes a data centre
        out of service is not refused for the guarantees that it displaces: operators must be
        able to do this at any time.
    """
    checked = check_note(note, configuration)
    if checked.is_error():
        return Error(checked.error)
    entry = ConfigurationEntry(configuration.version + 1, note)
    changed = apply_entry(configuration, entry)
    plan = plan_reservations(changed, machines)
    if plan.shortfalls and (note.added.teams or note.changed.teams):
        touched = {team.name for team in [*note.added.teams, *note.changed.teams]}
        before = plan_reservations(configuration, machines)
        known = {(each.team, each.shape) for each in before.shortfalls}
        new = [
            each
            for each in plan.shortfalls
            if each.team in touched or (each.team, each.shape) not in known
        ]
        if new:
            return Error(NoteRefusal(RefusalKind.SHORTFALL, [str(each) for each in new]))
    return Ok(_complete(entry, changed, plan.reservations, {}))


def plan_change(
    change_id: str,
    change: SchedulerChange,
    configuration: Configuration,
    machines: list[Machine],
) -> ConfigurationEntry | None:
    """Plan the entry of a scheduler's change.

    :returns: the entry, ``None`` when nothing of the change is left to do.
    """
    jobs = configuration.jobs
    retired = {name: each for name, each in change.retired.items() if name in jobs}
    released = {
        name: pin
        for name, pin in change.released.items()
        if name in jobs and configuration.released.get(name) != pin and name not in retired
    }
    moved = {name: "" for name in change.moved if name in configuration.assignments}
    pulled = {
        name: place
        for name, place in change.pulled.items()
        if name in jobs
        and name not in configuration.assignments
        and configuration.in_service(place)
    }
    entry = ConfigurationEntry(
        configuration.version + 1, ReleaseNote(change_id), released=released, retired=retired
    )
    changed = apply_entry(configuration, entry)
    plan = plan_reservations(changed, machines)
    entry = _complete(entry, changed, plan.reservations, {**moved, **pulled})
    is_empty = not (entry.retired or entry.released or entry.assignments)
    return None if is_empty and entry.reservations is None else entry


def _complete(
    entry: ConfigurationEntry,
    changed: Configuration,
    reservations: list[Reservation],
    wanted: dict[str, str],
) -> ConfigurationEntry:
    """Add reservations and assignments to an entry.

    A job goes where it has a home that is open. Other jobs are left without a data centre:
    the first one that has room pulls them.

    :param wanted: assignments that owners ask for, empty names for jobs given back.
    """
    homes = HomeFinder(changed, reservations, set(wanted))
    assignments = {}
    for name, job in changed.jobs.items():
        if name in wanted or name not in changed.assignments:
            place = wanted.get(name) or homes.find(job)
            if place != changed.assignments.get(name, ""):
                assignments[name] = place
    return attrs.evolve(
        entry,
        reservations=None if reservations == changed.reservations else reservations,
        assignments=assignments,
    )


class HomeFinder:
    """Finds open homes for jobs.

    :param configuration: configuration with the jobs that are assigned already.
    :param reservations: homes of guaranteed shapes.
    :param leaving: jobs whose assignment is about to change.
    """

    def __init__(
        self, configuration: Configuration, reservations: list[Reservation], leaving: set[str]
    ) -> None:
        self.by_team: dict[str, list[Reservation]] = {}
        for home in reservations:
            self.by_team.setdefault(home.team, []).append(home)
        self.claimed: Counter[str] = Counter()
        for name, place in configuration.assignments.items():
            if name not in leaving:
                self._count(configuration.jobs[name], place)

    def find(self, job: Job) -> str:
        """Return the data centre of a home for a job, empty when it has none that is open.

        A job that cannot be preempted waits at its home until that is open.
        """
        homes = [home for home in self.by_team.get(job.team, []) if is_home(home, job)]
        open_homes = [home for home in homes if self._is_open(home, job)]
        chosen = open_homes or ([] if job.preemptible else homes)
        if not chosen:
            return ""
        self._count(job, chosen[0].data_centre)
        return chosen[0].data_centre

    def _is_open(self, home: Reservation, job: Job) -> bool:
        return home.shape.tasks - self.claimed[home.key] >= job.tasks

    def _count(self, job: Job, place: str) -> None:
        for home in self.by_team.get(job.team, []):
            if home.data_centre == place and is_home(home, job) and self._is_open(home, job):
                self.claimed[home.key] += job.tasks
                return
