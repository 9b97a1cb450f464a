"""The entry point that every platform back end implements."""

from abc import ABC, abstractmethod

from jaypier.platform.model import Changes, Machine, Row, Transaction


class TableService(ABC):
    """Transactional rows."""

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` when it does not exist.

        :raises PlatformUnavailable: when there is no answer.
        """

    @abstractmethod
    async def scan(self, prefix: str) -> list[Row]:
        """Return every row whose key starts with ``prefix``, in key order.

        :raises PlatformUnavailable: when there is no answer.
        """

    @abstractmethod
    async def transact(self, transaction: Transaction) -> None:
        """Apply a transaction whole.

        :raises ConditionFailed: when a condition does not hold; nothing was applied.
        :raises PlatformUnavailable: when there is no answer; ``effect_unknown`` tells whether
            the transaction may have been applied.
        """


class FollowedTable(TableService):
    """Rows whose changes can be followed; keys are ``"TABLE/NAME"``."""

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
        :raises PlatformUnavailable: when there is no answer.
        """

    @abstractmethod
    def store_time(self) -> float:
        """Return the store's steady clock in seconds, as far as its last answer tells."""

    async def transact(self, transaction: Transaction) -> None:
        """Apply a transaction whole."""
        await self.commit(transaction)


class ObjectStore(ABC):
    """Named immutable byte strings."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` when it does not exist.

        :raises PlatformUnavailable: when there is no answer.
        """

    @abstractmethod
    async def put(self, name: str, data: bytes) -> None:
        """Store an object.

        :raises PlatformUnavailable: when there is no answer.
        """


class MachineList(ABC):
    """The lagging list of live and leaving VMs."""

    @abstractmethod
    async def machines(self) -> list[Machine]:
        """Return every machine that the platform lists now; the same list while unchanged.

        :raises PlatformUnavailable: when there is no answer.
        """


class Platform(ABC):
    """A connected platform; an async context manager that owns its connections."""

    table: TableService
    objects: ObjectStore
    machine_list: MachineList

    async def __aenter__(self) -> "Platform":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""
