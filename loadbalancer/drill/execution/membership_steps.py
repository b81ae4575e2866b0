"""Steps on the balancers' membership: waiting for their views to agree, and sending foreign datagrams."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterator
from fnmatch import fnmatchcase

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.history import HistoryWriter
from loadbalancer.drill.processes.placement import FIRST_TIER, Placement
from loadbalancer.drill.processes.supervisor import ProcessSupervisor
from loadbalancer.drill.processes.topology import Topology
from loadbalancer.drill.scenario import steps

VIEW_POLL_INTERVAL_S = 0.02
MAX_DATAGRAM_BYTES = 300  # of random bytes: about the size of a gossip message
FORGED_RATIO = 10  # for this many foreign datagrams to each balancer, one forged through each link


class MembershipSteps:
    """Polls the balancers' views of each other, and sends them datagrams that no balancer sent."""

    def __init__(
        self, topology: Topology, supervisor: ProcessSupervisor, history: HistoryWriter, clock: RealClock,
        seed: int,
    ) -> None:  # fmt: skip
        self._topology = topology
        self._supervisor = supervisor
        self._history = history
        self._clock = clock
        self._seed = seed

    async def expect(self, step: steps.ExpectMemberState) -> None:
        """Poll the consoles until they agree on a balancer's state; the check `views` judges the outcome."""
        number = [b.name for b in self._topology.balancers(FIRST_TIER)].index(step.target)
        began_ms = self._clock.now
        states: dict[str, str] = {}
        while self._clock.now - began_ms < step.within_s * 1_000:
            states = {b.name: await self._supervisor.member_state(b, number) for b in self._observers(step)}
            if set(states.values()) == {step.state}:
                break
            await asyncio.sleep(VIEW_POLL_INTERVAL_S)
        took_s = (self._clock.now - began_ms) / 1_000
        self._history.write(
            "view", of=step.target, wanted=step.state, said=states, took_s=round(took_s, 3),
            held=set(states.values()) == {step.state},
        )  # fmt: skip

    def _observers(self, step: steps.ExpectMemberState) -> Iterator[Placement]:
        """Yield the running balancers that must agree."""
        for balancer in self._topology.balancers(FIRST_TIER):
            is_observer = balancer.name != step.target and fnmatchcase(balancer.name, step.observers)
            if is_observer and self._supervisor[balancer.name].exit_status is None:
                yield balancer

    def send_foreign_datagrams(self, count: int) -> None:
        """Send random datagrams from a foreign address and, through the links, from balancers' addresses."""
        balancers = self._topology.balancers(FIRST_TIER)
        self._history.write("fault", kind="stranger", on=True, targets=[b.name for b in balancers])
        rng = random.Random(f"{self._seed}/stranger")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for balancer in balancers:
                for _ in range(count):
                    sock.sendto(rng.randbytes(rng.randrange(MAX_DATAGRAM_BYTES)), balancer.gossip_address)
        for link in self._topology.datagram_links.values():
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for _ in range(count // FORGED_RATIO):
                    sock.sendto(rng.randbytes(rng.randrange(MAX_DATAGRAM_BYTES)), link.address)
