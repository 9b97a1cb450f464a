"""Tasks, commands and reports, as workers and owners exchange them."""

from enum import StrEnum

import attrs


class TaskState(StrEnum):
    """State of a task as its worker reports it."""

    HELD = "held"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"

    @property
    def is_final(self) -> bool:
        """Whether the task holds no capacity any more."""
        return self in (TaskState.DONE, TaskState.FAILED, TaskState.STOPPED)


class CommandKind(StrEnum):
    """What a worker is told to do with one task."""

    START = "start"
    RELEASE = "release"
    STOP = "stop"
    FORGET = "forget"


@attrs.frozen
class TaskIdentity:
    """Identity of one attempt at one task.

    :param revision: configuration version that defined the job.
    :param epoch: fencing epoch of the owner that started the attempt.
    :param attempt: number of that owner's attempt at the gang, from 1.
    :param index: number of the task within the gang, from 0.
    """

    job: str
    revision: int
    epoch: int
    attempt: int
    index: int


@attrs.frozen
class TaskCommand:
    """One command for one task; repeating it has no further effect.

    :param not_after: worker clock time after which a START is refused, in seconds.
    :param checkpoint: whether a STOP saves a checkpoint first.
    """

    kind: CommandKind
    task: TaskIdentity
    accelerators: int = 0
    command: str = ""
    not_after: float = 0.0
    checkpoint: bool = False


@attrs.frozen
class TaskReport:
    """State of one task as its worker reports it.

    :param reason: why a task failed or was stopped.
    :param usage: share of its accelerators that it was using a while ago, 0 to 1.
    """

    task: TaskIdentity
    state: TaskState
    accelerators: int
    reason: str = ""
    usage: float = 0.0


@attrs.frozen
class WorkerReport:
    """Everything that a worker holds, taken after it obeyed a control request.

    :param clock: the worker's clock when it answered, in seconds.
    """

    worker: str
    tasks: list[TaskReport]
    clock: float = 0.0
