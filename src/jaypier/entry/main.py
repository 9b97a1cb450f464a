"""Command line of the daemon on an entry VM of the platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from jaypier.daemon.logs import configure_logs
from jaypier.daemon.settings import LogSettings
from jaypier.entry.daemon import EntryDaemon
from jaypier.platform.settings import (
    DEFAULT_PATH,
    SETTINGS_VARIABLE,
    VmSettings,
    VmSettingsError,
    load_vm_settings,
)

EXIT_SETTINGS = 2
EXIT_FAULT = 4

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings: Annotated[
        Path | None, typer.Option(help="The platform's settings file.", metavar="FILE")
    ] = None,
    check: Annotated[bool, typer.Option(help="Check the settings and exit.")] = False,
) -> None:
    """Serve callers on one entry VM until SIGTERM, then stop gracefully.

    Exit codes: 0 stopped as planned, 2 wrong settings, 4 stopped after a fault.
    """
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        loaded = load_vm_settings(path)
    except VmSettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    if check:
        typer.echo(f"{path}: settings of VM {loaded.name!r} are valid")
        return
    configure_logs(LogSettings(), loaded.name)
    if not asyncio.run(_serve(loaded)):
        raise typer.Exit(EXIT_FAULT)


async def _serve(settings: VmSettings) -> bool:
    """Run the daemon to its end; return whether it ended as planned."""
    daemon = EntryDaemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _log_reload)
    await daemon.run()
    return not daemon.has_failed


def _log_reload() -> None:
    structlog.get_logger().info("reload requested; addresses are read at the next start")


def main() -> None:
    """Entry point of ``jaypier-entry``."""
    app(prog_name="jaypier-entry")


if __name__ == "__main__":
    sys.exit(main())
