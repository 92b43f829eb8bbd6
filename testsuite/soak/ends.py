"""Stand-ins of upstreams and callers, and the record of what both saw."""

import asyncio
import json
import random
import time

from wire import ACK, BOUNCED, FINISH, OPEN, RESET, Segment

WORK_SECONDS = 0.02
COPY_DELAYS = (0.0, 0.2, 0.6)
ATTEMPT_SECONDS = 1.4
DEADLINE_SECONDS = 3.0
RESEND_SECONDS = 0.2
REPORT_SECONDS = 0.5


class Record:
    """What broke, and what was served."""

    def __init__(self):
        self.broken = []
        self.runs = {}
        self.open_at = {}
        self.refused = set()
        self.outcomes = []
        # When the calm after the faults began.
        self.calm = None

    def fail(self, what):
        """Notes a broken promise."""
        self.broken.append(what)


class Upstream(asyncio.DatagramProtocol):
    """One upstream: takes segments from its agent only."""

    def __init__(self, fleet, record, host, service, slots=2):
        self.fleet, self.record = fleet, record
        self.host, self.service, self.slots = host, service, slots
        self.alive = False
        self.life = 0
        self.draining_since = None
        self.acknowledged = None

    def start(self):
        """A new life that holds nothing of before."""
        self.alive, self.life = True, self.life + 1
        self.flows, self.queue, self.running = {}, [], 0
        self.draining_since = self.acknowledged = None
        self.born, self.sequence = int(time.time() * 1000), 0
        self.started_at = time.monotonic()

    def crash(self):
        """Ends without a word."""
        self.alive = False

    def connection_made(self, transport):
        self.transport = transport

    def send(self, segment):
        """Through the agent beside it."""
        self.transport.sendto(segment.pack(),
                              (self.host, self.fleet.ports["outbound"]))

    def datagram_received(self, data, _):
        s = Segment.unpack(data) if self.alive else None
        if s is None:
            return
        flow = (s.source, s.target)
        if s.flags & OPEN:
            self._open(flow, s)
        elif flow not in self.flows:
            s.flags |= BOUNCED
            self.send(s)
        else:
            self._take(flow, s)

    def _open(self, flow, s):
        expected = self.fleet.service_of(s.target)
        if expected is not None and expected != self.service:
            self.record.fail(f"misdelivered: {flow} at {self.service}")
        if self.acknowledged and time.monotonic() - self.acknowledged > 3:
            self.record.fail(f"opened at a draining upstream: {flow}")
        seq = self.flows.setdefault(
            flow, {"seq": random.getrandbits(31), "got": s.seq + 1,
                   "answer": None})["seq"]
        self.send(Segment(s.target, s.source, OPEN | ACK, seq, s.seq + 1))

    def _take(self, flow, s):
        state = self.flows[flow]
        if s.ack != state["seq"] + 1 and state["answer"] is None:
            # Another upstream's handshake: not held here.
            s.flags |= BOUNCED
            self.send(s)
            return
        self.record.open_at[flow] = (self, self.life)
        if self.fleet.sabotages("reset"):
            self.send(Segment(s.target, s.source, RESET))
        if s.data and state["got"] == s.seq:
            state["got"] += len(s.data)
            for _ in range(2 if self.fleet.sabotages("twice") else 1):
                self._run(flow, s)
        elif s.data and state["answer"]:
            self.send(state["answer"])

    def _run(self, flow, s):
        self.record.runs.setdefault(flow, []).append(self.host)
        if len(self.record.runs[flow]) > 1:
            self.record.fail(f"run twice: {flow} {self.record.runs[flow]}")
        asyncio.ensure_future(self._work(flow, s, self.life))

    async def _work(self, flow, s, life):
        while self.running >= self.slots:
            await asyncio.sleep(0.002)
        self.running += 1
        await asyncio.sleep(WORK_SECONDS * random.uniform(0.5, 1.5))
        if not self.alive or life != self.life:
            return
        self.running -= 1
        state = self.flows[flow]
        state["answer"] = Segment(s.target, s.source, ACK | FINISH,
                                  state["seq"] + 1, state["got"],
                                  b"done " + s.data)
        if self.fleet.sabotages("answer"):
            state["answer"].data += b"?"
        for _ in range(5):
            if not self.alive or life != self.life:
                return
            self.send(state["answer"])
            await asyncio.sleep(RESEND_SECONDS)

    async def report(self):
        """Reports to its agent for ever."""
        while True:
            await asyncio.sleep(REPORT_SECONDS * random.uniform(0.8, 1.2))
            if not self.alive:
                continue
            self.sequence += 1
            lies = self.fleet.sabotage == "service"
            body = json.dumps({
                "service": "service-1" if lies else self.service,
                "address": f"{self.host}:{self.fleet.ports['app']}",
                "zone": "a", "version": "v1", "slots": self.slots,
                "state": ("draining" if self.draining_since
                          and self.fleet.sabotage != "drain" else "ready"),
                "warmup_left_ms": 0, "sequence": self.sequence,
                "born": self.born}).encode()
            draining = self.draining_since is not None
            if await self._put(body) and draining and not self.acknowledged:
                self.acknowledged = time.monotonic()

    async def say_goodbye(self):
        """Tells its agent that it ends."""
        await self._call("DELETE", b"")

    async def _put(self, body):
        return await self._call("PUT", body)

    async def _call(self, method, body):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.host, self.fleet.ports["reports"]), 1)
            name = self.host.replace(".", "-")
            writer.write((f"{method} /-/instances/i-{name} HTTP/1.1\r\n"
                          f"Host: x\r\nContent-Length: {len(body)}\r\n"
                          "Connection: close\r\n\r\n").encode() + body)
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Caller(asyncio.DatagramProtocol):
    """One calling host with many flows, each for one request."""

    def __init__(self, fleet, record, host):
        self.fleet, self.record, self.host = fleet, record, host
        self.next_port = 1000
        self.waiting = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        s = Segment.unpack(data)
        if self.fleet.sabotage == "served" and self.record.calm:
            return
        if s is not None and (s.target, s.source) in self.waiting:
            self.waiting[(s.target, s.source)].put_nowait(s)

    def send(self, segment):
        """To the balancer that the routers would choose."""
        balancer = self.fleet.balancer_for(segment.source)
        if balancer:
            self.transport.sendto(segment.pack(),
                                  (balancer, self.fleet.ports["packets"]))

    async def request(self, target, repeatable):
        """Asks until served, refused for good or too late."""
        end = time.monotonic() + DEADLINE_SECONDS
        for _ in range(3):
            outcome = await self._attempt(target, end)
            if outcome == "ok" or time.monotonic() > end:
                break
            if outcome == "reset" and not repeatable:
                break
            await asyncio.sleep(0.05)
        self.record.outcomes.append((time.monotonic(), outcome))

    async def probe(self, target):
        """Asks once for a route that comes and goes, and judges the answer."""
        there = self.fleet.probed_there
        source = (self.host, self.next_port % 60000 + 1)
        due = self.fleet.rules_due(source)
        since = self.fleet.probed_since
        # A refusal may be for want of an upstream: agents that have just
        # started take nothing (seed 307).
        could = self.fleet.can_serve("service-1")
        outcome = await self._attempt(target,
                                      time.monotonic() + DEADLINE_SECONDS)
        could = could and self.fleet.can_serve("service-1")
        old = (outcome == "refused" and could) if there else outcome == "ok"
        if due and since == self.fleet.probed_since and old:
            self.record.fail(f"old rules: {outcome} at {source}, the route "
                             f"{'is' if there else 'is not'} there")

    async def _attempt(self, target, end):
        self.next_port = self.next_port % 60000 + 1
        flow = ((self.host, self.next_port), target)
        inbox = self.waiting[flow] = asyncio.Queue()
        try:
            return await self._talk(flow, inbox, end)
        finally:
            del self.waiting[flow]

    async def _open(self, flow, inbox):
        seq = random.getrandbits(30)
        begun = time.monotonic()
        for copy, delay in enumerate(COPY_DELAYS + (ATTEMPT_SECONDS,)):
            if delay < ATTEMPT_SECONDS:
                self.send(Segment(flow[0], flow[1], OPEN, seq, copy))
            until = (COPY_DELAYS + (ATTEMPT_SECONDS,))[min(copy + 1, 3)]
            while time.monotonic() < begun + until:
                try:
                    s = await asyncio.wait_for(
                        inbox.get(), begun + until - time.monotonic())
                except asyncio.TimeoutError:
                    break
                if s.flags & (OPEN | RESET):
                    return seq, s
        return seq, None

    async def _talk(self, flow, inbox, end):
        seq, answer = await self._open(flow, inbox)
        if answer is None:
            return "unanswered"
        if answer.flags & RESET:
            self.record.refused.add(flow)
            return "refused"
        body = b"%d" % random.getrandbits(60)
        if self.fleet.sabotages("refused"):
            self.record.refused.add(flow)
        while time.monotonic() < end:
            self.send(Segment(flow[0], flow[1], ACK, seq + 1, answer.seq + 1,
                              body))
            try:
                s = await asyncio.wait_for(inbox.get(), RESEND_SECONDS)
            except asyncio.TimeoutError:
                continue
            if s.flags & RESET:
                self._judge_reset(flow)
                return "reset"
            if s.data:
                if s.data != b"done " + body:
                    self.record.fail(f"another request's answer: {flow}")
                self.send(Segment(flow[0], flow[1], ACK | FINISH,
                                  seq + 1 + len(body), s.seq + len(s.data)))
                return "ok"
        return "late"

    def _judge_reset(self, flow):
        upstream, life = self.record.open_at.get(flow, (None, 0))
        if upstream and upstream.alive and upstream.life == life:
            self.record.fail(f"reset while its upstream lives: {flow}")
