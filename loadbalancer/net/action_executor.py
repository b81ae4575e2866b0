"""Carries out the actions of the decision module: each becomes I/O, a timer or a log line."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import assert_never

from loadbalancer import interface
from loadbalancer.interface import Outcome
from loadbalancer.net.attempt_handler import AttemptHandler
from loadbalancer.net.clock import Clock
from loadbalancer.net.endpoint_list import EndpointListFollower
from loadbalancer.net.log import Log
from loadbalancer.net.request_attempts import RequestAttempts
from loadbalancer.net.request_table import RequestTable
from loadbalancer.net.upstream_pool import UpstreamPools
from loadbalancer.net.upstream_response import UpstreamResponse

HEALTH_CHECK_TIMEOUT_MS = 250.0  # a server that responds later is of no use to requests either


class HealthCheck(AttemptHandler):
    """One health check of a server."""

    def __init__(self, server: str, dispatch: Callable[[interface.Event], None]) -> None:
        """Create the check; `dispatch` passes its outcome to the decision module."""
        self._server = server
        self._dispatch = dispatch

    def build_request(self) -> bytes:
        """Return the request."""
        return b"GET /healthz HTTP/1.1\r\nHost: upstream\r\n\r\n"

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """Report the outcome."""
        self._dispatch(interface.HealthCheckEnded(self._server, outcome))


class ActionExecutor:
    """Carries out one action at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        requests: RequestTable,
        attempts: RequestAttempts,
        upstreams: UpstreamPools,
        endpoint_list: EndpointListFollower,
        log: Log,
        dispatch: Callable[[interface.Event], None],
    ) -> None:
        """Create the executor; `dispatch` passes events that actions cause to the decision module."""
        self._loop = loop
        self._clock = clock
        self._requests = requests
        self._attempts = attempts
        self._upstreams = upstreams
        self._endpoint_list = endpoint_list
        self._log = log
        self._dispatch = dispatch

    def execute(self, action: interface.Action) -> None:
        """Carry out an action."""
        match action:
            case interface.SendAttempt():
                self._attempts.send(action)
            case interface.SetTimer(at, token):
                delay_s = max(at - self._clock.now(), 0.0) / 1000
                self._loop.call_later(delay_s, self._dispatch, interface.TimerExpired(token))
            case interface.Reject(request_id, retry_after_ms):
                retry_after = b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000)
                self._respond(request_id, 503, retry_after if retry_after_ms > 0 else b"")
            case interface.Fail(request_id):
                self._respond(request_id, 502)
            case interface.CancelAttempt():
                self._attempts.cancel(action)
            case interface.SendHealthCheck(server):
                self._send_health_check(server)
            case interface.CloseIdleConnections(server):
                self._upstreams.close_idle(server)
            case interface.WatchEndpointList():
                self._endpoint_list.watch()
            case interface.LogMessage(text):
                self._log.event("decision", text)
            case _:
                assert_never(action)

    def _respond(self, request_id: int, status: int, header_lines: bytes = b"") -> None:
        request = self._requests.get_open(request_id)
        if request is not None:
            self._requests.respond(request, status, header_lines)
            # On a timer or another request's event, `on_event_handled` doesn't remove this request.
            self._requests.forget_if_finished(request)

    def _send_health_check(self, server: str) -> None:
        check = HealthCheck(server, self._dispatch)
        if self._upstreams.start_attempt(server, HEALTH_CHECK_TIMEOUT_MS / 1000, check) is None:
            self._dispatch(interface.HealthCheckEnded(server, Outcome.NOT_SENT))
