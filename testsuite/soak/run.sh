#!/usr/bin/env bash
# Fault soak of passthrough flows: seeds that once failed and the usual ones,
# then the proof that each check can fail.
# By hand: testsuite/soak/run.sh FIRST LAST SECONDS
#   seed 1: reset while its upstream lives (a copy of an opening segment reached
#           the upstream's next life)
#   seed 2: SIGTERM ended with -6
set -euo pipefail
cd "$(dirname "$0")/../.."

first=${1:-1} last=${2:-2} seconds=${3:-8}
bad=0
for ((seed = first; seed <= last; seed++)); do
    timeout 120 python3 testsuite/soak/soak.py build/release/bin \
        --seed "$seed" --seconds "$seconds" || bad=$((bad + 1))
done
echo "soak: $bad of $((last - first + 1)) seeds broke a promise"
[ "$bad" -eq 0 ]
if [ $# -eq 0 ]; then
    testsuite/soak/sabotage.sh
fi
