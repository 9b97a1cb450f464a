"""Assigns jobs to data centres and plans the configuration entry of a change; no I/O."""

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
from jaypier.scheduling.placement import place_gang
from jaypier.scheduling.reservations import (
    capacities_in_service,
    is_home,
    plan_reservations,
)


@attrs.frozen
class SchedulerChange:
    """A change that a data centre's owner needs, not an operator.

    :param retired: outcome of each job that has ended.
    :param moved: jobs to assign to another data centre.
    :param released: jobs that cannot be preempted and are about to be released.
    """

    retired: dict[str, JobOutcome] = attrs.field(factory=dict)
    moved: list[str] = attrs.field(factory=list)
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
    return Ok(_complete(entry, changed, plan.reservations, machines, set()))


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
    moved = {name for name in change.moved if name in jobs and name not in retired}
    entry = ConfigurationEntry(
        configuration.version + 1, ReleaseNote(change_id), released=released, retired=retired
    )
    changed = apply_entry(configuration, entry)
    plan = plan_reservations(changed, machines)
    entry = _complete(entry, changed, plan.reservations, machines, moved)
    is_empty = not (entry.retired or entry.released or entry.assignments)
    return None if is_empty and entry.reservations is None else entry


def _complete(
    entry: ConfigurationEntry,
    changed: Configuration,
    reservations: list[Reservation],
    machines: list[Machine],
    moved: set[str],
) -> ConfigurationEntry:
    """Add reservations and assignments to an entry."""
    assigner = JobAssigner(changed, reservations, machines)
    unassigned = [
        job
        for name, job in changed.jobs.items()
        if name not in changed.assignments or name in moved
    ]
    assignments = {job.name: assigner.assign(job) for job in unassigned}
    assignments = {
        name: place
        for name, place in assignments.items()
        if place and place != changed.assignments.get(name)
    }
    return attrs.evolve(
        entry,
        reservations=None if reservations == changed.reservations else reservations,
        assignments=assignments,
    )


class JobAssigner:
    """Chooses a data centre for each job.

    :param configuration: configuration with the jobs that are assigned already.
    :param reservations: homes of guaranteed shapes.
    :param machines: the platform's list.
    """

    def __init__(
        self,
        configuration: Configuration,
        reservations: list[Reservation],
        machines: list[Machine],
    ) -> None:
        self.reservations = reservations
        self.capacities = capacities_in_service(machines, configuration)
        self.sizes = {name: each.free_total for name, each in self.capacities.items()}
        self.load = dict.fromkeys(self.capacities, 0)
        self.claimed: dict[str, int] = {}
        for name, place in configuration.assignments.items():
            if place in self.load:
                self._count(configuration.jobs[name], place)

    def assign(self, job: Job) -> str:
        """Return the data centre for a job, empty when none is in service.

        A home of the team that has room left goes first, then the data centre with the
        lowest assigned load among those that the gang fits in. A job that cannot be preempted
        only goes where it has a home, and waits unassigned while it has none.
        """
        if not self.sizes:
            return ""
        place = self._home(job)
        if not place and not job.preemptible:
            homes = [each for each in self.reservations if is_home(each, job)]
            place = homes[0].data_centre if homes else ""
        elif not place:
            place = self._least_loaded(job)
        if place:
            self._count(job, place)
        return place

    def _count(self, job: Job, place: str) -> None:
        self.load[place] += job.accelerators
        home = self._open_home(job, place)
        if home is not None:
            self.claimed[home.key] = self.claimed.get(home.key, 0) + job.tasks

    def _home(self, job: Job) -> str:
        homes = [each for each in self.reservations if self._is_open_home(each, job)]
        return homes[0].data_centre if homes else ""

    def _open_home(self, job: Job, place: str) -> Reservation | None:
        homes = (
            each
            for each in self.reservations
            if each.data_centre == place and self._is_open_home(each, job)
        )
        return next(homes, None)

    def _is_open_home(self, reservation: Reservation, job: Job) -> bool:
        room = reservation.shape.tasks - self.claimed.get(reservation.key, 0)
        return (
            reservation.data_centre in self.sizes
            and is_home(reservation, job)
            and room >= job.tasks
        )

    def _least_loaded(self, job: Job) -> str:
        shape = (job.tasks, job.accelerators_per_task, job.adjacency)
        fitting = [
            name
            for name, capacity in self.capacities.items()
            if place_gang(capacity, *shape) is not None
        ]
        return min(
            fitting or self.sizes,
            key=lambda name: ((self.load[name] + job.accelerators) / self.sizes[name], name),
        )
