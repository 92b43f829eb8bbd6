#!/usr/bin/env bash
# Checks that cases side by side get different ports.
# usage: testsuite/ports/run.sh
set -euo pipefail
cd "$(dirname "$0")"
python3 -B ports_test.py
