"""Memory of the program while hundreds of clients hold what it has to keep for them.

The process has the least memory and the most descriptors that a balancer may be given, and a quarter of a
core. Everything that a client can leave half done counts: heads, bodies, requests behind others, responses.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.loopback import HttpMessage
from tests.real_processes import (
    LEAST_MEMORY_MB,
    MOST_SOCKETS,
    RunningProgram,
    run_play,
    running_balancer,
)

CLIENTS = MOST_SOCKETS // 3  # what clients may hold for their requests
HOLD_S = 4.0
SOUND_CLIENTS = 20
DEADLINE_S = 2.0
FIELDS = b"X: y\r\n"
HEAD = b"POST /read/x HTTP/1.1\r\nHost: h\r\nX-Class: read\r\nX-Request-Id: %d\r\nX-Deadline: 3000m\r\n"
ONE_CHUNK = b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"  # up to the trailers
LONG_TRAILER_BYTES = 1_000_000
LONG_RESPONSE_BYTES = 60_000

Writer = asyncio.StreamWriter
Client = Callable[[Writer, int], Awaitable[None]]


async def write_slowly(writer: Writer, data: bytes) -> None:
    """Write no faster than the balancer reads."""
    for start in range(0, len(data), 65_536):
        writer.write(data[start : start + 65_536])
        await writer.drain()


async def many_fields_unfinished(writer: Writer, number: int) -> None:
    """Send a head of very many short fields without its end."""
    writer.write(HEAD % number + FIELDS * 1_700)


async def many_fields(writer: Writer, number: int) -> None:
    """Send a complete request with very many short fields."""
    writer.write(HEAD % number + FIELDS * 1_700 + b"\r\n")


async def slow_fields(writer: Writer, number: int) -> None:
    """Send a head field by field."""
    writer.write(HEAD % number)
    for _ in range(40):
        writer.write(FIELDS * 40)
        await asyncio.sleep(0.05)


async def long_field_unfinished(writer: Writer, number: int) -> None:
    """Send most of a head with one long value."""
    writer.write(HEAD % number + b"X-Long: " + b"y" * 62_000)


async def long_fields_unfinished(writer: Writer, number: int) -> None:
    """Send a head of twenty long values without its end."""
    writer.write(HEAD % number + b"".join(b"X-%d: %b\r\n" % (i, b"y" * 3_000) for i in range(20)))


async def long_field(writer: Writer, number: int) -> None:
    """Send a complete request with one long value."""
    writer.write(HEAD % number + b"X-Long: " + b"y" * 62_000 + b"\r\n\r\n")


async def long_target_unfinished(writer: Writer, number: int) -> None:
    """Send most of a request line."""
    writer.write(b"GET /read/%d" % number + b"y" * 62_000)


async def long_id(writer: Writer, number: int) -> None:
    """Send a complete request with a long ID."""
    writer.write(HEAD.replace(b"%d", b"%b") % (b"%d" % number * 20_000) + b"\r\n")


async def long_heads(writer: Writer, number: int) -> None:
    """Send many requests with a long value each at once."""
    writer.write((HEAD % number + b"X-Long: " + b"y" * 30_000 + b"\r\n\r\n") * 20)


async def endless_trailers(writer: Writer, number: int) -> None:
    """Send trailers of a chunked body without their end."""
    writer.write(HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + FIELDS * 20_000)


async def endless_extension(writer: Writer, number: int) -> None:
    """Send the extension of a chunk without its end."""
    writer.write(HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"e" * 200_000)


async def long_trailer(writer: Writer, number: int) -> None:
    """Send one long value in the trailers of a chunked body without its end."""
    await write_slowly(writer, HEAD % number + ONE_CHUNK + b"X: " + b"y" * LONG_TRAILER_BYTES)


async def long_trailer_name(writer: Writer, number: int) -> None:
    """Send one long name in the trailers of a chunked body without its end."""
    await write_slowly(writer, HEAD % number + ONE_CHUNK + b"y" * LONG_TRAILER_BYTES)


async def long_tenants(writer: Writer, number: int) -> None:
    """Send many requests with a long tenant each at once."""
    request = HEAD % number + b"X-Tenant: " + b"t" * 60_000 + b"\r\n\r\n"
    await write_slowly(writer, request * 20)


async def nothing(writer: Writer, number: int) -> None:
    """Send nothing."""


async def half_a_body(writer: Writer, number: int) -> None:
    """Stop half way through a body that would be buffered."""
    writer.write(HEAD % number + b"Content-Length: 60000\r\n\r\n" + bytes(30_000))


async def half_a_long_body(writer: Writer, number: int) -> None:
    """Stop half way through a body that is streamed."""
    writer.write(HEAD % number + b"Content-Length: 3000000\r\n\r\n" + bytes(1_500_000))


async def tiny_chunks(writer: Writer, number: int) -> None:
    """Stop half way through a body of two-byte chunks."""
    writer.write(HEAD % number + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 15_000)


async def many_requests(writer: Writer, number: int) -> None:
    """Send many requests at once, and read no answer."""
    writer.write(((HEAD % number).replace(b"POST", b"GET") + b"\r\n") * 1_000)


async def unread_responses(writer: Writer, number: int) -> None:
    """Ask for long answers, and read none."""
    transport = writer.transport
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(((HEAD % number).replace(b"POST /read/x", b"GET /read/long") + b"\r\n") * 3)


async def respond(request: HttpMessage, writer: Writer) -> None:
    """Answer with as much as the path asks for."""
    body = bytes(LONG_RESPONSE_BYTES if "/read/long" in request.start_line else 2)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def hold(program: RunningProgram, client: Client, number: int, writers: list[Writer]) -> None:
    """Let a client do what it does; whether it is cut off does not matter here."""
    try:
        _, writer = await program.connect()
        writers.append(writer)
        await client(writer, number)
    except OSError:
        pass


@pytest.mark.parametrize(
    "client",
    [
        many_fields_unfinished,
        many_fields,
        slow_fields,
        long_field_unfinished,
        long_fields_unfinished,
        long_field,
        long_target_unfinished,
        long_id,
        long_heads,
        endless_trailers,
        endless_extension,
        long_trailer,
        long_trailer_name,
        long_tenants,
        nothing,
        half_a_body,
        half_a_long_body,
        tiny_chunks,
        many_requests,
        unread_responses,
    ],
)
def test_hundreds_of_unfinished_clients_stay_within_the_least_memory(client: Client, tmp_path: Path) -> None:
    """Guards against a kill for memory while hundreds of slow clients are connected."""

    async def scenario() -> None:
        async with running_balancer(tmp_path, respond) as program:
            writers: list[Writer] = []
            held = [asyncio.create_task(hold(program, client, n, writers)) for n in range(CLIENTS)]
            await asyncio.sleep(HOLD_S / 4)
            served = await program.sound_clients(SOUND_CLIENTS, HOLD_S / 2 / SOUND_CLIENTS, DEADLINE_S)
            await asyncio.sleep(HOLD_S / 4)
            for task in held:
                task.cancel()
            for writer in writers:
                writer.transport.abort()
            peak_mb = program.peak_resident_mb()
        assert peak_mb < LEAST_MEMORY_MB
        assert [s for s in served if s.status == 0] == []

    run_play(scenario())


UNFINISHED_RESPONSES = {
    "head": b"HTTP/1.1 200 OK\r\nX: " + b"y" * 62_000,
    "fields": b"HTTP/1.1 200 OK\r\n" + FIELDS * 1_700,
    "trailer": b"HTTP/1.1 200 OK\r\n" + ONE_CHUNK + b"X: " + b"y" * LONG_TRAILER_BYTES,
    "body": b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\nX: " + b"y" * 60_000 + b"\r\n\r\n" + bytes(64_000),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: "
    + b"y" * 60_000
    + b"\r\n\r\n"
    + b"1\r\na\r\n" * 10_000,
}


async def ask_for_unfinished_response(writer: Writer, number: int) -> None:
    """Ask for a response that does not end."""
    writer.write((HEAD % number).replace(b"POST /read/x", b"GET /read/unfinished") + b"\r\n")


@pytest.mark.parametrize("part", UNFINISHED_RESPONSES)
def test_hundreds_of_unfinished_responses_stay_within_the_least_memory(part: str, tmp_path: Path) -> None:
    """Guards against a kill for memory by long heads, trailers and bodies of responses that do not end."""

    async def script(request: HttpMessage, writer: Writer) -> None:
        if "/read/unfinished" in request.start_line:
            await write_slowly(writer, UNFINISHED_RESPONSES[part])
        else:
            await respond(request, writer)

    async def scenario() -> None:
        async with running_balancer(tmp_path, script, upstream_count=40, tier=1) as program:
            writers: list[Writer] = []
            client = ask_for_unfinished_response
            held = [asyncio.create_task(hold(program, client, n, writers)) for n in range(CLIENTS)]
            await asyncio.sleep(HOLD_S / 4)
            served = await program.sound_clients(SOUND_CLIENTS, HOLD_S / 2 / SOUND_CLIENTS, DEADLINE_S)
            for task in held:
                task.cancel()
            for writer in writers:
                writer.transport.abort()
            peak_mb = program.peak_resident_mb()
        assert peak_mb < LEAST_MEMORY_MB
        assert [s for s in served if s.status == 0] == []

    run_play(scenario())


async def respond_with_many_fields(_: HttpMessage, writer: Writer) -> None:
    """Answer with a head of very many short fields, and with a body that comes late."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n" + FIELDS * 1_700 + b"\r\n"
    writer.write(head + bytes(1_000))
    await asyncio.sleep(1.0)
    writer.write(bytes(49_000))


def test_hundreds_of_slow_responses_stay_within_the_least_memory(tmp_path: Path) -> None:
    """Guards against a kill for memory by what upstreams send: heads of many fields, and halves of bodies."""

    async def scenario() -> None:
        async with running_balancer(tmp_path, respond_with_many_fields, upstream_count=40, tier=1) as program:
            served = await program.sound_clients(CLIENTS, HOLD_S / 2 / CLIENTS, 2 * DEADLINE_S)
            peak_mb = program.peak_resident_mb()
        assert peak_mb < LEAST_MEMORY_MB
        assert [s for s in served if s.status == 0] == []

    run_play(scenario())
