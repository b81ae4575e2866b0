"""Network addresses, as the platform writes them."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]
"""An IP address and a port, as the socket module takes them."""

MAX_PORT = 65535


class AddressError(ValueError):
    """A text that is not an address; the message is a single line."""


def parse_address(text: object) -> Address:
    """Parse `host:port`, without name look-ups, which the platform lacks; raises AddressError."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise AddressError(f"{text!r} is not an address of the form host:port")
    try:
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError as error:
        raise AddressError(f"{text!r} does not contain an IP address") from error
