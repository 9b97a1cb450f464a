import asyncio
import random

from jaypier.jobs.election import Election
from jaypier.jobs.fenced_writer import FencedWriter
from jaypier.platform import Put
from standins.cluster import MAX_ROW_BYTES, MemoryStore
from standins.virtual_time import LoopClock, run_in_virtual_time


async def open_writer(store: MemoryStore) -> FencedWriter:
    clock = LoopClock(asyncio.get_running_loop())
    election = Election(store, "vm-a/1", 0.1, clock, random.Random(1))
    _, version = await election.campaign()
    writer = FencedWriter(store, election.record, version, clock)
    await writer.open()
    return writer


class TestRefusedWrites:
    def test_refused_row_is_skipped_and_others_are_written(self):
        async def scenario():
            store = MemoryStore(random.Random(1))
            writer = await open_writer(store)
            puts = [Put(f"progress/{number}", number) for number in range(8)]
            puts[3] = Put("progress/3", "x" * MAX_ROW_BYTES)
            await writer.write(puts, ["progress/9"], True)
            written_keys = {key for key in store.rows if key.startswith("progress/")}
            assert written_keys == {f"progress/{number}" for number in (0, 1, 2, 4, 5, 6, 7)}

        run_in_virtual_time(scenario())

    def test_oversized_write_is_split(self):
        async def scenario():
            store = MemoryStore(random.Random(1))
            writer = await open_writer(store)
            puts = [Put(f"progress/{number}", "x" * 60_000) for number in range(30)]
            await writer.write(puts, [], False)
            assert sum(key.startswith("progress/") for key in store.rows) == 30

        run_in_virtual_time(scenario())
