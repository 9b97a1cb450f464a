"""Several daemons' note slices over one store and links that lose messages."""

import random

from jaypier.core.codec import from_plain
from jaypier.core.metrics import Metrics
from jaypier.notes.configuration import Configuration, ConfigurationEntry, apply_entry
from jaypier.notes.keeper import ConfigurationKeeper
from jaypier.notes.ledger import LOG_PREFIX, Ledger
from jaypier.notes.model import DataCentre, Entities, ReleaseNote, Team, Withdrawals
from jaypier.notes.service import NoteAnswer, NoteService
from jaypier.platform import Machine, MachineKind
from jaypier.scheduling.assignment import plan_note
from standins.memory import MemoryPlatform
from standins.platform import PlatformStandIn

SNAPSHOT_INTERVAL = 4
MACHINES = [
    Machine(f"w{i}", MachineKind.WORKER, "dc-a", "127.0.0.1:1", rack="r", accelerators=8)
    for i in range(4)
]


async def no_fence(data_centre: str) -> None:
    """Fence nothing."""


class NoteDaemon:
    """One daemon's note slice."""

    def __init__(self, shared: PlatformStandIn, clock, seed: int) -> None:
        self.platform = MemoryPlatform(shared)
        self.platform.access.delay = 0.002
        self.metrics = Metrics()
        self.ledger = Ledger(self.platform, SNAPSHOT_INTERVAL)
        self.keeper = ConfigurationKeeper(self.ledger, clock, self.metrics)
        self.outbox: list[list[ConfigurationEntry]] = []
        self.notes = NoteService(
            self.ledger, self.keeper, self.outbox.append, self.metrics, random.Random(seed)
        )
        self.versions: list[int] = []
        self.keeper.subscribe(
            lambda configuration, entries: self.versions.append(configuration.version)
        )

    async def submit(self, note: ReleaseNote) -> NoteAnswer:
        """Submit a note at this daemon."""

        def planner(configuration: Configuration):
            planned = plan_note(note, configuration, MACHINES)
            return planned.ok if planned.is_ok() else planned.error

        return await self.notes.submit(note, planner, no_fence)


def team_note(id: str, team: str, against: int | None = None) -> ReleaseNote:
    """Return a note that adds a team without a guarantee."""
    return ReleaseNote(id, against, added=Entities(teams=[Team(team)]))


def withdrawal(id: str, team: str, against: int | None = None) -> ReleaseNote:
    """Return a note that withdraws a team."""
    return ReleaseNote(id, against, withdrawn=Withdrawals(teams=[team]))


def centre_note(id: str, name: str, in_service: bool, section: str) -> ReleaseNote:
    """Return a note that sets the service state of a data centre."""
    return ReleaseNote(id, **{section: Entities(data_centres=[DataCentre(name, in_service)])})


class History:
    """Oracle: every entry that the store has accepted, as one list."""

    def __init__(self, shared: PlatformStandIn) -> None:
        self.shared = shared
        self.entries: dict[int, ConfigurationEntry] = {}

    def update(self) -> None:
        """Take over new log rows; a row that was seen must never change."""
        for key, row in self.shared.rows.items():
            if key.startswith(LOG_PREFIX):
                entry = from_plain(row.value, ConfigurationEntry)
                assert self.entries.setdefault(entry.version, entry) == entry
                assert row.version == 1

    def configuration(self, version: int) -> Configuration:
        """Return the configuration at a version."""
        configuration = Configuration()
        for number in range(1, version + 1):
            configuration = apply_entry(configuration, self.entries[number])
        return configuration

    def versions_of(self, note_id: str) -> list[int]:
        """Return the versions that a note made."""
        return [version for version, each in self.entries.items() if each.note.id == note_id]
