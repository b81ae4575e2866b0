"""The figures that operators read: what this process has done so far, counted from 0."""

from __future__ import annotations

from collections.abc import Iterable

SERVED = 200
REJECTIONS = frozenset({429, 503})


class RequestCounters:
    """Counts of requests by class and ending, and of attempts; the proxy tells each ending once."""

    def __init__(self, classes: Iterable[str]) -> None:
        names = tuple(classes)
        self._succeeded = dict.fromkeys(names, 0)
        self._declined = dict.fromkeys(names, 0)
        self._aborted = dict.fromkeys(names, 0)
        self.attempts = self.in_flight = 0

    def record_request(self) -> None:
        """A request is here, and owed an answer."""
        self.in_flight += 1

    def record_response(self, class_name: str, status: int | None) -> None:
        """A request has had its final answer; None where its client left before."""
        self.in_flight -= 1
        if status is None:
            return
        if status == SERVED:
            counts = self._succeeded
        else:
            counts = self._declined if status in REJECTIONS else self._aborted
        counts[class_name] += 1

    def record_attempt(self) -> None:
        """An attempt has been written whole to an upstream."""
        self.attempts += 1

    def by_outcome(self) -> dict[str, dict[str, int]]:
        """The requests that have ended: by ending, then by class."""
        return {"succeeded": self._succeeded, "declined": self._declined, "aborted": self._aborted}

    def report(self, discovered: int, ejected: int) -> dict[str, object]:
        """All of it under the names that operators know."""
        return {
            **self.by_outcome(),
            "forwards": self.attempts,
            "outstanding": self.in_flight,
            "discovered": discovered,
            "ejected": ejected,
        }
