"""Tests of the view of other daemons and of their messages' authentication."""

import testtools
from testtools.matchers import Equals

from jaypier.membership.errors import PeerMessageError
from jaypier.membership.messages import (
    ConfigurationRequest,
    Heartbeat,
    Received,
    seal,
    unseal,
)
from jaypier.membership.state import MembershipState, suspicion
from jaypier.platform import Machine, MachineKind

SECRET = b"0123456789abcdef"
ENTRIES = [
    Machine(f"entry-{index}", MachineKind.ENTRY, "dc", "127.0.0.1:1", peer_address=f"127.0.0.1:{n}")
    for index, n in enumerate((11, 12, 13))
]


def heartbeat(sequence: int = 1, incarnation: int = 1, sender: str = "entry-1", **more) -> Received:
    beat = Heartbeat("dc", f"{sender}-peer", f"{sender}-caller", more.pop("version", 0), **more)
    return Received(sender, incarnation, sequence, beat)


class TestMessages(testtools.TestCase):
    def test_message_survives_the_way(self):
        message = heartbeat(in_flight={"endpoint-1": 3}).message
        received = unseal(seal(message, "entry-1", 7, 8, SECRET), SECRET)
        self.assertThat(received, Equals(Received("entry-1", 7, 8, message)))

    def test_forged_or_changed_messages_are_refused(self):
        data = seal(ConfigurationRequest(3), "entry-1", 7, 8, SECRET)
        forged = seal(ConfigurationRequest(3), "entry-1", 7, 8, b"another secret!!")
        for bad in (b"", data[:-1], data[:40], forged, bytes(64), data[:-1] + b"\x00"):
            self.assertRaises(PeerMessageError, unseal, bad, SECRET)


class TestMembership(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = MembershipState("entry-0")
        self.state.update_machines(ENTRIES)

    def test_silence_means_not_alive(self):
        self.state.accept(heartbeat(), 10.0)
        self.assertThat([peer.id for peer in self.state.alive(12.9)], Equals(["entry-1"]))
        self.assertThat(self.state.alive(13.1), Equals([]))

    def test_repeated_and_old_messages_are_dropped(self):
        self.assertTrue(self.state.accept(heartbeat(sequence=5), 1.0))
        self.assertFalse(self.state.accept(heartbeat(sequence=5), 1.0))
        self.assertTrue(self.state.accept(heartbeat(incarnation=2), 1.0))
        self.assertFalse(self.state.accept(heartbeat(sequence=9), 1.0))
        self.assertThat(self.state.peers["entry-1"].incarnation, Equals(2))

    def test_other_messages_count_only_after_a_heartbeat(self):
        request = Received("entry-1", 1, 1, ConfigurationRequest(0))
        self.assertFalse(self.state.accept(request, 1.0))

    def test_leaving_daemons_are_no_candidates(self):
        self.state.accept(heartbeat(is_leaving=True), 1.0)
        self.assertThat(self.state.staying(1.0), Equals([]))

    def test_load_of_silent_daemons_is_forgotten(self):
        self.state.accept(heartbeat(in_flight={"e": 2}), 1.0)
        self.state.accept(heartbeat(sender="entry-2", in_flight={"e": 1}), 3.0)
        self.assertThat(self.state.reported_in_flight(3.5), Equals({"e": 3}))
        self.assertThat(self.state.reported_in_flight(5.0), Equals({"e": 1}))

    def test_store_is_lacking_only_if_a_majority_says_so(self):
        self.assertFalse(self.state.lacks_store(False, 1.0))
        self.state.accept(heartbeat(has_store=False), 1.0)
        self.assertTrue(self.state.lacks_store(False, 1.0))
        self.assertFalse(self.state.lacks_store(True, 1.0))
        self.state.accept(heartbeat(sequence=2, has_store=True), 1.0)
        self.assertFalse(self.state.lacks_store(False, 1.0))

    def test_silent_daemons_do_not_count_as_lacking_the_store(self):
        self.state.accept(heartbeat(has_store=False), 1.0)
        self.assertFalse(self.state.lacks_store(False, 60.0))

    def test_suspicion_grows_with_the_turns_that_heartbeats_take(self):
        self.assertThat([suspicion(n) for n in (1, 8, 9, 300)], Equals([3.0, 3.0, 6.0, 114.0]))
