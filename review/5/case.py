"""One large job keeps each leader from renewing in time, so that no other job begins any more."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from platform_standin import World, main  # noqa: E402

STEPS = 160
OCCURRENCES = 30
INTERVAL_MS = 300
DUE_SECONDS = OCCURRENCES * INTERVAL_MS / 1000 + 3.0
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
LARGE = "00000000000000a7"
LATER = [f"00000000000000b{number}" for number in range(3)]


def make_large_job() -> dict:
    """Return a pipeline of many short steps and a long last one, whose occurrences overlap."""
    step = {"Count": 1, "Cpu": 1000, "MemMb": 16, "EstimatedMs": 200}
    last = {**step, "After": list(range(STEPS)), "EstimatedMs": 90000}
    return {
        "Spec": "work 0.2 90",
        "Phases": [step] * STEPS + [last],
        "RepeatCount": OCCURRENCES,
        "StartAtMs": int(time.time() * 1000),
        "IntervalMs": INTERVAL_MS,
    }


async def scenario(world: World) -> str:
    due_at = time.time() + DUE_SECONDS
    for number, job_id in enumerate(LATER):
        job = world.make_job(job_id, 2.0)
        job |= {"RepeatCount": 1, "StartAtMs": int(due_at * 1000)}
        await world.submit(job_id, job, number)
    if world.trouble:
        world.jobs[LARGE] = make_large_job()
        await world.submit(LARGE, world.jobs[LARGE])
    await asyncio.sleep(due_at - time.time() + FINISH_SECONDS + IDLE_SECONDS)
    states = {job_id: await world.state(job_id) for job_id in LATER}
    never = [job_id for job_id in LATER if not world.runs_of(job_id)]
    processors = sum(
        world.jobs[run.task.split(".")[0]]["Phases"][0]["Cpu"]
        for minion in world.minions
        for run in minion.active.values()
    )
    share = processors / (64000 * len(world.minions))
    epochs = max(minion.token for minion in world.minions)
    world.record.write(f"states {states}; never begun: {never}")
    world.record.write(
        f"in use {share:.3f} of the processors, no GPU; leaderships so far: {epochs}"
    )
    if never and share < 0.5:
        return (
            f"LOST: {len(never)} of {len(LATER)} accepted jobs had nothing running for "
            f"{FINISH_SECONDS + IDLE_SECONDS:.0f} s with {share:.1%} of the capacity in use; "
            f"{epochs} leaderships"
        )
    return ""


if __name__ == "__main__":
    main(scenario, FOLDER)
