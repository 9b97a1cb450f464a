"""The operators' command-line tool ``jaypier``."""
