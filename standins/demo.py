"""Demonstration: one of the brief's deployments, end to end, with failures.

Starts the platform's stand-in with 24 workers and seven daemons, submits a release note with teams,
guarantees and gangs, hands callers' jobs in through all daemons, kills the leading daemon, takes a
data centre out and brings it back, and checks what must hold. Exits with 1 if anything did not.
"""

import asyncio
import json
import random
import shutil
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec

from jaypier.wire.errors import TransportError
from standins.deployment import OPERATOR_TOKEN, ConfigurationSource, Deployment

OUTPUT_FOLDER = Path(".run/demo")
SEED = 20
CALLER_JOBS = 150
CONCURRENCY = 12
IN_FORCE_TIMEOUT_SECONDS = 3.0
JOB_TIMEOUT_SECONDS = 40.0
FINAL_STATES = ("completed", "failed", "cancelled", "unknown")


def example_note() -> dict:
    """Return the first release note: four teams, their guarantees and their gangs."""
    teams = [
        {"name": "clinic", "guarantee": [guaranteed_shape("bench", 2, 4)], "keys": ["k1"]},
        {"name": "dairy", "guarantee": [guaranteed_shape("sorting", 4, 8)]},
        {"name": "pharmacy", "guarantee": [guaranteed_shape("packs", 3, 4)]},
        {"name": "sorting", "guarantee": [guaranteed_shape("nightly", 6, 8)]},
    ]
    jobs = [
        job_entity("bench-fits", "clinic", 2, 4, 3, urgent=True),
        job_entity("prescriptions", "clinic", 1, 4, 3, preemptible=False, repeatable=False),
        job_entity("dairy-sort", "dairy", 4, 8, 5),
        job_entity("pack-count", "pharmacy", 3, 4, 4),
        job_entity("nightly-sort", "sorting", 6, 8, 6),
        *[job_entity(f"gang-{index}", "sorting", 4, 4, 4) for index in range(6)],
    ]
    queues = [{"name": "fits", "priority": 0}, {"name": "reports", "priority": 1}]
    return {"id": "demo-first", "added": {"teams": teams, "jobs": jobs, "queues": queues}}


def guaranteed_shape(name: str, tasks: int, accelerators: int) -> dict:
    """Return a guaranteed shape."""
    return {"name": name, "tasks": tasks, "accelerators_per_task": accelerators}


def job_entity(
    name: str, team: str, tasks: int, accelerators: int, seconds: float, **fields
) -> dict:
    """Return a job that runs for some seconds."""
    return {
        "name": name,
        "team": team,
        "tasks": tasks,
        "accelerators_per_task": accelerators,
        "command": f"run {seconds}",
        "run_seconds": seconds,
        **fields,
    }


def print_progress(text: str) -> None:
    """Print one line of progress."""
    print(text, flush=True)


class Demo:
    """The steps of the demonstration."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.rng = random.Random(SEED)
        self.in_force_seconds: dict[str, float] = {}
        self.failures: list[str] = []
        self.outcomes: Counter[str] = Counter()

    async def run_tool(self, *arguments: str) -> str:
        """Run the operators' tool against the running daemons; return what it printed."""
        command = [sys.executable, "-m", "jaypier.cli.main", "--token", OPERATOR_TOKEN]
        for number in self.deployment.processes:
            command += ["--node", self.deployment.operator_address(number)]
        process = await asyncio.create_subprocess_exec(
            *command, *arguments, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        output, _ = await process.communicate()
        if process.returncode:
            self.failures.append(f"jaypier {arguments[0]} exited with {process.returncode}")
        return output.decode()

    async def measure_change(self, label: str, *arguments: str) -> None:
        """Run a command that changes the configuration; measure until it is in force."""
        text = await self.run_tool("--json", *arguments)
        accepted_at = time.monotonic()
        version = json.loads(text)["version"] if text.startswith("{") else 0
        while not await self.is_in_force(version):
            if time.monotonic() - accepted_at > IN_FORCE_TIMEOUT_SECONDS:
                self.failures.append(f"{label} was not in force everywhere in time")
                break
            await asyncio.sleep(0.02)
        self.in_force_seconds[label] = round(time.monotonic() - accepted_at, 3)
        print_progress(
            f"  {label}: in force everywhere {self.in_force_seconds[label]:.2f} s after its answer"
        )

    async def is_in_force(self, version: int) -> bool:
        """Whether every running daemon has a version in force."""
        responses = await asyncio.gather(
            *(
                self.deployment.call_as_operator(n, "GET", "/v1/daemon")
                for n in self.deployment.processes
            )
        )
        return all(msgspec.json.decode(each.body)["version"] >= version for each in responses)

    async def run(self) -> None:
        """Make every step."""
        note = example_note()
        path = OUTPUT_FOLDER / "note.json"
        path.write_text(json.dumps(note))
        await self.measure_change("first note", "note", "submit", str(path))
        load = asyncio.create_task(self.run_load())
        await asyncio.sleep(1.0)
        leader = self.deployment.find_leader()
        print_progress(f"  killing entry-{leader}, which leads")
        await self.deployment.stop(leader, signal.SIGKILL)
        await asyncio.sleep(0.5)
        await self.drain_and_return("dc-1")
        await load
        await self.wait_for_jobs([each["name"] for each in note["added"]["jobs"]])

    async def drain_and_return(self, data_centre: str) -> None:
        """Take a data centre out of service and bring it back."""
        await self.measure_change("drain", "drain", data_centre)
        self.deployment.cluster.evacuated_at = {data_centre: asyncio.get_running_loop().time()}
        await asyncio.sleep(4.0)
        self.deployment.cluster.evacuated_at = {}
        await self.measure_change("return", "return", data_centre)

    # Callers

    async def run_load(self) -> None:
        """Hand jobs in through all daemons, and follow each to its end."""
        numbers = iter(range(CALLER_JOBS))
        await asyncio.gather(*(self.run_caller(numbers) for _ in range(CONCURRENCY)))

    async def run_caller(self, numbers) -> None:
        """Hand one job in after the other."""
        for number in numbers:
            queue = "fits" if number % 3 == 0 else "reports"
            path = f"/v1/queues/{queue}/{self.rng.getrandbits(64):016x}"
            step = {"Count": 1 + number % 3, "Gpu": 1, "EstimatedMs": 300}
            body = json.dumps({"Spec": "run", "Phases": [step]}).encode()
            response = await self.deployment.call_any("POST", path, body)
            if response.status != 200:
                self.failures.append(
                    f"job {path} was answered {response.status}: {response.body!r}"
                )
                continue
            self.outcomes[await self.follow_job(path)] += 1

    async def follow_job(self, path: str) -> str:
        """Return the final state of a caller's job."""
        deadline = time.monotonic() + JOB_TIMEOUT_SECONDS
        state = "unanswered"
        while time.monotonic() < deadline:
            response = await self.deployment.call_any("GET", path)
            state = msgspec.json.decode(response.body).get("State", "unanswered")
            if state in FINAL_STATES:
                return state
            await asyncio.sleep(0.2)
        self.failures.append(f"job {path} is still {state}")
        return state

    async def wait_for_jobs(self, names: list[str]) -> None:
        """Wait until every job of the note has ended."""
        deadline = time.monotonic() + JOB_TIMEOUT_SECONDS
        states: dict[str, str] = {}
        while time.monotonic() < deadline:
            states = {name: await self.job_state(name) for name in names}
            if all(state in FINAL_STATES for state in states.values()):
                break
            await asyncio.sleep(0.25)
        print_progress(f"  jobs of the note: {dict(Counter(states.values()))}")
        self.failures += [
            f"job {name} is {state}"
            for name, state in states.items()
            if state != "completed" and name != "prescriptions"
        ]

    async def job_state(self, name: str) -> str:
        """Return the state of a job of the note, as any daemon tells it."""
        for number in self.deployment.processes:
            try:
                response = await self.deployment.call_as_operator(number, "GET", f"/v1/jobs/{name}")
            except TransportError:
                continue
            return msgspec.json.decode(response.body).get("state", "unanswered")
        return "unanswered"

    def check(self) -> None:
        """Compare what callers and operators were told with what happened."""
        self.failures += self.deployment.cluster.violations + self.deployment.servers.handler_errors
        if self.outcomes.keys() != {"completed"}:
            self.failures.append(f"jobs of callers ended otherwise: {dict(self.outcomes)}")
        print_progress("summary")
        print_progress(f"  jobs of callers: {dict(self.outcomes)}")
        print_progress(f"  runs on workers: {len(self.deployment.cluster.runs)}")
        print_progress(f"  notes in force after (s): {self.in_force_seconds}")


async def main() -> int:
    """Run the demonstration; return the exit code."""
    shutil.rmtree(OUTPUT_FOLDER, ignore_errors=True)
    started_at = time.monotonic()
    print_progress("starting the platform's stand-in and seven daemons")
    deployment = Deployment(
        OUTPUT_FOLDER, ConfigurationSource.NOTES, daemons=7, racks=4, workers_per_rack=6
    )
    async with deployment:
        print_progress(f"  ready after {time.monotonic() - started_at:.1f} s")
        demo = Demo(deployment)
        await demo.run()
        dumps = await demo.run_tool("dump")
        (OUTPUT_FOLDER / "dumps.json").write_text(dumps)
        print_progress(
            f"  dump of every daemon: {OUTPUT_FOLDER / 'dumps.json'}, {len(dumps)} bytes"
        )
        demo.check()
    for failure in demo.failures:
        print_progress(f"FAULT: {failure}")
    print_progress(
        f"{'FAILED' if demo.failures else 'all held'} after {time.monotonic() - started_at:.1f} s"
    )
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
