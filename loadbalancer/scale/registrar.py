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
from loadbalancer.drill.servers.specification import (
    ProcessSpecification,
    read_specification,
    receive_commands,
    send_message,
)
from loadbalancer.net import discovery
from loadbalancer.net.config import read_address
from loadbalancer.registry.lease import RENEW_PART
from loadbalancer.scale.plan import Plan, registration, upstream_name
from loadbalancer.scale.second_counts import (
    TrafficCounts,
    report_each_second,
    run_helper,
    start_critical_task,
)

MAX_CONNECTIONS = 12  # connections to each instance at the most, for leases; one more for changes
CALL_TIMEOUT_S, RETRY_INTERVAL_S = (
    5.0,
    1.0,
)  # for an answer; and until a call that failed is made anew, as an agent's step
SCHEDULER_INTERVAL_S = 0.02
MAX_WRITE_MS = 60_000.0


class RegistrarSpecification(
    ProcessSpecification, kw_only=True, frozen=True, rename={"instance_addresses": "ways"}
):
    """What the registrar is told."""

    plan: Plan
    instance_addresses: list[str]
    address: str  # where all upstreams answer


@dataclass(slots=True)
class UpstreamLease:
    """One lease."""

    number: int
    started_at_ms: float = 0.0
    is_registered: bool = False
    is_silent: bool = True  # nobody speaks for it
    instance: int = 0  # of the instance that is told


class InstanceConnections:
    """One worker's connections, one to each instance that it calls."""

    def __init__(self, ways: list[str], tally: TrafficCounts) -> None:
        self._instance_addresses, self._counts = ways, tally
        self._connections: dict[str, discovery._Link] = {}

    async def call(self, place: int, method: str, path: str, body: object) -> int:
        """One call: its status; OSError, ValueError or TimeoutError if there is no answer."""
        at = self._instance_addresses[place % len(self._instance_addresses)]
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {at}\r\nX-Who: scale\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        request = head.encode() + data
        async with asyncio.timeout(CALL_TIMEOUT_S):
            link = self._connections.get(at)
            if link is None or link.closed:
                link = self._connections[at] = await discovery._connect(read_address(at))
            self._counts.calls[at] += 1
            try:
                answer = await link.call(request)
            except BaseException:
                link.close()
                raise
        self._counts.bytes[at] += len(request) + len(answer.body) + 160  # what heads take, about
        return answer.status


class Registrar:
    """All leases, and the writes that the driver asks for."""

    def __init__(self, spec: RegistrarSpecification) -> None:
        self._spec, self.clock, self.counts = spec, RealClock(spec.offset_ms), TrafficCounts()
        self._random = random.Random(spec.seed)
        self._upstreams = [UpstreamLease(n, instance=n) for n in range(spec.plan.balancers)]
        self._due: list[tuple[float, int]] = []
        self._jobs: asyncio.Queue[UpstreamLease] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()
        self._max_delay_ms = 0.0
        self._held = 0

    def start(self) -> None:
        """Begin to work."""
        loop = asyncio.get_running_loop()
        for work in (
            *(self._run_worker() for _ in range(MAX_CONNECTIONS)),
            self._schedule_due(),
            report_each_second(self.take_counts),
        ):
            self._tasks.add(start_critical_task(loop, work))

    def handle_command(self, line: dict[str, Any]) -> None:
        """What the driver wants: `register` all, `write` some changes, be `silent` for some, or `speak`."""
        loop, now = asyncio.get_running_loop(), self.clock.now
        match line["do"]:
            case "register":
                for upstream in self._upstreams:
                    self._activate(upstream, 0.0)
            case "speak":
                for number in line["numbers"]:
                    self._activate(self._upstreams[number], now)
            case "silent":
                for number in line["numbers"]:
                    self._upstreams[number].silent = True
            case "write":
                self._tasks.add(start_critical_task(loop, self._write_all(line)))

    def _activate(self, upstream: UpstreamLease, since_ms: float) -> None:
        upstream.is_silent, upstream.is_registered = False, False
        upstream.started_at_ms = since_ms
        self._jobs.put_nowait(upstream)

    async def _schedule_due(self) -> None:
        """Put up what is due."""
        while True:
            now = self.clock.now
            while self._due and self._due[0][0] <= now:
                at, number = heapq.heappop(self._due)
                self._max_delay_ms = max(self._max_delay_ms, now - at)
                self._jobs.put_nowait(self._upstreams[number])
            await asyncio.sleep(SCHEDULER_INTERVAL_S)

    async def _run_worker(self) -> None:
        links = InstanceConnections(self._spec.instance_addresses, self.counts)
        while True:
            upstream = await self._jobs.get()
            if upstream.is_silent:
                upstream.is_registered = False  # who speaks for it again has to put it up anew
                continue
            lease_ms, part = self._spec.plan.lease_s * 1_000, RENEW_PART
            first = not upstream.is_registered
            wait_ms = lease_ms * part
            if not await self._register_or_renew(links, upstream):
                wait_ms = RETRY_INTERVAL_S * 1_000 * (0.5 + self._random.random())
            elif first:
                wait_ms *= self._random.random()  # agents of a fleet are not in step
            heapq.heappush(self._due, (self.clock.now + wait_ms, upstream.number))

    async def _register_or_renew(self, links: InstanceConnections, upstream: UpstreamLease) -> bool:
        """Register or renew once; whether that was done."""
        path = f"/v1/servers/{upstream_name(upstream.number)}"
        try:
            if upstream.is_registered:
                body = {"since_ms": upstream.started_at_ms}
                status = await links.call(upstream.instance, "POST", f"{path}/renew", body)
            else:
                status = await links.call(upstream.instance, "PUT", path, self._registration(upstream))
        except (OSError, ValueError, TimeoutError):
            upstream.instance += 1
            return False
        if status == 503:
            upstream.instance += 1
        if status == 404:
            upstream.is_registered = False
        elif status == 200 and not upstream.is_registered:
            upstream.is_registered = True
        return status == 200

    def _registration(self, upstream: UpstreamLease) -> dict[str, Any]:
        return registration(self._spec.plan, upstream.number, self._spec.address, upstream.started_at_ms)

    async def _write_all(self, line: dict[str, Any]) -> None:
        """Make changes, so many a second: each as [number, what]; tell when each was answered, and how."""
        links, written = InstanceConnections(self._spec.instance_addresses, self.counts), []
        began = self.clock.now
        for place, (number, what) in enumerate(line["writes"]):
            wait_ms = began + place * 1_000 / line["per_s"] - self.clock.now
            await asyncio.sleep(max(wait_ms, 0.0) / 1_000)
            written.append(await self._write(links, self._upstreams[number], what))
        send_message(done=line["id"], written=written)

    async def _write(self, links: InstanceConnections, upstream: UpstreamLease, what: str) -> dict[str, Any]:
        path, until = f"/v1/servers/{upstream_name(upstream.number)}", self.clock.now + MAX_WRITE_MS
        if what == "start":
            upstream.started_at_ms = round(self.clock.now)
        calls = {
            "start": ("PUT", path, self._registration(upstream)),
            "drain": ("POST", f"{path}/drain", None),
        }
        method, where, body = calls.get(what, ("DELETE", path, None))
        upstream.is_silent = what == "remove"
        first = self.clock.now
        while True:
            sent = self.clock.now
            try:
                status = await links.call(upstream.instance, method, where, body)
            except (OSError, ValueError, TimeoutError):
                status = 0
            if status == 404 and what == "remove" and sent > first:
                status, sent = 200, first  # the call before went through, and its answer was lost
            if status == 200 or sent > until:
                break
            upstream.instance += 1
            await asyncio.sleep(0.05)
        if what == "start" and not upstream.is_registered:
            upstream.is_registered = True
            heapq.heappush(self._due, (self.clock.now, upstream.number))
        state = {
            "start": f"READY/{upstream.started_at_ms:.0f}",
            "drain": f"DRAINING/{upstream.started_at_ms:.0f}",
        }
        told = {"name": upstream_name(upstream.number), "state": state.get(what, "gone"), "status": status}
        if what == "remove":
            upstream.is_registered = False
        return told | {"sent_ms": sent, "done_ms": self.clock.now}

    def take_counts(self) -> dict[str, object]:
        """The counts of a second."""
        late, self._max_delay_ms = self._max_delay_ms, 0.0
        held = sum(u.is_registered for u in self._upstreams)
        return self.counts.take() | {"held": held, "late_ms": round(late)}


async def serve() -> None:
    """Register and renew until the driver closes our input."""
    registrar = Registrar(read_specification(RegistrarSpecification))
    registrar.start()
    send_message(ready=True)
    await receive_commands(registrar.handle_command)


if __name__ == "__main__":
    run_helper(serve())
