"""Parses the requests of a client's connection, enforces limits and rejects invalid input."""

from __future__ import annotations

from typing import NoReturn, Protocol

import httptools

from loadbalancer.net.downstream_request import DownstreamRequest, RequestConnection, RequestRejection
from loadbalancer.net.http_framing import (
    END_OF_HEAD,
    LENGTH_NOT_GIVEN,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_PIECE_BYTES,
    MAX_SHORT_HEAD_BYTES,
    AmbiguousLengthError,
    FramingError,
    MessageTooLargeError,
)
from loadbalancer.net.memory_limits import MAX_UNSHED_HEAD_BYTES
from loadbalancer.net.message_body import BufferReservation
from loadbalancer.net.message_head import RequestHead


class InvalidRequestError(FramingError):
    """Input that is not an acceptable request; nothing after it can be parsed as one."""

    def __init__(self, status: int, reason: str) -> None:
        """`status` and `reason` are those of the response."""
        super().__init__(f"{status} {reason}")
        self.status = status
        self.reason = reason


class ParserEvents(Protocol):
    """Receives a parser's events."""

    def on_request_started(self) -> None:
        """Handle the first byte of a request."""

    def on_request_received(self, request: DownstreamRequest) -> None:
        """Handle the end of a request."""


class RequestParser:
    """Parses one request after another, and notifies of the start and the end of each."""

    def __init__(self, connection: RequestConnection, events: ParserEvents) -> None:
        self._connection = connection
        self._events = events
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._rejection: RequestRejection | None = None  # set by a callback
        self._is_in_head = False
        self._head = RequestHead()
        self._raw_head_bytes = 0  # as they were fed
        self._framing_bytes = 0  # of chunk extensions and trailers, since the last byte of the body
        self._reservation = BufferReservation(connection.buffers)  # of a head or trailer that is not complete
        self._is_released = False
        self.is_receiving = False  # whether a request has begun and not ended
        self.request: DownstreamRequest | None = None  # whose body is incomplete

    def is_quickly_parsed(self, data: memoryview) -> bool:
        """Return whether these bytes are a body of known length, or begin with the end of a short head."""
        if self.request is not None:
            return self.request.body.length is not None
        return self._raw_head_bytes == 0 and END_OF_HEAD in bytes(data[:MAX_SHORT_HEAD_BYTES])

    def piece_bytes(self, data: memoryview) -> int:
        """Return how many of these bytes to feed at once, so that they end no more than one request or so."""
        if self.request is not None and self.request.body.length is not None:
            return max(self.request.body.missing_bytes(), 1)
        start = bytes(data[:MAX_PIECE_BYTES])
        if len(data) <= MAX_SHORT_HEAD_BYTES and start.count(END_OF_HEAD) == 1:
            return len(data)  # a short request and its body, in most cases
        end = start.find(END_OF_HEAD)
        return end + len(END_OF_HEAD) if end >= 0 else len(start)

    def feed(self, data: memoryview) -> int:
        """Parse bytes; return how many were parsed: not all, after a request to upgrade the protocol.

        Such a request is answered in HTTP/1.1. Raises InvalidRequestError.
        """
        if self._is_in_head and self._raw_head_bytes > MAX_HEAD_BYTES:
            raise InvalidRequestError(431, "headers too large")
        if self._framing_bytes > MAX_HEAD_BYTES:
            raise InvalidRequestError(431, "trailers or chunk extensions too large")
        assert self._parser is not None
        parsed_bytes = len(data)
        body_bytes = self._body_bytes()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._parser = httptools.HttpRequestParser(self)
            parsed_bytes = upgrade.args[0]
        except httptools.HttpParserError as error:
            rejection = self._rejection or RequestRejection(400, "malformed request")
            raise InvalidRequestError(rejection.status, rejection.reason) from error
        if self._is_in_head:
            self._raw_head_bytes += len(data)
        has_body_part = self._body_bytes() != body_bytes
        self._framing_bytes = 0 if has_body_part or self.request is None else self._framing_bytes + len(data)
        if self.request is not None:
            self.request.body.flush()
        held_bytes = self._raw_head_bytes if self._is_in_head else self._framing_bytes
        self._reservation.resize(0 if self._is_released else held_bytes)
        return parsed_bytes

    def _body_bytes(self) -> int:
        return 0 if self.request is None else self.request.body.received_bytes

    def head_bytes(self) -> int:
        """Return how much memory a head takes that is not complete, or the trailers of a body."""
        return self._reservation.size_bytes

    def take_request(self) -> DownstreamRequest | None:
        """Remove the request whose body is incomplete, and return it."""
        request = self.request
        self.request = None
        return request

    def release(self) -> None:
        """Drop an incomplete head: nothing more is fed.

        The parser holds a part of it, and forms a reference cycle, which the garbage collector frees late.
        """
        self._is_released = True
        self._parser = None
        self._head = RequestHead()
        self._reservation.resize(0)

    # ---- httptools' callbacks ---------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Reset the state of the last request."""
        self.is_receiving = True
        self._is_in_head = True
        self._head = RequestHead()
        self._raw_head_bytes = 0
        self._events.on_request_started()

    def on_url(self, part: bytes) -> None:
        """Collect the target."""
        self._head.add_target(part)
        if self._head.size_bytes > MAX_HEAD_BYTES:
            self._reject(431, "headers too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self._is_in_head:
            self._head.add_header(name, value)
            if self._head.size_bytes > MAX_HEAD_BYTES:
                self._reject(431, "headers too large")

    def _reject(self, status: int, reason: str) -> NoReturn:
        """Stop the parser, which wraps this exception; `feed` raises an error of its own."""
        self._rejection = RequestRejection(status, reason)
        raise MessageTooLargeError(reason)

    def on_headers_complete(self) -> None:
        """Create the request from its head; its body comes next."""
        parser = self._parser
        if parser is None:
            self._reject(400, "the connection has ended")
        self._is_in_head = False
        self._raw_head_bytes = 0
        self._reservation.resize(0)  # the request counts its head from now on
        request = DownstreamRequest(self._connection, parser.get_method(), self._head)
        self._head = RequestHead()
        self.request = request
        if self._connection.buffers.is_full() and request.head_bytes() > MAX_UNSHED_HEAD_BYTES:
            request.shed()
        request.keep_alive = parser.should_keep_alive()
        request.version = parser.get_http_version()
        if (request.body.length or 0) > MAX_BODY_BYTES:
            self._reject(413, "body too large")
        if request.body.length == LENGTH_NOT_GIVEN:
            request.body.length = 0
        elif parser.should_upgrade():
            raise AmbiguousLengthError("a body with a protocol upgrade")
        if request.method == b"CONNECT":
            raise AmbiguousLengthError("bytes after CONNECT would be for another host")

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        request = self.request
        assert request is not None
        if request.body.received_bytes + len(data) > MAX_BODY_BYTES:
            self._reject(413, "body too large")
        request.body.feed(data)

    def on_message_complete(self) -> None:
        """Report the request as complete."""
        request = self.take_request()
        assert request is not None
        self.is_receiving = False
        self._events.on_request_received(request)
