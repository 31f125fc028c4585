"""Checks the guarantees of the fleet against what clients, servers and the operator observed."""
import asyncio
import time
from collections import Counter

from . import streams
from .servers import UNTIL_CLOSE, expected_body

#: Statuses which guarantee that no server has executed the request or will.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
#: Client-error statuses; wrong here, because the configuration allows every request that the clients send.
DENIED_STATUSES = (400, 401, 403, 404, 405)
#: A request sent while the node closes the connection fails within this many seconds.
CLOSE_RACE_S = 0.5
#: Number of findings that are printed for each seed.
MAX_PRINTED_FINDINGS = 12


class Stalls:
    """Measures how long this process was not scheduled. Deadlines for the nodes are extended by the same time."""

    INTERVAL_S = 0.05

    def __init__(self):
        self.intervals = []

    async def watch(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(self.INTERVAL_S)
            late = time.monotonic() - before - self.INTERVAL_S
            if late > self.INTERVAL_S:
                self.intervals.append((before, late))

    def total_since(self, begin):
        """Sum of the stalls that began at or after `begin`, in seconds."""
        return sum(late for at, late in self.intervals if at >= begin)


class Checker:
    """Collects the outcomes of requests and reports each violated guarantee as a finding."""

    def __init__(self, executions):
        self.executions = executions
        self.stalls = Stalls()
        self.findings = []
        self.outcomes = Counter()
        self.unsafe_ids = set()
        self.not_executed = []
        self.unanswered = []
        #: Responses to be checked once all reports of the servers are read.
        self.responses = []
        #: Responses that are complete by their framing though bytes are missing, and nothing on the wire shows it.
        self.unnoticeable = 0

    def report(self, rule, description):
        self.findings.append(f"{rule}: {description}")

    def note(self, text):
        """Prints something about the stand-ins, which is no fault of the nodes."""
        print(f"    note: {text}", flush=True)

    def record(self, record, response):
        self.outcomes[record.outcome] += 1
        if response and response.status == 200:
            self.responses.append((record, response))
        if record.outcome == 200:
            pass
        elif record.outcome in DENIED_STATUSES:
            self.report("DENIED", f"{record.name} at node {record.node.number}: {record.outcome}")
        elif record.outcome == "hung":
            if not record.node.may_lose_request(record.sent_at, record.ended_at):
                self.report("HUNG", f"{record.name} ({record.kind}) at node {record.node.number}")
        elif record.outcome in ("ended", "truncated"):
            self.unanswered.append(record)
        if record.unsafe:
            self.unsafe_ids.add(record.name)
            if record.outcome in NOT_EXECUTED_STATUSES:
                self.not_executed.append(record)

    def check_response(self, record, response):
        """The response must belong to this very request: same id and the body that a server derives from it."""
        if response.fields.get("x-request-id") != record.name:
            return self.report("MIXED", f"{record.name} at node {record.node.number}: {response.fields}")
        if record.is_stream:
            return self.check_stream(record, response)
        expected = expected_body(record.name, record.method, record.path, record.body)
        if response.body == expected or (record.outcome != 200 and expected.startswith(response.body)):
            return None
        broke_off = any(run.framing == UNTIL_CLOSE and not run.completed for run in self.executions.runs[record.name])
        if broke_off and expected.startswith(response.body):
            self.unnoticeable += 1
            return None
        return self.report("MIXED", f"{record.name} at node {record.node.number}: {response.body[:80]!r}")

    def check_stream(self, record, response):
        """No event may be lost, repeated or joined of two runs, and a stream may end as complete after its last one only."""
        received = streams.prefix(record.path, record.after) + response.body
        number = streams.whole_events(record.path, received)
        where = f"{record.name} ({record.path} after {record.after}) at node {record.node.number}"
        if number is None:
            return self.report("ORDER", f"{where}: other bytes than its events: {response.body[-120:]!r}")
        everything = streams.events(record.path)
        if record.outcome != 200 or number == len(everything):
            return None
        ends = set().union(*(run.unnoticeable_ends() for run in self.executions.runs[record.name]))
        if received == streams.prefix(record.path, number) and number in ends:
            self.unnoticeable += 1
            return None
        return self.report("ORDER", f"{where}: complete after {number} events of {len(everything)}, "
                           f"{response.body[-60:]!r}; runs: {self.executions.runs[record.name]}")

    def finish(self):
        """Runs the checks that need the complete record, and returns all findings."""
        for record, response in self.responses:
            self.check_response(record, response)
        for record in self.not_executed:
            if self.executions.started[record.name]:
                self.report("REFUSED", f"{record.name} at node {record.node.number} ran, and was answered {record.outcome}")
        for name, count in self.executions.started.items():
            if count > 1 and name in self.unsafe_ids:
                self.report("TWICE", f"{name} ran {count} times")
        for record in self.unanswered:
            if record.node.may_lose_request(record.sent_at, record.ended_at):
                continue
            if self.executions.may_be_lost(record.name, record.sent_at, record.ended_at):
                continue
            took = record.ended_at - record.sent_at
            if record.outcome == "truncated" or self.executions.started[record.name] or took > CLOSE_RACE_S:
                self.report("LOST", f"{record.name} ({record.kind}) at node {record.node.number}: {record.outcome} after {took:.2f} s, "
                            f"SIGTERM {record.node.terminated_at and record.sent_at - record.node.terminated_at}")
        return self.findings
