"""Measure what a decision and a change of the endpoint list cost, by the number of servers.

    python -m benchmarks.decisions
    python -m benchmarks.decisions --beside 70b82b3

A decision is a request that arrives, its attempt, and the end of one, with eight calls in flight and four
balancers. A change is a delta of one endpoint, each time of another server. Times are medians of several
rounds in µs, on the machine that runs it.
"""

from __future__ import annotations

import argparse
import itertools
import json
import statistics
import sys
import time

from loadbalancer.interface import (
    AttemptEnded,
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

SERVER_COUNTS = (10, 100, 1_000, 10_000)
ROUNDS = 7
CALLS_IN_FLIGHT = 8


class BusyBalancer:
    """A balancer that always has calls in flight."""

    def __init__(self, servers: int) -> None:
        read = RequestClass("read", 1_000, 3_000, Idempotency.IDEMPOTENT)
        pay = RequestClass("pay", 1_000, 3_000, Idempotency.NOT_IDEMPOTENT, priority_weight=10)
        self._balancer = Balancer(Settings((read, pay), balancer_count=4, zone="a", max_attempts=3), seed=1)
        self._endpoints = [
            Endpoint(f"s{i:05}", zone="ab"[i % 2], registered_capacity=1.0 + i % 2) for i in range(servers)
        ]
        self._now = 1_000.0
        self._request_ids = itertools.count()
        self._in_flight: list[tuple[int, str]] = []
        self._balancer.handle(EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, tuple(self._endpoints)), self._now)

    def decide(self) -> None:
        """Pass one request, and the end of the oldest call in flight."""
        self._now += 5.0
        number = next(self._request_ids)
        event = RequestArrived(number, "pay" if number % 5 == 0 else "read", 2_500)
        for action in self._balancer.handle(event, self._now):
            if isinstance(action, SendAttempt):
                self._in_flight.append((number, action.server))
        if len(self._in_flight) >= CALLS_IN_FLIGHT:
            request, server = self._in_flight.pop(0)
            self._balancer.handle(AttemptEnded(request, 0, server, Outcome.SERVED, True), self._now)

    def change(self, number: int) -> None:
        """Pass a delta of one endpoint."""
        endpoint = self._endpoints[number * 7 % len(self._endpoints)]
        self._balancer.handle(EndpointListUpdate(UpdateKind.DELTA, (endpoint,)), self._now)


def measure(servers: int) -> tuple[float, float]:
    """Return the cost of a decision and of a change, in µs."""
    balancer = BusyBalancer(servers)
    count = max(20, min(2_000, 400_000 // servers))
    decisions, changes = [], []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(count):
            balancer.decide()
        between = time.perf_counter()
        for number in range(count):
            balancer.change(number)
        decisions.append((between - began) / count)
        changes.append((time.perf_counter() - between) / count)
    return statistics.median(decisions) * 1e6, statistics.median(changes) * 1e6


def main() -> int:
    """Print the table, or the figures as JSON."""
    parser = argparse.ArgumentParser(description="What a decision costs, by the number of servers.")
    parser.add_argument("--beside", metavar="COMMIT", help="measure the package at a commit as well")
    parser.add_argument("--json", action="store_true", help="the figures alone")
    args = parser.parse_args()
    now = {str(size): measure(size) for size in SERVER_COUNTS}
    if args.json:
        print(json.dumps(now))
        return 0
    tables = {"now": now}
    if args.beside:
        from benchmarks.commits import run_at  # only this tree has it

        tables[args.beside] = run_at(args.beside, "benchmarks/decisions.py", "--json")
    print("servers".ljust(24), *(f"{size:>10,}" for size in SERVER_COUNTS))
    for name, figures in tables.items():
        for row, what in enumerate(("decision", "list change")):
            print(
                f"{what}, {name}"[:24].ljust(24), *(f"{figures[str(s)][row]:>8.0f} µs" for s in SERVER_COUNTS)
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
