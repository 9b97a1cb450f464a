"""Command line of the operators' tool.

Exit codes: 0 done, 1 refused or not found, 2 wrong usage, 3 outcome unknown, 4 no daemon
answers, 5 accepted but not in force everywhere in time.
"""

import asyncio
import secrets
from pathlib import Path
from typing import Annotated, Any

import attrs
import msgspec
import typer

from jaypier.cli.client import Answer, DaemonClient, NoDaemonAnswers
from jaypier.core.address import Address

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5

SUBMIT_SECONDS = 15.0
"""Time for which a note of unknown fate is resent."""

app = typer.Typer(add_completion=False, no_args_is_help=True, help=__doc__)
note_app = typer.Typer(no_args_is_help=True, help="Submit and follow release notes.")
app.add_typer(note_app, name="note")


@attrs.define
class Options:
    """Options that every command shares."""

    client: DaemonClient
    as_json: bool


@app.callback()
def read_options(
    context: typer.Context,
    node: Annotated[
        list[str], typer.Option(envvar="JAYPIER_NODES", help="IP:PORT of a daemon; repeatable.")
    ],
    token: Annotated[str, typer.Option(envvar="JAYPIER_TOKEN", help="Operator's token.")],
    json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Drive jaypier through any of its daemons."""
    for address in node:
        try:
            Address.parse(address)
        except ValueError as error:
            typer.echo(f"jaypier: --node: {error}", err=True)
            raise typer.Exit(EXIT_USAGE) from error
    context.obj = Options(DaemonClient(node, token), json)


def run(work: Any) -> Any:
    """Run a coroutine; exit when no daemon answers."""
    try:
        return asyncio.run(work)
    except NoDaemonAnswers as error:
        typer.echo(f"jaypier: no daemon answers: {error}", err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error


def show(options: Options, value: Any, text: str) -> None:
    """Print a result as JSON or as text."""
    typer.echo(msgspec.json.encode(value).decode() if options.as_json else text)


def fetch(options: Options, path: str) -> Any:
    """Get a document; exit when it is refused."""
    answer = run(options.client.call("GET", path))
    if answer.status != 200:
        show(options, answer.body, f"{answer.body.get('error')}")
        raise typer.Exit(EXIT_REFUSED)
    return answer.body


def indent(value: Any) -> str:
    """Return a document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


@note_app.command("submit")
def submit_note(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="Release note: JSON, comments allowed.")],
    wait: Annotated[bool, typer.Option("--wait", help="Wait until in force everywhere.")] = False,
    timeout: Annotated[float, typer.Option(help="Seconds to wait for that.")] = 10.0,
) -> None:
    """Submit a release note."""
    try:
        body = file.read_bytes()
    except OSError as error:
        typer.echo(f"jaypier: {file}: cannot be read: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    submit(context.obj, body, wait, timeout)


def submit(options: Options, body: bytes, wait: bool, timeout: float) -> None:
    """Submit a note and report its fate."""
    answer: Answer = run(options.client.submit(body, SUBMIT_SECONDS))
    if answer.status != 200:
        reasons = answer.body.get("reasons", [])
        status = answer.body.get("status") or answer.body.get("error", "refused")
        show(options, answer.body, "\n".join([status, *(f"  {reason}" for reason in reasons)]))
        raise typer.Exit(EXIT_UNKNOWN if answer.status == 504 else EXIT_REFUSED)
    version = answer.body["version"]
    show(options, answer.body, f"accepted as version {version}")
    if wait:
        wait_in_force(options, version, timeout)


def wait_in_force(options: Options, version: int, timeout: float) -> None:
    """Wait until a version is in force; exit when it is not in time."""

    def progress(reached: int, total: int) -> None:
        typer.echo(f"in force in {reached} of {total} daemons", err=True)

    if not run(options.client.wait_in_force(version, timeout, progress)):
        raise typer.Exit(EXIT_NOT_IN_FORCE)


@note_app.command("status")
def note_status(context: typer.Context, id: str) -> None:
    """Tell what became of a release note."""
    options: Options = context.obj
    body = fetch(options, f"/v1/notes/{id}")
    show(options, body, "\n".join([f"{body['status']} {body['version'] or ''}", *body["reasons"]]))
    if body["status"] != "accepted":
        raise typer.Exit(EXIT_UNKNOWN)


@app.command()
def team(context: typer.Context, name: str) -> None:
    """Show a team: its guarantee and its jobs."""
    body = fetch(context.obj, f"/v1/teams/{name}")
    show(context.obj, body, indent(body))


@app.command()
def job(context: typer.Context, name: str) -> None:
    """Show the state of a job."""
    body = fetch(context.obj, f"/v1/jobs/{name}")
    show(context.obj, body, indent(body))


@app.command()
def configuration(context: typer.Context) -> None:
    """Show the configuration in force."""
    body = fetch(context.obj, "/v1/configuration")
    show(context.obj, body, indent(body))


@app.command()
def nodes(context: typer.Context) -> None:
    """List the given daemons."""
    options: Options = context.obj
    fetch(options, "/v1/daemon")
    body = run(options.client.ask_all("/v1/daemon"))
    lines = [
        each.get("error") or f"{each['id']} {node} {each['data_centre']} version {each['version']}"
        for node, each in body.items()
    ]
    show(options, body, "\n".join(lines))


@app.command()
def dump(context: typer.Context) -> None:
    """Dump the state of every daemon."""
    body = run(context.obj.client.ask_all("/v1/dump"))
    show(context.obj, body, indent(body))


@app.command()
def cancel(
    context: typer.Context,
    jobs: Annotated[list[str], typer.Argument(help="Names of jobs.")],
    wait: Annotated[bool, typer.Option("--wait", help="Wait until in force everywhere.")] = False,
) -> None:
    """Cancel jobs."""
    submit_value(context.obj, "cancel", {"withdrawn": {"jobs": jobs}}, wait)


@app.command()
def drain(
    context: typer.Context,
    data_centre: str,
    wait: Annotated[bool, typer.Option("--wait", help="Wait until in force everywhere.")] = False,
) -> None:
    """Take a data centre out of service."""
    set_in_service(context.obj, data_centre, False, wait)


@app.command("return")
def return_(
    context: typer.Context,
    data_centre: str,
    wait: Annotated[bool, typer.Option("--wait", help="Wait until in force everywhere.")] = False,
) -> None:
    """Bring a data centre back into service."""
    set_in_service(context.obj, data_centre, True, wait)


def set_in_service(options: Options, data_centre: str, in_service: bool, wait: bool) -> None:
    """Submit a note that changes the service state of one data centre."""
    present = fetch(options, "/v1/configuration")["data_centres"]
    section = "changed" if data_centre in present else "added"
    entity = {"name": data_centre, "in_service": in_service}
    verb = "return" if in_service else "drain"
    submit_value(options, verb, {section: {"data_centres": [entity]}}, wait)


def submit_value(options: Options, verb: str, value: dict, wait: bool) -> None:
    """Submit a note under a new identity."""
    note = {"id": f"{verb}-{secrets.token_hex(6)}", **value}
    submit(options, msgspec.json.encode(note), wait, 10.0)


def main() -> None:
    """Entry point of ``jaypier``."""
    app(prog_name="jaypier")


if __name__ == "__main__":
    main()
