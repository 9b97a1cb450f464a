"""Long tasks stand on every rack; a rack-local gang waits for them beside 16 free minions."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-3"))

from standin import BROKEN, HELD, NOT_RUN, Bench, Minion, main, wait_until  # noqa: E402

LONG, GANG = "0c0e7a21d94b36f8", "5c0e7a21d94b36f8"
MINIONS, RACKS, MEMBERS = 24, 4, 5
FINISH_S, IDLE_S = 14.0, 3.0

# Two tasks on each rack of six minions.
LONG_STEP = {
    "Count": 2 * RACKS,
    "Cpu": 11000,
    "MemMb": 33000,
    "Gpu": 1,
    "EstimatedMs": 90000,
    "AntiAffinity": 1,
}
GANG_STEP = {
    "Count": MEMBERS,
    "Cpu": 52000,
    "MemMb": 150000,
    "Gpu": 8,
    "EstimatedMs": 2000,
    "GangScheduled": True,
    "RackLocal": True,
}


async def play(folder):
    async with Bench(folder) as bench:
        zones = ("moshi", "arusha", "tanga", "babati")
        bench.minions = [
            Minion(bench, n, zones[n % 4], f"r1-{n % RACKS}") for n in range(MINIONS)
        ]
        await bench.start_minions()
        await bench.write_configuration()
        await bench.start_daemons()
        await asyncio.sleep(3)
        if bench.trouble:
            if await bench.submit("rx", LONG, [LONG_STEP], ms=90000) != 200:
                return NOT_RUN
            if not await wait_until(lambda: len(bench.active_runs(LONG)) == 2 * RACKS, 10):
                return NOT_RUN
            await asyncio.sleep(2)
        if await bench.submit("rx", GANG, [GANG_STEP], ms=2000) != 200:
            return NOT_RUN
        bench.record("the traffic ends")
        await asyncio.sleep(FINISH_S)
        state, idle_since, longest = None, None, 0.0
        end = time.monotonic() + 10
        while time.monotonic() < end and state != "completed":
            state = await bench.state("rx", GANG)
            is_idle = state != "completed" and not bench.active_runs(GANG)
            if is_idle and bench.has_room_twice(GANG_STEP, MEMBERS):
                idle_since = idle_since or time.monotonic()
                longest = max(longest, time.monotonic() - idle_since)
            else:
                idle_since = None
            await asyncio.sleep(0.5)
        bench.record(
            f"from {FINISH_S} s after the end of the traffic: shown as {state}; nothing of the gang "
            f"ran for {longest:.1f} s, with room for it twice over"
        )
        return BROKEN if longest > IDLE_S else HELD


main(play)
