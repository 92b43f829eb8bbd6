#!/usr/bin/env bash
# Runs the operators' commands against the platform stand-in: exit codes, races,
# lost answers, kills and outages. Ends after at most 150 s.
# usage: testsuite/operators/run.sh [--seed N] [--workers N] [--rounds N]
set -euo pipefail
cd "$(dirname "$0")/../.."

exec timeout 150 python3 testsuite/operators/operators.py \
    --bin "${GALENA_BIN:-build/release/bin}" "$@"
