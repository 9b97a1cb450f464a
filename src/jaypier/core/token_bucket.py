"""Rate limit for events that others bring about."""

from jaypier.core.clock import Clock


class TokenBucket:
    """Allows events up to a sustained rate, and a burst beyond it.

    :param clock: clock of the rate.
    :param rate: sustained rate, in events per second.
    :param burst: largest number of events at once.
    :ivar tokens: number of events that are allowed now.
    """

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self.clock = clock
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = clock.now()

    def take(self) -> bool:
        """Return whether an event is allowed now, and count it if so."""
        now = self.clock.now()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
