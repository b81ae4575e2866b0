"""Calls to the console: health, stats and cordons, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.net import console
from tests.console_client import call_console, read_stats, send_to_console, set_cordon
from tests.loopback import (
    ProxyHarness,
    Upstream,
    http_response,
    never_answer,
    read_message,
    reset_connection,
    run_scenario,
    status_of,
)


def test_no_console_listens_where_none_is_configured() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), console="") as harness:
            assert harness.proxy.console is None

    run_scenario(scenario())


def test_health_is_200_while_clients_are_accepted_and_503_from_shutdown_on() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            assert status_of(await call_console(harness, "GET", "/admin/health")) == 200
            shutdown = asyncio.create_task(harness.proxy.downstream.shut_down())
            await asyncio.sleep(0)
            assert status_of(await call_console(harness, "GET", "/admin/health")) == 503
            shutdown.cancel()

    run_scenario(scenario())


def test_stats_have_every_class_from_the_start() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream()) as harness:
            none = {"read": 0, "pay": 0}
            assert await read_stats(harness) == {
                "succeeded": none,
                "declined": none,
                "aborted": none,
                "forwards": 0,
                "outstanding": 0,
                "discovered": 2,
                "ejected": 0,
            }

    run_scenario(scenario())


def test_each_request_counts_once_by_class_and_outcome() -> None:
    async def scenario() -> None:
        upstream = Upstream(http_response(), reset_connection, http_response(503, b"", "X-Not-Run: 1"))
        async with ProxyHarness(upstream) as harness:
            assert status_of(await harness.request("/read/a")) == 200
            assert status_of(await harness.request("/pay/a", b"debit")) == 502  # reset, and it may have run
            assert status_of(await harness.request("/pay/a", b"debit")) == 503  # rejected by every server
            stats = await read_stats(harness)
            assert stats["succeeded"] == {"read": 1, "pay": 0}
            assert stats["aborted"] == {"read": 0, "pay": 1}
            assert stats["declined"] == {"read": 0, "pay": 1}
            assert (stats["outstanding"], stats["forwards"]) == (0, len(upstream.requests))

    run_scenario(scenario())


def test_request_is_outstanding_until_its_client_disconnects_and_has_no_outcome_then() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request("/read/a")
            await upstream.request_received.wait()
            stats = await read_stats(harness)
            assert (stats["outstanding"], stats["forwards"]) == (1, 1)
            client.writer.close()
            await upstream.connection_ended.wait()
            stats = await read_stats(harness)
            assert stats["outstanding"] == 0
            assert not any(sum(stats[name].values()) for name in ("succeeded", "declined", "aborted"))

    run_scenario(scenario())


def test_invalid_requests_are_not_counted() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            assert status_of(await harness.request("/nosuch/a")) == 404
            assert status_of(await harness.request("/read/a", deadline="soon")) == 400
            stats = await read_stats(harness)
            assert sum(stats["aborted"].values()) == stats["outstanding"] == 0

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /admin/nosuch HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (b"DELETE /admin/stats HTTP/1.1\r\nHost: h\r\n\r\n", 405),
        (b"no call at all\r\n\r\n", 400),
        (b"GET /admin/stats HTTP/1.1\r\nX-Fill: " + b"x" * 10_000 + b"\r\n\r\n", 413),
        (b"POST /admin/stats HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400),
    ],
)
def test_invalid_call_gets_an_error_status_and_a_close(data: bytes, status: int) -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            response = await send_to_console(harness, data)
            assert status_of(response) == status
            assert ("allow" in response.headers) == (status == 405)

    run_scenario(scenario())


def test_stalled_calls_delay_neither_each_other_nor_a_complete_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(console, "CALL_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            assert harness.proxy.console is not None
            address = harness.proxy.console.address[:2]
            stalled = [await asyncio.open_connection(*address) for _ in range(3 * console.MAX_CONNECTIONS)]
            for _, writer in stalled:
                writer.write(b"GET /admin/he")
            assert status_of(await call_console(harness, "GET", "/admin/health")) == 200
            reader, _ = stalled[-1]
            assert status_of(await read_message(reader)) == 408
            assert await reader.read() == b""

    run_scenario(scenario())


def test_cordoned_server_gets_no_requests_until_uncordoned_regardless_of_the_list() -> None:
    async def scenario() -> None:
        first, second = Upstream(), Upstream()
        async with ProxyHarness(first, second) as harness:
            assert await set_cordon(harness, "s0") == await set_cordon(harness, "s0\n") == 200
            assert (await read_stats(harness))["ejected"] == 1
            harness.discovery.publish(8, *harness.entries, snapshot=True)
            harness.discovery.publish(9, harness.entries[0] | {"status": "terminated"})
            harness.discovery.publish(10, harness.entries[0])
            for _ in range(4):
                await harness.discovery.request_lines.get()  # the fourth shows that three responses were read
            for _ in range(20):
                assert status_of(await harness.request()) == 200
            assert (len(first.requests), len(second.requests)) == (0, 20)
            assert await set_cordon(harness, "s0", is_cordoned=False) == 200
            assert (await read_stats(harness))["ejected"] == 0
            while not first.requests:
                assert status_of(await harness.request()) == 200

    run_scenario(scenario())


def test_unknown_or_malformed_server_ids_are_rejected() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            assert (
                await set_cordon(harness, "s7") == await set_cordon(harness, "s7", is_cordoned=False) == 404
            )
            assert await set_cordon(harness, "s0", is_cordoned=False) == 200  # known, and not cordoned
            for body in (b"", b" ", b"s0 s1", b"s0\x00", b"\xff"):
                assert status_of(await call_console(harness, "POST", "/admin/cordon", body)) == 400
            assert (await read_stats(harness))["ejected"] == 0

    run_scenario(scenario())


def test_requests_are_rejected_at_once_while_all_servers_are_cordoned() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            assert await set_cordon(harness, "s0") == 200
            assert status_of(await harness.request()) == 503
            assert not upstream.requests

    run_scenario(scenario())


def test_attempt_that_is_connecting_is_not_sent_after_the_cordon() -> None:
    async def scenario() -> None:
        first, second = Upstream(), Upstream()
        async with ProxyHarness(first, second) as harness:
            released = asyncio.Event()
            connect = harness.proxy.upstreams.loop.create_connection

            async def slow(*args: Any, **more: Any) -> Any:
                await released.wait()
                return await connect(*args, **more)

            harness.proxy.upstreams.loop = PatchedLoop(harness.proxy.upstreams.loop, slow)  # type: ignore[assignment]
            clients = [await harness.connect() for _ in range(8)]
            for client in clients:
                client.send_request()
            while (await read_stats(harness))["outstanding"] < len(clients):
                pass
            assert await set_cordon(harness, "s0") == 200
            released.set()
            for client in clients:
                assert status_of(await client.read_response()) == 200
            assert (len(first.requests), len(second.requests)) == (0, 8)

    run_scenario(scenario())


class PatchedLoop:
    """An event loop whose `create_connection` a test replaces."""

    def __init__(self, loop: asyncio.AbstractEventLoop, create_connection: Any) -> None:
        self._loop, self.create_connection = loop, create_connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


def test_cordon_at_either_of_two_processes_applies_to_both_and_the_next(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path) as old:
            async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path) as new:
                assert await set_cordon(new, "s0") == 200
                while (await read_stats(old))["ejected"] == 0:
                    await asyncio.sleep(0)
                assert await set_cordon(old, "s0", is_cordoned=False) == await set_cordon(old, "s1") == 200
                while "s0" in new.proxy.upstreams.cordoned or "s1" not in new.proxy.upstreams.cordoned:
                    await asyncio.sleep(0.01)
            async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path) as third:
                assert third.proxy.upstreams.cordoned == {"s1"}

    run_scenario(scenario())


@pytest.mark.parametrize("content", [b"", b"{", b"[]", b'{"out": ["s0", 3], "back": {}}', b'{"out": 1}'])
def test_malformed_cordon_file_is_ignored(tmp_path: Path, content: bytes) -> None:
    async def scenario() -> None:
        (tmp_path / "cordons.json").write_bytes(content)
        async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path) as harness:
            assert harness.proxy.upstreams.cordoned == set()
            assert await set_cordon(harness, "s0") == 200
            assert json.loads((tmp_path / "cordons.json").read_text())["out"] == ["s0"]

    run_scenario(scenario())


def test_cordons_apply_without_a_folder_to_write_in(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path / "nosuch") as harness:
            assert await set_cordon(harness, "s0") == 200
            assert harness.proxy.upstreams.cordoned == {"s0"}

    run_scenario(scenario())
