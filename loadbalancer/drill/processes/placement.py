"""Where one process of a drill runs: its kind, address, zone and tier."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from loadbalancer.drill.links.listener import Address

FIRST_TIER = "first"
SECOND_TIER = "inner"


class ProcessKind(StrEnum):
    """The kinds of processes in a drill."""

    BALANCER = "balancer"
    SERVER = "server"
    ENDPOINT_LIST = "list"
    REGISTRY = "directory"
    CLIENTS = "clients"


@dataclass
class Placement:
    """Where a process runs; `tier` is the one that it balances or belongs to."""

    name: str
    kind: ProcessKind
    host: str
    zone: str = ""
    tier: str = ""
    port: int = 0
    console: str = ""
    gossip_address: Address = ("", 0)  # where it receives its tier's gossip
    started_at_ms: float = 0.0
    status: str = "in_service"
    version: str = ""
    is_list_moved: bool = False
    """Whether it uses the endpoint list's other address."""

    @property
    def address(self) -> Address:
        """The address that it listens on."""
        return self.host, self.port


def format_address(address: Address) -> str:
    """Return an address as `host:port`."""
    return f"{address[0]}:{address[1]}"
