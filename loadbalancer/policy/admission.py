"""Which requests are let in while answers come late: the dearest first, tenants within their share."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from loadbalancer import interface
from loadbalancer.policy.requests import Request
from loadbalancer.policy.servers import STEP_MS

QUOTA_BURST_MS = 2_000.0  # a tenant may use this much of its share at once
OFFER_CALLS = 50.0  # what is offered and usual is smoothed over so many calls: shares hold steady
PRESSURE_MS = 2_000.0  # what answers tell of crowding fades by 1/e over this: an aim or two; it lifts soon
PRESSURE_CALLS = 2.0  # calls' worth of belief that all is well, so that one late answer sheds nothing
EASY_PART, EASY_MOST, EASY_STEP = 0.3, 0.2, 0.1  # easy time: the quantile, its bound as a part of the aim
EASE, FULL = 0.17, 0.34  # mean lateness (a square) up to which all, and from which on the least, is let in
LEVEL_MIN = 0.05  # let in whatever happens, so that recovery is seen


class LatencyEstimates:
    """The time that a call of each class, or a new connection, takes, and a call where nothing crowds."""

    def __init__(self, settings: interface.Settings) -> None:
        self.work = {c.name: c.latency_objective_ms / 5 for c in settings.classes}
        self.easy = {c.name: EASY_MOST * c.latency_objective_ms for c in settings.classes}
        self._connects: dict[str, tuple[float, float]] = {}  # in each zone: smoothed, and its deviation

    def learn(self, elapsed: float, request: Request) -> None:
        """Book a served call."""
        cls = request.cls
        sooner = elapsed / request.work_factor < self.easy[cls.name]
        easy = self.easy[cls.name] * (1 + EASY_STEP * (EASY_PART - sooner))
        self.easy[cls.name] = min(easy, EASY_MOST * cls.latency_objective_ms)
        self.work[cls.name] += (elapsed - self.work[cls.name]) / OFFER_CALLS

    def lateness(self, elapsed: float, request: Request) -> float:
        """How far a call is from its easy time to its aim, squared: work as such is not lateness."""
        easy, aim = self.easy[request.cls.name], request.cls.latency_objective_ms
        return min(max(elapsed / request.work_factor - easy, 0.0) / (aim - easy), 1.0) ** 2

    def silence(self, elapsed: float, request: Request) -> float:
        """What a call without an answer tells: it fades from its aim on, to weigh as one answer does."""
        over = max(elapsed / request.work_factor - request.cls.latency_objective_ms, 0.0)
        return self.lateness(elapsed, request) * math.exp(-over / PRESSURE_MS)

    def connected(self, took: float, zone: str) -> None:
        """A new connection has come up: smooth that as RFC 6298 smooths round trips."""
        mean, spread = self._connects.get(zone, (took, took / 2))
        self._connects[zone] = mean + (took - mean) / 8, spread + (abs(took - mean) - spread) / 4

    def connect_limit(self, request: Request, zone: str) -> float:
        """When a new connection is later than usual (RFC 6298), and than the wait that harms no request."""
        mean, spread = self._connects.get(zone, (math.inf, 0.0))
        return max(mean + 4 * spread, request.patience)


class OverloadLevel:
    """The part of the offered work that is let in: less as answers, and calls still out, near their aim.

    Guards against crowding whatever its cause (overload, lost servers, slow ones), also before the first
    late answer, and lifts as the evidence fades. It harms where calls fail for other causes.
    """

    def __init__(self, times: LatencyEstimates) -> None:
        self._times = times
        self.late, self.answers, self.weighed = 0.0, 0.0, 0.0
        self._level, self._level_at = 1.0, -math.inf

    def weigh(self, lateness: float, news: float, now: float) -> None:
        """Book how late an answer was, and how much of an answer it is."""
        fade, self.weighed = math.exp((self.weighed - now) / PRESSURE_MS), now
        self.answers = self.answers * fade + news
        self.late = self.late * fade + news * lateness

    def level(self, open_now: Iterable[Request], now: float) -> float:
        """The part that is let in, from 0.05 to 1."""
        if now - self._level_at >= STEP_MS:
            self._level_at = now
            asked = (r for r in open_now if r.owed and r.is_whole and not r.streaming)
            out = sum(self._times.silence(now - r.attempts[0].sent, r) for r in asked if r.attempts)
            fade = math.exp((self.weighed - now) / PRESSURE_MS)
            pressure = (self.late * fade + out) / (self.answers * fade + out + PRESSURE_CALLS)
            self._level = min(max((FULL - pressure) / (FULL - EASE), LEVEL_MIN), 1.0)
        return self._level


class Admission:
    """Sheds load by worth: the level is the part of the work offered that is let in, the dearest first."""

    def __init__(self, settings: interface.Settings, times: LatencyEstimates, chance: random.Random) -> None:
        self._settings, self._times, self._random = settings, times, chance
        self._offered: dict[float, float] = {}
        self._quota = {t.name: t.quota_per_s / settings.balancer_count / 1000 for t in settings.tenants}
        self._share: dict[str, tuple[float, float]] = {}

    def admits(self, request: Request, level: float) -> bool:
        """Whether a request is let in; its worth must be known."""
        worth = request.worth
        self._offered = {known: work * (1 - 1 / OFFER_CALLS) for known, work in self._offered.items()}
        self._offered[worth] = self._offered.get(worth, 0.0) + self._times.work[request.cls.name]
        dearer = sum(count for known, count in self._offered.items() if known > worth)
        room = level * sum(self._offered.values()) - dearer
        return self._random.random() * self._offered[worth] <= room

    def worth(self, event: interface.RequestArrived, cls: interface.RequestClass, now: float) -> float:
        """What a request is worth: past its tenant's share, little."""
        return cls.priority_weight * (
            self._settings.over_quota_weight_factor if self.over_share(event, now) else 1.0
        )

    def over_share(self, event: interface.RequestArrived, now: float) -> bool:
        """Whether this tenant is past our part of its share: excess is worth little. Repeats use up none."""
        if (rate := self._quota.get(tenant := event.tenant or "")) is None:
            return False
        level, seen = self._share.get(tenant, (QUOTA_BURST_MS * rate, now))
        level = min(QUOTA_BURST_MS * rate, level + (now - seen) * rate)
        self._share[tenant] = (level - 1 if level >= 1 and not event.is_retry else level, now)
        return level < 1
