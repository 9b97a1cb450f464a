"""Log lines and counters of crashed workers and of the tasks that are given up for them."""

import structlog

from jaypier.core.metrics import Metrics
from jaypier.jobs.crashes import CrashRecord

MAX_LOGGED_TASKS = 16
"""Maximum number of tasks in one log line."""

log = structlog.get_logger()


def log_crashes(record: CrashRecord, metrics: Metrics) -> None:
    """Log and count the crashes and the given up tasks that have not been logged yet."""
    for crash in record.crashes:
        metrics.count("leader.worker_crashes")
        log.info(
            "worker crashed",
            worker=crash.worker_id,
            machine=crash.machine,
            born=crash.born,
            suspected=[str(task) for task in crash.tasks[:MAX_LOGGED_TASKS]],
            suspected_count=len(crash.tasks),
        )
    for given_up in record.given_up:
        metrics.count("leader.tasks_given_up")
        log.warning(
            "task given up",
            task=str(given_up.task),
            crashes=given_up.crashes,
            suspected_crashes=given_up.suspected,
        )
    record.crashes.clear()
    record.given_up.clear()
