#!/usr/bin/env bash
# Installs missing packages, builds, and runs the demo on loopback.
# usage: tools/demo.sh [--seed N] [--duration SECONDS] [--faults] [--loss N]
#                      [--keep FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."

tools/setup.sh >/dev/null
tools/build.sh release >/dev/null
exec python3 testsuite/demo/demo.py --binaries build/release/bin "$@"
