"""Runs a test against a small deployment of real processes."""

import asyncio
import json
import tempfile
from pathlib import Path

import testtools

from jaypier.platform.model import MachineKind
from standins.callers import Callers
from standins.checks import Drain, drain_faults, gang_faults, request_faults
from standins.deployment import Deployment, Shape

SMALL = Shape(data_centres=("dc-a", "dc-b"), racks=1, workers_per_rack=3, endpoints=4, daemons=3)
SEED = 5


def job(name: str, tasks: int = 1, size: int = 8, seconds: float = 2, **more) -> dict:
    """Return a job of team ``dairy`` as a note writes it."""
    return {
        "name": name,
        "team": "dairy",
        "tasks": tasks,
        "accelerators_per_task": size,
        "command": f"run {seconds}",
        **more,
    }


def first_note(*jobs: dict) -> dict:
    """Return a note with all teams, a guarantee for one of them, and some jobs."""
    shape = {"name": "sorting", "tasks": 3, "accelerators_per_task": 8}
    teams = [{"name": name} for name in SMALL.teams if name != "dairy"]
    teams.append({"name": "dairy", "guarantee": [shape]})
    return {"id": "first", "added": {"teams": teams, "jobs": list(jobs)}}


class Scenario:
    """A running deployment with what the tests ask of it."""

    def __init__(self, deployment: Deployment, callers: Callers) -> None:
        self.deployment = deployment
        self.callers = callers
        self.count = 0

    async def submit(self, note: dict, daemon: str | None = None) -> tuple[int, dict]:
        """Submit a note; return status and answer."""
        daemon = daemon or self.deployment.running_daemons()[0]
        body = json.dumps(note).encode()
        response = await self.deployment.operate(daemon, "POST", "/v1/notes", body)
        return response.status, json.loads(response.body)

    async def set_in_service(self, data_centre: str, in_service: bool, daemon: str) -> int:
        """Take a data centre out or bring it back; return the status."""
        self.count += 1
        section = "added" if self.count == 1 else "changed"
        entity = {"name": data_centre, "in_service": in_service}
        note = {"id": f"service-{self.count}", section: {"data_centres": [entity]}}
        return (await self.submit(note, daemon))[0]

    async def owner_of(self, data_centre: str) -> str:
        """Return the running daemon that owns a data centre."""
        for name in self.deployment.running_daemons():
            dump = await self.deployment.dump(name)
            if any(each["data_centre"] == data_centre for each in dump["owned"]):
                return name
        raise AssertionError(f"{data_centre} has no owner")

    async def wait_for_event(self, event: str, name: str, count: int, timeout: float) -> None:
        """Wait until tasks of a job have done something ``count`` times."""
        async with asyncio.timeout(timeout):
            while await self.count_events(event, name) < count:
                await asyncio.sleep(0.1)

    async def count_events(self, event: str, name: str) -> int:
        """Count what the tasks of a job have done."""
        log = await self.deployment.worker_log()
        return sum(entry.event == event and entry.task.job == name for entry in log)

    async def where(self, name: str) -> str:
        """Return the data centre that a job is assigned to."""
        daemon = self.deployment.running_daemons()[0]
        document = await self.deployment.operator_get(daemon, "/v1/configuration")
        return document["configuration"]["assignments"][name]

    async def versions(self) -> set[int]:
        """Return the configuration versions of all running daemons."""
        dumps = [await self.deployment.dump(n) for n in self.deployment.running_daemons()]
        return {dump["configuration"]["version"] for dump in dumps}

    async def wait_for_version(self, version: int, timeout: float = 3.0) -> None:
        """Wait until every running daemon has at least a version in force."""
        async with asyncio.timeout(timeout):
            while min(await self.versions()) < version:
                await asyncio.sleep(0.02)

    async def faults(self, sizes: dict[str, int], drains: list[Drain] | None = None) -> list[str]:
        """Return every broken promise that endpoints and workers have seen."""
        log = await self.deployment.worker_log()
        workers = self.deployment.of_kind(MachineKind.WORKER)
        where = {machine.id: machine.data_centre for machine in workers}
        reports = await self.deployment.endpoint_reports()
        return [
            *request_faults(self.callers.records, reports),
            *gang_faults(log, sizes),
            *drain_faults(log, drains or [], where),
        ]


class ProcessTestCase(testtools.TestCase):
    """A test that runs against real processes."""

    def play(self, work, shape: Shape = SMALL) -> None:
        """Start a deployment and run a coroutine function with its scenario."""

        async def run() -> None:
            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            async with (
                Deployment(Path(folder.name), shape) as deployment,
                Callers(deployment, SEED) as callers,
            ):
                await deployment.wait_owned()
                await work(Scenario(deployment, callers))

        asyncio.run(run())
