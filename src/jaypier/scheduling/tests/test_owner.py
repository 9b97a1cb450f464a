"""Tests of the owner's task."""

import asyncio
import random

import testtools
from testtools.matchers import Equals

from jaypier.core.metrics import Metrics
from jaypier.scheduling.owner import ConfigurationChanged, DataCentreOwner
from standins.virtual_time import LoopClock, run_virtually


class TestFaults(testtools.TestCase):
    def test_fault_in_a_decision_gives_the_data_centre_up(self):
        given_up = []

        async def work():
            owner = DataCentreOwner(
                "here",
                7,
                "entry-1",
                LoopClock(asyncio.get_running_loop()),
                lambda owner: True,
                None,
                lambda owner, epoch: given_up.append(epoch),
                Metrics(),
                random.Random(1),
            )
            async with owner:
                owner.deliver(ConfigurationChanged(None))
                await asyncio.sleep(1)
                self.assertFalse(owner.may_start)

        run_virtually(work())
        self.assertThat(given_up, Equals([7]))
