"""Background tasks that are restarted when they fail, so that one error does not end a process."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

Work = Callable[[], Coroutine[Any, Any, None]]
FailureCallback = Callable[[str, Exception], None]

INITIAL_RESTART_DELAY_SECONDS = 0.5
"""First delay before failed work is started again; it doubles up to
``MAX_RESTART_DELAY_SECONDS``."""

MAX_RESTART_DELAY_SECONDS = 8.0
"""Longest delay before failed work is started again."""

HEALTHY_SECONDS = 30.0
"""Time without a failure after which the delay starts from its first value again."""


def supervise(work: Work, name: str, on_failure: FailureCallback) -> asyncio.Task[None]:
    """Run work as a background task until the task is cancelled; restart it when it fails.

    :param work: coroutine function that is expected to run until it is cancelled.
    :param name: name of the task.
    :param on_failure: called with the name and the exception after each failure.
    """
    return asyncio.create_task(run_with_restarts(work, name, on_failure), name=name)


async def run_with_restarts(work: Work, name: str, on_failure: FailureCallback) -> None:
    """Run work, and again after a delay whenever it raises an exception, until cancelled."""
    loop = asyncio.get_running_loop()
    delay = INITIAL_RESTART_DELAY_SECONDS
    while True:
        started_at = loop.time()
        try:
            await work()
            return
        except Exception as error:
            on_failure(name, error)
        if loop.time() - started_at > HEALTHY_SECONDS:
            delay = INITIAL_RESTART_DELAY_SECONDS
        await asyncio.sleep(delay)
        delay = min(2 * delay, MAX_RESTART_DELAY_SECONDS)
