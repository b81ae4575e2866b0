"""What counts as told in the instant in which a watch of the list ends or moves."""

from __future__ import annotations

import asyncio
import json

import pytest

from loadbalancer import interface
from loadbalancer.endpoint_watch import request_schedule
from loadbalancer.interface import UpdateKind
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.discovery import DiscoveryClient, call, client, connection
from loadbalancer.policy import list_backoff
from tests.loopback import (
    ListServer,
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    run_scenario,
    status_of,
    wait_at_least,
    wait_until,
)
from tests.recorded_events import record_events
from tests.test_upstream_attempts import full_backlog

NEVER = 3_600.0


def list_kinds(told: list[interface.Event]) -> list[UpdateKind]:
    return [e.kind for e in told if isinstance(e, interface.EndpointListUpdate)]


@pytest.mark.parametrize("how", ["ask", "push"])
def test_a_watch_that_fell_silent_is_opened_anew_at_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """What it missed counts as told 2 s after its wait; a large tier's balancers paused up to 5 s more."""
    monkeypatch.setattr(list_backoff, "LIST_RETRY_INITIAL_BACKOFF_MS", NEVER * 1_000)
    monkeypatch.setattr(client, "PUSH_RETRY_PAUSE_S", NEVER)
    monkeypatch.setattr(request_schedule, "MAX_WAIT_MS", 10)
    monkeypatch.setattr(request_schedule, "RESPONSE_MARGIN_S", 0.01)

    async def scenario() -> None:
        upstream, contract = Upstream(), {"drainGrace": 500.0, "askWithin": NEVER * 1_000}
        async with ProxyHarness(upstream, discovery=how, contract=contract) as rig:
            assert status_of(await rig.request()) == 200
            told = record_events(rig)
            await rig.discovery.request_lines.get()  # it stays silent
            assert "after=7&" in await rig.discovery.request_lines.get()
            drains = endpoint_entry("s0", rig.entries[0]["address"], status="terminating")
            rig.discovery.publish(8, drains)  # for the silent call: nobody hears it any more
            rig.discovery.publish(8, drains)
            await upstream.connection_ended.wait()
            assert status_of(await rig.request("/pay/x", b"debit")) == 503
            assert list_kinds(told) == [UpdateKind.FAILED] * (how == "ask") + [UpdateKind.DELTA]

    run_scenario(scenario())


def test_a_pushed_watch_that_is_reset_is_opened_anew_at_once_but_not_again_and_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the agent has counts as told, watch or no watch: half a second of pause came out of the grace."""
    monkeypatch.setattr(client, "PUSH_RETRY_PAUSE_S", NEVER)

    async def scenario() -> None:
        calls = list[bytes]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(await reader.readuntil(b"\r\n\r\n"))
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        config = read_config(config_text(f"{host}:{port}", [], discovery="push"), lambda note: None)
        failed = asyncio.Event()
        found = DiscoveryClient(config, lambda news: True, failed.set)
        found._watch.index = 7
        found.start()
        await wait_until(lambda: len(calls) == 2)
        await wait_at_least(0.05)
        assert len(calls) == 2, "the second failure in a row waits"
        assert found._watch_task is not None and not found._watch_task.done()
        found._watch_task.cancel()

    run_scenario(scenario())


@pytest.mark.parametrize("how", ["ask", "push"])
def test_a_connection_to_the_list_that_does_not_come_up_is_not_waited_for_as_an_answer_is(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was bounded by the whole wait of the call, in which all news counts as told."""
    monkeypatch.setattr(call, "CONNECT_TIMEOUT_S", 0.02)
    monkeypatch.setattr(client, "PUSH_RETRY_PAUSE_S", 0.0)

    async def scenario() -> None:
        async with full_backlog() as address:
            contract = {"drainGrace": 3_600_000.0}
            text = config_text(address, [], discovery=how, contract=contract)
            failed = asyncio.Event()
            config = read_config(text, lambda note: None)
            found = DiscoveryClient(config, lambda news: True, failed.set)
            found._watch.index = 7
            dials = list[int]()
            connect = connection.connect

            async def counted(to: tuple[str, int]) -> connection.Connection:
                dials.append(1)
                return await connect(to)

            monkeypatch.setattr(connection, "connect", counted)
            found.subscribe()
            if how == "ask":
                await failed.wait()
            else:
                await wait_until(lambda: len(dials) > 2)
                assert found._watch_task is not None
                found._watch_task.cancel()

    run_scenario(scenario())


def test_what_the_old_address_answers_after_the_move_is_not_taken() -> None:
    """SIGHUP came in the middle of a call; its answer, on the way already, would empty the list."""

    async def scenario() -> None:
        upstream, elsewhere = Upstream(), ListServer()
        async with ProxyHarness(upstream) as rig:
            await rig.discovery.request_lines.get()
            told = record_events(rig)
            text = config_text(await elsewhere.start(), rig.entries)
            rig.discovery.publish(99, snapshot=True)  # its answer and the signal cross
            rig.proxy.apply_configuration(read_config(text, lambda note: None))
            assert "after" not in await elsewhere.request_lines.get()
            drains = endpoint_entry("s0", rig.entries[0]["address"], status="terminating")
            elsewhere.publish(8, drains, snapshot=True)
            assert "after=8&" in await elsewhere.request_lines.get()
            assert list_kinds(told) == [UpdateKind.FULL_SNAPSHOT]
            assert status_of(await rig.request("/pay/x", b"debit")) == 503

    run_scenario(scenario())


@pytest.mark.parametrize("first", ["drain", "loss"])
def test_a_server_that_drains_and_is_left_out_of_a_whole_list_gets_nothing_in_either_order(
    first: str,
) -> None:
    async def scenario() -> None:
        going, staying = Upstream(), Upstream()
        async with ProxyHarness(going, staying) as rig:
            drains = endpoint_entry("s0", rig.entries[0]["address"], status="terminating")
            whole = rig.entries[1]
            await rig.discovery.request_lines.get()
            for index, what in enumerate(("drain", "loss") if first == "drain" else ("loss", "drain"), 8):
                if what == "drain":
                    rig.discovery.publish(index, drains)
                else:
                    rig.discovery.publish(index, whole, snapshot=True)
                await rig.discovery.request_lines.get()
            for _ in range(10):
                assert status_of(await rig.request()) == 200
            assert not going.requests and len(staying.requests) == 10

    run_scenario(scenario())


def test_a_drain_in_the_first_answer_after_an_outage_is_heeded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_backoff, "LIST_RETRY_INITIAL_BACKOFF_MS", 1.0)
    monkeypatch.setattr(list_backoff, "LIST_RETRY_MEAN_BACKOFF_MS", 0.0)

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as rig:
            assert status_of(await rig.request()) == 200
            for _ in range(3):
                await rig.discovery.request_lines.get()
                rig.discovery.responses.put_nowait(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            line = await rig.discovery.request_lines.get()
            assert "after=7&" in line
            body = json.dumps(
                {
                    "index": 9,
                    "snapshot": True,
                    "endpoints": [endpoint_entry("s0", rig.entries[0]["address"], status="terminating")],
                },
                indent=2,
            )
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            rig.discovery.responses.put_nowait(head.encode() + body.encode())
            await upstream.connection_ended.wait()
            assert status_of(await rig.request("/pay/x", b"debit")) == 503
            assert len(upstream.requests) == 1

    run_scenario(scenario())
