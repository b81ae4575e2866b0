"""Drills made from seeds: restarts with the earliest SIGKILL, repeated signals, idle clients, faults.

    scenario = make_scenario(seed=7)    # the same for the same seed
    for line in describe(scenario): print(line)

Bounds are the platform's; what it does not bound (recovery time, attempts) is not checked.
"""

from __future__ import annotations

import random

import msgspec

from loadbalancer.drill.links.faults import LinkFault
from loadbalancer.drill.scenario import steps
from loadbalancer.drill.scenario.tables import (
    DEFAULT_CLASSES,
    Bounds,
    ClientLoad,
    DrillScenario,
    FleetTable,
)

BALANCERS = 3
SERVERS = 6
RATE_PER_S = 60.0
PERSISTENT_CONNECTIONS = 8
EPISODES = 3
MIN_DEADLINE_S = 3.0  # the platform takes the longest deadline to be at least this
KILL_MARGIN_S = 0.7  # SIGKILL comes no sooner than this after the longest deadline
READY_GAP_S = 1.2  # no signal in a process's first second
SIGNAL_GAPS_S = (0.0, 0.05, 0.3, 1.0, 2.5)  # between repeated signals, within the 4 s that a reload takes
IDLE_CONNECTIONS_DURATION_S = 3.0
IDLE_CONNECTIONS_FRACTION = 0.3  # of episodes
REPEATED_SIGNAL_FRACTION = 0.5
IDLE_CONNECTIONS = 1_200  # more than a balancer has descriptors
DRAIN_GRACE_S = 1.0
SCHEDULING_SLACK_S = 0.2  # a balancer may be delayed by 0.15 s, and each time limit is 50 ms longer

StepList = list[steps.AnyStep]


def earliest_kill_s() -> float:
    """Return the shortest time from SIGTERM after which the platform sends SIGKILL."""
    longest_s = max(c.deadline_ms for c in DEFAULT_CLASSES) / 1_000
    return max(longest_s, MIN_DEADLINE_S) + KILL_MARGIN_S


def make_scenario(seed: int) -> DrillScenario:
    """Generate the drill of a seed."""
    timeline = _Timeline(random.Random(f"soak/{seed}"))
    for _ in range(EPISODES):
        timeline.add_episode()
    # The last process to start must become ready, and be used by clients, before the load ends.
    requests = timeline.requests + round(2 * READY_GAP_S * RATE_PER_S)
    return DrillScenario(
        title=f"soak of seed {seed}",
        fleet=FleetTable(balancers=BALANCERS, servers=SERVERS),
        load=ClientLoad(rate=RATE_PER_S, requests=requests, persistent_connections=PERSISTENT_CONNECTIONS),
        step=tuple(timeline.steps),
        bounds=Bounds(
            min_served=0.5,
            max_recovery_s=1e9,
            max_late=1.0,
            max_attempts=1e9,
            drain_grace_s=DRAIN_GRACE_S,
            scheduling_slack_s=SCHEDULING_SLACK_S,
        ),
    )


def describe(scenario: DrillScenario) -> list[str]:
    """Return a text line for each step of the plan."""
    lines = []
    requests = 0
    for step in scenario.step:
        requests += step.after
        fields = msgspec.to_builtins(step)
        details = [f"{k}={v}" for k, v in fields.items() if k not in ("do", "after") and v not in ("", 0)]
        at_s = requests / scenario.load.rate
        lines.append(f"  about {at_s:5.1f} s  {' '.join([fields['do'], *details])}")
    return lines


class _Timeline:
    """The steps so far, each timed in seconds of load since the one before."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.steps: StepList = []
        self.requests = 0
        self._fault_count = 0

    def _add(self, step: steps.AnyStep, pause_s: float = 0.0) -> None:
        after = round(pause_s * RATE_PER_S)
        self.requests += after
        self.steps.append(msgspec.structs.replace(step, after=after))

    def add_episode(self) -> None:
        """Add steps on balancers, during a concurrent fault elsewhere."""
        pause_s = READY_GAP_S
        begin, end = self._choose_fault()
        for step in begin:
            self._add(step, pause_s)
            pause_s = self._rng.uniform(0.0, 0.5)
        if self._rng.random() < IDLE_CONNECTIONS_FRACTION:
            self._add(self._open_idle_connections(), pause_s)
            pause_s = 0.3
        self._rng.choice(
            (
                self._restart,
                self._restart_two,
                self._restart_in_sequence,
                self._reload_repeatedly,
                self._reload_and_restart,
            )
        )(pause_s)
        for step in end:
            self._add(step, READY_GAP_S)

    # ---- steps on balancers ----------------------------------------------------------------------

    def _sample_balancers(self, count: int) -> list[str]:
        return self._rng.sample([f"b{n}" for n in range(BALANCERS)], count)

    def _terminate(self, name: str) -> steps.TerminateProcess:
        return steps.TerminateProcess(target=name, kill_after_s=earliest_kill_s())

    def _signal_gap_s(self) -> float:
        return self._rng.choice(SIGNAL_GAPS_S)

    def _restart(self, pause_s: float) -> None:
        """Send SIGTERM once or twice, and start a new process."""
        [name] = self._sample_balancers(1)
        self._add(self._terminate(name), pause_s)
        if self._rng.random() < REPEATED_SIGNAL_FRACTION:
            self._add(self._terminate(name), self._signal_gap_s())
        self._add(steps.StartProcess(target=name))

    def _restart_two(self, pause_s: float) -> None:
        """Restart two balancers at the same time."""
        names = self._sample_balancers(2)
        for name in names:
            self._add(self._terminate(name), pause_s)
            pause_s = 0.0
        for name in names:
            self._add(steps.StartProcess(target=name))

    def _restart_in_sequence(self, pause_s: float) -> None:
        """Restart a balancer, hot-restart another, and restart the first again."""
        first, second = self._sample_balancers(2)
        self._add(self._terminate(first), pause_s)
        self._add(steps.StartProcess(target=first))
        self._add(steps.ReplaceBalancer(target=second), READY_GAP_S)
        self._add(self._terminate(first), READY_GAP_S)
        self._add(steps.StartProcess(target=first))

    def _reload_repeatedly(self, pause_s: float) -> None:
        """Send SIGHUP repeatedly, each time to one balancer or to all of them."""
        for _ in range(self._rng.choice((2, 3, 4))):
            for name in self._sample_balancers(self._rng.choice((1, 1, BALANCERS))):
                self._add(steps.ReloadConfiguration(target=name), pause_s)
                pause_s = 0.0
            pause_s = self._signal_gap_s()

    def _reload_and_restart(self, pause_s: float) -> None:
        """Send SIGHUP once or twice, then SIGTERM, and start a new process."""
        [name] = self._sample_balancers(1)
        self._add(steps.ReloadConfiguration(target=name), pause_s)
        if self._rng.random() < REPEATED_SIGNAL_FRACTION:
            self._add(steps.ReloadConfiguration(target=name), self._signal_gap_s())
        self._add(self._terminate(name), self._signal_gap_s())
        self._add(steps.StartProcess(target=name))

    def _open_idle_connections(self) -> steps.OpenIdleConnections:
        [name] = self._sample_balancers(1)
        return steps.OpenIdleConnections(
            target=name, count=IDLE_CONNECTIONS, duration_s=IDLE_CONNECTIONS_DURATION_S
        )

    # ---- concurrent faults -----------------------------------------------------------------------

    def _choose_fault(self) -> tuple[StepList, StepList]:
        """Return the steps that begin a fault, and the steps that end it."""
        server = f"s{self._rng.randrange(SERVERS)}"
        self._fault_count += 1
        name = f"fault {self._fault_count}"
        link = self._rng.choice((f"b*>{server}", "b*>list*", "clients>b*"))
        slow = LinkFault(delay_ms=self._rng.choice((20.0, 100.0)), jitter_ms=50.0)
        state = self._rng.choice(("failing", "stale", "frozen", "down"))
        restart = steps.StartProcess(target=server)
        clear = steps.ClearLinkFault(name=name)
        choices: tuple[tuple[StepList, StepList], ...] = (
            ([], []),
            (
                [steps.ChangeServerBehavior(target=server, is_paused=True)],
                [steps.ChangeServerBehavior(target=server)],
            ),
            ([steps.DrainServer(target=server)], [steps.RemoveServer(target=server), restart]),
            ([steps.KillProcess(target=server)], [restart]),
            (
                [steps.ChangeEndpointList(state=state)],
                [steps.ChangeEndpointList(state="up" if state == "down" else "fresh")],
            ),
            ([steps.SetLinkFault(name=name, link=link, fault=slow)], [clear]),
            (
                [
                    steps.SetLinkFault(
                        name=name, link=f"b*>{server}", fault=LinkFault(reset_after=2_000), direction="back"
                    )
                ],
                [clear],
            ),
        )
        return self._rng.choice(choices)
