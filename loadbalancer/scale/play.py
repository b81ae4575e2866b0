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

from loadbalancer.drill.errors import DrillError
from loadbalancer.scale import figures, resource_usage
from loadbalancer.scale.plan import MAX_MEMORY_FRACTION, Plan, PlanError
from loadbalancer.scale.steps import START_TIMEOUT_S, Changes, ScaleSteps
from loadbalancer.scale.supervisor import ScaleSupervisor

LISTED_SERVER_KB, HOST_MB, REAL_MB = 1.15, 60.0, 60.0  # of a listed server in a hollow balancer; of processes
SPARE_DESCRIPTORS = 500
MAX_RUN_S = 900.0  # for a whole run, beside its steps' own lengths
READINESS_BY_STATUS = {"in_service": "READY", "terminating": "DRAINING"}


def check_resources(plan: Plan) -> None:
    """PlanError if this machine should not hold it: half of its memory, 20,000 descriptors a process."""
    plan.check()
    all_mb, _ = resource_usage.machine_memory_mb()
    own_mb = plan.hosts * HOST_MB + plan.real * REAL_MB + plan.instances * 2 * HOST_MB
    held = plan.mean_list_size()
    pairs_mb = plan.hollow * held * LISTED_SERVER_KB / 1_024
    if own_mb + pairs_mb > MAX_MEMORY_FRACTION * all_mb:
        room = int((MAX_MEMORY_FRACTION * all_mb - own_mb) * 1_024 / LISTED_SERVER_KB / held)
        raise PlanError(
            f"memory: {own_mb + pairs_mb:,.0f} MB, allowed are {MAX_MEMORY_FRACTION:.0%} of {all_mb:,.0f}; "
            f" --hollow {max(room, 0)} at the most"
        )
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    need = plan.hollow + plan.real + SPARE_DESCRIPTORS  # at an instance, where all others are away
    if need > files:
        raise PlanError(f"descriptors: an instance may need {need}, allowed are {files}")


class ScaleRun:
    """One run; `on_progress` gets a line now and then."""

    def __init__(self, plan: Plan, out: Path, on_progress: Callable[[str], None] = lambda line: None) -> None:
        """`out` is an empty or new folder for all that is written."""
        check_resources(plan)
        self._plan, self._out, self._on_progress = plan, out, on_progress
        self._steps: dict[str, Any] = {}
        self._peak_memory_mb = 0.0

    async def run(self) -> dict[str, Any]:
        """Play it, and write `figures.json`; DriveError says why it could not be."""
        self._out.mkdir(parents=True, exist_ok=True)
        if any(self._out.iterdir()):
            raise DrillError(f"{self._out} is not empty")
        async with aiohttp.ClientSession() as http:
            self._http, self._supervisor = http, ScaleSupervisor(self._plan, self._out, http)
            ticking = asyncio.create_task(self._sample_each_second())
            ticking.add_done_callback(self._on_sampling_ended)
            try:
                async with asyncio.timeout(MAX_RUN_S):
                    await self._play()
            except TimeoutError:
                raise DrillError("the run did not come to its end in time") from None
            finally:
                ticking.cancel()
                await self._supervisor.finish()
        told = self._run_figures()
        (self._out / "figures.json").write_text(json.dumps(told) + "\n", encoding="utf-8")
        return told

    async def _play(self) -> None:
        await self._prepare()
        steps = ScaleSteps(self._plan, self._supervisor, self._http)
        for step in self._plan.steps:
            await self._measure_step(step, steps.by_name[step])
            await steps.restore()

    async def _prepare(self) -> None:
        """All that is there before the balancers."""
        crew, plan = self._supervisor, self._plan
        crew.start_helper("edge", "edge", calls_per_s=plan.calls_per_s)
        await crew.start_instances()
        await crew.wait_ready(["edge"])
        crew.start_helper(
            "registrar",
            "registrar",
            plan=plan,
            instance_addresses=crew.instances,
            address=crew.ready_messages["edge"],
        )
        numbers = plan.hollow_numbers()
        for host in range(plan.hosts):
            own = numbers[host :: plan.hosts]
            crew.start_helper(
                f"hollow{host}", "hollow", plan=plan, numbers=own, instance_addresses=crew.instances
            )
        for number in plan.real_numbers():
            await crew.prepare_real(number)
        await crew.wait_ready(["registrar", *crew.hollow_hosts()])
        self._on_progress(f"{plan.balancers} upstreams register")
        began = time.monotonic()
        crew.processes["registrar"].process.send_command({"do": "register"})
        await self._wait_for_row("registrar", lambda row: row.get("held", 0) == plan.balancers, "registered")
        self._on_progress(f"registered in {time.monotonic() - began:.1f} s")

    async def _wait_for_row(self, name: str, is_so: Callable[[dict[str, Any]], bool], what: str) -> None:
        until = time.monotonic() + START_TIMEOUT_S
        while not any(is_so(row) for row in self._supervisor.processes[name].rows[-4:]):
            if time.monotonic() > until:
                raise DrillError(f"{name}: not {what} in {START_TIMEOUT_S:.0f} s")
            if self._supervisor.faults:
                raise DrillError(f"{self._supervisor.faults[0]}; see its log in {self._out}")
            await asyncio.sleep(0.1)

    # ---- steps ----------------------------------------------------------------------------------

    async def _measure_step(self, step: str, work: Callable[[], Awaitable[Changes]]) -> None:
        """One step: its work, time to settle, then what it cost and who is stale."""
        self._supervisor.command_hollow_hosts(do="begin")
        begin, before = int(time.time()), resource_usage.machine_processor_time_s()
        changes = await work()
        await asyncio.sleep(self._plan.settle_s)
        end, after = int(time.time()) + 1, resource_usage.machine_processor_time_s()
        await asyncio.sleep(1.1)  # the last second's lines are still on their way
        memory = resource_usage.memory_by_name(
            {n: one.process.pid for n, one in self._supervisor.processes.items()}
        )
        reports = await self._converged_reports(changes)
        self._steps[step] = told = self._step_figures(step, begin, end, changes, reports, memory)
        told["machine_cores"] = {
            key: round((after[key] - before[key]) / max(end - begin, 1), 2) for key in after
        }
        self._on_progress(self._progress_line(step, told))

    async def _converged_reports(self, changes: Changes) -> list[Any]:
        """What hosts report after a step: at once, or as soon as all are told within the plan's patience."""
        until = time.monotonic() + self._plan.convergence_timeout_s
        while True:
            reports = await self._collect_reports(await self._write_expected_lists())
            told = figures.time_in_force(changes, reports, has_part=bool(self._plan.subset_size))
            if not (told["never_told"] or told["stale_after"]) or time.monotonic() >= until:
                return reports
            await asyncio.sleep(0.5)

    def _step_figures(
        self, step: str, begin: int, end: int, changes: Changes, reports: list[Any], memory: dict[str, float]
    ) -> dict[str, Any]:
        roles, crew = {}, self._supervisor
        held = {
            host: max(report["here"], 1) for host, report in zip(crew.hollow_hosts(), reports, strict=True)
        }
        for role, units in figures.series_of(crew, held).items():
            names = [name for name, one in crew.processes.items() if one.kind == role and name in memory]
            count = sum(held[name] if role == "hollow" else 1 for name in names)
            pss = sum(memory[name] for name in names) / max(count, 1)
            roles[role] = figures.role_cost(units, begin, end) | {"pss_mb": round(pss, 2), "units": count}
        told = figures.time_in_force(changes, reports, has_part=bool(self._plan.subset_size))
        if step == "start":
            ready = [ms for report in reports for ms in report["ready_ms"]]
            told |= figures.summarize_times([ms for ms in ready if ms is not None])
            told["never_told"] = sum(ms is None for ms in ready)
        return {"begin": begin, "end": end, "roles": roles, "in_force_ms": told}

    def _progress_line(self, step: str, told: dict[str, Any]) -> str:
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

    async def _write_expected_lists(self) -> Path:
        """What the service lists, in the form that hollow balancers compare with."""
        async with self._http.get(f"http://{self._supervisor.instances[-1]}/v1/state") as answer:
            told = await answer.json()
        truth: dict[str, dict[str, list[Any]]] = {}
        for entry in told["entries"]:
            truth.setdefault(entry["tier"], {})[entry["name"]] = [
                READINESS_BY_STATUS[entry["status"]],
                entry["since_ms"],
            ]
        path = self._out / "truth.json"
        path.write_text(json.dumps(truth))
        return path

    async def _collect_reports(self, truth: Path) -> list[Any]:
        line = {"do": "report", "truth": str(truth)}
        answers = await asyncio.gather(
            *(self._supervisor.request(host, line) for host in self._supervisor.hollow_hosts())
        )
        return [json.loads(Path(answer["report"]).read_text()) for answer in answers]

    async def _sample_each_second(self) -> None:
        """At each second's end look at all, and guard the memory."""
        all_mb, _ = resource_usage.machine_memory_mb()
        while True:
            now = time.time()
            await asyncio.sleep(int(now) + 1 - now)
            self._supervisor.sample_usage(int(now))
            used = sum(
                resource_usage.resident_mb(one.process.pid) for one in self._supervisor.processes.values()
            )
            self._peak_memory_mb = max(self._peak_memory_mb, used)
            if used > MAX_MEMORY_FRACTION * all_mb:
                self._supervisor.faults.append(
                    f"memory: {used:,.0f} MB in use, over {MAX_MEMORY_FRACTION:.0%} of all"
                )

    def _on_sampling_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()):
            self._supervisor.faults.append(f"the look at all has failed: {error!r}")

    def _run_figures(self) -> dict[str, Any]:
        plan, crew = self._plan, self._supervisor
        hollow = {host: max(plan.hollow // plan.hosts, 1) for host in crew.hollow_hosts()}
        roles = figures.series_of(crew, hollow)
        by_time = {
            role: [{second: values for second, values in sorted(unit.items())} for unit in units]
            for role, units in roles.items()
        }
        return {
            "size": plan.balancers, "mechanism": plan.lists, "hollow": plan.hollow, "real": plan.real,
            "hosts": plan.hosts, "instances": plan.instances, "services": plan.services, "seed": plan.seed,
            "plant": plan.defect, "resident_most_mb": round(self._peak_memory_mb), "steps": self._steps,
            "by_time": by_time,
        }  # fmt: skip
