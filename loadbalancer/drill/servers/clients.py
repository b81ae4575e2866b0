"""The clients and their front as a process: an open load on balancers, and what each request came to.

    python -m loadbalancer.drill.servers.clients SPEC.json

First tries come at random at a rate, whether or not earlier ones were answered. The front deals them out in
turn among the balancers that answer `GET /healthz`, and notices only after some checks that one has died.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from typing import Any

import aiohttp
import msgspec

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.scenario.definition import Class, Load
from loadbalancer.drill.servers.specification import Place, follow, read_spec, request_of, say
from loadbalancer.net.request_counters import REJECTION_STATUSES

CHECK_S, CHECK_PATIENCE_S, FAILS_TO_LEAVE = 0.3, 1.0, 2
PATIENCE_MS = 1_500.0  # past its time, in which a late answer is still seen
REPORT_S = 0.1
ELSEWHERE = 3  # balancers that are tried when connections are refused


class Spec(Place, kw_only=True, frozen=True):
    """What the clients are told."""

    balancers: dict[str, str]  # name: host:port
    load: Load


class Front:
    """Knows which balancers answer, and deals requests out among them."""

    def __init__(self, session: aiohttp.ClientSession, balancers: dict[str, str]) -> None:
        self._session, self.balancers = session, balancers
        self._fails = dict.fromkeys(balancers, FAILS_TO_LEAVE)
        self._turn = itertools.count()

    @property
    def up(self) -> list[str]:
        """Those that are not known to be dead."""
        return [name for name, fails in self._fails.items() if fails < FAILS_TO_LEAVE]

    def next(self) -> str:
        """The balancer for the next try."""
        known = self.up or list(self.balancers)
        return known[next(self._turn) % len(known)]

    async def check(self, name: str) -> None:
        """Look after one balancer for ever."""
        url = f"http://{self.balancers[name]}/healthz"
        timeout = aiohttp.ClientTimeout(total=CHECK_PATIENCE_S)
        while True:
            try:
                async with self._session.get(url, timeout=timeout) as answer:
                    good = answer.status == 200
            except (aiohttp.ClientError, OSError, TimeoutError):
                good = False
            self._fails[name] = 0 if good else self._fails[name] + 1
            await asyncio.sleep(CHECK_S)


class Clients:
    """All first tries of a drill, and what follows each."""

    def __init__(self, spec: Spec, front: Front, session: aiohttp.ClientSession) -> None:
        self.spec, self.load, self.front, self.session = spec, spec.load, front, session
        self.clock, self.history = RealClock(spec.offset_ms), spec.writer()
        self.chance = random.Random(f"{spec.seed}/clients")
        self.asked = self.ended = 0
        self._number = 0

    def command(self, line: dict[str, Any]) -> None:
        """Ask at another rate, with other retries."""
        self.load = msgspec.structs.replace(self.load, **line)

    async def run(self) -> None:
        """Make all first tries, and wait for the last one's end."""
        classes = self.load.classes
        shares = [cls.share for cls in classes]
        loop = asyncio.get_running_loop()
        due = loop.time()
        async with asyncio.TaskGroup() as group:
            while self.asked < self.load.requests:
                due += self.chance.expovariate(self.load.rate)
                await asyncio.sleep(max(due - loop.time(), 0.0))
                self.asked += 1
                cls = self.chance.choices(classes, shares)[0]
                group.create_task(self._wish(self.asked, cls))

    async def _wish(self, wish: int, cls: Class) -> None:
        first, tries, left = self.clock.now, 0, self.load.retries
        ending = "gave up"
        while (remaining := cls.deadline_ms - (self.clock.now - first)) > 0:
            tries += 1
            ending, away_s = await self._try(wish, tries, cls, remaining)
            again = ending == "refused" or (ending in ("failed", "lost") and cls.effect == "safe")
            if not again or left <= 0:
                break
            left -= 1
            heeds = self.chance.random() < self.load.heed
            await asyncio.sleep(max(away_s if heeds else 0.0, self.load.backoff_ms / 1_000))
        took = self.clock.now - first
        if ending == "served" and took > cls.aim_ms:
            ending = "late"
        self.history.write(
            "done", wish=wish, cls=cls.name, ending=ending, took=round(took, 3), tries=tries, first=first
        )
        self.ended += 1

    async def _try(self, wish: int, number: int, cls: Class, remaining: float) -> tuple[str, float]:
        """One try: what came of it, and how long to stay away in s."""
        for _ in range(ELSEWHERE):
            self._number += 1
            id_ = f"{self._number:x}-{self.chance.randrange(1 << 48):012x}"
            name = self.front.next()
            sent = {"wish": wish, "id": id_, "try": number, "cls": cls.name, "to": name}
            self.history.write("asked", **sent, deadline=round(remaining, 3))
            try:
                return await self._ask(id_, name, cls, remaining, number > 1)
            except aiohttp.ClientConnectorError:
                self.history.write("lost", id=id_, how="refused", sent=False)
            except (aiohttp.ClientError, OSError) as error:
                self.history.write("lost", id=id_, how=type(error).__name__, sent=True)
                return "lost", 0.0
            except TimeoutError:
                self.history.write("left", id=id_)
                return "left", 0.0
        return "lost", 0.0

    async def _ask(self, id_: str, name: str, cls: Class, remaining: float, again: bool) -> tuple[str, float]:
        began = self.clock.now
        asked = request_of(id_, cls.name, remaining, cls.effect == "unsafe")
        if again:
            asked["headers"]["X-Retry"] = "1"
        url = f"http://{self.front.balancers[name]}/{cls.name}/{id_}"
        timeout = aiohttp.ClientTimeout(total=(remaining + PATIENCE_MS) / 1_000)
        async with self.session.request(url=url, timeout=timeout, **asked) as answer:
            body = await answer.read()
            status, away = answer.status, answer.headers.get("Retry-After", "0")
        took = round(self.clock.now - began, 3)
        self.history.write("answered", id=id_, status=status, took=took, run=_run_of(body, id_))
        if status == 200:
            return "served", 0.0
        return ("refused" if status in REJECTION_STATUSES else "failed"), float(away)


def _run_of(body: bytes, id_: str) -> str:
    """Who made an answer, by its own word; empty where it does not say, or answers something else."""
    try:
        answer = json.loads(body)
        return str(answer["run"]) if answer["id"] == id_ else ""
    except (ValueError, KeyError, TypeError):
        return ""


async def report(clients: Clients) -> None:
    """Tell the driver how far things are."""
    while True:
        say(asked=clients.asked, ended=clients.ended, up=clients.front.up)
        await asyncio.sleep(REPORT_S)


async def main() -> None:
    """Wait for the word to begin, ask all there is to ask, and say so."""
    spec = read_spec(Spec)
    begin = asyncio.Event()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), connector_owner=True
    ) as session, aiohttp.ClientSession() as checks:  # fmt: skip
        front = Front(checks, spec.balancers)
        clients = Clients(spec, front, session)

        def command(line: dict[str, Any]) -> None:
            if "begin" in line:
                begin.set()
            else:
                clients.command(line)

        tasks = [asyncio.create_task(front.check(name)) for name in spec.balancers]
        tasks += [asyncio.create_task(report(clients)), asyncio.create_task(follow(command))]
        say(ready=["", 0])
        await begin.wait()
        await clients.run()
        for task in tasks:
            task.cancel()
        say(asked=clients.asked, ended=clients.ended, up=front.up)
    clients.history.close()


if __name__ == "__main__":
    asyncio.run(main())
