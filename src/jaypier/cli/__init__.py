"""Operator command-line tool ``jaypier``."""
