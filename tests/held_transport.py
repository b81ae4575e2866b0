"""Upstream connections that take only some bytes of a request, whatever the kernel would buffer."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from loadbalancer.net.upstream_connection import UpstreamConnection


class HeldTransport:
    """A transport that takes `allowed` bytes, then pauses its protocol until it may take more."""

    def __init__(self, transport: asyncio.Transport, protocol: UpstreamConnection, allowed: int) -> None:
        self._transport = transport
        self._protocol = protocol
        self._held = b""
        self.allowed = allowed

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        was_held = bool(self._held)
        self._held += data
        self._pass_on()
        if self._held and not was_held:
            self._protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        return len(self._held) + self._transport.get_write_buffer_size()

    def _pass_on(self) -> None:
        passed, self._held = self._held[: self.allowed], self._held[self.allowed :]
        self.allowed -= len(passed)
        if passed and not self._transport.is_closing():
            self._transport.write(passed)

    def release(self) -> None:
        """Take what is held back now, and nothing after it."""
        self.allow(len(self._held))

    def allow(self, count: int) -> None:
        """Take so many more bytes."""
        self.allowed += count
        was_held = bool(self._held)
        self._pass_on()
        if was_held and not self._held:
            self._protocol.resume_writing()


class HeldTransports:
    """The transports of all upstream connections from now on: each takes the first `allowed` bytes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, allowed: int) -> None:
        self.opened: list[HeldTransport] = []
        connection_made = UpstreamConnection.connection_made

        def made(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
            connection_made(connection, transport)
            held = HeldTransport(cast(asyncio.Transport, transport), connection, allowed)
            connection._transport = cast(asyncio.Transport, held)
            self.opened.append(held)

        monkeypatch.setattr(UpstreamConnection, "connection_made", made)

    def hold_bytes(self) -> bool:
        """Return whether any connection holds bytes back."""
        return any(transport.get_write_buffer_size() for transport in self.opened)

    def release(self) -> None:
        """Let each connection take what it holds back now, and nothing after it."""
        for transport in self.opened:
            transport.release()

    def allow(self, count: int) -> None:
        """Let each connection take so many more bytes."""
        for transport in self.opened:
            transport.allow(count)
