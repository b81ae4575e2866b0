"""The balancer's program: `python -m loadbalancer`, configured by the file that `LB_CONFIG` names."""

from __future__ import annotations

import sys

from loadbalancer.lean_imports import import_event_loop_without_tls

if __name__ == "__main__":
    import_event_loop_without_tls()
    from loadbalancer.program import main

    sys.exit(main())
