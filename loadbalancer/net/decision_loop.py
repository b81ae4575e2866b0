"""The event loop between the decision module and its I/O: events go in, actions are carried out in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from loadbalancer import interface
from loadbalancer.net.clock import Clock
from loadbalancer.net.log import Log
from loadbalancer.policy import Balancer

MAX_LOGGED_EVENT_CHARACTERS = 500  # an event may name thousands of servers; a log line must stay readable


class RequestTracker(Protocol):
    """Receives what the loop reports about the request of an event or an action."""

    def on_event_handled(self, request_id: int | None) -> None:
        """Record that an event has been handled; the ID is None if it belongs to no request."""

    def respond_with_error(self, request_id: int | None) -> None:
        """Send an error response to a request whose handling has failed, if it is still open."""


class DecisionLoop:
    """Passes events to the decision module one at a time and has its actions carried out."""

    def __init__(self, balancer: Balancer, clock: Clock, log: Log) -> None:
        """Create a loop; `attach` must be called before the first event."""
        self.balancer = balancer
        self._clock = clock
        self._log = log
        self._events: deque[interface.Event] = deque()
        self._is_dispatching = False
        self._requests: RequestTracker
        self._execute: Callable[[interface.Action], None]

    def attach(self, requests: RequestTracker, execute: Callable[[interface.Action], None]) -> None:
        """Set the request tracker and the action executor, whose constructors need the loop."""
        self._requests = requests
        self._execute = execute

    def dispatch(self, event: interface.Event) -> None:
        """Handle an event, and those that its actions cause.

        An event that an action causes at once waits until all actions before it have been carried out.
        """
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _handle(self, event: interface.Event) -> None:
        request_id = getattr(event, "request_id", None)
        try:
            actions = self.balancer.handle(event, self._clock.now())
        except Exception:
            # A bug in the decision module must cost only this request, never the process.
            self._log.exception(f"decision module failed to handle {event!r}"[:MAX_LOGGED_EVENT_CHARACTERS])
            self._requests.respond_with_error(request_id)
            actions = []
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                self._log.exception(f"could not carry out {action!r}")
                self._requests.respond_with_error(getattr(action, "request_id", None))
        self._requests.on_event_handled(request_id)
