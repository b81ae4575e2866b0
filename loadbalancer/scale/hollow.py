"""Many hollow balancers in a process: each has the watch on real sockets and the decision module, no calls.

python -m loadbalancer.scale.hollow SPEC.json
"""

from __future__ import annotations

import asyncio
import contextvars
import gc
import json
import os
import sys
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from loadbalancer import interface
from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.patching import replace_global
from loadbalancer.drill.servers.specification import (
    ProcessSpecification,
    read_specification,
    receive_commands,
    send_message,
)
from loadbalancer.interface import Readiness, UpdateKind
from loadbalancer.net.config import AddressedEndpoint, Config, EndpointList
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.discovery import DiscoveryClient, call, connection
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list
from loadbalancer.net.upstream_response import UpstreamResponse
from loadbalancer.policy import Balancer
from loadbalancer.scale.plan import Plan, balancer_config
from loadbalancer.scale.second_counts import (
    TrafficCounts,
    report_each_second,
    run_helper,
    start_critical_task,
)

REMOVED_STATE = "gone"
ChangeKey = tuple[str, str]  # a server and its new state
ExpectedLists = dict[str, dict[str, list[Any]]]  # by tier and name: readiness and start time
MAX_CACHED_LISTS = 16  # decoded answers shared by the balancers of a host
UNUSED_LISTEN_ADDRESS = "127.0.0.1:1"  # a hollow balancer accepts no calls


class HollowSpecification(
    ProcessSpecification, kw_only=True, frozen=True, rename={"instance_addresses": "ways"}
):
    """Start parameters of a process that hosts hollow balancers."""

    plan: Plan
    numbers: list[int]
    instance_addresses: list[str]


@dataclass(slots=True)
class ChangeArrivals:
    """How many balancers of this host have applied a change, and when the last one did (Unix ms)."""

    count: int = 0
    last_ms: float = 0.0


class HollowBalancer:
    """One balancer: only the endpoint list handling of `net/proxy.py`."""

    def __init__(self, config: Config, host: HollowHost) -> None:
        self._host = host
        self._balancer = Balancer(config.settings, config.seed)
        self._discovery = DiscoveryClient(config, self._on_list, self._on_list_failure)
        self.list: dict[str, AddressedEndpoint] = {}
        self.name = config.name
        self._is_stopped = False
        self.subscribed_tiers = host.plan.subscribed_tiers(config.settings.balancer_index)
        self.began_ms = host.clock.now
        self.ready_ms: float | None = None  # when its first list arrived
        self.is_new = True  # started in this step: its first list does not count as changes
        self.bytes = 0  # in this second

    def start(self) -> None:
        """Start as the proxy does: with an empty list, then the first call for the list."""
        OWNER.set(self)
        self._apply_list(UpdateKind.CACHED, EndpointList(0, True, ()))

    def stop(self) -> None:
        """Stop as a killed process does."""
        self._is_stopped = True
        self._discovery.close()

    @property
    def index(self) -> int:
        """The version of its list."""
        return self._discovery.index

    def find_difference(self, expected: ExpectedLists) -> str:
        """Return the first difference from the registry's list in the subscribed tiers; empty if none.

        With subsets only the entries held are compared: only the registry knows which are in the subset.
        """
        listed = {
            name: state for tier in self.subscribed_tiers for name, state in expected.get(tier, {}).items()
        }
        known = {n: [e.endpoint.readiness.name, e.endpoint.started_at_ms] for n, e in self.list.items()}
        names = known if self._host.plan.subset_size else listed | known
        different = next((name for name in names if known.get(name) != listed.get(name)), "")
        if different:
            return (
                f"{self.name}: {different} held as {known.get(different)}, listed as {listed.get(different)}"
            )
        return "" if known else f"{self.name}: nothing held"

    def _on_list(self, answer: EndpointList) -> bool:
        if self.ready_ms is None:
            self.ready_ms = self._host.clock.now
        return self._apply_list(
            UpdateKind.FULL_SNAPSHOT if answer.is_full_snapshot else UpdateKind.DELTA, answer
        )

    def _apply_list(self, kind: UpdateKind, answer: EndpointList) -> bool:
        """Validate a list and apply it; return False if it is suspected stale."""
        endpoints = tuple([e.endpoint for e in answer.endpoints])
        update = self._balancer.validate(interface.EndpointListUpdate(kind, endpoints, answer.is_rewound))
        if update.suspected_stale or answer.is_rewound:
            addresses = {e.endpoint.server: e.address for e in (*self.list.values(), *answer.endpoints)}
            validated = [AddressedEndpoint(e, addresses[e.server]) for e in update.endpoints]
            answer = replace(answer, endpoints=tuple(validated))
        before = self.list
        if answer.is_full_snapshot:
            self.list = {}
        for addressed in answer.endpoints:
            self.list[addressed.endpoint.server] = addressed
            if addressed.endpoint.readiness is Readiness.DEAD:
                del self.list[addressed.endpoint.server]
        self._handle(update)
        if not self.is_new:
            self._host.record_changes(before, answer)
        return not update.suspected_stale

    def _on_list_failure(self) -> None:
        self._handle(self._discovery.failure_update())

    def _handle(self, event: interface.Event) -> None:
        now_ms = self._host.clock.now
        for action in self._balancer.handle(event, now_ms):
            if isinstance(action, interface.SetTimer):
                delay_s = max(action.at_ms - now_ms, 0.0) / 1_000
                asyncio.get_running_loop().call_later(
                    delay_s, self._handle, interface.TimerExpired(action.token)
                )
            elif isinstance(action, interface.WatchEndpointList) and not self._is_stopped:
                self._discovery.subscribe()


OWNER: contextvars.ContextVar[HollowBalancer] = contextvars.ContextVar("OWNER")


class CountedConnection(connection.Connection):
    """A connection to the registry whose calls and bytes are counted for its balancer."""

    def __init__(self) -> None:
        super().__init__()
        self._balancer = OWNER.get()
        self._instance = ""
        self._balancer._host.counts.connects += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the instance's address."""
        host, port = transport.get_extra_info("peername")[:2]
        self._instance = f"{host}:{port}"
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Count the bytes and pass them on to the parser."""
        self._count(len(data))
        super().data_received(data)

    async def call(self, request: bytes) -> UpstreamResponse:
        """Count the call and its bytes, and make it."""
        self._balancer._host.counts.calls[self._instance] += 1
        self._count(len(request))
        return await super().call(request)

    def _count(self, size: int) -> None:
        self._balancer._host.counts.bytes[self._instance] += size
        self._balancer.bytes += size


class HollowHost:
    """The hollow balancers of this process, and the changes that they have applied."""

    def __init__(self, spec: HollowSpecification) -> None:
        self._spec = spec
        self.clock = RealClock(spec.offset_ms)
        self.counts = TrafficCounts()
        self.plan = spec.plan
        self._hollows: dict[int, HollowBalancer] = {}
        self._arrivals: dict[ChangeKey, ChangeArrivals] = {}
        self._numbers = frozenset(spec.numbers)

    def handle_command(self, command: dict[str, Any]) -> None:
        """Handle a command of the driver: `start`, `stop`, `begin` a step, `report` on it."""
        numbers = command.get("numbers")
        match command["do"]:
            case "start":
                for number in self._numbers.intersection(numbers or ()):
                    self._start(number)
            case "stop":
                for number in numbers or ():
                    if hollow := self._hollows.pop(number, None):
                        hollow.stop()
            case "begin":
                self._arrivals.clear()
                for hollow in self._hollows.values():
                    hollow.is_new = False
            case "report":
                self._report(command)

    def _start(self, number: int) -> None:
        config = balancer_config(
            self._spec.plan, number, self._spec.instance_addresses, UNUSED_LISTEN_ADDRESS
        )
        hollow = HollowBalancer(read_config(json.dumps(config), lambda note: None), self)
        self._hollows[number] = hollow
        contextvars.copy_context().run(hollow.start)

    def record_changes(self, before: dict[str, AddressedEndpoint], update: EndpointList) -> None:
        """Record the changes that an applied list made to the balancer's previous list."""
        now_ms = self.clock.now
        for addressed in update.endpoints:
            endpoint = addressed.endpoint
            old = before.get(endpoint.server) if update.is_full_snapshot else None
            if old is None or old.endpoint != endpoint:
                self._record_change(endpoint, now_ms)
        if update.is_full_snapshot:
            listed = {e.endpoint.server for e in update.endpoints}
            for name, old in before.items():
                if name not in listed:
                    self._record_change(replace(old.endpoint, readiness=Readiness.DEAD), now_ms)

    def _record_change(self, endpoint: interface.Endpoint, now_ms: float) -> None:
        is_removed = endpoint.readiness is Readiness.DEAD
        state = f"{endpoint.readiness.name}/{endpoint.started_at_ms:.0f}"
        key = endpoint.server, REMOVED_STATE if is_removed else state
        arrivals = self._arrivals.get(key)
        if arrivals is None:
            arrivals = self._arrivals[key] = ChangeArrivals()
        arrivals.count += 1
        arrivals.last_ms = now_ms

    def _report(self, command: dict[str, Any]) -> None:
        """Write this step's applied changes and the stale balancers to a file; then reply."""
        expected = json.loads(Path(command["truth"]).read_text())
        differences = [hollow.find_difference(expected) for hollow in self._hollows.values()]
        stale = [difference for difference in differences if difference]
        stayed = Counter(tier for h in self._hollows.values() if not h.is_new for tier in h.subscribed_tiers)
        report = {
            "here": len(self._hollows),
            "stayed": dict(stayed),
            "stale": len(stale),
            "first_stale": next(iter(stale), ""),
            "ready_ms": [
                h.ready_ms - h.began_ms if h.ready_ms is not None else None
                for h in self._hollows.values()
                if h.is_new
            ],
            "seen": [[*key, arrived.count, arrived.last_ms] for key, arrived in self._arrivals.items()],
        }
        path = Path(self._spec.folder) / f"{self._spec.name}.report.json"
        path.write_text(json.dumps(report))
        send_message(done=command["id"], report=str(path))

    def take_counts(self) -> dict[str, object]:
        """Return the counts of the last second, and reset them."""
        for hollow in self._hollows.values():
            self.counts.max_balancer_bytes = max(self.counts.max_balancer_bytes, hollow.bytes)
            hollow.bytes = 0
        ready = sum(h.ready_ms is not None for h in self._hollows.values())
        return self.counts.take() | {"here": len(self._hollows), "ready": ready}


class SharedListReader:
    """Replaces `json` in `net/discovery/` to decode identical answers once; see `Plan.shared_reading`."""

    def __init__(self) -> None:
        self._lists: dict[bytes, EndpointList] = {}

    def loads(self, body: bytes) -> EndpointList:
        """Return the list in an answer; ValueError if the answer is not a list."""
        if body not in self._lists:
            while len(self._lists) >= MAX_CACHED_LISTS:
                del self._lists[next(iter(self._lists))]
            self._lists[body] = decode_endpoint_list(json.loads(body))
        return self._lists[body]


def _read_lists_once() -> None:
    """Share decoded lists among the balancers of this process."""
    replace_global(call, "json", SharedListReader())
    replace_global(call, "decode_endpoint_list", lambda update: update)


def _exit_on_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """End the process: a balancer that fails unnoticed would falsify all figures."""
    loop.default_exception_handler(context)
    sys.stderr.flush()
    os._exit(1)


async def serve() -> None:
    """Run hollow balancers until the driver closes standard input."""
    host, loop = HollowHost(read_specification(HollowSpecification)), asyncio.get_running_loop()
    loop.set_exception_handler(_exit_on_error)
    if host.plan.shared_reading:
        _read_lists_once()
    connection.Connection = CountedConnection  # type: ignore[misc]
    gc.freeze()
    task = start_critical_task(loop, report_each_second(host.take_counts))
    send_message(ready=True)
    await receive_commands(host.handle_command)
    task.cancel()


if __name__ == "__main__":
    run_helper(serve())
