#!/usr/bin/env bash
# Runs balancers of passthrough flows with a store that lists many balancers
# that are gone. Each case ends after at most 55 s.
# usage: testsuite/gone_members/run.sh
set -euo pipefail
cd "$(dirname "$0")/../.."

# case_with GONE RUNNING
case_with() {
    timeout 55 python3 -B testsuite/gone_members/gone_members.py \
        "${GALENA_BIN:-build/release/bin}" "$1" "$2"
}
case_with 60 1
case_with 200 3
