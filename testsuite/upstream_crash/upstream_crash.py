"""Checks a whole agent beside an upstream that crashes, and beside one that is
silent but running. Guards against callers that wait for the answers of a crashed
upstream, store entries that outlive their instance, and resets of flows whose
upstream is only slow."""

import argparse
import pathlib
import socket
import struct
import sys
import tempfile
import time
import urllib.request

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
sys.path.insert(0, str(FOLDER))

from processes import (PortAllocator, Processes, StepFailed,  # noqa: E402
                       get_text, wait_until)
from store import Store  # noqa: E402

AGENT = "127.0.0.2"
CALLER = "127.0.0.3"
BALANCER = "127.0.0.4"
SERVICE = "198.18.0.1"
GRACE_SECONDS = 4
READY_SECONDS = 20
# A check comes at most 500 ms after the last one and takes at most 200 ms; the
# rest allows for a busy machine. Well below the callers' deadlines of 3 s.
RESET_SECONDS = 2
SILENT_SECONDS = 2
ACKNOWLEDGES = 1
RESETS = 2

SETTINGS = """
node_name: "side-a-1"
zone: "a"
ip: "{agent}"
service: "orders"
app: "{agent}:{app}"
listen_addrs:
  datagram_addr: "{agent}:{segments}"
  readiness: "{agent}:{readiness}"
  control_plane: "{agent}:{reports}"
  outbound: "{agent}:{outbound}"
internal_ports: [{internal}, {internal_last}]
seeds: []
bootstrap: true
heartbeat_ms: 500
bounds:
  grace_s: {grace}
platform:
  address: "{store}"
"""


def pack(source, destination, flags, sequence, acknowledged, data):
    """Returns the bytes of a segment."""
    return struct.pack(
        ">4s4sHHBBIIH8x", socket.inet_aton(source[0]),
        socket.inet_aton(destination[0]), destination[1], source[1], flags, 0,
        sequence, acknowledged, len(data)) + data


def flags_of(segment):
    """Returns the flags of a segment."""
    return segment[12]


def udp(address, port):
    """Returns a UDP socket."""
    result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    result.bind((address, port))
    result.settimeout(0.05)
    return result


class Upstream:
    """An upstream that answers requests until it is told to be silent or
    crashes."""

    def __init__(self, port, agent_port):
        self._agent_port = agent_port
        self._segments = udp(AGENT, port)
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((AGENT, port))
        self._listener.listen()

    def answer(self, flow):
        """Answers one request; returns whether one came."""
        try:
            self._segments.recv(2048)
        except socket.timeout:
            return False
        caller, service = flow
        self._segments.sendto(pack(service, caller, ACKNOWLEDGES, 9001, 601,
                                   b"answer"), (AGENT, self._agent_port))
        return True

    def crash(self):
        """Closes all sockets, as the end of the process does."""
        self._segments.close()
        self._listener.close()


class Case:
    """One agent with its upstream, its store and a caller."""

    def __init__(self, name, processes, binary, ports):
        self.ports = {key: int(ports.allocate().rsplit(":", 1)[1])
                      for key in ("app", "segments", "readiness", "reports",
                                  "outbound", "internal")}
        store_address = ports.allocate()
        self.store = Store(store_address)
        self.upstream = Upstream(self.ports["app"], self.ports["outbound"])
        self.caller = udp(CALLER, self.ports["segments"])
        self.flow = ((CALLER, 40001), (SERVICE, 443))
        self.sequence = 0
        settings = processes.folder / f"{name}.yaml"
        settings.write_text(SETTINGS.format(
            agent=AGENT, store=store_address, grace=GRACE_SECONDS,
            internal_last=self.ports["internal"] + 1, **self.ports))
        # Reports say that the upstream started before the agent, which then
        # adopts the flows of callers that it does not know.
        self.born = int(time.time() * 1000) - 5000
        self.agent = processes.start(name, [binary, "--config", settings])

    def report(self):
        """Sends a report of the upstream; returns whether it was taken."""
        self.sequence += 1
        body = (f'{{"service":"orders","address":"{AGENT}:{self.ports["app"]}",'
                f'"zone":"a","state":"ready","slots":2,"sequence":'
                f'{self.sequence},"born":{self.born},"warmup_left_ms":0}}')
        request = urllib.request.Request(
            f"http://{AGENT}:{self.ports['reports']}/-/instances/i-1",
            body.encode(), method="PUT")
        try:
            with urllib.request.urlopen(request, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def metric(self, name):
        """Returns the value of a metric of the agent."""
        text = get_text(f"{AGENT}:{self.ports['readiness']}", "/metrics")
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        raise StepFailed(f"there is no metric {name}")

    def request(self, sequence):
        """Sends a request of the caller. All come through one balancer."""
        caller, service = self.flow
        balancer = udp(BALANCER, 0)
        balancer.sendto(pack(caller, service, ACKNOWLEDGES, sequence, 9001,
                             b"x" * 100), (AGENT, self.ports["segments"]))
        balancer.close()

    def receive(self, seconds):
        """Returns the flags of the caller's next segment, or None."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                return flags_of(self.caller.recv(2048))
            except socket.timeout:
                pass
        return None

    def open(self):
        """Waits until the agent is in service, and lets the upstream confirm
        the flow by an answer."""
        wait_until(self.report, READY_SECONDS, "the first report")
        wait_until(lambda: self.store.has(f"galenafork-agents/{AGENT}"),
                   READY_SECONDS, "the entry in the store")
        wait_until(lambda: self.metric("galena_upstream_checks_total") >= 1,
                   READY_SECONDS, "the first check")
        self.request(501)
        wait_until(lambda: self.upstream.answer(self.flow), READY_SECONDS,
                   "the request at the upstream")
        if self.receive(RESET_SECONDS) != ACKNOWLEDGES:
            raise StepFailed("the caller got no answer")

    def stop(self):
        """Ends the agent. Returns whether its entry has been removed."""
        self.agent.signal(15)
        if self.agent.wait(GRACE_SECONDS + 2) != 0:
            raise StepFailed(f"the agent ended with {self.agent.status()}")
        return not self.store.has(f"galenafork-agents/{AGENT}")

    def close(self):
        """Closes what the case holds."""
        self.store.close()
        self.caller.close()


def crashed_upstream(case):
    """Its flows are reset, and the agent's entry goes with the agent."""
    case.open()
    case.upstream.crash()
    crashed_at = time.monotonic()
    case.request(601)
    if case.receive(RESET_SECONDS) != RESETS:
        raise StepFailed("the caller got no reset")
    waited = time.monotonic() - crashed_at
    if case.metric("galena_upstream_absences_total") < 1:
        raise StepFailed("no absence was counted")
    if not case.stop():
        raise StepFailed("the entry is still in the store")
    return f"reset after {waited * 1000:.0f} ms"


def crash_without_traffic(case):
    """The agent finds the crash when it ends."""
    case.open()
    case.upstream.crash()
    if not case.stop():
        raise StepFailed("the entry is still in the store")
    if "event=upstream_check" not in case.agent.text() + \
            case.agent.log.read_text():
        raise StepFailed("the check was not logged")
    return "entry removed"


def silent_upstream(case):
    """It keeps its flow and the entry."""
    case.open()
    case.request(601)
    if case.receive(SILENT_SECONDS) is not None:
        raise StepFailed("the caller got a segment")
    checks = case.metric("galena_upstream_checks_total")
    if not 2 <= checks <= 2 + 2 * SILENT_SECONDS:
        raise StepFailed(f"there were {checks} checks")
    if case.metric("galena_upstream_absences_total") != 0:
        raise StepFailed("an absence was counted")
    if case.stop():
        raise StepFailed("the entry has been removed")
    return f"{checks:.0f} checks, flow kept"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default="build/release/bin")
    binary = pathlib.Path(parser.parse_args().bin) / "galena-pass-agent"
    ports = PortAllocator()
    failed = 0
    with tempfile.TemporaryDirectory() as folder:
        with Processes(folder) as processes:
            for run in (crashed_upstream, crash_without_traffic,
                        silent_upstream):
                case = Case(run.__name__, processes, binary, ports)
                try:
                    print(f"ok   {run.__name__}: {run(case)}")
                except StepFailed as failure:
                    failed += 1
                    print(f"FAIL {run.__name__}: {failure}\n"
                          f"{case.agent.text()}")
                finally:
                    case.close()
    return 1 if failed else 0


sys.exit(main())
