"""Defects in evacuating zones."""

from __future__ import annotations

from dataclasses import replace

from loadbalancer.policy.zones import ZoneEvacuations


def moves_at_once() -> None:
    """Evacuate zones and return to them at once, whatever duration operators gave."""
    real = ZoneEvacuations.apply
    ZoneEvacuations.apply = lambda self, event: real(self, replace(event, duration_ms=0.0))  # type: ignore[method-assign]


def never_returns() -> None:
    """Never return to an evacuated zone."""
    real = ZoneEvacuations.apply
    ZoneEvacuations.apply = lambda self, event: real(self, replace(event, is_evacuating=True))  # type: ignore[method-assign]
