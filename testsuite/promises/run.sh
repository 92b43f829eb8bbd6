#!/usr/bin/env bash
# Runs the promises under failure and compares with ref/out.txt.
# usage: testsuite/promises/run.sh [--only CASE] [--seed N] [--keep FOLDER]
set -euo pipefail
cd "$(dirname "$0")/../.."

out=$(mktemp)
trap 'rm -f "$out"' EXIT
status=0
python3 testsuite/promises/promises.py --binaries build/release/bin "$@" |
    tee "$out" || status=$?
if [ $# -eq 0 ]; then
    diff testsuite/promises/ref/out.txt "$out" || status=1
fi
exit "$status"
