import random

import attrs
import pytest

from jaypier.core.address import Address
from jaypier.core.clock import VirtualClock
from jaypier.entry.daemon import EntryDaemon
from jaypier.entry.settings import Bounds, VmSettings
from jaypier.jobs.election import Election, LeaderRecord
from jaypier.jobs.tests.builders import make_job, make_step
from jaypier.scheduling.overload import (
    MAX_SUMMARY_AGE_SECONDS,
    LoadSummary,
    OverloadSettings,
    PoolLoad,
    encode_summary,
)
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
