"""Plays a scale run: starts all processes, plays and measures each step, and leaves no process behind."""

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

LISTED_SERVER_KB = 1.15  # memory of a listed server in a hollow balancer
PROCESS_MB = 60.0  # memory of a host without hollow balancers, or of a real balancer
SPARE_DESCRIPTORS = 500
MAX_RUN_S = 900.0  # for a whole run
LAST_SECOND_S = 1.1  # until the last second's messages have arrived
ROW_POLL_INTERVAL_S = 0.1
CONVERGENCE_POLL_INTERVAL_S = 0.5
RECENT_ROWS = 4  # of a process, searched for an awaited state
READINESS_BY_STATUS = {"in_service": "READY", "terminating": "DRAINING"}


def check_resources(plan: Plan) -> None:
    """Raise PlanError if a run needs over half of this machine's memory, or too many descriptors."""
    plan.check()
    all_mb, _ = resource_usage.machine_memory_mb()
    own_mb = (plan.hosts + plan.real + plan.instances * 2) * PROCESS_MB
    list_size = plan.mean_list_size()
    lists_mb = plan.hollow * list_size * LISTED_SERVER_KB / 1_024
    if own_mb + lists_mb > MAX_MEMORY_FRACTION * all_mb:
        hollow = int((MAX_MEMORY_FRACTION * all_mb - own_mb) * 1_024 / LISTED_SERVER_KB / list_size)
        raise PlanError(
            f"memory: {own_mb + lists_mb:,.0f} MB, allowed: {MAX_MEMORY_FRACTION:.0%} of {all_mb:,.0f}; "
            f"use --hollow {max(hollow, 0)} at most"
        )
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = plan.hollow + plan.real + SPARE_DESCRIPTORS  # of an instance while all others are down
    if needed > allowed:
        raise PlanError(f"descriptors: an instance may need {needed}; allowed: {allowed}")


class ScaleRun:
    """One run; `on_progress` receives lines of progress."""

    def __init__(self, plan: Plan, out: Path, on_progress: Callable[[str], None] = lambda line: None) -> None:
        """Prepare a run into `out`, an empty or new folder; PlanError if this machine should not hold it."""
        check_resources(plan)
        self._plan = plan
        self._out = out
        self._on_progress = on_progress
        self._steps: dict[str, Any] = {}
        self._peak_memory_mb = 0.0

    async def run(self) -> dict[str, Any]:
        """Play the run and write `figures.json`; DrillError if it can't be completed."""
        self._out.mkdir(parents=True, exist_ok=True)
        if any(self._out.iterdir()):
            raise DrillError(f"{self._out} is not empty")
        async with aiohttp.ClientSession() as http:
            self._http = http
            self._supervisor = ScaleSupervisor(self._plan, self._out, http)
            sampling = asyncio.create_task(self._sample_each_second())
            sampling.add_done_callback(self._on_sampling_ended)
            try:
                async with asyncio.timeout(MAX_RUN_S):
                    await self._play()
            except TimeoutError as error:
                raise DrillError("the run did not finish in time") from error
            finally:
                sampling.cancel()
                await self._supervisor.finish()
        run = self._run_figures()
        (self._out / "figures.json").write_text(json.dumps(run) + "\n", encoding="utf-8")
        return run

    async def _play(self) -> None:
        await self._prepare()
        steps = ScaleSteps(self._plan, self._supervisor, self._http)
        for step in self._plan.steps:
            await self._measure_step(step, steps.by_name[step])
            await steps.restore()

    async def _prepare(self) -> None:
        """Start everything but the balancers, and register all upstreams."""
        supervisor, plan = self._supervisor, self._plan
        instances = supervisor.instances
        supervisor.start_helper("edge", "edge", calls_per_s=plan.calls_per_s)
        await supervisor.start_instances()
        await supervisor.wait_ready(["edge"])
        stub = supervisor.ready_messages["edge"]
        supervisor.start_helper(
            "registrar", "registrar", plan=plan, instance_addresses=instances, address=stub
        )
        numbers = plan.hollow_numbers()
        for host in range(plan.hosts):
            host_numbers = numbers[host :: plan.hosts]
            supervisor.start_helper(
                f"hollow{host}", "hollow", plan=plan, numbers=host_numbers, instance_addresses=instances
            )
        for number in plan.real_numbers():
            await supervisor.prepare_real(number)
        await supervisor.wait_ready(["registrar", *supervisor.hollow_hosts()])
        self._on_progress(f"{plan.balancers} upstreams register")
        began_s = time.monotonic()
        supervisor.processes["registrar"].process.send_command({"do": "register"})
        await self._wait_for_row("registrar", lambda row: row.get("held", 0) == plan.balancers, "registered")
        self._on_progress(f"registered in {time.monotonic() - began_s:.1f} s")

    async def _wait_for_row(self, name: str, condition: Callable[[dict[str, Any]], bool], what: str) -> None:
        """Wait until a process reports a row that meets a condition; DrillError on a timeout."""
        until = time.monotonic() + START_TIMEOUT_S
        while not any(condition(row) for row in self._supervisor.processes[name].rows[-RECENT_ROWS:]):
            if time.monotonic() > until:
                raise DrillError(f"{name}: not {what} in {START_TIMEOUT_S:.0f} s")
            self._supervisor.raise_faults()
            await asyncio.sleep(ROW_POLL_INTERVAL_S)

    # ---- steps ----------------------------------------------------------------------------------

    async def _measure_step(self, step: str, work: Callable[[], Awaitable[Changes]]) -> None:
        """Play one step and let it settle; then measure its cost and find stale balancers."""
        self._supervisor.command_hollow_hosts(do="begin")
        begin, before = int(time.time()), resource_usage.machine_processor_time_s()
        changes = await work()
        await asyncio.sleep(self._plan.settle_s)
        end, after = int(time.time()) + 1, resource_usage.machine_processor_time_s()
        await asyncio.sleep(LAST_SECOND_S)
        pids = {name: each.process.pid for name, each in self._supervisor.processes.items()}
        memory = resource_usage.memory_by_name(pids)
        reports = await self._converged_reports(changes)
        step_figures = self._step_figures(step, begin, end, changes, reports, memory)
        step_figures["machine_cores"] = {
            key: round((after[key] - before[key]) / max(end - begin, 1), 2) for key in after
        }
        self._steps[step] = step_figures
        self._on_progress(_progress_line(step, step_figures))

    async def _converged_reports(self, changes: Changes) -> list[Any]:
        """Return the hosts' reports on a step once all changes have arrived everywhere, or on the timeout."""
        until = time.monotonic() + self._plan.convergence_timeout_s
        while True:
            reports = await self._collect_reports(await self._write_expected_lists())
            times = figures.time_in_force(changes, reports, has_subsets=bool(self._plan.subset_size))
            has_converged = not (times["never_told"] or times["stale_after"])
            if has_converged or time.monotonic() >= until:
                return reports
            await asyncio.sleep(CONVERGENCE_POLL_INTERVAL_S)

    def _step_figures(
        self, step: str, begin: int, end: int, changes: Changes, reports: list[Any], memory: dict[str, float]
    ) -> dict[str, Any]:
        roles, supervisor = {}, self._supervisor
        hosts = supervisor.hollow_hosts()
        hollow_counts = {host: max(report["here"], 1) for host, report in zip(hosts, reports, strict=True)}
        for role, units in figures.series_by_role(supervisor, hollow_counts).items():
            names = [n for n, each in supervisor.processes.items() if each.kind == role and n in memory]
            count = sum(hollow_counts[name] if role == "hollow" else 1 for name in names)
            pss_mb = sum(memory[name] for name in names) / max(count, 1)
            roles[role] = figures.role_cost(units, begin, end) | {"pss_mb": round(pss_mb, 2), "units": count}
        times = figures.time_in_force(changes, reports, has_subsets=bool(self._plan.subset_size))
        if step == "start":
            ready_ms = [ms for report in reports for ms in report["ready_ms"]]
            times |= figures.summarize_times([ms for ms in ready_ms if ms is not None])
            times["never_told"] = sum(ms is None for ms in ready_ms)
        return {"begin": begin, "end": end, "roles": roles, "in_force_ms": times}

    # ---- measuring ------------------------------------------------------------------------------

    async def _write_expected_lists(self) -> Path:
        """Write the registry's list in the form that hollow balancers compare theirs with."""
        async with self._http.get(f"http://{self._supervisor.instances[-1]}/v1/state") as answer:
            state = await answer.json()
        expected: dict[str, dict[str, list[Any]]] = {}
        for entry in state["entries"]:
            readiness = READINESS_BY_STATUS[entry["status"]]
            expected.setdefault(entry["tier"], {})[entry["name"]] = [readiness, entry["since_ms"]]
        path = self._out / "truth.json"
        path.write_text(json.dumps(expected))
        return path

    async def _collect_reports(self, expected_lists: Path) -> list[Any]:
        command = {"do": "report", "truth": str(expected_lists)}
        hosts = self._supervisor.hollow_hosts()
        answers = await asyncio.gather(*(self._supervisor.request(host, command) for host in hosts))
        return [json.loads(Path(answer["report"]).read_text()) for answer in answers]

    async def _sample_each_second(self) -> None:
        """Sample all processes at the end of each second; too much memory in use is a fault."""
        supervisor = self._supervisor
        all_mb, _ = resource_usage.machine_memory_mb()
        while True:
            now_s = time.time()
            await asyncio.sleep(int(now_s) + 1 - now_s)
            supervisor.sample_usage(int(now_s))
            used_mb = sum(resource_usage.resident_mb(e.process.pid) for e in supervisor.processes.values())
            self._peak_memory_mb = max(self._peak_memory_mb, used_mb)
            if used_mb > MAX_MEMORY_FRACTION * all_mb:
                supervisor.faults.append(
                    f"memory: {used_mb:,.0f} MB in use, over {MAX_MEMORY_FRACTION:.0%} of the machine's"
                )

    def _on_sampling_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()):
            self._supervisor.faults.append(f"sampling failed: {error!r}")

    def _run_figures(self) -> dict[str, Any]:
        plan = self._plan
        hollow_count = max(plan.hollow // plan.hosts, 1)
        roles = figures.series_by_role(
            self._supervisor, dict.fromkeys(self._supervisor.hollow_hosts(), hollow_count)
        )
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


def _progress_line(step: str, step_figures: dict[str, Any]) -> str:
    times, hollow = step_figures["in_force_ms"], step_figures["roles"].get("hollow", {})
    instance = step_figures["roles"]["instance"]
    return (
        f"{step}: {step_figures['end'] - step_figures['begin']} s; "
        f"balancer {hollow.get('cpu_mean', 0):.2%} of a core, {hollow.get('bytes_s_mean', 0):,.0f} B/s; "
        f"instance {instance.get('cpu_mean', 0):.2f} core, worst {instance.get('cpu_worst', 0):.2f}, "
        f"{instance.get('calls_s_worst', 0):,.0f} calls/s; in force {times['median']} ms, "
        f"most {times['max']}; never told {times['never_told']}, stale {times['stale_after']}"
    )
