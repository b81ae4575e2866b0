"""Errors of drills and scale runs that callers may catch."""

from __future__ import annotations


class DrillError(RuntimeError):
    """A drill or scale run could not be completed; the message is one line."""
