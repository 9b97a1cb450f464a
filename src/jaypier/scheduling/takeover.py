"""Rebuilds a data centre's gangs from what its workers report to a new owner; no I/O."""

from jaypier.notes.configuration import JobState
from jaypier.scheduling.lifecycle import Lifecycle
from jaypier.scheduling.model import Gang, GangPhase, StopReason, Worker
from jaypier.scheduling.reservations import is_home
from jaypier.scheduling.state import DataCentreState
from jaypier.workers.model import TaskReport, TaskState

FoundTasks = list[tuple[Worker, TaskReport]]


def try_rebuild(
    state: DataCentreState, lifecycle: Lifecycle, started_at: float, now: float
) -> None:
    """Start deciding once every worker was heard or its old lease has run out."""
    is_waiting = any(
        worker.is_listed and worker.heard_at == float("-inf") for worker in state.workers.values()
    )
    if not state.workers or (is_waiting and now - started_at <= state.lease_seconds):
        return
    state.is_rebuilt = True
    found: dict[str, FoundTasks] = {}
    for worker in state.workers.values():
        for report in worker.reported.values():
            found.setdefault(report.task.job, []).append((worker, report))
    for gang in list(state.gangs.values()):
        _rebuild_gang(state, gang, found.get(gang.job.name, []), now)
    lifecycle.update_claims()
    for name in state.workers:
        state.update_free(name, now)


def _rebuild_gang(state: DataCentreState, gang: Gang, found: FoundTasks, now: float) -> None:
    """Take over the newest attempt that workers report for a gang."""
    same = [(worker, each) for worker, each in found if each.task.revision == gang.revision]
    if not same:
        if state.may_have_run(gang):
            state.retire(gang, JobState.UNKNOWN, "no worker reports it after its release")
        return
    newest = max((each.task.epoch, each.task.attempt) for _, each in same)
    for worker, each in same:
        if (each.task.epoch, each.task.attempt) == newest:
            gang.tasks[each.task] = worker.name
            gang.states[each.task] = each.state
            worker.assigned[each.task] = gang
            gang.placement[worker.name] = gang.placement.get(worker.name, 0) + 1
    gang.attempt = newest[1]
    _rebuild_phase(state, gang, now)


def _rebuild_phase(state: DataCentreState, gang: Gang, now: float) -> None:
    """Let a whole, released gang go on; stop any other."""
    gang.was_released = bool(set(gang.states.values()) - {TaskState.HELD})
    gang.claim = _claim_of(state, gang)
    if gang.claim is not None:
        state.claiming[gang.job.name] = gang
    state.enter(gang, GangPhase.RUNNING, now)
    if not gang.was_released:
        state.stop(gang, StopReason.SUPERSEDED, now)
    elif len(gang.tasks) != gang.job.tasks:
        state.stop(gang, StopReason.WORKER_LOST, now)
    state.metrics.count("gangs.taken_over")


def _claim_of(state: DataCentreState, gang: Gang) -> str | None:
    """Return the reservation that a gang runs in."""
    pin = state.configuration.released.get(gang.job.name)
    if pin is not None and not gang.job.preemptible:
        return pin.claim
    claimed = {other.claim for other in state.claiming.values()}
    homes = (
        home.key
        for home in state.configuration.reservations
        if home.data_centre == state.data_centre
        and is_home(home, gang.job)
        and home.key not in claimed
        and set(gang.placement) <= set(home.workers)
    )
    return next(homes, None)
