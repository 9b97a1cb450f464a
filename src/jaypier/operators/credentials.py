"""Who may call: tokens of operators."""

import hmac
from hashlib import sha256

import attrs

from jaypier.wire.messages import HttpRequest

BEARER_PREFIX = "Bearer "
DIGEST_PREFIX_BYTES = 8
"""Leading bytes of a token's digest by which its holder is looked up."""


@attrs.frozen
class TokenHolder:
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
        self.operators = _index_by_prefix(operators)

    def authenticate(self, request: HttpRequest) -> str | None:
        """Return the operator that a request is from, ``None`` for a wrong token."""
        return _authenticate(self.operators, request)


def _index_by_prefix(tokens: dict[str, str]) -> dict[bytes, TokenHolder]:
    holders = [TokenHolder(name, _digest(token)) for name, token in tokens.items()]
    return {holder.digest[:DIGEST_PREFIX_BYTES]: holder for holder in holders}


def _digest(token: str) -> bytes:
    return sha256(token.encode()).digest()


def _authenticate(holders: dict[bytes, TokenHolder], request: HttpRequest) -> str | None:
    header = request.header(b"authorization")
    if not header.startswith(BEARER_PREFIX):
        return None
    digest = _digest(header.removeprefix(BEARER_PREFIX))
    holder = holders.get(digest[:DIGEST_PREFIX_BYTES])
    if holder is None or not hmac.compare_digest(holder.digest, digest):
        return None
    return holder.name
