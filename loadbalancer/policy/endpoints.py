"""The list of servers, operators' holds, and the servers that this balancer keeps to."""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from dataclasses import replace

from loadbalancer import interface
from loadbalancer.interface import (
    LIST_RETRY_JITTER,
    LIST_RETRY_MEAN_BACKOFF_MS,
    Outcome,
    Readiness,
    Settings,
    UpdateKind,
)
from loadbalancer.policy.servers import Server

MIN_SUBSET_SERVERS = 12  # servers that a balancer keeps to at the least: losing a few must leave a choice
BALANCERS_PER_SERVER = 30  # balancers that keep to each server: their chance parts then even out to a fifth
NEARBY_SERVERS = 6  # servers near our place on the ring, where an inner balancer's free ones are taken first
LIST_RETRY_INITIAL_BACKOFF_MS = 500.0  # first pause before the list is asked again, doubled at each failure

CONNECT_FAILURES_TO_REMOVE = (
    2  # connections in a row that do not come up: one may be lost on the way, or to a crowd
)

RANK_AFTER_ALL = (math.inf, "")  # behind all ranks


class EndpointSet:
    """The servers known, those that may get work (`ready`), and of these the ones kept to.

    A change of the list costs what it changes, not what the list holds: the servers kept to are the first
    `kept` of `_ranked`, which is in the order of ranks drawn at random, and a ring for each zone holds the
    names in their order.
    """

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        self._settings, self._random = settings, chance
        self.servers: dict[str, Server] = {}
        self.ready: dict[str, Server] = {}
        self.awaiting_first_call: dict[str, Server] = {}  # put back by operators and not called since
        self.subset_size, self.total_capacity, self.last_started_at_ms = 0, 0.0, 0.0
        self._ranked: list[tuple[float, str]] = []
        self._names: list[str] = []
        self.names_by_zone: dict[str, list[str]] = {}
        self._held: set[str] = set()  # out by operators' hand
        self._back: dict[str, float] = {}  # when operators put servers back
        self._failures = 0
        self._touched: dict[str, None] = {}
        self._edge = RANK_AFTER_ALL
        self._all_near: list[Server] | None = None

    def subset_servers(self, first: int, count: int) -> list[Server]:
        """So many of the servers kept to, from one of them on and round."""
        if count >= self.subset_size:
            if self._all_near is None:
                self._all_near = [self.ready[name] for _, name in self._ranked[: self.subset_size]]
            return self._all_near
        names = self._ranked[first : min(first + count, self.subset_size)]
        names += self._ranked[: count - len(names)]
        return [self.ready[name] for _, name in names]

    def is_in_subset(self, server: Server) -> bool:
        """Whether a server is one of those kept to."""
        return server.is_ready and (server.rank, server.endpoint.server) < self._edge

    def take_changed_servers(self) -> list[Server]:
        """The servers that may have come to those kept to, or left them, since this was asked last."""
        edge = self._ranked[self.subset_size] if self.subset_size < len(self._ranked) else RANK_AFTER_ALL
        low, high = sorted((edge, self._edge))
        between = self._ranked[bisect_left(self._ranked, low) : bisect_left(self._ranked, high)]
        names = self._touched | dict.fromkeys(name for _, name in between)
        self._edge, self._touched = edge, {}
        return [self.servers[name] for name in names if name in self.servers]

    def nearby_servers(self) -> list[Server]:
        """The servers of our zone that are nearest to our place, if names and balancers stand in a ring.

        Each server is near few balancers: their own calls there are then most of what it holds.
        """
        ring = self.names_by_zone.get(self._settings.zone) or self._names
        place = len(ring) * (self._settings.balancer_index + 0.5) / self._settings.balancer_count
        first = round(place - NEARBY_SERVERS / 2)
        return [self.ready[ring[i % len(ring)]] for i in range(first, first + min(NEARBY_SERVERS, len(ring)))]

    def handle_list_failure(self, now: float, again_ms: float) -> list[interface.Action]:
        """The list is out of reach: the old one stands; ask again in time, not all balancers in step."""
        first = max(LIST_RETRY_INITIAL_BACKOFF_MS, LIST_RETRY_MEAN_BACKOFF_MS * self._settings.balancer_count)
        pause = min(
            first * 2 ** min(self._failures, 9),
            self._settings.poll_interval_ms / 3,
            again_ms / (1 + LIST_RETRY_JITTER),
        )
        self._failures += 1
        told = (
            [interface.LogMessage("server list out of reach; keeping the last one")]
            if self._failures == 1
            else []
        )
        spread = self._random.uniform(1 - LIST_RETRY_JITTER, 1 + LIST_RETRY_JITTER)
        return [*told, interface.SetTimer(now + pause * spread, "list")]

    def validate(self, event: interface.EndpointListUpdate) -> interface.EndpointListUpdate:
        """What a list is taken for.

        Servers that a whole list leaves out unsaid stay if they are too many, or all there are.
        A service that has gone back to an older state does not call a server ready that was to end.
        """
        members, doubted = event.endpoints, frozenset[str]()
        named = {member.server for member in members}
        if event.kind is UpdateKind.FULL_SNAPSHOT:
            lost = self.ready.keys() - named
            if len(lost) > max(self._settings.suspect_stale_fraction * len(self.ready), bool(named)):
                doubted = frozenset(lost)
                members += tuple(self.ready[name].endpoint for name in sorted(lost))
        if event.is_rolled_back:
            members = tuple(self._kept_draining(member) for member in members)
        return replace(event, endpoints=members, suspected_stale=doubted)

    def _kept_draining(self, member: interface.Endpoint) -> interface.Endpoint:
        old = self.servers.get(member.server)
        drains = old and old.endpoint.readiness is Readiness.DRAINING
        if old and drains and member.started_at_ms <= old.endpoint.started_at_ms:
            return replace(member, readiness=Readiness.DRAINING)
        return member

    def record_outcome(self, server: Server, outcome: Outcome) -> bool:
        """Whether this ends our doubt of a list that has left the server out: it is gone, then."""
        if server.remaining_strikes and outcome is Outcome.CONNECT_FAILED:
            server.remaining_strikes -= 1
            if not server.remaining_strikes:
                self._gone(server)
                return True
        elif server.remaining_strikes and outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED):
            server.remaining_strikes = CONNECT_FAILURES_TO_REMOVE
        return False

    def apply_update(self, event: interface.EndpointListUpdate, now: float) -> list[interface.Action]:
        """Take a whole list, or a change to it."""
        told: list[interface.Action] = []
        if event.suspected_stale:
            part = f"{len(event.suspected_stale)} of {len(self.ready)}"
            told.append(interface.LogMessage(f"the list leaves out {part} ready servers: kept for now"))
        if self._failures and event.kind is not UpdateKind.CACHED:
            self._failures = 0
            told.append(interface.LogMessage("server list is back"))
        if event.kind is not UpdateKind.DELTA:
            named = {member.server for member in event.endpoints}
            for server in [s for name, s in self.servers.items() if name not in named]:
                self._gone(server)  # missing from a whole list
        for member in event.endpoints:
            self._take(member, now, member.server in event.suspected_stale)
        return told

    def apply_cordon(self, event: interface.CordonChanged, now: float) -> None:
        """Operators' word on a server stands over the list's; one that they put back counts as cold."""
        server = self.servers.get(event.server)
        if event.is_cordoned:
            self._held.add(event.server)
        else:
            self._held.discard(event.server)
            self._back = {
                name: at for name, at in self._back.items() if at > now - self._settings.slow_start_ms
            }
            self._back[event.server] = event.returned_at_ms
            if server:
                server.reset_evidence(now)
                self.awaiting_first_call[event.server] = server
        if server:
            self._sort_in(server, server.endpoint)

    def excluded_servers(self) -> list[str]:
        """The listed servers that get no new work: held by operators, or ready and not kept to."""
        passed_over = {name for _, name in self._ranked[self.subset_size :]}
        if self._settings.tier:
            passed_over -= {s.endpoint.server for s in self.nearby_servers()}
        return [
            name
            for name, s in self.servers.items()
            if s.is_listed and (name in self._held or name in passed_over)
        ]

    def forget_if_unused(self, server: Server) -> None:
        """A call of ours at a server is over: one that is gone may be forgotten."""
        if not server.is_listed and not server.in_flight:
            self.servers.pop(server.endpoint.server, None)

    def _take(self, member: interface.Endpoint, now: float, doubted: bool) -> None:
        if (server := self.servers.get(member.server)) is None:
            server = self.servers[member.server] = Server(member, now, self._random.random())
        if member.started_at_ms > server.endpoint.started_at_ms:
            server.reset_evidence(now)  # the same name, a new process
        server.is_listed = member.readiness is not Readiness.DEAD
        server.remaining_strikes = (server.remaining_strikes or CONNECT_FAILURES_TO_REMOVE) if doubted else 0
        self._sort_in(server, member)
        if not server.is_listed:
            self._gone(server)

    def _gone(self, server: Server) -> None:
        server.is_listed, server.remaining_strikes = False, 0
        self._sort_in(server, server.endpoint)
        self.awaiting_first_call.pop(server.endpoint.server, None)
        self.forget_if_unused(server)

    def _sort_in(self, server: Server, member: interface.Endpoint) -> None:
        """Put a server where its entry, its hold and its start say."""
        name = member.server
        self._touched[name] = None
        is_ready = server.is_listed and member.readiness is Readiness.READY and name not in self._held
        stays = is_ready and server.is_ready and member.zone == server.endpoint.zone
        if server.is_ready and not stays:
            self._take_out(server)
        if stays:
            self.total_capacity -= server.registered_capacity
        server.endpoint, server.is_ready = member, is_ready
        server.registered_capacity = (
            member.registered_capacity if 0 < member.registered_capacity < math.inf else 1.0
        )  # a list may give odd ones
        server.started_at_ms = max(member.started_at_ms, self._back.get(name, 0.0))
        if is_ready:
            self.total_capacity += server.registered_capacity
            self.last_started_at_ms = max(self.last_started_at_ms, server.started_at_ms)
        if is_ready and not stays:
            self.ready[name], self._all_near = server, None
            insort(self._ranked, (server.rank, name))
            insort(self._names, name)
            insort(self.names_by_zone.setdefault(member.zone, []), name)
        # A balancer of hundreds calls each of all too seldom to learn it, or to use a connection twice.
        keep = math.ceil(len(self._ranked) * BALANCERS_PER_SERVER / self._settings.balancer_count)
        self.subset_size = min(max(MIN_SUBSET_SERVERS, keep), len(self._ranked))

    def _take_out(self, server: Server) -> None:
        name, self._all_near = server.endpoint.server, None
        del self.ready[name]
        del self._ranked[bisect_left(self._ranked, (server.rank, name))]
        del self._names[bisect_left(self._names, name)]
        ring = self.names_by_zone[server.endpoint.zone]
        del ring[bisect_left(ring, name)]
        if not ring:
            del self.names_by_zone[server.endpoint.zone]
        self.total_capacity -= server.registered_capacity
