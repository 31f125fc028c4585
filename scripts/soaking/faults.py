"""Random SIGHUPs, kills, freezes and restarts, which overlap with each other and with configuration changes."""
import asyncio

from . import nodes


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
