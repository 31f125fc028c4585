"""The simulated operator: replaces the configuration with ever new routes and keys, and checks that each change takes effect."""
import asyncio
import json
import random
import time
from dataclasses import dataclass

from . import nodes
from .servers import SERVICE
from .wire import ConnectionEnded, Truncated, call, get_following_redirects

HOST = "soak.example"
#: Number of nodes that are probed for each change.
PROBED_NODES = 24
#: The key that clients use; each version adds another one and revokes that of the version before.
TENANT_KEY = "key-of-clients"
CHANGE_DEADLINE_S = 25.0


@dataclass
class Change:
    """An acknowledged configuration change."""

    version: int
    body: bytes
    acknowledged_at: float
    #: The version before, whose key this one revokes.
    previous: int


def route(name, prefix, kind, tries, public=True):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000, "targetMs": 500,
            "priority": 1, "backend": SERVICE, "tries": tries, "public": public}


def stream_route(name, prefix, tries, resumable):
    return {**route(name, prefix, "streaming", tries), "sticky": False, "resumable": resumable, "gap_aim_ms": 1000}


def key_of(version):
    """The key that this version adds."""
    return f"key-of-version-{version}"


def configuration(version, routes, generator):
    """A configuration with the clients' routes, a route named after its version, and `routes` random further ones."""
    random_word = lambda: "".join(generator.choice("abcdefghijklmnopqrstuvwxyz0123456789") for _ in range(9))
    extra_routes = [route(f"r-{random_word()}", f"/{random_word()}/{number}/", "safe", 2) for number in range(routes)]
    return json.dumps({
        "version": version,
        "routes": [route("safe", "/safe/", "safe", 3), route("unsafe", "/unsafe/", "unsafe", 2),
                   route("keyed", "/keyed/", "safe", 3, public=False), stream_route("stream", "/stream/", 1, False),
                   stream_route("resume", "/resume/", 3, True),
                   route("added", f"/added-{version}/", "safe", 2), *extra_routes],
        "customers": [{"name": "tenant", "apiKeys": [TENANT_KEY, key_of(version)], "priority": 1, "isolated": False}],
        "backends": [{"name": SERVICE, "healthPath": "/health", "maxConns": 4000, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }).encode()


class Operator:
    """Sends one change at a time. A change without a conclusive response is sent again with the same bytes."""

    def __init__(self, fleet, checker, seed):
        self.fleet, self.checker = fleet, checker
        self.random = random.Random(seed)
        self.changes = []

    @property
    def version(self):
        return self.changes[-1].version if self.changes else 0

    async def change(self, routes):
        version = self.version + self.random.randint(1, 3)
        body = configuration(version, routes, self.random)
        started_at, response = time.monotonic(), None
        while time.monotonic() - started_at < CHANGE_DEADLINE_S:
            node = self.random.choice(self.fleet.running())
            try:
                fields = {"If-Match": str(self.version), "Content-Type": "application/json"}
                response = await call(node.address(nodes.CONTROL), "PUT /v1/config HTTP/1.1", fields, body, 4.0)
            except (OSError, TimeoutError, ConnectionEnded, Truncated) as error:
                response = error
                await asyncio.sleep(0.1)
                continue
            if response.status == 200:
                self.changes.append(Change(version, body, time.monotonic(), self.version))
                return
            if response.status < 500 and response.status not in (408, 429):
                return self.checker.report(
                    "CONFIG", f"version {version} was refused with {response.status}: {response.body[:200]}")
            await asyncio.sleep(0.1)
        self.checker.report("ACKS", f"version {version} was not acknowledged within {CHANGE_DEADLINE_S} s: {response}")

    async def check_applied(self, change):
        """Requests the route that this version adds from nodes in touch with the core, once the time to apply it is over."""
        await asyncio.sleep(max(0.0, change.acknowledged_at + nodes.APPLY_S - time.monotonic()))
        stall = self.checker.stalls.total_since(change.acknowledged_at)
        await asyncio.sleep(stall)
        if self.version != change.version:
            return
        now = time.monotonic()
        in_touch = [node for node in self.fleet.nodes if node.in_touch(now)]
        probed = self.random.sample(in_touch, min(PROBED_NODES, len(in_touch)))
        await asyncio.gather(*(self.probe(node, change) for node in probed))

    async def probe(self, node, change):
        age = f"version {change.version}, acknowledged {time.monotonic() - change.acknowledged_at:.1f} s before"
        status = await self.probe_status(node, f"route-{change.version}", f"/added-{change.version}/x")
        if status == 404 and self.version == change.version:
            self.checker.report("CONFIG", f"node {node.number} lacks {age}")
        key, revoked = key_of(change.version), key_of(change.previous)
        status = await self.probe_status(node, f"key-{change.version}", "/keyed/x", key)
        if status == 401 and self.version == change.version:
            self.checker.report("CONFIG", f"node {node.number} denies the key of {age}")
        status = await self.probe_status(node, f"revoked-{change.version}", "/keyed/x", revoked)
        if status == 200:
            self.checker.report("REVOKED", f"node {node.number} serves a key that was revoked by {age}")

    async def probe_status(self, node, name, path, key=None):
        """The status of the response to a request sent to this node; None if there is no response."""
        fields = {"Host": HOST, "X-Request-Id": f"probe-{node.number}-{name}", **({"X-Api-Key": key} if key else {})}
        try:
            return (await call(node.address(nodes.FRONT), f"GET {path} HTTP/1.1", fields, timeout_s=9.0)).status
        except (OSError, TimeoutError, ConnectionEnded, Truncated):
            return None

    async def read_back(self, timeout_s):
        """Polls every node until each returns the newest configuration; reports those that do not within the time given."""
        newest, started_at = self.changes[-1], time.monotonic()
        waiting = {node.number: "nothing" for node in self.fleet.nodes}
        while waiting and time.monotonic() - started_at < timeout_s:
            for number in list(waiting):
                node = self.fleet.nodes[number]
                try:
                    response = await get_following_redirects(node.address(nodes.CONTROL), "/v1/config")
                except (OSError, TimeoutError, ConnectionEnded, Truncated) as error:
                    waiting[number] = repr(error)
                    continue
                if (response.status, response.body) == (200, newest.body):
                    del waiting[number]
                else:
                    waiting[number] = f"{response.status}, {len(response.body)} bytes"
            await asyncio.sleep(0.2)
        for number, found in list(waiting.items())[:5]:
            self.checker.report("CONFIG", f"node {number} does not read version {newest.version} back: {found}")
