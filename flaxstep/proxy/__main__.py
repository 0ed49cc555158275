"""Starts the node, passes signals on to it, and ends."""

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

CONFIG_RETRY_INTERVAL_S = 0.1  # s between looks at a configuration that can't be read

log = logging.getLogger("flaxstep.proxy")


class ConfigReloader:
    """Takes a replaced configuration file over. Whatever it holds, the node goes on.

    A file may be half written when the signal comes. Until it can be read it is read again, as the old
    discovery soon tells nothing more.
    """

    def __init__(self, node: Node, path: str) -> None:
        self.node = node
        self.path = path
        self.retry_timer: asyncio.TimerHandle | None = None

    def on_signal(self) -> None:
        log.info("SIGHUP: the configuration is read again")
        self.node.expect_move()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.read_file(reported_error="")

    def read_file(self, reported_error: str) -> None:
        """Read the file; `reported_error` is what was last logged about it."""
        self.retry_timer = None
        try:
            self.node.move_discovery(read_discovery(self.path))
        except ConfigError as error:
            if str(error) != reported_error:
                log.warning("configuration not taken over: %s", error)
            self.retry_timer = self.node.loop.call_later(CONFIG_RETRY_INTERVAL_S, self.read_file, str(error))


async def serve(config: Config) -> None:
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, ConfigReloader(node, os.environ["ROUTER_CONFIG"]).on_signal)
    gc.collect()
    gc.freeze()  # what is there now stays: the collector need not look at it again
    start_task, stop_task = loop.create_task(node.start()), loop.create_task(stop_requested.wait())
    await asyncio.wait({start_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    if start_task.done():
        start_task.result()  # raises what kept it from starting
        await stop_task
    else:  # told to stop while it waited for a list
        start_task.cancel()
    await node.drain()


def main() -> int:
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


if __name__ == "__main__":
    sys.exit(main())
