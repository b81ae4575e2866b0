"""The head of a message in a compact form: the lines to forward, and the values that the balancer reads.

Header by header, Python objects would take many times the bytes that a peer has sent.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loadbalancer.net.http_framing import HEADER_OVERHEAD_BYTES, HOP_BY_HOP_HEADERS


@dataclass(frozen=True, slots=True)
class Treatment:
    """What is done with a header; one that has no treatment is forwarded."""

    is_read_first: bool
    """Whether its value is read, and of repeated headers the first counts."""
    is_read_last: bool
    """Whether its value is read, and of repeated headers the last counts."""
    is_forwarded: bool


def _treatments(
    read_first: Iterable[bytes], read_last: Iterable[bytes], not_forwarded: Iterable[bytes]
) -> dict[bytes, Treatment]:
    """Return the treatment of each header by its name in lower case."""
    first, last, hidden = frozenset(read_first), frozenset(read_last), frozenset(not_forwarded)
    return {
        name: Treatment(name in first, name in last, name not in hidden) for name in first | last | hidden
    }


_LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class MessageHead:
    """The headers of a message, collected in the order in which they arrive."""

    __slots__ = ("_lines", "_values", "size_bytes")

    _TREATMENTS = _treatments((), _LENGTH_HEADERS, HOP_BY_HOP_HEADERS)

    def __init__(self) -> None:
        self.size_bytes = 0
        """Of names and values, with the overhead of each header (RFC 9113, 6.5.2)."""
        self._lines = bytearray()
        self._values: dict[bytes, bytes] = {}

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the name may be in any case."""
        self.size_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        name = name.lower()
        treatment = self._TREATMENTS.get(name)
        if treatment is not None:
            if treatment.is_read_last:
                self._values[name] = value
            elif treatment.is_read_first:
                self._values.setdefault(name, value)
            if not treatment.is_forwarded:
                return
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

    def release_all(self) -> None:
        """Drop the lines and the values: nothing is asked of them any more."""
        self.release()
        self._values = {}


class RequestHead(MessageHead):
    """The target and the headers of a request."""

    __slots__ = ("target",)

    _TREATMENTS = _treatments(
        read_first=(
            b"x-class",
            b"x-request-id",
            b"x-deadline",
            b"x-tenant",
            b"x-retry",
            b"x-cost-hint",
        ),
        read_last=(*_LENGTH_HEADERS, b"expect"),
        # The last two are written anew for each attempt, or handled by the balancer itself.
        not_forwarded=(*HOP_BY_HOP_HEADERS, b"x-deadline", b"expect"),
    )

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

    def release_all(self) -> None:
        """Drop all of it: nothing is asked of it any more."""
        super().release_all()
        self.target = b""


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
