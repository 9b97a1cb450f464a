"""Daemons as separate processes against the platform's protocol on loopback."""

import asyncio
import signal
from pathlib import Path

import msgspec
import pytest

from standins.deployment import Deployment, Interface

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
            assert len(deployment.cluster.runs) == 18

        play(scenario, tmp_path)
