"""Stand-in for workers: several simulated workers in one process, one address each.

A task's command says what it does: ``run SECONDS`` or ``fail SECONDS``. Faults of one worker
are switched by ``POST /faults``; ``GET /log`` returns everything that its tasks did.
"""

import argparse
import asyncio
import time
from collections.abc import Callable

import attrs

from jaypier.core.address import Address
from jaypier.core.codec import from_json, to_json
from jaypier.wire.messages import HttpRequest, HttpResponse, json_response
from jaypier.wire.server import HttpServer
from jaypier.workers.errors import EpochRefused
from jaypier.workers.model import CommandKind, TaskCommand, TaskIdentity, TaskReport, TaskState
from jaypier.workers.protocol import ControlReply, ControlRequest
from standins.serving import print_fault, serve_until_terminated

TICK_SECONDS = 0.02

USAGE_LAG_SECONDS = 2.0
"""Time by which reported usage lags."""


@attrs.define
class WorkerFaults:
    """Faults of one worker.

    :param fails_everything: whether every task fails as soon as it is released.
    :param is_cut: whether control requests go unanswered.
    """

    fails_everything: bool = False
    is_cut: bool = False


@attrs.frozen
class LogEntry:
    """Something that a task did.

    :param at: wall clock time in seconds.
    :param event: ``held``, ``released``, or a final task state.
    """

    at: float
    event: str
    worker: str
    task: TaskIdentity


@attrs.define
class SimulatedTask:
    """One task.

    :param left: seconds that it has still to run.
    """

    identity: TaskIdentity
    state: TaskState
    accelerators: int
    left: float
    fails: bool
    reason: str = ""
    released_at: float = 0.0


class SimulatedWorker:
    """State of one worker; no I/O.

    :param clock: its monotonic clock, in seconds.
    :param wall_clock: time for its log, in seconds.
    :param checkpoints: seconds left of tasks that were checkpointed; may be shared by workers,
        as the platform's object store is.
    """

    def __init__(
        self,
        name: str,
        accelerators: int,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        checkpoints: dict[tuple, float] | None = None,
    ) -> None:
        self.name = name
        self.accelerators = accelerators
        self.clock = clock
        self.wall_clock = wall_clock
        self.epoch = 0
        self.lease_until = 0.0
        self.tasks: dict[TaskIdentity, SimulatedTask] = {}
        self.checkpoints = {} if checkpoints is None else checkpoints
        self.faults = WorkerFaults()
        self.log: list[LogEntry] = []
        self.ticked_at = clock()

    def record(self, event: str, task: SimulatedTask) -> None:
        """Add an entry to the log."""
        self.log.append(LogEntry(self.wall_clock(), event, self.name, task.identity))

    def tick(self) -> None:
        """Let tasks run up to now; stop them all when the lease has run out."""
        now = self.clock()
        elapsed, self.ticked_at = now - self.ticked_at, now
        for task in self.tasks.values():
            if task.state is TaskState.RUNNING:
                task.left -= elapsed
                if task.left <= 0 or self.faults.fails_everything:
                    fails = task.fails or self.faults.fails_everything
                    self.end(task, TaskState.FAILED if fails else TaskState.DONE)
            if not task.state.is_final and now > self.lease_until:
                task.reason = "the lease ran out"
                self.end(task, TaskState.STOPPED)

    def end(self, task: SimulatedTask, state: TaskState) -> None:
        """Move a task to a final state."""
        task.state = state
        if state is TaskState.FAILED:
            task.reason = "the task exited with status 1"
        self.record(state.value, task)

    def control(self, request: ControlRequest) -> ControlReply:
        """Obey one control request.

        :raises EpochRefused: when the request's epoch is lower than one seen before.
        """
        self.tick()
        if request.epoch < self.epoch:
            raise EpochRefused(self.name, self.epoch)
        self.epoch = request.epoch
        if request.lease_until:
            self.lease_until = request.lease_until
        for command in request.commands:
            self.obey(command)
        reports = [
            TaskReport(
                task.identity, task.state, task.accelerators, task.reason, self.usage_of(task)
            )
            for task in self.tasks.values()
        ]
        return ControlReply(self.epoch, self.clock(), reports)

    def usage_of(self, task: SimulatedTask) -> float:
        """Return the usage as it was ``USAGE_LAG_SECONDS`` ago."""
        was_running = self.clock() - task.released_at > USAGE_LAG_SECONDS
        return 1.0 if task.state is TaskState.RUNNING and was_running else 0.0

    def obey(self, command: TaskCommand) -> None:
        """Obey one command."""
        task = self.tasks.get(command.task)
        if command.kind is CommandKind.START:
            self.start(command)
        elif task is None:
            return
        elif command.kind is CommandKind.RELEASE and task.state is TaskState.HELD:
            task.state = TaskState.RUNNING
            task.released_at = self.clock()
            self.record("released", task)
        elif command.kind is CommandKind.STOP and not task.state.is_final:
            if command.checkpoint:
                self.checkpoints[self.checkpoint_key(task.identity)] = task.left
            task.reason = "stopped by its owner"
            self.end(task, TaskState.STOPPED)
        elif command.kind is CommandKind.FORGET and task.state.is_final:
            del self.tasks[command.task]

    def checkpoint_key(self, task: TaskIdentity) -> tuple:
        """Return what identifies a task across attempts."""
        return (task.job, task.revision, task.index)

    def start(self, command: TaskCommand) -> None:
        """Start a task held, if its command is still valid and it fits."""
        used = sum(task.accelerators for task in self.tasks.values() if not task.state.is_final)
        is_valid = self.clock() <= min(command.not_after, self.lease_until)
        fits = used + command.accelerators <= self.accelerators
        if command.task in self.tasks or not is_valid or not fits:
            return
        action, _, seconds = command.command.partition(" ")
        task = SimulatedTask(
            command.task,
            TaskState.HELD,
            command.accelerators,
            self.checkpoints.get(self.checkpoint_key(command.task), float(seconds or 1)),
            action == "fail",
        )
        self.tasks[command.task] = task
        self.record("held", task)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        if request.path == "/faults":
            self.faults = from_json(request.body, WorkerFaults)
            return json_response(200, b"{}")
        if request.path == "/log":
            return json_response(200, to_json(self.log))
        while self.faults.is_cut:
            await asyncio.sleep(0.1)
        try:
            return json_response(
                200, to_json(self.control(from_json(request.body, ControlRequest)))
            )
        except EpochRefused as error:
            return json_response(409, to_json(ControlReply(error.epoch, self.clock(), [])))


async def tick_all(workers: list[SimulatedWorker]) -> None:
    """Let all workers run until cancelled."""
    while True:
        await asyncio.sleep(TICK_SECONDS)
        for worker in workers:
            worker.tick()


def main() -> None:
    """Run the stand-in until terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("workers", nargs="+", help="NAME=IP:PORT=ACCELERATORS")
    workers, servers = [], []
    checkpoints: dict[tuple, float] = {}
    for text in parser.parse_args().workers:
        name, address, accelerators = text.split("=")
        worker = SimulatedWorker(name, int(accelerators), checkpoints=checkpoints)
        workers.append(worker)
        servers.append(HttpServer(Address.parse(address), worker.handle, print_fault))
    asyncio.run(serve_until_terminated(servers, tick_all(workers)))


if __name__ == "__main__":
    main()
