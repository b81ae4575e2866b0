"""The proxy watches, validates and applies the endpoint list over sockets."""

from __future__ import annotations

import signal
from typing import Any

import pytest

from loadbalancer import interface
from loadbalancer.endpoint_watch import request_schedule
from loadbalancer.endpoint_watch.request_schedule import WAIT_PER_BALANCER_MS
from loadbalancer.interface import UpdateKind
from loadbalancer.policy import list_backoff
from tests.loopback import (
    ListServer,
    ProxyHarness,
    Upstream,
    config_text,
    endpoint_entry,
    http_response,
    run_scenario,
    running_program,
    status_of,
)
from tests.recorded_events import record_events


def test_list_is_watched_and_a_restarted_server_loses_its_connections() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            events = record_events(harness)
            assert status_of(await harness.request()) == 200
            line = await harness.discovery.request_lines.get()
            assert line.startswith("GET /v1/servers?after=7&wait_ms=")
            address = harness.entries[0]["address"]
            harness.discovery.publish(8, endpoint_entry("s0", address, since_ms=5))
            assert (
                "after=8&" in await harness.discovery.request_lines.get()
            )  # the next long poll follows at once
            await upstream.connection_ended.wait()
            harness.discovery.publish(9, endpoint_entry("s0", address, since_ms=5), snapshot=True)
            await harness.discovery.request_lines.get()
            harness.discovery.responses.put_nowait(http_response(503, b""))
            await harness.discovery.request_lines.get()  # retried after the decision module's backoff timer
            kinds = [e.kind for e in events if isinstance(e, interface.EndpointListUpdate)]
            assert kinds == [UpdateKind.DELTA, UpdateKind.FULL_SNAPSHOT, UpdateKind.FAILED]

    run_scenario(scenario())


def test_draining_server_gets_no_new_requests() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            assert status_of(await harness.request("/pay/x", b"debit")) == 200
            await harness.discovery.request_lines.get()
            harness.discovery.publish(
                8, endpoint_entry("s0", harness.entries[0]["address"], status="terminating")
            )
            await upstream.connection_ended.wait()  # the idle connection is closed
            assert status_of(await harness.request("/pay/x", b"debit")) == 503
            assert len(upstream.requests) == 1

    run_scenario(scenario())


def test_reload_redirects_the_watch_and_the_process_keeps_running(tmp_path: Any) -> None:
    """Guards against SIGHUP terminating the balancer, which is the default without a handler."""

    async def scenario() -> None:
        old, new, path = ListServer(), ListServer(), tmp_path / "config.json"
        path.write_text(config_text(await old.start(), []))
        async with running_program(path) as process:
            await old.request_lines.get()
            for text in ("no configuration", config_text(await new.start(), [])):
                path.write_text(text)
                process.send_signal(signal.SIGHUP)
            assert await new.request_lines.get() == "GET /v1/servers HTTP/1.1"
            new.publish(9, snapshot=True)
            assert (await new.request_lines.get()).startswith("GET /v1/servers?after=9&")

    run_scenario(scenario())


def test_unanswered_watch_fails_before_its_updates_count_as_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Updates count as delivered 2 s after a watch's wait; a silent watch was kept for 5 s."""
    assert request_schedule.RESPONSE_MARGIN_S < 2.0
    monkeypatch.setattr(request_schedule, "MAX_WAIT_MS", 10)
    monkeypatch.setattr(request_schedule, "RESPONSE_MARGIN_S", 0.01)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            events = record_events(harness)
            await harness.discovery.request_lines.get()
            assert "after=7" in await harness.discovery.request_lines.get(), "requested again"
            assert any(
                e.kind is UpdateKind.FAILED for e in events if isinstance(e, interface.EndpointListUpdate)
            )

    run_scenario(scenario())


@pytest.mark.parametrize("balancers", [2, 40, 400])
def test_watch_waits_no_longer_than_drain_grace_and_fleet_size_allow(balancers: int) -> None:
    """A silent watch left its balancer with the old list for 30 s, the duration of a whole release."""
    contract = {"drainGrace": 3_000.0, "askWithin": 10_000.0}

    async def scenario() -> None:
        async with ProxyHarness(Upstream(), balancers=balancers, contract=contract) as harness:
            line = await harness.discovery.request_lines.get()
            wait_ms = float(line.partition("wait_ms=")[2].split()[0])
            assert wait_ms <= max(3_000, WAIT_PER_BALANCER_MS * balancers)
            assert balancers / wait_ms < 1.3 / WAIT_PER_BALANCER_MS, "the tier as a whole polls too often"

    run_scenario(scenario())


def test_outdated_or_malformed_list_does_not_replace_the_last_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Invalid names and addresses, duplicate names and outdated lists used to be accepted."""
    monkeypatch.setattr(list_backoff, "LIST_RETRY_INITIAL_BACKOFF_MS", 1.0)

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            events = record_events(harness)
            valid_address = harness.entries[0]["address"]
            non_string_name = endpoint_entry("s9", valid_address) | {"name": 7}
            invalid_entries = [
                endpoint_entry("", valid_address),
                endpoint_entry("a b", valid_address),
                endpoint_entry("s9", "no-such.host:1"),
                non_string_name,
            ]
            for entry in invalid_entries:
                await harness.discovery.request_lines.get()
                harness.discovery.publish(9, entry, snapshot=True)
            await harness.discovery.request_lines.get()
            harness.discovery.publish(
                9, endpoint_entry("s9", valid_address), endpoint_entry("s9", valid_address), snapshot=True
            )
            await harness.discovery.request_lines.get()
            harness.discovery.publish(6, snapshot=True)  # older than the configured list
            line = await harness.discovery.request_lines.get()
            assert "after=7&" in line
            kinds = [e.kind for e in events if isinstance(e, interface.EndpointListUpdate)]
            assert kinds == [UpdateKind.FAILED] * 6
            assert status_of(await harness.request()) == 200

    run_scenario(scenario())


def test_watch_survives_any_response() -> None:
    """An unexpected exception while decoding an answer ended the watch for good."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            events = record_events(harness)
            assert status_of(await harness.request()) == 200
            for body in (b"[" * 100_000, b"[]"):
                await harness.discovery.request_lines.get()
                harness.discovery.responses.put_nowait(http_response(200, body))
            await harness.discovery.request_lines.get()
            kinds = [e.kind for e in events if isinstance(e, interface.EndpointListUpdate)]
            assert kinds == [UpdateKind.FAILED] * 2

    run_scenario(scenario())


def test_a_failed_request_for_the_list_is_logged_with_its_kind_and_duration(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Kind and duration make it possible to trace a thundering herd of list requests in the logs."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            for _ in range(2):
                await harness.discovery.request_lines.get()
                harness.discovery.responses.put_nowait(http_response(503, b""))
            await harness.discovery.request_lines.get()

    run_scenario(scenario())
    lines = [
        line for line in capfd.readouterr().err.splitlines() if "a request for the endpoint list" in line
    ]
    assert [line.partition("request=")[2].split()[0] for line in lines] == ["long_poll", "delta"]
    assert all("error=RequestRejectedError: discovery answered 503" in line for line in lines)
    assert all(0 <= int(line.partition("duration_ms=")[2].split()[0]) < 2_000 for line in lines)
