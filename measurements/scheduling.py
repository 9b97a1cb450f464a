"""Measures scheduling: completion, fragmentation, departures, and the cost of a decision.

python -m measurements.scheduling [replay] [cost]
"""

import random
import resource
import statistics
import sys
import time
from collections import defaultdict

from jaypier.core.metrics import Metrics
from jaypier.notes.configuration import Configuration, ConfigurationEntry, apply_entry
from jaypier.notes.model import Adjacency, Entities, Job, ReleaseNote, Team
from jaypier.platform import Machine, MachineKind
from jaypier.scheduling.scheduler import DataCentreScheduler
from jaypier.workers.model import TaskReport, TaskState, WorkerReport
from measurements.figures import print_figure
from measurements.replay import (
    BARIDI,
    KILIMANJARO,
    STEP_SECONDS,
    Arrival,
    FirstFitPolicy,
    JaypierPolicy,
    Policy,
    Workload,
    arrivals,
    replay,
)

SEEDS = range(5)
REPLAY_SECONDS = 1800.0
OUT = ("b", 600.0, 1200.0)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def completion_times(policy: Policy, coming: list[Arrival]) -> dict[str, list[float]]:
    """Return the completion times by size class; unfinished jobs count until now."""
    times = defaultdict(list)
    for arrival in coming:
        end = policy.finished.get(arrival.job.name, policy.clock.now())
        times[arrival.job.name.split("-")[0]].append(end - arrival.at)
    return times


def measure_replay(workload: Workload) -> None:
    """Replay a workload under both policies and print the figures."""
    merged: dict[tuple[str, str], list[float]] = defaultdict(list)
    blocks, waits, departures = defaultdict(list), defaultdict(list), defaultdict(list)
    for seed in SEEDS:
        coming = arrivals(workload, REPLAY_SECONDS, seed)
        for name, policy in (("first_fit", FirstFitPolicy()), ("jaypier", JaypierPolicy(workload))):
            replay(policy, coming, REPLAY_SECONDS)
            for size, times in completion_times(policy, coming).items():
                merged[name, size] += times
            busy = [sample for sample in policy.samples if sample.at < REPLAY_SECONDS]
            blocks[name] += [s.largest_block / s.free for s in busy if s.free]
            waits[name].append(sum(sample.waiting_large > 0 for sample in busy))
        for name, policy in (("first_fit", FirstFitPolicy()), ("jaypier", JaypierPolicy(workload))):
            replay(policy, coming, REPLAY_SECONDS, OUT)
            departures[name].append(departure_share(policy))
    for (name, size), times in sorted(merged.items()):
        for share in (0.5, 0.95, 0.99):
            print_figure(
                f"completion.{size}.p{share * 100:g}",
                percentile(times, share),
                "s",
                system=name,
                deployment=workload.name,
                jobs=len(times),
            )
    for name in blocks:
        context = {"system": name, "deployment": workload.name, "seeds": len(SEEDS)}
        print_figure(
            "fragmentation.largest_block", statistics.mean(blocks[name]), "share", **context
        )
        print_figure(
            "fragmentation.large_waits", statistics.mean(waits[name]) * STEP_SECONDS, "s", **context
        )
        print_figure("departure.work", statistics.mean(departures[name]), "share", **context)


def departure_share(policy: Policy) -> float:
    """Return the busy share of the remaining accelerators while a data centre is out.

    Time in which nothing waits does not count: there the work could not be more.
    """
    shares = [
        sample.busy / (sample.busy + sample.free)
        for sample in policy.samples
        if OUT[1] + 5 < sample.at < OUT[2] and sample.busy + sample.free
    ]
    return statistics.mean(shares)


def build_scheduler(workers: int, tasks: int, rng: random.Random) -> DataCentreScheduler:
    """Return a scheduler whose workers run ``tasks`` tasks in all."""
    scheduler = DataCentreScheduler("here", 1, 0.0, 1000.0, Metrics())
    listed = [
        Machine(
            f"w{i}", MachineKind.WORKER, "here", "127.0.0.1:1", rack=f"r{i // 6}", accelerators=8
        )
        for i in range(workers)
    ]
    scheduler.on_machines(listed)
    teams = {f"team-{i}": Team(f"team-{i}") for i in range(360)}
    scheduler.on_configuration(Configuration(1, teams), 0.0)
    for machine in listed:
        scheduler.on_report(WorkerReport(machine.id, [], 0.0), 0.0)
    scheduler.decide(0.0, True)
    jobs, left = {}, tasks
    while left > 0:
        count = min(left, rng.choice((1, 2, 4, 16)))
        name = f"job-{len(jobs)}"
        jobs[name] = Job(name, f"team-{len(jobs) % 360}", count, 1, "run 99999")
        left -= count
    configuration = Configuration(2, teams, jobs, assignments=dict.fromkeys(jobs, "here"))
    scheduler.on_configuration(configuration, 0.0)
    for state in (TaskState.HELD, TaskState.RUNNING):
        scheduler.decide(0.0, True)
        for name, worker in scheduler.workers.items():
            reports = [TaskReport(task, state, 1) for task in worker.assigned]
            scheduler.on_report(WorkerReport(name, reports, 0.0), 0.0)
    scheduler.decide(0.0, True)
    return scheduler


def measure_cost(workers: int, tasks: int) -> None:
    """Measure the decision that follows each arrival, end and report."""
    rng = random.Random(workers)
    scheduler = build_scheduler(workers, tasks, rng)
    configuration = scheduler.configuration
    times = []
    for index in range(200):
        job = Job(
            f"new-{index}",
            "team-1",
            rng.choice((1, 4, 8)),
            2,
            "run 1",
            adjacency=rng.choice(list(Adjacency)),
        )
        note = ReleaseNote(f"note-{index}", added=Entities(jobs=[job]))
        entry = ConfigurationEntry(configuration.version + 1, note, assignments={job.name: "here"})
        started_at = time.perf_counter()
        configuration = apply_entry(configuration, entry)
        scheduler.on_configuration(configuration, 1.0, [entry])
        scheduler.decide(1.0, True)
        times.append(time.perf_counter() - started_at)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    context = {"workers": workers, "tasks": tasks}
    print_figure("decision.p50", percentile(times, 0.5) * 1000, "ms", **context)
    print_figure("decision.p99", percentile(times, 0.99) * 1000, "ms", **context)
    print_figure("decision.memory", memory, "MB", **context)


def main() -> None:
    """Make the chosen measurements, all by default."""
    chosen = sys.argv[1:] or ["baridi", "kilimanjaro", "cost"]
    for workload in (BARIDI, KILIMANJARO):
        if workload.name in chosen:
            measure_replay(workload)
    if "cost" in chosen:
        for workers, tasks in ((24, 94), (240, 938), (2400, 9375), (6400, 25_000)):
            measure_cost(workers, tasks)


if __name__ == "__main__":
    main()
