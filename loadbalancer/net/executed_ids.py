"""The IDs of requests that must not run twice: kept up to date by attempts, shared in a hot restart."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loadbalancer.interface import Idempotency, RequestClass
from loadbalancer.net.clock import Clock
from loadbalancer.net.downstream_request import DownstreamRequest
from loadbalancer.policy.executed_requests import ExecutedRequest, ExecutedRequests


class ExecutedIds:
    """Tells `ExecutedRequests` of the requests of classes that are not simply repeated."""

    def __init__(self, classes: Iterable[RequestClass], clock: Clock) -> None:
        self._guarded = {c.name for c in classes if c.idempotency is not Idempotency.IDEMPOTENT}
        self._clock = clock
        self._requests = ExecutedRequests()
        self.on_recorded: Callable[[], None] = lambda: None
        """Called when an ID was recorded."""

    def may_have_run(self, downstream: DownstreamRequest) -> bool:
        """Return whether a request of this ID may have run, and must not run again."""
        if downstream.class_name not in self._guarded:
            return False
        return self._requests.may_have_run(downstream.client_id(), self._clock.now())

    def record_sent(self, downstream: DownstreamRequest) -> None:
        """Record that an attempt of a request begins."""
        if downstream.class_name in self._guarded:
            self._requests.record_sent(downstream.client_id(), self._clock.now())
            self.on_recorded()

    def record_not_run(self, downstream: DownstreamRequest) -> None:
        """Record that no attempt of a request has run."""
        if downstream.class_name in self._guarded:
            self._requests.record_not_run(downstream.client_id())

    def export(self) -> list[ExecutedRequest]:
        """Return all IDs, for the other process of a hot restart."""
        return self._requests.export(self._clock.now())

    def take_unreported(self) -> list[ExecutedRequest]:
        """Return the IDs that were recorded since the last call, or since the export."""
        return self._requests.take_unreported(self._clock.now())

    def restore(self, requests: Iterable[ExecutedRequest]) -> None:
        """Add the IDs of the other process."""
        self._requests.restore(requests, self._clock.now())
