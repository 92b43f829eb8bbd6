"""Code that all cases of the guarantees share: a small system, its callers,
and their totals."""

import collections
import pathlib
import re
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "lib"))

# pylint: disable=wrong-import-position
from processes import StepFailed, Processes  # noqa: E402
from system import ORDERS, PHOTOS, System  # noqa: E402

# Time after the end of sending within which callers must exit.
EXIT_TIMEOUT_SECONDS = 60
FIELDS = ("sent", "answered", "refused", "broken", "misdelivered")

Outcome = collections.namedtuple("Outcome", "name passed checks")


class Case:
    """A running system and its callers."""

    def __init__(self, binaries, processes, seed):
        self.system = System(binaries, processes, seed, (ORDERS, PHOTOS))
        self._callers = []

    def start(self, orders=3, photos=2, balancers=2, fabric=(), upstream=()):
        """Starts everything but the callers. `fabric` and `upstream` are
        further options of those stand-ins."""
        system = self.system
        system.start_platform()
        system.apply_rules()
        for service, count in ((ORDERS, orders), (PHOTOS, photos)):
            for _ in range(count):
                system.start_instance(service, *upstream)
        for _ in range(balancers):
            system.start_balancer()
        for instance in system.instances:
            system.wait_for_instance(instance)
        for balancer in system.balancers:
            system.wait_for_balancer(balancer)
        system.start_fabric(*fabric)

    def start_callers(self, seconds, *options):
        """Starts callers that send for `seconds`."""
        defaults = {"--status-flows": 8, "--intake-flows": 8,
                    "--photo-flows": 6, "--udp-flows": 0}
        for name, value in defaults.items():
            if name not in options:
                options += (name, value)
        process = self.system.start_callers(seconds, *options)
        self._callers.append((process, time.monotonic() + seconds))

    def wait_for_totals(self):
        """Waits until the callers have ended. Returns their summed totals and
        what a comparison with the ledgers of the upstreams adds. Raises
        StepFailed if a caller does not end in time."""
        totals = collections.Counter()
        for process, ends_at in self._callers:
            left = max(0.0, ends_at - time.monotonic()) + EXIT_TIMEOUT_SECONDS
            if process.wait(left) is None:
                raise StepFailed(f"{process.name} did not end")
            totals.update(self._read_totals(process))
        self._check_ledgers(totals)
        return totals

    def instances_of(self, service):
        """Returns the running instances of a service."""
        return [i for i in self.system.instances if i.service is service]

    def add_instance(self, service):
        """Starts an instance, waits until it is ready, and returns it."""
        instance = self.system.start_instance(service)
        self.system.wait_for_instance(instance)
        return instance

    def drain(self, instance):
        """Shuts down an instance gracefully. Raises StepFailed if its agent
        fails or does not end in time."""
        if not self.system.drain_instance(instance):
            raise StepFailed(f"{instance.name} did not drain in time or failed")

    def replace(self, instance):
        """Adds a new instance, then shuts down the old one gracefully."""
        self.add_instance(instance.service)
        self.drain(instance)

    @staticmethod
    def _read_totals(process):
        lines = [line for line in process.text().splitlines()
                 if line.startswith("caller ")]
        if not lines:
            raise StepFailed(f"{process.name} printed no totals")
        pairs = dict(re.findall(r"(\w+)=(\d+)", lines[-1]))
        return {field: int(pairs[field]) for field in FIELDS}

    def _check_ledgers(self, totals):
        runs = collections.Counter()
        for ledger in self.system.ledgers():
            runs.update(ledger.read_text().split())
        totals["doubled"] = sum(1 for n in runs.values() if n > 1)
        for intake, state in self.system.intakes().items():
            totals["lost"] += state == "ran" and runs[intake] == 0
            totals["false_not_run"] += (state == "did_not_run" and
                                        runs[intake] > 0)


def run_case(binaries, name, function, seed, keep):
    """Runs a case and returns its outcome, also if a step fails. Copies the
    logs of a failed case to the folder `keep`, if one is given."""
    folder = tempfile.mkdtemp(prefix=f"galena-{name}-")
    try:
        with Processes(folder) as processes:
            case = Case(binaries, processes, seed)
            checks = function(case)
            case.system.save_metrics()
        passed = all(ok for _, ok in checks)
    except (StepFailed, OSError) as failure:
        checks, passed = [(f"failed: {failure}", False)], False
    if keep and not passed:
        shutil.copytree(folder, pathlib.Path(keep) / name, dirs_exist_ok=True)
    shutil.rmtree(folder)
    return Outcome(name, passed, checks)
