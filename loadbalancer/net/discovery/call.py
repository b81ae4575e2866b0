"""Calls for the endpoint list: sends the request, reads the answer, and reuses the connection."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from loadbalancer.endpoint_watch import ListRequest
from loadbalancer.net.address import Address
from loadbalancer.net.config import EndpointList
from loadbalancer.net.discovery import connection as connections
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list
from loadbalancer.net.interest_subscription import AnswerView, InterestSubscription
from loadbalancer.net.upstream_response import UpstreamResponse

CONNECT_TIMEOUT_S = 1.0  # separate from the long-poll wait, which must not cover connecting


class DiscoveryError(Exception):
    """Base class of the errors of a call for the list other than OSError and ValueError."""


class ResponseTimeoutError(DiscoveryError):
    """A request was sent, and neither an answer nor an error came within its timeout."""


class RequestRejectedError(DiscoveryError, ValueError):
    """The service answered with a status other than 200."""


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """The decoded answer to a call."""

    update: EndpointList
    view: AnswerView


class ListCaller:
    """Makes calls, and reuses the connection between calls to the same instance."""

    def __init__(self, interest: InterestSubscription) -> None:
        """`interest` supplies the query parameters and reads the view in an answer."""
        self._interest = interest
        self._connection: connections.Connection | None = None
        self._address: Address | None = None

    async def call(self, request: ListRequest) -> ListAnswer:
        """Return the answer to a request.

        Raises ResponseTimeoutError if none came in time, TimeoutError or OSError if connecting failed,
        RateLimitedError, and ValueError if the answer is not a list.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + request.timeout_s
        connection = self._connection
        if connection is None or connection.is_closed or self._address != request.address:
            connection = await self._connect(request)
            if request.is_long_poll:
                deadline = loop.time() + request.timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                return await request_list(connection, request, self._interest)
        except TimeoutError as error:
            host, port = request.address
            raise ResponseTimeoutError(f"{host}:{port} sent no answer in {request.timeout_s} s") from error

    def detach(self) -> connections.Connection | None:
        """Release the connection to the caller, which becomes responsible for closing it."""
        connection = self._connection
        self._connection = None
        return connection

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    async def _connect(self, request: ListRequest) -> connections.Connection:
        self.close()
        async with asyncio.timeout(min(CONNECT_TIMEOUT_S, request.timeout_s)):
            connection = await connections.connect(request.address)
        self._connection = connection
        self._address = request.address
        return connection


async def request_list(
    connection: connections.Connection, request: ListRequest, interest: InterestSubscription
) -> ListAnswer:
    """Send a request and return its answer; ValueError if the answer is not a list."""
    query = interest.query_parameters(asyncio.get_running_loop().time())
    if request.after_index >= 0:
        query.append(f"after={request.after_index}&wait_ms={request.wait_ms:.0f}")
    path = "/v1/servers" + ("?" + "&".join(query) if query else "")
    host, port = request.address
    response = await connection.call(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
    return read_answer(response, interest)


def read_answer(response: UpstreamResponse, interest: InterestSubscription) -> ListAnswer:
    """Decode a response; ValueError if it is not a list, RateLimitedError if it says when to retry."""
    if response.status != 200:
        interest.raise_if_rate_limited(response.status, response.body)
        raise RequestRejectedError(f"discovery answered {response.status}")
    answer = json.loads(response.body)
    return ListAnswer(decode_endpoint_list(answer), interest.read_view(answer))
