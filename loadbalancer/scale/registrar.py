"""The registrar of a scale run: registers and renews all upstreams over a few connections, as agents would.

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
from loadbalancer.net.address import parse_address
from loadbalancer.net.discovery import connection as connections
from loadbalancer.registry.lease import RENEWAL_RATIO
from loadbalancer.scale.plan import Plan, registration, upstream_name
from loadbalancer.scale.second_counts import (
    TrafficCounts,
    report_each_second,
    run_helper,
    start_critical_task,
)

MAX_CONNECTIONS = 12  # to each instance, for leases; one more for changes
CALL_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 1.0  # before a failed call is repeated, as agents do
SCHEDULER_INTERVAL_S = 0.02
MAX_WRITE_MS = 60_000.0  # for the retries of a change
WRITE_RETRY_INTERVAL_S = 0.05
ANSWER_HEAD_BYTES = 160  # approximate size of an answer's head


class RegistrarSpecification(
    ProcessSpecification, kw_only=True, frozen=True, rename={"instance_addresses": "ways"}
):
    """Start parameters of the registrar."""

    plan: Plan
    instance_addresses: list[str]
    address: str
    """At which all upstreams answer."""


@dataclass(slots=True)
class UpstreamLease:
    """The lease of one upstream."""

    number: int
    started_at_ms: float = 0.0
    is_registered: bool = False
    is_silent: bool = True  # its agent is down: it neither registers nor renews
    instance: int = 0  # that it calls; taken modulo the number of instances

    @property
    def path(self) -> str:
        """Path of the upstream at the registry."""
        return f"/v1/servers/{upstream_name(self.number)}"


class InstanceConnections:
    """One worker's connections, one to each instance that it calls."""

    def __init__(self, instance_addresses: list[str], counts: TrafficCounts) -> None:
        self._instance_addresses = instance_addresses
        self._counts = counts
        self._connections: dict[str, connections.Connection] = {}

    async def call(self, instance: int, method: str, path: str, body: object) -> int:
        """Make one call; return its status. OSError, ValueError or TimeoutError if there is no answer."""
        address = self._instance_addresses[instance % len(self._instance_addresses)]
        data = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nX-Who: scale\r\n"
        request = f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data
        async with asyncio.timeout(CALL_TIMEOUT_S):
            connection = self._connections.get(address)
            if connection is None or connection.is_closed:
                connection = await connections.connect(parse_address(address))
                self._connections[address] = connection
            self._counts.calls[address] += 1
            try:
                answer = await connection.call(request)
            except BaseException:
                connection.close()
                raise
        self._counts.bytes[address] += len(request) + len(answer.body) + ANSWER_HEAD_BYTES
        return answer.status


class Registrar:
    """All leases, and the changes that the driver requests."""

    def __init__(self, spec: RegistrarSpecification) -> None:
        self._spec = spec
        self._clock = RealClock(spec.offset_ms)
        self._counts = TrafficCounts()
        self._random = random.Random(spec.seed)
        self._upstreams = [UpstreamLease(n, instance=n) for n in range(spec.plan.balancers)]
        self._due: list[tuple[float, int]] = []  # due time and number of the upstream
        self._jobs: asyncio.Queue[UpstreamLease] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()
        self._max_delay_ms = 0.0

    def start(self) -> None:
        """Start the workers, the scheduler and the report of each second."""
        loop = asyncio.get_running_loop()
        workers = (self._run_worker() for _ in range(MAX_CONNECTIONS))
        for work in (*workers, self._schedule_due(), report_each_second(self.take_counts)):
            self._tasks.add(start_critical_task(loop, work))

    def handle_command(self, command: dict[str, Any]) -> None:
        """Handle a command of the driver: `register` all, `write` changes, `silent` or `speak` for some."""
        loop, now_ms = asyncio.get_running_loop(), self._clock.now
        match command["do"]:
            case "register":
                for upstream in self._upstreams:
                    self._activate(upstream, 0.0)
            case "speak":
                for number in command["numbers"]:
                    self._activate(self._upstreams[number], now_ms)
            case "silent":
                for number in command["numbers"]:
                    self._upstreams[number].is_silent = True
            case "write":
                self._tasks.add(start_critical_task(loop, self._write_all(command)))

    def _activate(self, upstream: UpstreamLease, started_at_ms: float) -> None:
        upstream.is_silent = False
        upstream.is_registered = False
        upstream.started_at_ms = started_at_ms
        self._jobs.put_nowait(upstream)

    # ---- leases ---------------------------------------------------------------------------------

    async def _schedule_due(self) -> None:
        """Queue the upstreams whose next call is due."""
        while True:
            now_ms = self._clock.now
            while self._due and self._due[0][0] <= now_ms:
                due_ms, number = heapq.heappop(self._due)
                self._max_delay_ms = max(self._max_delay_ms, now_ms - due_ms)
                self._jobs.put_nowait(self._upstreams[number])
            await asyncio.sleep(SCHEDULER_INTERVAL_S)

    async def _run_worker(self) -> None:
        """Register or renew queued upstreams, forever."""
        connections = InstanceConnections(self._spec.instance_addresses, self._counts)
        while True:
            upstream = await self._jobs.get()
            if upstream.is_silent:
                upstream.is_registered = False  # queued again when it restarts
                continue
            wait_ms = self._spec.plan.lease_s * 1_000 * RENEWAL_RATIO
            is_first = not upstream.is_registered
            if not await self._register_or_renew(connections, upstream):
                wait_ms = RETRY_INTERVAL_S * 1_000 * (0.5 + self._random.random())
            elif is_first:
                wait_ms *= self._random.random()  # agents of a fleet do not renew in step
            heapq.heappush(self._due, (self._clock.now + wait_ms, upstream.number))

    async def _register_or_renew(self, connections: InstanceConnections, upstream: UpstreamLease) -> bool:
        """Register or renew once; return whether the registry accepted it."""
        try:
            if upstream.is_registered:
                body = {"since_ms": upstream.started_at_ms}
                status = await connections.call(upstream.instance, "POST", f"{upstream.path}/renew", body)
            else:
                body = self._registration(upstream)
                status = await connections.call(upstream.instance, "PUT", upstream.path, body)
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

    # ---- changes --------------------------------------------------------------------------------

    async def _write_all(self, command: dict[str, Any]) -> None:
        """Make changes, each [number, what], at the given rate; reply with when and how each was answered."""
        connections = InstanceConnections(self._spec.instance_addresses, self._counts)
        written = []
        began_ms = self._clock.now
        for index, (number, what) in enumerate(command["writes"]):
            wait_ms = began_ms + index * 1_000 / command["per_s"] - self._clock.now
            await asyncio.sleep(max(wait_ms, 0.0) / 1_000)
            written.append(await self._write(connections, self._upstreams[number], what))
        send_message(done=command["id"], written=written)

    async def _write(
        self, connections: InstanceConnections, upstream: UpstreamLease, what: str
    ) -> dict[str, Any]:
        """Make one change: `start`, `drain` or `remove`; return its outcome."""
        until_ms = self._clock.now + MAX_WRITE_MS
        if what == "start":
            upstream.started_at_ms = round(self._clock.now)
        upstream.is_silent = what == "remove"
        status, sent_ms = await self._write_until(connections, upstream, what, until_ms)
        if what == "start" and not upstream.is_registered:
            upstream.is_registered = True
            heapq.heappush(self._due, (self._clock.now, upstream.number))
        started_at = f"{upstream.started_at_ms:.0f}"
        states = {"start": f"READY/{started_at}", "drain": f"DRAINING/{started_at}"}
        if what == "remove":
            upstream.is_registered = False
        return {
            "name": upstream_name(upstream.number), "state": states.get(what, "gone"), "status": status,
            "sent_ms": sent_ms, "done_ms": self._clock.now,
        }  # fmt: skip

    async def _write_until(
        self, connections: InstanceConnections, upstream: UpstreamLease, what: str, until_ms: float
    ) -> tuple[int, float]:
        """Repeat a change at successive instances until one accepts it; return status and time sent."""
        drain_path = f"{upstream.path}/drain"
        calls = {
            "start": ("PUT", upstream.path, self._registration(upstream)),
            "drain": ("POST", drain_path, None),
        }
        method, path, body = calls.get(what, ("DELETE", upstream.path, None))
        first_sent_ms = self._clock.now
        while True:
            sent_ms = self._clock.now
            try:
                status = await connections.call(upstream.instance, method, path, body)
            except (OSError, ValueError, TimeoutError):
                status = 0
            if status == 404 and what == "remove" and sent_ms > first_sent_ms:
                return 200, first_sent_ms  # an earlier call succeeded, and its answer was lost
            if status == 200 or sent_ms > until_ms:
                return status, sent_ms
            upstream.instance += 1
            await asyncio.sleep(WRITE_RETRY_INTERVAL_S)

    def take_counts(self) -> dict[str, object]:
        """Return the counts of the last second, and reset them."""
        delay_ms, self._max_delay_ms = self._max_delay_ms, 0.0
        registered_count = sum(upstream.is_registered for upstream in self._upstreams)
        return self._counts.take() | {"held": registered_count, "late_ms": round(delay_ms)}


async def serve() -> None:
    """Register and renew until the driver closes standard input."""
    registrar = Registrar(read_specification(RegistrarSpecification))
    registrar.start()
    send_message(ready=True)
    await receive_commands(registrar.handle_command)


if __name__ == "__main__":
    run_helper(serve())
