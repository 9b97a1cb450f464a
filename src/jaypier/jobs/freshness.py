"""Decides whether the capacities in workers' entries are recent enough to start tasks by them.

Answers store outages: a worker cannot announce a reduced capacity while the store is down, and one
that does not guard its capacity starts whatever it is told to.
"""

import math

import attrs

ANNOUNCEMENT_SECONDS = 1.5
"""Time after which a worker that reaches the store has announced a change: one heartbeat."""

MAX_READ_GAP_SECONDS = 1.0
"""Longest time from a read of the entries to the next one after which the store counts as available
all the while, so that workers could announce their changes."""

MAX_AGE_SECONDS = 4.0
"""Age up to which a capacity may be used. The platform's specification allows 4.5 s, of which a
start request may take 0.4 s."""


ENTRY_SECONDS = 5.0
"""Longest time from the last heartbeat of a process until its entry is gone, while the store is
available: three heartbeats and a margin."""


@attrs.define
class EntryFreshness:
    """Time up to which all changes of capacity are known.

    All times are on the local clock, in seconds.

    :param last_sent_at: time at which the last successful read of the entries was sent.
    :param last_read_at: time at which it was answered.
    :param available_since: time of the first read since which the store has been available.
    :param known_until: time up to which all changes of capacity have been announced and read.
    """

    last_sent_at: float = -math.inf
    last_read_at: float = -math.inf
    available_since: float = -math.inf
    known_until: float = -math.inf

    def observe_read(self, sent_at: float, now: float) -> None:
        """Record a successful read of all changes of the entries.

        After an outage, workers need one heartbeat to announce the changes made during it.

        :param sent_at: time at which the read was sent.
        :param now: time at which it was answered.
        """
        if sent_at - self.last_read_at > MAX_READ_GAP_SECONDS:
            self.available_since = sent_at
        self.last_sent_at, self.last_read_at = sent_at, now
        if sent_at - self.available_since >= ANNOUNCEMENT_SECONDS:
            self.known_until = sent_at - ANNOUNCEMENT_SECONDS

    @property
    def listed_alive_at(self) -> float:
        """Time at which all processes were alive whose entries are listed, ``-inf`` if unknown."""
        alive_at = self.last_sent_at - ENTRY_SECONDS
        return alive_at if self.available_since <= alive_at else -math.inf

    def is_recent(self, now: float) -> bool:
        """Whether the known capacities may still be used."""
        return now - self.known_until <= MAX_AGE_SECONDS
