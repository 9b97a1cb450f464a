"""Entry daemons as separate processes against the platform's protocol on loopback."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

import msgspec
import pytest

from jaypier.core.address import Address
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest
from standins.cluster import MemoryCluster, MemoryStore
from standins.protocol import PlatformServers, encode_configuration

HOST = "127.0.0.1"
VMS = 3
SETTINGS = """
NodeName = "edge-{number}"
Zone = "dc-{number}"
Ip = "{host}"
InternalPortRange = [{internal},{last}]
[ListenAddrs]
Frontend = "{host}:{callers}"
Ready = "{host}:{ready}"
[Limits]
CpuQuota = 1.0
CpuCores = 1
MemoryLimitMb = 300
[platform]
Address = "{host}:{store}"
[Bounds]
MaxHoldMs = 6000
GracePeriodS = 6
"""


class EntryProcesses:
    """Daemons on loopback; ends only those that it started."""

    def __init__(self, folder: Path, first_port: int) -> None:
        self.folder = folder
        self.first_port = first_port
        self.processes: dict[int, asyncio.subprocess.Process] = {}

    def ports(self, number: int) -> dict[str, int]:
        base = self.first_port + 10 * number
        return {
            "callers": base,
            "ready": base + 1,
            "internal": base + 2,
            "last": base + 9,
            "store": self.first_port + 900,
        }

    async def start(self, number: int) -> None:
        path = self.folder / f"edge-{number}.toml"
        path.write_text(SETTINGS.format(number=number, host=HOST, **self.ports(number)))
        self.processes[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "jaypier.entry",
            env={**os.environ, "JAYPIER_NODE_FILE": str(path)},
            stdout=(self.folder / f"edge-{number}.log").open("ab"),
        )

    def log(self, number: int) -> str:
        return (self.folder / f"edge-{number}.log").read_text()

    async def stop(self, number: int, how: signal.Signals) -> int:
        process = self.processes.pop(number)
        process.send_signal(how)
        return await asyncio.wait_for(process.wait(), 10)

    async def close(self) -> None:
        for number in list(self.processes):
            await self.stop(number, signal.SIGKILL)

    async def call(self, number: int, method: str, path: str, body: bytes = b""):
        pool = ConnectionPool(Address(HOST, self.ports(number)["callers"]))
        headers = [(b"host", b"desk.example"), (b"api-key", b"k1")]
        try:
            request = HttpRequest(method, path, headers, body)
            return await pool.exchange(request, 3.0)
        finally:
            pool.close()

    async def call_any(self, method: str, path: str, body: bytes = b""):
        """Call daemons in turn, as the platform's callers do, until one has answered."""
        for number in 3 * list(self.processes):
            try:
                response = await self.call(number, method, path, body)
            except TransportError:
                continue
            if response.status not in (502, 503, 504):
                return response
            await asyncio.sleep(0.3)
        raise AssertionError(f"no daemon answers {method} {path}")

    async def wait_ready(self, number: int) -> None:
        for _ in range(200):
            try:
                response = await self.call(number, "GET", "/common/")
            except TransportError:
                response = None
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"edge-{number} is not ready: {self.log(number)[-2000:]}")


def body(count: int, seconds: float, **values) -> bytes:
    step = {"Count": count, "Cpu": 1000, "MemMb": 1000, "Gpu": 2, **values}
    return msgspec.json.encode(
        {"Spec": "work", "Phases": [{**step, "EstimatedMs": int(seconds * 1000)}]}
    )


async def wait_state(daemons: EntryProcesses, job: str, state: str, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while True:
        response = await daemons.call_any("GET", f"/common/{job}")
        if response.status == 200 and msgspec.json.decode(response.body)["State"] == state:
            return
        assert loop.time() < end, f"{job} is not {state}: {response.status} {response.body!r}"
        await asyncio.sleep(0.1)


async def play(scenario, folder: Path, first_port: int) -> None:
    cluster = MemoryCluster(MemoryStore(random.Random(1)), random.Random(2))
    for number in range(4):
        cluster.add_worker(f"i-{number}", f"dc-{number % 2}", f"rack-{number % 2}")
    daemons = EntryProcesses(folder, first_port)
    host_store = Address(HOST, first_port + 900)
    async with PlatformServers(cluster, host_store, first_port + 901) as servers:
        servers.configure(encode_configuration(1, {"clinic": ["k1"]}))
        try:
            await asyncio.gather(*(daemons.start(number) for number in range(VMS)))
            await asyncio.gather(*(daemons.wait_ready(number) for number in range(VMS)))
            await scenario(daemons, cluster, servers)
        finally:
            await daemons.close()
    assert cluster.problems == []
    assert servers.faults == []


def run(scenario, folder: Path, first_port: int) -> None:
    asyncio.run(play(scenario, folder, first_port))


class TestEntryDaemons:
    def test_job_runs_and_is_shown_everywhere(self, tmp_path):
        async def scenario(daemons, cluster, servers):
            job = "00000000000000a1"
            response = await daemons.call(0, "POST", f"/common/{job}", body(4, 0.5))
            assert response.status == 200
            await wait_state(daemons, job, "completed", 10)
            for number in range(VMS):
                response = await daemons.call(number, "GET", f"/common/{job}")
                assert msgspec.json.decode(response.body) == {"State": "completed"}

        run(scenario, tmp_path, 21000)

    @pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM])
    def test_loss_of_any_daemon_loses_no_job(self, tmp_path, how):
        async def scenario(daemons, cluster, servers):
            jobs = [f"{number:016x}" for number in range(6)]
            for number, job in enumerate(jobs):
                response = await daemons.call(
                    number % VMS,
                    "POST",
                    f"/common/{job}",
                    body(3, 2.0, GangScheduled=number % 2 == 0),
                )
                assert response.status == 200
            leader = next(n for n in range(VMS) if "leadership began" in daemons.log(n))
            code = await daemons.stop(leader, how)
            assert code == (0 if how is signal.SIGTERM else -signal.SIGKILL)
            for job in jobs:
                await wait_state(daemons, job, "completed", 25)
            assert len(cluster.runs) == 18

        run(scenario, tmp_path, 22000 if how is signal.SIGKILL else 23000)
