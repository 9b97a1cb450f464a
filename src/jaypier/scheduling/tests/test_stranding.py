import pytest

from jaypier.jobs.model import Resources
from jaypier.scheduling.stranding import measure_stranding

CAPACITY = Resources(128000, 524288, 8)
LARGE = Resources(52000, 270000, 1)
SMALL = Resources(11000, 46000, 1)


class TestMeasurement:
    def test_room_without_memory_for_a_waiting_task_is_stranded(self):
        found = measure_stranding([(LARGE, 13)], [(CAPACITY - LARGE, CAPACITY)])
        assert found.share == pytest.approx(7 / 8)
        assert found.waiting == 13

    def test_room_is_not_stranded_if_any_waiting_task_fits(self):
        waiting = [(LARGE, 13), (SMALL, 1)]
        assert measure_stranding(waiting, [(CAPACITY - LARGE, CAPACITY)]).share == 0

    def test_nothing_is_stranded_while_nothing_waits(self):
        found = measure_stranding([], [(CAPACITY, CAPACITY)])
        assert (found.share, found.free_share) == (0, 1)

    def test_full_and_overcommitted_workers_have_no_room(self):
        full = [(Resources(), CAPACITY), (Resources(-1, -1, -1), CAPACITY)]
        assert measure_stranding([(SMALL, 1)], full).share == 0

    def test_no_workers(self):
        assert measure_stranding([(SMALL, 1)], []).share == 0
