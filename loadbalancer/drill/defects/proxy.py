"""Defects of the proxy: it sends twice, makes up answers, or keeps servers that the list has taken away."""

from __future__ import annotations

from dataclasses import replace

from loadbalancer import interface
from loadbalancer.interface import Outcome, Readiness
from loadbalancer.net import proxy
from loadbalancer.net.config import EndpointList
from loadbalancer.net.downstream import DownstreamRequest
from loadbalancer.net.proxy import Proxy
from loadbalancer.net.upstream import Attempt, UpstreamResponse

NOWHERE_EVERY = 25  # requests, one of which is answered from nowhere


class _Second(proxy._Call):
    """A second attempt that no client asked for, and whose answer is dropped."""

    def on_request_written(self) -> None:
        """Count no attempt."""

    def on_response_started(self, attempt: Attempt, answer: UpstreamResponse) -> DownstreamRequest | None:
        """Forward nothing."""
        return None

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """Report no outcome."""


def _takes_for_ready(state: Readiness) -> None:
    """Take servers that the list shows in a state for ready, in the decision module and at the sockets."""
    real = Proxy._listed

    def _listed(self: Proxy, kind: interface.UpdateKind, news: EndpointList) -> bool:
        kept = tuple(
            replace(e, endpoint=replace(e.endpoint, readiness=Readiness.READY))
            if e.endpoint.readiness is state
            else e
            for e in news.endpoints
        )
        return real(self, kind, replace(news, endpoints=kept))

    Proxy._listed = _listed  # type: ignore[method-assign]


def sends_twice() -> None:
    """Send what is unsafe to repeat to two servers."""
    real = Proxy._send

    def _send(self: Proxy, action: interface.SendAttempt) -> None:
        real(self, action)
        request = self._requests.get(action.request_id)
        others = [name for name in self._list if name != action.server]
        if request is not None and request.taken.method == b"POST" and others:
            call = _Second(self, request, action, 0)
            self.upstreams.start_attempt(others[0], call.timeout_ms / 1_000, call)

    Proxy._send = _send  # type: ignore[method-assign]


def forgets_drain() -> None:
    """Go on using a server that drains."""
    _takes_for_ready(Readiness.DRAINING)


def keeps_dead_server() -> None:
    """Go on using a server that the list has removed."""
    _takes_for_ready(Readiness.DEAD)


def answers_from_nowhere() -> None:
    """Answer some requests with 200 though no server ever saw them."""
    real, seen = Proxy.on_request_arrived, [0]

    def _on_request_arrived(self: Proxy, taken: DownstreamRequest) -> None:
        seen[0] += 1
        if seen[0] % NOWHERE_EVERY == 0 and taken.body.is_complete:
            taken.send_response(200, [], b'{"served": true}')
        else:
            real(self, taken)

    Proxy.on_request_arrived = _on_request_arrived  # type: ignore[method-assign]
