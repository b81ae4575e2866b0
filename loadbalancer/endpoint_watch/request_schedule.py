"""Schedules list requests: long-poll wait times, and when the full list is requested again."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

from loadbalancer.endpoint_watch.instance_selection import Address

MAX_WAIT_MS = 30_000  # maximum long-poll wait: each poll costs the service work, and updates end it at once
WAIT_PER_BALANCER_MS = 50  # minimum wait per balancer: the tier as a whole polls about once per this interval
WAIT_JITTER = 0.2  # fraction of the wait; keeps balancers that started together from polling together
RESPONSE_MARGIN_S = 1.5  # timeout after the wait; 2 s after the wait, updates count as delivered
RECOVERY_WAIT_MS = 1.0  # wait of the first call after a failure, to detect updates or silence at once
FULL_SNAPSHOT_DELAY_S = 1.0  # before re-requesting a suspect list; scaled by `WAIT_PER_BALANCER_MS` if longer
FULL_SNAPSHOT = -1  # sentinel version: request the full list


class RequestKind(Enum):
    """The kind of a list request, as logged."""

    FULL_SNAPSHOT = "full_snapshot"
    DELTA = "delta"
    """Changes since a version, answered at once."""
    LONG_POLL = "long_poll"


@dataclass(frozen=True, slots=True)
class ListRequest:
    """One request for the list."""

    address: Address
    after_index: int
    """The current version, or `FULL_SNAPSHOT`."""
    wait_ms: float
    """How long the service may wait for an update."""
    timeout_s: float
    """Timeout of the call, which includes connecting unless it is a long poll."""

    @property
    def is_long_poll(self) -> bool:
        """Whether the service holds the request until there is an update or the wait ends."""
        return self.wait_ms > RECOVERY_WAIT_MS

    @property
    def kind(self) -> RequestKind:
        """The kind of request, for logs."""
        if self.after_index < 0:
            return RequestKind.FULL_SNAPSHOT
        return RequestKind.LONG_POLL if self.is_long_poll else RequestKind.DELTA


class RequestSchedule:
    """Determines how long requests may wait, and when a suspect list is requested in full again."""

    def __init__(self, balancer_count: int, drain_grace_ms: float, rng: random.Random) -> None:
        """`drain_grace_ms` is the grace period of draining servers; 0 if unknown.

        It bounds the wait: a watch that falls silent is detected only by its overdue answer, which delays
        updates by up to the wait.
        """
        tier_wait_ms = WAIT_PER_BALANCER_MS * balancer_count
        self._random = rng
        self._max_wait_ms = min(max(drain_grace_ms or MAX_WAIT_MS, tier_wait_ms), MAX_WAIT_MS)
        self._full_snapshot_delay_s = max(FULL_SNAPSHOT_DELAY_S, tier_wait_ms / 1_000)
        self._full_snapshot_at = math.inf

    def is_full_snapshot_due(self, now: float) -> bool:
        """Return whether the full list is to be requested now."""
        return now >= self._full_snapshot_at

    def schedule_full_snapshot(self, now: float) -> None:
        """Schedule a request for the full list after a delay, or keep an earlier one."""
        delay_s = self._full_snapshot_delay_s * (0.5 + self._random.random())
        self._full_snapshot_at = min(self._full_snapshot_at, now + delay_s)

    def clear_full_snapshot(self) -> None:
        """Clear the schedule because the full list is being requested."""
        self._full_snapshot_at = math.inf

    def long_poll(self, address: Address, index: int, now: float) -> ListRequest:
        """Return a long poll for updates after a version; its wait ends when a full list is due."""
        jittered_s = self._max_wait_ms / 1000 * (1 - WAIT_JITTER * self._random.random())
        wait_s = max(min(jittered_s, self._full_snapshot_at - now), 2 * RECOVERY_WAIT_MS / 1000)
        return ListRequest(address, index, wait_s * 1_000, wait_s + RESPONSE_MARGIN_S)
