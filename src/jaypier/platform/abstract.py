"""Interfaces of the platform's table store: its rows, their changes, and the transport."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

from jaypier.platform.model import Changes, Row, Transaction
from jaypier.wire.client import ProgressCallback
from jaypier.wire.messages import HttpRequest, HttpResponse

T = TypeVar("T")


class WatchableTable(ABC):
    """Transactional rows whose changes can be watched; keys have the form ``"TABLE/NAME"``.

    :ivar max_row_bytes: maximum size of a row's value encoded as JSON, in bytes.
    """

    max_row_bytes: int = 65536

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist.

        :raises PlatformUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def snapshot(self, table: str) -> Changes:
        """Return all rows of a table, and the version from which to watch it.

        :raises PlatformUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def watch(self, table: str, after: int, wait: float) -> Changes:
        """Return the rows of a table that changed after a version, waiting for a first change.

        A deleted row has the value ``None``. Without a change in time, no rows are returned.

        :param after: version of the store whose later changes are returned.
        :param wait: maximum time to wait for a change, in seconds.
        :raises HistoryCompacted: if the store no longer has these changes.
        :raises PlatformUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction atomically and return the version of the rows it wrote.

        :raises ConditionFailed: if a condition does not hold; the exception carries the current
            rows, and nothing was applied.
        :raises PlatformUnavailable: if the store does not answer; ``effect_unknown`` tells
            whether the transaction may have been applied.
        """

    @abstractmethod
    def store_time(self) -> float:
        """Return the store's monotonic clock in seconds, estimated from its last response."""


class ChangeSource(ABC, Generic[T]):
    """A source of versioned state: read as a snapshot, then watched for later changes."""

    @abstractmethod
    async def snapshot(self) -> T:
        """Return the complete current state.

        :raises PlatformUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def watch(self, after: int, wait: float) -> T:
        """Return what changed after a version, waiting for a first change.

        :param after: version whose later changes are returned.
        :param wait: maximum time to wait for a change, in seconds.
        :raises HistoryCompacted: if these changes are no longer available.
        :raises PlatformUnavailable: if the store does not answer.
        """


class TableSource(ChangeSource[T]):
    """The rows of one table, decoded.

    :param table: the store that holds the table.
    :param table_name: name of the table in the store.
    :param decode: converts rows to the result.
    """

    def __init__(
        self, table: WatchableTable, table_name: str, decode: Callable[[Changes], T]
    ) -> None:
        self.table = table
        self.table_name = table_name
        self.decode = decode

    async def snapshot(self) -> T:
        """Return all rows, decoded."""
        return self.decode(await self.table.snapshot(self.table_name))

    async def watch(self, after: int, wait: float) -> T:
        """Wait for rows that change after a version and return them, decoded."""
        return self.decode(await self.table.watch(self.table_name, after, wait))


class StoreTransport(ABC):
    """Carries requests to the store and its responses back."""

    @abstractmethod
    async def exchange(
        self, request: HttpRequest, timeout: float, on_progress: ProgressCallback | None = None
    ) -> HttpResponse:
        """Send one request and return its response.

        :param timeout: time to wait for the first part of the response and for each further one, in
            seconds.
        :param on_progress: called whenever a part of the response has arrived.
        :raises TransportError: if there is no response; ``sent`` tells whether the store may have
            executed the request.
        """

    @abstractmethod
    def close(self) -> None:
        """Close every idle connection."""
