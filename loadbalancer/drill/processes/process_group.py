"""What the supervisors of drills and of scale runs share: starting and stopping processes."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

import msgspec

from loadbalancer.drill.errors import DrillError
from loadbalancer.drill.processes.commands import process_environment
from loadbalancer.drill.processes.process import Message, Process
from loadbalancer.drill.servers.specification import ProcessSpecification

READY_TIMEOUT_S = 60.0  # for a process to become ready on a busy machine
READY_POLL_INTERVAL_S = 0.02


class ProcessGroup:
    """Starts processes whose files and logs are in one folder."""

    def __init__(self, out: Path) -> None:
        self.out = out

    def on_exit(self, process: Process) -> None:
        """Handle a process's exit; supervisors override this."""

    def launch(
        self,
        name: str,
        argv: Sequence[str],
        *,
        environment: dict[str, str] | None = None,
        folder: Path | None = None,
        on_message: Callable[[Message], None] | None = None,
        file_limit: int | None = None,
    ) -> Process:
        """Start a process, without waiting for it; DrillError if there is no such program."""
        process = Process(
            name,
            argv,
            self.log_path(name),
            folder=folder,
            env=environment or process_environment(None),
            on_message=on_message,
            on_exit=self.on_exit,
            file_limit=file_limit,
        )
        try:
            process.start()
        except OSError as error:
            raise DrillError(f"{name} can't be started: {error}") from error
        return process

    def log_path(self, name: str) -> Path:
        """Return the file for a process's standard error."""
        return self.out / f"{name}.log"

    def write_specification(self, specification: ProcessSpecification) -> Path:
        """Write the file that a helper process reads at startup."""
        path = self.out / f"{specification.name}.spec.json"
        path.write_bytes(msgspec.json.encode(specification))
        return path

    @staticmethod
    def module_command(module: str, *arguments: str) -> list[str]:
        """Return the command that runs a module of this package."""
        return [sys.executable, "-m", module, *arguments]

    @staticmethod
    async def finish_all(processes: Iterable[Process]) -> None:
        """Stop processes, and wait until they have exited."""
        await asyncio.gather(*(process.finish() for process in processes))
