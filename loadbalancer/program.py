"""The balancer's process: reads its configuration, serves, and ends after SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import uvloop

from loadbalancer.net.config import Config, ConfigError
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.hot_restart import Predecessor, connect_to_predecessor
from loadbalancer.net.log import SINKS, Sink, write_text
from loadbalancer.net.memory_limits import resident_bytes
from loadbalancer.net.proxy import ProcessContext, Proxy

# Closed connections are reference cycles of some 20 objects: a full collection comes every few hundred.
COLLECTION_THRESHOLDS = (700, 5, 2)
ConfigurationReader = Callable[[Callable[[str], None]], Config]
"""Reads the configuration again; calls its argument with a line for each setting that it ignores."""


def load(path: str, on_unknown: Callable[[str], None]) -> Config:
    """Return the current configuration of the file; OSError or ValueError if it is unusable."""
    with open(path, encoding="utf-8") as file:
        return read_config(file.read(), on_unknown, os.environ.get("LB_CONSOLE", ""))


def reload(read: ConfigurationReader, proxy: Proxy) -> None:
    """Apply the configuration file after SIGHUP; an invalid one changes nothing."""
    try:
        config = read(lambda note: proxy.log.event("unknown_setting_ignored", note))
    except (OSError, ValueError) as error:
        reason = " ".join(str(error).split())
        proxy.log.event("configuration_rejected", f"the configuration remains unchanged: {reason}")
        return
    report = proxy.apply_configuration(config)
    proxy.log.event(
        "configuration_replaced",
        "the configuration was replaced",
        took=_join_names(report.applied),
        needs_restart=_join_names(report.needs_restart),
    )


def _join_names(names: list[str]) -> str:
    return ",".join(names) or "nothing"


async def serve(
    config: Config,
    read: ConfigurationReader,
    folder: Path | None,
    predecessor: Predecessor | None,
    sink: Sink = write_text,
) -> None:
    """Serve until SIGTERM, then until all requests are answered; SIGHUP calls `read`."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    proxy = Proxy(config, loop, folder, predecessor, ProcessContext(sink, resident_bytes()))
    loop.add_signal_handler(signal.SIGHUP, reload, read, proxy)
    loop.set_exception_handler(
        lambda _, context: proxy.log.event("event_loop_error", f"error in the event loop: {context!r}"[:2000])
    )
    proxy.start()
    gc.collect()
    gc.freeze()  # objects created at the start live on: collections need not scan them
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    await stop.wait()
    proxy.announce_shutdown()
    await proxy.downstream.shut_down()


def main() -> int:
    """Read the configuration and serve; return the exit status."""
    notes: list[str] = []
    path = os.environ.get("LB_CONFIG")
    try:
        if not path:
            raise ConfigError("LB_CONFIG is not set")
        config = load(path, notes.append)
    except (OSError, ValueError) as error:
        print(f"loadbalancer: configuration: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    for note in notes:
        print(f"loadbalancer: {note}", file=sys.stderr)
    sink = SINKS.get(os.environ.get("LB_LOG", ""), write_text)
    return run(config, lambda on_unknown: load(path, on_unknown), sink)


def run(config: Config, read: ConfigurationReader, sink: Sink) -> int:
    """Serve a configuration until shutdown; return the exit status."""
    folder = Path(os.environ["TMPDIR"]) if os.environ.get("TMPDIR") else None
    # Only operators replace processes: without a console there is no process to take over from.
    predecessor = connect_to_predecessor(folder) if config.console else None
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, read, folder, predecessor, sink))
    except OSError as error:
        print(f"loadbalancer: can't serve on {config.listen}: {error}", file=sys.stderr)
        return 1
    return 0
