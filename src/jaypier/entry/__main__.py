"""Runs the daemon with ``python -m jaypier.entry``."""

from jaypier.entry.main import main

main()
