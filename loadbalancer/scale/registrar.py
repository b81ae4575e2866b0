"""Speaks for all upstreams, as their agents would, over a few connections: registers, renews, changes.

python -m loadbalancer.scale.registrar SPEC.json
"""

from __future__ import annotations

import asyncio
import heapq
import json
import random
from dataclasses import dataclass
from typing import Any

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.servers.specification import Place, follow, read_spec, say
from loadbalancer.net.address import parse_address
from loadbalancer.net.discovery import connection
from loadbalancer.registry.lease import RENEWAL_RATIO
from loadbalancer.scale.counting import Tally, in_background, run, tell_each_second
from loadbalancer.scale.plan import Plan, name_of, registration

WORKERS = 12  # connections to each instance at the most, for leases; one more for changes
PATIENCE_S, AGAIN_S = 5.0, 1.0  # for an answer; and until a call that failed is made anew, as an agent's step
LOOK_S = 0.02
HELD_MOST_MS = 60_000.0


class Spec(Place, kw_only=True, frozen=True):
    """What the registrar is told."""

    plan: Plan
    ways: list[str]
    address: str  # where all upstreams answer


@dataclass(slots=True)
class Upstream:
    """One lease."""

    number: int
    since_ms: float = 0.0
    held: bool = False
    silent: bool = True  # nobody speaks for it
    place: int = 0  # of the instance that is told


class Links:
    """One worker's connections, one to each instance that it calls."""

    def __init__(self, ways: list[str], tally: Tally) -> None:
        self._ways, self._tally = ways, tally
        self._links: dict[str, connection.Connection] = {}

    async def call(self, place: int, method: str, path: str, body: object) -> int:
        """One call: its status; OSError, ValueError or TimeoutError if there is no answer."""
        at = self._ways[place % len(self._ways)]
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {at}\r\nX-Who: scale\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        request = head.encode() + data
        async with asyncio.timeout(PATIENCE_S):
            link = self._links.get(at)
            if link is None or link.is_closed:
                link = self._links[at] = await connection.connect(parse_address(at))
            self._tally.calls[at] += 1
            try:
                answer = await link.call(request)
            except BaseException:
                link.close()
                raise
        self._tally.bytes[at] += len(request) + len(answer.body) + 160  # what heads take, about
        return answer.status


class Registrar:
    """All leases, and the writes that the driver asks for."""

    def __init__(self, spec: Spec) -> None:
        self._spec, self.clock, self.tally = spec, RealClock(spec.offset_ms), Tally()
        self._random = random.Random(spec.seed)
        self._upstreams = [Upstream(n, place=n) for n in range(spec.plan.balancers)]
        self._due: list[tuple[float, int]] = []
        self._jobs: asyncio.Queue[Upstream] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()
        self._late_ms = 0.0
        self._held = 0

    def start(self) -> None:
        """Begin to work."""
        loop = asyncio.get_running_loop()
        for work in (*(self._work() for _ in range(WORKERS)), self._look(), tell_each_second(self.second)):
            self._tasks.add(in_background(loop, work))

    def command(self, line: dict[str, Any]) -> None:
        """What the driver wants: `register` all, `write` some changes, be `silent` for some, or `speak`."""
        loop, now = asyncio.get_running_loop(), self.clock.now
        match line["do"]:
            case "register":
                for upstream in self._upstreams:
                    self._speak(upstream, 0.0)
            case "speak":
                for number in line["numbers"]:
                    self._speak(self._upstreams[number], now)
            case "silent":
                for number in line["numbers"]:
                    self._upstreams[number].silent = True
            case "write":
                self._tasks.add(in_background(loop, self._write_all(line)))

    def _speak(self, upstream: Upstream, since_ms: float) -> None:
        upstream.silent, upstream.held = False, False
        upstream.since_ms = since_ms
        self._jobs.put_nowait(upstream)

    async def _look(self) -> None:
        """Put up what is due."""
        while True:
            now = self.clock.now
            while self._due and self._due[0][0] <= now:
                at, number = heapq.heappop(self._due)
                self._late_ms = max(self._late_ms, now - at)
                self._jobs.put_nowait(self._upstreams[number])
            await asyncio.sleep(LOOK_S)

    async def _work(self) -> None:
        links = Links(self._spec.ways, self.tally)
        while True:
            upstream = await self._jobs.get()
            if upstream.silent:
                upstream.held = False  # who speaks for it again has to put it up anew
                continue
            lease_ms, part = self._spec.plan.lease_s * 1_000, RENEWAL_RATIO
            first = not upstream.held
            wait_ms = lease_ms * part
            if not await self._keep(links, upstream):
                wait_ms = AGAIN_S * 1_000 * (0.5 + self._random.random())
            elif first:
                wait_ms *= self._random.random()  # agents of a fleet are not in step
            heapq.heappush(self._due, (self.clock.now + wait_ms, upstream.number))

    async def _keep(self, links: Links, upstream: Upstream) -> bool:
        """Register or renew once; whether that was done."""
        path = f"/v1/servers/{name_of(upstream.number)}"
        try:
            if upstream.held:
                body = {"since_ms": upstream.since_ms}
                status = await links.call(upstream.place, "POST", f"{path}/renew", body)
            else:
                status = await links.call(upstream.place, "PUT", path, self._told(upstream))
        except (OSError, ValueError, TimeoutError):
            upstream.place += 1
            return False
        if status == 503:
            upstream.place += 1
        if status == 404:
            upstream.held = False
        elif status == 200 and not upstream.held:
            upstream.held = True
        return status == 200

    def _told(self, upstream: Upstream) -> dict[str, Any]:
        return registration(self._spec.plan, upstream.number, self._spec.address, upstream.since_ms)

    async def _write_all(self, line: dict[str, Any]) -> None:
        """Make changes, so many a second: each as [number, what]; tell when each was answered, and how."""
        links, written = Links(self._spec.ways, self.tally), []
        began = self.clock.now
        for place, (number, what) in enumerate(line["writes"]):
            wait_ms = began + place * 1_000 / line["per_s"] - self.clock.now
            await asyncio.sleep(max(wait_ms, 0.0) / 1_000)
            written.append(await self._write(links, self._upstreams[number], what))
        say(done=line["id"], written=written)

    async def _write(self, links: Links, upstream: Upstream, what: str) -> dict[str, Any]:
        path, until = f"/v1/servers/{name_of(upstream.number)}", self.clock.now + HELD_MOST_MS
        if what == "start":
            upstream.since_ms = round(self.clock.now)
        calls = {"start": ("PUT", path, self._told(upstream)), "drain": ("POST", f"{path}/drain", None)}
        method, where, body = calls.get(what, ("DELETE", path, None))
        upstream.silent = what == "remove"
        first = self.clock.now
        while True:
            sent = self.clock.now
            try:
                status = await links.call(upstream.place, method, where, body)
            except (OSError, ValueError, TimeoutError):
                status = 0
            if status == 404 and what == "remove" and sent > first:
                status, sent = 200, first  # the call before went through, and its answer was lost
            if status == 200 or sent > until:
                break
            upstream.place += 1
            await asyncio.sleep(0.05)
        if what == "start" and not upstream.held:
            upstream.held = True
            heapq.heappush(self._due, (self.clock.now, upstream.number))
        state = {"start": f"READY/{upstream.since_ms:.0f}", "drain": f"DRAINING/{upstream.since_ms:.0f}"}
        told = {"name": name_of(upstream.number), "state": state.get(what, "gone"), "status": status}
        if what == "remove":
            upstream.held = False
        return told | {"sent_ms": sent, "done_ms": self.clock.now}

    def second(self) -> dict[str, object]:
        """The counts of a second."""
        late, self._late_ms = self._late_ms, 0.0
        held = sum(u.held for u in self._upstreams)
        return self.tally.told() | {"held": held, "late_ms": round(late)}


async def serve() -> None:
    """Register and renew until the driver closes our input."""
    registrar = Registrar(read_spec(Spec))
    registrar.start()
    say(ready=True)
    await follow(registrar.command)


if __name__ == "__main__":
    run(serve())
