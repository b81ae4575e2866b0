"""The files that a drill's processes read at startup: specifications and configurations."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

from loadbalancer.drill.processes.placement import (
    FIRST_TIER,
    SECOND_TIER,
    Placement,
    ProcessKind,
    format_address,
)
from loadbalancer.drill.processes.registry_config import write_registry_config
from loadbalancer.drill.processes.topology import MOVED_SUFFIX, Topology
from loadbalancer.drill.scenario.tables import ServerVersion
from loadbalancer.drill.servers.clients import ClientsSpecification
from loadbalancer.drill.servers.endpoint_list import EndpointListSpecification
from loadbalancer.drill.servers.specification import ProcessSpecification
from loadbalancer.drill.servers.upstream import UpstreamSpecification

SNAPSHOT_INTERVAL_MS = 500.0
SECOND_TIER_WORK = 0.5  # the fraction of a class's work that a second-tier call takes
CONFIGURED_EFFECTS = {"safe": "retryable", "unsafe": "fragile"}


class ProcessFiles:
    """Builds specifications, and writes configurations into one folder."""

    def __init__(self, topology: Topology, seed: int, out: Path, offset_ms: float) -> None:
        self._topology = topology
        self._scenario = topology.scenario
        self._seed = seed
        self.out = out
        self._offset_ms = offset_ms

    # ---- test servers ---------------------------------------------------------------------------

    def list_entry(self, server: Placement) -> dict[str, Any]:
        """Return a server's endpoint list entry, without its address."""
        cores = float(self._scenario.server.cores)
        return {
            "name": server.name, "zone": server.zone, "type": "m", "group": 0, "weight": cores,
            "status": server.status, "since_ms": server.started_at_ms,
        }  # fmt: skip

    def specification(self, placement: Placement) -> ProcessSpecification:
        """Return the specification of a test server or of the clients."""
        if placement.kind is ProcessKind.SERVER:
            return self._upstream_specification(placement)
        if placement.kind is ProcessKind.ENDPOINT_LIST:
            return self._endpoint_list_specification(placement)
        first_tier = self._topology.balancers(FIRST_TIER)
        balancers = {b.name: self._link_address("clients", b.name) for b in first_tier}
        fields = self._common_fields(placement)
        return ClientsSpecification(**fields, balancers=balancers, load=self._scenario.load)

    def _common_fields(self, placement: Placement) -> dict[str, Any]:
        return {
            "name": placement.name, "listen": placement.host, "port": placement.port,
            "folder": str(self.out), "offset_ms": self._offset_ms, "seed": self._seed,
        }  # fmt: skip

    def _upstream_specification(self, server: Placement) -> UpstreamSpecification:
        scenario = self._scenario
        sidecar = self._topology.links.get(f"{server.name}>{server.name}.b")
        work = SECOND_TIER_WORK if server.tier == SECOND_TIER else 1.0
        return UpstreamSpecification(
            **self._common_fields(server),
            zone=server.zone,
            model=scenario.server,
            started_at_ms=server.started_at_ms,
            version=scenario.versions.get(server.version, ServerVersion()),
            work_ms={c.name: c.work_ms * work for c in scenario.load.classes},
            next_tier=format_address(sidecar.address) if sidecar else "",
            tier=server.tier,
            registry=self._registry_addresses(server.name),
            lease_ms=scenario.fleet.lease_s * 1_000,
        )

    def _endpoint_list_specification(self, placement: Placement) -> EndpointListSpecification:
        topology = self._topology
        tiers = {t: [self.list_entry(s) for s in topology.servers(t)] for t in (FIRST_TIER, SECOND_TIER)}
        balancers = topology.balancers()
        return EndpointListSpecification(
            **self._common_fields(placement),
            balancer_tiers={b.host: b.tier for b in balancers},
            tiers=tiers,
            addresses={b.host: self._server_addresses(b) for b in balancers},
            registry=self._registry_addresses(placement.name),
        )

    # ---- addresses ------------------------------------------------------------------------------

    def _link_address(self, source: str, target: str) -> str:
        """Return the address at which a process reaches another."""
        return format_address(self._topology.links[f"{source}>{target}"].address)

    def _server_addresses(self, balancer: Placement) -> dict[str, str]:
        servers = self._topology.servers(balancer.tier)
        return {server.name: self._link_address(balancer.name, server.name) for server in servers}

    def _registry_addresses(self, name: str) -> str:
        """Return the registry's addresses for a process, rotated by its name; empty without a registry."""
        names = [instance.name for instance in self._topology.registry_instances()]
        start = sum(name.encode()) % max(len(names), 1)
        links = [self._topology.links.get(f"{name}>{each}") for each in names[start:] + names[:start]]
        return ",".join(format_address(link.address) for link in links if link)

    # ---- the registry ---------------------------------------------------------------------------

    def write_registry_config(self, instance: Placement) -> Path:
        """Write the configuration of an instance of the real registry."""
        path = self.out / f"{instance.name}.toml"
        instances = self._topology.registry_instances()
        listen = format_address(instance.address)
        write_registry_config(
            path,
            listen=listen,
            database=self.database_path(instance.name),
            instances=[
                listen if each is instance else self._link_address(instance.name, each.name)
                for each in instances
            ],
            number=instances.index(instance),
        )
        return path

    def database_path(self, name: str) -> Path:
        """Return the database file of an instance of the real registry."""
        return self.out / f"{name}.sqlite"

    # ---- balancers ------------------------------------------------------------------------------

    def write_balancer_config(self, balancer: Placement, console: str = "") -> Path:
        """Write a balancer's configuration in the platform's format; `console` overrides its own console."""
        settings = self._settings(balancer)
        config: dict[str, Any] = {
            "name": balancer.name,
            "listen": format_address(balancer.address),
            "discovery": self._link_address(
                balancer.name + (MOVED_SUFFIX if balancer.is_list_moved else ""), "list"
            ),
            "console": console or balancer.console,
            "seed": f"{random.Random(f'{self._seed}/{balancer.name}').getrandbits(63):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
        if self._topology.datagram_links and balancer.tier == FIRST_TIER:
            settings["limits"]["peers"] = True
            config |= self._membership_config(balancer)
        fleet = self._scenario.fleet
        if fleet.validates_lists:
            others = [self._link_address(balancer.name, e.name) for e in self._topology.endpoint_lists()[1:]]
            interest = {"services": [balancer.tier], "part": fleet.subset_size}
            config["lists"] = {"others": others} | (interest if fleet.subscribes_by_service else {})
        if fleet.stores_snapshots:
            folder = str(self.out / f"{balancer.name}.folder")
            config |= {"snapshots": folder, "snapshotEvery": SNAPSHOT_INTERVAL_MS}
        path = self.out / f"{balancer.name}.config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        return path

    def _settings(self, balancer: Placement) -> dict[str, Any]:
        """Return a balancer's settings as the platform gives them."""
        model, bounds = self._scenario.server, self._scenario.bounds
        tier = self._topology.balancers(balancer.tier)
        return {
            "classes": [
                {
                    "name": c.name, "target": c.latency_objective_ms, "deadline": c.deadline_ms,
                    "effect": CONFIGURED_EFFECTS[c.effect], "worth": c.priority_weight,
                }
                for c in self._scenario.load.classes
            ],
            "balancers": len(tier),
            "myNumber": tier.index(balancer),
            "tier": 0 if balancer.tier == FIRST_TIER else 1,
            "discovery": "ask",
            "zone": balancer.zone,
            "tick": 2.0,
            "limits": {
                "attemptsCap": 4, "connIdle": 60_000.0, "connectTimeout": 250.0, "mayCancel": True,
                "mayDuplicate": True, "retryAfter": True, "maxRetryAfter": 2_000.0,
            },
            "contract": {
                "drainGrace": bounds.drain_grace_s * 1_000, "askWithin": 10_000.0,
                "coldFrom": model.initial_capacity, "cold": model.warm_up_s * 1_000,
                "overloadFactor": bounds.max_overload_factor, "tipAfter": bounds.overload_window_s * 1_000,
            },
        }  # fmt: skip

    def _membership_config(self, balancer: Placement) -> dict[str, Any]:
        """Return the tier's members, each at the address to which this balancer sends its gossip."""
        links = self._topology.datagram_links
        return {
            "membership": True,
            "peer_listen": format_address(balancer.gossip_address),
            "peers": [
                format_address(
                    balancer.gossip_address
                    if other is balancer
                    else links[f"{balancer.name}>{other.name}"].address
                )
                for other in self._topology.balancers(balancer.tier)
            ],
        }
