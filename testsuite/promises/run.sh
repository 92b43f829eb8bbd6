#!/usr/bin/env bash
# Runs the cases of the guarantees under failure and compares their results
# with ref/out.txt.
# usage: testsuite/promises/run.sh [--only CASE] [--seed N] [--keep FOLDER]
set -euo pipefail
cd "$(dirname "$0")/../.."

# Prints a regular expression that matches the cases of KNOWN-RED.txt, or only
# the word none if there are none.
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
    # Cases of KNOWN-RED.txt run as well, but their results are only shown on
    # standard error.
    grep -vE "^case=($(known_red)) " testsuite/promises/ref/out.txt |
        diff - "$out" || status=1
fi
exit "$status"
