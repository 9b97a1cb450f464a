"""What the clients of a server may take up, and why they are refused more."""

from enum import Enum

import attrs


class RefusalReason(Enum):
    """Why a connection was refused or closed before its client was done.

    ``CONNECTIONS``: the server has its maximum of connections.
    """

    CONNECTIONS = "connections"


@attrs.frozen
class ServerCapacity:
    """What the clients of one server may take up.

    :param max_connections: maximum number of open connections.
    """

    max_connections: int = 4096
