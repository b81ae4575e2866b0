"""Gradual evacuation and restoration of zones, across restarts, and refused if the rest lacks capacity."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.interface import AttemptEnded, CordonChanged, Endpoint, Outcome, Readiness, ZoneEvacuation
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.cordons import RETURN_RETENTION_MS
from loadbalancer.policy.zones import ZoneEvacuations, zone_fractions
from tests.helpers import BalancerHost, sent_attempts
from tests.loopback import ProxyHarness, Upstream, read_message, run_scenario


def count_requests_by_zone(host: BalancerHost, count: int = 400) -> Counter[str]:
    """Count requests by zone, when each is served after 5 ms."""
    counts: Counter[str] = Counter()
    for _ in range(count):
        for send in sent_attempts(host.receive_request()[1]):
            counts[host.balancer._endpoints.servers[send.server].endpoint.zone] += 1
            host.now += 5.0
            host.handle(AttemptEnded(send.request_id, 0, send.server, Outcome.SERVED, True))
    return counts


def test_zone_is_evacuated_and_restored_gradually() -> None:
    zones = ZoneEvacuations()
    assert zones.reduced_fractions(50.0) == {}
    zones.apply(ZoneEvacuation("a", is_evacuating=True, started_at_ms=100.0, duration_ms=1_000.0))
    assert [round(zones.traffic_fraction("a", at), 2) for at in (100.0, 350.0, 1_100.0, 9_999.0)] == [
        1.0,
        0.75,
        0.0,
        0.0,
    ]
    zones.apply(
        ZoneEvacuation(
            "a", is_evacuating=False, started_at_ms=350.0, duration_ms=1_000.0, initial_fraction=0.75
        )
    )
    assert [round(zones.traffic_fraction("a", at), 2) for at in (350.0, 850.0, 1_350.0)] == [0.75, 0.88, 1.0]
    assert zones.reduced_fractions(850.0).keys() == {"a"} and zones.reduced_fractions(1_350.0) == {}


def test_traffic_of_an_evacuated_zone_goes_to_zones_with_a_surplus() -> None:
    even = {"a": 4.0, "b": 4.0, "c": 4.0}
    half = zone_fractions(even, "a", {"a": 0.5})
    weights = {zone: even[zone] * part for zone, part in half.items()}
    assert weights["a"] == pytest.approx(2.0)
    assert weights["b"] == weights["c"] == pytest.approx(2 / 3)
    evacuated = zone_fractions(even, "a", {"a": 0.0})
    assert evacuated["a"] == 0.0 and evacuated["b"] == evacuated["c"] > 0
    assert zone_fractions(even, "", {"b": 0.25}) == {"a": 1.0, "b": 0.25, "c": 1.0}


def test_evacuated_zone_serves_on_where_there_is_no_other() -> None:
    assert zone_fractions({"a": 4.0}, "a", {"a": 0.0}) == {"a": 1.0}
    assert zone_fractions({"a": 4.0, "b": 2.0}, "", {"a": 0.0, "b": 0.0}) == {"a": 1.0, "b": 1.0}


@pytest.mark.parametrize("servers", [6, 300])
def test_evacuated_zone_gets_no_requests_and_its_servers_count_as_excluded(servers: int) -> None:
    host = BalancerHost(count=servers, zone="z0")
    assert count_requests_by_zone(host)["z0"] > 300
    host.handle(ZoneEvacuation("z0", is_evacuating=True, started_at_ms=host.now, duration_ms=1_000.0))
    host.now += 1_000.0
    assert count_requests_by_zone(host).keys() == {"z1"}
    in_zone = {f"s{i}" for i in range(0, servers, 2)}
    assert in_zone <= set(host.balancer.excluded_servers(host.now))
    host.handle(
        ZoneEvacuation(
            "z0", is_evacuating=False, started_at_ms=host.now, duration_ms=10_000.0, initial_fraction=0.0
        )
    )
    host.now += 10_000.0
    assert count_requests_by_zone(host)["z0"] > 300


@pytest.mark.parametrize("servers", [4, 200])
def test_evacuated_zone_gets_no_requests_though_the_others_are_full(servers: int) -> None:
    """Under overload only the evacuated zone had free capacity, and the calls went there."""
    host = BalancerHost(count=servers, zone="z0")
    host.handle(ZoneEvacuation("z0", is_evacuating=True, started_at_ms=host.now))
    sends = [send for _ in range(8 * servers) for send in sent_attempts(host.receive_request()[1])]
    assert {host.balancer._endpoints.servers[send.server].endpoint.zone for send in sends} == {"z1"}
    assert len(sends) < 8 * servers, "the others are full"


def test_inner_balancer_follows_the_evacuation_of_its_own_zone() -> None:
    host = BalancerHost(count=12, zone="z0", tier=1, balancer_count=4)
    host.handle(ZoneEvacuation("z0", is_evacuating=True, started_at_ms=host.now))
    assert count_requests_by_zone(host).keys() == {"z1"}


def test_uncordoned_server_of_an_evacuated_zone_gets_no_requests() -> None:
    host = BalancerHost(count=4, zone="z0")
    host.handle(ZoneEvacuation("z1", is_evacuating=True, started_at_ms=host.now))
    host.update_list(
        Endpoint("new", Readiness.READY, "z1", started_at_ms=host.now),
        *[Endpoint(f"s{i}", zone=f"z{i % 2}") for i in range(4)],
    )
    host.handle(CordonChanged("new", is_cordoned=True))
    host.handle(CordonChanged("new", is_cordoned=False, returned_at_ms=host.now))
    assert count_requests_by_zone(host, 50).keys() == {"z0"}


async def console_call(harness: ProxyHarness, method: str, path: str, body: str = "") -> tuple[int, str]:
    """Make one request to the console, and return its status and body."""
    assert harness.proxy.console is not None
    reader, writer = await asyncio.open_connection(*harness.proxy.console.address[:2])
    data = body.encode()
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
    )
    answer = await read_message(reader)
    writer.close()
    return int(answer.start_line.split(" ")[1]), answer.body.decode().strip()


def test_console_evacuates_a_zone_and_explains_errors() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream()) as harness:
            entries = [harness.entries[0], harness.entries[1] | {"zone": "b"}]
            harness.discovery.publish(9, *entries)
            await harness.discovery.request_lines.get()
            await harness.discovery.request_lines.get()
            for body, wanted in (
                ("", 400), ("a over=x", 400), ("a later", 400), ("a over=-1", 400), ("a over=1e9", 400),
                ("nowhere", 404),
            ):  # fmt: skip
                assert (await console_call(harness, "POST", "/admin/zone/leave", body))[0] == wanted, body
            assert await console_call(harness, "POST", "/admin/zone/leave", "a") == (200, "ok")
            before = len(harness.upstreams[0].requests)
            for _ in range(5):
                await harness.request()
            assert len(harness.upstreams[0].requests) == before
            code, text = await console_call(harness, "POST", "/admin/zone/leave", "b")
            assert code == 409 and "no other zone" in text and "force" in text
            zones = json.loads((await console_call(harness, "GET", "/admin/zones"))[1])
            assert (zones["a"]["share"], zones["b"]["share"], zones["a"]["ready"]) == (0.0, 1.0, 1)
            stats = json.loads((await console_call(harness, "GET", "/admin/stats"))[1])
            assert stats["ejected"] == 1
            assert (await console_call(harness, "POST", "/admin/zone/return", "a over=0"))[0] == 200
            assert json.loads((await console_call(harness, "GET", "/admin/zones"))[1])["a"]["share"] == 1.0

    run_scenario(scenario())


def test_zone_is_not_evacuated_without_capacity_elsewhere_unless_forced() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream(), Upstream()) as harness:
            harness.discovery.publish(
                9, harness.entries[0], harness.entries[1] | {"zone": "b", "weight": 0.1}
            )
            await harness.discovery.request_lines.get()
            await harness.discovery.request_lines.get()
            server = harness.proxy.balancer._endpoints.servers["s0"]
            server.advance_to(harness.proxy.clock.now())
            server.in_flight_ms = 60_000.0  # ten calls in flight on average
            code, text = await console_call(harness, "POST", "/admin/zone/leave", "a")
            assert code == 409 and "calls are out on average" in text
            assert (await console_call(harness, "POST", "/admin/zone/leave", "a force"))[0] == 200

    run_scenario(scenario())


def test_zone_evacuations_outlast_the_process(tmp_path: Path) -> None:
    file, evacuation = CordonFile(tmp_path), ZoneEvacuation("east", True, 1_000.0, 60_000.0, 0.5)
    assert file.set_evacuation(evacuation) == ""
    reloaded = CordonFile(tmp_path)
    assert reloaded.refresh() and reloaded.cordons.evacuations == {"east": evacuation}
    assert reloaded.set_cordon("s0", is_cordoned=True) == ""
    assert reloaded.cordons.evacuations == {"east": evacuation}
    later = evacuation.started_at_ms + RETURN_RETENTION_MS + 1
    restoration = ZoneEvacuation("east", False, 2_000.0, 0.0, 0.5)
    assert reloaded.cordons.with_evacuation(restoration).with_evacuation(
        ZoneEvacuation("west", True, later + 2_000.0)
    ).evacuations.keys() == {"west"}


@pytest.mark.parametrize(
    "zones", [[], {"a": 1}, {"a": [True, "x"]}, {"a": [True, 1, 2, 3, 4, 5]}, {"a": [True, 1e999]}]
)
def test_file_with_invalid_zones_is_ignored(tmp_path: Path, zones: Any) -> None:
    (tmp_path / "cordons.json").write_text(json.dumps({"out": ["s0"], "back": {}, "zones": zones}))
    assert not CordonFile(tmp_path).refresh()


def test_file_of_an_older_version_has_no_zones(tmp_path: Path) -> None:
    (tmp_path / "cordons.json").write_text(json.dumps({"out": ["s0"], "back": {}}))
    file = CordonFile(tmp_path)
    assert file.refresh() and file.cordons.servers == {"s0"} and file.cordons.evacuations == {}
