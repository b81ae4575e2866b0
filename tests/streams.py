"""Random event streams in a small simulated environment, and digests of a balancer's actions on them.

`python -m tests.streams` tells whether the decisions have changed since a commit, for refactorings that must
not change them; `--record` writes the digests that `tests/test_streams.py` checks:

    python -m tests.streams --since d2a2bda
    python -m tests.streams --record
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
from collections.abc import Iterable, Iterator
from dataclasses import fields
from enum import Enum
from hashlib import sha256
from pathlib import Path
from typing import get_args

from loadbalancer import interface
from loadbalancer.interface import DeduplicationScope, Idempotency, Outcome, UpdateKind
from loadbalancer.policy import Balancer

DIGESTS_PATH = Path(__file__).parent / "streams.json"
SEEDS = range(24)
CLASSES = (
    interface.RequestClass("read", 400, 2_000, Idempotency.IDEMPOTENT),
    interface.RequestClass(
        "keyed", 800, 2_500, Idempotency.WITH_KEY, DeduplicationScope.CELL, 1_500, priority_weight=2.0
    ),
    interface.RequestClass("pay", 1_200, 4_000, Idempotency.NOT_IDEMPOTENT, priority_weight=10.0),
)
FAILURES = tuple(o for o in Outcome if o not in (Outcome.SERVED, Outcome.UNKNOWN))


class RandomEnvironment:
    """Carries out one balancer's actions with simulated servers, and passes it the resulting events."""

    def __init__(self, seed: int, requests: int) -> None:
        self.random = random.Random(seed)
        self._requests = requests
        self.settings = self._settings()
        self.balancer = Balancer(self.settings, seed)
        self.now = 1_000.0
        self._scheduled: list[tuple[float, int, interface.Event]] = []
        self._sequence = 0
        self._attempt_counts: dict[int, int] = {}  # attempts made, by request without a final response
        self._names = [f"s{i}" for i in range(self.random.choice((2, 5, 12, 40)))]
        self._mean_interval_ms = self.random.choice((2.0, 5.0, 15.0, 60.0))  # ms between requests
        self._failure_rate = self.random.choice((0.0, 0.05, 0.4))

    def _settings(self) -> interface.Settings:
        pick = self.random.choice
        return interface.Settings(
            CLASSES,
            tenants=(interface.Tenant("small", 5.0), interface.Tenant("large", 500.0)),
            balancer_count=pick((1, 3, 12, 60)),
            tier=pick((0, 0, 1)),
            zone=pick(("", "z0", "z1")),
            polls_endpoint_list=pick((True, False)),
            max_attempts=pick((1, 3, 5)),
            may_cancel=pick((True, False)),
            may_hedge=pick((True, False)),
            slow_start_ms=pick((0.0, 5_000.0)),
            slow_start_initial_fraction=0.3,
            slow_start_overload_factor=2.5,
            over_quota_weight_factor=0.05,
        )

    def run(self) -> Iterator[tuple[interface.Event, list[interface.Action]]]:
        """Yield each event and its actions, until no event is scheduled."""
        self._schedule(0.0, self._list_update(UpdateKind.FULL_SNAPSHOT))
        for number in range(self._requests):
            self._schedule(
                number * self._mean_interval_ms * self.random.uniform(0.5, 1.5), self._request(number)
            )
            if self.random.random() < 0.02:
                self._schedule(number * self._mean_interval_ms, self._disturbance())
        while self._scheduled:
            self.now, _, event = heapq.heappop(self._scheduled)
            actions = self._pass_event(event)
            yield event, actions
            for action in actions:
                self._carry_out(action)

    def _schedule(self, after: float, event: interface.Event) -> None:
        self._sequence += 1
        heapq.heappush(self._scheduled, (self.now + after, self._sequence, event))

    def _pass_event(self, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            self._attempt_counts[event.request_id] = 0
        if isinstance(event, interface.AttemptEnded):
            is_final = (
                event.outcome is Outcome.SERVED
                and self._attempt_counts.pop(event.request_id, None) is not None
            )
            event = interface.AttemptEnded(
                event.request_id,
                event.attempt_index,
                event.server,
                event.outcome,
                is_final,
                event.load_report,
            )
        if (
            isinstance(event, interface.ClientDisconnected)
            and self._attempt_counts.pop(event.request_id, None) is None
        ):
            return []
        if isinstance(event, interface.ResponseStarted) and event.request_id not in self._attempt_counts:
            return []
        return self.balancer.handle(event, self.now)

    def _carry_out(self, action: interface.Action) -> None:
        chance = self.random.random
        if isinstance(action, interface.SendAttempt) and action.request_id in self._attempt_counts:
            index = self._attempt_counts[action.request_id]
            self._attempt_counts[action.request_id] += 1
            latency_ms = min(self.random.expovariate(1 / 120.0), action.timeout_ms)
            failed = chance() < self._failure_rate
            outcome = self.random.choice(FAILURES) if failed else Outcome.SERVED
            if latency_ms == action.timeout_ms:
                outcome = Outcome.TIMED_OUT
            if chance() < 0.02:
                self._schedule(latency_ms / 2, interface.ResponseStarted(action.request_id, index))
            self._schedule(
                latency_ms, interface.AttemptEnded(action.request_id, index, action.server, outcome)
            )
        elif isinstance(action, interface.SetTimer):
            self._schedule(max(action.at_ms - self.now, 0.0), interface.TimerExpired(action.token))
        elif isinstance(action, interface.Reject | interface.Fail):
            self._attempt_counts.pop(action.request_id, None)

    def _request(self, number: int) -> interface.Event:
        chance, cls = self.random.random, self.random.choice(CLASSES)
        if chance() < 0.03:
            self._schedule(number * self._mean_interval_ms + 100.0, interface.ClientDisconnected(number))
        return interface.RequestArrived(
            number,
            cls.name,
            cls.deadline_ms * self.random.choice((0.02, 0.5, 0.55)),
            self.random.choice((None, "small", "large")),
            chance() < 0.2,
            self.random.choice((0.0, 0.0, 30.0, 200.0)),
        )

    def _disturbance(self) -> interface.Event:
        server = self.random.choice(self._names)
        kind = self.random.choice(("full", "delta", "cached", "failed", "cordon", "uncordon", "takeover"))
        if kind in ("cordon", "uncordon"):
            return interface.CordonChanged(server, kind == "cordon", self.now)
        if kind == "takeover":
            return interface.TakeoverChanged(self.random.random() < 0.5)
        return self._list_update(UpdateKind(kind))

    def _list_update(self, kind: UpdateKind) -> interface.EndpointListUpdate:
        if kind is UpdateKind.FAILED:
            return interface.EndpointListUpdate(kind)
        listed = [
            name for name in self._names if self.random.random() < (0.2 if kind is UpdateKind.DELTA else 0.9)
        ]
        return interface.EndpointListUpdate(kind, tuple(self._endpoint(name) for name in listed))

    def _endpoint(self, name: str) -> interface.Endpoint:
        readiness = self.random.choice((interface.Readiness.READY,) * 8 + tuple(interface.Readiness))
        started_at_ms = self.random.choice((0.0, 0.0, 0.0, self.now, self.now + 3_000.0))
        number = int(name[1:])
        return interface.Endpoint(
            name, readiness, f"z{number % 3}", number // 2, 1.0 + number % 2, started_at_ms
        )


class NamelessEncoder:
    """Encodes events and actions by position and plain value, so that no name is part of a digest.

    A type is encoded as its index in the union of events or actions, a field by its position in the type, an
    enumeration's member as its index there. Log texts are for people: one is encoded as its index among the
    texts of its stream, not by its wording.
    """

    def __init__(self) -> None:
        self._texts: dict[str, int] = {}

    def encode_event(self, event: interface.Event) -> str:
        """Return the kind of an event; its contents come from the environment and are no decision."""
        return str(get_args(interface.Event).index(type(event)))

    def encode_actions(self, actions: Iterable[interface.Action]) -> str:
        """Return the actions with all their contents."""
        return repr([self._encode_action(action) for action in actions])

    def _encode_action(self, action: interface.Action) -> list[object]:
        kind_index = get_args(interface.Action).index(type(action))
        if isinstance(action, interface.LogMessage):
            return [kind_index, self._texts.setdefault(action.text, len(self._texts))]
        return [kind_index, *(_encode_value(getattr(action, field.name)) for field in fields(action))]


def _encode_value(value: object) -> object:
    """Return the value of an action's field, without names."""
    return list(type(value)).index(value) if isinstance(value, Enum) else value


def digest(seed: int, requests: int = 600) -> str:
    """Return a digest of all that a balancer does in the environment of a seed."""
    encoder, stream = NamelessEncoder(), sha256()
    for event, actions in RandomEnvironment(seed, requests).run():
        stream.update(f"{encoder.encode_event(event)} {encoder.encode_actions(actions)}\n".encode())
    return stream.hexdigest()[:16]


def digests() -> dict[str, str]:
    """Return the digests by seed."""
    return {str(seed): digest(seed) for seed in SEEDS}


def main() -> int:
    """Print, record or compare the digests; return 1 if they differ."""
    parser = argparse.ArgumentParser(description="Tell whether the decisions have changed.")
    parser.add_argument("--since", metavar="COMMIT", help="compare with the package at a commit")
    parser.add_argument("--record", action="store_true", help="write the digests that the test checks")
    args = parser.parse_args()
    current = digests()
    if args.record:
        DIGESTS_PATH.write_text(json.dumps(current, indent=1) + "\n", encoding="utf-8")
    elif args.since:
        from benchmarks.commits import run_at  # missing beside the copy of this file that run_at starts

        earlier = run_at(args.since, "tests/streams.py")
        changed = [seed for seed in current if current[seed] != earlier[seed]]
        print(
            f"{len(current) - len(changed)} of {len(current)} streams unchanged; "
            f"changed: {', '.join(changed) or 'none'}"
        )
        return 1 if changed else 0
    else:
        print(json.dumps(current))
    return 0


if __name__ == "__main__":
    sys.exit(main())
