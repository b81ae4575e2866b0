"""The system's clock is set by an hour while processes run: waits, warm-ups and leases go on in real time."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from loadbalancer.net.clock import Clock
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.hot_restart import connect_to_predecessor
from loadbalancer.net.start_times import StartTimes
from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.clock import unix_ms
from loadbalancer.registry.entries import Registration, Rules
from tests.loopback import (
    ProxyHarness,
    Upstream,
    endpoint_entry,
    endpoint_list,
    run_scenario,
    status_of,
    wait_until,
)

HOUR_MS = 3_600_000.0
each_direction = pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS])
SLOW_START = {"contract": {"coldFor": 8_000.0, "coldFrom": 0.3, "fallMultiple": 2.5, "fallWithin": 2_000.0}}


class SteppedClock:
    """A system clock that has been set, beside a process clock that has not."""

    def __init__(self) -> None:
        self.now_ms = 1_000 * HOUR_MS
        self.step_ms = 0.0

    def own_ms(self) -> float:
        return self.now_ms

    def system_ms(self) -> float:
        return self.now_ms + self.step_ms


def converted_age_ms(times: StartTimes, clock: SteppedClock, since_ms: float, name: str = "s0") -> float:
    """Return how old a server is after the conversion of its start time."""
    update = times.convert(endpoint_list(endpoint_entry(name, "127.0.0.1:1", since_ms=since_ms)))
    return clock.now_ms - update.endpoints[0].endpoint.started_at_ms


@each_direction
def test_a_server_that_starts_after_a_step_is_new(step_ms: float) -> None:
    """Guards against a cold server that counts as warm, and against one that warms up for an hour."""
    clock = SteppedClock()
    times = StartTimes(clock.own_ms, clock.system_ms)
    clock.step_ms = step_ms
    assert converted_age_ms(times, clock, clock.system_ms() - 200) == 200


@each_direction
def test_a_server_that_started_before_a_step_keeps_its_age(step_ms: float) -> None:
    clock = SteppedClock()
    times = StartTimes(clock.own_ms, clock.system_ms)
    since_ms = clock.system_ms() - 300
    assert converted_age_ms(times, clock, since_ms) == 300
    clock.step_ms = step_ms
    clock.now_ms += 1_000
    assert converted_age_ms(times, clock, since_ms) == 1_300
    if step_ms > 0:  # it may have started just now, too: in doubt it is warming up
        assert converted_age_ms(times, clock, since_ms, "late") == 1_300


@each_direction
def test_a_restart_after_a_step_is_a_later_start(step_ms: float) -> None:
    clock = SteppedClock()
    times = StartTimes(clock.own_ms, clock.system_ms)
    before = converted_age_ms(times, clock, clock.system_ms() - 300)
    clock.step_ms = step_ms
    clock.now_ms += 5_000
    after = converted_age_ms(times, clock, clock.system_ms() - 100)
    assert after == 100 < before


def test_without_a_step_nothing_is_converted() -> None:
    clock = SteppedClock()
    times = StartTimes(clock.own_ms, clock.system_ms)
    for since_ms in (0.0, 5.0, clock.now_ms - 100, clock.now_ms + 400):
        entries = endpoint_list(endpoint_entry("s0", "127.0.0.1:1", since_ms=since_ms))
        assert times.convert(entries) == entries


@each_direction
def test_a_server_returns_from_its_cordon_at_the_time_of_the_process(
    step_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, file = Clock(), CordonFile(None)
    system_s = time.time
    monkeypatch.setattr(time, "time", lambda: system_s() + step_ms / 1_000)
    file.set_cordon("s0", is_cordoned=True)
    file.set_cordon("s0", is_cordoned=False)
    assert abs(file.cordons.returned_at_ms["s0"] - clock.now()) < HOUR_MS / 60


@each_direction
def test_a_process_that_takes_over_goes_on_with_the_clock_of_its_predecessor(
    step_ms: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls to a cold server that count as an hour old or as yet to come after an upgrade."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream(), folder=tmp_path) as harness:
            system_s = time.time
            monkeypatch.setattr(time, "time", lambda: system_s() + step_ms / 1_000)
            connect = asyncio.get_running_loop().run_in_executor(None, connect_to_predecessor, tmp_path)
            predecessor = await connect
            assert predecessor is not None
            assert predecessor.exchange is not None
            successor = Clock(predecessor.clock_offset_ms)
            assert abs(successor.now() - harness.proxy.clock.now()) < 1_000
            predecessor.exchange.close()
            predecessor.listener.close()

    run_scenario(scenario())


@each_direction
def test_a_lease_runs_in_real_time(step_ms: float, monkeypatch: pytest.MonkeyPatch) -> None:
    catalog = Catalog(Rules(), 1)
    catalog.register("s0", Registration(address="127.0.0.1:1", lease_ms=60_000), unix_ms())
    system_s = time.time
    monkeypatch.setattr(time, "time", lambda: system_s() + step_ms / 1_000)
    catalog.expire_leases(unix_ms())
    assert catalog.entries["s0"].status.value == "in_service"


@each_direction
def test_a_request_is_answered_in_real_time_across_a_step(
    step_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a restarted server that is taken for an old one, and against requests that wait."""

    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            assert status_of(await harness.request()) == 200
            system_s = time.time
            monkeypatch.setattr(time, "time", lambda: system_s() + step_ms / 1_000)
            entry = harness.entries[0] | {"since_ms": time.time() * 1_000 - 50}
            harness.discovery.publish(8, entry, snapshot=True)
            await wait_until(lambda: harness.proxy.endpoint_list.revision == 8)
            [server] = harness.proxy.balancer._endpoints.servers.values()
            assert 0 <= harness.proxy.clock.now() - server.started_at_ms < HOUR_MS / 60
            assert status_of(await harness.request()) == 200

    run_scenario(scenario())
