"""Measures the datagrams per second that the balancer and a bare UDP relay
forward, in alternating rounds of one run. Prints for each payload size the
medians, their ratio and the rate of each round."""

import argparse
import pathlib
import re
import statistics
import sys
import tempfile
import urllib.request

from processes import Processes
from system import ORDERS, System

PAYLOAD_BYTES = (64, 256, 1200)
ROUND_SECONDS = 2


class MeasuredPath:
    """A path from the address `ingress` to the address `sink`, at which `blast`
    counts datagrams, with the rates measured on it."""

    def __init__(self, ingress, sink):
        self.ingress = ingress
        self.sink = sink
        self.rates = []


def read_arguments():
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True, type=pathlib.Path)
    parser.add_argument("--rounds", type=int, default=5)
    return parser.parse_args()


def start_balancer(system, run, sink):
    """Starts a balancer with one agent, for which the sink stands in, and
    returns it once it is ready."""
    system.start_platform()
    system.apply_rules()
    roster = run("blast", "--roster", "--sink", sink, "--service", ORDERS.name)
    url = f"http://{system.platform_address}/v1/objects/roster/{ORDERS.name}"
    request = urllib.request.Request(url, roster.encode(), {"If-Match": "0"},
                                     method="PUT")
    with urllib.request.urlopen(request, timeout=5):
        pass
    balancer = system.start_balancer()
    system.wait_for_balancer(balancer)
    return balancer


def measure(run, path, payload):
    """Returns the datagrams per second that reach the sink of a path."""
    text = run("blast", "--to", path.ingress, "--sink", path.sink,
               "--seconds", ROUND_SECONDS, "--payload", payload)
    return int(re.search(r"received_per_s=(\d+)", text).group(1))


def main():
    """Measures all payload sizes and prints one line for each."""
    arguments = read_arguments()
    with tempfile.TemporaryDirectory(prefix="galena-bench-") as folder, \
            Processes(folder) as processes:
        def run(program, *options):
            process = processes.start(f"{program}-run", [
                arguments.binaries / program, *options])
            process.wait(ROUND_SECONDS + 10)
            return process.text().splitlines()[-1]

        system = System(arguments.binaries, processes, 1, (ORDERS,))
        sinks = [system.allocate_port() for _ in range(2)]
        balancer = start_balancer(system, run, sinks[0])
        ingress = system.allocate_port()
        processes.start("relay", [arguments.binaries / "bare_relay",
                                  "--listen", ingress, "--to", sinks[1]])
        for payload in PAYLOAD_BYTES:
            paths = [MeasuredPath(balancer.packets, sinks[0]),
                     MeasuredPath(ingress, sinks[1])]
            for _ in range(arguments.rounds):
                for path in paths:
                    path.rates.append(measure(run, path, payload))
            medians = [statistics.median(p.rates) for p in paths]
            print(f"payload={payload} balancer_per_s={medians[0]:.0f} "
                  f"relay_per_s={medians[1]:.0f} "
                  f"ratio={medians[0] / medians[1]:.3f} "
                  f"balancer_rounds={paths[0].rates} "
                  f"relay_rounds={paths[1].rates}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
