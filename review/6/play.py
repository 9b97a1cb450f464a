"""A task runs twice: a start that its minion carries out late is taken for lapsed.

The minion goes down and comes back under its id while a job is assigned to it. The start reaches its
new life before the leader knows of that. The minion then hangs for 6.5 s, with its heartbeats, and
carries out afterwards what it has received.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import Unfit, World, main  # noqa: E402

MINIONS = 10
JOB = "00000000000000a1"
FILLER = "00000000000000f{:x}"
FILLER_S = 12.0
DOWN_S = 0.5
ARRIVES_S = 0.22
HANGS_S = 6.5


def overlap(runs):
    """Return two runs of one task that were there at the same time, None if there are none."""
    for index, one in enumerate(runs):
        for other in runs[index + 1 :]:
            begin = max(one[3], other[3])
            end = min(each[4] if each[4] is not None else 1e9 for each in (one, other))
            if one[0] == other[0] and begin < end:
                return one, other, end - begin
    return None


async def play(folder, trouble):
    async with World(folder) as world:
        for number in range(MINIONS):
            zone = "z-" + "abc"[number % 3]
            await world.add_minion(f"w{number}", f"machine-{number}", zone, f"r{number % 3}")
        world.configure()
        await world.start_daemons()
        await asyncio.sleep(4.0)
        # All minions but one have work for 12 s, so the job goes to the idle one.
        step = {"Count": 1, "Cpu": 1000, "MemMb": 1000, "Gpu": 8}
        for number in range(MINIONS - 1):
            await world.submit(FILLER.format(number), [{**step, "EstimatedMs": 1000 * FILLER_S}])
        await world.wait_for(lambda: len(world.runs) == MINIONS - 1, 20, "other work begins")
        await asyncio.sleep(FILLER_S - 5.0)
        busy = {each[2] for each in world.runs}
        name = next(each for each in world.minions if each not in busy)
        old = world.minions[name]
        if trouble:
            old.crash()
            await asyncio.sleep(ARRIVES_S)
        sender = asyncio.ensure_future(world.submit(JOB, [{**step, "EstimatedMs": 6000}]))
        if trouble:
            await asyncio.sleep(DOWN_S - ARRIVES_S)
            new = await world.add_minion(
                name, old.machine, old.zone, old.rack, port=old.address[1], is_well=False
            )
            await asyncio.sleep(HANGS_S)
            new.is_well.set()
            world.record(f"minion {name} is well again")
        await sender
        broken = ""
        deadline = time.monotonic() + 15.0
        while time.monotonic() < deadline:
            await asyncio.sleep(0.05)
            runs = [each for each in world.runs if each[0].startswith(JOB)]
            found = overlap(runs)
            if found and not broken:
                one, other, _ = found
                broken = f"TWICE: {one[0]} runs on {one[2]} and on {other[2]} at the same time"
                world.record(broken)
            if any(each[5] == "done" for each in runs) and not world.active_runs(JOB):
                break
        runs = [each for each in world.runs if each[0].startswith(JOB)]
        if not runs:
            raise Unfit("the job never began")
        found = overlap(runs)
        world.record(f"runs of the job: {[each[1:] for each in runs]}")
        return broken and f"{broken}, for {found[2]:.2f} s"


main(Path(__file__).parent, play)
