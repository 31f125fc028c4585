"""HTTP clients. Each reuses its keep-alive connection until the node closes it or the connection fails.

They send safe and unsafe requests, requests with a key, and streams. A client resumes a resumable stream that broke off.
"""
import asyncio
import random
import time
from dataclasses import dataclass

from . import nodes, streams
from .operator import HOST, TENANT_KEY
from .wire import MAX_LINE, ConnectionEnded, Truncated, encode, read_partial_message

#: Bounds of the random pause between two requests of a client, in seconds.
THINK_TIME_S = (0.005, 0.12)
#: A request without a response for this long counts as hung: the route's timeout of 8 s plus one second.
HANG_TIMEOUT_S = 9.0
#: The kinds of requests, by the first part of their path, and their weights. `safe`, `keyed` and `resume` may be repeated.
KINDS, WEIGHTS = ("safe", "unsafe", "keyed", "stream", "resume"), (3, 4, 1, 2, 3)
#: Number of requests with which a client resumes a stream that broke off.
MAX_RESUMPTIONS = 2


@dataclass
class RequestRecord:
    """One request sent on one connection, and its outcome."""

    name: str
    kind: str
    path: str
    node: object
    sent_at: float
    ended_at: float = 0.0
    #: The HTTP status, or "ended", "truncated" or "hung".
    outcome: object = None
    #: The method and the body that were sent, and the event after which the request resumes a stream.
    method: str = "GET"
    body: bytes = b""
    after: int = 0

    @property
    def unsafe(self):
        return self.kind in ("unsafe", "stream")

    @property
    def is_stream(self):
        return self.kind in ("stream", "resume")


class Client:
    """Sends requests one at a time, to a randomly chosen node until its connection ends."""

    def __init__(self, number, fleet, checker, seed):
        self.number, self.fleet, self.checker = number, fleet, checker
        self.random = random.Random(seed)
        self.sent = 0
        #: The path of a stream that broke off, the event that was received last, and how often it may still be resumed.
        self.interrupted = None

    async def run(self, stopping):
        while not stopping.is_set():
            node = self.random.choice(self.fleet.running() or self.fleet.nodes)
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*node.address(nodes.FRONT), limit=MAX_LINE)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                while not stopping.is_set() and await self.exchange(node, reader, writer):
                    await asyncio.sleep(self.random.uniform(*THINK_TIME_S))
            finally:
                writer.close()

    def next_request(self, node):
        """The next request: the rest of an interrupted stream, or a new one."""
        self.sent += 1
        name = f"c{self.number}-{self.sent}"
        if self.interrupted:
            path, after, _ = self.interrupted
            return RequestRecord(name, "resume", path, node, time.monotonic(), after=after)
        kind = self.random.choices(KINDS, WEIGHTS)[0]
        record = RequestRecord(name, kind, f"/{kind}/{name}", node, time.monotonic())
        if record.unsafe:
            record.method, record.body = "POST", self.random.randbytes(self.random.randint(0, 3000))
        return record

    async def exchange(self, node, reader, writer):
        """Sends one request and records its outcome. Returns whether the connection can be reused."""
        record = self.next_request(node)
        fields = {"Host": HOST, "X-Request-Id": record.name}
        if record.kind == "keyed":
            fields["X-Api-Key"] = TENANT_KEY
        if record.after:
            fields["Last-Event-Id"] = str(record.after)
        reusable, response = False, None
        try:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                writer.write(encode(f"{record.method} {record.path} HTTP/1.1", fields, record.body))
                await writer.drain()
                response, complete = await read_partial_message(reader)
            record.outcome = response.status if complete else "truncated"
            reusable = complete and response.keeps_connection
        except ConnectionEnded:
            record.outcome = "ended"
        except Truncated:
            record.outcome = "truncated"
        except ConnectionError:
            record.outcome = "ended"
        except TimeoutError:
            record.outcome = "hung"
        record.ended_at = time.monotonic()
        self.checker.record(record, response)
        self.note_interruption(record, response)
        return reusable

    def note_interruption(self, record, response):
        """Keeps where a resumable stream broke off, to resume it with the next request."""
        left = self.interrupted[2] - 1 if self.interrupted else MAX_RESUMPTIONS
        self.interrupted = None
        if record.kind != "resume" or record.outcome != "truncated" or not left:
            return
        received = streams.prefix(record.path, record.after) + (response.body if response else b"")
        if number := streams.whole_events(record.path, received):
            self.interrupted = record.path, number, left
