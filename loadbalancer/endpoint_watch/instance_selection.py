"""The choice of the list service's instance that is watched: failover, return, and leaving a stale one.

    instances = InstanceSelector((first, second), balancer_index=0, chance=Random(1))
    instances.address                     # the balancer's preferred instance; balancers spread over all
    if instances.record_failure(): ...    # the next one is tried at once, unless all have failed in turn
    instances.return_to_preferred(now)    # after a while the preferred one is tried again

Times are seconds of a monotonic clock.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

Address = tuple[str, int]
PREFERRED_INSTANCE_RETRY_S = 60.0  # after so long, spread by half, the preferred instance is tried again


@dataclass(frozen=True, slots=True)
class ListVersion:
    """The list as one instance has it."""

    address: Address
    index: int
    """The version; those of different instances can't be compared."""
    content: frozenset[tuple[object, ...]]
    """Each listed server with its state."""


class InstanceSelector:
    """Holds the instances in this balancer's order of preference, and which one is watched."""

    def __init__(self, addresses: tuple[Address, ...], balancer_index: int, chance: random.Random) -> None:
        """`balancer_index` counts within the tier: each balancer prefers another instance."""
        first = balancer_index % len(addresses)
        self._order = (*addresses[first:], *addresses[:first])
        self._random = chance
        self._position = 0
        self._consecutive_failures = 0
        self._preferred_retry_at = math.inf
        self._last_indexes: dict[Address, int] = {}
        self._last_cross_check: tuple[ListVersion, ListVersion] | None = None
        self.switch_count = 0

    @property
    def address(self) -> Address:
        """The instance that is watched."""
        return self._order[self._position]

    @property
    def other_count(self) -> int:
        """How many instances there are beside it."""
        return len(self._order) - 1

    def record_failure(self) -> bool:
        """Switch to the next instance; return whether there is one that has not failed in turn."""
        self._consecutive_failures += 1
        if self.other_count:
            self._switch_to(self._position + 1)
        if self._consecutive_failures % len(self._order):
            return True
        self._consecutive_failures = 0
        return False

    def record_answer(self, index: int, now: float, was_watch: bool) -> bool:
        """Record the version of an answer; return whether the instance had a later one before.

        Only an answered watch (`was_watch`) shows that an instance is healthy: one that answers requests for
        the full list and no others has failed as much as one that is down.
        """
        if was_watch:
            self._consecutive_failures = 0
        is_rewound = index < self._last_indexes.get(self.address, -1)
        self._last_indexes[self.address] = index
        if self._position and self._preferred_retry_at == math.inf:
            self._preferred_retry_at = now + PREFERRED_INSTANCE_RETRY_S * (1 + self._random.random()) / 1.5
        return is_rewound

    def last_index(self, address: Address) -> int:
        """Return the last version that an instance answered with; -1 for none."""
        return self._last_indexes.get(address, -1)

    def return_to_preferred(self, now: float) -> bool:
        """Switch back to the preferred instance if that is due; return whether it was."""
        if now < self._preferred_retry_at:
            return False
        self._switch_to(0)
        return True

    def choose_other(self) -> Address:
        """Return a random one of the instances that are not watched."""
        step = 1 + self._random.randrange(self.other_count)
        return self._order[(self._position + step) % len(self._order)]

    def switch_if_stale(self, ours: ListVersion, other: ListVersion, is_contradicted: bool) -> bool:
        """Switch to another instance if ours is stale beside it; return whether it is.

        It takes two cross-checks: the other's version has grown between them, ours has not, and the lists
        differ. One is enough where servers contradict our list (`is_contradicted`) and the other's differs.
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
