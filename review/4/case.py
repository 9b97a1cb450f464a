"""A job never begins beside idle minions, as one of the same shape waits for a lost minion."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from platform_standin import World, main  # noqa: E402

FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
CALM_SECONDS = 8.0
REPLICAS = "00000000000000a1"
LATER = [f"00000000000000b{number}" for number in range(3)]


async def scenario(world: World) -> str:
    minions = len(world.minions)
    replicas = world.make_job(REPLICAS, 10_000.0, count=minions)
    replicas["Phases"][0] |= {"LongRunning": True, "AntiAffinity": 1}
    # A task that lasts has no duration to estimate.
    del replicas["Phases"][0]["EstimatedMs"]
    await world.submit(REPLICAS, replicas)
    await world.wait_for(lambda: len(world.runs) == minions, 15, "one replica on each minion")
    await asyncio.sleep(3.0)
    if world.trouble:
        # It is lost for good: its entry expires, and no other one comes in its place.
        world.minions[-1].crash()
    await asyncio.sleep(CALM_SECONDS)
    for number, job_id in enumerate(LATER):
        job = world.make_job(job_id, 6.0, count=2)
        job["Phases"][0]["AntiAffinity"] = 1
        await world.submit(job_id, job, number)
    await asyncio.sleep(FINISH_SECONDS + IDLE_SECONDS)
    states = {job_id: await world.state(job_id) for job_id in LATER}
    never = [job_id for job_id in LATER if not world.runs_of(job_id)]
    for minion in world.minions:
        world.record.write(f"{minion.id}: up {minion.is_up}, {len(minion.active)} of 8 GPUs in use")
    world.record.write(f"states {states}; never begun: {never}")
    if never:
        return (
            f"LOST: {len(never)} of {len(LATER)} accepted jobs had nothing running for "
            f"{FINISH_SECONDS + IDLE_SECONDS:.0f} s with an eighth of the capacity in use"
        )
    return ""


if __name__ == "__main__":
    main(scenario, FOLDER)
