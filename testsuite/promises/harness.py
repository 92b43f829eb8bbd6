"""What every case of the promises shares: a small system, callers, totals."""

import collections
import pathlib
import re
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "lib"))

# pylint: disable=wrong-import-position
from processes import Failed, Processes  # noqa: E402
from system import ORDERS, PHOTOS, System  # noqa: E402

CALLERS_END_SECONDS = 60
FIELDS = ("sent", "answered", "refused", "broken", "misdelivered")

Outcome = collections.namedtuple("Outcome", "name held facts")


class Case:
    """One running system with callers."""

    def __init__(self, binaries, processes, seed):
        self.system = System(binaries, processes, seed, (ORDERS, PHOTOS))
        self._callers = []

    def start(self, orders=3, photos=2, balancers=2, fabric=(), upstream=()):
        """Starts everything but the callers."""
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

    def call(self, seconds, *options):
        """Starts callers that send for so many seconds."""
        defaults = {"--status-flows": 8, "--intake-flows": 8,
                    "--photo-flows": 6, "--udp-flows": 0}
        for name, value in defaults.items():
            if name not in options:
                options += (name, value)
        process = self.system.start_callers(seconds, *options)
        self._callers.append((process, time.monotonic() + seconds))

    def totals(self):
        """Waits for the callers; what they and the ledgers say."""
        totals = collections.Counter()
        for process, ends in self._callers:
            left = max(0.0, ends - time.monotonic()) + CALLERS_END_SECONDS
            if process.wait(left) is None:
                raise Failed(f"{process.name} did not end")
            totals.update(self._read(process))
        self._check_ledgers(totals)
        return totals

    def of(self, service):
        """Running instances of a service."""
        return [i for i in self.system.instances if i.service is service]

    def join(self, service):
        """Starts an instance and waits until it is ready."""
        instance = self.system.start_instance(service)
        self.system.wait_for_instance(instance)
        return instance

    def drain(self, instance):
        """Stops an instance in good order; raises Failed if it can't."""
        if not self.system.drain_instance(instance):
            raise Failed(f"{instance.name} did not drain well")

    def replace(self, instance):
        """A new instance joins, then the old one leaves."""
        self.join(instance.service)
        self.drain(instance)

    @staticmethod
    def _read(process):
        lines = [line for line in process.text().splitlines()
                 if line.startswith("caller ")]
        if not lines:
            raise Failed(f"{process.name} printed no totals")
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


def run_case(binaries, name, act, seed, keep):
    """Runs one case; never raises."""
    folder = tempfile.mkdtemp(prefix=f"galena-{name}-")
    try:
        with Processes(folder) as processes:
            case = Case(binaries, processes, seed)
            facts = act(case)
            case.system.save_metrics()
        held = all(ok for _, ok in facts)
    except (Failed, OSError) as failure:
        facts, held = [(f"failed: {failure}", False)], False
    if keep and not held:
        shutil.copytree(folder, pathlib.Path(keep) / name, dirs_exist_ok=True)
    shutil.rmtree(folder)
    return Outcome(name, held, facts)
