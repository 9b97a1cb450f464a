"""Takeovers beside workers that restart, silent witnesses and rows that are missing."""

import asyncio

import pytest

from jaypier.jobs.evidence import LONGEST_REQUEST_DELAY_SECONDS
from jaypier.jobs.leader import START_TIMEOUT_SECONDS
from jaypier.jobs.model import Job, JobStatus
from jaypier.jobs.tests.builders import LeaderHarness, make_job, make_step, run_scenario
from jaypier.jobs.tests.cuts import (
    check_work_is_done_once,
    cut_links,
    isolate_leader,
    pick_workers,
    runs_of,
    start_long_job,
    take_over,
)
from jaypier.jobs.witnesses import WITNESSES_KEY
from jaypier.jobs.worker_interface import WorkerUnreachable
from jaypier.platform import Transaction
from standins.cluster import MemoryWorker
from standins.pauses import Pauses


def recorded_witnesses(harness: LeaderHarness) -> dict[str, int]:
    """Return the witnesses that the store names, by id."""
    row = harness.store.rows.get(WITNESSES_KEY)
    return {} if row is None else dict(row.value["processes"])


async def restart_daemons_without_row(harness: LeaderHarness) -> None:
    """Replace the daemons as after an upgrade: the builds before had written no witnesses."""
    for name in list(harness.tasks):
        await harness.kill(name)
    harness.store.apply(Transaction(deletes=[WITNESSES_KEY]))
    for name in ("vm-a", "vm-b"):
        harness.start_daemon(name)
    await harness.wait_until(lambda: harness.leader_name is not None, 5)
    leader = harness.leaders[harness.leader_name]
    await harness.wait_until(lambda: leader.has_reconciled, 5)


class TestMissingRow:
    """No row names the witnesses, as after an upgrade from a build before it."""

    def test_leader_records_the_witnesses_that_it_counts(self):
        async def scenario(harness):
            job = await start_long_job(harness, 4, 60.0)
            await restart_daemons_without_row(harness)
            await asyncio.sleep(10.0)
            leader = harness.leaders[harness.leader_name]
            assert recorded_witnesses(harness) == leader.witnesses.recorded.processes
            await harness.wait_status(job, JobStatus.COMPLETED, 100)

        run_scenario(scenario, workers=6)

    def test_run_is_not_started_again_after_workers_are_added_beside_a_cut(self):
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            await restart_daemons_without_row(harness)
            await asyncio.sleep(10.0)
            busy = pick_workers(harness, is_busy=True)
            for number in range(6):
                added = harness.cluster.add_worker(f"added-{number}")
                cut_links(harness, harness.leader_name, [added])
            await asyncio.sleep(2.0)
            await isolate_leader(harness, busy)
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)


class TestRestartedIdleWorkers:
    """Idle workers that restart under their ids."""

    def test_new_processes_become_witnesses_soon(self):
        async def scenario(harness):
            await start_long_job(harness, 1, 40.0)
            idle = pick_workers(harness, is_busy=False)
            for worker in idle:
                worker.crash()
            await asyncio.sleep(1.0)
            for worker in idle:
                worker.restart()
            await asyncio.sleep(5.0)
            expected = {each.entry.id: each.entry.born for each in harness.cluster.workers.values()}
            assert recorded_witnesses(harness) == expected

        run_scenario(scenario, workers=6)

    def test_new_processes_know_the_epoch_soon(self):
        async def scenario(harness):
            await start_long_job(harness, 1, 40.0)
            idle = pick_workers(harness, is_busy=False)
            for worker in idle:
                worker.crash()
            await asyncio.sleep(1.0)
            for worker in idle:
                worker.restart()
            await asyncio.sleep(5.0)
            epoch = harness.leaders[harness.leader_name].epoch
            assert {each.fencing_epoch for each in idle} == {epoch}

        run_scenario(scenario, workers=6)


class TestRepeatedStart:
    """A start that is tried again reaches the next process of its worker."""

    @staticmethod
    async def restart(worker: MemoryWorker) -> None:
        worker.crash()
        await asyncio.sleep(0.3)
        worker.restart()

    @staticmethod
    async def refuse(*_arguments) -> None:
        raise WorkerUnreachable("connection refused")

    def test_start_is_not_tried_again_after_a_pause(self):
        async def scenario(harness):
            with Pauses(harness.cluster) as pauses:
                for name in list(harness.tasks):
                    await harness.kill(name)
                harness.cluster.link = pauses.link
                for name in ("vm-a", "vm-b"):
                    harness.start_daemon(name)
                running = await start_long_job(harness, 2, 60.0)
                first, *others = pick_workers(harness, is_busy=False)
                old = harness.leader_name
                leader = harness.leaders[old]
                for worker in others:
                    harness.cluster.begin_draining(worker)
                await asyncio.sleep(1.0)
                # Starts are refused at first; the leader then stands still between two tries.
                link = leader.sessions[first.entry.id].link
                link.start, send_start = self.refuse, link.start
                job = make_job(make_step(accelerators=8, seconds=60.0))
                harness.cluster.submit(job)
                known = leader.cluster_state.workers[first.entry.id]
                await harness.wait_until(lambda: bool(known.unanswered_starts), 2)
                await asyncio.sleep(0.3)
                pauses.pause(old)
                link.start = send_start
                harness.store.unreachable_vms.add(old)
                harness.cluster.begin_draining(first)
                for worker in others:
                    harness.cluster.end_draining(worker)
                await take_over(harness, old)
                await harness.wait_until(lambda: len(runs_of(harness, job)) == 1, 5)
                await asyncio.sleep(5.0)
                await self.restart(first)
                harness.cluster.end_draining(first)
                await asyncio.sleep(5.0)
                harness.cluster.cut_links.clear()
                cut_links(
                    harness,
                    old,
                    [each for each in harness.cluster.workers.values() if each is not first],
                )
                pauses.resume(old)
                await check_work_is_done_once(harness, running, job)

        run_scenario(scenario, workers=4)


class TestSilentWitnesses:
    """Witnesses that do not report to the next leader."""

    def test_job_waits_for_a_silent_worker_as_before_if_most_workers_report(self):
        # The idle workers had restarted, so that the row names the lost worker alone.
        async def scenario(harness):
            await start_long_job(harness, 1, 200.0)
            (lost,) = pick_workers(harness, is_busy=True)
            idle = pick_workers(harness, is_busy=False)
            for worker in idle:
                worker.crash()
            await asyncio.sleep(1.0)
            for worker in idle:
                worker.restart()
            await asyncio.sleep(5.0)
            old = harness.leader_name
            lost.crash()
            await harness.kill(old)
            job = make_job(make_step(accelerators=2, seconds=1.0))
            harness.cluster.submit(job)
            await take_over(harness, old)
            # 3 s and a lease after the majority of the six workers has reported.
            await harness.wait_until(lambda: bool(runs_of(harness, job)), 11.0)

        run_scenario(scenario, workers=6)

    def test_takeovers_do_not_prolong_the_longest_wait_without_end(self):
        async def scenario(harness):
            running = make_job(make_step(count=6, accelerators=5, seconds=3000.0))
            await harness.start_job(running, 6, 8)
            await asyncio.sleep(2.0)
            waiting = make_job(make_step(accelerators=2, seconds=1.0))
            old = harness.leader_name
            lost = list(harness.cluster.workers.values())[:4]
            for worker in lost:
                worker.crash()
            await harness.kill(old)
            harness.cluster.submit(waiting)
            first = await take_over(harness, old)
            for worker in lost:
                harness.cluster.unregister(worker)
            await asyncio.sleep(600.0)
            harness.start_daemon(old)
            await asyncio.sleep(1.0)
            await harness.kill(first)
            await take_over(harness, first)
            await harness.wait_until(lambda: bool(runs_of(harness, waiting)), 400.0)

        run_scenario(scenario, workers=6)

    def test_new_ids_on_the_machines_of_lost_workers_end_the_wait(self):
        async def scenario(harness):
            job = make_job(make_step(count=3, accelerators=8, seconds=20.0))
            harness.cluster.submit(job)
            await harness.wait_until(lambda: len(harness.cluster.runs) == 3, 8)
            await asyncio.sleep(2.0)
            workers = list(harness.cluster.workers.values())
            for worker in workers:
                worker.crash()
            for name in list(harness.tasks):
                await harness.kill(name)
            await asyncio.sleep(4.0)
            for worker in workers:
                harness.cluster.crashing.replace_worker(worker)
            harness.start_daemon("vm-c")
            await harness.wait_until(lambda: harness.leader_name is not None, 3)
            started_at = harness.clock.now()
            await harness.wait_until(lambda: len(harness.cluster.runs) > 3, 1000.0)
            seconds = harness.clock.now() - started_at
            assert seconds < 3.0, seconds

        run_scenario(scenario, workers=6)


class TestClockOfTheNextProcess:
    """The clock of a worker that restarts under its id starts anew."""

    def test_start_sent_to_a_restarted_worker_is_not_carried_out_after_its_lease(self):
        async def scenario(harness):
            for worker in list(harness.cluster.workers.values())[1:]:
                harness.cluster.begin_draining(worker)
            await asyncio.sleep(30.0)
            first, second = harness.cluster.workers.values()
            first.crash()
            await asyncio.sleep(1.0)
            first.restart()
            await asyncio.sleep(3.0)
            harness.cluster.delayed_starts, harness.cluster.delay_seconds = 1, 9.0
            job = make_job(make_step(accelerators=8, seconds=20.0))
            harness.cluster.submit(job)
            await harness.wait_until(lambda: harness.cluster.delayed_starts == 0, 2)
            await asyncio.sleep(0.1)
            cut_links(harness, harness.leader_name, [first])
            harness.cluster.end_draining(second)
            await harness.wait_status(job, JobStatus.COMPLETED, 60)
            assert harness.cluster.violations == []

        run_scenario(scenario, workers=2)

    def test_start_sent_to_a_worker_that_has_not_restarted_is_not_carried_out_after_its_lease(self):
        async def scenario(harness):
            first, second = harness.cluster.workers.values()
            harness.cluster.begin_draining(second)
            await asyncio.sleep(34.0)
            harness.cluster.delayed_starts, harness.cluster.delay_seconds = 1, 9.0
            job = make_job(make_step(accelerators=8, seconds=20.0))
            harness.cluster.submit(job)
            await harness.wait_until(lambda: harness.cluster.delayed_starts == 0, 2)
            await asyncio.sleep(0.1)
            cut_links(harness, harness.leader_name, [first])
            harness.cluster.end_draining(second)
            await harness.wait_status(job, JobStatus.COMPLETED, 60)

        run_scenario(scenario, workers=2)


class TestLateStarts:
    """A start without a response is carried out by the next process of its worker."""

    @staticmethod
    async def send_late_start(harness, job: Job, seconds: float) -> MemoryWorker:
        """Submit a job whose start times out and is carried out late; return its worker."""
        first, second = harness.cluster.workers.values()
        harness.cluster.begin_draining(second)
        await asyncio.sleep(34.0)
        harness.cluster.delayed_starts, harness.cluster.delay_seconds = 1, seconds
        harness.cluster.submit(job)
        await harness.wait_until(lambda: harness.cluster.delayed_starts == 0, 2)
        harness.cluster.end_draining(second)
        return first

    @staticmethod
    async def restart_beyond_reach(harness, worker: MemoryWorker) -> None:
        """Restart a worker that no VM reaches any more."""
        worker.crash()
        for name in harness.tasks:
            cut_links(harness, name, [worker])
        await asyncio.sleep(0.3)
        worker.restart()

    # Guards against TWICE (review/6): its deadline is by the clock of the process before.
    @pytest.mark.parametrize("seconds", [7.0, 11.0, 23.0])
    def test_task_does_not_start_elsewhere_while_a_silent_worker_may_carry_it_out(self, seconds):
        async def scenario(harness):
            harness.cluster.reaches_next_process = True
            job = make_job(make_step(accelerators=8, seconds=5.0))
            worker = await self.send_late_start(harness, job, seconds)
            await self.restart_beyond_reach(harness, worker)
            await harness.wait_until(lambda: bool(worker.active), seconds + 1.0)
            harness.cluster.cut_links.clear()
            await harness.wait_status(job, JobStatus.COMPLETED, 20)

        run_scenario(scenario, workers=2)

    def test_task_starts_elsewhere_if_the_worker_never_returns(self):
        async def scenario(harness):
            job = make_job(make_step(accelerators=8, seconds=5.0))
            worker = await self.send_late_start(harness, job, 7.0)
            leader = harness.leaders[harness.leader_name]
            worker.crash()
            harness.cluster.unregister(worker)
            longest_wait = (
                START_TIMEOUT_SECONDS + LONGEST_REQUEST_DELAY_SECONDS + leader.longest_run_seconds
            )
            await harness.wait_until(lambda: len(runs_of(harness, job)) == 1, longest_wait + 1.0)

        run_scenario(scenario, workers=2)

    # Guards against UNASKED and TWICE: a stop binds only the process that has answered it.
    def test_stop_is_sent_again_to_the_next_process(self):
        async def scenario(harness):
            harness.cluster.reaches_next_process = True
            job = make_job(make_step(accelerators=8, seconds=5.0))
            worker = await self.send_late_start(harness, job, 6.0)
            await asyncio.sleep(0.05)
            harness.cluster.cancel(job.id)
            await harness.wait_until(lambda: bool(worker.highest_attempts), 2)
            await asyncio.sleep(0.5)
            worker.crash()
            await asyncio.sleep(0.3)
            worker.restart()
            await harness.wait_until(lambda: bool(worker.highest_attempts), 2)
            await asyncio.sleep(5.0)
            assert runs_of(harness, job) == []

        run_scenario(scenario, workers=2)


class TestUnreportedRuns:
    """A worker reports to an earlier leader for the first time, after a newer one has heard it."""

    # Guards against TWICE: its next process lists no run, which was taken for all that it had run.
    @pytest.mark.parametrize("restarts", [False, True])
    def test_task_that_the_newer_leader_has_recorded_as_done_is_not_started_again(self, restarts):
        async def scenario(harness):
            job = make_job(make_step(accelerators=8, seconds=14.0))
            await harness.start_job(job, 1, 8)
            await asyncio.sleep(2.0)
            (busy,), others = (pick_workers(harness, is_busy=each) for each in (True, False))
            harness.start_daemon("vm-c")
            await asyncio.sleep(1.0)
            first = harness.leader_name
            second, third = sorted(harness.tasks.keys() - {first})
            cut_links(harness, second, [busy])
            await harness.kill(third)
            await harness.kill(first)
            await harness.wait_until(lambda: harness.leader_name == second, 20)
            await asyncio.sleep(1.5)
            harness.store.unreachable_vms.add(second)
            cut_links(harness, third, others)
            harness.start_daemon(third)
            await harness.wait_until(lambda: third in harness.leaders, 20)
            await harness.wait_status(job, JobStatus.COMPLETED, 30)
            if restarts:
                busy.crash()
                await asyncio.sleep(0.3)
                harness.cluster.cut_links.discard((second, busy.entry.id))
                cut_links(harness, third, [busy])
                busy.restart()
            await asyncio.sleep(25.0)
            assert len(runs_of(harness, job)) == 1

        run_scenario(scenario, workers=6)

    def test_task_of_a_worker_that_restarts_at_a_takeover_starts_soon(self):
        async def scenario(harness):
            job = make_job(make_step(accelerators=8, seconds=14.0))
            await harness.start_job(job, 1, 8)
            await asyncio.sleep(2.0)
            (busy,) = pick_workers(harness, is_busy=True)
            old = harness.leader_name
            await harness.kill(old)
            busy.crash()
            busy.restart()
            await take_over(harness, old)
            await harness.wait_until(lambda: len(runs_of(harness, job)) == 2, 0.5)

        run_scenario(scenario, workers=6)
