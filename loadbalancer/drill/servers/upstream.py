"""A test server as a process: the model of `loadbalancer.simulation.servers` on real sockets.

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
from loadbalancer.drill.scenario.tables import ServerModel, ServerVersion
from loadbalancer.drill.servers.specification import (
    ProcessSpecification,
    read_specification,
    receive_commands,
    request_arguments,
    send_message,
)
from loadbalancer.net.downstream_request import parse_duration_ms
from loadbalancer.registry.client import RegistryCallError, RegistryClient
from loadbalancer.registry.entries import Registration
from loadbalancer.registry.lease import Lease
from loadbalancer.simulation.servers import Job, Server, ServerSpec

WORK_BEFORE_NEXT_TIER = 0.5  # the fraction of its work that comes before its calls to the next tier
WORK_SPREAD = 0.6  # standard deviation of the logarithm of a request's work
DEFAULT_WORK_MS = 10.0  # for a class that the specification does not know
DEFAULT_DEADLINE_MS = 1_000.0  # for a request without one
NEXT_TIER_DEADLINE = 0.8  # of a request's own deadline, for its calls to the next tier
REGISTRY_TIMEOUT_S = 1.0
REGISTRY_RETRY_INTERVAL_S = 0.3
SHUTDOWN_TIMEOUT_S = 5.0
NOT_EXECUTED_HEADERS = {"X-Not-Run": "1"}


class UpstreamSpecification(
    ProcessSpecification, kw_only=True, frozen=True,
    rename={"next_tier": "calls", "registry": "directory", "started_at_ms": "since_ms"},
):  # fmt: skip
    """What a test server is started with."""

    zone: str
    model: ServerModel
    version: ServerVersion = ServerVersion()
    work_ms: dict[str, float]
    """By class, on a standard core."""
    next_tier: str = ""
    """host:port of the balancer beside it; empty where it makes no calls."""
    started_at_ms: float = 0.0
    registry: str = ""
    """host:port of real registry instances; empty where the driver changes the list."""
    tier: str = "first"
    lease_ms: float = 3_000.0


class TestServer:
    """One server: accepts requests, works on them as the model says, and records what it did."""

    def __init__(self, spec: UpstreamSpecification, session: aiohttp.ClientSession) -> None:
        self._spec = spec
        self._session = session
        self._version = spec.version
        self._model = _create_model(spec)
        self.history = spec.open_history()
        self._random = random.Random(f"{spec.seed}/{spec.name}/{spec.started_at_ms}")
        self._completed_count = 0
        self.stopping = asyncio.Event()
        self.history.write(
            "up", cores=spec.model.cores, speed=spec.model.speed / spec.version.slowdown,
            cold_from=spec.model.initial_capacity, cold_ms=spec.model.warm_up_s * 1_000,
            since=spec.started_at_ms,
        )  # fmt: skip

    def handle_command(self, command: dict[str, Any]) -> None:
        """Behave otherwise from now on."""
        model = self._model
        model.slowdown = self._version.slowdown * float(command["slower"])
        model.error_rate = float(command["fails"])
        model.is_paused = bool(command["paused"])
        model.update_pace()

    async def handle_health_check(self, request: web.Request) -> web.Response:
        """Answer whether it would accept requests."""
        is_ready = self._version.is_ready and not self.stopping.is_set()
        return web.Response(status=200 if is_ready else 503)

    async def handle_request(self, request: web.Request) -> web.Response:
        """Answer one request, whose work is counted from its last byte on."""
        request_id = request.headers.get("X-Request-Id", "")
        if not request_id:
            return web.Response(status=404)
        await request.read()
        request_class = request.headers.get("X-Class", "")
        mean_ms = self._spec.work_ms.get(request_class, DEFAULT_WORK_MS)
        mean_ms += self._version.leak_ms * self._completed_count
        spread = random.Random(request_id).lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
        work_ms = mean_ms * spread
        peer = request.transport.get_extra_info("peername") if request.transport else ("", 0)
        origin = {"from": peer[0]}
        self.history.write("arrived", id=request_id, cls=request_class, work=round(work_ms, 3), **origin)
        if self.stopping.is_set():
            return web.Response(status=503, headers=NOT_EXECUTED_HEADERS)
        return await self._execute(request, request_id, request_class, work_ms)

    async def _execute(
        self, request: web.Request, request_id: str, request_class: str, work_ms: float
    ) -> web.Response:
        """Queue a request, work on it, and answer."""
        job = ModelJob()
        if not self._model.submit(job.job):
            return web.Response(status=503, headers=NOT_EXECUTED_HEADERS)
        status, execution_id = 500, ""
        try:
            await job.started
            self.history.write("began", id=request_id, cls=request_class)
            if self._fails(request_class) or not await self._work(job, request, request_id, work_ms):
                return web.Response(status=500)
            self._completed_count += 1
            execution = f"{request_id}/{os.getpid()}/{time.monotonic_ns()}"
            execution_id = hashlib.sha256(execution.encode()).hexdigest()[:20]
            status = 200
            answer = {"id": request_id, "server": self._spec.name, "run": execution_id}
            return web.json_response(answer)
        except asyncio.CancelledError:
            status = 0
            raise
        finally:
            self._model.release(job.job)
            self.history.write("ended", id=request_id, cls=request_class, status=status, run=execution_id)

    def _fails(self, request_class: str) -> bool:
        version, model = self._version, self._model
        if version.fails_above_in_flight and model.in_flight > version.fails_above_in_flight:
            return True
        return self._random.random() < max(model.error_rate, version.failure_rates.get(request_class, 0.0))

    async def _work(self, job: ModelJob, request: web.Request, request_id: str, work_ms: float) -> bool:
        """Do a request's work, around its call to the next tier; return whether that was served."""
        if not self._spec.next_tier:
            await job.work(self._model, work_ms)
            return True
        await job.work(self._model, work_ms * WORK_BEFORE_NEXT_TIER)
        if not await self._call_next_tier(request, request_id):
            return False
        await job.work(self._model, work_ms * (1 - WORK_BEFORE_NEXT_TIER))
        return True

    async def _call_next_tier(self, request: web.Request, request_id: str) -> bool:
        """Call the next tier with what remains of the deadline; return whether that was served."""
        deadline_ms = parse_duration_ms(request.headers.get("X-Deadline", "").encode())
        remaining_ms = (deadline_ms or DEFAULT_DEADLINE_MS) * NEXT_TIER_DEADLINE
        call_id = f"{request_id}.{self._spec.name}.{self._random.randrange(1 << 32):08x}"
        request_class = request.headers.get("X-Class", "")
        arguments = request_arguments(
            call_id, request_class, remaining_ms, is_unsafe=request.method == "POST"
        )
        timeout = aiohttp.ClientTimeout(total=remaining_ms / 1_000)
        url = f"http://{self._spec.next_tier}/{request_class}"
        try:
            async with self._session.request(url=url, timeout=timeout, **arguments) as answer:
                await answer.read()
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


class ModelJob:
    """A request in the model of a server, whose callbacks are awaited."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.started: asyncio.Future[None] = loop.create_future()
        self._worked: asyncio.Future[None] = loop.create_future()
        self.job = Job(0.0, self._on_started, self._on_worked)

    def _on_started(self, job: Job) -> None:
        if not self.started.done():
            self.started.set_result(None)

    def _on_worked(self, job: Job) -> None:
        if not self._worked.done():
            self._worked.set_result(None)

    async def work(self, model: Server, work_ms: float) -> None:
        """Work on a core of the model for so long, as measured on a standard core."""
        self._worked = asyncio.get_running_loop().create_future()
        model.start(self.job, work_ms)
        await self._worked


def _create_model(spec: UpstreamSpecification) -> Server:
    """Return the model of a server that neither thrashes nor fails of itself."""
    model = spec.model
    server = Server(
        RealClock(spec.offset_ms),
        ServerSpec(
            spec.name, 0, spec.zone, model.cores, model.speed, model.slots, model.queue, connections=10_000,
            thrash=0.0, thrash_at=math.inf, error_rate=0.0, initial_capacity=model.initial_capacity,
            warm_up_ms=model.warm_up_s * 1_000,
        ),
    )  # fmt: skip
    server.started_at = spec.started_at_ms
    server.slowdown = spec.version.slowdown
    return server


def _create_lease(spec: UpstreamSpecification, address: str) -> Lease:
    """Return the lease of a server in the real registry."""
    registration = Registration(
        address=address, zone=spec.zone, type="m", weight=float(spec.model.cores), tier=spec.tier,
        since_ms=spec.started_at_ms, lease_ms=spec.lease_ms,
    )  # fmt: skip
    client = RegistryClient(spec.registry, who=spec.name, timeout_s=REGISTRY_TIMEOUT_S)
    return Lease(client, spec.name, registration)


async def _renew_lease(lease: Lease) -> None:
    """Register and renew for ever; what fails is repeated soon."""
    while True:
        try:
            await asyncio.to_thread(lease.register_or_renew)
            wait_s = lease.renewal_interval_s
        except RegistryCallError:
            wait_s = REGISTRY_RETRY_INTERVAL_S
        await asyncio.sleep(wait_s)


async def main() -> None:
    """Serve until SIGTERM, then until all that was accepted is answered."""
    spec = read_specification(UpstreamSpecification)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        server = TestServer(spec, session)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, server.stopping.set)
        app = web.Application()
        app.router.add_get("/healthz", server.handle_health_check)
        app.router.add_route("*", "/{path:.*}", server.handle_request)
        runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        await web.TCPSite(runner, spec.listen, spec.port).start()
        host, port = runner.addresses[0][:2]
        send_message(ready=[host, port])
        tasks = [asyncio.create_task(receive_commands(server.handle_command))]
        lease = _create_lease(spec, f"{host}:{port}") if spec.registry else None
        if lease is not None:
            tasks.append(asyncio.create_task(_renew_lease(lease)))
        await server.stopping.wait()
        for task in tasks:
            task.cancel()
        if lease is not None:
            with contextlib.suppress(RegistryCallError):
                await asyncio.to_thread(lease.deregister, "it ends")
        await runner.cleanup()
    server.history.close()


if __name__ == "__main__":
    asyncio.run(main())
