"""State of one server: its endpoint, attempts in flight and the evidence on its capacity."""

from __future__ import annotations

import math
from collections import deque

from loadbalancer import interface

EVIDENCE_DECAY_MS = 6_000.0
"""Time constant (1/e) of the evidence: long enough for a few calls, short enough to see a recovery."""


class Server:
    """One server, whether it is in the current endpoint list or only has attempts in flight.

    The evidence on its capacity is `served_calls` and `in_flight_ms`, both decayed to `updated_at_ms`.
    """

    __slots__ = (
        "endpoint",
        "idle_since_ms",
        "in_flight",
        "in_flight_ms",
        "is_listed",
        "is_ready",
        "rank",
        "receiving",
        "registered_capacity",
        "remaining_strikes",
        "rounding_offset",
        "rounding_offset_until_ms",
        "served_calls",
        "slow_start_sends",
        "started_at_ms",
        "updated_at_ms",
    )

    def __init__(self, endpoint: interface.Endpoint, now: float, rank: float) -> None:
        self.endpoint = endpoint
        self.rank = rank
        """Random rank in this balancer's order of servers, 0 to 1; it also rounds concurrency limits."""
        self.is_listed = False
        self.is_ready = False
        """Whether it may get new requests: listed as ready, and not cordoned."""
        self.registered_capacity = 1.0
        """Capacity units according to the endpoint list; 1 if the list gives an invalid value."""
        self.started_at_ms = endpoint.started_at_ms
        """When it started or was uncordoned, whichever is later."""
        self.remaining_strikes = 0
        """Failed connections until it is removed, while it is suspected stale; 0 otherwise."""
        self.in_flight = 0
        self.receiving = 0
        """How many of the attempts in flight wait for the rest of their body: it has not begun them."""
        self.idle_since_ms = math.inf
        """When the last attempt ended, if it got a response; infinite otherwise."""
        self.slow_start_sends: deque[float] = deque()
        """When attempts were sent to it while it was warming up, in milliseconds."""
        self.rounding_offset = 0.0
        self.rounding_offset_until_ms = -math.inf
        self.reset_evidence(now)

    def reset_evidence(self, now: float) -> None:
        """Drop the evidence, since another incarnation now runs under this name."""
        self.served_calls = 0.0
        self.in_flight_ms = 0.0
        self.updated_at_ms = now

    def begun(self) -> int:
        """Return how many of the attempts in flight it has been able to begin."""
        return self.in_flight - self.receiving

    def advance_to(self, now: float) -> None:
        """Decay the evidence to `now`, and add the time in flight of attempts since the last update."""
        decay = math.exp((self.updated_at_ms - now) / EVIDENCE_DECAY_MS)
        self.served_calls *= decay
        self.in_flight_ms = self.in_flight_ms * decay + self.begun() * (now - self.updated_at_ms)
        self.updated_at_ms = now

    def evidence(self) -> interface.ServerEvidence:
        """Return the evidence as of `updated_at_ms`, to pass it to another process."""
        return interface.ServerEvidence(
            self.endpoint.started_at_ms,
            self.served_calls,
            self.in_flight_ms,
            tuple(self.slow_start_sends),
        )

    def restore(self, evidence: interface.ServerEvidence, at_ms: float) -> None:
        """Restore evidence from another process that was current at `at_ms`."""
        self.served_calls = evidence.served_calls
        self.in_flight_ms = evidence.in_flight_ms
        self.slow_start_sends = deque(evidence.slow_start_sends)
        self.updated_at_ms = at_ms
