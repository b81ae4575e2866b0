"""Record the events that reach the decision module of a proxy under test."""

from __future__ import annotations

from typing import Any

from loadbalancer import interface
from loadbalancer.interface import Outcome
from tests.loopback import ProxyHarness


def record_events(harness: ProxyHarness) -> list[Any]:
    """Return a list to which each event is added from now on, before the module handles it."""
    events: list[Any] = []
    handle = harness.proxy.balancer.handle

    def record(event: interface.Event, now: float) -> list[interface.Action]:
        events.append(event)
        return handle(event, now)

    harness.proxy.balancer.handle = record  # type: ignore[method-assign]
    return events


def attempt_outcomes(events: list[Any]) -> list[Outcome]:
    """Return the outcomes of the attempts that have ended, in their order."""
    return [event.outcome for event in events if isinstance(event, interface.AttemptEnded)]
