"""The requests for the list: how long one may wait at the service, and when the full list is due again."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

from loadbalancer.endpoint_watch.instance_selection import Address

MAX_WAIT_MS = 30_000  # of one long poll: each costs the service work, and an update ends it at once
WAIT_PER_BALANCER_MS = 50  # of wait for each balancer of the tier: all of them call about once in so long
WAIT_JITTER = 0.2  # fraction by which waits differ, so that balancers started together do not call together
RESPONSE_MARGIN_S = 1.5  # past its wait a long poll has failed: 2 s past it, updates count as delivered
RECOVERY_WAIT_MS = 1.0  # of the first call after a failed one: updates, and silence, show at once
FULL_SNAPSHOT_DELAY_S = 1.0  # before a suspect list is requested anew; `WAIT_PER_BALANCER_MS` if longer
FULL_SNAPSHOT = -1  # in place of a version: request the full list


class RequestKind(Enum):
    """What a request for the list asks, for logs."""

    FULL_SNAPSHOT = "full_snapshot"
    DELTA = "delta"
    """What has changed, answered at once."""
    LONG_POLL = "long_poll"


@dataclass(frozen=True, slots=True)
class ListRequest:
    """One call for the list."""

    address: Address
    after_index: int
    """The version at hand, or `FULL_SNAPSHOT`."""
    wait_ms: float
    """How long the service may wait for an update."""
    timeout_s: float
    """When the call has failed; connecting counts, unless it is a long poll."""

    @property
    def is_long_poll(self) -> bool:
        """Whether the service holds the request until there is an update."""
        return self.wait_ms > RECOVERY_WAIT_MS

    @property
    def kind(self) -> RequestKind:
        """What it asks."""
        if self.after_index < 0:
            return RequestKind.FULL_SNAPSHOT
        return RequestKind.LONG_POLL if self.is_long_poll else RequestKind.DELTA


class RequestSchedule:
    """Holds how long requests may wait, and when a quarantined list is requested in full again."""

    def __init__(self, balancer_count: int, drain_grace_ms: float, chance: random.Random) -> None:
        """`drain_grace_ms` is how long draining servers are left; 0 if that is not known.

        A watch may fall silent, which only its overdue answer shows: an update is then as late as the wait
        is long.
        """
        tier_wait_ms = WAIT_PER_BALANCER_MS * balancer_count
        self._random = chance
        self._max_wait_ms = min(max(drain_grace_ms or MAX_WAIT_MS, tier_wait_ms), MAX_WAIT_MS)
        self._full_snapshot_delay_s = max(FULL_SNAPSHOT_DELAY_S, tier_wait_ms / 1_000)
        self._full_snapshot_at = math.inf

    def is_full_snapshot_due(self, now: float) -> bool:
        """Return whether the full list is to be requested now."""
        return now >= self._full_snapshot_at

    def schedule_full_snapshot(self, now: float) -> None:
        """Have the full list requested after a delay, or when it was due before."""
        delay_s = self._full_snapshot_delay_s * (0.5 + self._random.random())
        self._full_snapshot_at = min(self._full_snapshot_at, now + delay_s)

    def clear_full_snapshot(self) -> None:
        """Note that the full list is being requested."""
        self._full_snapshot_at = math.inf

    def long_poll(self, address: Address, index: int, now: float) -> ListRequest:
        """Return a request that waits for updates after a version, until a full one is due at the most."""
        jittered_s = self._max_wait_ms / 1000 * (1 - WAIT_JITTER * self._random.random())
        wait_s = max(min(jittered_s, self._full_snapshot_at - now), 2 * RECOVERY_WAIT_MS / 1000)
        return ListRequest(address, index, wait_s * 1_000, wait_s + RESPONSE_MARGIN_S)
