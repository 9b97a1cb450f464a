"""Decisions of one data centre's owner: which gangs start, run, stop and end; no I/O.

Everything is level-triggered: :meth:`DataCentreScheduler.commands_for` compares what a worker
reported with what its gangs need, so a lost command or report is repaired by the next exchange.
"""

from collections.abc import Iterable

import attrs

from jaypier.core.metrics import Metrics
from jaypier.notes.configuration import Configuration, JobOutcome, JobState, Pin
from jaypier.notes.model import Job, entity_key
from jaypier.platform import Machine, MachineState
from jaypier.scheduling.capacity import Capacity
from jaypier.scheduling.claims import ClaimLedger
from jaypier.scheduling.health import HealthTracker, is_impossible
from jaypier.scheduling.model import (
    CommandKind,
    Decisions,
    Gang,
    GangPhase,
    StopReason,
    TaskCommand,
    TaskIdentity,
    TaskReport,
    TaskState,
    Worker,
    WorkerReport,
)
from jaypier.scheduling.placement import place_gang
from jaypier.scheduling.reservations import is_home, team_order

HOLD_SECONDS = 5.0
"""Time in which all tasks of a gang must be confirmed as held."""

START_VALID_SECONDS = 1.0
"""Time for which a START may be obeyed after it was sent."""

FIRST_BACKOFF_SECONDS = 0.5
"""Delay before a gang whose start failed is tried again; it doubles each time."""

MAX_BACKOFF_SECONDS = 60.0
"""Longest delay before another attempt."""

PATIENCE_SECONDS = 20.0
"""Waiting time after which workers are kept free for a gang that needs several."""

EVICTION_PATIENCE_SECONDS = 60.0
"""Waiting time after which smaller preemptible gangs on those workers are preempted."""

SETTLE_SECONDS = 30.0
"""Time for which a gang must not fit on all listed workers before it is given up."""


@attrs.define
class Earmark:
    """Workers kept free for one gang that has waited for long."""

    job: str
    workers: set[str]


class DataCentreScheduler:
    """State and decisions of one data centre.

    :param data_centre: its name.
    :param epoch: fencing epoch of the owner.
    :param started_at: time of taking over, in seconds.
    :param lease_seconds: worker lease; workers not heard for this long have stopped all tasks.
    """

    def __init__(
        self,
        data_centre: str,
        epoch: int,
        started_at: float,
        lease_seconds: float,
        metrics: Metrics,
    ) -> None:
        self.data_centre = data_centre
        self.epoch = epoch
        self.started_at = started_at
        self.lease_seconds = lease_seconds
        self.metrics = metrics
        self.configuration = Configuration()
        self.workers: dict[str, Worker] = {}
        self.gangs: dict[str, Gang] = {}
        self.capacity = Capacity()
        self.health = HealthTracker()
        self.earmark: Earmark | None = None
        self.is_rebuilt = False
        self.retired: dict[str, JobOutcome] = {}
        self.moved: set[str] = set()
        self.dirty: set[str] = set()

    # Inputs

    def on_machines(self, machines: Iterable[Machine]) -> None:
        """Take over the platform's list of this data centre's workers."""
        listed = {machine.id: machine for machine in machines}
        for name, machine in listed.items():
            worker = self.workers.get(name)
            if worker is None:
                worker = Worker(name, machine.rack, machine.accelerators)
                self.workers[name] = worker
            worker.is_listed = machine.state is MachineState.LIVE
        for name in set(self.workers) - set(listed):
            self.workers[name].is_listed = False
            if not self.workers[name].is_reachable and not self.workers[name].assigned:
                self._drop_worker(name)
        for name in self.workers:
            self._update_free(name)

    def on_configuration(self, configuration: Configuration, now: float) -> None:
        """Take over a configuration; cancelled and moved jobs are stopped."""
        self.configuration = configuration
        jobs = {job.name: job for job in configuration.jobs_in(self.data_centre)}
        for name in [name for name in self.gangs if name not in jobs]:
            self._cancel(self.gangs[name], now)
        self.retired = {name: each for name, each in self.retired.items() if name in jobs}
        if configuration.in_service(self.data_centre):
            self.moved.clear()
        self.moved &= set(jobs)
        self._update_claims()
        for job in jobs.values():
            self._adopt_job(job, now)
        if not configuration.in_service(self.data_centre):
            self._leave(now)

    def on_report(self, report: WorkerReport, now: float) -> None:
        """Take over a worker's report."""
        worker = self.workers.get(report.worker)
        if worker is None:
            return
        worker.heard_at, worker.clock = now, report.clock
        worker.is_reachable = True
        worker.reported = {each.task: each for each in report.tasks}
        if self.is_rebuilt:
            for each in report.tasks:
                self._take_task_report(worker, each)
        self._update_free(worker.name)

    def renew(self, worker: str, now: float) -> float:
        """Extend a worker's lease.

        :returns: end of the lease in the worker's clock, 0 before its first report.
        """
        state = self.workers[worker]
        if state.heard_at == float("-inf"):
            return 0.0
        state.lease_end = now + self.lease_seconds
        return state.to_worker_clock(state.lease_end)

    # Outputs

    def commands_for(self, worker: str, now: float, may_start: bool) -> list[TaskCommand]:
        """Return what a worker has to do to reach the state that its gangs need.

        :param may_start: whether the owner knows its configuration to be current.
        """
        state = self.workers[worker]
        if not self.is_rebuilt or state.heard_at == float("-inf"):
            return []
        commands = [self._command_for(state, each) for each in state.reported.values()]
        if may_start:
            commands += self._starts_for(state, now)
        return [command for command in commands if command is not None]

    def decide(self, now: float, may_start: bool) -> Decisions:
        """Advance every gang and place queued ones.

        :param may_start: whether the owner knows its configuration to be current.
        """
        self._lose_silent_workers(now)
        if not self.is_rebuilt:
            self._try_rebuild(now)
        if not self.is_rebuilt:
            return Decisions()
        for gang in [gang for gang in self.gangs.values() if gang.is_active]:
            self._advance(gang, now, may_start)
        if may_start and self.configuration.in_service(self.data_centre):
            self._place_queued(now)
        to_mark = {
            name: self._pin(gang)
            for name, gang in self.gangs.items()
            if gang.phase is GangPhase.MARKING
        }
        return Decisions(dict(self.retired), sorted(self.moved), to_mark)

    def _update_claims(self) -> None:
        """Find out which gangs a new plan has left outside the homes that they claim."""
        homes = {home.key: home for home in self.configuration.reservations}
        for gang in self.gangs.values():
            if gang.claim is not None:
                home = homes.get(gang.claim)
                workers = home.workers if home is not None else {}
                gang.is_off_home = any(
                    tasks > workers.get(name, 0) for name, tasks in gang.placement.items()
                )

    # Jobs

    def _adopt_job(self, job: Job, now: float) -> None:
        revision = self.configuration.revisions.get(entity_key("jobs", job.name), 0)
        gang = self.gangs.get(job.name)
        if gang is None:
            if job.name not in self.retired and job.name not in self.moved:
                self.gangs[job.name] = Gang(job, revision, now)
        elif gang.revision != revision:
            self._cancel(gang, now)

    def _cancel(self, gang: Gang, now: float) -> None:
        """Stop a gang whose job was withdrawn, changed or moved."""
        if gang.is_active:
            self._stop(gang, StopReason.CANCELLED, now)
        else:
            del self.gangs[gang.job.name]

    def _leave(self, now: float) -> None:
        """Stop what can be moved, and hand queued jobs on, when the data centre goes out."""
        for gang in list(self.gangs.values()):
            if gang.phase is GangPhase.QUEUED:
                self._move(gang)
            elif gang.phase in (GangPhase.HOLDING, GangPhase.MARKING) or gang.job.preemptible:
                self._stop(gang, StopReason.DATA_CENTRE_OUT, now)

    def _move(self, gang: Gang) -> None:
        if self._may_have_run(gang):
            self._retire(gang, JobState.UNKNOWN, "its workers were lost after it was released")
            return
        self.moved.add(gang.job.name)
        del self.gangs[gang.job.name]

    def _retire(self, gang: Gang, state: JobState, reason: str) -> None:
        self.retired[gang.job.name] = JobOutcome(state, reason)
        self.metrics.count(f"jobs.{state.value}")
        del self.gangs[gang.job.name]

    def _may_have_run(self, gang: Gang) -> bool:
        """Whether a non-repeatable job may have run, now or under an earlier owner."""
        is_marked = gang.job.name in self.configuration.released and not gang.is_own_mark
        return not gang.job.repeatable and (gang.was_released or is_marked)

    # Workers

    def is_usable(self, worker: Worker, now: float) -> bool:
        """Whether new tasks may be placed on a worker."""
        return (
            worker.is_reachable
            and worker.is_listed
            and not self.health.is_quarantined(worker.name, now)
        )

    def _drop_worker(self, name: str) -> None:
        if name in self.capacity.rack_of:
            self.capacity.remove(name)
        del self.workers[name]

    def _lose_silent_workers(self, now: float) -> None:
        """Give up workers whose lease has run out unrenewed; their tasks have stopped."""
        for worker in self.workers.values():
            is_silent = now - worker.heard_at > self.lease_seconds and now > worker.lease_end
            if worker.is_reachable and is_silent:
                worker.is_reachable = False
                worker.reported.clear()
                self.metrics.count("workers.lost")
                self._update_free(worker.name)

    def _update_free(self, name: str, now: float | None = None) -> None:
        """Recompute the free accelerators of one worker."""
        worker = self.workers[name]
        time = worker.heard_at if now is None else now
        if not self.is_rebuilt or not self.is_usable(worker, time):
            if name in self.capacity.rack_of:
                self.capacity.remove(name)
            return
        used = sum(gang.job.accelerators_per_task for gang in worker.assigned.values())
        used += sum(
            each.accelerators
            for each in worker.reported.values()
            if not each.state.is_final and each.task not in worker.assigned
        )
        self.capacity.set_free(name, worker.rack, max(0, worker.accelerators - used))

    # Taking over

    def _try_rebuild(self, now: float) -> None:
        """Start deciding once every worker was heard or its old lease has run out."""
        unheard = [
            worker
            for worker in self.workers.values()
            if worker.is_listed and worker.heard_at == float("-inf")
        ]
        if not self.workers or (unheard and now - self.started_at <= self.lease_seconds):
            return
        self.is_rebuilt = True
        for gang in list(self.gangs.values()):
            self._rebuild(gang, now)
        for name in self.workers:
            self._update_free(name, now)

    def _rebuild(self, gang: Gang, now: float) -> None:
        """Take over the newest attempt that workers report for a gang."""
        found = {
            each.task: (worker, each)
            for worker in self.workers.values()
            for each in worker.reported.values()
            if each.task.job == gang.job.name and each.task.revision == gang.revision
        }
        if not found:
            if self._may_have_run(gang):
                self._retire(gang, JobState.UNKNOWN, "no worker reports it after its release")
            return
        newest = max((task.epoch, task.attempt) for task in found)
        for task, (worker, each) in found.items():
            if (task.epoch, task.attempt) == newest:
                gang.tasks[task] = worker.name
                gang.states[task] = each.state
                worker.assigned[task] = gang
                gang.placement[worker.name] = gang.placement.get(worker.name, 0) + 1
        gang.attempt = newest[1]
        self._rebuild_phase(gang, now)

    def _rebuild_phase(self, gang: Gang, now: float) -> None:
        states = set(gang.states.values())
        gang.was_released = bool(states - {TaskState.HELD})
        is_whole = len(gang.tasks) == gang.job.tasks
        gang.phase = GangPhase.RUNNING if gang.was_released else GangPhase.HOLDING
        gang.phase_since = now
        claims = self._claims()
        candidates = claims.candidates(gang)
        pin = self.configuration.released.get(gang.job.name)
        if pin is not None and not gang.job.preemptible:
            gang.claim = pin.claim
        elif candidates:
            gang.claim = candidates[0].key
        self._update_claims()
        if not is_whole or not gang.was_released:
            reason = StopReason.WORKER_LOST if gang.was_released else StopReason.SUPERSEDED
            self._stop(gang, reason, now)
        self.metrics.count("gangs.taken_over")

    # Gangs

    def _take_task_report(self, worker: Worker, report: TaskReport) -> None:
        gang = worker.assigned.get(report.task)
        if gang is None:
            return
        before = gang.states.get(report.task)
        gang.states[report.task] = report.state
        if before is not report.state and report.state is TaskState.FAILED:
            gang.detail = report.reason
        if before is not report.state and report.state is TaskState.DONE:
            self.health.record_success(worker.name)

    def _advance(self, gang: Gang, now: float, may_start: bool) -> None:
        """Move one active gang to its next phase if its tasks allow it."""
        if gang.phase is GangPhase.STOPPING:
            if all(self._has_stopped(gang, task) for task in gang.tasks):
                self._end_attempt(gang, now)
            return
        broken = self._broken_reason(gang, now)
        if broken is not None:
            self._stop(gang, broken, now)
        elif gang.phase is GangPhase.HOLDING:
            self._advance_holding(gang, now, may_start)
        elif gang.phase is GangPhase.MARKING:
            is_marked = self.configuration.released.get(gang.job.name) == self._pin(gang)
            if is_marked and may_start:
                self._release(gang, now)
        elif self._all_in(gang, TaskState.DONE):
            self._free_workers(gang)
            self._retire(gang, JobState.DONE, "")

    def _advance_holding(self, gang: Gang, now: float, may_start: bool) -> None:
        if self._all_in(gang, TaskState.HELD):
            if not gang.job.preemptible:
                gang.is_own_mark = True
                self._enter(gang, GangPhase.MARKING, now)
            elif may_start:
                self._release(gang, now)
        elif now - gang.phase_since > HOLD_SECONDS and self._awaits_no_capacity(gang):
            self._stop(gang, StopReason.START_FAILED, now)

    def _pin(self, gang: Gang) -> Pin:
        return Pin(gang.claim or "", gang.job.accelerators_per_task, dict(gang.placement))

    def _awaits_no_capacity(self, gang: Gang) -> bool:
        """Whether none of the gang's workers still has to stop other tasks."""
        return not any(
            task not in self.workers[worker].assigned
            for worker in gang.placement
            if worker in self.workers
            for task, each in self.workers[worker].reported.items()
            if not each.state.is_final
        ) and not any(
            other.phase is GangPhase.STOPPING
            for worker in gang.placement
            if worker in self.workers
            for other in self.workers[worker].assigned.values()
        )

    def _release(self, gang: Gang, now: float) -> None:
        gang.was_released = True
        self._enter(gang, GangPhase.RUNNING, now)
        self.metrics.count("gangs.released")
        self.metrics.record("gangs.wait", now - gang.queued_at)

    def _enter(self, gang: Gang, phase: GangPhase, now: float) -> None:
        gang.phase = phase
        gang.phase_since = now
        self.dirty.update(gang.placement)

    def _all_in(self, gang: Gang, state: TaskState) -> bool:
        return len(gang.states) == len(gang.tasks) and all(
            reported is state for reported in gang.states.values()
        )

    def _broken_reason(self, gang: Gang, now: float) -> StopReason | None:
        """Return why a gang cannot go on, ``None`` when it can."""
        if any(state is TaskState.FAILED for state in gang.states.values()):
            return StopReason.TASK_FAILED
        for task, name in gang.tasks.items():
            worker = self.workers.get(name)
            state = gang.states.get(task)
            if state in (TaskState.DONE, TaskState.FAILED):
                continue
            if worker is None or not worker.is_reachable or state is TaskState.STOPPED:
                return StopReason.WORKER_LOST
            if state is not None and task not in worker.reported:
                return StopReason.WORKER_LOST
        return None

    def _has_stopped(self, gang: Gang, task: TaskIdentity) -> bool:
        """Whether a task certainly does not run any more."""
        worker = self.workers.get(gang.tasks[task])
        if worker is None or not worker.is_reachable:
            return True
        report = worker.reported.get(task)
        if report is None:
            # A START that was sent may still be obeyed until its validity ends.
            return worker.clock > worker.starts_valid_until
        return report.state.is_final

    def _stop(self, gang: Gang, reason: StopReason, now: float) -> None:
        if gang.phase is GangPhase.STOPPING:
            if reason is StopReason.CANCELLED:
                gang.stop_reason = reason
            return
        gang.stop_reason = reason
        self._enter(gang, GangPhase.STOPPING, now)
        self.metrics.count(f"gangs.stopped.{reason.value}")

    def _end_attempt(self, gang: Gang, now: float) -> None:
        """Requeue, retire or drop a gang whose tasks have all stopped."""
        failed = [task for task, state in gang.states.items() if state is TaskState.FAILED]
        for task in failed:
            self._blame(gang, gang.tasks[task], now)
        if gang.stop_reason is StopReason.START_FAILED:
            for task in set(gang.tasks) - set(gang.states):
                self._blame(gang, gang.tasks[task], now)
        self._free_workers(gang)
        name, reason = gang.job.name, gang.stop_reason
        if reason is StopReason.CANCELLED:
            del self.gangs[name]
            if self.configuration.assignments.get(name) == self.data_centre:
                self._adopt_job(self.configuration.jobs[name], now)
        elif failed and (not gang.job.repeatable or is_impossible(gang.failures, self.health)):
            state = JobState.IMPOSSIBLE if gang.job.repeatable else JobState.FAILED
            self._retire(gang, state, gang.detail or "its tasks failed")
        elif self._may_have_run(gang):
            self._retire(gang, JobState.UNKNOWN, f"stopped after its release: {reason.value}")
        elif not self.configuration.in_service(self.data_centre):
            self._move(gang)
        else:
            self._requeue(gang, now)

    def _requeue(self, gang: Gang, now: float) -> None:
        gang.phase = GangPhase.QUEUED
        if gang.stop_reason in (StopReason.TASK_FAILED, StopReason.START_FAILED):
            exponent = min(gang.attempt, 10)
            backoff = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**exponent)
            gang.not_before = now + backoff
        gang.was_released = False

    def _blame(self, gang: Gang, worker: str, now: float) -> None:
        gang.failures[worker] += 1
        if self.health.record_failure(worker, gang.job.name, now, len(self.workers)):
            self.metrics.count("workers.quarantined")
            if worker in self.workers:
                self._update_free(worker, now)

    def _free_workers(self, gang: Gang) -> None:
        for task, name in gang.tasks.items():
            worker = self.workers.get(name)
            if worker is not None:
                worker.assigned.pop(task, None)
        names = set(gang.placement)
        gang.tasks, gang.states, gang.placement, gang.claim = {}, {}, {}, None
        gang.is_off_home = False
        for name in names & set(self.workers):
            self._update_free(name)

    # Placing

    def _retire_impossible(self, waiting: list[Gang], now: float) -> None:
        """Give up gangs that would not fit even if every listed worker were free."""
        whole = Capacity(
            (worker.name, worker.rack, worker.accelerators)
            for worker in self.workers.values()
            if worker.is_listed
        )
        for gang in waiting:
            job = gang.job
            shape = (job.tasks, job.accelerators_per_task, job.adjacency)
            if gang.phase is not GangPhase.QUEUED or place_gang(whole, *shape) is not None:
                gang.unfit_since = None
                continue
            gang.unfit_since = now if gang.unfit_since is None else gang.unfit_since
            if now - gang.unfit_since >= SETTLE_SECONDS:
                reason = (
                    f"{job.tasks} tasks with {job.accelerators_per_task} accelerators "
                    f"({job.adjacency.value} adjacency) never fit on the {len(self.workers)} "
                    f"workers of {self.data_centre}"
                )
                self._retire(gang, JobState.IMPOSSIBLE, reason)

    def _claims(self) -> ClaimLedger:
        usable = {
            name: worker for name, worker in self.workers.items() if name in self.capacity.rack_of
        }
        active = [gang for gang in self.gangs.values() if gang.is_active]
        return ClaimLedger(self.configuration, self.data_centre, active, usable, self.capacity)

    def _place_queued(self, now: float) -> None:
        """Place claims of guarantees first, the smallest team first, then lent capacity."""
        for name in self.workers:
            if name not in self.capacity.rack_of:
                self._update_free(name, now)
        queued = [
            gang
            for gang in self.gangs.values()
            if gang.phase is GangPhase.QUEUED and gang.not_before <= now
        ]
        if queued:
            waiting = self._place_claims(queued, now)
            self._place_lent(waiting, now)
            self._retire_impossible(waiting, now)

    def _place_claims(self, queued: list[Gang], now: float) -> list[Gang]:
        """Place what teams claim from their guarantees.

        :returns: the gangs that could not be placed so.
        """
        claims = self._claims()
        teams = self.configuration.teams
        waiting = []
        for gang in sorted(
            queued,
            key=lambda each: (
                team_order(teams[each.job.team]),
                not each.job.urgent,
                each.queued_at,
            ),
        ):
            found = claims.place(gang)
            if found is None:
                waiting.append(gang)
                continue
            self._evict_for(found.placement, gang.job.accelerators_per_task, now)
            gang.claim = found.reservation.key
            gang.is_off_home = found.is_off_home
            self._place(gang, found.placement, now)
            claims.add(gang)
        return waiting

    def _evict_for(self, placement: dict[str, int], size: int, now: float) -> None:
        """Preempt gangs on lent capacity until a placement fits, the newest first."""
        for name, tasks in placement.items():
            worker = self.workers[name]
            needed = tasks * size
            stopping = sum(
                gang.job.accelerators_per_task
                for gang in worker.assigned.values()
                if gang.phase is GangPhase.STOPPING
            )
            room = self.capacity.free_of(name) + stopping
            lent = {gang.job.name: gang for gang in worker.assigned.values() if gang.is_evictable}
            for gang in sorted(lent.values(), key=lambda each: -each.phase_since):
                if room >= needed:
                    break
                room += gang.placement[name] * gang.job.accelerators_per_task
                self._stop(gang, StopReason.PREEMPTED, now)

    def _place_lent(self, waiting: list[Gang], now: float) -> None:
        """Place preemptible gangs on capacity that nobody claims, the longest waiting first."""
        hopeless: set[tuple] = set()
        for gang in sorted(waiting, key=lambda each: (not each.job.urgent, each.queued_at)):
            job = gang.job
            shape = (job.tasks, job.accelerators_per_task, job.adjacency)
            is_earmarked = self.earmark is not None and self.earmark.job == job.name
            if not job.preemptible:
                self._follow_home(gang)
                continue
            if shape in hopeless and not is_earmarked:
                continue
            placement = self._place_avoiding_failures(gang, is_earmarked)
            if placement is not None:
                self._place(gang, placement, now)
                continue
            hopeless.add(shape)
            self._keep_workers_free(gang, now)
        if self.earmark is not None and not self._is_waiting(self.earmark.job):
            self.earmark = None

    def _follow_home(self, gang: Gang) -> None:
        """Hand on a gang that can only run in a home when all its homes are elsewhere."""
        homes = {
            each.data_centre for each in self.configuration.reservations if is_home(each, gang.job)
        }
        if homes and self.data_centre not in homes:
            self._move(gang)

    def _is_waiting(self, job: str) -> bool:
        gang = self.gangs.get(job)
        return gang is not None and gang.phase is GangPhase.QUEUED

    def _place_avoiding_failures(self, gang: Gang, is_earmarked: bool) -> dict[str, int] | None:
        """Choose workers for a gang, if possible none on which it has failed before.

        Workers that failed everything are probed by single tasks, never by larger gangs.
        """
        job = gang.job
        kept_free = self.earmark.workers if self.earmark and not is_earmarked else set()
        suspects = self.health.suspects() if job.tasks > 1 else set()
        excluded = kept_free | suspects
        shape = (job.tasks, job.accelerators_per_task, job.adjacency)
        failed_on = gang.failed_on
        if failed_on:
            placement = place_gang(self.capacity.without(excluded | failed_on), *shape)
            if placement is not None:
                return placement
        capacity = self.capacity.without(excluded) if excluded else self.capacity
        return place_gang(capacity, *shape)

    def _keep_workers_free(self, gang: Gang, now: float) -> None:
        """Keep workers free for a gang that has waited for long, one gang at a time."""
        waited = now - gang.queued_at
        if waited < PATIENCE_SECONDS or gang.job.tasks == 1:
            return
        if self.earmark is None:
            workers = self._workers_to_keep_free(gang)
            if workers:
                self.earmark = Earmark(gang.job.name, workers)
                self.metrics.count("gangs.earmarked")
        elif self.earmark.job == gang.job.name and waited > EVICTION_PATIENCE_SECONDS:
            self._evict_smaller(gang, now)

    def _workers_to_keep_free(self, gang: Gang) -> set[str]:
        """Choose workers that the gang would fit on once lent capacity is free."""
        potential = Capacity()
        for name, rack in self.capacity.rack_of.items():
            worker = self.workers[name]
            fixed = sum(
                other.job.accelerators_per_task
                for other in worker.assigned.values()
                if not other.is_evictable and other.phase is not GangPhase.STOPPING
            )
            potential.set_free(name, rack, max(0, worker.accelerators - fixed))
        job = gang.job
        placement = place_gang(potential, job.tasks, job.accelerators_per_task, job.adjacency)
        return set(placement or {})

    def _evict_smaller(self, gang: Gang, now: float) -> None:
        for name in self.earmark.workers & set(self.workers):
            for other in list(self.workers[name].assigned.values()):
                if other.is_evictable and other.job.accelerators < gang.job.accelerators:
                    self._stop(other, StopReason.PREEMPTED, now)

    def _place(self, gang: Gang, placement: dict[str, int], now: float) -> None:
        """Assign a new attempt of a gang to workers; its tasks are started held."""
        gang.attempt += 1
        gang.placement = placement
        gang.stop_reason = None
        workers = [worker for worker, tasks in placement.items() for _ in range(tasks)]
        for index, name in enumerate(workers):
            task = TaskIdentity(gang.job.name, gang.revision, self.epoch, gang.attempt, index)
            gang.tasks[task] = name
            self.workers[name].assigned[task] = gang
        self._enter(gang, GangPhase.HOLDING, now)
        for name in placement:
            self._update_free(name)

    # Commands

    def _command_for(self, worker: Worker, report: TaskReport) -> TaskCommand | None:
        """Return what to do about a task that a worker reports."""
        gang = worker.assigned.get(report.task)
        if gang is None and not report.state.is_final:
            return TaskCommand(CommandKind.STOP, report.task)
        if gang is None:
            # Until its outcome is in the ledger, the reports are all that a successor has.
            is_recorded = report.task.job not in self.retired
            return TaskCommand(CommandKind.FORGET, report.task) if is_recorded else None
        if gang.phase is GangPhase.STOPPING and not report.state.is_final:
            keeps_progress = gang.stop_reason in (StopReason.PREEMPTED, StopReason.DATA_CENTRE_OUT)
            return TaskCommand(CommandKind.STOP, report.task, checkpoint=keeps_progress)
        if gang.phase is GangPhase.RUNNING and report.state is TaskState.HELD:
            return TaskCommand(CommandKind.RELEASE, report.task)
        return None

    def _starts_for(self, worker: Worker, now: float) -> list[TaskCommand]:
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
            room -= gang.job.accelerators_per_task
            if room < 0:
                break
            commands.append(
                TaskCommand(
                    CommandKind.START,
                    task,
                    gang.job.accelerators_per_task,
                    gang.job.command,
                    not_after,
                )
            )
        return commands

    def take_dirty(self) -> set[str]:
        """Return the workers to contact at once, and forget them."""
        dirty, self.dirty = self.dirty & set(self.workers), set()
        return dirty
