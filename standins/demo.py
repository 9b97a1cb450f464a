"""Demonstration: one of the brief's deployments, end to end, with failures.

Starts stand-ins and seven daemons, submits a release note with teams, guarantees and gangs,
sends callers' requests through all daemons, kills one daemon, takes a data centre out and
brings it back, and checks what must hold. Exits with 1 if anything did not.
"""

import asyncio
import json
import shutil
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

from jaypier.platform.model import MachineKind
from standins.callers import Callers
from standins.checks import Drain, drain_faults, finished_jobs, gang_faults, request_faults
from standins.deployment import OPERATOR_TOKEN, Deployment

FOLDER = Path(".run/demo")
SEED = 20
REQUESTS = 800
THINK_SECONDS = 0.15
CONCURRENCY = 16
IN_FORCE_SECONDS = 3.0
GANGS_SECONDS = 30.0


def example_note() -> dict:
    """Return the first release note: four teams, their guarantees and their gangs."""
    teams = [
        {"name": "clinic", "guarantee": [shape("bench", 2, 4)]},
        {"name": "dairy", "guarantee": [shape("sorting", 4, 8)]},
        {"name": "pharmacy", "guarantee": [shape("packs", 3, 4)]},
        {"name": "sorting", "guarantee": [shape("nightly", 6, 8)]},
    ]
    jobs = [
        job("bench-fits", "clinic", 2, 4, 3, urgent=True),
        job("prescriptions", "clinic", 1, 4, 3, preemptible=False, repeatable=False),
        job("dairy-sort", "dairy", 4, 8, 5),
        job("pack-count", "pharmacy", 3, 4, 4),
        job("nightly-sort", "sorting", 6, 8, 6),
        *[job(f"small-{index}", "pharmacy", 1, 1, 2) for index in range(12)],
        *[job(f"gang-{index}", "sorting", 4, 4, 4) for index in range(6)],
    ]
    return {"id": "demo-first", "added": {"teams": teams, "jobs": jobs}}


def shape(name: str, tasks: int, accelerators: int) -> dict:
    """Return a guaranteed shape."""
    return {"name": name, "tasks": tasks, "accelerators_per_task": accelerators}


def job(name: str, team: str, tasks: int, accelerators: int, seconds: float, **more) -> dict:
    """Return a job that runs for some seconds."""
    return {
        "name": name,
        "team": team,
        "tasks": tasks,
        "accelerators_per_task": accelerators,
        "command": f"run {seconds}",
        "run_seconds": seconds,
        **more,
    }


def say(text: str) -> None:
    """Print one line of progress."""
    print(text, flush=True)


class Demo:
    """The steps of the demonstration."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.in_force_seconds: dict[str, float] = {}
        self.faults: list[str] = []
        self.drains: list[Drain] = []

    async def jaypier(self, *arguments: str) -> str:
        """Run the operators' tool against the running daemons; return what it printed."""
        command = [sys.executable, "-m", "jaypier.cli.main", "--token", OPERATOR_TOKEN]
        for name in self.deployment.running_daemons():
            command += ["--node", self.deployment.address(name)]
        process = await asyncio.create_subprocess_exec(
            *command, *arguments, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        output, _ = await process.communicate()
        if process.returncode:
            self.faults.append(f"jaypier {arguments[0]} exited with {process.returncode}")
        return output.decode()

    async def put_in_force(self, label: str, *arguments: str) -> None:
        """Run a command that changes the configuration; measure until it is in force."""
        text = await self.jaypier("--json", *arguments)
        answered_at = time.monotonic()
        version = json.loads(text)["version"] if text.startswith("{") else 0
        while True:
            dumps = [await self.deployment.dump(n) for n in self.deployment.running_daemons()]
            if all(dump["configuration"]["version"] >= version for dump in dumps):
                break
            if time.monotonic() - answered_at > IN_FORCE_SECONDS:
                self.faults.append(f"{label} was not in force everywhere in time")
                break
        self.in_force_seconds[label] = time.monotonic() - answered_at
        say(f"  {label}: in force everywhere {self.in_force_seconds[label]:.2f} s after its answer")

    async def run(self, callers: Callers) -> None:
        """Make every step."""
        note = example_note()
        path = FOLDER / "note.json"
        path.write_text(json.dumps(note))
        await self.put_in_force("first note", "note", "submit", str(path))
        load = asyncio.create_task(callers.run_load(40.0, CONCURRENCY, REQUESTS, THINK_SECONDS))
        await asyncio.sleep(1.0)
        victim = self.deployment.running_daemons()[-1]
        say(f"  killing {victim}")
        self.deployment.kill(victim)
        await asyncio.sleep(0.5)
        await self.take_out("nairobi-b")
        await load
        await self.wait_for_gangs({each["name"]: each["tasks"] for each in note["added"]["jobs"]})

    async def take_out(self, data_centre: str) -> None:
        """Take a data centre out of service and bring it back."""
        await self.put_in_force("drain", "drain", data_centre)
        accepted_at = time.time()
        await asyncio.sleep(4.0)
        returned_at = time.time()
        await self.put_in_force("return", "return", data_centre)
        self.drains.append(Drain(data_centre, accepted_at, returned_at))

    async def wait_for_gangs(self, sizes: dict[str, int]) -> None:
        """Wait until every job has run to its end."""
        deadline = time.monotonic() + GANGS_SECONDS
        while time.monotonic() < deadline:
            done = finished_jobs(await self.deployment.worker_log(), sizes)
            if done == set(sizes):
                break
            await asyncio.sleep(0.25)
        say(f"  gangs done: {len(done)} of {len(sizes)}")
        missing = sorted(set(sizes) - done)
        if missing:
            self.faults.append(f"jobs that did not finish: {', '.join(missing)}")

    async def check(self, callers: Callers) -> None:
        """Compare what callers and operators were told with what happened."""
        log = await self.deployment.worker_log()
        sizes = {each["name"]: each["tasks"] for each in example_note()["added"]["jobs"]}
        where = {m.id: m.data_centre for m in self.deployment.of_kind(MachineKind.WORKER)}
        reports = await self.deployment.endpoint_reports()
        drained = drain_faults(log, self.drains, where)
        self.faults += request_faults(callers.records, reports)
        self.faults += drained + gang_faults(log, sizes)
        outcomes = Counter(str(record.outcome) for record in callers.records)
        say("summary")
        say(f"  requests: {dict(outcomes)}")
        say(f"  starts in the drained data centre: {len(drained)}")
        say(f"  notes in force after (s): {self.in_force_seconds}")
        dumps = await self.jaypier("dump")
        (FOLDER / "dumps.json").write_text(dumps)
        say(f"  dump of every daemon: {FOLDER / 'dumps.json'}, {len(dumps)} bytes")
        for name in self.deployment.running_daemons():
            dump = await self.deployment.dump(name)
            latency = dump["latencies_ms"].get("requests.latency", {})
            say(f"  {name}: version {dump['configuration']['version']}, latency {latency}")


async def main() -> int:
    """Run the demonstration; return the exit code."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    started_at = time.monotonic()
    say("starting stand-ins and seven daemons")
    async with Deployment(FOLDER) as deployment, Callers(deployment, SEED) as callers:
        await deployment.wait_owned()
        say(f"  healthy after {time.monotonic() - started_at:.1f} s")
        demo = Demo(deployment)
        health = asyncio.create_task(callers.watch_health())
        await demo.run(callers)
        health.cancel()
        await demo.check(callers)
    for fault in demo.faults:
        say(f"FAULT: {fault}")
    say(f"{'FAILED' if demo.faults else 'all held'} after {time.monotonic() - started_at:.1f} s")
    return 1 if demo.faults else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
