#!/usr/bin/env bash
# Measures the load policy for the setups of both users with fixed seeds, and
# checks every target on the mean over the seeds. A target must be met; where the
# omniscient strategy, which has complete information, misses it too, a value
# close to that strategy's counts as limit. Prints one line of JSON for each
# target, with the worst single seed.
# usage: testsuite/load/run.sh
set -euo pipefail
cd "$(dirname "$0")/../.."

seed=1
program=build/release/bin/galena-experiment
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check USER: checks the targets of a user's setup.
check() {
    "$program" "testsuite/load/$1.toml" --seed "$seed" --seeds 4 --targets \
        --strategy policy --strategy omniscient >"$work/$1"
}

# run_policy USER NAME: writes the metrics of the policy to $work/NAME, for the
# comparison with another run.
run_policy() {
    "$program" "testsuite/load/$1.toml" --seed "$seed" --strategy policy \
        >"$work/$2"
}

status=0
check workshop & workshop=$!
check kettle || status=1
wait "$workshop" || status=1
cat "$work/workshop" "$work/kettle"

run_policy kettle first & first=$!
run_policy kettle second
wait "$first"
if ! cmp -s "$work/first" "$work/second"; then
    echo "two runs with seed $seed differ"
    status=1
fi

if "$program" testsuite/load/bad.toml --check 2>"$work/errors"; then
    echo "bad.toml was accepted"
    status=1
fi
diff testsuite/load/bad.expected "$work/errors" || status=1

for outcome in met limit missed; do
    echo "$outcome: $(cat "$work/workshop" "$work/kettle" |
        grep -c "\"outcome\":\"$outcome\"" || true)"
done
exit "$status"
