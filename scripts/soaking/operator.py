"""The operator: changes the configuration, each time with another set of routes, and checks that changes are in force."""
import asyncio
import json
import random
import time
from dataclasses import dataclass

from . import nodes
from .servers import SERVICE
from .wire import Ended, Truncated, call, read_following

HOST = "soak.example"
#: Nodes that are asked whether a change is in force.
PROBED_NODES = 24
CHANGE_DEADLINE_S = 25.0


@dataclass
class Change:
    """A change that was acknowledged."""

    version: int
    body: bytes
    acknowledged_at: float


def route(name, prefix, kind, tries):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000, "targetMs": 500,
            "priority": 1, "backend": SERVICE, "tries": tries, "public": True}


def configuration(version, routes, generator):
    """A configuration with the routes of the clients, one that names its version, and so many more."""
    word = lambda: "".join(generator.choice("abcdefghijklmnopqrstuvwxyz0123456789") for _ in range(9))
    more = [route(f"r-{word()}", f"/{word()}/{number}/", "safe", 2) for number in range(routes)]
    return json.dumps({
        "version": version,
        "routes": [route("safe", "/safe/", "safe", 3), route("unsafe", "/unsafe/", "unsafe", 2),
                   route("added", f"/added-{version}/", "safe", 2), *more],
        "backends": [{"name": SERVICE, "healthPath": "/health", "maxConns": 4000, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }).encode()


class Operator:
    """Sends one change after the other; a change without a clear answer is sent again as it was."""

    def __init__(self, fleet, judge, seed):
        self.fleet, self.judge = fleet, judge
        self.random = random.Random(seed)
        self.changes = []

    @property
    def version(self):
        return self.changes[-1].version if self.changes else 0

    async def change(self, routes):
        version = self.version + self.random.randint(1, 3)
        body = configuration(version, routes, self.random)
        begun, answer = time.monotonic(), None
        while time.monotonic() - begun < CHANGE_DEADLINE_S:
            node = self.random.choice(self.fleet.running())
            try:
                fields = {"If-Match": str(self.version), "Content-Type": "application/json"}
                answer = await call(node.address(nodes.CONTROL), "PUT /v1/config HTTP/1.1", fields, body, 4.0)
            except (OSError, TimeoutError, Ended, Truncated) as error:
                answer = error
                await asyncio.sleep(0.1)
                continue
            if answer.status == 200:
                self.changes.append(Change(version, body, time.monotonic()))
                return
            if answer.status < 500 and answer.status not in (408, 429):
                return self.judge.broken("CONFIG", f"version {version} was refused with {answer.status}: {answer.body[:200]}")
            await asyncio.sleep(0.1)
        self.judge.broken("ACKS", f"version {version} was not acknowledged within {CHANGE_DEADLINE_S} s: {answer}")

    async def check_in_force(self, change):
        """Asks nodes in touch for what only this version or a newer one allows."""
        await asyncio.sleep(max(0.0, change.acknowledged_at + nodes.APPLY_S - time.monotonic()))
        stall = self.judge.stalls.since(change.acknowledged_at)
        await asyncio.sleep(stall)
        if self.version != change.version:
            return
        now = time.monotonic()
        in_touch = [node for node in self.fleet.nodes if node.in_touch(now)]
        probed = self.random.sample(in_touch, min(PROBED_NODES, len(in_touch)))
        await asyncio.gather(*(self.probe(node, change) for node in probed))

    async def probe(self, node, change):
        fields = {"Host": HOST, "X-Request-Id": f"probe-{node.number}-{change.version}"}
        try:
            answer = await call(node.address(nodes.FRONT), f"GET /added-{change.version}/x HTTP/1.1", fields, within=9.0)
        except (OSError, TimeoutError, Ended, Truncated):
            return
        if answer.status == 404 and self.version == change.version:
            self.judge.broken("CONFIG", f"node {node.number} lacks version {change.version}, acknowledged "
                              f"{time.monotonic() - change.acknowledged_at:.1f} s before")

    async def read_back(self, within):
        """Reads the configuration at each node until it is the newest."""
        newest, begun = self.changes[-1], time.monotonic()
        waiting = {node.number: "nothing" for node in self.fleet.nodes}
        while waiting and time.monotonic() - begun < within:
            for number in list(waiting):
                node = self.fleet.nodes[number]
                try:
                    answer = await read_following(node.address(nodes.CONTROL), "/v1/config")
                except (OSError, TimeoutError, Ended, Truncated) as error:
                    waiting[number] = repr(error)
                    continue
                if (answer.status, answer.body) == (200, newest.body):
                    del waiting[number]
                else:
                    waiting[number] = f"{answer.status}, {len(answer.body)} bytes"
            await asyncio.sleep(0.2)
        for number, found in list(waiting.items())[:5]:
            self.judge.broken("CONFIG", f"node {number} does not read version {newest.version} back: {found}")
