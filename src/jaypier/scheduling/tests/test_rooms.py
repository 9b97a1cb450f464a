import attrs
import pytest

from jaypier.jobs.model import Resources, Step
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step
from jaypier.scheduling.rooms import (
    MIN_CONTENDED_SHARE,
    ContendedPools,
    least_used_share,
    remaining_room_seconds,
    room_share,
    total_room_seconds,
    typical_capacities,
)

WORKER = Resources(128000, 524288, 8)


class TestRoomShare:
    def test_scarcest_resource_counts(self):
        assert room_share(Resources(52000, 270000, 1), WORKER) == pytest.approx(270000 / 524288)
        assert room_share(Resources(64000, 1000, 1), WORKER) == pytest.approx(0.5)
        assert room_share(Resources(1000, 1000, 4), WORKER) == pytest.approx(0.5)

    def test_task_of_more_than_a_worker_counts_as_one(self):
        assert room_share(Resources(1000, 600000, 1), WORKER) == 1.0

    def test_workers_without_accelerators(self):
        assert room_share(Resources(1000, 1000, 0), Resources(4000, 8000, 0)) == 0.25


class TestJobs:
    def test_done_tasks_need_no_room(self):
        cluster_state = make_cluster_state()
        step = Step(4, Resources(1000, 1000, 4), 3.0)
        state = cluster_state.add_job(make_job(step))
        state.steps[0].tasks[0].is_done = True
        assert remaining_room_seconds(state, WORKER) == pytest.approx(3 * 3.0 * 0.5)
        assert total_room_seconds(state, WORKER) == pytest.approx(4 * 3.0 * 0.5)


class TestTypicalCapacity:
    def test_most_frequent_capacity_of_each_service(self):
        cluster_state = make_cluster_state(3)
        first = next(iter(cluster_state.workers.values()))
        small = Resources(1000, 1000, 1)
        first.entry = attrs.evolve(first.entry, capacity=small)
        found = typical_capacities(cluster_state.workers.values())
        assert found["desk"] == found[""] == Resources(64000, 131072, 8)
        assert typical_capacities([]) == {}


class TestContendedPools:
    def test_room_of_a_busy_pool_is_contended_while_others_wait(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job(Step(2, Resources(50000, 100000, 7), 5.0)))
        planner.plan(0.0, 0.0)
        workers = list(cluster_state.workers.values())
        assert least_used_share(workers) >= MIN_CONTENDED_SHARE
        pools = ContendedPools()
        assert not pools.contains("desk", workers)
        pools.add("other")
        assert not pools.contains("desk", workers)
        pools.add("desk")
        assert pools.contains("desk", workers)
        assert pools.contains("", workers)

    def test_room_of_a_pool_that_is_half_idle_is_not(self):
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, make_job(make_step(accelerators=8)))
        planner.plan(0.0, 0.0)
        pools = ContendedPools()
        pools.add("desk")
        assert not pools.contains("desk", cluster_state.workers.values())
