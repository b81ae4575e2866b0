"""The proxy when the decision module raises, decides nothing or rejects a request late."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer import interface
from tests.loopback import (
    HttpMessage,
    ProxyHarness,
    Upstream,
    endpoint_entry,
    http_response,
    run_scenario,
    status_of,
)


def test_exception_in_the_decision_module_fails_only_its_request(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with ProxyHarness(upstream) as harness:
            handle = harness.proxy.balancer.handle

            def faulty(event: interface.Event, now: float) -> list[interface.Action]:
                if isinstance(event, interface.RequestArrived) and event.request_id == 1:
                    raise RuntimeError("a fault of the module")
                return handle(event, now)

            harness.proxy.balancer.handle = faulty  # type: ignore[method-assign]
            assert status_of(await harness.request()) == 503
            assert status_of(await harness.request()) == 200

    run_scenario(scenario())
    assert "a fault of the module" in capsys.readouterr().err


def test_request_without_a_decision_is_answered_before_its_deadline() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            harness.proxy.balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status_of(await harness.request(deadline="200m")) == 503
            assert 0.1 < loop.time() - began < 0.25

    run_scenario(scenario())


def test_requests_rejected_by_timer_or_for_another_leave_no_state() -> None:
    """Guards against a leak of 50 MB in half an hour: requests rejected while queued were never removed."""

    async def scenario() -> None:
        gate = asyncio.Event()

        async def gated(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(http_response())

        upstream = Upstream(gated)
        async with ProxyHarness(upstream) as harness:
            address = harness.entries[0]["address"]
            await harness.discovery.request_lines.get()
            harness.discovery.publish(8, endpoint_entry("s0", address, weight=0.4), snapshot=True)
            while harness.proxy.balancer._endpoints.ready.total_capacity != 0.4:
                await asyncio.sleep(0)
            clients = [await harness.connect() for _ in range(4)]
            for client in clients:
                client.send_request()
            responses = [status_of(await client.read_response()) for client in clients[1:]]
            assert responses == [503, 503, 503], (
                "one is in flight, one is rejected from the queue, two find it full"
            )
            assert len(harness.proxy.requests.by_id) == 1
            gate.set()
            assert status_of(await clients[0].read_response()) == 200
            assert not harness.proxy.requests.by_id

    run_scenario(scenario())
