"""The processes of a drill: where each runs, and the links between them."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from fnmatch import fnmatchcase
from itertools import permutations

from loadbalancer.drill.links.listener import Address
from loadbalancer.drill.links.tcp import TcpLink
from loadbalancer.drill.links.udp import DatagramLink
from loadbalancer.drill.processes.addresses import LoopbackAddresses, find_free_port
from loadbalancer.drill.processes.placement import (
    FIRST_TIER,
    SECOND_TIER,
    Placement,
    ProcessKind,
    format_address,
)
from loadbalancer.drill.scenario.steps import ReloadConfiguration
from loadbalancer.drill.scenario.tables import DrillScenario, discovery_names

MOVED_SUFFIX = "~moved"
"""Follows a balancer's name in that of its link to the endpoint list's other address."""


class Topology:
    """The placements of a drill's processes, and the links that join them."""

    def __init__(self, scenario: DrillScenario, seed: int, on_unexpected_call: Callable[[str], None]) -> None:
        """Place all processes; `on_unexpected_call` gets the name of a link that calls a removed server."""
        self.scenario = scenario
        self._addresses = LoopbackAddresses()
        self.placements: dict[str, Placement] = {}
        self.links: dict[str, TcpLink] = {}
        self.datagram_links: dict[str, DatagramLink] = {}  # for gossip between balancers
        self._random = random.Random(f"{seed}/links")
        self._add_placements()
        for source_name, target_name in self._call_paths():
            source, target = self.placements[source_name], self.placements[target_name]
            self._add_link(f"{source_name}>{target_name}", source, target, on_unexpected_call)
        if any(isinstance(step, ReloadConfiguration) for step in scenario.step):
            for source in self.balancers(FIRST_TIER):
                for target in self.endpoint_lists():
                    name = f"{source.name}{MOVED_SUFFIX}>{target.name}"
                    self._add_link(name, source, target, on_unexpected_call)

    def _add_link(
        self, name: str, source: Placement, target: Placement, on_unexpected_call: Callable[[str], None]
    ) -> None:
        link = TcpLink(
            name, source.host, self._addresses.next_host(), target.address, self._random, on_unexpected_call
        )
        link.start()
        self.links[link.name] = link

    def _add_placements(self) -> None:
        fleet = self.scenario.fleet
        zones = fleet.zones
        for index in range(fleet.balancers):
            self._add_balancer(f"b{index}", zones[index % len(zones)], FIRST_TIER)
        for index in range(fleet.servers):
            zone = zones[index % len(zones)]
            self._add_placement(f"s{index}", ProcessKind.SERVER, zone, FIRST_TIER)
            if fleet.second_tier_servers:
                self._add_balancer(f"s{index}.b", zone, SECOND_TIER)
        for index in range(fleet.second_tier_servers):
            self._add_placement(f"t{index}", ProcessKind.SERVER, zones[index % len(zones)], SECOND_TIER)
        for name in discovery_names(fleet):
            placement = self._add_placement(name, ProcessKind(name.rstrip("0123456789")))
            if placement.kind is ProcessKind.REGISTRY:
                placement.port = self.reserve_port(placement.host)
        self._add_placement("clients", ProcessKind.CLIENTS)

    def _add_placement(self, name: str, kind: ProcessKind, zone: str = "", tier: str = "") -> Placement:
        placement = Placement(name, kind, self._addresses.next_host(), zone, tier)
        self.placements[name] = placement
        return placement

    def _add_balancer(self, name: str, zone: str, tier: str) -> None:
        placement = self._add_placement(name, ProcessKind.BALANCER, zone, tier)
        host = placement.host
        placement.port = self.reserve_port(host)
        placement.console = format_address((host, self.reserve_port(host)))
        placement.gossip_address = (host, find_free_port(host))

    async def start_datagram_links(self) -> None:
        """Start the gossip links: each balancer sees every other one at a separate address."""
        if not self.scenario.fleet.has_membership:
            return
        pairs = list(permutations(self.balancers(FIRST_TIER), 2))
        for source, target in pairs:
            link = DatagramLink(f"{source.name}>{target.name}", target.gossip_address, self._random)
            await link.start(self._addresses.next_host())
            self.datagram_links[link.name] = link
        for source, target in pairs:
            reverse_link = self.datagram_links[f"{target.name}>{source.name}"]
            self.datagram_links[f"{source.name}>{target.name}"].reverse_link = reverse_link

    def reserve_port(self, host: str) -> int:
        """Return a port of a process's address that no other process gets."""
        return self._addresses.reserve_port(host)

    def _call_paths(self) -> Iterator[tuple[str, str]]:
        """Yield the names of each caller and of each process that it calls."""
        for balancer in self.balancers():
            yield from ((balancer.name, each.name) for each in self.endpoint_lists())
            yield from ((balancer.name, server.name) for server in self.servers(balancer.tier))
            is_sidecar = balancer.tier == SECOND_TIER
            yield balancer.name.removesuffix(".b") if is_sidecar else "clients", balancer.name
        if self.scenario.fleet.uses_registry:
            instances = self.registry_instances()
            for server in self.servers():
                yield from ((server.name, instance.name) for instance in instances)
            for endpoint_list, instance in zip(self.endpoint_lists(), instances, strict=True):
                yield endpoint_list.name, instance.name
            yield from ((a.name, b.name) for a, b in permutations(instances, 2))

    # ---- lookup ---------------------------------------------------------------------------------

    def _of_kind(self, kind: ProcessKind, tier: str = "") -> list[Placement]:
        return [p for p in self.placements.values() if p.kind is kind and tier in ("", p.tier)]

    def balancers(self, tier: str = "") -> list[Placement]:
        """Return the balancers of a tier, or all."""
        return self._of_kind(ProcessKind.BALANCER, tier)

    def servers(self, tier: str = "") -> list[Placement]:
        """Return the servers of a tier, or all."""
        return self._of_kind(ProcessKind.SERVER, tier)

    def endpoint_lists(self) -> list[Placement]:
        """Return the test servers that balancers ask for the endpoint list."""
        return self._of_kind(ProcessKind.ENDPOINT_LIST)

    def registry_instances(self) -> list[Placement]:
        """Return the instances of the real registry; none where a test server keeps the list."""
        return self._of_kind(ProcessKind.REGISTRY)

    def with_companion(self, name: str) -> list[str]:
        """Return a process, and its sidecar balancer, which starts and stops with it."""
        return [each for each in (name, f"{name}.b") if each in self.placements]

    def links_to(self, name: str) -> list[TcpLink]:
        """Return the links to a process."""
        return [link for link in self.links.values() if link.name.endswith(f">{name}")]

    def matching(self, pattern: str) -> list[TcpLink | DatagramLink]:
        """Return the links that match a pattern such as `b*>s1`; `@east` is any process in that zone."""
        all_links: dict[str, TcpLink | DatagramLink] = {**self.links, **self.datagram_links}
        source, _, target = pattern.partition(">")
        return [
            link
            for name, link in all_links.items()
            if fnmatchcase(name, pattern) or (target and self._connects(name, source, target))
        ]

    def _connects(self, link: str, source: str, target: str) -> bool:
        """Return whether a link's source and target each match their pattern."""
        ends = zip(link.split(">"), (source, target), strict=True)
        return all(
            self.placements[name].zone == pattern[1:]
            if pattern.startswith("@")
            else fnmatchcase(name, pattern)
            for name, pattern in ends
        )

    def on_listening(self, name: str, address: Address) -> None:
        """Point the links to a process at the address that it listens on now."""
        for link in self.links_to(name):
            link.update_target(is_up=True, is_withdrawn=False, target=address)

    def close(self) -> None:
        """Close the links, and release the reserved ports."""
        for link in self.matching("*"):
            link.close()
        self._addresses.close()
