"""Errors of the membership slice."""

from jaypier.core.errors import JaypierError


class PeerMessageError(JaypierError):
    """A message from another daemon was refused."""
