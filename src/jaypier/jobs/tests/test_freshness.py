from jaypier.jobs.freshness import ANNOUNCEMENT_SECONDS, MAX_AGE_SECONDS, EntryFreshness
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step

READ_INTERVAL_SECONDS = 0.4


def read_regularly(freshness, since, until, latency=0.0):
    now = since
    while now <= until:
        freshness.observe_read(now, now + latency)
        now += READ_INTERVAL_SECONDS + latency


class TestEntryFreshness:
    def test_entries_are_recent_while_they_are_read(self):
        freshness = EntryFreshness()
        read_regularly(freshness, 0.0, 20.0)
        assert freshness.is_recent(20.0)

    def test_entries_become_too_old_during_an_outage(self):
        freshness = EntryFreshness()
        read_regularly(freshness, 0.0, 20.0)
        assert freshness.is_recent(19.5 + MAX_AGE_SECONDS - ANNOUNCEMENT_SECONDS)
        assert not freshness.is_recent(20.5 + MAX_AGE_SECONDS - ANNOUNCEMENT_SECONDS)

    def test_entries_are_recent_one_heartbeat_after_an_outage(self):
        freshness = EntryFreshness()
        read_regularly(freshness, 0.0, 20.0)
        read_regularly(freshness, 30.0, 31.0)
        assert not freshness.is_recent(31.0)
        read_regularly(freshness, 31.2, 32.0)
        assert freshness.is_recent(32.0)

    def test_single_failed_read_has_no_effect(self):
        freshness = EntryFreshness()
        read_regularly(freshness, 0.0, 20.0)
        read_regularly(freshness, 20.8, 21.0)
        assert freshness.is_recent(21.0)

    def test_entries_are_recent_while_the_store_is_slow(self):
        freshness = EntryFreshness()
        read_regularly(freshness, 0.0, 20.0, latency=0.9)
        assert freshness.is_recent(20.0)


class TestStarts:
    def plan(self, unguarded_services):
        cluster_state = make_cluster_state(1)
        cluster_state.unguarded_services = unguarded_services
        planner = make_planner(cluster_state, make_job(make_step()))
        return planner.plan(10.0, 10.0).starts

    def test_workers_that_guard_their_capacity_are_used_in_an_outage(self):
        assert len(self.plan(frozenset({"other"}))) == 1

    def test_others_are_not(self):
        assert self.plan(frozenset({"desk"})) == []
