"""Data model of release notes and their entities."""

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
"""Kinds of entities: field names of the sections of a note."""


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
    """Topology domain in which all tasks of a shape or gang have to be placed."""

    RACK = "rack"
    DATA_CENTRE = "data_centre"


@attrs.frozen
class GuaranteedShape:
    """Capacity for one gang that a team can reclaim at any time.

    :param name: name, unique within the team.
    :param tasks: number of tasks that have to fit at the same time.
    :param accelerators_per_task: accelerators that each task needs on one worker.
    :param adjacency: domain in which all tasks have to fit.
    """

    name: str = attrs.field(validator=_validate_name)
    tasks: int = attrs.field(validator=_between(1, MAX_TASKS))
    accelerators_per_task: int = attrs.field(validator=_between(1, MAX_ACCELERATORS_PER_TASK))
    adjacency: Adjacency = Adjacency.RACK

    @property
    def accelerators(self) -> int:
        """Total number of accelerators of the shape."""
        return self.tasks * self.accelerators_per_task


@attrs.frozen
class TeamLimit:
    """What a team may have running on all workers together; 0 stands for no limit.

    :param accelerators: number of accelerators.
    :param processors: number of cores.
    :param memory_gb: memory, in GB.
    """

    accelerators: int = 0
    processors: int = 0
    memory_gb: int = 0


@attrs.frozen
class Team:
    """A team and its guaranteed capacity.

    :param guarantee: shapes that are guaranteed to the team at the same time.
    :param keys: API keys of its callers.
    :param limit: what it may have running.
    :param weight: jobs a second that make up its share when all capacity is in use, 0 for an equal
        share.
    """

    name: str = attrs.field(validator=_validate_name)
    guarantee: list[GuaranteedShape] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=list, repr=False)
    limit: TeamLimit = attrs.field(factory=TeamLimit)
    weight: float = 0.0

    @property
    def guaranteed_accelerators(self) -> int:
        """Total number of accelerators of all shapes.

        Among urgent jobs within their guarantees, the team with the smallest number goes first.
        """
        return sum(shape.accelerators for shape in self.guarantee)


@attrs.frozen
class Job:
    """A gang of identical tasks that are started together or not at all.

    :param team: name of the team that the job belongs to.
    :param tasks: number of tasks.
    :param accelerators_per_task: accelerators that each task needs on one worker.
    :param processors_per_task: cores that each task needs.
    :param memory_gb_per_task: memory that each task needs, in GB.
    :param run_seconds: estimated run time in seconds; not a limit.
    :param adjacency: with ``RACK``, the tasks are placed on one rack if any rack can hold them.
    :param preemptible: whether it may be checkpointed or stopped for other work and restarted.
    :param repeatable: whether it may be restarted after a failure. If not, it is never started
        again once any of its tasks may have been started.
    :param urgent: whether its team's guarantee covers it. Such a job is placed before other work
        and may preempt preemptible work.
    :param command: command that the workers run, at most 4096 characters.
    :param pool: pool of workers that runs it, empty for any.
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
        """Total number of accelerators of the gang."""
        return self.tasks * self.accelerators_per_task


@attrs.frozen
class DataCentre:
    """A data centre.

    :param in_service: whether its workers get new work.
    """

    name: str = attrs.field(validator=_validate_name)
    in_service: bool = True


@attrs.frozen
class Queue:
    """A queue to which callers submit jobs.

    A job should end within ``slack_factor`` times the estimated duration of its longest chain of
    dependent steps plus ``target_seconds``, counted from its submission.

    :param priority: scheduling priority; 0 is urgent.
    :param max_attempts: failed runs of one task after which its job fails.
    :param slack_factor: factor on the duration of the longest chain of steps.
    :param target_seconds: constant part of the target, in seconds.
    :param timeout_seconds: longest time until a request gets its response, in seconds.
    :param pool: pool of workers that runs its jobs, empty for any.
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
    """Entities that a note adds, or new versions of those that it changes."""

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
    """A set of changes that operators submit; applied atomically.

    :param id: unique id of the note; a resubmission with the same id has no further effect.
    :param against: configuration version that the note is based on, or ``None``. If given, the
        note is refused when any entity that it touches has changed since that version.
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
    """Return the keys of all entities that a note adds, changes or withdraws, with duplicates."""
    written = [
        entity_key(kind, entity.name)
        for kind in ENTITY_KINDS
        for entity in written_entities(note, kind)
    ]
    withdrawn = [
        entity_key(kind, name) for kind in ENTITY_KINDS for name in getattr(note.withdrawn, kind)
    ]
    return written + withdrawn
