"""Relays between processes: what is forwarded, and what each fault does to connections and datagrams."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from loadbalancer.drill.links.faults import LinkFault
from loadbalancer.drill.links.tcp import TcpLink
from loadbalancer.drill.links.udp import DatagramLink
from tests.loopback import run_scenario

HOST = "127.0.0.1"


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(65_536):
        writer.write(data)
    writer.close()


@asynccontextmanager
async def linked() -> AsyncIterator[TcpLink]:
    server = await asyncio.start_server(echo, HOST, 0)
    link = TcpLink("a>b", HOST, HOST, server.sockets[0].getsockname()[:2], random.Random(1))
    link.start()
    try:
        yield link
    finally:
        link.close()
        server.close()


async def echoed(link: TcpLink, data: bytes) -> bytes:
    """Return what comes back for some bytes on a new connection."""
    reader, writer = await asyncio.open_connection(*link.address)
    try:
        writer.write(data)
        return await reader.readexactly(len(data))
    finally:
        writer.close()


def test_bytes_and_ends_are_forwarded_in_both_directions() -> None:
    async def scenario() -> None:
        async with linked() as link:
            reader, writer = await asyncio.open_connection(*link.address)
            data = bytes(range(256)) * 8_000
            writer.write(data)
            writer.write_eof()
            assert await reader.read(-1) == data
            writer.close()

    run_scenario(scenario())


def test_delayed_bytes_stay_in_order_until_the_fault_is_cleared() -> None:
    async def scenario() -> None:
        async with linked() as link:
            link.set("slow", LinkFault(delay_ms=40, jitter_ms=40), "back")
            loop = asyncio.get_running_loop()
            began = loop.time()
            reader, writer = await asyncio.open_connection(*link.address)
            for number in range(10):
                writer.write(b"%d" % number)
                await asyncio.sleep(0)
            assert await reader.readexactly(10) == b"0123456789"
            assert loop.time() - began >= 0.04
            link.clear("slow")
            assert not list(link.directions["back"].faults)
            writer.close()

    run_scenario(scenario())


def test_cut_link_is_silent_for_open_and_new_connections_and_heals() -> None:
    async def scenario() -> None:
        async with linked() as link:
            reader, writer = await asyncio.open_connection(*link.address)
            writer.write(b"a")
            assert await reader.readexactly(1) == b"a"
            link.set("cut", LinkFault(cut=True), "there")
            writer.write(b"b")
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(1), 0.2)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(asyncio.open_connection(*link.address), 0.2)
            link.clear("cut")
            assert await reader.readexactly(1) == b"b"
            assert await echoed(link, b"again") == b"again"
            writer.close()

    run_scenario(scenario())


def test_caller_sees_a_refusal_a_reset_and_an_early_end_as_such() -> None:
    async def scenario() -> None:
        async with linked() as link:
            link.set("no", LinkFault(refuse=True))
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*link.address)
            link.clear("no")
            link.set("reset", LinkFault(reset_after=3), "back")
            with pytest.raises(ConnectionResetError):
                reader, writer = await asyncio.open_connection(*link.address)
                writer.write(b"abcdef")
                await reader.read(-1)
                raise AssertionError("an end in place of a reset")
            link.clear("reset")
            link.set("short", LinkFault(short_after=3), "back")
            reader, writer = await asyncio.open_connection(*link.address)
            writer.write(b"abcdef")
            assert await reader.read(-1) == b"abc"
            writer.close()

    run_scenario(scenario())


def test_connection_to_a_stopped_process_is_refused_and_to_a_removed_one_is_reported() -> None:
    async def scenario() -> None:
        async with linked() as link:
            calls: list[str] = []
            link._on_unexpected_call = calls.append
            link.update_target(is_up=False)
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*link.address)
            assert calls == []
            link.update_target(is_withdrawn=True)
            with pytest.raises(ConnectionResetError):
                reader, _ = await asyncio.open_connection(*link.address)
                await reader.read(-1)
            assert calls == ["a>b"]
            link.update_target(is_up=True, is_withdrawn=False)
            assert await echoed(link, b"back") == b"back"

    run_scenario(scenario())


def test_reset_reaches_the_other_end_but_not_through_a_cut() -> None:
    async def scenario() -> None:
        async with linked() as link:
            reader, _ = await asyncio.open_connection(*link.address)
            while not link._transports or len(link._transports) < 2:
                await asyncio.sleep(0.001)
            link.set("cut", LinkFault(cut=True))
            for transport in list(link._transports):
                if transport.get_extra_info("peername")[1] == link.target[1]:
                    transport.abort()
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.2)
            link.clear("cut")
            with pytest.raises(ConnectionResetError):
                await reader.read(1)

    run_scenario(scenario())


def test_datagrams_are_lost_doubled_and_disordered_by_faults() -> None:
    async def scenario() -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((HOST, 0))
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        link = DatagramLink("a>b", sock.getsockname(), random.Random(3))
        await link.start(HOST)
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

        async def exchange(fault: LinkFault, count: int) -> list[int]:
            link.direction.set("f", fault)
            passed, lost = link.forwarded_count, link.lost_count
            for number in range(count):
                sender.sendto(b"%d" % number, link.address)
                while link.forwarded_count + link.lost_count == passed + lost and fault == LinkFault():
                    await asyncio.sleep(0)
            while link.forwarded_count - passed < (count - (link.lost_count - lost)) * (
                2 if fault.doubled else 1
            ):
                await asyncio.sleep(0.001)
            got = link.forwarded_count - passed
            return [int(await loop.sock_recv(sock, 256)) for _ in range(got)]

        assert await exchange(LinkFault(), 3) == [0, 1, 2]
        assert sorted(await exchange(LinkFault(doubled=1.0), 2)) == [0, 0, 1, 1]
        mixed = await exchange(LinkFault(disorder=1.0), 20)
        assert sorted(mixed) == list(range(20)) and mixed != sorted(mixed)
        link.direction.set("f", LinkFault(loss=1.0))
        before = link.lost_count
        sender.sendto(b"x", link.address)
        while link.lost_count == before:
            await asyncio.sleep(0.001)
        link.close()
        sender.close()
        sock.close()

    run_scenario(scenario())
