#!/usr/bin/env bash
# Measures the load policy for both users' sizes with fixed seeds and checks
# every target on their mean: met, or at its shown limit. Prints one line of
# JSON a target, with the worst single seed.
# usage: testsuite/load/run.sh
set -euo pipefail
cd "$(dirname "$0")/../.."

seed=1
program=build/release/bin/galena-experiment
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check USER: the targets of one user's setup.
check() {
    "$program" "testsuite/load/$1.toml" --seed "$seed" --seeds 4 --targets \
        --strategy policy --strategy omniscient >"$work/$1"
}

# repeat USER NAME: the policy's figures, for comparison with another run.
repeat() {
    "$program" "testsuite/load/$1.toml" --seed "$seed" --strategy policy \
        >"$work/$2"
}

status=0
check workshop & workshop=$!
check kettle || status=1
wait "$workshop" || status=1
cat "$work/workshop" "$work/kettle"

repeat kettle first & first=$!
repeat kettle second
wait "$first"
if ! cmp -s "$work/first" "$work/second"; then
    echo "two runs with seed $seed differ"
    status=1
fi

if "$program" testsuite/load/bad.toml --check 2>"$work/faults"; then
    echo "bad.toml was accepted"
    status=1
fi
diff testsuite/load/bad.expected "$work/faults" || status=1

for outcome in met limit missed; do
    echo "$outcome: $(cat "$work/workshop" "$work/kettle" |
        grep -c "\"outcome\":\"$outcome\"" || true)"
done
exit "$status"
