"""Disturbances in series: signals, kills, freezes and restarts, which overlap with each other and with changes."""
import asyncio

from . import nodes


class Faults:
    """Draws disturbances until it is told to stop. Of the core no more is down than the settings say."""

    def __init__(self, fleet, judge, generator):
        self.fleet, self.judge, self.random = fleet, judge, generator
        self.count = 0
        self.busy = set()

    async def run(self, stopping):
        async with asyncio.TaskGroup() as tasks:
            while not stopping.is_set():
                for _ in range(self.random.choice((1, 1, 2, 4))):
                    if node := self.victim():
                        self.busy.add(node.number)
                        self.count += 1
                        tasks.create_task(self.disturb(node))
                    await asyncio.sleep(self.random.uniform(0.0, 0.3))
                await asyncio.sleep(self.random.uniform(0.3, 2.0))

    def victim(self):
        core_free = len(self.busy & set(range(nodes.CORE_SIZE))) < nodes.LOSSES
        candidates = [node for node in self.fleet.running()
                      if node.number not in self.busy and (not node.core or core_free)]
        if len(candidates) <= len(self.fleet.nodes) // 2:
            return None
        return self.random.choice(candidates)

    async def disturb(self, node):
        what = self.random.choice((self.restart, self.restart, self.hang_up, self.kill, self.freeze))
        try:
            await what(node)
        finally:
            # A member of the core counts as lost until it has caught up.
            await asyncio.sleep(nodes.IN_TOUCH_S if node.core else 0.2)
            self.busy.discard(node.number)

    async def restart(self, node):
        ended = await node.terminate()
        if ended != 0:
            self.judge.broken("EXIT", f"node {node.number} after SIGTERM: {ended}")
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        node.start()

    async def hang_up(self, node):
        for _ in range(self.random.randint(1, 4)):
            node.hang_up()
            await asyncio.sleep(self.random.uniform(0.0, 0.3))

    async def kill(self, node):
        node.kill()
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        node.start()

    async def freeze(self, node):
        await node.freeze(self.random.uniform(0.2, 3.0))
