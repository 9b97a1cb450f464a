"""Tasks whose faults are never lost."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

OnFailure = Callable[[str, BaseException], None]


def supervise(
    work: Coroutine[Any, Any, None], name: str, on_failure: OnFailure
) -> asyncio.Task[None]:
    """Run a coroutine as a task that is to last.

    :param on_failure: called with the name and the exception if the task ends by one.
    """
    task = asyncio.create_task(work, name=name)

    def report(ended: asyncio.Task[None]) -> None:
        error = None if ended.cancelled() else ended.exception()
        if error is not None:
            on_failure(name, error)

    task.add_done_callback(report)
    return task
