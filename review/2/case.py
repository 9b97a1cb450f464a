"""After a takeover, a task of a minion that is cut off and runs on is started a second time."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from platform_standin import CannotRun, Task, World, main  # noqa: E402

CUT_SECONDS = 5.5
KILL_DELAY_SECONDS = 0.5
DOWN_SECONDS = 0.5
WORK_SECONDS = 18.0
JOBS = 6


def overlaps(runs: list[Task]) -> list[tuple[Task, Task]]:
    """Return pairs of runs of one task that were active at the same time, longer than 50 ms."""
    now = time.monotonic()
    return [
        (one, other)
        for one in runs
        for other in runs
        if one.task == other.task
        and one.attempt < other.attempt
        and (one.ended or now) > other.began + 0.05
    ]


async def scenario(world: World) -> str:
    jobs = [f"00000000000000a{number:x}" for number in range(JOBS)]
    for number, job_id in enumerate(jobs):
        await world.submit(job_id, world.make_job(job_id, WORK_SECONDS, gpu=8), number)
    await world.wait_for(lambda: len(world.runs) == JOBS, 15, "all jobs at work")
    # At any moment of the minion's heartbeat.
    await asyncio.sleep(1.5 + random.random() * 1.5)
    victim = world.runs[0].minion
    leader = world.leader()
    if leader is None:
        raise CannotRun("no leader")
    if world.trouble:
        await victim.set_cut("refuse")
        await asyncio.sleep(KILL_DELAY_SECONDS)
        leader.send(9)
        await leader.process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        await leader.start()
        await asyncio.sleep(CUT_SECONDS - KILL_DELAY_SECONDS - DOWN_SECONDS)
        await victim.set_cut(None)
    else:
        await asyncio.sleep(CUT_SECONDS)
    await asyncio.sleep(3.0)
    twice = overlaps(world.runs)
    for one, other in twice:
        ended = one.ended or time.monotonic()
        world.record.write(
            f"task {one.task}: attempt {one.attempt} on {one.minion.id} and attempt "
            f"{other.attempt} on {other.minion.id} both ran for {ended - other.began:.2f} s"
        )
    if twice:
        return f"TWICE: two runs at the same time of {', '.join(one.task for one, _ in twice)}"
    return ""


if __name__ == "__main__":
    main(scenario, FOLDER)
