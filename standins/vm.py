"""Runs a daemon as on a VM with its own IP address and wall clock.

The first two arguments are the host on the loopback interface that it connects from, and the
seconds by which its wall clock is ahead; the daemon gets all others.
"""

import asyncio
import sys
import time

create_connection = asyncio.BaseEventLoop.create_connection
wall_clock, wall_clock_ns = time.time, time.time_ns


def connect_from(host: str) -> None:
    """Let all connections of this process come from a host."""

    def connect(*arguments, **options):
        return create_connection(*arguments, **{"local_addr": (host, 0), **options})

    asyncio.BaseEventLoop.create_connection = connect


def advance_wall_clock(seconds: float) -> None:
    """Let the wall clock of this process be ahead; timestamps of log lines are not changed."""
    time.time = lambda: wall_clock() + seconds
    time.time_ns = lambda: wall_clock_ns() + int(seconds * 1e9)


if __name__ == "__main__":
    connect_from(sys.argv.pop(1))
    advance_wall_clock(float(sys.argv.pop(1)))
    from jaypier.entry.main import main

    main()
