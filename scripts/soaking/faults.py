"""Random SIGHUPs, kills, freezes and restarts, which overlap with each other and with configuration changes."""
import asyncio

from . import nodes
from .servers import ModelServer

#: Bounds of the time until another model server takes the address of one that has ended, in seconds: `reuseAfterS` or more.
ADDRESS_FREE_S = (2.0, 4.0)


class FaultInjector:
    """Injects random faults until stopped. At most LOSSES core nodes are disturbed at any time."""

    def __init__(self, fleet, checker, generator):
        self.fleet, self.checker, self.random = fleet, checker, generator
        self.count = 0
        self.disturbed = set()

    async def run(self, stopping):
        async with asyncio.TaskGroup() as tasks:
            while not stopping.is_set():
                for _ in range(self.random.choice((1, 1, 2, 4))):
                    if node := self.choose_node():
                        self.disturbed.add(node.number)
                        self.count += 1
                        tasks.create_task(self.disturb(node))
                    await asyncio.sleep(self.random.uniform(0.0, 0.3))
                await asyncio.sleep(self.random.uniform(0.3, 2.0))

    def choose_node(self):
        """Picks a running, undisturbed node; None if half of the fleet or less is left to choose from."""
        core_may_lose_one = len(self.disturbed & set(range(nodes.CORE_SIZE))) < nodes.LOSSES
        candidates = [node for node in self.fleet.running()
                      if node.number not in self.disturbed and (not node.core or core_may_lose_one)]
        if len(candidates) <= len(self.fleet.nodes) // 2:
            return None
        return self.random.choice(candidates)

    async def disturb(self, node):
        fault = self.random.choice((self.restart, self.restart, self.send_sighup, self.kill, self.freeze))
        try:
            await fault(node)
        finally:
            # A core node counts as lost until it has had time to catch up.
            await asyncio.sleep(nodes.IN_TOUCH_S if node.core else 0.2)
            self.disturbed.discard(node.number)

    async def restart(self, node):
        exit_status = await node.terminate()
        if exit_status != 0:
            self.checker.report("EXIT", f"node {node.number} after SIGTERM: {exit_status}")
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        node.start()

    async def send_sighup(self, node):
        for _ in range(self.random.randint(1, 4)):
            node.send_sighup()
            await asyncio.sleep(self.random.uniform(0.0, 0.3))

    async def kill(self, node):
        node.kill()
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        node.start()

    async def freeze(self, node):
        await node.freeze(self.random.uniform(0.2, 3.0))


class ServerFaultInjector:
    """Kills, freezes, terminates and replaces model servers until stopped. At most half of them are disturbed at any time."""

    def __init__(self, fleet, checker, servers, seed, generator):
        self.fleet, self.checker, self.seed, self.random = fleet, checker, seed, generator
        #: The current process at each address, and all processes so far.
        self.current, self.all = list(servers), list(servers)
        self.count = 0
        self.disturbed = set()

    async def run(self, stopping):
        async with asyncio.TaskGroup() as tasks:
            while not stopping.is_set():
                free = [place for place in range(len(self.current)) if place not in self.disturbed]
                if len(self.disturbed) < len(self.current) // 2:
                    place = self.random.choice(free)
                    self.disturbed.add(place)
                    self.count += 1
                    tasks.create_task(self.disturb(place))
                await asyncio.sleep(self.random.uniform(0.1, 1.2))

    async def disturb(self, place):
        fault = self.random.choice((self.kill, self.kill, self.terminate, self.freeze, self.freeze_and_kill))
        try:
            await fault(place)
        finally:
            self.disturbed.discard(place)

    async def kill(self, place):
        await self.current[place].kill()
        await self.replace(place)

    async def terminate(self, place):
        exit_status = await self.current[place].terminate()
        if exit_status != 0:
            self.checker.note(f"model server at place {place} after SIGTERM: {exit_status}")
        await self.replace(place)

    async def freeze(self, place):
        await self.current[place].freeze(self.random.uniform(0.2, 3.0))

    async def freeze_and_kill(self, place):
        frozen = asyncio.create_task(self.current[place].freeze(self.random.uniform(0.2, 2.0)))
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        await self.current[place].kill()
        await frozen
        await self.replace(place)

    async def replace(self, place):
        """Starts a process with a new name at the same address."""
        await asyncio.sleep(self.random.uniform(*ADDRESS_FREE_S))
        incarnation = sum(server.place == place for server in self.all)
        server = ModelServer(place, incarnation, self.fleet, self.checker.executions, self.seed * 100 + place)
        await server.start()
        self.current[place] = server
        self.all.append(server)
