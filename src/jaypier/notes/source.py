"""Operators' configuration for the entry daemon, from release notes."""

from jaypier.entry.configuration import OperatorChanges, OperatorSource
from jaypier.notes.cache import NOTES_TABLE, EntityCache
from jaypier.notes.translation import build_configuration
from jaypier.platform import Changes, WatchableTable


class NoteOperatorSource(OperatorSource):
    """Follows release notes in the store.

    :param cache: kept up to date with each answer of the store.
    """

    def __init__(self, table: WatchableTable, cache: EntityCache) -> None:
        self.table = table
        self.cache = cache

    async def snapshot(self) -> OperatorChanges:
        """Return all that is in force."""
        changes = await self.table.snapshot(NOTES_TABLE)
        # A note may have come between two pages of the reading; its rows are taken in together.
        newer = await self.table.watch(NOTES_TABLE, changes.version, 0.0)
        self.cache.clear()
        return self.apply(Changes(changes.rows + newer.rows, newer.version))

    async def watch(self, after: int, wait: float) -> OperatorChanges:
        """Wait for changes after a version."""
        return self.apply(await self.table.watch(NOTES_TABLE, after, wait))

    def apply(self, changes: Changes) -> OperatorChanges:
        """Take changes into the book, and return what is in force then."""
        known = dict.fromkeys(self.cache.data_centres, False)
        self.cache.apply_rows(changes.rows)
        out_of_service = known | {
            centre.name: not centre.in_service for centre in self.cache.data_centres.values()
        }
        return OperatorChanges(build_configuration(self.cache), out_of_service, changes.version)
