"""Tests of the operator API."""

import json
from pathlib import Path

import testtools
from testtools.matchers import Contains, Equals, HasLength

from jaypier.core.codec import DecodeError
from jaypier.notes.tests.builders import job_value, run_scenario, team_value
from jaypier.operators.api import DaemonState, OperatorApi, decode_note
from jaypier.operators.credentials import Credentials
from jaypier.wire.messages import HttpRequest, json_response

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
        errors = self.decode_errors(body)
        self.assertThat(errors, HasLength(3))
        self.assertThat("\n".join(errors), Contains("unknown key 'colour'"))
        self.assertThat("\n".join(errors), Contains("tasks 0 is not between 1 and 4096"))
        self.assertThat("\n".join(errors), Contains("expected int, got True"))

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
    """Responses of the API that the golden sessions of the command-line tool do not cover."""

    def run_scenario(self, scenario):
        async def run(harness):
            api = OperatorApi(
                harness.daemons[0].service,
                Credentials({"amina": "operator-token"}),
                lambda: DaemonState("entry-1", "dc-a", harness.daemons[0].cache.version, False),
                dict,
                lambda job_id: json_response(200, json.dumps({"job": job_id}).encode()),
                lambda body: json_response(200, body),
            )

            async def call(method: str, path: str, value=None, token: bytes = b"operator-token"):
                body = b"" if value is None else json.dumps(value).encode()
                headers = [(b"authorization", b"Bearer " + token)]
                response = await api.handle(HttpRequest(method, path, headers, body))
                return response.status, json.loads(response.body)

            await scenario(harness, call)

        run_scenario(run)

    def test_unknown_paths_methods_and_tokens(self):
        async def scenario(harness, call):
            self.assertThat((await call("GET", "/v1/nothing"))[0], Equals(404))
            self.assertThat((await call("GET", "/v1/teams/"))[0], Equals(404))
            self.assertThat((await call("DELETE", "/v1/notes"))[0], Equals(405))
            self.assertThat((await call("GET", "/v1/dump", token=b"wrong"))[0], Equals(401))

        self.run_scenario(scenario)

    def test_job_state_until_its_rows_are_deleted(self):
        async def scenario(harness, call):
            added = {"teams": [team_value("clinic")], "jobs": [job_value("sort")]}
            status, body = await call("POST", "/v1/notes", {"id": "a", "added": added})
            self.assertThat((status, body["version"]), Equals((200, 1)))
            await harness.settle()
            state = {"job": "sort", "id": "sort-1", "state": "queued"}
            self.assertThat(await call("GET", "/v1/jobs/sort"), Equals((200, state)))
            harness.end_job("sort-1")
            state["state"] = "completed"
            self.assertThat(await call("GET", "/v1/jobs/sort"), Equals((200, state)))
            del harness.store.rows["jobs/sort-1"], harness.store.rows["progress/sort-1"]
            status, body = await call("GET", "/v1/jobs/sort")
            self.assertThat(status, Equals(410))
            self.assertThat(body["error"], Contains("no longer kept"))

        self.run_scenario(scenario)

    def test_explanations_are_asked_by_id_or_name_and_need_a_token(self):
        async def scenario(harness, call):
            added = {"teams": [team_value("clinic")], "jobs": [job_value("sort")]}
            await call("POST", "/v1/notes", {"id": "a", "added": added})
            await harness.settle()
            rows = dict(harness.store.rows)
            path = "/v1/explain/"
            self.assertThat(await call("GET", path + "sort"), Equals((200, {"job": "sort-1"})))
            other = "00000000000000ab"
            self.assertThat(await call("GET", path + other), Equals((200, {"job": other})))
            request = {"queue": "q", "team": "clinic", "job": {}}
            self.assertThat(await call("POST", "/v1/explain", request), Equals((200, request)))
            self.assertThat((await call("GET", path + other, token=b"wrong"))[0], Equals(401))
            status, _ = await call("POST", "/v1/explain", request, token=b"wrong")
            self.assertThat(status, Equals(401))
            self.assertThat(harness.store.rows, Equals(rows))

        self.run_scenario(scenario)

    def test_keys_are_not_disclosed(self):
        async def scenario(harness, call):
            added = {"teams": [team_value("clinic", keys=("secret-key",))]}
            await call("POST", "/v1/notes", {"id": "a", "added": added})
            await harness.settle()
            for path in ("/v1/teams/clinic", "/v1/configuration"):
                status, body = await call("GET", path)
                self.assertThat(status, Equals(200))
                self.assertNotIn("secret-key", json.dumps(body))

        self.run_scenario(scenario)

    def test_store_outage_is_reported(self):
        async def scenario(harness, call):
            added = {"teams": [team_value("clinic")], "jobs": [job_value("sort")]}
            await call("POST", "/v1/notes", {"id": "a", "added": added})
            await harness.settle()
            harness.store.is_down = True
            self.assertThat((await call("GET", "/v1/jobs/sort"))[0], Equals(503))
            status, body = await call("POST", "/v1/notes", {"id": "b"})
            self.assertThat((status, body["status"]), Equals((504, "unknown")))

        self.run_scenario(scenario)
