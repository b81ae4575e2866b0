"""Make a drill from a seed: restarts at their hardest, signals in series, crowds, and faults beside them.

    scenario = make_scenario(seed=7)    # the same for the same seed
    for line in describe(scenario): print(line)

Bounds are the platform's: what it does not bound (how soon all is served again, attempts) is not checked.
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
MIN_DEADLINE_S = 3.0  # as the platform counts the longest deadline
KILL_MARGIN_S = 0.7  # past the longest deadline: SIGKILL comes no sooner
READY_GAP_S = 1.2  # no signal in a process's first second
SIGNAL_GAPS_S = (0.0, 0.05, 0.3, 1.0, 2.5)  # between signals in series, within the 4 s that a reload takes
FAULT_SPAN_S = 3.0
CROWD_FRACTION = 0.3
REPEATED_SIGNAL_FRACTION = 0.5
CROWD_CONNECTIONS = 1_200  # more than a balancer has descriptors
GRACE_S = 1.0
GRACE_TOLERANCE_S = 0.2  # a balancer may be held up for 0.15 s, and each time limit is 50 ms longer

Episode = list[steps.AnyStep]


def earliest_kill_s() -> float:
    """Return how long after SIGTERM the platform kills at the earliest."""
    longest_s = max(c.deadline_ms for c in DEFAULT_CLASSES) / 1_000
    return max(longest_s, MIN_DEADLINE_S) + KILL_MARGIN_S


def make_scenario(seed: int) -> DrillScenario:
    """Return the drill of a seed."""
    timeline = _Timeline(random.Random(f"soak/{seed}"))
    for _ in range(EPISODES):
        timeline.add_episode()
    # The last process that starts has to come up, and its clients to use it, before the load ends.
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
            drain_grace_s=GRACE_S,
            scheduling_slack_s=GRACE_TOLERANCE_S,
        ),
    )


def describe(scenario: DrillScenario) -> list[str]:
    """Return the plan, a line for each step."""
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
    """The steps so far; each comes so many seconds of load after the one before."""

    def __init__(self, chance: random.Random) -> None:
        self._random = chance
        self.steps: Episode = []
        self.requests = 0
        self._fault_count = 0

    def _add(self, step: steps.AnyStep, pause_s: float = 0.0) -> None:
        after = round(pause_s * RATE_PER_S)
        self.requests += after
        self.steps.append(msgspec.structs.replace(step, after=after))

    def add_episode(self) -> None:
        """Add what is done to balancers, with a fault elsewhere that lasts through it."""
        pause_s = READY_GAP_S
        begin, end = self._choose_fault()
        for step in begin:
            self._add(step, pause_s)
            pause_s = self._random.uniform(0.0, 0.5)
        if self._random.random() < CROWD_FRACTION:
            self._add(self._crowd(), pause_s)
            pause_s = 0.3
        self._random.choice(
            (self._restart, self._restart_two, self._restart_in_turn, self._reloads, self._reload_and_end)
        )(pause_s)
        for step in end:
            self._add(step, READY_GAP_S)

    # ---- what is done to balancers ---------------------------------------------------------------

    def _balancers(self, count: int) -> list[str]:
        return self._random.sample([f"b{n}" for n in range(BALANCERS)], count)

    def _terminate(self, name: str) -> steps.TerminateProcess:
        return steps.TerminateProcess(target=name, kill_after_s=earliest_kill_s())

    def _signal_gap_s(self) -> float:
        return self._random.choice(SIGNAL_GAPS_S)

    def _restart(self, pause_s: float) -> None:
        """SIGTERM once or twice, and a new process."""
        [name] = self._balancers(1)
        self._add(self._terminate(name), pause_s)
        if self._random.random() < REPEATED_SIGNAL_FRACTION:
            self._add(self._terminate(name), self._signal_gap_s())
        self._add(steps.StartProcess(target=name))

    def _restart_two(self, pause_s: float) -> None:
        """Two at once."""
        names = self._balancers(2)
        for name in names:
            self._add(self._terminate(name), pause_s)
            pause_s = 0.0
        for name in names:
            self._add(steps.StartProcess(target=name))

    def _restart_in_turn(self, pause_s: float) -> None:
        """One after the other, a hot restart between."""
        first, second = self._balancers(2)
        self._add(self._terminate(first), pause_s)
        self._add(steps.StartProcess(target=first))
        self._add(steps.ReplaceBalancer(target=second), READY_GAP_S)
        self._add(self._terminate(first), READY_GAP_S)
        self._add(steps.StartProcess(target=first))

    def _reloads(self, pause_s: float) -> None:
        """SIGHUP after SIGHUP, of one balancer or of several."""
        for _ in range(self._random.choice((2, 3, 4))):
            for name in self._balancers(self._random.choice((1, 1, BALANCERS))):
                self._add(steps.ReloadConfiguration(target=name), pause_s)
                pause_s = 0.0
            pause_s = self._signal_gap_s()

    def _reload_and_end(self, pause_s: float) -> None:
        """SIGHUP, then SIGTERM."""
        [name] = self._balancers(1)
        self._add(steps.ReloadConfiguration(target=name), pause_s)
        if self._random.random() < REPEATED_SIGNAL_FRACTION:
            self._add(steps.ReloadConfiguration(target=name), self._signal_gap_s())
        self._add(self._terminate(name), self._signal_gap_s())
        self._add(steps.StartProcess(target=name))

    def _crowd(self) -> steps.OpenIdleConnections:
        [name] = self._balancers(1)
        return steps.OpenIdleConnections(target=name, count=CROWD_CONNECTIONS, duration_s=FAULT_SPAN_S)

    # ---- faults beside it ------------------------------------------------------------------------

    def _choose_fault(self) -> tuple[Episode, Episode]:
        """Return how a fault begins, and how it ends."""
        server = f"s{self._random.randrange(SERVERS)}"
        self._fault_count += 1
        name = f"fault {self._fault_count}"
        link = self._random.choice((f"b*>{server}", "b*>list*", "clients>b*"))
        slow = LinkFault(delay_ms=self._random.choice((20.0, 100.0)), jitter_ms=50.0)
        state = self._random.choice(("failing", "stale", "frozen", "down"))
        restart = steps.StartProcess(target=server)
        lift = steps.ClearLinkFault(name=name)
        choices: tuple[tuple[Episode, Episode], ...] = (
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
            ([steps.SetLinkFault(name=name, link=link, fault=slow)], [lift]),
            (
                [
                    steps.SetLinkFault(
                        name=name, link=f"b*>{server}", fault=LinkFault(reset_after=2_000), direction="back"
                    )
                ],
                [lift],
            ),
        )
        return self._random.choice(choices)
