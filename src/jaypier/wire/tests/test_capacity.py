from jaypier.wire.capacity import ChargedConnection, MemoryBudget


class FakeConnection(ChargedConnection):
    def __init__(self, budget: MemoryBudget, is_evictable: bool = True) -> None:
        self.budget = budget
        self.evictable = is_evictable
        self.is_evicted = False

    @property
    def is_evictable(self) -> bool:
        return self.evictable

    def evict(self) -> None:
        self.is_evicted = True
        self.budget.charge(self, 1)


class TestMemoryBudget:
    def fill(self, *counts: int, evictable: bool = True) -> list[FakeConnection]:
        budget = MemoryBudget(1000)
        connections = [FakeConnection(budget, evictable) for _ in counts]
        for connection, count in zip(connections, counts, strict=True):
            budget.charge(connection, count)
        return connections

    def test_nothing_is_evicted_within_the_budget(self):
        assert not any(each.is_evicted for each in self.fill(500, 400, 100))

    def test_connections_that_hold_most_are_evicted_until_some_is_free(self):
        connections = self.fill(100, 300, 250, 50, 301)
        assert [each.is_evicted for each in connections] == [False, False, False, False, True]
        assert connections[0].budget.held_bytes == 701

    def test_as_many_as_needed_are_evicted(self):
        connections = self.fill(*(100 * [10]), 10)
        assert sum(each.is_evicted for each in connections) == 15
        assert connections[0].budget.held_bytes <= 875

    def test_connections_that_may_not_be_evicted_are_spared(self):
        connections = self.fill(600, 600, evictable=False)
        assert not any(each.is_evicted for each in connections)
        assert connections[0].budget.held_bytes == 1200

    def test_later_charges_replace_earlier_ones(self):
        (connection,) = self.fill(800)
        connection.budget.charge(connection, 900)
        assert not connection.is_evicted
        connection.budget.release(connection)
        connection.budget.release(connection)
        assert connection.budget.held_bytes == 0
