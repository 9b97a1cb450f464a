"""The platform's HTTP interface for callers: bodies, headers and job states."""

import math
from collections.abc import Mapping
from reprlib import repr as shorten
from typing import Any

import attrs
import msgspec

from jaypier.jobs.model import JobStatus, Resources, Step
from jaypier.wire.messages import HttpRequest, HttpResponse, json_response

API_KEY_HEADER = b"api-key"
DEADLINE_HEADER = b"deadline-ms"

MAX_PAYLOAD_BYTES = 4000
"""Maximum size of the text that a job passes to its tasks, as the interface specifies it."""

MAX_STEPS = 1000
"""Maximum number of steps of one job, so that one request cannot exhaust a VM's memory."""

MAX_TASKS = 20_000
"""Maximum number of tasks of one job: slightly fewer than run concurrently in a deployment of the
size that jaypier is designed for."""

JOB_STATE_NAMES = {
    JobStatus.QUEUED: "queued",
    JobStatus.RUNNING: "in_progress",
    JobStatus.COMPLETED: "completed",
    JobStatus.FAILED: "failed",
    JobStatus.CANCELLED: "cancelled",
    JobStatus.UNKNOWN: "failed",
}
"""State names in responses. Every job of the platform may be rerun, so none ends as ``UNKNOWN``."""

MAX_REPEATS = 1_000_000
"""Maximum number of occurrences of one job: one per minute for nearly two years."""


class BadRequest(ValueError):
    """A caller's job is invalid; the message names the value and what is expected."""


def get_api_key(request: HttpRequest) -> str:
    """Return the API key that a request carries, or an empty string."""
    return request.header(API_KEY_HEADER).strip()


def get_timeout_seconds(request: HttpRequest, default: float) -> float:
    """Return how long the caller waits for a response, in seconds.

    :param default: seconds to use if the request has no valid deadline; also the upper bound.
    """
    text = request.header(DEADLINE_HEADER).strip()
    try:
        seconds = float(text) / 1000
    except ValueError:
        return default
    return min(seconds, default) if math.isfinite(seconds) and seconds > 0 else default


@attrs.frozen
class JobRequest:
    """A job as submitted by a caller.

    :param payload: text that the job passes to its tasks.
    :param repeats: number of occurrences; 0 runs the steps once, immediately.
    :param first_start_at: Unix time in seconds at which the first occurrence is due.
    :param interval_seconds: time between two consecutive occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    repeats: int
    first_start_at: float
    interval_seconds: float


def decode_job(body: bytes) -> JobRequest:
    """Decode the body of a request that submits a job.

    :raises BadRequest: if a value is invalid; the message names it.
    """
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise BadRequest(f"body is not JSON: {error}") from error
    return decode_job_value(value)


def decode_job_value(value: Any) -> JobRequest:
    """Decode a job from plain JSON values.

    :raises BadRequest: if a value is invalid; the message names it.
    """
    if not isinstance(value, dict):
        raise BadRequest("body must be an object with Spec and Phases")
    payload = value.get("Spec", "")
    if not isinstance(payload, str) or len(payload.encode("utf-8", "replace")) > MAX_PAYLOAD_BYTES:
        raise BadRequest(f"Spec must be a text of at most {MAX_PAYLOAD_BYTES} bytes")
    steps = value.get("Phases")
    if not isinstance(steps, list) or not 0 < len(steps) <= MAX_STEPS:
        raise BadRequest(f"Phases must be a list of 1 to {MAX_STEPS} steps")
    decoded = tuple(_decode_step(index, step) for index, step in enumerate(steps))
    if sum(step.count for step in decoded) > MAX_TASKS:
        raise BadRequest(f"the job has more than {MAX_TASKS} tasks; split it")
    repeats = _decode_integer(value, "RepeatCount", "job", 0, MAX_REPEATS)
    if repeats and any(step.lasts for step in decoded):
        raise BadRequest("a job with RepeatCount cannot have LongRunning steps")
    return JobRequest(
        payload,
        decoded,
        repeats,
        _decode_integer(value, "StartAtMs", "job", 0, 1 << 52) / 1000,
        _decode_integer(value, "IntervalMs", "job", 0, 1 << 52) / 1000,
    )


def _decode_step(index: int, value: Any) -> Step:
    path = f"Phases[{index}]"
    if not isinstance(value, dict):
        raise BadRequest(f"{path} must be an object")
    after = value.get("After") or []
    if not isinstance(after, list) or any(
        type(each) is not int or not 0 <= each < index for each in after
    ):
        raise BadRequest(f"{path}.After must list numbers of earlier steps")
    count = _decode_integer(value, "Count", path, 1, MAX_TASKS, default=1)
    return Step(
        count=count,
        demand=Resources(
            _decode_integer(value, "Cpu", path, 0, 1 << 40),
            _decode_integer(value, "MemMb", path, 0, 1 << 40),
            _decode_integer(value, "Gpu", path, 0, 1 << 20),
        ),
        estimated_seconds=_decode_integer(value, "EstimatedMs", path, 0, 1 << 40) / 1000,
        after=tuple(after),
        saves=_decode_boolean(value, "Checkpointing", path),
        is_gang=_decode_boolean(value, "GangScheduled", path),
        is_rack_local=_decode_boolean(value, "RackLocal", path),
        label=_decode_string(value, "Requirements", path),
        data_rack=_decode_string(value, "DataRack", path),
        max_per_worker=_decode_integer(value, "AntiAffinity", path, 0, MAX_TASKS),
        lasts=_decode_boolean(value, "LongRunning", path),
        disruption_budget=_decode_integer(value, "DisruptionBudget", path, 0, MAX_TASKS),
        is_serving=_decode_integer(value, "TargetMs", path, 0, 1 << 40) > 0,
        is_filling=bool(value.get("FillCount", False)),
    )


def _decode_integer(
    value: Mapping[str, Any], name: str, path: str, minimum: int, maximum: int, default: int = 0
) -> int:
    number = value.get(name, default)
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    # NaN fails every comparison.
    if not is_number or not minimum <= number <= maximum:
        raise BadRequest(f"{path}.{name} is {shorten(number)}; expected {minimum} to {maximum}")
    return int(number)


def _decode_boolean(value: Mapping[str, Any], name: str, path: str) -> bool:
    flag = value.get(name, False)
    if not isinstance(flag, bool):
        raise BadRequest(f"{path}.{name} is {shorten(flag)}; expected true or false")
    return flag


def _decode_string(value: Mapping[str, Any], name: str, path: str) -> str:
    text = value.get(name, "")
    if isinstance(text, list) and len(text) == 1:
        text = text[0]
    if not isinstance(text, str):
        raise BadRequest(f"{path}.{name} is {shorten(text)}; expected a text")
    return text


def state_response(status: JobStatus) -> HttpResponse:
    """Build the response that reports the state of a job."""
    return json_response(200, msgspec.json.encode({"State": JOB_STATE_NAMES[status]}))


def pending_response(count: int) -> HttpResponse:
    """Build the response that reports how many jobs of a queue have not started."""
    return json_response(200, msgspec.json.encode({"Pending": count}))


def accepted_response() -> HttpResponse:
    """Build the response that confirms that a job, or its cancellation, is stored."""
    return json_response(200, b"{}")


def error_response(status: int, message: str, retry_after: int | None = None) -> HttpResponse:
    """Build an error response.

    :param retry_after: seconds after which the caller may retry.
    """
    headers = [] if retry_after is None else [(b"retry-after", str(retry_after).encode())]
    return json_response(status, msgspec.json.encode({"Error": message}), headers)
