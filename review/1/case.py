"""An entry of another writer in the store's table of minions ends every leadership."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from platform_standin import HOST, SERVICE, World, main  # noqa: E402

FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
JOBS = 6


def foreign_entry(port: int) -> bytes:
    """Return an entry that an inventory tool wrote for capacity without a limit.

    ``Infinity`` is what Python's ``json.dumps`` writes for it; it is no JSON.
    """
    unlimited = float("inf")
    return json.dumps(
        {
            "Service": SERVICE,
            "Address": f"{HOST}:{port}",
            "Zone": "zone-a",
            "State": "ready",
            "Sequence": 1,
            "Capacity": {"Cpu": unlimited, "MemMb": unlimited, "Gpu": unlimited},
            "Labels": ["a", "r0-1"],
        }
    ).encode()


async def scenario(world: World) -> str:
    # The deployment works: one job is done before the disruption.
    first = "00000000000000f0"
    await world.submit(first, world.make_job(first, 0.5))
    await world.wait_for(
        lambda: any(run.how == "done" for run in world.runs_of(first)), 15, "first job done"
    )
    if world.trouble:
        world.store.put("servers", "inventory-7", foreign_entry(world.next_port + 500))
        world.record.write("store: another writer adds the entry servers/inventory-7")
    await asyncio.sleep(1.0)
    jobs = [f"00000000000001{number:02x}" for number in range(JOBS)]
    for number, job_id in enumerate(jobs):
        await world.submit(job_id, world.make_job(job_id, 1.0), number)
    await asyncio.sleep(FINISH_SECONDS + IDLE_SECONDS)
    states = {job_id: await world.state(job_id) for job_id in jobs}
    never = [job_id for job_id in jobs if not world.runs_of(job_id)]
    ended = sum(each.log_text().count('"leadership ended"') for each in world.daemons)
    world.record.write(f"states {states}; never begun {len(never)} of {JOBS}")
    world.record.write(f"leaderships that ended: {ended}; entries of sound minions: all present")
    if never:
        return (
            f"LOST: {len(never)} of {JOBS} accepted jobs had nothing running for "
            f"{FINISH_SECONDS + IDLE_SECONDS:.0f} s with all minions idle"
        )
    return ""


if __name__ == "__main__":
    main(scenario, FOLDER)
