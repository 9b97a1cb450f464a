"""Callers that send requests through all daemons and remember what they were told."""

import asyncio
import itertools
import random
import time
from enum import StrEnum

import attrs

from jaypier.core.address import Address
from jaypier.core.codec import from_json
from jaypier.requests.model import Outcome
from jaypier.wire.client import ConnectionPool
from jaypier.wire.errors import ConnectError, TransportError
from jaypier.wire.messages import HttpRequest
from standins.deployment import Deployment, team_token

CALLER_TIMEOUT = 12.0
"""Seconds that a caller waits; longer than a daemon's own deadline."""


class Identity(StrEnum):
    """How a caller identifies its request."""

    REPEATABLE = "repeatable"
    TICKET = "ticket"
    OWN_KEY = "own_key"


@attrs.define
class CallRecord:
    """One request and what its caller was told.

    :param key: identity that the endpoint sees.
    :param outcome: what the daemon said, ``None`` when the connection to it broke.
    :param is_own_answer: whether an answer repeats the request's body.
    :param seconds: time from the first byte sent to the end of the answer.
    """

    team: str
    daemon: str
    key: str
    identity: Identity
    started_at: float
    outcome: Outcome | None = None
    status: int = 0
    reason: str = ""
    is_own_answer: bool = False
    seconds: float = 0.0


class Callers:
    """Sends requests to any of the running daemons, as a balancer would.

    :param service: the service that is called.
    """

    def __init__(self, deployment: Deployment, seed: int, service: str = "returns") -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.service = service
        self.ids = itertools.count()
        self.records: list[CallRecord] = []
        self.pools: dict[str, ConnectionPool] = {}
        self.unhealthy: set[str] = set()

    async def __aenter__(self) -> "Callers":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for pool in self.pools.values():
            pool.close()

    def pool(self, daemon: str) -> ConnectionPool:
        """Return the connections to a daemon."""
        address = self.deployment.address(daemon)
        return self.pools.setdefault(address, ConnectionPool(Address.parse(address)))

    def pick_daemon(self) -> str:
        """Return a daemon that the balancer would choose."""
        names = [name for name in self.deployment.running_daemons() if name not in self.unhealthy]
        return self.rng.choice(names)

    async def watch_health(self) -> None:
        """Keep the balancer's view of health up to date until cancelled."""
        while True:
            for name in self.deployment.daemon_names():
                try:
                    request = HttpRequest("GET", "/health")
                    status = (await self.pool(name).exchange(request, 0.5)).status
                except TransportError:
                    status = 0
                (self.unhealthy.discard if status == 200 else self.unhealthy.add)(name)
            await asyncio.sleep(0.1)

    async def call(
        self,
        identity: Identity,
        team: str | None = None,
        daemon: str | None = None,
        key: str | None = None,
        timeout: float | None = None,
    ) -> CallRecord:
        """Send one request and record what became of it."""
        team = team or self.rng.choice(self.deployment.shape.teams)
        daemon = daemon or self.pick_daemon()
        key = key or f"own-{self.rng.getrandbits(48):x}-{next(self.ids)}"
        record = CallRecord(team, daemon, key, identity, time.time())
        self.records.append(record)
        started_at = time.monotonic()
        try:
            if identity is Identity.TICKET and key.startswith("own-"):
                record.key = await self.ticket(daemon, team)
            await self.exchange(record, timeout)
        except ConnectError as error:
            record.outcome, record.reason = Outcome.NOT_RUN, str(error)
        except TransportError as error:
            record.reason = str(error)
        record.seconds = time.monotonic() - started_at
        return record

    async def ticket(self, daemon: str, team: str) -> str:
        """Fetch a ticket."""
        headers = [(b"authorization", f"Bearer {team_token(team)}".encode())]
        request = HttpRequest("POST", "/v1/tickets", headers)
        answer = await self.pool(daemon).exchange(request, CALLER_TIMEOUT)
        return from_json(answer.body, dict)["ticket"]

    async def exchange(self, record: CallRecord, timeout: float | None) -> None:
        """Send the request of a record and take over the answer."""
        is_repeatable = record.identity is Identity.REPEATABLE
        headers = [
            (b"authorization", f"Bearer {team_token(record.team)}".encode()),
            (b"idempotency-key", record.key.encode()),
            (b"jaypier-repeatable", b"true" if is_repeatable else b"false"),
        ]
        if timeout is not None:
            headers.append((b"jaypier-timeout", str(timeout).encode()))
        body = f"answer to {record.key}".encode()
        path = f"/v1/services/{self.service}/book"
        request = HttpRequest("POST", path, headers, body)
        answer = await self.pool(record.daemon).exchange(request, CALLER_TIMEOUT)
        record.status = answer.status
        record.reason = answer.header(b"jaypier-reason")
        outcome = answer.header(b"jaypier-outcome")
        record.outcome = Outcome(outcome) if outcome else None
        record.is_own_answer = answer.body == body

    async def run_load(
        self, seconds: float, concurrency: int, count: int | None = None, think: float = 0.0
    ) -> None:
        """Send requests of all kinds for some time, or until ``count`` were sent.

        :param think: seconds that each caller waits after an answer.
        """
        deadline = time.monotonic() + seconds
        left = itertools.count() if count is None else iter(range(count))
        kinds = list(Identity)

        async def send_some() -> None:
            while time.monotonic() < deadline and next(left, None) is not None:
                record = await self.call(self.rng.choice(kinds))
                is_answered = record.outcome is Outcome.ANSWERED
                await asyncio.sleep(think if is_answered else max(think, 0.05))

        await asyncio.gather(*(send_some() for _ in range(concurrency)))
