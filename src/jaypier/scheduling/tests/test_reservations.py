"""Tests of homes for guaranteed shapes."""

import attrs
import testtools
from testtools.matchers import Equals, HasLength

from jaypier.notes.configuration import Configuration, Pin
from jaypier.notes.model import GuaranteedShape, Team
from jaypier.scheduling.reservations import plan_reservations
from jaypier.scheduling.tests.builders import worker_machines

MACHINES = worker_machines(1, 3)
SMALL = Team("small", [GuaranteedShape("bench", 2, 4)])
LARGE = Team("large", [GuaranteedShape("nightly", 2, 8)])


def configuration(*teams: Team, **more) -> Configuration:
    return Configuration(1, {team.name: team for team in teams}, **more)


class TestPlans(testtools.TestCase):
    def test_homes_are_disjoint(self):
        plan = plan_reservations(configuration(SMALL, LARGE), MACHINES)
        workers = [worker for home in plan.reservations for worker in home.workers]
        self.assertThat(workers, HasLength(len(set(workers))))

    def test_present_homes_are_kept(self):
        first = plan_reservations(configuration(LARGE), MACHINES).reservations
        present = configuration(SMALL, LARGE, reservations=first)
        self.assertIn(first[0], plan_reservations(present, MACHINES).reservations)

    def test_home_is_mended_when_a_worker_goes(self):
        first = plan_reservations(configuration(LARGE), MACHINES).reservations
        gone = next(iter(first[0].workers))
        left = [machine for machine in MACHINES if machine.id != gone]
        mended = plan_reservations(configuration(LARGE, reservations=first), left).reservations
        self.assertThat(sum(mended[0].workers.values()), Equals(2))
        self.assertNotIn(gone, mended[0].workers)
        self.assertTrue(set(first[0].workers) - {gone} <= set(mended[0].workers))

    def test_larger_team_gives_way_when_capacity_shrinks(self):
        first = plan_reservations(configuration(SMALL, LARGE), MACHINES).reservations
        small_home = next(home for home in first if home.team == "small")
        left = [machine for machine in MACHINES if machine.id not in small_home.workers]
        plan = plan_reservations(configuration(SMALL, LARGE, reservations=first), left)
        self.assertThat([home.team for home in plan.reservations], Equals(["small"]))
        self.assertThat([each.team for each in plan.shortfalls], Equals(["large"]))

    def test_no_home_where_work_runs_that_cannot_be_preempted(self):
        pin = Pin("gone/shape/", 8, {"here-0-0": 1})
        pinned = configuration(LARGE, released={"fixed": pin})
        home = plan_reservations(pinned, MACHINES).reservations[0]
        self.assertNotIn("here-0-0", home.workers)

    def test_pinned_work_inside_its_own_home_takes_nothing_more(self):
        home = plan_reservations(configuration(LARGE), MACHINES).reservations[0]
        pin = Pin(home.key, 8, home.workers)
        present = configuration(SMALL, LARGE, reservations=[home], released={"fixed": pin})
        plan = plan_reservations(present, MACHINES)
        self.assertThat(plan.shortfalls, Equals([]))

    def test_machines_that_leave_get_no_homes(self):
        leaving = [attrs.evolve(machine, state="leaving") for machine in MACHINES[:2]]
        plan = plan_reservations(configuration(LARGE), [*leaving, MACHINES[2]])
        self.assertThat([each.team for each in plan.shortfalls], Equals(["large"]))
