"""Clients: arrivals drawn ahead, independent of responses, and how each client retries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import numpy as np

from loadbalancer.simulation.balancers import IncomingRequest, SimulatedBalancer
from loadbalancer.simulation.clock import Clock, ScheduledCall
from loadbalancer.simulation.network import Network
from loadbalancer.simulation.rules import RESPONSE_GRACE_MS
from loadbalancer.simulation.scenario import DrawnScenario, drawn_value
from loadbalancer.simulation.utility import RequestedValue

RATE_STEP_MS = 10.0
IMPATIENT_TIME_FRACTION = 0.1  # of its timeout, after which an impatient client disconnects


@dataclass(frozen=True, slots=True)
class Arrival:
    """The first attempt of a request, as it was drawn."""

    at: float
    cls: int
    tenant: int
    zone: int
    work: float
    calls: int


def draw_arrivals(
    drawn: DrawnScenario, per_s: float, bursts: list[tuple[float, float, float]]
) -> list[Arrival]:
    """Return all arrivals of a play at a mean rate; bursts are (from and to in ms, factor of the rate)."""
    scenario = drawn.scenario
    rng = drawn.stream("arrivals")
    length = drawn_value(scenario.load.seconds) * 1_000
    grid = np.arange(0.0, length, RATE_STEP_MS)
    swing, phase = drawn_value(scenario.load.swing), rng.uniform(0, 2 * np.pi)
    rate = per_s / 1_000 * (1 + swing * np.sin(phase + 2 * np.pi * grid / length))
    for begin, end, size in bursts:
        rate[(grid >= begin) & (grid < end)] *= size
    sums = np.concatenate([[0.0], np.cumsum(rate) * RATE_STEP_MS])
    count = int(rng.poisson(sums[-1]))
    times = np.interp(np.sort(rng.uniform(0, sums[-1], count)), sums, np.append(grid, length))
    shares = np.array([drawn_value(c.share) for c in scenario.classes])
    kinds = rng.choice(len(shares), count, p=shares / shares.sum())
    uses = np.array([t.share * drawn_value(t.usage) for t in scenario.tenants])
    tenants = rng.choice(len(uses), count, p=uses / uses.sum()) if len(uses) else np.full(count, -1)
    zones = len(scenario.fleet.zones)
    skew = drawn_value(scenario.load.zone_skew)
    weights = np.array([1.0 + skew] + [1.0 - skew / max(zones - 1, 1)] * (zones - 1))
    places = rng.choice(zones, count, p=weights / weights.sum())
    works = np.empty(count)
    for index, item in enumerate(scenario.classes):
        of_class = kinds == index
        spread = np.log(1 + drawn_value(item.cv) ** 2)
        mean = np.log(drawn_value(item.work_ms)) - spread / 2
        works[of_class] = rng.lognormal(mean, np.sqrt(spread), int(of_class.sum()))
    mean_calls = drawn_value(scenario.tier.calls)
    calls = np.floor(mean_calls) + (rng.uniform(size=count) < mean_calls % 1)
    return [
        Arrival(*row)
        for row in zip(
            times.tolist(), kinds.tolist(), tenants.tolist(), places.tolist(), works.tolist(),
            calls.astype(int).tolist(), strict=True,
        )
    ]  # fmt: skip


class ClientEnvironment(Protocol):
    """The simulated fleet and the retry parameters, as clients need them."""

    clock: Clock
    drawn: DrawnScenario
    network: Network
    retries: int
    attempt_timeout_fraction: float
    backoff_ms: float

    def choose_balancer(self, zone: str) -> SimulatedBalancer | None:
        """Return the balancer that a new attempt goes to."""


class Client:
    """The client of one request, and its attempts."""

    __slots__ = (
        *"_arrival _attempt _balancer _fleet _honours_retry_after _is_impatient _request_id".split(),
        *"_requested _retries_left _deadline_ms _timeout".split(),
    )

    def __init__(
        self,
        fleet: ClientEnvironment,
        arrival: Arrival,
        requested: RequestedValue,
        honours_retry_after: bool,
        is_impatient: bool,
    ) -> None:
        self._fleet, self._arrival, self._requested = fleet, arrival, requested
        self._honours_retry_after, self._is_impatient = honours_retry_after, is_impatient
        cls = fleet.drawn.scenario.classes[arrival.cls]
        self._deadline_ms = fleet.clock.now + cls.deadline_ms
        self._retries_left = fleet.retries
        self._attempt = 0
        self._balancer: SimulatedBalancer | None = None
        self._request_id = 0
        self._timeout: ScheduledCall | None = None

    def start_attempt(self) -> None:
        """Send the request to a balancer, or give up if its deadline has passed."""
        fleet, arrival = self._fleet, self._arrival
        scenario = fleet.drawn.scenario
        cls = scenario.classes[arrival.cls]
        left = self._deadline_ms - fleet.clock.now
        if left <= 0:
            self._end("gave up")
            return
        self._attempt += 1
        self._requested.attempts += 1
        remaining = min(fleet.attempt_timeout_fraction * cls.deadline_ms, left)
        patience = remaining * (IMPATIENT_TIME_FRACTION if self._is_impatient else 1.0)
        self._timeout = fleet.clock.after(patience, self._handle_timeout)
        balancer = fleet.choose_balancer(scenario.fleet.zones[arrival.zone])
        self._balancer = balancer
        attempt_number = self._attempt
        delay_ms = fleet.network.client_delay()

        def respond(ending: str, retry_after_ms: float) -> None:
            fleet.clock.after(
                fleet.network.client_delay(), self._handle_response, attempt_number, ending, retry_after_ms
            )

        if balancer is None or not balancer.is_alive:
            self._request_id = 0
            fleet.clock.after(2 * delay_ms, self._handle_response, attempt_number, "lost", 0.0)
            return
        tier, inner = scenario.tier, scenario.inner
        per_call = arrival.work * drawn_value(inner.work) / max(drawn_value(tier.calls), 1.0)
        tenant = scenario.tenants[arrival.tenant].name if arrival.tenant >= 0 else ""
        incoming = IncomingRequest(
            cls.name, (arrival.work * drawn_value(tier.work), per_call), arrival.calls, remaining - delay_ms,
            tenant, attempt_number > 1, cls.effect == "unsafe", balancer.zone, respond,
        )  # fmt: skip
        fleet.clock.after(delay_ms, self._deliver, balancer, incoming, attempt_number)

    def _deliver(self, balancer: SimulatedBalancer, incoming: IncomingRequest, attempt_number: int) -> None:
        if self._attempt != attempt_number or self._timeout is None:
            return  # the client has given up this attempt
        if balancer.is_alive:
            self._request_id = balancer.accept(incoming)
        else:
            incoming.respond("lost", 0.0)

    def _handle_timeout(self) -> None:
        self._timeout = None
        if self._balancer is not None and self._request_id:
            # A patient client disconnects only once the balancer's grace for its response has passed, too.
            late = 0.0 if self._is_impatient else RESPONSE_GRACE_MS
            delay_ms = self._fleet.network.client_delay()
            self._fleet.clock.after(delay_ms + late, self._balancer.disconnect, self._request_id)
        cls = self._fleet.drawn.scenario.classes[self._arrival.cls]
        if cls.effect == "safe" and not self._is_impatient:
            self._retry(0.0)
        else:
            self._end("gave up")

    def _handle_response(self, attempt_number: int, ending: str, retry_after_ms: float) -> None:
        if attempt_number != self._attempt or self._timeout is None:
            return
        self._timeout.cancel()
        self._timeout, self._request_id = None, 0
        if ending == "served":
            took = self._fleet.clock.now - self._arrival.at
            self._end("in time" if took <= self._requested.latency_objective_ms else "late")
        elif ending != "failed" or self._fleet.drawn.scenario.classes[self._arrival.cls].effect == "safe":
            self._retry(
                retry_after_ms if self._honours_retry_after else 0.0,
                "refused" if ending == "refused" else "failed",
            )
        else:
            self._end("failed")

    def _retry(self, retry_after_ms: float, ending: str = "gave up") -> None:
        if self._retries_left <= 0:
            self._end(ending)
            return
        self._retries_left -= 1
        self._fleet.clock.after(max(retry_after_ms, self._fleet.backoff_ms), self.start_attempt)

    def _end(self, ending: str) -> None:
        self._requested.ending = ending
        self._requested.latency_ms = self._fleet.clock.now - self._arrival.at
