"""Where the commands print: the terminal, or a pipe, in which nothing is cut off."""

from __future__ import annotations

import sys

from rich.console import Console

PIPE_WIDTH_COLUMNS = 240


def output_console() -> Console:
    """Return standard output, as wide as the terminal, or wide enough where there is none."""
    return Console(width=None if sys.stdout.isatty() else PIPE_WIDTH_COLUMNS)
