"""HTTP by ``h11`` and messages between daemons by ``pynng``."""
