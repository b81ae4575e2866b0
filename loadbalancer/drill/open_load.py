"""An open load on one address: requests at a rate, whether or not earlier ones are answered.

Times count from when a request was due, not from when it could be sent, so that a server that stalls is seen
as slow by all that came meanwhile (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import ipaddress
import random
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import aiohttp
from hdrh.histogram import HdrHistogram

from loadbalancer.drill.servers.specification import request_arguments
from loadbalancer.net.request_counters import REJECTIONS

MAX_RATE_PER_S, MAX_DURATION_S = 5_000.0, 600.0
MAX_RECORDED_MS = 600_000


class LoadError(ValueError):
    """A load that can't be made: one line."""


@dataclass(frozen=True)
class RequestKind:
    """A class of requests."""

    name: str
    share: float = 1.0
    deadline_ms: float = 2_000.0
    unsafe: bool = False


@dataclass
class KindResults:
    """What came of a class's requests; times in ms."""

    endings: Counter[str] = field(default_factory=Counter)
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_RECORDED_MS * 1_000, 3))

    def record(self, ending: str, took_ms: float) -> None:
        """Count one."""
        self.endings[ending] += 1
        self.times.record_value(max(int(took_ms * 1_000), 1))

    def percentile_ms(self, part: float) -> float:
        """The time within which so many in a hundred ended."""
        return float(self.times.get_value_at_percentile(part)) / 1_000


def parse_request_kind(text: str) -> RequestKind:
    """A class from `NAME[:SHARE[:DEADLINE_MS[:unsafe]]]`; LoadError if it is none."""
    name, *rest = text.split(":")
    try:
        share, deadline_ms = [*map(float, rest[:2]), *(1.0, 2_000.0)[len(rest[:2]) :]]
        kind = RequestKind(name, share, deadline_ms, rest[2:] == ["unsafe"])
    except ValueError:
        kind = RequestKind("")
    if not kind.name or kind.share <= 0 or kind.deadline_ms <= 0 or len(rest) > 3:
        raise LoadError(f"--class {text!r}: give NAME[:SHARE[:DEADLINE_MS[:unsafe]]], such as map:3:500")
    if len(rest) == 3 and not kind.unsafe:
        raise LoadError(f"--class {text!r}: the fourth part may only be 'unsafe'")
    return kind


def check_load(url: str, rate: float, seconds: float, anywhere: bool) -> None:
    """LoadError if a load may not, or can't, be made."""
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise LoadError(f"{url!r}: give an address such as http://127.0.0.1:8080")
    if not anywhere and not _is_loopback(parts.hostname):
        raise LoadError(f"{parts.hostname} is not this machine: only loopback is loaded, unless --anywhere")
    if not 0 < rate <= MAX_RATE_PER_S:
        raise LoadError(f"--rate {rate:g}: allowed: above 0, at most {MAX_RATE_PER_S:g} a second")
    if not 0 < seconds <= MAX_DURATION_S:
        raise LoadError(f"--seconds {seconds:g}: allowed: above 0, at most {MAX_DURATION_S:g}")


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


async def run_load(
    url: str, kinds: list[RequestKind], rate: float, seconds: float, seed: int
) -> dict[str, KindResults]:
    """Make the load, and tell what came of each class."""
    chance, loop = random.Random(seed), asyncio.get_running_loop()
    tallies = {kind.name: KindResults() for kind in kinds}
    shares = [kind.share for kind in kinds]
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        asyncio.TaskGroup() as group,
    ):
        due = loop.time()
        until = due + seconds
        while (due := due + chance.expovariate(rate)) < until:
            await asyncio.sleep(max(due - loop.time(), 0.0))
            kind = chance.choices(kinds, shares)[0]
            number = f"{chance.getrandbits(64):016x}"
            group.create_task(_send(session, url, kind, number, due, tallies[kind.name]))
    return tallies


async def _send(
    session: aiohttp.ClientSession, url: str, kind: RequestKind, number: str, due: float, tally: KindResults
) -> None:
    loop = asyncio.get_running_loop()
    asked = request_arguments(number, kind.name, kind.deadline_ms, is_unsafe=kind.unsafe)
    timeout = aiohttp.ClientTimeout(total=kind.deadline_ms / 1_000)
    try:
        async with session.request(url=f"{url.rstrip('/')}/{kind.name}", timeout=timeout, **asked) as answer:
            await answer.read()
            status = answer.status
        ending = "served" if status == 200 else "refused" if status in REJECTIONS else "failed"
    except TimeoutError:
        ending = "timed out"
    except (aiohttp.ClientError, OSError):
        ending = "lost"
    tally.record(ending, (loop.time() - due) * 1_000)
