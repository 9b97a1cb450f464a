"""Data exchanged with the platform's table store."""

from typing import Any

import attrs


@attrs.frozen
class Unreadable:
    """Value of a row whose bytes are not JSON; no decoder accepts it.

    :param reason: why they cannot be read.
    """

    reason: str


@attrs.frozen
class Row:
    """A row of the table store.

    :param key: unique key, ``"TABLE/NAME"``.
    :param value: plain JSON value; ``None`` for a deleted row, ``Unreadable`` for one whose bytes
        are not JSON.
    :param version: number that increases with each write of the row, at least 1.
    """

    key: str
    value: Any
    version: int

    @property
    def name(self) -> str:
        """The row's key within its table."""
        return self.key.partition("/")[2]


@attrs.frozen
class Changes:
    """Rows of a table, as a snapshot or as the changes after a version.

    :param rows: in key order, or in the order of their versions; a deleted row has the value
        ``None``.
    :param version: version of the store up to which these rows are complete.
    """

    rows: list[Row]
    version: int


@attrs.frozen
class Condition:
    """A precondition on the version of one row.

    :param version: version that the row must have; 0 means that the row must not exist.
    """

    key: str
    version: int


@attrs.frozen
class Put:
    """A write that replaces the value of one row."""

    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Writes that are all applied if all conditions hold; otherwise none is.

    :param deletes: keys of the rows to delete.
    """

    conditions: list[Condition] = attrs.field(factory=list)
    puts: list[Put] = attrs.field(factory=list)
    deletes: list[str] = attrs.field(factory=list)
