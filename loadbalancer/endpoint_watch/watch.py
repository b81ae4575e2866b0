"""The watch of the endpoint list: which instance is sent which request, and when the next one follows."""

from __future__ import annotations

import random

from loadbalancer.endpoint_watch.cross_check import CrossCheckSchedule
from loadbalancer.endpoint_watch.exceptions import StaleListError
from loadbalancer.endpoint_watch.instance_selection import Address, InstanceSelector, ListVersion
from loadbalancer.endpoint_watch.request_schedule import (
    FULL_SNAPSHOT,
    RECOVERY_WAIT_MS,
    ListRequest,
    RequestSchedule,
)
from loadbalancer.endpoint_watch.retry_backoff import RetryBackoff


class Watch:
    """One balancer's watch, of the platform's list or of a list service of one's own (`is_self_hosted`).

    Where the service is one's own, a failed call fails over to its next instance, and only when all have
    failed in turn has the list failed. Versions of instances can't be compared: after a switch the full list
    is requested.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        *,
        balancer_index: int,
        balancer_count: int,
        drain_grace_ms: float,
        is_self_hosted: bool,
        seed: int,
        index: int = FULL_SNAPSHOT,
    ) -> None:
        """`drain_grace_ms` is how long draining servers are left; `index` the version of the list at hand."""
        self._balancer_index = balancer_index
        self._is_self_hosted = is_self_hosted
        self._random = random.Random(seed)
        self._requests = RequestSchedule(balancer_count, drain_grace_ms, self._random)
        self._backoff = RetryBackoff(balancer_count, len(addresses), is_self_hosted=is_self_hosted)
        self._cross_checks = CrossCheckSchedule(balancer_count, self._random)
        self.instances = InstanceSelector(addresses, balancer_index, self._random)
        self.index = index
        self._has_failed = False  # since the last answer
        self._has_rewound = False  # the last answer was of an older version
        self._is_long_poll_out = False
        self.rewind_count = 0
        self.stale_instance_count = 0

    @property
    def retry_within_s(self) -> float:
        """After the last failed call, the next one has to begin within so long."""
        return self._backoff.retry_within_s

    def set_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Watch a service at other addresses from now on."""
        self.instances = InstanceSelector(addresses, self._balancer_index, self._random)
        self._backoff.set_instance_count(len(addresses))
        self.index = FULL_SNAPSHOT

    def first_request_delay_s(self) -> float:
        """Return how long a new process that has a list waits before its first request, in seconds.

        The platform's service answers a limited number of requests a second, and spends as much on one that
        it answers too late. A release restarts many balancers together, whose requests would come at once.
        """
        if self.index < 0:
            return 0.0
        return self._backoff.start_window_s() * self._random.random()

    def next_request(self, now: float = 0.0) -> ListRequest:
        """Return the next call; `now` counts while a full list is scheduled.

        After a failed call it is no long poll: a service that takes calls and answers none shows at once, and
        what came meanwhile is not left to the end of a wait.
        """
        if self._requests.is_full_snapshot_due(now):
            self.index = FULL_SNAPSHOT
            self.instances.record_failure()
        if self.index < 0:
            self._requests.clear_full_snapshot()
        address = self.instances.address
        self._is_long_poll_out = self.index >= 0 and not self._has_failed
        if self._is_long_poll_out:
            return self._requests.long_poll(address, self.index, now)
        wait_ms = RECOVERY_WAIT_MS if self.index >= 0 else 0.0
        return ListRequest(address, self.index, wait_ms, self._backoff.call_timeout_s)

    def record_answer(self, index: int, now: float) -> bool:
        """Take over the version of an answer; return whether its service has gone back to an older state.

        StaleListError if it is older than the list at hand: the call has failed. If the full list, which is
        requested next, is no newer, that is a new beginning.
        """
        if index < self.index:
            self._has_rewound = True
            raise StaleListError(f"list {index} is older than {self.index}, the one we hold")
        is_rewound = self.instances.record_answer(index, now, self.index >= 0) and self._is_self_hosted
        self.rewind_count += is_rewound
        self.index = index
        self._has_rewound = False
        self._has_failed = False
        self._backoff.record_answer()
        return is_rewound

    def is_current(self, request: ListRequest, index: int) -> bool:
        """Return whether a late answer is no older than what its instance has answered since."""
        return index >= max(request.after_index, self.instances.last_index(request.address))

    def record_failure(
        self, duration_s: float, response_timed_out: bool, rejected: bool = False
    ) -> float | None:
        """Return the pause in seconds before the next call; None if the list has failed.

        Then the host decides when to call again, within `retry_within_s`. `duration_s` is the time of the
        call with connecting; `response_timed_out` that it had no answer in time; `rejected` that the service
        ended it without a list.
        """
        is_late = duration_s > self._backoff.call_timeout_s
        was_waiting = self._is_long_poll_out and not response_timed_out and is_late
        self._backoff.record_failure(duration_s, was_waiting=was_waiting, rejected=rejected)
        self._has_failed = True
        if not self._is_self_hosted:
            return None
        failed_address = self.instances.address
        can_fail_over = self.instances.record_failure()
        if self.instances.address != failed_address or self._has_rewound:
            self.index = FULL_SNAPSHOT
        return self._backoff.failover_window_s() * self._random.random() if can_fail_over else None

    def schedule_full_snapshot(self, now: float) -> None:
        """Request the full list later, of another instance if there is one: the one that came is suspect.

        Updates after its version do not mention what it has left out. Until then it is watched all the same,
        for what it does say.
        """
        self._requests.schedule_full_snapshot(now)

    def return_to_preferred_instance(self, now: float) -> bool:
        """Switch back to the preferred instance if that is due; return whether it was."""
        if not self._is_self_hosted or not self.instances.return_to_preferred(now):
            return False
        self.index = FULL_SNAPSHOT
        return True

    def next_cross_check(self, now: float, is_contradicted: bool) -> Address | None:
        """Return another instance whose list is to be compared with ours now; None if that is not due.

        `is_contradicted` is whether servers contradict our list.
        """
        if not self.instances.other_count or self.index < 0:
            return None
        if not self._cross_checks.take_due(now, is_contradicted):
            return None
        return self.instances.choose_other()

    def record_cross_check(self, ours: ListVersion, other: ListVersion, is_contradicted: bool) -> bool:
        """Return whether our instance is stale; if so, the other one is watched from now on."""
        if other.address == ours.address:
            return False
        if not self.instances.switch_if_stale(ours, other, is_contradicted):
            return False
        self.stale_instance_count += 1
        self.index = FULL_SNAPSHOT
        return True
