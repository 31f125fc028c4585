"""The processes of the simulated model servers, the signals sent to them, and what they report of each request."""
import asyncio
import os
import signal
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass

from . import nodes

SERVICE = "pool"
PORT = 8200
#: How long a server serves on after the acknowledgement that it drains: `drainMs` and a little more, in seconds.
DRAIN_S = 3.5
#: Longest time in which a process starts, in seconds.
START_S = 30.0
#: Longest time in which a process ends after SIGTERM, in seconds.
END_S = 25.0
#: How long before a kill and after a freeze of a server a request there may be lost, in seconds.
BEFORE_KILL_S, AFTER_FREEZE_S = 0.5, 9.0
#: Framings of a response.
LENGTH, CHUNKS, UNTIL_CLOSE = "length", "chunks", "until-close"
SCRIPTS = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def expected_body(name, method, path, body):
    """The response body to a request: id, method, path and body, so that a mixed-up response is recognised."""
    return f"{name} {method} {path} ".encode() + body


@dataclass
class Run:
    """What one server did with one request."""

    server: object
    framing: str
    #: The event after which the stream begins.
    after: int
    #: The event that was begun last, and whether a part of it, and all of it, is known to be written.
    number: int = 0
    within: bool = False
    written: bool = True
    completed: bool = False

    def unnoticeable_ends(self):
        """The numbers of events after which the connection may have ended in order, though more were to come.

        Without a length the end of the connection is the end of the body. A stream has its first event all the same. A part
        that was written last may not have been reported.
        """
        if self.framing != UNTIL_CLOSE or self.completed:
            return set()
        if self.written:
            number = self.number or self.after
        else:
            number = self.number if self.within else self.number - 1
        return {number} - {0}


class Executions:
    """Counts by request id how often a request was started, and keeps the runs of each."""

    def __init__(self):
        self.started = Counter()
        self.runs = defaultdict(list)

    def record(self, server, line):
        words = line.split()
        match words:
            case ["started", name, framing, after]:
                self.started[name] += 1
                self.runs[name].append(Run(server, framing, int(after)))
            case ["opening", name, number]:
                run = self.run_at(server, name)
                run.number, run.within, run.written = int(number), False, False
            case ["within", name, _]:
                self.run_at(server, name).within = True
            case ["written", name, _]:
                self.run_at(server, name).written = True
            case ["completed", name]:
                self.run_at(server, name).completed = True
            case ["serving"]:
                server.serving.set()

    def run_at(self, server, name):
        return next(run for run in reversed(self.runs[name]) if run.server is server)

    def may_be_lost(self, name, begin, end):
        """Whether the loss of a server may have cost this request its response."""
        return any(run.server.may_lose_request(begin, end) for run in self.runs[name])


class ModelServer:
    """One process of a model server. After its end another one with a new name takes its address."""

    def __init__(self, place, incarnation, fleet, executions, seed):
        self.place, self.name = place, f"server-{place}-{incarnation}"
        self.fleet, self.executions = fleet, executions
        self.seed = seed * 1000 + incarnation
        self.process, self.reports = None, None
        self.serving = asyncio.Event()
        self.loss_windows = []

    async def start(self):
        """Starts the process and waits until it serves."""
        control = [f"{node.ip}:{nodes.CONTROL}" for node in self.fleet.nodes]
        arguments = [self.name, self.fleet.ip(240 + self.place), str(PORT), str(self.seed), *control]
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), "w") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "soaking.model_server", *arguments, cwd=SCRIPTS, stderr=log,
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        self.reports = asyncio.create_task(self.read_reports())
        async with asyncio.timeout(START_S):
            await self.serving.wait()

    async def read_reports(self):
        async for line in self.process.stdout:
            self.executions.record(self, line.decode())

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        now = asyncio.get_running_loop().time()
        self.loss_windows.append((now - BEFORE_KILL_S, float("inf")))
        if self.is_running:
            self.process.kill()
        await self.process.wait()
        await self.reports

    async def terminate(self):
        """Sends SIGTERM and waits until the process has drained and ended. Returns its exit status, or a text."""
        self.process.terminate()
        try:
            async with asyncio.timeout(END_S):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return f"killed {END_S} s after SIGTERM"
        await self.reports
        return self.process.returncode

    async def freeze(self, seconds):
        begin = asyncio.get_running_loop().time()
        self.loss_windows.append((begin, begin + seconds + AFTER_FREEZE_S))
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)

    def may_lose_request(self, begin, end):
        return any(begin < window_end and end > window_begin for window_begin, window_end in self.loss_windows)
