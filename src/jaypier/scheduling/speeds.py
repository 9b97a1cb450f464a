"""Speeds of workers, learned by comparing the runs of one step.

Tasks of one step are alike, and the error of its estimate is common to all of them, so what their
durations differ by is the speed of their workers. Gangs tell nothing, as they end together.
"""

import itertools
import math
from collections import defaultdict, deque
from collections.abc import Collection, Sequence
from statistics import fmean, median
from typing import Any

import attrs

from jaypier.jobs.model import Resources, WorkerEntry
from jaypier.jobs.state import Run, Worker
from jaypier.scheduling.durations import MAX_COMPARED_RUNS, projected_durations
from jaypier.scheduling.learned_section import LearnedSection

MIN_SPEED, MAX_SPEED = 0.25, 4.0
"""Range of the speeds that are assumed; what is slower is in trouble."""

WINDOW_RUNS = 16
"""Number of the most recent runs of a worker that tell its speed. Of these a quarter on each side
is left out, so that up to four runs in a disruption change nothing."""

MIN_COMPARED_RUNS = 3
"""Number of other runs of the step that a run is compared with, at least."""

MIN_WORKER_RUNS = 6
"""Number of runs of a worker from which its speed is known."""

PRIOR_RUNS = 1.0
"""Number of runs that the mean speed of workers of the same kind counts as."""

MAX_RESTORED_RUNS = 6.0
"""Number of runs that a speed from an earlier leader or process of the worker counts as."""

DEAD_BAND_LOG = 0.13
"""Deviation from the mean below which a worker counts as being of speed 1, as a natural
logarithm."""

KNOWN_BAND_LOG = 0.09
"""The same for a worker whose speed is known to differ, so that it does not alternate."""

MAX_RECORDED_WORKERS = 1000
"""Largest number of workers in a record: about 25 KB."""

MAX_RECORDS = 10_000
"""Largest number of workers of which runs are remembered: about 10 MB."""

MIN_CHANGED_SHARE = 0.1
"""Share of the workers with a known speed that has to change before a new record is worth it."""

MEAN_PRIOR_WORKERS = 4
"""Number of workers of speed 1 that the mean speed of all workers starts from."""


@attrs.define
class SpeedRecord:
    """What is known of one worker.

    :param entry: registration of the process that the runs are from.
    :param ratios: logarithms of its speed in its most recent runs, relative to other workers.
    :param prior: logarithm of its speed by an earlier leader or process.
    :param prior_runs: number of runs that ``prior`` counts as; own runs replace them.
    :param value: logarithm of its speed, shrunk to the mean of its kind, before the mean of all
        workers is subtracted.
    """

    entry: WorkerEntry
    ratios: deque[float] = attrs.field(factory=lambda: deque(maxlen=WINDOW_RUNS))
    prior: float = 0.0
    prior_runs: float = 0.0
    value: float = 0.0

    @property
    def run_count(self) -> float:
        """Number of runs that it is based on."""
        return max(len(self.ratios), self.prior_runs)

    @property
    def observed(self) -> float:
        """Logarithm of its speed by its runs alone."""
        if not self.run_count:
            return 0.0
        share = len(self.ratios) / self.run_count
        return share * interquartile_mean(self.ratios) + (1 - share) * self.prior


@attrs.define
class Mean:
    """Mean of values that may change, shrunk to 0 while there are few."""

    total: float = 0.0
    count: int = 0

    @property
    def value(self) -> float:
        """The mean."""
        return self.total / (self.count + MEAN_PRIOR_WORKERS)

    def add(self, value: float) -> None:
        """Add a value."""
        self.total += value
        self.count += 1

    def remove(self, value: float) -> None:
        """Remove a value that was added before."""
        self.total -= value
        self.count -= 1


class WorkerSpeeds(LearnedSection):
    """Sets the speeds of workers.

    :ivar records: what is known of workers that have shown their speed, by id.
    :ivar restored: logarithms of speeds by an earlier leader, of workers not seen since.
    :ivar kinds: mean of the workers of one service and capacity.
    :ivar overall: mean of all workers, which defines speed 1.
    """

    def __init__(self) -> None:
        self.records: dict[str, SpeedRecord] = {}
        self.restored: dict[str, float] = {}
        self.kinds: dict[tuple[str, Resources], Mean] = defaultdict(Mean)
        self.overall = Mean()

    def observe_end(self, run: Run, seconds: float, ended_logs: Sequence[float]) -> None:
        """Compare a run that has succeeded with the other runs of its step.

        Runs that go on are compared by their projected durations: by ended ones alone, late runs
        would appear slow and early ones fast.

        :param seconds: duration of the run.
        :param ended_logs: logarithms of the durations of the step's tasks that ended before, at
            speed 1.
        """
        worker = run.worker
        if run.step.spec.is_gang or seconds <= 0 or worker.slow_since != math.inf:
            return
        others = [log for _, log in projected_durations(run.step)]
        others += ended_logs[-MAX_COMPARED_RUNS:]
        if len(others) < MIN_COMPARED_RUNS:
            return
        record = self.records.get(worker.id) or self.add_record(worker)
        record.ratios.append(median(others) - math.log(seconds))
        self.update(worker, record)

    def observe_registration(self, worker: Worker) -> None:
        """Set the speed of a worker of which an earlier leader or process is known.

        Another process under the same id counts as the same worker on the same machine with the
        same capacity only, and its own runs soon count more than those before.
        """
        record = self.records.get(worker.id)
        restored = self.restored.pop(worker.id, None)
        if record is not None and record.entry.born != worker.entry.born:
            self.remove_record(record)
            if is_same_machine(record.entry, worker.entry):
                restored = record.observed if record.run_count >= MIN_WORKER_RUNS else None
            worker.speed, record = 1.0, None
        if record is None and restored is not None:
            record = self.add_record(worker)
            record.prior, record.prior_runs = restored, MAX_RESTORED_RUNS
        if record is not None:
            self.update(worker, record)

    def add_record(self, worker: Worker) -> SpeedRecord:
        """Add an empty record of a worker; above ``MAX_RECORDS``, the oldest one is removed."""
        if len(self.records) >= MAX_RECORDS:
            self.remove_record(next(iter(self.records.values())))
        record = self.records[worker.id] = SpeedRecord(worker.entry)
        self.overall.add(record.value)
        self.kinds[kind_of(record.entry)].add(record.value)
        return record

    def remove_record(self, record: SpeedRecord) -> None:
        """Remove the record of a worker."""
        del self.records[record.entry.id]
        self.overall.remove(record.value)
        self.kinds[kind_of(record.entry)].remove(record.value)

    def update(self, worker: Worker, record: SpeedRecord) -> None:
        """Set the speed of a worker by its record."""
        kind = self.kinds[kind_of(record.entry)]
        for mean in (kind, self.overall):
            mean.remove(record.value)
        count = record.run_count
        record.value = (record.observed * count + kind.value * PRIOR_RUNS) / (count + PRIOR_RUNS)
        for mean in (kind, self.overall):
            mean.add(record.value)
        relative = record.value - self.overall.value
        band = DEAD_BAND_LOG if worker.speed == 1.0 else KNOWN_BAND_LOG
        is_known = count >= MIN_WORKER_RUNS and abs(relative) >= band
        worker.speed = min(MAX_SPEED, max(MIN_SPEED, math.exp(relative))) if is_known else 1.0

    # Records

    def known_logs(self) -> dict[str, float]:
        """Return the logarithms of the speeds of the workers that are known to differ."""
        mean = self.overall.value
        known = {
            worker_id: round(record.observed - mean, 2)
            for worker_id, record in self.records.items()
            if record.run_count >= MIN_WORKER_RUNS and abs(record.value - mean) >= KNOWN_BAND_LOG
        }
        return self.restored | known

    def to_record(self) -> dict[str, Any]:
        """Return the workers whose speed is known to differ as plain JSON values."""
        return dict(itertools.islice(self.known_logs().items(), MAX_RECORDED_WORKERS))

    def restore(self, record: dict[str, Any]) -> None:
        """Start from a record; the speeds apply as the workers are registered.

        :raises ValueError: when it has another form.
        :raises TypeError: the same.
        """
        restored = {worker_id: float(value) for worker_id, value in record.items()}
        if not all(abs(value) <= math.log(MAX_SPEED) for value in restored.values()):
            raise ValueError("a speed is out of range")
        self.restored = restored

    def differs(self, record: dict[str, Any]) -> bool:
        """Whether more is known than in a record, by enough to be worth another one."""
        known = self.to_record()
        changed = [
            worker_id
            for worker_id in known.keys() | record.keys()
            if abs(known.get(worker_id, 0.0) - record.get(worker_id, 0.0)) >= KNOWN_BAND_LOG
        ]
        return len(changed) > MIN_CHANGED_SHARE * len(known)


def kind_of(entry: WorkerEntry) -> tuple[str, Resources]:
    """Return the properties that workers of one kind share."""
    return entry.service, entry.capacity


def is_same_machine(first: WorkerEntry, second: WorkerEntry) -> bool:
    """Whether two processes of a worker are on the same machine with the same capacity."""
    return first.machine == second.machine and kind_of(first) == kind_of(second)


def interquartile_mean(values: Collection[float]) -> float:
    """Return the mean without the quarter of smallest and that of largest values, 0 for none."""
    left_out = len(values) // 4
    middle = sorted(values)[left_out : len(values) - left_out]
    return fmean(middle) if middle else 0.0
