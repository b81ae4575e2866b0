"""Each request gets its final answer within half a second of its time, also where an answer stalls."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from case_servers import Discovery
from case_spoiling import CheckingClients, SpoilingUpstream
from case_tools import (
    BROKEN,
    HELD,
    HOST,
    HTTP_OK,
    IS_TROUBLE,
    READ_CLASS,
    CannotRunError,
    Case,
    free_port,
    play,
    settings,
    start_balancer,
    wait_until_serving,
)

DEADLINE_MS = 2_000
LIMIT_S = DEADLINE_MS / 1_000 + 0.5 + 0.05  # half a second after its time, and the 50 ms of PROTOCOL
SPOILT_OF = 20 if IS_TROUBLE else 0
CLIENTS = 6
LOAD_S = 12.0
STALL_S = 60.0


def never_end(connection: socket.socket, answer: bytes) -> bool:
    """Begin an answer in chunks, and never end it; the connection stays open until the balancer leaves."""
    body = answer.partition(b"\r\n\r\n")[2]
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(body), body)
    )
    connection.settimeout(STALL_S)
    connection.recv(1)
    return False


def run(case: Case) -> int:
    """Put a steady load on one balancer, and look when each request has ended."""
    upstreams = [SpoilingUpstream(case, f"s-{number}", SPOILT_OF, never_end) for number in range(3)]
    discovery = Discovery([upstream.entry() for upstream in upstreams])
    listen = f"{HOST}:{free_port()}"
    config = {
        "name": "n1",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings([READ_CLASS]),
    }
    balancer = start_balancer(case, "balancer", config, case.folder / "tmp")
    wait_until_serving(balancer, listen)
    clients = CheckingClients(case, listen, CLIENTS, DEADLINE_MS)
    time.sleep(LOAD_S)
    clients.stop()
    late = 0
    for request_id, status, body, took_s in clients.answers:
        if took_s > LIMIT_S:
            late += 1
            case.note(f"{request_id} ended {took_s:.2f} s after it was sent: {status or 'broken'} {body!r}")
    spoilt = sum(len(upstream.spoilt) for upstream in upstreams)
    case.note(f"{clients.summary()}; {spoilt} answers never ended; {late} requests ended after {LIMIT_S} s")
    if not any(status == HTTP_OK for _, status, _, _ in clients.answers):
        raise CannotRunError("nothing was served")
    if SPOILT_OF and not spoilt:
        raise CannotRunError("no answer was spoilt")
    return BROKEN if late else HELD


play(__file__, run)
