#!/usr/bin/env bash
# Checks the models of spec/ with the model checker spin.
#
# Each line of checks.txt is one run: the model, the property under test, the
# expected result and the macros of the run.
#   hold   the whole state space was searched and no property failed
#   fail   the named assertion was violated: by a mutation of the protocol, or
#          because a desired state was reached that the assertion calls
#          unreachable
# Prints one line for each run. The exit status is 0 only if every run had the
# expected result.
#
# usage: spec/check.sh [MODEL]
set -u
here=$(cd "$(dirname "$0")" && pwd)
readonly here
readonly max_jobs=4
readonly memory_mb=2000
readonly max_depth=100000

# Builds the checker of a run in the current folder. Runs that must fail end
# early, so that optimization would take more time than it saves.
build_checker() {
    local model=$1 expect=$2 optimize=-O2
    shift 2
    [ "$expect" = fail ] && optimize=-O0
    spin -a "$@" "$here/$model.pml" >spin.out 2>&1 &&
        gcc $optimize -w -DSAFETY -DNOREDUCE -DVECTORSZ=2048 \
            -DMEMLIM=$memory_mb -o pan pan.c >gcc.out 2>&1
}

# Succeeds if the checker searched every reachable state.
search_complete() {
    grep -q 'errors: ' pan.out &&
        ! grep -qE 'Search not completed|search depth too small|reached -DMEMLIM|out of memory' pan.out
}

# Prints the name of the violated assertion, if there is one.
violated_assertion() {
    sed -nE 's/^pan:[0-9]*:? *assertion violated *\(?([a-z_0-9]+)\)? .*/\1/p' pan.out | head -1
}

# Prints the number that the parentheses of a pattern match in the report.
report_value() {
    sed -nE "s/$1/\\1/p" pan.out | head -1
}

# Runs a line of the table and writes its result to the file NUMBER.line.
run_check() {
    local number=$1 model=$2 check=$3 expect=$4
    shift 4
    local result=hold complete=no matches=no violated
    mkdir "$work/$number" && cd "$work/$number" || return 1
    if build_checker "$model" "$expect" "$@"; then
        ./pan -m$max_depth >pan.out 2>&1
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
        "states=$(report_value '^ *([0-9.e+]+) states, stored.*')" \
        "depth=$(report_value '.*depth reached ([0-9]+).*')" \
        "complete=$complete" \
        "memory_mb=$(report_value '^ *([0-9]+)[.0-9]*.*total actual memory usage.*')" \
        "matches=$matches macros=\"$*\"" >"$work/$number.line"
    rm -f pan pan.?
}

work=$(mktemp -d) || exit 1
readonly work
trap 'rm -rf "$work"' EXIT
export -f build_checker search_complete violated_assertion report_value run_check
export work here memory_mb max_depth

table=$(sed -e 's/#.*//' -e '/^ *$/d' "$here/checks.txt" | grep -E "^${1:-[a-z_]+} ")
count=$(grep -c . <<<"$table")
if [ "$count" -eq 0 ]; then
    echo "spec result=failed reason=\"no such model\""
    exit 2
fi
nl -w1 -s' ' <<<"$table" | xargs -P $max_jobs -L 1 bash -c 'run_check "$@"' check.sh
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
