"""The list of servers: late, asked for, and limited in calls a second."""

from __future__ import annotations

from typing import Protocol

from loadbalancer import interface
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.scenario import Day, number


class ListSubscriber(Protocol):
    """Who asks for the list, and is told of its changes from then on."""

    name: str
    tier: int
    alive: bool

    def handle_list_update(self, update: interface.EndpointListUpdate) -> None:
        """The list, a change of it, or word that the call failed."""


class DiscoveryModel:
    """One service for all balancers; whoever has asked is told of changes from then on."""

    def __init__(self, clock: Clock, day: Day) -> None:
        plan = day.scenario.discovery
        self._clock, self._rng = clock, day.stream("discovery")
        self._pace_ms = 1_000.0 / number(plan.calls_per_s)
        self._timeout_ms = number(plan.timeout_ms)
        self._notice_ms = number(plan.notice_s) * 1_000
        self._silent_ms = number(plan.silent_notice_s) * 1_000
        self._add_ms = number(plan.add_s) * 1_000
        self._entries: list[dict[str, interface.Endpoint]] = [{}, {}]
        self._followers: list[dict[str, ListSubscriber]] = [{}, {}]
        self._free_at = 0.0
        self._is_down = False
        self.calls = 0

    def add_initial(self, tier: int, member: interface.Endpoint) -> None:
        """An entry that is there from the start."""
        self._entries[tier][member.server] = member

    def schedule_change(self, tier: int, member: interface.Endpoint, silent: bool = False) -> None:
        """Something has happened to a server: the list shows it some time later."""
        if member.readiness is interface.Readiness.READY:
            delay = self._add_ms
        else:
            delay = self._silent_ms if silent else self._notice_ms
        self._clock.after(delay, self._show, tier, member)

    def snapshot(
        self, tier: int, kind: interface.UpdateKind = interface.UpdateKind.FULL_SNAPSHOT
    ) -> interface.EndpointListUpdate:
        """The list as it is now; a balancer that starts finds it as a cached one."""
        return interface.EndpointListUpdate(kind, tuple(self._entries[tier].values()))

    def request_list(self, host: ListSubscriber) -> None:
        """A call for the list: worked through in turn, failed when it waits too long or all is down."""
        self.calls += 1
        now = self._clock.now
        wait = max(self._free_at - now, 0.0)
        if self._is_down or wait > self._timeout_ms:
            self._clock.after(min(wait, self._timeout_ms), host.handle_list_update, _CALL_FAILED)
            return
        self._free_at = now + wait + self._pace_ms
        self._clock.at(self._free_at, self._answer, host)

    def set_down(self, is_down: bool) -> None:
        """It goes down, and all who follow are told so; or it is back."""
        self._is_down = is_down
        if is_down:
            followers = [host for tier in self._followers for host in tier.values()]
            self._followers = [{}, {}]
            for host in followers:
                self._clock.after(float(self._rng.uniform(0, 200)), host.handle_list_update, _CALL_FAILED)

    def _answer(self, host: ListSubscriber) -> None:
        if self._is_down:
            host.handle_list_update(_CALL_FAILED)
            return
        self._followers[host.tier][host.name] = host
        host.handle_list_update(self.snapshot(host.tier))

    def _show(self, tier: int, member: interface.Endpoint) -> None:
        if member.readiness is interface.Readiness.DEAD:
            self._entries[tier].pop(member.server, None)
        else:
            self._entries[tier][member.server] = member
        update = interface.EndpointListUpdate(interface.UpdateKind.DELTA, (member,))
        for host in list(self._followers[tier].values()):
            if host.alive:
                self._clock.after(float(self._rng.uniform(1, 50)), host.handle_list_update, update)


_CALL_FAILED = interface.EndpointListUpdate(interface.UpdateKind.FAILED)
