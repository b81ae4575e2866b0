"""No client may get the answer to another request, also where an upstream answers twice."""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

from servers import Discovery
from spoiling import CheckingClients, SpoilingUpstream, answer_to
from tools import (
    BROKEN,
    HELD,
    HOST,
    HTTP_OK,
    IS_TROUBLE,
    READ_CLASS,
    CannotRunError,
    Case,
    free_port,
    is_ready,
    play,
    settings,
    start_balancer,
    wait_until,
)

SECOND_ANSWER_S = 0.010  # "some milliseconds late"
SPOILT_OF = 20 if IS_TROUBLE else 0
CLIENTS = 10
LOAD_S = 20.0


def answer_twice(connection: socket.socket, answer: bytes) -> bool:
    """Send an answer, and once more some milliseconds later."""

    def send_again() -> None:
        time.sleep(SECOND_ANSWER_S)
        with contextlib.suppress(OSError):
            connection.sendall(answer)

    connection.sendall(answer)
    threading.Thread(target=send_again, daemon=True).start()
    return True


def run(case: Case) -> int:
    """Put a steady load on one balancer, and compare each answer with its request."""
    upstreams = [SpoilingUpstream(case, f"s-{number}", SPOILT_OF, answer_twice) for number in range(3)]
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
    start_balancer(case, "balancer", config, case.folder / "tmp")
    wait_until("the balancer is ready", 10.0, lambda: is_ready(listen))
    clients = CheckingClients(case, listen, CLIENTS, 2_000)
    time.sleep(LOAD_S)
    clients.stop()
    foreign = 0
    for request_id, status, body, _ in clients.answers:
        if status == HTTP_OK and body != answer_to(request_id):
            foreign += 1
            has_run = any(request_id in upstream.served for upstream in upstreams)
            case.note(f"{request_id} was answered 200 with {body!r}; run by an upstream: {has_run}")
    spoilt = sum(len(upstream.spoilt) for upstream in upstreams)
    case.note(f"{clients.summary()}; {spoilt} answers sent twice; {foreign} foreign answers")
    if not any(status == HTTP_OK for _, status, _, _ in clients.answers):
        raise CannotRunError("nothing was served")
    return BROKEN if foreign else HELD


play(__file__, run)
