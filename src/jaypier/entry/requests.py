"""Requests for jobs: those that callers send, and those that operators ask about before."""

from reprlib import repr as shorten

import msgspec

from jaypier.entry.configuration import Configuration, Route, Team
from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import Job
from jaypier.jobs.state import JobState, new_job_state
from jaypier.platform.callers import BadRequest, JobRequest, decode_job_value

REQUEST_ID = "(request)"
"""Id of the job of such a request; no job of a caller or a note can have it."""


def decode_request(body: bytes, configuration: Configuration, wall_time: float) -> tuple[Job, Team]:
    """Return the job that a request would become, and its team.

    The body is a JSON object with the names ``queue`` and ``team`` and with ``job``, a job as
    callers send it.

    :param wall_time: Unix time in seconds.
    :raises BadRequest: if a value is invalid; the message names it.
    """
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise BadRequest(f"body is not JSON: {error}") from error
    if not isinstance(value, dict) or not {"queue", "team", "job"} <= value.keys():
        raise BadRequest("body must be an object with queue, team and job")
    route = next((each for each in configuration.routes if each.queue == value["queue"]), None)
    if route is None:
        raise BadRequest(f"no queue {shorten(value['queue'])}")
    team = next((each for each in configuration.teams if each.name == value["team"]), None)
    if team is None:
        raise BadRequest(f"no team {shorten(value['team'])}")
    if route.needs_placement_advice:
        raise BadRequest("queues that need advice are not supported")
    request = decode_job_value(value["job"])
    return build_job(REQUEST_ID, route, team.name, request, wall_time), team


def build_job(
    job_id: str, route: Route, team_name: str, request: JobRequest, submitted_at: float
) -> Job:
    """Return the job that a request on a route becomes.

    :param submitted_at: Unix time in seconds.
    """
    return Job(
        id=job_id,
        queue=route.queue,
        service=route.service,
        team=team_name,
        priority=route.priority,
        max_attempts=route.max_attempts,
        slack_factor=route.slack_factor,
        target_seconds=route.target_seconds,
        submitted_at=submitted_at,
        payload=request.payload,
        steps=request.steps,
        repeats=request.repeats,
        first_start_at=request.first_start_at,
        interval_seconds=request.interval_seconds,
    )


def assume_submitted(job: Job, cluster_state: ClusterState, now: float) -> JobState:
    """Return the state that a job would have once submitted; the cluster does not get it.

    Of a job with set times, the first occurrence counts as due.

    :param now: time on the local clock, in seconds.
    """
    state = new_job_state(job)
    if not state.occurrences:
        state.open_occurrence(0)
    state.added_at = now
    cluster_state.durations.expect(state.steps)
    return state
