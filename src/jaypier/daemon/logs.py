"""Logging: lines only for changes of state; everything else is counted."""

import logging
import sys

import structlog

from jaypier.daemon.settings import LogSettings


def configure_logs(settings: LogSettings, daemon_id: str) -> None:
    """Send log lines to standard output as JSON or for a console."""
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, settings.level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )
    structlog.contextvars.bind_contextvars(daemon=daemon_id)
