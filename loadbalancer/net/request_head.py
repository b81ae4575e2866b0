"""The head of a request in a compact form: the lines to forward, and the values that the balancer reads.

Header by header, Python objects would take many times the bytes that a client has sent.
"""

from __future__ import annotations

from loadbalancer.net.http_framing import HEADER_OVERHEAD_BYTES, HOP_BY_HOP_HEADERS

# Of repeated headers, the first one counts.
_READ_FIRST = frozenset((b"x-class", b"x-request-id", b"x-deadline", b"x-tenant", b"x-retry", b"x-cost-hint"))
# Of repeated headers, the last one counts.
_READ_LAST = frozenset((b"content-length", b"transfer-encoding", b"expect"))
# Written anew for each attempt, or handled by the balancer itself.
_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {b"x-deadline", b"expect"}


class RequestHead:
    """The target and the headers of a request, collected in the order in which they arrive."""

    __slots__ = ("_lines", "_values", "size_bytes", "target")

    def __init__(self) -> None:
        self.target = b""
        self.size_bytes = 0
        """Of the target, names and values, with the overhead of each header (RFC 9113, 6.5.2)."""
        self._lines = bytearray()
        self._values: dict[bytes, bytes] = {}

    def add_target(self, part: bytes) -> None:
        """Add a part of the target."""
        self.size_bytes += len(part)
        self.target += part

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the name may be in any case."""
        self.size_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        name = name.lower()
        if name in _READ_LAST:
            self._values[name] = value
        elif name in _READ_FIRST:
            self._values.setdefault(name, value)
        if name not in _NOT_FORWARDED:
            self._lines += b"%b: %b\r\n" % (name, value)

    def value(self, name: bytes) -> bytes | None:
        """Return the value of one of the headers that the balancer reads, by its name in lower case."""
        return self._values.get(name)

    def framing(self) -> dict[bytes, bytes]:
        """Return the headers that the balancer reads, by name; for `body_length`."""
        return self._values

    def memory_bytes(self) -> int:
        """Return about how much memory it takes."""
        return len(self.target) + len(self._lines) + sum(map(len, self._values.values()))

    def forwarded_lines(self) -> bytes:
        """Return the header lines that are forwarded with each attempt."""
        return bytes(self._lines)

    def release(self) -> None:
        """Drop the lines: no attempt begins any more."""
        self._lines = bytearray()
