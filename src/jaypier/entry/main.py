"""Command line of the daemon."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from jaypier.entry.daemon import EntryDaemon
from jaypier.entry.logs import configure_logging
from jaypier.entry.settings import LogSettings, SettingsError, VmSettings, load_settings
from jaypier.platform.settings import DEFAULT_SETTINGS_PATH, SETTINGS_VARIABLE, load_vm_settings

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

    Without an option it reads the settings file that the users' platform has written; a file whose
    name ends in ".toml" is read as one of those as well.

    Exit codes: 0 stopped as planned, 2 wrong settings or usage, 3 cannot start, 4 stopped after
    a fault.
    """
    path = check_settings or settings
    is_platform_file = path is None or path.suffix == ".toml"
    path = path or Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH))
    vm, logs = _load(path, is_platform_file)
    if check_settings is not None:
        typer.echo(f"{path}: settings of daemon {vm.name!r} are valid")
        return
    configure_logging(logs, vm.name)
    try:
        ended_as_planned = asyncio.run(_serve(vm))
    except OSError as error:
        structlog.get_logger().error("daemon cannot start", error=str(error))
        raise typer.Exit(EXIT_START) from error
    if not ended_as_planned:
        raise typer.Exit(EXIT_FAULT)


def _load(path: Path, is_platform_file: bool) -> tuple[VmSettings, LogSettings]:
    """Read settings of either kind; exit when they cannot be used."""
    try:
        if is_platform_file:
            return load_vm_settings(path), LogSettings()
        loaded = load_settings(path)
    except SettingsError as error:
        for line in error.lines:
            typer.echo(line, err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    return loaded.to_vm_settings(), loaded.log


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
    """Entry point of ``jaypierd``."""
    app(prog_name="jaypierd")


if __name__ == "__main__":
    sys.exit(main())
