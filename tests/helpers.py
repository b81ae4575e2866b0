"""Settings, endpoints and a minimal host of the decision module, for tests."""

from __future__ import annotations

from typing import Any

from loadbalancer.interface import (
    Action,
    AttemptEnded,
    DeduplicationScope,
    Endpoint,
    EndpointListUpdate,
    Idempotency,
    Outcome,
    RequestArrived,
    RequestClass,
    SendAttempt,
    Settings,
    UpdateKind,
)
from loadbalancer.policy import Balancer

READ = RequestClass("read", 1_000, 3_000, Idempotency.IDEMPOTENT)
ORDER = RequestClass("order", 1_000, 3_000, Idempotency.WITH_KEY, DeduplicationScope.CELL, 2_000)
KEYED_ANYWHERE = RequestClass("anywhere", 1_000, 3_000, Idempotency.WITH_KEY, DeduplicationScope.ALL, 2_000)
KEYED_IN_ZONE = RequestClass("zonal", 1_000, 3_000, Idempotency.WITH_KEY, DeduplicationScope.ZONE, 2_000)
# The window has no effect for a class that must not run twice, but settings may contain one.
PAY = RequestClass("pay", 1_000, 3_000, Idempotency.NOT_IDEMPOTENT, deduplication_window_ms=2_000)
CLASSES = (READ, ORDER, KEYED_ANYWHERE, KEYED_IN_ZONE, PAY)


def settings(**changes: Any) -> Settings:
    """Return the tests' default settings with changes."""
    base: dict[str, Any] = {
        "classes": CLASSES,
        "max_attempts": 4,
        "may_cancel": True,
        "may_hedge": True,
        "slow_start_ms": 10_000,
        "slow_start_initial_fraction": 0.2,
        "slow_start_overload_factor": 3.0,
    }
    return Settings(**(base | changes))


def make_endpoints(count: int, **changes: Any) -> tuple[Endpoint, ...]:
    """Return endpoints s0, s1, … of two zones, with two servers a cell."""
    return tuple(Endpoint(f"s{i}", zone=f"z{i % 2}", cell=i // 2, **changes) for i in range(count))


class BalancerHost:
    """A host without I/O, which keeps a balancer's clock, request IDs and actions."""

    def __init__(self, count: int = 4, seed: int = 1, **changes: Any) -> None:
        self.balancer = Balancer(settings(**changes), seed)
        self.now = 1_000.0
        self.actions: list[Action] = []
        self.update_list(*make_endpoints(count))
        self.last_request_id = 0

    def handle(self, event: Any) -> list[Action]:
        """Pass an event to the balancer, and return its actions."""
        actions = self.balancer.handle(event, self.now)
        self.actions.extend(actions)
        return actions

    def update_list(self, *entries: Endpoint, kind: UpdateKind = UpdateKind.FULL_SNAPSHOT) -> list[Action]:
        """Pass an endpoint list, a full snapshot unless another kind is given."""
        return self.handle(EndpointListUpdate(kind, entries))

    def receive_request(
        self, cls: RequestClass = READ, remaining: float = 3_000, **more: Any
    ) -> tuple[int, list[Action]]:
        """Let a request arrive, and return its ID and the actions."""
        self.last_request_id += 1
        return self.last_request_id, self.handle(
            RequestArrived(self.last_request_id, cls.name, remaining, **more)
        )

    def end_attempt(self, request: int, attempt: int, server: str, outcome: Outcome) -> list[Action]:
        """End an attempt; its response is final if it was served."""
        return self.handle(AttemptEnded(request, attempt, server, outcome, outcome is Outcome.SERVED))

    def serve_request(self, cls: RequestClass = READ, takes: float | dict[str, float] = 50.0) -> str:
        """Let one request be served, and return its server; each server may have its own latency."""
        request, actions = self.receive_request(cls)
        server = sent_attempts(actions)[0].server
        self.now += takes[server] if isinstance(takes, dict) else takes
        self.end_attempt(request, 0, server, Outcome.SERVED)
        return server


def sent_attempts(actions: list[Action]) -> list[SendAttempt]:
    """Return the attempts that actions send."""
    return [a for a in actions if isinstance(a, SendAttempt)]


def actions_of(actions: list[Action], *kinds: type) -> list[Action]:
    """Return the actions of some kinds."""
    return [a for a in actions if isinstance(a, kinds)]


def serve_with_latencies(host: BalancerHost, times: dict[str, float], rounds: int = 400) -> None:
    """Serve requests one at a time, each server with its own latency."""
    for _ in range(rounds):
        host.serve_request(takes=times)
