import asyncio
import math
import random

import pytest

from jaypier.jobs.election import LEADER_KEY, LEADER_TIMEOUT_SECONDS, Election
from jaypier.jobs.fenced_writer import SEQUENCE_KEY, FencedWriter, LeadershipLost
from jaypier.platform import Put, Row, Transaction
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


def nested(levels: int) -> list:
    value: list = []
    for _ in range(levels):
        value = [value]
    return value


ODD_LEADER_VALUES = [
    7, "text", [], {}, nested(900), nested(200_000),
    {"owner": nested(900), "epoch": 3}, {"owner": "vm-x/1"}, {"owner": 7, "epoch": 3},
    {"owner": "vm-x/1", "epoch": "many"}, {"owner": "vm-x/1", "epoch": nested(900)},
    {"owner": "vm-x/1", "epoch": int(400 * "9")}, {"owner": "vm-x/1", "epoch": math.inf},
    {"owner": "vm-x/1", "epoch": -1}, {"owner": "vm-x/1", "epoch": True},
    {"owner": "vm-x/1", "epoch": 3, "renewals": int(400 * "9")},
    {"owner": "vm-x/1", "epoch": 3, "renewed_at": math.nan},
    {"owner": "vm-x/1", "epoch": 3, "renewed_at": int(400 * "9")},
]  # fmt: skip


def replace_row(store: MemoryStore, key: str, value: object) -> None:
    store.apply(Transaction(puts=[Put(key, None)]))
    store.rows[key] = store.history[-1] = Row(key, value, store.version)


class SharedStore(MemoryStore):
    """A store that returns the rows themselves, as deeply nested values cannot be copied."""

    async def read(self, key: str) -> Row | None:
        await self.simulate_call()
        return self.rows.get(key)


class TestOddLeaderRow:
    @pytest.mark.parametrize("value", ODD_LEADER_VALUES)
    def test_leader_whose_row_is_replaced_ends_its_leadership(self, value):
        # Regression: the leader failed with an error of the decoder instead.
        async def scenario():
            store = MemoryStore(random.Random(1))
            writer = await open_writer(store)
            with pytest.raises(LeadershipLost):
                writer.refresh_versions({LEADER_KEY: Row(LEADER_KEY, value, 9)})

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("value", ODD_LEADER_VALUES)
    def test_new_daemon_takes_over_with_an_epoch_that_nobody_has_used(self, value):
        # Regression (LOST): a leader's row that could not be decoded stopped all elections.
        async def scenario():
            store = SharedStore(random.Random(1))
            writer = await open_writer(store)
            await writer.write([], [], True)
            replace_row(store, LEADER_KEY, value)
            clock = LoopClock(asyncio.get_running_loop())
            odd_since = clock.now()
            election = Election(store, "vm-b/1", 0.1, clock, random.Random(2))
            epoch, _ = await asyncio.wait_for(election.campaign(), 5)
            assert epoch > writer.record.epoch + 1
            assert clock.now() - odd_since >= LEADER_TIMEOUT_SECONDS

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("turn", [7.5, "text", -1, int(400 * "9"), nested(900)])
    def test_odd_sequence_row_does_not_stop_the_election(self, turn):
        async def scenario():
            store = SharedStore(random.Random(1))
            replace_row(store, LEADER_KEY, [])
            replace_row(store, SEQUENCE_KEY, turn)
            writer = await asyncio.wait_for(open_writer(store), 5)
            await writer.write([], [], True)

        run_in_virtual_time(scenario())

    @pytest.mark.parametrize("saw_it", [True, False])
    def test_deleted_row_stops_no_election(self, saw_it):
        # Regression (LOST): a claim expected the version of the deleted row for ever.
        async def scenario():
            store = MemoryStore(random.Random(1))
            writer = await open_writer(store)
            await writer.write([], [], True)
            clock = LoopClock(asyncio.get_running_loop())
            election = Election(store, "vm-b/1", 0.1, clock, random.Random(2))
            if saw_it:
                await election.read()
            store.apply(Transaction(deletes=[LEADER_KEY]))
            calls = store.call_count
            epoch, _ = await asyncio.wait_for(election.campaign(), 5)
            assert epoch > writer.record.epoch
            assert store.call_count - calls < 20

        run_in_virtual_time(scenario())

    def test_row_that_stays_odd_in_version_after_version_delays_no_election(self):
        async def scenario():
            store = MemoryStore(random.Random(1))
            await open_writer(store)

            async def write_odd_rows() -> None:
                while True:
                    store.apply(Transaction(puts=[Put(LEADER_KEY, [])]))
                    await asyncio.sleep(0.5)

            odd_writer = asyncio.create_task(write_odd_rows())
            clock = LoopClock(asyncio.get_running_loop())
            election = Election(store, "vm-b/1", 0.1, clock, random.Random(2))
            await asyncio.wait_for(election.campaign(), 5)
            odd_writer.cancel()

        run_in_virtual_time(scenario())
