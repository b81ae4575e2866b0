"""Queue the requests that wait until a server has capacity for them."""

from __future__ import annotations

from bisect import insort

from loadbalancer.policy.requests import Request


class WaitQueue:
    """Waiting requests in the order of `Request.queue_order`."""

    def __init__(self) -> None:
        self._waiting: list[Request] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: Request) -> None:
        """Queue a request behind those with a higher weight, and those that must be served sooner."""
        request.is_waiting = True
        insort(self._waiting, request, key=Request.queue_order)

    def discard(self, request: Request) -> None:
        """Remove a request; do nothing if it is not waiting."""
        if request.is_waiting:
            request.is_waiting = False
            self._waiting.remove(request)

    def first(self) -> Request | None:
        """Return the request that is served next."""
        return self._waiting[0] if self._waiting else None

    def last(self) -> Request:
        """Return the request that would be served last; the queue must not be empty."""
        return self._waiting[-1]
