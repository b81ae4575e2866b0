"""A list service in virtual time: instances with the real catalog, exchange and rate limiter.

Only costs are modelled: an instance has one core, which takes `ANSWER_MS` per answer, more for a full list,
and calls reach it over a link with some delay.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from loadbalancer.endpoint_watch import ListRequest
from loadbalancer.registry import Catalog, Entry, Registration, Rules, first_revision
from loadbalancer.registry.anti_entropy import MAX_INSTANCES, AntiEntropy
from loadbalancer.registry.rate_limiter import WakeRateLimiter
from loadbalancer.simulation.clock import Clock

START_MS = 1.8e12  # Unix ms at which a play begins
ANSWER_MS = 0.03  # of the instance's core, per answer
ENTRY_MS = 0.0002  # of its core, in addition, per entry of a full list
LINK_DELAY_MS = (0.2, 2.0)  # one way, at least and at most
EXCHANGE_INTERVAL_MS = 250.0  # between exchanges of the instances, as in the registry
WRITE_BATCH_MS = 5.0  # writes within it wake the watches only once
TIER = "first"


@dataclass
class PendingWatch:
    """A balancer's request that an instance has received."""

    balancer: int
    call: int
    """The balancer's count of calls, by which it knows a late answer."""
    request: ListRequest


@dataclass
class ServiceInstance:
    """One instance of the service."""

    catalog: Catalog
    exchange: AntiEntropy
    wake_limiter: WakeRateLimiter = field(default_factory=WakeRateLimiter)
    pending: list[PendingWatch] = field(default_factory=list)
    is_up: bool = True
    free_at_ms: float = 0.0
    busy_ms: float = 0.0
    is_wake_scheduled: bool = False
    notified_revision: int = 0
    """The revision for which watches were last woken."""
    known_changes: int = 0
    """Changes of a release that the list holds, without a gap, as of the last count."""


@dataclass(frozen=True)
class DeliveredAnswer:
    """An answer that has reached its balancer."""

    balancer: int
    call: int
    revision: int
    known_changes: int
    """Changes of the release that the list holds, without a gap."""


class ListService:
    """The instances, the exchange between them, and the watches that they hold."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        instance_count: int,
        *,
        count_known_changes: Callable[[ServiceInstance], int],
        on_answer: Callable[[DeliveredAnswer], None],
        on_failure: Callable[[int, int], None],
    ) -> None:
        """`on_answer` takes answers as they arrive, `on_failure` the balancer and call that failed."""
        self._clock = clock
        self._random = rng
        self._count_known_changes = count_known_changes
        self._on_answer = on_answer
        self._on_failure = on_failure
        self.instances = [_new_instance(number, instance_count) for number in range(instance_count)]
        self.full_snapshot_count = 0

    def start(self) -> None:
        """Begin the exchange between the instances."""
        self._clock.after(EXCHANGE_INTERVAL_MS, self._exchange_repeatedly)

    def register_initial(self, names: list[str]) -> None:
        """Register the initial servers, on all instances."""
        for name in names:
            self.instances[0].catalog.register(name, new_registration(0.0), self._clock.now)
        self._exchange()

    def choose_instance(self) -> ServiceInstance:
        """Return a random instance, up or not: where an operator's tool writes."""
        return self._random.choice(self.instances)

    def notify_later(self, instance: ServiceInstance) -> None:
        """Wake an instance's watches after a write."""
        self._clock.after(WRITE_BATCH_MS, self._schedule_wake, instance)

    def start_outage(self, duration_ms: float) -> None:
        """Put all instances out of reach for a while; they keep their state."""
        for instance in self.instances:
            instance.is_up = False
            pending = instance.pending
            instance.pending = []
            for watch in pending:
                self._on_failure(watch.balancer, watch.call)
        self._clock.after(duration_ms, self._end_outage)

    def receive(self, instance: ServiceInstance, watch: PendingWatch) -> None:
        """Handle a request that has arrived: answer it, hold it, or fail it."""
        if not instance.is_up:
            self._on_failure(watch.balancer, watch.call)
        elif watch.request.after_index < 0:
            self._send_answer(instance, watch, None)
        else:
            self._answer_or_hold(instance, watch)
            self._clock.after(watch.request.wait_ms, self._end_wait, instance, watch)

    def _end_outage(self) -> None:
        for instance in self.instances:
            instance.is_up = True
            self._schedule_wake(instance)

    def _exchange_repeatedly(self) -> None:
        self._exchange()
        self._clock.after(EXCHANGE_INTERVAL_MS, self._exchange_repeatedly)

    def _exchange(self) -> None:
        now = self._clock.now
        for instance in self.instances:
            for number in instance.exchange.peers if instance.is_up else ():
                peer = self.instances[number]
                if not peer.is_up:
                    continue
                request = instance.exchange.make_request(number)
                response, peer_changes = peer.exchange.handle_request(request, now)
                changes = instance.exchange.handle_response(number, response, now, now)
                if peer_changes:
                    self._schedule_wake(peer)
                if changes:
                    self._schedule_wake(instance)

    def _schedule_wake(self, instance: ServiceInstance) -> None:
        if not instance.is_wake_scheduled:
            instance.is_wake_scheduled = True
            due_ms = START_MS + instance.wake_limiter.next_wake_s(len(instance.pending)) * 1_000
            self._clock.at(due_ms if math.isfinite(due_ms) else self._clock.now, self._wake, instance)

    def _wake(self, instance: ServiceInstance) -> None:
        instance.is_wake_scheduled = False
        pending = instance.pending
        instance.pending = []
        instance.notified_revision = instance.catalog.revision
        instance.wake_limiter.record_wake((self._clock.now - START_MS) / 1_000, len(pending))
        for watch in pending:
            self._answer_or_hold(instance, watch)

    def _answer_or_hold(self, instance: ServiceInstance, watch: PendingWatch) -> None:
        after = watch.request.after_index
        catalog = instance.catalog
        if instance.notified_revision <= after <= catalog.revision and catalog.has_history_since(after):
            instance.pending.append(watch)  # like the real service: newer changes are sent at the next wake
            return
        changed = catalog.changes_since(TIER, after, self._clock.now)
        if changed is not None and not changed:
            instance.pending.append(watch)
        else:
            self._send_answer(instance, watch, changed)

    def _send_answer(
        self, instance: ServiceInstance, watch: PendingWatch, changed: list[Entry] | None
    ) -> None:
        """Send the changes, or the full list for None, once the core has prepared it."""
        is_full = changed is None
        self.full_snapshot_count += is_full
        cost_ms = ANSWER_MS + (ENTRY_MS * len(instance.catalog.entries) if is_full else 0.0)
        instance.busy_ms += cost_ms
        instance.free_at_ms = max(instance.free_at_ms, self._clock.now) + cost_ms
        arrival_ms = instance.free_at_ms + self._random.uniform(*LINK_DELAY_MS)
        answer = DeliveredAnswer(
            watch.balancer, watch.call, instance.catalog.revision, self._count_known_changes(instance)
        )
        self._clock.at(arrival_ms, self._on_answer, answer)

    def _end_wait(self, instance: ServiceInstance, watch: PendingWatch) -> None:
        if watch in instance.pending:
            instance.pending.remove(watch)
            self._send_answer(instance, watch, [])


def new_registration(since_ms: float) -> Registration:
    """Return the registration of a server that started then; its lease outlasts a play."""
    return Registration(address="127.0.0.1:5000", since_ms=since_ms, lease_ms=86_400_000.0)


def _new_instance(number: int, count: int) -> ServiceInstance:
    first = first_revision(0, START_MS, number, MAX_INSTANCES)
    catalog = Catalog(Rules(), first, number, MAX_INSTANCES)
    return ServiceInstance(catalog, AntiEntropy(catalog, number, count, incarnation=number + 1))
