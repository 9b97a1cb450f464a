"""What this daemon remembers of requests that may not be repeated; no I/O."""

import asyncio
import hmac
import secrets
from collections import OrderedDict
from hashlib import sha256

import attrs

from jaypier.requests.model import Outcome, RequestResult

RETENTION_SECONDS = 600.0
"""Time for which outcomes are remembered and for which a ticket is valid."""

MAX_RECORDS = 50_000
"""Records kept at most; further requests are refused until old ones end."""

MAX_KEPT_BODY_BYTES = 16_384
"""Larger answers are remembered without their bodies."""

MAX_KEPT_BYTES = 32 << 20
"""Bytes of answers kept at most; answers beyond it are remembered without their bodies."""

TICKET_PREFIX = "jpt1"
MAC_CHARACTERS = 24


@attrs.define
class RequestRecord:
    """One request identity in this daemon.

    :param result: final outcome, ``None`` while it is in progress.
    :param finished: set when ``result`` is.
    """

    created_at: float
    result: RequestResult | None = None
    finished: asyncio.Event = attrs.field(factory=asyncio.Event)


class RequestRecords:
    """Records by team and key, oldest first."""

    def __init__(self) -> None:
        self.records: OrderedDict[str, RequestRecord] = OrderedDict()
        self.unrun: OrderedDict[str, float] = OrderedDict()
        self.kept_bytes = 0

    def find(self, identity: str, now: float) -> RequestRecord | None:
        """Return the record of an identity, ``None`` when there is none."""
        self._expire(now)
        return self.records.get(identity)

    def begin(self, identity: str, now: float) -> RequestRecord | None:
        """Record the start of a request.

        :returns: the new record, ``None`` when too many are kept.
        """
        self._expire(now)
        if len(self.records) >= MAX_RECORDS:
            return None
        record = RequestRecord(now)
        self.records[identity] = record
        self.records.move_to_end(identity)
        return record

    def finish(self, identity: str, result: RequestResult) -> None:
        """Record the outcome of a request; one that did not run may be sent again."""
        record = self.records.get(identity)
        if record is None:
            return
        if result.outcome is Outcome.NOT_RUN:
            del self.records[identity]
            self.mark_unrun(identity, record.created_at)
        size = _body_size(result)
        if size > MAX_KEPT_BODY_BYTES or self.kept_bytes + size > MAX_KEPT_BYTES:
            result = _without_body(result)
        self.kept_bytes += _body_size(result)
        record.result = result
        record.finished.set()

    def drop(self, identity: str, result: RequestResult) -> None:
        """Pass on an outcome that another process remembers, without remembering it here."""
        record = self.records.pop(identity, None)
        if record is not None:
            record.result = result
            record.finished.set()

    def mark_unrun(self, identity: str, now: float) -> None:
        """Remember that the last request of an identity here certainly did not run."""
        self.unrun[identity] = now
        self.unrun.move_to_end(identity)

    def is_unrun(self, identity: str) -> bool:
        """Whether the last request of an identity here certainly did not run."""
        return identity in self.unrun

    def _expire(self, now: float) -> None:
        while self.unrun and now - next(iter(self.unrun.values())) >= RETENTION_SECONDS:
            self.unrun.popitem(last=False)
        while self.records:
            identity, record = next(iter(self.records.items()))
            if now - record.created_at < RETENTION_SECONDS or record.result is None:
                return
            self.kept_bytes -= _body_size(record.result)
            del self.records[identity]


def _body_size(result: RequestResult) -> int:
    return 0 if result.response is None else len(result.response.body)


def _without_body(result: RequestResult) -> RequestResult:
    note = "answered; the answer was too large to be kept for a second request"
    return attrs.evolve(result, response=None, reason=note)


@attrs.frozen
class Ticket:
    """A request identity that only one process can ever run.

    :param daemon: identity of the daemon that minted it.
    :param incarnation: start time of the minting process, in nanoseconds.
    :param minted_at: time on the minting process's clock, in milliseconds.
    """

    daemon: str
    incarnation: int
    minted_at: int
    nonce: str
    team: str

    def sign(self, secret: bytes) -> str:
        """Return the authentication code of the ticket."""
        text = f"{self.daemon}/{self.incarnation}/{self.minted_at}/{self.nonce}/{self.team}"
        return hmac.new(secret, text.encode(), sha256).hexdigest()[:MAC_CHARACTERS]

    def format(self, secret: bytes) -> str:
        """Return the ticket as callers send it."""
        fields = (self.incarnation, self.minted_at, self.nonce, self.sign(secret), self.daemon)
        return ".".join([TICKET_PREFIX, *map(str, fields)])


def mint_ticket(daemon: str, incarnation: int, now: float, team: str) -> Ticket:
    """Return a new ticket for one request of a team."""
    return Ticket(daemon, incarnation, int(now * 1000), secrets.token_hex(8), team)


def parse_ticket(text: str, team: str, secret: bytes) -> Ticket | None:
    """Return the ticket that a key is, ``None`` for a key that is no ticket of the team."""
    prefix, _, rest = text.partition(".")
    fields = rest.split(".", 4)
    if prefix != TICKET_PREFIX or len(fields) != 5:
        return None
    incarnation, minted_at, nonce, code, daemon = fields
    if not (incarnation.isdecimal() and minted_at.isdecimal()):
        return None
    ticket = Ticket(daemon, int(incarnation), int(minted_at), nonce, team)
    return ticket if hmac.compare_digest(ticket.sign(secret), code) else None
