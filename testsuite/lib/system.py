"""Runs the whole system on loopback: stand-ins of platform, fabric and callers,
balancers, and stand-ins of upstreams, each with its agent."""

import collections
import pathlib
import signal
import time

from processes import StepFailed, PortAllocator, http_ok, replace_file, tail, \
    wait_ready
from processes import get_json, get_text, post_json, wait_until

READY_TIMEOUT_SECONDS = 20
DRAIN_TIMEOUT_SECONDS = 60
# Time after the end of sending within which libcoap clients must finish their
# last round.
LIBCOAP_MAX_EXTRA_MS = 30000
DATA_CENTRES = ("nowy-sacz", "gorlice", "limanowa", "krynica")

Service = collections.namedtuple("Service", "name kind address requested_by")

ORDERS = Service("orders", "coap", "10.9.0.1:5683", "Jana, workshop office")
PHOTOS = Service("photos", "coap", "10.9.0.2:5683", "Piotr, photo archive")
ECHO = Service("echo", "udp", "10.9.0.3:4433", "Ola, kettle storefront")


class Balancer:
    """A galena-balancer process and its addresses."""

    def __init__(self, name, process, packets, http, rpc):
        self.name = name
        self.process = process
        self.packets = packets
        self.http = http
        self.rpc = rpc


class Instance:
    """An upstream stand-in, the galena-agent beside it, and the agent's HTTP
    address."""

    def __init__(self, service, name, upstream, agent, http):
        self.service = service
        self.name = name
        self.upstream = upstream
        self.agent = agent
        self.http = http


class System:
    """Starts, replaces and stops the parts of the system. `binaries` is the
    folder of the programs; `processes` stops what was started at the end."""

    def __init__(self, binaries, processes, seed, services):
        self._binaries = pathlib.Path(binaries)
        self._processes = processes
        self._folder = processes.folder
        self._seed = seed
        self._ports = PortAllocator()
        self._counts = collections.Counter()
        self._balancers_file = self._folder / "balancers"
        self.services = services
        self.ingress_addresses = {s.name: self._ports.allocate()
                                  for s in services}
        self.platform_address = self._ports.allocate()
        self.answers_address = self._ports.allocate()
        self.fabric = None
        self.balancers = []
        self.instances = []
        self._draining = []

    def allocate_port(self):
        """Returns a free `IP:PORT` for a program that the test starts."""
        return self._ports.allocate()

    def ledgers(self):
        """Returns the run ledgers of all upstreams of the run, also of those
        that have stopped. A ledger lists the requests that an upstream ran."""
        return sorted(self._folder.glob("*.ledger"))

    def start_platform(self):
        """Starts the platform stand-in and waits until it listens."""
        process = self._start("platform", "platform_standin",
                              "--listen", self.platform_address,
                              "--seed", self._seed)
        wait_until(lambda: "listening" in process.text() or
                   self._raise_if_ended(process), READY_TIMEOUT_SECONDS,
                   "platform")

    def start_fabric(self, *faults):
        """Starts the fabric stand-in with the current balancers; `faults` are
        further options of the stand-in."""
        self.set_fabric_balancers()
        services = [f"--service={self.ingress_addresses[s.name]}={s.address}"
                    for s in self.services]
        self.fabric = self._start(
            "fabric", "fabric_standin", *services,
            "--answers", self.answers_address,
            "--balancers-file", self._balancers_file, "--seed", self._seed,
            *faults)

    def apply_rules(self):
        """Applies rules for all services."""
        rules = self._folder / "rules"
        rules.write_text("".join(
            f"{s.kind} {s.address} -> {s.name}  # {s.requested_by}\n"
            for s in self.services))
        self.run_galenactl("rules", "apply", rules, "--new-services")

    def run_galenactl(self, *arguments):
        """Runs galenactl and returns its output. Raises StepFailed if it exits
        with an error or not in time."""
        name = f"galenactl-{self._next_number('galenactl')}"
        process = self._start(name, "galenactl", "--platform",
                              self.platform_address, *arguments)
        status = process.wait(READY_TIMEOUT_SECONDS)
        if status != 0:
            raise StepFailed(f"{name} {arguments}: {status}: {process.text()} "
                             f"{process.log_tail()}")
        return process.text()

    def start_balancer(self):
        """Starts a balancer. The fabric sends it no packets before the next
        `set_fabric_balancers`."""
        name = f"balancer-{self._next_number('balancer')}"
        packets, agents, http, rpc = (self._ports.allocate() for _ in range(4))
        seeds = ", ".join(f'"{b.rpc}"' for b in self.balancers)
        settings = self._write_settings(name, f"""
instance = "{name}"
data_centre = "{self._data_centre('balancer')}"
drain_time = "500 ms"
[packets]
listen = "{packets}"
agents = "{agents}"
answers = "{self.answers_address}"
[control]
http = "{http}"
rpc = "{rpc}"
[spread]
seeds = [{seeds}]
[platform]
address = "{self.platform_address}"
""")
        process = self._start(name, "galena-balancer", "--config", settings)
        balancer = Balancer(name, process, packets, http, rpc)
        self.balancers.append(balancer)
        return balancer

    def wait_for_balancer(self, balancer):
        """Waits until the balancer is ready."""
        wait_ready(balancer.process, balancer.http, READY_TIMEOUT_SECONDS)

    def set_fabric_balancers(self, chosen=None):
        """Sets the balancers over which the fabric sprays packets: `chosen`, or
        all running ones if it is None."""
        listed = self.balancers if chosen is None else chosen
        replace_file(self._balancers_file,
                     "".join(f"{b.packets}\n" for b in listed))

    def kill_balancer(self, balancer):
        """Kills a balancer. The fabric goes on sending packets to it."""
        balancer.process.kill()
        self.balancers.remove(balancer)

    def stop_balancer(self, balancer):
        """Removes a balancer from the fabric and shuts it down gracefully."""
        self.balancers.remove(balancer)
        self.set_fabric_balancers()
        self._stop(balancer.process)

    def start_instance(self, service, *options):
        """Starts an upstream stand-in and its agent."""
        name = f"{service.name}-{self._next_number(service.name)}"
        upstream, packets, http, rpc = (self._ports.allocate()
                                        for _ in range(4))
        echo = ["--echo"] if service.kind == "udp" else []
        upstream_process = self._start(
            f"{name}-upstream", "upstream_standin", "--listen", upstream,
            "--service", service.name, "--instance", name,
            "--ledger", self._folder / f"{name}.ledger", *echo, *options)
        settings = self._write_settings(name, f"""
service = "{service.name}"
instance = "{name}"
data_centre = "{self._data_centre(service.name)}"
kind = "{service.kind}"
slots = 3
upstream = "{upstream}"
packets = "{packets}"
drain_time = "40 s"
[control]
http = "{http}"
rpc = "{rpc}"
[flows]
idle_timeout = "9 s"
[journal]
lifetime = "8 s"
quarantine = "8 s"
[platform]
address = "{self.platform_address}"
""")
        agent = self._start(f"{name}-agent", "galena-agent", "--config",
                            settings)
        instance = Instance(service, name, upstream_process, agent, http)
        self.instances.append(instance)
        return instance

    def wait_for_instance(self, instance):
        """Waits until the agent is ready."""
        wait_ready(instance.agent, instance.http, READY_TIMEOUT_SECONDS)

    def begin_drain(self, instance):
        """Starts to shut down an agent gracefully, without waiting: the agent
        ends when its flows have ended. See `wait_for_drains`."""
        self.instances.remove(instance)
        instance.agent.signal(signal.SIGTERM)
        self._draining.append((instance,
                               time.monotonic() + DRAIN_TIMEOUT_SECONDS))

    def draining(self, service):
        """Returns whether an instance of the service is draining."""
        self._reap_drained()
        return any(i.service == service for i, _ in self._draining)

    def wait_for_drains(self):
        """Waits until all draining agents have ended and stops their
        upstreams. Raises StepFailed if an agent fails or takes too long."""
        wait_until(lambda: not self._reap_drained(), DRAIN_TIMEOUT_SECONDS + 1,
                   "drains")

    def _reap_drained(self):
        """Stops the upstreams whose agents have ended. Returns the instances
        that are still draining, with their deadlines. Raises StepFailed if an
        agent failed or takes too long."""
        still = []
        for instance, deadline in self._draining:
            status = instance.agent.status()
            if status is None and time.monotonic() < deadline:
                still.append((instance, deadline))
            elif status == 0:
                self._stop(instance.upstream)
            else:
                raise StepFailed(
                    f"{instance.name} did not drain: status {status}:"
                    f" {instance.agent.log_tail()}")
        self._draining = still
        return still

    def drain_instance(self, instance):
        """Shuts down an agent gracefully, then stops its upstream. Returns
        False if the agent failed or did not end in time."""
        self.instances.remove(instance)
        instance.agent.signal(signal.SIGTERM)
        status = instance.agent.wait(DRAIN_TIMEOUT_SECONDS)
        if status is None:
            instance.agent.kill()
        self._stop(instance.upstream)
        return status == 0

    def set_platform_faults(self, **faults):
        """Replaces the active faults of the platform stand-in; without
        arguments all faults end."""
        post_json(self.platform_address, "/v1/standin/faults", faults)

    def platform_calls(self):
        """Returns the platform stand-in's counts of its calls."""
        return get_json(self.platform_address, "/v1/standin/calls")

    def status(self, daemon):
        """Returns the parsed /status of a balancer or an instance's agent."""
        return get_json(daemon.http, "/status")

    def kill_instance(self, instance):
        """Kills an agent and its upstream."""
        self.instances.remove(instance)
        instance.agent.kill()
        instance.upstream.kill()

    def start_callers(self, seconds, *options):
        """Starts the caller stand-in, which sends for `seconds`."""
        name = f"callers-{self._next_number('callers')}"
        ingress_options = [f"--{s.name}={self.ingress_addresses[s.name]}"
                           for s in self.services]
        return self._start(
            name, "caller_standin", *ingress_options, "--seed", self._seed,
            "--duration-ms", int(seconds * 1000),
            "--intakes", self._folder / f"{name}.intakes", *options)

    def start_libcoap_callers(self, seconds, *options):
        """Starts callers that are unmodified libcoap clients and send for
        `seconds`."""
        name = f"libcoap-{self._next_number('libcoap')}"
        return self._start(
            name, "libcoap_caller",
            "--orders", self.ingress_addresses["orders"],
            "--photos", self.ingress_addresses["photos"], "--tag", name,
            "--duration-ms", int(seconds * 1000),
            "--limit-ms", int(seconds * 1000) + LIBCOAP_MAX_EXTRA_MS,
            "--intakes", self._folder / f"{name}.intakes", *options)

    def intakes(self):
        """Returns the state of each intake request as its caller recorded it,
        by the request's id."""
        states = {}
        for path in sorted(self._folder.glob("*.intakes")):
            for line in path.read_text().splitlines():
                state, intake = line.split(" ", 1)
                states[intake] = state
        return states

    def save_metrics(self):
        """Saves the metrics of each running daemon in `NAME.metrics`."""
        for part in self.balancers + self.instances:
            path = self._folder / f"{part.name}.metrics"
            path.write_text(get_text(part.http, "/metrics"))

    def healthy(self):
        """Returns whether every daemon that should run returns 200 for
        /healthz."""
        addresses = [p.http for p in self.balancers + self.instances]
        return all(http_ok(a, "/healthz") for a in addresses)

    def _next_number(self, kind):
        self._counts[kind] += 1
        return self._counts[kind]

    def _data_centre(self, kind):
        return DATA_CENTRES[self._counts[kind] % len(DATA_CENTRES)]

    def _write_settings(self, name, text):
        path = self._folder / f"{name}.toml"
        path.write_text(text.lstrip())
        return path

    def _start(self, name, program, *arguments):
        return self._processes.start(
            name, [self._binaries / program, *arguments])

    @staticmethod
    def _raise_if_ended(process):
        if not process.running():
            raise StepFailed(f"{process.name} ended: {process.log_tail()}")
        return False

    @staticmethod
    def _stop(process):
        process.signal(signal.SIGTERM)
        if process.wait(DRAIN_TIMEOUT_SECONDS) is None:
            process.kill()
            raise StepFailed(f"{process.name} did not stop on SIGTERM")
