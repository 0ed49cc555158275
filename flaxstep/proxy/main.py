"""Runs a node as a process: starts it, handles signals and returns the exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from flaxstep.proxy.config import Config, ConfigError, read_config, read_discovery
from flaxstep.proxy.node import Node

CONFIG_RETRY_INTERVAL_S = 0.1  # between attempts to read an invalid configuration file

log = logging.getLogger("flaxstep.proxy")


class ConfigReloader:
    """Applies a new discovery address from the configuration file on SIGHUP.

    The node keeps running whatever the file holds. The file may be half written when the signal arrives. It
    is read again until it is valid, as the old discovery address soon stops sending updates.
    """

    def __init__(self, node: Node, path: str) -> None:
        self.node = node
        self.path = path
        self.retry_timer: asyncio.TimerHandle | None = None

    def on_signal(self) -> None:
        """Read the configuration file again, now and until it is valid."""
        log.info("SIGHUP: reloading the configuration")
        self.node.mark_discovery_moved()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.read_file(reported_error="")

    def read_file(self, reported_error: str) -> None:
        """Read the file, and retry later if it is invalid. `reported_error` is the error logged last."""
        self.retry_timer = None
        try:
            self.node.move_discovery(read_discovery(self.path))
        except ConfigError as error:
            if str(error) != reported_error:
                log.warning("configuration not reloaded: %s", error)
            self.retry_timer = self.node.loop.call_later(CONFIG_RETRY_INTERVAL_S, self.read_file, str(error))


async def serve(config: Config) -> None:
    """Run a node until a signal asks it to stop, then drain it."""
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, ConfigReloader(node, os.environ["ROUTER_CONFIG"]).on_signal)
    gc.collect()
    node.measure_resting_memory()
    gc.freeze()  # objects created so far stay: exempt them from later collections
    start_task, stop_task = loop.create_task(node.start()), loop.create_task(stop_requested.wait())
    await asyncio.wait({start_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    if start_task.done():
        start_task.result()  # raises the error that prevented the start
        await stop_task
    else:  # the signal came while the node waited for a list
        start_task.cancel()
    await node.drain()


def main() -> int:
    """Run the node of the environment's configuration; return the exit code, 2 if it can't start."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        print(f"badgercart: {error}", file=sys.stderr)
        return 2
    logging.getLogger().setLevel(config.log_level)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"badgercart: {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 2
    return 0
