"""The errors of drills and scale runs that a caller may catch."""

from __future__ import annotations


class DrillError(RuntimeError):
    """A drill or scale run that could not be played to its end: one line."""
