"""Drives the decision module: I/O becomes events, actions become I/O. It makes no choice of its own."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import deque
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, assert_never

from loadbalancer import interface
from loadbalancer.interface import OUTCOMES_WITHOUT_EFFECT, Outcome, Readiness, UpdateKind
from loadbalancer.net import metrics
from loadbalancer.net.config import (
    AddressedEndpoint,
    Config,
    EndpointList,
    changed_settings,
    decode_endpoint_list,
    encode_endpoint_list,
)
from loadbalancer.net.console import Console
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.discovery import Discovery
from loadbalancer.net.downstream import DownstreamListener, DownstreamRequest
from loadbalancer.net.hot_restart import DescriptorCounts, HotRestartListener, Predecessor
from loadbalancer.net.http_framing import BufferBudget, end_to_end_headers
from loadbalancer.net.learned_state import decode_learned_state, encode_learned_state
from loadbalancer.net.log import Log, Sink, write_text
from loadbalancer.net.request_counters import RequestCounters
from loadbalancer.net.upstream import Attempt, AttemptHandler, UpstreamPools, UpstreamResponse
from loadbalancer.policy import Balancer

if TYPE_CHECKING:
    from loadbalancer.net.membership import MembershipHost
    from loadbalancer.net.snapshot_writer import SnapshotWriter

ANSWER_MS = 10.0  # the module is told so much less than the caller waits: its answer must still travel
NET_MS = 5.0  # so long before the deadline the safety net answers what is still open
PROBE_MS = 250.0
BUFFERS_PART = 0.1  # of the memory limit: two processes and their runtimes share that during an upgrade
SWEEP_S = 1.0
CORDONS_S = 0.1  # between looks at what the other process was told, while there may be one
LIST_S = 1.5  # a process that takes over waits so long for discovery; the list it was handed stands then
FOLLOWED = {"discovery"}  # of a configuration, while we run
UNHEEDED = {"known", "seed"}  # these are for the start alone
IDS_MAX = 20_000  # ever listed and remembered: what was listed once is an ID that somebody has


class Clock:
    """Unix milliseconds at the start plus what has passed since: it never goes back, and yet compares
    with the `since_ms` of servers."""

    def __init__(self) -> None:
        self._offset = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """This moment."""
        return self._offset + time.monotonic() * 1000


class _Request:
    """A request that was taken: what it is owed and what is out for it."""

    __slots__ = ("attempts", "ends", "id", "net", "open", "out", "passed_on", "queued", "ran", "taken")

    def __init__(self, number: int, taken: DownstreamRequest, ends: float) -> None:
        self.id, self.taken, self.ends = number, taken, ends
        self.attempts: list[Attempt | None] = []
        self.open = True  # until its final answer, or until nobody waits for one
        self.ran = False  # whether an attempt that has ended may have run
        self.out = 0  # attempts that have not ended
        self.queued = 0  # events that the module has still to hear
        self.net: asyncio.TimerHandle | None = None
        self.passed_on: Attempt | None = None  # whose answer goes out piece by piece

    def may_have_run(self) -> bool:
        """Whether any attempt has run, or may yet."""
        unwritten = sum(attempt.is_unwritten() for attempt in self.attempts if attempt is not None)
        return self.ran or self.out > unwritten

    def withdraw(self) -> None:
        """Nobody waits for it: what has not been written never will be, as nothing is sent for it."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.cancel_if_unwritten()


class _Call(AttemptHandler):
    """One attempt of a request."""

    def __init__(self, driver: Proxy, request: _Request, send: interface.SendAttempt, index: int) -> None:
        self._driver, self._request, self._server, self._index = driver, request, send.server, index
        taken = request.taken
        left_ms = (
            request.ends - driver.clock.now() if taken.body.is_complete else taken.deadline_ms - ANSWER_MS
        )
        self.timeout_ms = max(min(send.timeout_ms, left_ms) if send.timeout_ms else left_ms, 0.0)
        self._until = time.monotonic() + self.timeout_ms / 1000
        self.body = None if taken.body.is_complete else taken.body

    def is_needed(self) -> bool:
        """Whether the caller is there: nothing begins for one that has gone, seen by the loop or not."""
        return self._request.taken.is_client_connected()

    def build_request(self) -> bytes:
        """The head with the time that is left, and the body if it is whole."""
        taken, left_s = self._request.taken, self._until - time.monotonic()
        if self.body is not None:
            left_s = self.timeout_ms / 1000  # it counts from the last byte
            if taken.body.is_complete:
                self.body = None  # the rest came while we connected
        data = taken.body.data() if self.body is None else b""
        length: int | None = len(data) if self.body is None else taken.body.length
        if length is None:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing = b"Content-Length: %d\r\n" % length if length or taken.method != b"GET" else b""
        left_us = max(left_s * 1_000_000, 1.0)
        return b"%bX-Deadline: %du\r\n%b\r\n%b" % (taken.forwarded_head, left_us, framing, data)

    def on_request_written(self) -> None:
        """Count it."""
        self._driver.forwarded()

    def on_response_started(self, attempt: Attempt, answer: UpstreamResponse) -> DownstreamRequest | None:
        """Pass a long answer on as it comes."""
        return self._driver.answer_started(self._request, self._index, attempt, answer)

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """Tell the end."""
        self._driver.attempt_ended(self._request, self._index, self._server, outcome, answer)


class _HealthCheck(AttemptHandler):
    """One probe of a server."""

    def __init__(self, driver: Proxy, server: str) -> None:
        self._driver, self._server = driver, server

    def build_request(self) -> bytes:
        """The call."""
        return b"GET /healthz HTTP/1.1\r\nHost: upstream\r\n\r\n"

    def on_attempt_ended(self, outcome: Outcome, answer: UpstreamResponse | None) -> None:
        """Tell the end."""
        self._driver.probe_ended(self._server, outcome)


class Proxy:
    """One balancer: the module and all that it is connected to."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        folder: Path | None = None,
        legacy: Predecessor | None = None,
        sink: Sink = write_text,
    ) -> None:
        """`folder` is shared with the process before this one, whose `legacy` it is, and the one after it."""
        self._loop, self._legacy, self._config = loop, legacy, config
        self.log = Log(config.name or "balancer", sink)
        self.clock = Clock()
        self.balancer = Balancer(config.settings, config.seed)
        self.buffers = BufferBudget(int(config.memory_mb * BUFFERS_PART * 1_000_000))
        self.upstreams = UpstreamPools(config, loop, self.buffers)
        listener = legacy.listener if legacy else None
        self.callers = DownstreamListener(config, loop, self, self.log.exception, self.buffers, listener)
        self.console = Console(config.console, loop, self) if config.console else None
        self._cordons = CordonFile(folder if config.console else None)
        self._back: dict[str, float] = {}  # the returns that the module has been told
        self._zones: dict[str, interface.ZoneEvacuation] = {}  # what the module has been told of zones
        self._ids: dict[str, None] = {}  # that lists have named, the newest last
        self._figures = RequestCounters(c.name for c in config.settings.classes)
        self._keeper = self._make_keeper(config)
        self._kept = self._keeper.load() if self._keeper and legacy is None else None
        fresh = legacy is not None or self._kept is not None
        self._discovery = Discovery(
            config, self._news, self._list_failed, fresh, lambda text: self.log.event("list_service", text)
        )
        self._requests: dict[int, _Request] = {}
        self._last = 0
        self._events: deque[interface.Event] = deque()
        self._busy = self._closed = False
        self._known = config.initial_list
        self._list: dict[str, AddressedEndpoint] = {}
        self._index = 0
        self._caps = self.callers.max_connections, self.upstreams.max_connections
        self._asked = asyncio.Event()  # whether discovery has answered, or failed to
        self._handover = HotRestartListener(folder, loop, self) if folder and config.console else None
        self._tasks: set[asyncio.Task[None]] = set()
        self.peers = self._make_peers(config)

    def _make_keeper(self, config: Config) -> SnapshotWriter | None:
        """Snapshots, where a folder is named; what they need is loaded there alone."""
        if config.snapshot_folder is None:
            return None
        from loadbalancer.net.snapshot_writer import SnapshotWriter

        return SnapshotWriter(config.snapshot_folder, config.name, config.snapshot_interval_ms, self.log)

    def _make_peers(self, config: Config) -> MembershipHost | None:
        """Membership, where it is on; what it needs is loaded there alone."""
        if config.peer_listen is None:
            return None
        from loadbalancer.net.membership import MembershipHost

        return MembershipHost(config, config.peer_listen, self._loop, self.clock.now)

    def start(self) -> None:
        """Tell what was known, then begin to listen, or to take over from the process that does."""
        self._listed(UpdateKind.CACHED, self._known)
        self._follow_cordons()
        if self._legacy is not None:
            self._take_legacy(self._legacy)
        elif self._kept is not None:
            self._take_state(self._kept.state, max(self.clock.now() - self._kept.written_at_ms, 0.0))
        if self._keeper is not None:
            self._keeper.start(self.handover_state)
        self._discovery.start()
        self._sweep()
        if self.console is not None:
            self.console.start()
        if self._legacy is None:
            self._serve()
        else:
            task = self._loop.create_task(self._take_over(self._legacy))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _serve(self) -> None:
        self.callers.start()
        self._join_peers()
        if self._handover is not None and (trouble := self._handover.start()):
            self.log.event("no_handover", trouble)

    def _join_peers(self) -> None:
        if self.peers is not None and (trouble := self.peers.start()):
            self.log.event("no_peers", trouble)

    def say_goodbye(self) -> None:
        """We end on purpose: the other balancers need not find out."""
        if self.peers is not None:
            self.peers.leave()
        if self._keeper is not None:
            self._keeper.close()

    def is_serving(self) -> bool:
        """Whether clients are taken."""
        return self.callers.is_serving and not self.callers.is_shutting_down

    # ---- from one process to the next -----------------------------------------------------------

    def _take_legacy(self, legacy: Predecessor) -> None:
        """Go on from cordons, list and evidence of the older process, as far as they can be read."""
        if "cordons" in legacy.state:  # a version before this one does not send them
            try:
                self._cordons.adopt(legacy.state["cordons"])
            except ValueError as error:
                self.log.event("nothing_learned", f"we start with the cordons on file: {error}")
            self._apply_cordons()
        self._take_state(legacy.state, 0.0)

    def _take_state(self, state: dict[str, Any], age_ms: float) -> None:
        """Go on from a list and evidence of some age: servers that have started anew since are unknown."""
        try:
            known = decode_endpoint_list(state["list"])
            if known.endpoints and known.index >= self._known.index:
                self._listed(UpdateKind.CACHED, known)
            learned = decode_learned_state(state["learned"], {c.name for c in self._config.settings.classes})
            self.balancer.restore(learned, self.clock.now(), age_ms)
        except (KeyError, ValueError) as error:
            self.log.event("nothing_learned", f"we start without what was learned: {error}")

    async def _take_over(self, legacy: Predecessor) -> None:
        """Read the list, have the older process accept no more, then accept in its place."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIST_S):
                await self._asked.wait()
        self._share(await legacy.take_over())
        if not self.callers.is_shutting_down:
            self._serve()
        await legacy.follow_counts(self._share)

    def _share(self, other: DescriptorCounts) -> None:
        """Hold so much less as the other process holds."""
        self.callers.max_connections = max(self._caps[0] - other.downstream, 4)
        self.upstreams.max_connections = max(self._caps[1] - other.upstream, 4)

    def listening_socket(self) -> socket.socket:
        """Where callers wait."""
        return self.callers.listening_socket

    def handover_state(self) -> dict[str, object]:
        """What the next process should know."""
        known = EndpointList(self._index, True, tuple(self._list.values()))
        learned = encode_learned_state(self.balancer.learned_state(self.clock.now()))
        return {"list": encode_endpoint_list(known), "learned": learned, "cordons": self._cordons.encode()}

    def stop_accepting(self) -> None:
        """The next process is ready to accept in our place."""
        self.log.event("taken_over", "another process takes over")
        if self.peers is not None:
            self.peers.stop()  # the next process speaks in our name
        self.callers.stop_accepting()
        self._tell(interface.TakeoverChanged(True))

    def resume_accepting(self) -> None:
        """The next process has died."""
        self.log.event("returned", "the process that took over is gone")
        self.callers.resume_accepting()
        self._join_peers()
        self.upstreams.max_connections = self._caps[1]
        self._tell(interface.TakeoverChanged(False))

    def descriptor_counts(self) -> DescriptorCounts:
        """What we keep to from now on: callers only leave, and upstreams are called for them alone."""
        callers = self.callers.connection_count()
        self.upstreams.max_connections = min(
            self.upstreams.max_connections, max(self.upstreams.open_connections, callers + 4)
        )
        return DescriptorCounts(downstream=callers, upstream=self.upstreams.max_connections)

    def figures(self) -> dict[str, object]:
        """What operators read."""
        return self._figures.report(len(self._list), len(self.balancer.excluded_servers(self.clock.now())))

    def metrics(self) -> str:
        """The same figures in Prometheus' form."""
        avoided = len(self.balancer.excluded_servers(self.clock.now()))
        members = self.peers.count_by_state() if self.peers else {}
        return metrics.write(self._figures, len(self._list), avoided, self.log.left_out, members)

    def membership(self) -> dict[str, object] | None:
        """What we believe of the other balancers; None where membership is off."""
        return self.peers.console_report() if self.peers else None

    def list_report(self) -> dict[str, object]:
        """Where the list is from, how old it is, and whom it left out that is in use all the same."""
        told = self._discovery.report()
        if told["heard_ms_ago"] is None and self._kept is not None:
            age_ms = max(time.time() * 1_000 - self._kept.written_at_ms, 0.0)
            return told | {"from": "snapshot", "heard_ms_ago": round(age_ms), "doubted": []}
        if told["heard_ms_ago"] is None:
            return told | {"from": "configuration", "doubted": []}
        return told | {"doubted": self.balancer.suspected_stale_servers()}

    def cordon(self, server: str, out: bool) -> bool:
        """Take a server out, or put it back; False if nobody has that ID."""
        if server not in self._ids and server not in self._cordons.cordons.servers:
            return False
        if trouble := self._cordons.set_cordon(server, is_cordoned=out):
            self.log.event("cordons_not_kept", trouble)
        self._apply_cordons()
        return True

    def _follow_cordons(self) -> None:
        """Follow what operators tell the other process while two run."""
        if self._cordons.refresh():
            self._apply_cordons()
        self._loop.call_later(CORDONS_S, self._follow_cordons)

    def _apply_cordons(self) -> None:
        cordons, held = self._cordons.cordons, self.upstreams.cordoned
        for server in sorted(cordons.servers - held):
            self.upstreams.cordon(server)
            self._tell(interface.CordonChanged(server, is_cordoned=True))
        for server in sorted(held - cordons.servers):
            held.discard(server)
            at = cordons.returned_at_ms.get(server, self.clock.now())
            self._tell(interface.CordonChanged(server, is_cordoned=False, returned_at_ms=at))
        for server, at in cordons.returned_at_ms.items():
            if self._back.get(server, 0.0) < at:
                self._tell(interface.CordonChanged(server, is_cordoned=False, returned_at_ms=at))
        self._back = cordons.returned_at_ms
        for name, word in cordons.evacuations.items():
            if self._zones.get(name) != word:
                self._tell(word)
        self._zones = dict(cordons.evacuations)

    def zones(self) -> dict[str, dict[str, float]]:
        """How it stands with each zone."""
        return self.balancer.zone_statuses(self.clock.now())

    def move_zone(self, zone: str, out: bool, over_ms: float, force: bool) -> tuple[int, str]:
        """Leave a zone, or come back to it, over a time: status and text of the answer."""
        zones, now = self.zones(), self.clock.now()
        if zone not in zones and zone not in self._zones:
            return 404, f"no server is of that zone; there are {', '.join(zones) or 'none'}"
        if out and not force and (trouble := _no_room(zone, zones)):
            return 409, trouble
        share = self.balancer.zone_traffic_fraction(zone, now)
        if trouble := self._cordons.set_evacuation(interface.ZoneEvacuation(zone, out, now, over_ms, share)):
            self.log.event("cordons_not_kept", trouble)
        self._apply_cordons()
        self.log.event("zone", "operators have us leave it" if out else "operators have us back", zone=zone)
        return 200, "ok"

    def replace(self, config: Config) -> tuple[list[str], list[str]]:
        """Follow a configuration that the platform has replaced: what was taken, and what needs a restart."""
        old, self._config = self._config, config
        changed = changed_settings(old, config)
        self._discovery.move(config.discovery, config.registry)
        followed = FOLLOWED | (
            {"lists"} if old.registry and old.registry.can_change_to(config.registry) else set()
        )
        return [n for n in changed if n in followed], [n for n in changed if n not in followed | UNHEEDED]

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_S, self._sweep)
        self.upstreams.close_expired()

    # ---- events -------------------------------------------------------------------------------

    def _tell(self, event: interface.Event, request: _Request | None = None) -> None:
        """Pass an event on. What actions bring about at once waits until they are all carried out."""
        if request is not None:
            request.queued += 1
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event: interface.Event) -> None:
        number = getattr(event, "request_id", None)
        try:
            actions = self.balancer.handle(event, self.clock.now())
        except Exception:
            # Guards against a fault in the decisions: it costs this request, never the process.
            self.log.exception(f"the module failed at {event!r}"[:500])
            self._rescue(number)
            actions = []
        for action in actions:
            try:
                self._do(action)
            except Exception:
                self.log.exception(f"could not carry out {action!r}")
                self._rescue(getattr(action, "request_id", None))
        request = self._requests.get(number) if number is not None else None
        if request is not None:
            request.queued -= 1
            if not request.open:
                request.withdraw()
            self._forget_if_over(request)

    def _forget_if_over(self, request: _Request) -> None:
        if not (request.open or request.out or request.queued):
            self._requests.pop(request.id, None)
            request.taken.body.discard()

    def on_request_arrived(self, taken: DownstreamRequest) -> None:
        """A caller's request is here, whole or with the rest of its body to come."""
        if self._closed:
            taken.body.discard()
            taken.send_response(503)
            return
        self._last += 1
        waited = (time.monotonic() - taken.arrived_at_s) * 1000 if taken.body.is_complete else 0.0
        left = taken.deadline_ms - waited
        request = _Request(self._last, taken, self.clock.now() + left - ANSWER_MS)
        taken.request_id = request.id
        self._requests[request.id] = request
        self._figures.taken()
        if taken.body.is_complete:
            self._spread_net(request, left)
        self._tell(
            interface.RequestArrived(
                request.id,
                taken.class_name,
                max(left - ANSWER_MS, 0.0),
                taken.tenant,
                taken.is_retry,
                taken.cost_hint_ms,
                taken.body.is_complete,
            ),
            request,
        )

    def _spread_net(self, request: _Request, left_ms: float) -> None:
        request.net = self._loop.call_later(max(left_ms - NET_MS, 0.0) / 1000, self._rescue, request.id)

    def on_request_completed(self, taken: DownstreamRequest) -> None:
        """The rest of its body is here: its time runs from now."""
        request = self._requests.get(taken.request_id)
        if request is not None and request.open:
            request.ends = self.clock.now() + taken.deadline_ms - ANSWER_MS
            if request.passed_on is None:
                self._spread_net(request, taken.deadline_ms)
            self._tell(interface.RequestCompleted(request.id), request)

    def on_request_failed(self, taken: DownstreamRequest, status: int) -> None:
        """The rest of its body will not come."""
        request = self._requests.get(taken.request_id)
        if request is not None and request.open:
            self._end(request, status)
            self._tell(interface.ClientDisconnected(request.id), request)

    def on_client_disconnected(self, taken: DownstreamRequest) -> None:
        """The caller has gone."""
        request = self._requests.get(taken.request_id)
        if request is not None and request.open:
            self._close(request, None)
            if request.passed_on is not None:
                request.passed_on.cancel()  # there is nobody to pass it on to
            self._tell(interface.ClientDisconnected(request.id), request)

    def on_shutdown_deadline(self) -> None:
        """The time after SIGTERM is up: answer all but those whose answer is going out, refuse the rest."""
        self._closed = True
        for number, request in list(self._requests.items()):
            if request.passed_on is None:
                self._rescue(number)

    def _rescue(self, number: int | None) -> None:
        """The safety net: whatever went wrong, the caller gets an answer that promises no too much."""
        request = self._requests.get(number) if number is not None else None
        if request is None or not request.open:
            return
        self._end(request, 502 if request.may_have_run() else 503)
        self._tell(interface.ClientDisconnected(request.id), request)  # it calls off what is out

    def _close(self, request: _Request, status: int | None) -> None:
        """The one place where a request ends: with its final answer, or None where its client has left."""
        request.open = False
        self._figures.ended(request.taken.class_name, status)
        if request.net is not None:
            request.net.cancel()

    def _end(self, request: _Request, status: int, headers: list[tuple[bytes, bytes]] | None = None) -> None:
        """Give the final answer, or break off the one that is being passed on."""
        self._close(request, status)
        if request.passed_on is None:
            request.taken.send_response(status, headers)
            return
        request.taken.abort_response()
        request.passed_on.cancel()

    def forwarded(self) -> None:
        """An attempt has been written whole."""
        self._figures.forwarded()

    def answer_started(
        self, request: _Request, index: int, attempt: Attempt, answer: UpstreamResponse
    ) -> DownstreamRequest | None:
        """A long answer has begun; the first one of a request is passed on, and nothing else from then on."""
        if not request.open or request.passed_on is not None:
            return None
        request.passed_on = attempt
        if request.net is not None:
            request.net.cancel()
        request.taken.start_response(attempt, end_to_end_headers(answer.headers), answer.length)
        request.taken.send_body_part(answer.body)
        self._tell(interface.ResponseStarted(request.id, index), request)
        return request.taken

    def attempt_ended(
        self, request: _Request, index: int, server: str, outcome: Outcome, answer: UpstreamResponse | None
    ) -> None:
        """An attempt is over. The first served answer goes out before anything else is done."""
        request.out -= 1
        request.ran = request.ran or outcome not in OUTCOMES_WITHOUT_EFFECT
        if self._config.registry is not None:
            self._discovery.witnesses.note(server, outcome, self._loop.time())
        if request.open and request.passed_on is not None and request.passed_on is request.attempts[index]:
            if outcome is Outcome.SERVED:
                self._close(request, 200)
                request.taken.end_response()
            else:
                self._end(request, 502)
        elif request.open and outcome is Outcome.SERVED and answer is not None and request.passed_on is None:
            self._close(request, 200)
            request.taken.send_response(200, end_to_end_headers(answer.headers), answer.body)
        gone, attempt = request.taken.body.is_discarded, request.attempts[index]
        took_ms = (
            None
            if attempt is None or attempt.connect_duration_s is None
            else attempt.connect_duration_s * 1000
        )
        self._tell(
            interface.AttemptEnded(
                request.id,
                index,
                server,
                outcome,
                not request.open,
                is_body_discarded=gone,
                connect_duration_ms=took_ms,
            ),
            request,
        )

    def probe_ended(self, server: str, outcome: Outcome) -> None:
        """A probe is over."""
        self._tell(interface.HealthCheckEnded(server, outcome))

    def _news(self, news: EndpointList) -> bool:
        """Take news of the list; whether it was believed."""
        self._asked.set()
        return self._listed(UpdateKind.FULL_SNAPSHOT if news.is_full_snapshot else UpdateKind.DELTA, news)

    def _listed(self, kind: UpdateKind, news: EndpointList) -> bool:
        update = self.balancer.validate(
            interface.EndpointListUpdate(kind, tuple([e.endpoint for e in news.endpoints]), news.is_rewound)
        )
        if update.suspected_stale or news.is_rewound:
            at = {e.endpoint.server: e.address for e in (*self._list.values(), *news.endpoints)}
            news = replace(
                news, endpoints=tuple([AddressedEndpoint(m, at[m.server]) for m in update.endpoints])
            )
        self.upstreams.update_endpoints(news)
        self._index = news.index
        if news.is_full_snapshot:
            self._list.clear()
        for endpoint in news.endpoints:
            self._list[endpoint.endpoint.server] = endpoint
            if endpoint.endpoint.readiness is Readiness.DEAD:
                del self._list[endpoint.endpoint.server]
            self._ids.pop(endpoint.endpoint.server, None)
            self._ids[endpoint.endpoint.server] = None
        while len(self._ids) > IDS_MAX:
            del self._ids[next(iter(self._ids))]
        self._tell(update)
        return not update.suspected_stale

    def _list_failed(self) -> None:
        self._asked.set()
        self._tell(self._discovery.failure())

    # ---- actions ------------------------------------------------------------------------------

    def _do(self, action: interface.Action) -> None:
        match action:
            case interface.SendAttempt():
                self._send(action)
            case interface.SetTimer(at, token):
                delay_s = max(at - self.clock.now(), 0.0) / 1000
                self._loop.call_later(delay_s, self._tell, interface.TimerExpired(token))
            case interface.Reject(number, after_ms):
                retry = [(b"Retry-After", b"%.3f" % (after_ms / 1000))] if after_ms > 0 else []
                self._answer(number, 503, retry)
            case interface.Fail(number):
                self._answer(number, 502, [])
            case interface.CancelAttempt(number, index):
                request = self._requests.get(number)
                attempt = request.attempts[index] if request else None
                if attempt is not None:
                    attempt.cancel()
            case interface.SendHealthCheck(server):
                self._probe(server)
            case interface.CloseIdleConnections(server):
                self.upstreams.close_idle(server)
            case interface.WatchEndpointList():
                self._discovery.subscribe()
            case interface.LogMessage(text):
                self.log.event("decision", text)
            case _:
                assert_never(action)

    def _answer(self, number: int, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        request = self._requests.get(number)
        if request is not None and request.open:
            self._end(request, status, headers)
            self._forget_if_over(request)  # its end may come with another's event, or with a timer

    def _send(self, action: interface.SendAttempt) -> None:
        request, server = self._requests[action.request_id], action.server
        index = len(request.attempts)
        request.out += 1
        attempt: Attempt | None = None
        outcome = Outcome.NOT_SENT  # for a send whose request is over, or whose body is
        if request.open and not request.taken.body.is_discarded and request.taken.is_client_connected():
            call = _Call(self, request, action, index)
            times = (
                call.timeout_ms / 1000,
                call,
                action.write_within_ms / 1000,
                action.connect_within_ms / 1000,
            )
            attempt = self.upstreams.start_attempt(server, *times)
            outcome = Outcome.CONNECT_FAILED  # for a server that no list names any more
        request.attempts.append(attempt)
        if attempt is None:
            self.attempt_ended(request, index, server, outcome, None)

    def _probe(self, server: str) -> None:
        if self.upstreams.start_attempt(server, PROBE_MS / 1000, _HealthCheck(self, server)) is None:
            self._tell(interface.HealthCheckEnded(server, Outcome.NOT_SENT))


def _no_room(zone: str, zones: dict[str, dict[str, float]]) -> str:
    """Why the calls that are out do not fit without a zone, in figures; empty if they do."""
    if not any(name != zone and one["share"] > 0 for name, one in zones.items()):
        return f"there is no other zone to go to: {', '.join(zones)}; `force` goes on"
    out = sum(one["out"] for one in zones.values())
    room = sum(one["room"] * one["share"] for name, one in zones.items() if name != zone)
    if out <= room:
        return ""
    return f"{out:.1f} calls are out on average, and there is room for {room:.1f} elsewhere; `force` goes on"
