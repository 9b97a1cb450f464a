"""Text of the explanation of where a job would go."""

from typing import Any

RESOURCE_NAMES = (
    ("processor_millis", "thousandths of a core"),
    ("memory_mb", "MB"),
    ("accelerators", "accelerators"),
)


def format_explanation(body: dict[str, Any]) -> str:
    """Return an explanation as text: a row for each property, then a table of the steps."""
    standing = body["team_standing"]
    rows = [
        ("job", f"{body['job']} {body['status']}, queue {body['queue']}"),
        ("answered by", describe_answer(body)),
        ("rank", describe_rank(body)),
        ("team", describe_team(body["team"], standing)),
        (
            "duration",
            f"{body['expected_seconds']:.1f} s left, objective {body['objective_seconds']:.1f} s",
        ),
    ]
    if body.get("refused"):
        rows.append(("would be refused", body["refused"]))
    if body["cannot_start"]:
        rows.append(("cannot start", body["cannot_start"]))
    lines = [f"{name:<18}{text}" for name, text in rows]
    header = ("step", "waiting", "running", "affordable", "permitted", "fits now", "fits in", "end")
    cells = [header, *(step_cells(step) for step in body["steps"])]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines.append(join_cells(header, widths))
    for step, row in zip(body["steps"], cells[1:], strict=True):
        lines.append(join_cells(row, widths))
        lines += [f"  {line}" for line in step_notes(step)]
    if body["steps_left_out"]:
        lines.append(f"and {body['steps_left_out']} further steps")
    return "\n".join(lines)


def join_cells(cells: tuple[str, ...], widths: list[int]) -> str:
    """Return the cells of one line of a table."""
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()


def describe_answer(body: dict[str, Any]) -> str:
    """Return who answered, and whether it may start anything."""
    note = "" if body["has_authority"] else ", which starts nothing: the store does not answer it"
    return f"{body['vm']}, epoch {body['epoch']}{note}"


def describe_rank(body: dict[str, Any]) -> str:
    """Return the place of a job among the waiting ones."""
    place = "-" if body["rank"] is None else body["rank"]
    notes = [
        "within its team's guarantee" if body["is_covered"] else "",
        "can be worth nothing any more" if body["is_expired"] else "",
    ]
    text = f"{place} of {body['ranked_jobs']}, priority {body['priority']}"
    return ", ".join([text, f"score {body['score']:.4g}", *(note for note in notes if note)])


def describe_team(name: str, standing: dict[str, Any]) -> str:
    """Return what a team holds and may hold."""
    if not standing["is_limit_known"]:
        limit = "limits not known yet"
    elif standing["limit"] is None:
        limit = "no limit"
    else:
        limit = f"limit {describe_resources(standing['limit'], '-')}"
    held = describe_resources(standing["held"], "0")
    return f"{name}, holds {held}; {limit}; share factor {standing['share_factor']:.2f}"


def describe_resources(amounts: dict[str, int], zero: str) -> str:
    """Return amounts of resources.

    :param zero: text for an amount of 0, which in a limit stands for none.
    """
    return ", ".join(f"{amounts[name] or zero} {label}" for name, label in RESOURCE_NAMES)


def step_cells(step: dict[str, Any]) -> tuple[str, ...]:
    """Return the cells of a step in the table."""
    return (
        f"{step['occurrence']}.{step['number']}",
        str(step["waiting"]),
        str(step["running"]),
        str(step["affordable"]),
        str(step["permitted_workers"]),
        str(step["fits_now"]),
        describe_seconds(step["fits_in_seconds"]),
        describe_seconds(step["ends_in_seconds"]),
    )


def describe_seconds(seconds: float | None) -> str:
    """Return a time from now, or that it is not known."""
    return "unknown" if seconds is None else f"{seconds:.1f} s"


def step_notes(step: dict[str, Any]) -> list[str]:
    """Return the lines below a step in the table."""
    named = ", ".join(f"{worker} ({tasks})" for worker, tasks in step["workers"].items())
    more = f" and {step['other_workers']} others" if step["other_workers"] else ""
    lacking = ", ".join(f"{reason} ({workers})" for reason, workers in step["lacking"].items())
    waited = step.get("waited_beside_room", 0.0)
    return [
        line
        for line in (
            f"waits: {step['blocked']}" if step["blocked"] else "",
            f"to: {named}{more}" if named else "",
            f"workers that lack something: {lacking}" if lacking else "",
            "may preempt runs of lower priority" if step["may_preempt"] else "",
            f"waits for better workers since {describe_seconds(waited)}" if waited else "",
        )
        if line
    ]
