"""Durable claims on request identities that callers choose themselves."""

import itertools
from collections import deque
from enum import StrEnum

import attrs

from jaypier.core.codec import DecodeError, from_plain, to_plain
from jaypier.platform import (
    Condition,
    ConditionFailed,
    PlatformUnavailable,
    Put,
    TableService,
    Transaction,
)
from jaypier.requests.errors import RequestError
from jaypier.requests.model import Outcome, RequestResult
from jaypier.wire.messages import HttpResponse

CLAIMS_PREFIX = "requests/"
MAX_STORED_BODY_BYTES = 16_384
CLAIM_ATTEMPTS = 2

CLAIM_RETENTION_SECONDS = 3600.0
"""Time for which a claim and its outcome stay in the table."""

MAX_SWEPT = 200
"""Claims that are deleted in one transaction."""


class ClaimUnavailable(RequestError):
    """The store did not answer, so no claim may be relied on."""


class ClaimState(StrEnum):
    """How far a claimed request has come."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredAnswer:
    """An answer as it is kept in the table.

    :param headers: pairs of names and values.
    :param body: the body as Latin-1 text.
    """

    status: int
    headers: list[list[str]]
    body: str

    def response(self) -> HttpResponse:
        """Return the answer as it was received."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in self.headers
        ]
        return HttpResponse(self.status, headers, self.body.encode("latin-1"))


@attrs.frozen
class ClaimRecord:
    """Value of a claim row.

    :param daemon: identity of the daemon that may run the request.
    :param incarnation: start time of its process, in nanoseconds.
    :param answer: the whole answer, if it was small enough to be kept.
    """

    daemon: str
    incarnation: int
    state: ClaimState
    answer: StoredAnswer | None = None

    def result(self) -> RequestResult:
        """Return the outcome that a finished claim records."""
        if self.state is ClaimState.ANSWERED and self.answer is not None:
            return RequestResult(Outcome.ANSWERED, self.answer.response())
        return RequestResult(Outcome(self.state.value), reason="recorded earlier")


@attrs.frozen
class Claim:
    """Result of an attempt to claim an identity.

    :param is_own: whether this process may now run the request.
    :param record: what the row holds.
    :param version: version of the row.
    """

    is_own: bool
    record: ClaimRecord
    version: int


@attrs.frozen
class RecordedClaim:
    """A claim of this process whose outcome is known.

    :param recorded_at: time of the outcome, in seconds.
    """

    key: str
    recorded_at: float


class ClaimTable:
    """Claims of one daemon in the table service.

    :param daemon: identity of this daemon.
    :param incarnation: start time of this process, in nanoseconds.
    """

    def __init__(self, table: TableService, daemon: str, incarnation: int) -> None:
        self.table = table
        self.daemon = daemon
        self.incarnation = incarnation
        self.recorded: deque[RecordedClaim] = deque()

    async def claim(self, identity: str) -> Claim:
        """Claim an identity for this process, or learn who has it.

        A lost answer is resolved by trying once more: the row then names this process.

        :raises ClaimUnavailable: when the store does not answer; nothing may be run.
        """
        key = CLAIMS_PREFIX + identity
        record = ClaimRecord(self.daemon, self.incarnation, ClaimState.CLAIMED)
        version = 0
        last_error: Exception | None = None
        for _ in range(CLAIM_ATTEMPTS):
            try:
                await self._write(key, version, record)
                return Claim(True, record, version + 1)
            except PlatformUnavailable as error:
                last_error = error
                if not error.effect_unknown:
                    break
            except ConditionFailed:
                found = await self._read(key)
                if found is None:
                    continue
                if found.record == record and last_error is not None:
                    return attrs.evolve(found, is_own=True)
                if found.record.state is not ClaimState.NOT_RUN:
                    return found
                version = found.version
        raise ClaimUnavailable(str(last_error or f"claim on {identity!r} is contended"))

    async def record(self, identity: str, claim: Claim, result: RequestResult, now: float) -> None:
        """Record the outcome of a request that this process claimed.

        :param now: present time, in seconds.

        :raises ClaimUnavailable: when the store does not answer; the claim then stays open.
        """
        state = ClaimState(result.outcome.value)
        record = attrs.evolve(claim.record, state=state, answer=stored_answer(result.response))
        key = CLAIMS_PREFIX + identity
        self.recorded.append(RecordedClaim(key, now))
        try:
            await self._write(key, claim.version, record)
        except ConditionFailed:
            return
        except PlatformUnavailable as error:
            raise ClaimUnavailable(str(error)) from error

    async def sweep(self, now: float) -> int:
        """Delete claims of this process that are older than their retention.

        :param now: present time, in seconds.
        :returns: the number of deleted claims.
        :raises ClaimUnavailable: when the store does not answer; they are tried again.
        """
        due = [
            each.key
            for each in itertools.islice(self.recorded, MAX_SWEPT)
            if now - each.recorded_at >= CLAIM_RETENTION_SECONDS
        ]
        if due:
            try:
                await self.table.transact(Transaction(deletes=due))
            except PlatformUnavailable as error:
                raise ClaimUnavailable(str(error)) from error
        for _ in due:
            self.recorded.popleft()
        return len(due)

    async def find(self, identity: str) -> ClaimRecord | None:
        """Return the claim on an identity, ``None`` when there is none.

        :raises ClaimUnavailable: when the store does not answer.
        """
        found = await self._read(CLAIMS_PREFIX + identity)
        return None if found is None else found.record

    async def _read(self, key: str) -> Claim | None:
        try:
            row = await self.table.read(key)
            if row is None:
                return None
            return Claim(False, from_plain(row.value, ClaimRecord), row.version)
        except (PlatformUnavailable, DecodeError) as error:
            raise ClaimUnavailable(str(error)) from error

    async def _write(self, key: str, version: int, record: ClaimRecord) -> None:
        await self.table.transact(
            Transaction([Condition(key, version)], [Put(key, to_plain(record))])
        )


def stored_answer(response: HttpResponse | None) -> StoredAnswer | None:
    """Return an answer as it is kept, ``None`` when there is none or it is too large."""
    if response is None or len(response.body) > MAX_STORED_BODY_BYTES:
        return None
    headers = [
        [name.decode("latin-1"), value.decode("latin-1")] for name, value in response.headers
    ]
    return StoredAnswer(response.status, headers, response.body.decode("latin-1"))
