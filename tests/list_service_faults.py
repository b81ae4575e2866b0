"""Helpers: list services with injected faults, in virtual time and on sockets, and watches of them."""

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
from loadbalancer.net.message_head import ResponseHead
from loadbalancer.net.upstream_response import UpstreamResponse
from loadbalancer.policy import Balancer
from tests.loopback import config_text, endpoint_entry, http_response

HERE = endpoint_entry("s0", "127.0.0.1:5000")
INITIAL_INDEX, CHANGED_INDEX = 7, 1_000
FAILURE_MODES = ("refused", "reset", "503", "silent", "half", "garbage", "no dial")
SLOW_START_MODES = ("silent", "half")  # modes in which connecting is delayed, possibly beyond its timeout
MAX_UNCONGESTED_TIER = 73  # balancers; a larger tier can congest the platform's polled list service
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
    """Return a watch with defaults for the parameters that a test does not vary."""
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
    """Return the body of a list service's response: a full list of one server."""
    return json.dumps({"index": index, "snapshot": True, "endpoints": [HERE]}).encode()


# ---- virtual time -------------------------------------------------------------------------------


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual time instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return ready events; if there are none, advance the time by the timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that uses its selector's virtual clock."""

    def __init__(self) -> None:
        self.selector = VirtualTimeSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.selector.now


class FailurePhase(NamedTuple):
    """A period of one instance: how calls that reach it end, and after what delay."""

    mode: str
    duration_s: float
    response_delay_s: float


class FailingInstance:
    """Calls end according to the phase in which they start; from `recovery_s` on they get the change."""

    def __init__(self, phases: list[FailurePhase], recovery_s: float, answer_delay_s: float) -> None:
        self._phases = phases
        self._recovery_s = recovery_s
        self._answer_delay_s = answer_delay_s
        self._phase_ends = [sum(p.duration_s for p in phases[: n + 1]) for n in range(len(phases))]

    def current_phase(self) -> FailurePhase:
        """Return the phase for a call that starts now."""
        now = asyncio.get_running_loop().time()
        if now >= self._recovery_s:
            return FailurePhase("up", math.inf, self._answer_delay_s)
        return self._phases[bisect_right(self._phase_ends, now) % len(self._phases)]

    async def connect(self) -> FakeConnection:
        """Accept, delay or refuse a connection, depending on the phase."""
        phase = self.current_phase()
        if phase.mode == "no dial":
            await asyncio.Event().wait()
        if phase.mode in SLOW_START_MODES:
            await asyncio.sleep(phase.response_delay_s)
        if phase.mode == "refused":
            raise ConnectionRefusedError
        return FakeConnection(self)


class FakeConnection:
    """Replaces `loadbalancer.net.discovery.connection.Connection`."""

    is_closed = False

    def __init__(self, instance: FailingInstance) -> None:
        self._instance = instance

    async def call(self, request: bytes) -> UpstreamResponse:
        """Answer depending on the instance's phase; a watch of the changed list gets no answer."""
        phase = self._instance.current_phase()
        if phase.mode in (*SLOW_START_MODES, "no dial"):
            await asyncio.Event().wait()
        await asyncio.sleep(phase.response_delay_s)
        if phase.mode in ("reset", "refused"):
            raise ConnectionResetError
        if phase.mode != "up":
            return UpstreamResponse(ResponseHead(503 if phase.mode == "503" else 200), 1, b"{")
        if f"after={CHANGED_INDEX}&".encode() in request:
            await asyncio.Event().wait()
        return UpstreamResponse(ResponseHead(200), None, list_body(CHANGED_INDEX))

    async def wait_for_late_response(self) -> UpstreamResponse:
        """Wait forever."""
        never: asyncio.Future[UpstreamResponse] = asyncio.get_running_loop().create_future()
        return await never

    def close(self) -> None:
        """Mark the connection as closed."""
        self.is_closed = True


class Deployment(NamedTuple):
    """The parts of a balancer's configuration that determine its watch."""

    list_mode: str
    instance_count: int  # of a self-hosted service; 0 for the platform's
    balancer_count: int
    poll_interval_ms: float
    drain_grace_ms: float
    seed: int


class WatchHost:
    """Hosts only a balancer's endpoint list: the real watch and backoff against failing instances."""

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
        """Return the time from the recovery, or a later first failed call, until the change is received."""
        record_failure = Watch.record_failure

        def record_first_failure(watch: Watch, *args: Any, **options: Any) -> float | None:
            self._first_failure_s = min(self._first_failure_s, self._loop.time())
            return record_failure(watch, *args, **options)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(connection, "connect", self._connect)
            patch.setattr(Watch, "record_failure", record_first_failure)
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
    """Return the notification delay of a change if one instance recovers and the others keep failing."""

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
    """A list service on a socket whose calls fail in one mode until it recovers."""

    def __init__(self, mode: str) -> None:
        self._mode = mode
        self._is_up = False
        self.call_has_failed = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))  # not listening yet: connections are refused

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
    """Wait for a condition without a timeout."""
    while not condition():
        await asyncio.sleep(0.01)


def run_within(scenario: Coroutine[Any, Any, None], span_s: float) -> None:
    """Run a scenario in real time, on the production loop; TimeoutError if it takes longer."""

    async def limited() -> None:
        await asyncio.wait_for(scenario, span_s)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(limited())
