"""Decoding of stored rows: one that cannot be decoded is left out and hides no other."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

import structlog

from jaypier.core.codec import DecodeError
from jaypier.core.metrics import Metrics
from jaypier.platform.model import Row, Unreadable

T = TypeVar("T")

MAX_REMEMBERED_ROWS = 10_000
"""Rows of which the version that was logged last is kept."""

MAX_REASON_CHARACTERS = 300
"""Longest reason in a log line: errors quote values, which may be as long as a row."""

log = structlog.get_logger()


class LeftOutRows:
    """Rows that were left out as they cannot be decoded; each version is logged and counted once.

    :param metrics: counts them as ``rows.left_out``.
    :ivar versions: version of each row that was logged last, by key.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        self.metrics = metrics or Metrics()
        self.versions: OrderedDict[str, int] = OrderedDict()

    def observe(self, row: Row, error: Exception) -> None:
        """Log and count a row, unless this version has been logged.

        :param error: why it is left out.
        """
        if self.versions.get(row.key) == row.version:
            return
        self.versions[row.key] = row.version
        self.versions.move_to_end(row.key)
        if len(self.versions) > MAX_REMEMBERED_ROWS:
            self.versions.popitem(last=False)
        self.metrics.count("rows.left_out")
        reason = describe_error(error)
        log.error(
            "row left out: cannot be decoded", key=row.key, version=row.version, reason=reason
        )


def describe_error(error: Exception) -> str:
    """Return the text of an error, shortened."""
    try:
        text = str(error) or repr(error)
    except RecursionError:
        text = type(error).__name__
    return text if len(text) <= MAX_REASON_CHARACTERS else f"{text[:MAX_REASON_CHARACTERS]}..."


def decode_valid(
    rows: Iterable[Row], decode: Callable[[Any], T], left_out: LeftOutRows
) -> Iterator[tuple[Row, T]]:
    """Decode stored rows; leave out each that cannot be decoded.

    :param rows: deleted rows, whose value is ``None``, are left out.
    :param decode: raises an exception for an invalid value. Any is accepted: a value of another
        writer may fail in ways that the decoder does not foresee, and must not hide the others.
    :param left_out: observes the rows that cannot be decoded.
    :returns: rows and decoded values.
    """
    for row in rows:
        if row.value is None:
            continue
        try:
            if isinstance(row.value, Unreadable):
                raise DecodeError([row.value.reason])
            decoded = decode(row.value)
        except Exception as error:
            left_out.observe(row, error)
            continue
        yield row, decoded
