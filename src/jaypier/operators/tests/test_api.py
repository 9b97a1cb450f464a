"""Tests of reading notes from operators."""

from pathlib import Path

import testtools
from testtools.matchers import Contains, Equals, HasLength

from jaypier.core.codec import DecodeError
from jaypier.operators.api import read_note
from jaypier.operators.credentials import Credentials
from jaypier.wire.messages import HttpRequest

EXAMPLE = Path(__file__).parents[4] / "examples" / "note.json"


class TestReadNote(testtools.TestCase):
    def test_example_is_valid(self):
        note = read_note(EXAMPLE.read_bytes())
        self.assertThat([team.name for team in note.added.teams], Equals(["clinic", "sorting"]))

    def mistakes(self, body: bytes) -> list[str]:
        return self.assertRaises(DecodeError, read_note, body).mistakes

    def test_comments_are_allowed(self):
        self.assertThat(read_note(b'{"id": "n", /* why */ }').id, Equals("n"))

    def test_hostile_bodies_are_refused(self):
        for body in (b"", b"[]", b"{" * 10_000, b"[" * 100_000, b"\xff", b'"x"', b"1e999"):
            self.assertNotEqual([], self.mistakes(body))

    def test_every_mistake_is_listed(self):
        body = b"""{"id": "a b", "colour": 1, "added": {"jobs": [
            {"name": "j", "team": "t", "tasks": 0, "accelerators_per_task": 1, "command": "run"},
            {"name": "k", "team": "t", "tasks": 1, "accelerators_per_task": true, "command": "r"}
        ]}}"""
        mistakes = self.mistakes(body)
        self.assertThat(mistakes, HasLength(3))
        self.assertThat("\n".join(mistakes), Contains("unknown key 'colour'"))
        self.assertThat("\n".join(mistakes), Contains("tasks 0 is not between 1 and 4096"))
        self.assertThat("\n".join(mistakes), Contains("expected int, got True"))

    def test_unknown_adjacency_names_the_choices(self):
        body = b"""{"id": "n", "added": {"teams": [{"name": "t", "guarantee": [
            {"name": "s", "tasks": 1, "accelerators_per_task": 1, "adjacency": "moon"}]}]}}"""
        self.assertThat(
            self.mistakes(body)[0], Contains("'moon' is not known; use one of: rack, data_centre")
        )

    def test_unrepeatable_job_cannot_be_preemptible(self):
        body = b"""{"id": "n", "added": {"jobs": [{"name": "j", "team": "t", "tasks": 1,
            "accelerators_per_task": 1, "command": "run", "repeatable": false}]}}"""
        self.assertThat(self.mistakes(body)[0], Contains("set preemptible to false"))


class TestCredentials(testtools.TestCase):
    def test_tokens_are_told_apart(self):
        credentials = Credentials({"clinic": "team-token"}, {"amina": "operator-token"})

        def request(value: bytes) -> HttpRequest:
            return HttpRequest("GET", "/", [(b"authorization", value)])

        self.assertThat(credentials.team(request(b"Bearer team-token")), Equals("clinic"))
        self.assertIsNone(credentials.operator(request(b"Bearer team-token")))
        self.assertThat(credentials.operator(request(b"Bearer operator-token")), Equals("amina"))
        for wrong in (b"", b"Bearer ", b"Bearer wrong", b"team-token", b"Basic team-token"):
            self.assertIsNone(credentials.team(request(wrong)))
