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
from loadbalancer.drill.servers.specification import Place, follow, read_spec, say
from loadbalancer.interface import Readiness, UpdateKind
from loadbalancer.net.config import AddressedEndpoint, Config, EndpointList
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.discovery import DiscoveryClient, call, connection
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list
from loadbalancer.net.upstream_response import UpstreamResponse
from loadbalancer.policy import Balancer
from loadbalancer.scale.counting import Tally, in_background, run, tell_each_second
from loadbalancer.scale.plan import Plan, balancer_config

GONE = "gone"
Key = tuple[str, str]
Truth = dict[str, dict[str, list[Any]]]  # by tier and name: state and start
READINGS_KEPT = 16
LISTEN = "127.0.0.1:1"  # nobody listens there: a hollow balancer takes no calls


class Spec(Place, kw_only=True, frozen=True):
    """What a host of hollow balancers is told."""

    plan: Plan
    numbers: list[int]
    ways: list[str]


class Told(msgspec.Struct):
    """Of one change: how many balancers of this host have it, and when the last one had, Unix ms."""

    count: int = 0
    last_ms: float = 0.0


class Hollow:
    """One balancer: what `net/proxy.py` does with its list, and nothing else."""

    def __init__(self, config: Config, host: Host) -> None:
        self._host = host
        self._balancer = Balancer(config.settings, config.seed)
        self._discovery = DiscoveryClient(config, self._news, self._failed)
        self.list: dict[str, AddressedEndpoint] = {}
        self.name, self._stopped = config.name, False
        self.wants = host.plan.wants(config.settings.balancer_index)
        self.began_ms = host.clock.now
        self.ready_ms: float | None = None  # when it had its first list
        self.fresh = True  # begun in this step: what it is told is no change
        self.bytes = 0  # in this second

    def start(self) -> None:
        """Begin as the driver does: from nothing known, on to the first call for the list."""
        OWNER.set(self)
        self._listed(UpdateKind.CACHED, EndpointList(0, True, ()))

    def stop(self) -> None:
        """End as a process does that is killed."""
        self._stopped = True
        self._discovery.close()

    @property
    def index(self) -> int:
        """The version of its list."""
        return self._discovery.index

    def differs(self, truth: Truth) -> str:
        """What it holds otherwise than the service lists it, of what it wants; empty for nothing.

        Of a part only what it holds is compared: which part it is, the service alone knows.
        """
        listed = {name: state for tier in self.wants for name, state in truth.get(tier, {}).items()}
        held = {n: [e.endpoint.readiness.name, e.endpoint.started_at_ms] for n, e in self.list.items()}
        names = held if self._host.plan.part else listed | held
        found = next((name for name in names if held.get(name) != listed.get(name)), "")
        if found:
            return f"{self.name}: {found} held as {held.get(found)}, listed as {listed.get(found)}"
        return "" if held else f"{self.name}: nothing held"

    def _news(self, news: EndpointList) -> bool:
        if self.ready_ms is None:
            self.ready_ms = self._host.clock.now
        return self._listed(UpdateKind.FULL_SNAPSHOT if news.is_full_snapshot else UpdateKind.DELTA, news)

    def _listed(self, kind: UpdateKind, news: EndpointList) -> bool:
        members = tuple([e.endpoint for e in news.endpoints])
        update = self._balancer.validate(interface.EndpointListUpdate(kind, members, news.is_rewound))
        if update.suspected_stale or news.is_rewound:
            at = {e.endpoint.server: e.address for e in (*self.list.values(), *news.endpoints)}
            news = replace(
                news, endpoints=tuple([AddressedEndpoint(m, at[m.server]) for m in update.endpoints])
            )
        before = self.list
        if news.is_full_snapshot:
            self.list = {}
        for endpoint in news.endpoints:
            self.list[endpoint.endpoint.server] = endpoint
            if endpoint.endpoint.readiness is Readiness.DEAD:
                del self.list[endpoint.endpoint.server]
        self._tell(update)
        if not self.fresh:
            self._host.note_all(before, news)
        return not update.suspected_stale

    def _failed(self) -> None:
        self._tell(self._discovery.failure_update())

    def _tell(self, event: interface.Event) -> None:
        now = self._host.clock.now
        for action in self._balancer.handle(event, now):
            if isinstance(action, interface.SetTimer):
                delay_s = max(action.at_ms - now, 0.0) / 1_000
                asyncio.get_running_loop().call_later(
                    delay_s, self._tell, interface.TimerExpired(action.token)
                )
            elif isinstance(action, interface.WatchEndpointList) and not self._stopped:
                self._discovery.subscribe()


OWNER: contextvars.ContextVar[Hollow] = contextvars.ContextVar("OWNER")


class CountedLink(connection.Connection):
    """A connection to the list service whose calls and bytes are counted for its balancer."""

    def __init__(self) -> None:
        super().__init__()
        self._owner, self._at = OWNER.get(), ""
        self._owner._host.tally.dials += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep whom we are connected to."""
        host, port = transport.get_extra_info("peername")[:2]
        self._at = f"{host}:{port}"
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Count, and read on."""
        self._count(len(data))
        super().data_received(data)

    async def call(self, request: bytes) -> UpstreamResponse:
        """Count, and call."""
        self._owner._host.tally.calls[self._at] += 1
        self._count(len(request))
        return await super().call(request)

    def _count(self, size: int) -> None:
        self._owner._host.tally.bytes[self._at] += size
        self._owner.bytes += size


class Host:
    """The hollow balancers of this process, and what they were told."""

    def __init__(self, spec: Spec) -> None:
        self._spec, self.clock, self.tally = spec, RealClock(spec.offset_ms), Tally()
        self.plan = spec.plan
        self._hollows: dict[int, Hollow] = {}
        self._seen: dict[Key, Told] = {}
        self._own, self.shared_reading = frozenset(spec.numbers), spec.plan.shared_reading

    def command(self, line: dict[str, Any]) -> None:
        """What the driver wants: `start`, `stop`, `begin` a step, `report` on it."""
        numbers = line.get("numbers")
        match line["do"]:
            case "start":
                for number in self._own.intersection(numbers or ()):
                    self._start(number)
            case "stop":
                for number in numbers or ():
                    if hollow := self._hollows.pop(number, None):
                        hollow.stop()
            case "begin":
                self._seen.clear()
                for hollow in self._hollows.values():
                    hollow.fresh = False
            case "report":
                self._report(line)

    def _start(self, number: int) -> None:
        told = balancer_config(self._spec.plan, number, self._spec.ways, LISTEN)
        hollow = Hollow(read_config(json.dumps(told), lambda note: None), self)
        self._hollows[number] = hollow
        contextvars.copy_context().run(hollow.start)

    def note_all(self, before: dict[str, AddressedEndpoint], news: EndpointList) -> None:
        """A balancer has news, applied: what in it is a change to what it had."""
        now = self.clock.now
        for endpoint in news.endpoints:
            member = endpoint.endpoint
            old = before.get(member.server) if news.is_full_snapshot else None
            if old is None or old.endpoint != member:
                self._note(member, now)
        if news.is_full_snapshot:
            named = {e.endpoint.server for e in news.endpoints}
            for name, old in before.items():
                if name not in named:
                    self._note(replace(old.endpoint, readiness=Readiness.DEAD), now)

    def _note(self, member: interface.Endpoint, now: float) -> None:
        is_gone = member.readiness is Readiness.DEAD
        key = member.server, GONE if is_gone else f"{member.readiness.name}/{member.started_at_ms:.0f}"
        told = self._seen.get(key)
        if told is None:
            told = self._seen[key] = Told()
        told.count, told.last_ms = told.count + 1, now

    def _report(self, line: dict[str, Any]) -> None:
        """Write what was told in this step, and who is stale, into a file; then say so."""
        truth = json.loads(Path(line["truth"]).read_text())
        stale = [what for hollow in self._hollows.values() if (what := hollow.differs(truth))]
        stayed = Counter(tier for h in self._hollows.values() if not h.fresh for tier in h.wants)
        report = {
            "here": len(self._hollows),
            "stayed": dict(stayed),
            "stale": len(stale),
            "first_stale": next(iter(stale), ""),
            "ready_ms": [
                h.ready_ms - h.began_ms if h.ready_ms is not None else None
                for h in self._hollows.values()
                if h.fresh
            ],
            "seen": [[*key, told.count, told.last_ms] for key, told in self._seen.items()],
        }
        path = Path(self._spec.folder) / f"{self._spec.name}.report.json"
        path.write_text(json.dumps(report))
        say(done=line["id"], report=str(path))

    def second(self) -> dict[str, object]:
        """The counts of a second."""
        for hollow in self._hollows.values():
            self.tally.most = max(self.tally.most, hollow.bytes)
            hollow.bytes = 0
        ready = sum(h.ready_ms is not None for h in self._hollows.values())
        return self.tally.told() | {"here": len(self._hollows), "ready": ready}


class Reading:
    """In place of `json` in `net/discovery/`: an answer that many get is read once. See `Plan`."""

    def __init__(self) -> None:
        self._read: dict[bytes, EndpointList] = {}

    def loads(self, body: bytes) -> EndpointList:
        """The list in an answer; ValueError if it is none."""
        if body not in self._read:
            while len(self._read) >= READINGS_KEPT:
                del self._read[next(iter(self._read))]
            self._read[body] = decode_endpoint_list(json.loads(body))
        return self._read[body]


def _read_once() -> None:
    """Share what is read among the balancers of this process."""
    vars(call).update(json=Reading(), decode_endpoint_list=lambda news: news)


def _give_up(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """A balancer that fails unseen would falsify the figures of all."""
    loop.default_exception_handler(context)
    sys.stderr.flush()
    os._exit(1)


async def serve() -> None:
    """Be hollow balancers until the driver closes our input."""
    host, loop = Host(read_spec(Spec)), asyncio.get_running_loop()
    loop.set_exception_handler(_give_up)
    if host.shared_reading:
        _read_once()
    connection.Connection = CountedLink  # type: ignore[misc]
    gc.freeze()
    task = in_background(loop, tell_each_second(host.second))
    say(ready=True)
    await follow(host.command)
    task.cancel()


if __name__ == "__main__":
    run(serve())
