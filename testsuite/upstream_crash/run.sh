#!/usr/bin/env bash
# Runs galena-pass-agent beside an upstream that crashes or is silent. Ends after
# at most 100 s.
# usage: testsuite/upstream_crash/run.sh
set -euo pipefail
cd "$(dirname "$0")/../.."

exec timeout 100 python3 -B testsuite/upstream_crash/upstream_crash.py \
    --bin "${GALENA_BIN:-build/release/bin}" "$@"
