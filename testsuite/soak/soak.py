"""Fault soak of passthrough flows. Runs the real programs as processes on
loopback, injects faults from outside, and checks the guarantees by what
callers and upstreams observe.

usage: soak.py BIN [--seed N] [--seconds S] [--plan FILE] [--keep FOLDER]
               [--sabotage HOW]

The events are generated from the seed, or read from a file of lines as this
program prints them. With --sabotage a stand-in violates one guarantee
deliberately, so that the run must fail.
"""

import argparse
import asyncio
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import zlib

from ends import Caller, Results, Upstream
from plan import generate_plan, read_plan
from proxy import Proxy
from store import Store

NET = "127.30"
BALANCERS = [f"{NET}.1.{i + 1}" for i in range(3)]
AGENTS = [f"{NET}.2.{i + 1}" for i in range(6)]
CALLERS = 3
REQUESTS_PER_SECOND = 60
# The load goes on this long after the last fault. Requests that end in the
# second half must be answered.
RECOVERY_SECONDS = 8
# A balancer must know new rules this long after they were written, or after
# the end of the last fault of the balancer or the store.
RULE_SECONDS = 3
PROBES_PER_SECOND = 4
GRACE_SECONDS = 4
# An upstream must be able to serve this long after its start, or after the
# last fault of its agent. Covers a few reports of the upstream and a few
# status rounds.
WARM_UP_SECONDS = 1.5
VIOLATIONS = ("reset", "answer", "twice", "service", "drain", "rules",
              "refused", "ended", "served")


class Testbed:
    """All processes and stand-ins of one run."""

    def __init__(self, binaries, folder, seed, events, violation=None):
        self.violation, self.events = violation, events
        self.bin, self.folder = pathlib.Path(binaries), pathlib.Path(folder)
        base = 20000 + seed % 500 * 20
        names = ("packets", "readiness", "reports", "outbound", "app", "store",
                 "first", "last")
        self.ports = {n: base + i for i, n in enumerate(names)}
        self.results, self.store = Results(), Store()
        self.proxy = Proxy((f"{NET}.0.1", self.ports["store"]))
        self.balancers, self.agents = BALANCERS, AGENTS
        self.processes, self.killed, self.hosts_under_fault = {}, set(), set()
        self.load_stopped = False
        # Events have a random generator of their own, so that they can be
        # replayed.
        self.event_random = random.Random(seed)
        self.services = {(f"198.18.0.{i}", 443): f"service-{i}" for i in (1, 2)}
        self.rules_version = 0
        # The target whose route is added and removed during the run, and the
        # time of the route's last change.
        self.probe_target = ("198.18.0.3", 443)
        self.probe_exists, self.probe_changed_at = False, 0.0
        # When the last fault of the store, and of each instance, ended.
        self.store_fault_ended_at, self.fault_ended_at = 0.0, {}

    def violates(self, guarantee):
        """Returns whether a stand-in violates `guarantee` this time: 1 of 20
        times if the run was started with that violation."""
        return self.violation == guarantee and random.random() < 0.05

    def service_of(self, target):
        """Returns the service to which any version of the rules sends
        `target`; None if there is none."""
        if target == self.probe_target:
            return "service-1"
        return self.services.get(target)

    def balancer_for(self, source):
        """Returns a running balancer, the same one for a flow as long as the
        same balancers run; None if none runs."""
        up = [b for b in self.balancers
              if self.processes[b].poll() is None and b not in self.killed]
        if not up:
            return None
        return up[zlib.crc32(repr(source).encode()) % len(up)]

    def write_rules(self, probe_exists=None):
        """Writes the next version of the rules to the store. From the second
        version on, the probed route is added or removed by turns, unless
        `probe_exists` says whether it is there."""
        first = self.rules_version == 0
        self.rules_version += self.event_random.randint(1, 3)
        targets = dict(self.services)
        if not first:
            self.probe_exists = (not self.probe_exists if probe_exists is None
                                 else probe_exists)
            self.probe_changed_at = time.monotonic()
        if self.probe_exists:
            targets[self.probe_target] = "service-1"
        routes = [{"name": f"r{i}", "host": t[0], "path_prefix": f"/{t[1]}/",
                   "type": "safe", "timeout_ms": 3000,
                   "target_latency_ms": 200, "priority": 1, "service": s}
                  for i, (t, s) in enumerate(targets.items())]
        if self.violation == "rules" and not first:
            return
        self.store.write(("config", "main"), {
            "version": self.rules_version, "routes": routes, "services": [],
            "limits": {"idle_timeout_ms": 15000}})

    def write_settings(self, host, service):
        """Writes the settings file of an instance and returns its path.
        `service` is None for a balancer."""
        p = self.ports
        seeds = "".join(f'  - "{b}:{p["reports"]}"\n' for b in self.balancers)
        outbound = (f'  outbound: "{host}:{p["outbound"]}"\n'
                    if service else "")
        app = (f'app: "{host}:{p["app"]}"\nservice: "{service}"\n'
               if service else "")
        path = self.folder / f"{host}.yaml"
        path.write_text(
            f'node_name: "n-{host}"\nzone: "a"\nip: "{host}"\n'
            f'listen_addrs:\n  datagram_addr: "{host}:{p["packets"]}"\n'
            f'  readiness: "{host}:{p["readiness"]}"\n'
            f'  control_plane: "{host}:{p["reports"]}"\n{outbound}'
            f'internal_ports:\n  - {p["first"]}\n  - {p["last"]}\n'
            f'seeds:\n{seeds}bootstrap: false\nheartbeat_ms: 500\n'
            f'bounds:\n  grace_s: {GRACE_SECONDS}\nplatform:\n'
            f'  address: "{NET}.0.2:{p["store"]}"\n{app}')
        return path

    def start(self, host):
        """Starts the program of an instance."""
        service = next((u.service for u in self.upstreams if u.host == host),
                       None)
        program = "galena-pass-agent" if service else "galena-pass-balancer"
        with open(self.folder / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                [self.bin / program, "--config",
                 self.write_settings(host, service)],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.killed.discard(host)

    async def set_up(self):
        """Starts the stand-ins, then the programs."""
        loop, p = asyncio.get_running_loop(), self.ports
        await self.store.listen(f"{NET}.0.1", p["store"])
        await self.proxy.listen(f"{NET}.0.2", p["store"])
        self.write_rules()
        self.upstreams = [
            Upstream(self, self.results, h, f"service-{i % 2 + 1}")
            for i, h in enumerate(self.agents)]
        for u in self.upstreams:
            await loop.create_datagram_endpoint(
                lambda u=u: u, (u.host, p["app"]))
            u.start()
            asyncio.ensure_future(u.report())
        self.callers = []
        for i in range(CALLERS):
            caller = Caller(self, self.results, f"{NET}.3.{i + 1}")
            await loop.create_datagram_endpoint(
                lambda c=caller: c, (caller.host, p["packets"]))
            self.callers.append(caller)
        for host in self.balancers + self.agents:
            self.start(host)

    async def restart(self, host, number, downtime):
        """Stops a program by signal `number` and starts it again after
        `downtime` seconds. Does nothing if the instance is under a fault
        already."""
        if host in self.hosts_under_fault:
            return
        self.hosts_under_fault.add(host)
        process = self.processes[host]
        if number == signal.SIGKILL:
            self.killed.add(host)
        process.send_signal(number)
        end = time.monotonic() + GRACE_SECONDS + 0.2
        while process.poll() is None:
            await asyncio.sleep(0.02)
            if time.monotonic() > end:
                self.results.report_violation(
                    f"{host} did not exit in time after signal {number}")
                process.kill()
                process.wait()
        if number == signal.SIGTERM and process.returncode != 0:
            self.results.report_violation(f"{host} exited on SIGTERM with "
                                          f"{process.returncode}")
        await asyncio.sleep(downtime)
        if self.violation == "ended":
            return
        self.start(host)
        self.hosts_under_fault.discard(host)
        self.fault_ended_at[host] = time.monotonic()

    async def freeze(self, host, seconds):
        """Suspends a program for `seconds`. Does nothing if the instance is
        under a fault already."""
        if host in self.hosts_under_fault:
            return
        self.hosts_under_fault.add(host)
        process = self.processes[host]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.hosts_under_fault.discard(host)
        self.fault_ended_at[host] = time.monotonic()

    async def crash_upstream(self, seconds, victim_fraction):
        """Crashes an upstream and starts it again after `seconds`."""
        up = [u for u in self.upstreams if u.alive]
        if len(up) > 3:
            victim = up[int(victim_fraction * len(up))]
            victim.crash()
            await asyncio.sleep(seconds)
            victim.start()

    async def drain_upstream(self, seconds, victim_fraction):
        """Drains an upstream, stops it without deregistering it, and starts it
        again."""
        up = [u for u in self.upstreams if u.alive and not u.draining_since]
        if len(up) > 4:
            victim = up[int(victim_fraction * len(up))]
            victim.draining_since = time.monotonic()
            await asyncio.sleep(3.5 + seconds)
            victim.crash()
            await asyncio.sleep(0.3)
            victim.start()

    async def replace_upstream(self, downtime, victim_fraction):
        """Drains, deregisters and stops an upstream, then restarts its agent
        and starts another incarnation of the upstream."""
        up = [u for u in self.upstreams if u.alive and not u.draining_since]
        if len(up) > 4:
            victim = up[int(victim_fraction * len(up))]
            victim.draining_since = time.monotonic()
            await asyncio.sleep(3.5)
            await victim.deregister()
            victim.crash()
            await self.restart(victim.host, signal.SIGTERM, downtime)
            victim.start()

    async def inject_store_fault(self, fault, seconds):
        """Makes the store unavailable (down) or slow, makes it lose answers
        (lost) or its history (forget), or stalls its watches and then makes it
        lose its history (deaf)."""
        if fault == "forget":
            self.store.compact()
            return
        if fault == "deaf":
            # Does not set `store_fault_ended_at`: programs must find changes
            # by reads while watches are stalled.
            self.store.watches_stalled = True
            await asyncio.sleep(3 * seconds)
            self.store.watches_stalled = False
            self.store.compact()
            return
        self.store.delay = 0.25 if fault == "slow" else 0.0
        self.store.down = fault == "down"
        self.store.lose_answers = fault == "lost"
        await asyncio.sleep(seconds)
        self.store.delay, self.store.down = 0.0, False
        self.store.lose_answers = False
        self.store_fault_ended_at = time.monotonic()

    async def inject_link_fault(self, fault, seconds):
        """Injects a fault into about half of the programs' connections to the
        store."""
        await self.proxy.inject_fault(fault, seconds,
                                      lambda: self.event_random.random() < 0.5)
        self.store_fault_ended_at = time.monotonic()

    def run_event(self, event):
        """Returns the coroutine that carries out an event of the plan."""
        host, downtime, length = event.host, event.downtime_s, event.duration_s
        return {
            "kill": lambda: self.restart(host, signal.SIGKILL, downtime),
            "term": lambda: self.restart(host, signal.SIGTERM, downtime),
            "freeze": lambda: self.freeze(host, length),
            "crash": lambda: self.crash_upstream(length,
                                                 event.victim_fraction),
            "drain": lambda: self.drain_upstream(length,
                                                 event.victim_fraction),
            "replace": lambda: self.replace_upstream(downtime,
                                                     event.victim_fraction),
            "store": lambda: self.inject_store_fault(event.store_fault, length),
            "links": lambda: self.inject_link_fault(event.link_fault, length),
            "rules": lambda: asyncio.sleep(0, self.write_rules()),
        }[event.kind]()

    async def generate_load(self):
        """Sends requests at a constant mean rate until the load is stopped."""
        tasks = []
        while not self.load_stopped:
            caller = random.choice(self.callers)
            target = random.choice(list(self.services))
            tasks.append(asyncio.ensure_future(
                caller.request(target, random.random() < 0.7)))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)

    def must_know_route(self, source):
        """Returns whether the balancer of `source` must know whether the
        probed route exists: its last change and the last faults are at least
        RULE_SECONDS ago."""
        host = self.balancer_for(source)
        disturbed_at = [self.probe_changed_at, self.store_fault_ended_at,
                        self.fault_ended_at.get(host, 0.0)]
        return (host is not None and host not in self.hosts_under_fault
                and time.monotonic() > max(disturbed_at) + RULE_SECONDS)

    def can_serve(self, service):
        """Returns whether an upstream of `service` and its agent have been
        running without a fault for WARM_UP_SECONDS, and the upstream is not
        draining."""
        latest_start = time.monotonic() - WARM_UP_SECONDS
        return any(u.service == service and u.alive and not u.draining_since
                   and u.host not in self.hosts_under_fault
                   and u.started_at < latest_start
                   and self.fault_ended_at.get(u.host, 0.0) < latest_start
                   for u in self.upstreams)

    async def probe(self):
        """Sends probes to the route that is added and removed, until the load
        is stopped."""
        tasks = []
        while not self.load_stopped:
            tasks.append(asyncio.ensure_future(
                random.choice(self.callers).probe(self.probe_target)))
            await asyncio.sleep(random.expovariate(PROBES_PER_SECOND))
        await asyncio.gather(*tasks)

    async def run(self, seconds):
        """Sets up the testbed, runs the plan's events under load, lets the
        system recover, and checks the final state."""
        await self.set_up()
        await asyncio.sleep(3)
        started_at = time.monotonic()
        load = asyncio.gather(self.generate_load(), self.probe())
        events = []
        for event in self.events:
            await asyncio.sleep(max(0.0, started_at + event.at_s
                                    - time.monotonic()))
            print(event.to_line())
            events.append(asyncio.ensure_future(self.run_event(event)))
        await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))
        await asyncio.gather(*events)
        recover_by = time.monotonic() + RECOVERY_SECONDS / 2
        self.results.recover_by = recover_by
        self.write_rules(probe_exists=True)
        await asyncio.sleep(RECOVERY_SECONDS)
        self.load_stopped = True
        await load
        self.check_final_state(recover_by)

    def check_final_state(self, recover_by):
        """Checks the guarantees that can be checked only at the end: no
        refused request ran, 98 % of the requests that ended after `recover_by`
        were answered, and all programs are running."""
        results = self.results
        for flow in results.refused:
            if results.runs.get(flow):
                results.report_violation(f"refused, yet it ran: {flow}")
        late = [o for at, o in results.outcomes if at > recover_by]
        if not late or late.count("ok") < 0.98 * len(late):
            results.report_violation(f"not served again after the faults: "
                                     f"{late.count('ok')} of {len(late)}")
        for host, process in self.processes.items():
            if process.poll() is not None:
                results.report_violation(
                    f"{host} has ended with {process.returncode}")

    def stop(self):
        """Kills the processes that this run started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("bin")
    arguments.add_argument("--seed", type=int, default=1)
    arguments.add_argument("--seconds", type=float, default=12)
    arguments.add_argument("--plan")
    arguments.add_argument("--keep")
    arguments.add_argument("--sabotage", choices=VIOLATIONS)
    options = arguments.parse_args()
    random.seed(options.seed)
    folder = options.keep or tempfile.mkdtemp()
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    events = (read_plan(options.plan) if options.plan else
              generate_plan(options.seed, options.seconds, BALANCERS + AGENTS))
    testbed = Testbed(options.bin, folder, options.seed, events,
                      options.sabotage)
    try:
        asyncio.run(testbed.run(options.seconds))
    finally:
        testbed.stop()
    outcomes = [o for _, o in testbed.results.outcomes]
    counts = {o: outcomes.count(o) for o in sorted(set(outcomes))}
    print(f"seed={options.seed} requests={len(outcomes)} {counts} "
          f"store_calls={testbed.store.calls}")
    for what in testbed.results.violations[:20]:
        print(f"BROKEN {what}")
    if not options.keep and not testbed.results.violations:
        shutil.rmtree(folder)
    elif testbed.results.violations:
        print(f"logs in {folder}")
    return 1 if testbed.results.violations else 0


if __name__ == "__main__":
    sys.exit(main())
