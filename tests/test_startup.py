"""A starting process becomes ready whatever its list requests return, and however many start together."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from loadbalancer.drill.processes.addresses import find_free_port
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.proxy import Proxy
from tests.loopback import config_text, endpoint_entry, http_response, run_scenario, running_program

HOST = "127.0.0.1"
MAX_READY_S = 10.0  # the operators' requirement, for 90 % of the processes
SLOW_ANSWER_S = 4.0
INITIAL_LIST = [endpoint_entry("s0", "127.0.0.1:5000")]
FAILURES = ("refused", "silent", "slow", "503", "half")
SCENARIO_LIMIT_S = 60.0


class FailingListService:
    """A discovery service that handles every call in the same way."""

    def __init__(self, failure: str) -> None:
        self._failure, self.calls = failure, 0

    async def start(self) -> str:
        port = find_free_port(HOST)
        if self._failure != "refused":
            self._server = await asyncio.start_server(self._serve, HOST, port)
        return f"{HOST}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        body = json.dumps({"index": 7, "snapshot": True, "endpoints": INITIAL_LIST}).encode()
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if self._failure == "503":
                    writer.write(http_response(503, b""))
                elif self._failure == "half":
                    writer.write(http_response(200, body)[:-20])
                elif self._failure in ("slow", "up"):
                    await asyncio.sleep(SLOW_ANSWER_S if self._failure == "slow" else 0.0)
                    writer.write(http_response(200, body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def measure_start_s(port: int, started_at_s: float) -> float:
    """Return the seconds from the start of a process until it answers a health check with 200."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return time.monotonic() - started_at_s
        except OSError:
            pass
        await asyncio.sleep(0.02)  # between health checks, as a front proxy does


@asynccontextmanager
async def running_balancer(config: dict[str, Any], path: Path) -> AsyncIterator[int]:
    """Run a balancer as the platform starts it; yield the port that it listens on."""
    port = find_free_port(HOST)
    path.write_text(json.dumps(config | {"listen": f"{HOST}:{port}"}))
    async with running_program(path):
        yield port


def configuration(
    address: str, discovery_mode: str, has_initial_list: bool, has_own_registry: bool = False
) -> dict[str, Any]:
    lists = {"others": [f"{HOST}:{find_free_port(HOST)}"]} if has_own_registry else None
    contract = {"drainGrace": 300.0, "askWithin": 30_000.0}
    text = config_text(
        address,
        INITIAL_LIST if has_initial_list else [],
        lists=lists,
        discovery=discovery_mode,
        balancers=18_000,
        contract=contract,
    )
    config_values: dict[str, Any] = json.loads(text)
    return config_values


async def start_and_measure_s(config: dict[str, Any], path: Path) -> float:
    started_at_s = time.monotonic()
    async with running_balancer(config, path) as port:
        return await measure_start_s(port, started_at_s)


@pytest.mark.parametrize("discovery_mode", ["ask", "push"])
def test_processes_that_start_together_are_ready_whatever_discovery_does(
    discovery_mode: str, tmp_path: Path
) -> None:
    """Starts twelve at once; those with a working discovery show how long a start takes on a busy machine."""

    async def scenario() -> None:
        working = await FailingListService("up").start()
        configs = [
            configuration(working, discovery_mode, has_initial_list) for has_initial_list in (True, False)
        ]
        for failure in FAILURES:
            address = await FailingListService(failure).start()
            configs += [
                configuration(address, discovery_mode, True),
                configuration(address, discovery_mode, False, has_own_registry=True),
            ]
        starts = [start_and_measure_s(config, tmp_path / f"{n}.json") for n, config in enumerate(configs)]
        ready_after_s = await asyncio.wait_for(asyncio.gather(*starts), SCENARIO_LIMIT_S)
        usual_s, others_s = max(ready_after_s[:2]), sorted(ready_after_s[2:])
        print(f"{discovery_mode}: with discovery {usual_s:.2f} s, without {others_s}")
        assert others_s[math.ceil(len(others_s) * 0.9) - 1] <= max(MAX_READY_S, 2 * usual_s)
        assert others_s[-1] <= usual_s + SLOW_ANSWER_S / 2, "the start waited for discovery"

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())


@pytest.mark.parametrize("discovery_mode", ["ask", "push"])
@pytest.mark.parametrize("has_initial_list", [True, False])
@pytest.mark.parametrize("has_own_registry", [True, False])
def test_balancer_serves_before_its_first_request_for_the_list(
    discovery_mode: str, has_initial_list: bool, has_own_registry: bool
) -> None:
    async def scenario() -> None:
        text = json.dumps(
            configuration(
                f"{HOST}:{find_free_port(HOST)}", discovery_mode, has_initial_list, has_own_registry
            )
        )
        proxy = Proxy(read_config(text, lambda note: None), asyncio.get_running_loop())
        proxy.start()
        assert proxy.is_serving()

    run_scenario(scenario())
