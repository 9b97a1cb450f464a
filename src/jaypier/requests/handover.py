"""What a daemon remembers of requests, left behind in the object store on a planned stop."""

from collections import OrderedDict
from urllib.parse import quote

import attrs

from jaypier.core.codec import DecodeError, from_json, to_json
from jaypier.platform import ObjectStore, PlatformUnavailable
from jaypier.requests.claims import StoredAnswer, stored_answer
from jaypier.requests.errors import RequestError
from jaypier.requests.model import Outcome, RequestResult, answered, not_run, unknown
from jaypier.requests.records import RETENTION_SECONDS, RequestRecord

MISSING_SECONDS = 5.0
"""Time for which a process that has left nothing behind is not asked about again."""

MAX_LEFT = 4
"""Processes whose records are kept in memory after they were read."""

NEW_TICKET_AFTER = 0.0


class HandoverUnavailable(RequestError):
    """The object store did not answer."""


@attrs.frozen
class LeftOutcome:
    """Outcome of one identity.

    :param answer: the whole answer, if it was kept.
    """

    outcome: Outcome
    reason: str
    answer: StoredAnswer | None

    def result(self) -> RequestResult:
        """Return the outcome as a result."""
        if self.answer is None:
            return RequestResult(self.outcome, reason=self.reason)
        return answered(self.answer.response())


@attrs.frozen
class LeftRecords:
    """What a stopped process remembered.

    :param stopped_at: time of the stop on the process's clock, in milliseconds.
    """

    stopped_at: int
    outcomes: dict[str, LeftOutcome] = attrs.field(factory=dict)

    def result(self, identity: str, minted_at: int | None) -> RequestResult:
        """Return the outcome of an identity.

        A ticket that is missing never ran, if it is so young that its outcome would still have
        been remembered.

        :param minted_at: time on the process's clock at which it minted the ticket, in
            milliseconds; ``None`` for a key that is no ticket.
        """
        left = self.outcomes.get(identity)
        if left is not None:
            return left.result()
        if minted_at is None or self.stopped_at - minted_at > RETENTION_SECONDS * 1000:
            return unknown("the daemon that may have run it has stopped and does not remember it")
        reason = "the daemon that minted the ticket has stopped without running it; get a new one"
        return not_run(reason, NEW_TICKET_AFTER)


def object_name(daemon: str, incarnation: int) -> str:
    """Return the name of the object that a process leaves behind."""
    return f"requests-{quote(daemon)}-{incarnation}"


class Handover:
    """Writes and reads what stopped processes have left behind."""

    def __init__(self, objects: ObjectStore) -> None:
        self.objects = objects
        self.left: OrderedDict[str, LeftRecords] = OrderedDict()
        self.missing_until: dict[str, float] = {}

    async def leave(
        self, daemon: str, incarnation: int, records: dict[str, RequestRecord], now: float
    ) -> None:
        """Leave the outcomes of a process that will run nothing more.

        :param now: present time on its clock, in seconds.
        :raises HandoverUnavailable: when the object store does not answer; its identities are
            then of unknown outcome.
        """
        outcomes = {
            identity: _left(record.result or unknown("it had not ended"))
            for identity, record in records.items()
        }
        data = to_json(LeftRecords(int(now * 1000), outcomes))
        try:
            await self.objects.put(object_name(daemon, incarnation), data)
        except PlatformUnavailable as error:
            raise HandoverUnavailable(str(error)) from error

    async def find(self, daemon: str, incarnation: int, now: float) -> LeftRecords | None:
        """Return what a process has left behind, ``None`` when it is not known.

        :param now: present time, in seconds.
        """
        name = object_name(daemon, incarnation)
        if name in self.left or now < self.missing_until.get(name, now):
            return self.left.get(name)
        try:
            data = await self.objects.get(name)
            if data is not None:
                self.left[name] = from_json(data, LeftRecords)
                while len(self.left) > MAX_LEFT:
                    self.left.popitem(last=False)
        except (PlatformUnavailable, DecodeError):
            return None
        if data is None:
            self.missing_until[name] = now + MISSING_SECONDS
        return self.left.get(name)


def _left(result: RequestResult) -> LeftOutcome:
    answer = None if result.response is None else stored_answer(result.response)
    return LeftOutcome(result.outcome, result.reason, answer)
