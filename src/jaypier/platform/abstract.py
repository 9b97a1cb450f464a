"""The entry points of the platform's table service: its rows, and the way of a call to it."""

from abc import ABC, abstractmethod

from jaypier.platform.model import Changes, Row, Transaction
from jaypier.wire.messages import HttpRequest, HttpResponse


class FollowedTable(ABC):
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
    async def follow(self, table: str, after: int, wait: float) -> Changes:
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
