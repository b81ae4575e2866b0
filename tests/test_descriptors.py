"""Idle clients exhaust a process's descriptors while discovery is down: it recovers soon after its return."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import json
import os
import resource
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.drill.processes.addresses import find_free_port
from loadbalancer.net import descriptors, downstream_connection
from loadbalancer.net.descriptors import (
    EVICTION_INTERVAL_S,
    MAX_EVICTIONS_PER_PASS,
    MIN_EVICTABLE_IDLE_S,
    NEW_CONNECTION_GRACE_S,
    IdleEviction,
    max_connections_per_side,
)
from tests.loopback import (
    HttpMessage,
    ListServer,
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    http_response,
    read_message,
    run_scenario,
    status_of,
    wait_at_least,
    wait_until,
)

HOST = "127.0.0.1"
MIN_SOCKETS = 256  # the fewest sockets that a balancer gets
CLIENT_COUNT = 600
OUTAGE_S = 2.0  # of discovery, with all connections in use
RECOVERY_S = 6.0  # after discovery returns
DRAIN_GRACE_S = 0.5  # as configured
HEAD = b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 5000m\r\n\r\n"


# ---- connection limits --------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("sockets", "own", "wanted"),
    [(1_024, 20_000, 464), (1_024, 256, 80), (256, resource.RLIM_INFINITY, 80), (16, 20_000, 4)],
)
def test_each_side_gets_its_fraction_of_what_the_configuration_and_the_process_allow(
    sockets: int, own: int, wanted: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (own, own))
    assert max_connections_per_side(sockets) == wanted


def test_an_accept_for_which_there_is_no_descriptor_is_not_retried_at_once() -> None:
    """The listener stays readable: an accept that fails and is retried at once would spin."""

    class ExhaustedSocket(socket.socket):
        attempts = 0

        def accept(self) -> Any:
            ExhaustedSocket.attempts += 1
            raise OSError(errno.EMFILE, "no descriptor")

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            listener = harness.proxy.downstream
            listener._stop_reading()
            listener.listening_socket = ExhaustedSocket(fileno=listener.listening_socket.detach())
            listener._start_reading()
            with socket.create_connection(listener.address):
                await wait_until(lambda: ExhaustedSocket.attempts > 0)
                for _ in range(1_000):
                    await asyncio.sleep(0)
                assert ExhaustedSocket.attempts <= 2
                listener.listening_socket = socket.socket(fileno=listener.listening_socket.detach())
                await wait_until(lambda: listener.connection_count() == 1)

    run_scenario(scenario())


# ---- eviction -----------------------------------------------------------------------------------


class StubConnection:
    """A connection that has been idle since `idle_since_s`."""

    def __init__(self, idle_since_s: float, has_received_request: bool, can_close: bool = True) -> None:
        self.idle_since_s = idle_since_s
        self._has_received_request = has_received_request
        self._can_close = can_close
        self.is_evicted = False

    def has_received_request(self) -> bool:
        return self._has_received_request

    def can_close(self) -> bool:
        return self._can_close and not self.is_evicted

    def evict(self) -> None:
        self.idle_since_s, self.is_evicted = float("inf"), True


def test_connections_without_a_request_are_evicted_before_the_longest_idle_and_busy_ones_never() -> None:
    now = 100.0
    serving = StubConnection(now - 50.0, has_received_request=True, can_close=False)
    long_idle = StubConnection(now - 9.0, has_received_request=True)
    idle = StubConnection(now - 2 * MIN_EVICTABLE_IDLE_S, has_received_request=True)
    busy = StubConnection(now - MIN_EVICTABLE_IDLE_S / 2, has_received_request=True)
    without_request = StubConnection(now - 2 * NEW_CONNECTION_GRACE_S, has_received_request=False)
    recent = StubConnection(now - NEW_CONNECTION_GRACE_S / 2, has_received_request=False)
    clients = [serving, busy, idle, long_idle, recent, without_request]
    eviction, order = IdleEviction(), list[StubConnection]()
    for _ in range(4):
        eviction.reset()  # one at a time
        eviction.evict_idle(clients, now)
        order += [c for c in clients if c.is_evicted and c not in order]
        now += EVICTION_INTERVAL_S / 4
        eviction.evict_idle(clients, now)  # too soon
        assert len([c for c in clients if c.is_evicted]) == len(order)
        eviction._next_pass_s = 0.0
        now = 100.0
    assert order == [without_request, long_idle, idle]


def test_evictions_double_up_to_a_bound_until_nobody_waits() -> None:
    eviction, now, counts = IdleEviction(), 100.0, list[int]()
    connections = [StubConnection(0.0, has_received_request=False) for _ in range(200)]
    for _ in range(7):
        before = sum(c.is_evicted for c in connections)
        eviction.evict_idle(connections, now)
        counts.append(sum(c.is_evicted for c in connections) - before)
        now += 2 * EVICTION_INTERVAL_S
    assert counts == [1, 2, 4, 8, MAX_EVICTIONS_PER_PASS, MAX_EVICTIONS_PER_PASS, MAX_EVICTIONS_PER_PASS]
    eviction.reset()
    before = sum(c.is_evicted for c in connections)
    eviction.evict_idle(connections, now)
    assert sum(c.is_evicted for c in connections) - before == 1


def test_an_evicted_client_that_reads_no_response_is_closed_all_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waiting without an end for the client to read its response."""
    monkeypatch.setattr(downstream_connection, "STALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(downstream_connection, "LINGERING_CLOSE_S", 0.01)
    monkeypatch.setattr(descriptors, "MIN_EVICTABLE_IDLE_S", 0.0)

    async def scenario() -> None:
        async with ProxyHarness(Upstream(http_response(200, b"x" * 60_000), http_response())) as harness:
            harness.proxy.downstream.max_connections = 1
            with socket.socket() as unreading:
                unreading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                unreading.connect(harness.proxy.downstream.address)
                await wait_until(lambda: harness.proxy.downstream.connection_count() == 1)
                (connection,) = harness.proxy.downstream._connections
                await wait_until(lambda: connection._transport is not None)
                assert connection._transport is not None
                accepted = connection._transport.get_extra_info("socket")
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
                unreading.sendall(HEAD)
                await wait_until(lambda: connection.pipeline.unsent.size_bytes > 0 and connection.is_idle())
                assert status_of(await harness.request()) == 200

    run_scenario(scenario())


# ---- a whole process ----------------------------------------------------------------------------


class ReconnectingClients:
    """Idle clients, each of which reconnects at once when its connection is closed."""

    def __init__(self, port: int, kind: str) -> None:
        self._port, self._kind = port, kind
        self._tasks = [asyncio.create_task(self._stay()) for _ in range(CLIENT_COUNT)]
        self.connect_count = 0

    async def _stay(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self._port)
                self.connect_count += 1
                try:
                    if self._kind == "that asked once":
                        writer.write(HEAD)
                        await read_message(reader)
                    await reader.read()
                    if self._kind == "that never close":
                        await wait_at_least(RECOVERY_S)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0)

    async def __aenter__(self) -> ReconnectingClients:
        return self

    async def __aexit__(self, *_: object) -> None:
        """Disconnect all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Balancer:
    """The program as a process with few descriptors, and its console."""

    def __init__(self, pid: int, port: int, console: int) -> None:
        self.pid, self.port, self._console = pid, port, console

    def open_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    async def call_console(self, path: str) -> HttpMessage:
        """Call the console."""
        return await self._send(self._console, f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())

    async def get(self) -> HttpMessage:
        """Send one request on a new connection, as soon as it is established."""
        return await self._send(self.port, HEAD)

    async def _send(self, port: int, data: bytes) -> HttpMessage:
        with socket.create_connection((HOST, port)) as sock:
            sock.sendall(data)
            reader, writer = await asyncio.open_connection(sock=sock.dup())
            try:
                return await read_message(reader)
            finally:
                writer.close()


@asynccontextmanager
async def small_process(
    folder: Path, discovery: str, entries: list[dict[str, Any]], sockets: int
) -> AsyncIterator[Balancer]:
    """Run a process limited to `MIN_SOCKETS` descriptors, whose configuration allows `sockets`."""
    port, console = find_free_port(HOST), find_free_port(HOST)
    raw = json.loads(config_text(discovery, entries, console=f"{HOST}:{console}", discovery="push"))
    raw["listen"], raw["limits"]["sockets"] = f"{HOST}:{port}", sockets
    path = folder / "config.json"
    path.write_text(json.dumps(raw), encoding="utf-8")
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "loadbalancer", env=os.environ | {"LB_CONFIG": str(path)},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MIN_SOCKETS, MIN_SOCKETS)),
    )  # fmt: skip
    balancer = Balancer(process.pid, port, console)
    try:
        while True:
            with contextlib.suppress(OSError):
                if status_of(await balancer.call_console("/admin/health")) == 200:
                    break
            assert process.returncode is None
            await wait_at_least(0.01)
        yield balancer
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


class InterruptibleListServer(ListServer):
    """A list service that can stop, refusing connections or staying silent, and resume."""

    async def stop(self, how: str) -> None:
        if how == "refuses":
            self.server.close()

    async def resume(self, address: str) -> None:
        if not self.server.is_serving():
            host, _, port = address.rpartition(":")
            self.server = await asyncio.start_server(self._serve, host, int(port))


@pytest.mark.parametrize(
    ("kind", "away", "sockets"),
    [
        ("that send nothing", "refuses", MIN_SOCKETS),
        ("that send nothing", "is silent", MIN_SOCKETS),
        ("that asked once", "refuses", MIN_SOCKETS),
        ("that never close", "is silent", MIN_SOCKETS),
        ("that send nothing", "refuses", 4 * MIN_SOCKETS),
    ],
)
def test_idle_clients_take_no_descriptor_of_the_list_upstreams_or_console(
    kind: str, away: str, sockets: int, tmp_path: Path
) -> None:
    async def scenario() -> None:
        old, new, discovery = Upstream(), Upstream(), InterruptibleListServer()
        entries = [endpoint_entry("old", await old.start()), endpoint_entry("new", await new.start())]
        address = await discovery.start()
        async with small_process(tmp_path, address, entries[:1], sockets) as balancer:
            await discovery.stop(away)
            async with ReconnectingClients(balancer.port, kind) as idle_clients:
                console = asyncio.create_task(watch_console(balancer))
                while idle_clients.connect_count < CLIENT_COUNT:
                    await wait_at_least(0.01)
                await wait_at_least(OUTAGE_S)
                await discovery.resume(address)
                draining = entries[0] | {"status": "terminating"}
                for _ in range(discovery.request_lines.qsize() + 3):  # abandoned calls take responses, too
                    discovery.publish(9, draining, entries[1], snapshot=True)
                answers = list[int]()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RECOVERY_S):
                        while json.loads((await balancer.call_console("/admin/list")).body)["index"] != 9:
                            await wait_at_least(0.02)
                        await wait_at_least(DRAIN_GRACE_S)
                        before = len(old.requests)
                        answers += map(status_of, await asyncio.gather(*[balancer.get() for _ in range(20)]))
                assert answers == [200] * 20, "the new list is applied, and requests are answered"
                assert new.requests and len(old.requests) == before
                assert not console.done(), "the console answers throughout"
                console.cancel()

    async def watch_console(balancer: Balancer) -> None:
        while True:
            async with asyncio.timeout(2.0):
                assert status_of(await balancer.call_console("/admin/stats")) == 200
            assert balancer.open_descriptors() < MIN_SOCKETS - 32
            await wait_at_least(0.05)

    async def bounded() -> None:
        async with asyncio.timeout(40.0):
            await scenario()

    try:
        asyncio.run(bounded())
    finally:
        gc.collect()  # client coroutines that are finalized while pytest reads a source file can stop it
