"""Stateful fuzzing of release notes on several daemons against a one-variable oracle."""

import asyncio

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jaypier.notes.errors import LedgerError
from jaypier.notes.model import ReleaseNote
from jaypier.notes.service import NoteStatus
from jaypier.notes.tests.builders import (
    History,
    NoteDaemon,
    centre_note,
    team_note,
    withdrawal,
)
from standins.platform import PlatformStandIn
from standins.virtual_time import LoopClock, VirtualTimeLoop

DAEMONS = 3
PHASES = [Phase.explicit, Phase.generate, Phase.shrink]
indices = st.integers(0, DAEMONS - 1)
names = st.sampled_from(["a", "b", "c"])


class NotesMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.shared = PlatformStandIn()
        self.history = History(self.shared)
        self.daemons = [self.new_daemon(index) for index in range(DAEMONS)]
        self.old_rows: list[dict] = []
        self.notes: list[ReleaseNote] = []
        self.in_flight: list = []
        self.tasks: list[asyncio.Task] = []
        self.faults: list[str] = []

    def new_daemon(self, seed: int) -> NoteDaemon:
        return NoteDaemon(self.shared, LoopClock(self.loop), seed)

    def pass_time(self, seconds: float):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for index, daemon in enumerate(self.daemons):
            self.in_flight += [(index, entries) for entries in daemon.outbox]
            daemon.outbox.clear()

    def submit(self, index: int, note: ReleaseNote):
        self.tasks.append(self.loop.create_task(self.follow(self.daemons[index], note)))
        self.pass_time(0.001)

    async def follow(self, daemon: NoteDaemon, note: ReleaseNote):
        """Submit a note and hold the answer against the history."""
        answer = await daemon.submit(note)
        self.history.update()
        versions = self.history.versions_of(note.id)
        if answer.status is NoteStatus.ACCEPTED and versions != [answer.version]:
            self.faults.append(f"{note.id} was told {answer.version}, is in {versions}")
        if answer.status is NoteStatus.REFUSED and versions:
            self.faults.append(f"{note.id} was refused but is in {versions}")

    # Rules

    @rule(index=indices, name=names, kind=st.integers(0, 3), against=st.booleans())
    def submit_new(self, index, name, kind, against):
        id = f"note-{len(self.notes)}"
        version = self.daemons[index].keeper.configuration.version if against else None
        note = [
            team_note(id, name, version),
            withdrawal(id, name, version),
            centre_note(id, name, False, "added"),
            centre_note(id, name, True, "changed"),
        ][kind]
        self.notes.append(note)
        self.submit(index, note)

    @rule(index=indices, data=st.data())
    def submit_again(self, index, data):
        if self.notes:
            self.submit(index, data.draw(st.sampled_from(self.notes[-4:])))

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.01, 1.0]))
    def wait(self, seconds):
        self.pass_time(seconds)

    @rule(index=indices)
    def poll(self, index):
        async def refresh():
            try:
                await self.daemons[index].keeper.refresh()
            except LedgerError:
                return

        self.tasks.append(self.loop.create_task(refresh()))
        self.pass_time(0.003)

    @rule(data=st.data(), index=indices, keep=st.booleans())
    def deliver(self, data, index, keep):
        """Deliver any message to any daemon, perhaps again later."""
        if self.in_flight:
            position = data.draw(st.integers(0, len(self.in_flight) - 1))
            entries = self.in_flight[position][1]
            self.daemons[index].keeper.offer(entries)
            if not keep:
                del self.in_flight[position]

    @rule(index=indices, is_down=st.booleans())
    def switch_store(self, index, is_down):
        self.daemons[index].platform.access.is_down = is_down

    @rule(index=indices, count=st.integers(1, 4))
    def lose_answers(self, index, count):
        self.daemons[index].platform.access.lose_answers = count

    @rule()
    def remember_rows(self):
        self.old_rows.append(dict(self.shared.rows))

    @rule(index=indices, data=st.data())
    def read_stale(self, index, data):
        """Answer one daemon's reads from the past."""
        if self.old_rows:
            stale = data.draw(st.sampled_from(self.old_rows))
            self.daemons[index].platform.access.stale = stale

    @rule(index=indices)
    def read_fresh(self, index):
        self.daemons[index].platform.access.stale = None

    @rule(index=indices)
    def replace_daemon(self, index):
        """A new process knows nothing; messages of the old one still arrive."""
        self.daemons[index] = self.new_daemon(index + 100)

    # Oracle

    @invariant()
    def answers_are_true(self):
        self.history.update()
        assert self.faults == []

    @invariant()
    def every_note_counts_once(self):
        assert all(len(self.history.versions_of(note.id)) <= 1 for note in self.notes)

    @invariant()
    def versions_only_go_up_and_hold_what_was_accepted(self):
        for daemon in self.daemons:
            assert daemon.versions == sorted(daemon.versions)
            configuration = daemon.keeper.configuration
            assert configuration == self.history.configuration(configuration.version)

    def teardown(self):
        self.pass_time(30.0)
        for daemon in self.daemons:
            daemon.platform.access.is_down = False
            daemon.platform.access.stale = None
            daemon.platform.access.lose_answers = 0
        for index in range(DAEMONS):
            self.poll(index)
        self.pass_time(2.0)
        assert not [task for task in self.tasks if not task.done()]
        self.answers_are_true()
        self.versions_only_go_up_and_hold_what_was_accepted()
        versions = {daemon.keeper.configuration.version for daemon in self.daemons}
        assert versions == {max(self.history.entries, default=0)}
        self.loop.close()


NotesMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=PHASES,
)
TestNotesMachine = NotesMachine.TestCase
