from collections import Counter

import pytest

from jaypier.core.codec import DecodeError, to_compact
from jaypier.jobs.state import Worker
from jaypier.jobs.tests.builders import make_entry
from jaypier.jobs.witnesses import (
    LONGEST_AUTHORITY_SECONDS,
    MAX_WITNESSES,
    REPORT_MAX_AGE_SECONDS,
    Witnesses,
    WitnessSet,
    decode_witnesses,
    spread_witnesses,
)


def make_worker(worker_id: str, born: int = 1, requested_at: float = 0.0, **values) -> Worker:
    """Return a worker that has reported."""
    worker = Worker(make_entry(worker_id, born=born, **values), born=born)
    worker.is_registered = True
    worker.report_requested_at = worker.last_report_at = requested_at
    return worker


def make_workers(count: int, **values) -> dict[str, Worker]:
    """Return workers by id."""
    workers = [make_worker(f"worker-{number}", **values) for number in range(count)]
    return {worker.id: worker for worker in workers}


def make_witnesses(workers: dict[str, Worker], is_inherited: bool = False) -> Witnesses:
    """Return the witnesses of a leader that was elected at 0 s, which include all workers."""
    witnesses = Witnesses(0.0, 0.0)
    processes = WitnessSet({each.id: each.born for each in workers.values()})
    witnesses.restore(processes if is_inherited else None, WitnessSet(), 0.0)
    witnesses.recorded = processes
    return witnesses


class TestRow:
    def test_row_is_decoded(self):
        witnesses = WitnessSet({"worker-0": 1796421628186})
        for each in (witnesses, WitnessSet()):
            assert decode_witnesses(to_compact(each)) == each

    @pytest.mark.parametrize("value", [None, 7, [], {"processes": 7}, {"processes": {"a": "b"}}])
    def test_row_of_another_writer_is_refused(self, value):
        with pytest.raises(DecodeError):
            decode_witnesses(value)


class TestAuthority:
    def test_half_of_the_witnesses_is_no_majority(self):
        workers = make_workers(4)
        witnesses = make_witnesses(workers)
        assert witnesses.have_confirmed(workers, 1.0)
        del workers["worker-0"]
        assert witnesses.have_confirmed(workers, 1.0)
        del workers["worker-1"]
        assert not witnesses.have_confirmed(workers, 1.0)

    def test_without_witnesses_there_is_no_majority(self):
        assert not make_witnesses({}).have_confirmed(make_workers(4), 0.0)

    def test_answer_counts_from_the_time_of_its_request(self):
        # Regression (TWICE): a response read after a pause counted as a new one.
        workers = make_workers(3)
        for worker in workers.values():
            worker.last_report_at = 30.0
        assert not make_witnesses(workers).have_confirmed(workers, 30.0)

    def test_workers_that_are_not_witnesses_do_not_count(self):
        # Regression (TWICE): each leader counted the workers that it knew itself.
        witnesses = make_witnesses(make_workers(3))
        others = {f"other-{number}": make_worker(f"other-{number}") for number in range(9)}
        assert not witnesses.have_confirmed(others, 1.0)

    def test_restarted_witnesses_do_not_count(self):
        # Regression (TWICE): a restarted worker has seen no epoch, and answered as before.
        witnesses = make_witnesses(make_workers(3))
        assert not witnesses.have_confirmed(make_workers(3, born=2), 1.0)

    def test_change_without_a_response_needs_a_majority_before_and_after(self):
        workers = make_workers(6)
        witnesses = make_witnesses(make_workers(3))
        witnesses.begin_change(WitnessSet({f"worker-{number}": 1 for number in (3, 4, 5)}))
        assert witnesses.have_confirmed(workers, 1.0)
        for missing in (("worker-0", "worker-1"), ("worker-3", "worker-4")):
            rest = {name: each for name, each in workers.items() if name not in missing}
            assert not witnesses.have_confirmed(rest, 1.0)
        witnesses.end_change(is_applied=True)
        assert witnesses.recorded.processes.keys() == {"worker-3", "worker-4", "worker-5"}


class TestFence:
    def test_earlier_leaders_act_until_a_majority_is_fenced(self):
        witnesses = make_witnesses(make_workers(4), is_inherited=True)
        for number in range(2):
            assert not witnesses.observe_process(f"worker-{number}", 1, 5.0)
        assert not witnesses.observe_process("other", 1, 5.0)
        assert witnesses.earlier_authority_ends_at > 900.0
        assert witnesses.observe_process("worker-2", 1, 6.0)
        assert witnesses.earlier_authority_ends_at == 6.0 + REPORT_MAX_AGE_SECONDS

    def test_report_of_an_older_process_does_not_count(self):
        witnesses = make_witnesses(make_workers(1, born=2), is_inherited=True)
        assert not witnesses.observe_process("worker-0", 1, 5.0)
        assert witnesses.observe_process("worker-0", 3, 5.0)

    def test_longest_wait_counts_from_the_first_leader_without_a_fence(self):
        witnesses = Witnesses(1000.0, 400.0)
        witnesses.restore(WitnessSet({"worker-0": 1}), WitnessSet(), 1000.0)
        assert witnesses.earlier_authority_ends_at == 400.0 + LONGEST_AUTHORITY_SECONDS
        witnesses.unfenced_since = 0.0
        assert witnesses.earlier_authority_ends_at == 1000.0 + REPORT_MAX_AGE_SECONDS

    def test_stand_ins_are_waited_for_and_give_no_authority(self):
        # Regression (TWICE): the next leader cannot know of witnesses that the store doesn't name.
        workers = make_workers(3)
        witnesses = Witnesses(0.0, 0.0)
        witnesses.restore(None, WitnessSet(dict.fromkeys(workers, 1)), 0.0)
        assert not witnesses.have_confirmed(workers, 1.0)
        assert witnesses.earlier_authority_ends_at > 900.0
        assert not witnesses.observe_process("worker-0", 1, 5.0)
        assert witnesses.observe_process("worker-1", 1, 5.0)

    def test_without_witnesses_no_earlier_leader_is_waited_for(self):
        assert make_witnesses({}).earlier_authority_ends_at == REPORT_MAX_AGE_SECONDS


class TestChoice:
    def test_row_stays_while_an_earlier_leader_may_act(self):
        # Regression (TWICE): the leader after the next counts the set that the first one counts.
        workers = make_workers(4)
        witnesses = make_witnesses(make_workers(3), is_inherited=True)
        assert witnesses.choose(workers.values(), workers, 500.0) is None
        assert (
            witnesses.choose(workers.values(), workers, 1000.0).processes.keys() == workers.keys()
        )

    def test_row_stays_while_a_change_is_unconfirmed(self):
        workers = make_workers(4)
        witnesses = make_witnesses({})
        witnesses.begin_change(WitnessSet({"worker-0": 1}))
        assert witnesses.choose(workers.values(), workers, 10.0) is None

    def test_silent_workers_stay_and_do_not_join(self):
        workers = make_workers(3)
        witnesses = make_witnesses({"worker-0": workers["worker-0"]})
        workers["worker-0"].is_unreachable = workers["worker-1"].is_unreachable = True
        chosen = witnesses.choose(workers.values(), workers, 10.0)
        assert chosen.processes.keys() == {"worker-0", "worker-2"}

    def test_workers_that_leave_or_restart_leave_the_witnesses(self):
        workers = make_workers(4)
        witnesses = make_witnesses(workers)
        del workers["worker-0"]
        workers["worker-1"] = make_worker("worker-1", is_ready=False)
        workers["worker-2"] = make_worker("worker-2", born=2)
        chosen = witnesses.choose(workers.values(), workers, 10.0)
        assert chosen.processes == {"worker-2": 2, "worker-3": 1}

    def test_only_recorded_workers_are_chosen(self):
        workers = make_workers(3)
        chosen = make_witnesses({}).choose(workers.values(), ["worker-1"], 10.0)
        assert chosen.processes == {"worker-1": 1}

    def test_changes_are_made_together(self):
        workers = make_workers(3)
        witnesses = make_witnesses({"worker-0": workers["worker-0"]})
        witnesses.checked_at = 9.5
        assert witnesses.choose(workers.values(), workers, 10.0) is None
        assert len(witnesses.choose(workers.values(), workers, 10.6).processes) == 3

    def test_many_workers_are_spread_over_data_centres(self):
        workers = [make_worker(f"a-{number:03}", data_centre="dc-a") for number in range(300)]
        workers += [make_worker(f"b-{number:03}", data_centre="dc-b") for number in range(40)]
        chosen = spread_witnesses(workers, Counter({"dc-a": 20}), MAX_WITNESSES - 20)
        assert len(chosen) == MAX_WITNESSES - 20
        assert sum(name.startswith("b-") for name in chosen) == 40
