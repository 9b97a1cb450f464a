"""Tasks whose faults are never lost."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

FailureCallback = Callable[[str, BaseException], None]


def supervise(
    coroutine: Coroutine[Any, Any, None], name: str, on_failure: FailureCallback
) -> asyncio.Task[None]:
    """Run a coroutine as a task that is to last.

    :param on_failure: called with the name and the exception if the task ends by one.
    """
    task = asyncio.create_task(coroutine, name=name)

    def report_failure(finished: asyncio.Task[None]) -> None:
        error = None if finished.cancelled() else finished.exception()
        if error is not None:
            on_failure(name, error)

    task.add_done_callback(report_failure)
    return task
