"""Phases of gangs: from held to released, stopped and ended; no I/O."""

from jaypier.notes.configuration import JobState
from jaypier.notes.model import entity_key
from jaypier.scheduling.health import is_impossible
from jaypier.scheduling.model import Gang, GangPhase, StopReason, Worker
from jaypier.scheduling.state import DataCentreState
from jaypier.workers.model import TaskIdentity, TaskState

HOLD_SECONDS = 5.0
"""Time in which all tasks of a gang must be confirmed as held."""


class Lifecycle:
    """Advances the gangs of one data centre as workers report."""

    def __init__(self, state: DataCentreState) -> None:
        self.state = state

    # Reports

    def take_reports(self, worker: Worker) -> None:
        """Compare a worker's new report with what its gangs know."""
        for task, gang in worker.assigned.items():
            report = worker.reported.get(task)
            before = gang.states.get(task)
            if report is None:
                if before is not None:
                    self.state.attention[gang.job.name] = gang
                continue
            if report.state is before:
                continue
            gang.states[task] = report.state
            self.state.attention[gang.job.name] = gang
            if report.state is TaskState.FAILED:
                gang.detail = report.reason
            elif report.state is TaskState.DONE:
                self.state.health.record_success(worker.name)

    def lose_silent_workers(self, now: float) -> None:
        """Give up workers whose lease has run out unrenewed; their tasks have stopped."""
        state = self.state
        for worker in list(state.workers.values()):
            if not (worker.is_listed or worker.is_reachable or worker.assigned):
                state.drop_worker(worker.name)
                continue
            is_silent = now - worker.heard_at > state.lease_seconds and now > worker.lease_end
            if worker.is_reachable and is_silent:
                worker.is_reachable = False
                worker.reported.clear()
                state.metrics.count("workers.lost")
                for gang in worker.assigned.values():
                    state.attention[gang.job.name] = gang
                state.update_free(worker.name, now)

    # Phases

    def advance_all(self, now: float, may_start: bool) -> None:
        """Advance every gang that something has happened to, or that a timer runs for."""
        state = self.state
        due = {**state.transient, **state.attention}
        state.attention.clear()
        for gang in due.values():
            if gang.is_active:
                self.advance(gang, now, may_start)

    def advance(self, gang: Gang, now: float, may_start: bool) -> None:
        """Move one active gang to its next phase if its tasks allow it."""
        if gang.phase is GangPhase.STOPPING:
            if all(self._has_stopped(gang, task) for task in gang.tasks):
                self._end_attempt(gang, now)
            return
        broken = self._broken_reason(gang)
        if broken is not None:
            self.state.stop(gang, broken, now)
        elif gang.phase is GangPhase.HOLDING:
            self._advance_holding(gang, now, may_start)
        elif gang.phase is GangPhase.MARKING:
            is_marked = self.state.configuration.released.get(gang.job.name) == self.state.pin(gang)
            if is_marked and may_start:
                self._release(gang, now)
        elif self._all_in(gang, TaskState.DONE):
            self.state.release_workers(gang, now)
            self.state.retire(gang, JobState.DONE, "")

    def _advance_holding(self, gang: Gang, now: float, may_start: bool) -> None:
        if self._all_in(gang, TaskState.HELD):
            if not gang.job.preemptible:
                gang.is_own_mark = True
                self.state.enter(gang, GangPhase.MARKING, now)
            elif may_start:
                self._release(gang, now)
        elif now - gang.phase_since > HOLD_SECONDS and self._has_room(gang):
            self.state.stop(gang, StopReason.START_FAILED, now)

    def _has_room(self, gang: Gang) -> bool:
        """Whether none of the gang's workers still has to stop other tasks."""
        workers = [self.state.workers[name] for name in gang.placement]
        return not any(
            task not in worker.assigned and not report.state.is_final
            for worker in workers
            for task, report in worker.reported.items()
        ) and not any(
            other.phase is GangPhase.STOPPING
            for worker in workers
            for other in worker.assigned.values()
        )

    def _release(self, gang: Gang, now: float) -> None:
        gang.was_released = True
        self.state.enter(gang, GangPhase.RUNNING, now)
        self.state.metrics.count("gangs.released")
        self.state.metrics.record("gangs.wait", now - gang.queued_at)

    def _all_in(self, gang: Gang, task_state: TaskState) -> bool:
        return len(gang.states) == len(gang.tasks) and all(
            reported is task_state for reported in gang.states.values()
        )

    def _broken_reason(self, gang: Gang) -> StopReason | None:
        """Return why a gang cannot go on, ``None`` when it can."""
        if TaskState.FAILED in gang.states.values():
            return StopReason.TASK_FAILED
        for task, name in gang.tasks.items():
            reported = gang.states.get(task)
            if reported is TaskState.DONE:
                continue
            worker = self.state.workers[name]
            is_gone = reported is not None and task not in worker.reported
            if not worker.is_reachable or is_gone or reported is TaskState.STOPPED:
                return StopReason.WORKER_LOST
        return None

    def _has_stopped(self, gang: Gang, task: TaskIdentity) -> bool:
        """Whether a task certainly does not run any more."""
        worker = self.state.workers[gang.tasks[task]]
        if not worker.is_reachable:
            return True
        report = worker.reported.get(task)
        if report is None:
            # A START that was sent may still be obeyed until its validity ends.
            return worker.clock > worker.starts_valid_until
        return report.state.is_final

    # Ends

    def _end_attempt(self, gang: Gang, now: float) -> None:
        """Queue, hand on, retire or drop a gang whose tasks have all stopped."""
        state = self.state
        failed = self._blame_workers(gang, now)
        state.release_workers(gang, now)
        name, reason = gang.job.name, gang.stop_reason
        if reason is StopReason.CANCELLED:
            state.drop_gang(gang)
        elif failed and (not gang.job.repeatable or is_impossible(gang.failures, state.health)):
            outcome = JobState.IMPOSSIBLE if gang.job.repeatable else JobState.FAILED
            state.retire(gang, outcome, gang.detail or "its tasks failed")
        elif state.may_have_run(gang):
            state.retire(gang, JobState.UNKNOWN, f"stopped after its release: {reason.value}")
        elif not state.in_service:
            state.hand_on(gang)
        else:
            state.requeue(gang, now)
        state.metrics.count("gangs.attempts_ended")
        if reason is StopReason.CANCELLED and name in state.configuration.jobs:
            self.adopt_job(name, now)

    def _blame_workers(self, gang: Gang, now: float) -> bool:
        """Blame the workers of tasks that failed or were never held.

        :returns: whether a task failed.
        """
        failed = [task for task, each in gang.states.items() if each is TaskState.FAILED]
        unheld = set(gang.tasks) - set(gang.states)
        blamed = failed + (list(unheld) if gang.stop_reason is StopReason.START_FAILED else [])
        for task in blamed:
            worker = gang.tasks[task]
            gang.failures[worker] += 1
            workers = len(self.state.workers)
            if self.state.health.record_failure(worker, gang.job.name, now, workers):
                self.state.metrics.count("workers.quarantined")
                self.state.update_free(worker, now)
        return bool(failed)

    # Jobs

    def adopt_job(self, name: str, now: float) -> None:
        """Bring the gang of a job in line with the configuration."""
        state = self.state
        configuration = state.configuration
        gang = state.gangs.get(name)
        place = configuration.assignments.get(name, "")
        is_known = name in configuration.jobs
        seen_at = state.pool.pop(name, now)
        if is_known and not place:
            state.pool[name] = seen_at
        if not is_known or place != state.data_centre:
            state.retired.pop(name, None)
            state.moved.discard(name)
            if gang is not None:
                self._cancel(gang, now)
            return
        revision = configuration.revisions.get(entity_key("jobs", name), 0)
        if gang is not None and gang.revision != revision:
            self._cancel(gang, now)
        elif gang is None and name not in state.retired and name not in state.moved:
            state.add_gang(Gang(configuration.jobs[name], revision, seen_at, adopted_at=now))

    def _cancel(self, gang: Gang, now: float) -> None:
        """Stop a gang whose job was withdrawn, changed or moved."""
        if gang.is_active:
            self.state.stop(gang, StopReason.CANCELLED, now)
            return
        self.state.drop_gang(gang)
        if gang.job.name in self.state.configuration.jobs:
            self.adopt_job(gang.job.name, now)

    def leave(self, now: float) -> None:
        """Stop what can be moved, and hand queued gangs on, when the data centre goes out."""
        for gang in list(self.state.gangs.values()):
            if gang.phase is GangPhase.QUEUED:
                self.state.hand_on(gang)
            elif gang.phase in (GangPhase.HOLDING, GangPhase.MARKING) or gang.job.preemptible:
                self.state.stop(gang, StopReason.DATA_CENTRE_OUT, now)

    def update_claims(self) -> None:
        """Find out which gangs a new plan has left outside the homes that they claim."""
        if not self.state.claiming:
            return
        homes = {home.key: home for home in self.state.configuration.reservations}
        for gang in self.state.claiming.values():
            home = homes.get(gang.claim)
            workers = home.workers if home is not None else {}
            gang.is_off_home = any(
                tasks > workers.get(name, 0) for name, tasks in gang.placement.items()
            )
