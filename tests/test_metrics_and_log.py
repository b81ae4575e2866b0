"""The log and the metrics of a balancer, and the metric names in the dashboard and alerts."""

from __future__ import annotations

import json
import os
import re
import signal
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

from loadbalancer.net import log, metrics
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.configuration_reload import ReloadReport
from loadbalancer.net.reports import ResourceStats
from loadbalancer.net.request_counters import RequestCounters
from tests.console_client import call_console, read_stats
from tests.loopback import (
    ProxyHarness,
    Upstream,
    config_text,
    http_response,
    never_answer,
    run_scenario,
    status_of,
    wait_until,
)

ROOT = Path(__file__).parent.parent


def samples(text: str) -> dict[tuple[str, str, str], float]:
    """Return each sample by its name, class and ending, as Prometheus parses it."""
    return {
        (s.name, s.labels.get("class", ""), s.labels.get("ending", "")): s.value
        for family in text_string_to_metric_families(text)
        for s in family.samples
    }


def test_metrics_equal_the_stats() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream()) as harness:
            for _ in range(3):
                assert status_of(await harness.request()) == 200
            stats = await read_stats(harness)
            response = await call_console(harness, "GET", "/metrics")
            assert response.headers["content-type"].startswith("text/plain; version=0.0.4")
            read = samples(response.body.decode())
            for ending in ("succeeded", "declined", "aborted"):
                for name, count in stats[ending].items():
                    assert read["irondrum_requests_total", name, ending] == count
            assert read["irondrum_requests_total", "read", "succeeded"] == 3
            assert read["irondrum_forwards_total", "", ""] == stats["forwards"] == 3
            assert read["irondrum_upstreams_discovered", "", ""] == stats["discovered"] == 2
            assert status_of(await call_console(harness, "POST", "/metrics")) == 405

    run_scenario(scenario())


def test_class_names_are_escaped() -> None:
    name = 'a"b\\c\nd'
    read = samples(
        metrics.render(RequestCounters([name]).stats(0, 0), 7, {"alive": 2}, ResourceStats(1, 2, 3, 4, 5))
    )
    assert read["irondrum_requests_total", name, "aborted"] == 0
    assert read["irondrum_log_lines_left_out_total", "", ""] == 7


def test_metrics_tell_what_is_held_and_why_requests_were_closed() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(never_answer, http_response())) as harness:
            first = await harness.connect()
            first.send_request("/pay/x", b"body", x_request_id="one")
            await wait_until(lambda: bool(harness.upstreams[0].requests))
            first.writer.transport.abort()
            await wait_until(lambda: harness.proxy.downstream.connection_count() == 0)
            assert status_of(await harness.request("/pay/x", b"body", x_request_id="one")) == 409
            assert status_of(await harness.request("/nosuch/x")) == 404
            kept = await harness.connect()
            text = (await call_console(harness, "GET", "/metrics")).body.decode()
            kept.writer.close()
        values = {
            (s.name, *s.labels.values()): s.value
            for family in text_string_to_metric_families(text)
            for s in family.samples
        }
        assert values["irondrum_requests_closed_total", "client_disconnected"] == 1
        assert values["irondrum_requests_closed_total", "repeated_id"] == 1
        assert values["irondrum_inputs_rejected_total", "404"] == 1
        assert values["irondrum_attempts_ended_total", "cancelled"] == 1
        assert values["irondrum_client_connections",] >= 1
        assert values["irondrum_resident_bytes",] > 1_000_000
        assert values["irondrum_buffer_limit_bytes",] == harness.proxy.buffers.max_bytes

    run_scenario(scenario())


def test_dashboard_and_alerts_name_only_metrics_that_exist() -> None:
    for path in ((ROOT / "ops" / "dashboard.json"), (ROOT / "ops" / "alerts.yml")):
        named = set(re.findall(r"irondrum_\w+", path.read_text(encoding="utf-8")))
        assert named and named <= metrics.METRICS.keys(), path.name
    json.loads((ROOT / "ops" / "dashboard.json").read_text(encoding="utf-8"))


def test_log_is_limited_and_reports_how_much_it_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 1_000.0
    monkeypatch.setattr("loadbalancer.net.log.time.monotonic", lambda: now)
    seen: list[str] = []
    limited_log = log.Log("n1", lambda name, event, text, fields: seen.append(event))
    for _ in range(log.MAX_LINES_PER_INTERVAL + 7):
        limited_log.event("noise", "once more")
    assert seen == ["noise"] * log.MAX_LINES_PER_INTERVAL and limited_log.dropped_lines == 7
    now += log.INTERVAL_S
    limited_log.event("later", "again")
    assert seen[log.MAX_LINES_PER_INTERVAL :] == ["lines_dropped", "later"] and limited_log.dropped_lines == 7


def test_log_line_is_text_or_json_with_its_fields(capsys: pytest.CaptureFixture[str]) -> None:
    for kind in ("text", "json"):
        log.Log("n1", log.SINKS[kind]).event("configuration_replaced", "replaced", took="discovery")
    text, line = capsys.readouterr().err.splitlines()
    assert text == "n1: replaced took=discovery"
    read = json.loads(line)
    assert read.pop("time") > 1_000_000_000
    assert read == {
        "balancer": "n1",
        "event": "configuration_replaced",
        "text": "replaced",
        "took": "discovery",
    }


def test_a_log_that_nobody_reads_does_not_hold_up_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against waiting for the reader of a full pipe, with all clients waiting behind."""
    reading, writing = os.pipe()
    with os.fdopen(reading, "rb") as reader, os.fdopen(writing, "w") as stderr:
        monkeypatch.setattr(sys, "stderr", stderr)
        full_log = log.Log("n1")
        monkeypatch.setattr(log, "MAX_LINES_PER_INTERVAL", 1_000)
        signal.alarm(10)  # a write that waits is ended by it
        for _ in range(60):
            full_log.event("noise", "x" * 100_000)
        signal.alarm(0)
        assert 0 < full_log.dropped_lines < 60
        os.set_blocking(reading, False)
        assert {len(line) for line in reader.read().splitlines()} == {len("n1: ") + log.MAX_TEXT_CHARACTERS}


def test_reload_reports_what_was_applied_and_what_needs_a_restart() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            old = read_config(config_text("127.0.0.1:9", []), print)
            harness.proxy.apply_configuration(old)
            new = replace(old, discovery=("127.0.0.1", 8), max_sockets=7, seed=old.seed + 1)
            report = harness.proxy.apply_configuration(new)
            assert report == ReloadReport(applied=["discovery"], needs_restart=["sockets"])
            assert harness.proxy.apply_configuration(new) == ReloadReport(applied=[], needs_restart=[])

    run_scenario(scenario())
