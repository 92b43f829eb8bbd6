"""A small deployment on loopback: the programs of deploy/system.toml as
separate processes, with stand-ins of the platform, clients and servers."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "testsuite" / "soak"))

from peers import Client, Router, Server  # noqa: E402
from store import Store  # noqa: E402

# Exit statuses of a case. run.sh turns BROKEN into 1 and all others but HELD
# into 2, as Python itself ends with 1 after an error.
HELD, BROKEN, NOT_RUN = 0, 10, 2


STABILITY_SECONDS = 4.0


class CannotRun(Exception):
    """The case could not be set up."""


def deploy_command(machine_class):
    """Returns the words of the deploy file's command for a class of machines."""
    run = None
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if match := re.match(r'(run|on) = "([^"]*)"$', line):
            if match[1] == "run":
                run = match[2]
            elif match[2] == machine_class:
                return run.split()
    raise CannotRun(f"the deploy file has no role on {machine_class}")


class Bed:
    """All processes and stand-ins of one run."""

    def __init__(self, case, balancers=3, heartbeat_ms=1200):
        self.trouble = os.environ.get("TROUBLE", "1")
        self.folder = tempfile.TemporaryDirectory()
        self.record_file = open(case / "record.txt", "w")
        self.net = f"127.{random.randint(60, 250)}"
        self.ports = self._free_ports()
        self.zone, self.heartbeat_ms = "pnw-tacoma", heartbeat_ms
        self.started = time.monotonic()
        self.violations, self.counts = [], {}
        self.owners, self.runs, self.requests = {}, {}, 0
        self.processes, self.servers = {}, []
        self.store, self.router = Store(), Router(self)
        self.version, self.idle_timeout_ms = 0, 15000
        # Under planned work each reset of the system's own on an open flow
        # counts. Otherwise it counts only if the last disruption ended
        # `stability_window_ms` before, so that all machines are in touch.
        self.planned, self.disturbed_at = False, 0.0
        self.balancers = [f"{self.net}.1.{i + 1}" for i in range(balancers)]

    def _free_ports(self):
        names = ("packets", "readiness", "control", "outbound", "app", "store",
                 "first", "second", "last")
        for _ in range(50):
            base = random.randint(15000, 30000)
            try:
                for i in range(len(names)):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as s:
                            s.bind((f"{self.net}.0.1", base + i))
                return {n: base + i for i, n in enumerate(names)}
            except OSError:
                continue
        raise CannotRun("no free ports")

    def record(self, line):
        self.record_file.write(f"{time.monotonic() - self.started:8.3f} "
                               f"{line}\n")

    def disturb(self, what):
        """Notes a disruption that is not planned, or its end."""
        self.disturbed_at = time.monotonic()
        self.record(f"disruption: {what}")

    def in_touch(self):
        return (self.planned
                or time.monotonic() - self.disturbed_at > STABILITY_SECONDS)

    def count(self, what, by=1):
        self.counts[what] = self.counts.get(what, 0) + by

    def violation(self, rule, what):
        self.violations.append((rule, what))
        self.record(f"BROKEN {rule}: {what}")

    async def call(self, ip, method, path, body, port="control", timeout=1.0):
        """Sends one HTTP request; returns whether the answer was 2xx."""
        data = json.dumps(body).encode() if body is not None else b""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, self.ports[port]), timeout)
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\n"
                          "Content-Type: application/json\r\n"
                          f"Content-Length: {len(data)}\r\n"
                          "Connection: close\r\n\r\n").encode() + data)
            line = await asyncio.wait_for(reader.readline(), timeout)
            writer.close()
            return line.split(b" ")[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            return False

    # Operator.

    def write_config(self, routes, idle_timeout_ms=15000):
        """Writes the next version; `routes` maps targets to services."""
        self.version += random.randint(1, 3)
        spec = {"version": self.version, "routes": [], "services": [],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": idle_timeout_ms}}
        names = sorted({s.service for s in self.servers})
        for name in names:
            spec["services"].append(
                {"name": name, "health_path": "/health",
                 "max_connections": 2000, "protocol": "h1", "tls": False})
        for i, (target, service) in enumerate(routes.items()):
            spec["routes"].append(
                {"name": f"r-{i}", "host": target[0],
                 "path_prefix": f"/{target[1]}/", "type": "safe",
                 "timeout_ms": 2500, "target_latency_ms": 150, "priority": 2,
                 "service": service, "attempts": 2})
        self.store.write(("config", "main"), spec)
        self.record(f"operator: version {self.version} is acknowledged: "
                    f"{ {f'{t[0]}:{t[1]}': s for t, s in routes.items()} }, "
                    f"idle_timeout_ms {idle_timeout_ms}")
        self.idle_timeout_ms = idle_timeout_ms

    # Machines.

    def _settings(self, ip, server):
        p = self.ports
        seeds = "".join(f'  - "{b}:{p["control"]}"\n'
                        for b in self.balancers[:3])
        side = server is not None
        role, kind = ("agent", "side") if side else ("balancer", "frontend")
        name = f"{kind}-{self.zone}-{ip.split('.')[-1]}"
        text = (
            f'node_name: "{name}"\nrole: "{role}"\nmachine_class: "{kind}"\n'
            f'serves:\n  - "{kind}"\nip: "{ip}"\nzone: "{self.zone}"\n'
            f'region: "pnw"\nzones:\n  {self.zone}: "pnw"\nlisten_addrs:\n'
            f'  datagram_addr: "{ip}:{p["packets"]}"\n'
            f'  readiness: "{ip}:{p["readiness"]}"\n'
            f'  control_plane: "{ip}:{p["control"]}"\n'
            + (f'  outbound: "{ip}:{p["outbound"]}"\n' if side else "") +
            f'internal_ports:\n  - {p["first"]}\n  - {p["last"]}\n'
            f'seeds:\n{seeds}bootstrap: true\nin_fault_budget: false\n'
            'limits:\n  cpu_share: 0.15\n  cores: 1\n  memory_mb: 128\n'
            '  max_fds: 4096\n  link_mbps: 1000.0\n  disk_mb: 0\n'
            'data_dir: null\ndiscovery: "local"\nentry: "announce"\n'
            f'heartbeat_ms: {self.heartbeat_ms}\nbounds:\n  seed_lag_s: 3\n'
            '  addr_reuse_s: 2\n  stability_window_ms: 4000\n  ack_ms: 5000\n'
            '  catch_up_s: 4\n  drain_ms: 3000\n  grace_s: 6\n'
            '  config_apply_ms: 3000\n  rollback_slack_ms: 250\n'
            '  max_skew_ms: 12000\n  recovery_s: 12\n'
            '  flow_reorder_ms: 2000\n  flow_max_s: 60\nhash: "steady"\n'
            'deployment_mode: "agent"\n'
            + (f'app: "{ip}:{p["app"]}"\nservice: "{server.service}"\n'
               if side else "") +
            f'platform:\n  address: "{self.net}.0.1:{p["store"]}"\n'
            '  deployment_mode: "objects"\n  writes_per_s: 400\n'
            '  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n'
            '  ttl_min_ms: 1000\n')
        path = pathlib.Path(self.folder.name) / f"{ip}.yaml"
        path.write_text(text)
        return path

    def start_node(self, ip):
        """Starts the role's program with the command of the deploy file."""
        server = next((s for s in self.servers if s.ip == ip), None)
        on = "side" if server else "frontend"
        command = deploy_command(on)
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is missing: build it first")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["GALENAFORK_SETTINGS"] = str(self._settings(ip, server))
        with open(pathlib.Path(self.folder.name) / f"{ip}.log", "ab") as log:
            self.processes[ip] = subprocess.Popen(
                [str(ROOT / command[0])] + command[1:], cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"node {ip} starts ({on})")

    async def stop_node(self, ip, sig):
        """Sends a signal; SIGKILL follows SIGTERM after grace_s."""
        process = self.processes[ip]
        self.record(f"node {ip} gets {sig.name}")
        process.send_signal(sig)
        end = time.monotonic() + 6
        while process.poll() is None:
            if time.monotonic() > end:
                self.record(f"node {ip} gets SIGKILL after grace_s")
                process.kill()
            await asyncio.sleep(0.01)
        self.record(f"node {ip} has ended with {process.returncode}")

    async def restart_node(self, ip, sig, down=0.4):
        """Stops a node and starts it again after a short delay."""
        await self.stop_node(ip, sig)
        await asyncio.sleep(down)
        self.start_node(ip)
        if sig == signal.SIGKILL:
            self.disturb(f"node {ip} was killed and is back")

    def add_server(self, number, service, **options):
        ip = f"{self.net}.2.{number}"
        self.servers.append(Server(self, ip, f"{service}-{number}", service,
                                   **options))
        return self.servers[-1]

    async def set_up(self, routes):
        """Starts the platform, all machines and servers, and waits until the
        routers have all nodes in rotation."""
        await self.store.listen(f"{self.net}.0.1", self.ports["store"])
        self.write_config(routes)
        for ip in self.balancers + [s.ip for s in self.servers]:
            self.start_node(ip)
        for server in self.servers:
            await server.start(first_beat=random.uniform(0.2, 0.5))
        for ip in self.balancers:
            self.router.watch(ip)
        end = time.monotonic() + 15
        while any(self.router.misses[b] for b in self.balancers):
            if time.monotonic() > end:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)

    async def client(self, number):
        return await Client(self, f"{self.net}.3.{number}").start()

    def log_lines(self, *words):
        """Copies the programs' log lines that hold one of `words`."""
        for path in sorted(pathlib.Path(self.folder.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if any(w in line for w in words):
                    self.record_file.write(f"log {path.stem}: {line}\n")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            subprocess.run(["cp", "-r", self.folder.name, keep], check=False)
        self.folder.cleanup()
        self.record_file.close()


def run_case(path, play, **options):
    """Plays a case; returns the exit status of its script."""
    bed = None
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    try:
        bed = Bed(pathlib.Path(path).resolve().parent, **options)
        loop = asyncio.new_event_loop()
        task = loop.create_task(play(bed))
        loop.run_until_complete(asyncio.wait([task], timeout=108))
        if not task.done():
            raise CannotRun("the play did not end in time")
        task.result()
        for what, number in sorted(bed.counts.items()):
            bed.record(f"total {what}: {number}")
        bed.log_lines("event=reset", "event=locating", "upstream_new_life",
                      "upstream_state", "opening_unanswered",
                      "report_outdated", "event=adopted", "rules_taken")
    except Exception as e:  # Any error means that nothing was shown.
        print(f"the case could not run: {e!r}")
        return NOT_RUN
    finally:
        if bed is not None:
            bed.close()
    sys.stdout.flush()
    rules = sorted({rule for rule, _ in bed.violations})
    print(f"TROUBLE={bed.trouble}: " + (
        f"broken: {', '.join(rules)} ({len(bed.violations)} times); first: "
        f"{bed.violations[0][1]}" if bed.violations else "held"))
    return BROKEN if bed.violations else HELD


def end(status):
    """Ends the process without waiting for the stand-ins' tasks."""
    sys.stdout.flush()
    os._exit(status)
