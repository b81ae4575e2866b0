"""The operators' calls and the figures, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from basaltspindle.net import console
from tests.loopback import Asked, Rig, Upstream, read_message, reset, response, run, silent, status


async def call(rig: Rig, method: str, path: str, body: bytes = b"") -> Asked:
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return await call_raw(rig, head.encode() + body)


async def call_raw(rig: Rig, data: bytes) -> Asked:
    assert rig.driver.console is not None
    reader, writer = await asyncio.open_connection(*rig.driver.console.address[:2])
    writer.write(data)
    answer = await read_message(reader)
    assert await reader.read() == b"", "one call to a connection"
    writer.close()
    return answer


async def figures(rig: Rig) -> dict[str, Any]:
    answer = await call(rig, "GET", "/admin/stats")
    assert (status(answer), answer.headers["content-type"]) == (200, "application/json")
    read: dict[str, Any] = json.loads(answer.body)
    return read


def test_nothing_listens_for_operators_where_no_console_is_configured() -> None:
    async def scenario() -> None:
        async with Rig(Upstream(), console="") as rig:
            assert rig.driver.console is None

    run(scenario())


def test_health_says_yes_while_clients_are_taken_and_no_from_the_end_on() -> None:
    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            assert status(await call(rig, "GET", "/admin/health")) == 200
            ending = asyncio.create_task(rig.driver.callers.end())
            await asyncio.sleep(0)
            assert status(await call(rig, "GET", "/admin/health")) == 503
            ending.cancel()

    run(scenario())


def test_every_class_is_in_the_figures_from_the_start() -> None:
    async def scenario() -> None:
        async with Rig(Upstream(), Upstream()) as rig:
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

    run(scenario())


def test_requests_count_once_under_their_class_and_ending() -> None:
    async def scenario() -> None:
        upstream = Upstream(response(), reset, response(503, b"", "X-Not-Run: 1"))
        async with Rig(upstream) as rig:
            assert status(await rig.ask("/read/a")) == 200
            assert status(await rig.ask("/pay/a", b"debit")) == 502  # reset, and it may have run
            assert status(await rig.ask("/pay/a", b"debit")) == 503  # turned away wherever it went
            told = await figures(rig)
            assert told["succeeded"] == {"read": 1, "pay": 0}
            assert told["aborted"] == {"read": 0, "pay": 1}
            assert told["declined"] == {"read": 0, "pay": 1}
            assert (told["outstanding"], told["forwards"]) == (0, len(upstream.asked))

    run(scenario())


def test_a_request_is_outstanding_until_its_client_leaves_and_then_under_no_ending() -> None:
    async def scenario() -> None:
        upstream = Upstream(silent)
        async with Rig(upstream) as rig:
            caller = await rig.caller()
            caller.send("/read/a")
            await upstream.seen.wait()
            told = await figures(rig)
            assert (told["outstanding"], told["forwards"]) == (1, 1)
            caller.writer.close()
            await upstream.ended.wait()
            told = await figures(rig)
            assert told["outstanding"] == 0
            assert not any(sum(told[name].values()) for name in ("succeeded", "declined", "aborted"))

    run(scenario())


def test_what_is_no_proper_request_is_not_counted() -> None:
    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            assert status(await rig.ask("/nosuch/a")) == 404
            assert status(await rig.ask("/read/a", deadline="soon")) == 400
            told = await figures(rig)
            assert sum(told["aborted"].values()) == told["outstanding"] == 0

    run(scenario())


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
        async with Rig(Upstream()) as rig:
            answer = await call_raw(rig, data)
            assert status(answer) == wanted
            assert ("allow" in answer.headers) == (wanted == 405)

    run(scenario())


def test_stalled_callers_hold_up_neither_each_other_nor_a_whole_call(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(console, "CALL_S", 0.2)

    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            assert rig.driver.console is not None
            address = rig.driver.console.address[:2]
            stalled = [await asyncio.open_connection(*address) for _ in range(3 * console.CALLERS_MAX)]
            for _, writer in stalled:
                writer.write(b"GET /admin/he")
            assert status(await call(rig, "GET", "/admin/health")) == 200
            reader, _ = stalled[-1]
            assert status(await read_message(reader)) == 408
            assert await reader.read() == b""

    run(scenario())
