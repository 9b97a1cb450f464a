"""Focused tests of one data centre's decisions."""

import attrs
import testtools
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from jaypier.notes.configuration import JobState
from jaypier.notes.model import Adjacency, DataCentre, Entities, GuaranteedShape, Team
from jaypier.notes.validation import RefusalKind
from jaypier.scheduling.commands import START_VALID_SECONDS
from jaypier.scheduling.model import Decisions, GangPhase
from jaypier.scheduling.tests.builders import (
    LEASE,
    Bench,
    assert_reclaimable,
    make_job,
    worker_machines,
)
from jaypier.workers.protocol import ControlRequest
from standins.checks import gang_faults
from standins.worker import WorkerFaults


class TestGuarantees(testtools.TestCase):
    def test_shapes_that_do_not_fit_together_are_refused(self):
        bench = Bench()
        team = Team("third", [GuaranteedShape("all", 6, 8, Adjacency.DATA_CENTRE)])
        refusal = bench.ledger.submit(Entities(teams=[team]))
        self.assertThat(refusal.kind, Equals(RefusalKind.SHORTFALL))
        self.assertIn("'third'", refusal.reasons[0])

    def test_lent_capacity_is_reclaimed_within_the_start_bound(self):
        bench = Bench()
        bench.submit(*[make_job(f"lent-{i}", "small", 1, 8, command="run 999") for i in range(6)])
        bench.run(2)
        bench.submit(make_job("nightly", "large", 3, 8, urgent=True))
        asked_at = bench.clock.now()
        while not bench.running("nightly"):
            bench.step()
        self.assertThat(bench.clock.now() - asked_at, LessThan(2.4))
        assert_reclaimable(bench.scheduler)

    def test_preempted_gang_runs_again_from_its_checkpoint(self):
        bench = Bench()
        bench.submit(*[make_job(f"lent-{i}", "small", 1, 8, command="run 20") for i in range(6)])
        bench.run(10)
        bench.submit(make_job("nightly", "large", 3, 8, command="run 5"))
        bench.run(40)
        states = {name: each.state for name, each in bench.ledger.outcomes.items()}
        self.assertThat(states, Equals(dict.fromkeys(states, JobState.DONE)))
        self.assertThat(states, HasLength(7))

    def test_work_that_cannot_be_stopped_never_takes_reserved_capacity(self):
        bench = Bench()
        jobs = [
            make_job(f"fixed-{i}", "small", 1, 8, preemptible=False, command="run 99")
            for i in range(6)
        ]
        bench.submit(*jobs)
        bench.run(5)
        assert_reclaimable(bench.scheduler)
        bench.submit(make_job("nightly", "large", 3, 8), make_job("fit", "small", 2, 4))
        bench.run(3)
        self.assertThat((bench.running("nightly"), bench.running("fit")), Equals((3, 2)))

    def test_work_that_cannot_be_stopped_waits_when_its_home_is_gone(self):
        bench = Bench()
        bench.run(1)
        bench.submit(make_job("fixed", "small", 1, 8, preemptible=False))
        homeless = attrs.evolve(bench.ledger.configuration, reservations=[])
        bench.scheduler.on_configuration(homeless, bench.clock.now())
        bench.scheduler.decide(bench.clock.now(), True)
        self.assertThat(bench.scheduler.state.gangs["fixed"].phase, Equals(GangPhase.QUEUED))

    def test_smallest_team_goes_first_when_capacity_has_shrunk(self):
        teams = [
            Team("small", [GuaranteedShape("bench", 2, 8)]),
            Team("large", [GuaranteedShape("nightly", 3, 8)]),
        ]
        bench = Bench(worker_machines(1, 5), teams)
        homes = {home.team: set(home.workers) for home in bench.ledger.configuration.reservations}
        lost = homes["small"]
        bench.cut |= lost
        bench.machines[:] = [each for each in bench.machines if each.id not in lost]
        bench.ledger.commit(Decisions())
        bench.scheduler.on_machines(bench.machines)
        bench.scheduler.on_configuration(bench.ledger.configuration, bench.clock.now())
        bench.run(LEASE + 1)
        bench.submit(make_job("nightly", "large", 3, 8), make_job("fit", "small", 2, 8))
        bench.run(3)
        self.assertThat((bench.running("nightly"), bench.running("fit")), Equals((0, 2)))


class TestGangs(testtools.TestCase):
    def test_no_task_is_released_before_all_are_held(self):
        bench = Bench()
        bench.submit(make_job("wide", "large", 6, 8))
        bench.run(5)
        self.assertThat(bench.running("wide"), Equals(6))
        self.assertThat(gang_faults(bench.log(), {"wide": 6}), Equals([]))

    def test_gang_that_cannot_be_held_whole_is_stopped_and_tried_again(self):
        bench = Bench()
        bench.run(1)
        bench.submit(make_job("wide", "large", 6, 8, command="run 100"))
        bench.scheduler.decide(bench.clock.now(), True)
        bench.cut.add("here-1-0")
        bench.run(LEASE - 1)
        self.assertThat(bench.running("wide"), Equals(0))
        bench.cut.clear()
        bench.run(15)
        self.assertThat(bench.running("wide"), Equals(6))
        self.assertThat(bench.scheduler.state.gangs["wide"].attempt, GreaterThan(1))
        self.assertThat(gang_faults(bench.log(), {"wide": 6}), Equals([]))

    def test_gang_stops_whole_within_one_lease_of_a_lost_worker(self):
        bench = Bench()
        bench.submit(make_job("wide", "large", 6, 8, command="run 100"))
        bench.run(3)
        del bench.workers["here-0-1"]
        bench.run(LEASE + 1)
        self.assertThat(bench.running("wide"), Equals(0))

    def test_non_repeatable_gang_is_never_started_again(self):
        bench = Bench()
        job = make_job(
            "once", "large", 3, 8, command="run 100", preemptible=False, repeatable=False
        )
        bench.submit(job)
        bench.run(3)
        self.assertThat(bench.running("once"), Equals(3))
        victim = next(iter(bench.scheduler.state.gangs["once"].placement))
        bench.cut.add(victim)
        bench.run(3 * LEASE)
        self.assertThat(bench.ledger.outcomes["once"].state, Equals(JobState.UNKNOWN))
        attempts = {entry.task.attempt for entry in bench.log() if entry.event == "released"}
        self.assertThat(attempts, HasLength(1))

    def test_cancelled_gang_stops(self):
        bench = Bench()
        bench.submit(make_job("wide", "large", 6, 8, command="run 100"))
        bench.run(3)
        bench.ledger.withdraw("wide")
        bench.scheduler.on_configuration(bench.ledger.configuration, bench.clock.now())
        bench.run(2)
        self.assertThat(bench.running("wide"), Equals(0))
        self.assertThat(bench.scheduler.state.gangs, Equals({}))


class TestDeparture(testtools.TestCase):
    def test_preemptible_gangs_stop_and_others_end(self):
        machines = worker_machines() + worker_machines(data_centre="there")
        bench = Bench(machines)
        bench.submit(
            make_job("wide", "large", 3, 8, command="run 100"),
            make_job("fixed", "small", 1, 4, command="run 6", preemptible=False),
        )
        bench.run(3)
        bench.ledger.submit(Entities(data_centres=[DataCentre("here", False)]))
        bench.scheduler.on_configuration(bench.ledger.configuration, bench.clock.now())
        bench.run(4)
        here = [name for name in bench.scheduler.state.gangs if bench.running(name)]
        self.assertNotIn("wide", here)
        self.assertThat(bench.ledger.configuration.assignments["wide"], Equals("there"))

    def test_nothing_starts_without_a_permit_but_running_gangs_go_on(self):
        bench = Bench()
        bench.submit(make_job("first", "large", 3, 8, command="run 100"))
        bench.run(3)
        bench.may_start = False
        bench.submit(make_job("second", "small", 2, 4))
        bench.run(3 * LEASE)
        self.assertThat((bench.running("first"), bench.running("second")), Equals((3, 0)))

    def test_placed_gang_is_not_started_once_the_permit_is_gone(self):
        bench = Bench()
        bench.run(1)
        bench.submit(make_job("late", "small", 2, 4))
        bench.scheduler.decide(bench.clock.now(), True)
        bench.may_start = False
        bench.run(3)
        self.assertThat(bench.log(), Equals([]))

    def test_late_start_is_refused_by_the_worker(self):
        bench = Bench()
        bench.run(1)
        bench.submit(make_job("late", "small", 1, 4))
        bench.scheduler.decide(bench.clock.now(), True)
        worker = next(iter(bench.scheduler.state.gangs["late"].placement))
        commands = bench.scheduler.commands_for(worker, bench.clock.now(), True)
        bench.clock.advance(START_VALID_SECONDS + 0.1)
        bench.workers[worker].control(ControlRequest(1, "owner", 0.0, commands))
        self.assertThat((len(commands), bench.log()), Equals((1, [])))


class TestTakeover(testtools.TestCase):
    def test_successor_waits_for_workers_that_it_does_not_reach_at_once(self):
        bench = Bench()
        bench.submit(make_job("wide", "large", 6, 8, command="run 30"))
        bench.run(3)
        bench.cut.add("here-0-1")
        bench.take_over()
        bench.run(2)
        bench.cut.clear()
        bench.run(3)
        self.assertThat(bench.running("wide"), Equals(6))
        self.assertThat({entry.task.epoch for entry in bench.log()}, Equals({1}))

    def test_successor_takes_over_running_gangs(self):
        bench = Bench()
        bench.submit(make_job("wide", "large", 6, 8, command="run 30"))
        bench.run(3)
        bench.take_over()
        bench.run(3)
        self.assertThat(bench.scheduler.state.gangs["wide"].phase, Equals(GangPhase.RUNNING))
        bench.run(30)
        self.assertThat(bench.ledger.outcomes["wide"].state, Equals(JobState.DONE))
        self.assertThat({entry.task.epoch for entry in bench.log()}, Equals({1}))

    def test_old_owner_is_refused_by_workers(self):
        bench = Bench()
        bench.run(1)
        old = bench.scheduler
        bench.take_over()
        bench.run(1)
        bench.scheduler = old
        bench.submit(make_job("late", "small", 1, 4))
        bench.run(3)
        self.assertThat(bench.log(), Equals([]))

    def test_outcome_survives_an_owner_that_dies_before_recording_it(self):
        bench = Bench()
        bench.submit(make_job("short", "small", 1, 4, command="run 1"))
        bench.ledger.commit = lambda decisions: None
        bench.run(4)
        del bench.ledger.commit
        bench.take_over()
        bench.run(3)
        self.assertThat(bench.ledger.outcomes["short"].state, Equals(JobState.DONE))
        held = [entry for entry in bench.log() if entry.event == "held"]
        self.assertThat(held, HasLength(1))


class TestHostileReality(testtools.TestCase):
    def test_worker_that_fails_everything_is_set_aside_and_queue_drains(self):
        bench = Bench()
        bench.workers["here-0-0"].faults = WorkerFaults(fails_everything=True)
        bench.submit(*[make_job(f"job-{i}", "small", 1, 8, command="run 1") for i in range(20)])
        bench.run(60)
        done = [each for each in bench.ledger.outcomes.values() if each.state is JobState.DONE]
        self.assertThat(done, HasLength(20))
        self.assertThat(
            bench.scheduler.state.metrics.counters["workers.quarantined"], GreaterThan(0)
        )

    def test_job_that_fails_everywhere_gets_a_final_answer(self):
        bench = Bench()
        bench.submit(make_job("broken", "small", 1, 1, command="fail 1"))
        bench.run(60)
        outcome = bench.ledger.outcomes["broken"]
        self.assertThat(outcome.state, Equals(JobState.IMPOSSIBLE))
        self.assertIn("exited with status 1", outcome.reason)
        self.assertThat(
            bench.scheduler.state.health.quarantined_count(bench.clock.now()), Equals(0)
        )

    def test_job_that_never_fits_gets_a_final_answer(self):
        bench = Bench()
        bench.submit(make_job("giant", "small", 7, 8))
        bench.run(40)
        self.assertThat(bench.ledger.outcomes["giant"].state, Equals(JobState.IMPOSSIBLE))

    def test_workers_are_not_kept_free_behind_a_gang_that_does_not_give_way(self):
        bench = Bench(worker_machines(1, 6), [Team("small"), Team("large")])
        bench.submit(make_job("wide", "large", 6, 8, command="run 999"))
        bench.run(3)
        bench.submit(make_job("medium", "large", 2, 8, command="run 5"))
        bench.run(60)
        self.assertIsNone(bench.scheduler.placer.earmark)
        self.assertNotIn("medium", bench.scheduler.state.gangs)

    def test_small_jobs_do_not_starve_a_large_gang(self):
        bench = Bench(teams=[Team("small"), Team("large")])
        index = 0
        first = [
            make_job(f"first-{i}", "small", 1, 2, command=f"run {3 + i / 2}") for i in range(24)
        ]
        bench.submit(*first)
        bench.run(1)
        bench.submit(make_job("wide", "large", 6, 8, command="run 5"))
        waited = 0.0
        while not bench.running("wide"):
            index += 1
            bench.submit(make_job(f"next-{index}", "small", 1, 2, command="run 7"))
            bench.step(0.5)
            waited += 0.5
            self.assertThat(waited, LessThan(90.0))
