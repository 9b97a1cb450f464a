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

    Without an option, reads the settings file that the platform has written; a file whose name
    ends in ".toml" is read in the platform's format as well.

    Exit codes: 0 graceful shutdown, 2 invalid settings or usage, 3 start failed.
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
        asyncio.run(_serve(vm))
    except OSError as error:
        structlog.get_logger().error("daemon cannot start", error=str(error))
        raise typer.Exit(EXIT_START) from error


def _load(path: Path, is_platform_file: bool) -> tuple[VmSettings, LogSettings]:
    """Load settings in either format; exit with ``EXIT_SETTINGS`` if they are invalid."""
    try:
        if is_platform_file:
            return load_vm_settings(path), LogSettings()
        loaded = load_settings(path)
    except SettingsError as error:
        for line in error.lines:
            typer.echo(line, err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    return loaded.to_vm_settings(), loaded.log


async def _serve(settings: VmSettings) -> None:
    """Run the daemon until it stops.

    :raises OSError: when an address cannot be bound.
    """
    daemon = EntryDaemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _log_reload)
    await daemon.run()


def _log_reload() -> None:
    structlog.get_logger().info("SIGHUP ignored, settings are read at start only")


def main() -> None:
    """Entry point of ``jaypierd``."""
    app(prog_name="jaypierd")


if __name__ == "__main__":
    sys.exit(main())
