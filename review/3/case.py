"""A job runs on although its cancelling was acknowledged, as its own hand-in was stored late."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from platform_standin import World, main  # noqa: E402

LATE_SECONDS = 5.5
CANCEL_SECONDS, STOP_SECONDS, CONTACT_SECONDS = 3.0, 0.9, 3.0
WORK_SECONDS = 25.0
OTHER_JOBS = 8
VICTIM = "00000000000000c1"


async def send_others(world: World) -> None:
    """Hand in other clients' jobs meanwhile."""
    for number in range(OTHER_JOBS):
        job_id = f"00000000000000d{number:x}"
        await world.submit(job_id, world.make_job(job_id, 0.5), number)
        await asyncio.sleep(0.25)


async def scenario(world: World) -> str:
    first = "00000000000000f0"
    await world.submit(first, world.make_job(first, 0.5))
    await world.wait_for(
        lambda: any(run.how == "done" for run in world.runs_of(first)), 15, "first job done"
    )
    lost: list[float] = []
    writes: list[float] = []

    def fault(origin: str, body: dict) -> float | None:
        """Do the writes of the client's job late and leave them unanswered, 6 s at most."""
        writes.append(time.monotonic())
        if any(row["Key"] == VICTIM for row in body.get("Write", ())):
            lost.append(time.monotonic())
            world.record.write(f"store: write of {VICTIM} by {origin} stays unanswered")
            return max(1.0, LATE_SECONDS - (time.monotonic() - lost[0]))
        return None

    if world.trouble:
        world.store.fault = fault
    others = asyncio.create_task(send_others(world))
    job = world.make_job(VICTIM, WORK_SECONDS)
    status, _ = await world.ask(world.daemons[0], "POST", VICTIM, job)
    if world.trouble and status is not None and 200 <= status < 300:
        return "the hand-in was answered with success while its writes were lost"
    world.store.fault = lambda origin, body: None
    await others
    world.record.write(f"store: {len(lost)} of {len(writes)} writes were lost")
    # The client gives up on the job and cancels it, at another node.
    status, _ = await world.ask(world.daemons[1], "DELETE", VICTIM)
    if status != 410 and not (status is not None and 200 <= status < 300):
        return ""
    acknowledged = time.monotonic()
    world.record.write(f"the cancelling of {VICTIM} is acknowledged with {status}")
    # The last late write is done within 6 s; calm from then on.
    await asyncio.sleep(LATE_SECONDS + CONTACT_SECONDS + CANCEL_SECONDS + STOP_SECONDS)
    at_work = [run for run in world.runs_of(VICTIM) if run.ended is None]
    for run in world.runs_of(VICTIM):
        world.record.write(
            f"run {run.task} began {run.began - acknowledged:.1f} s after the acknowledgement, "
            f"ended: {run.how}"
        )
    await world.state(VICTIM)
    if at_work:
        return (
            f"UNASKED: a task of {VICTIM} is at work {time.monotonic() - acknowledged:.1f} s after "
            f"the cancelling was acknowledged with {status}"
        )
    return ""


if __name__ == "__main__":
    main(scenario, FOLDER)
