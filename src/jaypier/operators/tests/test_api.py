"""Tests of the operators' interface."""

import json
from pathlib import Path

import testtools
from testtools.matchers import Contains, Equals, HasLength

from jaypier.core.codec import DecodeError
from jaypier.notes.tests.builders import job_value, run_scenario, team_value
from jaypier.operators.api import DaemonState, OperatorApi, decode_note
from jaypier.operators.credentials import Credentials
from jaypier.wire.messages import HttpRequest

EXAMPLE = Path(__file__).parents[4] / "examples" / "note.json"


class TestDecodeNote(testtools.TestCase):
    def test_example_is_valid(self):
        note = decode_note(EXAMPLE.read_bytes())
        self.assertThat([team.name for team in note.added.teams], Equals(["clinic", "sorting"]))

    def decode_errors(self, body: bytes) -> list[str]:
        return self.assertRaises(DecodeError, decode_note, body).errors

    def test_comments_are_allowed(self):
        self.assertThat(decode_note(b'{"id": "n", /* why */ }').id, Equals("n"))

    def test_malformed_bodies_are_refused(self):
        for body in (b"", b"[]", b"{" * 10_000, b"[" * 100_000, b"\xff", b'"x"', b"1e999"):
            self.assertNotEqual([], self.decode_errors(body))

    def test_every_error_is_listed(self):
        body = b"""{"id": "a b", "colour": 1, "added": {"jobs": [
            {"name": "j", "team": "t", "tasks": 0, "accelerators_per_task": 1, "command": "run"},
            {"name": "k", "team": "t", "tasks": 1, "accelerators_per_task": true, "command": "r"}
        ]}}"""
        mistakes = self.decode_errors(body)
        self.assertThat(mistakes, HasLength(3))
        self.assertThat("\n".join(mistakes), Contains("unknown key 'colour'"))
        self.assertThat("\n".join(mistakes), Contains("tasks 0 is not between 1 and 4096"))
        self.assertThat("\n".join(mistakes), Contains("expected int, got True"))

    def test_unknown_adjacency_lists_the_valid_values(self):
        body = b"""{"id": "n", "added": {"teams": [{"name": "t", "guarantee": [
            {"name": "s", "tasks": 1, "accelerators_per_task": 1, "adjacency": "moon"}]}]}}"""
        self.assertThat(
            self.decode_errors(body)[0],
            Contains("'moon' is not known; use one of: rack, data_centre"),
        )

    def test_non_repeatable_job_cannot_be_preemptible(self):
        body = b"""{"id": "n", "added": {"jobs": [{"name": "j", "team": "t", "tasks": 1,
            "accelerators_per_task": 1, "command": "run", "repeatable": false}]}}"""
        self.assertThat(self.decode_errors(body)[0], Contains("set preemptible to false"))


class TestCredentials(testtools.TestCase):
    def test_token_identifies_its_operator(self):
        credentials = Credentials({"amina": "operator-token", "juma": "another-token"})

        def request(value: bytes) -> HttpRequest:
            return HttpRequest("GET", "/", [(b"authorization", value)])

        self.assertThat(credentials.authenticate(request(b"Bearer another-token")), Equals("juma"))
        self.assertThat(
            credentials.authenticate(request(b"Bearer operator-token")), Equals("amina")
        )
        for wrong in (b"", b"Bearer ", b"Bearer wrong", b"operator-token", b"Basic operator-token"):
            self.assertIsNone(credentials.authenticate(request(wrong)))


class TestResponses(testtools.TestCase):
    """Answers of the interface that the operators' tool does not show."""

    def run_scenario(self, scenario):
        async def run(bench):
            api = OperatorApi(
                bench.daemons[0].service,
                Credentials({"amina": "operator-token"}),
                lambda: DaemonState("entry-1", "dc-a", bench.daemons[0].cache.version, False),
                dict,
            )

            async def call(method: str, path: str, value=None, token: bytes = b"operator-token"):
                body = b"" if value is None else json.dumps(value).encode()
                headers = [(b"authorization", b"Bearer " + token)]
                response = await api.handle(HttpRequest(method, path, headers, body))
                return response.status, json.loads(response.body)

            await scenario(bench, call)

        run_scenario(run)

    def test_unknown_paths_methods_and_tokens(self):
        async def scenario(bench, call):
            self.assertThat((await call("GET", "/v1/nothing"))[0], Equals(404))
            self.assertThat((await call("GET", "/v1/teams/"))[0], Equals(404))
            self.assertThat((await call("DELETE", "/v1/notes"))[0], Equals(405))
            self.assertThat((await call("GET", "/v1/dump", token=b"wrong"))[0], Equals(401))

        self.run_scenario(scenario)

    def test_job_state_until_its_rows_are_deleted(self):
        async def scenario(bench, call):
            added = {"teams": [team_value("clinic")], "jobs": [job_value("sort")]}
            status, answer = await call("POST", "/v1/notes", {"id": "a", "added": added})
            self.assertThat((status, answer["version"]), Equals((200, 1)))
            await bench.settle()
            state = {"job": "sort", "id": "sort-1", "state": "queued"}
            self.assertThat(await call("GET", "/v1/jobs/sort"), Equals((200, state)))
            bench.end_job("sort-1")
            state["state"] = "completed"
            self.assertThat(await call("GET", "/v1/jobs/sort"), Equals((200, state)))
            del bench.store.rows["jobs/sort-1"], bench.store.rows["progress/sort-1"]
            status, answer = await call("GET", "/v1/jobs/sort")
            self.assertThat(status, Equals(410))
            self.assertThat(answer["error"], Contains("no longer kept"))

        self.run_scenario(scenario)

    def test_keys_are_not_disclosed(self):
        async def scenario(bench, call):
            added = {"teams": [team_value("clinic", keys=("secret-key",))]}
            await call("POST", "/v1/notes", {"id": "a", "added": added})
            await bench.settle()
            for path in ("/v1/teams/clinic", "/v1/configuration"):
                status, answer = await call("GET", path)
                self.assertThat(status, Equals(200))
                self.assertNotIn("secret-key", json.dumps(answer))

        self.run_scenario(scenario)

    def test_store_outage_is_reported(self):
        async def scenario(bench, call):
            added = {"teams": [team_value("clinic")], "jobs": [job_value("sort")]}
            await call("POST", "/v1/notes", {"id": "a", "added": added})
            await bench.settle()
            bench.store.is_down = True
            self.assertThat((await call("GET", "/v1/jobs/sort"))[0], Equals(503))
            status, answer = await call("POST", "/v1/notes", {"id": "b"})
            self.assertThat((status, answer["status"]), Equals((504, "unknown")))

        self.run_scenario(scenario)
