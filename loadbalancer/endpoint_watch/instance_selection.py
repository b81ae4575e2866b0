"""Which instance of a list service is asked, and what speaks against its list: told the time, without I/O.

    sources = Sources((one, other), number=0, chance=Random(1))
    sources.address                      # our own first choice; balancers spread over the instances
    if sources.failed(): ...             # the next one is asked at once, unless all have failed in turn
    sources.may_go_home(now)             # after a while the first choice is tried again

Times are seconds of a clock that never goes back.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from loadbalancer.interface import Outcome

Address = tuple[str, int]
PREFERRED_INSTANCE_RETRY_S = 60.0  # after so long, spread by half, the first choice is tried again
_ANSWERED_OUTCOMES = frozenset({Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED})
_UNANSWERED_OUTCOMES = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMED_OUT})
SILENCE_THRESHOLD_S = 5.0  # a listed server that has answered nothing for so long speaks against the list


@dataclass(frozen=True, slots=True)
class ListVersion:
    """A list as one instance tells it: its version, and who is on it in which state."""

    address: Address
    index: int
    content: frozenset[tuple[object, ...]]


class InstanceSelector:
    """The instances in our own order, and the one that is asked."""

    def __init__(self, addresses: tuple[Address, ...], number: int, chance: random.Random) -> None:
        """`number` is the balancer's in its tier: each begins its order at another instance."""
        first = number % len(addresses)
        self._ring, self._random = (*addresses[first:], *addresses[:first]), chance
        self._at, self._failed, self._home_from = 0, 0, math.inf
        self._newest: dict[Address, int] = {}
        self._last: tuple[ListVersion, ListVersion] | None = None
        self.switch_count = 0

    @property
    def address(self) -> Address:
        """The instance to ask."""
        return self._ring[self._at]

    @property
    def other_count(self) -> int:
        """How many there are beside it."""
        return len(self._ring) - 1

    def record_failure(self) -> bool:
        """It gave no answer: the next one is asked from now on. Whether there was one that has not failed."""
        self._failed += 1
        if self.other_count:
            self._switch_to(self._at + 1)
        if self._failed % len(self._ring):
            return True
        self._failed = 0
        return False

    def record_answer(self, index: int, now: float, was_watch: bool) -> bool:
        """It told a list; whether that is of an earlier version than one it told before.

        Only a watch that was answered shows that it is well: one that tells whole lists and no more has
        failed as much as one that is down.
        """
        self._failed = 0 if was_watch else self._failed
        rewound = index < self._newest.get(self.address, -1)
        self._newest[self.address] = index
        if self._at and self._home_from == math.inf:
            self._home_from = now + PREFERRED_INSTANCE_RETRY_S * (1 + self._random.random()) / 1.5
        return rewound

    def last_index(self, address: Address) -> int:
        """The last version that an instance told; -1 for none."""
        return self._newest.get(address, -1)

    def return_to_preferred(self, now: float) -> bool:
        """Whether it is time to try the first choice again; if so, that is the one to ask."""
        if now < self._home_from:
            return False
        self._switch_to(0)
        return True

    def _switch_to(self, place: int) -> None:
        self._at, self._home_from, self._last = place % len(self._ring), math.inf, None
        self.switch_count += 1

    def choose_other(self) -> Address:
        """One of those that are not asked now."""
        return self._ring[(self._at + 1 + self._random.randrange(self.other_count)) % len(self._ring)]

    def switch_if_stale(self, ours: ListVersion, other: ListVersion, contradicted: bool) -> bool:
        """Whether our instance's list has stood still while another's moved on; if so, ask the other.

        Two looks tell: the other's version has grown between them, ours has not, and they differ. One is
        enough where servers contradict our list (`contradicted`) and the other's is another.
        """
        last, self._last = self._last, (ours, other)
        differ = ours.content != other.content
        moved_on = (
            last is not None
            and last[1].address == other.address
            and last[0].index == ours.index
            and last[1].index < other.index
        )
        if not differ or not (contradicted or moved_on):
            return False
        self._switch_to(self._ring.index(other.address))
        return True


class ContradictionDetector:
    """Servers that the list calls ready and that answer nothing: what they say goes before what it says."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def record_outcome(self, server: str, outcome: Outcome, now: float) -> None:
        """Take the end of an attempt."""
        if outcome in _UNANSWERED_OUTCOMES:
            self._since.setdefault(server, now)
        elif self._since and outcome in _ANSWERED_OUTCOMES:
            self._since.pop(server, None)

    def forget_server(self, server: str) -> None:
        """The list has told something new of a server."""
        self._since.pop(server, None)

    def silent_servers(self, now: float) -> list[str]:
        """Those that have been silent for so long that the list may be wrong about them."""
        return sorted(name for name, since in self._since.items() if now - since >= SILENCE_THRESHOLD_S)
