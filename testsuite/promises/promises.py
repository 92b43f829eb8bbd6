"""Runs the cases of the brief's promises as real processes and prints a line
for each; exit status 1 if any promise was not kept."""

import argparse
import concurrent.futures
import sys

from cases import CASES
from harness import run_case


def read_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3,
                        help="cases that run side by side")
    parser.add_argument("--only", action="append", help="name of a case")
    parser.add_argument("--keep", help="copy logs of failed cases here")
    return parser.parse_args()


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
    for outcome in outcomes:
        word = "held" if outcome.held else "BROKEN"
        facts = " ".join(text for text, _ in outcome.facts)
        print(f"case={outcome.name} result={word} {facts}")
    return 0 if outcomes and all(o.held for o in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
