"""Release notes and the entities that they add, change and withdraw."""

import re
from enum import StrEnum

import attrs
from attrs import validators

MAX_NAME_LENGTH = 100
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]*"
MAX_TASKS = 4096
MAX_ACCELERATORS_PER_TASK = 64
MAX_RUN_SECONDS = 30 * 86_400

ENTITY_KINDS = ("teams", "jobs", "data_centres", "queues")
"""Kinds of entities, as the sections of a note call them."""


def _validate_name(instance: object, attribute: attrs.Attribute, value: str) -> None:
    if len(value) > MAX_NAME_LENGTH or not re.fullmatch(NAME_PATTERN, value):
        raise ValueError(
            f"{attribute.name} {value!r} is not a name; use letters, digits, '.', '_' and '-', "
            f"at most {MAX_NAME_LENGTH}"
        )


def _between(low: float, high: float):
    def check(instance: object, attribute: attrs.Attribute, value: float) -> None:
        if not low <= value <= high:
            raise ValueError(f"{attribute.name} {value!r} is not between {low} and {high}")

    return check


class Adjacency(StrEnum):
    """How close together the parts of a shape or a gang must be."""

    RACK = "rack"
    DATA_CENTRE = "data_centre"


@attrs.frozen
class GuaranteedShape:
    """Capacity that a team can always reclaim as a whole.

    :param name: unique within the team.
    :param tasks: number of tasks that must fit at once.
    :param accelerators_per_task: accelerators each task needs on one worker.
    :param adjacency: how close together the tasks must be.
    """

    name: str = attrs.field(validator=_validate_name)
    tasks: int = attrs.field(validator=_between(1, MAX_TASKS))
    accelerators_per_task: int = attrs.field(validator=_between(1, MAX_ACCELERATORS_PER_TASK))
    adjacency: Adjacency = Adjacency.RACK

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole shape."""
        return self.tasks * self.accelerators_per_task


@attrs.frozen
class Team:
    """A team and its guarantee.

    :param keys: keys that its callers send.
    """

    name: str = attrs.field(validator=_validate_name)
    guarantee: list[GuaranteedShape] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=list, repr=False)

    @property
    def guaranteed_accelerators(self) -> int:
        """Accelerators of all guaranteed shapes; the smallest team is served first."""
        return sum(shape.accelerators for shape in self.guarantee)


@attrs.frozen
class Job:
    """A gang of equal tasks that runs whole or not at all.

    :param tasks: number of tasks, all started together.
    :param accelerators_per_task: accelerators each task needs on one worker.
    :param processors_per_task: cores each task needs.
    :param memory_gb_per_task: memory each task needs, in GB.
    :param run_seconds: declared run time in seconds; a hint.
    :param adjacency: with ``RACK``, the tasks go to one rack if any rack can hold them.
    :param preemptible: whether it may be checkpointed or stopped and started again.
    :param repeatable: whether it may be started again after a failure; if not, it is never
        started again once a task of it may have been started.
    :param urgent: whether its team's guarantee covers it: it goes before other work and may stop
        work that is preemptible.
    :param command: what the workers run.
    :param pool: workers that run it, empty for any.
    """

    name: str = attrs.field(validator=_validate_name)
    team: str = attrs.field(validator=_validate_name)
    tasks: int = attrs.field(validator=_between(1, MAX_TASKS))
    accelerators_per_task: int = attrs.field(validator=_between(1, MAX_ACCELERATORS_PER_TASK))
    command: str = attrs.field(validator=validators.max_len(4096))
    processors_per_task: int = attrs.field(default=1, validator=_between(1, 4096))
    memory_gb_per_task: int = attrs.field(default=1, validator=_between(1, 65536))
    run_seconds: float = attrs.field(default=60.0, validator=_between(0, MAX_RUN_SECONDS))
    adjacency: Adjacency = Adjacency.DATA_CENTRE
    preemptible: bool = True
    repeatable: bool = True
    urgent: bool = False
    pool: str = ""

    def __attrs_post_init__(self) -> None:
        if self.preemptible and not self.repeatable:
            raise ValueError(
                f"job {self.name!r} is preemptible but not repeatable; "
                "set preemptible to false or repeatable to true"
            )

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task


@attrs.frozen
class DataCentre:
    """Service state of a data centre."""

    name: str = attrs.field(validator=_validate_name)
    in_service: bool = True


@attrs.frozen
class Queue:
    """A queue under which callers hand jobs in.

    :param priority: 0 is urgent.
    :param max_attempts: failed runs of one task after which a job has failed.
    :param slack_factor: multiple of its longest chain of work in which a job is due.
    :param target_seconds: time that is added to that.
    :param timeout_seconds: time in which a call has to be answered.
    :param pool: workers that run its jobs, empty for any.
    """

    name: str = attrs.field(validator=_validate_name)
    priority: int = attrs.field(default=1, validator=_between(0, 9))
    max_attempts: int = attrs.field(default=3, validator=_between(1, 100))
    slack_factor: float = attrs.field(default=3.0, validator=_between(1.0, 100.0))
    target_seconds: float = attrs.field(default=1.0, validator=_between(0.0, MAX_RUN_SECONDS))
    timeout_seconds: float = attrs.field(default=3.0, validator=_between(0.5, 60.0))
    pool: str = ""


@attrs.frozen
class Entities:
    """Entities that a note adds, or replaces by new versions."""

    teams: list[Team] = attrs.field(factory=list)
    jobs: list[Job] = attrs.field(factory=list)
    data_centres: list[DataCentre] = attrs.field(factory=list)
    queues: list[Queue] = attrs.field(factory=list)


@attrs.frozen
class Withdrawals:
    """Names of entities that a note withdraws; withdrawing a job cancels it."""

    teams: list[str] = attrs.field(factory=list)
    jobs: list[str] = attrs.field(factory=list)
    data_centres: list[str] = attrs.field(factory=list)
    queues: list[str] = attrs.field(factory=list)


@attrs.frozen
class ReleaseNote:
    """What operators submit; applied whole or not at all.

    :param id: identity of the note; a resend with the same identity is the same note.
    :param against: configuration version it was written against. When given, the note is
        refused if anything that it touches has changed since.
    """

    id: str = attrs.field(validator=_validate_name)
    against: int | None = None
    added: Entities = attrs.field(factory=Entities)
    changed: Entities = attrs.field(factory=Entities)
    withdrawn: Withdrawals = attrs.field(factory=Withdrawals)


def entity_key(kind: str, name: str) -> str:
    """Return the key of an entity, for example ``"jobs/nightly-sort"``."""
    return f"{kind}/{name}"


def written_entities(note: ReleaseNote, kind: str) -> list[Team | Job | DataCentre | Queue]:
    """Return the entities of one kind that a note adds or changes."""
    return [*getattr(note.added, kind), *getattr(note.changed, kind)]


def touched_keys(note: ReleaseNote) -> list[str]:
    """Return the key of every entity that a note touches, repeated ones too."""
    written = [
        entity_key(kind, entity.name)
        for kind in ENTITY_KINDS
        for entity in written_entities(note, kind)
    ]
    withdrawn = [
        entity_key(kind, name) for kind in ENTITY_KINDS for name in getattr(note.withdrawn, kind)
    ]
    return written + withdrawn
