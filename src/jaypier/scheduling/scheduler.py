"""Decisions of one data centre's owner: which gangs start, run, stop and end; no I/O.

The work of a pass grows with what has changed since the last one, not with what runs.
"""

from collections.abc import Iterable

from jaypier.core.metrics import Metrics
from jaypier.notes.configuration import Configuration, ConfigurationEntry, touched_jobs
from jaypier.platform import Machine, MachineState
from jaypier.scheduling.commands import commands_for
from jaypier.scheduling.lifecycle import Lifecycle
from jaypier.scheduling.model import Decisions, GangPhase, Worker
from jaypier.scheduling.placing import Placer
from jaypier.scheduling.state import DataCentreState
from jaypier.scheduling.takeover import try_rebuild
from jaypier.workers.model import TaskCommand, WorkerReport

SILENCE_CHECK_SECONDS = 0.25
"""Time between two checks for workers whose lease has run out."""


class DataCentreScheduler:
    """All decisions for one data centre.

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
        self.state = DataCentreState(data_centre, epoch, lease_seconds, metrics)
        self.lifecycle = Lifecycle(self.state)
        self.placer = Placer(self.state)
        self.started_at = started_at
        self.next_silence_check = started_at

    # Views of the state

    @property
    def configuration(self) -> Configuration:
        """The configuration that decisions are made on."""
        return self.state.configuration

    @property
    def workers(self) -> dict[str, Worker]:
        """Workers by name."""
        return self.state.workers

    @property
    def is_rebuilt(self) -> bool:
        """Whether taking over has ended."""
        return self.state.is_rebuilt

    # Inputs

    def on_machines(self, machines: Iterable[Machine]) -> None:
        """Take over the platform's list of this data centre's workers."""
        workers = self.state.workers
        listed = {machine.id: machine for machine in machines}
        changed = set()
        for name, machine in listed.items():
            is_live = machine.state is MachineState.LIVE
            if name not in workers:
                workers[name] = Worker(name, machine.rack, machine.accelerators)
                changed.add(name)
            if workers[name].is_listed != is_live:
                workers[name].is_listed = is_live
                changed.add(name)
        for name in workers.keys() - listed.keys():
            workers[name].is_listed = False
            changed.add(name)
            if not workers[name].is_reachable and not workers[name].assigned:
                self.state.drop_worker(name)
                changed.discard(name)
        for name in changed:
            self.state.update_free(name, workers[name].heard_at)

    def on_configuration(
        self,
        configuration: Configuration,
        now: float,
        entries: list[ConfigurationEntry] | None = None,
    ) -> None:
        """Take over a configuration; cancelled and moved jobs are stopped.

        :param entries: the entries that lead to it, ``None`` when they are not known.
        """
        previous, self.state.configuration = self.state.configuration, configuration
        is_next = entries and entries[0].version == previous.version + 1
        touched = (
            {name for entry in entries for name in touched_jobs(entry)}
            if is_next
            else {*self.state.gangs, *self.state.retired, *self.state.pool, *configuration.jobs}
        )
        if self.state.in_service:
            touched |= self.state.moved
            self.state.moved.clear()
        for name in touched:
            self.lifecycle.adopt_job(name, now)
        if configuration.reservations is not previous.reservations:
            self.lifecycle.update_claims()
        if not self.state.in_service:
            self.lifecycle.leave(now)

    def on_report(self, report: WorkerReport, now: float) -> None:
        """Take over a worker's report."""
        worker = self.state.workers.get(report.worker)
        if worker is None:
            return
        worker.heard_at, worker.clock = now, report.clock
        worker.is_reachable = True
        worker.reported = {each.task: each for each in report.tasks}
        if self.state.is_rebuilt:
            self.lifecycle.take_reports(worker)
        self.state.update_free(worker.name, now)

    def renew(self, worker: str, now: float) -> float:
        """Extend a worker's lease.

        :returns: end of the lease in the worker's clock, 0 before its first report.
        """
        state = self.state.workers[worker]
        if state.heard_at == float("-inf"):
            return 0.0
        state.lease_end = now + self.state.lease_seconds
        return state.to_worker_clock(state.lease_end)

    # Outputs

    def commands_for(self, worker: str, now: float, may_start: bool) -> list[TaskCommand]:
        """Return what a worker has to do to reach the state that its gangs need.

        :param may_start: whether the owner knows its configuration to be current.
        """
        state = self.state.workers[worker]
        if not self.state.is_rebuilt or state.heard_at == float("-inf"):
            return []
        return commands_for(self.state, state, now, may_start)

    def decide(self, now: float, may_start: bool) -> Decisions:
        """Advance gangs and place queued ones.

        :param may_start: whether the owner knows its configuration to be current.
        """
        state = self.state
        if now >= self.next_silence_check:
            self.next_silence_check = now + SILENCE_CHECK_SECONDS
            self.lifecycle.lose_silent_workers(now)
        if not state.is_rebuilt:
            try_rebuild(state, self.lifecycle, self.started_at, now)
        if not state.is_rebuilt:
            return Decisions()
        self.lifecycle.advance_all(now, may_start)
        pulled = []
        if may_start and state.in_service:
            self.placer.place_queued(now)
            pulled = self.placer.pull(now)
        to_mark = {
            name: state.pin(gang)
            for name, gang in state.transient.items()
            if gang.phase is GangPhase.MARKING
        }
        return Decisions(dict(state.retired), sorted(state.moved), pulled, to_mark)

    def take_dirty(self) -> set[str]:
        """Return the workers to contact at once, and forget them."""
        dirty = self.state.dirty & self.state.workers.keys()
        self.state.dirty = set()
        return dirty
