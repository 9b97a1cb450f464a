"""Holds the newest known configuration of one daemon; its version only goes up."""

import asyncio
from collections import deque
from collections.abc import Callable

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.notes.configuration import Configuration, ConfigurationEntry, apply_entry
from jaypier.notes.errors import LedgerError, LedgerUnavailable
from jaypier.notes.ledger import Head, HeadReading, Ledger

RECENT_ENTRIES = 256
"""Entries kept in memory for daemons that lag."""

CURRENT_SECONDS = 1.5
"""Age up to which a confirmation by the store proves that the configuration is current."""

Subscriber = Callable[[Configuration, list[ConfigurationEntry]], None]


class ConfigurationKeeper:
    """The configuration in force in this daemon.

    :param ledger: where accepted entries are read from.
    :param clock: source of time for confirmations.
    """

    def __init__(self, ledger: Ledger, clock: Clock, metrics: Metrics) -> None:
        self.ledger = ledger
        self.clock = clock
        self.metrics = metrics
        self.configuration = Configuration()
        self.recent: deque[ConfigurationEntry] = deque(maxlen=RECENT_ENTRIES)
        self.is_loaded = False
        self.confirmed_at = float("-inf")
        self.subscribers: list[Subscriber] = []
        self.refreshing = asyncio.Lock()

    @property
    def is_current(self) -> bool:
        """Whether the store confirmed the version within ``CURRENT_SECONDS``."""
        return self.clock.now() - self.confirmed_at <= CURRENT_SECONDS

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with the configuration and the new entries after each change."""
        self.subscribers.append(subscriber)

    async def refresh(self) -> HeadReading:
        """Read the head and load what is missing.

        :raises LedgerError: when the store does not answer or holds no usable log.
        """
        async with self.refreshing:
            started_at = self.clock.now()
            reading = await self.ledger.read_head()
            if reading.head.version > self.configuration.version:
                await self._load(reading.head)
            if reading.head.version < self.configuration.version:
                self.metrics.count("configuration.stale_reads")
                raise LedgerUnavailable(
                    f"store answered version {reading.head.version}, "
                    f"older than {self.configuration.version}"
                )
            self.confirmed_at = started_at
            self.is_loaded = True
            return reading

    async def _load(self, head: Head) -> None:
        try:
            entries = await self.ledger.load(self.configuration, head)
        except LedgerUnavailable:
            raise
        except LedgerError:
            await self._load_snapshot(head)
            entries = await self.ledger.load(self.configuration, head)
        self.offer(entries)

    async def _load_snapshot(self, head: Head) -> None:
        snapshot = await self.ledger.load_snapshot(head)
        self.adopt(snapshot)

    def adopt(self, configuration: Configuration) -> bool:
        """Take over a whole configuration if it is newer.

        :returns: whether it was newer.
        """
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.recent.clear()
        self.is_loaded = True
        self._publish([])
        return True

    def offer(self, entries: list[ConfigurationEntry]) -> list[ConfigurationEntry]:
        """Apply entries that follow the present version; ignore old ones.

        :returns: the entries that were new.
        """
        applied = []
        for entry in sorted(entries, key=lambda entry: entry.version):
            if entry.version != self.configuration.version + 1:
                continue
            self.configuration = apply_entry(self.configuration, entry)
            self.recent.append(entry)
            applied.append(entry)
        if applied:
            self.metrics.count("configuration.entries_applied", len(applied))
            self._publish(applied)
        return applied

    def _publish(self, entries: list[ConfigurationEntry]) -> None:
        for subscriber in self.subscribers:
            subscriber(self.configuration, entries)

    def entries_after(self, version: int) -> list[ConfigurationEntry] | None:
        """Return the entries after ``version``, or ``None`` when they are no longer kept."""
        if version >= self.configuration.version:
            return []
        entries = [entry for entry in self.recent if entry.version > version]
        if not entries or entries[0].version != version + 1:
            return None
        return entries
