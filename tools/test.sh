#!/usr/bin/env bash
# Runs all tests: unit tests without and with sanitizers, the model checker, and
# the whole-program cases of testsuite/. Prints "N passed, N failed" at the end.
# usage: tools/test.sh
set -uo pipefail
cd "$(dirname "$0")/.."

# A fixed seed of rapidcheck, so that every run generates the same cases.
export RC_PARAMS="seed=20261204 max_success=500"

passed=0
failed=0

# run NAME COMMAND...: runs a test and counts its outcome, unless KNOWN-RED.txt
# lists the test.
run() {
    local name=$1
    shift
    if grep -qsF "test=$name " KNOWN-RED.txt; then
        echo "known red: $(grep -F "test=$name " KNOWN-RED.txt)"
        return
    fi
    local started=$SECONDS
    if output=$("$@" 2>&1); then
        passed=$((passed + 1))
        echo "ok   $name ($((SECONDS - started)) s)"
    else
        failed=$((failed + 1))
        echo "FAIL $name ($((SECONDS - started)) s)"
        echo "$output" | tail -n 60
    fi
}

# run_together NAME...: runs several tests in parallel and counts their outcomes.
# Each NAME is the path of a program that needs no arguments.
run_together() {
    local logs
    logs=$(mktemp -d)
    local name
    local pids=()
    for name in "$@"; do
        mkdir -p "$logs/$(dirname "$name")"
        "$name" >"$logs/$name.log" 2>&1 &
        pids+=($!)
    done
    local i=0
    for name in "$@"; do
        if wait "${pids[$i]}"; then
            run "$name" true
        else
            run "$name" sh -c "cat '$logs/$name.log'; false"
        fi
        i=$((i + 1))
    done
    rm -rf "$logs"
}

run build-release tools/build.sh release
run build-asan tools/build.sh asan
# These tests do not depend on timing and may run in parallel.
run_together build/asan/bin/*_test build/release/bin/*_test spec/check.sh
# Whole-program cases depend on timing and run one after another.
for case in testsuite/*/run.sh; do
    run "$case" "$case"
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
