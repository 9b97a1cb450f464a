"""Network addresses: an IP address and a port, never a host name."""

import ipaddress

import attrs


@attrs.frozen(order=True)
class Address:
    """The IP address and port of a TCP socket.

    :param host: IPv4 or IPv6 address as text, without brackets.
    :param port: TCP port, 1 to 65535.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``"127.0.0.1:8080"`` or ``"[::1]:8080"``.

        :raises ValueError: if ``text`` has another form; the message names the text and the
            expected form.
        """
        host, separator, port = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        try:
            ipaddress.ip_address(host)
            # Python accepts a scope of any characters after "%", and more than digits in a number.
            is_exact = "%" not in host and port.isascii() and port.isdecimal()
            port_number = int(port) if is_exact else 0
        except ValueError:
            port_number = 0
        if not separator or not 0 < port_number < 65536:
            raise ValueError(f"address {text!r} is not IP:PORT; write it like '127.0.0.1:8080'")
        return cls(host, port_number)

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"
