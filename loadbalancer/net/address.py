"""Addresses of machines, as the platform writes them."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]
"""An IP address and a port, as the socket module takes them."""

MAX_PORT = 65535


class AddressError(ValueError):
    """A text that is no address; the message is one plain line."""


def parse_address(text: object) -> Address:
    """Return `host:port` as a pair; AddressError if it is none. The platform has no names to look up."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise AddressError(f"{text!r} is no address of the form host:port")
    try:
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError as error:
        raise AddressError(f"{text!r} holds no address of a machine") from error
