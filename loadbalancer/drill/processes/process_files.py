"""What each process of a drill is told: specifications, configurations, commands, environments."""

from __future__ import annotations

import json
import os
import random
import shlex
import sys
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer.drill.links.tcp import Address
from loadbalancer.drill.processes.placement import FIRST, INNER, Fleet, Spot
from loadbalancer.drill.scenario.definition import Version
from loadbalancer.drill.servers import clients, endpoint_list, upstream

SNAPSHOT_MS = 500.0
SERVICE_DEFECTS = (  # those of the list service: see `plants`
    "believes-lapses", "reuses-versions", "lapses-unheard", "takes-drains-back", "keeps-old-starts",
)  # fmt: skip
ROOT = Path(__file__).parents[3]
WORK_OF_INNER = 0.5  # of a class's work, for each call


class Papers:
    """Writes the files that the processes of a fleet read at their start, into one folder."""

    def __init__(self, fleet: Fleet, seed: int, out: Path, offset_ms: float) -> None:
        self._fleet, self._seed, self.out, self._offset = fleet, seed, out, offset_ms

    def entry(self, spot: Spot) -> dict[str, Any]:
        """A server as the list shows it, but for its address."""
        cores = float(self._fleet.script.server.cores)
        return {
            "name": spot.name, "zone": spot.zone, "type": "m", "group": 0, "weight": cores,
            "status": spot.status, "since_ms": spot.since_ms,
        }  # fmt: skip

    def _place(self, spot: Spot) -> dict[str, Any]:
        return {
            "name": spot.name, "listen": spot.host, "port": spot.port, "folder": str(self.out),
            "offset_ms": self._offset, "seed": self._seed,
        }  # fmt: skip

    def spec(self, spot: Spot) -> Path:
        """The file that tells a stand-in what it is."""
        place = self._place(spot)
        told: msgspec.Struct
        if spot.kind == "server":
            beside = self._fleet.links.get(f"{spot.name}>{spot.name}.b")
            part = WORK_OF_INNER if spot.tier == INNER else 1.0
            told = upstream.Spec(
                **place, zone=spot.zone, model=self._fleet.script.server, since_ms=spot.since_ms,
                version=self._fleet.script.versions.get(spot.version, Version()),
                work_ms={c.name: c.work_ms * part for c in self._fleet.script.load.classes},
                calls=text(beside.address) if beside else "", tier=spot.tier,
                directory=self._services(spot.name), lease_ms=self._fleet.script.fleet.lease_s * 1_000,
            )  # fmt: skip
        elif spot.kind == "list":
            tiers = {t: [self.entry(s) for s in self._fleet.servers(t)] for t in (FIRST, INNER)}
            askers = {b.host: b.tier for b in self._fleet.balancers()}
            ways = {b.host: self._ways(b) for b in self._fleet.balancers()}
            told = endpoint_list.Spec(
                **place, askers=askers, tiers=tiers, addresses=ways, service=self._services(spot.name)
            )
        else:
            fronts = {b.name: self._way("clients", b.name) for b in self._fleet.balancers(FIRST)}
            told = clients.Spec(**place, balancers=fronts, load=self._fleet.script.load)
        path = self.out / f"{spot.name}.spec.json"
        path.write_bytes(msgspec.json.encode(told))
        return path

    def _way(self, one: str, other: str) -> str:
        """Where a process reaches another."""
        return text(self._fleet.links[f"{one}>{other}"].address)

    def _ways(self, balancer: Spot) -> dict[str, str]:
        return {s.name: self._way(balancer.name, s.name) for s in self._fleet.servers(balancer.tier)}

    def _services(self, name: str) -> str:
        """Where a process reaches the real list service, its own first instance first; empty for none."""
        names = [one.name for one in self._fleet.instances()]
        first = sum(name.encode()) % max(len(names), 1)
        ways = [self._fleet.links.get(f"{name}>{one}") for one in names[first:] + names[:first]]
        return ",".join(text(link.address) for link in ways if link)

    def directory(self, spot: Spot) -> Path:
        """The file that tells an instance of the real list service what it is."""
        path, all_ = self.out / f"{spot.name}.toml", self._fleet.instances()
        lines = [f'listen = "{spot.host}:{spot.port}"', f'database = "{self.database(spot.name)}"']
        if len(all_) > 1:
            at = [f"{o.host}:{o.port}" if o is spot else self._way(spot.name, o.name) for o in all_]
            lines += [f"instances = {json.dumps(at)}", f"instance = {all_.index(spot)}"]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def database(self, name: str) -> Path:
        """The file of an instance of the real list service."""
        return self.out / f"{name}.sqlite"

    def config(self, spot: Spot, console: str = "") -> Path:
        """The configuration of a balancer, in the platform's form."""
        model, load, bounds = self._fleet.script.server, self._fleet.script.load, self._fleet.script.bounds
        tier = self._fleet.balancers(spot.tier)
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
            "discovery": text(self._fleet.links[f"{spot.name}>list"].address),
            "console": console or spot.console,
            "seed": f"{random.Random(f'{self._seed}/{spot.name}').getrandbits(63):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
        if self._fleet.ways and spot.tier == FIRST:
            settings["limits"]["peers"] = True
            told |= {
                "membership": True,
                "peer_listen": text(spot.notes),
                "peers": [text(spot.notes if o is spot else self._seen(spot, o)) for o in tier],
            }
        if self._fleet.script.fleet.doubt:
            others = [self._way(spot.name, one.name) for one in self._fleet.lists()[1:]]
            wants = {"services": [spot.tier], "part": self._fleet.script.fleet.part}
            told |= {"lists": {"others": others} | (wants if self._fleet.script.fleet.interests else {})}
        if self._fleet.script.fleet.snapshots:
            told |= {"snapshots": str(self.out / f"{spot.name}.folder"), "snapshotEvery": SNAPSHOT_MS}
        path = self.out / f"{spot.name}.config.json"
        path.write_text(json.dumps(told), encoding="utf-8")
        return path

    def _seen(self, spot: Spot, other: Spot) -> Address:
        return self._fleet.ways[f"{spot.name}>{other.name}"].address


def text(address: Address) -> str:
    """An address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def run_argv(folder: Path | None, plant: str) -> list[str]:
    """How a balancer is started: as the deploy file of a folder says, where that folder was built.

    Where it was not, the same module is run by this interpreter, as in a checkout without `.venv`.
    """
    if plant and plant not in SERVICE_DEFECTS:
        return [sys.executable, "-m", "loadbalancer.drill.seeded_defects", plant]
    root = folder or ROOT
    deploy = root / "deploy" / "balancer.toml"
    if deploy.exists():
        argv = shlex.split(tomllib.loads(deploy.read_text(encoding="utf-8"))["run"])
        if argv[0] == "exec" and (root / argv[1]).exists():
            return argv[1:]
    return [sys.executable, "-m", "loadbalancer"]


def directory_argv(plant: str) -> list[str]:
    """How the real list service's command is started."""
    if plant in SERVICE_DEFECTS:
        return [sys.executable, "-m", "loadbalancer.drill.seeded_defects", plant]
    return [sys.executable, "-c", "from loadbalancer.cli import main; main()", "directory"]


def environment(folder: Path | None, **more: str) -> dict[str, str]:
    """What a process finds in its environment; the package is taken from `folder`."""
    return os.environ | {"PYTHONPATH": str(folder or ROOT)} | more
