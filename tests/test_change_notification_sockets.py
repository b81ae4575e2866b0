"""Over sockets: a change is known in time after failures, and late answers are taken."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

import pytest

from loadbalancer.endpoint_watch import FULL_SNAPSHOT, Address
from loadbalancer.endpoint_watch.time_budget import (
    CHANGE_DEADLINE_S,
    SCHEDULING_SLACK_S,
    retry_interval_s,
)
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.discovery import connection
from loadbalancer.net.proxy import Proxy
from tests.list_service_faults import (
    CHANGED_INDEX,
    FAILURE_MODES,
    HERE,
    INITIAL_INDEX,
    FailingListService,
    list_body,
    run_within,
    wait_until,
)
from tests.loopback import config_text, http_response
from tests.test_upstream_attempts import full_backlog

MAX_PLAY_S = 40.0
CONTRACT = {"drainGrace": 300.0, "askWithin": 30_000.0}


async def notification_delay_s(mode: str, list_mode: str, instance_count: int) -> float:
    """Return the seconds from a recovery just after a failed call until the change is known."""
    services = [FailingListService(mode) for _ in range(max(instance_count, 1))]
    addresses = [await service.start() for service in services]
    text = config_text(
        addresses[0],
        [HERE],
        discovery=list_mode,
        balancers=18_000,
        lists={"others": addresses[1:]} if instance_count else None,
        contract=CONTRACT,
    )
    proxy = Proxy(read_config(text, lambda note: None), asyncio.get_running_loop())
    watch = proxy.endpoint_list.discovery._watch
    watch.index = FULL_SNAPSHOT  # the first call does not wait, whatever is known
    is_refused = asyncio.Event()
    record_failure = watch.record_failure

    def note_failure(duration_s: float, **more: Any) -> float | None:
        is_refused.set()
        return record_failure(duration_s, **more)

    watch.record_failure = note_failure  # type: ignore[method-assign, assignment]
    proxy.start()
    failures = [is_refused] if mode == "refused" else [service.call_has_failed for service in services]
    for _ in range(2):  # the second failure in a row is past what is done at once
        for failure in failures:
            await failure.wait()
            failure.clear()
    recovered_s = time.monotonic()
    for service in services:
        await service.recover()
    await wait_until(lambda: proxy.endpoint_list.revision == CHANGED_INDEX)
    delay_s = time.monotonic() - recovered_s
    proxy.endpoint_list.discovery.close()
    for service in services:
        service.close()
    return delay_s


def test_over_sockets_a_change_is_known_within_six_seconds_of_a_recovery() -> None:
    """All side by side, for each takes some seconds: every failure mode, polled, pushed and one's own."""

    async def scenario() -> None:
        kinds = [("ask", 0), ("push", 0), ("ask", 1), ("ask", 2), ("ask", 3)]
        plays = [(mode, *kind) for mode in FAILURE_MODES if mode != "no dial" for kind in kinds]
        delays_s = await asyncio.gather(*[notification_delay_s(*play) for play in plays])
        late = {
            play: round(delay_s, 1)
            for play, delay_s in zip(plays, delays_s, strict=True)
            if delay_s >= CHANGE_DEADLINE_S
        }
        assert not late

    run_within(scenario(), MAX_PLAY_S)


def test_over_sockets_a_connection_that_does_not_come_up_costs_no_more_than_its_interval() -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            address = await stack.enter_async_context(full_backlog())
            text = config_text(address, [HERE], balancers=18_000, contract=CONTRACT)
            connect_times_s: list[float] = []
            connect = connection.connect

            async def counted(to: Address) -> connection.Connection:
                connect_times_s.append(time.monotonic())
                return await connect(to)

            stack.enter_context(pytest.MonkeyPatch.context()).setattr(connection, "connect", counted)
            proxy = Proxy(read_config(text, lambda note: None), asyncio.get_running_loop())
            proxy.start()
            await wait_until(lambda: len(connect_times_s) == 2)
            first_s, second_s = connect_times_s
            assert second_s - first_s < retry_interval_s(1, is_self_hosted=False) + SCHEDULING_SLACK_S

    run_within(scenario(), MAX_PLAY_S)


# ---- late answers -------------------------------------------------------------------------------


class SlowListService(FailingListService):
    """Answers each call when the test does so."""

    def __init__(self) -> None:
        super().__init__("slow")
        self.calls: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    def _fail(self, writer: asyncio.StreamWriter) -> None:
        self.calls.put_nowait(writer)


def run_with_late_call(
    check: Callable[[Proxy, asyncio.StreamWriter, SlowListService], Coroutine[Any, Any, None]],
) -> None:
    """Run a check while one call has timed out and the next one is in flight; neither has an answer yet."""

    async def scenario() -> None:
        service = SlowListService()
        config = read_config(config_text(await service.start(), [HERE]), lambda note: None)
        proxy = Proxy(config, asyncio.get_running_loop())
        watch = proxy.endpoint_list.discovery._watch
        watch._backoff.call_timeout_s = 0.05
        watch.index = FULL_SNAPSHOT
        proxy.start()
        timed_out = await service.calls.get()
        watch._backoff.call_timeout_s = 60.0
        await service.calls.get()
        await check(proxy, timed_out, service)
        service.close()

    run_within(scenario(), MAX_PLAY_S)


def test_the_answer_to_a_call_that_timed_out_is_taken_while_the_next_one_is_in_flight() -> None:
    """Over a slow link each call was given up just before its answer came, and what is sent counts."""

    async def check(proxy: Proxy, timed_out: asyncio.StreamWriter, service: SlowListService) -> None:
        timed_out.write(http_response(200, list_body(INITIAL_INDEX + 2)))
        await wait_until(lambda: proxy.endpoint_list.revision == INITIAL_INDEX + 2)
        assert proxy.endpoint_list.discovery._watch.index == FULL_SNAPSHOT, "the watch stays where it was"

    run_with_late_call(check)


def test_after_a_newer_answer_no_late_one_is_taken() -> None:
    async def check(proxy: Proxy, timed_out: asyncio.StreamWriter, service: SlowListService) -> None:
        service.writers[1].write(http_response(200, list_body(INITIAL_INDEX + 3)))
        await wait_until(lambda: proxy.endpoint_list.revision == INITIAL_INDEX + 3)
        assert not proxy.endpoint_list.discovery._late_answer.is_pending
        await wait_until(timed_out.transport.is_closing)
        assert proxy.endpoint_list.revision == INITIAL_INDEX + 3

    run_with_late_call(check)
