#!/usr/bin/env bash
# Runs the demo with faults while the fabric drops 1 % of all datagrams.
set -euo pipefail
cd "$(dirname "$0")/../.."

for seed in 8 9 10; do
    python3 testsuite/demo/demo.py --binaries build/release/bin \
        --duration 12 --seed "$seed" --faults --loss 10
done
