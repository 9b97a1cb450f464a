"""Daemons as separate processes against the platform's protocol on loopback."""

import asyncio
import signal
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from jaypier.jobs.model import RunOutcome
from standins.deployment import Deployment, Interface, call
from standins.proxy import Passage

VMS = 3


def body(count: int, seconds: float, **values) -> bytes:
    step = {"Count": count, "Cpu": 1000, "MemMb": 1000, "Gpu": 2, **values}
    return msgspec.json.encode(
        {"Spec": "work", "Phases": [{**step, "EstimatedMs": int(seconds * 1000)}]}
    )


async def wait_state(deployment: Deployment, job: str, state: str, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while True:
        response = await deployment.call_any("GET", f"/common/{job}")
        if response.status == 200 and msgspec.json.decode(response.body)["State"] == state:
            return
        assert loop.time() < end, f"{job} is not {state}: {response.status} {response.body!r}"
        await asyncio.sleep(0.1)


def play(scenario, folder: Path) -> None:
    async def run() -> None:
        async with Deployment(folder, Interface.PLATFORM, VMS) as deployment:
            await scenario(deployment)
        assert deployment.cluster.problems == []
        assert deployment.servers.faults == []

    asyncio.run(run())


class TestEntryDaemons:
    def test_job_runs_and_is_shown_everywhere(self, tmp_path):
        async def scenario(deployment):
            job = "00000000000000a1"
            response = await deployment.call(0, "POST", f"/common/{job}", body(4, 0.5))
            assert response.status == 200
            await wait_state(deployment, job, "completed", 10)
            for number in range(VMS):
                response = await deployment.call(number, "GET", f"/common/{job}")
                assert msgspec.json.decode(response.body) == {"State": "completed"}

        play(scenario, tmp_path)

    @pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM])
    def test_loss_of_any_daemon_loses_no_job(self, tmp_path, how):
        async def scenario(deployment):
            jobs = [f"{number:016x}" for number in range(6)]
            for number, job in enumerate(jobs):
                response = await deployment.call(
                    number % VMS,
                    "POST",
                    f"/common/{job}",
                    body(3, 2.0, GangScheduled=number % 2 == 0),
                )
                assert response.status == 200
            code = await deployment.stop(deployment.find_leader(), how)
            assert code == (0 if how is signal.SIGTERM else -signal.SIGKILL)
            for job in jobs:
                await wait_state(deployment, job, "completed", 25)
            assert_done_once(deployment, tasks=18, gang_size=3)

        play(scenario, tmp_path)


def assert_done_once(deployment: Deployment, tasks: int, gang_size: int) -> None:
    """Check that each task was done by one run, and that no other start was of a whole gang.

    A leader that is killed while it orders a gang leaves a part of it, which never works; its
    successor stops that part and starts the gang anew.
    """
    runs = list(deployment.cluster.runs.values())
    done = Counter(run.task for run in runs if run.how is RunOutcome.DONE)
    assert len(done) == tasks and set(done.values()) == {1}
    others = Counter(
        (run.task.job_id, run.attempt) for run in runs if run.how is not RunOutcome.DONE
    )
    assert all(members < gang_size for members in others.values()), others


class TestLostPathToTheStore:
    @pytest.mark.parametrize("passage", [Passage.SILENT, Passage.REFUSED, Passage.NO_ANSWERS])
    @pytest.mark.parametrize("is_leader", [True, False])
    def test_callers_are_served_through_another_daemon(self, tmp_path, passage, is_leader):
        async def scenario(deployment):
            await wait_registered(deployment)
            leader = deployment.find_leader()
            cut = leader if is_leader else (leader + 1) % VMS
            deployment.proxies[cut].passage = passage
            jobs = [f"{number:016x}" for number in range(8)]
            for job in jobs:
                await submit_until_accepted(deployment, cut, job)
            deployment.proxies[cut].passage = Passage.OPEN
            for job in jobs:
                await wait_state(deployment, job, "completed", 25)
            assert "own path to the store lost" in deployment.log(cut)
            assert len(deployment.cluster.runs) == 8

        play(scenario, tmp_path)


async def wait_registered(deployment: Deployment) -> None:
    """Wait until every daemon knows the others."""
    loop = asyncio.get_running_loop()
    end = loop.time() + 15
    while True:
        numbers = range(VMS)
        dumps = [await call(deployment.ports[n].metrics, "GET", "/dump") for n in numbers]
        if all(len(msgspec.json.decode(each.body)["peers"]) == VMS - 1 for each in dumps):
            return
        assert loop.time() < end, "daemons do not know each other"
        await asyncio.sleep(0.1)


async def submit_until_accepted(deployment: Deployment, number: int, job: str) -> None:
    """Hand a job in at one daemon, again as long as its fate is unknown."""
    for _ in range(4):
        response = await deployment.call(number, "POST", f"/common/{job}", body(1, 0.3))
        if response.status != 504:
            break
    assert response.status == 200, response
