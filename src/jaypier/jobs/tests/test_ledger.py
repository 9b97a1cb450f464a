import asyncio
import random

from jaypier.jobs.election import Election
from jaypier.jobs.ledger import LeaderLedger
from jaypier.platform import Put
from standins.cluster import MAX_ROW_BYTES, MemoryStore
from standins.virtual_time import LoopClock, run_in_virtual_time


async def open_ledger(store: MemoryStore) -> LeaderLedger:
    clock = LoopClock(asyncio.get_running_loop())
    election = Election(store, "vm-a/1", 0.1, clock, random.Random(1))
    _, version = await election.win()
    ledger = LeaderLedger(store, election.leadership, version, clock)
    await ledger.open()
    return ledger


class TestRefusedWrites:
    def test_row_that_the_store_refuses_is_left_out_and_the_others_are_written(self):
        async def scenario():
            store = MemoryStore(random.Random(1))
            ledger = await open_ledger(store)
            puts = [Put(f"progress/{number}", number) for number in range(8)]
            puts[3] = Put("progress/3", "x" * MAX_ROW_BYTES)
            await ledger.write(puts, ["progress/9"], True)
            kept = {key for key in store.rows if key.startswith("progress/")}
            assert kept == {f"progress/{number}" for number in (0, 1, 2, 4, 5, 6, 7)}

        run_in_virtual_time(scenario())

    def test_call_that_is_too_long_is_written_in_parts(self):
        async def scenario():
            store = MemoryStore(random.Random(1))
            ledger = await open_ledger(store)
            puts = [Put(f"progress/{number}", "x" * 60_000) for number in range(30)]
            await ledger.write(puts, [], False)
            assert sum(key.startswith("progress/") for key in store.rows) == 30

        run_in_virtual_time(scenario())
