"""A stand-in for an upstream some of whose answers are spoilt, and clients that check what they get."""

from __future__ import annotations

import http.client
import random
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from case_tools import HOST, HTTP_OK, Case

RECEIVE_BYTES = 65_536
END_OF_HEAD = b"\r\n\r\n"
WORK_S = 0.004
PAUSE_S = (0.005, 0.035)  # of a client between two requests: no two clients keep step
Spoil = Callable[[socket.socket, bytes], bool]
"""Is given the connection and the answer; sends it spoilt, and returns whether the connection goes on."""


def answer_to(request_id: str) -> bytes:
    """Return the body that an upstream makes for a request."""
    return f"answer to {request_id}".encode()


class SpoilingUpstream:
    """Serves GET; of its answers, one in `spoilt_of` is sent by `spoil`."""

    def __init__(self, case: Case, name: str, spoilt_of: int, spoil: Spoil) -> None:
        self._case = case
        self._spoilt_of = spoilt_of
        self._spoil = spoil
        self._count = 0
        self.name = name
        self.served: set[str] = set()
        self.spoilt: list[str] = []
        self._listener = socket.create_server((HOST, 0), backlog=256)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": "in_service",
            "weight": 4.0,
            "since_ms": 0,
        }

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        received = b""
        try:
            while True:
                while END_OF_HEAD not in received:
                    data = connection.recv(RECEIVE_BYTES)
                    if not data:
                        return
                    received += data
                head, _, received = received.partition(END_OF_HEAD)
                if not self._answer(connection, head):
                    return
        except OSError:
            return
        finally:
            connection.close()

    def _answer(self, connection: socket.socket, head: bytes) -> bool:
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        request_id = fields.get(b"x-request-id", b"").decode()
        body = answer_to(request_id)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        time.sleep(WORK_S)
        self.served.add(request_id)
        self._count += 1
        if self._spoilt_of and self._count % self._spoilt_of == 0:
            self._case.note(f"{self.name} spoils its answer to {request_id}")
            self.spoilt.append(request_id)
            return self._spoil(connection, answer)
        connection.sendall(answer)
        return True


class CheckingClients:
    """Clients that wait for the end of each answer, and remember what they got, and when."""

    def __init__(self, case: Case, address: str, count: int, deadline_ms: int) -> None:
        self._case = case
        self._address = address
        self._deadline_ms = deadline_ms
        self._lock = threading.Lock()
        self.patience_s = 30.0
        self.answers: list[tuple[str, int, bytes, float]] = []
        """ID, status (0: broken), body, and how long the answer took, to its last byte or its break."""
        self.is_stopped = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(f"c{number}",)) for number in range(count)]
        for thread in self._threads:
            thread.start()

    def _run(self, prefix: str) -> None:
        rng = random.Random(prefix)
        connection: http.client.HTTPConnection | None = None
        number = 0
        while not self.is_stopped.wait(rng.uniform(*PAUSE_S)):
            number += 1
            request_id = f"{prefix}-{number:05d}"
            connection = connection or http.client.HTTPConnection(self._address, timeout=self.patience_s)
            started_s = time.monotonic()
            status, body, is_closed = self._send(connection, request_id)
            with self._lock:
                self.answers.append((request_id, status, body, time.monotonic() - started_s))
            if is_closed:
                connection.close()
                connection = None

    def _send(self, connection: http.client.HTTPConnection, request_id: str) -> tuple[int, bytes, bool]:
        headers = {"X-Request-Id": request_id, "X-Class": "karta", "X-Deadline": f"{self._deadline_ms}m"}
        try:
            connection.request("GET", "/karta", headers=headers)
            answer = connection.getresponse()
            return answer.status, answer.read(), answer.will_close
        except (OSError, http.client.HTTPException) as error:
            return 0, repr(error).encode(), True

    def stop(self) -> None:
        """End all clients after their requests."""
        self.is_stopped.set()
        for thread in self._threads:
            thread.join()

    def summary(self) -> str:
        """Return counts for the record."""
        served = sum(status == HTTP_OK for _, status, _, _ in self.answers)
        return f"{len(self.answers)} requests, {served} answered with 200"
