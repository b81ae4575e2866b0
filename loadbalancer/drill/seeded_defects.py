"""Balancers with a known defect, for drills that must find it: the real program, made worse in one place.

LB_CONFIG=config.json python -m loadbalancer.drill.seeded_defects sends-twice
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from loadbalancer import interface
from loadbalancer.drill.processes.process_files import SERVICE_DEFECTS
from loadbalancer.interface import Outcome, Readiness
from loadbalancer.net.action_executor import ActionExecutor
from loadbalancer.net.config import EndpointList
from loadbalancer.net.discovery import call, cross_check
from loadbalancer.net.downstream_request import DownstreamRequest
from loadbalancer.net.endpoint_list import EndpointListFollower
from loadbalancer.net.request_attempts import RequestAttempt
from loadbalancer.net.request_intake import RequestIntake
from loadbalancer.net.upstream_attempt import Attempt
from loadbalancer.net.upstream_response import UpstreamResponse

NOWHERE_EVERY = 25  # requests, one of which is answered from nowhere


class _Second(RequestAttempt):
    """A second attempt that nobody asked for, and whose answer nobody hears."""

    def on_request_written(self) -> None:
        """Count it not."""

    def on_response_started(self, attempt: Attempt, answer: UpstreamResponse) -> DownstreamRequest | None:
        """Pass nothing on."""
        return None

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """Tell nobody."""


def sends_twice() -> None:
    """What is unsafe to repeat goes to two servers."""
    real = ActionExecutor.execute

    def execute(self: ActionExecutor, action: interface.Action) -> None:
        real(self, action)
        if not isinstance(action, interface.SendAttempt):
            return
        request = self._requests.by_id.get(action.request_id)
        others = [name for name in self._endpoint_list.endpoints if name != action.server]
        if request is not None and request.downstream.method == b"POST" and others:
            call = _Second(self._attempts, request, action, 0)
            self._upstreams.start_attempt(others[0], call.timeout_ms / 1_000, call)

    ActionExecutor.execute = execute  # type: ignore[method-assign]


def _takes_for_ready(state: Readiness) -> None:
    """Whatever the list says is in that state passes for ready, in the module and at the sockets."""
    real = EndpointListFollower.apply

    def apply(self: EndpointListFollower, kind: interface.UpdateKind, update: EndpointList) -> bool:
        kept = tuple(
            replace(e, endpoint=replace(e.endpoint, readiness=Readiness.READY))
            if e.endpoint.readiness is state
            else e
            for e in update.endpoints
        )
        return real(self, kind, replace(update, endpoints=kept))

    EndpointListFollower.apply = apply  # type: ignore[method-assign]


def forgets_drain() -> None:
    """A server that drains stays in use."""
    _takes_for_ready(Readiness.DRAINING)


def keeps_dead_server() -> None:
    """A server that the list has removed stays in use."""
    _takes_for_ready(Readiness.DEAD)


def answers_from_nowhere() -> None:
    """Some requests are answered with 200 though no server ever saw them."""
    real, seen = RequestIntake.on_request_arrived, [0]

    def on_request_arrived(self: RequestIntake, downstream: DownstreamRequest) -> None:
        seen[0] += 1
        if seen[0] % NOWHERE_EVERY == 0 and downstream.body.is_complete:
            downstream.send_response(200, [], b'{"served": true}')
        else:
            real(self, downstream)

    RequestIntake.on_request_arrived = on_request_arrived  # type: ignore[method-assign]


def trusts_any_list() -> None:
    """A list that is older than the one at hand is taken for news."""
    names, newest = vars(call), [0]
    real = names["decode_endpoint_list"]

    def decode_endpoint_list(answer: Any) -> EndpointList:
        news: EndpointList = real(answer)
        newest[0] = max(newest[0], news.index)
        return replace(news, index=newest[0])

    names["decode_endpoint_list"] = decode_endpoint_list


def deaf_to_peers() -> None:
    """What other balancers say of who is there is not heard, and they hear nothing of us."""
    from loadbalancer.membership import Membership

    def handle_message(self: Membership, sender: int, data: bytes, now: float) -> list[Any]:
        return []

    Membership.handle_message = handle_message  # type: ignore[method-assign]


def never_gives_up() -> None:
    """A balancer that is silent is suspected for ever."""
    from loadbalancer.membership import MemberTable

    def declare_dead(self: MemberTable, number: int, now: float) -> None:
        return None

    MemberTable.declare_dead = declare_dead  # type: ignore[method-assign]


def forgets_returns() -> None:
    """Who was gone once stays gone: what it says of itself is not taken."""
    from loadbalancer.membership import MemberState, MemberTable

    real = MemberTable.apply_update

    def apply_update(
        self: MemberTable, number: int, state: MemberState, incarnation: int, now: float
    ) -> bool:
        if self.state(number) is MemberState.DEAD:
            return False
        return real(self, number, state, incarnation, now)

    MemberTable.apply_update = apply_update  # type: ignore[method-assign]


def forgets_snapshot() -> None:
    """What was kept over a restart is not read."""
    from loadbalancer.snapshots import LoadResult, SnapshotStore

    def load(self: SnapshotStore) -> LoadResult:
        return LoadResult(None, ())

    SnapshotStore.load = load  # type: ignore[method-assign]


def believes_lapses() -> None:
    """The list service takes every lease that runs out for a server that is gone."""
    from loadbalancer.registry.lease_expiry import LeaseExpiry
    from loadbalancer.registry.self_preservation import SelfPreservation

    LeaseExpiry._detect_mass_expiry = lambda self, tier, now: None  # type: ignore[method-assign]
    SelfPreservation.must_keep = lambda self, entry: False  # type: ignore[method-assign]


def reuses_versions() -> None:
    """A list service without its memory begins at 1, and leaves those who have seen more to themselves."""
    from loadbalancer.registry import Catalog, service

    real = Catalog.resume_watch
    vars(service)["first_revision"] = lambda stored, now_ms, number, stride: (
        (stored // stride + 1) * stride + number
    )

    def goes_on(self: Catalog, services: tuple[str, ...], after: int, now: float) -> bool:
        return real(self, services, min(after, self.revision), now)

    Catalog.resume_watch = goes_on  # type: ignore[assignment, method-assign]


def lapses_unheard() -> None:
    """An instance lapses a lease though another one, out of reach, may have heard it renewed."""
    from loadbalancer.registry import Catalog

    real = Catalog.expire_leases
    Catalog.expire_leases = lambda self, now, peers_known_since=0.0: real(self, now)  # type: ignore[method-assign]


def takes_drains_back() -> None:
    """Of two accounts of a server the one that was changed more often stands, whatever the other said."""
    from loadbalancer.registry import catalog
    from loadbalancer.registry.merge import SharedEntry

    def join(one: SharedEntry, other: SharedEntry) -> SharedEntry:
        return max(
            one, other, key=lambda account: (account.generation, account.change_count, account.renewal_count)
        )

    vars(catalog)["join"] = join


def keeps_old_starts() -> None:
    """Of two starts of a server the earlier one stands."""
    from loadbalancer.registry import catalog
    from loadbalancer.registry.merge import SharedEntry

    real = vars(catalog)["join"]

    def join(one: SharedEntry, other: SharedEntry) -> SharedEntry:
        joined: SharedEntry = real(one, other)
        return joined if one.generation == other.generation else min(one, other, key=lambda a: a.generation)

    vars(catalog)["join"] = join


def obeys_lists() -> None:
    """Whatever a whole list leaves out is gone at once."""
    from loadbalancer.policy import Balancer

    Balancer.validate = lambda self, event: event  # type: ignore[method-assign]


def stays_with_one() -> None:
    """The instance that is asked first is asked for ever."""
    from loadbalancer.endpoint_watch.instance_selection import InstanceSelector

    InstanceSelector.record_failure = lambda self: False  # type: ignore[method-assign]


def never_compares() -> None:
    """No other instance's list is ever looked at."""

    async def run(self: cross_check.CrossChecker) -> None:
        return None

    cross_check.CrossChecker._run = run  # type: ignore[method-assign]


def asks_without_pause() -> None:
    """A list that is out of reach is asked for again at once, by all balancers together."""
    from loadbalancer.policy.endpoints import EndpointSet

    def failed(self: EndpointSet, now: float, retry_within_ms: float) -> list[interface.Action]:
        return [interface.SetTimer(now + 1.0, "list")]

    EndpointSet.handle_list_failure = failed  # type: ignore[method-assign]


def forgets_list() -> None:
    """Servers are forgotten when the list does not answer."""
    real = EndpointListFollower.on_watch_failed

    def on_watch_failed(self: EndpointListFollower) -> None:
        real(self)
        self.apply(interface.UpdateKind.FULL_SNAPSHOT, EndpointList(self.revision, True, ()))

    EndpointListFollower.on_watch_failed = on_watch_failed  # type: ignore[method-assign]
    obeys_lists()


def moves_at_once() -> None:
    """A zone is left, and come back to, at once, whatever time operators gave."""
    from loadbalancer.policy.zones import ZoneEvacuations

    real = ZoneEvacuations.apply
    ZoneEvacuations.apply = lambda self, event: real(self, replace(event, duration_ms=0.0))  # type: ignore[method-assign]


def never_returns() -> None:
    """A zone that was left stays so."""
    from loadbalancer.policy.zones import ZoneEvacuations

    real = ZoneEvacuations.apply
    ZoneEvacuations.apply = lambda self, event: real(self, replace(event, is_evacuating=True))  # type: ignore[method-assign]


def forgets_zones() -> None:
    """What operators said of zones is lost when the process is replaced."""
    from loadbalancer.net import cordons

    vars(cordons)["_decode_evacuations"] = lambda raw: {}


DEFECTS: dict[str, Callable[[], None]] = {
    "sends-twice": sends_twice,
    "forgets-drain": forgets_drain,
    "keeps-dead-server": keeps_dead_server,
    "answers-from-nowhere": answers_from_nowhere,
    "trusts-any-list": trusts_any_list,
    "deaf-to-peers": deaf_to_peers,
    "never-gives-up": never_gives_up,
    "forgets-returns": forgets_returns,
    "forgets-snapshot": forgets_snapshot,
    "believes-lapses": believes_lapses,
    "reuses-versions": reuses_versions,
    "lapses-unheard": lapses_unheard,
    "takes-drains-back": takes_drains_back,
    "keeps-old-starts": keeps_old_starts,
    "obeys-lists": obeys_lists,
    "stays-with-one": stays_with_one,
    "never-compares": never_compares,
    "asks-without-pause": asks_without_pause,
    "forgets-list": forgets_list,
    "moves-at-once": moves_at_once,
    "never-returns": never_returns,
    "forgets-zones": forgets_zones,
}


def main() -> int:
    """Plant the defect that the first argument names, and be a balancer, or a list service."""
    defect = sys.argv[1]
    DEFECTS[defect]()
    if defect in SERVICE_DEFECTS:
        from loadbalancer.registry import server

        told = server.read_configuration(Path(sys.argv[-1]))
        server.serve(told, server.open_service(told))
        return 0
    from loadbalancer.__main__ import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
