"""Clients: first tries drawn ahead, which wait for no answer, and what each does when it gets none."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import numpy as np

from loadbalancer.simulation.balancers import Ask, Host
from loadbalancer.simulation.clock import Clock, Due
from loadbalancer.simulation.network import Network
from loadbalancer.simulation.rules import RESPONSE_GRACE_MS
from loadbalancer.simulation.scenario import Day, number
from loadbalancer.simulation.utility import RequestedValue

GRID_MS = 10.0
IMPATIENT_PART = 0.1  # of its time, after which an impatient client leaves


@dataclass(frozen=True, slots=True)
class Arrival:
    """One first try, as it was drawn."""

    at: float
    cls: int
    tenant: int
    zone: int
    work: float
    calls: int


def arrivals(day: Day, per_s: float, bursts: list[tuple[float, float, float]]) -> list[Arrival]:
    """All first tries of a day at this mean rate; bursts are (from, to in ms, times the rate)."""
    scenario = day.scenario
    rng = day.stream("arrivals")
    length = number(scenario.load.seconds) * 1_000
    grid = np.arange(0.0, length, GRID_MS)
    swing, phase = number(scenario.load.swing), rng.uniform(0, 2 * np.pi)
    rate = per_s / 1_000 * (1 + swing * np.sin(phase + 2 * np.pi * grid / length))
    for begin, end, size in bursts:
        rate[(grid >= begin) & (grid < end)] *= size
    sums = np.concatenate([[0.0], np.cumsum(rate) * GRID_MS])
    count = int(rng.poisson(sums[-1]))
    times = np.interp(np.sort(rng.uniform(0, sums[-1], count)), sums, np.append(grid, length))
    shares = np.array([number(c.share) for c in scenario.classes])
    kinds = rng.choice(len(shares), count, p=shares / shares.sum())
    uses = np.array([t.share * number(t.usage) for t in scenario.tenants])
    tenants = rng.choice(len(uses), count, p=uses / uses.sum()) if len(uses) else np.full(count, -1)
    zones = len(scenario.fleet.zones)
    skew = number(scenario.load.zone_skew)
    weights = np.array([1.0 + skew] + [1.0 - skew / max(zones - 1, 1)] * (zones - 1))
    places = rng.choice(zones, count, p=weights / weights.sum())
    works = np.empty(count)
    for index, item in enumerate(scenario.classes):
        mine = kinds == index
        spread = np.log(1 + number(item.cv) ** 2)
        mean = np.log(number(item.work_ms)) - spread / 2
        works[mine] = rng.lognormal(mean, np.sqrt(spread), int(mine.sum()))
    wanted = number(scenario.tier.calls)
    calls = np.floor(wanted) + (rng.uniform(size=count) < wanted % 1)
    return [
        Arrival(*row)
        for row in zip(
            times.tolist(), kinds.tolist(), tenants.tolist(), places.tolist(), works.tolist(),
            calls.astype(int).tolist(), strict=True,
        )
    ]  # fmt: skip


class Front(Protocol):
    """What clients find: the way to a balancer, and how they are to go about it."""

    clock: Clock
    day: Day
    network: Network
    retries: int
    try_share: float
    backoff_ms: float

    def front(self, zone: str) -> Host | None:
        """The balancer that a new try goes to."""


class Client:
    """One wish and its tries."""

    __slots__ = (
        *"_arrival _balancer _due _honours _impatient _left _number _try".split(),
        *"_until _wish _world".split(),
    )

    def __init__(
        self, world: Front, arrival: Arrival, wish: RequestedValue, honours: bool, impatient: bool
    ) -> None:
        self._world, self._arrival, self._wish = world, arrival, wish
        self._honours, self._impatient = honours, impatient
        cls = world.day.scenario.classes[arrival.cls]
        self._until = world.clock.now + cls.deadline_ms
        self._left = world.retries
        self._try = 0
        self._balancer: Host | None = None
        self._number = 0
        self._due: Due | None = None

    def ask(self) -> None:
        """Make a try."""
        world, arrival = self._world, self._arrival
        scenario = world.day.scenario
        cls = scenario.classes[arrival.cls]
        left = self._until - world.clock.now
        if left <= 0:
            self._end("gave up")
            return
        self._try += 1
        self._wish.tries += 1
        remaining = min(world.try_share * cls.deadline_ms, left)
        patience = remaining * (IMPATIENT_PART if self._impatient else 1.0)
        self._due = world.clock.after(patience, self._give_up)
        host = world.front(scenario.fleet.zones[arrival.zone])
        self._balancer = host
        tries = self._try
        way = world.network.client_delay()

        def answered(ending: str, away: float) -> None:
            world.clock.after(world.network.client_delay(), self._answered, tries, ending, away)

        if host is None or not host.alive:
            self._number = 0
            world.clock.after(2 * way, self._answered, tries, "lost", 0.0)
            return
        tier, inner = scenario.tier, scenario.inner
        per_call = arrival.work * number(inner.work) / max(number(tier.calls), 1.0)
        tenant = scenario.tenants[arrival.tenant].name if arrival.tenant >= 0 else ""
        ask = Ask(
            cls.name, (arrival.work * number(tier.work), per_call), arrival.calls, remaining - way, tenant,
            tries > 1, cls.effect == "unsafe", host.zone, answered,
        )  # fmt: skip
        world.clock.after(way, self._reach, host, ask, tries)

    def _reach(self, host: Host, ask: Ask, tries: int) -> None:
        if self._try != tries or self._due is None:
            return  # it has left meanwhile
        if host.alive:
            self._number = host.take(ask)
        else:
            ask.answer("lost", 0.0)

    def _give_up(self) -> None:
        self._due = None
        if self._balancer is not None and self._number:
            # Who has waited all its time closes once the balancer's time to answer is up, too.
            late = 0.0 if self._impatient else RESPONSE_GRACE_MS
            way = self._world.network.client_delay()
            self._world.clock.after(way + late, self._balancer.left, self._number)
        cls = self._world.day.scenario.classes[self._arrival.cls]
        if cls.effect == "safe" and not self._impatient:
            self._again(0.0)
        else:
            self._end("gave up")

    def _answered(self, tries: int, ending: str, away: float) -> None:
        if tries != self._try or self._due is None:
            return
        self._due.cancel()
        self._due, self._number = None, 0
        if ending == "served":
            took = self._world.clock.now - self._arrival.at
            self._end("in time" if took <= self._wish.aim else "late")
        elif ending != "failed" or self._world.day.scenario.classes[self._arrival.cls].effect == "safe":
            self._again(away if self._honours else 0.0, "refused" if ending == "refused" else "failed")
        else:
            self._end("failed")

    def _again(self, away: float, ending: str = "gave up") -> None:
        if self._left <= 0:
            self._end(ending)
            return
        self._left -= 1
        self._world.clock.after(max(away, self._world.backoff_ms), self.ask)

    def _end(self, ending: str) -> None:
        self._wish.ending = ending
        self._wish.took = self._world.clock.now - self._arrival.at
