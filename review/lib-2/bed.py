"""Small deployment on loopback for the review's scripts: starts the programs
of deploy/system.toml as processes and plays the platform's store and routers,
the servers and the clients as the users' pages describe them."""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEADER = struct.Struct(">IIHHBBIIHII")
SYN, ACK, FIN, RST, BOUNCED = 64, 1, 32, 2, 8
SYN_TIMES = (0.0, 0.2, 0.6)
SYN_TIMEOUT = 1.4
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 5000,
          "ack_ms": 8000, "catch_up_s": 6, "drain_ms": 5000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 5000,
          "rollback_slack_ms": 250, "max_skew_ms": 15000,
          "warmup_overage": 1.5, "warmup_slack": 5, "evacuate_ms": 5000,
          "recovery_s": 15, "flow_reorder_ms": 2000, "flow_max_s": 60}


def ip_int(host):
    return struct.unpack(">I", socket.inet_aton(host))[0]


def ip_text(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Packet:
    """A packet of a flow; `src` and `dst` are pairs of host and port."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0,
                 total=1):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq, ack, data
        self.echo, self.total = echo, total

    def pack(self):
        return HEADER.pack(ip_int(self.src[0]), ip_int(self.dst[0]),
                           self.dst[1], self.src[1], self.flags, 0,
                           self.seq & 0xffffffff, self.ack & 0xffffffff,
                           len(self.data), self.echo, self.total) + self.data

    @staticmethod
    def unpack(raw):
        if len(raw) < HEADER.size:
            return None
        (src, dst, dport, sport, flags, _, seq, ack, size, echo,
         total) = HEADER.unpack(raw[:HEADER.size])
        data = raw[HEADER.size:]
        if len(data) != size:
            return None
        return Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq,
                      ack, data, echo, total)


class Store:
    """The platform's store: objects by kind and name, watches, conditional
    writes. `raw` maps (kind, name) to the bytes of a spec that another writer
    stored; they are returned as they came."""

    def __init__(self):
        self.revision, self.objects, self.events = 100, {}, []
        self.raw, self.changed = {}, asyncio.Event()
        self.connections, self.silent = set(), set()

    def put(self, key, spec):
        self.revision += 1
        old = self.objects.get(key)
        self.objects[key] = {
            "meta": {"name": key[1], "revision": self.revision,
                     "created_rev": (old["meta"]["created_rev"] if old
                                     else self.revision),
                     "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        self._event(key, False)
        return self.objects[key]

    def delete(self, key):
        self.revision += 1
        self._event(key, True)
        return self.objects.pop(key)

    def _event(self, key, deleted):
        self.events.append((self.revision, key[0], {
            "object": self.objects[key], "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, kind, query):
        since = int(query["watch"])
        if since > self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            found = [e for r, k, e in self.events if k == kind and r > since]
            if found or loop.time() >= end:
                return 200, {"events": found, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), end - loop.time())
            except asyncio.TimeoutError:
                pass

    async def answer(self, method, path, query, body):
        parts = [urllib.parse.unquote(p) for p in path.strip("/").split("/")]
        if parts[:2] != ["-", "objects"] or len(parts) not in (3, 4):
            return 404, {}
        kind = parts[2]
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and len(parts) == 3:
            items = [o for k, o in sorted(self.objects.items())
                     if k[0] == kind and k[1] > query.get("after", "")]
            return 200, {"items": items, "more": False,
                         "as_of": self.revision}
        name = parts[3] if len(parts) == 4 else body["meta"]["name"]
        key = (kind, name)
        found = self.objects.get(key)
        if method == "GET":
            return (200, found) if found else (404, {})
        if method == "POST":
            return (409, found) if found else (200, self.put(
                key, body.get("spec")))
        if not found:
            return 404, {}
        expected = query.get("revision",
                             (body.get("meta") or {}).get("revision"))
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return 409, found
        if method == "DELETE":
            return 200, self.delete(key)
        return 200, self.put(key, body.get("spec"))

    def encode(self, answer):
        out = json.dumps(answer).encode()
        for marker, raw in self.raw.items():
            out = out.replace(json.dumps(marker).encode(), raw)
        return out

    def silence(self):
        """Lets all open connections go silent for good, without a reset; new
        ones work."""
        self.silent |= self.connections

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                size = 0
                for line in head.split("\r\n")[1:]:
                    if line.lower().startswith("content-length:"):
                        size = int(line.split(":")[1])
                body = await reader.readexactly(size)
                await asyncio.sleep(0.004)
                url = urllib.parse.urlsplit(target)
                status, answer = await self.answer(
                    method, url.path, dict(urllib.parse.parse_qsl(url.query)),
                    json.loads(body) if body else {})
                if writer in self.silent:
                    await asyncio.sleep(3600)
                out = self.encode(answer)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             "application/json\r\nStore-Era: 1\r\n"
                             f"Content-Length: {len(out)}\r\n\r\n".encode()
                             + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Server(asyncio.DatagramProtocol):
    """A server beside an agent. `taken` gets (time, flow) of each opening
    packet that it takes."""

    def __init__(self, bed, host, zone, service, slots=4, work_s=0.02):
        self.bed, self.host, self.zone, self.service = bed, host, zone, service
        self.slots, self.work_s = slots, work_s
        self.taken, self.runs = [], []
        self.running, self.alive = 0, False

    async def start(self):
        loop, app = asyncio.get_running_loop(), self.bed.ports["app"]
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.flows, self.alive = {}, True
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.host, app))
        self.tcp = await asyncio.start_server(self._health, self.host, app)
        self.bed.tasks.append(asyncio.ensure_future(self._beats()))

    async def _health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _beats(self):
        while self.alive:
            self.sequence += 1
            await self.bed.call(
                "PUT", self.host, f"/-/instances/{self.id}",
                {"service": self.service, "zone": self.zone, "version": "v1",
                 "address": f"{self.host}:{self.bed.ports['app']}",
                 "slots": self.slots, "state": self.state,
                 "warmup_left_ms": 0, "sequence": self.sequence,
                 "born": self.born})
            await asyncio.sleep(0.77 * random.uniform(0.9, 1.1))

    def send(self, packet):
        self.transport.sendto(packet.pack(),
                              (self.host, self.bed.ports["outbound"]))

    def datagram_received(self, raw, _):
        p = Packet.unpack(raw)
        if p is None:
            return
        flow = (p.src, p.dst)
        if p.flags & SYN:
            if flow not in self.flows:
                self.flows[flow] = {"seq": random.getrandbits(32),
                                    "next": p.seq + 1, "open": False,
                                    "answer": None}
                self.taken.append((time.monotonic(), flow))
            self.send(Packet(p.dst, p.src, SYN | ACK, self.flows[flow]["seq"],
                             p.seq + 1))
            return
        f = self.flows.get(flow)
        if f is None or (not f["open"] and
                         p.ack != (f["seq"] + 1) & 0xffffffff):
            raw = bytearray(raw)
            raw[12] |= BOUNCED
            raw[13] = 0
            self.transport.sendto(bytes(raw),
                                  (self.host, self.bed.ports["outbound"]))
            return
        f["open"] = True
        if p.data and p.seq == f["next"] & 0xffffffff and not f["answer"]:
            f["next"] += len(p.data)
            self.runs.append((time.monotonic(), flow, p.data))
            f["answer"] = Packet(p.dst, p.src, ACK | FIN, f["seq"] + 1,
                                 f["next"], b"done " + p.data)
            self.bed.tasks.append(asyncio.ensure_future(self._work(f)))
        elif p.data and f.get("sent"):
            self.send(f["answer"])

    async def _work(self, f):
        while self.running >= self.slots:
            await asyncio.sleep(0.002)
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        f["sent"] = True
        self.send(f["answer"])


class Client(asyncio.DatagramProtocol):
    """A client host, which opens a flow for each try."""

    def __init__(self, bed, host, zone):
        self.bed, self.host, self.zone = bed, host, zone
        self.port, self.inboxes = 1024, {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, _):
        p = Packet.unpack(raw)
        if p and (p.dst, p.src) in self.inboxes:
            self.inboxes[(p.dst, p.src)].put_nowait(p)

    def send(self, packet):
        """Sends a packet through the router and returns the balancer that the
        router chose."""
        to = self.bed.route(self.zone, (packet.src, packet.dst))
        if to:
            self.transport.sendto(packet.pack(),
                                  (to, self.bed.ports["packets"]))
        return to

    async def request(self, target, deadline_s=2.5, tries=3):
        """Sends a safe request with up to two retries; returns "200" or why
        the last try ended."""
        end, outcome = time.monotonic() + deadline_s, "none"
        for _ in range(tries):
            outcome = await self._try(target, end)
            if outcome == "200" or time.monotonic() >= end:
                break
            await asyncio.sleep(0.02)
        return outcome

    async def _try(self, target, end):
        self.port = self.port + 1 if self.port < 60000 else 1025
        flow = ((self.host, self.port), target)
        inbox = self.inboxes[flow] = asyncio.Queue()
        try:
            return await self._exchange(flow, inbox, end)
        finally:
            del self.inboxes[flow]

    @staticmethod
    async def _next(inbox, until):
        left = until - time.monotonic()
        if left <= 0:
            return None
        try:
            return await asyncio.wait_for(inbox.get(), left)
        except asyncio.TimeoutError:
            return None

    async def _exchange(self, flow, inbox, end):
        seq, begin = random.getrandbits(32), time.monotonic()
        first = None
        for copy, at in enumerate(SYN_TIMES):
            sent_through = self.send(Packet(*flow, SYN, seq, copy))
            self.bed.sent[flow] = (time.monotonic(), sent_through)
            until = begin + (SYN_TIMES + (SYN_TIMEOUT,))[copy + 1]
            first = await self._next(inbox, min(until, end))
            if first:
                break
        if first is None:
            return "no answer to the opening packet"
        if first.flags & RST:
            return "reset"
        data, wait = b"%d" % random.getrandbits(60), 0.2
        while time.monotonic() < end:
            self.send(Packet(*flow, ACK, seq + 1, first.seq + 1, data))
            p = await self._next(inbox, min(time.monotonic() + wait, end))
            wait = min(wait * 2, 1.6)
            while p is not None and p.flags & SYN:
                p = await self._next(inbox, min(time.monotonic() + wait, end))
            if p is None:
                continue
            if p.flags & RST:
                return "reset of an open flow"
            if p.data:
                self.send(Packet(*flow, ACK | FIN, seq + 1 + len(data),
                                 p.seq + len(p.data) + 1))
                return "200" if p.data == b"done " + data else "wrong answer"
        return "deadline"


class Bed:
    """The machines, the stand-ins and the record of one run."""

    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = open(self.case / "record.txt", "w")
        self.begin = time.monotonic()
        self.net = f"127.{random.randint(40, 200)}"
        base = random.randrange(20000, 50000, 20)
        names = ("packets", "readiness", "control", "outbound", "app", "store",
                 "first", "second", "third", "last")
        self.ports = {n: base + i for i, n in enumerate(names)}
        self.store, self.processes, self.tasks = Store(), {}, []
        self.machines, self.rotation, self.sent = {}, {}, {}
        self.servers, self.clients = [], []
        # The deploy file's command of each class of machines.
        self.run_words = {
            on: run.split() for run, on in re.findall(
                r'^run = "(.*)"\non = "(.*)"$',
                (ROOT / "deploy/system.toml").read_text(), re.MULTILINE)}
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def log(self, text):
        self.record.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.record.flush()

    async def listen(self):
        await asyncio.start_server(self.store.serve, f"{self.net}.0.1",
                                   self.ports["store"], limit=1 << 20)
        self.tasks.append(asyncio.ensure_future(self._probe_readiness()))

    def settings(self, host, zone, kind, service=None):
        """Returns the settings of a machine, in the form of DEPLOY.md."""
        p = self.ports
        listen = {"datagram_addr": f"{host}:{p['packets']}",
                  "readiness": f"{host}:{p['readiness']}",
                  "control_plane": f"{host}:{p['control']}"}
        if kind == "side":
            listen["outbound"] = f"{host}:{p['outbound']}"
        seeds = [f"{m}:{p['control']}" for m, v in self.machines.items()
                 if v["kind"] == "frontend"][:3]
        value = {
            "node_name": f"{kind}-{host}", "role": kind,
            "machine_class": kind, "serves": [kind], "ip": host, "zone": zone,
            "region": "r", "zones": {"zone-a": "r", "zone-b": "r"},
            "listen_addrs": listen,
            "internal_ports": [p["first"], p["last"]], "seeds": seeds,
            "bootstrap": False, "in_fault_budget": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 256,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "local", "entry": "announce",
            "heartbeat_ms": 770,
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "flows", "places", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "hash": "steady", "deployment_mode": "agent",
            "platform": {"address": f"{self.net}.0.1:{p['store']}",
                         "deployment_mode": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000}}
        if kind == "side":
            value["app"] = f"{host}:{p['app']}"
            value["service"] = service
        return value

    def start(self, host, zone, kind, service=None):
        """Starts the program of a machine with the deploy file's command."""
        self.machines[host] = {"zone": zone, "kind": kind, "service": service,
                               "since": time.monotonic()}
        path = self.folder / f"{host}.yaml"
        # JSON is YAML.
        path.write_text(json.dumps(self.settings(host, zone, kind, service)))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["GALENAFORK_SETTINGS"] = str(path)
        words = self.run_words[kind]
        with open(self.folder / f"{host}.log", "ab") as out:
            self.processes[host] = subprocess.Popen(
                [str(ROOT / words[0])] + words[1:], cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=out, stderr=out)

    def remove(self, host, number):
        """Takes a machine away for good."""
        self.machines.pop(host)
        self.rotation.pop(host, None)
        self.processes[host].send_signal(number)

    async def call(self, method, host, path, body=None):
        """Calls a machine's control_plane address; returns the status, or 0
        without an answer within a second."""
        return await self._call(method, host, self.ports["control"], path,
                                body)

    async def _call(self, method, host, port, path, body=None):
        out = json.dumps(body).encode() if body is not None else b""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, port), 1)
            try:
                writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(out)}\r\n"
                              "Connection: close\r\n\r\n").encode() + out)
                line = await asyncio.wait_for(reader.readline(), 1)
                return int(line.split()[1])
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0

    async def _probe_one(self, host):
        ok = await self._call("GET", host, self.ports["readiness"],
                              "/-/readiness") == 200
        if host in self.machines:
            self.rotation[host] = 0 if ok else self.rotation.get(host, 2) + 1

    async def _probe_readiness(self):
        """Probes each balancer twice a second; after two misses it is out of
        rotation."""
        while True:
            hosts = [h for h, m in self.machines.items()
                     if m["kind"] == "frontend"]
            await asyncio.gather(*(self._probe_one(h) for h in hosts))
            await asyncio.sleep(0.5)

    def route(self, zone, flow):
        """Returns the balancer for a flow: by a steady hash over those in
        rotation, the client's zone first."""
        nodes = [h for h, m in self.machines.items()
                 if m["kind"] == "frontend"]
        up = [h for h in nodes if self.rotation.get(h, 2) < 2]
        near = [h for h in up if self.machines[h]["zone"] == zone]
        chosen = near or up or nodes
        return max(chosen, default=None, key=lambda h: hashlib.md5(
            repr((h, flow)).encode()).digest())

    async def add_client(self, host, zone):
        client = Client(self, host, zone)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: client, (host, self.ports["packets"]))
        self.clients.append(client)
        return client

    async def add_server(self, host, zone, service):
        """Adds a server with the machine beside it."""
        self.start(host, zone, "side", service)
        server = Server(self, host, zone, service)
        await server.start()
        self.servers.append(server)
        return server

    def write_config(self, version, routes):
        """Writes the configuration; `routes` maps (address, port) to a
        service. The store's answer is the acknowledgement."""
        self.store.put(("config", "main"), {
            "version": version,
            "routes": [{"name": f"r-{i}", "host": t[0],
                        "path_prefix": f"/{t[1]}/", "type": "safe",
                        "timeout_ms": 2500, "target_latency_ms": 250,
                        "priority": 2, "service": s, "attempts": 2}
                       for i, (t, s) in enumerate(routes.items())],
            "services": [{"name": s, "health_path": "/health",
                          "max_connections": 2000, "protocol": "h1",
                          "tls": False} for s in sorted(set(routes.values()))],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, play):
    """Plays a case and exits with 0 (held), 1 (broken) or 2 (could not
    run)."""
    bed = Bed(case)
    code = 2
    # The processes are also ended if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        loop = asyncio.new_event_loop()
        code = loop.run_until_complete(asyncio.wait_for(play(bed), 116))
    except Exception as e:  # Whatever goes wrong here says nothing of the rule.
        bed.log(f"could not run: {e!r}")
    finally:
        bed.log(f"result {code}")
        bed.stop()
    print(f"{bed.case.name}: exit code {code}", flush=True)
    # Does not wait for the tasks: in Python 3.11 wait_for can swallow their
    # cancellation.
    os._exit(code)
