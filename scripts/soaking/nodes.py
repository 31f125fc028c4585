"""The node processes: their settings, the signals sent to them, and when each was disturbed."""
import asyncio
import os
import signal
import subprocess
import time

FRONT, READINESS, CONTROL, FIRST_INTERNAL, LAST_INTERNAL = 9000, 9001, 9100, 7700, 7715
#: Time bounds in seconds. The node settings and the checks use the same values.
GRACE_S = 8
APPLY_S = 3.0
IN_TOUCH_S = 5.0
#: The first CORE_SIZE nodes keep the control state on disk; up to LOSSES of them may be lost at once.
CORE_SIZE, LOSSES = 5, 2

SETTINGS = """\
nodeName = "node-{number}"
role = "node"
machineClass = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "zone-{zone}"
region = "here"
internalPorts = [{first}, {last}]
seedNodes = [{seeds}]
firstBoot = {first_boot}
lossCounts = {core}
{data}
beatEveryMs = 1000
[listenOn]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
controlPlane = "{ip}:{control}"
[survive]
machineLosses = {losses}
[timeBounds]
seedLagS = 3
reuseAfterS = 2
inTouchMs = {in_touch_ms}
ackWithinMs = 6000
catchUpS = 6
drainMs = 3000
graceS = {grace_s}
lossSlackMs = 200
configApplyMs = {apply_ms}
rollbackSlackMs = 250
maxStretchMs = 8000
revokeEverywhere = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 640
recoverS = 15
transitMs = 200
leaseMs = 3000
thawMs = 300
versionMs = 10000
"""


class Node:
    """One machine: a node process that can be ended and restarted on the same data folder."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.ip = fleet.ip(number)
        self.core = number < CORE_SIZE
        self.process = None
        self.first_boot = True
        #: Time since which it runs undisturbed; infinity while it is stopped or frozen.
        self.undisturbed_since = float("inf")
        #: Intervals (begin, end) around kills and freezes, in which requests may be lost.
        self.loss_windows = []
        self.terminated_at = None

    def address(self, port):
        return self.ip, port

    def start(self):
        folder = self.fleet.folder
        data = os.path.join(folder, f"data-{self.number}")
        os.makedirs(data, exist_ok=True)
        settings = SETTINGS.format(
            number=self.number, ip=self.ip, zone=self.number % 5, first=FIRST_INTERNAL, last=LAST_INTERNAL,
            seeds=", ".join(f'"{self.fleet.ip(seed)}:{CONTROL}"' for seed in range(3)),
            first_boot=str(self.first_boot).lower(), core=str(self.core).lower(),
            data=f'dataPath = "{data}"' if self.core else "", front=FRONT, readiness=READINESS, control=CONTROL,
            losses=LOSSES, in_touch_ms=int(IN_TOUCH_S * 1000), grace_s=GRACE_S, apply_ms=int(APPLY_S * 1000))
        path = os.path.join(folder, f"node-{self.number}.toml")
        with open(path, "w") as file:
            file.write(settings)
        with open(os.path.join(folder, f"node-{self.number}.log"), "a") as log:
            environment = {**os.environ, "GRADEPADDLE_BOOT": path}
            self.process = subprocess.Popen([self.fleet.program, "run"], env=environment, stderr=log)
        self.first_boot = False
        self.terminated_at = None
        self.undisturbed_since = time.monotonic()

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def in_touch(self, now):
        """Whether it has run undisturbed for long enough (IN_TOUCH_S) to be bound to apply changes in time."""
        return self.is_running and self.terminated_at is None and now - self.undisturbed_since > IN_TOUCH_S

    def send_sighup(self):
        self.process.send_signal(signal.SIGHUP)

    async def terminate(self):
        """Sends SIGTERM, then SIGKILL after the grace period. Returns the exit status, or a text if it was killed."""
        self.undisturbed_since = float("inf")
        self.terminated_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None:
            if time.monotonic() - self.terminated_at > GRACE_S:
                self.kill()
                return "killed after the grace period"
            await asyncio.sleep(0.02)
        return self.process.returncode

    def kill(self):
        now = time.monotonic()
        self.undisturbed_since = float("inf")
        self.loss_windows.append((now - 0.5, now + 1.0))
        self.process.kill()
        self.process.wait()

    async def freeze(self, seconds):
        begin = time.monotonic()
        self.undisturbed_since = float("inf")
        self.process.send_signal(signal.SIGSTOP)
        self.loss_windows.append((begin, begin + seconds + IN_TOUCH_S))
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)
        self.undisturbed_since = time.monotonic()

    def may_lose_request(self, begin, end):
        """Whether a kill or a freeze may have lost a request that was under way from `begin` to `end`."""
        return any(begin < window_end and end > window_begin for window_begin, window_end in self.loss_windows)


class Fleet:
    """All node processes. Their block of loopback addresses is derived from this process's id."""

    def __init__(self, program, folder, size):
        self.program, self.folder = program, folder
        block = os.getpid() % 40_000
        self.prefix = f"127.{20 + block // 250}.{block % 250}"
        self.nodes = [Node(self, number) for number in range(size)]

    def ip(self, number):
        return f"{self.prefix}.{1 + number}"

    def running(self):
        return [node for node in self.nodes if node.is_running and node.terminated_at is None]

    def core_down(self):
        return sum(not node.is_running or node.undisturbed_since == float("inf") for node in self.nodes[:CORE_SIZE])

    def kill_all(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes:
            if node.process:
                node.process.wait()
