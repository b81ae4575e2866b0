"""Runs a balancer, or an instance of the registry, with a seeded defect.

    LB_CONFIG=config.json python -m loadbalancer.drill.defects.launch sends-twice balancer
    python -m loadbalancer.drill.defects.launch reuses-versions registry directory.toml

Only the module that holds the defect is imported, so that a process has no more in it than the real one.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

from loadbalancer.drill.defects.names import DRILL_DEFECTS, SCALE_DEFECTS


def seed_defect(name: str) -> None:
    """Replace the one place of the program that the defect makes worse; KeyError if there is none such."""
    module = importlib.import_module(f"{__package__}.{(DRILL_DEFECTS | SCALE_DEFECTS)[name]}")
    vars(module)[name.replace("-", "_")]()


def serve_registry(path: Path) -> None:
    """Run an instance of the registry until SIGTERM."""
    from loadbalancer.registry import server

    config = server.read_configuration(path)
    server.serve(config, server.open_service(config))


def main() -> int:
    """Seed the defect that the first argument names, and be what the second one says."""
    defect, role = sys.argv[1:3]
    seed_defect(defect)
    if role == "balancer":
        from loadbalancer.__main__ import main as run_balancer

        return run_balancer()
    serve_registry(Path(sys.argv[-1]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
