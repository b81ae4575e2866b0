"""Backoff after failed calls: the deadline for the next call, and the jitter of failovers."""

from __future__ import annotations

from loadbalancer.endpoint_watch.time_budget import (
    CONGESTED_RETRY_INTERVAL_S,
    answer_time_s,
    call_timeout_s,
    retry_interval_s,
)
from loadbalancer.interface import LIST_RETRY_JITTER, LIST_RETRY_MEAN_BACKOFF_MS

FAILOVER_SPREAD_PER_BALANCER_MS = 5.0  # spreads the failovers of watches when an instance dies
CONGESTED_RETRY_PER_BALANCER_MS = LIST_RETRY_MEAN_BACKOFF_MS * (1 + LIST_RETRY_JITTER)
"""Maximum retry interval per balancer of a tier that may congest the platform's service."""
MAX_DOUBLINGS = 30  # keeps the power finite; the tier's limit is reached long before


class RetryBackoff:
    """Determines how soon the next call follows a failed one, by instance count and congestion."""

    def __init__(self, balancer_count: int, instance_count: int, *, is_self_hosted: bool) -> None:
        """`is_self_hosted` distinguishes a self-hosted list service from the platform's."""
        self._is_self_hosted = is_self_hosted
        self._congested_limit_s = (
            0.0 if is_self_hosted else CONGESTED_RETRY_PER_BALANCER_MS * balancer_count / 1_000
        )
        self._failover_spread_s = FAILOVER_SPREAD_PER_BALANCER_MS * balancer_count / 1_000
        self._start_spread_s = LIST_RETRY_MEAN_BACKOFF_MS * balancer_count / 1_000
        self._congested_calls = 0  # since the last answer
        self.set_instance_count(instance_count)

    def set_instance_count(self, instance_count: int) -> None:
        """Divide the time budget among `instance_count` instances."""
        self.call_timeout_s = call_timeout_s(instance_count, self._is_self_hosted)
        """Timeout of a call that is not a long poll."""
        self._base_interval_s = retry_interval_s(instance_count, self._is_self_hosted)
        self.retry_within_s = self._base_interval_s
        """The time after the last failed call within which the next one must start."""

    def record_answer(self) -> None:
        """Reset the congestion count because a call was answered."""
        self._congested_calls = 0

    def record_failure(self, duration_s: float, *, was_waiting: bool, rejected: bool) -> None:
        """Set `retry_within_s` after a failed call.

        `was_waiting` marks a long poll that was held until it broke: it would have reported any update
        before, so its duration does not count. A call that was `rejected` after a wait has met congestion;
        the answer time of a self-hosted service is the measure of an uncongested one.
        """
        self._congested_calls += rejected and duration_s > answer_time_s(is_self_hosted=True)
        self.retry_within_s = max(self._interval_s() - (0.0 if was_waiting else duration_s), 0.0)

    def start_window_s(self) -> float:
        """Return the window over which the first requests of processes that start together are spread.

        It is bounded by the retry interval, so that a change is known as soon as after a failed call.
        """
        if self._is_self_hosted:
            return 0.0
        return min(self._start_spread_s, self._base_interval_s)

    def failover_window_s(self) -> float:
        """Return the window over which the balancers' calls to the next instance are spread."""
        return min(self._failover_spread_s, self.retry_within_s)

    def _interval_s(self) -> float:
        """Return the maximum time between the starts of a failed call and the next one.

        The platform's service queues calls and aborts those that waited too long, at the same cost as
        answering them. A tier that kept its rate would keep the service from answering any call, so each
        consecutive congested call doubles the interval, up to the tier's limit.
        """
        if not self._congested_calls:
            return self._base_interval_s
        doublings = min(self._congested_calls - 1, MAX_DOUBLINGS)
        backoff_s = min(self._congested_limit_s, CONGESTED_RETRY_INTERVAL_S * 2.0**doublings)
        return max(self._base_interval_s, backoff_s)
