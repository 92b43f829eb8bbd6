"""A small deployment on loopback addresses for the scripts of review/11 and
later. The two programs of the deploy file run as separate processes. The
platform's store and routers, the servers and the clients are stand-ins that
follow the users' pages. What is sent, answered and run goes into a record.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEADER = struct.Struct(">IIHHBBIIHII")
SYN, ACK, FIN, RST, BOUNCED = 64, 1, 32, 2, 8
# A client ignores a reset on an open flow whose number is further away.
RESET_WINDOW = 76800
# The store returns at most about this many objects in one answer.
PAGE_ITEMS = 500
SYN_TIMES = (0.0, 0.2, 0.6)
ATTEMPT_SECONDS = 1.4
FIRST_RETRANSMIT, MAX_RETRANSMIT = 0.2, 1.6
HEARTBEAT_MS = 770
GRACE_SECONDS = 6
# The bounds of the site sanad-petitions-grown that hold here.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 5000,
    "ack_ms": 8000, "catch_up_s": 6, "drain_ms": 5000,
    "grace_s": GRACE_SECONDS, "loss_slack_ms": 200, "config_apply_ms": 5000,
    "rollback_slack_ms": 250, "max_skew_ms": 15000, "recovery_s": 15,
    "flow_reorder_ms": 2000, "flow_max_s": 60}
STABILITY_SECONDS = BOUNDS["stability_window_ms"] / 1000
ROUTE = ("127.63.0.1", 8443)
SERVICE = "petition-core"


def ip_to_int(host):
    return struct.unpack(">I", socket.inet_aton(host))[0]


def int_to_ip(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of a flow; `src` and `dst` are pairs of address and port."""

    # Key of the sum, known to clients and servers only.
    key = os.urandom(8)

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b""):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq, ack, data
        self.echo = self.sum = 0

    def expected_sum(self):
        fields = HEADER.pack(
            ip_to_int(self.src[0]), ip_to_int(self.dst[0]), self.dst[1],
            self.src[1], self.flags & ~BOUNCED, 0, self.seq, self.ack,
            len(self.data), 0, 0)
        return zlib.crc32(self.key + fields + self.data) or 1

    def pack(self, signed=True):
        if signed:
            self.sum = self.expected_sum()
        return HEADER.pack(
            ip_to_int(self.src[0]), ip_to_int(self.dst[0]), self.dst[1],
            self.src[1], self.flags, 0, self.seq, self.ack, len(self.data),
            self.echo, self.sum) + self.data

    @staticmethod
    def unpack(datagram):
        if len(datagram) < HEADER.size:
            return None
        (src, dst, dport, sport, flags, _, seq, ack, size, echo,
         checksum) = HEADER.unpack(datagram[:HEADER.size])
        data = datagram[HEADER.size:]
        if len(data) != size:
            return None
        packet = Packet((int_to_ip(src), sport), (int_to_ip(dst), dport),
                        flags, seq, ack, data)
        packet.echo, packet.sum = echo, checksum
        return packet


class Store:
    """The platform's store. Acknowledged writes are kept, unless `restore`
    brings back an older copy. Reads with allow_stale get the state of
    `stale_seconds` ago."""

    def __init__(self, bed):
        self.bed = bed
        self.revision, self.era = 10, 1
        self.objects, self.history = {}, []
        self.oldest = self.revision
        self.stale_seconds = 0.0
        self.snapshots = [(0.0, 10, {})]
        self.away = False
        # Time, address that was called, method and target of each call.
        self.calls = []
        self.changed = asyncio.Event()
        self.writers = set()

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        item = {"meta": {"name": name, "revision": self.revision,
                         "created_rev": old["meta"]["created_rev"] if old
                         else self.revision,
                         "finalizers": [], "deleting": False},
                "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self._note_change(kind, item, False)
        return item

    def remove(self, kind, name):
        self.revision += 1
        self._note_change(kind, self.objects.pop((kind, name)), True)

    def restore(self, seconds_old):
        """Comes back from a copy that is `seconds_old` old."""
        _, self.revision, objects = self._state_at(time.monotonic()
                                                   - seconds_old)
        self.objects = dict(objects)
        self.history = [e for e in self.history if e[0] <= self.revision]
        self.era += 1
        self.snapshots.append((time.monotonic(), self.revision,
                               dict(objects)))
        for writer in list(self.writers):
            writer.transport.abort()

    def _state_at(self, when):
        return next((s for s in reversed(self.snapshots) if s[0] <= when),
                    self.snapshots[0])

    def _note_change(self, kind, item, deleted):
        self.history.append((self.revision, kind,
                             {"deleted": deleted, "object": item}))
        self.snapshots.append((time.monotonic(), self.revision,
                               dict(self.objects)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if since < self.oldest or since > self.revision:
                return 410, {}
            events = [e for r, k, e in self.history if k == kind and r > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _answer(self, method, path, query, body):
        parts = [urllib.parse.unquote(p) for p in path.strip("/").split("/")]
        if parts[:2] != ["-", "objects"] or len(parts) not in (3, 4, 5):
            return 404, {}
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else None
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        revision, objects = self.revision, self.objects
        if method == "GET" and query.get("allow_stale") == "1":
            _, revision, objects = self._state_at(time.monotonic()
                                                  - self.stale_seconds)
        if method == "GET" and name is None:
            items = [o for k, o in sorted(objects.items())
                     if k[0] == kind and k[1] > query.get("after", "")]
            page = items[:PAGE_ITEMS]
            return 200, {"items": page, "more": len(items) > len(page),
                         "as_of": revision}
        name = name or body.get("meta", {}).get("name")
        found = objects.get((kind, name))
        if method == "GET":
            return (200, found) if found else (404, {})
        if method == "POST":
            return (409, found) if found else (
                200, self.put(kind, name, body["spec"]))
        if found is None:
            return 404, {}
        expected = query.get("revision", body.get("meta", {}).get("revision"))
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if found["spec"] == body["spec"]:
            return 200, found
        return 200, self.put(kind, name, body["spec"])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                size = next((int(line.split(":")[1]) for line in lines
                             if line.lower().startswith("content-length:")), 0)
                body = await reader.readexactly(size)
                await asyncio.sleep(0.004)
                while self.away:
                    await asyncio.sleep(0.05)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await self._answer(
                    method, url.path, query, json.loads(body) if body else {})
                at = writer.get_extra_info("sockname")[0]
                self.calls.append((time.monotonic(), at, method, target))
                self.bed.record("store", at=at, call=f"{method} {target}",
                                status=status)
                out = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nStore-Era: {self.era}\r\nContent-Length: {len(out)}"
                    "\r\n\r\n".encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            # The client closed the connection, or the run is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Server(asyncio.DatagramProtocol):
    """An application server beside an agent. `born` is its start in Unix
    milliseconds."""

    def __init__(self, bed, name, host):
        self.bed, self.name, self.host = bed, name, host
        self.id, self.slots, self.state = f"i-{name}", 4, "ready"
        self.flows, self.sequence = {}, 0
        self.born = int(time.time() * 1000)
        # When the first heartbeat that says `draining` was acknowledged.
        self.drain_acked_at = None

    def connection_made(self, transport):
        self.transport = transport

    def send(self, packet, signed=True):
        self.transport.sendto(packet.pack(signed),
                              (self.host, self.bed.ports["outbound"]))

    def has_open(self, flow):
        return self.flows.get(flow, {}).get("phase") == "open"

    def datagram_received(self, datagram, _):
        p = Packet.unpack(datagram)
        if p is None or p.sum != p.expected_sum():
            self.bed.record("server_got_foreign_bytes", server=self.name)
            return
        flow = (p.src, p.dst)
        state = self.flows.get(flow)
        if p.flags & SYN:
            if state is None:
                state = self.flows[flow] = {
                    "phase": "half", "seq": random.getrandbits(31),
                    "got": p.seq + 1, "answers": {}}
                self.bed.record("syn_taken", server=self.name,
                                client=p.src, state=self.state)
            self.send(Packet(p.dst, p.src, SYN | ACK, state["seq"],
                             p.seq + 1))
            return
        if state is None or (state["phase"] == "half"
                             and p.ack != state["seq"] + 1):
            p.flags |= BOUNCED
            self.send(p, signed=False)
            return
        if p.flags & RST:
            del self.flows[flow]
            return
        if state["phase"] == "half":
            state["phase"], state["next"] = "open", state["seq"] + 1
            self.bed.record("flow_open", server=self.name, client=p.src)
        if state["phase"] == "ended":
            self.send(Packet(p.dst, p.src, RST if p.data else ACK,
                             state["next"], state["got"]))
            return
        if p.data:
            self._take_data(flow, state, p)
        if p.flags & FIN:
            state["phase"] = "ended"
            self.send(Packet(p.dst, p.src, ACK | FIN, state["next"],
                             p.seq + len(p.data) + 1))

    def _take_data(self, flow, state, p):
        if p.seq == state["got"]:
            state["got"] += len(p.data)
            answer = b"done " + p.data
            state["answers"][p.seq] = (state["next"], answer)
            state["next"] += len(answer)
            self.bed.record("ran", server=self.name, client=p.src,
                            request=p.data.decode())
        if p.seq in state["answers"]:
            seq, answer = state["answers"][p.seq]
            self.send(Packet(p.dst, p.src, ACK, seq, state["got"], answer))

    async def health(self, reader, writer):
        """Answers health checks; other connections may close unused."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
                         .encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            # The agent only opened a connection, or the run is over.
            pass
        finally:
            writer.close()

    def heartbeat_body(self):
        self.sequence += 1
        return {"service": SERVICE,
                "address": f"{self.host}:{self.bed.ports['app']}",
                "zone": self.bed.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "warmup_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def beat(self):
        """Sends one heartbeat and returns whether it was acknowledged."""
        state = self.state
        status = await put_heartbeat(self.bed, self.host, self.id,
                                     self.heartbeat_body())
        if status == 200 and state == "draining" and not self.drain_acked_at:
            self.drain_acked_at = time.monotonic()
            self.bed.record("drain_acknowledged", server=self.name)
        return status == 200

    async def keep_beating(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)


async def put_heartbeat(bed, host, instance, body, method="PUT"):
    """Sends a heartbeat to the agent at `host`; returns the status or 0."""
    data = json.dumps(body).encode()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, bed.ports["control_plane"]), 1)
        writer.write((f"{method} /-/instances/{instance} HTTP/1.1\r\nHost: x"
                      "\r\nContent-Type: application/json\r\nContent-Length: "
                      f"{len(data)}\r\nConnection: close\r\n\r\n").encode()
                     + data)
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        status = int(line.split()[1]) if line else 0
    except (OSError, asyncio.TimeoutError):
        status = 0
    bed.record("heartbeat", to=host, instance=instance,
               state=body.get("state"), version=body.get("version"),
               status=status)
    return status


class Flow:
    """The client's end of a flow."""

    def __init__(self, client, port):
        self.client, self.src = client, (client.host, port)
        self.key = (self.src, ROUTE)
        self.inbox = asyncio.Queue()
        self.seq = random.getrandbits(30)
        self.expected = 0
        self.is_open = False
        self.reset_by = None

    def send(self, flags, seq, ack, data=b""):
        self.client.send(Packet(self.src, ROUTE, flags, seq, ack, data))

    def take(self, p):
        if p.flags & RST:
            near = abs(p.seq - self.expected) <= RESET_WINDOW
            if self.is_open and not near:
                return
            self.reset_by = "system" if p.sum == 0 else "server"
        self.inbox.put_nowait(p)

    async def open(self):
        """Returns whether a server has answered the opening packet."""
        began = time.monotonic()
        ends = SYN_TIMES[1:] + (ATTEMPT_SECONDS,)
        for copy, end in enumerate(ends):
            self.send(SYN, self.seq, copy)
            while (left := began + end - time.monotonic()) > 0:
                try:
                    p = await asyncio.wait_for(self.inbox.get(), left)
                except asyncio.TimeoutError:
                    break
                if p.flags & RST:
                    return False
                if p.flags & SYN:
                    self.seq += 1
                    self.expected = p.seq + 1
                    self.is_open = True
                    self.send(ACK, self.seq, self.expected)
                    return True
        return False

    async def request(self, text, deadline):
        """Sends a request on the open flow. Returns `ok`, `reset` or
        `late`."""
        data, wait = text.encode(), FIRST_RETRANSMIT
        end = time.monotonic() + deadline
        while time.monotonic() < end:
            self.send(ACK, self.seq, self.expected, data)
            stop = min(end, time.monotonic() + wait)
            wait = min(2 * wait, MAX_RETRANSMIT)
            while (left := stop - time.monotonic()) > 0:
                try:
                    p = await asyncio.wait_for(self.inbox.get(), left)
                except asyncio.TimeoutError:
                    break
                if p.flags & RST:
                    return "reset"
                if p.data == b"done " + data:
                    self.seq += len(data)
                    self.expected = p.seq + len(p.data)
                    self.send(ACK, self.seq, self.expected)
                    return "ok"
        return "late"


class Client(asyncio.DatagramProtocol):
    """A client host. The platform's routers choose the balancer."""

    def __init__(self, bed, host):
        self.bed, self.host, self.flows = bed, host, {}
        self.next_port = 1024

    def connection_made(self, transport):
        self.transport = transport

    def send(self, packet):
        balancer = self.bed.router.choose((packet.src, packet.dst))
        if balancer:
            self.transport.sendto(packet.pack(),
                                  (balancer, self.bed.ports["datagram_addr"]))

    def datagram_received(self, datagram, _):
        p = Packet.unpack(datagram)
        if p is None:
            return
        if p.sum != (0 if p.sum == 0 and p.flags == RST else p.expected_sum()):
            self.bed.record("client_got_foreign_bytes")
            return
        flow = self.flows.get(p.dst[1])
        if flow:
            flow.take(p)

    def new_flow(self, through=None):
        """Returns a new flow; with `through`, one from a port for which the
        routers choose that balancer now."""
        while True:
            self.next_port += 1
            flow = Flow(self, self.next_port)
            if through is None or self.bed.router.choose(flow.key) == through:
                self.flows[self.next_port] = flow
                return flow


class Router:
    """The platform's routers: a steady hash over the balancers in rotation.
    A balancer that misses two readiness checks is out of rotation until it
    answers 200 again."""

    def __init__(self, bed):
        self.bed, self.misses = bed, {}

    def choose(self, flow):
        all_nodes = list(self.misses)
        ready = [b for b in all_nodes if self.misses[b] < 2]
        nodes = ready if 2 * len(ready) >= len(all_nodes) else all_nodes
        return max(nodes, default=None,
                   key=lambda b: zlib.crc32(repr((flow, b)).encode()))

    async def _is_ready(self, host):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, self.bed.ports["readiness"]), .4)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def keep_checking(self, host):
        self.misses[host] = 2
        while True:
            ready = await self._is_ready(host)
            before = self.misses[host]
            self.misses[host] = 0 if ready else before + 1
            if (before < 2) != (self.misses[host] < 2):
                self.bed.record("rotation", balancer=host,
                                included=self.misses[host] < 2)
            await asyncio.sleep(0.5)


class Forwarder(asyncio.DatagramProtocol):
    """The network between other machines and one machine: forwards datagrams
    to `target`, unless `drops(datagram)` says that one is lost."""

    def __init__(self, target, drops=lambda datagram, sender: False):
        self.target, self.drops = target, drops

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, datagram, sender):
        if not self.drops(datagram, sender):
            self.transport.sendto(datagram, self.target)


def free_network():
    """Returns the first three bytes of an unused part of the loopback range
    and the first of a range of free ports."""
    choose = random.SystemRandom().randint
    while True:
        net = f"127.{choose(64, 250)}.{choose(1, 250)}"
        base = choose(12000, 28000)
        try:
            for port in range(base, base + 140):
                socket.create_server((f"{net}.1", port)).close()
        except OSError:
            continue
        return net, base


class Bed:
    """The deployment of one script."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.began = time.monotonic()
        self.lines = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zone = "tn-north-a"
        self.net, base = free_network()
        names = ("datagram_addr", "readiness", "control_plane", "outbound",
                 "app", "store", "internal", "internal_last")
        self.ports = {n: base + 4 * i for i, n in enumerate(names)}
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.processes, self.servers, self.tasks = {}, {}, []
        self.store, self.router = Store(self), Router(self)
        self.broken = []
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {r["on"]: r["run"].split() for r in roles.values()}
        self.version = 0

    def host(self, number):
        return f"{self.net}.{number}"

    def record(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {what} "
                          f"{text}".rstrip())

    def break_rule(self, text):
        self.broken.append(text)
        self.record("BROKEN", text=repr(text))

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def start_store(self, *numbers):
        """Serves the store at the addresses of these hosts."""
        for number in numbers or (1,):
            await asyncio.start_server(self.store.serve, self.host(number),
                                       self.ports["store"], limit=1 << 20)

    def write_config(self):
        self.version += 3
        self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": "r-1", "host": ROUTE[0],
                        "path_prefix": f"/{ROUTE[1]}/", "type": "safe",
                        "timeout_ms": 3000, "target_latency_ms": 250,
                        "priority": 1, "service": SERVICE, "attempts": 2}],
            "services": [{"name": SERVICE, "health_path": "/health",
                          "max_connections": 2000, "protocol": "h1",
                          "tls": False, "warmup_s": 2.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})

    def settings(self, host, is_agent, internal, store):
        p = self.ports
        kind = "side" if is_agent else "frontend"
        listen = {"datagram_addr": f"{host}:{p['datagram_addr']}",
                  "readiness": f"{host}:{p['readiness']}",
                  "control_plane": f"{host}:{p['control_plane']}"}
        if is_agent:
            listen["outbound"] = f"{host}:{p['outbound']}"
        values = {
            "node_name": f"{kind}-{host}", "role": kind,
            "machine_class": kind, "serves": [kind], "ip": host,
            "zone": self.zone, "region": "tn-north", "zones": {self.zone: "tn-north"},
            "listen_addrs": listen, "internal_ports": [internal, internal + 3],
            "seeds": [f"{b}:{p['control_plane']}" for b in self.router.misses],
            "bootstrap": True, "in_fault_budget": False,
            "limits": {"memory_mb": 64, "max_fds": 4096}, "data_dir": None,
            "discovery": "local", "entry": "announce",
            "heartbeat_ms": HEARTBEAT_MS, "bounds": BOUNDS, "hash": "steady",
            "deployment_mode": "agent",
            "platform": {"address": f"{self.host(store)}:{p['store']}",
                         "deployment_mode": "objects", "writes_per_s": 1200,
                         "reads_per_s": 6000, "history_s": 20,
                         "value_bytes": 1048576}}
        if is_agent:
            values.update({"app": f"{host}:{p['app']}", "service": SERVICE})
        path = pathlib.Path(self.temp.name) / f"{host}.yaml"
        # JSON is a subset of YAML.
        path.write_text(json.dumps(values, indent=1))
        return path

    def start_program(self, host, is_agent, internal=None, store=1):
        command = self.commands["side" if is_agent else "frontend"]
        old = self.processes.get(host)
        if old and old.poll() is None:
            # The platform kills a process that outlives its grace time.
            old.kill()
            old.wait()
        path = self.settings(host, is_agent, internal or
                             self.ports["internal"], store)
        log = open(pathlib.Path(self.temp.name) / f"{host}.log", "ab")
        self.processes[host] = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log, env={"PATH": os.environ.get("PATH", ""),
                             "GALENAFORK_SETTINGS": str(path)})
        log.close()
        self.record("started", program="agent" if is_agent else "balancer",
                    host=host)

    async def start_balancer(self, number, internal=None, store=1):
        host = self.host(number)
        self.start_program(host, False, internal, store)
        if host not in self.router.misses:
            self.spawn(self.router.keep_checking(host))
        return host

    async def start_server(self, name, number):
        """Starts an agent and the server beside it."""
        host = self.host(number)
        server = Server(self, name, host)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: server, (host, self.ports["app"]))
        await asyncio.start_server(server.health, host, self.ports["app"])
        self.start_program(host, True)
        self.servers[name] = server
        server.beating = self.spawn(server.keep_beating())
        return server

    async def add_client(self, number):
        client = Client(self, self.host(number))
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: client, (client.host, self.ports["datagram_addr"]))
        return client

    async def wait_for(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return condition()

    def server_of(self, flow):
        """Returns the server at which the flow is open, or None."""
        return next((s for s in self.servers.values()
                     if s.has_open(flow.key)), None)

    def log_of(self, host):
        path = pathlib.Path(self.temp.name) / f"{host}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


class CannotRun(Exception):
    """The case could not be set up."""


def main(script, folder):
    """Runs `script(bed)`; exits with 1 if a rule was broken, 0 if it held, 2
    if the case could not run."""
    bed = Bed(folder)

    async def run():
        await script(bed)

    code = 2
    try:
        asyncio.run(asyncio.wait_for(run(), 110))
        code = 1 if bed.broken else 0
    except CannotRun as failure:
        bed.record("cannot_run", why=failure)
    except Exception as failure:  # pylint: disable=broad-except
        bed.record("cannot_run", why=repr(failure))
    finally:
        bed.stop()
        words = {0: "the rule held", 1: "the rule was broken",
                 2: "the case could not run"}
        bed.record("end", trouble=bed.trouble, result=words[code])
        for host in bed.processes:
            for line in bed.log_of(host).splitlines():
                if any(f"event={e} " in line for e in (
                        "reset", "upstream_new_life", "report_rejected",
                        "report_outdated", "store_era_changed", "locating",
                        "located")):
                    bed.lines.append(f"         log {host} {line}")
        (bed.folder / "record.txt").write_text("\n".join(bed.lines) + "\n")
        bed.temp.cleanup()
    print("\n".join(bed.broken) or words[code])
    sys.exit(code)
