"""The command `irondrum`: for people. What the platform starts is `python -m basaltspindle`."""

from basaltspindle.cli.main import main

__all__ = ["main"]
