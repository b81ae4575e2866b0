"""Who there is in a drill: addresses, what each process is told, and the links between them."""

from __future__ import annotations

import json
import os
import random
import shlex
import socket
import sys
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import msgspec

from basaltspindle.drill import clients, lists, server
from basaltspindle.drill.links import Address, DatagramLink, Link
from basaltspindle.drill.script import Script, Version

SNAPSHOT_MS = 500.0
SERVICE_DEFECTS = ("believes-lapses", "reuses-versions")  # those of the list service: see `plants`
FIRST, INNER = "first", "inner"
ROOT = Path(__file__).parent.parent.parent
WORK_OF_INNER = 0.5  # of a class's work, for each call
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

    def __init__(
        self, script: Script, seed: int, out: Path, offset_ms: float, on_knock: Callable[[str], None]
    ) -> None:
        self.script, self.seed, self.out, self._offset = script, seed, out, offset_ms
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
        self._add(Spot("list", "list", self._addresses.host()))
        self._add(Spot("clients", "clients", self._addresses.host()))
        if plan.directory:
            host = self._addresses.host()
            self._add(Spot("directory", "directory", host, port=self.port(host)))
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
            ways.append((spot.name, "list"))
            ways += [(spot.name, other.name) for other in self.servers(spot.tier)]
            ways.append((spot.name.removesuffix(".b") if spot.tier == INNER else "clients", spot.name))
        if self.script.fleet.directory:
            ways += [(spot.name, "directory") for spot in self.servers()] + [("list", "directory")]
        return ways

    # ---- who ------------------------------------------------------------------------------------

    def balancers(self, tier: str = "") -> list[Spot]:
        """Those of a tier, or all."""
        return [s for s in self.spots.values() if s.kind == "balancer" and tier in ("", s.tier)]

    def servers(self, tier: str = "") -> list[Spot]:
        """Those of a tier, or all."""
        return [s for s in self.spots.values() if s.kind == "server" and tier in ("", s.tier)]

    def beside(self, name: str) -> list[str]:
        """A process, and what starts and stops with it."""
        return [name, *[f"{name}.b" for _ in [0] if f"{name}.b" in self.spots]]

    def links_to(self, name: str) -> list[Link]:
        """The links that lead to a process."""
        return [link for link in self.links.values() if link.name.endswith(f">{name}")]

    def matching(self, pattern: str) -> list[Link | DatagramLink]:
        """The links, and ways of notes, of a pattern such as `b*>s1`."""
        every: dict[str, Link | DatagramLink] = {**self.links, **self.ways}
        return [link for name, link in every.items() if fnmatchcase(name, pattern)]

    def reached(self, name: str, address: Address) -> None:
        """A process listens there now."""
        for link in self.links_to(name):
            link.put(up=True, barred=False, target=address)

    # ---- what each is told ----------------------------------------------------------------------

    def entry(self, spot: Spot) -> dict[str, Any]:
        """A server as the list shows it, but for its address."""
        cores = float(self.script.server.cores)
        return {
            "name": spot.name, "zone": spot.zone, "type": "m", "group": 0, "weight": cores,
            "status": spot.status, "since_ms": spot.since_ms,
        }  # fmt: skip

    def _place(self, spot: Spot) -> dict[str, Any]:
        return {
            "name": spot.name, "listen": spot.host, "port": spot.port, "folder": str(self.out),
            "offset_ms": self._offset, "seed": self.seed,
        }  # fmt: skip

    def spec(self, spot: Spot) -> Path:
        """The file that tells a stand-in what it is."""
        place = self._place(spot)
        told: msgspec.Struct
        if spot.kind == "server":
            beside = self.links.get(f"{spot.name}>{spot.name}.b")
            part = WORK_OF_INNER if spot.tier == INNER else 1.0
            told = server.Spec(
                **place, zone=spot.zone, model=self.script.server, since_ms=spot.since_ms,
                version=self.script.versions.get(spot.version, Version()),
                work_ms={c.name: c.work_ms * part for c in self.script.load.classes},
                calls=_text(beside.address) if beside else "", tier=spot.tier,
                directory=self._service(spot.name), lease_ms=self.script.fleet.lease_s * 1_000,
            )  # fmt: skip
        elif spot.kind == "list":
            tiers = {t: [self.entry(s) for s in self.servers(t)] for t in (FIRST, INNER)}
            askers = {b.host: b.tier for b in self.balancers()}
            ways = {
                b.host: {
                    s.name: _text(self.links[f"{b.name}>{s.name}"].address) for s in self.servers(b.tier)
                }
                for b in self.balancers()
            }
            told = lists.Spec(
                **place, askers=askers, tiers=tiers, addresses=ways, service=self._service(spot.name)
            )
        else:
            fronts = {b.name: _text(self.links[f"clients>{b.name}"].address) for b in self.balancers(FIRST)}
            told = clients.Spec(**place, balancers=fronts, load=self.script.load)
        path = self.out / f"{spot.name}.spec.json"
        path.write_bytes(msgspec.json.encode(told))
        return path

    def _service(self, name: str) -> str:
        """Where a process reaches the real list service; empty where there is none."""
        link = self.links.get(f"{name}>directory")
        return _text(link.address) if link else ""

    def directory(self) -> Path:
        """The file that tells the real list service what it is."""
        spot, path = self.spots["directory"], self.out / "directory.toml"
        path.write_text(
            f'listen = "{spot.host}:{spot.port}"\ndatabase = "{self.database}"\n', encoding="utf-8"
        )
        return path

    @property
    def database(self) -> Path:
        """The real list service's file."""
        return self.out / "directory.sqlite"

    def config(self, spot: Spot, console: str = "") -> Path:
        """The configuration of a balancer, in the platform's form."""
        model, load, bounds = self.script.server, self.script.load, self.script.bounds
        tier = self.balancers(spot.tier)
        effects = {"safe": "retryable", "unsafe": "fragile"}
        settings: dict[str, Any] = {
            "classes": [
                {
                    "name": c.name, "target": c.aim_ms, "deadline": c.deadline_ms,
                    "effect": effects[c.effect], "worth": c.worth,
                }
                for c in load.classes
            ],
            "balancers": len(tier),
            "myNumber": tier.index(spot),
            "tier": 0 if spot.tier == FIRST else 1,
            "discovery": "ask",
            "zone": spot.zone,
            "tick": 2.0,
            "limits": {
                "attemptsCap": 4, "connIdle": 60_000.0, "connectTimeout": 250.0, "mayCancel": True,
                "mayDuplicate": True, "retryAfter": True, "maxRetryAfter": 2_000.0,
            },
            "contract": {
                "drainGrace": bounds.drain_s * 1_000, "askWithin": 10_000.0,
                "coldFrom": model.cold_from, "cold": model.cold_s * 1_000,
                "overloadFactor": bounds.cold_multiple, "tipAfter": bounds.cold_window_s * 1_000,
            },
        }  # fmt: skip
        told: dict[str, Any] = {
            "name": spot.name,
            "listen": f"{spot.host}:{spot.port}",
            "discovery": _text(self.links[f"{spot.name}>list"].address),
            "console": console or spot.console,
            "seed": f"{random.Random(f'{self.seed}/{spot.name}').getrandbits(63):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
        if self.ways and spot.tier == FIRST:
            settings["limits"]["peers"] = True
            told |= {
                "membership": True,
                "peer_listen": _text(spot.notes),
                "peers": [_text(spot.notes if o is spot else self._seen(spot, o)) for o in tier],
            }
        if self.script.fleet.snapshots:
            told |= {"snapshots": str(self.out / f"{spot.name}.folder"), "snapshotEvery": SNAPSHOT_MS}
        path = self.out / f"{spot.name}.config.json"
        path.write_text(json.dumps(told), encoding="utf-8")
        return path

    def _seen(self, spot: Spot, other: Spot) -> Address:
        return self.ways[f"{spot.name}>{other.name}"].address

    def close(self) -> None:
        """Take the links down."""
        for link in self.matching("*"):
            link.close()
        self._addresses.close()


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def run_argv(folder: Path | None, plant: str) -> list[str]:
    """How a balancer is started: as the deploy file of a folder says, where that folder was built.

    Where it was not, the same module is run by this interpreter, as in a checkout without `.venv`.
    """
    if plant and plant not in SERVICE_DEFECTS:
        return [sys.executable, "-m", "basaltspindle.drill.plants", plant]
    root = folder or ROOT
    deploy = root / "deploy" / "balancer.toml"
    if deploy.exists():
        argv = shlex.split(tomllib.loads(deploy.read_text(encoding="utf-8"))["run"])
        if argv[0] == "exec" and (root / argv[1]).exists():
            return argv[1:]
    return [sys.executable, "-m", "basaltspindle"]


def directory_argv(plant: str) -> list[str]:
    """How the real list service's command is started."""
    if plant in SERVICE_DEFECTS:
        return [sys.executable, "-m", "basaltspindle.drill.plants", plant]
    return [sys.executable, "-c", "from basaltspindle.cli import main; main()", "directory"]


def environment(folder: Path | None, **more: str) -> dict[str, str]:
    """What a process finds in its environment; the package is taken from `folder`."""
    return os.environ | {"PYTHONPATH": str(folder or ROOT)} | more
