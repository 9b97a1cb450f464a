"""Takeovers while the earlier leader, without the store, still reaches some of the workers."""

import asyncio

import pytest

from jaypier.jobs.model import Job, JobStatus, RunOutcome
from jaypier.jobs.tests.builders import LeaderHarness, make_job, make_step, run_scenario
from jaypier.jobs.tests.cuts import (
    COMPLETION_SECONDS,
    CUT_SECONDS,
    check_work_is_done_once,
    cut_links,
    heal,
    isolate_leader,
    pick_workers,
    runs_of,
    start_long_job,
    take_over,
)
from jaypier.jobs.witnesses import LONGEST_AUTHORITY_SECONDS, REPORT_MAX_AGE_SECONDS
from standins.cluster import MemoryWorker
from standins.pauses import Pauses

NO_TURN_LOST_SECONDS = 3.0
"""Time within which a task starts whose turn has come, while there is room."""


def has_started(harness: LeaderHarness, job: Job) -> bool:
    return bool(runs_of(harness, job))


class TestLongCuts:
    """The earlier leader reaches most workers for longer than any fixed wait."""

    @pytest.mark.parametrize("seconds", [150.0, 50.0], ids=["runs-last", "runs-end-meanwhile"])
    def test_run_that_only_the_earlier_leader_reaches_is_not_started_again(self, seconds):
        async def scenario(harness):
            job = await start_long_job(harness, 4, seconds)
            await isolate_leader(harness, pick_workers(harness, is_busy=True))
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)

    def test_waiting_task_is_not_started_by_both_leaders(self):
        async def scenario(harness):
            job = make_job(make_step(count=18, accelerators=8, seconds=20.0))
            await harness.start_job(job, 6, 8)
            await asyncio.sleep(2.0)
            await isolate_leader(harness, pick_workers(harness, is_busy=True)[:4])
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)

    def test_gang_that_only_the_earlier_leader_reaches_is_not_started_again(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=100.0, is_gang=True))
            await harness.start_job(job, 4, 8)
            await asyncio.sleep(2.0)
            first, *_ = pick_workers(harness, is_busy=False)
            await isolate_leader(harness, [*pick_workers(harness, is_busy=True), first])
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=9)

    def test_task_that_must_not_start_twice_is_not_started_again(self):
        async def scenario(harness):
            step = make_step(count=4, accelerators=8, seconds=100.0)
            job = make_job(step, is_repeatable=False, is_preemptible=False, max_attempts=1)
            await harness.start_job(job, 4, 8)
            await asyncio.sleep(2.0)
            await isolate_leader(harness, pick_workers(harness, is_busy=True))
            await asyncio.sleep(CUT_SECONDS)
            heal(harness)
            await asyncio.sleep(20.0)
            assert len(runs_of(harness, job)) == 4
            assert harness.status(job) in (JobStatus.COMPLETED, JobStatus.UNKNOWN)

        run_scenario(scenario, workers=6)

    def test_job_accepted_after_the_takeover_starts_at_once_beside_the_earlier_leader(self):
        async def scenario(harness):
            running = await start_long_job(harness, 4, 20.0)
            await isolate_leader(harness, pick_workers(harness, is_busy=True))
            job = make_job(make_step(accelerators=8, seconds=5.0))
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 5.0 + 1.0)
            assert len(runs_of(harness, job)) == 1
            heal(harness)
            await harness.wait_status(running, JobStatus.COMPLETED, COMPLETION_SECONDS)

        run_scenario(scenario, workers=6)

    def test_run_of_an_isolated_leader_is_not_started_again_after_an_outage_of_the_store(self):
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            harness.store.is_down = True
            await asyncio.sleep(33.0)
            harness.store.is_down = False
            await isolate_leader(harness, pick_workers(harness, is_busy=True))
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)


class TestDifferentSetsOfWorkers:
    """Each of two leaders reaches more than half of the workers that it knows."""

    def test_run_is_not_started_again_by_a_leader_that_knows_more_workers(self):
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            workers = pick_workers(harness, is_busy=True)
            old = harness.leader_name
            harness.store.unreachable_vms.add(old)
            for number in range(6):
                cut_links(harness, old, [harness.cluster.add_worker(f"added-{number}")])
            await isolate_leader(harness, workers)
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=4)

    def test_run_is_not_started_again_after_workers_are_added_during_the_cut(self):
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            old, _ = await isolate_leader(harness, pick_workers(harness, is_busy=True))
            for number in range(6):
                await asyncio.sleep(0.5)
                cut_links(harness, old, [harness.cluster.add_worker(f"added-{number}")])
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=4)

    def test_run_is_not_started_again_after_the_leader_has_dropped_workers_that_return(self):
        # Entries lapse in an outage, and return just after the leader has read that they are gone.
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            leader = harness.leaders[harness.leader_name]
            busy, idle = pick_workers(harness, is_busy=True), pick_workers(harness, is_busy=False)
            harness.store.is_down = True
            await asyncio.sleep(33.0)
            for worker in harness.cluster.workers.values():
                harness.cluster.unregister(worker)
            old = harness.leader_name
            # The leader reaches the store first, so that it is not replaced before.
            harness.store.unreachable_vms |= harness.tasks.keys() - {old}
            harness.store.is_down = False
            await harness.wait_until(lambda: len(leader.cluster_state.workers) == 4, 2)
            harness.store.unreachable_vms = {old}
            cut_links(harness, old, idle)
            for worker in harness.cluster.workers.values():
                harness.cluster.register(worker)
            await isolate_leader(harness, busy)
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=10)

    @pytest.mark.parametrize("listed", [0, 4], ids=["empty", "short"])
    def test_run_is_not_started_again_by_a_leader_whose_listing_is_incomplete(self, listed):
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            busy, idle = pick_workers(harness, is_busy=True), pick_workers(harness, is_busy=False)
            harness.store.is_down = True
            await asyncio.sleep(33.0)
            harness.store.unreachable_vms.add(harness.leader_name)
            for worker in [*busy, *idle][: 10 - listed]:
                harness.cluster.unregister(worker)
            harness.store.is_down = False
            await isolate_leader(harness, [*busy, *idle[:2]])
            await asyncio.sleep(2.0)
            for worker in harness.cluster.workers.values():
                harness.cluster.register(worker)
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=10)

    def test_run_is_not_started_again_after_most_workers_have_left_during_the_cut(self):
        async def scenario(harness):
            job = await start_long_job(harness, 2)
            busy, idle = pick_workers(harness, is_busy=True), pick_workers(harness, is_busy=False)
            old, _ = await isolate_leader(harness, [*busy, *idle[:2]])
            await asyncio.sleep(5.0)
            for worker in [*busy, *idle[:2]]:
                harness.cluster.unregister(worker)
            await asyncio.sleep(5.0)
            for number in range(6):
                cut_links(harness, old, [harness.cluster.add_worker(f"added-{number}")])
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)


class TestAdoptedRuns:
    """The new leader extends leases of runs that the earlier one, with most workers, lets lapse."""

    @pytest.mark.parametrize("seconds", [150.0, 8.0], ids=["runs-last", "runs-end"])
    def test_run_that_the_new_leader_has_adopted_is_not_started_again_by_the_earlier_one(
        self, seconds
    ):
        async def scenario(harness):
            job = await start_long_job(harness, 4, seconds)
            busy, idle = pick_workers(harness, is_busy=True), pick_workers(harness, is_busy=False)
            await isolate_leader(harness, [*busy[:2], *idle])
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)

    def test_run_on_a_worker_that_the_earlier_leader_reaches_no_more_is_not_started_again(self):
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            busy, idle = pick_workers(harness, is_busy=True), pick_workers(harness, is_busy=False)
            old, new = await isolate_leader(harness, [*busy, *idle])
            await asyncio.sleep(1.0)
            cut_links(harness, old, busy[:2])
            harness.cluster.cut_links -= {(new, worker.entry.id) for worker in busy[:2]}
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)


class TestForgottenFences:
    """Workers that have reported to the new leader restart, and answer the earlier one."""

    @staticmethod
    def restart(harness, worker, has_new_id: bool) -> MemoryWorker:
        """Return the next process on the machine of a crashed worker."""
        if not has_new_id:
            worker.restart()
            return worker
        known = set(harness.cluster.workers)
        harness.cluster.crashing.replace_worker(worker)
        (new_id,) = harness.cluster.workers.keys() - known
        return harness.cluster.workers[new_id]

    @pytest.mark.parametrize("has_new_id", [False, True], ids=["same-id", "new-id"])
    def test_run_is_not_started_again_after_idle_workers_have_restarted(self, has_new_id):
        async def scenario(harness):
            job = await start_long_job(harness, 2)
            _, *idle = pick_workers(harness, is_busy=False)
            old, new = await isolate_leader(harness, pick_workers(harness, is_busy=True))
            await harness.wait_until(lambda: {each.fencing_epoch for each in idle} == {2}, 2)
            for worker in idle:
                worker.crash()
            await asyncio.sleep(0.5)
            harness.cluster.cut_links -= {(old, worker.entry.id) for worker in idle}
            cut_links(harness, new, idle)
            for worker in idle:
                cut_links(harness, new, [self.restart(harness, worker, has_new_id)])
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)

    def test_run_is_not_started_again_after_idle_workers_restart_one_by_one(self):
        async def scenario(harness):
            job = await start_long_job(harness, 2)
            _, *idle = pick_workers(harness, is_busy=False)
            old, new = await isolate_leader(harness, pick_workers(harness, is_busy=True))
            await harness.wait_until(lambda: {each.fencing_epoch for each in idle} == {2}, 2)
            for worker in idle:
                worker.crash()
                harness.cluster.cut_links.discard((old, worker.entry.id))
                cut_links(harness, new, [worker])
                await asyncio.sleep(0.3)
                worker.restart()
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)

    def test_run_is_not_started_again_after_workers_restart_beside_both_leaders(self):
        # Which leader calls a restarted worker first is left to chance.
        async def scenario(harness):
            job = await start_long_job(harness, 2)
            idle = pick_workers(harness, is_busy=False)
            old, _ = await isolate_leader(harness, pick_workers(harness, is_busy=True))
            await harness.wait_until(lambda: {each.fencing_epoch for each in idle} == {2}, 2)
            for worker in idle:
                worker.crash()
            harness.cluster.cut_links -= {(old, worker.entry.id) for worker in idle}
            await asyncio.sleep(0.5)
            for worker in idle:
                worker.restart()
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=5)

    @pytest.mark.parametrize("seconds", [8.0, 60.0], ids=["run-ended", "run-lost"])
    def test_run_that_the_new_leader_adopted_is_not_started_again_after_a_restart(self, seconds):
        async def scenario(harness):
            job = await start_long_job(harness, 1, seconds)
            (busy,) = pick_workers(harness, is_busy=True)
            idle = pick_workers(harness, is_busy=False)
            old, new = await isolate_leader(harness, idle[:4])
            await asyncio.sleep(8.0)
            busy.crash()
            harness.cluster.cut_links.discard((old, busy.entry.id))
            cut_links(harness, new, [busy])
            await asyncio.sleep(0.5)
            busy.restart()
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)


class TestThirdLeader:
    """A leader that reached no majority ends while its predecessor still has one."""

    @pytest.mark.parametrize("seconds", [0.1, 10.0])
    def test_run_is_not_started_again_by_the_leader_after_the_next(self, seconds):
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            busy = pick_workers(harness, is_busy=True)
            harness.start_daemon("vm-c")
            old, second = await isolate_leader(harness, busy)
            await asyncio.sleep(seconds)
            other = make_job(make_step(accelerators=8, seconds=30.0))
            harness.cluster.submit(other)
            await asyncio.sleep(0.5)
            await harness.kill(second)
            await take_over(harness, old)
            await check_work_is_done_once(harness, job, other)

        run_scenario(scenario, workers=6)

    def test_run_is_not_started_again_if_each_leader_reaches_another_worker(self):
        async def scenario(harness):
            job = await start_long_job(harness, 3)
            busy, idle = pick_workers(harness, is_busy=True), pick_workers(harness, is_busy=False)
            harness.start_daemon("vm-c")
            old, second = await isolate_leader(harness, busy)
            (third,) = harness.tasks.keys() - {old, second}
            cut_links(harness, second, idle[:1])
            cut_links(harness, third, idle[1:])
            await asyncio.sleep(5.0)
            await harness.kill(second)
            await take_over(harness, old)
            await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=5)


class TestLongStoreOutage:
    def test_known_work_goes_on_through_an_outage_of_ten_minutes(self):
        async def scenario(harness):
            lasting = await start_long_job(harness, 4, 700.0)
            waiting = [make_job(make_step(count=40, accelerators=8, seconds=5.0)) for _ in range(6)]
            for job in waiting:
                harness.cluster.submit(job)
            await asyncio.sleep(1.0)
            harness.store.is_down = True
            for _ in range(40):
                before = len(harness.cluster.runs)
                await asyncio.sleep(15.0)
                # Two workers run tasks of 5 s; a start takes less than 1 s.
                assert len(harness.cluster.runs) - before >= 4
            harness.store.is_down = False
            for job in (lasting, *waiting):
                await harness.wait_status(job, JobStatus.COMPLETED, 150.0)
            outcomes = {run.outcome for run in harness.cluster.runs.values()}
            assert outcomes == {RunOutcome.DONE}
            assert len(harness.cluster.runs) == 4 + 240

        run_scenario(scenario, workers=6)

    def test_task_of_a_worker_that_crashes_in_an_outage_starts_elsewhere(self):
        async def scenario(harness):
            job = await start_long_job(harness, 4)
            leader = harness.leaders[harness.leader_name]
            harness.store.is_down = True
            await asyncio.sleep(60.0)
            pick_workers(harness, is_busy=True)[0].crash()
            await harness.wait_until(
                lambda: len(runs_of(harness, job)) == 5,
                leader.cluster_state.longest_lease_seconds + NO_TURN_LOST_SECONDS,
            )
            await asyncio.sleep(60.0)
            harness.store.is_down = False
            await harness.wait_status(job, JobStatus.COMPLETED, 150.0)
            assert len(runs_of(harness, job)) == 5

        run_scenario(scenario, workers=6)


class TestLossOfPower:
    @pytest.mark.parametrize("has_new_ids", [False, True], ids=["same-ids", "new-ids"])
    @pytest.mark.parametrize("kills_all", [False, True], ids=["leader", "all-daemons"])
    def test_jobs_start_again_once_the_workers_new_processes_have_reported(
        self, has_new_ids, kills_all
    ):
        async def scenario(harness):
            jobs = [make_job(make_step(count=3, accelerators=8, seconds=20.0)) for _ in range(3)]
            for job in jobs:
                harness.cluster.submit(job)
            await harness.wait_until(lambda: len(harness.cluster.runs) == 6, 8)
            await asyncio.sleep(2.0)
            workers = list(harness.cluster.workers.values())
            for worker in workers:
                worker.crash()
            for name in list(harness.tasks) if kills_all else [harness.leader_name]:
                await harness.kill(name)
            await asyncio.sleep(4.0)
            for worker in workers:
                if has_new_ids:
                    harness.cluster.crashing.replace_worker(worker)
                else:
                    worker.restart()
            if kills_all:
                harness.start_daemon("vm-c")
            before = len(harness.cluster.runs)
            await harness.wait_until(lambda: harness.leader_name is not None, 3)
            await harness.wait_until(
                lambda: len(harness.cluster.runs) == before + 6, NO_TURN_LOST_SECONDS
            )
            for job in jobs:
                await harness.wait_status(job, JobStatus.COMPLETED, 60)

        run_scenario(scenario, workers=6)


class TestLossOfADataCentre:
    """The leader and some workers are lost for good."""

    @staticmethod
    async def start_on_all(harness, lost: int) -> tuple[Job, list[MemoryWorker]]:
        """Start a job with a task on each worker; return it and the workers that will be lost."""
        job = make_job(make_step(count=6, accelerators=5, seconds=150.0))
        await harness.start_job(job, 6, 8)
        await asyncio.sleep(2.0)
        return job, list(harness.cluster.workers.values())[:lost]

    @staticmethod
    async def lose(harness, workers: list[MemoryWorker]) -> None:
        """Lose the leader and workers, whose entries lapse, and wait for a new leader."""
        old = harness.leader_name
        for worker in workers:
            worker.crash()
        await harness.kill(old)
        await take_over(harness, old)
        for worker in workers:
            asyncio.get_running_loop().call_later(2.0, harness.cluster.unregister, worker)

    @pytest.mark.parametrize("lost", [3, 4], ids=["half", "over-half"])
    def test_job_accepted_after_the_takeover_starts_at_once(self, lost):
        async def scenario(harness):
            _, workers = await self.start_on_all(harness, lost)
            await self.lose(harness, workers)
            job = make_job(make_step(accelerators=2, seconds=1.0))
            harness.cluster.submit(job)
            await harness.wait_until(lambda: has_started(harness, job), 1.0)

        run_scenario(scenario, workers=6)

    @pytest.mark.parametrize("lost", [3, 4], ids=["half", "over-half"])
    def test_job_accepted_before_starts_at_once_if_the_store_tells_what_ran_there(self, lost):
        async def scenario(harness):
            _, workers = await self.start_on_all(harness, lost)
            for worker in workers:
                harness.cluster.begin_draining(worker)
            await asyncio.sleep(1.0)
            job = make_job(make_step(accelerators=2, seconds=1.0))
            asyncio.get_running_loop().call_later(1.0, harness.cluster.submit, job)
            await self.lose(harness, workers)
            await harness.wait_until(lambda: has_started(harness, job), 1.0)

        run_scenario(scenario, workers=6)

    @pytest.mark.parametrize("lost", [3, 4], ids=["half", "over-half"])
    def test_lost_and_waiting_tasks_start_after_the_longest_wait(self, lost):
        async def scenario(harness):
            running, workers = await self.start_on_all(harness, lost)
            waiting = make_job(make_step(accelerators=2, seconds=1.0))
            asyncio.get_running_loop().call_later(1.0, harness.cluster.submit, waiting)
            await self.lose(harness, workers)
            for number in range(lost):
                harness.cluster.add_worker(f"added-{number}")
            run_seconds = harness.leaders[harness.leader_name].longest_run_seconds
            await harness.wait_until(
                lambda: has_started(harness, waiting)
                and len(runs_of(harness, running)) == 6 + lost,
                LONGEST_AUTHORITY_SECONDS + run_seconds + 1.0,
            )
            await harness.wait_status(running, JobStatus.COMPLETED, 150.0 + 1.0)

        run_scenario(scenario, workers=6)


class TestPlannedChanges:
    """Workers that leave as planned while the leader changes delay no job without a run there."""

    @pytest.mark.parametrize("change", ["departure", "drain", "evacuation", "deregistration"])
    @pytest.mark.parametrize("changed", [1, 4])
    def test_job_does_not_wait_for_a_worker_that_leaves_during_a_takeover(self, change, changed):
        async def scenario(harness):
            for number in range(6):
                harness.cluster.add_worker(f"other-{number}", "dc-b")
            running = make_job(make_step(count=12, accelerators=5, seconds=20.0))
            await harness.start_job(running, 12, 8)
            await asyncio.sleep(2.0)
            leaving = [harness.cluster.workers[f"other-{number}"] for number in range(changed)]
            old = harness.leader_name
            await harness.kill(old)
            job = make_job(make_step(accelerators=2, seconds=1.0))
            harness.cluster.submit(job)
            await asyncio.sleep(0.5)
            if change == "evacuation":
                harness.evacuate("dc-b")
            elif change == "deregistration":
                for worker in leaving:
                    harness.cluster.unregister(worker)
            else:
                for worker in leaving:
                    harness.cluster.begin_draining(worker)
            await take_over(harness, old)
            await asyncio.sleep(0.2)
            if change == "departure":
                for worker in leaving:
                    worker.crash()
                    harness.cluster.unregister(worker)
            await harness.wait_until(lambda: has_started(harness, job), 1.0)
            await harness.wait_status(running, JobStatus.COMPLETED, 80.0)

        run_scenario(scenario, workers=6)

    @pytest.mark.parametrize("departed", [1, 7], ids=["one", "over-half"])
    def test_job_waits_no_longer_than_documented_for_a_worker_that_left_without_a_leader(
        self, departed
    ):
        async def scenario(harness):
            running = make_job(make_step(count=4, accelerators=8, seconds=60.0))
            await harness.start_job(running, 4, 8)
            await asyncio.sleep(2.0)
            old = harness.leader_name
            leader = harness.leaders[old]
            await harness.kill(old)
            job = make_job(make_step(accelerators=2, seconds=1.0))
            harness.cluster.submit(job)
            for worker in pick_workers(harness, is_busy=False)[:departed]:
                worker.crash()
                harness.cluster.unregister(worker)
            await take_over(harness, old)
            wait = REPORT_MAX_AGE_SECONDS if departed == 1 else LONGEST_AUTHORITY_SECONDS
            wait += leader.longest_run_seconds
            await harness.wait_until(lambda: has_started(harness, job), wait + 1.0)

        run_scenario(scenario, workers=12)


class TestPausedLeader:
    """A leader whose tasks stood still acts on no permission that has run out meanwhile."""

    @staticmethod
    async def start_daemons(harness, pauses: Pauses) -> None:
        """Start the daemons again, as ones that can be paused."""
        for name in list(harness.tasks):
            await harness.kill(name)
        harness.cluster.link = pauses.link
        for name in ("vm-a", "vm-b"):
            harness.start_daemon(name)

    @pytest.mark.parametrize("seconds", [1.0, 5.0, 9.0, 15.0, 40.0])
    def test_start_that_was_decided_before_a_pause_is_not_sent_after_a_takeover(self, seconds):
        async def scenario(harness):
            with Pauses(harness.cluster) as pauses:
                await self.start_daemons(harness, pauses)
                running = await start_long_job(harness, 4, 60.0)
                busy = pick_workers(harness, is_busy=True)
                first, *others = pick_workers(harness, is_busy=False)
                old = harness.leader_name
                (new,) = harness.tasks.keys() - {old}
                leader, spawn = harness.leaders[old], harness.leaders[old].spawn

                def spawn_and_pause(work, name):
                    spawn(work, name)
                    if name.startswith("start "):
                        leader.spawn = spawn
                        pauses.pause(old)
                        harness.store.unreachable_vms.add(old)
                        cut_links(harness, old, [*busy, *others])
                        cut_links(harness, new, [first])

                # The next task can only start on the worker that the leader goes on to reach.
                for worker in others:
                    harness.cluster.begin_draining(worker)
                await asyncio.sleep(1.0)
                leader.spawn = spawn_and_pause
                job = make_job(make_step(accelerators=8, seconds=60.0))
                harness.cluster.submit(job)
                await harness.wait_until(lambda: old in pauses.paused, 1)
                for worker in others:
                    harness.cluster.end_draining(worker)
                await asyncio.sleep(seconds)
                pauses.resume(old)
                await check_work_is_done_once(harness, running, job)

        run_scenario(scenario, workers=6)

    @pytest.mark.parametrize("seconds", [1.0, 5.0, 9.0, 15.0])
    def test_renewal_that_was_decided_before_a_pause_extends_no_lease_after_a_takeover(
        self, seconds
    ):
        async def scenario(harness):
            with Pauses(harness.cluster) as pauses:
                await self.start_daemons(harness, pauses)
                job = await start_long_job(harness, 2)
                busy = pick_workers(harness, is_busy=True)
                idle = pick_workers(harness, is_busy=False)
                old = harness.leader_name
                (new,) = harness.tasks.keys() - {old}
                link = harness.leaders[old].sessions[busy[0].entry.id].link
                renew = link.renew

                async def pause_and_renew(*arguments):
                    link.renew = renew
                    pauses.pause(old)
                    await asyncio.sleep(0.0)
                    return await renew(*arguments)

                link.renew = pause_and_renew
                await harness.wait_until(lambda: old in pauses.paused, 2)
                harness.store.unreachable_vms.add(old)
                cut_links(harness, old, idle)
                cut_links(harness, new, busy)
                await asyncio.sleep(seconds)
                pauses.resume(old)
                await check_work_is_done_once(harness, job)

        run_scenario(scenario, workers=6)

    def test_response_that_waited_during_a_pause_shows_nothing_of_the_time_since(self):
        async def scenario(harness):
            with Pauses(harness.cluster) as pauses:
                await self.start_daemons(harness, pauses)
                await start_long_job(harness, 6)
                workers = list(harness.cluster.workers.values())
                old = harness.leader_name
                leader = harness.leaders[old]
                harness.store.unreachable_vms.add(old)
                cut_links(harness, *(harness.tasks.keys() - {old}), workers)
                await asyncio.sleep(2.5)
                counts = {worker: worker.report_count for worker in workers}
                await harness.wait_until(
                    lambda: all(each.report_count > counts[each] for each in workers), 2
                )
                await asyncio.sleep(0.05)
                # All long polls have just begun; their responses arrive during the pause.
                pauses.pause(old)
                await asyncio.sleep(1.05)
                cut_links(harness, old, workers)
                await asyncio.sleep(0.35)
                pauses.resume(old)
                await asyncio.sleep(REPORT_MAX_AGE_SECONDS - 0.3)
                assert not leader.has_authority

        run_scenario(scenario, workers=6)
