from jaypier.jobs.headroom import HEADROOM_HOLD_SECONDS, MAX_HEADROOM_SHARE, Headroom
from jaypier.jobs.model import Resources, Step
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step

WORKERS = 24


def make_workers():
    return list(make_cluster_state(WORKERS).workers.values())


class TestHeadroom:
    def arrive(self, headroom, workers, step, rates, start=0):
        for second, count in enumerate(rates, start):
            for _ in range(count):
                headroom.observe_arrival(step, float(second))
            headroom.update(workers, second + 0.9)

    def test_nothing_is_kept_free_without_urgent_arrivals(self):
        headroom = Headroom()
        headroom.update(make_workers(), 0.0)
        assert not headroom.until

    def test_room_counts_in_the_resource_that_binds(self):
        workers = make_workers()
        by_memory, by_accelerators = Headroom(), Headroom()
        self.arrive(by_memory, workers, Step(4, Resources(1000, 65536, 1), 1.0), [1] * 30)
        self.arrive(by_accelerators, workers, Step(4, Resources(1000, 1000, 1), 1.0), [1] * 30)
        assert len(by_memory.until) == 2
        assert len(by_accelerators.until) == 1

    def test_headroom_is_limited(self):
        headroom = Headroom()
        self.arrive(headroom, make_workers(), make_step(count=20, accelerators=8), [2] * 20)
        assert len(headroom.until) <= MAX_HEADROOM_SHARE * WORKERS

    def test_burst_that_is_over_keeps_no_worker_idle(self):
        headroom, workers = Headroom(), make_workers()
        step = make_step(count=2, accelerators=8)
        self.arrive(headroom, workers, step, [3] * 6)
        assert len(headroom.until) == MAX_HEADROOM_SHARE * WORKERS
        self.arrive(headroom, workers, step, [0] * int(HEADROOM_HOLD_SECONDS), start=6)
        assert len(headroom.until) <= 1

    def test_workers_full_of_urgent_runs_are_not_restricted(self):
        cluster_state = make_cluster_state(WORKERS)
        step = make_step(count=4, accelerators=8, seconds=9.0)
        planner = make_planner(cluster_state, make_job(step, priority=0))
        runs = planner.plan(0.0, 0.0).starts
        headroom = Headroom()
        self.arrive(headroom, list(cluster_state.workers.values()), step, [1] * 3)
        assert headroom.until and not {run.worker.id for run in runs} & headroom.until.keys()
