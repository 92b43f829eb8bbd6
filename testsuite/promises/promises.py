"""Runs the cases of the guarantees under failure with real processes and
prints a line for each. The exit status is 1 if a case failed that
KNOWN-RED.txt does not list, or if there was no other case."""

import argparse
import concurrent.futures
import pathlib
import re
import sys

from cases import CASES
from harness import run_case

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


def read_arguments():
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3,
                        help="cases that run side by side")
    parser.add_argument("--only", action="append", help="name of a case")
    parser.add_argument("--keep", help="copy logs of failed cases here")
    return parser.parse_args()


def known_red():
    """Returns the names of the cases that KNOWN-RED.txt lists as failing
    because of a known defect."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test=promises/(\w+) ", KNOWN_RED.read_text(),
                          re.MULTILINE))


def main():
    """Runs the cases; returns the exit status."""
    arguments = read_arguments()
    chosen = [c for c in CASES
              if not arguments.only or c.__name__ in arguments.only]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        running = [pool.submit(run_case, arguments.binaries, c.__name__, c,
                               arguments.seed, arguments.keep)
                   for c in chosen]
        outcomes = [r.result() for r in running]
    known_failing = known_red()
    for outcome in outcomes:
        word = "held" if outcome.passed else "BROKEN"
        checks = " ".join(text for text, _ in outcome.checks)
        line = f"case={outcome.name} result={word} {checks}"
        if outcome.name in known_failing:
            print(f"known red: {line}", file=sys.stderr)
        else:
            print(line)
    counted = [o for o in outcomes if o.name not in known_failing]
    return 0 if counted and all(o.passed for o in counted) else 1


if __name__ == "__main__":
    sys.exit(main())
