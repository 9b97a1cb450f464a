import pytest

from jaypier.jobs.model import Resources, Step
from jaypier.scheduling.packing import (
    Option,
    Packing,
    binding_resource,
    dominant_share,
    excess_speed,
    speed_bands,
)

CAPACITY = Resources(128000, 524288, 8)
LARGE = Resources(52000, 270000, 1)
SMALL = Resources(11000, 46000, 1)
WIDE = Resources(15000, 79000, 8)


def make_packing(*demands: Resources, count: int = 4) -> Packing:
    packing = Packing()
    packing.observe(Step(count, demand, 1.0) for demand in demands)
    packing.refresh([CAPACITY], 0.0)
    return packing


class TestShares:
    def test_dominant_share_is_that_of_the_scarcest_resource(self):
        assert dominant_share(LARGE, CAPACITY) == pytest.approx(270000 / 524288)
        assert dominant_share(WIDE, CAPACITY) == 1.0

    def test_accelerators_bind_when_several_resources_run_out_together(self):
        assert binding_resource(Resources(64000, 262144, 4), CAPACITY) == 2
        assert binding_resource(LARGE, CAPACITY) == 1

    def test_a_resource_that_no_worker_has_fills_any_worker(self):
        assert dominant_share(SMALL, Resources(128000, 524288, 0)) == 1.0


class TestActivation:
    def test_measure_is_unused_where_accelerators_bind_for_all(self):
        assert not make_packing(SMALL, WIDE).is_active

    def test_measure_is_unused_where_memory_binds_for_all(self):
        assert not make_packing(LARGE).is_active

    def test_measure_is_used_where_tasks_bind_different_resources(self):
        assert make_packing(LARGE, SMALL).is_active

    def test_measure_is_unused_before_anything_is_submitted(self):
        assert not make_packing().is_active

    def test_tasks_that_no_longer_come_are_forgotten(self):
        packing = make_packing(LARGE, SMALL)
        for second in range(1, 600):
            packing.observe([Step(4, SMALL, 1.0)])
            packing.refresh([CAPACITY], float(second))
        assert not packing.is_active


class TestLoss:
    def test_task_that_leaves_room_for_as_many_large_ones_costs_less(self):
        packing = make_packing(LARGE, SMALL)
        roomy = CAPACITY - SMALL
        narrow = Resources(60000, 290000, 7)
        assert packing.loss(SMALL, roomy) < packing.loss(SMALL, narrow)

    def test_small_tasks_use_a_worker_on_which_no_large_one_fits(self):
        packing = make_packing(LARGE, SMALL)
        options = [
            Option("open", Resources(60000, 290000, 1), 1, 0, (0,)),
            Option("closed", Resources(60000, 200000, 7), 4, 0, (1,)),
        ]
        assert packing.assign(SMALL, options, 2) == ["closed", "closed"]

    def test_preference_goes_before_the_measure(self):
        packing = make_packing(LARGE, SMALL)
        options = [
            Option("near data", Resources(60000, 290000, 1), 1, 0, (0,)),
            Option("closed", Resources(60000, 200000, 7), 4, 1, (1,)),
        ]
        assert packing.assign(SMALL, options, 2) == ["near data", "closed"]

    def test_no_more_tasks_are_assigned_than_fit(self):
        packing = make_packing(LARGE, SMALL)
        options = [Option("a", CAPACITY, 1, 0, (0,)), Option("b", CAPACITY, 2, 0, (1,))]
        assert sorted(packing.assign(SMALL, options, 9)) == ["a", "b", "b"]

    def test_equal_workers_are_used_in_the_given_order(self):
        packing = make_packing(LARGE, SMALL)
        options = [Option(name, CAPACITY, 1, 0, (rank,)) for name, rank in (("b", 1), ("a", 0))]
        assert packing.assign(LARGE, options, 1) == ["a"]


class TestSpeeds:
    def test_equal_speeds_form_one_band(self):
        assert speed_bands([1.0, 1.02, 0.98]) == [range(10, 11)]

    def test_bands_are_all_ranges_of_adjacent_speeds(self):
        assert len(speed_bands([0.8, 1.0, 1.25])) == 6
        assert speed_bands([]) == []

    def test_gang_of_like_speed_keeps_nothing_from_being_done(self):
        assert excess_speed([0.8, 0.8]) == 0
        assert excess_speed([0.8, 1.2]) == pytest.approx(0.5)

    def test_mixed_speeds_cost_as_much_as_the_room_that_they_idle(self):
        packing = make_packing(LARGE, SMALL)
        used = [(CAPACITY, 1)] * 2
        like = packing.gang_cost(LARGE, used, [0.8, 0.8])
        assert packing.gang_cost(LARGE, used, [0.8, 1.2]) > like
