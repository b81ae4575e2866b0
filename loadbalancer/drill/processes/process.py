"""Child processes, each in a process group of its own and killed when the driver dies."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import resource
import signal
import subprocess
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

PR_SET_PDEATHSIG = 1  # linux/prctl.h
READ_CHUNK_BYTES = 65_536
_LIBC = ctypes.CDLL(None, use_errno=True)
Message = dict[str, Any]


def _die_with_parent(parent: int, file_limit: int | None) -> None:
    """Have a child killed when the driver dies, however that ends; runs in the child before exec."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:
        os.kill(os.getpid(), signal.SIGKILL)  # the driver died before prctl took effect
    if file_limit is not None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (file_limit, file_limit))


class Process:
    """A child process; `on_message` gets each JSON line that it prints, decoded."""

    def __init__(
        self,
        name: str,
        argv: Sequence[str],
        log: Path,
        *,
        folder: Path | None = None,
        env: Mapping[str, str] | None = None,
        on_message: Callable[[Message], None] | None = None,
        on_exit: Callable[[Process], None] | None = None,
        file_limit: int | None = None,
    ) -> None:
        """Prepare a process; `file_limit` caps each file that it writes, in bytes: 0 acts as a full disk."""
        self.name = name
        self._argv = list(argv)
        self._log = log
        self._folder = folder
        self._env = dict(env or os.environ)
        self._file_limit = file_limit
        self._on_message = on_message
        self._on_exit = on_exit
        self._popen: subprocess.Popen[bytes] | None = None
        self._partial_line = b""
        self.exited = asyncio.Event()
        self.is_exit_expected = False  # whether the driver sent it SIGTERM or SIGKILL

    @property
    def pid(self) -> int:
        """The process ID; 0 before the start."""
        return self._popen.pid if self._popen else 0

    @property
    def exit_status(self) -> int | None:
        """Its exit status, negative for a signal; None while it runs."""
        return self._popen.returncode if self._popen else None

    def start(self) -> None:
        """Start it; OSError if there is no such program."""
        parent, limit = os.getpid(), self._file_limit
        with self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                self._argv,
                cwd=self._folder,
                env=self._env,
                stdin=subprocess.PIPE if self._on_message else subprocess.DEVNULL,
                stdout=subprocess.PIPE if self._on_message else log,
                stderr=log,
                start_new_session=True,
                preexec_fn=lambda: _die_with_parent(parent, limit),
            )
        loop = asyncio.get_running_loop()
        if self._popen.stdout is not None:
            os.set_blocking(self._popen.stdout.fileno(), False)
            loop.add_reader(self._popen.stdout.fileno(), self._read)
        self._pidfd = os.pidfd_open(self._popen.pid)
        loop.add_reader(self._pidfd, self._on_pidfd_ready)

    def _read(self) -> None:
        assert self._popen is not None and self._popen.stdout is not None and self._on_message is not None
        try:
            data = os.read(self._popen.stdout.fileno(), READ_CHUNK_BYTES)
        except BlockingIOError:
            return
        if not data:
            asyncio.get_running_loop().remove_reader(self._popen.stdout.fileno())
            return
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            self._on_message(json.loads(line))

    def _on_pidfd_ready(self) -> None:
        assert self._popen is not None
        if self._popen.poll() is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._pidfd)
        os.close(self._pidfd)
        if self._popen.stdout is not None:
            if not self._popen.stdout.closed:
                self._read()
                loop.remove_reader(self._popen.stdout.fileno())
            self._popen.stdout.close()
        if self._popen.stdin is not None:
            self._popen.stdin.close()
        self.exited.set()
        if self._on_exit is not None:
            self._on_exit(self)

    def send_command(self, command: Message) -> None:
        """Write a command to its standard input; do nothing if it has exited."""
        if self._popen is not None and self._popen.stdin is not None and not self.exited.is_set():
            try:
                os.write(self._popen.stdin.fileno(), json.dumps(command).encode() + b"\n")
            except BrokenPipeError:
                return

    def signal(self, number: int) -> None:
        """Send a signal to its process group; do nothing if it has exited."""
        if self._popen is not None and self._popen.returncode is None:
            self.is_exit_expected = self.is_exit_expected or number in (signal.SIGKILL, signal.SIGTERM)
            try:
                os.killpg(self._popen.pid, number)
            except ProcessLookupError:
                return

    async def finish(self, timeout_s: float = 5.0) -> None:
        """Stop it with SIGTERM, with SIGKILL if that takes too long, and wait until it has exited."""
        if self._popen is None or self.exited.is_set():
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_s):
                await self.exited.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.exited.wait()
