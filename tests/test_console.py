"""The operators' calls and the figures, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.net import console
from tests.loopback import (
    HttpMessage,
    ProxyHarness,
    Upstream,
    http_response,
    never_answer,
    read_message,
    reset_connection,
    run_scenario,
    status_of,
)


async def call(rig: ProxyHarness, method: str, path: str, body: bytes = b"") -> HttpMessage:
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return await call_raw(rig, head.encode() + body)


async def call_raw(rig: ProxyHarness, data: bytes) -> HttpMessage:
    assert rig.proxy.console is not None
    reader, writer = await asyncio.open_connection(*rig.proxy.console.address[:2])
    writer.write(data)
    answer = await read_message(reader)
    assert await reader.read() == b"", "one call to a connection"
    writer.close()
    return answer


async def figures(rig: ProxyHarness) -> dict[str, Any]:
    answer = await call(rig, "GET", "/admin/stats")
    assert (status_of(answer), answer.headers["content-type"]) == (200, "application/json")
    read: dict[str, Any] = json.loads(answer.body)
    return read


def test_nothing_listens_for_operators_where_no_console_is_configured() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), console="") as rig:
            assert rig.proxy.console is None

    run_scenario(scenario())


def test_health_says_yes_while_clients_are_taken_and_no_from_the_end_on() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            assert status_of(await call(rig, "GET", "/admin/health")) == 200
            ending = asyncio.create_task(rig.proxy.downstream.shut_down())
            await asyncio.sleep(0)
            assert status_of(await call(rig, "GET", "/admin/health")) == 503
            ending.cancel()

    run_scenario(scenario())


def test_every_class_is_in_the_figures_from_the_start() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream()) as rig:
            none = {"read": 0, "pay": 0}
            assert await figures(rig) == {
                "succeeded": none,
                "declined": none,
                "aborted": none,
                "forwards": 0,
                "outstanding": 0,
                "discovered": 2,
                "ejected": 0,
            }

    run_scenario(scenario())


def test_requests_count_once_under_their_class_and_ending() -> None:
    async def scenario() -> None:
        upstream = Upstream(http_response(), reset_connection, http_response(503, b"", "X-Not-Run: 1"))
        async with ProxyHarness(upstream) as rig:
            assert status_of(await rig.request("/read/a")) == 200
            assert status_of(await rig.request("/pay/a", b"debit")) == 502  # reset, and it may have run
            assert status_of(await rig.request("/pay/a", b"debit")) == 503  # turned away wherever it went
            told = await figures(rig)
            assert told["succeeded"] == {"read": 1, "pay": 0}
            assert told["aborted"] == {"read": 0, "pay": 1}
            assert told["declined"] == {"read": 0, "pay": 1}
            assert (told["outstanding"], told["forwards"]) == (0, len(upstream.requests))

    run_scenario(scenario())


def test_a_request_is_outstanding_until_its_client_leaves_and_then_under_no_ending() -> None:
    async def scenario() -> None:
        upstream = Upstream(never_answer)
        async with ProxyHarness(upstream) as rig:
            caller = await rig.connect()
            caller.send_request("/read/a")
            await upstream.request_received.wait()
            told = await figures(rig)
            assert (told["outstanding"], told["forwards"]) == (1, 1)
            caller.writer.close()
            await upstream.connection_ended.wait()
            told = await figures(rig)
            assert told["outstanding"] == 0
            assert not any(sum(told[name].values()) for name in ("succeeded", "declined", "aborted"))

    run_scenario(scenario())


def test_what_is_no_proper_request_is_not_counted() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            assert status_of(await rig.request("/nosuch/a")) == 404
            assert status_of(await rig.request("/read/a", deadline="soon")) == 400
            told = await figures(rig)
            assert sum(told["aborted"].values()) == told["outstanding"] == 0

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("data", "wanted"),
    [
        (b"GET /admin/nosuch HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (b"DELETE /admin/stats HTTP/1.1\r\nHost: h\r\n\r\n", 405),
        (b"no call at all\r\n\r\n", 400),
        (b"GET /admin/stats HTTP/1.1\r\nX-Fill: " + b"x" * 10_000 + b"\r\n\r\n", 413),
        (b"POST /admin/stats HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400),
    ],
)
def test_a_bad_call_gets_a_plain_no_and_a_close(data: bytes, wanted: int) -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            answer = await call_raw(rig, data)
            assert status_of(answer) == wanted
            assert ("allow" in answer.headers) == (wanted == 405)

    run_scenario(scenario())


def test_stalled_callers_hold_up_neither_each_other_nor_a_whole_call(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(console, "CALL_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            assert rig.proxy.console is not None
            address = rig.proxy.console.address[:2]
            stalled = [await asyncio.open_connection(*address) for _ in range(3 * console.MAX_CONNECTIONS)]
            for _, writer in stalled:
                writer.write(b"GET /admin/he")
            assert status_of(await call(rig, "GET", "/admin/health")) == 200
            reader, _ = stalled[-1]
            assert status_of(await read_message(reader)) == 408
            assert await reader.read() == b""

    run_scenario(scenario())


async def cordon(rig: ProxyHarness, server: str, out: bool = True) -> int:
    path = "/admin/cordon" if out else "/admin/uncordon"
    return status_of(await call(rig, "POST", path, server.encode()))


def test_a_cordoned_upstream_gets_nothing_until_one_call_back_whatever_lists_say() -> None:
    async def scenario() -> None:
        first, second = Upstream(), Upstream()
        async with ProxyHarness(first, second) as rig:
            assert await cordon(rig, "s0") == await cordon(rig, "s0\n") == 200
            assert (await figures(rig))["ejected"] == 1
            rig.discovery.publish(8, *rig.entries, snapshot=True)
            rig.discovery.publish(9, rig.entries[0] | {"status": "terminated"})
            rig.discovery.publish(10, rig.entries[0])
            for _ in range(4):
                await rig.discovery.request_lines.get()  # the fourth tells that three answers have been read
            for _ in range(20):
                assert status_of(await rig.request()) == 200
            assert (len(first.requests), len(second.requests)) == (0, 20)
            assert await cordon(rig, "s0", out=False) == 200
            assert (await figures(rig))["ejected"] == 0
            while not first.requests:
                assert status_of(await rig.request()) == 200

    run_scenario(scenario())


def test_ids_that_nobody_has_and_bodies_that_are_no_id_are_owed_a_no() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as rig:
            assert await cordon(rig, "s7") == await cordon(rig, "s7", out=False) == 404
            assert await cordon(rig, "s0", out=False) == 200  # known, and not out
            for body in (b"", b" ", b"s0 s1", b"s0\x00", b"\xff"):
                assert status_of(await call(rig, "POST", "/admin/cordon", body)) == 400
            assert (await figures(rig))["ejected"] == 0

    run_scenario(scenario())


def test_with_all_upstreams_cordoned_requests_are_refused_at_once() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            assert await cordon(rig, "s0") == 200
            assert status_of(await rig.request()) == 503
            assert not upstream.requests

    run_scenario(scenario())


def test_an_attempt_that_is_still_connecting_does_not_begin_after_the_yes() -> None:
    async def scenario() -> None:
        first, second = Upstream(), Upstream()
        async with ProxyHarness(first, second) as rig:
            gate = asyncio.Event()
            connect = rig.proxy.upstreams.loop.create_connection

            async def slow(*args: Any, **more: Any) -> Any:
                await gate.wait()
                return await connect(*args, **more)

            rig.proxy.upstreams.loop = Loop(rig.proxy.upstreams.loop, slow)  # type: ignore[assignment]
            callers = [await rig.connect() for _ in range(8)]
            for caller in callers:
                caller.send_request()
            while (await figures(rig))["outstanding"] < len(callers):
                pass
            assert await cordon(rig, "s0") == 200
            gate.set()
            for caller in callers:
                assert status_of(await caller.read_response()) == 200
            assert (len(first.requests), len(second.requests)) == (0, 8)

    run_scenario(scenario())


class Loop:
    """An event loop whose connections come up when a test lets them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, create_connection: Any) -> None:
        self._loop, self.create_connection = loop, create_connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


def test_a_call_to_either_of_two_processes_binds_both_and_the_next(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path) as old:
            async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path) as new:
                assert await cordon(new, "s0") == 200
                while (await figures(old))["ejected"] == 0:
                    await asyncio.sleep(0)
                assert await cordon(old, "s0", out=False) == await cordon(old, "s1") == 200
                while "s0" in new.proxy.upstreams.cordoned or "s1" not in new.proxy.upstreams.cordoned:
                    await asyncio.sleep(0.01)
            async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path) as third:
                assert third.proxy.upstreams.cordoned == {"s1"}

    run_scenario(scenario())


@pytest.mark.parametrize("left", [b"", b"{", b"[]", b'{"out": ["s0", 3], "back": {}}', b'{"out": 1}'])
def test_a_file_that_was_left_in_no_shape_is_passed_over(tmp_path: Path, left: bytes) -> None:
    async def scenario() -> None:
        (tmp_path / "cordons.json").write_bytes(left)
        async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path) as rig:
            assert rig.proxy.upstreams.cordoned == set()
            assert await cordon(rig, "s0") == 200
            assert json.loads((tmp_path / "cordons.json").read_text())["out"] == ["s0"]

    run_scenario(scenario())


def test_without_a_folder_to_write_in_cordons_still_bind(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream(), folder=tmp_path / "nosuch") as rig:
            assert await cordon(rig, "s0") == 200
            assert rig.proxy.upstreams.cordoned == {"s0"}

    run_scenario(scenario())
