"""The IDs of requests that must not run twice: kept up to date by attempts, shared in a hot restart."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from loadbalancer.interface import Idempotency, RequestClass
from loadbalancer.net.clock import Clock
from loadbalancer.net.downstream_request import DownstreamRequest
from loadbalancer.policy.executed_requests import ExecutedRequest, ExecutedRequests


class OtherProcess(Protocol):
    """Another process of a hot restart, with which IDs are exchanged."""

    def report(self, requests: Iterable[ExecutedRequest]) -> None:
        """Send it IDs, at once."""

    def receive(self) -> None:
        """Handle at once what it has sent; this calls `restore`."""


class ExecutedIds:
    """Tells `ExecutedRequests` of the requests of classes that are not simply repeated."""

    def __init__(self, classes: Iterable[RequestClass], clock: Clock) -> None:
        self._guarded = {c.name for c in classes if c.idempotency is not Idempotency.IDEMPOTENT}
        self._clock = clock
        self._requests = ExecutedRequests()
        self._others: list[OtherProcess] = []

    def may_have_run(self, downstream: DownstreamRequest) -> bool:
        """Return whether a request of this ID may have run, and must not run again."""
        if downstream.class_name not in self._guarded:
            return False
        for other in tuple(self._others):
            other.receive()  # what it has sent may wait in the kernel
        return self._requests.may_have_run(downstream.client_id(), self._clock.now())

    def record_sent(self, downstream: DownstreamRequest) -> None:
        """Record that an attempt of a request begins; the other processes are told before this returns."""
        if downstream.class_name in self._guarded:
            self._report(self._requests.record_sent(downstream.client_id(), self._clock.now()))

    def record_not_run(self, downstream: DownstreamRequest) -> None:
        """Record that no attempt of a request has run."""
        if downstream.class_name in self._guarded:
            self._requests.record_not_run(downstream.client_id())

    def attach(self, other: OtherProcess) -> None:
        """Exchange IDs with another process from now on: it gets all that are known first."""
        self._others.append(other)
        other.report(self._requests.export(self._clock.now()))

    def detach(self, other: OtherProcess) -> None:
        """Exchange no more IDs with a process that has ended."""
        if other in self._others:
            self._others.remove(other)

    def restore(self, requests: Iterable[ExecutedRequest], source: OtherProcess) -> None:
        """Add the IDs that a process has sent, and pass on those that are new to the others."""
        self._report(self._requests.restore(requests, self._clock.now()), source)

    def _report(self, requests: list[ExecutedRequest], source: OtherProcess | None = None) -> None:
        for other in tuple(self._others):
            if other is not source and requests:
                other.report(requests)
