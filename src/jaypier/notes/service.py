"""Accepts release notes and scheduler changes on any daemon."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from enum import StrEnum

import attrs

from jaypier.core.errors import JaypierError
from jaypier.core.metrics import Metrics
from jaypier.notes.configuration import Configuration, ConfigurationEntry
from jaypier.notes.errors import (
    AlreadyAccepted,
    CommitUnknown,
    HeadMoved,
    LedgerError,
    LedgerUnavailable,
)
from jaypier.notes.keeper import ConfigurationKeeper
from jaypier.notes.ledger import Ledger
from jaypier.notes.model import ReleaseNote
from jaypier.notes.validation import NoteRefusal, RefusalKind

RACE_ATTEMPTS = 20
"""Times that a commit which lost a race is checked anew and tried again."""


class FenceError(JaypierError):
    """The owner of a data centre could not be fenced off before taking it out."""


class NoteStatus(StrEnum):
    """What became of a release note."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class NoteAnswer:
    """Truthful answer about a release note.

    :param version: version that it made, 0 unless accepted.
    :param kind: kind of refusal, empty unless refused.
    :param reasons: why it was refused, or what to do when its fate is unknown.
    """

    id: str
    status: NoteStatus
    version: int = 0
    kind: str = ""
    reasons: list[str] = attrs.field(factory=list)


EntryPlanner = Callable[[Configuration], ConfigurationEntry | NoteRefusal | None]
Fence = Callable[[str], Awaitable[None]]
Announce = Callable[[list[ConfigurationEntry]], None]


class NoteService:
    """Commits entries to the ledger and announces them to the other daemons.

    :param keeper: configuration in force in this daemon.
    :param announce: called with entries that this daemon has committed.
    """

    def __init__(
        self,
        ledger: Ledger,
        keeper: ConfigurationKeeper,
        announce: Announce,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.ledger = ledger
        self.keeper = keeper
        self.announce = announce
        self.metrics = metrics
        self.rng = rng

    async def submit(self, note: ReleaseNote, planner: EntryPlanner, fence: Fence) -> NoteAnswer:
        """Accept a note or say why not.

        :param planner: plans the entry against the newest configuration.
        :param fence: called, before the commit, with each data centre that is taken out.
        """
        try:
            for entity in [*note.added.data_centres, *note.changed.data_centres]:
                if not entity.in_service:
                    await fence(entity.name)
            outcome = await self.commit(planner)
        except AlreadyAccepted as error:
            await self._catch_up()
            return NoteAnswer(note.id, NoteStatus.ACCEPTED, error.version)
        except CommitUnknown as error:
            return _unknown(note, error)
        except (LedgerError, FenceError) as error:
            refusal = NoteRefusal(RefusalKind.UNAVAILABLE, [str(error)])
            return await self._refuse_unless_accepted(note, refusal)
        if isinstance(outcome, NoteRefusal):
            return await self._refuse_unless_accepted(note, outcome)
        self.metrics.count("notes.accepted")
        return NoteAnswer(note.id, NoteStatus.ACCEPTED, outcome.version)

    async def _refuse_unless_accepted(self, note: ReleaseNote, refusal: NoteRefusal) -> NoteAnswer:
        """Refuse a note, unless it is a resend of one that was accepted or may have been.

        A resent note conflicts with itself, and in an outage nobody can tell whether an earlier
        copy was accepted.
        """
        try:
            if await self.ledger.is_unrecorded(note.id):
                self.metrics.count(f"notes.refused.{refusal.kind.value}")
                return _refused(note, refusal)
            version = await self.ledger.find_note(note.id)
        except LedgerError as error:
            return _unknown(note, error)
        if version is None:
            return _unknown(note, "it is recorded, but its version cannot be read now")
        return NoteAnswer(note.id, NoteStatus.ACCEPTED, version)

    async def commit(self, planner: EntryPlanner) -> ConfigurationEntry | NoteRefusal | None:
        """Plan and commit an entry, planning anew when another commit came first.

        :returns: the committed entry, or what the planner gave in its place.
        :raises LedgerUnavailable: when the store does not answer; nothing was committed.
        :raises CommitUnknown: when it cannot be told whether the entry was committed.
        :raises AlreadyAccepted: when the entry's note was committed before.
        """
        for attempt in range(RACE_ATTEMPTS):
            base = await self.keeper.refresh()
            entry = planner(self.keeper.configuration)
            if not isinstance(entry, ConfigurationEntry):
                return entry
            try:
                await self.ledger.commit(entry, base)
            except HeadMoved:
                self.metrics.count("notes.races_lost")
                await asyncio.sleep(self.rng.uniform(0, 0.01 * 2 ** min(attempt, 6)))
                continue
            self.keeper.offer([entry])
            self.announce([entry])
            await self._compact(entry.version)
            return entry
        raise LedgerUnavailable(f"lost {RACE_ATTEMPTS} races against other commits; try again")

    async def _compact(self, version: int) -> None:
        if version % self.ledger.snapshot_interval:
            return
        try:
            await self.ledger.compact(self.keeper.configuration)
            self.metrics.count("configuration.snapshots")
        except LedgerError:
            self.metrics.count("configuration.snapshots_failed")

    async def _catch_up(self) -> None:
        try:
            await self.keeper.refresh()
        except LedgerError:
            self.metrics.count("configuration.polls_failed")

    async def status(self, note_id: str) -> NoteAnswer:
        """Tell what became of a note.

        :returns: ``ACCEPTED``, or ``UNKNOWN`` when there is no record of it or no answer.
        """
        try:
            version = await self.ledger.find_note(note_id)
        except LedgerError as error:
            return NoteAnswer(note_id, NoteStatus.UNKNOWN, reasons=[f"{error}; ask again"])
        if version is None:
            reason = "not accepted so far; resend it unchanged to be certain"
            return NoteAnswer(note_id, NoteStatus.UNKNOWN, reasons=[reason])
        return NoteAnswer(note_id, NoteStatus.ACCEPTED, version)


def _unknown(note: ReleaseNote, why: object) -> NoteAnswer:
    reason = f"{why}; ask again for note {note.id!r}, or resend it unchanged"
    return NoteAnswer(note.id, NoteStatus.UNKNOWN, reasons=[reason])


def _refused(note: ReleaseNote, refusal: NoteRefusal) -> NoteAnswer:
    return NoteAnswer(
        note.id, NoteStatus.REFUSED, kind=refusal.kind.value, reasons=list(refusal.reasons)
    )
