"""Times scheduling passes in memory: ``python -m standins.pass_benchmark [LOAD ...]``.

Prints for each load the time of the first pass, in which most tasks start, that of the next one, in
which nothing has changed.
Times are those of this machine; nothing depends on them.
"""

import sys
import time
from collections.abc import Callable, Iterable

import attrs

from jaypier.core.address import Address
from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.model import Job, Resources, Step, WorkerEntry
from jaypier.jobs.planning import Planner

LEASE_SECONDS = 6.0
WORKERS_PER_RACK = 12
CAPACITY = Resources(64000, 131072, 8)
SMALL_TASK = Resources(1000, 1000, 0)
GPU_TASK = Resources(1000, 1000, 1)
"""A task that takes an eighth of a worker."""


@attrs.frozen
class BenchmarkLoad:
    """Jobs that wait and the workers that they wait for.

    :param workers: number of workers.
    :param jobs: returns the jobs.
    :param running: returns jobs that have been started before.
    """

    workers: int
    jobs: Callable[[], Iterable[Job]]
    running: Callable[[], Iterable[Job]] = tuple


def make_job(number: int, *steps: Step, **values) -> Job:
    """Return a job of a small deployment."""
    fixed = {
        "id": f"{number:016x}",
        "queue": "example/desk/",
        "service": "desk",
        "team": "team-a",
        "priority": 1,
        "max_attempts": 3,
        "slack_factor": 3.0,
        "target_seconds": 1.0,
        "submitted_at": 0.0,
        "payload": "work",
    }
    return Job(**{**fixed, **values}, steps=steps)


def make_pipeline(number: int, steps: int, repeats: int = 0) -> Job:
    """Return a job of many short steps, and a last one after all of them."""
    short = Step(1, SMALL_TASK, 0.2)
    last = Step(1, SMALL_TASK, 90.0, after=tuple(range(steps)))
    return make_job(number, *[short] * steps, last, repeats=repeats, interval_seconds=0.3)


def make_single_jobs(count: int) -> list[Job]:
    """Return jobs of one task each."""
    return [make_job(number, Step(1, GPU_TASK, 2.0)) for number in range(count)]


def make_urgent_load(count: int) -> list[Job]:
    """Return urgent jobs, and others that wait as well."""
    urgent = [make_job(number, Step(4, GPU_TASK, 2.0), priority=0) for number in range(count)]
    return urgent + [make_job(10**6 + number, Step(1, GPU_TASK, 2.0)) for number in range(2000)]


LOADS = {
    "1 job, 160 steps, 30 times": BenchmarkLoad(24, lambda: [make_pipeline(1, 160, 30)]),
    "1 job, 680 steps, 16 times": BenchmarkLoad(24, lambda: [make_pipeline(1, 680, 16)]),
    "1 job, 1,000 steps": BenchmarkLoad(24, lambda: [make_pipeline(1, 1000)]),
    "1 job, 40 steps, 30 times": BenchmarkLoad(24, lambda: [make_pipeline(1, 40, 30)]),
    "40 jobs of 100 steps": BenchmarkLoad(24, lambda: [make_pipeline(n, 100) for n in range(40)]),
    "400 jobs of 10 steps, 270 workers": BenchmarkLoad(
        270, lambda: [make_pipeline(n, 10) for n in range(400)]
    ),
    "500 jobs of 1 task, 60 workers": BenchmarkLoad(60, lambda: make_single_jobs(500)),
    "500 jobs of 1 task, 270 workers": BenchmarkLoad(270, lambda: make_single_jobs(500)),
    "500 jobs of 1 task, 1,000 workers": BenchmarkLoad(1000, lambda: make_single_jobs(500)),
    "200 jobs of 1 task, 6,400 workers": BenchmarkLoad(6400, lambda: make_single_jobs(200)),
    "40 urgent and 2,000 jobs, 270 busy workers": BenchmarkLoad(
        270,
        lambda: make_urgent_load(40),
        lambda: [make_job(10**7, Step(270 * 8, GPU_TASK, 60.0), priority=2)],
    ),
    "1 step of 20,000 tasks, 270 workers": BenchmarkLoad(
        270, lambda: [make_job(1, Step(20_000, SMALL_TASK, 2.0))]
    ),
    "8,000 jobs that wait, 24 busy workers": BenchmarkLoad(
        24,
        lambda: make_single_jobs(8000),
        lambda: [make_job(10**7, Step(24 * 8, GPU_TASK, 60.0), priority=2)],
    ),
}


def make_planner(load: BenchmarkLoad) -> Planner:
    """Return a planner with the workers and jobs of a load."""
    cluster_state = ClusterState(1, LEASE_SECONDS)
    for number in range(load.workers):
        rack = f"rack-{number // WORKERS_PER_RACK}"
        entry = WorkerEntry(
            id=f"worker-{number:04}",
            service="desk",
            address=Address("127.0.0.1", 1),
            data_centre=f"dc-{number % 4}",
            rack=rack,
            labels=frozenset({rack}),
            capacity=CAPACITY,
            is_ready=True,
            born=1,
            clock=0,
        )
        cluster_state.register_worker(entry, 0.0).is_reconciled = True
    planner = Planner(cluster_state)
    planner.guarantees = {"team-a": 16}
    for job in load.running():
        planner.observe_job(cluster_state.add_job(job), 0.0)
    planner.plan(0.0, 1000.0)
    for job in load.jobs():
        planner.observe_job(cluster_state.add_job(job), 0.0)
    cluster_state.open_due_occurrences(1000.0)
    return planner


def main(names: list[str]) -> None:
    """Time the passes of some loads, all without names."""
    for name, load in LOADS.items():
        if names and not any(each in name for each in names):
            continue
        planner = make_planner(load)
        times = []
        for now in (1.0, 2.0):
            began = time.perf_counter()
            plan = planner.plan(now, 1000.0 + now)
            times.append(time.perf_counter() - began)
            times.append(len(plan.starts))
        print(f"{name:44} {times[0]:8.3f} s, {times[1]:5} starts; next {times[2]:8.3f} s")


if __name__ == "__main__":
    main(sys.argv[1:])
