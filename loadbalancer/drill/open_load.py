"""Open load on one address: requests arrive at a rate, whether or not earlier ones are answered.

Latency is measured from when a request was due, not from when it could be sent, so that a stall of the server
counts for every request due meanwhile (no coordinated omission).
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
from loadbalancer.net.request_counters import REJECTION_STATUSES

MAX_RATE_PER_S = 5_000.0  # above what one client process can send
MAX_DURATION_S = 600.0
MAX_RECORDED_MS = 600_000  # request latency, which the deadline bounds


class LoadError(ValueError):
    """Invalid load parameters; the message is one line."""


@dataclass(frozen=True)
class RequestKind:
    """A class of requests; `weight` is its relative share among all classes."""

    name: str
    weight: float = 1.0
    deadline_ms: float = 2_000.0
    is_unsafe: bool = False


@dataclass
class KindResults:
    """Counts of outcomes and a latency histogram (in µs) of a class's requests."""

    endings: Counter[str] = field(default_factory=Counter)
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_RECORDED_MS * 1_000, 3))

    def record(self, ending: str, took_ms: float) -> None:
        """Record the outcome and latency of one request."""
        self.endings[ending] += 1
        self.times.record_value(max(int(took_ms * 1_000), 1))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency, in ms."""
        return float(self.times.get_value_at_percentile(percentile)) / 1_000


def parse_request_kind(text: str) -> RequestKind:
    """Parse a class from `NAME[:SHARE[:DEADLINE_MS[:unsafe]]]`; LoadError if it is malformed."""
    name, *rest = text.split(":")
    try:
        weight, deadline_ms = [*map(float, rest[:2]), *(1.0, 2_000.0)[len(rest[:2]) :]]
        kind = RequestKind(name, weight, deadline_ms, rest[2:] == ["unsafe"])
    except ValueError:
        kind = RequestKind("")
    if not kind.name or kind.weight <= 0 or kind.deadline_ms <= 0 or len(rest) > 3:
        raise LoadError(f"--class {text!r}: give NAME[:SHARE[:DEADLINE_MS[:unsafe]]], such as map:3:500")
    if len(rest) == 3 and not kind.is_unsafe:
        raise LoadError(f"--class {text!r}: the fourth part may only be 'unsafe'")
    return kind


def check_load(url: str, rate: float, seconds: float, *, anywhere: bool) -> None:
    """Raise LoadError for a load that is not allowed or not possible; `anywhere` allows other machines."""
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname:
        raise LoadError(f"{url!r}: give an address such as http://127.0.0.1:8080")
    if not anywhere and not _is_loopback(parts.hostname):
        raise LoadError(f"{parts.hostname} is not a loopback address; use --anywhere to load other machines")
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
    """Generate the load, and return the results of each class."""
    rng, loop = random.Random(seed), asyncio.get_running_loop()
    results = {kind.name: KindResults() for kind in kinds}
    weights = [kind.weight for kind in kinds]
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        asyncio.TaskGroup() as group,
    ):
        due_s = loop.time()
        until_s = due_s + seconds
        while (due_s := due_s + rng.expovariate(rate)) < until_s:
            await asyncio.sleep(max(due_s - loop.time(), 0.0))
            kind = rng.choices(kinds, weights)[0]
            request_id = f"{rng.getrandbits(64):016x}"
            group.create_task(_send(session, url, kind, request_id, due_s, results[kind.name]))
    return results


async def _send(
    session: aiohttp.ClientSession, url: str, kind: RequestKind, request_id: str, due_s: float,
    results: KindResults,
) -> None:  # fmt: skip
    """Send a request and record its outcome."""
    loop = asyncio.get_running_loop()
    arguments = request_arguments(request_id, kind.name, kind.deadline_ms, is_unsafe=kind.is_unsafe)
    timeout = aiohttp.ClientTimeout(total=kind.deadline_ms / 1_000)
    target = f"{url.rstrip('/')}/{kind.name}"
    try:
        async with session.request(url=target, timeout=timeout, **arguments) as answer:
            await answer.read()
            status = answer.status
        ending = "served" if status == 200 else "refused" if status in REJECTION_STATUSES else "failed"
    except TimeoutError:
        ending = "timed out"
    except (aiohttp.ClientError, OSError):
        ending = "lost"
    results.record(ending, (loop.time() - due_s) * 1_000)
