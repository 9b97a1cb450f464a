"""Root of the exception hierarchy; each layer derives its own errors from it."""


class JaypierError(Exception):
    """Base class of every error that jaypier raises on purpose."""
