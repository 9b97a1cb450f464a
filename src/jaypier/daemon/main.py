"""Command line of the daemon."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from jaypier.daemon.assembly import Daemon
from jaypier.daemon.logs import configure_logs
from jaypier.daemon.settings import Settings, SettingsError, load_settings

EXIT_SETTINGS = 2
EXIT_START = 3
EXIT_FAULT = 4

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings: Annotated[
        Path | None, typer.Option(help="Settings file: JSON with comments.", metavar="FILE")
    ] = None,
    check_settings: Annotated[
        Path | None, typer.Option(help="Check a settings file and exit.", metavar="FILE")
    ] = None,
) -> None:
    """Run one jaypier daemon until SIGTERM or SIGINT, then stop gracefully.

    Exit codes: 0 stopped as planned, 2 wrong settings or usage, 3 cannot start, 4 stopped after
    a fault.
    """
    path = check_settings or settings
    if path is None:
        typer.echo("jaypierd: give --settings FILE or --check-settings FILE", err=True)
        raise typer.Exit(EXIT_SETTINGS)
    loaded = _load(path)
    if check_settings is not None:
        typer.echo(f"{path}: settings of daemon {loaded.id!r} are valid")
        return
    configure_logs(loaded.log, loaded.id)
    try:
        ended_as_planned = asyncio.run(_run(loaded))
    except OSError as error:
        structlog.get_logger().error("daemon cannot start", error=str(error))
        raise typer.Exit(EXIT_START) from error
    if not ended_as_planned:
        raise typer.Exit(EXIT_FAULT)


def _load(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        for line in error.lines:
            typer.echo(line, err=True)
        raise typer.Exit(EXIT_SETTINGS) from error


async def _run(settings: Settings) -> bool:
    """Run a daemon to its end; return whether it ended as planned."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop_requested.set)
    await daemon.run()
    return not daemon.has_failed


def main() -> None:
    """Entry point of ``jaypierd``."""
    app(prog_name="jaypierd")


if __name__ == "__main__":
    sys.exit(main())
