"""Jobs are shown as failed, and a lasting one is given up, after two crashes of their minions."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from platform_standin import Minion, Task, World, main  # noqa: E402

CRASH_AFTER_SECONDS = 1.0
DOWN_SECONDS = 4.5
CRASHES = 2
LASTING, PLAIN = "00000000000000e1", "00000000000000e2"
IDLE_SECONDS = 3.0
RESTART_SECONDS = 6.0


async def scenario(world: World) -> str:
    crashes = {LASTING: 0, PLAIN: 0}
    backs: list[asyncio.Task] = []

    async def crash(minion: Minion, job_id: str) -> None:
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        minion.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await minion.come_back(f"{minion.id}-again")

    def on_start(minion: Minion, run: Task) -> None:
        job_id = run.task.split(".")[0]
        if world.trouble and crashes.get(job_id, CRASHES) < CRASHES:
            crashes[job_id] += 1
            backs.append(asyncio.create_task(crash(minion, job_id)))

    world.on_start = on_start
    broken = []
    for job_id, lasting in ((LASTING, True), (PLAIN, False)):
        job = world.make_job(job_id, 10_000.0 if lasting else 8.0)
        if lasting:
            job["Phases"][0] |= {"LongRunning": True, "EstimatedMs": 8000}
        await world.submit(job_id, job)
        until = time.monotonic() + 40
        while time.monotonic() < until:
            active = [run for run in world.runs_of(job_id) if run.ended is None]
            state = await world.state(job_id)
            if state in ("failed", "completed"):
                break
            if active and time.monotonic() - active[-1].began > 9:
                break
            await asyncio.sleep(0.5)
        if state == "failed":
            # A task that lasts has to run again 6 s after its last run.
            await asyncio.sleep(RESTART_SECONDS + IDLE_SECONDS)
            state = await world.state(job_id)
            active = [run for run in world.runs_of(job_id) if run.ended is None]
            ends = [run.how for run in world.runs_of(job_id)]
            world.record.write(f"job {job_id}: {state}, its runs: {ends}, active: {len(active)}")
            if state == "failed" and "failed" not in ends:
                broken.append(f"{'lasting' if lasting else 'plain'} job {job_id}")
        else:
            world.record.write(f"job {job_id}: {state}")
        if lasting:
            await world.ask(world.daemons[0], "DELETE", job_id)
    for task in backs:
        task.cancel()
    if broken:
        return f"LOST: shown as failed without an end `failed`: {', '.join(broken)}"
    return ""


if __name__ == "__main__":
    main(scenario, FOLDER)
