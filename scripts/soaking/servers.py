"""Simulated model servers: they register, execute requests and record which ones they executed."""
import asyncio
import json
import random
from collections import Counter

from . import nodes
from .wire import ConnectionEnded, Truncated, call, encode, read_message

SERVICE = "pool"
SEAL = "soak"
HEARTBEAT_S = 1.0
#: Share of long requests, and the bounds of their random duration in seconds.
LONG_SHARE, LONG_S = 0.05, (0.5, 2.5)
#: Bounds of the random duration of all other requests, in seconds.
SHORT_S = (0.002, 0.03)


class Executions:
    """Counts by request id how often a request was started, and which requests were answered in full."""

    def __init__(self):
        self.started = Counter()
        self.completed = set()


class ModelServer:
    """One simulated model server."""

    def __init__(self, number, fleet, executions, seed):
        self.name, self.fleet, self.executions = f"server-{number}", fleet, executions
        self.random = random.Random(seed)
        self.ip, self.port = fleet.ip(240 + number), 8200
        self.calls = 0

    async def run(self):
        listener = await asyncio.start_server(self.serve, self.ip, self.port, limit=64 * 1024)
        async with listener, asyncio.TaskGroup() as tasks:
            tasks.create_task(listener.serve_forever())
            tasks.create_task(self.register())

    async def register(self):
        while True:
            self.calls += 1
            body = json.dumps({
                "backend": SERVICE, "address": f"{self.ip}:{self.port}", "zone": "zone-1", "version": "v1",
                "slots": 64, "state": "ready", "warmupLeftMs": 0, "callCount": self.calls,
            }).encode()
            for node in self.random.sample(self.fleet.running(), min(4, len(self.fleet.running()))):
                try:
                    start_line = f"PUT /v1/servers/{self.name} HTTP/1.1"
                    response = await call(node.address(nodes.CONTROL), start_line, {}, body, 1.0)
                    if response.status == 200:
                        break
                except (OSError, TimeoutError, ConnectionEnded, Truncated):
                    continue
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.respond(request))
                await writer.drain()
                if (name := request.fields.get("x-request-id")) and request.start_line.split(" ")[1] != "/health":
                    self.executions.completed.add(name)
        except (ConnectionEnded, Truncated, ConnectionError, asyncio.CancelledError):
            # Connections are cancelled when the soak ends.
            pass
        finally:
            writer.close()

    async def respond(self, request):
        method, path, _ = request.start_line.split(" ")
        if path in ("/health", "/v1/report", "/v1/order"):
            return encode("HTTP/1.1 200 OK", {}, b'{"models":[],"callCount":0}')
        name = request.fields.get("x-request-id", "")
        if request.fields.get("x-target-server", self.name) != self.name:
            return encode("HTTP/1.1 421 Misdirected Request", {"X-Not-Run": "1", "X-Request-Id": name})
        self.executions.started[name] += 1
        is_long = self.random.random() < LONG_SHARE
        await asyncio.sleep(self.random.uniform(*(LONG_S if is_long else SHORT_S)))
        fields = {"X-Request-Id": name, "X-Server-Seal": SEAL}
        return encode("HTTP/1.1 200 OK", fields, expected_body(name, method, path, request.body))


def expected_body(name, method, path, body):
    """The response body to a request: id, method, path and body, so that a mixed-up response is recognised."""
    return f"{name} {method} {path} ".encode() + body
