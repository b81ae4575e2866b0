"""A list service and all its balancers in virtual time: the cores that processes run, at any size.

fleet = Watched(balancers=1_000, servers=10_000, instances=2, seed=1)
fleet.run(10_000)
fleet.release(over_ms=300_000)
fleet.outage(for_ms=30_000)
fleet.run(330_000)
print(fleet.figures())

Catalogs, exchanges, watches and the pauses of `EndpointSet` are the real ones. What is the model's own: a
service has one core, which takes `ANSWER_MS` an answer and more for a whole list, and hears all who call in
turn. Balancers hold no servers; what they have heard is the version up to which they know the list.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field

from loadbalancer.endpoint_watch import Address, ListRequest, Watch
from loadbalancer.interface import (
    EndpointListUpdate,
    Idempotency,
    RequestClass,
    SetTimer,
    Settings,
    UpdateKind,
)
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.registry import Catalog, Entry, Registration, Rules, first_revision
from loadbalancer.registry.anti_entropy import MAX_INSTANCES, AntiEntropy
from loadbalancer.registry.rate_limiter import WakeRateLimiter
from loadbalancer.simulation.clock import Clock

START_MS = 1.8e12  # Unix ms at which a play begins
ANSWER_MS, ENTRY_MS = 0.03, 0.0002  # of the service's core for an answer, and for each entry in it
LINK_MS = (0.2, 2.0)  # one way, at least and at most
EXCHANGE_MS = 250.0
BATCH_MS = 5.0
GRACE_MS = 5_000.0  # between a server's drain and its end
LOOK_MS = 500.0  # between looks at how true the balancers' lists are
BACK = EndpointListUpdate(UpdateKind.DELTA)  # news of the list, whatever they are
CLASSES = (RequestClass("any", 1_000.0, 3_000.0, Idempotency.IDEMPOTENT),)


@dataclass
class Held:
    """A watch that waits at a service."""

    seat: int
    ask: ListRequest
    call: int


@dataclass
class Site:
    """One instance of the service."""

    catalog: Catalog
    exchange: AntiEntropy
    pace: WakeRateLimiter = field(default_factory=WakeRateLimiter)
    held: list[Held] = field(default_factory=list)
    is_up: bool = True
    free_at: float = 0.0
    waking: bool = False
    busy_ms: float = 0.0
    known: int = 0
    told_up_to: int = 0


class Seat:
    """One balancer: its watch, and the truth up to which it has heard."""

    def __init__(self, watch: Watch, roster: EndpointSet) -> None:
        self.watch, self.roster = watch, roster
        self.began = 0.0  # when the last call did, ms
        self.call = 0  # the one that is out; an answer to an earlier one is late
        self.knows = 0  # changes of the release that it has heard of


class Watched:
    """A service of some instances, and the balancers that watch its list."""

    def __init__(self, balancers: int, servers: int, instances: int, seed: int) -> None:
        """All servers are listed, and all balancers begin at once."""
        self.clock = Clock(START_MS)
        self._random = random.Random(f"{seed}/watches")
        self.calls: Counter[int] = Counter()  # at the service, by the second
        self.whole = self.failures = 0
        self.drained: list[tuple[float, str]] = []  # of the release, in order
        self._places: dict[str, int] = {}
        self.heard_ms: list[float] = []  # for each change of the release: until the last balancer knew
        self._waiting_for: list[int] = []
        self.wrong: list[tuple[float, float]] = []  # when, and the share of draws that meet an ended server
        self._addresses: tuple[Address, ...] = tuple(("instance", n) for n in range(instances))
        self.sites = [self._site(n, instances) for n in range(instances)]
        self.names = [f"s{n}" for n in range(servers)]
        for name in self.names:
            self.sites[0].catalog.register(name, _entry(0.0), self.clock.now)
        self._share()
        self.seats = [self._seat(n, balancers, seed) for n in range(balancers)]
        for number in range(balancers):
            self.clock.after(self._random.uniform(0, 1_000.0), self._ask, number)
        self.clock.after(EXCHANGE_MS, self._exchange)
        self.clock.after(LOOK_MS, self._look)

    def _site(self, number: int, count: int) -> Site:
        first = first_revision(0, START_MS, number, MAX_INSTANCES)
        catalog = Catalog(Rules(), first, number, MAX_INSTANCES)
        return Site(catalog, AntiEntropy(catalog, number, count, incarnation=number + 1))

    def _seat(self, number: int, count: int, seed: int) -> Seat:
        settings = Settings(
            classes=CLASSES, balancer_count=count, balancer_index=number, polls_endpoint_list=True
        )
        watch = Watch(
            self._addresses, number=number, balancers=count, grace_ms=GRACE_MS, own=True,
            seed=random.Random(f"{seed}/{number}").getrandbits(32),
        )  # fmt: skip
        return Seat(watch, EndpointSet(settings, random.Random(f"{seed}/{number}/roster")))

    # ---- what happens ---------------------------------------------------------------------------

    def run(self, span_ms: float) -> None:
        """Let time pass."""
        self.clock.run(self.clock.now + span_ms)

    def release(self, over_ms: float) -> None:
        """Replace all servers, one after another: each drains, ends after the grace, and starts anew."""
        for place, name in enumerate(self.names):
            self.clock.after(over_ms * place / len(self.names), self._replace, name)

    def outage(self, for_ms: float) -> None:
        """All instances are out of reach for a while; what they know, they keep."""
        for site in self.sites:
            site.is_up = False
            held, site.held = site.held, []
            for one in held:
                self._fail(one.seat, one.call)
        self.clock.after(for_ms, self._up)

    def _up(self) -> None:
        for site in self.sites:
            site.is_up = True
            self._wake_soon(site)

    def _write_at(self) -> Site:
        return self._random.choice(self.sites)

    def _replace(self, name: str) -> None:
        """Writes come from operators' tools, which repeat them until the service is there."""
        site = self._write_at()
        if not site.is_up:
            self.clock.after(1_000.0, self._replace, name)
            return
        site.catalog.drain(name, self.clock.now)
        self._places[name] = len(self.drained)
        self.drained.append((self.clock.now, name))
        self.heard_ms.append(math.nan)
        self._waiting_for.append(len(self.seats))
        self._changed(site)
        self.clock.after(2 * GRACE_MS, self._start_anew, name)

    def _start_anew(self, name: str) -> None:
        site = self._write_at()
        if not site.is_up:
            self.clock.after(1_000.0, self._start_anew, name)
            return
        site.catalog.register(name, _entry(self.clock.now), self.clock.now)
        self._changed(site)

    # ---- instances ------------------------------------------------------------------------------

    def _exchange(self) -> None:
        self._share()
        self.clock.after(EXCHANGE_MS, self._exchange)

    def _share(self) -> None:
        now = self.clock.now
        for site in self.sites:
            for other in site.exchange.peers if site.is_up else ():
                if not self.sites[other].is_up:
                    continue
                answer, theirs = self.sites[other].exchange.handle_request(
                    site.exchange.make_request(other), now
                )
                ours = site.exchange.handle_response(other, answer, now, now)
                for changes, one in ((theirs, self.sites[other]), (ours, site)):
                    if changes:
                        self._wake_soon(one)

    def _changed(self, site: Site) -> None:
        self.clock.after(BATCH_MS, self._wake_soon, site)

    def _wake_soon(self, site: Site) -> None:
        if not site.waking:
            site.waking = True
            due = START_MS + site.pace.next_wake_s(len(site.held)) * 1_000
            self.clock.at(due if math.isfinite(due) else self.clock.now, self._wake, site)

    def _wake(self, site: Site) -> None:
        site.waking = False
        held, site.held = site.held, []
        site.told_up_to = site.catalog.revision
        site.pace.record_wake((self.clock.now - START_MS) / 1_000, len(held))
        for one in held:
            self._answer(site, one)

    def _answer(self, site: Site, held: Held) -> None:
        """Answer a watch if there is news, or hold it."""
        after = held.ask.after
        if site.told_up_to <= after <= site.catalog.revision and site.catalog.has_history_since(after):
            site.held.append(held)  # as the service does: what is newer is told at the next wake
            return
        changed = site.catalog.changes_since("first", after, self.clock.now)
        if changed is not None and not changed:
            site.held.append(held)
        else:
            self._tell(site, held, changed)

    def _tell(self, site: Site, held: Held, changed: list[Entry] | None) -> None:
        entries = len(site.catalog.entries) if changed is None else len(changed)
        self.whole += changed is None
        cost = ANSWER_MS + (ENTRY_MS * entries if changed is None else 0.0)
        site.busy_ms += cost
        site.free_at = max(site.free_at, self.clock.now) + cost
        arrives = site.free_at + self._random.uniform(*LINK_MS)
        known = self._known_at(site)
        self.clock.at(arrives, self._heard, held.seat, held.call, site.catalog.revision, known)

    def _known_at(self, site: Site) -> int:
        """How many changes of the release an instance's list holds, without a gap."""
        while site.known < len(self.drained) and self._holds(site, self.drained[site.known]):
            site.known += 1
        return site.known

    def _holds(self, site: Site, change: tuple[float, str]) -> bool:
        entry = site.catalog.entries[change[1]]
        return entry.registration.since_ms >= change[0] or entry.status.value != "in_service"

    # ---- balancers ------------------------------------------------------------------------------

    def _ask(self, number: int) -> None:
        seat = self.seats[number]
        seat.call += 1
        seat.began = self.clock.now
        ask = seat.watch.ask((self.clock.now - START_MS) / 1_000)
        site = self.sites[ask.address[1]]
        self.calls[int((self.clock.now - START_MS) / 1_000)] += 1
        if not site.is_up:
            self.clock.after(2 * LINK_MS[1], self._fail, number, seat.call)
            return
        self.clock.after(self._random.uniform(*LINK_MS), self._arrive, site, Held(number, ask, seat.call))
        self.clock.after(ask.limit_s * 1_000, self._fail, number, seat.call, True)

    def _arrive(self, site: Site, held: Held) -> None:
        if not site.is_up:
            self._fail(held.seat, held.call)
        elif held.ask.after < 0:
            self._tell(site, held, None)
        else:
            self._answer(site, held)
            self.clock.after(held.ask.wait_ms, self._wait_over, site, held)

    def _wait_over(self, site: Site, held: Held) -> None:
        if held in site.held:
            site.held.remove(held)
            self._tell(site, held, [])

    def _heard(self, number: int, call: int, index: int, known: int) -> None:
        seat, now = self.seats[number], self.clock.now
        if call != seat.call:
            return
        try:
            seat.watch.answered(index, (now - START_MS) / 1_000)
        except ValueError:
            self._fail(number, call)
            return
        for change in range(seat.knows, known):
            self._waiting_for[change] -= 1
            if not self._waiting_for[change]:
                self.heard_ms[change] = now - self.drained[change][0]
        seat.knows = max(seat.knows, known)
        seat.roster.apply_update(BACK, now)  # the pauses begin anew
        seat.watch.went_home((now - START_MS) / 1_000)
        self._ask(number)

    def _fail(self, number: int, call: int, fell_silent: bool = False) -> None:
        seat, now = self.seats[number], self.clock.now
        if call != seat.call:
            return
        seat.call += 1
        self.failures += 1
        pause_s = seat.watch.failed((now - seat.began) / 1_000, fell_silent)
        if pause_s is not None:
            self.clock.after(pause_s * 1_000, self._ask, number)
            return
        timer = next(
            a
            for a in seat.roster.handle_list_failure(now, seat.watch.again_s * 1_000)
            if isinstance(a, SetTimer)
        )
        self.clock.at(timer.at_ms, self._ask, number)

    # ---- what is seen ---------------------------------------------------------------------------

    def _look(self) -> None:
        """The share of all balancers' draws that meet a server that has ended."""
        now = self.clock.now
        ended = bisect_right(self.drained, (now - GRACE_MS, ""))
        missed = sum(max(ended - seat.knows, 0) for seat in self.seats)
        self.wrong.append((now - START_MS, missed / len(self.seats) / len(self.names)))
        self.clock.after(LOOK_MS, self._look)

    def figures(self) -> dict[str, float]:
        """What came of it; spans in ms, shares of all draws."""
        heard = sorted(ms for ms in self.heard_ms if math.isfinite(ms))
        span_ms = self.clock.now - START_MS
        return {
            "changes": len(self.drained),
            "not_heard": len(self.heard_ms) - len(heard),
            "heard_median_ms": heard[len(heard) // 2] if heard else math.nan,
            "heard_p99_ms": heard[int(len(heard) * 0.99)] if heard else math.nan,
            "heard_most_ms": heard[-1] if heard else math.nan,
            "calls_most_in_a_second": max(self.calls.values(), default=0),
            "calls_a_second": sum(self.calls.values()) / max(span_ms / 1_000, 1e-9),
            "failed_calls": self.failures,
            "whole_lists": self.whole,
            "busiest_instance": max(site.busy_ms for site in self.sites) / max(span_ms, 1e-9),
            "wrong_draws": sum(share for _, share in self.wrong) / max(len(self.wrong), 1),
            "wrong_draws_most": max((share for _, share in self.wrong), default=0.0),
        }


def _entry(since_ms: float) -> Registration:
    return Registration(address="127.0.0.1:5000", since_ms=since_ms, lease_ms=86_400_000.0)
