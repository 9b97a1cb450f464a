"""Pytest configuration: a reproducible Hypothesis profile and expected failures.

Tests listed in ``KNOWN-RED.txt`` may fail without failing the run; they are printed in the summary.
"""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_FAILURES_FILE = Path(__file__).parent / "KNOWN-RED.txt"

settings.register_profile(
    "reproducible",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("reproducible")


def read_known_failures() -> dict[str, str]:
    """Return the entries of ``KNOWN-RED.txt`` by test id."""
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.partition("|")[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark known failures as expected failures; passing anyway is not an error."""
    known_failures = read_known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason=known_failures[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print every known failure."""
    for entry in read_known_failures().values():
        terminalreporter.write_line(f"KNOWN RED: {entry}")
