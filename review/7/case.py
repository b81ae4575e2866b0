"""A server that is cordoned while the next process starts must stay out over the hot restart."""

from __future__ import annotations

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from case_servers import Clients, Discovery, Upstream
from case_tools import (
    BROKEN,
    HELD,
    HOST,
    HTTP_OK,
    IS_TROUBLE,
    READ_CLASS,
    CannotRunError,
    Case,
    call,
    free_port,
    play,
    settings,
    start_balancer,
    wait_until_serving,
)

UPSTREAMS = 300
CORDONED = 280
OPERATORS = 4  # that call at the same time
CALLS_SPAN = 1.0  # of the time that a process takes from its start to its yes
DRAIN_GRACE_S = 3.05  # `drainGrace`, and the 50 ms of PROTOCOL
WATCHED_S = 8.0


def run(case: Case) -> int:
    """Cordon servers one after another, while the process is replaced; then look where requests go."""
    upstreams = [Upstream(case, f"s-{number:02d}") for number in range(UPSTREAMS)]
    discovery = Discovery([upstream.entry() for upstream in upstreams])
    listen, old_console, new_console = (f"{HOST}:{free_port()}" for _ in range(3))
    config = {
        "name": "n1",
        "listen": listen,
        "discovery": discovery.address,
        "console": old_console,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings([READ_CLASS]),
    }
    folder = case.folder / "tmp"
    start_s = case.now()
    old = start_balancer(case, "old", config, folder)
    wait_until_serving(old, listen)
    start_s = case.now() - start_s
    case.note(f"it took {start_s:.3f} s from its start to its yes")
    clients = Clients(case, listen, "c", 8, 0.02)
    time.sleep(1.0)
    if IS_TROUBLE:
        new = start_balancer(case, "new", config | {"console": new_console}, folder)
    interval_s = CALLS_SPAN * start_s / CORDONED
    begin_s = case.now()
    cordoned_s: dict[str, float] = {}

    def cordon(first: int) -> None:
        """Take out every fourth server, each at its time."""
        for number in range(first, CORDONED, OPERATORS):
            time.sleep(max(begin_s + number * interval_s - case.now(), 0.0))
            name = upstreams[number].name
            status, _ = call(old_console, "POST", "/admin/cordon", name.encode())
            case.note(f"POST /admin/cordon {name} to the first process: {status}")
            if status == HTTP_OK:
                cordoned_s[name] = case.now()

    threads = [threading.Thread(target=cordon, args=(first,)) for first in range(OPERATORS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if not cordoned_s:
        raise CannotRunError("no cordon was accepted")
    if IS_TROUBLE:
        wait_until_serving(new, new_console, "/admin/health")
        case.note("the new process says yes; SIGTERM to the old one")
        old.terminate()
    time.sleep(WATCHED_S)
    clients.stop()
    status, body = call(new_console if IS_TROUBLE else old_console, "GET", "/admin/stats")
    stats = json.loads(body) if status == HTTP_OK else {}
    case.note(f"figures: discovered {stats.get('discovered')}, ejected {stats.get('ejected')}")
    late = 0
    for upstream in upstreams[:CORDONED]:
        yes_s = cordoned_s.get(upstream.name)
        begun = [(at_s, each) for at_s, each in upstream.begun if yes_s and at_s > yes_s + DRAIN_GRACE_S]
        if begun and yes_s is not None:
            late += len(begun)
            case.note(
                f"{upstream.name}: cordoned at {yes_s:.3f}, and got {len(begun)} requests more than"
                f" {DRAIN_GRACE_S} s later, the first {begun[0][1]} at {begun[0][0]:.3f}"
            )
    served = sum(status == HTTP_OK for _, _, status in clients.answers)
    case.note(
        f"{len(cordoned_s)} servers cordoned; {len(clients.answers)} requests answered, {served} served"
    )
    case.note(f"requests sent to cordoned servers after the grace: {late}")
    return BROKEN if late else HELD


play(__file__, run)
