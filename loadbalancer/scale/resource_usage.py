"""What the system tells of a process: processor time and memory."""

from __future__ import annotations

import os
from pathlib import Path

TICK_S = 1 / os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1_048_576


def processor_time_s(pid: int) -> float | None:
    """Processor time of all its threads since its start, in s (/proc/PID/stat); None if it is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return (int(fields[11]) + int(fields[12])) * TICK_S


def pss_mb(pid: int) -> float | None:
    """Its share of the memory it holds, pages shared with others in parts, in MB; None if it is gone."""
    try:
        for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
            if line.startswith("Pss:"):
                return int(line.split()[1]) / 1_024
    except OSError:
        return None
    return None


def memory_by_name(pids: dict[str, int]) -> dict[str, float]:
    """PSS of each process that is there, in MB."""
    found = {name: pss_mb(pid) for name, pid in pids.items()}
    return {name: mb for name, mb in found.items() if mb is not None}


def machine_memory_mb() -> tuple[float, float]:
    """Of this machine: all its memory, and what is available now, in MB."""
    told = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    return int(told["MemTotal"].split()[0]) / 1_024, int(told["MemAvailable"].split()[0]) / 1_024


def resident_mb(pid: int) -> float:
    """What it holds of memory, shared pages in whole, in MB; 0 if it is gone. Cheap: to be asked often."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB
    except OSError:
        return 0.0


def machine_processor_time_s() -> dict[str, float]:
    """Processor time of this machine since its start, in s: spent, and stolen by whoever hosts it."""
    user, nice, system, _, _, irq, soft, stolen = (
        int(part) * TICK_S for part in Path("/proc/stat").read_text().split("\n")[0].split()[1:9]
    )
    return {"busy": user + nice + system + irq + soft, "stolen": stolen}
