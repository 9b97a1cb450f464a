"""Exceptions of the platform layer."""

from collections.abc import Sequence

from jaypier.core.errors import JaypierError
from jaypier.platform.model import Row


class PlatformError(JaypierError):
    """The platform rejected a request, or failed to handle it."""


class ConditionFailed(PlatformError):
    """A transaction was not applied because a row did not have the required version.

    :param key: key of the first row whose condition failed, where that is known; otherwise the key
        of the first condition.
    :param current_rows: the current rows that the conditions name, as far as they exist.
    :ivar current_rows: the same rows by their keys.
    """

    def __init__(self, key: str, current_rows: Sequence[Row] = ()) -> None:
        super().__init__(f"row {key!r} has changed; read it again")
        self.key = key
        self.current_rows = {row.key: row for row in current_rows}


class HistoryCompacted(PlatformError):
    """The store no longer has the requested changes; the rows have to be read again."""

    def __init__(self) -> None:
        super().__init__("the store has dropped these changes; read the rows again")


class PlatformRefused(PlatformError):
    """The platform rejected an invalid request; retrying it cannot succeed."""


class PlatformUnavailable(PlatformError):
    """The platform did not answer, or could not handle the request.

    :param effect_unknown: whether a write may have taken effect nevertheless.
    """

    def __init__(self, message: str, effect_unknown: bool) -> None:
        super().__init__(message)
        self.effect_unknown = effect_unknown
