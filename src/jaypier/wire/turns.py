"""Turns of the connections of a server, so that many of them cannot keep the event loop busy."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

CONNECTIONS_PER_TURN = 8
"""Number of connections of a server that go on in one turn of the event loop."""


class TurnTaker(ABC):
    """A connection that waits for its turn."""

    @abstractmethod
    def take_turn(self) -> None:
        """Do a limited amount of work."""


class TurnQueue:
    """Lets a few connections go on in each turn of the event loop, the others in order.

    Background tasks and the other servers of the process run between two turns.

    :ivar queue: the connections that wait for a later turn.
    :ivar used: number of connections that have gone on since the last turn of the queue.
    :ivar is_scheduled: whether the next turn of the queue has been scheduled.
    """

    def __init__(self) -> None:
        self.queue: deque[TurnTaker] = deque()
        self.used = 0
        self.is_scheduled = False

    def request(self, connection: TurnTaker) -> bool:
        """Return whether a connection may go on now; otherwise it is called in a later turn."""
        if self.queue or self.used >= CONNECTIONS_PER_TURN:
            self.append(connection)
            return False
        self.used += 1
        if self.used == CONNECTIONS_PER_TURN:
            self.schedule()
        return True

    def append(self, connection: TurnTaker) -> None:
        """Call a connection in a later turn, after those that wait already."""
        self.queue.append(connection)
        self.schedule()

    def schedule(self) -> None:
        """Schedule the next turn of the queue."""
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self.run)

    def run(self) -> None:
        """Let the next connections go on."""
        self.is_scheduled = False
        self.used = min(CONNECTIONS_PER_TURN, len(self.queue))
        for _ in range(self.used):
            self.queue.popleft().take_turn()
        if self.used == CONNECTIONS_PER_TURN or self.queue:
            self.schedule()
