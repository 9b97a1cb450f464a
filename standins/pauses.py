"""Pauses of whole VMs in virtual time: no task of a paused VM runs until it is resumed.

Requests that a VM has sent are carried out meanwhile, and their responses wait for it.
"""

import asyncio
import types
from collections.abc import Coroutine, Generator
from contextlib import AbstractContextManager
from contextvars import Context, ContextVar
from typing import Any

from jaypier.jobs.model import StartRequest, StartResponse, TaskId, WorkerEntry, WorkerReport
from jaypier.jobs.worker_interface import WorkerLink, WorkerUnreachable
from standins.cluster import REQUEST_TIMEOUT_SECONDS, MemoryCluster, MemoryLink

POLL_TIMEOUT_MARGIN_SECONDS = 0.6
"""Time beyond its wait after which a long poll of a worker without a response times out."""

CURRENT_VM: ContextVar[str] = ContextVar("vm", default="")
"""Name of the VM to which the current task belongs, empty for none."""


class Pauses(AbstractContextManager):
    """Pauses of VMs, for tasks that are created after this; all VMs are resumed at its end.

    :param cluster: cluster whose links to workers stay at work while their VM is paused.
    :ivar exchanges: requests to workers that are under way.
    """

    def __init__(self, cluster: MemoryCluster) -> None:
        self.paused: dict[str, asyncio.Event] = {}
        self.exchanges: set[asyncio.Task] = set()
        self.is_closed = False
        cluster.link = self.link
        self.cluster = cluster
        asyncio.get_running_loop().set_task_factory(self.create_task)

    def __exit__(self, *_exception: object) -> None:
        self.is_closed = True
        for vm in list(self.paused):
            self.resume(vm)
        for exchange in self.exchanges:
            exchange.cancel()

    def pause(self, vm: str) -> None:
        """Let no task of a VM take another step."""
        self.paused.setdefault(vm, asyncio.Event())

    def resume(self, vm: str) -> None:
        """Let the tasks of a VM go on."""
        self.paused.pop(vm).set()

    def link(self, vm: str, entry: WorkerEntry) -> "DetachedLink":
        """Return the link from one VM to a worker."""
        return DetachedLink(self, MemoryLink(self.cluster.workers[entry.id], vm))

    def create_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coroutine: Coroutine[Any, Any, Any],
        context: Context | None = None,
    ) -> asyncio.Task:
        """Return a task that belongs to the VM of its context and is paused with it."""
        vm = CURRENT_VM.get() if context is None else context.get(CURRENT_VM, "")
        steps = self.run_steps(coroutine, vm) if vm else coroutine
        return asyncio.Task(steps, loop=loop, context=context)

    @types.coroutine
    def run_steps(self, coroutine: Coroutine[Any, Any, Any], vm: str) -> Generator[Any, None, Any]:
        """Run a coroutine step by step, each one only while its VM is not paused.

        What ends a wait during a pause, as a response or a timeout, takes effect afterwards.
        """
        error: BaseException | None = None
        try:
            while True:
                while vm in self.paused:
                    try:
                        yield from self.paused[vm].wait().__await__()
                    except asyncio.CancelledError as cancellation:
                        error = cancellation
                try:
                    waited = coroutine.send(None) if error is None else coroutine.throw(error)
                except StopIteration as end:
                    return end.value
                error = None
                try:
                    yield waited
                except BaseException as raised:
                    error = raised
        finally:
            coroutine.close()


class DetachedLink(WorkerLink):
    """Link to a worker that carries out the requests that were sent while its VM is paused."""

    def __init__(self, pauses: Pauses, link: MemoryLink) -> None:
        self.pauses = pauses
        self.link = link

    async def send(self, request: Coroutine[Any, Any, Any], timeout: float) -> Any:
        """Send a request and return its response.

        :raises WorkerUnreachable: if there is none within ``timeout`` seconds.
        """
        if self.pauses.is_closed:
            return await request
        exchange = asyncio.create_task(request, context=Context())
        self.pauses.exchanges.add(exchange)
        exchange.add_done_callback(self.pauses.exchanges.discard)
        exchange.add_done_callback(lambda done: done.cancelled() or done.exception())
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(exchange)
        except TimeoutError as error:
            raise WorkerUnreachable("no response in time") from error

    async def renew(
        self, epoch: int, acknowledged: int, deadline: int | None, wait: float
    ) -> WorkerReport:
        """Renew the lease, acknowledge ended runs and return the active and the ended runs."""
        request = self.link.renew(epoch, acknowledged, deadline, wait)
        return await self.send(request, wait + POLL_TIMEOUT_MARGIN_SECONDS)

    async def start(self, epoch: int, start_request: StartRequest) -> StartResponse:
        """Start a task; repeating a request has no effect."""
        return await self.send(self.link.start(epoch, start_request), REQUEST_TIMEOUT_SECONDS)

    async def stop(self, epoch: int, task: TaskId, attempt: int) -> None:
        """Stop a run, or prevent it from being started later."""
        await self.send(self.link.stop(epoch, task, attempt), REQUEST_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Do nothing, as there are no sockets to close."""
