"""Access to what the platform gives: the table service, the object store, the machine list."""

from jaypier.platform.abstract import MachineList, ObjectStore, Platform, TableService
from jaypier.platform.errors import ConditionFailed, PlatformError, PlatformUnavailable
from jaypier.platform.model import (
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
    "Condition",
    "ConditionFailed",
    "Machine",
    "MachineKind",
    "MachineList",
    "MachineState",
    "ObjectStore",
    "Platform",
    "PlatformError",
    "PlatformUnavailable",
    "Put",
    "Row",
    "TableService",
    "Transaction",
    "open_platform",
]
