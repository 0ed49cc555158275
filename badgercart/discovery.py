"""The server list: the first whole list, then a watch, opened anew whenever it ends."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import httptools

from badgercart.config import Address

PATH = "/catalog/members"
BEAT = 2.0  # s between the empty lines of a watch that has nothing to tell
# A change counts as told 6 s after its watch fell silent, though it never arrived. So a watch that has said
# nothing for this long, in s, is opened anew: not for a slow line, and in time for a call that has to wait.
SILENCE = BEAT + 1.0
ANSWER_TIME = 4.5  # s for the first of an answer: calls of many nodes wait for one another
CALL_TIME = 2.0  # s for a connection to come up
PART_TIME = 2.0  # s without a byte of a list that has come in part after which it is fetched whole
RETRY_FIRST, RETRY_MOST = 0.05, 1.0  # s between tries
MAX_LINE = 8 << 20  # bytes

log = logging.getLogger("badgercart")


class DiscoveryError(Exception):
    """A call that gave no list, or a watch that ended: what came instead."""


class Objects:
    """Takes the objects out of a watch: each on a line of its own or, indented, on several."""

    def __init__(self) -> None:
        self.lines = b""  # whole lines of an object that is not whole
        self.rest = b""  # of a line

    @property
    def begun(self) -> bool:
        return bool(self.lines or self.rest)

    def feed(self, data: bytes) -> Iterator[Any]:
        """What has become whole; ValueError at what never can."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if line.strip():
                yield from self.add(line)
            elif self.lines:
                raise ValueError("an empty line within an object")
        if self.rest.rstrip().endswith(b"}"):  # what has come counts, also before its line ends
            with suppress(ValueError):
                value = json.loads(self.lines + self.rest)
                self.lines = self.rest = b""
                yield value

    def add(self, line: bytes) -> Iterator[Any]:
        first, self.lines = not self.lines, self.lines + line + b"\n"
        if not first and not line.rstrip().endswith((b"}", b"]")):
            return  # nothing ends with it
        text = self.lines.decode()
        try:
            value = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text.rstrip()):
                raise
            return  # nothing but its end is missing
        self.lines = b""
        yield value


class Body:
    """The body of one answer, taken out of its framing."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()
        self.complete = False

    def on_body(self, body: bytes) -> None:
        self.data += body

    def on_message_complete(self) -> None:
        self.complete = True

    async def more(self, reader: asyncio.StreamReader, within: float) -> None:
        """Read on; TimeoutError if nothing comes within so many seconds."""
        async with asyncio.timeout(within):
            chunk = await reader.read(65536)
        if not chunk:
            raise DiscoveryError("the connection ended")
        self.parser.feed_data(chunk)
        if self.parser.get_status_code() not in (0, 200):
            raise DiscoveryError(f"status {self.parser.get_status_code()}")
        if len(self.data) > MAX_LINE:
            raise DiscoveryError("a line over the limit")


class Discovery:
    """Keeps the list fresh. `on_list` gets each one, raw, and raises ValueError at what it can't take."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[dict[str, Any]], int],
        on_current: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.address = address
        self.on_list = on_list
        self.on_current = on_current  # the list in force is discovery's own
        self.random = rng
        self.version: int | None = None  # of the list in force; None: the whole list is wanted
        self.retry = RETRY_FIRST
        self.failing = False
        self.answered: float | None = None  # when the call under way was first answered, monotonic s

    def move(self, address: Address) -> None:
        """The next call goes there. What failed at the old address is no reason to wait."""
        self.address, self.retry, self.failing = address, RETRY_FIRST, False

    async def run(self) -> None:
        while True:
            try:
                if self.version is None:
                    await self.call(PATH, whole=True)
                await self.call(f"{PATH}?watch=1&from={self.version}", whole=False)
            except (OSError, DiscoveryError, httptools.HttpParserError) as error:
                if not self.failing:  # one line for each stretch of failures
                    log.warning("discovery: %s; the list stays as it is", str(error) or type(error).__name__)
                self.failing = True
            except Exception:
                # Whatever it was: a watch that dies of it would leave the node with its old list for ever.
                log.exception("discovery: unforeseen failure; the whole list is fetched")
                self.version = None
            # Nodes that lost discovery together must not come back together.
            await asyncio.sleep(self.retry * (0.5 + self.random.random()))
            self.retry = min(2 * self.retry, RETRY_MOST)

    async def call(self, path: str, whole: bool) -> None:
        """One call, and a line about how it ended."""
        host, port = self.address
        begun = time.monotonic()
        self.answered = None
        ended = "cancelled"
        try:
            async with asyncio.timeout(CALL_TIME):
                reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
                await (self.read_whole(reader) if whole else self.read_watch(reader))
                ended = "complete"
            finally:
                writer.close()
        except Exception as error:
            ended = str(error) or type(error).__name__
            raise
        finally:
            # What became of each call, and when: the age of the list in force can be told from these lines.
            now = time.monotonic()
            first = self.answered_after(begun)
            log.info(
                "discovery: GET %s at %s:%d ended (%s) after %.3f s, first answered %s",
                path,
                host,
                port,
                ended,
                now - begun,
                first,
            )

    async def read_whole(self, reader: asyncio.StreamReader) -> None:
        body = Body()
        while not body.complete:
            await body.more(reader, ANSWER_TIME)
        with self.malformed():
            self.take(json.loads(body.data))

    async def read_watch(self, reader: asyncio.StreamReader) -> None:
        body, objects, within = Body(), Objects(), ANSWER_TIME
        while not body.complete:
            try:
                await body.more(reader, within)
            except TimeoutError:
                if objects.begun:
                    self.version = None  # what the rest would have told is missed
                raise
            with self.malformed():
                for value in objects.feed(bytes(body.data)):
                    self.take(value)
            if len(objects.lines) + len(objects.rest) > MAX_LINE:
                raise DiscoveryError("a list over the limit")
            if objects.begun:
                within = PART_TIME
            elif body.data:
                within, self.retry, self.failing = SILENCE, RETRY_FIRST, False
                self.heard()
                self.on_current()  # also by an empty line: nothing has changed
            body.data.clear()
        raise DiscoveryError("the watch ended")

    def answered_after(self, begun: float) -> str:
        return "never" if self.answered is None else f"after {self.answered - begun:.3f} s"

    def heard(self) -> None:
        if self.answered is None:
            self.answered = time.monotonic()

    def take(self, value: Any) -> None:
        self.heard()
        self.version = self.on_list(value)
        self.retry, self.failing = RETRY_FIRST, False

    @contextmanager
    def malformed(self) -> Iterator[None]:
        """A change may have been missed with what can't be taken: only the whole list brings it back."""
        try:
            yield
        except (ValueError, RecursionError) as error:
            self.version = None
            raise DiscoveryError(f"malformed list: {error}") from None
