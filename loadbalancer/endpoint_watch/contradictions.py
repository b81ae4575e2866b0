"""Contradictions of the endpoint list: servers that it calls ready and that answer nothing."""

from __future__ import annotations

from loadbalancer.interface import Outcome

SILENCE_THRESHOLD_S = 5.0  # a listed server without any answer for so long contradicts the list
_ANSWERED_OUTCOMES = frozenset({Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED})
_UNANSWERED_OUTCOMES = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMED_OUT})


class ContradictionDetector:
    """Detects servers whose attempts go unanswered although the list calls them ready."""

    def __init__(self) -> None:
        self._silent_since: dict[str, float] = {}

    def record_outcome(self, server: str, outcome: Outcome, now: float) -> None:
        """Record how an attempt at a server ended."""
        if outcome in _UNANSWERED_OUTCOMES:
            self._silent_since.setdefault(server, now)
        elif self._silent_since and outcome in _ANSWERED_OUTCOMES:
            self._silent_since.pop(server, None)

    def forget_server(self, server: str) -> None:
        """Drop what is recorded of a server, as the list has an update of it."""
        self._silent_since.pop(server, None)

    def silent_servers(self, now: float) -> list[str]:
        """Return the servers that have been silent for `SILENCE_THRESHOLD_S` or longer, sorted by name."""
        return sorted(
            name for name, since in self._silent_since.items() if now - since >= SILENCE_THRESHOLD_S
        )
