"""Sessions with workers, one each: lease renewals, reports and stop requests."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from jaypier.jobs.fenced_writer import LeadershipLost
from jaypier.jobs.model import TaskId, WorkerReport
from jaypier.jobs.state import Worker
from jaypier.jobs.worker_interface import (
    StaleEpoch,
    WorkerReplaced,
    WorkerUnreachable,
)

if TYPE_CHECKING:
    from jaypier.jobs.leader import Leader

LONG_POLL_SECONDS = 1.0
"""Longest wait of a long poll for ended runs, so that stalled tasks are detected in time."""

IDLE_CHECK_SECONDS = 1.0
"""Time between two checks whether an idle worker has to be polled; its response shows whether it
has accepted a newer epoch."""

CLOCK_MAX_AGE_SECONDS = 60.0
"""Age of the last reading of a worker's clock after which an idle worker is polled: its clock may
then be 1.2 s ahead of the estimate, and a start's lease that much shorter."""

ACKNOWLEDGEMENT_MAX_AGE_SECONDS = 2.0
"""Age of the last report up to which the worker process that sent it is assumed to be running."""

INITIAL_RETRY_DELAY_SECONDS = 0.1
"""First delay before a worker is called again; it doubles up to ``MAX_RETRY_DELAY_SECONDS``."""

MAX_RETRY_DELAY_SECONDS = 1.0
"""Longest delay between two calls to a worker that does not answer."""

MAX_BUSY_RETRY_DELAY_SECONDS = 0.2
"""The same for a worker with runs: they end unless their lease is renewed in time, and at the start
of a silence it may have run for ``LONG_POLL_SECONDS`` already."""

log = structlog.get_logger()


class WorkerSession:
    """Renews the lease of one worker and applies its reports.

    :ivar is_report_requested: whether the worker is to be polled even if it is idle.
    :ivar wake_event: set when the worker is to be polled before its regular time.
    :ivar poll_ended: notified when a poll had a response or has failed.
    :ivar long_poll: the long poll in progress, if any.
    :ivar last_acknowledged: number of the last ended run that the worker may have forgotten.
    """

    def __init__(self, leader: "Leader", worker: Worker) -> None:
        self.leader = leader
        self.worker = worker
        self.link = leader.open_link(worker.entry)
        self.address = worker.entry.address
        self.wake_event = asyncio.Event()
        self.poll_ended = asyncio.Event()
        self.long_poll: asyncio.Timeout | None = None
        self.is_report_requested = False
        self.last_acknowledged = 0
        self.is_closed = False

    def close(self) -> None:
        """Stop polling the worker and close its connections."""
        self.is_closed = True
        self.wake_event.set()
        self.link.close()

    def request_report(self) -> None:
        """Poll the worker at once, even if it is idle."""
        self.is_report_requested = True
        self.wake_event.set()

    async def wait_for_report(self, after: float, seconds: float) -> bool:
        """Have the worker polled, unless it has reported since a time; return whether it has.

        A long poll in progress is ended early.

        :param after: time on the local clock, in seconds.
        :param seconds: longest wait.
        """
        worker = self.worker
        try:
            async with asyncio.timeout(seconds):
                while worker.last_report_at <= after and not worker.is_unreachable:
                    self.request_report()
                    if self.long_poll is not None:
                        self.long_poll.reschedule(asyncio.get_running_loop().time())
                    await self.poll_ended.wait()
        except TimeoutError:
            return False
        return worker.last_report_at > after

    async def run(self) -> None:
        """Renew the lease and apply reports until the session is closed.

        :raises LeadershipLost: when the worker has accepted a newer epoch.
        """
        delay = INITIAL_RETRY_DELAY_SECONDS
        while not self.is_closed:
            try:
                await self.renew_lease()
                delay = INITIAL_RETRY_DELAY_SECONDS
            except WorkerUnreachable as error:
                self.mark_unreachable(error)
                await asyncio.sleep(delay)
                is_busy = bool(self.worker.runs)
                longest = MAX_BUSY_RETRY_DELAY_SECONDS if is_busy else MAX_RETRY_DELAY_SECONDS
                delay = min(2 * delay, longest)
                continue
            except WorkerReplaced:
                self.mark_unreachable(WorkerReplaced(f"another worker responds at {self.address}"))
                await asyncio.sleep(MAX_RETRY_DELAY_SECONDS)
                continue
            except StaleEpoch as error:
                raise LeadershipLost(f"worker {self.worker.id}: {error}") from error
            except Exception as error:
                log.error("worker session failed", worker=self.worker.id, exc_info=error)
                self.mark_unreachable(error)
                await asyncio.sleep(MAX_RETRY_DELAY_SECONDS)
                continue
            await self.wait_for_next_renewal()

    def mark_unreachable(self, error: Exception) -> None:
        """Mark the worker as unreachable; use the address of its entry if that has changed."""
        worker, leader = self.worker, self.leader
        if not worker.is_unreachable:
            log.info("worker unreachable", worker=worker.id, reason=str(error))
            leader.cluster_state.crashes.observe_silence(worker, leader.clock.now())
            if leader.cluster_state.dirty_jobs:
                leader.progress_writer.write_requested.set()
        worker.is_unreachable = True
        self.notify_poll_ended()
        leader.metrics.count("leader.workers_unreachable")
        if worker.entry.address != self.address:
            self.link.close()
            self.link, self.address = leader.open_link(worker.entry), worker.entry.address

    def notify_poll_ended(self) -> None:
        """Wake those that wait for a report."""
        self.poll_ended.set()
        self.poll_ended.clear()

    def number_to_acknowledge(self, now: float) -> int:
        """Return up to which number the worker may forget its ended runs, 0 for none.

        A restarted worker numbers them from 1 again. Nothing is acknowledged until the process that
        runs now has reported: it would forget runs that this leader does not know, also when the
        request is carried out seconds later.

        :param now: time on the local clock, in seconds.
        """
        worker = self.worker
        is_same_process = (
            not worker.is_unreachable
            and worker.entry.born <= worker.born
            and now - worker.report_requested_at <= ACKNOWLEDGEMENT_MAX_AGE_SECONDS
        )
        is_needed = worker.last_durable_end > self.last_acknowledged
        return worker.last_durable_end if is_same_process and is_needed else 0

    async def renew_lease(self) -> None:
        """Renew the lease once and apply the report."""
        worker, leader = self.worker, self.leader
        self.wake_event.clear()
        is_requested, self.is_report_requested = self.is_report_requested, False
        sent_at = leader.clock.now()
        deadline = None
        # The lease of an unreachable worker is not extended: its runs have to end by a known time.
        is_busy = worker.is_reconciled and bool(worker.runs) and not worker.is_unreachable
        if is_busy:
            deadline = leader.authority.grant_lease(worker, sent_at)
        is_waiting_for_end = is_busy or worker.has_unknown_runs
        wait = LONG_POLL_SECONDS if is_waiting_for_end and not is_requested else 0.0
        if worker.last_processed_end > worker.last_durable_end:
            wait = 0.0
        was_unreachable = worker.is_unreachable
        acknowledged = self.number_to_acknowledge(sent_at)
        report = await self.poll(acknowledged, deadline, wait)
        if report is None or self.is_closed:
            return
        now = leader.clock.now()
        born = worker.born
        was_reconciled, releases = worker.is_reconciled, leader.cluster_state.release_count
        had_unknown_runs = worker.has_unknown_runs
        ends, unknown = leader.cluster_state.apply_report(worker, report, sent_at, now)
        has_restarted = worker.born != born
        leader.observe_process(worker, has_restarted)
        self.last_acknowledged = 0 if has_restarted else max(self.last_acknowledged, acknowledged)
        if was_unreachable:
            log.info("worker reachable", worker=worker.id)
        for end in ends:
            log.info(
                "run ended",
                task=str(end.task),
                attempt=end.attempt,
                worker=worker.id,
                end=str(end.outcome),
            )
        for run in unknown:
            leader.stop_unknown_run(run)
        if ends or leader.cluster_state.unconfirmed_losses or worker.awaits_confirmation:
            leader.progress_writer.write_requested.set()
        has_more_room = (
            releases != leader.cluster_state.release_count
            or had_unknown_runs
            and not worker.has_unknown_runs
        )
        if has_more_room or was_unreachable or not was_reconciled:
            leader.scheduling_requested.set()
        self.notify_poll_ended()

    async def poll(
        self, acknowledged: int, deadline: int | None, wait: float
    ) -> WorkerReport | None:
        """Return a report of the worker, ``None`` if its long poll was ended early.

        The parameters and errors are those of :meth:`WorkerLink.renew`.
        """
        try:
            async with asyncio.timeout(None) as scope:
                self.long_poll = scope if wait else None
                return await self.link.renew(self.leader.epoch, acknowledged, deadline, wait)
        except TimeoutError:
            if not scope.expired():
                raise
            return None
        finally:
            self.long_poll = None

    async def wait_for_next_renewal(self) -> None:
        """Wait until the worker has to be polled again.

        A worker with ended runs that are not durable yet is polled after a wake-up, at the latest
        after ``LONG_POLL_SECONDS``. An idle worker is polled when that has changed, while the store
        does not confirm this leader, or when its clock was read too long ago; all are checked after
        a wake-up, at the latest after ``IDLE_CHECK_SECONDS``. Any other worker is polled at once.
        """
        worker, leader = self.worker, self.leader
        if worker.last_processed_end > worker.last_durable_end:
            await self.wait_for_wake(LONG_POLL_SECONDS)
            return
        while self.is_idle and not self.is_closed and not self.is_report_requested:
            await self.wait_for_wake(IDLE_CHECK_SECONDS)
            clock_age = leader.clock.now() - worker.clock_read_at
            is_due = self.is_report_requested or clock_age > CLOCK_MAX_AGE_SECONDS
            if is_due or not leader.authority.is_confirmed_by_store:
                return

    @property
    def is_idle(self) -> bool:
        """Whether the worker has no run, and has been told of all ends that are durable."""
        worker = self.worker
        is_acknowledged = self.last_acknowledged >= worker.last_durable_end
        is_running = worker.runs or worker.has_unknown_runs
        has_told_all = worker.is_reconciled or worker.awaits_confirmation
        return has_told_all and not is_running and is_acknowledged

    async def wait_for_wake(self, seconds: float) -> None:
        """Wait for a wake-up, for at most ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self.wake_event.wait()
                self.wake_event.clear()
        except TimeoutError:
            pass

    async def stop(self, task: TaskId, attempt: int, is_needed: Callable[[], bool]) -> bool:
        """Send the stop request of a run, retrying until the worker has responded.

        :param is_needed: returns whether the request is still needed.
        :returns: whether the worker has responded.
        :raises LeadershipLost: when the worker has accepted a newer epoch.
        """
        delay = INITIAL_RETRY_DELAY_SECONDS
        while not self.is_closed and is_needed():
            try:
                await self.link.stop(self.leader.epoch, task, attempt)
            except WorkerUnreachable:
                await asyncio.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)
            except WorkerReplaced:
                return False
            except StaleEpoch as error:
                raise LeadershipLost(f"worker {self.worker.id}: {error}") from error
            else:
                return True
        return False
