"""The process of one simulated model server: it registers, executes requests, and reports on standard output what it does.

model_server NAME IP PORT SEED CONTROL-ADDRESS...

Reports are lines of words: `serving` once SIGTERM is handled, `started`, `opening` and `completed` come before the bytes to which they refer, `within` and `written`
after them. The process ends upon SIGTERM, after it has drained, and when its standard input is closed.
"""
import asyncio
import json
import os
import random
import signal
import sys

from . import streams
from .servers import CHUNKS, DRAIN_S, LENGTH, SERVICE, UNTIL_CLOSE, expected_body
from .wire import ConnectionEnded, Truncated, call, encode, encode_chunk, encode_head, read_message

SEAL = "soak"
HEARTBEAT_S = 1.0
#: Number of nodes that are called for each heartbeat until one has acknowledged it.
CALLED_NODES = 4
#: Longest wait for the acknowledgement that it drains, and for open requests after that, in seconds.
DRAIN_ACKNOWLEDGED_S, OPEN_REQUESTS_S = 6.0, 9.0
#: Share of long requests, and the bounds of their random duration in seconds.
LONG_SHARE, LONG_S = 0.05, (0.5, 2.5)
#: Bounds of the random duration of all other requests, and of a part of an event or body, in seconds.
SHORT_S, PART_S = (0.002, 0.03), (0.001, 0.04)


def report(*words):
    os.write(sys.stdout.fileno(), (" ".join(map(str, words)) + "\n").encode())


class Server:
    def __init__(self, name, ip, port, seed, control):
        self.name, self.ip, self.port, self.control = name, ip, port, control
        self.random = random.Random(seed)
        self.state = "ready"
        self.calls = 0
        self.open_requests = 0
        self.stopping = asyncio.Event()

    async def run(self):
        listener = await asyncio.start_server(self.serve, self.ip, self.port, limit=64 * 1024, reuse_address=True)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_reader(sys.stdin.fileno(), lambda: os._exit(0))
        report("serving")
        heartbeats = asyncio.create_task(self.send_heartbeats())
        await self.stopping.wait()
        heartbeats.cancel()
        await self.drain()
        listener.close()

    async def send_heartbeats(self):
        while True:
            await self.call_nodes("PUT", self.registration())
            await asyncio.sleep(HEARTBEAT_S)

    def registration(self):
        self.calls += 1
        return json.dumps({
            "backend": SERVICE, "address": f"{self.ip}:{self.port}", "zone": "zone-1", "version": "v1", "slots": 64,
            "state": self.state, "warmupLeftMs": 0, "callCount": self.calls,
        }).encode()

    async def call_nodes(self, method, body=b""):
        """Calls nodes until one of them acknowledges. Returns whether one did."""
        for address in self.random.sample(self.control, min(CALLED_NODES, len(self.control))):
            try:
                response = await call(address, f"{method} /v1/servers/{self.name} HTTP/1.1", {}, body, 1.0)
                if response.status == 200:
                    return True
            except (OSError, TimeoutError, ConnectionEnded, Truncated):
                continue
        return False

    async def drain(self):
        """Says that it drains, serves on for DRAIN_S after the acknowledgement and until no request is open, and leaves."""
        self.state = "draining"
        deadline = asyncio.get_running_loop().time() + DRAIN_ACKNOWLEDGED_S
        while not await self.call_nodes("PUT", self.registration()):
            if asyncio.get_running_loop().time() > deadline:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(DRAIN_S)
        await self.call_nodes("DELETE")
        deadline = asyncio.get_running_loop().time() + OPEN_REQUESTS_S
        while self.open_requests and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                self.open_requests += 1
                try:
                    if not await self.respond(request, writer):
                        return
                finally:
                    self.open_requests -= 1
        except (ConnectionEnded, Truncated, ConnectionError, asyncio.CancelledError):
            # The node has closed the connection, or the process ends.
            pass
        finally:
            writer.close()

    async def respond(self, request, writer):
        """Responds to a request. Returns whether the connection can be reused."""
        method, path, _ = request.start_line.split(" ")
        name = request.fields.get("x-request-id", "")
        if path in ("/health", "/v1/report", "/v1/order"):
            writer.write(encode("HTTP/1.1 200 OK", {"X-Server-Id": self.name}, b'{"models":[],"callCount":0}'))
        elif request.fields.get("x-target-server", self.name) != self.name:
            fields = {"X-Not-Run": "1", "X-Request-Id": name, "X-Server-Id": self.name}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", fields))
        else:
            return await self.execute(request, method, path, name, writer)
        await writer.drain()
        return True

    async def execute(self, request, method, path, name, writer):
        framing = self.random.choice((LENGTH, CHUNKS, UNTIL_CLOSE))
        is_stream = path.startswith(("/stream/", "/resume/"))
        after = int(request.fields.get("last-event-id", 0))
        if is_stream and framing == LENGTH:
            # A stream with a length can't be resumed.
            framing = CHUNKS
        report("started", name, framing, after)
        is_long = self.random.random() < LONG_SHARE
        await asyncio.sleep(self.random.uniform(*(LONG_S if is_long else SHORT_S)))
        fields = {"X-Request-Id": name, "X-Server-Seal": SEAL}
        if is_stream:
            fields["Content-Type"] = "text/event-stream"
            body = streams.events(path)[after:]
        else:
            body = [expected_body(name, method, path, request.body)]
        length = sum(map(len, body)) if framing == LENGTH else None
        writer.write(encode_head("HTTP/1.1 200 OK", fields, length, framing == CHUNKS))
        for number, item in enumerate(body, after + 1):
            report("opening", name, number)
            for part in streams.parts(item):
                if part:
                    writer.write(encode_chunk(part) if framing == CHUNKS else part)
                    await writer.drain()
                    report("within", name, number)
                await asyncio.sleep(self.random.uniform(*PART_S))
            report("written", name, number)
        report("completed", name)
        if framing == CHUNKS:
            writer.write(encode_chunk(b""))
        await writer.drain()
        return framing != UNTIL_CLOSE


def main():
    name, ip, port, seed, *control = sys.argv[1:]
    addresses = [(address.split(":")[0], int(address.split(":")[1])) for address in control]
    asyncio.run(Server(name, ip, int(port), int(seed), addresses).run())


if __name__ == "__main__":
    main()
