"""Commands that bring a worker from what it reported to what its gangs need; no I/O.

They are level-triggered: a lost command or report is repaired by the next exchange.
"""

from jaypier.scheduling.model import GangPhase, StopReason, Worker
from jaypier.scheduling.state import DataCentreState
from jaypier.workers.model import CommandKind, TaskCommand, TaskReport, TaskState

START_VALID_SECONDS = 1.0
"""Time for which a START may be obeyed after it was sent."""

CHECKPOINTED_STOPS = (StopReason.PREEMPTED, StopReason.DATA_CENTRE_OUT)
"""Stops after which a gang goes on later, so that its progress is kept."""


def commands_for(
    state: DataCentreState, worker: Worker, now: float, may_start: bool
) -> list[TaskCommand]:
    """Return the commands for one worker.

    :param may_start: whether the owner knows its configuration to be current.
    """
    commands = [_command_for(state, worker, each) for each in worker.reported.values()]
    if may_start:
        commands += _starts_for(worker, now)
    return [command for command in commands if command is not None]


def _command_for(state: DataCentreState, worker: Worker, report: TaskReport) -> TaskCommand | None:
    """Return what to do about a task that a worker reports."""
    gang = worker.assigned.get(report.task)
    if gang is None and not report.state.is_final:
        return TaskCommand(CommandKind.STOP, report.task)
    if gang is None:
        # Until its outcome is in the ledger, the reports are all that a successor has.
        is_recorded = report.task.job not in state.retired
        return TaskCommand(CommandKind.FORGET, report.task) if is_recorded else None
    if gang.phase is GangPhase.STOPPING and not report.state.is_final:
        keeps_progress = gang.stop_reason in CHECKPOINTED_STOPS
        return TaskCommand(CommandKind.STOP, report.task, checkpoint=keeps_progress)
    if gang.phase is GangPhase.RUNNING and report.state is TaskState.HELD:
        return TaskCommand(CommandKind.RELEASE, report.task)
    return None


def _starts_for(worker: Worker, now: float) -> list[TaskCommand]:
    """Return the START of each task that fits beside what the worker still holds."""
    pending = [
        (task, gang)
        for task, gang in worker.assigned.items()
        if gang.phase is GangPhase.HOLDING
        and task not in worker.reported
        and task not in gang.states
    ]
    if not pending:
        return []
    room = worker.accelerators - sum(
        each.accelerators for each in worker.reported.values() if not each.state.is_final
    )
    not_after = worker.to_worker_clock(now + START_VALID_SECONDS)
    worker.starts_valid_until = max(worker.starts_valid_until, not_after)
    commands = []
    for task, gang in pending:
        size = gang.job.accelerators_per_task
        room -= size
        if room < 0:
            break
        commands.append(TaskCommand(CommandKind.START, task, size, gang.job.command, not_after))
    return commands
