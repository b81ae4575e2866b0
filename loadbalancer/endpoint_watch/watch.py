"""The watch of a list: which instance is asked for what, and when again."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from loadbalancer.endpoint_watch.instance_selection import Address, InstanceSelector, ListVersion
from loadbalancer.endpoint_watch.time_budget import (
    CONGESTED_RETRY_INTERVAL_S,
    answer_time_s,
    call_timeout_s,
    retry_interval_s,
)
from loadbalancer.interface import LIST_RETRY_JITTER, LIST_RETRY_MEAN_BACKOFF_MS

MAX_WAIT_MS = 30_000  # of one watch call at the most: each costs discovery work, and news ends it at once
WAIT_PER_BALANCER_MS = 50  # of wait for each balancer of the tier: all together call about once in so long
WAIT_JITTER = 0.2  # part by which waits differ, so that balancers that started together do not call together
RESPONSE_MARGIN_S = 1.5  # so long past its wait a watch has failed: 2 s past it, all changes count as told
RECOVERY_WAIT_MS = 1.0  # wait of the first call after a failed one: news is told, and silence shows, at once
FAILOVER_SPREAD_PER_BALANCER_MS = (
    5.0  # for each balancer of the tier: the watches of an instance that dies go on within so long
)
FULL_SNAPSHOT_DELAY_S = (
    1.0  # before a list that is not believed is asked for whole again, or CALL_MS for each balancer
)
CONTRADICTION_BACKOFF_S = (
    1.0  # the first pause between looks while servers contradict the list, doubled at each
)
CROSS_CHECK_INTERVAL_S, CROSS_CHECK_INTERVAL_PER_BALANCER_MS = (
    30.0,
    100.0,
)  # between looks at another instance, and for each balancer of the tier
CONGESTED_RETRY_PER_BALANCER_MS = LIST_RETRY_MEAN_BACKOFF_MS * (
    1 + LIST_RETRY_JITTER
)  # from failed call to call, for each balancer that may crowd it
FULL_SNAPSHOT = -1  # in place of a version: the whole list


@dataclass(frozen=True, slots=True)
class ListRequest:
    """One call for the list."""

    address: Address
    after_index: int
    """The version that is known, or WHOLE."""
    wait_ms: float
    """How long the service may wait for news."""
    timeout_s: float
    """By when the call has failed; with its dial, unless it waits."""

    @property
    def is_long_poll(self) -> bool:
        """Whether it is held until there is news."""
        return self.wait_ms > RECOVERY_WAIT_MS


class Watch:
    """One balancer's watch, of the platform's list or of a service of one's own (`own`).

    Where the service is one's own, a failed call goes on to its next instance, and only when all have failed
    in turn has the list failed. Versions of instances do not compare: whoever changes asks for the whole
    list.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        *,
        balancer_index: int,
        balancer_count: int,
        drain_grace_ms: float,
        is_own_service: bool,
        seed: int,
        index: int = FULL_SNAPSHOT,
    ) -> None:
        """`drain_grace_ms` is what servers that drain are left; `index` the version of the list at hand."""
        self._balancer_index, self._is_own_service, self.index = balancer_index, is_own_service, index
        self._random = random.Random(seed)
        # A watch can fall silent, and only its overdue answer tells: news is then as late as its wait
        # is long.
        self._wait_ms = min(
            max(drain_grace_ms or MAX_WAIT_MS, WAIT_PER_BALANCER_MS * balancer_count), MAX_WAIT_MS
        )
        self._spread_s = FAILOVER_SPREAD_PER_BALANCER_MS * balancer_count / 1_000
        self._pace_s = 0.0 if is_own_service else CONGESTED_RETRY_PER_BALANCER_MS * balancer_count / 1_000
        self._doubt_s = max(FULL_SNAPSHOT_DELAY_S, WAIT_PER_BALANCER_MS * balancer_count / 1_000)
        self._compare_s = max(
            CROSS_CHECK_INTERVAL_S, CROSS_CHECK_INTERVAL_PER_BALANCER_MS * balancer_count / 1_000
        )
        self._crowded = 0  # calls that met a crowd since the last answer
        self._went_back = self._has_failed = self._waits = False
        self._whole_at = math.inf  # when a list that is not believed is asked for again
        self._look_at = 0.0
        self._said_s = self._said_at = 0.0  # the pause between looks while servers contradict, and its end
        self.rewind_count = self.stale_instance_count = 0
        self._begin(addresses)

    def _begin(self, addresses: tuple[Address, ...]) -> None:
        self.instances = InstanceSelector(addresses, self._balancer_index, self._random)
        self._call_timeout_s = call_timeout_s(len(addresses), self._is_own_service)
        self._base_retry_interval_s = retry_interval_s(len(addresses), self._is_own_service)
        self.retry_within_s = (
            self._base_retry_interval_s
        )  # after a failed call, the next one has to begin within so long

    def set_addresses(self, addresses: tuple[Address, ...]) -> None:
        """The service is elsewhere from now on."""
        self._begin(addresses)
        self.index = FULL_SNAPSHOT

    def next_request(self, now: float = 0.0) -> ListRequest:
        """The next call; `now` counts while a list is not believed.

        After a failed call it does not wait: a service that takes calls and tells nothing shows at once, and
        what came meanwhile is not left to the end of a wait.
        """
        if now >= self._whole_at:
            self.index = FULL_SNAPSHOT
            self.instances.record_failure()
        if self.index < 0:
            self._whole_at = math.inf
        self._waits = self.index >= 0 and not self._has_failed
        if not self._waits:
            return ListRequest(
                self.instances.address, self.index, RECOVERY_WAIT_MS * (self.index >= 0), self._call_timeout_s
            )
        wait_s = min(self._wait_ms / 1000 * (1 - WAIT_JITTER * self._random.random()), self._whole_at - now)
        wait_s = max(wait_s, 2 * RECOVERY_WAIT_MS / 1000)
        return ListRequest(self.instances.address, self.index, wait_s * 1_000, wait_s + RESPONSE_MARGIN_S)

    def record_answer(self, index: int, now: float) -> bool:
        """A list of some version has come; whether its service has gone back to an older state.

        ValueError if it is older than the one at hand: the call has failed. If the whole list, asked for
        next, is no newer, that is a new beginning.
        """
        if index < self.index:
            self._went_back = True
            raise ValueError(f"list {index} is older than the one we hold")
        is_rewound = self.instances.record_answer(index, now, self.index >= 0) and self._is_own_service
        self.rewind_count += is_rewound
        self.index, self._went_back, self._has_failed, self._crowded = index, False, False, 0
        return is_rewound

    def is_current(self, ask: ListRequest, index: int) -> bool:
        """Whether an answer that came late is no older than what its instance has told."""
        return index >= max(ask.after_index, self.instances.last_index(ask.address))

    def record_failure(
        self, duration_s: float, response_timed_out: bool, rejected: bool = False
    ) -> float | None:
        """A call has failed: seconds until the next; None if the list has, and others say when to ask.

        They have `retry_within_s` for that. `duration_s` is how long the call was out, with its dial; a watch
        that had been held and was broken off would have reported what there was until then. `rejected` is a
        call that its service ended without an answer.
        """
        was_held = self._waits and not response_timed_out and duration_s > self._call_timeout_s
        self._crowded += rejected and duration_s > answer_time_s(is_own_service=True)
        self.retry_within_s = max(self._retry_interval_s() - (0.0 if was_held else duration_s), 0.0)
        self._has_failed = True
        if not self._is_own_service:
            return None
        at, goes_on = self.instances.address, self.instances.record_failure()
        if self.instances.address != at or self._went_back:
            self.index = FULL_SNAPSHOT
        return min(self._spread_s, self.retry_within_s) * self._random.random() if goes_on else None

    def _retry_interval_s(self) -> float:
        """From a failed call's beginning to the next one's, at the most.

        The platform's service takes calls in turn and ends those that waited too long: one that had to wait
        before it was turned away met a crowd. Calls that it takes too late cost it no less than others, so
        that a tier that goes on as before keeps it from answering anybody: each crowd that is met in a row
        doubles the time, up to the tier's pace.
        """
        if not self._crowded:
            return self._base_retry_interval_s
        return max(
            self._base_retry_interval_s,
            min(self._pace_s, CONGESTED_RETRY_INTERVAL_S * 2.0 ** min(self._crowded - 1, 30)),
        )

    def schedule_full_snapshot(self, now: float) -> None:
        """The list that came is not believed: it is asked for again later, elsewhere if there is one.

        What comes after its version does not tell whom it has left out. Until then it is watched all the
        same, for what it says outright.
        """
        self._whole_at = min(self._whole_at, now + self._doubt_s * (0.5 + self._random.random()))

    def return_to_preferred_instance(self, now: float) -> bool:
        """Whether the first choice is asked again from now on."""
        if not self._is_own_service or not self.instances.return_to_preferred(now):
            return False
        self.index = FULL_SNAPSHOT
        return True

    # ---- a service that answers and never changes ------------------------------------------------

    def next_cross_check(self, now: float, contradicted: bool) -> Address | None:
        """Another instance whose whole list is to be looked at now: every so often, or if servers say so."""
        if not self.instances.other_count or self.index < 0:
            return None
        first, is_said = not self._look_at, contradicted and now >= self._said_at
        if is_said:  # a server may be silent for long: it says the same, and each look costs a list
            self._said_s = min(2 * self._said_s or CONTRADICTION_BACKOFF_S, self._compare_s)
            self._said_at = now + self._said_s
        elif not contradicted:
            self._said_s = self._said_at = 0.0
        if first or now >= self._look_at or is_said:
            self._look_at = now + self._compare_s * (0.5 + self._random.random())
        else:
            return None
        return None if first and not contradicted else self.instances.choose_other()

    def record_cross_check(self, ours: ListVersion, other: ListVersion, contradicted: bool) -> bool:
        """Whether ours has stood still; if so, the other one is asked from now on."""
        if other.address == ours.address or not self.instances.switch_if_stale(ours, other, contradicted):
            return False
        self.stale_instance_count += 1
        self.index = FULL_SNAPSHOT
        return True
