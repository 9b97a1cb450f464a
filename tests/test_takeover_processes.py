"""Tests of takeovers among daemons as processes, beside store outages and partial cuts."""

import asyncio
import itertools
import signal
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import attrs
import msgspec
import pytest

from jaypier.jobs.session import LONG_POLL_SECONDS
from standins.deployment import ConfigurationSource, Deployment
from standins.ports import HOST

JOB = "00000000000000c1"
TASKS = 4
TASK_SECONDS = 120.0
WALL_CLOCK_LEAD_SECONDS = 30.0

SHORT_OUTAGE_SECONDS = 5.0
LONG_OUTAGE_SECONDS = 33.0

REGISTRATION_SECONDS = 1.5
"""Time after an outage in which workers register again: one heartbeat."""

LEASES_END_SECONDS = 14.0
"""Time after a takeover in which all leases of 6 s end and lost tasks start again."""

LONG_CUT_SECONDS = 33.0

SHORT_PAUSE_SECONDS = 4.5
"""Longer than a takeover takes, and shorter than a lease."""

LONG_PAUSE_SECONDS = 8.0
"""Longer than a lease."""


REQUESTS = 300
REQUESTS_RUN_TICKS = 3
"""A part of the processor time that a daemon takes for ``REQUESTS`` dumps of its state."""


def read_run_ticks(process: int) -> int:
    """Return the processor time that a process has taken, in ticks of usually 10 ms."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def wait_for_run_ticks(process: int, ticks: int) -> None:
    """Wait until a process has taken processor time, at most 0.3 s, without other work."""
    deadline = time.monotonic() + 0.3
    while read_run_ticks(process) < ticks and time.monotonic() < deadline:
        time.sleep(0.001)


@attrs.define
class Play:
    """One deployment with a job of four tasks, each of which takes a whole worker.

    :ivar old_leader: number of the daemon that has started the tasks.
    :ivar busy: ids of the workers with these tasks.
    :ivar notes: what was done, each with the time of the event loop in seconds.
    """

    deployment: Deployment
    old_leader: int = 0
    busy: set[str] = attrs.field(factory=set)
    notes: list[str] = attrs.field(factory=list)

    @property
    def others(self) -> set[int]:
        return set(self.deployment.processes) - {self.old_leader}

    @property
    def workers(self) -> set[str]:
        return set(self.deployment.cluster.workers)

    def busy_data_centre(self) -> set[str]:
        """Return the workers of a data centre in which a task runs."""
        workers = self.deployment.cluster.workers
        data_centre = workers[min(self.busy)].entry.data_centre
        return {name for name, each in workers.items() if each.entry.data_centre == data_centre}

    def active_on(self, workers: Iterable[str]) -> set[str]:
        """Return the workers among these with active runs."""
        return {name for name in workers if self.deployment.cluster.workers[name].active}

    def read_leader(self) -> tuple[int, int]:
        """Return the number of the leading daemon and its epoch from the store."""
        row = self.deployment.cluster.store.rows["leader/leader"].value
        return int(row["owner"].partition("/")[0].removeprefix("entry-")), row["epoch"]

    def note(self, text: str) -> None:
        self.notes.append(f"{asyncio.get_running_loop().time():.2f} {text}")

    async def wait_until(self, is_done: Callable[[], bool], seconds: float) -> bool:
        """Wait until a condition holds, at most ``seconds``; return whether it does."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while not is_done() and loop.time() < deadline:
            await asyncio.sleep(0.05)
        return is_done()

    async def require(self, is_done: Callable[[], bool], seconds: float, text: str) -> None:
        """Wait until a condition holds; it has to within ``seconds``."""
        assert await self.wait_until(is_done, seconds), f"not {text}: {self.notes}"
        self.note(text)

    async def require_takeover(self) -> None:
        await self.require(lambda: self.read_leader()[0] != self.old_leader, 15, "taken over")

    async def submit(self) -> None:
        """Submit the job and wait until all of its tasks are running."""
        step = {"Count": TASKS, "Cpu": 1000, "MemMb": 1000, "Gpu": 8}
        step["EstimatedMs"] = int(TASK_SECONDS * 1000)
        body = msgspec.json.encode({"Spec": "work", "Phases": [step]})
        response = await self.deployment.call_any("POST", f"/common/{JOB}", body)
        assert response.status == 200, response
        await self.require(lambda: len(self.active_on(self.workers)) == TASKS, 15, "running")
        self.old_leader, _ = self.read_leader()
        self.busy = self.active_on(self.workers)
        self.note(f"entry-{self.old_leader} has started tasks on {sorted(self.busy)}")
        await asyncio.sleep(0.5)

    def cut(self, numbers: Iterable[int], workers: Iterable[str]) -> None:
        """Cut daemons from workers; their requests remain without an answer."""
        for number, worker in itertools.product(numbers, workers):
            self.deployment.cut_worker(number, worker)

    def refuse(self, workers: Iterable[str]) -> None:
        """Let workers refuse new connections; those of the old leader stay open."""
        for worker in workers:
            self.deployment.worker_proxies[worker].stop_listening()

    def unregister(self, workers: Iterable[str]) -> None:
        for worker in workers:
            self.deployment.cluster.unregister(self.deployment.cluster.workers[worker])
        self.note(f"entries lapsed: {sorted(workers)}")

    def register(self, workers: Iterable[str]) -> None:
        for worker in workers:
            self.deployment.servers.register(self.deployment.cluster.workers[worker])

    def pause(self, number: int, seconds: float) -> None:
        """Stop a process by SIGSTOP, and continue it after ``seconds``."""
        self.deployment.send_signal(number, signal.SIGSTOP)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self.deployment.send_signal, number, signal.SIGCONT)

    async def pause_while_busy(self, number: int, seconds: float) -> None:
        """Pause a process that handles events; one that waits for them handles timers first."""
        port, process = self.deployment.ports[number].metrics, self.deployment.processes[number].pid
        streams = [await asyncio.open_connection(HOST, port) for _ in range(REQUESTS)]
        await asyncio.sleep(0.3)
        ticks = read_run_ticks(process) + REQUESTS_RUN_TICKS
        for _, writer in streams:
            writer.write(b"GET /dump HTTP/1.1\r\nhost: vm\r\n\r\n")
        # Nothing else runs in this process meanwhile, so that nothing delays the signal.
        wait_for_run_ticks(process, ticks)
        self.pause(number, seconds)
        for _, writer in streams:
            writer.transport.abort()

    async def begin_outage(self, seconds: float) -> None:
        """Take the store away and return before it is back."""
        self.deployment.cluster.store.is_down = True
        self.note("store down")
        await asyncio.sleep(seconds)

    def end_outage(self, back: Iterable[str]) -> None:
        """Bring the store back, and soon after it the entries of workers that can reach it."""
        self.deployment.cluster.store.is_down = False
        self.note("store up")
        asyncio.get_running_loop().call_later(REGISTRATION_SECONDS, self.register, back)

    async def watch_takeover(self, silent: set[str], seconds: float) -> None:
        """Wait for a takeover, then for a violation, at most ``seconds``.

        :param silent: workers that the new leader does not reach; their runs must be active.
        """
        await self.require_takeover()
        leader, _ = self.read_leader()
        assert self.active_on(silent) == silent & self.busy, self.notes
        cluster = self.deployment.cluster
        await self.wait_until(lambda: bool(cluster.violations), seconds)
        self.note(f"runs: {[(str(run.task), run.worker) for run in cluster.runs.values()]}")
        events = map(msgspec.json.decode, self.deployment.read_log(leader).splitlines())
        assert silent <= {
            each["worker"] for each in events if each["event"] == "worker unreachable"
        }


async def refuse_leader_after_outage(play: Play) -> None:
    """A data centre refuses the new leader after an outage; the old leader reaches all workers."""
    await play.submit()
    await play.begin_outage(LONG_OUTAGE_SECONDS)
    silent = play.busy_data_centre()
    play.refuse(silent)
    play.deployment.cut_store(play.old_leader)
    play.unregister(play.workers)
    play.end_outage(back=play.workers - silent)
    await play.watch_takeover(silent, LEASES_END_SECONDS)


async def pause_leader_in_outage(play: Play) -> None:
    """A data centre is silent after an outage, at whose end the old leader is paused."""
    await play.submit()
    await play.begin_outage(LONG_OUTAGE_SECONDS)
    silent = play.busy_data_centre()
    play.cut(play.others, silent)
    play.deployment.send_signal(play.old_leader, signal.SIGSTOP)
    play.unregister(play.workers)
    play.end_outage(back=play.workers - silent)
    await play.require_takeover()
    play.deployment.send_signal(play.old_leader, signal.SIGCONT)
    await play.watch_takeover(silent, LEASES_END_SECONDS)


async def lose_worker_before_outage(play: Play) -> None:
    """Only the old leader reaches one worker, whose entry lapses before a short outage."""
    await play.submit()
    silent = {min(play.busy)}
    play.refuse(silent)
    play.unregister(silent)
    await asyncio.sleep(1.0)
    await play.begin_outage(SHORT_OUTAGE_SECONDS)
    play.deployment.cut_store(play.old_leader)
    play.end_outage(back=())
    await play.watch_takeover(silent, LEASES_END_SECONDS)


async def split_workers(play: Play) -> None:
    """The old leader, without the store, reaches the busy workers, the new one the idle ones."""
    await play.submit()
    play.cut(play.others, play.busy)
    play.cut({play.old_leader}, play.workers - play.busy)
    play.deployment.cut_store(play.old_leader)
    await play.watch_takeover(play.busy, LONG_CUT_SECONDS)


async def pause_leader_beside_cut(play: Play, seconds: float = SHORT_PAUSE_SECONDS) -> None:
    """The old leader is paused, and reaches only one worker when it continues."""
    await play.submit()
    silent = {min(play.busy)}
    play.cut(play.others, silent)
    await play.pause_while_busy(play.old_leader, seconds)
    # The answers to requests sent before the pause arrive in the meantime.
    await asyncio.sleep(LONG_POLL_SECONDS + 0.5)
    play.cut({play.old_leader}, play.workers - silent)
    play.deployment.cut_store(play.old_leader)
    await play.watch_takeover(silent, LEASES_END_SECONDS)


async def pause_leader_for_longer_than_lease(play: Play) -> None:
    """The same, with runs that have ended when the old leader continues."""
    await pause_leader_beside_cut(play, LONG_PAUSE_SECONDS)


OUTAGES_AND_CUTS = {
    refuse_leader_after_outage: 4,
    pause_leader_in_outage: 4,
    lose_worker_before_outage: 4,
    split_workers: 3,
}
PAUSES = {pause_leader_beside_cut: 3, pause_leader_for_longer_than_lease: 3}
"""Number of racks, each with two workers, by scenario."""


async def run_scenario(scenario, racks: int, folder: Path) -> list[str]:
    """Play a scenario and return the invariants that were violated."""
    deployment = Deployment(folder, ConfigurationSource.PLATFORM, racks=racks)
    deployment.wall_clock_leads[0] = WALL_CLOCK_LEAD_SECONDS
    async with deployment:
        play = Play(deployment)
        await scenario(play)
    violations = deployment.cluster.violations + deployment.servers.handler_errors
    return [*violations, *play.notes] if violations else []


def run_scenarios(scenarios: dict, factory: pytest.TempPathFactory) -> dict:
    """Play scenarios side by side, as each consists of waiting; return the outcome of each."""

    async def run() -> list:
        plays = (
            run_scenario(scenario, racks, factory.mktemp(scenario.__name__))
            for scenario, racks in scenarios.items()
        )
        return await asyncio.gather(*plays, return_exceptions=True)

    return dict(zip(scenarios, asyncio.run(run()), strict=True))


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory) -> dict:
    return run_scenarios(OUTAGES_AND_CUTS, tmp_path_factory)


@pytest.fixture(scope="module")
def pause_outcomes(tmp_path_factory) -> dict:
    return run_scenarios(PAUSES, tmp_path_factory)


class TestTakeoverAfterLongStoreOutage:
    def test_runs_in_data_centre_that_refuses_new_leader_are_not_started_twice(self, outcomes):
        assert outcomes[refuse_leader_after_outage] == []

    def test_runs_of_paused_leader_in_silent_data_centre_are_not_started_twice(self, outcomes):
        assert outcomes[pause_leader_in_outage] == []


class TestTakeoverAfterShortStoreOutage:
    def test_run_on_worker_without_entry_is_not_started_twice(self, outcomes):
        assert outcomes[lose_worker_before_outage] == []


class TestTakeoverBesideLastingCut:
    def test_runs_that_old_leader_keeps_for_over_30_seconds_are_not_started_twice(self, outcomes):
        assert outcomes[split_workers] == []


class TestTakeoverFromPausedLeader:
    def test_leases_are_not_renewed_on_reports_from_before_pause(self, pause_outcomes):
        assert pause_outcomes[pause_leader_beside_cut] == []

    def test_runs_are_not_started_on_reports_from_before_pause(self, pause_outcomes):
        assert pause_outcomes[pause_leader_for_longer_than_lease] == []
