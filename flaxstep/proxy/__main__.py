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

READ_AGAIN = 0.1  # s between looks at a configuration that can't be read

log = logging.getLogger("flaxstep.proxy")


class Reloader:
    """Takes a replaced configuration file over. Whatever it holds, the node goes on.

    A file may be half written when the signal comes. Until it can be read it is read again, as the old
    discovery soon tells nothing more.
    """

    def __init__(self, node: Node, path: str) -> None:
        self.node = node
        self.path = path
        self.again: asyncio.TimerHandle | None = None

    def on_signal(self) -> None:
        log.info("SIGHUP: the configuration is read again")
        self.node.mark_discovery_moved()
        if self.again is not None:
            self.again.cancel()
        self.read(told="")

    def read(self, told: str) -> None:
        """Read the file; `told` is what was last said to be wrong with it."""
        self.again = None
        try:
            self.node.move_discovery(read_discovery(self.path))
        except ConfigError as error:
            if str(error) != told:
                log.warning("configuration not taken over: %s", error)
            self.again = self.node.loop.call_later(READ_AGAIN, self.read, str(error))


async def serve(config: Config) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, Reloader(node, os.environ["ROUTER_CONFIG"]).on_signal)
    gc.collect()
    gc.freeze()  # what is there now stays: the collector need not look at it again
    starting, stopped = loop.create_task(node.start()), loop.create_task(stop.wait())
    await asyncio.wait({starting, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()  # raises what kept it from starting
        await stopped
    else:  # told to stop while it waited for a list
        starting.cancel()
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
