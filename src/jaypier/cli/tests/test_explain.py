import asyncio
import json

import pytest
from typer.testing import CliRunner

from jaypier.cli.client import DaemonClient, DaemonResponse
from jaypier.cli.main import app
from jaypier.core.codec import to_plain
from jaypier.jobs.explaining import explain_job
from jaypier.jobs.model import Resources
from jaypier.jobs.state import new_job_state
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpResponse

FOLLOWER = DaemonResponse(
    409, {"error": "this daemon does not lead; vm-c does", "leader": "vm-c", "age_seconds": 0.25}
)


def leader_response():
    """Return the response of a leader about a job of which two of three tasks fit."""
    planner = make_planner(make_cluster_state(2))
    planner.team_limits.configure({"team-a": Resources(0, 0, 17)}, -10.0)
    planner.plan(0.0, 0.0)
    state = new_job_state(make_job(make_step(count=3, accelerators=8), id="00000000000000ab"))
    plain = to_plain(explain_job(planner, state, 0.0, 0.0))
    return DaemonResponse(200, {"vm": "vm-b", "epoch": 4, "has_authority": True, **plain})


@pytest.fixture
def run(monkeypatch):
    """Run the tool against daemons with given responses, ``None`` for one that does not respond."""

    def run(responses, *arguments):
        calls = []

        async def call_node(self, node, method, path, body=b""):
            calls.append((node, method, path, body))
            response = responses[self.nodes.index(node)]
            if response is None:
                raise TransportError(f"{node} refused the connection", sent=False)
            return response

        monkeypatch.setattr(DaemonClient, "call_node", call_node)
        nodes = [part for n in range(len(responses)) for part in ("--node", f"127.0.0.1:{n + 1}")]
        result = CliRunner().invoke(app, [*nodes, "--token", "t", *arguments])
        return result, calls

    return run


class TestExplain:
    def test_the_leader_is_found_among_the_daemons(self, run):
        result, calls = run([None, FOLLOWER, leader_response()], "explain", "00000000000000ab")
        assert result.exit_code == 0
        assert [call[0] for call in calls] == [f"127.0.0.1:{n}" for n in (1, 2, 3)]
        assert calls[0][1:3] == ("GET", "/v1/explain/00000000000000ab")
        lines = result.output.splitlines()
        assert "vm-b, epoch 4" in lines[1]
        assert "limit - thousandths of a core, - MB, 17 accelerators" in result.output
        (row,) = [line for line in lines if line.startswith("0.0")]
        assert row.split()[:6] == ["0.0", "3", "0", "2", "2", "2"]
        assert "  to: worker-00 (1), worker-01 (1)" in lines
        assert "  workers that lack something: accelerators (2)" in lines

    def test_json(self, run):
        response = leader_response()
        result, _ = run([response], "--json", "explain", "00000000000000ab")
        assert json.loads(result.output) == json.loads(json.dumps(response.body))

    def test_no_daemon_leads(self, run):
        result, _ = run([None, FOLLOWER], "explain", "00000000000000ab")
        assert result.exit_code == 1
        assert "none of the daemons given by --node leads" in result.output
        assert "this daemon does not lead; vm-c does (known 0.2 s ago)" in result.output
        assert "127.0.0.1:1 refused the connection" in result.output

    def test_no_daemon_responds(self, run):
        result, _ = run([None, None], "explain", "00000000000000ab")
        assert result.exit_code == 4

    def test_unknown_job(self, run):
        unknown = DaemonResponse(404, {"error": "the leader knows no job 'x'"})
        result, _ = run([unknown], "explain", "x")
        assert (result.exit_code, result.output) == (1, "the leader knows no job 'x'\n")

    def test_request_from_a_file(self, run, tmp_path):
        path = tmp_path / "request.json"
        path.write_text("{}")
        result, calls = run([leader_response()], "explain", "--request", str(path))
        assert result.exit_code == 0
        assert calls[0][1:] == ("POST", "/v1/explain", b"{}")

    def test_usage_errors(self, run, tmp_path):
        assert run([FOLLOWER], "explain")[0].exit_code == 2
        assert run([FOLLOWER], "explain", "x", "--request", "y")[0].exit_code == 2
        missing = str(tmp_path / "missing")
        assert run([FOLLOWER], "explain", "--request", missing)[0].exit_code == 2


class TestOddResponses:
    @pytest.mark.parametrize(
        "body", [b"", b"{", b"7", b"[]", b"null", b"\xff", 200_000 * b"[", 6000 * b"9", b"1e999"]
    )
    def test_daemon_whose_response_is_no_object_counts_as_not_reached(self, monkeypatch, body):
        # Regression: the tool ended with a traceback instead of asking the next daemon.
        bodies = [body, b'{"version": 1}']

        async def exchange(self, request, timeout):
            return HttpResponse(200, [], bodies.pop(0))

        monkeypatch.setattr(ConnectionPool, "exchange", exchange)
        client = DaemonClient(["127.0.0.1:1", "127.0.0.1:2"], "t")
        assert asyncio.run(client.call("GET", "/v1/daemon")).body == {"version": 1}

    @pytest.mark.parametrize("age", ["old", [], {}])
    def test_odd_age_of_the_leader_is_left_out(self, run, age):
        odd = DaemonResponse(409, {"error": "this daemon does not lead", "age_seconds": age})
        result, _ = run([odd], "explain", "00000000000000ab")
        assert result.exit_code != 0 and "this daemon does not lead" in result.output

    @pytest.mark.parametrize("version", ["x", None, [], True])
    def test_odd_version_counts_as_no_response(self, run, version):
        async def scenario() -> bool:
            client = DaemonClient(["127.0.0.1:1", "127.0.0.1:2"], "t")
            return await client.wait_in_force(3, 5.0, lambda reached, responding: None)

        run(
            [DaemonResponse(200, {"version": version}), DaemonResponse(200, {"version": 3})],
            "--help",
        )
        assert asyncio.run(scenario())
