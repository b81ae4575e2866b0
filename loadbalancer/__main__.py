"""The balancer as a program: `python -m loadbalancer`, told all it needs by the file in `LB_CONFIG`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import uvloop

from loadbalancer.net.config import Config, ConfigError, read_config
from loadbalancer.net.hot_restart import Predecessor, connect_to_predecessor
from loadbalancer.net.log import SINKS, Sink, write_text
from loadbalancer.net.proxy import Proxy

Reading = Callable[[Callable[[str], None]], Config]
"""Reads the configuration again, telling what it passes over."""


def load(path: str, note: Callable[[str], None]) -> Config:
    """The configuration as the file holds it now; OSError or ValueError if it can't be used."""
    with open(path, encoding="utf-8") as file:
        return read_config(file.read(), note, os.environ.get("LB_CONSOLE", ""))


def reload(read: Reading, driver: Proxy) -> None:
    """Follow the file after SIGHUP; one that can't be used changes nothing."""
    try:
        config = read(lambda note: driver.log.event("setting_unknown", note))
    except (OSError, ValueError) as error:
        why = " ".join(str(error).split())
        driver.log.event("config_kept", f"the configuration stays as it was: {why}")
        return
    taken, later = driver.replace(config)
    text = "the configuration was replaced"
    driver.log.event("config_replaced", text, took=_names(taken), needs_restart=_names(later))


def _names(names: list[str]) -> str:
    return ",".join(names) or "nothing"


async def serve(
    config: Config, read: Reading, folder: Path | None, legacy: Predecessor | None, sink: Sink = write_text
) -> None:
    """Balance until SIGTERM, then until all that was taken is answered; `read` is for SIGHUP."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    driver = Proxy(config, loop, folder, legacy, sink)
    loop.add_signal_handler(signal.SIGHUP, reload, read, driver)
    loop.set_exception_handler(
        lambda _, context: driver.log.event("loop_error", f"in the event loop: {context!r}"[:2000])
    )
    driver.start()
    gc.collect()
    gc.freeze()  # what start-up made stays: it need not be looked at again
    await stop.wait()
    driver.say_goodbye()
    await driver.callers.shut_down()


def main() -> int:
    """Read the configuration and serve; the result is the exit status."""
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
    return run(config, lambda note: load(path, note), sink)


def run(config: Config, read: Reading, sink: Sink) -> int:
    """Serve a configuration to the end; the result is the exit status."""
    folder = Path(os.environ["TMPDIR"]) if os.environ.get("TMPDIR") else None
    # Processes are replaced by operators: where none can call, nothing of it is tried.
    legacy = connect_to_predecessor(folder) if config.console else None
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, read, folder, legacy, sink))
    except OSError as error:
        print(f"loadbalancer: can't serve on {config.listen}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
