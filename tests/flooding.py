"""A client that sends small requests at full speed: `python -m tests.flooding PORT KIND`.

It runs in a process of its own, so that it is not held up by the clients and upstreams of a test. It uses one
connection, and opens another when that is closed; or, by its kind, one connection after another.
"""

from __future__ import annotations

import itertools
import select
import socket
import sys
from collections.abc import Callable, Iterator

BATCH = 300  # requests that are written at once
POLL_S = 0.1
RECEIVE_BYTES = 1 << 20

READ = b"GET /read/%d HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: f%d\r\n"


def sound(number: int) -> bytes:
    """Return a request that is served."""
    return READ % (number, number) + b"X-Deadline: 1000m\r\n\r\n"


def out_of_time(number: int) -> bytes:
    """Return a request with no time left."""
    return READ % (number, number) + b"X-Deadline: 1u\r\n\r\n"


def without_id(_: int) -> bytes:
    """Return a request that lacks a header."""
    return b"GET /read/x HTTP/1.1\r\nX-Class: read\r\n\r\n"


def under_new_names(number: int) -> bytes:
    """Return a request under names that were never seen: of the path, the tenant and a header."""
    return READ % (number, number) + b"X-Tenant: t%d\r\nX-%d: 1\r\nX-Deadline: 900m\r\n\r\n" % (
        number,
        number,
    )


def of_unknown_class(number: int) -> bytes:
    """Return a request for a class that does not exist."""
    return b"GET /c%d HTTP/1.1\r\nX-Class: c%d\r\nX-Request-Id: f%d\r\n\r\n" % (number, number, number)


def tiny_chunks(number: int) -> bytes:
    """Return a part of an endless body of one-byte chunks; its head with the first part."""
    head = b"POST /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: f\r\nX-Deadline: 1000m\r\n"
    return (head + b"Transfer-Encoding: chunked\r\n\r\n" if number == 0 else b"") + b"1\r\nx\r\n" * 20


def bare_line_ends(_: int) -> bytes:
    """Return a request without a single field."""
    return b"GET / HTTP/1.1\r\n\r\n"


KINDS: dict[str, Callable[[int], bytes]] = {
    kind.__name__: kind
    for kind in (
        sound, out_of_time, without_id, under_new_names, of_unknown_class, tiny_chunks, bare_line_ends,
    )
}  # fmt: skip


def leave_at_once(connection: socket.socket) -> None:
    """Send a part of a request, and leave."""
    connection.sendall(b"GET / HT")


def wait_for_answer(connection: socket.socket) -> None:
    """Send a request for no class, and leave after its answer."""
    connection.sendall(bare_line_ends(0))
    connection.recv(RECEIVE_BYTES)


RECONNECTING_KINDS = {kind.__name__: kind for kind in (leave_at_once, wait_for_answer)}


def reconnect(port: int, use: Callable[[socket.socket], None]) -> None:
    """Use one connection after another."""
    while True:
        with socket.create_connection(("127.0.0.1", port)) as connection:
            use(connection)


def flood_connection(port: int, request: Callable[[int], bytes], numbers: Iterator[int]) -> None:
    """Send on one connection until it is closed, and read whatever comes."""
    unsent = b""
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(0)
        while True:
            if not unsent:
                unsent = b"".join([request(number) for number in itertools.islice(numbers, BATCH)])
            readable, writable, _ = select.select([connection], [connection], [], POLL_S)
            if readable and not connection.recv(RECEIVE_BYTES):
                return
            if writable:
                unsent = unsent[connection.send(unsent) :]


def main(port: int, kind: str) -> None:
    """Flood until the process is ended."""
    while True:
        try:
            if kind in RECONNECTING_KINDS:
                reconnect(port, RECONNECTING_KINDS[kind])
            else:
                flood_connection(port, KINDS[kind], itertools.count())
        except OSError:
            continue


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2])
