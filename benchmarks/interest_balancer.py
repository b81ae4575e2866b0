"""One balancer's process with a list, for `benchmarks.interest`: it loads what a balancer loads, and no more.

python -m benchmarks.interest_balancer SPEC.json
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
from pathlib import Path

from loadbalancer.net.config_reader import read_config
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list
from loadbalancer.net.proxy import Proxy


def rss_mb() -> float:
    """Return the resident memory of this process, as an allowance counts it."""
    lines = Path("/proc/self/status").read_text(encoding="utf-8").splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:")) / 1_000


def balancer(path: str) -> None:
    """Take a list as a balancer's process does, and print what it costs."""
    spec = json.loads(Path(path).read_text(encoding="utf-8"))
    kind = {"name": "any", "target": 100.0, "deadline": 1_000.0, "effect": "retryable"}
    settings = {"classes": [kind], "balancers": spec["balancers"], "discovery": "ask"}
    config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": settings, "lists": {}}

    async def measure() -> None:
        """Take the list in a proxy without connections."""
        proxy = Proxy(read_config(json.dumps(config), print), asyncio.get_running_loop(), None)
        gc.collect()
        idle_mb = rss_mb()
        body = Path(spec["body"]).read_bytes()
        size = len(body)
        started_s = time.process_time()
        update = decode_endpoint_list(json.loads(body))
        proxy.endpoint_list.discovery._record_content(update, 0.0)
        proxy.endpoint_list.on_watch_update(update)
        duration_s = time.process_time() - started_s
        del update, body
        gc.collect()
        process_mb = rss_mb()
        row = {
            "idle_mb": idle_mb,
            "process_mb": process_mb,
            "list_mb": process_mb - idle_mb,
            "start_bytes": size,
            "start_ms": duration_s * 1_000,
        }
        print(json.dumps(row))

    asyncio.run(measure())


if __name__ == "__main__":
    balancer(sys.argv[1])
