"""A process that starts is ready whatever its calls for the list come to, and however many start with it."""

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
from loadbalancer.net.config import read_config
from loadbalancer.net.proxy import Proxy
from tests.loopback import config_text, endpoint_entry, http_response, run_scenario, running_program

HOST = "127.0.0.1"
READY_S = 10.0  # the operators' term, for nine in ten
SLOW_S = 4.0
KNOWN = [endpoint_entry("s0", "127.0.0.1:5000")]
WAYS = ("refused", "silent", "slow", "503", "half")
PATIENCE_S = 60.0


class Standin:
    """A discovery that ends every call in one way."""

    def __init__(self, way: str) -> None:
        self._way, self.calls = way, 0

    async def start(self) -> str:
        port = find_free_port(HOST)
        if self._way != "refused":
            self._server = await asyncio.start_server(self._serve, HOST, port)
        return f"{HOST}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        whole = json.dumps({"index": 7, "snapshot": True, "endpoints": KNOWN}).encode()
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if self._way == "503":
                    writer.write(http_response(503, b""))
                elif self._way == "half":
                    writer.write(http_response(200, whole)[:-20])
                elif self._way in ("slow", "up"):
                    await asyncio.sleep(SLOW_S if self._way == "slow" else 0.0)
                    writer.write(http_response(200, whole))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def ready_after(port: int, began: float) -> float:
    """Seconds from the start of a process until it answers 200 to a look at its health."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return time.monotonic() - began
        except OSError:
            pass
        await asyncio.sleep(0.02)  # between looks, as a front does


@asynccontextmanager
async def process(config: dict[str, Any], path: Path) -> AsyncIterator[int]:
    """One balancer as the platform starts it; gives the port that it listens on, and ends it."""
    port = find_free_port(HOST)
    path.write_text(json.dumps(config | {"listen": f"{HOST}:{port}"}))
    async with running_program(path):
        yield port


def configuration(address: str, how: str, knows: bool, own: bool = False) -> dict[str, Any]:
    lists = {"others": [f"{HOST}:{find_free_port(HOST)}"]} if own else None
    contract = {"drainGrace": 300.0, "askWithin": 30_000.0}
    text = config_text(
        address, KNOWN if knows else [], lists=lists, discovery=how, balancers=18_000, contract=contract
    )
    told: dict[str, Any] = json.loads(text)
    return told


async def start(config: dict[str, Any], path: Path) -> float:
    began = time.monotonic()
    async with process(config, path) as port:
        return await ready_after(port, began)


@pytest.mark.parametrize("how", ["ask", "push"])
def test_processes_that_start_together_are_ready_with_any_discovery(how: str, tmp_path: Path) -> None:
    """Twelve at once; where the machine is busy, those that discovery answers show how long a start takes."""

    async def scenario() -> None:
        up = await Standin("up").start()
        configs = [configuration(up, how, knows) for knows in (True, False)]
        for way in WAYS:
            address = await Standin(way).start()
            configs += [configuration(address, how, True), configuration(address, how, False, own=True)]
        starts = [start(config, tmp_path / f"{n}.json") for n, config in enumerate(configs)]
        after = await asyncio.wait_for(asyncio.gather(*starts), PATIENCE_S)
        usual, others = max(after[:2]), sorted(after[2:])
        print(f"{how}: with discovery {usual:.2f} s, without {others}")
        assert others[math.ceil(len(others) * 0.9) - 1] <= max(READY_S, 2 * usual)
        assert others[-1] <= usual + SLOW_S / 2, "it waited for discovery"

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())


@pytest.mark.parametrize("how", ["ask", "push"])
@pytest.mark.parametrize("knows", [True, False])
@pytest.mark.parametrize("own", [True, False])
def test_a_balancer_serves_before_its_first_call_for_the_list_is_out(
    how: str, knows: bool, own: bool
) -> None:
    async def scenario() -> None:
        text = json.dumps(configuration(f"{HOST}:{find_free_port(HOST)}", how, knows, own))
        proxy = Proxy(read_config(text, lambda note: None), asyncio.get_running_loop())
        proxy.start()
        assert proxy.is_serving()

    run_scenario(scenario())
