"""A lasting task stays away for over 9 s beside idle room, since its minion counts as faulty.

The task may only run on one minion, by its label. It fails twice by its own fault, as tasks that
last may do. The minion is sound and idle all the while.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import Unfit, World, main  # noqa: E402

MINIONS = 8
LABEL = "big"
JOB = "00000000000000b1"
FAILURES = 2
WORK_S = 8.0
AWAY_S = 6.0
SPAN_S = 3.0


async def play(folder, trouble):
    async with World(folder) as world:
        failures = []

        def fate(minion, run):
            if not trouble or len(failures) >= FAILURES:
                return None
            failures.append(run)
            return "failed", WORK_S

        world.fate = fate
        for number in range(MINIONS):
            kind = LABEL if number == 3 else "a"
            await world.add_minion(f"w{number}", zone="z-a", rack="r1", kind=kind)
        world.configure()
        await world.start_daemons()
        step = {"Count": 1, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "LongRunning": True}
        await world.submit(JOB, [{**step, "Requirements": LABEL}])
        await world.wait_for(lambda: world.active_runs(JOB), 20, "the job's run begins")
        broken = ""
        deadline = time.monotonic() + 45
        while time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            runs = [each for each in world.runs if each[0].startswith(JOB)]
            if any(each[4] is None for each in runs):
                continue
            away = world.record.now - max(each[4] for each in runs)
            if away > AWAY_S + SPAN_S and not broken:
                broken = f"LOST: the task is away for over {away:.1f} s beside an idle minion"
                world.record(broken)
        runs = [each for each in world.runs if each[0].startswith(JOB)]
        for earlier, later in zip(runs, runs[1:]):
            gap = later[3] - earlier[4]
            world.record(f"away from {earlier[4]:.2f} to {later[3]:.2f}: {gap:.2f} s")
        if trouble and len(failures) < FAILURES:
            raise Unfit(f"{len(failures)} failures")
        return broken


main(Path(__file__).parent, play)
