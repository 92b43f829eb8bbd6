"""Measures the cost of galena-agent and prints a line of JSON for each service
size: first for the decision library on virtual time, then for idle processes of
one service on loopback.
usage: python3 tools/capacity_agent.py [--seconds N]"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite" / "lib"))

# pylint: disable=wrong-import-position
from processes import Processes  # noqa: E402
from system import ORDERS, System  # noqa: E402

BINARIES = ROOT / "build" / "release" / "bin"
MEMBER_COUNTS = (2, 4, 7, 12)


def cpu_seconds(pid):
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = [int(f) for f in fields.split()[11:13]]
    return sum(ticks) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    """Returns the resident memory of a process."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure_idle(members, seconds):
    """Measures a service with `members` members and no callers."""
    with tempfile.TemporaryDirectory() as folder:
        with Processes(folder) as processes:
            system = System(BINARIES, processes, 1, (ORDERS,))
            system.start_platform()
            for _ in range(members):
                system.start_instance(ORDERS)
            for instance in system.instances:
                system.wait_for_instance(instance)
            pids = [i.agent.pid() for i in system.instances]
            before = [cpu_seconds(p) for p in pids]
            calls = system.platform_calls()
            time.sleep(seconds)
            used = [cpu_seconds(p) - b for p, b in zip(pids, before)]
            return {"measure": "idle_processes", "members": members,
                    "cpu_share": sum(used) / members / seconds,
                    "resident_mb":
                        max(resident_bytes(p) for p in pids) / 1e6,
                    "platform_calls_before": calls,
                    "platform_calls_after": system.platform_calls()}


def main():
    """Measures all sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10)
    arguments = parser.parse_args()
    subprocess.run([BINARIES / "galena-agent-capacity"], check=True)
    for members in MEMBER_COUNTS:
        print(json.dumps(measure_idle(members, arguments.seconds)), flush=True)


if __name__ == "__main__":
    main()
