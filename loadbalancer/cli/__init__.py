"""The command `irondrum`: for people. What the platform starts is `python -m loadbalancer`."""

from loadbalancer.cli.main import main

__all__ = ["main"]
