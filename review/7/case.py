"""A registration that was answered with 200 must be there after a crash of the registry."""

from __future__ import annotations

import subprocess
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

from registries import PROGRAM, Registry
from tools import BROKEN, HELD, HTTP_OK, IS_TROUBLE, CannotRunError, Case, play

REASON = "für den Umzug".encode()
REGISTERING = 3  # servers that register at the same time, one after another at each
TOOL_TIMEOUT_S = 20.0


def run(case: Case) -> int:
    """Register servers while an operator registers another one; kill the registry, and compare."""
    registry = Registry(case, "registry")
    registry.start()
    accepted: set[str] = set()
    unanswered: list[str] = []
    is_over = threading.Event()

    def register(name: str) -> None:
        """Register a server as often as it takes: one that gets no answer, or a 503, tries again."""
        body = {"address": f"127.0.0.1:{5001 + len(accepted)}", "zone": "a", "lease_ms": 600_000.0}
        for _ in range(4):
            status, _ = registry.write("PUT", f"/v1/servers/{name}", body)
            if status == HTTP_OK:
                accepted.add(name)
                return
            if not status:
                unanswered.append(name)

    def register_many(row: int) -> None:
        number = 0
        while not is_over.wait(0.002):
            number += 1
            register(f"s-{row}-{number:04d}")

    def operate() -> int:
        command = [str(PROGRAM).encode(), *b"directory register s-9 --address 127.0.0.1:5999 --why".split()]
        command += [REASON, b"--at", registry.address.encode()]
        tool = case.start("operator", command, {"PYTHONUTF8": "1"})
        try:
            status = tool.wait(TOOL_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            raise CannotRunError("the operator's tool does not end") from error
        case.note(f"`directory register s-9 --why ...` ended with status {status}")
        return status

    threads = [threading.Thread(target=register_many, args=(row,)) for row in range(REGISTERING)]
    for thread in threads:
        thread.start()
    for _ in range(2):  # an operator whose call is not answered makes it again
        if operate() == 0:
            accepted.add("s-9")
            break
    is_over.set()
    for thread in threads:
        thread.join()
    case.note(f"{len(accepted)} servers accepted with 200; calls with no answer: {unanswered or 'none'}")
    if not accepted:
        raise CannotRunError("nothing was accepted")
    if IS_TROUBLE:
        registry.kill()
        registry.start()
    lost = sorted(accepted - set(registry.listed()))
    case.note(f"accepted with 200, and not listed at the end: {lost or 'none'}")
    return BROKEN if lost else HELD


play(__file__, run)
