"""A sound job server in a process of its own, so that a test can stop it with SIGSTOP.

Arguments: its name and the work of one request in seconds. It prints its port, then a line for each run.
"""

import asyncio
import sys

from standins import JobServer


class Lines:
    """Takes the lines of a record and prints them."""

    def line(self, text: str, at: float | None = None) -> None:
        print(text, flush=True)


async def main() -> None:
    server = JobServer(sys.argv[1], Lines(), float(sys.argv[2]))  # type: ignore[arg-type]
    await server.start()
    print(server.port, flush=True)
    await asyncio.sleep(115)


asyncio.run(main())
