"""Defects in evacuating zones."""

from __future__ import annotations

from dataclasses import replace

from loadbalancer.policy.zones import ZoneEvacuations


def moves_at_once() -> None:
    """Leave a zone, and come back to it, at once, whatever time operators gave."""
    real = ZoneEvacuations.apply
    ZoneEvacuations.apply = lambda self, event: real(self, replace(event, duration_ms=0.0))  # type: ignore[method-assign]


def never_returns() -> None:
    """Never come back to a zone that was left."""
    real = ZoneEvacuations.apply
    ZoneEvacuations.apply = lambda self, event: real(self, replace(event, is_evacuating=True))  # type: ignore[method-assign]
