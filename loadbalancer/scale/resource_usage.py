"""Processor time and memory of processes and of this machine, from /proc."""

from __future__ import annotations

import os
from pathlib import Path

TICK_S = 1 / os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1_048_576


def processor_time_s(pid: int) -> float | None:
    """Return the processor time of a process since its start (/proc/PID/stat); None if it is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return (int(fields[11]) + int(fields[12])) * TICK_S


def pss_mb(pid: int) -> float | None:
    """Return the proportional set size of a process (shared pages count in part); None if it is gone."""
    try:
        for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
            if line.startswith("Pss:"):
                return int(line.split()[1]) / 1_024
    except OSError:
        return None
    return None


def memory_by_name(pids: dict[str, int]) -> dict[str, float]:
    """Return the PSS of each process that exists, in MB."""
    found = {name: pss_mb(pid) for name, pid in pids.items()}
    return {name: mb for name, mb in found.items() if mb is not None}


def machine_memory_mb() -> tuple[float, float]:
    """Return the total and the available memory of this machine, in MB."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    values = dict(line.split(":") for line in lines)
    return int(values["MemTotal"].split()[0]) / 1_024, int(values["MemAvailable"].split()[0]) / 1_024


def resident_mb(pid: int) -> float:
    """Return a process's resident set, shared pages included; 0 if it is gone. Cheap enough to poll."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB
    except OSError:
        return 0.0


def machine_processor_time_s() -> dict[str, float]:
    """Return this machine's processor time since boot: busy, and stolen by the hypervisor."""
    user, nice, system, _, _, irq, soft, stolen = (
        int(part) * TICK_S for part in Path("/proc/stat").read_text().split("\n")[0].split()[1:9]
    )
    return {"busy": user + nice + system + irq + soft, "stolen": stolen}
