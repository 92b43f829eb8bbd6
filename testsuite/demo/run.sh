#!/usr/bin/env bash
# The main job on loopback: plain, with faults, and with faults and loss.
set -euo pipefail
cd "$(dirname "$0")/../.."

demo() {
    python3 testsuite/demo/demo.py --binaries build/release/bin "$@"
}

demo --duration 5 --seed 1
demo --duration 15 --seed 2 --faults
demo --duration 15 --seed 3 --faults --loss 10
