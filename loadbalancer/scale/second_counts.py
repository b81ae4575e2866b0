"""Shared by the helper processes: counts reported at the end of each second, and the event loop."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import uvloop

from loadbalancer.drill.servers.specification import send_message


class TrafficCounts:
    """What passed to and from each instance since the counts were last taken."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.connects = 0
        self.max_balancer_bytes = 0

    def take(self) -> dict[str, object]:
        """Return the counts as a message to the driver, and reset them."""
        counts = {
            "calls": dict(self.calls), "bytes": dict(self.bytes), "dials": self.connects,
            "most": self.max_balancer_bytes,
        }  # fmt: skip
        self.calls.clear()
        self.bytes.clear()
        self.connects = 0
        self.max_balancer_bytes = 0
        return counts


async def report_each_second(take_counts: Callable[[], dict[str, object]]) -> None:
    """Send the driver the counts of each second of Unix time at its end, forever."""
    while True:
        now_s = time.time()
        second = int(now_s)
        await asyncio.sleep(second + 1 - now_s)
        lag_ms = round((time.time() - second - 1) * 1_000)
        send_message(second=second, lag_ms=lag_ms, **take_counts())


def start_critical_task(loop: asyncio.AbstractEventLoop, work: Awaitable[None]) -> asyncio.Task[None]:
    """Start a task whose failure ends the process: a helper that runs on without it would falsify figures."""
    task = asyncio.ensure_future(work, loop=loop)
    task.add_done_callback(lambda t: loop.stop() if not t.cancelled() and t.exception() else None)
    return task


def run_helper(work: Coroutine[Any, Any, None]) -> None:
    """Run a helper process until its work ends, on the same event loop as real balancers."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work)
