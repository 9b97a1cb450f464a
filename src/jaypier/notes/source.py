"""Operators' configuration for the entry daemon, from release notes."""

from jaypier.entry.configuration import OperatorChanges, OperatorSource
from jaypier.notes.book import NOTES_TABLE, NoteBook
from jaypier.notes.translation import build_configuration
from jaypier.platform import Changes, WatchableTable


class NoteOperatorSource(OperatorSource):
    """Follows release notes in the store.

    :param book: kept up to date with each answer of the store.
    """

    def __init__(self, table: WatchableTable, book: NoteBook) -> None:
        self.table = table
        self.book = book

    async def snapshot(self) -> OperatorChanges:
        """Return all that is in force."""
        changes = await self.table.snapshot(NOTES_TABLE)
        # A note may have come between two pages of the reading; its rows are taken in together.
        newer = await self.table.watch(NOTES_TABLE, changes.version, 0.0)
        self.book.clear()
        return self.take(Changes(changes.rows + newer.rows, newer.version))

    async def watch(self, after: int, wait: float) -> OperatorChanges:
        """Wait for changes after a version."""
        return self.take(await self.table.watch(NOTES_TABLE, after, wait))

    def take(self, changes: Changes) -> OperatorChanges:
        """Take changes into the book, and return what is in force then."""
        before = dict.fromkeys(self.book.data_centres, False)
        self.book.take(changes.rows)
        out_of_service = before | {
            centre.name: not centre.in_service for centre in self.book.data_centres.values()
        }
        return OperatorChanges(build_configuration(self.book), out_of_service, changes.version)
