"""Selects the list service instance to watch: failover, failback, and switching away from a stale instance.

    instances = InstanceSelector((first, second), balancer_index=0, rng=Random(1))
    instances.address                     # at first the preferred instance, which differs between balancers
    if instances.record_failure(): ...    # try the next one at once, unless all have failed in turn
    instances.return_to_preferred(now)    # fail back to the preferred instance once it is due

Times are seconds of a monotonic clock.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

Address = tuple[str, int]
PREFERRED_INSTANCE_RETRY_S = 60.0  # mean delay before failing back; jittered by a factor of 2/3 to 4/3


@dataclass(frozen=True, slots=True)
class ListVersion:
    """The content and version of the list at one instance."""

    address: Address
    index: int
    """The version; versions of different instances are not comparable."""
    content: frozenset[tuple[object, ...]]
    """Each listed server with its state."""


class InstanceSelector:
    """Holds the instances in this balancer's order of preference, and the one currently watched."""

    def __init__(self, addresses: tuple[Address, ...], balancer_index: int, rng: random.Random) -> None:
        """`balancer_index` is the index in the tier; each balancer prefers a different instance."""
        first = balancer_index % len(addresses)
        self._order = (*addresses[first:], *addresses[:first])
        self._random = rng
        self._position = 0
        self._consecutive_failures = 0
        self._preferred_retry_at = math.inf
        self._last_indexes: dict[Address, int] = {}
        self._last_cross_check: tuple[ListVersion, ListVersion] | None = None
        self.switch_count = 0

    @property
    def address(self) -> Address:
        """The instance currently watched."""
        return self._order[self._position]

    @property
    def other_count(self) -> int:
        """The number of instances that are not watched."""
        return len(self._order) - 1

    def record_failure(self) -> bool:
        """Switch to the next instance; return False if all instances have failed in turn."""
        self._consecutive_failures += 1
        if self.other_count:
            self._switch_to(self._position + 1)
        if self._consecutive_failures % len(self._order):
            return True
        self._consecutive_failures = 0
        return False

    def record_answer(self, index: int, now: float, was_watch: bool) -> bool:
        """Record the version of an answer; return whether the instance sent a later one before.

        Only an answered watch (`was_watch`) shows that an instance is healthy: one that answers nothing but
        requests for the full list counts as failed.
        """
        if was_watch:
            self._consecutive_failures = 0
        is_rewound = index < self._last_indexes.get(self.address, -1)
        self._last_indexes[self.address] = index
        if self._position and self._preferred_retry_at == math.inf:
            self._preferred_retry_at = now + PREFERRED_INSTANCE_RETRY_S * (1 + self._random.random()) / 1.5
        return is_rewound

    def last_index(self, address: Address) -> int:
        """Return the version in an instance's last answer, or -1 if it has sent none."""
        return self._last_indexes.get(address, -1)

    def return_to_preferred(self, now: float) -> bool:
        """Switch back to the preferred instance if due; return whether it switched."""
        if now < self._preferred_retry_at:
            return False
        self._switch_to(0)
        return True

    def choose_other(self) -> Address:
        """Return a random instance other than the watched one."""
        step = 1 + self._random.randrange(self.other_count)
        return self._order[(self._position + step) % len(self._order)]

    def switch_if_stale(self, ours: ListVersion, other: ListVersion, is_contradicted: bool) -> bool:
        """Switch to another instance if ours is stale compared with it; return whether it switched.

        Ours is stale if the lists differ and, between two cross-checks, the other's version has grown while
        ours has not. One cross-check with differing lists is enough if servers contradict ours
        (`is_contradicted`).
        """
        last = self._last_cross_check
        self._last_cross_check = (ours, other)
        differ = ours.content != other.content
        only_other_grew = (
            last is not None
            and last[1].address == other.address
            and last[0].index == ours.index
            and last[1].index < other.index
        )
        if not differ or not (is_contradicted or only_other_grew):
            return False
        self._switch_to(self._order.index(other.address))
        return True

    def _switch_to(self, position: int) -> None:
        self._position = position % len(self._order)
        self._preferred_retry_at = math.inf
        self._last_cross_check = None
        self.switch_count += 1
