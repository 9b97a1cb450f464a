"""Access to what the platform gives: its table service and its workers."""

from jaypier.platform.abstract import ChangeSource, TableSource, WatchableTable
from jaypier.platform.errors import (
    ConditionFailed,
    HistoryCompacted,
    PlatformError,
    PlatformRefused,
    PlatformUnavailable,
)
from jaypier.platform.model import Changes, Condition, Put, Row, Transaction

__all__ = [
    "ChangeSource",
    "Changes",
    "Condition",
    "ConditionFailed",
    "HistoryCompacted",
    "PlatformError",
    "PlatformRefused",
    "PlatformUnavailable",
    "Put",
    "Row",
    "TableSource",
    "Transaction",
    "WatchableTable",
]
