"""Backoff after failed calls: within which time the next one begins, and how failover is spread."""

from __future__ import annotations

from loadbalancer.endpoint_watch.time_budget import (
    CONGESTED_RETRY_INTERVAL_S,
    answer_time_s,
    call_timeout_s,
    retry_interval_s,
)
from loadbalancer.interface import LIST_RETRY_JITTER, LIST_RETRY_MEAN_BACKOFF_MS

FAILOVER_SPREAD_PER_BALANCER_MS = 5.0  # the watches of an instance that dies fail over within so long each
CONGESTED_RETRY_PER_BALANCER_MS = LIST_RETRY_MEAN_BACKOFF_MS * (1 + LIST_RETRY_JITTER)
"""From failed call to call, for each balancer that may congest the platform's service."""
MAX_DOUBLINGS = 30  # keeps the power finite; the tier's own limit is reached long before


class RetryBackoff:
    """Holds how soon the next call follows a failed one, by the number of instances and the congestion."""

    def __init__(self, balancer_count: int, instance_count: int, *, is_self_hosted: bool) -> None:
        """`is_self_hosted` tells a list service of one's own from the platform's."""
        self._is_self_hosted = is_self_hosted
        self._congested_limit_s = (
            0.0 if is_self_hosted else CONGESTED_RETRY_PER_BALANCER_MS * balancer_count / 1_000
        )
        self._failover_spread_s = FAILOVER_SPREAD_PER_BALANCER_MS * balancer_count / 1_000
        self._start_spread_s = LIST_RETRY_MEAN_BACKOFF_MS * balancer_count / 1_000
        self._congested_calls = 0  # since the last answer
        self.set_instance_count(instance_count)

    def set_instance_count(self, instance_count: int) -> None:
        """Divide the time budget among so many instances from now on."""
        self.call_timeout_s = call_timeout_s(instance_count, self._is_self_hosted)
        """For a call that does not wait."""
        self._base_interval_s = retry_interval_s(instance_count, self._is_self_hosted)
        self.retry_within_s = self._base_interval_s
        """After the last failed call, the next one has to begin within so long."""

    def record_answer(self) -> None:
        """Note that a call was answered: there is no congestion."""
        self._congested_calls = 0

    def record_failure(self, duration_s: float, *, was_waiting: bool, rejected: bool) -> None:
        """Set `retry_within_s` after a failed call.

        `was_waiting` is a long poll that stood until it was broken off: it would have reported what there was
        until then, so that its duration does not count. A rejected call (`rejected`) that had to wait met
        congestion; a service of one's own shows how soon an uncongested one answers.
        """
        self._congested_calls += rejected and duration_s > answer_time_s(is_self_hosted=True)
        self.retry_within_s = max(self._interval_s() - (0.0 if was_waiting else duration_s), 0.0)

    def start_window_s(self) -> float:
        """Return the time over which the first requests of processes that start together are spread.

        It is bounded like the pause after a failed call, so that a change is known as soon as after one.
        """
        if self._is_self_hosted:
            return 0.0
        return min(self._start_spread_s, self._base_interval_s)

    def failover_window_s(self) -> float:
        """Return the time over which the balancers' calls to the next instance are spread."""
        return min(self._failover_spread_s, self.retry_within_s)

    def _interval_s(self) -> float:
        """Return the time from a failed call's beginning to the next one's, at the most.

        The platform's service takes calls in turn and ends those that waited too long. Calls that it takes
        too late cost it no less than others, so that a tier that goes on as before keeps it from answering
        anybody: each congested call in a row doubles the time, up to the tier's limit.
        """
        if not self._congested_calls:
            return self._base_interval_s
        doublings = min(self._congested_calls - 1, MAX_DOUBLINGS)
        backoff_s = min(self._congested_limit_s, CONGESTED_RETRY_INTERVAL_S * 2.0**doublings)
        return max(self._base_interval_s, backoff_s)
