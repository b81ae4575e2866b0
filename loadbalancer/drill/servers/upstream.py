"""A stand-in server as a process: the model of `loadbalancer.simulation.servers` on real sockets.

python -m loadbalancer.drill.servers.upstream SPEC.json
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import math
import os
import random
import signal
import time
from typing import Any

import aiohttp
from aiohttp import web

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.scenario.definition import Model, Version
from loadbalancer.drill.servers.specification import Place, follow, read_spec, request_of, say
from loadbalancer.net.downstream_request import parse_duration_ms
from loadbalancer.registry.client import RegistryCallError, RegistryClient
from loadbalancer.registry.entries import Registration
from loadbalancer.registry.lease import Lease
from loadbalancer.simulation.servers import Build, Job, Server

BEFORE_CALLS = 0.5  # the part of its work that comes before its calls to the next tier
WORK_SPREAD = 0.6  # of the logarithm of a request's work
NO_DEADLINE_MS = 1_000.0  # for a request that tells none
LIST_PATIENCE_S, LIST_RETRY_S = 1.0, 0.3
NOT_RUN = {"X-Not-Run": "1"}


class Spec(Place, kw_only=True, frozen=True):
    """What a server is told."""

    zone: str
    model: Model
    version: Version = Version()
    work_ms: dict[str, float]
    calls: str = ""  # host:port of the balancer beside it; empty where it makes no calls
    since_ms: float = 0.0
    directory: str = ""  # host:port of a real list service; empty where the driver tells the list
    tier: str = "first"
    lease_ms: float = 3_000.0


class StandIn:
    """One server: takes requests, works on them as the model says, and writes down what it did."""

    def __init__(self, spec: Spec) -> None:
        self.spec, self.version = spec, spec.version
        self.clock = RealClock(spec.offset_ms)
        model = spec.model
        self.machine = Server(
            self.clock,
            Build(
                spec.name, 0, spec.zone, model.cores, model.speed, model.slots, model.queue,
                connections=10_000, thrash=0.0, thrash_at=math.inf, error_rate=0.0,
                cold_from=model.cold_from, cold_ms=model.cold_s * 1_000,
            ),
        )  # fmt: skip
        self.machine.started_at = spec.since_ms
        self.machine.slow = spec.version.slower
        self.history = spec.writer()
        self.chance = random.Random(f"{spec.seed}/{spec.name}/{spec.since_ms}")
        self.session: aiohttp.ClientSession | None = None
        self.served = 0
        self.stopping = asyncio.Event()
        self.history.write(
            "up", cores=model.cores, speed=model.speed / spec.version.slower, cold_from=model.cold_from,
            cold_ms=model.cold_s * 1_000, since=spec.since_ms,
        )  # fmt: skip

    def command(self, line: dict[str, Any]) -> None:
        """Behave otherwise from now on."""
        machine = self.machine
        machine.slow = self.version.slower * float(line["slower"])
        machine.failing, machine.paused = float(line["fails"]), bool(line["paused"])
        machine.changed()

    async def health(self, request: web.Request) -> web.Response:
        """Whether it would take requests."""
        ready = self.version.ready and not self.stopping.is_set()
        return web.Response(status=200 if ready else 503)

    async def handle(self, request: web.Request) -> web.Response:
        """One request, from its last byte on."""
        number = request.headers.get("X-Request-Id", "")
        if not number:
            return web.Response(status=404)
        await request.read()
        cls = request.headers.get("X-Class", "")
        mean = self.spec.work_ms.get(cls, 10.0) + self.version.leak_ms * self.served
        spread = random.Random(number).lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
        work = mean * spread
        peer = request.transport.get_extra_info("peername") if request.transport else ("", 0)
        self.history.write("arrived", id=number, cls=cls, work=round(work, 3), **{"from": peer[0]})
        if self.stopping.is_set():
            return web.Response(status=503, headers=NOT_RUN)
        return await self._work(request, number, cls, work)

    async def _work(self, request: web.Request, number: str, cls: str, work: float) -> web.Response:
        loop = asyncio.get_running_loop()
        started: asyncio.Future[None] = loop.create_future()
        parts: list[asyncio.Future[None]] = [loop.create_future(), loop.create_future()]
        turns = iter(parts)

        def begun(job: Job) -> None:
            if not started.done():
                started.set_result(None)

        def done(job: Job) -> None:
            part = next(turns)
            if not part.done():
                part.set_result(None)

        job = Job(0.0, begun, done)
        if not self.machine.submit(job):
            return web.Response(status=503, headers=NOT_RUN)
        status, run = 500, ""
        try:
            await started
            self.history.write("began", id=number, cls=cls)
            if self._fails(cls):
                return web.Response(status=500)
            first = work * (BEFORE_CALLS if self.spec.calls else 1.0)
            self.machine.start(job, first)
            await parts[0]
            if self.spec.calls:
                if not await self._call(request, number, cls):
                    return web.Response(status=500)
                self.machine.start(job, work * (1 - BEFORE_CALLS))
                await parts[1]
            self.served += 1
            run = hashlib.sha256(f"{number}/{os.getpid()}/{time.monotonic_ns()}".encode()).hexdigest()[:20]
            status = 200
            return web.json_response({"id": number, "server": self.spec.name, "run": run})
        except asyncio.CancelledError:
            status = 0
            raise
        finally:
            self.machine.release(job)
            self.history.write("ended", id=number, cls=cls, status=status, run=run)

    def _fails(self, cls: str) -> bool:
        version, machine = self.version, self.machine
        if version.fails_past and machine.held > version.fails_past:
            return True
        return self.chance.random() < max(machine.failing, version.fails.get(cls, 0.0))

    async def _call(self, request: web.Request, number: str, cls: str) -> bool:
        """Make our own call to the next tier, with what is left of the time; whether it was served."""
        assert self.session is not None
        left_ms = (parse_duration_ms(request.headers.get("X-Deadline", "").encode()) or NO_DEADLINE_MS) * 0.8
        inner = f"{number}.{self.spec.name}.{self.chance.randrange(1 << 32):08x}"
        asked = request_of(inner, cls, left_ms, request.method == "POST")
        timeout = aiohttp.ClientTimeout(total=left_ms / 1_000)
        try:
            async with self.session.request(
                url=f"http://{self.spec.calls}/{cls}", timeout=timeout, **asked
            ) as answer:
                await answer.read()
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


def _lease(spec: Spec, address: str) -> Lease:
    told = Registration(
        address=address, zone=spec.zone, type="m", weight=float(spec.model.cores), tier=spec.tier,
        since_ms=spec.since_ms, lease_ms=spec.lease_ms,
    )  # fmt: skip
    return Lease(RegistryClient(spec.directory, who=spec.name, timeout_s=LIST_PATIENCE_S), spec.name, told)


async def _hold(lease: Lease) -> None:
    """Keep the place on the list for ever; what fails is tried again soon."""
    while True:
        try:
            await asyncio.to_thread(lease.register_or_renew)
            wait_s = lease.renewal_interval_s
        except RegistryCallError:
            wait_s = LIST_RETRY_S
        await asyncio.sleep(wait_s)


async def main() -> None:
    """Serve until SIGTERM, then until all that was taken is answered."""
    stand_in = StandIn(spec := read_spec(Spec))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stand_in.stopping.set)
    app = web.Application()
    app.router.add_get("/healthz", stand_in.health)
    app.router.add_route("*", "/{path:.*}", stand_in.handle)
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None, shutdown_timeout=5.0)
    await runner.setup()
    site = web.TCPSite(runner, spec.listen, spec.port)
    await site.start()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        stand_in.session = session
        say(ready=list(runner.addresses[0][:2]))
        tasks = [asyncio.create_task(follow(stand_in.command))]
        host, port = runner.addresses[0][:2]
        lease = _lease(spec, f"{host}:{port}") if spec.directory else None
        if lease is not None:
            tasks.append(asyncio.create_task(_hold(lease)))
        await stand_in.stopping.wait()
        for task in tasks:
            task.cancel()
        if lease is not None:
            with contextlib.suppress(RegistryCallError):
                await asyncio.to_thread(lease.deregister, "it ends")
        await runner.cleanup()
    stand_in.history.close()


if __name__ == "__main__":
    asyncio.run(main())
