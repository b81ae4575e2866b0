"""Send, retry, hedge and cancel the attempts of a request."""

from __future__ import annotations

import math

from loadbalancer import interface
from loadbalancer.policy.deduplication import deduplicated_until_ms
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.policy.estimates import Estimates
from loadbalancer.policy.hedging import hedge_delay_ms
from loadbalancer.policy.requests import Attempt, Request
from loadbalancer.policy.retries import RetryBudget
from loadbalancer.policy.server_selection import ServerSelector
from loadbalancer.policy.servers import Server
from loadbalancer.policy.timers import hedge_token


class AttemptSender:
    """Sends attempts within the limits on their number, their time and the retry budget.

    It appends its actions to the list that it is given.
    """

    def __init__(
        self,
        settings: interface.Settings,
        endpoints: EndpointSet,
        estimates: Estimates,
        selector: ServerSelector,
        actions: list[interface.Action],
    ) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._latencies = estimates.latencies
        self._slow_start = estimates.slow_start
        self._idle_timeouts = estimates.idle_timeouts
        self._selector = selector
        self._actions = actions
        self.retry_budget = RetryBudget()

    def send_if_possible(self, request: Request, now: float) -> bool:
        """Send the next attempt, and return whether there was time, an attempt left and a server for it."""
        if not request.is_complete:
            # The deadline counts from the end of the body, so the time spent receiving it does not count.
            request.restart_clock(now)
        timeout_ms = request.useful_until_ms - now
        if timeout_ms <= self._settings.tick_ms or len(request.attempts) >= self._settings.max_attempts:
            return False
        server = self._selector.select(request, now)
        if server is None:
            return False
        idle_ms = self._check_idle_connections(server, request, now)
        if self._settings.max_attempts > 1:
            timeout_ms = self._hedge_or_shorten(request, timeout_ms, now)
        server.advance_to(now)
        server.in_flight += 1
        self._endpoints.awaiting_first_call.pop(server.endpoint.server, None)
        write_within_ms = deduplicated_until_ms(request, self._settings) - now
        connect_within_ms = self._connect_within_ms(server, request)
        attempt = Attempt(server, idle_ms, now, timeout_ms)
        attempt.is_receiving = not request.is_complete
        server.receiving += attempt.is_receiving
        request.attempts.append(attempt)
        self._slow_start.record_send(server, now)
        self._actions.append(
            interface.SendAttempt(
                request.id, server.endpoint.server, timeout_ms, write_within_ms, connect_within_ms
            )
        )
        return True

    def retry_if_possible(self, request: Request, now: float, *, is_body_discarded: bool = False) -> bool:
        """Send another attempt if the retry budget allows it, and return whether it was sent."""
        if is_body_discarded or request.is_streaming:
            return False
        cost = self.retry_budget.cost(request)
        if not self.retry_budget.can_afford(cost) or not self.send_if_possible(request, now):
            return False
        self.retry_budget.withdraw(cost)
        return True

    def cancel_in_flight(self, request: Request, kept: Attempt | None = None) -> None:
        """Cancel the attempts in flight except `kept`, where the platform permits it."""
        if not self._settings.may_cancel:
            return
        for index, attempt in enumerate(request.attempts):
            if attempt.is_in_flight and attempt is not kept:
                self._actions.append(interface.CancelAttempt(request.id, index))

    def _check_idle_connections(self, server: Server, request: Request, now: float) -> float:
        """Close a server's idle connections if they may be dead, or return how long they have been idle.

        Returns 0.0 if they were closed, if the server has calls in flight, or if the idle time is unknown.
        """
        if server.in_flight:
            return 0.0
        idle_ms = max(now - server.idle_since_ms, 0.0)
        if not idle_ms:
            return 0.0
        # If an earlier attempt may have run (cost above 0), do not risk a dead connection with a repeat.
        if self.retry_budget.cost(request) or idle_ms >= self._idle_timeouts.limit_ms:
            self._actions.append(interface.CloseIdleConnections(server.endpoint.server))
            return 0.0
        return idle_ms

    def _hedge_or_shorten(self, request: Request, timeout_ms: float, now: float) -> float:
        """Set the hedge timer, or if hedging is not permitted, return a timeout that allows for a retry."""
        latency_ms = self._latencies.smoothed_ms[request.request_class.name]
        delay_ms = hedge_delay_ms(request, latency_ms, timeout_ms)
        if not delay_ms:
            return timeout_ms
        if not self._settings.may_hedge:
            return delay_ms
        self._actions.append(interface.SetTimer(now + delay_ms, hedge_token(request.id)))
        return timeout_ms

    def _connect_within_ms(self, server: Server, request: Request) -> float:
        """Return the limit on a new connection; infinite where giving up early does not help.

        On the last attempt, no other one could follow. At a server that is suspected stale (it has
        `remaining_strikes`), a late connection would count as a failed one, as if the server were dead.
        """
        is_last = len(request.attempts) + 1 >= self._settings.max_attempts
        if server.remaining_strikes or is_last:
            return math.inf
        return self._latencies.connect_limit_ms(request, server.endpoint.zone)
