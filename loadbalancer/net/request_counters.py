"""Counters since the start of this process: requests by class and outcome, attempts, and why things ended."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable

from loadbalancer.interface import Outcome
from loadbalancer.net.reports import BalancerStats

SUCCESS_STATUS = 200
REJECTION_STATUSES = frozenset({429, 503})


class CloseReason(enum.Enum):
    """Why a request was closed otherwise than by the end of an attempt or by the decision module."""

    CLIENT_DISCONNECTED = "client_disconnected"
    CLIENT_UNSEEN = "client_unseen"
    """Its client may have left unseen, and no server had got all of it."""
    DEADLINE = "deadline"
    """Its time was over, and nothing else had answered it."""
    REPEATED_ID = "repeated_id"
    """A request of its ID may have run, and must not run twice."""
    CUT_OFF = "cut_off"
    """Its response had begun, and its server did not finish it."""


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
        self._attempt_outcomes: Counter[str] = Counter()
        self._close_reasons: Counter[str] = Counter()
        self._rejected_inputs: Counter[str] = Counter()

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

    def record_attempt_end(self, outcome: Outcome) -> None:
        """Record how an attempt has ended, which tells why there was another one."""
        self._attempt_outcomes[outcome.value] += 1

    def record_close(self, reason: CloseReason) -> None:
        """Record why a request was closed."""
        self._close_reasons[reason.value] += 1

    def record_rejected_input(self, status: int) -> None:
        """Record what a client sent that was no acceptable request, by the status of the response."""
        self._rejected_inputs[str(status)] += 1

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
            attempt_outcomes=self._attempt_outcomes,
            close_reasons=self._close_reasons,
            rejected_inputs=self._rejected_inputs,
        )
