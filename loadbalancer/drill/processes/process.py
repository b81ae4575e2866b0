"""Real processes that are never left behind: each in a group of its own, killed when the driver is gone."""

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

PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)
Line = dict[str, Any]


def _tie(parent: int, file_limit: int | None) -> None:
    """In the child, before it becomes the program: die with the driver, whatever ends that."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
    if os.getppid() != parent:
        os.kill(os.getpid(), signal.SIGKILL)  # the driver went before the line above
    if file_limit is not None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (file_limit, file_limit))


class Process:
    """One process: started, watched, told things, stopped. `on_line` gets the JSON lines it prints."""

    def __init__(
        self,
        name: str,
        argv: Sequence[str],
        log: Path,
        *,
        folder: Path | None = None,
        env: Mapping[str, str] | None = None,
        on_line: Callable[[Line], None] | None = None,
        on_end: Callable[[Process], None] | None = None,
        file_limit: int | None = None,
    ) -> None:
        """`file_limit` bounds each file that it writes, in bytes: 0 is a disk that is full."""
        self.name, self._argv, self._log = name, list(argv), log
        self._folder, self._env, self._file_limit = folder, dict(env or os.environ), file_limit
        self._on_line, self._on_end = on_line, on_end
        self._popen: subprocess.Popen[bytes] | None = None
        self._rest = b""
        self.ended = asyncio.Event()
        self.wanted = False  # whether its end was asked for

    @property
    def pid(self) -> int:
        """Its process number; 0 before it was started."""
        return self._popen.pid if self._popen else 0

    @property
    def code(self) -> int | None:
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
                stdin=subprocess.PIPE if self._on_line else subprocess.DEVNULL,
                stdout=subprocess.PIPE if self._on_line else log,
                stderr=log,
                start_new_session=True,
                preexec_fn=lambda: _tie(parent, limit),
            )
        loop = asyncio.get_running_loop()
        if self._popen.stdout is not None:
            os.set_blocking(self._popen.stdout.fileno(), False)
            loop.add_reader(self._popen.stdout.fileno(), self._read)
        self._watch = os.pidfd_open(self._popen.pid)
        loop.add_reader(self._watch, self._over)

    def _read(self) -> None:
        assert self._popen is not None and self._popen.stdout is not None and self._on_line is not None
        try:
            data = os.read(self._popen.stdout.fileno(), 65_536)
        except BlockingIOError:
            return
        if not data:
            asyncio.get_running_loop().remove_reader(self._popen.stdout.fileno())
            return
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._on_line(json.loads(line))

    def _over(self) -> None:
        assert self._popen is not None
        if self._popen.poll() is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._watch)
        os.close(self._watch)
        if self._popen.stdout is not None:
            if not self._popen.stdout.closed:
                self._read()
                loop.remove_reader(self._popen.stdout.fileno())
            self._popen.stdout.close()
        if self._popen.stdin is not None:
            self._popen.stdin.close()
        self.ended.set()
        if self._on_end is not None:
            self._on_end(self)

    def tell(self, line: Line) -> None:
        """Tell a stand-in something on its standard input; nothing happens if it is gone."""
        if self._popen is not None and self._popen.stdin is not None and not self.ended.is_set():
            try:
                os.write(self._popen.stdin.fileno(), json.dumps(line).encode() + b"\n")
            except BrokenPipeError:
                return

    def signal(self, number: int) -> None:
        """Send a signal to it and all that it has started; nothing happens if it has ended."""
        if self._popen is not None and self._popen.returncode is None:
            self.wanted = self.wanted or number in (signal.SIGKILL, signal.SIGTERM)
            try:
                os.killpg(self._popen.pid, number)
            except ProcessLookupError:
                return

    async def finish(self, patience_s: float = 5.0) -> None:
        """End it, by SIGKILL if it does not follow SIGTERM in time, and wait until it is gone."""
        if self._popen is None or self.ended.is_set():
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(patience_s):
                await self.ended.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.ended.wait()
