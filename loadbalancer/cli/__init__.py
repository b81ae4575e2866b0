"""The operators' command `irondrum`; the platform starts `python -m loadbalancer`."""

from loadbalancer.cli.main import main

__all__ = ["main"]
