"""What a part of the scheduler learns while a leader runs and the next one starts from."""

from abc import ABC, abstractmethod
from typing import Any


class LearnedSection(ABC):
    """Part of what a leader has learned."""

    @abstractmethod
    def to_record(self) -> dict[str, Any]:
        """Return it as plain JSON values, of bounded size."""

    @abstractmethod
    def restore(self, record: dict[str, Any]) -> None:
        """Start from a record, which may be of another release; change nothing if it is invalid.

        :raises ValueError: when it has another form. ``TypeError``, ``LookupError`` and
            ``AttributeError`` mean the same.
        """

    def differs(self, record: dict[str, Any]) -> bool:
        """Whether more is known than in a record, by enough to be worth another one."""
        return self.to_record() != record
