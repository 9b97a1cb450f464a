import asyncio

from jaypier.core.clock import VirtualClock
from jaypier.core.slices import MONITOR_INTERVAL_SECONDS, LoopMonitor, Slicer, batched
from standins.virtual_time import LoopClock, run_in_virtual_time


class TestSlicer:
    def test_others_run_only_when_a_slice_is_over(self):
        async def scenario():
            clock, slices, turns = VirtualClock(), [], []
            task = asyncio.get_running_loop().create_task(asyncio.sleep(0))
            task.add_done_callback(lambda _: turns.append(clock.now()))
            with Slicer(clock, slices.append, 0.5) as slicer:
                for _ in range(8):
                    clock.advance(0.25)
                    await slicer.pause()
            return slices, turns

        slices, turns = asyncio.run(scenario())
        assert slices == [0.5, 0.5, 0.5, 0.5, 0.0]
        assert turns and turns[0] >= 0.5

    def test_work_that_does_not_pause_is_observed_at_its_end(self):
        clock, slices = VirtualClock(), []
        with Slicer(clock, slices.append, 0.5) as slicer:
            clock.advance(2.0)
            assert slicer.is_over()
        assert slices == [2.0]


class TestLoopMonitor:
    def test_delay_is_that_of_the_work_in_between(self):
        async def scenario():
            loop, delays = asyncio.get_running_loop(), []
            task = loop.create_task(LoopMonitor(LoopClock(loop), delays.append).run())
            await asyncio.sleep(2.5 * MONITOR_INTERVAL_SECONDS)
            # Work that takes a second of this loop's time.
            loop.time_selector.elapsed_seconds += 1.0
            await asyncio.sleep(0.01)
            task.cancel()
            return delays

        delays = run_in_virtual_time(scenario())
        assert delays[:2] == [0.0, 0.0]
        assert 1.0 - MONITOR_INTERVAL_SECONDS <= delays[2] <= 1.0


class TestBatched:
    def test_last_list_may_be_shorter(self):
        assert list(batched(range(5), 2)) == [[0, 1], [2, 3], [4]]
        assert list(batched([], 2)) == []
