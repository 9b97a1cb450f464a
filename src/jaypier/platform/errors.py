"""Errors of the platform layer."""

from collections.abc import Sequence

from jaypier.core.errors import JaypierError
from jaypier.platform.model import Row


class PlatformError(JaypierError):
    """The platform refused or failed a call."""


class ConditionFailed(PlatformError):
    """A transaction was not applied because a row had another version.

    :param key: the first row whose condition failed.
    :param current: the present rows that the conditions name, as far as they exist.
    """

    def __init__(self, key: str, current_rows: Sequence[Row] = ()) -> None:
        super().__init__(f"row {key!r} has changed; read it again")
        self.key = key
        self.current_rows = {row.key: row for row in current_rows}


class HistoryCompacted(PlatformError):
    """The store no longer has the changes that were asked for; read the rows again."""

    def __init__(self) -> None:
        super().__init__("the store has dropped these changes; read the rows again")


class PlatformRefused(PlatformError):
    """The platform refused a call that is wrong in itself; repeating it does not help."""


class PlatformUnavailable(PlatformError):
    """The platform did not answer.

    :param effect_unknown: whether a write may have taken effect all the same.
    """

    def __init__(self, message: str, effect_unknown: bool) -> None:
        super().__init__(message)
        self.effect_unknown = effect_unknown
