"""Source of the entry daemon's configuration that is based on release notes."""

from jaypier.entry.configuration import OperatorChanges, OperatorSource
from jaypier.notes.cache import NOTES_TABLE, EntityCache
from jaypier.notes.translation import build_configuration
from jaypier.platform import Changes, WatchableTable


class NoteOperatorSource(OperatorSource):
    """Reads and watches the rows of release notes in the store.

    :param cache: updated with each response of the store.
    """

    def __init__(self, table: WatchableTable, cache: EntityCache) -> None:
        self.table = table
        self.cache = cache

    async def snapshot(self) -> OperatorChanges:
        """Return the current configuration and data centres out of service.

        :raises PlatformUnavailable: when the store does not respond.
        """
        changes = await self.table.snapshot(NOTES_TABLE)
        # A note may be committed between two pages of the snapshot, which then has only part of its
        # rows; the changes since the snapshot complete it.
        newer = await self.table.watch(NOTES_TABLE, changes.version, 0.0)
        self.cache.clear()
        return self.apply(Changes(changes.rows + newer.rows, newer.version))

    async def watch(self, after: int, wait: float) -> OperatorChanges:
        """Wait for changes after a store version.

        :param wait: longest time to wait, in seconds.
        :raises HistoryCompacted: when the store no longer has the changes.
        :raises PlatformUnavailable: when the store does not respond.
        """
        return self.apply(await self.table.watch(NOTES_TABLE, after, wait))

    def apply(self, changes: Changes) -> OperatorChanges:
        """Apply changes to the cache and return the resulting configuration."""
        known = dict.fromkeys(self.cache.data_centres, False)
        self.cache.apply_rows(changes.rows)
        out_of_service = known | {
            centre.name: not centre.in_service for centre in self.cache.data_centres.values()
        }
        return OperatorChanges(build_configuration(self.cache), out_of_service, changes.version)
