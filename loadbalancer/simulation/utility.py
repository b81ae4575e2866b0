"""What a day was worth: answers within their aim, weighed by work, less what was paid for them."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from loadbalancer.simulation.scenario import Day

WINDOW_MS = 10_000.0
QUOTA_BURST_MS = 2_000.0
SKIP_MS = 1_000.0  # what comes in the first second does not count


@dataclass(slots=True)
class RequestedValue:
    """What a client wanted, over all its tries."""

    number: int
    at: float
    cls: str
    tenant: str
    worth: float
    work: float
    in_share: bool
    aim: float
    ending: str = ""  # 'in time', 'late', 'refused', 'failed', 'gave up'
    took: float = 0.0
    tries: int = 0


@dataclass
class Utility:
    """The figure of a day and its parts, each from 0 to 1 but for the prices."""

    figure: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    prices: dict[str, float]
    served: dict[str, float]
    endings: dict[str, int] = field(default_factory=dict)


class Ledger:
    """Keeps every wish and what it cost."""

    def __init__(self, day: Day, quotas: dict[str, float]) -> None:
        self._day = day
        self.wishes: list[RequestedValue] = []
        self._quota = quotas
        self._left = {name: QUOTA_BURST_MS / 1_000 * quota for name, quota in quotas.items()}
        self._seen = 0.0
        self.attempts, self.crossings, self.probes = 0, 0, 0
        self.by_zone: dict[int, Counter[str]] = defaultdict(Counter)  # calls of front balancers, by second

    def open(self, at: float, cls: str, tenant: str, work: float, worth: float, aim: float) -> RequestedValue:
        """A first try: worth little where its tenant is past its share."""
        for name, quota in self._quota.items():
            most = QUOTA_BURST_MS / 1_000 * quota
            self._left[name] = min(most, self._left[name] + quota * (at - self._seen) / 1_000)
        self._seen = at
        in_share = self._left.get(tenant, 1.0) >= 1
        if in_share and tenant in self._left:
            self._left[tenant] -= 1
        counts = worth * work * (1.0 if in_share else self._day.scenario.over_share_worth)
        wish = RequestedValue(len(self.wishes), at, cls, tenant, counts, work, in_share, aim)
        self.wishes.append(wish)
        return wish

    def attempt(self, crosses: bool, zone: str, of_front: bool, now: float) -> None:
        """An attempt has been made to a zone; `crosses` says that it leaves its own."""
        self.attempts += 1
        self.crossings += crosses
        if of_front:
            self.by_zone[int(now / 1_000)][zone] += 1

    def close(self, worked: float, choked: float) -> Utility:
        """The day's figure; `worked` is all work done, `choked` the part of servers that a crowd slowed."""
        counted = [w for w in self.wishes if w.at >= SKIP_MS] or self.wishes
        goal, price = self._day.scenario.goal, self._day.scenario.prices
        offered = sum(w.work for w in counted) or 1.0
        useful = sum(w.work for w in self.wishes if w.ending in ("in time", "late"))
        late = sum(w.worth for w in counted if w.ending != "in time" and w.took > w.aim)
        prices = {
            "waste": price.waste * min(max(worked - useful, 0.0) / offered, 1.0),
            "late_fail": price.late_fail * late / (sum(w.worth for w in counted) or 1.0),
            "choke": price.choke * choked,
            "cross_zone": price.cross_zone * self.crossings / max(len(self.wishes), 1),
            "probe": price.probe * self.probes / max(len(self.wishes), 1),
        }
        by_class = _served_by(counted, lambda w: w.cls)
        within = [w for w in counted if w.in_share]
        whole = _served(counted)
        parts = {
            "whole": whole,
            "worst_window": _worst_window(counted),
            "worst_class": min(by_class.values(), default=0.0),
            "worst_tenant": min(_served_by(within, lambda w: w.tenant).values(), default=0.0),
        }
        figure = sum(getattr(goal, name) * value for name, value in parts.items()) - sum(prices.values())
        endings: dict[str, int] = defaultdict(int)
        for wish in counted:
            endings[wish.ending or "gave up"] += 1
        return Utility(figure, **parts, prices=prices, served=by_class, endings=dict(sorted(endings.items())))


def _served(wishes: list[RequestedValue]) -> float:
    return sum(w.worth for w in wishes if w.ending == "in time") / (sum(w.worth for w in wishes) or 1.0)


def _served_by(wishes: list[RequestedValue], key: object) -> dict[str, float]:
    groups: dict[str, list[RequestedValue]] = defaultdict(list)
    for wish in wishes:
        groups[key(wish)].append(wish)  # type: ignore[operator]
    return {name: _served(group) for name, group in sorted(groups.items())}


def _worst_window(wishes: list[RequestedValue]) -> float:
    first, last = wishes[0].at, wishes[-1].at
    worst, start = 1.0, first
    while True:
        window = [w for w in wishes if start <= w.at < start + WINDOW_MS]
        if window:
            worst = min(worst, _served(window))
        start += 1_000.0
        if start + WINDOW_MS > last:
            return worst
