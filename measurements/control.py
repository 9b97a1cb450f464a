"""Measures control: notes in force, and what daemons spend, against daemons and workers.

python -m measurements.control [notes] [idle] [workers] [teams]
"""

import asyncio
import json
import os
import random
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
from hdrh.histogram import HdrHistogram

from jaypier.platform.model import MachineKind
from measurements.figures import print_figure
from standins.deployment import Deployment, Shape
from standins.platform import Counts

FOLDER = Path(".run/measure-control")
NOTES = 500
NOTES_A_DAY = 16_000
RATE_FACTOR = 50
IDLE_SECONDS = 10.0
SETTLE_SECONDS = 4.0
POLL_SECONDS = 0.004
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Usage:
    """What a daemon has used up to one moment."""

    cpu_seconds: float
    memory_mb: float
    bytes_sent: int
    messages_sent: int


@asynccontextmanager
async def running(shape: Shape) -> AsyncIterator[Deployment]:
    """Run a deployment whose data centres have owners."""
    async with Deployment(FOLDER, shape) as deployment:
        await deployment.wait_owned()
        yield deployment


def process_usage(pid: int) -> tuple[float, float]:
    """Return processor seconds and resident megabytes of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    cpu_seconds = (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND
    return cpu_seconds, int(resident.split()[1]) / 1024


async def usage(deployment: Deployment, name: str) -> Usage:
    """Return what a daemon has used so far."""
    cpu_seconds, memory_mb = process_usage(deployment.processes[name].pid)
    counters = (await deployment.dump(name))["counters"]
    return Usage(
        cpu_seconds,
        memory_mb,
        counters.get("peers.bytes_sent", 0),
        counters.get("peers.messages_sent", 0),
    )


async def print_usage(deployment: Deployment, label: str, seconds: float, work, **context) -> None:
    """Print what each daemon spends on average while ``work`` runs."""
    names = deployment.running_daemons()
    before = [await usage(deployment, name) for name in names]
    counts_before: Counts = await deployment.platform_counts()
    started_at = time.monotonic()
    await work(seconds)
    elapsed = time.monotonic() - started_at
    after = [await usage(deployment, name) for name in names]
    counts: Counts = await deployment.platform_counts()
    pairs = list(zip(before, after, strict=True))
    count = len(names)
    context = {"daemons": count, **context}
    cpu = sum(b.cpu_seconds - a.cpu_seconds for a, b in pairs) / elapsed / count
    sent = sum(b.bytes_sent - a.bytes_sent for a, b in pairs) / elapsed / count
    messages = sum(b.messages_sent - a.messages_sent for a, b in pairs) / elapsed / count
    print_figure(f"{label}.cpu", cpu * 100, "% of a core", **context)
    print_figure(f"{label}.peer_bytes", sent, "B/s", **context)
    print_figure(f"{label}.peer_messages", messages, "1/s", **context)
    print_figure(f"{label}.memory", max(b.memory_mb for _, b in pairs), "MB", **context)
    reads = (counts.reads - counts_before.reads) / elapsed / count
    writes = (counts.writes - counts_before.writes) / elapsed / count
    print_figure(f"{label}.store_reads", reads, "1/s", **context)
    print_figure(f"{label}.store_writes", writes, "1/s", **context)


async def submit(deployment: Deployment, daemon: str, index: int) -> int:
    """Submit a small note; return the version that it made."""
    note = {"id": f"n{index}-{time.time_ns()}", "added": {"teams": [{"name": f"team-{index}"}]}}
    answer = await deployment.operate(daemon, "POST", "/v1/notes", json.dumps(note).encode())
    return json.loads(answer.body)["version"]


async def version_of(deployment: Deployment, daemon: str) -> int:
    """Return the version in force in a daemon."""
    answer = await deployment.operate(daemon, "GET", "/v1/nodes")
    return next(each["version"] for each in json.loads(answer.body) if each["id"] == daemon)


async def measure_notes(deployment: Deployment, label: str, count: int, watched: list[str]) -> None:
    """Measure the time from a note's answer until it is in force in all watched daemons."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    rng = random.Random(count)
    for index in range(count):
        version = await submit(deployment, rng.choice(watched), index)
        answered_at = time.monotonic()
        while (
            min(await asyncio.gather(*(version_of(deployment, name) for name in watched))) < version
        ):
            await asyncio.sleep(POLL_SECONDS)
        histogram.record_value(max(1, int((time.monotonic() - answered_at) * 1_000_000)))
    context = {"daemons": len(watched), "notes": count}
    for percentile in (50, 99):
        value = histogram.get_value_at_percentile(percentile) / 1000
        print_figure(f"{label}.p{percentile}", value, "ms", **context)
    print_figure(f"{label}.max", histogram.get_max_value() / 1000, "ms", **context)


async def measure_in_force() -> None:
    """Measure notes with all daemons, with one killed, and with one frozen."""
    async with running(Shape(daemons=8)) as deployment:
        names = deployment.running_daemons()
        await measure_notes(deployment, "in_force.all", NOTES, names)
        deployment.kill(names[-1])
        await measure_notes(deployment, "in_force.one_killed", 100, names[:-1])
        deployment.freeze(names[-2])
        await measure_notes(deployment, "in_force.one_frozen", 100, names[:-2])
        deployment.thaw(names[-2])


async def measure_idle(daemons: int) -> None:
    """Measure what daemons spend at rest, and under fifty times the notes of a large site."""
    async with running(Shape(daemons=daemons, endpoints=24)) as deployment:
        await asyncio.sleep(SETTLE_SECONDS)
        await print_usage(deployment, "idle", IDLE_SECONDS, asyncio.sleep)
        if daemons != 8:
            return
        rate = NOTES_A_DAY * RATE_FACTOR / 86_400
        names = deployment.running_daemons()
        offset = random.randrange(1 << 30)

        async def stream(seconds: float) -> None:
            tasks = []
            for index in range(int(seconds * rate)):
                name = names[index % len(names)]
                tasks.append(asyncio.create_task(submit(deployment, name, offset + index)))
                await asyncio.sleep(1 / rate)
            await asyncio.gather(*tasks)

        await print_usage(deployment, "notes", IDLE_SECONDS, stream, rate=round(rate, 2))


async def measure_workers(workers_per_rack: int, racks: int) -> None:
    """Measure what one daemon spends on workers."""
    shape = Shape(("dc-a",), racks, workers_per_rack, endpoints=1, daemons=1)
    async with running(shape) as deployment:
        await asyncio.sleep(SETTLE_SECONDS)
        count = len(deployment.of_kind(MachineKind.WORKER))
        await print_usage(deployment, "workers", IDLE_SECONDS, asyncio.sleep, workers=count)


async def measure_teams(teams: int) -> None:
    """Measure what a daemon spends on teams."""
    async with running(Shape(daemons=2)) as deployment:
        entities = [{"name": f"team-{index}"} for index in range(teams)]
        note = {"id": "teams", "added": {"teams": entities}}
        await deployment.operate("entry-1", "POST", "/v1/notes", json.dumps(note).encode())
        await asyncio.sleep(SETTLE_SECONDS)
        await print_usage(deployment, "teams", IDLE_SECONDS, asyncio.sleep, teams=teams)


async def main() -> None:
    """Make the chosen measurements, all by default."""
    chosen = sys.argv[1:] or ["notes", "idle", "workers", "teams"]
    if "notes" in chosen:
        await measure_in_force()
    if "idle" in chosen:
        for daemons in (2, 4, 8, 16, 32):
            await measure_idle(daemons)
    if "workers" in chosen:
        for racks in (1, 4, 16, 32):
            await measure_workers(6, racks)
    if "teams" in chosen:
        for teams in (4, 90, 360):
            await measure_teams(teams)


if __name__ == "__main__":
    asyncio.run(main())
