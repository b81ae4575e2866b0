"""Interrupted or redirected list watches: no update that counts as delivered is missed."""

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


def list_kinds(events: list[interface.Event]) -> list[UpdateKind]:
    return [e.kind for e in events if isinstance(e, interface.EndpointListUpdate)]


@pytest.mark.parametrize("list_mode", ["ask", "push"])
def test_a_watch_that_timed_out_is_reopened_at_once(list_mode: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Missed updates count as delivered 2 s after the wait; a large tier paused up to 5 s more."""
    monkeypatch.setattr(list_backoff, "LIST_RETRY_INITIAL_BACKOFF_MS", NEVER * 1_000)
    monkeypatch.setattr(client, "PUSH_RETRY_PAUSE_S", NEVER)
    monkeypatch.setattr(request_schedule, "MAX_WAIT_MS", 10)
    monkeypatch.setattr(request_schedule, "RESPONSE_MARGIN_S", 0.5)  # the second call must not time out, too

    async def scenario() -> None:
        upstream, contract = Upstream(), {"drainGrace": 500.0, "askWithin": NEVER * 1_000}
        async with ProxyHarness(upstream, discovery=list_mode, contract=contract) as harness:
            assert status_of(await harness.request()) == 200
            events = record_events(harness)
            await harness.discovery.request_lines.get()  # left unanswered
            assert "after=7&" in await harness.discovery.request_lines.get()
            draining = endpoint_entry("s0", harness.entries[0]["address"], status="terminating")
            harness.discovery.publish(8, draining)  # for the call that timed out; no longer read
            harness.discovery.publish(8, draining)
            await upstream.connection_ended.wait()
            assert status_of(await harness.request("/pay/x", b"debit")) == 503
            assert list_kinds(events) == [UpdateKind.FAILED] * (list_mode == "ask") + [UpdateKind.DELTA]

    run_scenario(scenario())


def test_a_pushed_watch_that_is_reset_is_reopened_at_once_but_not_repeatedly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Updates at the agent count as delivered, so a pause of 0.5 s shortened the drain grace period."""
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
        discovery = DiscoveryClient(config, lambda update: True, failed.set)
        discovery._watch.index = 7
        discovery.start()
        await wait_until(lambda: len(calls) == 2)
        await wait_at_least(0.05)
        assert len(calls) == 2, "the second consecutive failure is followed by a pause"
        assert discovery._watch_task is not None and not discovery._watch_task.done()
        discovery._watch_task.cancel()

    run_scenario(scenario())


@pytest.mark.parametrize("list_mode", ["ask", "push"])
def test_connecting_to_the_list_service_has_a_timeout_of_its_own(
    list_mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connecting was bounded only by the call's wait, within which all updates count as delivered."""
    monkeypatch.setattr(call, "CONNECT_TIMEOUT_S", 0.02)
    monkeypatch.setattr(client, "PUSH_RETRY_PAUSE_S", 0.0)

    async def scenario() -> None:
        async with full_backlog() as address:
            contract = {"drainGrace": 3_600_000.0}
            text = config_text(address, [], discovery=list_mode, contract=contract)
            failed = asyncio.Event()
            config = read_config(text, lambda note: None)
            discovery = DiscoveryClient(config, lambda update: True, failed.set)
            discovery._watch.index = 7
            connect_attempts = list[int]()
            connect = connection.connect

            async def counted(to: tuple[str, int]) -> connection.Connection:
                connect_attempts.append(1)
                return await connect(to)

            monkeypatch.setattr(connection, "connect", counted)
            discovery.subscribe()
            if list_mode == "ask":
                await failed.wait()
            else:
                await wait_until(lambda: len(connect_attempts) > 2)
                assert discovery._watch_task is not None
                discovery._watch_task.cancel()

    run_scenario(scenario())


def test_an_answer_of_the_old_address_is_not_taken_after_a_reconfiguration() -> None:
    """Guards against an in-flight answer from the old address that empties the list after SIGHUP."""

    async def scenario() -> None:
        upstream, elsewhere = Upstream(), ListServer()
        async with ProxyHarness(upstream) as harness:
            await harness.discovery.request_lines.get()
            events = record_events(harness)
            text = config_text(await elsewhere.start(), harness.entries)
            harness.discovery.publish(99, snapshot=True)  # in flight when the configuration changes
            harness.proxy.apply_configuration(read_config(text, lambda note: None))
            assert "after" not in await elsewhere.request_lines.get()
            draining = endpoint_entry("s0", harness.entries[0]["address"], status="terminating")
            elsewhere.publish(8, draining, snapshot=True)
            assert "after=8&" in await elsewhere.request_lines.get()
            assert list_kinds(events) == [UpdateKind.FULL_SNAPSHOT]
            assert status_of(await harness.request("/pay/x", b"debit")) == 503

    run_scenario(scenario())


@pytest.mark.parametrize("first", ["drain", "loss"])
def test_a_draining_server_that_a_full_list_omits_gets_no_requests_in_either_order(
    first: str,
) -> None:
    async def scenario() -> None:
        draining_upstream, remaining_upstream = Upstream(), Upstream()
        async with ProxyHarness(draining_upstream, remaining_upstream) as harness:
            draining = endpoint_entry("s0", harness.entries[0]["address"], status="terminating")
            remaining = harness.entries[1]
            await harness.discovery.request_lines.get()
            for index, what in enumerate(("drain", "loss") if first == "drain" else ("loss", "drain"), 8):
                if what == "drain":
                    harness.discovery.publish(index, draining)
                else:
                    harness.discovery.publish(index, remaining, snapshot=True)
                await harness.discovery.request_lines.get()
            for _ in range(10):
                assert status_of(await harness.request()) == 200
            assert not draining_upstream.requests and len(remaining_upstream.requests) == 10

    run_scenario(scenario())


def test_a_drain_in_the_first_answer_after_an_outage_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_backoff, "LIST_RETRY_INITIAL_BACKOFF_MS", 1.0)
    monkeypatch.setattr(list_backoff, "LIST_RETRY_MEAN_BACKOFF_MS", 0.0)

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            assert status_of(await harness.request()) == 200
            for _ in range(3):
                await harness.discovery.request_lines.get()
                harness.discovery.responses.put_nowait(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            line = await harness.discovery.request_lines.get()
            assert "after=7&" in line
            body = json.dumps(
                {
                    "index": 9,
                    "snapshot": True,
                    "endpoints": [endpoint_entry("s0", harness.entries[0]["address"], status="terminating")],
                },
                indent=2,
            )
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            harness.discovery.responses.put_nowait(head.encode() + body.encode())
            await upstream.connection_ended.wait()
            assert status_of(await harness.request("/pay/x", b"debit")) == 503
            assert len(upstream.requests) == 1

    run_scenario(scenario())
