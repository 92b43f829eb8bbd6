#!/usr/bin/env bash
# Runs the benchmarks of single operations, then compares the throughput of the
# balancer with that of a bare relay.
# Run it on an idle machine.
# usage: tools/bench.sh [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."

tools/build.sh release
build/release/bin/galena_bench
python3 testsuite/lib/throughput.py --binaries build/release/bin \
    --rounds "${1:-5}"
