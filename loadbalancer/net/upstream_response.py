"""Parsing of an upstream's responses from the bytes of its connection, with incremental bodies."""

from __future__ import annotations

import httptools

from loadbalancer.net.http_framing import (
    END_OF_HEAD,
    LENGTH_NOT_GIVEN,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_PIECE_BYTES,
    MAX_SHORT_HEAD_BYTES,
    FramingError,
    MessageTooLargeError,
    body_length,
)
from loadbalancer.net.memory_limits import MAX_UNSHED_RESPONSE_HEAD_BYTES
from loadbalancer.net.message_head import ResponseHead

RESPONSE_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade, FramingError)
"""What a reader raises on an invalid response."""


class UpstreamResponse:
    """A complete response, or its head and what has arrived of a body that is streamed."""

    __slots__ = ("body", "head", "length")

    def __init__(self, head: ResponseHead, length: int | None, body: bytes = b"") -> None:
        """Create a response; `length` is None if the head does not give it."""
        self.head = head
        self.length = length
        self.body = body

    @property
    def status(self) -> int:
        """The status of the response."""
        return self.head.status


class ResponseReader:
    """Parses the successive responses of a connection, with incremental access to each body.

    Call `feed` with received bytes and `feed_eof` at the end of the connection, then check `has_head` and
    `is_complete`; call `reset` before the next response.
    """

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reset()

    def release(self) -> None:
        """Drop the parser and what it holds: nothing more is fed.

        It forms a reference cycle with the reader, which the garbage collector frees late.
        """
        self._parser = None

    def reset(self) -> None:
        """Prepare for the next response."""
        self.is_reusable = False  # whether the connection may carry a further request
        self.has_head = False
        self.is_complete = False
        self._head = ResponseHead()
        self.length: int | None = LENGTH_NOT_GIVEN  # None for a chunked body
        self.buffered_bytes = 0  # of the body: received and not taken yet
        self._body = bytearray()  # what has not been taken yet
        self._raw_head_bytes = 0  # as fed to the parser
        self._framing_bytes = 0  # of chunk extensions and trailers, since the last byte of the body
        self._header_bytes = 0  # of all heads, those of interim responses included
        self._body_bytes = 0

    def piece_bytes(self) -> int:
        """Return how many bytes to feed at the most at once: few where many small parts may come."""
        if not self.has_head or self.length is None:
            return MAX_PIECE_BYTES
        return MAX_BODY_BYTES if self.length == LENGTH_NOT_GIVEN else max(self.length - self._body_bytes, 1)

    def is_quickly_parsed(self, data: memoryview) -> bool:
        """Return whether these bytes are a body of known length, or begin with the end of a short head."""
        if self.has_head:
            return self.length is not None
        return self._raw_head_bytes == 0 and END_OF_HEAD in bytes(data[:MAX_SHORT_HEAD_BYTES])

    def feed(self, data: bytes | memoryview) -> bool:
        """Parse bytes; return whether the response is complete. Raises one of `RESPONSE_ERRORS`."""
        if not self.has_head and self._raw_head_bytes > MAX_HEAD_BYTES:
            raise MessageTooLargeError("headers too large")
        if self._framing_bytes > MAX_HEAD_BYTES:
            raise MessageTooLargeError("trailers or chunk extensions too large")
        if self._parser is None:
            raise FramingError("the connection has ended")
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ or error from None
        if not self.has_head:
            self._raw_head_bytes += len(data)
        is_framing = self.has_head and not self.is_complete and self._body_bytes == body_bytes
        self._framing_bytes = self._framing_bytes + len(data) if is_framing else 0
        return self.is_complete

    def feed_eof(self) -> bool:
        """Handle the end of the connection; return whether it completed the response."""
        if self.has_head and not self.is_complete and self.length == LENGTH_NOT_GIVEN:
            self.is_complete = True
            return True
        return False

    def response(self) -> UpstreamResponse:
        """Return the response as far as it has arrived, and take its body."""
        length = None if self.length == LENGTH_NOT_GIVEN else self.length
        return UpstreamResponse(self._head, length, self.take_body())

    @property
    def status(self) -> int:
        """The status; 0 before the head is complete."""
        return self._head.status

    def held_bytes(self) -> int:
        """Return about how much memory the response takes as far as it has arrived."""
        head_bytes = self._head.memory_bytes() if self.has_head else 0
        return head_bytes + self.parser_bytes() + self.buffered_bytes

    def parser_bytes(self) -> int:
        """Return how much memory a head or a trailer takes that is not complete."""
        return self._framing_bytes if self.has_head else self._raw_head_bytes

    def has_long_head(self) -> bool:
        """Return whether the complete head takes so much that it should not be held for long."""
        return self.has_head and self._head.memory_bytes() > MAX_UNSHED_RESPONSE_HEAD_BYTES

    def take_body(self) -> bytes:
        """Return the part of the body that has arrived since the last call."""
        data = bytes(self._body)
        self._body = bytearray()
        self.buffered_bytes = 0
        return data

    # ---- the parser's callbacks -----------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Discard an interim response; a message after a complete one answers none of our requests."""
        if self.is_complete:
            self.is_reusable = False
        else:
            self._head = ResponseHead()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are dropped."""
        if self.is_complete or self.has_head:
            return
        size_bytes = self._head.size_bytes
        self._head.add_header(name, value)
        self._header_bytes += self._head.size_bytes - size_bytes
        if self._header_bytes > MAX_HEAD_BYTES:
            raise MessageTooLargeError("headers too large")

    def on_headers_complete(self) -> None:
        """Store the head; that of an interim response (status below 200) is dropped."""
        status = 0 if self._parser is None else self._parser.get_status_code()
        if self.is_complete or status < 200:
            return
        self.has_head = True
        self._head.status = status
        self.length = body_length(self._head.framing())
        if (self.length or 0) > MAX_BODY_BYTES:
            raise MessageTooLargeError(f"body of {self.length} bytes is too large")

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body until it is taken."""
        if not self.is_complete:
            self._body += data
            self.buffered_bytes += len(data)
            self._body_bytes += len(data)
            if self._body_bytes > MAX_BODY_BYTES:
                raise MessageTooLargeError(f"body exceeds {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Mark the response complete."""
        if self.has_head and not self.is_complete:
            # Queried here, since the parser resets its flags after the message.
            self.is_reusable = self._parser is not None and self._parser.should_keep_alive()
            self.is_complete = True
