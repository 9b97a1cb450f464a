"""Messages between daemons and their authentication."""

import hmac
from enum import StrEnum
from hashlib import sha256

import attrs
import msgspec

from jaypier.core.codec import DecodeError, pack, unpack
from jaypier.membership.errors import PeerMessageError

TAG_BYTES = 32
MAX_MESSAGE_BYTES = 8 << 20


class MessageKind(StrEnum):
    """Kinds of messages between daemons."""

    HEARTBEAT = "heartbeat"
    CONFIGURATION_OFFER = "configuration_offer"
    CONFIGURATION_REQUEST = "configuration_request"


@attrs.frozen
class Envelope:
    """What surrounds every message.

    :param sender: identity of the sending daemon.
    :param incarnation: start time of the sending process; a restart has a higher one.
    :param sequence: grows with each message of an incarnation; repeated ones are refused.
    :param body: the encoded message of the given kind.
    """

    sender: str
    incarnation: int
    sequence: int
    kind: MessageKind
    body: msgspec.Raw


@attrs.frozen
class Heartbeat:
    """Sign of life with the sender's load.

    :param peer_address: where the sender listens for messages.
    :param caller_address: where the sender serves HTTP.
    :param version: version of the sender's configuration.
    :param is_leaving: whether the sender has begun a planned stop.
    :param has_store: whether the sender has had an answer from the table service just now.
    :param in_flight: requests in flight from the sender to each endpoint.
    """

    data_centre: str
    peer_address: str
    caller_address: str
    version: int
    is_leaving: bool = False
    has_store: bool = True
    in_flight: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class ConfigurationOffer:
    """Accepted entries, or a whole configuration for a daemon that lags too far.

    :param entries: JSON of the entries, oldest first.
    :param snapshot: JSON of a whole configuration, empty when entries suffice.
    """

    entries: list[bytes] = attrs.field(factory=list)
    snapshot: bytes = b""


@attrs.frozen
class ConfigurationRequest:
    """Asks for the entries after a version."""

    after_version: int


Message = Heartbeat | ConfigurationOffer | ConfigurationRequest

MESSAGE_TYPES: dict[MessageKind, type] = {
    MessageKind.HEARTBEAT: Heartbeat,
    MessageKind.CONFIGURATION_OFFER: ConfigurationOffer,
    MessageKind.CONFIGURATION_REQUEST: ConfigurationRequest,
}
MESSAGE_KINDS = {message_type: kind for kind, message_type in MESSAGE_TYPES.items()}


@attrs.frozen
class Received:
    """A message whose sender was authenticated."""

    sender: str
    incarnation: int
    sequence: int
    message: Message


def seal(message: Message, sender: str, incarnation: int, sequence: int, secret: bytes) -> bytes:
    """Encode a message and prepend its authentication tag.

    :param secret: shared secret of the daemons.
    """
    kind = MESSAGE_KINDS[type(message)]
    data = pack(Envelope(sender, incarnation, sequence, kind, msgspec.Raw(pack(message))))
    return hmac.digest(secret, data, sha256) + data


def unseal(data: bytes, secret: bytes) -> Received:
    """Check the tag of a message and decode it.

    :raises PeerMessageError: when the message is forged, oversized or unreadable.
    """
    if not TAG_BYTES < len(data) <= MAX_MESSAGE_BYTES:
        raise PeerMessageError(f"message of {len(data)} bytes")
    tag, payload = data[:TAG_BYTES], data[TAG_BYTES:]
    if not hmac.compare_digest(tag, hmac.digest(secret, payload, sha256)):
        raise PeerMessageError("message with a wrong authentication tag")
    try:
        envelope = unpack(payload, Envelope)
        message = unpack(envelope.body, MESSAGE_TYPES[envelope.kind])
    except DecodeError as error:
        raise PeerMessageError(f"unreadable message: {error}") from error
    return Received(envelope.sender, envelope.incarnation, envelope.sequence, message)
