"""Runs a balancer, or an instance of the registry, with a seeded defect.

    LB_CONFIG=config.json python -m loadbalancer.drill.defects.launch sends-twice balancer
    python -m loadbalancer.drill.defects.launch reuses-versions registry directory.toml

Only the defect's module is imported, so that the process loads no more than the real one.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

from loadbalancer.drill.defects.names import DRILL_DEFECTS, SCALE_DEFECTS


def seed_defect(name: str) -> None:
    """Patch the program with a defect; KeyError if there is none of that name."""
    module = importlib.import_module(f"{__package__}.{(DRILL_DEFECTS | SCALE_DEFECTS)[name]}")
    vars(module)[name.replace("-", "_")]()


def serve_registry(path: Path) -> None:
    """Run an instance of the registry until SIGTERM."""
    from loadbalancer.registry import server

    config = server.read_configuration(path)
    server.serve(config, server.open_service(config))


def main() -> int:
    """Seed the defect that the first argument names, and run the program that the second one names."""
    defect, role = sys.argv[1:3]
    seed_defect(defect)
    if role == "balancer":
        from loadbalancer.program import main as run_balancer

        return run_balancer()
    serve_registry(Path(sys.argv[-1]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
