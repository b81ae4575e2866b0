"""Console output of the commands; tables sent to a pipe are not truncated."""

from __future__ import annotations

import sys

from rich.console import Console

PIPE_WIDTH_COLUMNS = 240


def output_console() -> Console:
    """Return a console on standard output, of fixed width if that is not a terminal."""
    return Console(width=None if sys.stdout.isatty() else PIPE_WIDTH_COLUMNS)
