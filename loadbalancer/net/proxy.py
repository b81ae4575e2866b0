"""One balancer: the decision module and its I/O components, created, started and shut down together."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from loadbalancer.interface import UpdateKind
from loadbalancer.net import metrics
from loadbalancer.net.action_executor import ActionExecutor
from loadbalancer.net.clock import Clock
from loadbalancer.net.config import Config
from loadbalancer.net.configuration_reload import ReloadReport, compare_configurations
from loadbalancer.net.console import Console
from loadbalancer.net.cordon_controller import CordonController
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.decision_loop import DecisionLoop
from loadbalancer.net.descriptors import max_connections_per_side
from loadbalancer.net.downstream_listener import DownstreamListener
from loadbalancer.net.endpoint_list import EndpointListFollower
from loadbalancer.net.executed_ids import ExecutedIds
from loadbalancer.net.hot_restart import Predecessor
from loadbalancer.net.log import Log, Sink, write_text
from loadbalancer.net.loop_delay import LoopDelay
from loadbalancer.net.memory_limits import divide_memory, resident_bytes
from loadbalancer.net.message_body import BufferBudget
from loadbalancer.net.reports import BalancerStats, EndpointListReport, MembershipReport, ResourceStats
from loadbalancer.net.request_attempts import RequestAttempts
from loadbalancer.net.request_counters import RequestCounters
from loadbalancer.net.request_intake import RequestIntake
from loadbalancer.net.request_table import RequestTable
from loadbalancer.net.state_transfer import StateTransfer
from loadbalancer.net.takeover import Takeover
from loadbalancer.net.turn_queue import TurnQueue
from loadbalancer.net.upstream_pool import UpstreamPools
from loadbalancer.policy import Balancer
from loadbalancer.policy.zones import ZoneStatus

if TYPE_CHECKING:
    from loadbalancer.net.membership import MembershipHost
    from loadbalancer.net.snapshot_writer import SnapshotWriter

IDLE_CONNECTION_SWEEP_INTERVAL_S = 1.0  # idle timeouts are of the order of seconds


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """What a proxy has to know of its process."""

    sink: Sink = write_text
    """Where log lines go."""
    resident_bytes: int = 0
    """What the process takes of its memory limit; 0 if that is unknown."""


class Proxy:
    """Wires up the components of one balancer, and is the console's backend."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        folder: Path | None = None,
        predecessor: Predecessor | None = None,
        process: ProcessContext = ProcessContext(),
    ) -> None:
        """Bind all sockets; raises OSError on failure.

        `folder` is shared with the `predecessor` process and with the successor.
        """
        self.config = config
        self._loop = loop
        self._predecessor = predecessor
        self.log = Log(config.name or "balancer", process.sink)
        self.clock = Clock(predecessor.clock_offset_ms if predecessor else None)
        self.balancer = Balancer(config.settings, config.seed)
        self._decisions = DecisionLoop(self.balancer, self.clock, self.log)
        self._counters = RequestCounters(c.name for c in config.settings.classes)
        limits = divide_memory(
            config.memory_mb,
            config.max_sockets,
            process.resident_bytes,
            may_hot_restart=config.console is not None,
        )
        self.buffers = BufferBudget(limits.buffer_bytes)
        self._max_connections = min(
            max_connections_per_side(config.max_sockets), limits.max_connections_per_side
        )
        self._turns = TurnQueue(loop)
        self._delay = LoopDelay(loop)
        self.upstreams = UpstreamPools(config, loop, self.buffers, self._max_connections, self._turns)
        self.executed = ExecutedIds(config.settings.classes, self.clock)
        self.requests = RequestTable(loop, self._counters, self._decisions.dispatch, self.executed)
        self.intake = RequestIntake(self.requests, self._counters, self.log)
        self.downstream = self._create_downstream_listener()
        self.console = Console(config.console, loop, self) if config.console else None
        self._snapshots = self._create_snapshot_writer()
        self._snapshot = self._snapshots.load() if self._snapshots and predecessor is None else None
        self.endpoint_list = self._create_endpoint_list()
        self.attempts = RequestAttempts(
            self.requests,
            self.upstreams,
            self._counters,
            self.endpoint_list.record_outcome,
            self.log,
        )
        self.cordons = self._create_cordon_controller(folder if config.console else None)
        self._transfer = StateTransfer(
            self.balancer, self.endpoint_list, self.cordons, self.clock, self.downstream.class_names, self.log
        )
        self.membership = self._create_membership()
        self._takeover = self._create_takeover(folder if config.console else None)
        self._decisions.attach(self.requests, self._create_action_executor().execute)

    def _create_downstream_listener(self) -> DownstreamListener:
        listening_socket = self._predecessor.listener if self._predecessor else None
        return DownstreamListener(
            self.config,
            self._loop,
            self.intake,
            self.log.exception,
            self.buffers,
            self._max_connections,
            self._turns,
            self._delay,
            listening_socket,
        )

    def _create_snapshot_writer(self) -> SnapshotWriter | None:
        """Return the snapshot writer if a folder is configured; imports its dependencies only then."""
        if self.config.snapshot_folder is None:
            return None
        from loadbalancer.net.snapshot_writer import SnapshotWriter

        return SnapshotWriter(
            self.config.snapshot_folder, self.config.name, self.config.snapshot_interval_ms, self.log
        )

    def _create_membership(self) -> MembershipHost | None:
        """Return the membership host if membership is on; imports its dependencies only then."""
        if self.config.peer_listen is None:
            return None
        from loadbalancer.net.membership import MembershipHost

        return MembershipHost(self.config, self.config.peer_listen, self._loop, self.clock.now)

    def _create_endpoint_list(self) -> EndpointListFollower:
        return EndpointListFollower(
            self.config,
            self.balancer,
            self.upstreams,
            self.log,
            self._decisions.dispatch,
            clock=self.clock,
            needs_full_list=self._predecessor is not None or self._snapshot is not None,
            snapshot_written_ms=self._snapshot.written_at_ms if self._snapshot is not None else None,
        )

    def _create_cordon_controller(self, folder: Path | None) -> CordonController:
        return CordonController(
            self._loop,
            self.clock,
            self.balancer,
            self.upstreams,
            self.endpoint_list,
            CordonFile(folder, self.clock),
            self.log,
            self._decisions.dispatch,
        )

    def _create_takeover(self, folder: Path | None) -> Takeover:
        return Takeover(
            self._loop,
            folder,
            self.downstream,
            self.upstreams,
            self.membership,
            self._transfer,
            self.executed,
            self.cordons,
            self.clock,
            self.log,
            self._decisions.dispatch,
        )

    def _create_action_executor(self) -> ActionExecutor:
        return ActionExecutor(
            self._loop,
            self.clock,
            self.requests,
            self.attempts,
            self.upstreams,
            self.endpoint_list,
            self.log,
            self._decisions.dispatch,
        )

    def start(self) -> None:
        """Apply the saved state, then begin to accept, or take over from the predecessor."""
        self.endpoint_list.apply(UpdateKind.CACHED, self.config.initial_list)
        self.cordons.start()
        if self._predecessor is not None:
            self._transfer.restore_predecessor(self._predecessor.state, self._predecessor.saved_cordons)
        elif self._snapshot is not None:
            age_ms = max(self.clock.now() - self._snapshot.written_at_ms, 0.0)
            self._transfer.restore(self._snapshot.state, age_ms)
        if self._snapshots is not None:
            self._snapshots.start(self._transfer.handover_state)
        self.endpoint_list.start()
        self._delay.start()
        self._sweep_idle_connections()
        if self.console is not None:
            self.console.start()
        self._takeover.start(self._predecessor, self.endpoint_list)

    def _sweep_idle_connections(self) -> None:
        self._loop.call_later(IDLE_CONNECTION_SWEEP_INTERVAL_S, self._sweep_idle_connections)
        self.upstreams.close_expired()

    def announce_shutdown(self) -> None:
        """Begin a graceful shutdown: leave the membership, so that peers need not detect the exit."""
        if self.membership is not None:
            self.membership.leave()
        if self._snapshots is not None:
            self._snapshots.close()

    def apply_configuration(self, config: Config) -> ReloadReport:
        """Apply a replaced configuration, as far as a running process can."""
        report = compare_configurations(self.config, config)
        self.config = config
        self.endpoint_list.apply_configuration(config)
        return report

    # The console's backend.

    def is_serving(self) -> bool:
        """Return whether new clients are accepted."""
        return self.downstream.is_serving and not self.downstream.is_shutting_down

    def stats(self) -> BalancerStats:
        """Return the current counts."""
        ejected_servers = len(self.balancer.excluded_servers(self.clock.now()))
        return self._counters.stats(len(self.endpoint_list.endpoints), ejected_servers)

    def prometheus_metrics(self) -> str:
        """Return the same counts in the Prometheus text format."""
        members_by_state = self.membership.count_by_state() if self.membership else {}
        return metrics.render(self.stats(), self.log.dropped_lines, members_by_state, self._resource_stats())

    def _resource_stats(self) -> ResourceStats:
        return ResourceStats(
            client_connections=self.downstream.connection_count(),
            buffered_bytes=self.buffers.used_bytes,
            buffer_limit_bytes=self.buffers.max_bytes,
            resident_bytes=resident_bytes(),
            shed_response_heads=self.upstreams.long_heads.shed_count,
        )

    def membership_report(self) -> MembershipReport | None:
        """Return the view of the other balancers; None if membership is off."""
        return self.membership.report() if self.membership else None

    def endpoint_list_report(self) -> EndpointListReport:
        """Return the source and the age of the endpoint list."""
        return self.endpoint_list.report()

    def zones(self) -> Mapping[str, ZoneStatus]:
        """Return the status of each zone."""
        return self.cordons.zones()

    def evacuate_zone(self, zone: str, *, is_evacuating: bool, duration_ms: float, is_forced: bool) -> None:
        """Evacuate a zone, or end its evacuation; raises ZoneEvacuationError."""
        self.cordons.evacuate_zone(
            zone, is_evacuating=is_evacuating, duration_ms=duration_ms, is_forced=is_forced
        )

    def set_cordon(self, server: str, *, is_cordoned: bool) -> bool:
        """Cordon or uncordon a server; return False if the ID is unknown."""
        return self.cordons.set_cordon(server, is_cordoned=is_cordoned)
