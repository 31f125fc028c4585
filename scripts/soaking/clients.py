"""Clients: each keeps its connection and goes on using it until the process behind it has gone."""
import asyncio
import random
import time
from dataclasses import dataclass

from . import nodes
from .operator import HOST
from .wire import MAX_LINE, Ended, Truncated, encode, read_message

THINK_S = (0.005, 0.12)
#: A request without an answer for this long hangs: the route's timeout and a second.
HANGS_S = 9.0


@dataclass
class Try:
    """One request on one connection, and how it ended."""

    name: str
    unsafe: bool
    node: object
    sent_at: float
    ended_at: float = 0.0
    #: A status, "ended", "truncated" or "hung".
    outcome: object = None


class Client:
    """Sends one request after the other."""

    def __init__(self, number, fleet, judge, seed):
        self.number, self.fleet, self.judge = number, fleet, judge
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
                    await asyncio.sleep(self.random.uniform(*THINK_S))
            finally:
                writer.close()

    async def exchange(self, node, reader, writer):
        """One request. Returns whether the connection is of further use."""
        self.sent += 1
        unsafe = self.random.random() < 0.4
        name, method = f"c{self.number}-{self.sent}", "POST" if unsafe else "GET"
        path = f"/{'unsafe' if unsafe else 'safe'}/{self.sent}"
        body = self.random.randbytes(self.random.randint(0, 3000)) if unsafe else b""
        one = Try(name, unsafe, node, time.monotonic())
        keeps, answer = False, None
        try:
            async with asyncio.timeout(HANGS_S):
                writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": HOST, "X-Request-Id": name}, body))
                await writer.drain()
                answer = await read_message(reader)
            one.outcome, keeps = answer.status, answer.keeps_connection
        except Ended:
            one.outcome = "ended"
        except Truncated:
            one.outcome = "truncated"
        except ConnectionError:
            one.outcome = "ended"
        except TimeoutError:
            one.outcome = "hung"
        one.ended_at = time.monotonic()
        self.judge.record(one, answer, (method, path, body))
        return keeps
