"""A list service and all its balancers in virtual time: the cores that processes run, at any size.

    fleet = ListServiceSimulation(balancers=1_000, servers=10_000, instances=2, seed=1)
    fleet.run(10_000)
    fleet.release(over_ms=300_000)
    fleet.outage(for_ms=30_000)
    fleet.run(330_000)
    print(fleet.figures())

Catalogs, exchanges, watches and the backoff of `EndpointSet` are the real ones; `list_service` says what is
the model's own. Balancers hold no servers: what they know is the number of changes that they have learned of.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from loadbalancer.endpoint_watch import Address, Watch
from loadbalancer.interface import (
    EndpointListUpdate,
    Idempotency,
    RequestClass,
    SetTimer,
    Settings,
    UpdateKind,
)
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.simulation.clock import Clock
from loadbalancer.simulation.list_service import (
    LINK_DELAY_MS,
    START_MS,
    DeliveredAnswer,
    ListService,
    PendingWatch,
    new_registration,
)
from loadbalancer.simulation.release_progress import ReleaseProgress

GRACE_MS = 5_000.0  # between a server's drain and its end
SAMPLE_INTERVAL_MS = 500.0  # between samples of how true the balancers' lists are
WRITE_RETRY_MS = 1_000.0  # before an operator's tool repeats a write that an instance did not take
START_SPREAD_MS = 1_000.0  # within which all balancers make their first call
ANY_UPDATE = EndpointListUpdate(UpdateKind.DELTA)  # resets the backoff, whatever it holds
CLASSES = (RequestClass("any", 1_000.0, 3_000.0, Idempotency.IDEMPOTENT),)


class WatchingBalancer:
    """One balancer: its watch, its backoff, and how much of the release it knows."""

    def __init__(self, watch: Watch, endpoints: EndpointSet) -> None:
        self.watch = watch
        self.endpoints = endpoints
        self.call_began_ms = 0.0
        self.call = 0
        """The call in flight; an answer to an earlier one is late."""
        self.known_changes = 0
        """Changes of the release that it has learned of."""


class ListServiceSimulation:
    """A service of some instances, and the balancers that watch its list."""

    def __init__(self, balancers: int, servers: int, instances: int, seed: int) -> None:
        """All servers are listed, and all balancers begin at once."""
        self.clock = Clock(START_MS)
        self._random = random.Random(f"{seed}/watches")
        self.calls_by_second: Counter[int] = Counter()
        """Calls at the service, by second of the play."""
        self.failed_call_count = 0
        self.stale_draws: list[tuple[float, float]] = []
        """Time of each sample in ms, and the share of draws that meet an ended server."""
        self.release_progress = ReleaseProgress(balancers)
        self._service = ListService(
            self.clock,
            self._random,
            instances,
            count_known_changes=self.release_progress.count_known_changes,
            on_answer=self._handle_answer,
            on_failure=self._handle_failure,
        )
        self.server_names = [f"s{n}" for n in range(servers)]
        self._service.register_initial(self.server_names)
        addresses = tuple(("instance", n) for n in range(instances))
        self.balancers = [_new_balancer(addresses, n, balancers, seed) for n in range(balancers)]
        for number in range(balancers):
            self.clock.after(self._random.uniform(0, START_SPREAD_MS), self._call, number)
        self._service.start()
        self.clock.after(SAMPLE_INTERVAL_MS, self._sample)

    @property
    def full_snapshot_count(self) -> int:
        """How many full lists the service has sent."""
        return self._service.full_snapshot_count

    # ---- what happens ---------------------------------------------------------------------------

    def run(self, span_ms: float) -> None:
        """Let time pass."""
        self.clock.run(self.clock.now + span_ms)

    def release(self, over_ms: float) -> None:
        """Replace all servers, one after another: each drains, ends after the grace, and starts anew."""
        for place, name in enumerate(self.server_names):
            self.clock.after(over_ms * place / len(self.server_names), self._drain, name)

    def outage(self, for_ms: float) -> None:
        """Put all instances out of reach for a while; they keep their state."""
        self._service.start_outage(for_ms)

    def _drain(self, name: str) -> None:
        """Drain a server; writes come from operators' tools, which repeat them until the service is there."""
        instance = self._service.choose_instance()
        if not instance.is_up:
            self.clock.after(WRITE_RETRY_MS, self._drain, name)
            return
        instance.catalog.drain(name, self.clock.now)
        self.release_progress.add_drain(name, self.clock.now)
        self._service.notify_later(instance)
        self.clock.after(2 * GRACE_MS, self._register_anew, name)

    def _register_anew(self, name: str) -> None:
        instance = self._service.choose_instance()
        if not instance.is_up:
            self.clock.after(WRITE_RETRY_MS, self._register_anew, name)
            return
        instance.catalog.register(name, new_registration(self.clock.now), self.clock.now)
        self._service.notify_later(instance)

    # ---- balancers ------------------------------------------------------------------------------

    def _call(self, number: int) -> None:
        balancer = self.balancers[number]
        balancer.call += 1
        balancer.call_began_ms = self.clock.now
        elapsed_s = (self.clock.now - START_MS) / 1_000
        request = balancer.watch.next_request(elapsed_s)
        instance = self._service.instances[request.address[1]]
        self.calls_by_second[int(elapsed_s)] += 1
        if not instance.is_up:
            self.clock.after(2 * LINK_DELAY_MS[1], self._handle_failure, number, balancer.call)
            return
        watch = PendingWatch(number, balancer.call, request)
        self.clock.after(self._random.uniform(*LINK_DELAY_MS), self._service.receive, instance, watch)
        self.clock.after(request.timeout_s * 1_000, self._handle_failure, number, balancer.call, True)

    def _handle_answer(self, answer: DeliveredAnswer) -> None:
        balancer = self.balancers[answer.balancer]
        now = self.clock.now
        if answer.call != balancer.call:
            return
        try:
            balancer.watch.record_answer(answer.revision, (now - START_MS) / 1_000)
        except ValueError:
            self._handle_failure(answer.balancer, answer.call)
            return
        self.release_progress.record_informed(balancer.known_changes, answer.known_changes, now)
        balancer.known_changes = max(balancer.known_changes, answer.known_changes)
        balancer.endpoints.apply_update(ANY_UPDATE, now)
        balancer.watch.return_to_preferred_instance((now - START_MS) / 1_000)
        self._call(answer.balancer)

    def _handle_failure(self, number: int, call: int, response_timed_out: bool = False) -> None:
        balancer = self.balancers[number]
        now = self.clock.now
        if call != balancer.call:
            return
        balancer.call += 1
        self.failed_call_count += 1
        duration_s = (now - balancer.call_began_ms) / 1_000
        pause_s = balancer.watch.record_failure(duration_s, response_timed_out)
        if pause_s is not None:
            self.clock.after(pause_s * 1_000, self._call, number)
            return
        actions = balancer.endpoints.handle_list_failure(now, balancer.watch.retry_within_s * 1_000)
        timer = next(action for action in actions if isinstance(action, SetTimer))
        self.clock.at(timer.at_ms, self._call, number)

    # ---- what is measured -----------------------------------------------------------------------

    def _sample(self) -> None:
        """Measure the share of all balancers' draws that meet a server that has ended."""
        now = self.clock.now
        ended = self.release_progress.count_drained_until(now - GRACE_MS)
        missed = sum(max(ended - balancer.known_changes, 0) for balancer in self.balancers)
        self.stale_draws.append((now - START_MS, missed / len(self.balancers) / len(self.server_names)))
        self.clock.after(SAMPLE_INTERVAL_MS, self._sample)

    def figures(self) -> dict[str, float]:
        """Return the play's figures by the names of `figures.json`; spans in ms, shares of all draws."""
        propagation_ms = self.release_progress.propagation_ms
        known_ms = sorted(ms for ms in propagation_ms if math.isfinite(ms))
        span_ms = self.clock.now - START_MS
        stale_fractions = [fraction for _, fraction in self.stale_draws]
        busiest_ms = max(instance.busy_ms for instance in self._service.instances)
        return {
            "changes": len(propagation_ms),
            "not_heard": len(propagation_ms) - len(known_ms),
            "heard_median_ms": known_ms[len(known_ms) // 2] if known_ms else math.nan,
            "heard_p99_ms": known_ms[int(len(known_ms) * 0.99)] if known_ms else math.nan,
            "heard_most_ms": known_ms[-1] if known_ms else math.nan,
            "calls_most_in_a_second": max(self.calls_by_second.values(), default=0),
            "calls_a_second": sum(self.calls_by_second.values()) / max(span_ms / 1_000, 1e-9),
            "failed_calls": self.failed_call_count,
            "whole_lists": self.full_snapshot_count,
            "busiest_instance": busiest_ms / max(span_ms, 1e-9),
            "wrong_draws": sum(stale_fractions) / max(len(stale_fractions), 1),
            "wrong_draws_most": max(stale_fractions, default=0.0),
        }


def _new_balancer(addresses: tuple[Address, ...], number: int, count: int, seed: int) -> WatchingBalancer:
    settings = Settings(
        classes=CLASSES, balancer_count=count, balancer_index=number, polls_endpoint_list=True
    )
    watch = Watch(
        addresses,
        balancer_index=number,
        balancer_count=count,
        drain_grace_ms=GRACE_MS,
        is_self_hosted=True,
        seed=random.Random(f"{seed}/{number}").getrandbits(32),
    )
    return WatchingBalancer(watch, EndpointSet(settings, random.Random(f"{seed}/{number}/roster")))
