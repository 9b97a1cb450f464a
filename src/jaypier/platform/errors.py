"""Errors of the platform layer."""

from jaypier.core.errors import JaypierError


class PlatformError(JaypierError):
    """The platform refused or failed a call."""


class ConditionFailed(PlatformError):
    """A transaction was not applied because a row had another version.

    :param key: the first row whose condition failed.
    """

    def __init__(self, key: str) -> None:
        super().__init__(f"row {key!r} has changed; read it again")
        self.key = key


class PlatformUnavailable(PlatformError):
    """The platform did not answer.

    :param effect_unknown: whether a write may have taken effect all the same.
    """

    def __init__(self, message: str, effect_unknown: bool) -> None:
        super().__init__(message)
        self.effect_unknown = effect_unknown
