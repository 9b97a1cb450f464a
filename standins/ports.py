"""Ports on the loopback interface that stay reserved until the reservation is released."""

import socket

HOST = "127.0.0.1"


class ReservedPorts:
    """Ports that no other process is given; a context manager that releases them.

    Each port is held by a socket that is bound and never listens. The system neither assigns such a
    port to other sockets nor uses it for outgoing connections, but a server that binds it with
    ``SO_REUSEADDR`` may listen on it, also several times in succession.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def __enter__(self) -> "ReservedPorts":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()

    def release(self) -> None:
        """Release all ports."""
        for each in self.sockets:
            each.close()
        self.sockets.clear()

    def reserve(self, port: int = 0) -> int:
        """Reserve a port and return it.

        :param port: port to reserve, 0 for any.
        :raises OSError: if the port is in use or reserved.
        """
        holder = socket.socket()
        try:
            # Without SO_REUSEADDR at this point, binding a port that another socket holds fails.
            holder.bind((HOST, port))
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        except OSError:
            holder.close()
            raise
        self.sockets.append(holder)
        return holder.getsockname()[1]

    def reserve_pair(self) -> tuple[int, int]:
        """Reserve two consecutive ports and return them in ascending order."""
        while True:
            first = self.reserve()
            try:
                return first, self.reserve(first + 1)
            except (OSError, OverflowError):
                self.sockets.pop().close()
