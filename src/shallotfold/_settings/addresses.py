"""Parse socket addresses from settings."""

import ipaddress

import attrs

_MAX_PORT = 65535


@attrs.frozen
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Format as `IP:PORT`."""
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`.

    Raises:
        ValueError: The text is not an address; the message says why.
    """
    ip, _, port = text.rpartition(":")
    ipaddress.ip_address(ip)
    if not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(f"{text!r} has no port number from 0 to {_MAX_PORT}")
    return Address(ip, int(port))
