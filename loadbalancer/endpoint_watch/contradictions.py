"""Detects contradictions of the endpoint list: servers listed as ready that answer no requests."""

from __future__ import annotations

from loadbalancer.interface import Outcome

SILENCE_THRESHOLD_S = 5.0  # a listed server unanswering for this long contradicts the list
_ANSWERED_OUTCOMES = frozenset({Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED})
_UNANSWERED_OUTCOMES = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMED_OUT})


class ContradictionDetector:
    """Tracks listed servers whose attempts go unanswered."""

    def __init__(self) -> None:
        self._silent_since: dict[str, float] = {}

    def record_outcome(self, server: str, outcome: Outcome, now: float) -> None:
        """Record the outcome of an attempt to a server."""
        if outcome in _UNANSWERED_OUTCOMES:
            self._silent_since.setdefault(server, now)
        elif self._silent_since and outcome in _ANSWERED_OUTCOMES:
            self._silent_since.pop(server, None)

    def forget_server(self, server: str) -> None:
        """Discard the record of a server because the list has updated it."""
        self._silent_since.pop(server, None)

    def silent_servers(self, now: float) -> list[str]:
        """Return the servers that have been silent for `SILENCE_THRESHOLD_S` or longer, sorted by name."""
        return sorted(
            name for name, since in self._silent_since.items() if now - since >= SILENCE_THRESHOLD_S
        )
