#!/usr/bin/env bash
# Operators' commands against the platform stand-in: exit codes, races, lost
# answers, kills and outages. Bounded by a time limit.
# usage: testsuite/operators/run.sh [--seed N] [--workers N] [--rounds N]
set -euo pipefail
cd "$(dirname "$0")/../.."

exec timeout 150 python3 testsuite/operators/operators.py \
    --bin "${GALENA_BIN:-build/release/bin}" "$@"
