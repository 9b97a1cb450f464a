"""Translates entities of release notes to the entry configuration and to scheduler jobs."""

from jaypier.entry import configuration as entry
from jaypier.jobs import model as core
from jaypier.notes.cache import EntityCache
from jaypier.notes.model import Adjacency, Job, TeamLimit

QUEUES_PREFIX = "/v1/queues/"
"""Path prefix of the queues of release notes."""

NOTES_QUEUE = "notes"
"""Name of the queue that holds the jobs of release notes."""

SLACK_FACTOR = 3.0
"""Factor on the estimated run time in the target time of a job."""

URGENT_TARGET_SECONDS = 3.0
"""Constant part of the target time of an urgent job, whose start takes at most 2.4 s."""

TARGET_SECONDS = 60.0
"""Constant part of the target time of other jobs, which operators submit ahead of their need."""

MAX_ATTEMPTS = 3
"""Failed runs of one task after which its job fails; more than one because a failure may be caused
by the worker."""


def build_configuration(cache: EntityCache) -> entry.Configuration:
    """Return the configuration that corresponds to the cached queues and teams."""
    routes = tuple(
        entry.Route(
            host="",
            prefix=f"{QUEUES_PREFIX}{queue.name}/",
            service=queue.pool,
            priority=queue.priority,
            max_attempts=queue.max_attempts,
            slack_factor=queue.slack_factor,
            target_seconds=queue.target_seconds,
            timeout_seconds=queue.timeout_seconds,
        )
        for queue in cache.queues.values()
    )
    teams = tuple(
        entry.Team(
            team.name,
            frozenset(team.keys),
            team.guaranteed_accelerators,
            build_limit(team.limit),
            team.weight,
        )
        for team in cache.teams.values()
    )
    return entry.Configuration(cache.version, routes, teams)


def build_limit(limit: TeamLimit) -> core.Resources:
    """Return what a team may have running, as resources of the scheduler."""
    return core.Resources(limit.processors * 1000, limit.memory_gb * 1000, limit.accelerators)


def build_job(job: Job, job_id: str, submitted_at: float) -> core.Job:
    """Return the scheduler job for a job of a note.

    :param job_id: id of the scheduler job.
    :param submitted_at: Unix time in seconds at which the note was submitted.
    """
    step = core.Step(
        count=job.tasks,
        demand=core.Resources(
            job.processors_per_task * 1000, job.memory_gb_per_task * 1000, job.accelerators_per_task
        ),
        estimated_seconds=job.run_seconds,
        saves=job.preemptible,
        is_gang=job.tasks > 1,
        is_rack_local=job.adjacency is Adjacency.RACK,
    )
    return core.Job(
        id=job_id,
        queue=NOTES_QUEUE,
        service=job.pool,
        team=job.team,
        priority=core.URGENT_PRIORITY if job.urgent else core.URGENT_PRIORITY + 1,
        max_attempts=MAX_ATTEMPTS if job.repeatable else 1,
        slack_factor=SLACK_FACTOR,
        target_seconds=URGENT_TARGET_SECONDS if job.urgent else TARGET_SECONDS,
        submitted_at=submitted_at,
        payload=job.command,
        steps=(step,),
        is_preemptible=job.preemptible,
        is_repeatable=job.repeatable,
    )
