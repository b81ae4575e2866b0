"""The head of a message in a compact form: the lines to forward, and the values that the balancer reads.

Header by header, Python objects would take many times the bytes that a peer has sent.
"""

from __future__ import annotations

from loadbalancer.net.http_framing import HEADER_OVERHEAD_BYTES, HOP_BY_HOP_HEADERS

_LENGTH_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class MessageHead:
    """The headers of a message, collected in the order in which they arrive."""

    __slots__ = ("_lines", "_values", "size_bytes")

    _READ_FIRST: frozenset[bytes] = frozenset()
    """Headers that are read; of repeated ones the first counts."""
    _READ_LAST: frozenset[bytes] = _LENGTH_HEADERS
    """Headers that are read; of repeated ones the last counts."""
    _NOT_FORWARDED: frozenset[bytes] = HOP_BY_HOP_HEADERS

    def __init__(self) -> None:
        self.size_bytes = 0
        """Of names and values, with the overhead of each header (RFC 9113, 6.5.2)."""
        self._lines = bytearray()
        self._values: dict[bytes, bytes] = {}

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the name may be in any case."""
        self.size_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        name = name.lower()
        if name in self._READ_LAST:
            self._values[name] = value
        elif name in self._READ_FIRST:
            self._values.setdefault(name, value)
        if name not in self._NOT_FORWARDED:
            self._lines += b"%b: %b\r\n" % (name, value)

    def value(self, name: bytes) -> bytes | None:
        """Return the value of one of the headers that are read, by its name in lower case."""
        return self._values.get(name)

    def framing(self) -> dict[bytes, bytes]:
        """Return the headers that are read, by name; for `body_length`."""
        return self._values

    def memory_bytes(self) -> int:
        """Return about how much memory it takes."""
        return len(self._lines) + sum(map(len, self._values.values()))

    def forwarded_lines(self) -> bytes:
        """Return the header lines that are forwarded."""
        return bytes(self._lines)

    def release(self) -> None:
        """Drop the lines: they are not forwarded any more."""
        self._lines = bytearray()


class RequestHead(MessageHead):
    """The target and the headers of a request."""

    __slots__ = ("target",)

    _READ_FIRST = frozenset(
        (b"x-class", b"x-request-id", b"x-deadline", b"x-tenant", b"x-retry", b"x-cost-hint")
    )
    _READ_LAST = _LENGTH_HEADERS | {b"expect"}
    # The last two are written anew for each attempt, or handled by the balancer itself.
    _NOT_FORWARDED = HOP_BY_HOP_HEADERS | {b"x-deadline", b"expect"}

    def __init__(self) -> None:
        super().__init__()
        self.target = b""

    def add_target(self, part: bytes) -> None:
        """Add a part of the target."""
        self.size_bytes += len(part)
        self.target += part

    def memory_bytes(self) -> int:
        """Return about how much memory it takes."""
        return len(self.target) + super().memory_bytes()


class ResponseHead(MessageHead):
    """The status and the headers of a response."""

    __slots__ = ("has_not_run", "status")

    def __init__(self, status: int = 0) -> None:
        super().__init__()
        self.status = status
        self.has_not_run = False
        """Whether a header says that the request has not run."""

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the name may be in any case."""
        super().add_header(name, value)
        if value == b"1" and name.lower() == b"x-not-run":
            self.has_not_run = True
