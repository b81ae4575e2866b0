"""Stand-ins for upstreams and for discovery, after PROTOCOL, and clients, with the standard library."""

from __future__ import annotations

import http.client
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from case_tools import HOST, HTTP_OK, Case

MAX_WAIT_S = 60.0


class QuietServer(ThreadingHTTPServer):
    """A server with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Say nothing of connections that break."""


class Upstream:
    """An upstream that serves at once, and remembers when which request began."""

    def __init__(self, case: Case, name: str, delay_s: float = 0.005) -> None:
        upstream = self
        self.case = case
        self.name = name
        self.delay_s = delay_s
        self.begun: list[tuple[float, str]] = []

        class Handler(BaseHTTPRequestHandler):
            """Serves one connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                """Serve a request."""
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                if "X-Request-Id" in self.headers:
                    upstream.begun.append((case.now(), self.headers["X-Request-Id"]))
                time.sleep(upstream.delay_s)
                body = f"{name} {self.headers.get('X-Request-Id')}\n".encode()
                self.send_response(HTTP_OK)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_POST = do_GET  # noqa: N815

            def log_message(self, format: str, *args: object) -> None:
                """Write nothing."""

        self.server = QuietServer((HOST, 0), Handler)
        self.address = f"{HOST}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        entry = {
            "name": self.name,
            "address": self.address,
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": "in_service",
            "weight": 4.0,
            "since_ms": 0,
        }
        return entry | changes


class Discovery:
    """Discovery with watches: tells at once what has changed."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        discovery = self
        self.index = 1
        self.entries = {entry["name"]: (1, entry) for entry in entries}
        self.changed = threading.Condition()

        class Handler(BaseHTTPRequestHandler):
            """Serves one connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                """Answer with the whole list, or with what has changed."""
                query = parse_qs(urlsplit(self.path).query)
                after = int(query.get("after", ["-1"])[0])
                body = json.dumps(discovery.answer(after, float(query.get("wait_ms", ["0"])[0]))).encode()
                self.send_response(HTTP_OK)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: object) -> None:
                """Write nothing."""

        self.server = QuietServer((HOST, 0), Handler)
        self.address = f"{HOST}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, after: int, wait_ms: float) -> dict[str, Any]:
        """Return the answer to a call, waiting for something newer than `after`."""
        with self.changed:
            if after >= 0:
                self.changed.wait_for(lambda: self.index > after, min(wait_ms / 1_000, MAX_WAIT_S))
            is_full = after < 0
            entries = [
                entry
                for index, entry in self.entries.values()
                if (index > after if not is_full else entry["status"] != "terminated")
            ]
            return {"index": self.index, "snapshot": is_full, "endpoints": entries}

    def change(self, *entries: dict[str, Any]) -> None:
        """Change entries, and tell the watches."""
        with self.changed:
            self.index += 1
            for entry in entries:
                self.entries[entry["name"]] = (self.index, entry)
            self.changed.notify_all()


class Clients:
    """Clients that send one request after another, each on a connection that they keep."""

    def __init__(self, case: Case, address: str, prefix: str, count: int, pause_s: float) -> None:
        self.case = case
        self.address = address
        self.answers: list[tuple[float, str, int]] = []
        self.is_stopped = threading.Event()
        self._pause_s = pause_s
        self._threads = [
            threading.Thread(target=self._run, args=(f"{prefix}{number}",), daemon=True)
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, prefix: str) -> None:
        connection: http.client.HTTPConnection | None = None
        number = 0
        while not self.is_stopped.wait(self._pause_s):
            number += 1
            request_id = f"{prefix}-{number:05d}"
            connection = connection or http.client.HTTPConnection(self.address, timeout=5.0)
            try:
                connection.request("GET", "/karta", headers=self._headers(request_id))
                answer = connection.getresponse()
                answer.read()
                self.answers.append((self.case.now(), request_id, answer.status))
                if answer.will_close:
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException):
                self.answers.append((self.case.now(), request_id, 0))
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def _headers(self, request_id: str) -> dict[str, str]:
        return {"X-Request-Id": request_id, "X-Class": "karta", "X-Deadline": "2000m"}

    def stop(self) -> None:
        """End all clients after their requests."""
        self.is_stopped.set()
        for thread in self._threads:
            thread.join(timeout=6.0)
