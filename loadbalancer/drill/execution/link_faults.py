"""The link faults that a drill has set, by name, so that each is cleared where it was set."""

from __future__ import annotations

from loadbalancer.drill.errors import DrillError
from loadbalancer.drill.history import HistoryWriter
from loadbalancer.drill.links.faults import LinkFault
from loadbalancer.drill.links.tcp import TcpLink
from loadbalancer.drill.links.udp import DatagramLink
from loadbalancer.drill.processes.topology import Topology


class LinkFaults:
    """Sets faults on the links of a pattern, and records them."""

    def __init__(self, topology: Topology, history: HistoryWriter) -> None:
        self._topology = topology
        self._history = history
        self._faulty_links: dict[str, list[TcpLink | DatagramLink]] = {}

    def set(self, name: str, pattern: str, fault: LinkFault, direction: str = "both") -> None:
        """Set a fault; DrillError if no link is of the pattern."""
        links = self._topology.matching(pattern)
        if not links:
            raise DrillError(f"no link is called {pattern!r}; there are {', '.join(self._topology.links)}")
        self._record(name, links, on=True)
        self._faulty_links.setdefault(name, []).extend(links)
        for link in links:
            link.set(name, fault, direction)

    def clear(self, name: str) -> None:
        """Clear a fault from all links that it was set on."""
        links = self._faulty_links.pop(name, [])
        self._record(name, links, on=False)
        for link in links:
            link.clear(name)

    def _record(self, name: str, links: list[TcpLink | DatagramLink], *, on: bool) -> None:
        self._history.write("fault", kind=name, on=on, targets=[link.name for link in links])
