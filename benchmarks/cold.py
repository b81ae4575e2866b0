"""Cold servers under the sum of what all callers send, in virtual time.

    python -m benchmarks.cold                       # the table: situation, callers, traffic
    python -m benchmarks.cold --seeds 5 --situation restart --callers 300

The very module decides: a `Balancer` for each caller, with requests at random and servers of some cores whose
work is shared out in turn. A server may get N requests in the window that the settings name, N being multiple
x its share of warmth x what it does warm; past N + 2 x root of N + 2 it falls. Here it goes on, so that the
worst is seen. All callers are told of each start at once: all that they send counts.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial

from loadbalancer import interface
from loadbalancer.interface import Endpoint, Idempotency, Outcome, RequestClass, Settings, UpdateKind
from loadbalancer.policy import Balancer

CALLERS = (3, 10, 30, 100, 300)
TRAFFIC = ("even", "uneven", "one")
SITUATIONS = ("join", "restart", "all", "zone", "shift", "fresh", "newcomers", "handover", "crash")
SERVERS, CORES = 12, 1
WORK_MS, COLD_MS, COLD_FROM, MULTIPLE, WINDOW_MS = 200.0, 8_000.0, 0.32, 2.5, 2_000.0
CAPACITY = CORES / WORK_MS  # requests a ms that a warm server does
WARM_UP_MS, LATE_MS = 20_000.0, 4_000.0
DEADLINE_MS = 3_000.0


@dataclass
class Figures:
    """What one play showed."""

    worst: float = 0.0
    """The most that a cold server got in a window, as a part of N + 2 x root of N + 2."""
    over: int = 0
    """Requests that were past N."""
    cold: int = 0
    """Requests to cold servers."""
    falls: int = 0
    """Starts after which a server would have fallen."""
    starts: int = 0
    used: float = 0.0
    """The part of what a cold server can do that it was sent, mean of all."""
    served: float = 0.0
    """The part of the requests that arrived while servers were cold and were served."""


@dataclass
class Upstream:
    """One server: some cores, each with one request at a time, in the order of their arrival."""

    name: str
    zone: str
    since: float = 0.0
    alive: bool = True
    free: list[float] = field(default_factory=lambda: [0.0] * CORES)
    recent: deque[float] = field(default_factory=deque)
    sent: int = 0
    fallen: bool = False

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has."""
        if not self.since or now >= self.since + COLD_MS:
            return 1.0
        return COLD_FROM + (1 - COLD_FROM) * (now - self.since) / COLD_MS

    def member(self) -> Endpoint:
        """Its entry in the list."""
        return Endpoint(self.name, zone=self.zone, started_at_ms=self.since)


@dataclass
class Caller:
    """One process: its balancer, and how much of the traffic it gets."""

    balancer: Balancer
    weight: float
    zone: str
    out: dict[tuple[int, int], str] = field(default_factory=dict)
    made: dict[int, int] = field(default_factory=dict)
    """The last attempt of each request."""


class Fleet:
    """Callers and servers on one clock."""

    def __init__(
        self, situation: str, callers: int, traffic: str, seed: int, load: float, tier: int, zones: int
    ) -> None:
        self.random = random.Random(f"{situation} {callers} {traffic} {seed}")
        self.situation, self.tier, self.rate = situation, tier, load * SERVERS * CAPACITY
        self.zones = [f"z{i}" for i in range(zones)] if zones > 1 else [""]
        self.now, self.numbers = 1_000.0, itertools.count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.figures, self.asked = Figures(), 0
        self.count = callers
        self.upstreams = {f"s{i}": Upstream(f"s{i}", self.zones[i % len(self.zones)]) for i in range(SERVERS)}
        self.weights = shares(callers, traffic, self.random)
        self.callers = [self.caller(i) for i in range(callers)]

    def caller(self, number: int) -> Caller:
        """A new process in the place of one caller."""
        zone = self.zones[number % len(self.zones)]
        settings = Settings(
            (RequestClass("read", 5 * WORK_MS, DEADLINE_MS, Idempotency.IDEMPOTENT),),
            balancer_count=self.count,
            balancer_index=number,
            tier=self.tier,
            zone=zone,
            slow_start_ms=COLD_MS,
            slow_start_initial_fraction=COLD_FROM,
            slow_start_overload_factor=MULTIPLE,
            slow_start_window_ms=WINDOW_MS,
            tick_ms=0.1,
        )
        one = Caller(Balancer(settings, self.random.getrandbits(40)), self.weights[number], zone)
        self.show(one, UpdateKind.FULL_SNAPSHOT)
        return one

    def show(self, caller: Caller, kind: UpdateKind, *which: Upstream) -> None:
        """Tell one of the list, or of what has changed in it."""
        entries = which or self.upstreams.values()
        members = [u.member() if u.alive else gone(u.member()) for u in entries]
        self.tell(caller, interface.EndpointListUpdate(kind, tuple(members)))

    def after(self, delay: float, what: Callable[[], None]) -> None:
        """Do something later, ms from now."""
        heapq.heappush(self.due, (self.now + delay, next(self.numbers), what))

    def play(self, until: float) -> None:
        """Go on up to some moment."""
        while self.due and self.due[0][0] <= until:
            self.now, _, what = heapq.heappop(self.due)
            what()
        self.now = until

    # ---- requests ---------------------------------------------------------------------------

    def arrive(self) -> None:
        """A request for one of the callers, and after a while the next."""
        self.after(self.random.expovariate(self.rate), self.arrive)
        caller = self.random.choices(self.callers, [c.weight for c in self.callers])[0]
        number = next(self.numbers)
        self.asked += 1
        self.tell(caller, interface.RequestArrived(number, "read", DEADLINE_MS))

    def tell(self, caller: Caller, event: interface.Event) -> None:
        """Hand one balancer an event, and carry out what it decides."""
        for action in caller.balancer.handle(event, self.now):
            match action:
                case interface.SendAttempt(request, server, timeout):
                    self.send(caller, request, self.upstreams[server], timeout)
                case interface.SetTimer(at, token):
                    due = interface.TimerExpired(token)
                    self.after(max(at - self.now, 0.01), partial(self.tell, caller, due))
                case _:
                    pass

    def send(self, caller: Caller, request: int, upstream: Upstream, timeout: float) -> None:
        """An attempt reaches a server."""
        attempt = caller.made[request] = caller.made.get(request, -1) + 1
        caller.out[request, attempt] = upstream.name
        if not upstream.alive:
            self.after(1.0, lambda: self.end(caller, request, attempt, Outcome.CONNECT_FAILED))
            return
        self.count_cold(upstream)
        core = min(range(CORES), key=upstream.free.__getitem__)
        begin = max(upstream.free[core], self.now)
        takes = begin - self.now + self.random.uniform(0.5, 1.5) * WORK_MS / upstream.warmth(self.now)
        if takes > timeout:
            self.after(timeout, lambda: self.end(caller, request, attempt, Outcome.TIMED_OUT))
            return
        upstream.free[core] = self.now + takes
        self.after(takes, lambda: self.end(caller, request, attempt, Outcome.SERVED))

    def end(self, caller: Caller, request: int, attempt: int, outcome: Outcome) -> None:
        """An attempt is over."""
        server = caller.out.pop((request, attempt))
        served = outcome is Outcome.SERVED
        self.figures.served += served
        self.tell(caller, interface.AttemptEnded(request, attempt, server, outcome, served))

    def count_cold(self, upstream: Upstream) -> None:
        """Judge what a cold server has got, by the rule."""
        if (warmth := upstream.warmth(self.now)) >= 1:
            return
        recent = upstream.recent
        recent.append(self.now)
        while recent[0] <= self.now - WINDOW_MS:
            recent.popleft()
        may = MULTIPLE * warmth * CAPACITY * WINDOW_MS
        bound = may + 2 * math.sqrt(may) + 2
        upstream.sent += 1
        self.figures.cold += 1
        self.figures.over += len(recent) > may
        self.figures.worst = max(self.figures.worst, len(recent) / bound)
        if len(recent) > bound and not upstream.fallen:
            upstream.fallen = True
            self.figures.falls += 1

    # ---- situations -------------------------------------------------------------------------

    def start(self, *which: Upstream) -> None:
        """Servers start, cold, and all callers are told."""
        for upstream in which:
            upstream.alive, upstream.since, upstream.recent = True, self.now, deque()
            upstream.free, upstream.fallen = [self.now] * CORES, False
            upstream.sent = 0
            self.figures.starts += 1
        for caller in self.callers:
            self.show(caller, UpdateKind.DELTA, *which)

    def stop(self, *which: Upstream) -> None:
        """Servers end, and all callers are told."""
        for upstream in which:
            upstream.alive = False
        for caller in self.callers:
            self.show(caller, UpdateKind.DELTA, *which)

    def bounce(self, which: list[Upstream]) -> None:
        """Servers are gone for a second, and back cold."""
        self.stop(*which)
        self.play(self.now + 1_000)
        self.start(*which)

    def run(self) -> Figures:
        """Warm up, meet the situation, and look at it for as long as servers are cold."""
        self.arrive()
        known = list(self.upstreams.values())
        if self.situation != "fresh":
            self.play(WARM_UP_MS)
        asked, served = self.asked, self.figures.served
        getattr(self, f"do_{self.situation}")(known)
        self.play(self.now + COLD_MS + LATE_MS)
        figures = self.figures
        figures.served = (figures.served - served) / max(self.asked - asked, 1)
        able = CAPACITY * COLD_MS * (1 + COLD_FROM) / 2
        figures.used = figures.cold / (able * figures.starts)
        return figures

    def do_join(self, known: list[Upstream]) -> None:
        """A third are replaced by new ones."""
        self.stop(*known[::3])
        new = [Upstream(f"n{i}", u.zone) for i, u in enumerate(known[::3])]
        self.upstreams.update((u.name, u) for u in new)
        self.start(*new)

    def do_restart(self, known: list[Upstream]) -> None:
        """Two thirds restart."""
        self.bounce([u for i, u in enumerate(known) if i % 3])

    def do_all(self, known: list[Upstream]) -> None:
        """All restart at once."""
        self.bounce(known)

    def do_zone(self, known: list[Upstream]) -> None:
        """One zone of two is lost, and back."""
        self.bounce(known[::2])

    def do_shift(self, known: list[Upstream]) -> None:
        """Traffic has just moved to those that had least, and all servers restart."""
        for caller, weight in zip(self.callers, sorted(self.weights), strict=True):
            caller.weight = weight
        self.play(self.now + 10_000)
        self.bounce(known)

    def do_fresh(self, known: list[Upstream]) -> None:
        """Servers start just as callers do: nobody knows a rate."""
        self.start(*known)

    def do_newcomers(self, known: list[Upstream]) -> None:
        """Half of the callers are new, half old, as all servers restart."""
        self.callers[::2] = [self.caller(i) for i in range(0, self.count, 2)]
        self.bounce(known)

    def do_handover(self, known: list[Upstream]) -> None:
        """All servers restart, and all callers are replaced: for some seconds both processes are there."""
        self._replace_callers(known, is_told=True)

    def do_crash(self, known: list[Upstream]) -> None:
        """As `handover`, but the new processes know nothing, nor the old ones of them."""
        self._replace_callers(known, is_told=False)

    def _replace_callers(self, known: list[Upstream], is_told: bool) -> None:
        old = self.callers
        self.stop(*known)
        new = [self.caller(i) for i in range(self.count)]
        for one, other in zip(old, new, strict=True):
            if is_told:
                other.balancer.restore(one.balancer.learned_state(self.now), self.now)
                self.tell(one, interface.TakeoverChanged(True))
            one.weight = other.weight = one.weight / 2
        self.callers = old + new
        self.play(self.now + 1_000)
        self.start(*known)
        self.play(self.now + 4_000)
        self.callers = new


def gone(member: Endpoint) -> Endpoint:
    """The entry of a server that is gone."""
    return Endpoint(member.server, interface.Readiness.DEAD, member.zone, started_at_ms=member.started_at_ms)


def shares(callers: int, traffic: str, chance: random.Random) -> list[float]:
    """What part of the traffic each caller gets: alike, by Zipf's law, or nearly all of it one."""
    if traffic == "even":
        return [1 / callers] * callers
    if traffic == "one":
        return [0.9, *[0.1 / (callers - 1)] * (callers - 1)]
    weights = [1 / (rank + 1) for rank in range(callers)]
    chance.shuffle(weights)
    return [w / sum(weights) for w in weights]


def play(
    situation: str, callers: int, traffic: str, seed: int, load: float = 0.9, tier: int = 1, zones: int = 1
) -> Figures:
    """Play one situation once; `load` is the part of what the warm servers can do that is asked for."""
    return Fleet(situation, callers, traffic, seed, load, tier, zones).run()


def _play(given: tuple[str, int, str, int, float, int, int]) -> Figures:
    return play(*given)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=0.9)
    parser.add_argument("--tier", type=int, default=1)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--callers", type=int, nargs="*", default=CALLERS)
    parser.add_argument("--traffic", nargs="*", choices=TRAFFIC, default=TRAFFIC)
    parser.add_argument("--situation", nargs="*", choices=SITUATIONS, default=SITUATIONS)
    parser.add_argument("--jobs", type=int, default=1)
    told = parser.parse_args()
    rows = list(itertools.product(told.situation, told.callers, told.traffic))
    given = [(*row, seed, told.load, told.tier, told.zones) for row in rows for seed in range(told.seeds)]
    print("| situation | callers | traffic | worst, of the bound | past N | fell, of | used | served |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(told.jobs) as pool:
        found = pool.map(_play, given)
        for row in rows:
            seen = [next(found) for _ in range(told.seeds)]
            fell, starts = sum(f.falls for f in seen), sum(f.starts for f in seen)
            past = sum(f.over for f in seen) / max(sum(f.cold for f in seen), 1)
            used, served = (sum(getattr(f, n) for f in seen) / len(seen) for n in ("used", "served"))
            print(
                f"| {' | '.join(map(str, row))} | {max(f.worst for f in seen):.2f} | {past:.3f} "
                f"| {fell} of {starts} | {used:.2f} | {served:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
