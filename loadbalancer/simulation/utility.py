"""Compute the utility of a play: requests served within their objective, by weight, less the prices."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from loadbalancer.simulation.scenario import DrawnScenario

UTILITY_WINDOW_MS = 10_000.0  # of the worst window, as the platform measures it
UTILITY_WINDOW_STEP_MS = 1_000.0
QUOTA_BURST_MS = 2_000.0  # a tenant may save up its quota of this span
UNCOUNTED_START_MS = 1_000.0  # requests of the first second do not count


@dataclass(slots=True)
class RequestedValue:
    """A client's request, over all its attempts, and the value of serving it."""

    number: int
    requested_at_ms: float
    class_name: str
    tenant: str
    weight: float
    """Its work by the priority weight of its class, less where its tenant is over quota."""
    work_ms: float
    is_within_quota: bool
    latency_objective_ms: float
    ending: str = ""  # 'in time', 'late', 'refused', 'failed', 'gave up'
    latency_ms: float = 0.0
    attempts: int = 0


@dataclass
class Utility:
    """The utility of a play and its parts, each part from 0 to 1 except the prices.

    The parts' names are the keys of a scenario's `goal` table and of result files.
    """

    figure: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    prices: dict[str, float]
    served: dict[str, float]
    """By class: the part of the weight that was served in time."""
    endings: dict[str, int] = field(default_factory=dict)


class Ledger:
    """Records every requested value and what serving it cost."""

    def __init__(self, drawn: DrawnScenario, quotas: dict[str, float]) -> None:
        """`quotas` are requests a second by tenant."""
        self._day = drawn
        self.requested_values: list[RequestedValue] = []
        self._quota_per_s = quotas
        self._unused_quota = {name: QUOTA_BURST_MS / 1_000 * quota for name, quota in quotas.items()}
        self._quota_updated_at_ms = 0.0
        self.attempts = 0
        self.cross_zone_count = 0
        self.health_check_count = 0
        self.by_zone: dict[int, Counter[str]] = defaultdict(Counter)  # calls of front balancers, by second

    def record_requested_value(
        self,
        at_ms: float,
        class_name: str,
        tenant: str,
        work_ms: float,
        priority_weight: float,
        latency_objective_ms: float,
    ) -> RequestedValue:
        """Record a client's first attempt; its weight is reduced where its tenant is over quota."""
        for name, quota in self._quota_per_s.items():
            max_unused = QUOTA_BURST_MS / 1_000 * quota
            refilled = self._unused_quota[name] + quota * (at_ms - self._quota_updated_at_ms) / 1_000
            self._unused_quota[name] = min(max_unused, refilled)
        self._quota_updated_at_ms = at_ms
        is_within_quota = self._unused_quota.get(tenant, 1.0) >= 1
        if is_within_quota and tenant in self._unused_quota:
            self._unused_quota[tenant] -= 1
        quota_factor = 1.0 if is_within_quota else self._day.scenario.over_share_worth
        requested = RequestedValue(
            number=len(self.requested_values),
            requested_at_ms=at_ms,
            class_name=class_name,
            tenant=tenant,
            weight=priority_weight * work_ms * quota_factor,
            work_ms=work_ms,
            is_within_quota=is_within_quota,
            latency_objective_ms=latency_objective_ms,
        )
        self.requested_values.append(requested)
        return requested

    def record_attempt(self, zone: str, now_ms: float, *, crosses_zones: bool, is_from_front: bool) -> None:
        """Record an attempt that was sent to a zone."""
        self.attempts += 1
        self.cross_zone_count += crosses_zones
        if is_from_front:
            self.by_zone[int(now_ms / 1_000)][zone] += 1

    def compute_utility(self, worked_ms: float, contended_fraction: float) -> Utility:
        """Return the play's utility; `contended_fraction` is the part of server time slowed by contention."""
        counted = [r for r in self.requested_values if r.requested_at_ms >= UNCOUNTED_START_MS]
        counted = counted or self.requested_values
        goal = self._day.scenario.goal
        prices = self._compute_prices(counted, worked_ms, contended_fraction)
        by_class = _served_fractions_by(counted, lambda requested: requested.class_name)
        within_quota = [requested for requested in counted if requested.is_within_quota]
        by_tenant = _served_fractions_by(within_quota, lambda requested: requested.tenant)
        parts = {
            "whole": _served_fraction(counted),
            "worst_window": _worst_window_fraction(counted),
            "worst_class": min(by_class.values(), default=0.0),
            "worst_tenant": min(by_tenant.values(), default=0.0),
        }
        figure = sum(getattr(goal, name) * value for name, value in parts.items()) - sum(prices.values())
        endings = Counter(requested.ending or "gave up" for requested in counted)
        return Utility(figure, **parts, prices=prices, served=by_class, endings=dict(sorted(endings.items())))

    def _compute_prices(
        self, counted: list[RequestedValue], worked_ms: float, contended_fraction: float
    ) -> dict[str, float]:
        price = self._day.scenario.prices
        offered_ms = sum(r.work_ms for r in counted) or 1.0
        useful_ms = sum(r.work_ms for r in self.requested_values if r.ending in ("in time", "late"))
        late = [r for r in counted if r.ending != "in time" and r.latency_ms > r.latency_objective_ms]
        late_weight = sum(r.weight for r in late)
        requested_count = max(len(self.requested_values), 1)
        return {
            "waste": price.waste * min(max(worked_ms - useful_ms, 0.0) / offered_ms, 1.0),
            "late_fail": price.late_fail * late_weight / (sum(r.weight for r in counted) or 1.0),
            "choke": price.choke * contended_fraction,
            "cross_zone": price.cross_zone * self.cross_zone_count / requested_count,
            "probe": price.probe * self.health_check_count / requested_count,
        }


def _served_fraction(requests: list[RequestedValue]) -> float:
    served = sum(r.weight for r in requests if r.ending == "in time")
    return served / (sum(r.weight for r in requests) or 1.0)


def _served_fractions_by(
    requests: list[RequestedValue], key: Callable[[RequestedValue], str]
) -> dict[str, float]:
    groups: dict[str, list[RequestedValue]] = defaultdict(list)
    for requested in requests:
        groups[key(requested)].append(requested)
    return {name: _served_fraction(group) for name, group in sorted(groups.items())}


def _worst_window_fraction(requests: list[RequestedValue]) -> float:
    start_ms = requests[0].requested_at_ms
    last_ms = requests[-1].requested_at_ms
    worst = 1.0
    while True:
        end_ms = start_ms + UTILITY_WINDOW_MS
        if window := [r for r in requests if start_ms <= r.requested_at_ms < end_ms]:
            worst = min(worst, _served_fraction(window))
        start_ms += UTILITY_WINDOW_STEP_MS
        if start_ms + UTILITY_WINDOW_MS > last_ms:
            return worst
