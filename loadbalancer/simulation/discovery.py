"""The platform's endpoint list in virtual time: delayed, and limited in calls per second."""

from __future__ import annotations

from typing import Protocol

from loadbalancer import interface
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.scenario import DrawnScenario, drawn_value

FAILURE_SPREAD_MS = 200.0  # within which subscribers notice that the service is down
UPDATE_DELAY_MS = (1.0, 50.0)  # of an update on its way to a subscriber, at least and at most


class ListSubscriber(Protocol):
    """Requests the list, and is notified of its changes from then on."""

    name: str
    tier: int
    is_alive: bool

    def handle_list_update(self, update: interface.EndpointListUpdate) -> None:
        """Handle the list, a change of it, or that the call failed."""


class DiscoveryModel:
    """One service for all balancers; whoever has requested the list is notified of its changes."""

    def __init__(self, clock: Clock, drawn: DrawnScenario) -> None:
        """The scenario's `discovery` says how fast the service is and how late it shows changes."""
        plan = drawn.scenario.discovery
        self._clock = clock
        self._rng = drawn.stream("discovery")
        self._call_interval_ms = 1_000.0 / drawn_value(plan.calls_per_s)
        self._timeout_ms = drawn_value(plan.timeout_ms)
        self._end_delay_ms = drawn_value(plan.notice_s) * 1_000
        self._silent_end_delay_ms = drawn_value(plan.silent_notice_s) * 1_000
        self._add_delay_ms = drawn_value(plan.add_s) * 1_000
        self._entries: list[dict[str, interface.Endpoint]] = [{}, {}]  # by tier
        self._subscribers: list[dict[str, ListSubscriber]] = [{}, {}]  # by tier
        self._free_at = 0.0
        self._is_down = False
        self.calls = 0

    def add_initial(self, tier: int, endpoint: interface.Endpoint) -> None:
        """Add an entry that is there from the start."""
        self._entries[tier][endpoint.server] = endpoint

    def schedule_change(self, tier: int, endpoint: interface.Endpoint, silent: bool = False) -> None:
        """Show a server's new state some time later; later still for one that ended `silent`ly."""
        if endpoint.readiness is interface.Readiness.READY:
            delay_ms = self._add_delay_ms
        else:
            delay_ms = self._silent_end_delay_ms if silent else self._end_delay_ms
        self._clock.after(delay_ms, self._show, tier, endpoint)

    def snapshot(
        self, tier: int, kind: interface.UpdateKind = interface.UpdateKind.FULL_SNAPSHOT
    ) -> interface.EndpointListUpdate:
        """Return the list as it is now; a balancer that starts finds it as a cached one."""
        return interface.EndpointListUpdate(kind, tuple(self._entries[tier].values()))

    def request_list(self, subscriber: ListSubscriber) -> None:
        """Handle a call: calls are answered in turn; those that wait too long or meet an outage fail."""
        self.calls += 1
        now = self._clock.now
        wait_ms = max(self._free_at - now, 0.0)
        if self._is_down or wait_ms > self._timeout_ms:
            failure_ms = min(wait_ms, self._timeout_ms)
            self._clock.after(failure_ms, subscriber.handle_list_update, _CALL_FAILED)
            return
        self._free_at = now + wait_ms + self._call_interval_ms
        self._clock.at(self._free_at, self._answer, subscriber)

    def set_down(self, is_down: bool) -> None:
        """Go down, which all subscribers notice, or come back."""
        self._is_down = is_down
        if is_down:
            subscribers = [subscriber for tier in self._subscribers for subscriber in tier.values()]
            self._subscribers = [{}, {}]
            for subscriber in subscribers:
                delay_ms = float(self._rng.uniform(0, FAILURE_SPREAD_MS))
                self._clock.after(delay_ms, subscriber.handle_list_update, _CALL_FAILED)

    def _answer(self, subscriber: ListSubscriber) -> None:
        if self._is_down:
            subscriber.handle_list_update(_CALL_FAILED)
            return
        self._subscribers[subscriber.tier][subscriber.name] = subscriber
        subscriber.handle_list_update(self.snapshot(subscriber.tier))

    def _show(self, tier: int, endpoint: interface.Endpoint) -> None:
        if endpoint.readiness is interface.Readiness.DEAD:
            self._entries[tier].pop(endpoint.server, None)
        else:
            self._entries[tier][endpoint.server] = endpoint
        update = interface.EndpointListUpdate(interface.UpdateKind.DELTA, (endpoint,))
        for subscriber in list(self._subscribers[tier].values()):
            if subscriber.is_alive:
                delay_ms = float(self._rng.uniform(*UPDATE_DELAY_MS))
                self._clock.after(delay_ms, subscriber.handle_list_update, update)


_CALL_FAILED = interface.EndpointListUpdate(interface.UpdateKind.FAILED)
