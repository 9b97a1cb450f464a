"""The entry points of the platform's table service: its rows, and the way of a call to it."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

from jaypier.platform.model import Changes, Row, Transaction
from jaypier.wire.messages import HttpRequest, HttpResponse

T = TypeVar("T")


class WatchableTable(ABC):
    """Transactional rows whose changes can be followed; keys are ``"TABLE/NAME"``.

    :ivar max_row_bytes: length of a row's value as JSON at most.
    """

    max_row_bytes: int = 65536

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` when it does not exist.

        :raises PlatformUnavailable: when there is no answer.
        """

    @abstractmethod
    async def snapshot(self, table: str) -> Changes:
        """Return every row of a table, and the version from which to follow it.

        :raises PlatformUnavailable: when there is no answer.
        """

    @abstractmethod
    async def watch(self, table: str, after: int, wait: float) -> Changes:
        """Wait for rows of a table that changed after a version; deleted ones have no value.

        :param wait: seconds to wait for a change.
        :raises HistoryLost: when the store no longer has these changes.
        :raises PlatformUnavailable: when there is no answer.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction whole and return the version of its rows.

        :raises ConditionFailed: with the current rows; nothing was applied.
        :raises PlatformUnavailable: when there is no answer; ``effect_unknown`` tells whether
            the transaction may have been applied.
        """

    @abstractmethod
    def store_time(self) -> float:
        """Return the store's steady clock in seconds, as far as its last answer tells."""


class ChangeSource(ABC, Generic[T]):
    """Where something that changes can be read as a whole, and followed from there."""

    @abstractmethod
    async def snapshot(self) -> T:
        """Return all that is in force.

        :raises PlatformUnavailable: when there is no answer.
        """

    @abstractmethod
    async def watch(self, after: int, wait: float) -> T:
        """Wait for what changes after a version.

        :raises HistoryLost: when these changes are no longer known.
        :raises PlatformUnavailable: when there is no answer.
        """


class TableSource(ChangeSource[T]):
    """Rows of one table, decoded.

    :param name: name of the table.
    :param decode: returns what rows say.
    """

    def __init__(
        self, table: WatchableTable, table_name: str, decode: Callable[[Changes], T]
    ) -> None:
        self.table = table
        self.table_name = table_name
        self.decode = decode

    async def snapshot(self) -> T:
        """Return what all rows say."""
        return self.decode(await self.table.snapshot(self.table_name))

    async def watch(self, after: int, wait: float) -> T:
        """Wait for rows that change after a version; return what they say."""
        return self.decode(await self.table.watch(self.table_name, after, wait))


class StoreTransport(ABC):
    """Carries a call to the store and its answer back."""

    @abstractmethod
    async def exchange(self, request: HttpRequest, timeout: float) -> HttpResponse:
        """Make one call.

        :raises TransportError: when there is no answer; ``sent`` tells whether the store may have
            carried the call out.
        """

    @abstractmethod
    def close(self) -> None:
        """Close every idle connection."""
