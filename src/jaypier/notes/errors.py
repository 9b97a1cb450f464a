"""Errors of the release notes slice."""

from jaypier.core.errors import JaypierError


class LedgerError(JaypierError):
    """The accepted configuration could not be read or written."""


class LedgerUnavailable(LedgerError):
    """The platform did not answer; nothing was changed."""


class CommitUnknown(LedgerError):
    """An entry may or may not have been committed; ask again by the note's identity."""


class HeadMoved(LedgerError):
    """Another entry was committed first; check the note against it and try again."""


class AlreadyAccepted(LedgerError):
    """The note was accepted before.

    :param version: the version that it made.
    """

    def __init__(self, note_id: str, version: int) -> None:
        super().__init__(f"note {note_id!r} was accepted as version {version}")
        self.version = version
