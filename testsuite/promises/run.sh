#!/usr/bin/env bash
# Runs the promises under failure and compares with ref/out.txt.
# usage: testsuite/promises/run.sh [--only CASE] [--seed N] [--keep FOLDER]
set -euo pipefail
cd "$(dirname "$0")/../.."

# Alternatives of a regular expression: the cases known to be red, or none.
known_red() {
    sed -n 's/^test=promises\/\([a-z_]*\) .*/\1/p' KNOWN-RED.txt 2>/dev/null |
        paste -sd'|' | grep . || echo none
}

out=$(mktemp)
trap 'rm -f "$out"' EXIT
status=0
python3 testsuite/promises/promises.py --binaries build/release/bin "$@" |
    tee "$out" || status=$?
if [ $# -eq 0 ]; then
    # Cases in KNOWN-RED.txt are run and shown, but not compared.
    grep -vE "^case=($(known_red)) " testsuite/promises/ref/out.txt |
        diff - "$out" || status=1
fi
exit "$status"
