#!/usr/bin/env bash
# Runs the models of spec/ in the checker spin.
#
# Each line of the table below is one run: model, the property it is about, the
# expected result and the macros of the run.
#   hold   the whole state space was searched and no property failed
#   fail   the named assertion was violated: a mutation of the protocol, or a
#          good state whose being unreachable would be a fault of the model
# Exit status is 0 only if every run gave what was expected.
#
# usage: check.sh [MODEL]
set -u
readonly here=$(cd "$(dirname "$0")" && pwd)
readonly jobs=4
readonly memory_mb=2000
readonly depth=100000

table() {
  sed -e 's/#.*//' -e '/^ *$/d' "$here/checks.txt"
}

# Runs one line of the table in a folder of its own and prints its result.
run_check() {
  local number=$1 model=$2 check=$3 expect=$4
  shift 4
  local folder=$work/$number
  mkdir "$folder" && cd "$folder" || return 1
  if ! spin -a "$@" "$here/$model.pml" >spin.out 2>&1 ||
    ! gcc -O2 -w -DSAFETY -DNOREDUCE -DCOLLAPSE -DVECTORSZ=2048 \
      -DMEMLIM=$memory_mb -o pan pan.c 2>gcc.out; then
    echo "spec model=$model check=$check expect=$expect result=not_built macros=$*"
    return 1
  fi
  ./pan -m$depth >pan.out 2>&1
  report "$*"
}

# Reads pan.out and compares it with what was expected.
report() {
  # shellcheck disable=SC2154 # model, check and expect are the caller's
  local states reached violated complete=yes result=hold
  states=$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' pan.out)
  reached=$(sed -nE 's/.*depth reached ([0-9]+).*/\1/p' pan.out)
  violated=$(sed -nE 's/^pan:[0-9]*:? *assertion violated *\(?([a-z_0-9]+)\)? .*/\1/p' pan.out | head -1)
  if grep -qE 'Search not completed|max search depth too small|reached -DMEMLIM|out of memory' pan.out ||
    ! grep -q 'errors: ' pan.out; then
    complete=no
  fi
  if [ -n "$violated" ]; then
    result=fail:$violated
  elif ! grep -q 'errors: 0' pan.out; then
    result=error
  fi
  rm -f pan pan.?
  echo "spec model=$model check=$check expect=$expect result=$result states=${states:-0} depth=${reached:-0} complete=$complete macros=$1"
  case $expect in
    hold) [ "$result" = hold ] && [ "$complete" = yes ] ;;
    fail) [ "$result" = "fail:$check" ] ;;
    *) false ;;
  esac
}

work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
export -f run_check report
export work here jobs memory_mb depth

lines=$(table | grep -E "^${1:-.*} " | nl -w1 -s' ')
if [ -z "$lines" ]; then
  echo "spec: no such model: ${1:-}" >&2
  exit 2
fi
echo "$lines" | xargs -P $jobs -L 1 bash -c \
  'run_check "$@" || { echo "spec mismatch: $*" >&2; exit 1; }' check.sh
status=$?
if [ $status -eq 0 ]; then
  echo "spec result=passed runs=$(echo "$lines" | wc -l)"
else
  echo "spec result=failed" >&2
  exit 1
fi
