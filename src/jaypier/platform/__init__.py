"""Access to what the platform gives: the table service, the object store, the machine list."""

from jaypier.platform.abstract import (
    FollowedTable,
    MachineList,
    ObjectStore,
    Platform,
    TableService,
)
from jaypier.platform.errors import (
    ConditionFailed,
    HistoryLost,
    PlatformError,
    PlatformRefused,
    PlatformUnavailable,
)
from jaypier.platform.model import (
    Changes,
    Condition,
    Machine,
    MachineKind,
    MachineState,
    Put,
    Row,
    Transaction,
)
from jaypier.platform.registry import open_platform

__all__ = [
    "Changes",
    "Condition",
    "ConditionFailed",
    "FollowedTable",
    "HistoryLost",
    "Machine",
    "MachineKind",
    "MachineList",
    "MachineState",
    "ObjectStore",
    "Platform",
    "PlatformError",
    "PlatformRefused",
    "PlatformUnavailable",
    "Put",
    "Row",
    "TableService",
    "Transaction",
    "open_platform",
]
