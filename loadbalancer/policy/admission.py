"""Which requests are let in while answers come late: the dearest first, tenants within their share."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from loadbalancer import interface
from loadbalancer.policy.requests import Request
from loadbalancer.policy.servers import ESTIMATE_INTERVAL_MS

QUOTA_BURST_MS = 2_000.0  # a tenant may use this much of its share at once
SMOOTHING_REQUESTS = 50.0  # what is offered and usual is smoothed over so many calls: shares hold steady
OVERLOAD_DECAY_MS = (
    2_000.0  # what answers tell of crowding fades by 1/e over this: an aim or two; it lifts soon
)
PRIOR_RESPONSES = 2.0  # calls' worth of belief that all is well, so that one late answer sheds nothing
UNCONGESTED_QUANTILE, MAX_UNCONGESTED_FRACTION, UNCONGESTED_STEP = (
    0.3,
    0.2,
    0.1,
)  # easy time: the quantile, its bound as a part of the aim
FULL_ADMISSION_LATENESS, MIN_ADMISSION_LATENESS = (
    0.17,
    0.34,
)  # mean lateness (a square) up to which all, and from which on the least, is let in
MIN_ADMITTED_FRACTION = 0.05  # let in whatever happens, so that recovery is seen


class LatencyEstimates:
    """The time that a call of each class, or a new connection, takes, and a call where nothing crowds."""

    def __init__(self, settings: interface.Settings) -> None:
        self.smoothed_ms = {c.name: c.latency_objective_ms / 5 for c in settings.classes}
        self.uncongested_ms = {
            c.name: MAX_UNCONGESTED_FRACTION * c.latency_objective_ms for c in settings.classes
        }
        self._connects: dict[str, tuple[float, float]] = {}  # in each zone: smoothed, and its deviation

    def record_latency(self, elapsed: float, request: Request) -> None:
        """Book a served call."""
        cls = request.request_class
        sooner = elapsed / request.work_factor < self.uncongested_ms[cls.name]
        easy = self.uncongested_ms[cls.name] * (1 + UNCONGESTED_STEP * (UNCONGESTED_QUANTILE - sooner))
        self.uncongested_ms[cls.name] = min(easy, MAX_UNCONGESTED_FRACTION * cls.latency_objective_ms)
        self.smoothed_ms[cls.name] += (elapsed - self.smoothed_ms[cls.name]) / SMOOTHING_REQUESTS

    def lateness(self, elapsed: float, request: Request) -> float:
        """How far a call is from its easy time to its aim, squared: work as such is not lateness."""
        easy, aim = (
            self.uncongested_ms[request.request_class.name],
            request.request_class.latency_objective_ms,
        )
        return min(max(elapsed / request.work_factor - easy, 0.0) / (aim - easy), 1.0) ** 2

    def silence_weight(self, elapsed: float, request: Request) -> float:
        """What a call without an answer tells: it fades from its aim on, to weigh as one answer does."""
        over = max(elapsed / request.work_factor - request.request_class.latency_objective_ms, 0.0)
        return self.lateness(elapsed, request) * math.exp(-over / OVERLOAD_DECAY_MS)

    def record_connect(self, took: float, zone: str) -> None:
        """A new connection has come up: smooth that as RFC 6298 smooths round trips."""
        mean, spread = self._connects.get(zone, (took, took / 2))
        self._connects[zone] = mean + (took - mean) / 8, spread + (abs(took - mean) - spread) / 4

    def connect_limit(self, request: Request, zone: str) -> float:
        """When a new connection is later than usual (RFC 6298), and than the wait that harms no request."""
        mean, spread = self._connects.get(zone, (math.inf, 0.0))
        return max(mean + 4 * spread, request.max_wait_ms)


class OverloadLevel:
    """The part of the offered work that is let in: less as answers, and calls still out, near their aim.

    Guards against crowding whatever its cause (overload, lost servers, slow ones), also before the first
    late answer, and lifts as the evidence fades. It harms where calls fail for other causes.
    """

    def __init__(self, times: LatencyEstimates) -> None:
        self._times = times
        self.lateness, self.responses, self.updated_at_ms = 0.0, 0.0, 0.0
        self._level, self._level_at = 1.0, -math.inf

    def record(self, lateness: float, news: float, now: float) -> None:
        """Book how late an answer was, and how much of an answer it is."""
        fade, self.updated_at_ms = math.exp((self.updated_at_ms - now) / OVERLOAD_DECAY_MS), now
        self.responses = self.responses * fade + news
        self.lateness = self.lateness * fade + news * lateness

    def admitted_fraction(self, open_now: Iterable[Request], now: float) -> float:
        """The part that is let in, from 0.05 to 1."""
        if now - self._level_at >= ESTIMATE_INTERVAL_MS:
            self._level_at = now
            asked = (r for r in open_now if r.is_response_due and r.is_complete and not r.is_streaming)
            out = sum(
                self._times.silence_weight(now - r.attempts[0].sent_at_ms, r) for r in asked if r.attempts
            )
            fade = math.exp((self.updated_at_ms - now) / OVERLOAD_DECAY_MS)
            pressure = (self.lateness * fade + out) / (self.responses * fade + out + PRIOR_RESPONSES)
            self._level = min(
                max(
                    (MIN_ADMISSION_LATENESS - pressure) / (MIN_ADMISSION_LATENESS - FULL_ADMISSION_LATENESS),
                    MIN_ADMITTED_FRACTION,
                ),
                1.0,
            )
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
        worth = request.priority_weight
        self._offered = {known: work * (1 - 1 / SMOOTHING_REQUESTS) for known, work in self._offered.items()}
        self._offered[worth] = (
            self._offered.get(worth, 0.0) + self._times.smoothed_ms[request.request_class.name]
        )
        dearer = sum(count for known, count in self._offered.items() if known > worth)
        room = level * sum(self._offered.values()) - dearer
        return self._random.random() * self._offered[worth] <= room

    def effective_weight(
        self, event: interface.RequestArrived, cls: interface.RequestClass, now: float
    ) -> float:
        """What a request is worth: past its tenant's share, little."""
        return cls.priority_weight * (
            self._settings.over_quota_weight_factor if self.is_over_quota(event, now) else 1.0
        )

    def is_over_quota(self, event: interface.RequestArrived, now: float) -> bool:
        """Whether this tenant is past our part of its share: excess is worth little. Repeats use up none."""
        if (rate := self._quota.get(tenant := event.tenant or "")) is None:
            return False
        level, seen = self._share.get(tenant, (QUOTA_BURST_MS * rate, now))
        level = min(QUOTA_BURST_MS * rate, level + (now - seen) * rate)
        self._share[tenant] = (level - 1 if level >= 1 and not event.is_retry else level, now)
        return level < 1
