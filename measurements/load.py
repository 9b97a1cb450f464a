"""A load generator as a process of its own: prints a summary of what it was told.

Open loop with ``--rate``, closed loop without it. Requests are repeatable unless ``--tickets``.
"""

import argparse
import asyncio
import itertools
import json
import time
from collections import Counter

from hdrh.histogram import HdrHistogram

from jaypier.core.address import Address
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import TransportError
from jaypier.wire.messages import HttpRequest
from standins.deployment import team_token

TIMEOUT = 12.0
BUCKET_SECONDS = 0.5


class Load:
    """Sends requests to some addresses in turn.

    :param arguments: parsed command line.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.pools = [ConnectionPool(Address.parse(each)) for each in arguments.address]
        self.healthy = list(self.pools)
        self.turn = itertools.count()
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.outcomes: Counter[str] = Counter()
        self.answered: Counter[int] = Counter()
        token = team_token(arguments.team)
        self.headers = [
            (b"authorization", f"Bearer {token}".encode()),
            (b"jaypier-repeatable", b"false" if arguments.unrepeatable else b"true"),
            (b"jaypier-timeout", str(arguments.timeout).encode()),
        ]
        self.started_at = time.monotonic()

    async def send(self) -> None:
        """Send one request and count its outcome."""
        pool = self.healthy[next(self.turn) % len(self.healthy)]
        headers = [*self.headers, (b"x-request-id", b"direct")]
        request = HttpRequest("POST", self.arguments.path, headers, b"x" * 100)
        started_at = time.monotonic()
        try:
            answer = await pool.exchange(request, TIMEOUT)
        except TransportError as error:
            self.outcomes["broken" if error.sent else "unreachable"] += 1
            return
        ended_at = time.monotonic()
        outcome = answer.header(b"jaypier-outcome") or str(answer.status)
        self.outcomes[outcome] += 1
        if answer.status == 200:
            self.histogram.record_value(max(1, int((ended_at - started_at) * 1_000_000)))
            self.answered[int((ended_at - self.started_at) / BUCKET_SECONDS)] += 1

    async def watch_health(self) -> None:
        """Leave unhealthy daemons out, as a balancer does, until cancelled."""
        while True:
            states = await asyncio.gather(*(self.is_healthy(pool) for pool in self.pools))
            healthy = [pool for pool, is_up in zip(self.pools, states, strict=True) if is_up]
            self.healthy = healthy or self.pools
            await asyncio.sleep(0.1)

    async def is_healthy(self, pool: ConnectionPool) -> bool:
        """Ask one daemon for its health."""
        try:
            return (await pool.exchange(HttpRequest("GET", "/health"), 0.5)).status == 200
        except TransportError:
            return False

    async def run_closed(self) -> None:
        """Keep a number of requests in flight."""
        deadline = self.started_at + self.arguments.seconds

        async def repeat() -> None:
            while time.monotonic() < deadline:
                await self.send()

        await asyncio.gather(*(repeat() for _ in range(self.arguments.concurrency)))

    async def run_open(self) -> None:
        """Send at a rate, whatever the answers take."""
        tasks: set[asyncio.Task] = set()
        sent = 0
        while (elapsed := time.monotonic() - self.started_at) < self.arguments.seconds:
            while sent < elapsed * self.arguments.rate:
                task = asyncio.create_task(self.send())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                sent += 1
            await asyncio.sleep(0.002)
        await asyncio.gather(*tasks)

    async def run(self) -> None:
        """Run the load and print the summary."""
        watch = asyncio.create_task(self.watch_health()) if self.arguments.health else None
        self.started_at = time.monotonic()
        await (self.run_open() if self.arguments.rate else self.run_closed())
        if watch is not None:
            watch.cancel()
        summary = {
            "seconds": time.monotonic() - self.started_at,
            "outcomes": self.outcomes,
            "answered": [self.answered[i] for i in range(max(self.answered, default=0) + 1)],
            "histogram": self.histogram.encode().decode(),
        }
        print(json.dumps(summary))


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", action="append", required=True)
    parser.add_argument("--path", default="/v1/services/returns/book")
    parser.add_argument("--team", default="dairy")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--concurrency", type=int, default=8)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--timeout", type=float, default=10.0)
    parser.add_argument("--health", action="store_true")
    parser.add_argument("--unrepeatable", action="store_true")
    asyncio.run(Load(parser.parse_args()).run())


if __name__ == "__main__":
    main()
