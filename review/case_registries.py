"""Instances of the project's registry, agents, and the links between instances that can be cut."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import threading
from pathlib import Path
from typing import Any

from case_tools import HOST, HTTP_OK, ROOT, CannotRunError, Case, call_json, free_port, wait_until_serving

PROGRAM = ROOT / ".venv-review-2" / "bin" / "loadbalancer"
RECEIVE_BYTES = 65_536


class Link:
    """A way from one instance to another, which can be cut: then its connections are reset and refused."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.is_cut = False
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Cut it."""
        self.is_cut = True
        for each in list(self._open):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def heal(self) -> None:
        """Let connections through again."""
        self.is_cut = False

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            if self.is_cut:
                near.close()
                continue
            try:
                far = socket.create_connection(self._target, timeout=2.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            self._open |= {near, far}
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._pass, args=(source, sink), daemon=True).start()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(RECEIVE_BYTES):
                sink.sendall(data)
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()
            self._open.discard(each)


class Registry:
    """One instance of the project's registry, started as its page says."""

    def __init__(self, case: Case, name: str, listen: str = "", instances: str = "") -> None:
        if not PROGRAM.exists():
            raise CannotRunError("review/build-2.sh has not been run")
        self._case = case
        self.name = name
        self.address = listen or f"{HOST}:{free_port()}"
        self.file: Path = case.folder / f"{name}.toml"
        self.database: Path = case.folder / f"{name}.sqlite"
        self.file.write_text(
            f'listen = "{self.address}"\ndatabase = "{self.database}"\n{instances}\n', encoding="utf-8"
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, and wait until it answers."""
        self.process = self._case.start(self.name, [str(PROGRAM), "directory", "serve", str(self.file)], {})
        wait_until_serving(self.process, self.address)

    def kill(self) -> None:
        """End the process at once, as a crash of its machine would."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self._case.note(f"killed {self.name}")

    def write(
        self, method: str, path: str, body: object = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        """Make a call, and note it."""
        status, answer = call_json(self.address, method, path, body, headers)
        self._case.note(f"{self.name}: {method} {path} {headers or ''} {body or ''}: {status} {answer}")
        return status, answer

    def listed(self) -> dict[str, Any]:
        """Return the endpoints that balancers see, by name; CannotRunError with no list."""
        status, answer = call_json(self.address, "GET", "/v1/servers")
        if status != HTTP_OK:
            raise CannotRunError(f"{self.name} gives no list: {status} {answer}")
        return {each["name"]: each for each in answer["endpoints"]}

    def lists(self, count: int) -> bool:
        """Return whether it gives a list with so many endpoints; a new instance may answer 503."""
        status, answer = call_json(self.address, "GET", "/v1/servers")
        return status == HTTP_OK and len(answer["endpoints"]) == count
