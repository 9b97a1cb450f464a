"""Who may call: tokens of operators."""

import hmac
from hashlib import sha256

import attrs

from jaypier.wire.messages import HttpRequest

BEARER = "Bearer "
PREFIX_BYTES = 8
"""Leading bytes of a token's digest by which its holder is looked up."""


@attrs.frozen
class Holder:
    """Holder of a token.

    :param digest: SHA-256 of the token.
    """

    name: str
    digest: bytes


class Credentials:
    """Tokens, kept only as digests.

    :param operators: token of each operator.
    """

    def __init__(self, operators: dict[str, str]) -> None:
        self.operators = _index(operators)

    def operator(self, request: HttpRequest) -> str | None:
        """Return the operator that a request is from, ``None`` for a wrong token."""
        return _find(self.operators, request)


def _index(tokens: dict[str, str]) -> dict[bytes, Holder]:
    holders = [Holder(name, _digest(token)) for name, token in tokens.items()]
    return {holder.digest[:PREFIX_BYTES]: holder for holder in holders}


def _digest(token: str) -> bytes:
    return sha256(token.encode()).digest()


def _find(holders: dict[bytes, Holder], request: HttpRequest) -> str | None:
    header = request.header(b"authorization")
    if not header.startswith(BEARER):
        return None
    digest = _digest(header.removeprefix(BEARER))
    holder = holders.get(digest[:PREFIX_BYTES])
    if holder is None or not hmac.compare_digest(holder.digest, digest):
        return None
    return holder.name
