"""What an attempt at an upstream works with: its pool, its owner, and the receiver of a streamed response."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from loadbalancer.interface import Outcome
from loadbalancer.net.message_body import Body
from loadbalancer.net.upstream_connection import UpstreamConnection
from loadbalancer.net.upstream_response import UpstreamResponse


class AttemptPool(Protocol):
    """The pool of connections to an attempt's server."""

    loop: asyncio.AbstractEventLoop
    connect_timeout_s: float

    def can_start_attempt(self) -> bool:
        """Return whether a request may still be sent on a connection that was just established."""

    def take_idle(self) -> UpstreamConnection | None:
        """Take an idle connection."""

    def create_connection(self) -> UpstreamConnection | None:
        """Return a new connection, to be opened by `connect`, or None if there are too many."""

    async def connect(self, connection: UpstreamConnection) -> None:
        """Open a connection; close it and raise OSError if that fails."""


class ResponseSink(Protocol):
    """The receiver of a streamed response."""

    def send_body_part(self, data: bytes) -> None:
        """Send a part of the body; the attempt's `pause` and `resume` control the flow."""


class AttemptHandler:
    """The owner of an attempt: provides its request and is notified of its progress. Serves health checks."""

    body: Body | None = None  # if it is streamed after the head

    def is_needed(self) -> bool:
        """Return whether the attempt is still to be sent; called right before it is."""
        return True

    def remaining_s(self) -> float:
        """Return the time until the response to the request is due; it moves while the body arrives."""
        return math.inf

    def build_request(self) -> bytes:
        """Return the request, or its head if the body follows; called once there is a connection."""
        raise NotImplementedError

    def on_request_written(self) -> None:
        """Handle that the last byte of the request was sent."""

    def on_response_started(self, answer: UpstreamResponse) -> ResponseSink | None:
        """Return the sink for a response to be streamed, or None if it is no longer needed."""

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """Handle the end; `answer` is the response if it is complete and was not streamed."""
