"""Who there is in a drill: places with addresses, and the links between them."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from fnmatch import fnmatchcase

from loadbalancer.drill.links.tcp import Address, DatagramLink, Link
from loadbalancer.drill.scenario.definition import Script, services

FIRST, INNER = "first", "inner"
MOST_PLACES = 200 * 250
_BLOCKS = range(64, 255)


@dataclass
class Spot:
    """One process's place: its address, its zone, and the tier that it balances or belongs to."""

    name: str
    kind: str  # 'balancer', 'server', 'list' or 'clients'
    host: str
    zone: str = ""
    tier: str = ""
    port: int = 0
    console: str = ""
    notes: Address = ("", 0)  # where it hears the other balancers of its tier
    since_ms: float = 0.0
    status: str = "in_service"
    version: str = ""


class Addresses:
    """Addresses of the loopback network, each given out once."""

    def __init__(self) -> None:
        self._block = random.SystemRandom().choice(_BLOCKS)
        self._next = 0
        self._held: list[socket.socket] = []

    def host(self) -> str:
        """The next one."""
        self._next += 1
        if self._next > MOST_PLACES:
            raise OSError("a drill has no more addresses")
        return f"127.{self._block}.{self._next // 250}.{self._next % 250 + 1}"

    def port(self, host: str) -> int:
        """A port of one of them that nobody else gets: held, but not listened on, until `close`."""
        holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for option in (socket.SO_REUSEADDR, socket.SO_REUSEPORT):  # who is to listen there sets one of them
            holder.setsockopt(socket.SOL_SOCKET, option, 1)
        holder.bind((host, 0))
        self._held.append(holder)
        return int(holder.getsockname()[1])

    def close(self) -> None:
        """Hold no port any more."""
        for holder in self._held:
            holder.close()


def free_port(host: str) -> int:
    """A port of an address of our own that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Fleet:
    """The places of a drill's processes, and the links that join them."""

    def __init__(self, script: Script, seed: int, on_knock: Callable[[str], None]) -> None:
        """`on_knock` gets the name of a link over which somebody calls a server that is gone."""
        self.script = script
        self._addresses = Addresses()
        self.spots: dict[str, Spot] = {}
        self.links: dict[str, Link] = {}
        self.ways: dict[str, DatagramLink] = {}  # of notes between balancers
        self._chance = random.Random(f"{seed}/links")
        plan, zones = script.fleet, script.fleet.zones
        for index in range(plan.balancers):
            self._add_balancer(f"b{index}", zones[index % len(zones)], FIRST)
        for index in range(plan.servers):
            zone = zones[index % len(zones)]
            self._add(Spot(f"s{index}", "server", self._addresses.host(), zone, FIRST))
            if plan.inner:
                self._add_balancer(f"s{index}.b", zone, INNER)
        for index in range(plan.inner):
            self._add(Spot(f"t{index}", "server", self._addresses.host(), zones[index % len(zones)], INNER))
        for name in services(plan):
            kind, host = name.rstrip("0123456789"), self._addresses.host()
            self._add(Spot(name, kind, host, port=self.port(host) if kind == "directory" else 0))
        self._add(Spot("clients", "clients", self._addresses.host()))
        for one, other in self._ways():
            source, target = self.spots[one], self.spots[other]
            link = Link(
                f"{one}>{other}", source.host, self._addresses.host(), (target.host, target.port),
                self._chance, on_knock,
            )  # fmt: skip
            link.start()
            self.links[link.name] = link

    async def join_peers(self) -> None:
        """Make the ways of notes: each balancer sees each other one at an address of its own."""
        pairs = [(a, b) for a in self.balancers(FIRST) for b in self.balancers(FIRST) if a is not b]
        for one, other in pairs if self.script.fleet.peers else []:
            way = DatagramLink(f"{one.name}>{other.name}", other.notes, self._chance)
            await way.start(self._addresses.host())
            self.ways[way.name] = way
        for one, other in pairs if self.ways else []:
            self.ways[f"{one.name}>{other.name}"].exit = self.ways[f"{other.name}>{one.name}"]

    def _add(self, spot: Spot) -> None:
        self.spots[spot.name] = spot

    def port(self, host: str) -> int:
        """A port of a process's address that is held for it."""
        return self._addresses.port(host)

    def _add_balancer(self, name: str, zone: str, tier: str) -> None:
        host = self._addresses.host()
        spot = Spot(name, "balancer", host, zone, tier, self.port(host))
        spot.console = f"{host}:{self.port(host)}"
        spot.notes = (host, free_port(host))
        self._add(spot)

    def _ways(self) -> list[tuple[str, str]]:
        """Who calls whom."""
        ways = []
        for spot in self.balancers():
            ways += [(spot.name, one.name) for one in self.lists()]
            ways += [(spot.name, other.name) for other in self.servers(spot.tier)]
            ways.append((spot.name.removesuffix(".b") if spot.tier == INNER else "clients", spot.name))
        if self.script.fleet.directory:
            instances = self.instances()
            ways += [(spot.name, one.name) for spot in self.servers() for one in instances]
            ways += [(one.name, other.name) for one, other in zip(self.lists(), instances, strict=True)]
            ways += [(a.name, b.name) for a in instances for b in instances if a is not b]
        return ways

    # ---- who ------------------------------------------------------------------------------------

    def balancers(self, tier: str = "") -> list[Spot]:
        """Those of a tier, or all."""
        return [s for s in self.spots.values() if s.kind == "balancer" and tier in ("", s.tier)]

    def servers(self, tier: str = "") -> list[Spot]:
        """Those of a tier, or all."""
        return [s for s in self.spots.values() if s.kind == "server" and tier in ("", s.tier)]

    def lists(self) -> list[Spot]:
        """What balancers ask for the list."""
        return [s for s in self.spots.values() if s.kind == "list"]

    def instances(self) -> list[Spot]:
        """Those of the real list service; none where the stand-in keeps the list."""
        return [s for s in self.spots.values() if s.kind == "directory"]

    def beside(self, name: str) -> list[str]:
        """A process, and what starts and stops with it."""
        return [one for one in (name, f"{name}.b") if one in self.spots]

    def links_to(self, name: str) -> list[Link]:
        """The links that lead to a process."""
        return [link for link in self.links.values() if link.name.endswith(f">{name}")]

    def matching(self, pattern: str) -> list[Link | DatagramLink]:
        """The links, and ways of notes, of a pattern such as `b*>s1`; `@east` is whoever is of that zone."""
        every: dict[str, Link | DatagramLink] = {**self.links, **self.ways}
        one, _, other = pattern.partition(">")
        return [
            link
            for name, link in every.items()
            if fnmatchcase(name, pattern) or (other and self._is_of(name, one, other))
        ]

    def _is_of(self, link: str, one: str, other: str) -> bool:
        """Whether a link leads from somebody of one pattern to somebody of another."""
        ends = zip(link.split(">"), (one, other), strict=True)
        return all(
            self.spots[name].zone == pattern[1:] if pattern.startswith("@") else fnmatchcase(name, pattern)
            for name, pattern in ends
        )

    def reached(self, name: str, address: Address) -> None:
        """A process listens there now."""
        for link in self.links_to(name):
            link.put(up=True, barred=False, target=address)

    def close(self) -> None:
        """Take the links down."""
        for link in self.matching("*"):
            link.close()
        self._addresses.close()
