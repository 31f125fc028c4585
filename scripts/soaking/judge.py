"""What must hold, judged from what clients, servers and the operator have seen."""
import asyncio
import time
from collections import Counter

from .servers import expected_body

#: Statuses that promise that the request has not run and will not.
NOT_RUN = (408, 421, 429, 503)
#: Statuses that deny a request which the configuration allows.
DENIALS = (400, 401, 403, 404, 405)
#: A request that crosses the close of its connection ends within this, in seconds.
CROSSING_S = 0.5
KEPT_FINDINGS = 12


class Stalls:
    """How long this process was kept from running: bounds on other processes are extended by as much."""

    INTERVAL_S = 0.05

    def __init__(self):
        self.found = []

    async def watch(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(self.INTERVAL_S)
            late = time.monotonic() - before - self.INTERVAL_S
            if late > self.INTERVAL_S:
                self.found.append((before, late))

    def since(self, begin):
        return sum(late for at, late in self.found if at >= begin)


class Judge:
    """Collects tries and findings."""

    def __init__(self, runs):
        self.runs = runs
        self.stalls = Stalls()
        self.findings = []
        self.outcomes = Counter()
        self.unsafe = set()
        self.refused = []
        self.lost = []

    def broken(self, rule, what):
        self.findings.append(f"{rule}: {what}")

    def record(self, one, answer, sent):
        self.outcomes[one.outcome] += 1
        if one.outcome == 200:
            self.check_answer(one, answer, sent)
        elif one.outcome in DENIALS:
            self.broken("DENIED", f"{one.name} at node {one.node.number}: {one.outcome}")
        elif one.outcome == "hung":
            if not one.node.disturbed_within(one.sent_at, one.ended_at):
                self.broken("HUNG", f"{one.name} at node {one.node.number}")
        elif one.outcome in ("ended", "truncated"):
            self.lost.append(one)
        if one.unsafe:
            self.unsafe.add(one.name)
            if one.outcome in NOT_RUN:
                self.refused.append(one)

    def check_answer(self, one, answer, sent):
        if answer.body != expected_body(one.name, *sent) or answer.fields.get("x-request-id") != one.name:
            self.broken("MIXED", f"{one.name} at node {one.node.number}: {answer.body[:80]!r}")

    def conclude(self):
        """Judges what depends on all that was seen."""
        for one in self.refused:
            if self.runs.begun[one.name]:
                self.broken("REFUSED", f"{one.name} at node {one.node.number} ran, and was answered {one.outcome}")
        for name, count in self.runs.begun.items():
            if count > 1 and name in self.unsafe:
                self.broken("TWICE", f"{name} ran {count} times")
        for one in self.lost:
            if one.node.disturbed_within(one.sent_at, one.ended_at):
                continue
            took = one.ended_at - one.sent_at
            if one.outcome == "truncated" or self.runs.begun[one.name] or took > CROSSING_S:
                self.broken("LOST", f"{one.name} at node {one.node.number}: {one.outcome} after {took:.2f} s, "
                            f"SIGTERM {one.node.terminated_at and one.sent_at - one.node.terminated_at}")
        return self.findings
