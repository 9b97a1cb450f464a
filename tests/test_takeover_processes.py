"""Tests of takeovers among daemons as processes, beside store outages and partial cuts."""

import asyncio
import contextlib
import itertools
import signal
from collections.abc import AsyncIterator, Callable, Iterable
from pathlib import Path

import attrs
import msgspec
import pytest

from jaypier.jobs.session import LONG_POLL_SECONDS
from standins.deployment import ConfigurationSource, Deployment, send_request

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

PAUSE_SECONDS = 4.5
"""Longer than a takeover takes, and shorter than a lease."""


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

    async def submit(self) -> None:
        """Submit the job and wait until all of its tasks are running."""
        step = {"Count": TASKS, "Cpu": 1000, "MemMb": 1000, "Gpu": 8}
        step["EstimatedMs"] = int(TASK_SECONDS * 1000)
        body = msgspec.json.encode({"Spec": "work", "Phases": [step]})
        response = await self.deployment.call_any("POST", f"/common/{JOB}", body)
        assert response.status == 200, response
        assert await self.wait_until(lambda: len(self.active_on(self.workers)) == TASKS, 10)
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

    @contextlib.asynccontextmanager
    async def load(self, number: int) -> AsyncIterator[None]:
        """Keep a daemon busy with requests, so that a pause does not find it waiting for events."""
        port = self.deployment.ports[number].metrics
        calls = [asyncio.create_task(send_request(port, "GET", "/dump")) for _ in range(200)]
        await asyncio.sleep(0.1)
        yield
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

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
        """Wait for a takeover, then for a second run, at most ``seconds``.

        :param silent: workers that the new leader does not reach; their runs must be active.
        """
        assert await self.wait_until(lambda: self.read_leader()[0] != self.old_leader, 10)
        leader, _ = self.read_leader()
        self.note(f"takeover by entry-{leader}")
        assert self.active_on(silent) == silent & self.busy
        runs = self.deployment.cluster.runs
        await self.wait_until(lambda: len(runs) > TASKS, seconds)
        self.note(f"runs: {[(str(run.task), run.worker, run.outcome) for run in runs.values()]}")
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
    play.pause(play.old_leader, 0.6)
    play.unregister(play.workers)
    play.end_outage(back=play.workers - silent)
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


async def pause_leader_beside_cut(play: Play) -> None:
    """The old leader is paused, and reaches only one worker when it continues."""
    await play.submit()
    silent = {min(play.busy)}
    play.cut(play.others, silent)
    async with play.load(play.old_leader):
        play.pause(play.old_leader, PAUSE_SECONDS)
    # The answers to requests sent before the pause arrive in the meantime.
    await asyncio.sleep(LONG_POLL_SECONDS + 0.5)
    play.cut({play.old_leader}, play.workers - silent)
    play.deployment.cut_store(play.old_leader)
    await play.watch_takeover(silent, LEASES_END_SECONDS)


RACKS_OF_SCENARIOS = {
    refuse_leader_after_outage: 4,
    pause_leader_in_outage: 4,
    lose_worker_before_outage: 4,
    split_workers: 3,
    pause_leader_beside_cut: 3,
}


async def run_scenario(scenario, folder: Path) -> list[str]:
    """Play a scenario and return the invariants that were violated."""
    deployment = Deployment(
        folder, ConfigurationSource.PLATFORM, racks=RACKS_OF_SCENARIOS[scenario]
    )
    deployment.wall_clock_leads[0] = WALL_CLOCK_LEAD_SECONDS
    async with deployment:
        play = Play(deployment)
        await scenario(play)
    violations = deployment.cluster.violations + deployment.servers.handler_errors
    return [*violations, *play.notes] if violations else []


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory) -> dict:
    """Play all scenarios side by side, as each consists of waiting; return the outcome of each."""

    async def run() -> list:
        plays = (
            run_scenario(scenario, tmp_path_factory.mktemp(scenario.__name__))
            for scenario in RACKS_OF_SCENARIOS
        )
        return await asyncio.gather(*plays, return_exceptions=True)

    return dict(zip(RACKS_OF_SCENARIOS, asyncio.run(run()), strict=True))


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
    def test_reports_from_before_pause_do_not_lead_to_second_run(self, outcomes):
        assert outcomes[pause_leader_beside_cut] == []
