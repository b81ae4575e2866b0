"""The counted ways of a scale run: between instances, and from each real balancer to each instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from loadbalancer.scale.relay import Relay


class Ways:
    """Relays, and what passed through them in each second."""

    def __init__(self, instances: list[str]) -> None:
        """`instances` are the addresses that they listen on themselves."""
        self._instances = instances
        self.between: dict[tuple[int, int], Relay] = {}
        self._real: dict[int, list[Relay]] = {}

    async def join(self) -> None:
        """Lay the instances' ways to one another."""
        for one in range(len(self._instances)):
            for other, at in enumerate(self._instances):
                if one != other:
                    way = self.between[one, other] = Relay(at)
                    await way.start()

    async def of_real(self, number: int) -> list[str]:
        """Lay a real balancer's ways to the instances; where it reaches them."""
        ways = self._real[number] = [Relay(at) for at in self._instances]
        for way in ways:
            await way.start()
        return [way.at for way in ways]

    def cut(self, is_cut: bool) -> None:
        """Part the instances from one another, or join them again."""
        for way in self.between.values():
            way.cut(is_cut)

    def second(self, second: int) -> Iterator[tuple[str, dict[str, Any]]]:
        """What passed since it was asked last, by the name of the process that it is booked for."""
        for number, ways in self._real.items():
            taken = {way.to: way.take() for way in ways}
            calls = {to: told["calls"] for to, told in taken.items()}
            passed = {to: told["bytes"] for to, told in taken.items()}
            yield f"b{number}", {"second": second, "calls": calls, "bytes": passed}
        exchanged, asked = Counter[int](), Counter[int]()
        for (asker, other), way in self.between.items():
            told = way.take()
            exchanged[asker] += told["bytes"]
            exchanged[other] += told["bytes"]
            asked[other] += told["calls"]
        for number in range(len(self._instances)):
            yield f"list{number}", {"second": second, "exchanged": exchanged[number], "asked": asked[number]}

    def close(self) -> None:
        """Listen no more."""
        for way in (*self.between.values(), *(way for ways in self._real.values() for way in ways)):
            way.close()
