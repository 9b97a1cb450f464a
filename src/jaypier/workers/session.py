"""One task for each worker that exchanges control requests with it."""

import asyncio
import random
from collections.abc import Callable

import attrs

from jaypier.core.supervision import OnFailure, supervise
from jaypier.workers.errors import EpochRefused, WorkerUnreachable
from jaypier.workers.model import WorkerReport
from jaypier.workers.protocol import ControlRequest, WorkerLink

MIN_EXCHANGE_GAP = 0.02
"""Seconds between two exchanges when there is more to tell."""


@attrs.frozen
class EpochLost:
    """A worker obeys a higher epoch, so this owner has been succeeded."""

    worker: str
    epoch: int


@attrs.frozen
class WorkerSilent:
    """A worker did not answer one exchange."""

    worker: str


SessionMessage = WorkerReport | EpochLost | WorkerSilent


class WorkerSession:
    """Renews one worker's lease, passes on commands and reports what it holds.

    :param build_request: returns what to send now.
    :param deliver: called with each result.
    :param interval: seconds between renewals.
    :param on_failure: called after a fault of the session itself.
    """

    def __init__(
        self,
        worker: str,
        link: WorkerLink,
        build_request: Callable[[str], ControlRequest],
        deliver: Callable[[SessionMessage], None],
        interval: Callable[[], float],
        on_failure: OnFailure,
        rng: random.Random,
    ) -> None:
        self.worker = worker
        self.link = link
        self.build_request = build_request
        self.deliver = deliver
        self.interval = interval
        self.on_failure = on_failure
        self.rng = rng
        self.wake = asyncio.Event()
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> "WorkerSession":
        self.task = supervise(self.run(), f"session with {self.worker}", self.on_failure)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.link.close()

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            self.wake.clear()
            await self.exchange()
            await asyncio.sleep(MIN_EXCHANGE_GAP)
            try:
                async with asyncio.timeout(self.interval() * self.rng.uniform(0.9, 1.1)):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def exchange(self) -> None:
        """Make one exchange and deliver its result."""
        try:
            reply = await self.link.control(self.build_request(self.worker))
        except EpochRefused as error:
            self.deliver(EpochLost(self.worker, error.epoch))
        except WorkerUnreachable:
            self.deliver(WorkerSilent(self.worker))
        else:
            self.deliver(WorkerReport(self.worker, reply.tasks, reply.clock))
