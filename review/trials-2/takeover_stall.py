import asyncio, signal, sys, time
from pathlib import Path
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import Unfit, World, main
MINIONS=10
JOB="00000000000000f1"
async def play(folder, trouble):
    async with World(folder) as world:
        for n in range(MINIONS):
            await world.add_minion(f"w{n}", f"machine-{n}", "z-"+"abc"[n%3], f"r{n%3}")
        world.configure()
        await world.start_daemons()
        await asyncio.sleep(5)
        step={"Count":1,"Cpu":1000,"MemMb":1000,"Gpu":1,"EstimatedMs":3000}
        await world.submit(JOB,[step,{**step,"After":[0]}])
        await world.wait_for(lambda: world.active_runs(JOB),10,"run")
        await asyncio.sleep(0.3)
        busy=world.active_runs(JOB)[0][2]
        if trouble:
            idle=next(n for n in reversed(world.minions) if n!=busy)
            world.minions[idle].crash()
            await asyncio.sleep(0.2)
            name=world.leader()
            await world.end_daemon(name, signal.SIGKILL)
            await asyncio.sleep(0.3)
            await world.start_daemon(name)
        last=world.record.now
        broken=""; due=None
        end=time.monotonic()+25
        while time.monotonic()<end:
            await asyncio.sleep(0.1)
            done=[r for r in world.runs if r[0]==f"{JOB}.0.0.0" and r[5]=="done"]
            if any(r[0]==f"{JOB}.0.1.0" for r in world.runs): break
            if done and not world.active_runs(JOB):
                due=due or done[0][4]
                start=max(due,last+4.0)
                if world.record.now-start>3.0 and not broken:
                    broken=f"LOST: nothing for 3 s though step 1 is due since {world.record.now-due:.1f} s"
                    world.record(broken)
        started=[r[3] for r in world.runs if r[0]==f"{JOB}.0.1.0"]
        print("due",due,"started",started, "waited", started and started[0]-done[0][4])
        return broken
main(Path(__file__).parent, play)
