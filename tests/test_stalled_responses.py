"""Responses that begin and do not go on: each request has its end within half a second of its time."""

from __future__ import annotations

import asyncio

import pytest

from tests.loopback import HttpMessage, ProxyHarness, Upstream, run_scenario


async def stalled_chunk(_: HttpMessage, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")


def test_a_response_that_breaks_off_is_logged_with_what_has_come_of_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a log that can't tell a silent server from a slow client or a slow server."""

    async def scenario() -> None:
        upstream = Upstream(stalled_chunk)
        async with ProxyHarness(upstream) as harness:
            client = await harness.connect()
            client.send_request()
            await client.reader.readuntil(b"part\r\n")
            upstream.writers[0].transport.abort()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await client.reader.readexactly(1)

    run_scenario(scenario())
    (line,) = [line for line in capsys.readouterr().err.splitlines() if "not finished by its server" in line]
    fields = dict(word.split("=") for word in line.split() if "=" in word)
    assert (fields["server"], fields["received_bytes"], fields["expected_bytes"]) == ("s0", "4", "unknown")
    assert fields["client_behind"] == "False"
    assert int(fields["silent_ms"]) >= 0
    assert int(fields["overdue_ms"]) < 0
