"""Capacities of workers that shrink and grow while runs are active."""

import asyncio

import attrs

from jaypier.jobs.headroom import MAX_HEADROOM_SHARE
from jaypier.jobs.model import JobStatus, Resources, RunOutcome, TaskId
from jaypier.jobs.tests.builders import (
    apply_report,
    make_active_run,
    make_cluster_state,
    make_ended_run,
    make_entry,
    make_job,
    make_planner,
    make_step,
    run_scenario,
)

FULL = Resources(64000, 131072, 8)
HALF = Resources(32000, 65536, 4)
QUARTER = Resources(16000, 32768, 2)


def set_capacity(cluster_state, worker, capacity, now=0.0):
    cluster_state.register_worker(attrs.evolve(worker.entry, capacity=capacity), now)


def submit(planner, *steps, now=0.0, **values):
    job = make_job(*steps, **values)
    planner.observe_job(planner.cluster_state.add_job(job), now)
    return job


class FullWorkers:
    """Workers whose accelerators are all in use by tasks of one job."""

    def __init__(self, workers=1, priority=2, **values) -> None:
        self.cluster_state = make_cluster_state(workers)
        step = make_step(**{"count": 8 * workers, "seconds": 50.0, **values})
        self.planner = make_planner(self.cluster_state, make_job(step, priority=priority))
        self.runs = self.planner.plan(0.0, 0.0).starts
        self.worker = self.cluster_state.workers["worker-00"]

    def end_runs(self, first, last, now):
        """End runs ``first`` to ``last`` - 1 of the only worker; the others are active."""
        ended = [
            make_ended_run(number + 1, run.task, RunOutcome.DONE, run.attempt)
            for number, run in enumerate(self.runs[:last])
        ]
        active = [make_active_run(run.task, run.attempt) for run in self.runs[last:]]
        apply_report(self.cluster_state, self.worker, now, active, ended[first:])


class TestReducedCapacity:
    def test_nothing_starts_until_enough_runs_have_ended(self):
        full = FullWorkers()
        submit(full.planner, make_step(count=8, seconds=1.0))
        set_capacity(full.cluster_state, full.worker, HALF)
        assert full.planner.plan(1.0, 1.0).starts == []
        full.end_runs(0, 4, 2.0)
        assert full.planner.plan(2.0, 2.0).starts == []
        full.end_runs(4, 6, 3.0)
        assert len(full.planner.plan(3.0, 3.0).starts) == 2

    def test_task_without_accelerators_waits_for_worker_over_its_accelerators(self):
        full = FullWorkers()
        submit(full.planner, make_step(accelerators=0))
        set_capacity(full.cluster_state, full.worker, attrs.evolve(FULL, accelerators=4))
        assert full.planner.plan(1.0, 1.0).starts == []
        full.end_runs(0, 4, 2.0)
        assert len(full.planner.plan(2.0, 2.0).starts) == 1

    def test_filling_task_waits_for_worker_over_its_processors(self):
        full = FullWorkers()
        submit(full.planner, make_step(accelerators=0, is_filling=True))
        set_capacity(full.cluster_state, full.worker, attrs.evolve(FULL, processor_millis=4000))
        assert full.planner.plan(1.0, 1.0).starts == []

    def test_stopped_run_counts_until_its_end_is_reported(self):
        full = FullWorkers()
        submit(full.planner, make_step(seconds=1.0))
        set_capacity(full.cluster_state, full.worker, HALF)
        for run in full.runs[:5]:
            full.cluster_state.mark_stopping(run)
        assert full.planner.plan(1.0, 1.0).starts == []
        full.end_runs(0, 5, 2.0)
        assert len(full.planner.plan(2.0, 2.0).starts) == 1

    def test_running_gang_is_kept(self):
        full = FullWorkers(2, is_gang=True)
        submit(full.planner, make_step(count=8, is_gang=True))
        set_capacity(full.cluster_state, full.worker, QUARTER)
        for now in (1.0, 2.0, 5.0):
            plan = full.planner.plan(now, now)
            assert (plan.starts, plan.stops) == ([], [])
        assert list(full.cluster_state.mark_obsolete_runs()) == []

    def test_gang_starts_on_workers_with_remaining_capacity(self):
        cluster_state = make_cluster_state(2)
        set_capacity(cluster_state, cluster_state.workers["worker-00"], QUARTER)
        planner = make_planner(cluster_state, make_job(make_step(count=11, is_gang=True)))
        assert planner.plan(0.0, 0.0).starts == []
        submit(planner, make_step(count=10, is_gang=True))
        assert len(planner.plan(1.0, 1.0).starts) == 10

    def test_hold_on_worker_that_has_become_too_small_is_dropped(self):
        full = FullWorkers(seconds=4.0)
        submit(full.planner, make_step(count=8, is_gang=True))
        full.planner.plan(1.0, 1.0)
        assert full.planner.holds.holds
        set_capacity(full.cluster_state, full.worker, HALF)
        full.planner.plan(1.2, 1.2)
        assert not full.planner.holds.holds

    def test_grown_worker_is_used_in_the_next_pass(self):
        full = FullWorkers()
        submit(full.planner, make_step(count=8))
        set_capacity(full.cluster_state, full.worker, HALF)
        assert full.planner.plan(1.0, 1.0).starts == []
        set_capacity(full.cluster_state, full.worker, Resources(128000, 262144, 16))
        assert len(full.planner.plan(1.1, 1.1).starts) == 8


class TestUrgentJobs:
    def test_preemption_also_makes_up_for_the_lost_capacity(self):
        full = FullWorkers()
        submit(full.planner, make_step(count=2), priority=0)
        set_capacity(full.cluster_state, full.worker, HALF)
        plan = full.planner.plan(1.0, 1.0)
        assert plan.starts == []
        assert len(plan.stops) == 6

    def test_nothing_is_preempted_if_the_worker_has_become_too_small(self):
        full = FullWorkers()
        submit(full.planner, make_step(accelerators=8), priority=0)
        set_capacity(full.cluster_state, full.worker, HALF)
        for now in (1.0, 2.0, 4.0, 8.0):
            assert full.planner.plan(now, now).stops == []

    def test_preemption_is_extended_if_the_capacity_shrinks_after_it(self):
        full = FullWorkers()
        submit(full.planner, make_step(count=2), priority=0)
        assert len(full.planner.plan(1.0, 1.0).stops) == 2
        set_capacity(full.cluster_state, full.worker, HALF)
        full.end_runs(0, 2, 2.0)
        plans = [full.planner.plan(now, now) for now in (2.0, 3.5, 4.0)]
        assert [plan.starts for plan in plans] == [[], [], []]
        assert sum(len(plan.stops) for plan in plans) == 4

    def test_headroom_keeps_its_share_beside_workers_over_their_capacity(self):
        full = FullWorkers(4, priority=0)
        for worker in full.cluster_state.workers.values():
            set_capacity(full.cluster_state, worker, Resources())
        idle = [make_entry(f"worker-{number:02}") for number in range(4, 8)]
        for entry in idle:
            full.cluster_state.register_worker(entry, 0.0).is_reconciled = True
        submit(full.planner, make_step(count=96, seconds=1.0), priority=0, now=1.0)
        full.planner.plan(1.0, 1.0)
        kept = [entry for entry in idle if entry.id in full.planner.headroom.until]
        assert len(kept) == MAX_HEADROOM_SHARE * len(idle)


class TestUnknownRuns:
    """Runs that a worker reports and the leader does not need hold capacity until they end."""

    def test_nothing_starts_beside_a_run_of_a_cancelled_job(self):
        cluster_state = make_cluster_state(1, epoch=2)
        worker = cluster_state.workers["worker-00"]
        job = make_job(make_step(accelerators=8))
        planner = make_planner(cluster_state, job)
        cluster_state.cancel_job(job.id)
        submit(planner, make_step(accelerators=8))
        reported = make_active_run(cluster_state.jobs[job.id].steps[0].tasks[0].id)
        _, unknown = apply_report(cluster_state, worker, 1.0, [reported])
        assert len(unknown) == 1
        assert planner.plan(1.0, 1.0).starts == []
        apply_report(cluster_state, worker, 2.0)
        assert len(planner.plan(2.0, 2.0).starts) == 1

    def test_nothing_starts_beside_a_run_of_an_unknown_job(self):
        cluster_state = make_cluster_state(1, epoch=2)
        worker = cluster_state.workers["worker-00"]
        planner = make_planner(cluster_state, make_job())
        reported = make_active_run(TaskId("f" * 16, 0, 0, 0))
        apply_report(cluster_state, worker, 1.0, [reported])
        assert planner.plan(1.0, 1.0).starts == []
        apply_report(cluster_state, worker, 2.0)
        assert len(planner.plan(2.0, 2.0).starts) == 1

    def test_restarted_worker_has_no_unknown_runs(self):
        cluster_state = make_cluster_state(1, epoch=2)
        worker = cluster_state.workers["worker-00"]
        planner = make_planner(cluster_state, make_job())
        apply_report(cluster_state, worker, 1.0, [make_active_run(TaskId("f" * 16, 0, 0, 0))])
        cluster_state.register_worker(make_entry("worker-00", born=2), 1.5)
        apply_report(cluster_state, worker, 2.0, born=2)
        assert len(planner.plan(2.0, 2.0).starts) == 1

    def test_job_cancelled_during_a_takeover_counts_until_its_runs_have_ended(self):
        async def scenario(harness):
            stopped = make_job(make_step(count=4, accelerators=8, seconds=60.0))
            await harness.start_job(stopped, 4, 8)
            await asyncio.sleep(1.0)
            await harness.kill(harness.leader_name)
            harness.cluster.cancel(stopped.id)
            waiting = make_job(make_step(count=4, accelerators=8, seconds=1.0))
            harness.cluster.submit(waiting)
            await harness.wait_status(waiting, JobStatus.COMPLETED, 10)

        run_scenario(scenario, guards_capacity=False)

    def test_unknown_run_is_polled_at_a_bounded_rate(self):
        async def scenario(harness):
            stopped = make_job(make_step(accelerators=8, seconds=60.0))
            await harness.start_job(stopped, 1, 8)
            worker = next(each for each in harness.cluster.workers.values() if each.active)
            await harness.kill(harness.leader_name)
            harness.cluster.cancel(stopped.id)
            before = worker.report_count
            await harness.wait_until(lambda: not worker.active, 10)
            await asyncio.sleep(1.0)
            assert worker.report_count - before <= 10

        run_scenario(scenario, workers=1, stop_delay_seconds=1.9, guards_capacity=False)


class TestLeader:
    def test_shrink_during_the_retries_of_a_start_withdraws_it(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            worker = harness.cluster.workers["worker-00"]
            cut = (harness.leader_name, "worker-00")
            harness.cluster.cut_links.add(cut)
            harness.cluster.submit(make_job(make_step(accelerators=8, seconds=1.0)))
            await asyncio.sleep(0.1)
            worker.change_capacity(HALF)
            worker.announce()
            await asyncio.sleep(0.9)
            harness.cluster.cut_links.remove(cut)
            await asyncio.sleep(5.0)
            assert not harness.cluster.runs

        run_scenario(scenario, workers=1, guards_capacity=False)

    def test_shrink_while_a_first_start_is_recorded_withdraws_it(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            worker = harness.cluster.workers["worker-00"]
            harness.store.latency_factor = 120
            job = make_job(make_step(accelerators=8, seconds=1.0), is_repeatable=False)
            harness.cluster.submit(job)
            leader = harness.leaders[harness.leader_name]
            held = leader.cluster_state.workers["worker-00"].runs
            await harness.wait_until(lambda: bool(held), 5)
            worker.change_capacity(HALF)
            leader.apply_entry(worker.entry, harness.clock.now(), 0)
            harness.store.latency_factor = 1
            await asyncio.sleep(5.0)
            assert not harness.cluster.runs
            assert harness.status(job) is JobStatus.RUNNING
            worker.change_capacity(FULL)
            await harness.wait_status(job, JobStatus.COMPLETED, 5)

        run_scenario(scenario, workers=1, guards_capacity=False)

    def test_worker_is_used_again_soon_after_it_has_grown(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            worker = harness.cluster.workers["worker-00"]
            worker.change_capacity(HALF)
            await asyncio.sleep(3.0)
            job = make_job(make_step(accelerators=8, seconds=1.0))
            harness.cluster.submit(job)
            await asyncio.sleep(3.0)
            assert not harness.cluster.runs
            worker.change_capacity(FULL)
            worker.announce()
            await harness.wait_until(lambda: len(harness.cluster.runs) == 1, 0.6)

        run_scenario(scenario, workers=1, guards_capacity=False)

    def test_next_leader_adopts_runs_on_a_worker_over_its_capacity(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=2, seconds=6.0))
            await harness.start_job(job, 4, 8)
            worker = harness.cluster.workers["worker-00"]
            worker.change_capacity(HALF)
            await asyncio.sleep(2.0)
            waiting = make_job(make_step(count=4, accelerators=2, seconds=1.0))
            harness.cluster.submit(waiting)
            await harness.kill(harness.leader_name)
            await harness.wait_status(waiting, JobStatus.COMPLETED, 15)
            assert harness.status(job) is JobStatus.COMPLETED
            assert len(harness.cluster.runs) == 8

        run_scenario(scenario, workers=1, guards_capacity=False)

    def test_partitioned_worker_is_not_overloaded_after_its_lease_expired(self):
        async def scenario(harness):
            for worker in harness.cluster.workers.values():
                worker.clock_rate = 0.98
            job = make_job(make_step(count=16, accelerators=2, seconds=60.0))
            await harness.start_job(job, 16, 8)
            await asyncio.sleep(1.0)
            cut = (harness.leader_name, "worker-00")
            harness.cluster.cut_links.add(cut)
            await asyncio.sleep(6.0)
            harness.cluster.cut_links.remove(cut)
            await asyncio.sleep(3.0)
            harness.cluster.cancel(job.id)

        run_scenario(scenario, guards_capacity=False)

    def test_nothing_starts_on_capacities_that_are_too_old_during_a_store_outage(self):
        async def scenario(harness):
            job = make_job(make_step(count=8, accelerators=4, seconds=3.0))
            await harness.start_job(job, 2, 8)
            worker = harness.cluster.workers["worker-00"]
            harness.store.is_down = True
            worker.change_capacity(HALF)
            await asyncio.sleep(12.0)
            harness.store.is_down = False
            await harness.wait_status(job, JobStatus.COMPLETED, 30)

        run_scenario(scenario, workers=1, guards_capacity=False)

    def test_next_leader_after_a_store_outage_waits_until_workers_could_announce(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=4, seconds=3.0))
            await harness.start_job(job, 2, 8)
            worker = harness.cluster.workers["worker-00"]
            harness.store.is_down = True
            worker.change_capacity(HALF)
            await harness.kill(harness.leader_name)
            await asyncio.sleep(7.6)
            harness.store.is_down = False
            await harness.wait_status(job, JobStatus.COMPLETED, 30)

        run_scenario(scenario, workers=1, guards_capacity=False)
