"""Data that is exchanged with the platform."""

from typing import Any

import attrs


@attrs.frozen
class Row:
    """A row of the table service.

    :param key: unique key.
    :param value: plain JSON value.
    :param version: number that grows with each write of the row, from 1.
    """

    key: str
    value: Any
    version: int

    @property
    def name(self) -> str:
        """Its key within its table."""
        return self.key.partition("/")[2]


@attrs.frozen
class Changes:
    """Rows of a table.

    :param rows: in key order, or in the order of their versions; a deleted row has no value.
    :param version: version of the store up to which these rows are complete.
    """

    rows: list[Row]
    version: int


@attrs.frozen
class Condition:
    """A requirement on one row.

    :param version: version the row must have; 0 means that the row must not exist.
    """

    key: str
    version: int


@attrs.frozen
class Put:
    """A write of one row."""

    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Writes that are all applied if all conditions hold, else none is."""

    conditions: list[Condition] = attrs.field(factory=list)
    puts: list[Put] = attrs.field(factory=list)
    deletes: list[str] = attrs.field(factory=list)
