"""Long commands meet upstreams that hang: each command that was taken needs its final answer in time."""

from __future__ import annotations

import fcntl
import signal
import socket
import struct
import sys
import termios
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402 the path is set above
    RECEIVE_BUFFER_BYTES,
    Balancer,
    Discovery,
    Process,
    Record,
    UpstreamProcess,
    entry,
    is_troubled,
    run_case,
)

UPSTREAMS = 5
HANGING_UPSTREAMS = 2  # the page allows from a quarter to a half
WORK_MS = 160.0
DEADLINE_MS = 2000
# After its time, and then what the rules on sockets add to each time limit.
LATEST_ANSWER_S = DEADLINE_MS / 1000 + 0.5 + 0.05
OBSERVED_S = 24.0  # how long the client stays, to record when an answer comes at last
# Lengths of bodies, less what fits between a sender and a peer that reads nothing: the kernels decide that.
BODY_BYTES_OVER_CAPACITY = (*range(50_000, 850_000, 200_000), *range(850_000, 2_150_000, 100_000))
CLIENTS_PER_LENGTH = 4
CLIENT_INTERVAL_S = 0.01
UNACKNOWLEDGED = struct.Struct("i")


def measure_capacity() -> int:
    """Return how many bytes a connection takes whose other end reads nothing."""
    with socket.socket() as listener, socket.socket() as sender:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        sender.connect(listener.getsockname())
        sender.settimeout(0.3)
        capacity = 0
        try:
            while True:
                capacity += sender.send(bytes(RECEIVE_BUFFER_BYTES))
        except TimeoutError:
            return capacity


class Client(threading.Thread):
    """A client that sends one command, and stays until it is answered."""

    def __init__(self, record: Record, port: int, request_id: str, body_bytes: int) -> None:
        """Send a command with a body of so many bytes."""
        super().__init__(daemon=True)
        self._record = record
        self._port = port
        self._id = request_id
        self._body_bytes = body_bytes
        self.sent_s = 0.0
        """When the last byte was written to the connection, on the monotonic clock."""
        self.taken_s: float | None = None
        """Seconds from the send until the balancer's machine had acknowledged the last byte."""
        self.answer = "none"
        self.answered_s: float | None = None

    def run(self) -> None:
        """Send, and read the answer."""
        head = (
            f"POST /otkljucaj/{self._id} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {self._id}\r\n"
            f"X-Class: otkljucaj\r\nX-Tenant: grad-zagreb\r\nX-Deadline: {DEADLINE_MS}m\r\n"
            f"Content-Length: {self._body_bytes}\r\n\r\n"
        )
        with socket.create_connection(("127.0.0.1", self._port)) as connection:
            threading.Thread(target=self._receive, args=(connection,), daemon=True).start()
            try:
                connection.sendall(head.encode() + b"x" * self._body_bytes)
                self.sent_s = time.monotonic()
                self._wait_until_taken(connection)
            except OSError as error:
                self._record.write(f"{self._id}: not sent whole: {error}")
                return
            ends_s = self.sent_s + OBSERVED_S
            while self.answered_s is None and time.monotonic() < ends_s:
                time.sleep(0.01)

    def _wait_until_taken(self, connection: socket.socket) -> None:
        """Wait until no byte is left on the client's machine, as the kernel tells (SIOCOUTQ)."""
        while time.monotonic() < self.sent_s + 1.0 and self.answered_s is None:
            left = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(UNACKNOWLEDGED.size))
            if not UNACKNOWLEDGED.unpack(left)[0]:
                self.taken_s = time.monotonic() - self.sent_s
                self._record.write(
                    f"{self._id}: sent, {self._body_bytes} bytes, all on the balancer's machine"
                )
                return
            time.sleep(0.005)
        self._record.write(f"{self._id}: {self._body_bytes} bytes, not all on the balancer's machine")

    def _receive(self, connection: socket.socket) -> None:
        try:
            answer = connection.recv(4096)
        except OSError as error:
            answer = str(error).encode()
        self.answer = answer.split(b"\r\n")[0].decode("latin-1") or "the connection was closed"
        self.answered_s = time.monotonic()
        self._record.write(f"{self._id}: answered: {self.answer}")

    def is_lost(self) -> bool:
        """Return whether the command was taken and had no final answer in time."""
        if self.taken_s is None:
            return False
        return self.answered_s is None or self.answered_s - self.sent_s > self.taken_s + LATEST_ANSWER_S


def play(record: Record, temporary: Path, processes: list[Process]) -> bool:
    """Return whether each command that was taken had its final answer in time."""
    upstreams = []
    for number in range(UPSTREAMS):
        upstream = UpstreamProcess(temporary, f"s-{number}", WORK_MS)
        processes.append(upstream)
        upstreams.append(upstream)
    discovery = Discovery(record, [entry(upstream.name, upstream.port) for upstream in upstreams])
    balancer = Balancer(temporary, discovery)
    processes.append(balancer)
    record.write(f"the balancer is ready; upstreams: {', '.join(u.name for u in upstreams)}")
    if is_troubled():
        for upstream in upstreams[:HANGING_UPSTREAMS]:
            upstream.send(signal.SIGSTOP)
            record.write(f"{upstream.name} hangs from now on")
    capacity = measure_capacity()
    record.write(f"a connection to a peer that reads nothing takes {capacity} bytes")
    clients = [
        Client(record, balancer.port, f"r{over}-{number}", capacity + over)
        for number in range(CLIENTS_PER_LENGTH)
        for over in BODY_BYTES_OVER_CAPACITY
    ]
    for client in clients:
        client.start()
        time.sleep(CLIENT_INTERVAL_S)
    for client in clients:
        client.join(OBSERVED_S + 10)
    for upstream in upstreams:
        for line in upstream.runs.read_text().splitlines():
            record.write(f"run by {upstream.name}: {line}")
    lost = [client for client in clients if client.is_lost()]
    for client in lost:
        waited = "never" if client.answered_s is None else f"{client.answered_s - client.sent_s:.2f} s"
        record.write(f"LOST: {client._id}, deadline {DEADLINE_MS} ms, answered after: {waited}")
    taken = sum(client.taken_s is not None for client in clients)
    record.write(f"{len(clients)} sent, {taken} taken whole, {len(lost)} without an answer in time")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
