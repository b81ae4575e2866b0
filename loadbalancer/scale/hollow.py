"""Hollow balancers, many in a process: the watch on real sockets and the decision module, without calls.

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
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer import interface
from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.servers.specification import (
    ProcessSpecification,
    read_specification,
    receive_commands,
    send_message,
)
from loadbalancer.interface import Readiness, UpdateKind
from loadbalancer.net import discovery
from loadbalancer.net.config import AddressedEndpoint, Config, ServerList, read_config, read_list
from loadbalancer.net.upstream import UpstreamResponse
from loadbalancer.policy import Balancer
from loadbalancer.scale.plan import Plan, balancer_config
from loadbalancer.scale.second_counts import (
    TrafficCounts,
    report_each_second,
    run_helper,
    start_critical_task,
)

REMOVED_STATE = "gone"
Key = tuple[str, str]
ExpectedLists = dict[str, dict[str, list[Any]]]  # by tier and name: state and start
MAX_CACHED_LISTS = 16
UNUSED_LISTEN_ADDRESS = "127.0.0.1:1"  # nobody listens there: a hollow balancer takes no calls


class HollowSpecification(
    ProcessSpecification, kw_only=True, frozen=True, rename={"instance_addresses": "ways"}
):
    """What a host of hollow balancers is told."""

    plan: Plan
    numbers: list[int]
    instance_addresses: list[str]


class ChangeSightings(msgspec.Struct):
    """Of one change: how many balancers of this host have it, and when the last one had, Unix ms."""

    count: int = 0
    last_ms: float = 0.0


class HollowBalancer:
    """One balancer: what `net/proxy.py` does with its list, and nothing else."""

    def __init__(self, config: Config, host: HollowHost) -> None:
        self._host = host
        self._balancer = Balancer(config.settings, config.seed)
        self._discovery = discovery.Discovery(config, self._on_list, self._on_list_failure)
        self.list: dict[str, AddressedEndpoint] = {}
        self.name, self._stopped = config.name, False
        self.subscribed_tiers = host.plan.subscribed_tiers(config.settings.balancer_index)
        self.began_ms = host.clock.now
        self.ready_ms: float | None = None  # when it had its first list
        self.is_new = True  # begun in this step: what it is told is no change
        self.bytes = 0  # in this second

    def start(self) -> None:
        """Begin as the driver does: from nothing known, on to the first call for the list."""
        OWNER.set(self)
        self._apply_list(UpdateKind.CACHED, ServerList(0, True, ()))

    def stop(self) -> None:
        """End as a process does that is killed."""
        self._stopped = True
        for task in (self._discovery._task, self._discovery._comparing):
            if task is not None:
                task.cancel()
        self._discovery._close_link()
        self._discovery._late.drop()

    @property
    def index(self) -> int:
        """The version of its list."""
        return self._discovery._watch.index

    def differs(self, truth: ExpectedLists) -> str:
        """What it holds otherwise than the service lists it, of what it wants; empty for nothing.

        Of a part only what it holds is compared: which part it is, the service alone knows.
        """
        listed = {
            name: state for tier in self.subscribed_tiers for name, state in truth.get(tier, {}).items()
        }
        held = {n: [e.endpoint.readiness.name, e.endpoint.started_at_ms] for n, e in self.list.items()}
        names = held if self._host.plan.subset_size else listed | held
        found = next((name for name in names if held.get(name) != listed.get(name)), "")
        if found:
            return f"{self.name}: {found} held as {held.get(found)}, listed as {listed.get(found)}"
        return "" if held else f"{self.name}: nothing held"

    def _on_list(self, news: ServerList) -> bool:
        if self.ready_ms is None:
            self.ready_ms = self._host.clock.now
        return self._apply_list(UpdateKind.FULL_SNAPSHOT if news.whole else UpdateKind.DELTA, news)

    def _apply_list(self, kind: UpdateKind, news: ServerList) -> bool:
        members = tuple([e.endpoint for e in news.endpoints])
        update = self._balancer.validate(interface.EndpointListUpdate(kind, members, news.rewound))
        if update.suspected_stale or news.rewound:
            at = {e.endpoint.server: e.address for e in (*self.list.values(), *news.endpoints)}
            news = replace(
                news, endpoints=tuple([AddressedEndpoint(m, at[m.server]) for m in update.endpoints])
            )
        before = self.list
        if news.whole:
            self.list = {}
        for endpoint in news.endpoints:
            self.list[endpoint.endpoint.server] = endpoint
            if endpoint.endpoint.readiness is Readiness.DEAD:
                del self.list[endpoint.endpoint.server]
        self._handle(update)
        if not self.is_new:
            self._host.record_changes(before, news)
        return not update.suspected_stale

    def _on_list_failure(self) -> None:
        self._handle(self._discovery.failure())

    def _handle(self, event: interface.Event) -> None:
        now = self._host.clock.now
        for action in self._balancer.handle(event, now):
            if isinstance(action, interface.SetTimer):
                delay_s = max(action.at_ms - now, 0.0) / 1_000
                asyncio.get_running_loop().call_later(
                    delay_s, self._handle, interface.TimerExpired(action.token)
                )
            elif isinstance(action, interface.WatchEndpointList) and not self._stopped:
                self._discovery.subscribe()


OWNER: contextvars.ContextVar[HollowBalancer] = contextvars.ContextVar("OWNER")


class CountedConnection(discovery._Link):
    """A connection to the list service whose calls and bytes are counted for its balancer."""

    def __init__(self) -> None:
        super().__init__()
        self._balancer, self._instance = OWNER.get(), ""
        self._balancer._host.tally.connects += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep whom we are connected to."""
        host, port = transport.get_extra_info("peername")[:2]
        self._instance = f"{host}:{port}"
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Count, and read on."""
        self._count(len(data))
        super().data_received(data)

    async def call(self, request: bytes) -> UpstreamResponse:
        """Count, and call."""
        self._balancer._host.tally.calls[self._instance] += 1
        self._count(len(request))
        return await super().call(request)

    def _count(self, size: int) -> None:
        self._balancer._host.tally.bytes[self._instance] += size
        self._balancer.bytes += size


class HollowHost:
    """The hollow balancers of this process, and what they were told."""

    def __init__(self, spec: HollowSpecification) -> None:
        self._spec, self.clock, self.tally = spec, RealClock(spec.offset_ms), TrafficCounts()
        self.plan = spec.plan
        self._hollows: dict[int, HollowBalancer] = {}
        self._sightings: dict[Key, ChangeSightings] = {}
        self._numbers, self.shared_reading = frozenset(spec.numbers), spec.plan.shared_reading

    def handle_command(self, line: dict[str, Any]) -> None:
        """What the driver wants: `start`, `stop`, `begin` a step, `report` on it."""
        numbers = line.get("numbers")
        match line["do"]:
            case "start":
                for number in self._numbers.intersection(numbers or ()):
                    self._start(number)
            case "stop":
                for number in numbers or ():
                    if hollow := self._hollows.pop(number, None):
                        hollow.stop()
            case "begin":
                self._sightings.clear()
                for hollow in self._hollows.values():
                    hollow.is_new = False
            case "report":
                self._report(line)

    def _start(self, number: int) -> None:
        told = balancer_config(self._spec.plan, number, self._spec.instance_addresses, UNUSED_LISTEN_ADDRESS)
        hollow = HollowBalancer(read_config(json.dumps(told), lambda note: None), self)
        self._hollows[number] = hollow
        contextvars.copy_context().run(hollow.start)

    def record_changes(self, before: dict[str, AddressedEndpoint], news: ServerList) -> None:
        """A balancer has news, applied: what in it is a change to what it had."""
        now = self.clock.now
        for endpoint in news.endpoints:
            member = endpoint.endpoint
            old = before.get(member.server) if news.whole else None
            if old is None or old.endpoint != member:
                self._record_change(member, now)
        if news.whole:
            named = {e.endpoint.server for e in news.endpoints}
            for name, old in before.items():
                if name not in named:
                    self._record_change(replace(old.endpoint, readiness=Readiness.DEAD), now)

    def _record_change(self, member: interface.Endpoint, now: float) -> None:
        is_gone = member.readiness is Readiness.DEAD
        key = (
            member.server,
            REMOVED_STATE if is_gone else f"{member.readiness.name}/{member.started_at_ms:.0f}",
        )
        told = self._sightings.get(key)
        if told is None:
            told = self._sightings[key] = ChangeSightings()
        told.count, told.last_ms = told.count + 1, now

    def _report(self, line: dict[str, Any]) -> None:
        """Write what was told in this step, and who is stale, into a file; then say so."""
        truth = json.loads(Path(line["truth"]).read_text())
        stale = [what for hollow in self._hollows.values() if (what := hollow.differs(truth))]
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
            "seen": [[*key, told.count, told.last_ms] for key, told in self._sightings.items()],
        }
        path = Path(self._spec.folder) / f"{self._spec.name}.report.json"
        path.write_text(json.dumps(report))
        send_message(done=line["id"], report=str(path))

    def take_counts(self) -> dict[str, object]:
        """The counts of a second."""
        for hollow in self._hollows.values():
            self.tally.max_balancer_bytes = max(self.tally.max_balancer_bytes, hollow.bytes)
            hollow.bytes = 0
        ready = sum(h.ready_ms is not None for h in self._hollows.values())
        return self.tally.take() | {"here": len(self._hollows), "ready": ready}


class SharedListReader:
    """In place of `json` in `net/discovery.py`: an answer that many get is read once. See `Plan`."""

    def __init__(self) -> None:
        self._lists: dict[bytes, ServerList] = {}

    def loads(self, body: bytes) -> ServerList:
        """The list in an answer; ValueError if it is none."""
        if body not in self._lists:
            while len(self._lists) >= MAX_CACHED_LISTS:
                del self._lists[next(iter(self._lists))]
            self._lists[body] = read_list(json.loads(body))
        return self._lists[body]


def _share_list_reading() -> None:
    """Share what is read among the balancers of this process."""
    vars(discovery).update(json=SharedListReader(), read_list=lambda news: news)


def _exit_on_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """A balancer that fails unseen would falsify the figures of all."""
    loop.default_exception_handler(context)
    sys.stderr.flush()
    os._exit(1)


async def serve() -> None:
    """Be hollow balancers until the driver closes our input."""
    host, loop = HollowHost(read_specification(HollowSpecification)), asyncio.get_running_loop()
    loop.set_exception_handler(_exit_on_error)
    if host.shared_reading:
        _share_list_reading()
    discovery._Link = CountedConnection  # type: ignore[misc]
    gc.freeze()
    task = start_critical_task(loop, report_each_second(host.take_counts))
    send_message(ready=True)
    await receive_commands(host.handle_command)
    task.cancel()


if __name__ == "__main__":
    run_helper(serve())
