import asyncio
import itertools
import math

import attrs
import pytest
import structlog

from jaypier.core.codec import to_plain
from jaypier.jobs.contained_planning import SET_ASIDE_SECONDS
from jaypier.jobs.election import LEADER_KEY
from jaypier.jobs.leader import START_TIMEOUT_SECONDS
from jaypier.jobs.learned import LEARNED_KEY
from jaypier.jobs.model import JobStatus, Resources, StartRequest, StartResponse, TaskId
from jaypier.jobs.progress import JobProgress, StepProgress
from jaypier.jobs.rows import JobTable, job_key
from jaypier.jobs.starts import INITIAL_START_RETRY_SECONDS
from jaypier.jobs.tests.builders import make_job, make_step, run_scenario
from jaypier.jobs.witnesses import REPORT_MAX_AGE_SECONDS
from jaypier.jobs.worker_interface import WorkerUnreachable
from jaypier.platform import Put, Transaction
from jaypier.scheduling.overload import OverloadSettings, decode_summary

ODD_VALUES = [int(400 * "9"), 10**30, 1e300, math.inf, math.nan, -1, "x\ny", None, [[[7]]]]


def paths_of(value, path: tuple = ()):
    """Return the path of each value within plain JSON values."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, each in items:
        if key != "id":
            yield (*path, key)
        if isinstance(each, dict | list | tuple):
            yield from paths_of(each, (*path, key))


def replaced_at(value, path: tuple, odd):
    """Return plain JSON values with another value at a path."""
    if not path:
        return odd
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replaced_at(copy[path[0]], path[1:], odd)
    return copy


def count_runs(harness, job) -> int:
    return sum(task.job_id == job.id for task, _, _ in harness.cluster.runs)


class TestNormalOperation:
    def test_job_is_accepted_run_and_recorded(self):
        async def scenario(harness):
            job = make_job(make_step(count=3, seconds=2.0), make_step(seconds=1.0, after=(0,)))
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.RUNNING, 0.2)
            await harness.wait_status(job, JobStatus.COMPLETED, 3.5)

        run_scenario(scenario)

    def test_gang_runs_each_task_once(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, is_gang=True))
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            assert len(harness.cluster.runs) == 4

        run_scenario(scenario)

    def test_ended_runs_are_acknowledged_once_they_are_durable(self):
        async def scenario(harness):
            job = make_job()
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            await harness.wait_until(lambda: 1 in harness.cluster.acknowledged_ends.values(), 0.2)

        run_scenario(scenario)

    def test_cancelled_job_stops(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, seconds=60.0))
            await harness.start_job(job, 4, 8)
            harness.cluster.cancel(job.id)
            await harness.wait_status(job, JobStatus.CANCELLED, 1)
            await harness.wait_until(
                lambda: all(run.ended_at is not None for run in harness.cluster.runs.values()), 1
            )

        run_scenario(scenario)


class TestLeaderFailover:
    def test_runs_survive_failover(self):
        async def scenario(harness):
            job = make_job(make_step(count=8, seconds=5.0), make_step(seconds=1.0, after=(0,)))
            await harness.start_job(job, 8, 8)
            await harness.kill(harness.leader_name)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            assert len(harness.cluster.runs) == 9

        run_scenario(scenario)

    def test_next_leader_waits_for_runs_on_an_unreachable_worker(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=5.5))
            await harness.start_job(job, 4, 8)
            first = harness.leader_name
            other = "vm-b" if first == "vm-a" else "vm-a"
            harness.cluster.cut_links.add((other, "worker-00"))
            await harness.kill(first)
            await harness.wait_status(job, JobStatus.COMPLETED, 40)

        run_scenario(scenario)

    def test_next_leader_finds_workers_whose_entries_have_expired(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=9.0))
            await harness.start_job(job, 4, 8)
            await asyncio.sleep(1.5)
            hidden = harness.cluster.workers["worker-02"]
            harness.cluster.unregister(hidden)
            await asyncio.sleep(0.5)
            await harness.kill(harness.leader_name)
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(0.5)
            harness.cluster.register(hidden)
            await harness.wait_status(job, JobStatus.COMPLETED, 40)
            assert len(harness.cluster.runs) == 4

        run_scenario(scenario)

    def test_next_leader_finds_a_draining_worker_whose_entry_has_expired(self):
        """Its drain may be withdrawn: it returns with the task that it has completed."""

        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=4.0))
            await harness.start_job(job, 4, 8)
            hidden = harness.cluster.workers["worker-02"]
            await asyncio.sleep(2.5)
            harness.cluster.begin_draining(hidden)
            await asyncio.sleep(1.0)
            harness.cluster.unregister(hidden)
            await harness.kill(harness.leader_name)
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(0.5)
            harness.cluster.end_draining(hidden)
            await harness.wait_status(job, JobStatus.COMPLETED, 40)

        run_scenario(scenario)

    def test_leader_without_the_store_is_replaced(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=9.0))
            await harness.start_job(job, 4, 8)
            first = harness.leader_name
            harness.store.unreachable_vms.add(first)
            await harness.wait_until(lambda: len(harness.leaders) == 2, 5)
            await harness.wait_until(lambda: list(harness.leaders) != [first], 5)
            await harness.wait_status(job, JobStatus.COMPLETED, 20)
            assert len(harness.cluster.runs) == 4

        run_scenario(scenario)


class TestStoreFaults:
    def test_runs_survive_a_store_outage(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, seconds=9.0))
            await harness.start_job(job, 4, 8)
            harness.store.is_down = True
            await asyncio.sleep(8.0)
            harness.store.is_down = False
            await harness.wait_status(job, JobStatus.COMPLETED, 5)
            assert len(harness.cluster.runs) == 4

        run_scenario(scenario)

    def test_jobs_complete_despite_lost_and_late_writes(self):
        async def scenario(harness):
            harness.store.lost_response_probability, harness.store.max_commit_delay_seconds = (
                0.4,
                6.0,
            )
            jobs = [make_job(make_step(count=4, seconds=1.0)) for _ in range(6)]
            for job in jobs:
                harness.cluster.submit(job)
                await asyncio.sleep(0.7)
            harness.store.lost_response_probability = 0.0
            for job in jobs:
                await harness.wait_status(job, JobStatus.COMPLETED, 30)

        run_scenario(scenario)

    def test_jobs_are_reloaded_after_history_is_compacted(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            job = make_job()
            harness.cluster.submit(job)
            harness.store.compact()
            await harness.wait_status(job, JobStatus.COMPLETED, 8)

        run_scenario(scenario)


class TestNotifications:
    """Rows of which daemons tell the leader while the store's watch is silent."""

    def test_job_starts_and_stops_while_the_watch_is_silent(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            leader = harness.leaders[harness.leader_name]
            harness.store.is_silent = True
            jobs = JobTable(harness.store, leader.apply_notified_row)
            job = make_job(make_step(count=2, seconds=60.0))
            assert await jobs.accept(job)
            await harness.wait_until(lambda: len(harness.cluster.runs) == 2, 0.3)
            await jobs.cancel(job.id)
            await harness.wait_until(
                lambda: all(run.ended_at is not None for run in harness.cluster.runs.values()), 1
            )
            harness.store.is_silent = False
            await asyncio.sleep(3.0)
            assert len(harness.cluster.runs) == 2

        run_scenario(scenario)

    def test_row_that_the_watch_has_covered_is_ignored(self):
        async def scenario(harness):
            job = make_job()
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            leader = harness.leaders[harness.leader_name]
            leader.cluster_state.remove_job(job.id)
            leader.apply_notified_row(harness.store.rows[f"jobs/{job.id}"])
            await asyncio.sleep(1.0)
            assert len(harness.cluster.runs) == 1

        run_scenario(scenario)

    def test_notification_before_the_state_is_loaded_is_ignored(self):
        async def scenario(harness):
            job = make_job(make_step(seconds=5.0))
            await harness.start_job(job, 1, 8)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            harness.store.latency_factor = 100
            await harness.kill(harness.leader_name)
            await harness.wait_until(lambda: harness.leader_name is not None, 10)
            leader = harness.leaders[harness.leader_name]
            assert not leader.is_loaded
            leader.apply_notified_row(harness.store.rows[f"jobs/{job.id}"])
            harness.store.latency_factor = 1
            await asyncio.sleep(5.0)
            assert len(harness.cluster.runs) == 1

        run_scenario(scenario)


class TestOrphanedRuns:
    @pytest.mark.parametrize("worker_id", ["worker-00", "worker-03"])
    def test_run_that_was_reported_before_its_job_was_read_is_not_started_again(self, worker_id):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            leader = harness.leaders[harness.leader_name]
            harness.store.is_silent = True
            job = make_job(make_step(seconds=3.0))
            harness.cluster.submit(job)
            worker = harness.cluster.workers[worker_id]
            deadline = worker.clock + 6000
            request = StartRequest(TaskId(job.id, 0, 0, 0), 1, job.payload, "", deadline)
            assert worker.start(leader.epoch, request) is StartResponse.STARTED
            await leader.sessions[worker_id].renew_lease()
            assert job.id in leader.cluster_state.orphans
            leader.apply_notified_row(harness.store.rows[f"jobs/{job.id}"])
            await asyncio.sleep(2.0)
            assert len(harness.cluster.runs) == 1
            harness.store.is_silent = False
            await harness.wait_status(job, JobStatus.COMPLETED, 10)
            assert len(harness.cluster.runs) == 1

        run_scenario(scenario)

    # Guards against TWICE: the end was acknowledged 1.5 s later, and the job then started again.
    @pytest.mark.parametrize("seconds", [0.5, 60.0], ids=["ended", "active"])
    def test_run_of_a_job_that_is_read_late_is_not_started_again(self, seconds):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            leader = harness.leaders[harness.leader_name]
            # Busy workers are polled all the time.
            busy = make_job(make_step(count=4, accelerators=5, seconds=60.0))
            await harness.start_job(busy, 4, 5)
            harness.store.is_silent = True
            job = make_job(make_step(seconds=seconds))
            harness.cluster.submit(job)
            worker = harness.cluster.workers["worker-00"]
            request = StartRequest(TaskId(job.id, 0, 0, 0), 1, job.payload, "", worker.clock + 6000)
            assert worker.start(leader.epoch, request) is StartResponse.STARTED
            await asyncio.sleep(0.6)
            await leader.sessions["worker-00"].renew_lease()
            await asyncio.sleep(4.0)
            harness.store.is_silent = False
            await harness.wait_status(job, JobStatus.COMPLETED, 70)
            assert len(harness.cluster.runs) == 5

        run_scenario(scenario)


class TestUnexpectedErrors:
    """An error that concerns one row, worker or request does not end the leadership."""

    def test_unreadable_rows_are_left_out(self):
        async def scenario(harness):
            for key in ("jobs/00000000000000ff", "progress/00000000000000ff", "workers/worker-99"):
                harness.store.apply(Transaction(puts=[Put(key, {"id": 7})]))
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            first = make_job()
            harness.cluster.submit(first)
            await harness.wait_status(first, JobStatus.COMPLETED, 8)
            harness.store.apply(Transaction(puts=[Put("jobs/00000000000000fe", [None])]))
            second = make_job()
            harness.cluster.submit(second)
            await harness.wait_status(second, JobStatus.COMPLETED, 8)

        run_scenario(scenario)

    @pytest.mark.parametrize(
        "key, value",
        [
            ("jobs/00000000000000fd", {"refused_at": "yesterday"}),
            ("jobs/00000000000000fd", {"refused_at": []}),
            ("jobs/00000000000000fd-cancel", None),
            ("jobs/00000000000000fd", math.inf),
            ("progress/00000000000000fd", [None]),
            ("workers/worker-99", "lost"),
            ("workers/worker-99", {"tasks": 7}),
            (LEARNED_KEY, [7]),
        ],
    )
    def test_row_of_another_writer_ends_no_leadership(self, key, value):
        # Regression (LOST): one row that could not be decoded ended every leadership.
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            harness.store.apply(Transaction(puts=[Put(key, value)]))
            first, second = make_job(), make_job()
            harness.cluster.submit(first)
            await harness.wait_status(first, JobStatus.COMPLETED, 8)
            assert harness.leaders[harness.leader_name] is leader
            await harness.kill(harness.leader_name)
            harness.cluster.submit(second)
            await harness.wait_status(second, JobStatus.COMPLETED, 8)

        run_scenario(scenario)

    @pytest.mark.parametrize("odd", ODD_VALUES)
    def test_odd_value_of_any_field_of_a_row_stops_no_other_job(self, odd):
        # Regression (LOST): a job row with 10**30 tasks kept each leader busy for ever.
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            puts = []

            def put_variants(table: str, value: dict) -> None:
                for path in list(paths_of(value)):
                    name = f"odd{len(puts):013x}"
                    changed = replaced_at(
                        value | ({"id": name} if "id" in value else {}), path, odd
                    )
                    puts.append(Put(f"{table}/{name}", changed))

            step = make_step(count=2, seconds=1.0, is_gang=True)
            put_variants("jobs", to_plain(make_job(step)))
            put_variants("jobs", to_plain(attrs.evolve(make_job(step), repeats=2)))
            progress = JobProgress("q", "t", JobStatus.RUNNING, 3, [StepProgress(done="1")])
            count = len(puts)
            put_variants("progress", to_plain(progress))
            ids = [put.key.partition("/")[2] for put in puts[count:]]
            puts += [Put(job_key(job_id), to_plain(make_job(step, id=job_id))) for job_id in ids]
            for start in range(0, len(puts), 50):
                harness.store.apply_from_operator(Transaction(puts=puts[start : start + 50]))
            first, second = make_job(), make_job()
            harness.cluster.submit(first)
            await harness.wait_status(first, JobStatus.COMPLETED, 30)
            assert harness.leaders[harness.leader_name] is leader
            await harness.kill(harness.leader_name)
            harness.cluster.submit(second)
            await harness.wait_status(second, JobStatus.COMPLETED, 60)
            assert len(harness.leaders) == 1

        # Tracebacks of hundreds of rows take long to render.
        with structlog.testing.capture_logs():
            run_scenario(scenario)

    @pytest.mark.parametrize(
        "value",
        [
            7,
            [],
            {"owner": "vm-x/1", "epoch": "many"},
            {"owner": "vm-x/1", "epoch": int(400 * "9")},
            {"owner": "vm-x/1", "epoch": 1, "renewed_at": math.inf},
        ],
    )
    def test_odd_leader_row_moves_the_leadership_once_and_no_task_starts_twice(self, value):
        # Regression (LOST): nobody led any more once the leader's row could not be decoded.
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=6.0))
            await harness.start_job(job, 4, 8)
            first = harness.leaders[harness.leader_name]
            harness.store.apply(Transaction(puts=[Put(LEADER_KEY, value)]))
            await asyncio.sleep(5.0)
            second = harness.leaders[harness.leader_name]
            assert second.epoch > first.epoch
            await harness.wait_status(job, JobStatus.COMPLETED, 10)
            assert harness.leaders[harness.leader_name] is second
            assert len(harness.cluster.runs) == 4

        run_scenario(scenario)

    def test_entry_that_cannot_be_applied_leaves_out_that_worker_alone(self):
        # Regression (LOST): an unexpected error about one worker's entry ended every leadership.
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            odd = attrs.evolve(harness.cluster.workers["worker-00"].entry, id="odd", capacity=None)
            harness.cluster.announced_entries["odd"] = odd
            harness.store.apply(Transaction(puts=[Put("servers/odd", {})]))
            first, second = make_job(), make_job()
            await asyncio.sleep(1.0)
            harness.cluster.submit(first)
            await harness.wait_status(first, JobStatus.COMPLETED, 8)
            assert harness.leaders[harness.leader_name] is leader
            assert leader.metrics.counters["leader.rows_left_out"] > 0
            await harness.kill(harness.leader_name)
            harness.cluster.submit(second)
            await harness.wait_status(second, JobStatus.COMPLETED, 8)

        run_scenario(scenario)

    def test_job_that_cannot_be_applied_is_left_alone_beside_others(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            odd, job = make_job(), make_job()
            expect = leader.cluster_state.durations.expect

            def fail_for_odd(steps):
                if steps[0].job.spec.id == odd.id:
                    raise OverflowError("odd job")
                expect(steps)

            leader.cluster_state.durations.expect = fail_for_odd
            harness.cluster.submit(odd)
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            assert harness.leaders[harness.leader_name] is leader
            assert count_runs(harness, odd) == 0
            assert leader.metrics.counters["leader.rows_left_out"] == 1
            await harness.kill(harness.leader_name)
            await harness.wait_status(odd, JobStatus.COMPLETED, 8)

        run_scenario(scenario)

    def test_job_with_unreadable_progress_is_left_alone_beside_others(self):
        async def scenario(harness):
            job, other = make_job(), make_job(make_step(seconds=6.0))
            harness.cluster.submit(other)
            await harness.start_job(job, 2, 8)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            harness.store.apply(Transaction(puts=[Put(f"progress/{job.id}", {"status": 7})]))
            await harness.kill(harness.leader_name)
            await harness.wait_status(other, JobStatus.COMPLETED, 10)
            await asyncio.sleep(5.0)
            assert len(harness.cluster.runs) == 2

        run_scenario(scenario)

    @pytest.mark.parametrize("operation", ["renew", "start", "stop"])
    def test_error_of_one_worker_s_link_does_not_stop_the_others(self, operation):
        async def scenario(harness):
            find_link = harness.cluster.link

            def link(name, entry):
                link = find_link(name, entry)
                if entry.id == "worker-00":

                    async def fail(*arguments):
                        raise RuntimeError("unexpected")

                    setattr(link, operation, fail)
                return link

            harness.cluster.link = link
            jobs = [make_job(make_step(count=4, accelerators=8)) for _ in range(3)]
            for job in jobs:
                harness.cluster.submit(job)
            for job in jobs:
                await harness.wait_status(job, JobStatus.COMPLETED, 60)
            assert len(harness.leaders) == 1
            assert next(iter(harness.leaders.values())).epoch == 1

        run_scenario(scenario)


class TestErrorsOfSchedulingPasses:
    """An error that one job brings about in a pass keeps neither the leadership nor other jobs."""

    def break_score(self, harness, job):
        """Make the score of a job raise; return a function that mends it."""
        leader = harness.leaders[harness.leader_name]
        score = leader.planner.valuation.score

        def fail_for_job(state, wall_time):
            if state.spec.id == job.id:
                raise ZeroDivisionError("unexpected")
            return score(state, wall_time)

        leader.planner.valuation.score = fail_for_job
        return lambda: setattr(leader.planner.valuation, "score", score)

    def test_job_that_cannot_be_ranked_is_set_aside(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            job, others = make_job(make_step(seconds=0.5)), [make_job() for _ in range(3)]
            mend = self.break_score(harness, job)
            for each in (job, *others):
                harness.cluster.submit(each)
            for each in others:
                await harness.wait_status(each, JobStatus.COMPLETED, 4)
            assert list(harness.leaders.values()) == [leader]
            assert 1 <= leader.metrics.counters["leader.plan_failures"] <= 2
            mend()
            await harness.wait_status(job, JobStatus.COMPLETED, SET_ASIDE_SECONDS + 2)

        run_scenario(scenario)

    @pytest.mark.parametrize("is_gang", [False, True])
    def test_job_that_cannot_be_placed_holds_no_capacity(self, is_gang):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            step = make_step(count=3, accelerators=8, seconds=1.0, is_gang=is_gang)
            job, other = make_job(step), make_job(make_step(count=4, accelerators=8))
            assign_task = leader.cluster_state.assign_task

            def fail_on_third_task(step, task, *arguments):
                if task.id.job_id == job.id and task.id.index == 2:
                    raise KeyError("unexpected")
                return assign_task(step, task, *arguments)

            leader.cluster_state.assign_task = fail_on_third_task
            harness.cluster.submit(job)
            await asyncio.sleep(0.5)
            harness.cluster.submit(other)
            await harness.wait_status(other, JobStatus.COMPLETED, 4)
            assert list(harness.leaders.values()) == [leader]
            assert count_runs(harness, job) == 0
            leader.cluster_state.assign_task = assign_task
            await harness.wait_status(job, JobStatus.COMPLETED, SET_ASIDE_SECONDS + 4)

        run_scenario(scenario)

    def test_pass_goes_on_for_other_jobs(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            job, other = make_job(), make_job()
            self.break_score(harness, job)
            harness.cluster.submit(job)
            harness.cluster.submit(other)
            await harness.wait_until(lambda: count_runs(harness, other) == 1, 0.1)

        run_scenario(scenario)

    @pytest.mark.parametrize("name", ["usable_workers", "ranking"])
    def test_error_of_no_known_job_ends_one_pass_only(self, name):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            work = getattr(leader.planner, name)

            def fail(*arguments):
                raise RuntimeError("unexpected")

            setattr(leader.planner, name, fail)
            job = make_job()
            harness.cluster.submit(job)
            await asyncio.sleep(2.0)
            assert list(harness.leaders.values()) == [leader]
            assert leader.metrics.counters["leader.plan_failures"] > 0
            setattr(leader.planner, name, work)
            await harness.wait_status(job, JobStatus.COMPLETED, 4)

        run_scenario(scenario)

    def test_job_that_cannot_be_valued_does_not_end_the_leadership(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            job, other = make_job(), make_job()
            observe = leader.planner.valuation.observe

            def fail_for_job(state):
                if state.spec.id == job.id:
                    raise ZeroDivisionError("unexpected")
                observe(state)

            leader.planner.valuation.observe = fail_for_job
            harness.cluster.submit(job)
            harness.cluster.submit(other)
            for each in (job, other):
                await harness.wait_status(each, JobStatus.COMPLETED, 4)
            assert list(harness.leaders.values()) == [leader]

        run_scenario(scenario)


class TestStartRetries:
    def test_refused_connection_is_retried_after_growing_delays(self):
        async def scenario(harness):
            find_link, tried_at = harness.cluster.link, []

            def link(name, entry):
                link = find_link(name, entry)

                async def refuse(*arguments):
                    tried_at.append(harness.clock.now())
                    await asyncio.sleep(0.0005)
                    raise WorkerUnreachable("connection refused")

                link.start = refuse
                return link

            harness.cluster.link = link
            harness.cluster.submit(make_job())
            await harness.wait_until(lambda: bool(tried_at), 5)
            await asyncio.sleep(START_TIMEOUT_SECONDS)
            pairs = itertools.pairwise(tried_at)
            delays = [round(later - earlier, 6) for earlier, later in pairs]
            assert delays[0] <= 2 * INITIAL_START_RETRY_SECONDS
            assert delays == sorted(delays)
            # 0.02, 0.04, ... 0.32 s add up to 0.62 s; 0.4 s each for the rest of 1.5 s.
            assert len(tried_at) <= 9

        run_scenario(scenario, workers=1)

    @pytest.mark.parametrize("was_sent", [False, True])
    def test_run_is_released_without_a_stop_if_no_connection_could_be_established(self, was_sent):
        async def scenario(harness):
            find_link = harness.cluster.link

            def link(name, entry):
                link = find_link(name, entry)

                async def refuse(*arguments):
                    raise WorkerUnreachable("connection refused", was_sent)

                link.start = refuse
                return link

            harness.cluster.link = link
            harness.cluster.submit(make_job())
            await asyncio.sleep(START_TIMEOUT_SECONDS + 2.0)
            (worker,) = harness.cluster.workers.values()
            assert bool(worker.highest_attempts) is was_sent

        run_scenario(scenario, workers=1)

    def test_start_is_not_sent_again_once_a_report_lists_its_run(self):
        async def scenario(harness):
            harness.cluster.lost_start_responses = 1
            await harness.start_job(make_job(make_step(seconds=60.0)), 1, 5)
            leader = harness.leaders[harness.leader_name]
            await asyncio.sleep(START_TIMEOUT_SECONDS)
            (worker,) = leader.cluster_state.workers.values()
            (run,) = worker.runs.values()
            assert run.is_confirmed
            assert leader.metrics.counters["leader.starts_started"] == 0

        run_scenario(scenario, workers=1)

    def test_task_starts_elsewhere_if_the_reports_of_a_worker_tell_nothing(self):
        # As from a process whose clock has jumped back, so that it seems to be older than the last.
        async def scenario(harness):
            await asyncio.sleep(5.0)
            first, second = harness.cluster.workers.values()
            harness.cluster.begin_draining(second)
            await asyncio.sleep(1.0)
            first.entry = attrs.evolve(first.entry, born=0)
            harness.cluster.end_draining(second)
            harness.cluster.submit(make_job(make_step(seconds=60.0)))
            await harness.wait_until(lambda: bool(second.active), START_TIMEOUT_SECONDS + 1.0)

        run_scenario(scenario, workers=2)

    def test_start_is_not_sent_to_an_idle_worker_that_no_longer_reports(self):
        # Its pooled connections may look sound: the start would have no response, or a late one.
        async def scenario(harness):
            await asyncio.sleep(5.0)
            first, second = harness.cluster.workers.values()
            harness.cluster.begin_draining(second)
            await asyncio.sleep(1.0)
            first.crash()
            harness.cluster.end_draining(second)
            job = make_job(make_step(seconds=60.0))
            leader = harness.leaders[harness.leader_name]
            harness.cluster.submit(job)
            await harness.wait_until(lambda: len(harness.cluster.runs) == 1, 2.0)
            assert not leader.cluster_state.workers[first.entry.id].unanswered_starts

        run_scenario(scenario, workers=2)


class TestPreemption:
    def test_run_that_is_preempted_before_its_start_is_sent_frees_its_worker_at_once(self):
        async def scenario(harness):
            await harness.start_job(make_job(make_step(seconds=60.0)), 1, 5)
            await asyncio.sleep(3.0)
            leader = harness.leaders[harness.leader_name]
            (worker,) = leader.cluster_state.workers.values()
            free = worker.free
            state = leader.cluster_state.add_job(make_job(make_step(accelerators=4)))
            (step,), now = state.steps, harness.clock.now()
            run = leader.cluster_state.assign_task(step, step.tasks[0], worker, 1, now)
            leader.cluster_state.mark_stopping(run)
            leader.stop_runs([run], "preempted")
            leader.spawn(leader.start_run(run), "start")
            await asyncio.sleep(0.5)
            assert worker.free == free

        run_scenario(scenario, workers=1)


class TestWorkerFaults:
    @pytest.mark.parametrize("is_gang", [True, False])
    def test_work_leaves_a_worker_that_hangs(self, is_gang):
        async def scenario(harness):
            harness.cluster.workers["worker-00"].hangs = True
            step = make_step(count=2, accelerators=8, seconds=2.0, is_gang=is_gang, saves=True)
            jobs = [make_job(step) for _ in range(3)]
            for job in jobs:
                harness.cluster.submit(job)
            for job in jobs:
                await harness.wait_status(job, JobStatus.COMPLETED, 30)

        run_scenario(scenario)

    def test_tasks_of_a_crashed_worker_run_elsewhere(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=4, seconds=4.0))
            await harness.start_job(job, 4, 8)
            worker = next(each for each in harness.cluster.workers.values() if each.active)
            worker.crash()
            harness.cluster.unregister(worker)
            await harness.wait_status(job, JobStatus.COMPLETED, 20)

        run_scenario(scenario)

    def test_gangs_complete_despite_late_answers(self):
        async def scenario(harness):
            for worker in harness.cluster.workers.values():
                worker.late_request_probability = 0.15
            jobs = [
                make_job(make_step(count=8, accelerators=2, is_gang=True, seconds=2.0))
                for _ in range(4)
            ]
            for job in jobs:
                harness.cluster.submit(job)
            for job in jobs:
                await harness.wait_status(job, JobStatus.COMPLETED, 60)

        run_scenario(scenario)


class TestDepartedWorkers:
    def test_next_leader_waits_only_briefly_for_a_departed_worker(self):
        # Regression: after a power loss of all VMs, no run started for 9.5 s, because a worker that
        # had left shortly before was still recorded as ready.
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            departed = harness.cluster.workers["worker-02"]
            await harness.kill(harness.leader_name)
            departed.crash()
            harness.cluster.unregister(departed)
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            job = make_job()
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.RUNNING, 4)

        run_scenario(scenario)

    def test_next_leader_does_not_wait_for_a_draining_worker_that_has_ended(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            departed = harness.cluster.workers["worker-02"]
            departed.entry = attrs.evolve(departed.entry, is_ready=False)
            harness.cluster.register(departed)
            await asyncio.sleep(1.5)
            await harness.kill(harness.leader_name)
            departed.crash()
            harness.cluster.unregister(departed)
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            job = make_job()
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.RUNNING, 0.5)

        run_scenario(scenario)


class TestSilentWorkers:
    """Takeovers beside workers that run on but can no longer be reached."""

    async def cut_off(self, harness, worker) -> None:
        """Cut a worker off from all VMs and from the store, then kill the leader."""
        harness.cluster.cut_links |= {(name, worker.entry.id) for name in ("vm-a", "vm-b")}
        harness.cluster.unregister(worker)
        await harness.kill(harness.leader_name)
        await harness.wait_until(lambda: harness.leader_name is not None, 5)

    @pytest.mark.parametrize("refuses", [False, True], ids=["silent", "refusing"])
    @pytest.mark.parametrize("drains", [False, True], ids=["ready", "draining"])
    def test_task_on_a_deregistered_worker_waits_until_its_lease_has_ended(self, drains, refuses):
        # Regression (TWICE): a refused connection, a drain or a missing entry counted as proof
        # that the worker had ended, and its tasks started again while they were running.
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=20.0))
            await harness.start_job(job, 4, 8)
            await asyncio.sleep(2.0)
            hidden = next(
                worker for worker in harness.cluster.workers.values() if len(worker.active) == 1
            )
            hidden.refuses_when_cut_off = refuses
            if drains:
                harness.cluster.begin_draining(hidden)
                await asyncio.sleep(1.0)
            await self.cut_off(harness, hidden)
            await asyncio.sleep(12.0)
            await harness.wait_until(lambda: len(harness.cluster.runs) == 5, 1)

        run_scenario(scenario, workers=5)

    def test_takeover_does_not_wait_for_a_worker_that_no_leader_has_used(self):
        # Regression: an entry of a worker that does not exist delayed all jobs accepted before.
        async def scenario(harness):
            running = make_job(make_step(count=4, accelerators=8, seconds=20.0))
            await harness.start_job(running, 4, 8)
            await asyncio.sleep(2.0)
            await harness.kill(harness.leader_name)
            harness.cluster.add_worker("worker-99").crash()
            job = make_job()
            harness.cluster.submit(job)
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await harness.wait_until(lambda: count_runs(harness, job) == 1, 1.0)

        run_scenario(scenario, workers=5)

    def test_other_jobs_do_not_wait_for_a_worker_that_was_leaving(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=20.0))
            await harness.start_job(job, 4, 8)
            await asyncio.sleep(2.0)
            leaving = next(
                worker for worker in harness.cluster.workers.values() if len(worker.active) == 1
            )
            harness.cluster.begin_draining(leaving)
            await asyncio.sleep(1.0)
            await harness.kill(harness.leader_name)
            other = make_job(make_step(accelerators=8))
            harness.cluster.submit(other)
            harness.start_daemon("vm-c")
            harness.cluster.cut_links |= {(name, leaving.entry.id) for name in ("vm-b", "vm-c")}
            harness.cluster.cut_links.add(("vm-a", leaving.entry.id))
            harness.cluster.unregister(leaving)
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await harness.wait_status(other, JobStatus.RUNNING, 0.5)
            assert len(harness.cluster.runs) == 5

        run_scenario(scenario, workers=5)

    def test_jobs_accepted_after_a_takeover_do_not_wait_for_a_silent_worker(self):
        async def scenario(harness):
            job = make_job(make_step(count=4, accelerators=8, seconds=20.0))
            await harness.start_job(job, 4, 8)
            await asyncio.sleep(2.0)
            hidden = next(
                worker for worker in harness.cluster.workers.values() if len(worker.active) == 1
            )
            await self.cut_off(harness, hidden)
            other = make_job(make_step(accelerators=8))
            harness.cluster.submit(other)
            await harness.wait_status(other, JobStatus.RUNNING, 0.5)
            await asyncio.sleep(12.0)

        run_scenario(scenario, workers=5)

    def test_leader_that_may_have_been_replaced_does_not_start_a_job_it_has_just_learned_of(self):
        """The next leader does not wait for runs of jobs that were accepted after its election."""

        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            name = harness.leader_name
            leader = harness.leaders[name]
            harness.store.unreachable_vms.add(name)
            await harness.wait_until(
                lambda: harness.clock.now() - leader.writer.confirmed_at > 1.6, 3
            )
            assert leader.has_authority
            job = make_job()
            harness.cluster.submit(job)
            leader.apply_notified_row(harness.store.rows[job_key(job.id)])
            await asyncio.sleep(0.2)
            assert harness.cluster.runs == {}
            await harness.wait_status(job, JobStatus.COMPLETED, 8)

        run_scenario(scenario)

    def test_job_learned_of_without_the_store_starts_once_the_store_confirms_the_leader(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            leader = harness.leaders[harness.leader_name]
            job = make_job()
            harness.store.is_down = True
            await asyncio.sleep(1.6)
            harness.cluster.submit(job)
            leader.apply_notified_row(harness.store.rows[job_key(job.id)])
            await asyncio.sleep(0.1)
            assert harness.cluster.runs == {}
            harness.store.is_down = False
            await harness.wait_until(lambda: len(harness.cluster.runs) == 1, 0.5)
            await harness.wait_status(job, JobStatus.COMPLETED, 5)

        run_scenario(scenario)

    def test_wait_covers_the_longest_lease_of_the_deployment(self):
        # Regression: the wait was made for leases of 6 s, whatever the deployment's leases were.
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = harness.leaders[harness.leader_name]
            longest = leader.cluster_state.longest_lease_seconds
            assert longest > 10.0
            assert leader.reconcile_timeout_seconds > REPORT_MAX_AGE_SECONDS + longest

        run_scenario(scenario, lease_seconds=10.0)

    def test_worker_with_unknown_runs_is_not_dropped_before_its_lease_has_ended(self):
        # Regression (TWICE): a worker that had reported runs of a job that was not read yet was
        # dropped once its entry had expired, and the job then started elsewhere.
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            await asyncio.sleep(1.0)
            leader = harness.leaders[harness.leader_name]
            worker = harness.cluster.workers["worker-02"]
            job = make_job(make_step(seconds=20.0))
            harness.store.is_silent = True
            harness.cluster.submit(job)
            request = StartRequest(TaskId(job.id, 0, 0, 0), 1, job.payload, "", worker.clock + 6000)
            assert worker.start(leader.epoch, request) is StartResponse.STARTED
            await leader.sessions["worker-02"].renew_lease()
            harness.cluster.cut_links |= {(name, "worker-02") for name in ("vm-a", "vm-b")}
            leader.cluster_state.deregister_worker("worker-02", harness.clock.now())
            await asyncio.sleep(0.5)
            harness.store.is_silent = False
            await asyncio.sleep(12.0)
            await harness.wait_until(lambda: len(harness.cluster.runs) == 2, 1)

        run_scenario(scenario)


class TestElection:
    def test_daemons_that_start_after_an_outage_do_not_wait_for_the_last_leader(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            for name in ("vm-a", "vm-b"):
                await harness.kill(name)
            await asyncio.sleep(5.0)
            harness.start_daemon("vm-c")
            await harness.wait_until(lambda: harness.leader_name == "vm-c", 0.3)

        run_scenario(scenario)

    def test_leader_that_reads_large_tables_over_a_slow_link_is_not_replaced(self):
        async def scenario(harness):
            harness.store.snapshot_seconds = 1.2
            job = make_job(make_step(seconds=2.0))
            await harness.start_job(job, 1, 10)
            await harness.wait_status(job, JobStatus.COMPLETED, 10)
            assert harness.leaders[harness.leader_name].epoch == 1

        run_scenario(scenario)


class TestWorkerClocks:
    @pytest.mark.parametrize("idle_seconds", [5.0, 100.0])
    @pytest.mark.parametrize("delay_seconds", [6.2, 8.0])
    def test_late_start_on_a_long_idle_worker_with_a_slow_clock(self, idle_seconds, delay_seconds):
        # Regression: the start was carried out after its lease had expired at the leader.
        async def scenario(harness):
            cluster = harness.cluster
            first, second = cluster.workers.values()
            first.clock_rate = second.clock_rate = 0.98
            await asyncio.sleep(idle_seconds)
            second.change_capacity(Resources())
            await asyncio.sleep(2.5)
            cluster.rng.uniform = lambda low, high: delay_seconds
            first.late_request_probability = 1.0
            cluster.submit(make_job(make_step(seconds=20.0)))
            await asyncio.sleep(0.05)
            cluster.cut_links |= {(name, first.entry.id) for name in ("vm-a", "vm-b")}
            second.change_capacity(first.entry.capacity)
            await asyncio.sleep(20.0)
            assert any(run.worker == second.entry.id for run in cluster.runs.values())

        run_scenario(scenario, workers=2)

    def test_task_starts_at_once_on_a_long_idle_worker(self):
        async def scenario(harness):
            await asyncio.sleep(1000.0)
            harness.cluster.submit(make_job(make_step(seconds=20.0)))
            await harness.wait_until(lambda: bool(harness.cluster.runs), 0.2)

        run_scenario(scenario, workers=1)

    def test_busy_worker_is_not_polled_without_pause_by_a_leader_that_may_not_renew(self):
        async def scenario(harness):
            await harness.start_job(make_job(make_step(seconds=60.0)), 1, 5)
            (busy,) = (each for each in harness.cluster.workers.values() if each.active)
            name = harness.leader_name
            harness.store.is_down = True
            harness.cluster.cut_links |= {
                (name, each.entry.id) for each in harness.cluster.workers.values() if each != busy
            }
            leader = harness.leaders[name]
            await harness.wait_until(lambda: not leader.has_authority, 10)
            before = busy.report_count
            await asyncio.sleep(3.0)
            assert busy.report_count - before <= 4
            assert busy.active

        run_scenario(scenario, workers=4)

    def test_idle_worker_is_rarely_polled(self):
        async def scenario(harness):
            await asyncio.sleep(100.0)
            (worker,) = harness.cluster.workers.values()
            before = worker.report_count
            await asyncio.sleep(600.0)
            assert worker.report_count - before <= 10

        run_scenario(scenario, workers=1)


class TestOverload:
    def make_refusing(self, harness):
        """Return the leader after it has begun to summarize overload."""
        leader = harness.leaders[harness.leader_name]
        settings = OverloadSettings(refuses=True, begins_at=10.0)
        leader.settings = attrs.evolve(leader.settings, overload=settings)
        leader.overload.settings = settings
        return leader

    def load(self, harness):
        return decode_summary(harness.store.rows[LEADER_KEY].value.get("load"))

    def test_row_tells_of_an_overload_until_it_is_over(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = self.make_refusing(harness)
            jobs = [make_job(make_step(accelerators=8, seconds=2.0)) for _ in range(12)]
            await asyncio.sleep(2.0)
            assert self.load(harness) is None
            for job in jobs:
                harness.cluster.submit(job)
            await harness.wait_until(lambda: self.load(harness) is not None, 2.0)
            assert leader.metrics.counters["leader.overloads"] == 1
            await harness.wait_until(lambda: self.load(harness) is None, 30.0)
            await harness.wait_status(jobs[-1], JobStatus.COMPLETED, 60.0)

        run_scenario(scenario, workers=1)

    def test_summary_is_gone_after_a_takeover(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            self.make_refusing(harness)
            for _ in range(12):
                harness.cluster.submit(make_job(make_step(accelerators=8, seconds=2.0)))
            await harness.wait_until(lambda: self.load(harness) is not None, 3.0)
            await harness.kill(harness.leader_name)
            await harness.wait_until(lambda: harness.leader_name is not None, 5.0)
            assert self.load(harness) is None

        run_scenario(scenario, workers=1)

    def test_worker_that_is_unreachable_still_counts_by_its_capacity(self):
        """A job that only such a worker can hold is not refused for good."""

        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = self.make_refusing(harness)
            await harness.wait_until(lambda: leader.has_reconciled, 5)
            first, second = harness.cluster.workers.values()
            second.change_capacity(Resources(1000, 1000, 8))
            await asyncio.sleep(2.5)
            harness.cluster.cut_links |= {(name, first.entry.id) for name in ("vm-a", "vm-b")}
            for _ in range(12):
                harness.cluster.submit(make_job(make_step(accelerators=8, seconds=2.0)))
            await harness.wait_until(lambda: self.load(harness) is not None, 5.0)
            capacities = self.load(harness).pools["desk"].capacities
            assert set(capacities) == {(64000, 131072, 8), (1000, 1000, 8)}

        run_scenario(scenario, workers=2)

    def test_error_in_the_summary_does_not_end_the_leadership(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            leader = self.make_refusing(harness)
            leader.overload.summarize = None
            job = make_job()
            harness.cluster.submit(job)
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            assert leader.metrics.counters["leader.task_failures"] > 0
            assert harness.leaders[harness.leader_name] is leader

        run_scenario(scenario)

    def test_refused_job_never_runs_and_its_row_is_deleted(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            job = make_job()
            assert await JobTable(harness.store).refuse(job.id) is None
            await asyncio.sleep(60.0)
            assert job_key(job.id) in harness.store.rows
            await harness.wait_until(lambda: job_key(job.id) not in harness.store.rows, 180.0)
            assert harness.cluster.runs == {}

        run_scenario(scenario)

    def test_rows_of_many_refusals_are_deleted_but_not_those_replaced_by_jobs(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            job, table, rows = make_job(), JobTable(harness.store), harness.store.rows
            ids = [f"{number:016x}" for number in range(1 << 40, (1 << 40) + 500)]
            for job_id in [*ids, job.id]:
                await table.refuse(job_id)
            leader = harness.leaders[harness.leader_name]
            await harness.wait_until(lambda: len(leader.refusals) == 501, 3.0)
            await asyncio.sleep(170.0)
            # The leader does not learn of the job before it deletes the refusals.
            harness.store.is_silent = True
            assert await table.accept(job, harness.store.store_time())
            await harness.wait_until(lambda: not rows.keys() & {job_key(each) for each in ids}, 25)
            harness.store.is_silent = False
            await harness.wait_status(job, JobStatus.COMPLETED, 8)

        run_scenario(scenario)

    def test_job_that_is_accepted_after_a_refusal_runs_once(self):
        async def scenario(harness):
            await harness.wait_until(lambda: harness.leader_name is not None, 5)
            job, table = make_job(), JobTable(harness.store)
            await table.refuse(job.id)
            await asyncio.sleep(1.0)
            assert await table.accept(job, harness.store.store_time())
            await harness.wait_status(job, JobStatus.COMPLETED, 8)
            assert len(harness.cluster.runs) == 1

        run_scenario(scenario)
