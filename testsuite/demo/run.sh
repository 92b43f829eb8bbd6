#!/usr/bin/env bash
# Runs the demo on loopback, first without faults, then with faults.
set -euo pipefail
cd "$(dirname "$0")/../.."

demo() {
    python3 testsuite/demo/demo.py --binaries build/release/bin "$@"
}

demo --duration 5 --seed 1
demo --duration 15 --seed 2 --faults
