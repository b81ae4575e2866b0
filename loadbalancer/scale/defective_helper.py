"""Runs a helper process of a scale run with a seeded defect.

python -m loadbalancer.scale.defective_helper polls hollow SPEC.json
"""

from __future__ import annotations

import sys

from loadbalancer.drill.defects.launch import seed_defect
from loadbalancer.scale import hollow, registrar, upstream_stub
from loadbalancer.scale.second_counts import run_helper

HELPERS = {"hollow": hollow.serve, "registrar": registrar.serve, "edge": upstream_stub.serve}


def main() -> None:
    """Seed the defect named by the first argument, and run the helper named by the second."""
    defect, role = sys.argv[1:3]
    seed_defect(defect)
    run_helper(HELPERS[role]())


if __name__ == "__main__":
    main()
