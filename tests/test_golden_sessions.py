"""Golden-file tests of sessions: operators with the command-line tool, callers over HTTP.

Run with ``JAYPIER_UPDATE_GOLDEN=1`` to update the golden files, and review the changes before
committing them.
"""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools
from testtools.matchers import Equals

from standins.deployment import OPERATOR_TOKEN, ConfigurationSource, Deployment, send_request

GOLDEN = Path(__file__).parent / "golden"
GOLDEN_HEADERS = (b"retry-after", b"content-type")


def normalize(text: str) -> str:
    """Replace addresses, random ids and progress lines, which differ between runs."""
    text = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
    text = re.sub(r"(drain|return|cancel)-[0-9a-f]{12}", r"\1-ID", text)
    return re.sub(r"in force in \d of \d daemons\n", "", text)


def first_note() -> dict:
    """Return the first release note of a session."""
    return {
        "id": "first",
        "added": {
            "teams": [
                {
                    "name": "clinic",
                    "guarantee": [{"name": "bench", "tasks": 2, "accelerators_per_task": 4}],
                    "keys": ["clinic-key"],
                },
                {"name": "dairy", "keys": ["dairy-key"]},
            ],
            "queues": [{"name": "fits"}],
        },
    }


class TestGoldenSessions(testtools.TestCase):
    def run_session(self, session):
        """Run a session against two daemons, and check that the cluster has no violations."""

        async def run(folder: Path):
            async with Deployment(folder, ConfigurationSource.NOTES, daemons=2) as deployment:
                await session(deployment)
            self.assertThat(deployment.cluster.violations, Equals([]))
            self.assertThat(deployment.servers.handler_errors, Equals([]))

        with tempfile.TemporaryDirectory() as name:
            asyncio.run(run(Path(name)))

    def assert_golden(self, name: str, text: str):
        path = GOLDEN / name
        if os.environ.get("JAYPIER_UPDATE_GOLDEN"):
            path.write_text(text)
        self.assertThat(text, Equals(path.read_text()))

    async def run_tool(
        self, deployment: Deployment, *arguments: str, token: str = OPERATOR_TOKEN
    ) -> str:
        """Run the operator command-line tool; return the command, its output and its exit code."""
        command = [sys.executable, "-m", "jaypier.cli.main", "--token", token]
        for number in deployment.processes:
            command += ["--node", deployment.operator_address(number)]
        process = await asyncio.create_subprocess_exec(
            *command, *arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        output, _ = await process.communicate()
        shown = " ".join(Path(each).name for each in arguments)
        return normalize(f"$ jaypier {shown}\n{output.decode()}exit {process.returncode}\n\n")

    def test_operators_session(self):
        async def session(deployment: Deployment):
            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            notes = {
                "first.json": first_note(),
                "conflict.json": {
                    "id": "late",
                    "against": 0,
                    "changed": {"teams": [{"name": "clinic"}]},
                },
                "wrong.json": {"id": "w", "added": {"teams": [{"name": "dairy"}, {"nam": "x"}]}},
                "large.json": {
                    "id": "large",
                    "added": {
                        "teams": [
                            {
                                "name": "vast",
                                "guarantee": [
                                    {"name": "all", "tasks": 9, "accelerators_per_task": 8}
                                ],
                            }
                        ]
                    },
                },
            }
            paths = {name: Path(folder.name) / name for name in notes}
            for name, note in notes.items():
                paths[name].write_text("// a note\n" + json.dumps(note))
            exchanges = [
                await self.run_tool(
                    deployment, "note", "submit", str(paths["first.json"]), "--wait"
                ),
                await self.run_tool(deployment, "note", "submit", str(paths["first.json"])),
                await self.run_tool(deployment, "note", "submit", str(paths["conflict.json"])),
                await self.run_tool(deployment, "note", "submit", str(paths["wrong.json"])),
                await self.run_tool(deployment, "note", "submit", str(paths["large.json"])),
                await self.run_tool(deployment, "note", "submit", "missing.json"),
                await self.run_tool(deployment, "note", "status", "first"),
                await self.run_tool(deployment, "note", "status", "nothing"),
                await self.run_tool(deployment, "team", "clinic"),
                await self.run_tool(deployment, "team", "nobody"),
                await self.run_tool(deployment, "job", "nothing"),
                await self.run_tool(deployment, "drain", "dc-b", "--wait"),
                await self.run_tool(deployment, "return", "dc-b", "--wait"),
                await self.run_tool(deployment, "cancel", "nothing"),
                await self.run_tool(deployment, "--json", "note", "status", "first"),
                await self.run_tool(deployment, "nodes", token="wrong-token"),
            ]
            deployment.cluster.store.is_down = True
            exchanges.append(await self.run_tool(deployment, "note", "status", "first"))
            for number in list(deployment.processes):
                await deployment.stop(number, signal.SIGKILL)
            unreachable = ("--node", "127.0.0.1:1", "nodes")
            exchanges.append(await self.run_tool(deployment, *unreachable))
            self.assert_golden("operators.txt", "".join(exchanges))

        self.run_session(session)

    async def exchange(
        self,
        deployment: Deployment,
        method: str,
        path: str,
        value: dict | None = None,
        key: str = "clinic-key",
    ) -> str:
        """Send a request to a daemon; return the request and the response as text."""
        body = "" if value is None else json.dumps(value)
        headers = [(b"api-key", key.encode())]
        port = deployment.ports[0].callers
        response = await send_request(port, method, path, body.encode(), headers)
        lines = [f"> {method} {path}", f"> api-key: {key}", *([f"> {body}"] if body else [])]
        lines.append(f"< {response.status}")
        lines += [
            f"< {name.decode()}: {value.decode()}"
            for name, value in response.headers
            if name in GOLDEN_HEADERS
        ]
        lines.append(f"< {response.body.decode().strip()}")
        return normalize("\n".join(lines) + "\n\n")

    async def wait_until_completed(self, deployment: Deployment, path: str):
        """Wait until a job is reported as completed."""
        while "completed" not in await self.exchange(deployment, "GET", path):
            await asyncio.sleep(0.1)

    def test_callers_session(self):
        async def session(deployment: Deployment):
            await deployment.call_as_operator(0, "POST", "/v1/notes", first_note())
            while "401" in await self.exchange(deployment, "GET", "/v1/queues/fits/"):
                await asyncio.sleep(0.05)
            job_path = "/v1/queues/fits/00000000000000a1"
            fit_job = {"Spec": "fit 7", "Phases": [{"Count": 2, "Gpu": 4, "EstimatedMs": 300}]}
            exchanges = [
                await self.exchange(deployment, "POST", job_path, fit_job),
                await self.exchange(deployment, "POST", job_path, fit_job),
                await self.exchange(deployment, "POST", job_path, {**fit_job, "Spec": "fit 8"}),
            ]
            await asyncio.wait_for(self.wait_until_completed(deployment, job_path), 10.0)
            exchanges += [
                await self.exchange(deployment, "GET", job_path),
                await self.exchange(deployment, "DELETE", job_path, key="dairy-key"),
                await self.exchange(deployment, "GET", job_path, key="wrong"),
                await self.exchange(deployment, "GET", "/v1/queues/fits/00000000000000a2"),
                await self.exchange(deployment, "GET", "/v1/queues/fits/soon"),
                await self.exchange(deployment, "GET", "/v1/queues/nothing/00000000000000a1"),
                await self.exchange(deployment, "POST", "/v1/queues/fits/00000000000000a3", {}),
                await self.exchange(deployment, "GET", "/v1/queues/fits/"),
            ]
            deployment.cluster.store.is_down = True
            other_job_path = "/v1/queues/fits/00000000000000a4"
            exchanges.append(await self.exchange(deployment, "POST", other_job_path, fit_job))
            self.assert_golden("callers.txt", "".join(exchanges))

        self.run_session(session)
