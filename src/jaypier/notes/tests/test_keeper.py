"""Focused tests of the configuration in force."""

import asyncio

import testtools
from testtools.matchers import Equals

from jaypier.notes.errors import LedgerUnavailable
from jaypier.notes.tests.builders import NoteDaemon, team_note
from standins.platform import PlatformStandIn
from standins.virtual_time import LoopClock, run_virtually


class TestConfirmation(testtools.TestCase):
    def test_stale_read_does_not_confirm_the_version(self):
        async def work():
            daemon = NoteDaemon(PlatformStandIn(), LoopClock(asyncio.get_running_loop()), 1)
            await daemon.submit(team_note("n1", "a"))
            old_rows = dict(daemon.platform.shared.rows)
            await daemon.submit(team_note("n2", "b"))
            await asyncio.sleep(10)
            daemon.platform.access.stale = old_rows
            with testtools.ExpectedException(LedgerUnavailable):
                await daemon.keeper.refresh()
            self.assertFalse(daemon.keeper.is_current)
            self.assertThat(daemon.keeper.configuration.version, Equals(2))

        run_virtually(work())

    def test_daemon_that_lags_far_loads_the_snapshot(self):
        async def work():
            shared = PlatformStandIn()
            clock = LoopClock(asyncio.get_running_loop())
            writer, reader = NoteDaemon(shared, clock, 1), NoteDaemon(shared, clock, 2)
            for index in range(19):
                await writer.submit(team_note(f"n{index}", f"t{index}"))
            await reader.keeper.refresh()
            self.assertThat(reader.keeper.configuration, Equals(writer.keeper.configuration))
            self.assertNotIn("config/log/000000000001", shared.rows)

        run_virtually(work())
