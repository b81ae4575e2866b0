"""Plays a scale run: starts all, goes through the steps, measures each, leaves no process behind."""

from __future__ import annotations

import asyncio
import json
import resource
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

from loadbalancer.drill.processes.supervisor import DriveError
from loadbalancer.scale import figures, resource_usage
from loadbalancer.scale.plan import MEMORY_PART, Plan, PlanError
from loadbalancer.scale.steps import START_S, Changes, Steps
from loadbalancer.scale.supervisor import Crew

PAIR_KB, HOST_MB, REAL_MB = 1.15, 60.0, 60.0  # of a listed server in a hollow balancer; of processes
SPARE_FILES = 500
OVERDUE_S = 900.0  # for a whole run, beside its steps' own lengths
WORDS = {"in_service": "READY", "terminating": "DRAINING"}


def guard(plan: Plan) -> None:
    """PlanError if this machine should not hold it: half of its memory, 20,000 descriptors a process."""
    plan.check()
    all_mb, _ = resource_usage.memory_mb()
    own_mb = plan.hosts * HOST_MB + plan.real * REAL_MB + plan.instances * 2 * HOST_MB
    held = plan.held()
    pairs_mb = plan.hollow * held * PAIR_KB / 1_024
    if own_mb + pairs_mb > MEMORY_PART * all_mb:
        room = int((MEMORY_PART * all_mb - own_mb) * 1_024 / PAIR_KB / held)
        raise PlanError(
            f"memory: {own_mb + pairs_mb:,.0f} MB, allowed are {MEMORY_PART:.0%} of {all_mb:,.0f}; "
            f" --hollow {max(room, 0)} at the most"
        )
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    need = plan.hollow + plan.real + SPARE_FILES  # at an instance, where all others are away
    if need > files:
        raise PlanError(f"descriptors: an instance may need {need}, allowed are {files}")


class Play:
    """One run; `on_progress` gets a line now and then."""

    def __init__(self, plan: Plan, out: Path, on_progress: Callable[[str], None] = lambda line: None) -> None:
        """`out` is an empty or new folder for all that is written."""
        guard(plan)
        self._plan, self._out, self._say = plan, out, on_progress
        self._steps: dict[str, Any] = {}
        self._memory_most = 0.0

    async def run(self) -> dict[str, Any]:
        """Play it, and write `figures.json`; DriveError says why it could not be."""
        self._out.mkdir(parents=True, exist_ok=True)
        if any(self._out.iterdir()):
            raise DriveError(f"{self._out} is not empty")
        async with aiohttp.ClientSession() as http:
            self._http, self._crew = http, Crew(self._plan, self._out, http)
            ticking = asyncio.create_task(self._tick())
            ticking.add_done_callback(self._tick_ended)
            try:
                async with asyncio.timeout(OVERDUE_S):
                    await self._play()
            except TimeoutError:
                raise DriveError("the run did not come to its end in time") from None
            finally:
                ticking.cancel()
                await self._crew.finish()
        told = self._told()
        (self._out / "figures.json").write_text(json.dumps(told) + "\n", encoding="utf-8")
        return told

    async def _play(self) -> None:
        await self._prepare()
        steps = Steps(self._plan, self._crew, self._http)
        for step in self._plan.steps:
            await self._do(step, steps.by_name[step])
            await steps.restore()

    async def _prepare(self) -> None:
        """All that is there before the balancers."""
        crew, plan = self._crew, self._plan
        crew.stand_in("edge", "edge", calls_per_s=plan.calls_per_s)
        await crew.start_instances()
        await crew.until_ready(["edge"])
        crew.stand_in("registrar", "registrar", plan=plan, ways=crew.instances, address=crew.ready["edge"])
        numbers = plan.hollow_numbers()
        for host in range(plan.hosts):
            own = numbers[host :: plan.hosts]
            crew.stand_in(f"hollow{host}", "hollow", plan=plan, numbers=own, ways=crew.instances)
        for number in plan.real_numbers():
            await crew.start_real(number)
        await crew.until_ready(["registrar", *crew.hosts()])
        self._say(f"{plan.balancers} upstreams register")
        began = time.monotonic()
        crew.ones["registrar"].process.tell({"do": "register"})
        await self._wait_row("registrar", lambda row: row.get("held", 0) == plan.balancers, "registered")
        self._say(f"registered in {time.monotonic() - began:.1f} s")

    async def _wait_row(self, name: str, is_so: Callable[[dict[str, Any]], bool], what: str) -> None:
        until = time.monotonic() + START_S
        while not any(is_so(row) for row in self._crew.ones[name].rows[-4:]):
            if time.monotonic() > until:
                raise DriveError(f"{name}: not {what} in {START_S:.0f} s")
            if self._crew.troubles:
                raise DriveError(f"{self._crew.troubles[0]}; see its log in {self._out}")
            await asyncio.sleep(0.1)

    # ---- steps ----------------------------------------------------------------------------------

    async def _do(self, step: str, work: Callable[[], Awaitable[Changes]]) -> None:
        """One step: its work, time to settle, then what it cost and who is stale."""
        self._crew.tell_hosts(do="begin")
        begin, before = int(time.time()), resource_usage.machine_s()
        changes = await work()
        await asyncio.sleep(self._plan.settle_s)
        end, after = int(time.time()) + 1, resource_usage.machine_s()
        await asyncio.sleep(1.1)  # the last second's lines are still on their way
        memory = resource_usage.memory_by_name({n: one.process.pid for n, one in self._crew.ones.items()})
        reports = await self._settled(changes)
        self._steps[step] = told = self._measured(step, begin, end, changes, reports, memory)
        told["machine_cores"] = {
            key: round((after[key] - before[key]) / max(end - begin, 1), 2) for key in after
        }
        self._say(self._line(step, told))

    async def _settled(self, changes: Changes) -> list[Any]:
        """What hosts report after a step: at once, or as soon as all are told within the plan's patience."""
        until = time.monotonic() + self._plan.patience_s
        while True:
            reports = await self._reports(await self._truth())
            told = figures.in_force(changes, reports, has_part=bool(self._plan.part))
            if not (told["never_told"] or told["stale_after"]) or time.monotonic() >= until:
                return reports
            await asyncio.sleep(0.5)

    def _measured(
        self, step: str, begin: int, end: int, changes: Changes, reports: list[Any], memory: dict[str, float]
    ) -> dict[str, Any]:
        roles, crew = {}, self._crew
        held = {host: max(report["here"], 1) for host, report in zip(crew.hosts(), reports, strict=True)}
        for role, units in figures.series_of(crew, held).items():
            names = [name for name, one in crew.ones.items() if one.kind == role and name in memory]
            count = sum(held[name] if role == "hollow" else 1 for name in names)
            pss = sum(memory[name] for name in names) / max(count, 1)
            roles[role] = figures.cost(units, begin, end) | {"pss_mb": round(pss, 2), "units": count}
        told = figures.in_force(changes, reports, has_part=bool(self._plan.part))
        if step == "start":
            ready = [ms for report in reports for ms in report["ready_ms"]]
            told |= figures.summary([ms for ms in ready if ms is not None])
            told["never_told"] = sum(ms is None for ms in ready)
        return {"begin": begin, "end": end, "roles": roles, "in_force_ms": told}

    def _line(self, step: str, told: dict[str, Any]) -> str:
        force, hollow = told["in_force_ms"], told["roles"].get("hollow", {})
        list_ = told["roles"]["instance"]
        return (
            f"{step}: {told['end'] - told['begin']} s; balancer {hollow.get('cpu_mean', 0):.2%} of a core, "
            f"{hollow.get('bytes_s_mean', 0):,.0f} B/s; instance {list_.get('cpu_mean', 0):.2f} core, worst "
            f"{list_.get('cpu_worst', 0):.2f}, {list_.get('calls_s_worst', 0):,.0f} calls/s; in force "
            f"{force['median']} ms, most {force['max']}; never told {force['never_told']}, "
            f"stale {force['stale_after']}"
        )

    # ---- measuring ------------------------------------------------------------------------------

    async def _truth(self) -> Path:
        """What the service lists, in the form that hollow balancers compare with."""
        async with self._http.get(f"http://{self._crew.instances[-1]}/v1/state") as answer:
            told = await answer.json()
        truth: dict[str, dict[str, list[Any]]] = {}
        for entry in told["entries"]:
            truth.setdefault(entry["tier"], {})[entry["name"]] = [WORDS[entry["status"]], entry["since_ms"]]
        path = self._out / "truth.json"
        path.write_text(json.dumps(truth))
        return path

    async def _reports(self, truth: Path) -> list[Any]:
        line = {"do": "report", "truth": str(truth)}
        answers = await asyncio.gather(*(self._crew.asked(host, line) for host in self._crew.hosts()))
        return [json.loads(Path(answer["report"]).read_text()) for answer in answers]

    async def _tick(self) -> None:
        """At each second's end look at all, and guard the memory."""
        all_mb, _ = resource_usage.memory_mb()
        while True:
            now = time.time()
            await asyncio.sleep(int(now) + 1 - now)
            self._crew.look(int(now))
            used = sum(resource_usage.resident_mb(one.process.pid) for one in self._crew.ones.values())
            self._memory_most = max(self._memory_most, used)
            if used > MEMORY_PART * all_mb:
                self._crew.troubles.append(f"memory: {used:,.0f} MB in use, over {MEMORY_PART:.0%} of all")

    def _tick_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()):
            self._crew.troubles.append(f"the look at all has failed: {error!r}")

    def _told(self) -> dict[str, Any]:
        plan, crew = self._plan, self._crew
        hollow = {host: max(plan.hollow // plan.hosts, 1) for host in crew.hosts()}
        roles = figures.series_of(crew, hollow)
        by_time = {
            role: [{second: values for second, values in sorted(unit.items())} for unit in units]
            for role, units in roles.items()
        }
        return {
            "size": plan.balancers, "mechanism": plan.lists, "hollow": plan.hollow, "real": plan.real,
            "hosts": plan.hosts, "instances": plan.instances, "services": plan.services, "seed": plan.seed,
            "plant": plan.plant, "resident_most_mb": round(self._memory_most), "steps": self._steps,
            "by_time": by_time,
        }  # fmt: skip
