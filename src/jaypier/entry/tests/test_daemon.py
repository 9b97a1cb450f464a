import asyncio
import json
import random
from types import SimpleNamespace

import attrs
import pytest

from jaypier.core.address import Address
from jaypier.core.clock import BootClock, VirtualClock
from jaypier.entry.configuration import Configuration, Route, Team
from jaypier.entry.daemon import EntryDaemon
from jaypier.entry.settings import Bounds, VmSettings
from jaypier.jobs.election import Election, LeaderRecord
from jaypier.jobs.model import Resources
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step
from jaypier.scheduling.overload import (
    MAX_SUMMARY_AGE_SECONDS,
    LoadSummary,
    OverloadSettings,
    PoolLoad,
    encode_summary,
)
from jaypier.wire.messages import HttpRequest
from standins.cluster import MemoryStore

OVERLOAD = LoadSummary({"desk": PoolLoad(((100.0, 60.0),), ((64000, 131072, 8),))})


def make_daemon(load, refuses: bool = True) -> EntryDaemon:
    """Return a daemon that has just seen the leader's row with a load summary."""
    address = Address("127.0.0.1", 1)
    settings = VmSettings(
        "vm-a",
        "dc-a",
        *5 * [address],
        1.0,
        Bounds(),
        overload=OverloadSettings(refuses=refuses),
    )
    daemon = EntryDaemon(settings)
    daemon.clock = VirtualClock(100.0)
    daemon.election = Election(
        MemoryStore(random.Random(1)), "vm-a/1", 0.1, daemon.clock, random.Random(1)
    )
    daemon.election.record = LeaderRecord("vm-b/1", 3, load=load)
    return daemon


class TestClock:
    def test_leadership_counts_the_time_of_a_suspension(self):
        # Regression: authority outlived a suspension of the VM.
        daemon = EntryDaemon(make_daemon(None).settings)
        assert isinstance(daemon.clock, BootClock)


class TestAdmission:
    JOB = make_job(make_step(accelerators=8), slack_factor=1.5)

    def test_newest_summary_decides(self):
        daemon = make_daemon(encode_summary(OVERLOAD))
        assert daemon.decide_admission(self.JOB, 0).is_refused
        daemon.election.record = attrs.evolve(daemon.election.record, load=None)
        assert not daemon.decide_admission(self.JOB, 0).is_refused

    def test_summary_counts_no_longer_than_the_leader_s_renewal(self):
        """The leader has died or is cut off, or this VM does not reach the store."""
        daemon = make_daemon(encode_summary(OVERLOAD))
        daemon.clock.advance(MAX_SUMMARY_AGE_SECONDS + 0.1)
        assert not daemon.decide_admission(self.JOB, 0).is_refused

    @pytest.mark.parametrize("load", [None, [1, 2], {"pools": 3}, {"other": {}}])
    def test_unknown_load_refuses_nothing(self, load):
        assert not make_daemon(load).decide_admission(self.JOB, 0).is_refused

    def test_nothing_is_refused_unless_settings_say_so(self):
        daemon = make_daemon(encode_summary(OVERLOAD), refuses=False)
        assert not daemon.decide_admission(self.JOB, 0).is_refused


class TestExplanations:
    """Answers at the metrics address, which the operators' API passes on as they are."""

    REQUEST = {
        "queue": "example/desk/",
        "team": "team-a",
        "job": {"Phases": [{"Count": 3, "Gpu": 1, "EstimatedMs": 2000}]},
    }

    def ask(self, daemon, path):
        response = asyncio.run(daemon.handle_metrics(HttpRequest("GET", path)))
        return response.status, json.loads(response.body)

    def make_leading_daemon(self, job):
        """Return a daemon that leads a cluster of two workers."""
        daemon = make_daemon(None)
        cluster_state = make_cluster_state(2)
        planner = make_planner(cluster_state, job)
        daemon.leader = SimpleNamespace(
            cluster_state=cluster_state,
            planner=planner,
            epoch=3,
            has_authority=True,
            is_loaded=True,
            writer=SimpleNamespace(record=LeaderRecord("vm-a/1", 3), renewed_at=100.0),
        )
        return daemon

    def test_daemon_that_does_not_lead_names_the_leader(self):
        daemon = make_daemon(None)
        daemon.clock.advance(0.5)
        status, body = self.ask(daemon, "/explain/00000000000000ab")
        assert (status, body["vm"], body["leader"]) == (409, "vm-a", "vm-b")
        assert body["age_seconds"] == pytest.approx(0.5)

    def test_daemon_without_an_election_knows_no_leader(self):
        daemon = make_daemon(None)
        daemon.election = None
        status, body = self.ask(daemon, "/explain/00000000000000ab")
        assert (status, body["leader"], body["age_seconds"]) == (409, "", None)

    def test_leader_explains_known_jobs(self):
        job = make_job(make_step(count=3))
        daemon = self.make_leading_daemon(job)
        status, body = self.ask(daemon, f"/explain/{job.id}")
        assert (status, body["job"], body["epoch"]) == (200, job.id, 3)
        assert body["steps"][0]["fits_now"] == 3
        assert self.ask(daemon, "/explain/00000000000000ff")[0] == 404
        daemon.leader.is_loaded = False
        assert self.ask(daemon, f"/explain/{job.id}")[0] == 503

    def test_leader_explains_a_request_without_adding_it(self):
        daemon = self.make_leading_daemon(make_job())
        daemon.watcher.configuration = Configuration(
            1,
            (Route("example", "/desk/", "desk", 1, 3, 3.0, 1.0, 5.0),),
            (Team("team-a", frozenset(), 0, Resources(0, 0, 2)),),
        )
        jobs = list(daemon.leader.cluster_state.jobs)
        response = daemon.explain_request(json.dumps(self.REQUEST).encode())
        body = json.loads(response.body)
        assert (response.status, body["job"], body["refused"]) == (200, "(request)", "")
        assert body["steps"][0]["fits_now"] == 3
        assert list(daemon.leader.cluster_state.jobs) == jobs
        for wrong in ({}, {**self.REQUEST, "queue": "none"}, {**self.REQUEST, "team": "none"}):
            assert daemon.explain_request(json.dumps(wrong).encode()).status == 422
        digits, nested = 400 * "9", 900 * "[" + 900 * "]"
        for name in ("queue", "team", "job"):
            for odd in (digits, nested, f'{{"Spec": {nested}}}', f'{{"x": {digits}}}'):
                others = json.dumps({key: self.REQUEST[key] for key in self.REQUEST if key != name})
                body = f'{others[:-1]}, "{name}": {odd}}}'
                assert daemon.explain_request(body.encode()).status == 422, body
        assert daemon.explain_request(b"{").status == 422


class TestReports:
    """What anybody may ask of the metrics address, as often as they like."""

    @pytest.mark.parametrize(
        "path, method, name",
        [("/metrics", "metrics.summaries", "summaries"), ("/dump", "dump", "dump")],
    )
    def test_report_is_computed_a_few_times_a_second(self, monkeypatch, path, method, name):
        daemon = make_daemon(None)
        owner = daemon.metrics if method.startswith("metrics") else daemon
        compute, calls = getattr(owner, name), []
        monkeypatch.setattr(owner, name, lambda: calls.append(1) or compute())
        responses = [
            asyncio.run(daemon.handle_metrics(HttpRequest("GET", path))) for _ in range(100)
        ]
        assert {each.status for each in responses} == {200}
        assert len(calls) <= 10

    def test_explanations_are_limited(self):
        daemon = make_daemon(None)
        request = HttpRequest("GET", "/explain/00000000000000ab")
        responses = [asyncio.run(daemon.handle_metrics(request)) for _ in range(100)]
        refused = [each for each in responses if each.status == 503]
        assert 60 <= len(refused) <= 80
        assert {each.header(b"retry-after") for each in refused} == {"1"}
