#!/usr/bin/env bash
# Runs the models of spec/ in the checker spin.
#
# Each line of checks.txt is one run: model, the property it is about, the
# expected result and the macros of the run.
#   hold   the whole state space was searched and no property failed
#   fail   the named assertion was violated: by a mutation of the protocol, or
#          because a good state, said to be unreachable, was reached
# Prints one line for each run. Exit status is 0 only if every run gave what
# was expected.
#
# usage: spec/check.sh [MODEL]
set -u
here=$(cd "$(dirname "$0")" && pwd)
readonly here
readonly jobs=4
readonly memory_mb=2000
readonly depth=100000

# Builds the checker of one run in the current folder. A run that must fail ends
# early: for it the compiler's own time counts more than its optimizer.
build_checker() {
    local model=$1 expect=$2 optimize=-O2
    shift 2
    [ "$expect" = fail ] && optimize=-O0
    spin -a "$@" "$here/$model.pml" >spin.out 2>&1 &&
        gcc $optimize -w -DSAFETY -DNOREDUCE -DVECTORSZ=2048 \
            -DMEMLIM=$memory_mb -o pan pan.c >gcc.out 2>&1
}

# Whether the checker has seen every reachable state.
search_complete() {
    grep -q 'errors: ' pan.out &&
        ! grep -qE 'Search not completed|search depth too small|reached -DMEMLIM|out of memory' pan.out
}

# The name of the assertion that was violated, if any.
violated_assertion() {
    sed -nE 's/^pan:[0-9]*:? *assertion violated *\(?([a-z_0-9]+)\)? .*/\1/p' pan.out | head -1
}

# The number that stands at the parentheses of a pattern in the report.
figure() {
    sed -nE "s/$1/\\1/p" pan.out | head -1
}

# Runs one line of the table and prints what came of it.
run_check() {
    local number=$1 model=$2 check=$3 expect=$4
    shift 4
    local result=hold complete=no matches=no violated
    mkdir "$work/$number" && cd "$work/$number" || return 1
    if build_checker "$model" "$expect" "$@"; then
        ./pan -m$depth >pan.out 2>&1
        violated=$(violated_assertion)
        search_complete && complete=yes
        if [ -n "$violated" ]; then
            result=fail:$violated
        elif ! grep -q 'errors: 0' pan.out; then
            result=error
        fi
    else
        result=not_built
        : >pan.out
    fi
    case $expect in
    hold) [ "$result $complete" = "hold yes" ] && matches=yes ;;
    fail) [ "$result" = "fail:$check" ] && matches=yes ;;
    esac
    echo "spec model=$model check=$check expect=$expect result=$result" \
        "states=$(figure '^ *([0-9.e+]+) states, stored.*')" \
        "depth=$(figure '.*depth reached ([0-9]+).*')" \
        "complete=$complete" \
        "memory_mb=$(figure '^ *([0-9]+)[.0-9]*.*total actual memory usage.*')" \
        "matches=$matches macros=\"$*\"" >"$work/$number.line"
    rm -f pan pan.?
}

work=$(mktemp -d) || exit 1
readonly work
trap 'rm -rf "$work"' EXIT
export -f build_checker search_complete violated_assertion figure run_check
export work here memory_mb depth

table=$(sed -e 's/#.*//' -e '/^ *$/d' "$here/checks.txt" | grep -E "^${1:-[a-z_]+} ")
count=$(grep -c . <<<"$table")
if [ "$count" -eq 0 ]; then
    echo "spec result=failed reason=\"no such model\""
    exit 2
fi
nl -w1 -s' ' <<<"$table" | xargs -P $jobs -L 1 bash -c 'run_check "$@"' check.sh
for number in $(seq "$count"); do
    cat "$work/$number.line"
done
matched=$(cat "$work"/*.line | grep -c 'matches=yes')
if [ "$matched" -eq "$count" ]; then
    echo "spec result=passed runs=$count"
else
    echo "spec result=failed runs=$count matched=$matched"
    exit 1
fi
