import asyncio, sys, time
from pathlib import Path
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import Unfit, World, main
JOB="00000000000000b7"
async def play(folder, trouble):
    async with World(folder) as world:
        for n in range(8):
            await world.add_minion(f"w{n}", f"machine-{n}", "z-a", f"r{n//4}", kind="big" if n==3 else "a")
        world.configure()
        await world.start_daemons()
        await asyncio.sleep(4)
        s={"Count":1,"Cpu":1000,"MemMb":1000,"Gpu":1,"EstimatedMs":300}
        await world.submit(JOB,[s,{**s,"After":[0],"Requirements":"big"}],RepeatCount=200,StartAtMs=int(time.time()*1000)+500,IntervalMs=300)
        await asyncio.sleep(3)
        if trouble: world.minions["w3"].crash()
        t0=world.record.now
        broken=""
        end=time.monotonic()+45
        while time.monotonic()<end:
            await asyncio.sleep(0.2)
            mine=[r for r in world.runs if r[0].startswith(JOB)]
            last=max((r[4] if r[4] is not None else world.record.now) for r in mine)
            occ=max(int(r[0].split(".")[1]) for r in mine)
            if world.record.now-last>3 and world.record.now-t0>7 and not broken:
                broken=f"LOST nothing for {world.record.now-last:.1f}, highest occurrence {occ}, due {int((world.record.now-t0+3-0.5)/0.3)}"
        print("highest", occ)
        return broken
main(Path(__file__).parent, play)
