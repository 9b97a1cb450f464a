"""Workers whose reports show whether another leader may act.

A leader without the store goes on while more than half of the witnesses answer it, and the next
leader waits until more than half of them have reported to it. Both count the processes that the
same row of the store names, so they cannot both have a majority.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import Any

import attrs

from jaypier.core.codec import DecodeError, from_plain
from jaypier.jobs.state import Worker

WITNESSES_KEY = "witnesses/current"

MAX_WITNESSES = 99
"""Maximum number of witnesses: a row of about 3 KB, and as many idle workers to poll while the
store is away."""

REPORT_MAX_AGE_SECONDS = 3.0
"""Time after a request up to which the worker's answer shows that it has accepted no newer
epoch."""

MAX_SECONDS_WITHOUT_STORE = 900.0
"""Longest time for which a leader goes on without the store: more than an outage of ten minutes."""

LONGEST_AUTHORITY_SECONDS = 1.03 * MAX_SECONDS_WITHOUT_STORE
"""The same time on the clock of another VM, whose rate differs."""

CHECK_INTERVAL_SECONDS = 1.0
"""Time between two changes of the row at least, so that a series of crashes is one change."""


@attrs.frozen
class WitnessSet:
    """Value of the row ``witnesses/current``.

    :param processes: Unix time in milliseconds at which the process of a worker started, by the
        worker's id.
    """

    processes: dict[str, int] = attrs.field(factory=dict)

    def is_majority(self, worker_ids: Collection[str]) -> bool:
        """Whether workers are more than half of these witnesses; of no witnesses, none are."""
        return 2 * len(self.processes.keys() & set(worker_ids)) > len(self.processes)


def decode_witnesses(value: Any) -> WitnessSet:
    """Decode the value of the row ``witnesses/current``.

    :raises DecodeError: when it is not a set of witnesses.
    """
    if not isinstance(value, dict) or not isinstance(value.get("processes", {}), dict):
        raise DecodeError([f"expected processes by worker, got {type(value).__name__}"])
    return from_plain(value, WitnessSet)


class Witnesses:
    """The witnesses as one leader knows them. It performs no I/O and reads no clock.

    Times are on the leader's local clock, in seconds.

    :param elected_at: time at which the leadership began.
    :param unfenced_since: time of the election of the first leader since which none has recorded
        that it has fenced the earlier ones.
    :ivar inherited: witnesses that earlier leaders may count, read after the election.
    :ivar fenced: ids of those that cannot answer an earlier leader any more: they have reported to
        this one, or their processes have ended.
    :ivar fenced_at: time from which these are more than half, ``inf`` before.
    :ivar recorded: newest set that the store has confirmed.
    :ivar unconfirmed: set that a write without a response may have recorded, ``None`` if there is
        none.
    :ivar checked_at: time at which this leader last compared the row with the workers.
    """

    def __init__(self, elected_at: float, unfenced_since: float) -> None:
        self.elected_at = elected_at
        self.unfenced_since = unfenced_since
        self.inherited = WitnessSet()
        self.fenced: set[str] = set()
        self.fenced_at = math.inf
        self.recorded = WitnessSet()
        self.unconfirmed: WitnessSet | None = None
        self.checked_at = -math.inf

    # Earlier leaders

    def restore(self, recorded: WitnessSet | None, stand_ins: WitnessSet, now: float) -> None:
        """Take over the set of the earlier leaders; without witnesses, none of them is waited for.

        To be called before any report is observed.

        :param recorded: set that the store holds, ``None`` if there is none.
        :param stand_ins: witnesses whose reports are waited for in that case. As the store does not
            name them, this leader does not go on by their answers.
        """
        self.inherited = stand_ins if recorded is None else recorded
        self.recorded = WitnessSet() if recorded is None else recorded
        if not self.inherited.processes:
            self.fenced_at = now

    def observe_process(self, worker_id: str, born: int, now: float) -> bool:
        """Record that a process of a worker has reported to this leader, or has ended.

        :param born: Unix time in milliseconds at which the process started.
        :returns: whether this completes the majority.
        """
        expected = self.inherited.processes.get(worker_id)
        if expected is None or born < expected:
            return False
        self.fenced.add(worker_id)
        is_complete = math.isinf(self.fenced_at) and self.inherited.is_majority(self.fenced)
        if is_complete:
            self.fenced_at = now
        return is_complete

    @property
    def longest_authority_ends_at(self) -> float:
        """Time after which no earlier leader acts, whatever the witnesses have answered.

        Leaders that have not recorded a fence do not go on by the answers of witnesses.
        """
        by_witnesses = self.unfenced_since + LONGEST_AUTHORITY_SECONDS
        return max(by_witnesses, self.elected_at + REPORT_MAX_AGE_SECONDS)

    def may_earlier_act(self, now: float) -> bool:
        """Whether it is not shown yet that every earlier leader has lost its authority for good."""
        return math.isinf(self.fenced_at) and now <= self.longest_authority_ends_at

    @property
    def earlier_authority_ends_at(self) -> float:
        """Time after which no earlier leader starts runs or extends leases."""
        fenced = self.fenced_at + REPORT_MAX_AGE_SECONDS
        return min(fenced, self.longest_authority_ends_at)

    # This leader

    def count_recent(self, workers: Mapping[str, Worker], now: float) -> int:
        """Return how many of the recorded witnesses have answered recently."""
        return count_recent_answers(self.recorded, workers, now)

    def have_confirmed(self, workers: Mapping[str, Worker], now: float) -> bool:
        """Whether enough witnesses have answered recently: no newer leader has fenced them.

        A change of the row that is not confirmed may have taken effect or not.
        """
        possible = [self.recorded, *([] if self.unconfirmed is None else [self.unconfirmed])]
        return all(
            2 * count_recent_answers(each, workers, now) > len(each.processes) for each in possible
        )

    def choose(
        self, workers: Iterable[Worker], recorded_ids: Collection[str], now: float
    ) -> WitnessSet | None:
        """Return the set to record with the next write, ``None`` to leave the row as it is.

        While an earlier leader may act, the row has to stay as that leader knows it. Witnesses that
        are only silent stay, since the next leader may reach them.

        :param recorded_ids: ids of the workers that the store records with that write.
        """
        is_early = self.recorded.processes and now - self.checked_at < CHECK_INTERVAL_SECONDS
        if self.may_earlier_act(now) or is_early or self.unconfirmed is not None:
            return None
        self.checked_at = now
        candidates = {each.id: each for each in workers if each.id in recorded_ids}
        chosen = {
            worker_id: born
            for worker_id, born in self.recorded.processes.items()
            if worker_id in candidates and may_stay(candidates[worker_id], born)
        }
        spare = [each for each in candidates.values() if each.id not in chosen and may_join(each)]
        chosen |= spread_witnesses(
            spare,
            Counter(candidates[worker_id].entry.data_centre for worker_id in chosen),
            MAX_WITNESSES - len(chosen),
        )
        return None if chosen == self.recorded.processes else WitnessSet(chosen)

    def begin_change(self, witnesses: WitnessSet) -> None:
        """Record that a write with a new set is about to be sent."""
        self.unconfirmed = witnesses

    def end_change(self, is_applied: bool) -> None:
        """Record that the write has been confirmed, or that the store has refused the row."""
        if self.unconfirmed is not None and is_applied:
            self.recorded = self.unconfirmed
        self.unconfirmed = None


def count_recent_answers(witnesses: WitnessSet, workers: Mapping[str, Worker], now: float) -> int:
    """Return how many processes that are witnesses have answered recent requests."""
    return sum(
        worker_id in workers
        and workers[worker_id].born == born
        and now - workers[worker_id].report_requested_at <= REPORT_MAX_AGE_SECONDS
        for worker_id, born in witnesses.processes.items()
    )


def may_stay(worker: Worker, born: int) -> bool:
    """Whether a worker is to stay a witness.

    :param born: Unix time in milliseconds at which the process that is a witness started.
    """
    is_present = worker.is_registered or not worker.is_unreachable
    return worker.latest_born == born and worker.entry.is_ready and is_present


def may_join(worker: Worker) -> bool:
    """Whether a worker can become a witness: it has reported, answers and is not leaving."""
    has_reported = not math.isinf(worker.last_report_at)
    return has_reported and not worker.is_unreachable and may_stay(worker, worker.born)


def spread_witnesses(workers: Iterable[Worker], present: Counter, limit: int) -> dict[str, int]:
    """Choose workers so that the data centres have about the same number of witnesses.

    :param present: number of witnesses by data centre; the chosen ones are added.
    :param limit: maximum number of workers to choose.
    :returns: start of their processes by id.
    """
    by_data_centre: dict[str, list[Worker]] = defaultdict(list)
    for worker in sorted(workers, key=lambda each: each.id, reverse=True):
        by_data_centre[worker.entry.data_centre].append(worker)
    chosen: dict[str, int] = {}
    while by_data_centre and len(chosen) < limit:
        name = min(by_data_centre, key=lambda each: (present[each], each))
        worker = by_data_centre[name].pop()
        chosen[worker.id] = worker.born
        present[name] += 1
        if not by_data_centre[name]:
            del by_data_centre[name]
    return chosen
