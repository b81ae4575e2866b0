"""System calls that fail in the ways that Linux documents: no request is lost, and nothing spins."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any

import pytest

from loadbalancer.net.upstream_connection import UpstreamConnection
from loadbalancer.net.upstream_pool import ConnectionPool
from tests.loopback import ProxyHarness, Upstream, run_scenario, status_of, unreleased_resources, wait_until

OF_ONE_CONNECTION = [errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENETUNREACH, errno.ETIMEDOUT]
LASTING = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM, errno.EINVAL]
OF_CONNECT = [
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ENOBUFS,
    errno.ETIMEDOUT,
    errno.EINTR,
    errno.ENFILE,
]
FAILURES = 5


class FailingListener:
    """A listening socket whose next accepts fail."""

    def __init__(self, listening: socket.socket, number: int, failures: int) -> None:
        self._listening = listening
        self._number = number
        self.failures = failures
        self.calls = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listening, name)

    def accept(self) -> Any:
        self.calls += 1
        if self.failures:
            self.failures -= 1
            raise OSError(self._number, os.strerror(self._number))
        return self._listening.accept()


@pytest.mark.parametrize("number", OF_ONE_CONNECTION + LASTING)
def test_clients_are_accepted_after_accepts_that_failed(number: int) -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            listener = harness.proxy.downstream
            failing = FailingListener(listener.listening_socket, number, FAILURES)
            listener.listening_socket = failing  # type: ignore[assignment]
            assert status_of(await harness.request()) == 200
            assert not failing.failures

    run_scenario(scenario())


@pytest.mark.parametrize("number", OF_ONE_CONNECTION + LASTING)
def test_accepts_that_fail_for_long_do_not_occupy_the_loop(number: int) -> None:
    """Guards against a turn of the loop that never ends."""

    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            kept = await harness.connect()
            kept.send_request()
            assert status_of(await kept.read_response()) == 200
            listener = harness.proxy.downstream
            failing = FailingListener(listener.listening_socket, number, 1_000_000_000)
            listener.listening_socket = failing  # type: ignore[assignment]
            waiting = await harness.connect()
            await wait_until(lambda: failing.calls > 0)
            kept.send_request()
            assert status_of(await kept.read_response()) == 200
            failing.failures = 0
            waiting.send_request()
            assert status_of(await waiting.read_response()) == 200

    run_scenario(scenario())


@pytest.mark.parametrize("number", OF_CONNECT)
def test_a_request_whose_connect_fails_goes_to_another_server_or_is_rejected(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        connect = ConnectionPool.connect
        is_broken = {"s0"}

        async def connect_or_fail(pool: ConnectionPool, connection: UpstreamConnection) -> None:
            if pool.server in is_broken:
                connection.close()
                raise OSError(number, os.strerror(number))
            await connect(pool, connection)

        monkeypatch.setattr(ConnectionPool, "connect", connect_or_fail)
        async with ProxyHarness(Upstream(), Upstream()) as harness:
            for _ in range(10):
                assert status_of(await harness.request("/pay/x", b"debit")) == 200
            is_broken.add("s1")
            for server in ("s0", "s1"):
                harness.proxy.upstreams.close_idle(server)
            assert status_of(await harness.request("/pay/x", b"debit")) == 503
            is_broken.clear()
            assert status_of(await harness.request("/pay/x", b"debit")) == 200
            await wait_until(lambda: not unreleased_resources(harness.proxy))

    run_scenario(scenario())


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM, errno.EINVAL])
def test_a_connection_without_its_socket_option_serves_all_the_same(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        def fail(*_: object) -> None:
            raise OSError(number, os.strerror(number))

        async with ProxyHarness(Upstream()) as harness:
            client = await harness.connect()
            monkeypatch.setattr(socket.socket, "setsockopt", fail)
            try:
                client.send_request()
                assert status_of(await client.read_response()) == 200
            finally:
                monkeypatch.undo()
            await asyncio.sleep(0)

    run_scenario(scenario())
