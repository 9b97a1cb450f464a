"""Forecast: expects the arrivals of the next seconds by their level and trend.

Answers waves and bursts of a few seconds, which an average over a longer time notices late and
remembers after they have ended.
"""

import itertools
import math
from collections import deque

AVERAGE_SECONDS = 12.0
"""Time over which steady arrivals are averaged: twice the usual length of a burst."""

INTERVAL_SECONDS = 1.0
"""Length of the intervals in which arrivals are summed up."""

LEVEL_GAIN = 0.5
"""Share of the newest error by which the level is corrected."""

TREND_GAIN = 0.2
"""Share of the newest error by which the trend is corrected."""

ERROR_GAIN = 0.15
"""Share by which the mean absolute error follows the newest error: little, so that a burst does not
count as noise while it lasts."""


class ArrivalForecast:
    """Forecast of the amounts that arrive in a second, by double exponential smoothing.

    :ivar arrivals: time on the local clock, in seconds, and amount of recent arrivals.
    :ivar level: smoothed amount of an interval.
    :ivar trend: smoothed change from interval to interval.
    :ivar error: smoothed absolute error of the forecast.
    :ivar next_at: time on the local clock, in seconds, at which the open interval ends, ``inf``
        before the first arrival.
    """

    def __init__(self) -> None:
        self.arrivals: deque[tuple[float, float]] = deque()
        self.level = 0.0
        self.trend = 0.0
        self.error = 0.0
        self.next_at = math.inf

    def observe(self, amount: float, now: float) -> None:
        """Record an arrival.

        :param now: time on the local clock, in seconds.
        """
        if math.isinf(self.next_at):
            self.next_at = now + INTERVAL_SECONDS
        self.advance(now)
        self.arrivals.append((now, amount))

    def advance(self, now: float) -> None:
        """Close the intervals that have ended, and forget old arrivals.

        :param now: time on the local clock, in seconds.
        """
        if now - self.next_at > AVERAGE_SECONDS:
            self.level = self.trend = self.error = 0.0
            self.next_at = now
        while self.next_at <= now:
            begin = self.next_at - INTERVAL_SECONDS
            self.close_interval(
                sum(amount for at, amount in self.arrivals if begin <= at < self.next_at)
            )
            self.next_at += INTERVAL_SECONDS
        self.arrivals = deque(
            itertools.dropwhile(lambda each: each[0] < now - AVERAGE_SECONDS, self.arrivals)
        )

    def close_interval(self, amount: float) -> None:
        """Correct the forecast by the amount of an interval."""
        error = amount - (self.level + self.trend)
        self.level += self.trend + LEVEL_GAIN * error
        self.trend += TREND_GAIN * error
        self.error += ERROR_GAIN * (abs(error) - self.error)

    @property
    def average(self) -> float:
        """Mean amount that has arrived in an interval."""
        arrived = sum(amount for _, amount in self.arrivals)
        return arrived * INTERVAL_SECONDS / AVERAGE_SECONDS

    @property
    def next_amount(self) -> float:
        """Amount that is expected in the next interval without regard to the average."""
        return max(0.0, self.level + self.trend)

    @property
    def is_falling(self) -> bool:
        """Whether less is expected than on average, by more than the error."""
        return self.next_amount < self.average - self.error

    @property
    def expected(self) -> float:
        """Expected amount: the average, unless the forecast differs by more than its error."""
        is_steady = abs(self.next_amount - self.average) <= self.error
        return self.average if is_steady else self.next_amount
