"""HTTP/1.1 message framing (RFC 9112) that both sides share: limits, lengths, heads, chunks."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

MAX_HEAD_BYTES = 65_536  # of a request line, or status line, and headers with their overhead
HEADER_OVERHEAD_BYTES = 32  # that each header counts beside its name and value, as in RFC 9113, 6.5.2
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_PIECE_BYTES = 4_096  # that are parsed at once where a message may end anywhere, or parts may be small
MAX_SHORT_HEAD_BYTES = 2_048  # of a message that is parsed as soon as it is read
END_OF_HEAD = b"\n\r\n"
LENGTH_NOT_GIVEN = -1  # in the head: a request then has no body, a response ends with its connection
LAST_CHUNK = b"0\r\n\r\n"
HOP_BY_HOP_HEADERS = frozenset(
    b"connection content-length keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
)

Headers = list[tuple[bytes, bytes]]
"""Names in lower case and values, in the order received."""


class FramingError(Exception):
    """A message that is not acceptable HTTP/1.1."""


class MessageTooLargeError(FramingError):
    """A message that is larger than the protocol allows."""


class AmbiguousLengthError(FramingError):
    """A message whose end two parsers could see at different places."""


def encode_chunk(data: bytes) -> bytes:
    """Return a part of a body whose length is not known, as a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def body_length(values: Mapping[bytes, bytes]) -> int | None:
    """Return the length of a body as the headers of its head give it, by name in lower case.

    It is None for a chunked body, and `LENGTH_NOT_GIVEN` if the head announces no body. Raises
    AmbiguousLengthError for a transfer coding other than chunked.
    """
    coding = values.get(b"transfer-encoding")
    if coding is not None:
        if coding.strip().lower() != b"chunked":
            raise AmbiguousLengthError("unknown transfer coding")
        return None
    length = values.get(b"content-length")
    return LENGTH_NOT_GIVEN if length is None else int(length)


def to_origin_form(target: bytes) -> bytes:
    """Return the path and query of a target, which may name a host before them (RFC 9112, 3.2)."""
    scheme, separator, rest = target.partition(b"://")
    if not separator or scheme.lower() not in (b"http", b"https"):
        return target
    path = rest[min((rest.index(c) for c in (b"/", b"?") if c in rest), default=len(rest)) :]
    return path if path[:1] == b"/" else b"/" + path


def header_lines(headers: Headers) -> bytes:
    """Return headers as the lines of a head."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def reason_phrase(status: int) -> str:
    """Return the reason phrase of a status, empty if it has none."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""


def encode_response_head(status: int, lines: bytes, length: int | None, *, close: bool) -> bytes:
    """Return the head of a response with header lines; without a Content-Length if `length` is None."""
    parts = [b"HTTP/1.1 %d %b\r\n" % (status, reason_phrase(status).encode())]
    parts.append(b"Content-Length: %d\r\n" % length if length is not None else b"")
    parts.append(lines)
    parts.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(parts)


def encode_response(status: int, lines: bytes, body: bytes, *, close: bool) -> bytes:
    """Return a complete response with header lines; with `close` it has `Connection: close`."""
    return encode_response_head(status, lines, len(body), close=close) + body
