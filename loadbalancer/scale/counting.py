"""What stand-ins share: counts of one second, told to the driver as it ends, and the loop they run on."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import uvloop

from loadbalancer.drill.servers.specification import say


class Tally:
    """What passed to and from each instance since it was last told."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.dials = self.most = 0

    def told(self) -> dict[str, object]:
        """As a line for the driver; counting begins anew."""
        line = {"calls": dict(self.calls), "bytes": dict(self.bytes), "dials": self.dials, "most": self.most}
        self.calls.clear()
        self.bytes.clear()
        self.dials = self.most = 0
        return line


async def tell_each_second(more: Callable[[], dict[str, object]]) -> None:
    """At the end of each second of Unix time, tell the driver what `more` has; for ever."""
    while True:
        now = time.time()
        second = int(now)
        await asyncio.sleep(second + 1 - now)
        lag_ms = round((time.time() - second - 1) * 1_000)
        say(second=second, lag_ms=lag_ms, **more())


def in_background(loop: asyncio.AbstractEventLoop, work: Awaitable[None]) -> asyncio.Task[None]:
    """A task whose failure ends the process: a stand-in that limps on would falsify figures."""
    task = asyncio.ensure_future(work, loop=loop)
    task.add_done_callback(lambda t: loop.stop() if not t.cancelled() and t.exception() else None)
    return task


def run(work: Coroutine[Any, Any, None]) -> None:
    """Be a stand-in until its work is over, on the loop that real balancers run on."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work)
