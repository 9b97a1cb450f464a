"""One session a worker: keeps its lease, reads its reports, carries orders to it."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from jaypier.jobs.abstract import WorkerDeposedUs, WorkerReplaced, WorkerUnreachable
from jaypier.jobs.ledger import Deposed
from jaypier.jobs.model import TaskId
from jaypier.jobs.state import Worker

if TYPE_CHECKING:
    from jaypier.jobs.leader import Leader

POLL_SECONDS = 1.0
"""Longest wait for an end on a worker, so that tasks that stand still are seen in time."""

IDLE_CHECK_SECONDS = 1.0
"""Time between two checks whether an idle worker has to be asked who leads it."""

RETRY_SECONDS = 0.1
"""Time before a worker is asked again, doubling up to ``RETRY_MAX_SECONDS``."""

RETRY_MAX_SECONDS = 1.0
"""Longest time between two calls to a worker that does not answer."""

log = structlog.get_logger()


class WorkerSession:
    """Keeps one worker's lease and reads its reports."""

    def __init__(self, leader: "Leader", worker: Worker) -> None:
        self.leader = leader
        self.worker = worker
        self.link = leader.open_link(worker.entry)
        self.address = worker.entry.address
        self.kick = asyncio.Event()
        self.has_ended = False

    def end(self) -> None:
        """Stop asking the worker."""
        self.has_ended = True
        self.kick.set()
        self.link.close()

    async def run(self) -> None:
        """Renew the lease and take in reports until the worker is gone."""
        delay = RETRY_SECONDS
        while not self.has_ended:
            try:
                await self.exchange()
                delay = RETRY_SECONDS
            except WorkerUnreachable as error:
                self.note_unreachable(error)
                await asyncio.sleep(delay)
                delay = min(2 * delay, RETRY_MAX_SECONDS)
                continue
            except WorkerReplaced:
                self.note_unreachable(WorkerReplaced("another worker answers"))
                await asyncio.sleep(RETRY_MAX_SECONDS)
                continue
            except WorkerDeposedUs as error:
                raise Deposed(f"worker {self.worker.id}: {error}") from error
            await self.pause()

    def note_unreachable(self, error: Exception) -> None:
        """Note that the worker did not answer."""
        worker, leader = self.worker, self.leader
        if not worker.is_unreachable:
            log.info("worker out of reach", worker=worker.id, reason=str(error))
        worker.is_unreachable = True
        leader.metrics.count("leader.workers_unreachable")
        if worker.entry.address != self.address:
            self.link.close()
            self.link, self.address = leader.open_link(worker.entry), worker.entry.address

    async def exchange(self) -> None:
        """Renew the lease once and take in the report."""
        worker, leader = self.worker, self.leader
        self.kick.clear()
        sent_at = leader.clock.now()
        deadline = None
        # A worker out of reach gets no longer lease: what it holds has to end at a known time.
        if (
            worker.is_reconciled
            and worker.runs
            and not worker.is_unreachable
            and leader.has_authority
        ):
            deadline = leader.cluster.extend_lease(worker, sent_at)
        wait = POLL_SECONDS if deadline is not None else 0.0
        if worker.last_processed_end > worker.last_durable_end:
            wait = 0.0
        was_unreachable = worker.is_unreachable
        report = await self.link.renew(leader.epoch, worker.last_durable_end, deadline, wait)
        if self.has_ended:
            return
        now = leader.clock.now()
        was_known, releases = worker.is_reconciled, leader.cluster.release_count
        ends, unknown = leader.cluster.apply_report(worker, report, sent_at, now)
        if was_unreachable:
            log.info("worker in reach", worker=worker.id)
        for end in ends:
            log.info(
                "run ended",
                task=str(end.task),
                attempt=end.attempt,
                worker=worker.id,
                end=str(end.outcome),
            )
        for each in unknown:
            leader.stop_unknown(each)
        if ends:
            leader.saver.wanted.set()
        if releases != leader.cluster.release_count or was_unreachable or not was_known:
            leader.decide.set()

    async def pause(self) -> None:
        """Wait until the worker has to be asked again."""
        worker, leader = self.worker, self.leader
        if worker.last_processed_end > worker.last_durable_end:
            await self.wait_for_kick(POLL_SECONDS)
            return
        while worker.is_reconciled and not worker.runs and not self.has_ended:
            await self.wait_for_kick(IDLE_CHECK_SECONDS)
            if not leader.has_store:
                return

    async def wait_for_kick(self, seconds: float) -> None:
        """Wait until somebody needs the worker's report."""
        try:
            async with asyncio.timeout(seconds):
                await self.kick.wait()
                self.kick.clear()
        except TimeoutError:
            pass

    async def stop(self, task: TaskId, attempt: int, is_needed: Callable[[], bool]) -> bool:
        """Order a run to stop until the worker has answered; return whether it has."""
        delay = RETRY_SECONDS
        while not self.has_ended and is_needed():
            try:
                await self.link.stop(self.leader.epoch, task, attempt)
            except WorkerUnreachable:
                await asyncio.sleep(delay)
                delay = min(2 * delay, RETRY_MAX_SECONDS)
            except WorkerReplaced:
                return False
            except WorkerDeposedUs as error:
                raise Deposed(f"worker {self.worker.id}: {error}") from error
            else:
                return True
        return False
