"""The counted relays of a scale run: between instances, and from each real balancer to each instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from itertools import permutations
from typing import Any

from loadbalancer.scale.relay import Relay


class CountedRelays:
    """Relays, and what passed through them in each second."""

    def __init__(self, instances: list[str]) -> None:
        """Prepare relays to `instances`, the instances' own listen addresses."""
        self._instances = instances
        self.between_instances: dict[tuple[int, int], Relay] = {}
        self._by_balancer: dict[int, list[Relay]] = {}

    async def start(self) -> None:
        """Start the instances' relays to one another."""
        for source, target in permutations(range(len(self._instances)), 2):
            relay = Relay(self._instances[target])
            await relay.start()
            self.between_instances[source, target] = relay

    async def add_balancer(self, number: int) -> list[str]:
        """Start a real balancer's relays to the instances; return the relays' addresses."""
        relays = [Relay(address) for address in self._instances]
        for relay in relays:
            await relay.start()
        self._by_balancer[number] = relays
        return [relay.address for relay in relays]

    def set_partitioned(self, *, is_partitioned: bool) -> None:
        """Partition the instances from one another, or reconnect them."""
        for relay in self.between_instances.values():
            relay.set_cut(is_cut=is_partitioned)

    def take_counts(self, second: int) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yield what passed since the last call, as a row of the process that it is counted for."""
        for number, relays in self._by_balancer.items():
            counts = {relay.target: relay.take_counts() for relay in relays}
            calls = {target: count["calls"] for target, count in counts.items()}
            passed = {target: count["bytes"] for target, count in counts.items()}
            yield f"b{number}", {"second": second, "calls": calls, "bytes": passed}
        exchanged_bytes = Counter[int]()
        calls_received = Counter[int]()
        for (source, target), relay in self.between_instances.items():
            count = relay.take_counts()
            exchanged_bytes[source] += count["bytes"]
            exchanged_bytes[target] += count["bytes"]
            calls_received[target] += count["calls"]
        for number in range(len(self._instances)):
            row = {"exchanged": exchanged_bytes[number], "asked": calls_received[number]}
            yield f"list{number}", {"second": second} | row

    def close(self) -> None:
        """Stop listening."""
        of_balancers = (relay for relays in self._by_balancer.values() for relay in relays)
        for relay in (*self.between_instances.values(), *of_balancers):
            relay.close()
