"""Stand-ins of clients, servers and routers that speak the users' packets.

They follow PROTOCOL.md: copies of a SYN after 200 and 600 ms, retransmissions
after 200 ms that double up to 1.6 s, SYN+ACKs with the server's own sequence
number, and BOUNCED packets for flows that a server does not hold. Each packet
carries a sum over its fields, so a reset of the system's own (sum 0) can be
told from one of the server."""

import asyncio
import random
import struct
import socket
import time
import zlib

HEADER = struct.Struct(">IIHHBBIIHII")
SYN, ACK, FIN, RST, BOUNCED = 64, 1, 32, 2, 8
SUM_KEY = b"review"
FLOW_MAX_SECONDS = 60
COPY_SECONDS = (0.0, 0.2, 0.6, 1.4)
MASK = 0xffffffff


def to_int(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def to_ip(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """One datagram; `src` and `dst` are pairs of address and port."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0):
        self.src, self.dst, self.flags, self.echo = src, dst, flags, echo
        self.seq, self.ack, self.data = seq & MASK, ack & MASK, data
        self.sum = self.computed_sum()

    def computed_sum(self):
        fields = HEADER.pack(
            to_int(self.src[0]), to_int(self.dst[0]), self.dst[1], self.src[1],
            self.flags & ~BOUNCED, 0, self.seq, self.ack, len(self.data), 0, 0)
        return zlib.crc32(SUM_KEY + fields + self.data) or 1

    def pack(self):
        return HEADER.pack(
            to_int(self.src[0]), to_int(self.dst[0]), self.dst[1], self.src[1],
            self.flags, 0, self.seq, self.ack, len(self.data), self.echo,
            self.sum) + self.data

    @staticmethod
    def unpack(datagram):
        if len(datagram) < HEADER.size:
            return None
        (src, dst, dport, sport, flags, _, seq, ack, size, echo,
         total) = HEADER.unpack(datagram[:HEADER.size])
        p = Packet((to_ip(src), sport), (to_ip(dst), dport), flags, seq, ack,
                   datagram[HEADER.size:], echo)
        p.sum = total
        return p if len(p.data) == size else None

    def is_genuine(self):
        return self.sum == self.computed_sum()


class Sender:
    """Sends data of one direction of a flow until it is acknowledged."""

    def __init__(self, send, give_up_after=None):
        self.send, self.unacked, self.task = send, [], None
        self.give_up_after = give_up_after

    def push(self, packet, end):
        self.unacked.append((end & MASK, packet))
        self.send(packet)
        if self.task is None or self.task.done():
            self.task = asyncio.ensure_future(self._retransmit())

    def acknowledge(self, ack):
        self.unacked = [(end, p) for end, p in self.unacked
                        if ((ack - end) & MASK) > MASK // 2]

    def stop(self):
        self.unacked = []
        if self.task is not None:
            self.task.cancel()

    async def _retransmit(self):
        interval, tries = 0.2, 0
        while self.unacked:
            await asyncio.sleep(interval)
            tries += 1
            if self.give_up_after and tries > self.give_up_after:
                self.unacked = []
            for _, packet in list(self.unacked):
                self.send(packet)
            interval = min(interval * 2, 1.6)


class Server(asyncio.DatagramProtocol):
    """An application server beside an agent."""

    def __init__(self, bed, ip, name, service, work_ms=20, slots=4):
        self.bed, self.ip, self.service, self.slots = bed, ip, service, slots
        self.name, self.work_ms = name, work_ms
        self.alive = self.draining = False
        # Seconds until a SYN is answered.
        self.syn_delay = 0.0
        self.beat_task = None

    async def start(self, first_beat=0.05):
        """Starts a new incarnation."""
        if not hasattr(self, "transport"):
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self, (self.ip, self.bed.ports["app"]))
        self.alive, self.draining, self.flows = True, False, {}
        self.born, self.sequence = int(time.time() * 1000), 0
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.bed.record(f"server {self.name} starts, service {self.service}, "
                        f"id {self.instance}")
        self.beat_task = asyncio.ensure_future(self._beat(first_beat))

    def crash(self):
        self.alive = False
        self.beat_task.cancel()
        self.bed.record(f"server {self.name} crashes")

    def connection_made(self, transport):
        self.transport = transport

    def send(self, packet):
        if self.alive:
            self.transport.sendto(packet.pack(),
                                  (self.ip, self.bed.ports["outbound"]))

    def holds_open(self, flow):
        """Returns whether the flow is open here and has not ended."""
        f = self.flows.get(flow) if self.alive else None
        return f is not None and f["phase"] == "open"

    def datagram_received(self, data, _):
        p = Packet.unpack(data) if self.alive else None
        if p is None:
            return
        if not p.is_genuine():
            self.bed.violation("UNASKED", f"server {self.name} got a packet "
                               f"that its sender did not write: {p.src}")
            return
        flow = (p.src, p.dst)
        f = self.flows.get(flow)
        if p.flags & SYN:
            self._on_syn(flow, f, p)
        elif f is None or (f["phase"] == "syn"
                           and p.ack != (f["isn"] + 1) & MASK):
            self.bed.count(f"bounced at {self.name}")
            p.flags |= BOUNCED
            self.send(p)
        else:
            self._on_packet(flow, f, p)

    def _on_syn(self, flow, f, p):
        if f is None or f["peer_isn"] != p.seq:
            f = self.flows[flow] = {
                "phase": "syn", "isn": random.getrandbits(32),
                "peer_isn": p.seq, "expected": (p.seq + 1) & MASK,
                "buffer": b"", "sender": Sender(self.send, 8)}
            f["next"] = (f["isn"] + 1) & MASK
        if f["phase"] == "syn":
            answer = Packet(p.dst, p.src, SYN | ACK, f["isn"], p.seq + 1)
            if self.syn_delay:
                asyncio.get_running_loop().call_later(self.syn_delay,
                                                      self.send, answer)
            else:
                self.send(answer)

    def _on_packet(self, flow, f, p):
        if f["phase"] == "syn":
            f["phase"] = "open"
            self.bed.count(f"opened at {self.name}")
            self.bed.record(f"flow of {p.src} opens at {self.name}")
            self.bed.owners[flow] = self
        if p.flags & RST:
            f["phase"] = "ended"
            f["sender"].stop()
            return
        f["sender"].acknowledge(p.ack)
        if f["phase"] == "ended":
            if p.data:
                self.send(Packet(p.dst, p.src, RST, f["next"], f["expected"]))
            elif p.flags & FIN:
                self.send(Packet(p.dst, p.src, ACK, f["next"], f["expected"]))
            return
        if p.data and p.seq == f["expected"]:
            f["expected"] = (f["expected"] + len(p.data)) & MASK
            f["buffer"] += p.data
            while b"\r\n\r\n" in f["buffer"]:
                head, f["buffer"] = f["buffer"].split(b"\r\n\r\n", 1)
                asyncio.ensure_future(self._run(flow, f, head))
        if p.flags & FIN and p.seq + len(p.data) & MASK == f["expected"]:
            f["expected"] = (f["expected"] + 1) & MASK
            f["phase"] = "ended"
            self.send(Packet(p.dst, p.src, FIN | ACK, f["next"],
                             f["expected"]))
        elif p.data:
            self.send(Packet(p.dst, p.src, ACK, f["next"], f["expected"]))

    async def _run(self, flow, f, head):
        request = head.decode().split("X-Request-Id: ")[1].split("\r\n")[0]
        born = self.born
        self.bed.runs.setdefault(request, []).append(self.name)
        self.bed.record(f"run {request} at {self.name}")
        await asyncio.sleep(self.work_ms / 1000)
        if not self.alive or self.born != born or f["phase"] != "open":
            return
        body = f"done {request}"
        answer = (f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.instance}\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        packet = Packet(flow[1], flow[0], ACK, f["next"], f["expected"], answer)
        f["next"] = (f["next"] + len(answer)) & MASK
        f["sender"].push(packet, f["next"])

    def report(self, state):
        self.sequence += 1
        return {"service": self.service,
                "address": f"{self.ip}:{self.bed.ports['app']}",
                "zone": self.bed.zone, "version": "v1", "slots": self.slots,
                "state": state, "warmup_left_ms": 0, "sequence": self.sequence,
                "born": self.born}

    async def _beat(self, first):
        await asyncio.sleep(first)
        while True:
            body = self.report("draining" if self.draining else "ready")
            await self.bed.call(self.ip, "PUT",
                                f"/-/instances/{self.instance}", body)
            await asyncio.sleep(self.bed.heartbeat_ms / 1000
                                * random.uniform(0.95, 1.05))


class Flow:
    """A client's flow, which is kept open for several requests."""

    def __init__(self, client, target):
        self.client, self.bed, self.target = client, client.bed, target
        client.port += 1
        self.src = (client.ip, client.port)
        self.key = (self.src, target)
        self.inbox = asyncio.Queue()
        self.reset_at = self.expected = None
        self.received = b""
        self.sender = Sender(self.send)
        self.answered = asyncio.Event()
        client.flows[self.key] = self

    def send(self, packet):
        self.client.send(packet)

    async def open(self):
        """Opens the flow; returns "open", "reset" or "silent"."""
        self.bed.record(f"open {self.src} to {self.target}")
        outcome = await self._open()
        if outcome != "open":
            self.bed.record(f"{self.src} is not open: {outcome}")
        return outcome

    async def _open(self):
        self.next = (random.getrandbits(32) + 1) & MASK
        isn = (self.next - 1) & MASK
        loop = asyncio.get_running_loop()
        started = loop.time()
        for copy in range(3):
            self.send(Packet(self.src, self.target, SYN, isn, copy))
            until = started + COPY_SECONDS[copy + 1]
            while loop.time() < until:
                try:
                    p = await asyncio.wait_for(self.inbox.get(),
                                               until - loop.time())
                except asyncio.TimeoutError:
                    break
                if p.flags & RST:
                    return "reset"
                if p.flags & SYN:
                    self.expected = (p.seq + 1) & MASK
                    self.send(Packet(self.src, self.target, ACK, self.next,
                                     self.expected))
                    self.opened_at = self.last_used = time.monotonic()
                    self.reader = asyncio.ensure_future(self._read())
                    return "open"
        return "silent"

    async def _read(self):
        while True:
            p = await self.inbox.get()
            if p.flags & RST:
                self._on_reset(p)
                continue
            if p.flags & SYN:
                continue
            self.last_used = time.monotonic()
            self.sender.acknowledge(p.ack)
            if p.data and p.seq == self.expected:
                self.expected = (self.expected + len(p.data)) & MASK
                self.received += p.data
                self.answered.set()
            if p.data:
                self.send(Packet(self.src, self.target, ACK, self.next,
                                 self.expected))

    def _on_reset(self, p):
        owner = self.bed.owners.get(self.key)
        live = owner is not None and owner.holds_open(self.key)
        own = p.sum == 0
        self.bed.record(
            f"reset of {'the system' if own else 'a server'} on flow "
            f"{self.src} to {self.target}, seq {p.seq}, flow expects "
            f"{self.expected}; open at {owner.name if live else 'no server'}")
        self.reset_at = time.monotonic()
        now = time.monotonic()
        if own and live and not self.bed.in_touch():
            self.bed.record("not counted: machines are not in touch")
        elif own and live and (
                now - self.last_used > self.bed.idle_timeout_ms / 1000
                or now - self.opened_at > FLOW_MAX_SECONDS):
            self.bed.record("not counted: the flow was idle or open too long")
        elif own and live:
            self.bed.violation(
                "FLOW", f"client {self.src} got a reset that the flow's server "
                f"{owner.name} did not send; the server lives and holds the "
                "flow open")
        self.sender.stop()
        self.answered.set()

    async def request(self, deadline=3.0):
        """Sends one request; returns "ok", "reset" or "late"."""
        if self.reset_at:
            return "reset"
        self.bed.requests += 1
        request = f"r{self.bed.requests}"
        data = (f"GET /x HTTP/1.1\r\nX-Request-Id: {request}\r\n\r\n").encode()
        self.received, self.answered = b"", asyncio.Event()
        self.bed.record(f"send {request} on {self.src} to {self.target}")
        packet = Packet(self.src, self.target, ACK, self.next, self.expected,
                        data)
        self.next = (self.next + len(data)) & MASK
        self.sender.push(packet, self.next)
        try:
            await asyncio.wait_for(self.answered.wait(), deadline)
        except asyncio.TimeoutError:
            self.bed.record(f"no answer to {request}")
            return "late"
        if self.reset_at:
            return "reset"
        if not self.received.endswith(f"done {request}".encode()):
            self.bed.violation("MIXED", f"{request} got {self.received!r}")
        self.bed.record(f"answer to {request}")
        return "ok"

    def close(self):
        self.sender.stop()
        if self.expected is not None and not self.reset_at:
            self.send(Packet(self.src, self.target, FIN | ACK, self.next,
                             self.expected))


class Client(asyncio.DatagramProtocol):
    """A client's machine."""

    def __init__(self, bed, ip):
        self.bed, self.ip, self.port, self.flows = bed, ip, 40000, {}

    async def start(self):
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, (self.ip, self.bed.ports["packets"]))
        return self

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        p = Packet.unpack(data)
        flow = self.flows.get((p.dst, p.src)) if p else None
        if flow is None:
            return
        if not p.is_genuine() and not (p.flags & RST and p.sum == 0):
            self.bed.violation("MIXED", f"client {self.ip} got a packet that "
                               "its sender did not write")
            return
        flow.inbox.put_nowait(p)

    def send(self, packet):
        balancer = self.bed.router.choose(packet.src, packet.dst)
        if balancer:
            self.transport.sendto(packet.pack(),
                                  (balancer, self.bed.ports["packets"]))


class Router:
    """The platform's routers of one zone: checks readiness twice a second, and
    takes a node out after two misses until it answers with 200 again."""

    def __init__(self, bed):
        self.bed, self.misses = bed, {}

    def rotation(self):
        nodes = list(self.misses)
        ready = [n for n in nodes if self.misses[n] < 2]
        return ready if 2 * len(ready) >= len(nodes) else nodes

    def choose(self, src, dst):
        """Rendezvous hash: only the flows of a node that leaves move."""
        nodes = self.rotation()
        return max(nodes, key=lambda n: zlib.crc32(
            repr((src, dst, n)).encode()), default=None)

    def watch(self, node):
        self.misses[node] = 2
        asyncio.ensure_future(self._poll(node))

    async def _poll(self, node):
        while True:
            ok = await self.bed.call(node, "GET", "/-/readiness", None,
                                     "readiness", 0.45)
            before = self.misses[node]
            self.misses[node] = 0 if ok else before + 1
            if (before < 2) != (self.misses[node] < 2):
                self.bed.record(f"router: {node} is "
                                f"{'in' if ok else 'out of'} rotation")
            await asyncio.sleep(0.5)
