"""Serves callers' requests: at most once where they may not be repeated."""

import asyncio
from abc import ABC, abstractmethod

import structlog

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics
from jaypier.requests.claims import Claim, ClaimRecord, ClaimState, ClaimTable, ClaimUnavailable
from jaypier.requests.executor import RequestExecutor
from jaypier.requests.handover import Handover
from jaypier.requests.model import CallerRequest, Outcome, RequestResult, not_run, unknown
from jaypier.requests.records import (
    RETENTION_SECONDS,
    RequestRecord,
    RequestRecords,
    Ticket,
    mint_ticket,
    parse_ticket,
)

STORE_RETRY_AFTER = 2.0
"""Advice in seconds to a caller whose own key cannot be claimed in an outage."""

log = structlog.get_logger()


class Forwarder(ABC):
    """Hands a request over to the daemon that remembers its identity."""

    @abstractmethod
    async def forward(
        self, daemon: str, incarnation: int, request: CallerRequest
    ) -> RequestResult | None:
        """Have another daemon serve a request.

        :returns: its result, ``None`` when that process is not known to be alive.
        """

    @abstractmethod
    async def ask(self, daemon: str, incarnation: int, team: str, key: str) -> RequestResult | None:
        """Ask another daemon for the outcome of an identity.

        :returns: its answer, ``None`` when that process is not known to be alive.
        """


class RequestService:
    """Serves requests in one daemon.

    An identity is run by one process only: by the one that minted it when it is a ticket, by
    the one that claimed it in the table service otherwise. That process remembers the outcome,
    and leaves it behind on a planned stop. When it was killed, nobody can know, and the outcome
    is unknown.

    :param secret: shared secret of the daemons, signs tickets.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: int,
        executor: RequestExecutor,
        claims: ClaimTable,
        forwarder: Forwarder,
        handover: Handover,
        secret: bytes,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.executor = executor
        self.claims = claims
        self.forwarder = forwarder
        self.handover = handover
        self.secret = secret
        self.clock = clock
        self.metrics = metrics
        self.records = RequestRecords()
        self.background: set[asyncio.Task] = set()

    async def serve(self, request: CallerRequest, is_forwarded: bool = False) -> RequestResult:
        """Serve one request.

        :param is_forwarded: whether another daemon handed it over; it is not handed on again.
        """
        started_at = self.clock.now()
        result = await self._route(request, is_forwarded)
        self.metrics.count(f"requests.{result.outcome.value}")
        self.metrics.record("requests.latency", self.clock.now() - started_at)
        return result

    async def _route(self, request: CallerRequest, is_forwarded: bool) -> RequestResult:
        if request.is_repeatable:
            return await self.executor.execute(request)
        if not request.key:
            return await self._finish_alone(self.executor.execute(request))
        ticket = parse_ticket(request.key, request.team, self.secret)
        if ticket is None:
            return await self._serve_claimed(request, is_forwarded)
        if self._is_own(ticket.daemon, ticket.incarnation):
            return await self._serve_ticket(request, ticket)
        return await self._hand_over(ticket.daemon, ticket.incarnation, request, is_forwarded)

    def _is_own(self, daemon: str, incarnation: int) -> bool:
        return daemon == self.own_id and incarnation == self.incarnation

    async def _finish_alone(self, work) -> RequestResult:
        """Run work to its end even when the caller leaves."""
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return await asyncio.shield(task)

    async def _hand_over(
        self, daemon: str, incarnation: int, request: CallerRequest, is_forwarded: bool
    ) -> RequestResult:
        if not is_forwarded:
            result = await self.forwarder.forward(daemon, incarnation, request)
            if result is not None:
                self.metrics.count("requests.forwarded")
                return result
        return await self._left_outcome(daemon, incarnation, request.team, request.key)

    async def _left_outcome(
        self, daemon: str, incarnation: int, team: str, key: str
    ) -> RequestResult:
        """Return an outcome that a stopped process has left behind."""
        left = await self.handover.find(daemon, incarnation, self.clock.now())
        if left is None:
            return unknown(f"daemon {daemon!r}, which may have run it, is gone")
        ticket = parse_ticket(key, team, self.secret)
        return left.result(f"{team}/{key}", None if ticket is None else ticket.minted_at)

    # Tickets

    def mint(self, team: str) -> str:
        """Return a new ticket: an identity that only this process can run."""
        ticket = mint_ticket(self.own_id, self.incarnation, self.clock.now(), team)
        return ticket.format(self.secret)

    async def _serve_ticket(self, request: CallerRequest, ticket: Ticket) -> RequestResult:
        now = self.clock.now()
        identity = f"{request.team}/{request.key}"
        record = self.records.find(identity, now)
        if record is not None:
            return await self._await_record(record, request)
        if now - ticket.minted_at / 1000 > RETENTION_SECONDS:
            return unknown("the ticket is too old; its outcome is no longer remembered")
        record = self.records.begin(identity, now)
        if record is None:
            return not_run("too many requests are remembered", STORE_RETRY_AFTER)
        return await self._finish_alone(self._run_recorded(request, identity))

    async def _run_recorded(self, request: CallerRequest, identity: str) -> RequestResult:
        result = unknown("the daemon failed while it ran the request")
        try:
            result = await self.executor.execute(request)
        finally:
            self.records.finish(identity, result)
        return result

    async def _await_record(self, record: RequestRecord, request: CallerRequest) -> RequestResult:
        """Return the outcome of the same identity that is in progress or has ended."""
        self.metrics.count("requests.duplicates")
        try:
            async with asyncio.timeout(max(0.0, request.deadline - self.clock.now())):
                await record.finished.wait()
        except TimeoutError:
            return unknown("the first request of this identity is still in progress")
        return record.result

    # Claims

    async def _serve_claimed(self, request: CallerRequest, is_forwarded: bool) -> RequestResult:
        identity = f"{request.team}/{request.key}"
        record = self.records.find(identity, self.clock.now())
        if record is not None:
            return await self._await_record(record, request)
        record = self.records.begin(identity, self.clock.now())
        if record is None:
            return not_run("too many requests are remembered", STORE_RETRY_AFTER)
        return await self._finish_alone(self._run_claimed(request, identity, is_forwarded))

    async def _run_claimed(
        self, request: CallerRequest, identity: str, is_forwarded: bool
    ) -> RequestResult:
        was_unrun = self.records.is_unrun(identity)
        try:
            claim = await self.claims.claim(identity)
        except ClaimUnavailable as error:
            self.records.mark_unrun(identity, self.clock.now())
            result = unknown(
                f"nothing was run for this request, but its key could not be claimed ({error}), "
                "so an earlier request of the same key may have run; resend it unchanged",
                STORE_RETRY_AFTER,
            )
            self.records.drop(identity, result)
            return result
        if not claim.is_own and not (was_unrun and self._is_open_own(claim.record)):
            result = await self._follow(claim.record, request, is_forwarded)
            self.records.drop(identity, result)
            return result
        result = await self._run_recorded(request, identity)
        await self._record_claim(identity, claim, result)
        return result

    def _is_open_own(self, record: ClaimRecord) -> bool:
        is_open = record.state is ClaimState.CLAIMED
        return is_open and self._is_own(record.daemon, record.incarnation)

    async def _follow(
        self, record: ClaimRecord, request: CallerRequest, is_forwarded: bool
    ) -> RequestResult:
        """Return the outcome of an identity that another process has claimed."""
        if record.state is not ClaimState.CLAIMED:
            return record.result()
        if self._is_open_own(record):
            return unknown("this daemon claimed it but no longer remembers its outcome")
        return await self._hand_over(record.daemon, record.incarnation, request, is_forwarded)

    async def _record_claim(self, identity: str, claim: Claim, result: RequestResult) -> None:
        try:
            await self.claims.record(identity, claim, result, self.clock.now())
        except ClaimUnavailable:
            self.metrics.count("requests.outcomes_unrecorded")

    # Outcomes

    async def outcome(self, team: str, key: str, is_forwarded: bool = False) -> RequestResult:
        """Tell what became of an identity, without running anything."""
        record = self.records.find(f"{team}/{key}", self.clock.now())
        if record is not None:
            return record.result or unknown("still in progress")
        ticket = parse_ticket(key, team, self.secret)
        if ticket is None:
            return await self._claimed_outcome(team, key, is_forwarded)
        if self._is_own(ticket.daemon, ticket.incarnation):
            if self.clock.now() - ticket.minted_at / 1000 > RETENTION_SECONDS:
                return unknown("the ticket is too old; its outcome is no longer remembered")
            return not_run("the ticket has not been used", 0.0)
        return await self._ask(ticket.daemon, ticket.incarnation, team, key, is_forwarded)

    async def _claimed_outcome(self, team: str, key: str, is_forwarded: bool) -> RequestResult:
        try:
            record = await self.claims.find(f"{team}/{key}")
        except ClaimUnavailable as error:
            return unknown(f"{error}; ask again")
        if record is None:
            return not_run("no request of this key has been started so far", 0.0)
        if record.state is not ClaimState.CLAIMED:
            return record.result()
        return await self._ask(record.daemon, record.incarnation, team, key, is_forwarded)

    async def _ask(
        self, daemon: str, incarnation: int, team: str, key: str, is_forwarded: bool
    ) -> RequestResult:
        if not is_forwarded and not self._is_own(daemon, incarnation):
            result = await self.forwarder.ask(daemon, incarnation, team, key)
            if result is not None:
                return result
        return await self._left_outcome(daemon, incarnation, team, key)

    async def drain(self, timeout: float) -> int:
        """Wait for requests whose callers have left.

        :returns: the number that was still running at the timeout.
        """
        if self.background:
            await asyncio.wait(set(self.background), timeout=timeout)
        return len(self.background)

    async def leave(self) -> None:
        """Leave behind what is remembered, once nothing runs and nothing more will.

        :raises HandoverUnavailable: when the object store does not answer.
        """
        records = self.records.records
        await self.handover.leave(self.own_id, self.incarnation, records, self.clock.now())


__all__ = ["Forwarder", "Outcome", "RequestService"]
