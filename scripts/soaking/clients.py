"""HTTP clients. Each reuses its keep-alive connection until the node closes it or the connection fails."""
import asyncio
import random
import time
from dataclasses import dataclass

from . import nodes
from .operator import HOST
from .wire import MAX_LINE, ConnectionEnded, Truncated, encode, read_message

#: Bounds of the random pause between two requests of a client, in seconds.
THINK_TIME_S = (0.005, 0.12)
#: A request without a response for this long counts as hung: the route's timeout of 8 s plus one second.
HANG_TIMEOUT_S = 9.0


@dataclass
class RequestRecord:
    """One request sent on one connection, and its outcome."""

    name: str
    unsafe: bool
    node: object
    sent_at: float
    ended_at: float = 0.0
    #: The HTTP status, or "ended", "truncated" or "hung".
    outcome: object = None


class Client:
    """Sends requests one at a time, to a randomly chosen node until its connection ends."""

    def __init__(self, number, fleet, checker, seed):
        self.number, self.fleet, self.checker = number, fleet, checker
        self.random = random.Random(seed)
        self.sent = 0

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

    async def exchange(self, node, reader, writer):
        """Sends one request and records its outcome. Returns whether the connection can be reused."""
        self.sent += 1
        unsafe = self.random.random() < 0.4
        name, method = f"c{self.number}-{self.sent}", "POST" if unsafe else "GET"
        path = f"/{'unsafe' if unsafe else 'safe'}/{self.sent}"
        body = self.random.randbytes(self.random.randint(0, 3000)) if unsafe else b""
        record = RequestRecord(name, unsafe, node, time.monotonic())
        reusable, response = False, None
        try:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": HOST, "X-Request-Id": name}, body))
                await writer.drain()
                response = await read_message(reader)
            record.outcome, reusable = response.status, response.keeps_connection
        except ConnectionEnded:
            record.outcome = "ended"
        except Truncated:
            record.outcome = "truncated"
        except ConnectionError:
            record.outcome = "ended"
        except TimeoutError:
            record.outcome = "hung"
        record.ended_at = time.monotonic()
        self.checker.record(record, response, (method, path, body))
        return reusable
