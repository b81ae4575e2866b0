"""The rule on cold servers: how much a newly started one gets from this balancer."""

from __future__ import annotations

import math
import random

from loadbalancer.interface import Settings
from loadbalancer.policy.servers import Server

BUDGET_SAFETY_FACTOR = (
    0.5  # the part of a cold server's budget that we use: other balancers and heavy calls count too
)


class SlowStart:
    """Which servers are cold, and whether they may take one more call."""

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        self._settings, self._random = settings, chance
        self._until = 0.0  # when the last of them is warm
        self._asked, self._asked_at = 0.0, 0.0

    def set_last_start(self, last_started: float) -> None:
        """Take note of the last start there was."""
        self._until = last_started + self._settings.slow_start_ms

    def recent_requests(self, now: float, more: float = 0.0) -> float:
        """The requests that we got of late, fading over the contract's window, and so many more now."""
        fade = math.exp(min(self._asked_at - now, 0.0) / self._settings.slow_start_window_ms)
        self._asked, self._asked_at = self._asked * fade + more, now
        return self._asked

    def is_any_warming_up(self, now: float) -> bool:
        """Whether any server may be cold."""
        return now < self._until

    def warm_up_fraction(self, server: Server, now: float) -> float:
        """The share of its capacity that a server has at the least, by its age."""
        age, cold_ms, start = (
            now - server.started_at_ms,
            self._settings.slow_start_ms,
            self._settings.slow_start_initial_fraction,
        )
        if now >= self._until or server.started_at_ms <= 0 or age >= cold_ms or not cold_ms:
            return 1.0
        return start + (1 - start) * max(age, 0.0) / cold_ms

    def record_send(self, server: Server, now: float) -> None:
        """Book a call."""
        if self.warm_up_fraction(server, now) < 1:
            server.slow_start_sends.append(now)

    def can_accept(self, server: Server, usual_rate: float, work_ms: float, now: float) -> bool:
        """Whether a server can take one more call in this window (a burst would push a cold one over).

        `usual_rate` is what a unit of size in its zone serves for us at its best, by what we are still asked
        for, in calls a ms; `work_ms` is what the longest calls take. Each balancer sends a part of multiple x
        warmth x that rate: they add up to a warm load, wherever requests go. Where many have a fraction of a
        call each, chance rounds it, anew in each window: rounded up by all it would push a server over,
        rounded down leave it unused. One that knows no rate yet takes its part of one call at a time.
        """
        if (warmth := self.warm_up_fraction(server, now)) >= 1:
            return True
        window = self._settings.slow_start_window_ms
        while server.slow_start_sends and server.slow_start_sends[0] < now - window:
            server.slow_start_sends.popleft()
        if now >= server.rounding_chance_until_ms:
            server.rounding_chance, server.rounding_chance_until_ms = self._random.random(), now + window
        usual = usual_rate * server.registered_capacity
        least = 1 / (work_ms * self._settings.balancer_count)
        most = self._settings.slow_start_overload_factor * warmth * window  # over the usual rate
        budget = BUDGET_SAFETY_FACTOR * most * max(usual, least) + server.rounding_chance
        return len(server.slow_start_sends) + 1 <= min(budget, max(most * usual, 1.0))
