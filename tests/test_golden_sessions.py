"""Golden files of whole sessions: operators' with the tool, callers' over HTTP.

Run with ``JAYPIER_UPDATE_GOLDEN=1`` to write the files anew; read the difference before it goes in.
"""

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from testtools.matchers import Equals

from jaypier.platform.model import MachineKind
from standins.deployment import OPERATOR_TOKEN, call, team_token
from standins.endpoint import EndpointFaults
from standins.platform import Faults
from tests.scenario import ProcessTestCase, Scenario, first_note

GOLDEN = Path(__file__).parent / "golden"
SHOWN_HEADERS = (b"jaypier-outcome", b"jaypier-reason", b"content-type")


def normalize(text: str) -> str:
    """Replace what differs from run to run."""
    text = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
    text = re.sub(r"(drain|return|cancel)-[0-9a-f]{12}", r"\1-ID", text)
    text = re.sub(r"jpt1\.\S+?entry-\d", "TICKET", text)
    return re.sub(r"in force in \d of \d daemons\n", "", text)


class TestGoldenSessions(ProcessTestCase):
    def assert_golden(self, name: str, text: str):
        path = GOLDEN / name
        if os.environ.get("JAYPIER_UPDATE_GOLDEN"):
            path.write_text(text)
        self.assertThat(text, Equals(path.read_text()))

    async def tool(self, scenario: Scenario, *arguments: str, token: str = OPERATOR_TOKEN) -> str:
        """Run the operators' tool; return the command, what it printed and its exit code."""
        command = [sys.executable, "-m", "jaypier.cli.main", "--token", token]
        for name in scenario.deployment.running_daemons():
            command += ["--node", scenario.deployment.address(name)]
        process = await asyncio.create_subprocess_exec(
            *command, *arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        output, _ = await process.communicate()
        shown = " ".join(Path(each).name for each in arguments)
        return normalize(f"$ jaypier {shown}\n{output.decode()}exit {process.returncode}\n\n")

    def test_operators_session(self):
        async def work(scenario: Scenario):
            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            files = {
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
            paths = {name: Path(folder.name) / name for name in files}
            for name, note in files.items():
                paths[name].write_text("// a note\n" + json.dumps(note))
            session = [
                await self.tool(scenario, "note", "submit", str(paths["first.json"]), "--wait"),
                await self.tool(scenario, "note", "submit", str(paths["first.json"])),
                await self.tool(scenario, "note", "submit", str(paths["conflict.json"])),
                await self.tool(scenario, "note", "submit", str(paths["wrong.json"])),
                await self.tool(scenario, "note", "submit", str(paths["large.json"])),
                await self.tool(scenario, "note", "submit", "missing.json"),
                await self.tool(scenario, "note", "status", "first"),
                await self.tool(scenario, "note", "status", "nothing"),
                await self.tool(scenario, "team", "clinic"),
                await self.tool(scenario, "team", "nobody"),
                await self.tool(scenario, "job", "nothing"),
                await self.tool(scenario, "drain", "dc-b", "--wait"),
                await self.tool(scenario, "return", "dc-b", "--wait"),
                await self.tool(scenario, "cancel", "nothing"),
                await self.tool(scenario, "--json", "note", "status", "first"),
                await self.tool(scenario, "nodes", token="wrong-token"),
            ]
            await scenario.deployment.platform_faults(Faults(is_down=True))
            session.append(await self.tool(scenario, "note", "status", "first"))
            for name in scenario.deployment.running_daemons():
                scenario.deployment.kill(name)
            nobody = ("--node", "127.0.0.1:1", "nodes")
            session.append(await self.tool(scenario, *nobody))
            self.assert_golden("operators.txt", "".join(session))

        self.play(work)

    async def http(
        self, scenario: Scenario, method: str, path: str, body: str = "", **headers: str
    ) -> str:
        """Send one request to a daemon; return the exchange as text."""
        token = headers.pop("token", team_token("dairy"))
        pairs = [(b"authorization", f"Bearer {token}".encode())]
        pairs += [(n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()]
        address = scenario.deployment.address("entry-1")
        answer = await call(address, method, path, body.encode(), pairs, timeout=15.0)
        lines = [f"> {method} {path}"]
        lines += [f"> {name.replace('_', '-')}: {value}" for name, value in headers.items()]
        lines += [f"> {body}"] if body else []
        lines.append(f"< {answer.status}")
        lines += [
            f"< {name.decode()}: {value.decode()}"
            for name, value in answer.headers
            if name in SHOWN_HEADERS
        ]
        lines.append(f"< {answer.body.decode().strip()}")
        return normalize("\n".join(lines) + "\n\n")

    async def set_faults(self, scenario: Scenario, **faults):
        for machine in scenario.deployment.of_kind(MachineKind.ENDPOINT):
            await scenario.deployment.machine_faults(machine.id, EndpointFaults(**faults))

    def test_callers_session(self):
        async def work(scenario: Scenario):
            await scenario.submit(first_note(), "entry-1")
            book = "/v1/services/returns/book"
            ticket = json.loads(
                (
                    await call(
                        scenario.deployment.address("entry-1"),
                        "POST",
                        "/v1/tickets",
                        headers=[(b"authorization", f"Bearer {team_token('dairy')}".encode())],
                    )
                ).body
            )["ticket"]
            session = [
                await self.http(scenario, "GET", "/health"),
                await self.http(scenario, "POST", book, "crate 7", idempotency_key="k1"),
                await self.http(scenario, "POST", book, "crate 7", idempotency_key="k1"),
                await self.http(scenario, "GET", "/v1/requests/k1"),
                await self.http(scenario, "GET", "/v1/requests/k2"),
                await self.http(scenario, "POST", book, "crate 8", idempotency_key=ticket),
                await self.http(scenario, "POST", book, "x", token="wrong"),
                await self.http(scenario, "POST", book, "x", jaypier_timeout="soon"),
                await self.http(scenario, "POST", "/v1/services/nothing/book", "x"),
                await self.http(scenario, "GET", "/nothing"),
                await self.http(scenario, "DELETE", "/v1/notes", token=OPERATOR_TOKEN),
            ]
            await self.set_faults(scenario, truncate=99)
            session.append(await self.http(scenario, "POST", book, "x", idempotency_key="k3"))
            session.append(await self.http(scenario, "GET", "/v1/requests/k3"))
            await self.set_faults(scenario, refuse=True)
            session.append(await self.http(scenario, "POST", book, "x", idempotency_key="k4"))
            session.append(await self.http(scenario, "GET", "/v1/requests/k4"))
            await self.set_faults(scenario)
            session.append(await self.http(scenario, "POST", book, "x", idempotency_key="k4"))
            await scenario.deployment.platform_faults(Faults(is_down=True))
            session.append(await self.http(scenario, "POST", book, "x", idempotency_key="k5"))
            self.assert_golden("callers.txt", "".join(session))

        self.play(work)
