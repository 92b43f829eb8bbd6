"""Stand-ins of upstreams and callers, and what both of them observe."""

import asyncio
import json
import random
import socket
import time

from wire import ACK, BOUNCED, FINISH, OPEN, RESET, Segment

SERVICE_TIME_SECONDS = 0.02
# A caller sends its opening segment at these times after the attempt began.
OPEN_SEND_SECONDS = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_SECONDS = 1.4
REQUEST_DEADLINE_SECONDS = 3.0
RETRANSMIT_SECONDS = 0.2
REPORT_INTERVAL_SECONDS = 0.5


class Results:
    """What callers and upstreams observed, and the violations found in it."""

    def __init__(self):
        self.violations = []
        # Flow -> hosts whose upstreams ran its request.
        self.runs = {}
        # Flow -> (upstream, incarnation) that last accepted a segment of it.
        self.flow_owners = {}
        # Flows whose opening segment was answered with a reset.
        self.refused = set()
        # Pairs of the time at which a request ended, and its outcome.
        self.outcomes = []
        # Requests that end after this time must be answered. None until all
        # faults have ended.
        self.recover_by = None

    def report_violation(self, what):
        """Records a violated guarantee."""
        self.violations.append(what)


class Upstream(asyncio.DatagramProtocol):
    """An upstream, which receives segments from its agent only."""

    def __init__(self, testbed, results, host, service, slots=2):
        self.testbed, self.results = testbed, results
        self.host, self.service, self.slots = host, service, slots
        self.alive = False
        self.incarnation = 0
        self.draining_since = None
        self.drain_acked_at = None
        self.listener = None

    def start(self):
        """Starts a new incarnation without the flows of the previous one."""
        self.alive, self.incarnation = True, self.incarnation + 1
        self.flows, self.queue, self.running = {}, [], 0
        self.draining_since = self.drain_acked_at = None
        self.started_at_unix_ms, self.sequence = int(time.time() * 1000), 0
        self.started_at = time.monotonic()
        self._listen()

    def crash(self):
        """Stops without closing flows or deregistering."""
        self.alive = False
        self._stop_listening()

    def _stop_listening(self):
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def _listen(self):
        """Accepts connections, by which agents see that it is running."""
        self._stop_listening()
        self.listener = socket.create_server(
            (self.host, self.testbed.ports["app"]), backlog=64)
        self.listener.setblocking(False)
        asyncio.get_running_loop().add_reader(
            self.listener, lambda: self.listener.accept()[0].close())

    def connection_made(self, transport):
        self.transport = transport

    def send(self, segment):
        """Sends a segment through the agent beside this upstream."""
        self.transport.sendto(segment.pack(),
                              (self.host, self.testbed.ports["outbound"]))

    def datagram_received(self, data, _):
        s = Segment.unpack(data) if self.alive else None
        if s is None:
            return
        flow = (s.source, s.target)
        if s.flags & OPEN:
            self._handle_open(flow, s)
        elif flow not in self.flows:
            s.flags |= BOUNCED
            self.send(s)
        else:
            self._handle_segment(flow, s)

    def _handle_open(self, flow, s):
        expected = self.testbed.service_of(s.target)
        if expected is not None and expected != self.service:
            self.results.report_violation(
                f"misdelivered: {flow} at {self.service}")
        if self.drain_acked_at and time.monotonic() - self.drain_acked_at > 3:
            self.results.report_violation(
                f"opened at a draining upstream: {flow}")
        seq = self.flows.setdefault(
            flow, {"seq": random.getrandbits(31), "got": s.seq + 1,
                   "answer": None})["seq"]
        self.send(Segment(s.target, s.source, OPEN | ACK, seq, s.seq + 1))

    def _handle_segment(self, flow, s):
        state = self.flows[flow]
        if s.ack != state["seq"] + 1 and state["answer"] is None:
            # The caller completed its handshake with another upstream, so the
            # flow is not owned here.
            s.flags |= BOUNCED
            self.send(s)
            return
        self.results.flow_owners[flow] = (self, self.incarnation)
        if self.testbed.violates("reset"):
            self.send(Segment(s.target, s.source, RESET))
        if s.data and state["got"] == s.seq:
            state["got"] += len(s.data)
            for _ in range(2 if self.testbed.violates("twice") else 1):
                self._run_request(flow, s)
        elif s.data and state["answer"]:
            self.send(state["answer"])

    def _run_request(self, flow, s):
        self.results.runs.setdefault(flow, []).append(self.host)
        if len(self.results.runs[flow]) > 1:
            self.results.report_violation(
                f"run twice: {flow} {self.results.runs[flow]}")
        asyncio.ensure_future(self._serve(flow, s, self.incarnation))

    async def _serve(self, flow, s, incarnation):
        while self.running >= self.slots:
            await asyncio.sleep(0.002)
        self.running += 1
        await asyncio.sleep(SERVICE_TIME_SECONDS * random.uniform(0.5, 1.5))
        if not self.alive or incarnation != self.incarnation:
            return
        self.running -= 1
        state = self.flows[flow]
        state["answer"] = Segment(s.target, s.source, ACK | FINISH,
                                  state["seq"] + 1, state["got"],
                                  b"done " + s.data)
        if self.testbed.violates("answer"):
            state["answer"].data += b"?"
        for _ in range(5):
            if not self.alive or incarnation != self.incarnation:
                return
            self.send(state["answer"])
            await asyncio.sleep(RETRANSMIT_SECONDS)

    async def report(self):
        """Reports its state to the agent at intervals until cancelled."""
        while True:
            await asyncio.sleep(
                REPORT_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            if not self.alive:
                continue
            self.sequence += 1
            wrong_service = self.testbed.violation == "service"
            body = json.dumps({
                "service": "service-1" if wrong_service else self.service,
                "address": f"{self.host}:{self.testbed.ports['app']}",
                "zone": "a", "version": "v1", "slots": self.slots,
                "state": ("draining" if self.draining_since
                          and self.testbed.violation != "drain" else "ready"),
                "warmup_left_ms": 0, "sequence": self.sequence,
                "born": self.started_at_unix_ms}).encode()
            draining = self.draining_since is not None
            if await self._put(body) and draining and not self.drain_acked_at:
                self.drain_acked_at = time.monotonic()

    async def deregister(self):
        """Removes its registration at the agent."""
        await self._call("DELETE", b"")

    async def _put(self, body):
        return await self._call("PUT", body)

    async def _call(self, method, body):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.host, self.testbed.ports["reports"]), 1)
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
    """A calling host, which opens one flow for each attempt of a request."""

    def __init__(self, testbed, results, host):
        self.testbed, self.results, self.host = testbed, results, host
        self.next_port = 1000
        # Flow -> queue of the segments received on it.
        self.inboxes = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        s = Segment.unpack(data)
        if self.testbed.violation == "served" and self.results.recover_by:
            return
        if s is not None and (s.target, s.source) in self.inboxes:
            self.inboxes[(s.target, s.source)].put_nowait(s)

    def send(self, segment):
        """Sends a segment to the balancer that the routers would choose."""
        balancer = self.testbed.balancer_for(segment.source)
        if balancer:
            self.transport.sendto(segment.pack(),
                                  (balancer, self.testbed.ports["packets"]))

    async def request(self, target, idempotent):
        """Sends a request, with up to two retries before its deadline, and
        records the outcome of the last attempt. After a reset only an
        idempotent request is retried."""
        end = time.monotonic() + REQUEST_DEADLINE_SECONDS
        for _ in range(3):
            outcome = await self._attempt(target, end)
            if outcome == "ok" or time.monotonic() > end:
                break
            if outcome == "reset" and not idempotent:
                break
            await asyncio.sleep(0.05)
        self.results.outcomes.append((time.monotonic(), outcome))

    async def probe(self, target):
        """Sends one request to the route that is added and removed during the
        run, and checks that the outcome fits the active rules."""
        exists = self.testbed.probe_exists
        source = (self.host, self.next_port % 60000 + 1)
        must_know = self.testbed.must_know_route(source)
        changed_at = self.testbed.probe_changed_at
        # Agents that have just started refuse flows for lack of an upstream
        # (seed 307). Such a refusal says nothing about the rules.
        can_serve = self.testbed.can_serve("service-1")
        outcome = await self._attempt(
            target, time.monotonic() + REQUEST_DEADLINE_SECONDS)
        can_serve = can_serve and self.testbed.can_serve("service-1")
        stale = (outcome == "refused"
                 and can_serve) if exists else outcome == "ok"
        if must_know and changed_at == self.testbed.probe_changed_at and stale:
            self.results.report_violation(
                f"old rules: {outcome} at {source}, the route "
                f"{'exists' if exists else 'does not exist'}")

    async def _attempt(self, target, end):
        self.next_port = self.next_port % 60000 + 1
        flow = ((self.host, self.next_port), target)
        inbox = self.inboxes[flow] = asyncio.Queue()
        try:
            return await self._exchange(flow, inbox, end)
        finally:
            del self.inboxes[flow]

    async def _open_flow(self, flow, inbox):
        seq = random.getrandbits(30)
        started_at = time.monotonic()
        for retry, delay in enumerate(
                OPEN_SEND_SECONDS + (OPEN_TIMEOUT_SECONDS,)):
            if delay < OPEN_TIMEOUT_SECONDS:
                self.send(Segment(flow[0], flow[1], OPEN, seq, retry))
            until = (OPEN_SEND_SECONDS
                     + (OPEN_TIMEOUT_SECONDS,))[min(retry + 1, 3)]
            while time.monotonic() < started_at + until:
                try:
                    s = await asyncio.wait_for(
                        inbox.get(), started_at + until - time.monotonic())
                except asyncio.TimeoutError:
                    break
                if s.flags & (OPEN | RESET):
                    return seq, s
        return seq, None

    async def _exchange(self, flow, inbox, end):
        seq, answer = await self._open_flow(flow, inbox)
        if answer is None:
            return "unanswered"
        if answer.flags & RESET:
            self.results.refused.add(flow)
            return "refused"
        body = b"%d" % random.getrandbits(60)
        if self.testbed.violates("refused"):
            self.results.refused.add(flow)
        while time.monotonic() < end:
            self.send(Segment(flow[0], flow[1], ACK, seq + 1, answer.seq + 1,
                              body))
            try:
                s = await asyncio.wait_for(inbox.get(), RETRANSMIT_SECONDS)
            except asyncio.TimeoutError:
                continue
            if s.flags & RESET:
                self._check_reset(flow)
                return "reset"
            if s.data:
                if s.data != b"done " + body:
                    self.results.report_violation(
                        f"another request's answer: {flow}")
                self.send(Segment(flow[0], flow[1], ACK | FINISH,
                                  seq + 1 + len(body), s.seq + len(s.data)))
                return "ok"
        return "late"

    def _check_reset(self, flow):
        upstream, incarnation = self.results.flow_owners.get(flow, (None, 0))
        if upstream and upstream.alive and upstream.incarnation == incarnation:
            self.results.report_violation(
                f"reset while its upstream lives: {flow}")
