from operator import attrgetter

from jaypier.jobs.model import Resources, Step
from jaypier.jobs.placement import assign_tasks, place_gang, slots_by_fit
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step
from jaypier.scheduling.packing import Packing

CAPACITY = Resources(64000, 131072, 8)
FREE = attrgetter("free")
LARGE = Resources(26000, 68000, 1)
SMALL = Resources(5600, 15000, 1)


def make_workers(count: int, speeds: tuple[float, ...] = (1.0,)):
    workers = list(make_cluster_state(count).workers.values())
    for number, worker in enumerate(workers):
        worker.speed = speeds[number % len(speeds)]
    return workers


def make_gang(count: int, accelerators: int = 8, **options) -> Step:
    return make_step(count=count, accelerators=accelerators, is_gang=True, **options)


def make_packing() -> Packing:
    packing = Packing()
    packing.observe([Step(13, LARGE, 1.0), Step(39, SMALL, 1.0)])
    packing.refresh([CAPACITY], 0.0)
    return packing


class TestPacking:
    def test_small_tasks_go_where_no_large_one_fits(self):
        room_for_large, full_memory = make_workers(2)
        room_for_large.free = Resources(60000, 70000, 1)
        full_memory.free = Resources(60000, 60000, 7)
        step = Step(3, SMALL, 1.0)
        ranked = slots_by_fit(step, [room_for_large, full_memory], FREE)
        by_accelerators = assign_tasks(step, ranked, FREE, 3)
        by_room = assign_tasks(step, ranked, FREE, 3, make_packing())
        assert by_accelerators[0] is room_for_large
        assert by_room == [full_memory] * 3

    def test_order_is_by_accelerators_where_only_these_bind(self):
        packing = Packing()
        packing.observe([make_step(count=4, accelerators=1), make_step(accelerators=8)])
        packing.refresh([CAPACITY], 0.0)
        workers = make_workers(2)
        workers[1].free = Resources(30000, 60000, 3)
        step = make_step(count=4)
        ranked = slots_by_fit(step, workers, FREE)
        assert assign_tasks(step, ranked, FREE, 4, packing) == assign_tasks(step, ranked, FREE, 4)

    def test_rack_local_gang_takes_the_rack_that_loses_the_least_room(self):
        workers = make_workers(12)
        racks = sorted({worker.entry.rack for worker in workers})
        for worker in workers:
            if worker.entry.rack == racks[1]:
                worker.free = Resources(60000, 60000, 8)
        gang = Step(4, SMALL, 1.0, is_gang=True, is_rack_local=True)
        chosen = place_gang(gang, workers, FREE, workers, make_packing())
        assert {worker.entry.rack for worker in chosen} == {racks[1]}


class TestSpeeds:
    def test_gang_uses_workers_of_like_speed(self):
        workers = make_workers(6, (0.8, 1.0, 1.25))
        chosen = place_gang(make_gang(2), workers, FREE, workers)
        assert len({worker.speed for worker in chosen}) == 1

    def test_gang_that_can_wait_leaves_fast_workers_free(self):
        workers = make_workers(6, (0.8, 1.0, 1.25))
        chosen = place_gang(make_gang(2), workers, FREE, workers)
        assert {worker.speed for worker in chosen} == {0.8}

    def test_pressing_gang_uses_fast_workers(self):
        workers = make_workers(6, (0.8, 1.0, 1.25))
        chosen = place_gang(make_gang(2), workers, FREE, workers, is_pressing=True)
        assert {worker.speed for worker in chosen} == {1.25}

    def test_gang_mixes_speeds_rather_than_wait(self):
        workers = make_workers(6, (0.8, 1.0, 1.25))
        assert len(place_gang(make_gang(6), workers, FREE, workers)) == 6

    def test_gang_spread_over_racks_uses_the_fastest_workers_that_suffice(self):
        workers = make_workers(24, (0.8, 1.25))
        gang = make_gang(10, is_rack_local=True)
        chosen = place_gang(gang, workers, FREE, workers)
        assert [worker.speed for worker in chosen] == [1.25] * 10

    def test_independent_task_leaves_fast_workers_free(self):
        workers = make_workers(3, (1.25, 0.8, 1.0))
        speeds = [slots.worker.speed for slots in slots_by_fit(make_step(), workers, FREE)]
        assert speeds == [0.8, 1.0, 1.25]
        pressing = slots_by_fit(make_step(), workers, FREE, is_pressing=True)
        assert [slots.worker.speed for slots in pressing] == [1.25, 1.0, 0.8]

    def test_nothing_changes_at_equal_speeds(self):
        workers = make_workers(6)
        chosen = place_gang(make_gang(3), workers, FREE, workers)
        assert chosen == place_gang(make_gang(3), workers, FREE, workers, is_pressing=True)

    def test_work_that_would_be_late_on_slow_workers_is_pressing(self):
        cluster_state = make_cluster_state(1)
        job = make_job(make_step(count=20, accelerators=8, seconds=4.0))
        planner = make_planner(cluster_state, job)
        (state,) = cluster_state.jobs.values()
        (step,) = state.steps
        last_start = job.objective_seconds - state.remaining_critical_path_seconds()
        assert not planner.is_pressing(step, 0.0)
        assert planner.is_pressing(step, last_start - 0.1)
        assert not planner.is_pressing(step, last_start + 0.1)
