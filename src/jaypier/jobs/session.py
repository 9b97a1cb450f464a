"""One session a worker: keeps its lease, reads its reports, carries orders to it."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from jaypier.jobs.fenced_writer import LeadershipLost
from jaypier.jobs.model import TaskId
from jaypier.jobs.state import Worker
from jaypier.jobs.worker_interface import StaleEpoch, WorkerReplaced, WorkerUnreachable

if TYPE_CHECKING:
    from jaypier.jobs.leader import Leader

LONG_POLL_SECONDS = 1.0
"""Longest wait for an end on a worker, so that tasks that stand still are seen in time."""

IDLE_CHECK_SECONDS = 1.0
"""Time between two checks whether an idle worker has to be asked who leads it."""

RETRY_INITIAL_SECONDS = 0.1
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
        self.wake_event = asyncio.Event()
        self.is_closed = False

    def close(self) -> None:
        """Stop asking the worker."""
        self.is_closed = True
        self.wake_event.set()
        self.link.close()

    async def run(self) -> None:
        """Renew the lease and take in reports until the worker is gone."""
        delay = RETRY_INITIAL_SECONDS
        while not self.is_closed:
            try:
                await self.renew_lease()
                delay = RETRY_INITIAL_SECONDS
            except WorkerUnreachable as error:
                self.mark_unreachable(error)
                await asyncio.sleep(delay)
                delay = min(2 * delay, RETRY_MAX_SECONDS)
                continue
            except WorkerReplaced:
                self.mark_unreachable(WorkerReplaced("another worker answers"))
                await asyncio.sleep(RETRY_MAX_SECONDS)
                continue
            except StaleEpoch as error:
                raise LeadershipLost(f"worker {self.worker.id}: {error}") from error
            await self.wait_for_next_renewal()

    def mark_unreachable(self, error: Exception) -> None:
        """Note that the worker did not answer."""
        worker, leader = self.worker, self.leader
        if not worker.is_unreachable:
            log.info("worker out of reach", worker=worker.id, reason=str(error))
        worker.is_unreachable = True
        leader.metrics.count("leader.workers_unreachable")
        if worker.entry.address != self.address:
            self.link.close()
            self.link, self.address = leader.open_link(worker.entry), worker.entry.address

    async def renew_lease(self) -> None:
        """Renew the lease once and take in the report."""
        worker, leader = self.worker, self.leader
        self.wake_event.clear()
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
        wait = LONG_POLL_SECONDS if deadline is not None else 0.0
        if worker.last_processed_end > worker.last_durable_end:
            wait = 0.0
        was_unreachable = worker.is_unreachable
        report = await self.link.renew(leader.epoch, worker.last_durable_end, deadline, wait)
        if self.is_closed:
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
            leader.stop_unknown_run(each)
        if ends:
            leader.progress_writer.write_requested.set()
        if releases != leader.cluster.release_count or was_unreachable or not was_known:
            leader.scheduling_requested.set()

    async def wait_for_next_renewal(self) -> None:
        """Wait until the worker has to be asked again."""
        worker, leader = self.worker, self.leader
        if worker.last_processed_end > worker.last_durable_end:
            await self.wait_for_wake(LONG_POLL_SECONDS)
            return
        while worker.is_reconciled and not worker.runs and not self.is_closed:
            await self.wait_for_wake(IDLE_CHECK_SECONDS)
            if not leader.is_confirmed_by_store:
                return

    async def wait_for_wake(self, seconds: float) -> None:
        """Wait until somebody needs the worker's report."""
        try:
            async with asyncio.timeout(seconds):
                await self.wake_event.wait()
                self.wake_event.clear()
        except TimeoutError:
            pass

    async def stop(self, task: TaskId, attempt: int, is_needed: Callable[[], bool]) -> bool:
        """Order a run to stop until the worker has answered; return whether it has."""
        delay = RETRY_INITIAL_SECONDS
        while not self.is_closed and is_needed():
            try:
                await self.link.stop(self.leader.epoch, task, attempt)
            except WorkerUnreachable:
                await asyncio.sleep(delay)
                delay = min(2 * delay, RETRY_MAX_SECONDS)
            except WorkerReplaced:
                return False
            except StaleEpoch as error:
                raise LeadershipLost(f"worker {self.worker.id}: {error}") from error
            else:
                return True
        return False
