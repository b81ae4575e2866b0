"""Defects of the proxy: it sends twice, fabricates responses, or keeps servers that the list has removed."""

from __future__ import annotations

import os
from dataclasses import replace

from loadbalancer import interface
from loadbalancer.interface import Outcome, Readiness
from loadbalancer.net.action_executor import ActionExecutor
from loadbalancer.net.config import Config, EndpointList
from loadbalancer.net.configuration_reload import ReloadReport
from loadbalancer.net.downstream_listener import DownstreamListener
from loadbalancer.net.downstream_request import DownstreamRequest
from loadbalancer.net.endpoint_list import EndpointListFollower
from loadbalancer.net.proxy import Proxy
from loadbalancer.net.request_attempts import RequestAttempt
from loadbalancer.net.request_intake import RequestIntake
from loadbalancer.net.upstream_response import UpstreamResponse

UNREAD_CLOSE_DELAY_S = 0.5  # from SIGTERM until a connection that is no longer read is closed
FABRICATED_RESPONSE_INTERVAL = 25  # requests, one of which gets a response though no server saw it


class _DuplicateAttempt(RequestAttempt):
    """A second attempt that no client asked for, and whose response is dropped."""

    def on_request_written(self) -> None:
        """Count no attempt."""

    def on_response_started(self, answer: UpstreamResponse) -> DownstreamRequest | None:
        """Forward nothing."""
        return None

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """Report no outcome."""


def sends_twice() -> None:
    """Send requests that are unsafe to repeat to two servers."""
    real = ActionExecutor.execute

    def _execute(self: ActionExecutor, action: interface.Action) -> None:
        real(self, action)
        if not isinstance(action, interface.SendAttempt):
            return
        request = self._requests.by_id.get(action.request_id)
        others = [name for name in self._endpoint_list.endpoints if name != action.server]
        if request is not None and request.downstream.method == b"POST" and others:
            duplicate = _DuplicateAttempt(self._attempts, request, action, 0)
            self._upstreams.start_attempt(others[0], duplicate.timeout_ms / 1_000, duplicate)

    ActionExecutor.execute = _execute  # type: ignore[method-assign]


def _treat_as_ready(state: Readiness) -> None:
    """Treat servers listed in a state as ready, in the decision module and at the sockets."""
    real = EndpointListFollower.apply

    def _apply(self: EndpointListFollower, kind: interface.UpdateKind, update: EndpointList) -> bool:
        endpoints = tuple(
            replace(e, endpoint=replace(e.endpoint, readiness=Readiness.READY))
            if e.endpoint.readiness is state
            else e
            for e in update.endpoints
        )
        return real(self, kind, replace(update, endpoints=endpoints))

    EndpointListFollower.apply = _apply  # type: ignore[method-assign]


def forgets_drain() -> None:
    """Keep using a draining server."""
    _treat_as_ready(Readiness.DRAINING)


def keeps_dead_server() -> None:
    """Keep using a server that the list has removed."""
    _treat_as_ready(Readiness.DEAD)


def answers_from_nowhere() -> None:
    """Respond to some requests with 200 though no server ever saw them."""
    real = RequestIntake.on_request_arrived
    count = 0

    def _on_request_arrived(self: RequestIntake, downstream: DownstreamRequest) -> None:
        nonlocal count
        count += 1
        if count % FABRICATED_RESPONSE_INTERVAL == 0 and downstream.body.is_complete:
            downstream.send_response(200, b"", b'{"served": true}')
        else:
            real(self, downstream)

    RequestIntake.on_request_arrived = _on_request_arrived  # type: ignore[method-assign]


def closes_unread() -> None:
    """After SIGTERM, stop reading idle connections, and close them with any unread data."""
    real = DownstreamListener.shut_down

    async def _shut_down(self: DownstreamListener) -> None:
        for connection in list(self._connections):
            transport = connection._transport
            if transport is not None and connection.is_idle():
                transport.pause_reading()
                self.loop.call_later(UNREAD_CLOSE_DELAY_S, transport.abort)
        await real(self)

    DownstreamListener.shut_down = _shut_down  # type: ignore[method-assign]


def ends_on_second_reload() -> None:
    """Exit at the second SIGHUP."""
    real = Proxy.apply_configuration
    count = 0

    def _apply_configuration(self: Proxy, config: Config) -> ReloadReport:
        nonlocal count
        count += 1
        if count > 1:
            os._exit(1)
        return real(self, config)

    Proxy.apply_configuration = _apply_configuration  # type: ignore[method-assign]
