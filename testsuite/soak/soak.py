"""Fault soak of passthrough flows: the real programs as processes on loopback,
faults from outside, promises checked from what callers and upstreams see.

usage: soak.py BIN [--seed N] [--seconds S] [--plan FILE] [--keep FOLDER]
               [--sabotage HOW]

The events are drawn from the seed, or read from a file of lines as printed.
With --sabotage a stand-in breaks one promise on purpose: the run must be red.
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

from ends import Caller, Record, Upstream
from plan import draw_plan, read_plan
from proxy import Proxy
from store import Store

NET = "127.30"
BALANCERS = [f"{NET}.1.{i + 1}" for i in range(3)]
AGENTS = [f"{NET}.2.{i + 1}" for i in range(6)]
CALLERS = 3
REQUESTS_PER_SECOND = 60
CALM_SECONDS = 8
# Rules are in force this long after the operator's write, or after the end of
# whatever kept a balancer or the store from work.
RULE_SECONDS = 3
PROBES_PER_SECOND = 4
GRACE_SECONDS = 4
# Some reports of an upstream and some rounds of status.
SETTLED_SECONDS = 1.5
SABOTAGES = ("reset", "answer", "twice", "service", "drain", "rules",
             "refused", "ended", "served")


class Fleet:
    """All processes and stand-ins of one run."""

    def __init__(self, binaries, folder, seed, events, sabotage=None):
        self.sabotage, self.events = sabotage, events
        self.bin, self.folder = pathlib.Path(binaries), pathlib.Path(folder)
        base = 20000 + seed % 500 * 20
        names = ("packets", "readiness", "reports", "outbound", "app", "store",
                 "first", "last")
        self.ports = {n: base + i for i, n in enumerate(names)}
        self.record, self.store = Record(), Store()
        self.proxy = Proxy((f"{NET}.0.1", self.ports["store"]))
        self.balancers, self.agents = BALANCERS, AGENTS
        # `busy`: instances that an event is at work on.
        self.processes, self.killed, self.busy = {}, set(), set()
        self.load_over = False
        # What the events draw has its own numbers, so that they replay.
        self.draws = random.Random(seed)
        self.services = {(f"198.18.0.{i}", 443): f"service-{i}" for i in (1, 2)}
        self.version = 0
        # The route that comes and goes, and since when it is as it is.
        self.probed = ("198.18.0.3", 443)
        self.probed_there, self.probed_since = False, 0.0
        # When the store, and each instance, last had an excuse.
        self.store_troubled, self.disturbed = 0.0, {}

    def sabotages(self, how):
        """Whether this time a stand-in breaks the promise `how`."""
        return self.sabotage == how and random.random() < 0.05

    def service_of(self, target):
        """The service that any version of the rules sends `target` to."""
        if target == self.probed:
            return "service-1"
        return self.services.get(target)

    def balancer_for(self, source):
        """A running balancer, the same for a flow while that runs."""
        up = [b for b in self.balancers
              if self.processes[b].poll() is None and b not in self.killed]
        if not up:
            return None
        return up[zlib.crc32(repr(source).encode()) % len(up)]

    def write_rules(self, there=None):
        """The next version, as the operator writes it; the probed route comes
        or goes unless `there` says where it is."""
        first = self.version == 0
        self.version += self.draws.randint(1, 3)
        targets = dict(self.services)
        if not first:
            self.probed_there = (not self.probed_there if there is None
                                 else there)
            self.probed_since = time.monotonic()
        if self.probed_there:
            targets[self.probed] = "service-1"
        routes = [{"name": f"r{i}", "host": t[0], "path_prefix": f"/{t[1]}/",
                   "type": "safe", "timeout_ms": 3000,
                   "target_latency_ms": 200, "priority": 1, "service": s}
                  for i, (t, s) in enumerate(targets.items())]
        if self.sabotage == "rules" and not first:
            return
        self.store.write(("config", "main"), {
            "version": self.version, "routes": routes, "services": [],
            "limits": {"idle_timeout_ms": 15000}})

    def settings(self, host, service):
        """The settings file of one instance."""
        p = self.ports
        seeds = "".join(f'  - "{b}:{p["reports"]}"\n' for b in self.balancers)
        upstream = (f'  outbound: "{host}:{p["outbound"]}"\n' if service else "")
        tail = (f'app: "{host}:{p["app"]}"\nservice: "{service}"\n'
                if service else "")
        path = self.folder / f"{host}.yaml"
        path.write_text(
            f'node_name: "n-{host}"\nzone: "a"\nip: "{host}"\n'
            f'listen_addrs:\n  datagram_addr: "{host}:{p["packets"]}"\n'
            f'  readiness: "{host}:{p["readiness"]}"\n'
            f'  control_plane: "{host}:{p["reports"]}"\n{upstream}'
            f'internal_ports:\n  - {p["first"]}\n  - {p["last"]}\n'
            f'seeds:\n{seeds}bootstrap: false\nheartbeat_ms: 500\n'
            f'bounds:\n  grace_s: {GRACE_SECONDS}\nplatform:\n'
            f'  address: "{NET}.0.2:{p["store"]}"\n{tail}')
        return path

    def start(self, host):
        """Starts the program of an instance."""
        service = next((u.service for u in self.upstreams if u.host == host),
                       None)
        program = "galena-pass-agent" if service else "galena-pass-balancer"
        with open(self.folder / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                [self.bin / program, "--config", self.settings(host, service)],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.killed.discard(host)

    async def set_up(self):
        """Stand-ins first, then the programs."""
        loop, p = asyncio.get_running_loop(), self.ports
        await self.store.listen(f"{NET}.0.1", p["store"])
        await self.proxy.listen(f"{NET}.0.2", p["store"])
        self.write_rules()
        self.upstreams = [Upstream(self, self.record, h, f"service-{i % 2 + 1}")
                          for i, h in enumerate(self.agents)]
        for u in self.upstreams:
            await loop.create_datagram_endpoint(
                lambda u=u: u, (u.host, p["app"]))
            u.start()
            asyncio.ensure_future(u.report())
        self.callers = []
        for i in range(CALLERS):
            caller = Caller(self, self.record, f"{NET}.3.{i + 1}")
            await loop.create_datagram_endpoint(
                lambda c=caller: c, (caller.host, p["packets"]))
            self.callers.append(caller)
        for host in self.balancers + self.agents:
            self.start(host)

    async def restart(self, host, number, pause):
        """Ends a program by a signal and starts it again."""
        if host in self.busy:
            return
        self.busy.add(host)
        process = self.processes[host]
        if number == signal.SIGKILL:
            self.killed.add(host)
        process.send_signal(number)
        end = time.monotonic() + GRACE_SECONDS + 0.2
        while process.poll() is None:
            await asyncio.sleep(0.02)
            if time.monotonic() > end:
                self.record.fail(f"{host} does not end after signal {number}")
                process.kill()
                process.wait()
        if number == signal.SIGTERM and process.returncode != 0:
            self.record.fail(f"{host} answered SIGTERM with "
                             f"{process.returncode}")
        await asyncio.sleep(pause)
        if self.sabotage == "ended":
            return
        self.start(host)
        self.busy.discard(host)
        self.disturbed[host] = time.monotonic()

    async def freeze(self, host, seconds):
        """Stops a program for a while."""
        if host in self.busy:
            return
        self.busy.add(host)
        process = self.processes[host]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.busy.discard(host)
        self.disturbed[host] = time.monotonic()

    async def crash_upstream(self, seconds, pick):
        """An upstream ends without a word and starts again."""
        up = [u for u in self.upstreams if u.alive]
        if len(up) > 3:
            victim = up[int(pick * len(up))]
            victim.crash()
            await asyncio.sleep(seconds)
            victim.start()

    async def drain_upstream(self, seconds, pick):
        """An upstream says that it leaves, ends, and starts again."""
        up = [u for u in self.upstreams if u.alive and not u.draining_since]
        if len(up) > 4:
            victim = up[int(pick * len(up))]
            victim.draining_since = time.monotonic()
            await asyncio.sleep(3.5 + seconds)
            victim.crash()
            await asyncio.sleep(0.3)
            victim.start()

    async def replace_upstream(self, pause, pick):
        """An upstream drains, says goodbye and ends; its instance is stopped
        after it and comes back with another."""
        up = [u for u in self.upstreams if u.alive and not u.draining_since]
        if len(up) > 4:
            victim = up[int(pick * len(up))]
            victim.draining_since = time.monotonic()
            await asyncio.sleep(3.5)
            await victim.say_goodbye()
            victim.crash()
            await self.restart(victim.host, signal.SIGTERM, pause)
            victim.start()

    async def trouble_store(self, how, seconds):
        """The store is down, slow, loses answers, forgets, or its watches hear
        nothing until it forgets."""
        if how == "forget":
            self.store.compact()
            return
        if how == "deaf":
            # No excuse: a read tells what watches do not.
            self.store.deaf = True
            await asyncio.sleep(3 * seconds)
            self.store.deaf = False
            self.store.compact()
            return
        self.store.delay = 0.25 if how == "slow" else 0.0
        self.store.down = how == "down"
        self.store.lose_answers = how == "lost"
        await asyncio.sleep(seconds)
        self.store.delay, self.store.down = 0.0, False
        self.store.lose_answers = False
        self.store_troubled = time.monotonic()

    async def trouble_links(self, how, seconds):
        """Some of the programs' connections to the store are harmed."""
        await self.proxy.trouble(how, seconds, lambda: self.draws.random() < 0.5)
        self.store_troubled = time.monotonic()

    def act(self, event):
        """The action of one event of the plan."""
        host, pause, length = event.host, event.pause, event.length
        return {
            "kill": lambda: self.restart(host, signal.SIGKILL, pause),
            "term": lambda: self.restart(host, signal.SIGTERM, pause),
            "freeze": lambda: self.freeze(host, length),
            "crash": lambda: self.crash_upstream(length, event.pick),
            "drain": lambda: self.drain_upstream(length, event.pick),
            "replace": lambda: self.replace_upstream(pause, event.pick),
            "store": lambda: self.trouble_store(event.how, length),
            "links": lambda: self.trouble_links(event.fault, length),
            "rules": lambda: asyncio.sleep(0, self.write_rules()),
        }[event.name]()

    async def load(self):
        """Asks at a steady rate until the run is over."""
        tasks = []
        while not self.load_over:
            caller = random.choice(self.callers)
            target = random.choice(list(self.services))
            tasks.append(asyncio.ensure_future(
                caller.request(target, random.random() < 0.7)))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)

    def rules_due(self, source):
        """Whether the balancer of `source` must have the probed route as it
        is now."""
        host = self.balancer_for(source)
        excuses = [self.probed_since, self.store_troubled,
                   self.disturbed.get(host, 0.0)]
        return (host is not None and host not in self.busy
                and time.monotonic() > max(excuses) + RULE_SECONDS)

    def can_serve(self, service):
        """Whether an upstream of `service` and its agent are at work, and
        have been for some reports."""
        settled = time.monotonic() - SETTLED_SECONDS
        return any(u.service == service and u.alive and not u.draining_since
                   and u.host not in self.busy and u.started_at < settled
                   and self.disturbed.get(u.host, 0.0) < settled
                   for u in self.upstreams)

    async def probe(self):
        """Asks for the route that comes and goes."""
        tasks = []
        while not self.load_over:
            tasks.append(asyncio.ensure_future(
                random.choice(self.callers).probe(self.probed)))
            await asyncio.sleep(random.expovariate(PROBES_PER_SECOND))
        await asyncio.gather(*tasks)

    async def play(self, seconds):
        """Set-up, faults in series and overlapping, then calm."""
        await self.set_up()
        await asyncio.sleep(3)
        begun = time.monotonic()
        load = asyncio.gather(self.load(), self.probe())
        events = []
        for event in self.events:
            await asyncio.sleep(max(0.0, begun + event.at - time.monotonic()))
            print(event.line())
            events.append(asyncio.ensure_future(self.act(event)))
        await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))
        await asyncio.gather(*events)
        calm = time.monotonic() + CALM_SECONDS / 2
        self.record.calm = calm
        self.write_rules(there=True)
        await asyncio.sleep(CALM_SECONDS)
        self.load_over = True
        await load
        self.judge(calm)

    def judge(self, calm):
        """What can be told at the end only."""
        record = self.record
        for flow in record.refused:
            if record.runs.get(flow):
                record.fail(f"refused, yet it ran: {flow}")
        late = [o for at, o in record.outcomes if at > calm]
        if not late or late.count("ok") < 0.98 * len(late):
            record.fail(f"not served again after the faults: "
                        f"{late.count('ok')} of {len(late)}")
        for host, process in self.processes.items():
            if process.poll() is not None:
                record.fail(f"{host} has ended with {process.returncode}")

    def stop(self):
        """Ends the processes that this run started."""
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
    arguments.add_argument("--sabotage", choices=SABOTAGES)
    options = arguments.parse_args()
    random.seed(options.seed)
    folder = options.keep or tempfile.mkdtemp()
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    events = (read_plan(options.plan) if options.plan else
              draw_plan(options.seed, options.seconds, BALANCERS + AGENTS))
    fleet = Fleet(options.bin, folder, options.seed, events, options.sabotage)
    try:
        asyncio.run(fleet.play(options.seconds))
    finally:
        fleet.stop()
    outcomes = [o for _, o in fleet.record.outcomes]
    counts = {o: outcomes.count(o) for o in sorted(set(outcomes))}
    print(f"seed={options.seed} requests={len(outcomes)} {counts} "
          f"store_calls={fleet.store.calls}")
    for what in fleet.record.broken[:20]:
        print(f"BROKEN {what}")
    if not options.keep and not fleet.record.broken:
        shutil.rmtree(folder)
    elif fleet.record.broken:
        print(f"logs in {folder}")
    return 1 if fleet.record.broken else 0


if __name__ == "__main__":
    sys.exit(main())
