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
    """Resident memory of this process, as an allowance counts it."""
    lines = Path("/proc/self/status").read_text(encoding="utf-8").splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:")) / 1_000


def balancer(path: str) -> None:
    """Take a list as a balancer's process does, and print what it costs."""
    told = json.loads(Path(path).read_text(encoding="utf-8"))
    kind = {"name": "any", "target": 100.0, "deadline": 1_000.0, "effect": "retryable"}
    settings = {"classes": [kind], "balancers": told["balancers"], "discovery": "ask"}
    config = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": settings, "lists": {}}

    async def take() -> None:
        proxy = Proxy(read_config(json.dumps(config), print), asyncio.get_running_loop(), None)
        gc.collect()
        idle, size = rss_mb(), len(body := Path(told["body"]).read_bytes())
        began = time.process_time()
        proxy.endpoint_list.discovery._record_content(news := decode_endpoint_list(json.loads(body)), 0.0)
        proxy.endpoint_list.on_watch_update(news)
        took = time.process_time() - began
        del news, body
        gc.collect()
        held = rss_mb()
        row = {"idle_mb": idle, "process_mb": held, "list_mb": held - idle, "start_bytes": size}
        print(json.dumps(row | {"start_ms": took * 1_000}))

    asyncio.run(take())


if __name__ == "__main__":
    balancer(sys.argv[1])
