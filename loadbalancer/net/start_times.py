"""Start times of servers on this process's clock, also after the system's clock has been set.

The list gives them in Unix time, which all machines read from one clock. If that clock is set, the start
times of servers that start from then on are off by the step; this process's clock goes on as before.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from loadbalancer.net.config import AddressedEndpoint, EndpointList

MIN_STEP_MS = 1_000.0  # less is the clock's ordinary adjustment
MAX_REMEMBERED_STEPS = 4


@dataclass(frozen=True, slots=True)
class _StartTime:
    """The start time of one server."""

    listed_ms: float
    converted_ms: float


class StartTimes:
    """Converts the start times of a list, each once, so that a server keeps its own."""

    def __init__(self, now_ms: Callable[[], float], system_ms: Callable[[], float]) -> None:
        """`now_ms` is this process's clock, `system_ms` the system's; both are Unix ms."""
        self._now_ms = now_ms
        self._system_ms = system_ms
        self._known: dict[str, _StartTime] = {}
        self._steps_ms = [0.0]  # of the system's clock against ours, the latest last

    def convert(self, update: EndpointList) -> EndpointList:
        """Return a list with the start times of its servers on this process's clock."""
        self._detect_step()
        endpoints = tuple([self._convert(endpoint) for endpoint in update.endpoints])
        if update.is_full_snapshot:
            listed = {endpoint.endpoint.server for endpoint in endpoints}
            self._known = {server: known for server, known in self._known.items() if server in listed}
        return replace(update, endpoints=endpoints)

    def _detect_step(self) -> None:
        step_ms = self._system_ms() - self._now_ms()
        if all(abs(step_ms - known_ms) >= MIN_STEP_MS for known_ms in self._steps_ms):
            self._steps_ms = [*self._steps_ms, step_ms][-MAX_REMEMBERED_STEPS:]

    def _convert(self, addressed: AddressedEndpoint) -> AddressedEndpoint:
        endpoint = addressed.endpoint
        known = self._known.get(endpoint.server)
        if known is None or known.listed_ms != endpoint.started_at_ms:
            known = _StartTime(endpoint.started_at_ms, self._on_own_clock(endpoint.started_at_ms))
            self._known[endpoint.server] = known
        if known.converted_ms == endpoint.started_at_ms:
            return addressed
        return replace(addressed, endpoint=replace(endpoint, started_at_ms=known.converted_ms))

    def _on_own_clock(self, listed_ms: float) -> float:
        """Return the latest start that a listed one can mean: a server counts as warming up in doubt."""
        if listed_ms <= 0 or len(self._steps_ms) == 1:
            return listed_ms
        latest_ms = self._now_ms() + MIN_STEP_MS
        possible_ms = [listed_ms - step_ms for step_ms in self._steps_ms]
        return max((ms for ms in possible_ms if ms <= latest_ms), default=min(possible_ms))
