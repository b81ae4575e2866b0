"""Counters since the start of this process: requests by class and outcome, and attempts."""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.net.reports import BalancerStats

SUCCESS_STATUS = 200
REJECTION_STATUSES = frozenset({429, 503})


class RequestCounters:
    """Counts requests by class and outcome; each request is recorded at its start and once at its end."""

    def __init__(self, class_names: Iterable[str]) -> None:
        """Start each class at 0."""
        names = tuple(class_names)
        self._succeeded = dict.fromkeys(names, 0)
        self._rejected = dict.fromkeys(names, 0)
        self._failed = dict.fromkeys(names, 0)
        self._attempts = 0
        self._requests_in_flight = 0

    def record_request(self) -> None:
        """Record a request that has arrived and awaits its response."""
        self._requests_in_flight += 1

    def record_response(self, class_name: str, status: int | None) -> None:
        """Record the end of a request; the status is None if its client disconnected first."""
        self._requests_in_flight -= 1
        if status is None:
            return
        if status == SUCCESS_STATUS:
            counts = self._succeeded
        else:
            counts = self._rejected if status in REJECTION_STATUSES else self._failed
        counts[class_name] += 1

    def record_attempt(self) -> None:
        """Record an attempt that was written in full to an upstream."""
        self._attempts += 1

    def stats(self, listed_servers: int, ejected_servers: int) -> BalancerStats:
        """Return the counts together with the given numbers of servers."""
        return BalancerStats(
            succeeded=self._succeeded,
            rejected=self._rejected,
            failed=self._failed,
            attempts=self._attempts,
            requests_in_flight=self._requests_in_flight,
            listed_servers=listed_servers,
            ejected_servers=ejected_servers,
        )
