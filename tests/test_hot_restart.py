"""Hot restart: one balancer process takes over from another, as real processes on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.drill.processes.addresses import find_free_port
from loadbalancer.interface import Endpoint, TakeoverChanged
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.cordons import Cordons
from loadbalancer.net.hot_restart import HotRestartListener, connect_to_predecessor, predecessor
from loadbalancer.net.hot_restart.protocol import socket_path
from loadbalancer.net.learned_state import decode_learned_state, encode_learned_state
from tests.helpers import BalancerHost, settings
from tests.loopback import (
    HttpClient,
    HttpMessage,
    ListServer,
    Upstream,
    config_text,
    endpoint_entry,
    http_response,
    read_message,
    run_scenario,
    status_of,
)


class Site:
    """The addresses and folder shared by the processes of one balancer, and its upstreams."""

    def __init__(
        self, folder: Path, *upstreams: Upstream, sockets: int = 1024, deadline_ms: float = 5_000.0
    ) -> None:
        self.folder = folder
        self.upstreams = upstreams
        self._sockets = sockets
        self._deadline_ms = deadline_ms
        (folder / "shared").mkdir()
        self.discovery = ListServer()
        self.port = find_free_port("127.0.0.1")
        self.entries: list[dict[str, Any]] = []

    async def start(self) -> None:
        for i, upstream in enumerate(self.upstreams):
            self.entries.append(endpoint_entry(f"s{i}", await upstream.start()))
        self._discovery = await self.discovery.start()

    @asynccontextmanager
    async def process(self) -> AsyncIterator[Process]:
        console = find_free_port("127.0.0.1")
        raw = json.loads(config_text(self._discovery, self.entries, f"127.0.0.1:{console}"))
        raw["listen"], raw["limits"]["sockets"] = f"127.0.0.1:{self.port}", self._sockets
        for request_class in raw["settings"]["classes"]:
            request_class |= {"target": 0.4 * self._deadline_ms, "deadline": self._deadline_ms}
        path = self.folder / f"{console}.json"
        path.write_text(json.dumps(raw))
        environment = os.environ | {"LB_CONFIG": str(path), "TMPDIR": str(self.folder / "shared")}
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "loadbalancer", env=environment, stderr=asyncio.subprocess.PIPE
        )
        process = Process(child, console)
        try:
            yield process
        finally:
            if child.returncode is None:
                child.kill()
            await child.wait()

    async def connect(self) -> HttpClient:
        client = HttpClient()
        client.reader, client.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return client


class Process:
    """A balancer process and its console."""

    def __init__(self, child: asyncio.subprocess.Process, console: int) -> None:
        self.child = child
        self._console = console

    async def call(self, line: str, body: bytes = b"") -> HttpMessage:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._console)
        writer.write(f"{line} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = await read_message(reader)
        writer.close()
        return answer

    async def stats(self) -> dict[str, Any]:
        stats: dict[str, Any] = json.loads((await self.call("GET /admin/stats")).body)
        return stats

    async def is_serving(self) -> bool:
        try:
            return status_of(await self.call("GET /admin/health")) == 200
        except ConnectionRefusedError:
            return False

    async def wait_until_serving(self) -> None:
        while not await self.is_serving():
            assert self.child.returncode is None
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        self.child.send_signal(signal.SIGTERM)
        assert await self.child.wait() == 0


async def send_requests(site: Site, stop: asyncio.Event, reuse: bool) -> int:
    """Send requests in sequence, on a kept connection if `reuse`; return how many were served."""
    served, client = 0, None
    while not stop.is_set():
        client = client or await site.connect()
        client.send_request()
        answer = await client.read_response()
        assert status_of(answer) == 200
        served += 1
        if not reuse or answer.headers.get("connection") == "close":
            client.writer.close()
            client = None
    return served


@pytest.mark.parametrize("handover", ["handed over", "refused"])
def test_no_request_is_lost_under_load_during_a_hot_restart(tmp_path: Path, handover: str) -> None:
    async def scenario() -> None:
        site = Site(tmp_path, Upstream(), Upstream())
        await site.start()
        site.discovery.publish(8, *site.entries, snapshot=True)
        if handover == "refused":
            (tmp_path / "shared" / "handover").mkdir()  # no socket can be created there
        async with site.process() as old:
            await old.wait_until_serving()
            stop = asyncio.Event()
            senders = [asyncio.ensure_future(send_requests(site, stop, reuse=i % 2 == 0)) for i in range(6)]
            async with site.process() as new:
                if handover == "handed over":
                    await site.discovery.request_lines.get()
                    site.discovery.publish(8, *site.entries, snapshot=True)
                await new.wait_until_serving()
                if handover == "handed over":
                    await old.stop()
                    before = (await new.stats())["succeeded"]["read"]
                    while (await new.stats())["succeeded"]["read"] <= before:
                        await asyncio.sleep(0.01)
                stop.set()
                assert min(await asyncio.gather(*senders)) > 0

    run_scenario(scenario())


def test_clients_in_the_accept_queue_are_served_by_the_successor(tmp_path: Path) -> None:
    async def scenario() -> None:
        released = asyncio.Event()

        async def gated(asked: HttpMessage, writer: asyncio.StreamWriter) -> None:
            await released.wait()
            writer.write(http_response())

        # Room for four clients; the deadline allows for a slow process start on a busy machine.
        site = Site(tmp_path, Upstream(gated), sockets=100, deadline_ms=60_000.0)
        await site.start()
        async with site.process() as old:
            await old.wait_until_serving()
            clients = [await site.connect() for _ in range(30)]
            for client in clients:
                client.send_request(deadline="60000m")
            while (await old.stats())["outstanding"] < 4:
                await asyncio.sleep(0.01)
            async with site.process() as new:
                site.discovery.publish(8, *site.entries, snapshot=True)
                site.discovery.publish(8, *site.entries, snapshot=True)
                await new.wait_until_serving()
                released.set()
                await old.stop()
                for client in clients:
                    assert status_of(await client.read_response()) == 200
                    client.writer.close()

    run_scenario(scenario())


def test_predecessor_accepts_again_when_its_successor_dies(tmp_path: Path) -> None:
    async def scenario() -> None:
        site = Site(tmp_path, Upstream())
        await site.start()
        async with site.process() as old:
            await old.wait_until_serving()
            async with site.process() as new:
                site.discovery.publish(8, *site.entries, snapshot=True)
                site.discovery.publish(8, *site.entries, snapshot=True)
                await new.wait_until_serving()
            client = await site.connect()
            client.send_request()
            assert status_of(await client.read_response()) == 200
            assert await old.is_serving()

    run_scenario(scenario())


def test_cordon_outlasts_the_process_that_applied_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        first, second = Upstream(), Upstream()
        site = Site(tmp_path, first, second)
        await site.start()
        site.discovery.publish(8, *site.entries, snapshot=True)
        async with site.process() as old:
            await old.wait_until_serving()
            assert status_of(await old.call("POST /admin/cordon", b"s0")) == 200
            site.discovery.publish(8, *site.entries, snapshot=True)
            async with site.process() as new:
                await new.wait_until_serving()
                await old.stop()
                for _ in range(10):
                    client = await site.connect()
                    client.send_request()
                    assert status_of(await client.read_response()) == 200
                assert (len(first.requests), len(second.requests)) == (0, 10)
                assert (await new.stats())["ejected"] == 1

    run_scenario(scenario())


def test_cordon_outlasts_a_process_that_could_not_write_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        site = Site(tmp_path, Upstream(), Upstream())
        await site.start()
        (site.folder / "shared" / "cordons.lock").mkdir()  # opening it fails, as on a full disk
        async with site.process() as old:
            await old.wait_until_serving()
            assert status_of(await old.call("POST /admin/cordon", b"s0")) == 200
            async with site.process() as new:
                await new.wait_until_serving()
                await old.stop()
                assert (await new.stats())["ejected"] == 1
                client = await site.connect()
                for _ in range(8):
                    client.send_request()
                    assert status_of(await client.read_response()) == 200
                assert len(site.upstreams[0].requests) == 0
                assert status_of(await new.call("POST /admin/uncordon", b"s0")) == 200
                assert (await new.stats())["ejected"] == 0

    run_scenario(scenario())


def test_unreadable_cordons_of_the_predecessor_leave_those_of_the_file(tmp_path: Path) -> None:
    file = CordonFile(tmp_path)
    assert file.set_cordon("s0", is_cordoned=True) == ""
    unreadable: tuple[object, ...] = (
        None,
        [],
        {"out": "s1", "back": {}},
        {"out": ["s1"], "back": {"s": "x"}},
    )
    for raw in unreadable:
        with pytest.raises(ValueError, match="not "):
            file.adopt(raw)
    assert file.cordons.servers == {"s0"}
    file.adopt({"out": ["s1"], "back": {"s0": 1.0}})
    assert file.cordons == Cordons(frozenset({"s1"}), {"s0": 1.0})


@pytest.mark.parametrize("leftover", ["nothing", "a file", "a dead socket"])
def test_leftovers_of_a_killed_process_do_not_prevent_a_start(tmp_path: Path, leftover: str) -> None:
    path = tmp_path / "handover"
    if leftover == "a file":
        path.write_bytes(b"half")
    elif leftover == "a dead socket":
        with socket.socket(socket.AF_UNIX) as dead, socket_path(tmp_path) as short:
            dead.bind(short)
    assert connect_to_predecessor(tmp_path) is None

    async def scenario() -> None:
        waiting = HotRestartListener(tmp_path, asyncio.get_running_loop(), process=object())  # type: ignore[arg-type]
        assert waiting.start() == ""

    run_scenario(scenario())


def test_predecessor_that_sends_nothing_is_ignored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(predecessor, "ANSWER_TIMEOUT_S", 0.05)
    with socket.socket(socket.AF_UNIX) as listener, socket_path(tmp_path) as path:
        listener.bind(path)
        listener.listen()
        assert connect_to_predecessor(tmp_path) is None


def test_learned_state_passes_to_the_successor() -> None:
    old, new = BalancerHost(4), BalancerHost(4, seed=2)
    for _ in range(300):
        old.serve_request(takes={"s0": 400.0, "s1": 20.0, "s2": 20.0, "s3": 20.0})
    new.now = old.now
    encoded = json.loads(json.dumps(encode_learned_state(old.balancer.learned_state(old.now))))
    new.balancer.restore(decode_learned_state(encoded, {c.name for c in settings().classes}), new.now)
    served = [new.serve_request(takes=20.0) for _ in range(40)]
    assert served.count("s0") <= 3


@pytest.mark.parametrize(
    "change",
    [
        {"servers": None},
        {"work": {"other": 1.0}},
        {"median": "x"},
        {"median": float("nan")},
        {"servers": {"s0": [1.0]}},
        {"pressure": [1.0]},
    ],
)
def test_malformed_learned_state_changes_nothing(change: dict[str, Any]) -> None:
    old, new = BalancerHost(4), BalancerHost(4)
    for _ in range(50):
        old.serve_request()
    malformed = encode_learned_state(old.balancer.learned_state(old.now)) | change
    before = encode_learned_state(new.balancer.learned_state(new.now))
    with pytest.raises(ValueError):
        new.balancer.restore(decode_learned_state(malformed, {c.name for c in settings().classes}), new.now)
    assert encode_learned_state(new.balancer.learned_state(new.now)) == before


def test_retiring_process_sends_to_warming_servers_last() -> None:

    host = BalancerHost(2)
    for _ in range(100):
        host.serve_request()
    host.update_list(Endpoint("s0"), Endpoint("s1"), Endpoint("cold", started_at_ms=host.now))
    host.handle(TakeoverChanged(True))
    assert {host.serve_request() for _ in range(100)} == {"s0", "s1"}
    host.update_list(Endpoint("cold", started_at_ms=host.now))
    assert host.serve_request() == "cold"
    host.update_list(Endpoint("s0"), Endpoint("s1"), Endpoint("cold", started_at_ms=host.now))
    host.handle(TakeoverChanged(False))
    assert "cold" in {host.serve_request() for _ in range(100)}
