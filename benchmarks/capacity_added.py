"""What the program adds to a call, by cause: calls by way of it beside direct calls, in the same run.

Three processes and this one: the program as `run` starts it, an upstream that answers at once, and here the
client and the stand-in of the list service. Calls come at the pace of the target, direct and by way of the
balancer in turn. A step's causes are those of `STEPS`; its calls come in the same way but for them.
"""

from __future__ import annotations

import asyncio
import random
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import cast

import numpy as np
import uvloop

from benchmarks.capacity_balancer import HOST, SINCE_MS, Instances, balancer, config, cpu_ms, entry, settled
from loadbalancer.drill.processes.addresses import find_free_port

RATE = 770_000 / 18_000  # calls a second of one balancer
STEP_S = 12.0
WARM_S = 2.0
PATIENCE_S = 30.0
HEAD = b"GET /read/x HTTP/1.1\r\nHost: u\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOSING = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"


@dataclass(frozen=True)
class Step:
    """What is different in a step."""

    name: str
    fresh: bool = False
    """A connection from the client for each call."""
    closing: bool = False
    """The upstream closes each connection after its answer."""
    change_every_s: float = 0.0
    whole_every_s: float = 0.0


STEPS = (
    Step("kept"),
    Step("client_dials", fresh=True),
    Step("upstream_dials", closing=True),
    Step("changes", change_every_s=0.2),
    Step("whole_lists", whole_every_s=5.0),
)


class Caller(asyncio.Protocol):
    """One connection of the client, with one call at a time."""

    def __init__(self) -> None:
        self._data = b""
        self._done: asyncio.Future[float] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, call: bytes) -> asyncio.Future[float]:
        """Call; the result is when the whole answer was here."""
        assert self.transport is not None
        self._data, self._done = b"", asyncio.get_running_loop().create_future()
        self.transport.write(call)
        return self._done

    def data_received(self, data: bytes) -> None:
        """Collect the answer."""
        self._data += data
        if self._data.endswith(b"\r\n\r\nok") and self._done is not None and not self._done.done():
            self._done.set_result(time.perf_counter())

    def connection_lost(self, exc: Exception | None) -> None:
        """The call that is out has failed."""
        self.transport = None
        if self._done is not None and not self._done.done():
            self._done.set_exception(exc or ConnectionResetError("the connection ended"))


class Upstream(asyncio.Protocol):
    """Answers each call at once; one for `/bye` is the last of its connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer."""
        if b"/bye" in data:
            self._transport.write(CLOSING)
            self._transport.close()
        else:
            self._transport.write(ANSWER)


class Way:
    """One way to the upstream: direct, or by the balancer."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._caller: Caller | None = None
        self.took_ms: list[float] = []
        self.failed = 0

    async def call(self, step: Step) -> None:
        """One call, timed from before its dial if it needs one."""
        began = time.perf_counter()
        call = HEAD.replace(b"/read/x", b"/read/bye") if step.closing else HEAD
        try:
            if self._caller is None or self._caller.transport is None:
                loop = asyncio.get_running_loop()
                _, self._caller = await loop.create_connection(Caller, HOST, self._port)
            async with asyncio.timeout(PATIENCE_S):
                ended = await self._caller.ask(call + b"\r\n")
            self.took_ms.append((ended - began) * 1_000)
        except OSError:
            self.failed += 1
        if step.fresh or step.closing:
            self.close()

    def close(self) -> None:
        """Let go of the connection."""
        if self._caller is not None and self._caller.transport is not None:
            self._caller.transport.close()
        self._caller = None


async def _pace(ways: list[Way], step: Step, span_s: float, chance: random.Random) -> None:
    """Calls of all ways in turn, each at its pace, by chance."""
    loop = asyncio.get_running_loop()
    at, until = loop.time(), loop.time() + span_s
    while at < until:
        for way in ways:
            at += chance.expovariate(RATE * len(ways))
            await asyncio.sleep(max(at - loop.time(), 0.0))
            await way.call(step)


async def _news(instances: Instances, step: Step, entries: list[dict[str, object]]) -> None:
    """Changes and whole lists of a step, until it is cancelled."""
    number = 0
    while True:
        await asyncio.sleep(step.change_every_s or step.whole_every_s or 3_600.0)
        number += 1
        if step.change_every_s:
            instances.change(entries[number * 7 % len(entries)] | {"zone": f"zone-{number % 2:02}"})
        else:
            instances.tell_ready()


async def _step(step: Step, ports: list[int], instances: Instances, entries: list[dict[str, object]],
                pid: int, seed: int) -> dict[str, float]:  # fmt: skip
    ways, chance = [Way(port) for port in ports], random.Random(f"{seed}/{step.name}")
    if step.whole_every_s:
        instances.write()
    await _pace(ways, step, WARM_S, chance)
    for way in ways:
        way.took_ms.clear()
    news, cpu = asyncio.get_running_loop().create_task(_news(instances, step, entries)), cpu_ms(pid)
    await _pace(ways, step, STEP_S, chance)
    news.cancel()
    cpu = cpu_ms(pid) - cpu
    found: dict[str, float] = {}
    direct, through = ways
    for name, part in (("p50", 50), ("p90", 90), ("p99", 99), ("p999", 99.9)):
        one, other = (float(np.percentile(way.took_ms, part)) for way in ways)
        found |= {f"{step.name}_direct_{name}_ms": one, f"{step.name}_{name}_ms": other}
    found[f"{step.name}_calls"] = len(through.took_ms)
    found[f"{step.name}_core_ms"] = cpu / max(len(through.took_ms), 1)
    found[f"{step.name}_failed"] = direct.failed + through.failed
    for way in ways:
        way.close()
    return found


async def play(size: int, number: int) -> dict[str, float]:
    """All steps, with a list of so many servers; ms from the call to its whole answer."""
    instances, listen, port = Instances(), find_free_port(HOST), find_free_port(HOST)
    await instances.start()
    entries = [entry(n, port, SINCE_MS) for n in range(size)]
    instances.hold(entries)
    upstream = subprocess.Popen([sys.executable, "-m", "benchmarks.capacity_added", str(port)])
    found: dict[str, float] = {"size": size, "play": number}
    try:
        _wait_for(port)
        async with balancer(config(listen, instances.ports, size)) as pid:
            await asyncio.wait_for(instances.watching.wait(), PATIENCE_S)
            await settled(pid)
            for step in STEPS:
                found |= await _step(step, [port, listen], instances, entries, pid, number)
    finally:
        upstream.terminate()
        upstream.wait()
    for server in instances.servers:
        server.close()
    return found


def _wait_for(port: int) -> None:
    until = time.monotonic() + PATIENCE_S
    while True:
        try:
            socket.create_connection((HOST, port)).close()
            return
        except OSError:
            assert time.monotonic() < until
            time.sleep(0.02)


def measure(size: int, number: int) -> dict[str, float]:
    """One play."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play(size, number))


async def _serve(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(Upstream, HOST, port)
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(int(sys.argv[1])))
