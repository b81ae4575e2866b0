"""Execution of a drill's steps on its processes and links; each is recorded in the history."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.execution.link_faults import LinkFaults
from loadbalancer.drill.execution.membership_steps import MembershipSteps
from loadbalancer.drill.history import HistoryWriter
from loadbalancer.drill.links.faults import LinkFault
from loadbalancer.drill.processes.placement import FIRST_TIER, ProcessKind, format_address
from loadbalancer.drill.processes.process_files import ProcessFiles
from loadbalancer.drill.processes.process_group import READY_TIMEOUT_S
from loadbalancer.drill.processes.supervisor import REPLACEMENT_SUFFIX, ProcessSupervisor
from loadbalancer.drill.processes.topology import Topology
from loadbalancer.drill.scenario import steps

LIST_DOWN_FAULT = "list down"
FAULTY_LIST_FAULT = "odd list"


class StepExecutor:
    """Executes steps on a running drill."""

    def __init__(
        self, topology: Topology, files: ProcessFiles, supervisor: ProcessSupervisor, history: HistoryWriter,
        clock: RealClock, seed: int, *, track: Callable[[asyncio.Task[None]], None],
    ) -> None:  # fmt: skip
        """Create an executor; `track` receives the tasks that run in the background of the timeline."""
        self._topology = topology
        self._files = files
        self._supervisor = supervisor
        self._history = history
        self._clock = clock
        self._track = track
        self._link_faults = LinkFaults(topology, history)
        self._membership = MembershipSteps(topology, supervisor, history, clock, seed)

    def _record_fault(self, kind: str, targets: list[str], *, on: bool, **details: Any) -> None:
        self._history.write("fault", kind=kind, on=on, targets=targets, **details)

    async def execute(self, step: steps.AnyStep) -> None:
        """Execute a step."""
        match step:
            case steps.SetLinkFault():
                self._link_faults.set(step.name, step.link, step.fault, step.direction)
            case steps.ClearLinkFault():
                self._link_faults.clear(step.name)
            case steps.ChangeEndpointList():
                self._change_endpoint_list(step)
            case steps.CordonServer() | steps.EvacuateZone() | steps.PinServer():
                await self._call_operators(step)
            case steps.ReplaceBalancer():
                await self._replace(step)
            case steps.ExpectMemberState():
                await self._membership.expect(step)
            case steps.SendForeignDatagrams():
                self._membership.send_foreign_datagrams(step.count)
            case steps.ChangeLoad():
                self._change_load(step)
            case steps.ReloadConfiguration():
                self._reload(step)
            case steps.OpenIdleConnections():
                self._open_idle_connections(step)
            case _:
                await self._change_process(step)

    # ---- processes ------------------------------------------------------------------------------

    async def _change_process(
        self,
        step: steps.KillProcess
        | steps.TerminateProcess
        | steps.PauseProcess
        | steps.StartProcess
        | steps.DrainServer
        | steps.RemoveServer
        | steps.ChangeServerBehavior,
    ) -> None:
        match step:
            case steps.KillProcess(target=name):
                self._signal("kill", name, signal.SIGKILL)
                await self._supervisor.wait_for_exit(self._topology.with_companion(name))
            case steps.TerminateProcess(target=name, kill_after_s=kill_after_s):
                self._signal("term", name, signal.SIGTERM)
                if kill_after_s:
                    self._track(asyncio.create_task(self._kill_later(name, kill_after_s)))
            case steps.PauseProcess(target=name, duration_s=duration_s):
                self._signal("stop", name, signal.SIGSTOP)
                self._track(asyncio.create_task(self._resume(name, duration_s)))
            case steps.StartProcess():
                await self._restart(step)
            case steps.DrainServer(target=name):
                self._set_list_status(name, "terminating")
            case steps.RemoveServer(target=name):
                self._remove(name)
            case steps.ChangeServerBehavior():
                self._change_behavior(step)

    def _signal(self, kind: str, name: str, number: int) -> None:
        names = self._topology.with_companion(name)
        self._record_fault(kind, names, on=True)
        for process_name in names:
            self._supervisor[process_name].signal(number)

    async def _kill_later(self, name: str, delay_s: float) -> None:
        """Kill what SIGTERM has not ended in time; not recorded as a fault, as checks must not excuse it."""
        processes = [self._supervisor[process_name] for process_name in self._topology.with_companion(name)]
        await asyncio.sleep(delay_s)
        for process in processes:
            process.signal(signal.SIGKILL)

    def _reload(self, step: steps.ReloadConfiguration) -> None:
        """Change the endpoint list's address in the configuration file, and have the balancer reload it."""
        balancer = self._topology.placements[step.target]
        balancer.is_list_moved = not balancer.is_list_moved
        self._files.write_balancer_config(balancer, balancer.console)
        self._record_fault("hup", [step.target], on=True)
        self._supervisor[step.target].signal(signal.SIGHUP)

    def _open_idle_connections(self, step: steps.OpenIdleConnections) -> None:
        self._record_fault("crowd", [step.target], on=True, count=step.count)
        crowd = {"balancer": step.target, "count": step.count, "for_s": step.duration_s}
        self._supervisor["clients"].send_command({"crowd": crowd})

    async def _resume(self, name: str, duration_s: float) -> None:
        await asyncio.sleep(duration_s)
        names = self._topology.with_companion(name)
        for process_name in names:
            self._supervisor[process_name].signal(signal.SIGCONT)
        self._record_fault("stop", names, on=False)

    async def _restart(self, step: steps.StartProcess) -> None:
        placement = self._topology.placements[step.target]
        names = self._topology.with_companion(step.target)
        await self._supervisor.wait_for_exit(names)
        folder = _program_folder(step.folder)
        if placement.kind is ProcessKind.REGISTRY:
            self._supervisor.registry.restore_database(placement, step.memory)
        if placement.kind is ProcessKind.SERVER:
            placement.started_at_ms = self._clock.now
            placement.version = step.version
        for process_name in names:
            await self._supervisor.start(self._topology.placements[process_name], folder)
        if placement.kind is ProcessKind.SERVER and not self._supervisor.registry.is_used:
            self._set_list_status(step.target, "in_service")
        self._record_fault("kill", names, on=False, memory=step.memory)

    def _remove(self, name: str) -> None:
        """Remove a server from the list, and record each new connection to it from now on."""
        self._set_list_status(name, "terminated")
        for link in self._topology.links_to(name):
            link.update_target(is_withdrawn=True)
        for process_name in self._topology.with_companion(name):
            self._supervisor[process_name].signal(signal.SIGTERM)

    def _change_behavior(self, step: steps.ChangeServerBehavior) -> None:
        behavior = {"slower": step.slowdown, "fails": step.failure_rate, "paused": step.is_paused}
        is_sound = step.slowdown == 1.0 and not step.failure_rate and not step.is_paused
        self._record_fault("behave", [step.target], on=not is_sound, **behavior)
        self._supervisor[step.target].send_command(behavior)

    def _set_list_status(self, name: str, status: str) -> None:
        """Change the status of a server in the endpoint list."""
        server = self._topology.placements[name]
        server.status = status
        self._record_fault("list", [name], on=status != "in_service", status=status)
        if self._supervisor.registry.is_used:
            self._track(asyncio.create_task(self._supervisor.registry.set_status(name, status)))
            return
        for endpoint_list in self._topology.endpoint_lists():
            command = {"tier": server.tier, "entry": self._files.list_entry(server)}
            self._supervisor[endpoint_list.name].send_command(command)

    # ---- the endpoint list and the load ---------------------------------------------------------

    def _change_endpoint_list(self, step: steps.ChangeEndpointList) -> None:
        instance, down = step.instance, f"{LIST_DOWN_FAULT} {step.instance}"
        match step.state:
            case "down":
                self._link_faults.set(down, f"*>{instance}", LinkFault(refuse=True))
                for link in self._topology.links_to(instance):
                    link.reset_connections()
            case "up":
                self._link_faults.clear(down)
            case state:
                self._record_fault(FAULTY_LIST_FAULT, [instance], on=state != "fresh", state=state)
                self._supervisor[instance].send_command({"state": state})

    def _change_load(self, step: steps.ChangeLoad) -> None:
        self._record_fault("surge", ["clients"], on=True, rate=step.rate, retries=step.retries)
        load = {"rate": step.rate, "retries": step.retries, "backoff_ms": step.backoff_ms}
        self._supervisor["clients"].send_command(load)

    # ---- operators ------------------------------------------------------------------------------

    async def _call_operators(self, step: steps.CordonServer | steps.EvacuateZone | steps.PinServer) -> None:
        match step:
            case steps.CordonServer(target=name, is_cordoned=is_cordoned):
                self._record_fault("cordon", [name], on=is_cordoned)
                tier = self._topology.placements[name].tier
                await self._call_consoles(tier, "cordon" if is_cordoned else "uncordon", name)
            case steps.EvacuateZone(zone=zone, is_evacuated=is_evacuated, duration_s=duration_s):
                self._record_fault("zone", [zone], on=is_evacuated, zone=zone, over_s=duration_s)
                call = "zone/leave" if is_evacuated else "zone/return"
                await self._call_consoles(FIRST_TIER, call, f"{zone} over={duration_s:g}")
            case steps.PinServer(target=name, instance=instance):
                await self._supervisor.registry.pin(self._topology.placements[instance], name)

    async def _call_consoles(self, tier: str, call: str, body: str) -> None:
        for balancer in self._topology.balancers(tier):
            await self._supervisor.call_console(balancer.console, call, body)

    async def _replace(self, step: steps.ReplaceBalancer) -> None:
        """Hot restart: start the new process beside the old one, wait until it is healthy, end the old."""
        balancer = self._topology.placements[step.target]
        processes, old = self._supervisor.processes, self._supervisor[step.target]
        self._record_fault("replace", [step.target], on=True)
        console = format_address((balancer.host, self._topology.reserve_port(balancer.host)))
        new = self._supervisor.launch_balancer(balancer, console, _program_folder(step.folder))
        processes[step.target + REPLACEMENT_SUFFIX] = new
        await self._supervisor.wait_healthy(new, console)
        processes[step.target] = processes.pop(step.target + REPLACEMENT_SUFFIX)
        balancer.console = console
        try:
            await old.finish(READY_TIMEOUT_S)
        finally:
            self._record_fault("replace", [step.target], on=False)


def _program_folder(name: str) -> Path | None:
    """Return the program folder that a step names; None for this checkout."""
    return Path(name).resolve() if name else None
