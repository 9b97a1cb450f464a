"""Operator command-line tool.

Exit codes: 0 success, 1 refused or not found, 2 usage error, 3 outcome unknown, 4 no daemon
responds, 5 accepted but not in force on all daemons within the time limit.
"""

import asyncio
import secrets
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import attrs
import msgspec
import typer

from jaypier.cli.client import DaemonClient, DaemonResponse, NoDaemonReachable
from jaypier.cli.explanation import format_explanation
from jaypier.core.address import Address

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5

SUBMIT_TIMEOUT_SECONDS = 15.0
"""Time for which a note with an unknown outcome is resent."""

app = typer.Typer(add_completion=False, no_args_is_help=True, help=__doc__)
note_app = typer.Typer(no_args_is_help=True, help="Submit release notes and query their status.")
app.add_typer(note_app, name="note")


@attrs.define
class Options:
    """Global options.

    :param client: client for the daemons given by ``--node``.
    :param as_json: whether to print results as JSON.
    """

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
    """Manage jaypier through any of its daemons."""
    for address in node:
        try:
            Address.parse(address)
        except ValueError as error:
            typer.echo(f"jaypier: --node: {error}", err=True)
            raise typer.Exit(EXIT_USAGE) from error
    context.obj = Options(DaemonClient(node, token), json)


def run_or_exit(coroutine: Any) -> Any:
    """Run a coroutine and return its result.

    :raises typer.Exit: with code 4 if no daemon responds.
    """
    try:
        return asyncio.run(coroutine)
    except NoDaemonReachable as error:
        typer.echo(f"jaypier: no daemon answers: {error}", err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error


def print_result(options: Options, value: Any, text: str) -> None:
    """Print ``value`` as JSON if ``--json`` was given, else ``text``."""
    typer.echo(msgspec.json.encode(value).decode() if options.as_json else text)


def fetch_or_exit(options: Options, path: str) -> Any:
    """Return the JSON body of a GET request.

    :raises typer.Exit: with code 1 if the status is not 200, with code 4 if no daemon responds.
    """
    response = run_or_exit(options.client.call("GET", path))
    if response.status != 200:
        print_result(options, response.body, f"{response.body.get('error')}")
        raise typer.Exit(EXIT_REFUSED)
    return response.body


def format_json(value: Any) -> str:
    """Return a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


@note_app.command("submit")
def submit_note(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="Release note in JSON, comments allowed.")],
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until in force on all daemons.")
    ] = False,
    timeout: Annotated[float, typer.Option(help="Time limit of --wait in seconds.")] = 10.0,
) -> None:
    """Submit a release note."""
    try:
        body = file.read_bytes()
    except OSError as error:
        typer.echo(f"jaypier: {file}: cannot be read: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    submit_and_report(context.obj, body, wait, timeout)


def submit_and_report(options: Options, body: bytes, wait: bool, timeout: float) -> None:
    """Submit a note and print the outcome.

    :param timeout: time limit of the wait in seconds, used only if ``wait`` is true.
    :raises typer.Exit: with code 1 if the note is refused, 3 if its outcome is unknown, 4 if no
        daemon responds, 5 if the wait times out.
    """
    response: DaemonResponse = run_or_exit(options.client.submit(body, SUBMIT_TIMEOUT_SECONDS))
    if response.status != 200:
        reasons = response.body.get("reasons", [])
        status = response.body.get("status") or response.body.get("error", "refused")
        print_result(
            options, response.body, "\n".join([status, *(f"  {reason}" for reason in reasons)])
        )
        raise typer.Exit(EXIT_UNKNOWN if response.status == 504 else EXIT_REFUSED)
    version = response.body["version"]
    print_result(options, response.body, f"accepted as version {version}")
    if wait:
        wait_in_force(options, version, timeout)


def wait_in_force(options: Options, version: int, timeout: float) -> None:
    """Wait until a configuration version is in force on all responding daemons.

    :param timeout: time limit in seconds.
    :raises typer.Exit: with code 5 on timeout.
    """

    def print_progress(in_force_count: int, answering_count: int) -> None:
        typer.echo(f"in force in {in_force_count} of {answering_count} daemons", err=True)

    if not run_or_exit(options.client.wait_in_force(version, timeout, print_progress)):
        raise typer.Exit(EXIT_NOT_IN_FORCE)


@note_app.command("status")
def note_status(context: typer.Context, id: str) -> None:
    """Show the status of a release note."""
    options: Options = context.obj
    body = fetch_or_exit(options, f"/v1/notes/{id}")
    print_result(
        options, body, "\n".join([f"{body['status']} {body['version'] or ''}", *body["reasons"]])
    )
    if body["status"] != "accepted":
        raise typer.Exit(EXIT_UNKNOWN)


@app.command()
def team(context: typer.Context, name: str) -> None:
    """Show the guarantee and the jobs of a team."""
    body = fetch_or_exit(context.obj, f"/v1/teams/{name}")
    print_result(context.obj, body, format_json(body))


@app.command()
def job(context: typer.Context, name: str) -> None:
    """Show the state of a job."""
    body = fetch_or_exit(context.obj, f"/v1/jobs/{name}")
    print_result(context.obj, body, format_json(body))


@app.command()
def explain(
    context: typer.Context,
    job: Annotated[str | None, typer.Argument(help="Id of a job, or its name in a note.")] = None,
    request: Annotated[
        Path | None,
        typer.Option("--request", help="JSON file with queue, team and job, not sent yet."),
    ] = None,
) -> None:
    """Explain where a job would go now, and why; nothing is sent to workers or stored.

    Asks the daemons given by --node for the one that leads.
    """
    options: Options = context.obj
    if (job is None) == (request is None):
        typer.echo("jaypier: give either a job or --request FILE", err=True)
        raise typer.Exit(EXIT_USAGE)
    if request is None:
        call = options.client.ask_leader("GET", f"/v1/explain/{quote(job, safe='')}")
    else:
        try:
            body = request.read_bytes()
        except OSError as error:
            typer.echo(f"jaypier: {request}: cannot be read: {error}", err=True)
            raise typer.Exit(EXIT_USAGE) from error
        call = options.client.ask_leader("POST", "/v1/explain", body)
    response, others = run_or_exit(call)
    if response is None:
        error = "none of the daemons given by --node leads"
        text = "\n".join([error, *(f"  {node}: {reason}" for node, reason in others.items())])
        print_result(options, {"error": error, "daemons": others}, text)
        raise typer.Exit(EXIT_REFUSED)
    if response.status != 200:
        print_result(options, response.body, f"{response.body.get('error')}")
        raise typer.Exit(EXIT_REFUSED)
    print_result(options, response.body, format_explanation(response.body))


@app.command()
def configuration(context: typer.Context) -> None:
    """Show the configuration in force."""
    body = fetch_or_exit(context.obj, "/v1/configuration")
    print_result(context.obj, body, format_json(body))


@app.command()
def nodes(context: typer.Context) -> None:
    """List the daemons given by --node."""
    options: Options = context.obj
    fetch_or_exit(options, "/v1/daemon")
    body = run_or_exit(options.client.query_all("/v1/daemon"))
    lines = [
        each.get("error") or f"{each['id']} {node} {each['data_centre']} version {each['version']}"
        for node, each in body.items()
    ]
    print_result(options, body, "\n".join(lines))


@app.command()
def dump(context: typer.Context) -> None:
    """Dump the state of the daemons given by --node."""
    body = run_or_exit(context.obj.client.query_all("/v1/dump"))
    print_result(context.obj, body, format_json(body))


@app.command()
def cancel(
    context: typer.Context,
    jobs: Annotated[list[str], typer.Argument(help="Names of jobs.")],
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until in force on all daemons.")
    ] = False,
) -> None:
    """Cancel jobs."""
    submit_generated_note(context.obj, "cancel", {"withdrawn": {"jobs": jobs}}, wait)


@app.command()
def drain(
    context: typer.Context,
    data_centre: str,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until in force on all daemons.")
    ] = False,
) -> None:
    """Take a data centre out of service."""
    set_in_service(context.obj, data_centre, False, wait)


@app.command("return")
def return_(
    context: typer.Context,
    data_centre: str,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until in force on all daemons.")
    ] = False,
) -> None:
    """Return a data centre to service."""
    set_in_service(context.obj, data_centre, True, wait)


def set_in_service(options: Options, data_centre: str, in_service: bool, wait: bool) -> None:
    """Submit a note that takes a data centre out of service or returns it to service."""
    data_centres = fetch_or_exit(options, "/v1/configuration")["data_centres"]
    section = "changed" if data_centre in data_centres else "added"
    entity = {"name": data_centre, "in_service": in_service}
    id_prefix = "return" if in_service else "drain"
    submit_generated_note(options, id_prefix, {section: {"data_centres": [entity]}}, wait)


def submit_generated_note(options: Options, id_prefix: str, sections: dict, wait: bool) -> None:
    """Submit a note with a random id.

    :param id_prefix: first part of the id.
    :param sections: sections of the note, such as ``added`` or ``withdrawn``.
    """
    note = {"id": f"{id_prefix}-{secrets.token_hex(6)}", **sections}
    submit_and_report(options, msgspec.json.encode(note), wait, 10.0)


def main() -> None:
    """Entry point of ``jaypier``."""
    app(prog_name="jaypier")


if __name__ == "__main__":
    main()
