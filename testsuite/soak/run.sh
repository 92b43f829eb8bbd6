#!/usr/bin/env bash
# Fault soak of passthrough flows: two seeds, the plans that failed in the past,
# and then a run for each check that shows that the check can fail.
# By hand: testsuite/soak/run.sh FIRST LAST SECONDS
set -euo pipefail
cd "$(dirname "$0")/../.."

first=${1:-1} last=${2:-2} seconds=${3:-8}
failed=0
for ((seed = first; seed <= last; seed++)); do
    timeout 120 python3 testsuite/soak/soak.py build/release/bin \
        --seed "$seed" --seconds "$seconds" || failed=$((failed + 1))
done
echo "soak: $failed of $((last - first + 1)) seeds violated a guarantee"
[ "$failed" -eq 0 ]
if [ $# -eq 0 ]; then
    for plan in testsuite/soak/plans/*.txt; do
        timeout 120 python3 testsuite/soak/soak.py build/release/bin \
            --plan "$plan" --seconds 8
    done
    testsuite/soak/sabotage.sh
fi
