"""Root of the exception hierarchy; each layer derives its own exceptions from it."""


class JaypierError(Exception):
    """Base class of the exceptions by which jaypier reports expected failures."""
