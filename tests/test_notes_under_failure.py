"""Release notes while daemons are replaced, operators race and the store is down."""

import asyncio
import json
import socket

from testtools.matchers import Contains, Equals

from jaypier.core.address import Address
from standins.deployment import call
from standins.platform import Faults
from tests.scenario import ProcessTestCase, Scenario, first_note


def add_team(id: str, team: str, **more) -> dict:
    return {"id": id, "added": {"teams": [{"name": team}]}, **more}


class TestNotesUnderFailure(ProcessTestCase):
    def test_racing_operators_get_one_yes_and_one_conflict(self):
        async def work(scenario: Scenario):
            await scenario.submit(first_note())
            notes = [
                {"id": f"race-{name}", "against": 1, "changed": {"teams": [{"name": "clinic"}]}}
                for name in ("a", "b")
            ]
            answers = await asyncio.gather(
                scenario.submit(notes[0], "entry-1"), scenario.submit(notes[1], "entry-2")
            )
            self.assertThat(sorted(status for status, _ in answers), Equals([200, 409]))
            refused = next(answer for status, answer in answers if status == 409)
            self.assertThat(refused["reasons"][0], Contains("teams/clinic changed in version 2"))

        self.play(work)

    def test_notes_that_touch_different_things_both_go_through(self):
        async def work(scenario: Scenario):
            answers = await asyncio.gather(
                *(
                    scenario.submit(add_team(f"n{i}", f"team-{i}", against=0), f"entry-{i % 3 + 1}")
                    for i in range(9)
                )
            )
            self.assertThat({status for status, _ in answers}, Equals({200}))
            await scenario.wait_for_version(9)

        self.play(work)

    def test_resend_of_a_note_whose_answer_was_lost(self):
        async def work(scenario: Scenario):
            await scenario.deployment.platform_faults(Faults(lose_answers=1))
            first = await scenario.submit(add_team("n", "extra"), "entry-1")
            again = await scenario.submit(add_team("n", "extra"), "entry-2")
            self.assertThat(first, Equals((200, first[1])))
            self.assertThat(again, Equals(first))

        self.play(work)

    def test_all_daemons_replaced_at_once_keep_what_was_accepted(self):
        async def work(scenario: Scenario):
            await scenario.submit(first_note())
            for index in range(5):
                await scenario.submit(add_team(f"n{index}", f"team-{index}"))
            names = scenario.deployment.daemon_names()
            for name in names:
                scenario.deployment.kill(name)
            for name in names:
                scenario.deployment.start_daemon(name)
            await scenario.deployment.wait_healthy()
            await scenario.wait_for_version(6)
            status, answer = await scenario.submit(add_team("n4", "team-4"))
            self.assertThat((status, answer["version"]), Equals((200, 6)))

        self.play(work)

    def test_daemons_replaced_one_by_one_during_a_stream_of_notes(self):
        async def work(scenario: Scenario):
            await scenario.submit(first_note())
            accepted: list[int] = []

            async def stream():
                for index in range(60):
                    note = add_team(f"n{index}", f"team-{index}")
                    for daemon in scenario.deployment.running_daemons():
                        try:
                            status, answer = await scenario.submit(note, daemon)
                        except Exception:
                            continue
                        if status == 200:
                            accepted.append(answer["version"])
                            break
                    await asyncio.sleep(0.05)

            notes = asyncio.create_task(stream())
            for name in scenario.deployment.daemon_names():
                scenario.deployment.kill(name)
                scenario.deployment.start_daemon(name)
                await scenario.deployment.wait_healthy([name])
            await notes
            self.assertThat(accepted, Equals(list(range(2, 62))))
            await scenario.wait_for_version(61)

        self.play(work)

    def test_daemon_that_starts_in_an_outage_takes_what_its_peers_have(self):
        async def work(scenario: Scenario):
            await scenario.submit(first_note())
            await scenario.wait_for_version(1)
            scenario.deployment.kill("entry-3")
            await scenario.deployment.platform_faults(Faults(is_down=True))
            scenario.deployment.start_daemon("entry-3")
            await scenario.deployment.wait_healthy(["entry-3"])
            dump = await scenario.deployment.dump("entry-3")
            self.assertThat(dump["configuration"]["version"], Equals(1))
            self.assertFalse(dump["configuration"]["is_current"])
            status, answer = await scenario.submit(add_team("late", "late"), "entry-3")
            self.assertThat((status, answer["status"]), Equals((504, "unknown")))

        self.play(work)


class TestSecurity(ProcessTestCase):
    def test_hostile_input_is_refused_and_loses_nothing(self):
        async def work(scenario: Scenario):
            address = scenario.deployment.address("entry-1")
            for headers in ([], [(b"authorization", b"Bearer wrong")]):
                answer = await call(address, "POST", "/v1/notes", b"{}", headers)
                self.assertThat(answer.status, Equals(401))
            for body in (b"", b"[]", b"{" * 10_000, b'{"id": 1}', b"\xff"):
                answer = await scenario.deployment.operate("entry-1", "POST", "/v1/notes", body)
                self.assertThat(answer.status, Equals(422))
            answer = await scenario.deployment.operate(
                "entry-1", "POST", "/v1/notes", b"x" * (1 << 20 | 1)
            )
            self.assertThat(answer.status, Equals(413))
            self.send_garbage(scenario.deployment.machines["entry-1"].peer_address)
            self.send_garbage(address)
            status, _ = await scenario.submit(first_note(), "entry-1")
            self.assertThat(status, Equals(200))
            dump = json.dumps(await scenario.deployment.dump("entry-1"))
            for secret in ("operator-token", "cluster-secret", "token-of-team"):
                self.assertNotIn(secret, dump)

        self.play(work)

    def send_garbage(self, address: str) -> None:
        parsed = Address.parse(address)
        with socket.create_connection((parsed.host, parsed.port), 2) as connection:
            connection.sendall(bytes(range(256)) * 40)
