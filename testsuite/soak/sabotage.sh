#!/usr/bin/env bash
# Shows that each check of the soak can fail: in each run a stand-in violates
# one guarantee deliberately, and the run must report that violation. Other
# violations in the report are ignored.
# usage: testsuite/soak/sabotage.sh
set -euo pipefail
cd "$(dirname "$0")/../.."

# value of --sabotage, then text of the violation that the run must report
checks="reset:reset while its upstream lives
answer:another request's answer
twice:run twice
service:misdelivered
drain:opened at a draining upstream
rules:old rules
refused:refused, yet it ran
ended:has ended with
served:not served again"

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
seed=100
pids=()
while IFS=: read -r name message; do
    seed=$((seed + 1))
    (
        timeout 120 python3 testsuite/soak/soak.py build/release/bin \
            --seed "$seed" --seconds 8 --sabotage "$name" \
            --keep "$folder/$name" >"$folder/$name.out" 2>&1 || true
        grep -q "^BROKEN.*$message" "$folder/$name.out" ||
            echo "$name" >>"$folder/missed"
    ) &
    pids+=($!)
    # At most three runs at a time, because each consists of ten processes.
    if [ $((seed % 3)) -eq 0 ]; then
        wait "${pids[@]}"
    fi
done <<<"$checks"
wait "${pids[@]}"
if [ -s "$folder/missed" ]; then
    echo "checks that did not fail: $(paste -sd' ' "$folder/missed")"
    exit 1
fi
echo "soak: all checks can fail"
