"""Helpers: list services that fail in given ways, in virtual time and on sockets, and their watches."""

from __future__ import annotations

import asyncio
import json
import math
import selectors
import socket
from bisect import bisect_right
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import pytest
import uvloop

from loadbalancer import interface
from loadbalancer.endpoint_watch import FULL_SNAPSHOT, Address, Watch
from loadbalancer.interface import UpdateKind
from loadbalancer.net.config import EndpointList
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.discovery import DiscoveryClient, connection
from loadbalancer.net.upstream_response import UpstreamResponse
from loadbalancer.policy import Balancer
from tests.loopback import config_text, endpoint_entry, http_response

HERE = endpoint_entry("s0", "127.0.0.1:5000")
INITIAL_INDEX, CHANGED_INDEX = 7, 1_000
FAILURE_MODES = ("refused", "reset", "503", "silent", "half", "garbage", "no dial")
SLOW_START_MODES = ("silent", "half")  # a connection comes up late, or too late
MAX_UNCONGESTED_TIER = 73  # balancers: a larger tier can congest a polled list of the platform's
ONE_INSTANCE: tuple[Address, ...] = (("127.0.0.1", 1),)


def new_watch(
    addresses: tuple[Address, ...] = ONE_INSTANCE,
    *,
    balancer_index: int = 0,
    balancer_count: int,
    drain_grace_ms: float = 0.0,
    is_self_hosted: bool,
    seed: int = 1,
    index: int = FULL_SNAPSHOT,
) -> Watch:
    """Return a watch; what a test does not name has no part in it."""
    return Watch(
        addresses,
        balancer_index=balancer_index,
        balancer_count=balancer_count,
        drain_grace_ms=drain_grace_ms,
        is_self_hosted=is_self_hosted,
        seed=seed,
        index=index,
    )


def list_body(index: int) -> bytes:
    """Return the full list of one server as a list service sends it."""
    return json.dumps({"index": index, "snapshot": True, "endpoints": [HERE]}).encode()


# ---- virtual time -------------------------------------------------------------------------------


class VirtualTimeSelector(selectors.DefaultSelector):
    """Time passes where the loop would wait for it."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; if nothing is, let the timeout pass."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on the clock of its selector."""

    def __init__(self) -> None:
        self.selector = VirtualTimeSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.selector.now


class FailurePhase(NamedTuple):
    """One instance for some time: how calls that reach it end, and how long that takes."""

    mode: str
    duration_s: float
    response_delay_s: float


class FailingInstance:
    """Calls end as the phase says in which they begin; from `recovery_s` on the change is answered."""

    def __init__(self, phases: list[FailurePhase], recovery_s: float, answer_delay_s: float) -> None:
        self._phases = phases
        self._recovery_s = recovery_s
        self._answer_delay_s = answer_delay_s
        self._phase_ends = [sum(p.duration_s for p in phases[: n + 1]) for n in range(len(phases))]

    def current_phase(self) -> FailurePhase:
        """Return how a call ends that comes now."""
        now = asyncio.get_running_loop().time()
        if now >= self._recovery_s:
            return FailurePhase("up", math.inf, self._answer_delay_s)
        return self._phases[bisect_right(self._phase_ends, now) % len(self._phases)]

    async def connect(self) -> FakeConnection:
        """Accept a connection, as the phase says."""
        phase = self.current_phase()
        if phase.mode == "no dial":
            await asyncio.Event().wait()
        if phase.mode in SLOW_START_MODES:
            await asyncio.sleep(phase.response_delay_s)
        if phase.mode == "refused":
            raise ConnectionRefusedError
        return FakeConnection(self)


class FakeConnection:
    """In place of `loadbalancer.net.discovery.connection.Connection`."""

    is_closed = False

    def __init__(self, instance: FailingInstance) -> None:
        self._instance = instance

    async def call(self, request: bytes) -> UpstreamResponse:
        """Answer as the instance's phase says; a watch of the changed list gets no answer."""
        phase = self._instance.current_phase()
        if phase.mode in (*SLOW_START_MODES, "no dial"):
            await asyncio.Event().wait()
        await asyncio.sleep(phase.response_delay_s)
        if phase.mode in ("reset", "refused"):
            raise ConnectionResetError
        if phase.mode != "up":
            return UpstreamResponse(503 if phase.mode == "503" else 200, [], 1, b"{")
        if f"after={CHANGED_INDEX}&".encode() in request:
            await asyncio.Event().wait()
        return UpstreamResponse(200, [], None, list_body(CHANGED_INDEX))

    async def wait_for_late_response(self) -> UpstreamResponse:
        """Wait for ever."""
        never: asyncio.Future[UpstreamResponse] = asyncio.get_running_loop().create_future()
        return await never

    def close(self) -> None:
        """Note that it is closed."""
        self.is_closed = True


class Deployment(NamedTuple):
    """What a balancer's configuration says of where it stands."""

    list_mode: str
    instance_count: int  # of a service of one's own; 0 for the platform's
    balancer_count: int
    poll_interval_ms: float
    drain_grace_ms: float
    seed: int


class WatchHost:
    """A balancer's list and nothing else: the real watch on failing instances, with the real pauses."""

    def __init__(self, deployment: Deployment, instances: list[FailingInstance]) -> None:
        self._loop = asyncio.get_running_loop()
        self._instances = instances
        others = {"others": [f"127.0.0.1:{n}" for n in range(2, deployment.instance_count + 1)]}
        contract = {"askWithin": deployment.poll_interval_ms, "drainGrace": deployment.drain_grace_ms}
        text = config_text(
            "127.0.0.1:1",
            [HERE],
            lists=others if deployment.instance_count else None,
            discovery=deployment.list_mode,
            balancers=deployment.balancer_count,
            contract=contract,
        )
        config = read_config(text, lambda note: None)
        self._balancer = Balancer(config.settings, deployment.seed)
        self._is_notified = asyncio.Event()
        self._first_failure_s = math.inf
        self._client = DiscoveryClient(config, self._handle_update, self._handle_failure)

    async def notification_delay_s(self, recovery_s: float) -> float:
        """Return how long after its recovery, or after the first failed call, the change is known."""
        record_failure = Watch.record_failure

        def note_failure(watch: Watch, *args: Any, **more: Any) -> float | None:
            self._first_failure_s = min(self._first_failure_s, self._loop.time())
            return record_failure(watch, *args, **more)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(connection, "connect", self._connect)
            patch.setattr(Watch, "record_failure", note_failure)
            self._client.start()
            self._handle(interface.EndpointListUpdate(UpdateKind.CACHED))
            await self._is_notified.wait()
            notified_s = self._loop.time()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        has_failed = self._first_failure_s <= notified_s
        return notified_s - max(recovery_s, self._first_failure_s if has_failed else recovery_s)

    def _handle(self, event: interface.Event) -> None:
        for action in self._balancer.handle(event, self._loop.time() * 1_000):
            if isinstance(action, interface.SetTimer):
                expiry = interface.TimerExpired(action.token)
                self._loop.call_at(max(action.at_ms / 1_000, self._loop.time()), self._handle, expiry)
            elif isinstance(action, interface.WatchEndpointList):
                self._client.subscribe()

    def _handle_update(self, update: EndpointList) -> bool:
        endpoints = tuple(e.endpoint for e in update.endpoints)
        self._handle(interface.EndpointListUpdate(UpdateKind.FULL_SNAPSHOT, endpoints))
        if update.index == CHANGED_INDEX:
            self._is_notified.set()
        return True

    def _handle_failure(self) -> None:
        self._handle(self._client.failure_update())

    async def _connect(self, address: Address) -> FakeConnection:
        return await self._instances[address[1] - 1].connect()


def notification_delay_s(
    deployment: Deployment,
    phases: list[list[FailurePhase]],
    recovery_s: float,
    recovered_instance: int,
    answer_delay_s: float,
) -> float:
    """Return how late a change is that one instance has from its recovery on; the others go on failing."""

    async def run() -> float:
        count = max(deployment.instance_count, 1)
        instances = [
            FailingInstance(
                phases[n % len(phases)],
                recovery_s if n == recovered_instance % count else math.inf,
                answer_delay_s,
            )
            for n in range(count)
        ]
        return await WatchHost(deployment, instances).notification_delay_s(recovery_s)

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run())


# ---- sockets ------------------------------------------------------------------------------------


class FailingListService:
    """A list service on a socket whose calls end in one way until it recovers."""

    def __init__(self, mode: str) -> None:
        self._mode = mode
        self._is_up = False
        self.call_has_failed = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))  # nobody listens yet: connections are refused

    async def start(self) -> str:
        """Listen, unless connections are to be refused; return the address."""
        if self._mode != "refused":
            await self._listen()
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    async def recover(self) -> None:
        """Answer calls from now on."""
        self._is_up = True
        if self._mode == "refused":
            await self._listen()

    def close(self) -> None:
        """Close the socket and all connections."""
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, sock=self._socket)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not self._is_up:
                    self._fail(writer)
                elif f"after={CHANGED_INDEX}&".encode() not in head:
                    writer.write(http_response(200, list_body(CHANGED_INDEX)))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _fail(self, writer: asyncio.StreamWriter) -> None:
        self.call_has_failed.set()
        if self._mode == "reset":
            writer.transport.abort()
        elif self._mode == "503":
            writer.write(http_response(503, b""))
        elif self._mode == "half":
            writer.write(http_response(200, list_body(CHANGED_INDEX))[:-20])
        elif self._mode == "garbage":
            writer.write(b"no answer at all\r\n\r\n")


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, for as long as it takes."""
    while not condition():
        await asyncio.sleep(0.01)


def run_within(scenario: Coroutine[Any, Any, None], span_s: float) -> None:
    """Run a scenario in real time, on the production loop; TimeoutError if it takes longer."""

    async def limited() -> None:
        await asyncio.wait_for(scenario, span_s)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(limited())
