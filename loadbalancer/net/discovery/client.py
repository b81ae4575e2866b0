"""The client that keeps the endpoint list fresh: runs the watch, and hands on updates and failures."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace

from loadbalancer.endpoint_watch import (
    FULL_SNAPSHOT,
    ContradictionDetector,
    ListRequest,
    RateLimitedError,
    Watch,
)
from loadbalancer.interface import EndpointListUpdate, UpdateKind
from loadbalancer.net.address import Address
from loadbalancer.net.config import Config, EndpointList, RegistryConfig
from loadbalancer.net.discovery.call import (
    ListCaller,
    RequestRejectedError,
    ResponseTimeoutError,
    read_answer,
)
from loadbalancer.net.discovery.cross_check import CrossChecker
from loadbalancer.net.discovery.late_answer import LateAnswer
from loadbalancer.net.discovery.list_content import ListContent
from loadbalancer.net.discovery.status import ListStatus, age_ms
from loadbalancer.net.interest_subscription import InterestSubscription
from loadbalancer.net.upstream_response import UpstreamResponse

PUSH_RETRY_PAUSE_S = 0.5  # before the agent on this machine is called again, where lists are pushed


class DiscoveryClient:
    """Watches the list from `subscribe` on until it has failed: the host of `loadbalancer.endpoint_watch`."""

    def __init__(
        self,
        config: Config,
        on_update: Callable[[EndpointList], bool],
        on_failure: Callable[[], None],
        needs_full_snapshot: bool = False,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        """`on_update` returns whether it trusts a list; one that it does not is requested again, in full.

        `needs_full_snapshot` requests the full list first, which is answered at once, whatever is at hand.
        `log` takes a line where a service does not support the request.
        """
        self._on_update = on_update
        self._on_failure = on_failure
        self.on_request_failed: Callable[[ListRequest, float, Exception], None] = lambda *_: None
        """Takes each request that failed, its time with connecting in seconds, and why."""
        self._is_polled = config.settings.polls_endpoint_list
        self._registry = config.registry
        self._address = config.discovery
        self._interest = InterestSubscription(config, needs_full_snapshot, log)
        has_list = (
            bool(config.initial_list.endpoints)
            and not needs_full_snapshot
            and not self._interest.names_services
        )
        self._watch = _create_watch(config, config.initial_list.index if has_list else FULL_SNAPSHOT)
        self._caller = ListCaller(self._interest)
        self._late_answer = LateAnswer(self._handle_late_answer)
        self._content = ListContent()
        self.contradictions = ContradictionDetector()
        self._cross_checker = CrossChecker(
            self._watch, self._interest, self._content, self.contradictions, self._restart
        )
        self._watch_task: asyncio.Task[None] | None = None
        self._has_reopened = False  # a broken watch, since the last answer
        self._has_begun = False
        self._answered_at_s = -math.inf

    @property
    def index(self) -> int:
        """The version of the list at hand; -1 for none."""
        return self._watch.index

    def start(self) -> None:
        """Listen from the start where lists are pushed: nobody subscribes there."""
        if not self._is_polled:
            self.subscribe()

    def subscribe(self) -> None:
        """Begin the watch; a second subscription while one stands changes nothing."""
        if self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.get_running_loop().create_task(self._run())
        if self._registry is not None:
            self._cross_checker.start()

    def close(self) -> None:
        """End the watch and its connections for good."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._cross_checker.close()
        self._caller.close()
        self._late_answer.drop()

    def reconfigure(self, address: Address, registry: RegistryConfig | None = None) -> None:
        """Watch another address, or request other services; a call in flight is abandoned.

        What is held goes out with what is requested now, and the answer says outright what has left it;
        elsewhere, and of a service that does not know interests, the full list is requested.
        """
        is_other_address = address != self._address
        if not self._interest.change_interest(registry) and not is_other_address:
            return
        self._address = address
        if is_other_address or not self._interest.supports_interests:
            self._watch.set_addresses(_instance_addresses(address, self._registry))
        self._restart()

    def failure_update(self) -> EndpointListUpdate:
        """Return a failure of the list as the decision module takes it, with the time for the next call."""
        return EndpointListUpdate(UpdateKind.FAILED, retry_within_ms=self._watch.retry_within_s * 1_000)

    def status(self) -> ListStatus:
        """Return where the list is from and how old it is."""
        now = asyncio.get_running_loop().time()
        return ListStatus(
            address=self._watch.instances.address,
            index=self._watch.index,
            response_age_ms=age_ms(now, self._answered_at_s),
            change_age_ms=age_ms(now, self._content.changed_at_s),
            switch_count=self._watch.instances.switch_count,
            rewind_count=self._watch.rewind_count,
            stale_instance_count=self._watch.stale_instance_count,
            contradicting_servers=self.contradictions.silent_servers(now),
        )

    # ---- the watch ------------------------------------------------------------------------------

    def _restart(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._caller.close()
        self._late_answer.drop()
        self._watch_task = None
        self.subscribe()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        await self._wait_for_first_request()
        while True:
            began = loop.time()
            request = self._watch.next_request(began)
            try:
                update = await self._call(request)
            except RateLimitedError as error:
                self._interest.record_rate_limit(error)
                await asyncio.sleep(error.retry_after_s)
            except Exception as error:
                # Guards against a watch that ends unseen: whatever was wrong with a call, it has failed.
                pause_s = self._handle_failure(request, began, error)
                if pause_s is None:
                    return
                await asyncio.sleep(pause_s)
            else:
                self._handle_update(update)

    async def _wait_for_first_request(self) -> None:
        """Spread the first requests of balancers that start together, where all call one service."""
        if self._has_begun:
            return
        self._has_begun = True
        if self._is_polled:
            await asyncio.sleep(self._watch.first_request_delay_s())

    async def _call(self, request: ListRequest) -> EndpointList:
        answer = await self._caller.call(request)
        update = answer.update
        now = asyncio.get_running_loop().time()
        if self._watch.record_answer(update.index, now):
            update = replace(update, is_rewound=True)
        self._interest.record_answer(answer.view)
        self._record_content(update, now)
        return update

    def _handle_update(self, update: EndpointList) -> None:
        loop = asyncio.get_running_loop()
        self._has_reopened = False
        self._late_answer.drop()
        if not self._on_update(update):
            self._watch.schedule_full_snapshot(loop.time())
        elif self._watch.return_to_preferred_instance(loop.time()):
            self._caller.close()

    def _handle_late_answer(self, request: ListRequest, response: UpstreamResponse) -> None:
        """Hand on a late answer, but leave the watch where it is: the next answer says the same, and more."""
        update = read_answer(response, self._interest).update
        if self._watch.is_current(request, update.index):
            self._record_content(update, asyncio.get_running_loop().time())
            self._on_update(update)

    def _handle_failure(self, request: ListRequest, began: float, error: Exception) -> float | None:
        """Return the seconds until the next call; None if the watch has ended, and others subscribe again."""
        if isinstance(error, ResponseTimeoutError) and self._interest.accepts_late_answer(request):
            connection = self._caller.detach()
            if connection is not None:
                self._late_answer.wait_for(connection, request)
        self._interest.record_failure(request.address, began, error)
        self._caller.close()
        duration_s = asyncio.get_running_loop().time() - began
        self.on_request_failed(request, duration_s, error)
        pause_s = self._watch.record_failure(
            duration_s,
            response_timed_out=isinstance(error, ResponseTimeoutError),
            rejected=isinstance(error, RequestRejectedError | ConnectionResetError),
        )
        return self._handle_list_failure(request, error) if pause_s is None else pause_s

    def _handle_list_failure(self, request: ListRequest, error: Exception) -> float | None:
        """Return the seconds until the next call after the list has failed; None if others decide that.

        A watch that breaks is reopened at once, for what it misses counts as delivered; but not twice with no
        answer between. Where lists are polled that is so only for one that timed out: after a reset all
        balancers would call together, while the waits of watches end one by one.
        """
        is_broken_watch = request.after_index >= 0 and (
            not self._is_polled or isinstance(error, ResponseTimeoutError)
        )
        reopens_at_once = is_broken_watch and not self._has_reopened
        self._has_reopened = True
        if not self._is_polled:
            return 0.0 if reopens_at_once else min(PUSH_RETRY_PAUSE_S, self._watch.retry_within_s)
        if not reopens_at_once:
            self._watch_task = None  # the decision module subscribes again when it is time
        self._on_failure()
        return 0.0 if reopens_at_once else None

    def _record_content(self, update: EndpointList, now: float) -> None:
        """Note an answer, and what the list holds where it can be compared with another instance's."""
        self._answered_at_s = now
        if self._registry is None:
            return
        self._content.apply(update, now)
        for entry in update.endpoints:
            self.contradictions.forget_server(entry.endpoint.server)


def _create_watch(config: Config, index: int) -> Watch:
    return Watch(
        _instance_addresses(config.discovery, config.registry),
        balancer_index=config.settings.balancer_index,
        balancer_count=config.settings.balancer_count,
        drain_grace_ms=config.drain_grace_ms,
        is_self_hosted=config.registry is not None,
        seed=config.seed,
        index=index,
    )


def _instance_addresses(first: Address, registry: RegistryConfig | None) -> tuple[Address, ...]:
    others = registry.other_instances if registry else ()
    return (first, *(other for other in others if other != first))
