"""Datagrams a second through the balancer against a bare UDP relay, by turns
in one run: the ratio of the medians, and each round's figures."""

import argparse
import pathlib
import re
import statistics
import sys
import tempfile
import urllib.request

from processes import Processes
from system import ORDERS, System

PAYLOADS = (64, 256, 1200)
SECONDS = 2


class Track:
    """A way from `entrance` to the sink that `blast` counts at."""

    def __init__(self, entrance, sink):
        self.entrance = entrance
        self.sink = sink
        self.rates = []


def read_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True, type=pathlib.Path)
    parser.add_argument("--rounds", type=int, default=5)
    return parser.parse_args()


def start_balancer(system, run, sink):
    """Starts a balancer whose one agent is the sink."""
    system.start_platform()
    system.apply_rules()
    roster = run("blast", "--roster", "--sink", sink, "--service", ORDERS.name)
    url = f"http://{system.platform}/v1/objects/roster/{ORDERS.name}"
    request = urllib.request.Request(url, roster.encode(), {"If-Match": "0"},
                                     method="PUT")
    with urllib.request.urlopen(request, timeout=5):
        pass
    balancer = system.start_balancer()
    system.wait_for_balancer(balancer)
    return balancer


def measure(run, track, payload):
    """Datagrams a second that come out of one track."""
    text = run("blast", "--to", track.entrance, "--sink", track.sink,
               "--seconds", SECONDS, "--payload", payload)
    return int(re.search(r"received_per_s=(\d+)", text).group(1))


def main():
    """Prints one line for each payload size."""
    arguments = read_arguments()
    with tempfile.TemporaryDirectory(prefix="galena-bench-") as folder, \
            Processes(folder) as processes:
        def run(program, *options):
            process = processes.start(f"{program}-run", [
                arguments.binaries / program, *options])
            process.wait(SECONDS + 10)
            return process.text().splitlines()[-1]

        system = System(arguments.binaries, processes, 1, (ORDERS,))
        sinks = [system.take_port() for _ in range(2)]
        balancer = start_balancer(system, run, sinks[0])
        entrance = system.take_port()
        processes.start("relay", [arguments.binaries / "bare_relay",
                                  "--listen", entrance, "--to", sinks[1]])
        for payload in PAYLOADS:
            tracks = [Track(balancer.packets, sinks[0]),
                      Track(entrance, sinks[1])]
            for _ in range(arguments.rounds):
                for track in tracks:
                    track.rates.append(measure(run, track, payload))
            medians = [statistics.median(t.rates) for t in tracks]
            print(f"payload={payload} balancer_per_s={medians[0]:.0f} "
                  f"relay_per_s={medians[1]:.0f} "
                  f"ratio={medians[0] / medians[1]:.3f} "
                  f"balancer_rounds={tracks[0].rates} "
                  f"relay_rounds={tracks[1].rates}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
