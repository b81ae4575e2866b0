"""A connection to a list service, for one call at a time."""

from __future__ import annotations

import asyncio
from typing import cast

from loadbalancer.net.address import Address
from loadbalancer.net.upstream_response import RESPONSE_ERRORS, ResponseReader, UpstreamResponse

MAX_LIST_BYTES = 4 * 1024 * 1024  # maximum response size; bounds memory if a service is broken


class Connection(asyncio.Protocol):
    """Sends one request at a time and completes with its response."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader()
        self._response: asyncio.Future[UpstreamResponse] | None = None
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received data; close on a malformed or oversized response."""
        try:
            is_complete = self._reader.feed(data)
            if self._reader.buffered_bytes > MAX_LIST_BYTES:
                raise ValueError(f"response exceeds {MAX_LIST_BYTES} bytes")
        except (*RESPONSE_ERRORS, ValueError) as error:
            self._fail(ValueError(f"invalid response: {error!r}"))
            self.close()
            return
        if is_complete:
            self._complete()

    def eof_received(self) -> None:
        """Complete a response delimited by the end of the connection; the transport closes by itself."""
        if self._reader.feed_eof():
            self._complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in flight."""
        self.is_closed = True
        self._fail(exc or ConnectionResetError("connection closed before the response"))

    async def call(self, request: bytes) -> UpstreamResponse:
        """Send a request and return its response; OSError or ValueError if it fails."""
        assert self._transport is not None
        self._response = asyncio.get_running_loop().create_future()
        self._reader.reset()
        self._transport.write(request)
        return await self._response

    async def wait_for_late_response(self) -> UpstreamResponse:
        """Wait for the response to a call that has timed out."""
        self._response = asyncio.get_running_loop().create_future()
        return await self._response

    def close(self) -> None:
        """Abort the connection."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def _complete(self) -> None:
        self.is_closed = self.is_closed or not self._reader.is_reusable
        if self._response is not None and not self._response.done():
            self._response.set_result(self._reader.response())

    def _fail(self, error: Exception) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)


async def connect(address: Address) -> Connection:
    """Open a connection to a list service; OSError if it can't be reached."""
    _, connection = await asyncio.get_running_loop().create_connection(Connection, *address)
    return connection
