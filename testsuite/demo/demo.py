"""Demo of the whole system on loopback. Callers send requests through fabric,
balancers and agents to the workshop's services; with --faults balancers and
instances are killed and replaced meanwhile. Prints one line of totals at the
end. The exit status is 1 if a request was broken, ran twice or reached another
service, or if none was answered."""

import argparse
import collections
import pathlib
import random
import re
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "lib"))

# pylint: disable=wrong-import-position
from processes import StepFailed, Processes  # noqa: E402
from system import ECHO, ORDERS, PHOTOS, System  # noqa: E402

BALANCERS = 3
ORDERS_INSTANCES = 3
PHOTOS_INSTANCES = 2
ECHO_INSTANCES = 2
# Time for which the fabric goes on sending packets to a killed balancer.
FABRIC_DETECTION_SECONDS = 0.5
MAX_PAUSE_BETWEEN_FAULTS_SECONDS = 1.0
# Time after the end of sending within which callers must exit.
EXIT_TIMEOUT_SECONDS = 60
FIELDS = ("sent", "answered", "refused", "broken", "misdelivered")


def read_arguments():
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=10,
                        help="seconds that callers send for")
    parser.add_argument("--faults", action="store_true",
                        help="kill and replace balancers and instances")
    parser.add_argument("--loss", type=int, default=0,
                        help="permille of datagrams that the fabric loses")
    parser.add_argument("--keep", help="copy all logs to this folder")
    return parser.parse_args()


def start_system(system, loss):
    """Starts everything but the callers."""
    system.start_platform()
    system.apply_rules()
    instance_counts = ((ORDERS, ORDERS_INSTANCES), (PHOTOS, PHOTOS_INSTANCES),
                       (ECHO, ECHO_INSTANCES))
    for service, count in instance_counts:
        for _ in range(count):
            system.start_instance(service)
    for _ in range(BALANCERS):
        system.start_balancer()
    for instance in system.instances:
        system.wait_for_instance(instance)
    for balancer in system.balancers:
        system.wait_for_balancer(balancer)
    system.start_fabric("--drop-permille", loss, "--trace-permille", 5)


class FaultInjector:
    """Kills and replaces balancers and instances, one fault at a time, in an
    order that depends on the seed only. Counts the faults by name."""

    def __init__(self, system, seed):
        self._system = system
        self._random = random.Random(seed)
        self._queue = []
        self.counts = collections.Counter()

    def inject_next(self):
        """Injects the next fault, then waits for a random time."""
        if not self._queue:
            self._queue = [self.kill_balancer, self.roll_balancer,
                           self.roll_instance, self.roll_instance,
                           self.roll_instance_and_kill_balancer]
            self._random.shuffle(self._queue)
        action = self._queue.pop()
        if action():
            self.counts[action.__name__] += 1
        time.sleep(self._random.uniform(0, MAX_PAUSE_BETWEEN_FAULTS_SECONDS))

    def kill_balancer(self):
        """Kills a balancer, removes it from the fabric after the detection
        time, and adds a new one."""
        self._system.kill_balancer(self._choose(self._system.balancers))
        time.sleep(FABRIC_DETECTION_SECONDS)
        self._system.set_fabric_balancers()
        self._add_balancer()
        return True

    def roll_balancer(self):
        """Adds a balancer and shuts down another one gracefully."""
        old = self._choose(self._system.balancers)
        self._add_balancer()
        self._system.stop_balancer(old)
        return True

    def roll_instance(self):
        """Adds an instance and starts to drain another one of its service.
        Returns False, without doing anything, if an instance of the service is
        still draining."""
        old = self._choose(self._system.instances)
        if self._system.draining(old.service):
            return False
        self._system.wait_for_instance(
            self._system.start_instance(old.service))
        self._system.begin_drain(old)
        return True

    def roll_instance_and_kill_balancer(self):
        """Kills a balancer while an instance is being replaced."""
        return self.roll_instance() and self.kill_balancer()

    def _choose(self, parts):
        return parts[self._random.randrange(len(parts))]

    def _add_balancer(self):
        balancer = self._system.start_balancer()
        self._system.wait_for_balancer(balancer)
        self._system.set_fabric_balancers()


def run_callers(system, arguments):
    """Runs callers for the duration, with faults if asked to. Returns the
    summed totals of the callers."""
    callers = [
        system.start_callers(
            arguments.duration, "--status-flows", 12, "--intake-flows", 12,
            "--photo-flows", 8, "--udp-flows", 8,
            "--photo-life-ms", int(arguments.duration * 1000)
            if not arguments.faults else 8000),
        system.start_libcoap_callers(arguments.duration),
    ]
    end = time.monotonic() + arguments.duration
    injector = FaultInjector(system, arguments.seed)
    while arguments.faults and time.monotonic() < end:
        injector.inject_next()
    system.wait_for_drains()
    if injector.counts:
        print("demo: faults " + " ".join(
            f"{name}={count}"
            for name, count in sorted(injector.counts.items())))
    totals = collections.Counter()
    left = max(0.0, end - time.monotonic()) + EXIT_TIMEOUT_SECONDS
    for process in callers:
        if process.wait(left) is None:
            raise StepFailed(f"{process.name} did not end")
        totals.update(read_totals(process))
    return totals


def read_totals(process):
    """Returns the totals in the last line that a caller printed."""
    lines = [line for line in process.text().splitlines()
             if line.startswith("caller ")]
    if not lines:
        raise StepFailed(f"{process.name} printed no totals")
    pairs = dict(re.findall(r"(\w+)=(\d+)", lines[-1]))
    return {field: int(pairs[field]) for field in FIELDS}


def check_ledgers(system, totals):
    """Compares what callers were answered with what upstreams ran, and adds
    the differences to the totals."""
    runs = collections.Counter()
    for ledger in system.ledgers():
        runs.update(ledger.read_text().split())
    totals["doubled"] = sum(1 for count in runs.values() if count > 1)
    for intake, state in system.intakes().items():
        if state == "ran" and runs[intake] == 0:
            print(f"demo: {intake} was answered but never ran")
            totals["broken"] += 1
        if state == "did_not_run" and runs[intake] > 0:
            print(f"demo: {intake} was refused as not run but ran")
            totals["broken"] += 1


def main():
    """Runs the demo; returns the exit status."""
    arguments = read_arguments()
    folder = tempfile.mkdtemp(prefix="galena-demo-")
    try:
        with Processes(folder) as processes:
            system = System(arguments.binaries, processes, arguments.seed,
                            (ORDERS, PHOTOS, ECHO))
            start_system(system, arguments.loss)
            totals = run_callers(system, arguments)
            check_ledgers(system, totals)
    except StepFailed as failure:
        print(f"demo: failed: {failure}", file=sys.stderr)
        return 1
    finally:
        if arguments.keep:
            shutil.copytree(folder, arguments.keep, dirs_exist_ok=True)
        shutil.rmtree(folder)
    print("demo: " + " ".join(
        f"{field}={totals[field]}" for field in
        ("sent", "answered", "refused", "broken", "doubled", "misdelivered")))
    bad = totals["broken"] + totals["doubled"] + totals["misdelivered"]
    return 0 if bad == 0 and totals["answered"] > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
